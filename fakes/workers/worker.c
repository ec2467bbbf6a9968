#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/fake_log.h"
#include "common/task_answer.h"
#include "process/alloc.h"
#include "workers/worker.h"

#define TASK_RETENTION_MS 3600000
#define FAIL_ALL_RUN_MS	  20
#define USED_SHARE_LAG_MS 1000
#define THROTTLE_DIVISOR  2
#define DECIMAL		  10
#define USED_SHARE_STEPS  20
#define MIN_USED_SHARE	  0.8
#define USED_SHARE_STEP	  0.01

/* Task ids have the form JOB.ATTEMPT.INDEX; any other id is logged as attempt 0
 * without an index. */
static void
log_task(const struct fake_worker *worker, const struct fake_task *task,
    const char *event, const char *detail)
{
	const char *attempt = strchr(task->id, '.');
	const char *index = attempt == NULL ? NULL : strchr(attempt + 1, '.');

	if (index == NULL) {
		attempt = ".0";
		index = "";
	}
	fake_log("event=%s worker=%s availability_zone=%s rack=%s "
		 "incarnation=%" PRIu64 " task=%s job=%.*s attempt=%.*s "
		 "index=%s accelerators=%" PRIu32 " started=%s%s%s",
	    event, worker->name, worker->availability_zone, worker->rack,
	    worker->incarnation, task->id, (int)strcspn(task->id, "."),
	    task->id, (int)strcspn(attempt + 1, "."), attempt + 1,
	    *index == '.' ? index + 1 : index, task->accelerators,
	    task->started ? "true" : "false", *detail == '\0' ? "" : " ",
	    detail);
}

struct fake_task *
fake_worker_find(const struct fake_worker *worker, const char *id)
{
	for (size_t i = worker->tasks_count; i > 0; i--) {
		if (strcmp(worker->tasks[i - 1]->id, id) == 0)
			return worker->tasks[i - 1];
	}
	return NULL;
}

static bool
holds_capacity(const struct fake_task *task)
{
	return task->state == TASK_RESERVED || task->state == TASK_STAGED ||
	    task->state == TASK_RUNNING;
}

uint32_t
fake_worker_free_accelerators(const struct fake_worker *worker)
{
	uint32_t used = 0;

	for (size_t i = 0; i < worker->tasks_count; i++) {
		if (holds_capacity(worker->tasks[i]))
			used += worker->tasks[i]->accelerators;
	}
	return used > worker->accelerators ? 0 : worker->accelerators - used;
}

double
fake_task_used_share(const struct fake_task *task, int64_t now_ms)
{
	uint64_t step = XXH64(task->id, strlen(task->id), 0) % USED_SHARE_STEPS;

	if (task->started_ms == 0 ||
	    now_ms - task->started_ms < USED_SHARE_LAG_MS)
		return 0;
	return MIN_USED_SHARE + USED_SHARE_STEP * (double)step;
}

static void
end_task(struct fake_worker *worker, struct fake_task *task,
    enum task_state state, const char *event, const char *message,
    int64_t now_ms)
{
	bool running = task->state == TASK_RUNNING;

	task->state = state;
	task->ended_ms = now_ms;
	task->message = message;
	log_task(worker, task, event,
	    running ? "was_running=true" : "was_running=false");
}

static struct fake_task *
add_task(struct fake_worker *worker, const struct worker_command *command)
{
	struct fake_task *task = mem_calloc(1, sizeof(*task));

	STRING_COPY(task->id, command->task);
	task->accelerators = command->accelerators;
	worker->tasks = mem_grow(worker->tasks, &worker->tasks_capacity,
	    worker->tasks_count + 1, sizeof(struct fake_task *));
	worker->tasks[worker->tasks_count++] = task;
	return task;
}

static const char *
refusal_reason(
    const struct fake_worker *worker, const struct worker_command *command)
{
	if (worker->leaving)
		return "the worker is leaving";
	if (worker->condition == WORKER_FAIL_RESERVE)
		return "injected fault: the worker refuses every reservation";
	if (command->accelerators > fake_worker_free_accelerators(worker))
		return "not enough free accelerators";
	return NULL;
}

static void
reserve_task(struct fake_worker *worker, const struct worker_command *command,
    int64_t now_ms)
{
	const char *message = refusal_reason(worker, command);
	struct fake_task *task;

	if (fake_worker_find(worker, command->task) != NULL)
		return;
	task = add_task(worker, command);
	if (message != NULL) {
		end_task(worker, task, TASK_FAILED, "refuse", message, now_ms);
		return;
	}
	task->state = TASK_RESERVED;
	task->expires_ms = now_ms + command->ttl_ms;
	log_task(worker, task, "reserve", "");
}

