#include <errno.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "connection/worker_codec.h"
#include "process/alloc.h"

#define STEP		 "worker_report"
#define HASH_BASE	 16
#define HASH_HEX_DIGITS	 16
#define MAX_REPORT_TASKS 100000

static const char *const state_names[] = {
    [TASK_RESERVED] = "reserved",
    [TASK_STAGED] = "staged",
    [TASK_RUNNING] = "running",
    [TASK_DONE] = "done",
    [TASK_FAILED] = "failed",
    [TASK_STOPPED] = "stopped",
    [TASK_CHECKPOINTED] = "checkpointed",
    [TASK_LAPSED] = "lapsed",
};

static const char *const verb_names[] = {
    [VERB_RESERVE] = "reserve",
    [VERB_STAGE] = "stage",
    [VERB_GO] = "go",
    [VERB_RENEW] = "renew",
    [VERB_CHECKPOINT] = "checkpoint",
    [VERB_THROTTLE] = "throttle",
    [VERB_STOP] = "stop",
    [VERB_FORGET] = "forget",
};

const char *
worker_verb_name(enum worker_verb verb)
{
	return verb_names[verb];
}

const char *
task_state_name(enum task_state state)
{
	return state_names[state];
}

void
worker_command_clear(struct worker_command *command)
{
	mem_free(command->payload);
	mem_free(command->checkpoint);
	command->payload = NULL;
	command->checkpoint = NULL;
}

static void
put_string(struct json_object *object, const char *key, const char *value)
{
	json_object_object_add(
	    object, key, value == NULL ? NULL : json_object_new_string(value));
}

static void
put_number(struct json_object *object, const char *key, int64_t value)
{
	json_object_object_add(object, key, json_object_new_int64(value));
}

static struct json_object *
encode_command(const struct worker_command *command)
{
	struct json_object *object = json_object_new_object();

	put_string(object, "verb", worker_verb_name(command->verb));
	put_string(object, "task", command->task);
	switch (command->verb) {
	case VERB_RESERVE:
		put_number(object, "accelerators", command->accelerators);
		put_number(object, "ttl_ms", command->ttl_ms);
		break;
	case VERB_STAGE:
		put_number(object, "run_time_ms", command->run_time_ms);
		put_number(object, "index", command->index);
		put_number(object, "tasks", command->tasks);
		put_string(object, "payload",
		    command->payload == NULL ? "" : command->payload);
		put_string(object, "checkpoint", command->checkpoint);
		break;
	case VERB_GO:
	case VERB_RENEW:
		put_number(object, "ttl_ms", command->ttl_ms);
		break;
	case VERB_CHECKPOINT:
	case VERB_THROTTLE:
	case VERB_STOP:
	case VERB_FORGET:
		break;
	}
	return object;
}

void
worker_codec_encode(
    const struct worker_command *commands, size_t count, struct buffer *body)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();

	for (size_t i = 0; i < count; i++)
		json_object_array_add(list, encode_command(&commands[i]));
	json_object_object_add(root, "commands", list);
	buffer_puts(
	    body, json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
}

/* Reads fields of one object and records the first that is invalid. */
struct field_reader {
	struct json_object *object;
	const char *invalid_field;
};

static struct json_object *
get_field(struct field_reader *reader, const char *key, enum json_type type)
{
	struct json_object *value;

	if (json_object_object_get_ex(reader->object, key, &value) &&
	    json_object_is_type(value, type))
		return value;
	if (reader->invalid_field == NULL)
		reader->invalid_field = key;
	return NULL;
}

static int64_t
get_number(struct field_reader *reader, const char *key, int64_t limit)
{
	struct json_object *value = get_field(reader, key, json_type_int);
	int64_t number = value == NULL ? 0 : json_object_get_int64(value);

	if (number >= 0 && number <= limit)
		return number;
	if (reader->invalid_field == NULL)
		reader->invalid_field = key;
	return 0;
}

static bool
get_boolean(struct field_reader *reader, const char *key)
{
	return json_object_get_boolean(
	    get_field(reader, key, json_type_boolean));
}

