#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "common/fake_json.h"
#include "connection/worker_codec.h"
#include "process/alloc.h"
#include "workers/sync.h"

#define HASH_BYTES	  17
#define WRONG_ANSWER_TEXT "the answer of another task"

static const char *const command_keys[] = {
    "verb",
    "task",
    "accelerators",
    "ttl_ms",
    "run_time_ms",
    "index",
    "tasks",
    "payload",
    "checkpoint",
};

static const char *
find_unknown_key(struct json_object *object)
{
	json_object_object_foreach(object, key, value)
	{
		bool known = false;

		(void)value;
		for (size_t i = 0; i < COUNT_OF(command_keys); i++)
			known = known || strcmp(key, command_keys[i]) == 0;
		if (!known)
			return "a command has an unknown key";
	}
	return NULL;
}

bool
sync_parse_verb(const char *name, enum worker_verb *verb)
{
	for (int i = VERB_RESERVE; i <= VERB_FORGET; i++) {
		if (strcmp(name, worker_verb_name((enum worker_verb)i)) == 0) {
			*verb = (enum worker_verb)i;
			return true;
		}
	}
	return false;
}

static const char *
parse_command(struct json_object *object, struct worker_command *command)
{
	const char *unknown;

	if (!json_object_is_type(object, json_type_object))
		return "a command is not an object";
	unknown = find_unknown_key(object);
	if (unknown != NULL)
		return unknown;
	if (!sync_parse_verb(
		fake_json_text(object, "verb", ""), &command->verb))
		return "a command has an unknown verb";
	STRING_COPY(command->task, fake_json_text(object, "task", ""));
	if (command->task[0] == '\0')
		return "a command has no task";
	command->accelerators =
	    (uint32_t)fake_json_number(object, "accelerators", 0);
	command->ttl_ms = (int32_t)fake_json_number(object, "ttl_ms", 0);
	command->run_time_ms = fake_json_number(object, "run_time_ms", 0);
	command->index = (uint32_t)fake_json_number(object, "index", 0);
	command->tasks = (uint32_t)fake_json_number(object, "tasks", 0);
	command->payload = mem_strdup(fake_json_text(object, "payload", NULL));
	command->checkpoint =
	    mem_strdup(fake_json_text(object, "checkpoint", NULL));
	return NULL;
}

static const char *
parse_commands(struct json_object *list, struct worker_command *commands)
{
	const char *error = NULL;

	for (size_t i = 0; i < json_object_array_length(list) && error == NULL;
	     i++)
		error = parse_command(
		    json_object_array_get_idx(list, i), &commands[i]);
	return error;
}

const char *
sync_parse_commands(
    const char *body, struct worker_command **commands, size_t *count)
{
	struct json_object *root = json_tokener_parse(body);
	struct json_object *list;
	const char *error = "the body has no array of commands";

	*commands = NULL;
	*count = 0;
	if (json_object_object_get_ex(root, "commands", &list) &&
	    json_object_is_type(list, json_type_array)) {
		*count = json_object_array_length(list);
		*commands = mem_calloc(*count, sizeof(**commands));
		error = parse_commands(list, *commands);
	}
	json_object_put(root);
	return error;
}

void
sync_free_commands(struct worker_command *commands, size_t count)
{
	for (size_t i = 0; i < count; i++)
		worker_command_clear(&commands[i]);
	mem_free(commands);
}

static void
add_field(
    struct json_object *object, const char *key, struct json_object *value)
{
	json_object_object_add(object, key, value);
}

static struct json_object *
string_or_null(const char *text)
{
	return text == NULL ? NULL : json_object_new_string(text);
}

static void
corrupt_answer(struct buffer *answer, enum report_fault fault)
{
	CLEANUP(buffer_free) struct buffer copy = {0};

	switch (fault) {
	case REPORT_OK:
	case REPORT_TRUNCATE:
		break;
	case REPORT_CORRUPT_ANSWER:
		if (answer->length > 0)
			answer->data[answer->length / 2] = '~';
		break;
	case REPORT_WRONG_ANSWER:
		buffer_clear(answer);
		buffer_puts(answer, WRONG_ANSWER_TEXT);
		break;
	case REPORT_DUPLICATE_ANSWER:
		buffer_append(&copy, answer->data, answer->length);
		buffer_append(answer, copy.data, copy.length);
		break;
	}
}

static void
put_answer(struct json_object *object, const struct fake_task *task,
    enum report_fault fault)
{
	CLEANUP(buffer_free) struct buffer reported = {0};
	char hash[HASH_BYTES];

	(void)snprintf(hash, sizeof(hash), "%016" PRIx64,
	    (uint64_t)XXH64(
		buffer_string(&task->answer), task->answer.length, 0));
	buffer_append(&reported, task->answer.data, task->answer.length);
	corrupt_answer(&reported, fault);
	add_field(object, "answer",
	    json_object_new_string_len(
		buffer_string(&reported), (int)reported.length));
	add_field(object, "answer_length",
	    json_object_new_uint64(task->answer.length));
	add_field(object, "answer_hash", json_object_new_string(hash));
}

static struct json_object *
task_to_json(
    const struct fake_task *task, enum report_fault fault, int64_t now_ms)
{
	struct json_object *object = json_object_new_object();
	bool has_checkpoint = task->state == TASK_CHECKPOINTED;

	add_field(object, "task", json_object_new_string(task->id));
	add_field(object, "state",
	    json_object_new_string(task_state_name(task->state)));
	add_field(object, "started", json_object_new_boolean(task->started));
	add_field(object, "run_ms", json_object_new_int64(task->progress_ms));
	add_field(object, "used_share",
	    json_object_new_double(fake_task_used_share(task, now_ms)));
	if (task->state == TASK_DONE)
		put_answer(object, task, fault);
	add_field(object, "checkpoint",
	    string_or_null(has_checkpoint ? task->checkpoint : NULL));
	add_field(object, "message",
	    json_object_new_string(task->message == NULL ? "" : task->message));
	return object;
}

size_t
sync_append_report(const struct fake_worker *worker, enum report_fault fault,
    int64_t now_ms, struct buffer *body)
{
	struct json_object *root = json_object_new_object();
	struct json_object *tasks = json_object_new_array();
	size_t answers = 0;

	add_field(root, "worker", json_object_new_string(worker->name));
	add_field(
	    root, "incarnation", json_object_new_uint64(worker->incarnation));
	add_field(root, "leaving", json_object_new_boolean(worker->leaving));
	add_field(
	    root, "accelerators", json_object_new_int64(worker->accelerators));
	add_field(root, "free_accelerators",
	    json_object_new_int64(fake_worker_free_accelerators(worker)));
	for (size_t i = 0; i < worker->tasks_count; i++) {
		const struct fake_task *task = worker->tasks[i];

		if (task->discarded)
			continue;
		json_object_array_add(tasks, task_to_json(task, fault, now_ms));
		if (task->state == TASK_DONE)
			answers++;
	}
	add_field(root, "tasks", tasks);
	fake_json_append(body, root);
	if (fault == REPORT_TRUNCATE)
		body->length /= 2;
	return answers;
}