static void
restore_checkpoint(struct fake_task *task, const char *checkpoint)
{
	if (checkpoint == NULL)
		return;
	task->checkpoint = mem_strdup(checkpoint);
	task->progress_ms = payload_get_number(checkpoint, "progress_ms", 0);
}

static void
stage_task(struct fake_worker *worker, struct fake_task *task,
    const struct worker_command *command, int64_t now_ms)
{
	if (task->state != TASK_RESERVED)
		return;
	task->payload =
	    mem_strdup(command->payload == NULL ? "" : command->payload);
	task->index = command->index;
	task->run_time_ms = payload_get_number(
	    task->payload, "actual_ms", command->run_time_ms);
	restore_checkpoint(task, command->checkpoint);
	if (worker->condition == WORKER_FAIL_STAGE) {
		end_task(worker, task, TASK_FAILED, "failed",
		    "injected fault: the worker fails to stage every task",
		    now_ms);
		return;
	}
	task->state = TASK_STAGED;
	log_task(worker, task, "stage", "");
}

static void
start_task(struct fake_worker *worker, struct fake_task *task, int32_t ttl_ms,
    int64_t now_ms)
{
	if (task->state != TASK_STAGED)
		return;
	task->state = TASK_RUNNING;
	task->started = true;
	task->started_ms = now_ms;
	task->progress_updated_ms = now_ms;
	task->expires_ms = now_ms + ttl_ms;
	log_task(
	    worker, task, task->checkpoint == NULL ? "start" : "resume", "");
}

/* Extends the lease of a running task; logs the first renewal only. */
static void
renew_lease(const struct fake_worker *worker, struct fake_task *task,
    int32_t ttl_ms, int64_t now_ms)
{
	if (task->state != TASK_RUNNING)
		return;
	task->expires_ms = now_ms + ttl_ms;
	if (!task->renewed)
		log_task(worker, task, "renew", "");
	task->renewed = true;
}

static void
begin_checkpoint(
    const struct fake_worker *worker, struct fake_task *task, int64_t now_ms)
{
	if (task->state != TASK_RUNNING || task->checkpoint_due_ms > 0 ||
	    payload_has_word(task->payload, "ignore_checkpoint"))
		return;
	task->checkpoint_due_ms = now_ms + worker->checkpoint_ms;
}

static void
throttle_task(const struct fake_worker *worker, struct fake_task *task)
{
	if (task->state != TASK_RUNNING || task->throttled)
		return;
	task->throttled = true;
	log_task(worker, task, "throttle", "");
}

static void
discard_task(const struct fake_worker *worker, struct fake_task *task)
{
	if (holds_capacity(task) || task->discarded)
		return;
	task->discarded = true;
	buffer_free(&task->answer);
	log_task(worker, task, "forget", "");
}

void
fake_worker_execute(struct fake_worker *worker,
    const struct worker_command *command, int64_t now_ms)
{
	struct fake_task *task;

	if (command->verb == VERB_RESERVE) {
		reserve_task(worker, command, now_ms);
		return;
	}
	task = fake_worker_find(worker, command->task);
	if (task == NULL)
		return;
	switch (command->verb) {
	case VERB_RESERVE:
		break;
	case VERB_STAGE:
		stage_task(worker, task, command, now_ms);
		break;
	case VERB_GO:
		start_task(worker, task, command->ttl_ms, now_ms);
		break;
	case VERB_RENEW:
		renew_lease(worker, task, command->ttl_ms, now_ms);
		break;
	case VERB_CHECKPOINT:
		begin_checkpoint(worker, task, now_ms);
		break;
	case VERB_THROTTLE:
		throttle_task(worker, task);
		break;
	case VERB_STOP:
		if (holds_capacity(task))
			end_task(
			    worker, task, TASK_STOPPED, "stop", "", now_ms);
		break;
	case VERB_FORGET:
		discard_task(worker, task);
		break;
	}
}

static void
advance_progress(
    const struct fake_worker *worker, struct fake_task *task, int64_t now_ms)
{
	double elapsed_ms =
	    (double)(now_ms - task->progress_updated_ms) * worker->time_scale;

	if (task->throttled)
		elapsed_ms /= THROTTLE_DIVISOR;
	/* Progress is in whole milliseconds. Below one, progress_updated_ms
	 * stays, so that the time counts in the next call. */
	if (elapsed_ms < 1)
		return;
	task->progress_ms += (int64_t)elapsed_ms;
	task->progress_updated_ms = now_ms;
}