static const char *
get_string(struct field_reader *reader, const char *key)
{
	struct json_object *value = get_field(reader, key, json_type_string);

	return value == NULL ? "" : json_object_get_string(value);
}

/* Returns a string field; NULL if it is null, absent or of another type. */
static struct json_object *
get_optional(struct field_reader *reader, const char *key)
{
	struct json_object *value = NULL;

	if (!json_object_object_get_ex(reader->object, key, &value) ||
	    value == NULL)
		return NULL;
	return get_field(reader, key, json_type_string);
}

static char *
copy_optional(struct field_reader *reader, const char *key)
{
	struct json_object *value = get_optional(reader, key);

	return value == NULL ? NULL : mem_strdup(json_object_get_string(value));
}

static double
get_double(struct field_reader *reader, const char *key)
{
	struct json_object *value = NULL;

	(void)json_object_object_get_ex(reader->object, key, &value);
	if (json_object_is_type(value, json_type_double) ||
	    json_object_is_type(value, json_type_int))
		return json_object_get_double(value);
	if (reader->invalid_field == NULL)
		reader->invalid_field = key;
	return 0;
}

static bool
parse_state(const char *name, enum task_state *state)
{
	for (size_t i = 0; i < COUNT_OF(state_names); i++) {
		if (strcmp(name, state_names[i]) == 0) {
			*state = (enum task_state)i;
			return true;
		}
	}
	return false;
}

static bool
parse_hash(const char *text, uint64_t *hash)
{
	char *end;

	if (strlen(text) != HASH_HEX_DIGITS)
		return false;
	errno = 0;
	*hash = strtoull(text, &end, HASH_BASE);
	return *end == '\0' && errno == 0;
}

bool
answer_matches_digest(
    const struct answer_digest *digest, const char *bytes, size_t length)
{
	return length == digest->length &&
	    memchr(bytes, '\0', length) == NULL &&
	    XXH64(bytes, length, 0) == digest->hash;
}

void
worker_codec_set_answer(
    struct worker_task *task, const char *bytes, size_t length)
{
	task->state = TASK_DONE;
	mem_free(task->answer);
	task->answer = mem_strndup(bytes, length);
}

/* Marks a task as running and lists its answer for fetching. */
static void
mark_unverified(struct decoded_report *decoded, size_t task,
    const struct answer_digest *digest)
{
	size_t needed = decoded->unverified_count + 1;

	decoded->unverified = mem_realloc(
	    decoded->unverified, needed * sizeof(*decoded->unverified));
	decoded->unverified[decoded->unverified_count++] =
	    (struct unverified_answer){.task = task, .digest = *digest};
	decoded->report.tasks[task].state = TASK_RUNNING;
}

static void
decode_answer(
    struct field_reader *reader, struct decoded_report *decoded, size_t index)
{
	struct json_object *answer = get_optional(reader, "answer");
	struct answer_digest digest = {
	    .length = (size_t)get_number(reader, "answer_length", INT64_MAX),
	};
	const char *bytes = "";
	size_t length = 0;

	if (!parse_hash(get_string(reader, "answer_hash"), &digest.hash) &&
	    reader->invalid_field == NULL)
		reader->invalid_field = "answer_hash";
	if (answer != NULL) {
		bytes = json_object_get_string(answer);
		length = (size_t)json_object_get_string_len(answer);
	}
	if (answer != NULL && answer_matches_digest(&digest, bytes, length))
		worker_codec_set_answer(
		    &decoded->report.tasks[index], bytes, length);
	else
		mark_unverified(decoded, index, &digest);
}

static const char *
decode_task(
    struct json_object *object, struct decoded_report *decoded, size_t index)
{
	struct field_reader reader = {.object = object};
	struct worker_task *task = &decoded->report.tasks[index];
	const char *id = get_string(&reader, "task");

