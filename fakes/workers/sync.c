#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "common/fake_json.h"
#include "connection/worker_codec.h"
#include "process/alloc.h"
#include "workers/sync.h"

#define HASH_BYTES   17
#define CROSSED_TEXT "the answer of another task"

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
		return "a command is no object";
	unknown = find_unknown_key(object);
	if (unknown != NULL)
		return unknown;
	if (!sync_parse_verb(
		fake_json_text(object, "verb", ""), &command->verb))
		return "a command's verb is unknown";
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
parse_list(struct json_object *list, struct worker_command *commands)
{
	const char *wrong = NULL;

	for (size_t i = 0; i < json_object_array_length(list) && wrong == NULL;
	     i++)
		wrong = parse_command(
		    json_object_array_get_idx(list, i), &commands[i]);
	return wrong;
}

const char *
sync_parse(const char *body, struct worker_command **commands, size_t *count)
{
	struct json_object *root = json_tokener_parse(body);
	struct json_object *list;
	const char *wrong = "the body has no commands";

	*commands = NULL;
	*count = 0;
	if (json_object_object_get_ex(root, "commands", &list) &&
	    json_object_is_type(list, json_type_array)) {
		*count = json_object_array_length(list);
		*commands = mem_calloc(*count, sizeof(**commands));
		wrong = parse_list(list, *commands);
	}
	json_object_put(root);
	return wrong;
}

void
sync_free_commands(struct worker_command *commands, size_t count)
{
	for (size_t i = 0; i < count; i++)
		worker_command_clear(&commands[i]);
	mem_free(commands);
}

static void
put(struct json_object *object, const char *key, struct json_object *value)
{
	json_object_object_add(object, key, value);
}

static struct json_object *
text_or_null(const char *text)
{
	return text == NULL ? NULL : json_object_new_string(text);
}

static void
spoil(struct buffer *answer, enum report_fault fault)
{
	CLEANUP(buffer_free) struct buffer copy = {0};

	switch (fault) {
	case REPORT_SOUND:
	case REPORT_TRUNCATE:
		break;
	case REPORT_CORRUPT:
		if (answer->length > 0)
			answer->data[answer->length / 2] = '~';
		break;
	case REPORT_CROSSED:
		buffer_clear(answer);
		buffer_puts(answer, CROSSED_TEXT);
		break;
	case REPORT_DOUBLED:
		buffer_append(&copy, answer->data, answer->length);
		buffer_append(answer, copy.data, copy.length);
		break;
	}
}

static void
put_answer(struct json_object *object, const struct fake_task *task,
    enum report_fault fault)
{
	CLEANUP(buffer_free) struct buffer shown = {0};
	char hash[HASH_BYTES];

	(void)snprintf(hash, sizeof(hash), "%016" PRIx64,
	    (uint64_t)XXH64(
		buffer_string(&task->answer), task->answer.length, 0));
	buffer_append(&shown, task->answer.data, task->answer.length);
	spoil(&shown, fault);
	put(object, "answer",
	    json_object_new_string_len(
		buffer_string(&shown), (int)shown.length));
	put(object, "answer_length",
	    json_object_new_uint64(task->answer.length));
	put(object, "answer_hash", json_object_new_string(hash));
}

static struct json_object *
report_task(
    const struct fake_task *task, enum report_fault fault, int64_t now_ms)
{
	struct json_object *object = json_object_new_object();
	bool saved = task->state == TASK_CHECKPOINTED;

	put(object, "task", json_object_new_string(task->id));
	put(object, "state",
	    json_object_new_string(task_state_name(task->state)));
	put(object, "started", json_object_new_boolean(task->started));
	put(object, "run_ms", json_object_new_int64(task->progress_ms));
	put(object, "used_share",
	    json_object_new_double(fake_task_used_share(task, now_ms)));
	if (task->state == TASK_DONE)
		put_answer(object, task, fault);
	put(object, "checkpoint",
	    text_or_null(saved ? task->checkpoint : NULL));
	put(object, "message",
	    json_object_new_string(task->message == NULL ? "" : task->message));
	return object;
}

size_t
sync_report(const struct fake_worker *worker, enum report_fault fault,
    int64_t now_ms, struct buffer *body)
{
	struct json_object *root = json_object_new_object();
	struct json_object *tasks = json_object_new_array();
	size_t answers = 0;

	put(root, "worker", json_object_new_string(worker->name));
	put(root, "incarnation", json_object_new_uint64(worker->incarnation));
	put(root, "leaving", json_object_new_boolean(worker->leaving));
	put(root, "accelerators", json_object_new_int64(worker->accelerators));
	put(root, "free_accelerators",
	    json_object_new_int64(fake_worker_free(worker)));
	for (size_t i = 0; i < worker->tasks_count; i++) {
		const struct fake_task *task = worker->tasks[i];

		if (task->forgotten)
			continue;
		json_object_array_add(tasks, report_task(task, fault, now_ms));
		if (task->state == TASK_DONE)
			answers++;
	}
	put(root, "tasks", tasks);
	fake_json_append(body, root);
	if (fault == REPORT_TRUNCATE)
		body->length /= 2;
	return answers;
}