static void
save_checkpoint(
    struct fake_worker *worker, struct fake_task *task, int64_t now_ms)
{
	struct buffer text = {0};

	buffer_printf(&text, "progress_ms=%" PRId64, task->progress_ms);
	mem_free(task->checkpoint);
	task->checkpoint = buffer_detach(&text);
	end_task(worker, task, TASK_CHECKPOINTED, "checkpointed", "", now_ms);
}

static void
finish_task(struct fake_worker *worker, struct fake_task *task, int64_t now_ms)
{
	if (payload_has_word(task->payload, "fail")) {
		end_task(worker, task, TASK_FAILED, "failed",
		    "the payload asks the task to fail", now_ms);
		return;
	}
	task_answer(task->payload, task->index, &task->answer);
	end_task(worker, task, TASK_DONE, "done", "", now_ms);
}

static void
advance_running(
    struct fake_worker *worker, struct fake_task *task, int64_t now_ms)
{
	advance_progress(worker, task, now_ms);
	if (now_ms >= task->expires_ms)
		end_task(worker, task, TASK_LAPSED, "lapse",
		    "the lease expired", now_ms);
	else if (worker->condition == WORKER_FAIL_ALL &&
	    now_ms - task->started_ms >= FAIL_ALL_RUN_MS)
		end_task(worker, task, TASK_FAILED, "failed",
		    "injected fault: the worker fails every task", now_ms);
	else if (task->progress_ms >= task->run_time_ms)
		finish_task(worker, task, now_ms);
	else if (task->checkpoint_due_ms > 0 &&
	    now_ms >= task->checkpoint_due_ms)
		save_checkpoint(worker, task, now_ms);
}

static void
advance_task(struct fake_worker *worker, struct fake_task *task, int64_t now_ms)
{
	switch (task->state) {
	case TASK_RESERVED:
	case TASK_STAGED:
		if (now_ms >= task->expires_ms)
			end_task(worker, task, TASK_LAPSED, "lapse",
			    "the reservation expired", now_ms);
		break;
	case TASK_RUNNING:
		advance_running(worker, task, now_ms);
		break;
	case TASK_DONE:
	case TASK_FAILED:
	case TASK_STOPPED:
	case TASK_CHECKPOINTED:
	case TASK_LAPSED:
		if (now_ms - task->ended_ms >= TASK_RETENTION_MS)
			discard_task(worker, task);
		break;
	}
}

void
fake_worker_advance(struct fake_worker *worker, int64_t now_ms)
{
	if (worker->condition == WORKER_FROZEN)
		return;
	for (size_t i = 0; i < worker->tasks_count; i++)
		advance_task(worker, worker->tasks[i], now_ms);
}

static void
free_task(struct fake_task *task)
{
	mem_free(task->payload);
	mem_free(task->checkpoint);
	buffer_free(&task->answer);
	mem_free(task);
}

void
fake_worker_free_tasks(struct fake_worker *worker)
{
	for (size_t i = 0; i < worker->tasks_count; i++)
		free_task(worker->tasks[i]);
	mem_free(worker->tasks);
	worker->tasks = NULL;
	worker->tasks_count = 0;
	worker->tasks_capacity = 0;
}

static void
drop_tasks(struct fake_worker *worker, int64_t now_ms)
{
	for (size_t i = 0; i < worker->tasks_count; i++) {
		if (holds_capacity(worker->tasks[i]))
			end_task(worker, worker->tasks[i], TASK_LAPSED,
			    "vanish", "", now_ms);
	}
	fake_worker_free_tasks(worker);
	worker->incarnation++;
}

void
fake_worker_restart(struct fake_worker *worker, int64_t now_ms)
{
	drop_tasks(worker, now_ms);
	fake_log("event=restart worker=%s incarnation=%" PRIu64, worker->name,
	    worker->incarnation);
}

void
fake_worker_set_condition(struct fake_worker *worker,
    enum fake_worker_condition condition, int64_t now_ms)
{
	/* Tasks make no progress in the time for which the worker was frozen.
	 */
	if (worker->condition == WORKER_FROZEN) {
		for (size_t i = 0; i < worker->tasks_count; i++)
			worker->tasks[i]->progress_updated_ms = now_ms;
	}
	if (condition == WORKER_DEAD && worker->condition != WORKER_DEAD)
		drop_tasks(worker, now_ms);
	worker->condition = condition;
}