	if (*id == '\0' || strlen(id) >= sizeof(task->id))
		return "task";
	STRING_COPY(task->id, id);
	if (!parse_state(get_string(&reader, "state"), &task->state))
		return "state";
	task->started = get_boolean(&reader, "started");
	task->run_ms = get_number(&reader, "run_ms", INT64_MAX);
	task->used_share = get_double(&reader, "used_share");
	task->checkpoint = copy_optional(&reader, "checkpoint");
	task->message = copy_optional(&reader, "message");
	if (task->state == TASK_DONE)
		decode_answer(&reader, decoded, index);
	return reader.invalid_field;
}

static const char *
decode_tasks(struct json_object *list, struct decoded_report *decoded)
{
	size_t count = json_object_array_length(list);
	const char *invalid_field;

	if (count > MAX_REPORT_TASKS)
		return "tasks";
	decoded->report.tasks =
	    mem_calloc(count, sizeof(*decoded->report.tasks));
	decoded->report.tasks_count = count;
	for (size_t i = 0; i < count; i++) {
		invalid_field =
		    decode_task(json_object_array_get_idx(list, i), decoded, i);
		if (invalid_field != NULL)
			return invalid_field;
	}
	return NULL;
}

/* Returns the name of the first invalid field, or NULL. */
static const char *
decode_report(struct json_object *root, const char *worker,
    struct decoded_report *decoded)
{
	struct field_reader reader = {.object = root};
	struct worker_report *report = &decoded->report;
	struct json_object *tasks;

	if (!json_object_is_type(root, json_type_object))
		return "the report";
	if (strcmp(get_string(&reader, "worker"), worker) != 0)
		return "worker";
	report->incarnation =
	    (uint64_t)get_number(&reader, "incarnation", INT64_MAX);
	report->leaving = get_boolean(&reader, "leaving");
	report->accelerators =
	    (uint32_t)get_number(&reader, "accelerators", UINT32_MAX);
	report->free_accelerators =
	    (uint32_t)get_number(&reader, "free_accelerators", UINT32_MAX);
	tasks = get_field(&reader, "tasks", json_type_array);
	if (reader.invalid_field != NULL)
		return reader.invalid_field;
	return decode_tasks(tasks, decoded);
}

static struct json_object *
parse_json(const char *bytes, size_t length)
{
	struct json_tokener *tokener;
	struct json_object *root;

	if (length > INT32_MAX)
		return NULL;
	tokener = json_tokener_new();
	json_tokener_set_flags(tokener, JSON_TOKENER_STRICT);
	root = json_tokener_parse_ex(tokener, bytes, (int)length);
	if (json_tokener_get_error(tokener) != json_tokener_success ||
	    json_tokener_get_parse_end(tokener) != length) {
		json_object_put(root);
		root = NULL;
	}
	json_tokener_free(tokener);
	return root;
}

enum ibis_code
worker_codec_decode(const char *bytes, size_t length, const char *worker,
    struct decoded_report *decoded, struct ibis_status *status)
{
	struct json_object *root = parse_json(bytes, length);
	const char *invalid_field;

	*decoded = (struct decoded_report){0};
	if (root == NULL)
		return ibis_status_set(status, IBIS_INVALID, STEP, worker,
		    "not a complete JSON document: %zu bytes", length);
	invalid_field = decode_report(root, worker, decoded);
	json_object_put(root);
	if (invalid_field == NULL)
		return IBIS_OK;
	return ibis_status_set(status, IBIS_INVALID, STEP, worker,
	    "%s is missing or invalid", invalid_field);
}

void
worker_report_clear(struct worker_report *report)
{
	for (size_t i = 0; i < report->tasks_count; i++) {
		mem_free(report->tasks[i].answer);
		mem_free(report->tasks[i].checkpoint);
		mem_free(report->tasks[i].message);
	}
	mem_free(report->tasks);
	*report = (struct worker_report){0};
}

void
decoded_report_free(struct decoded_report *decoded)
{
	worker_report_clear(&decoded->report);
	mem_free(decoded->unverified);
	*decoded = (struct decoded_report){0};
}
