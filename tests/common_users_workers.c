/* The workers of the fake platform: runs under leases, reported ends and polls.
 */
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/fake_json.h"
#include "common_users_state.h"
#include "process/alloc.h"
#include "process/clock.h"

#define MAX_LEASE_MS 10000
/* From a crash until the worker is back. */
#define CRASH_MS	1000
#define WORKER_ID_BYTES 32

static void
record_end(
    struct users_worker *worker, struct users_run *run, const char *outcome)
{
	struct users_end *end = &worker->ends[worker->ends_count];

	run->used = false;
	if (worker->ends_count == USERS_MAX_ENDS)
		return;
	worker->ends_count++;
	*end = (struct users_end){.number = ++worker->last_end,
	    .run = run->number,
	    .outcome = outcome};
	STRING_COPY(end->task, run->task);
}

/* Ends the runs whose run time has passed or whose lease has expired. */
static void
advance_runs(struct users_worker *worker)
{
	int64_t now_ms = clock_now_ms();

	for (size_t i = 0; i < USERS_MAX_RUNS; i++) {
		struct users_run *run = &worker->runs[i];

		if (run->used && now_ms >= run->ends_ms)
			record_end(worker, run, "done");
		else if (run->used && now_ms >= worker->lease_expires_ms)
			record_end(worker, run, "lapsed");
	}
}

/* Returns whether a task runs on any worker, or has ended as done and the lead
 * has acknowledged that. */
static bool
is_duplicate_start(struct users_platform *platform, const char *task)
{
	for (size_t i = 0; i < USERS_WORKERS; i++) {
		const struct users_worker *worker = &platform->workers[i];

		for (size_t j = 0; j < USERS_MAX_RUNS; j++) {
			if (worker->runs[j].used &&
			    strcmp(worker->runs[j].task, task) == 0)
				return true;
		}
		for (size_t j = 0; j < worker->ends_count; j++) {
			const struct users_end *end = &worker->ends[j];

			if (strcmp(end->task, task) == 0 &&
			    end->number <= worker->acked_end &&
			    strcmp(end->outcome, "done") == 0)
				return true;
		}
	}
	return false;
}

void
users_worker_id(const struct users_worker *worker, char *id, size_t bytes)
{
	if (worker->crashes == 0)
		(void)snprintf(id, bytes, "w%" PRIu32, worker->index);
	else
		(void)snprintf(id, bytes, "w%" PRIu32 "-%" PRIu32,
		    worker->index, worker->crashes);
}

void
users_reset_worker(struct users_worker *worker)
{
	worker->incarnation++;
	worker->fencing_token = 0;
	worker->lease_expires_ms = 0;
	worker->acked_end = 0;
	worker->last_end = 0;
	worker->ends_count = 0;
	memset(worker->runs, 0, sizeof(worker->runs));
}

/* Its runs and ends are lost; it comes back under another id. */
static void
crash_worker(struct users_worker *worker)
{
	struct users_platform *platform = worker->platform;

	worker->crashes++;
	platform->worker_crashes++;
	worker->back_ms = clock_now_ms() + CRASH_MS;
	users_reset_worker(worker);
	users_put_worker(platform, worker);
}

/* Returns whether a call is meant for the worker's current id. */
static bool
is_addressed(
    const struct users_worker *worker, const struct fake_request *request)
{
	char id[WORKER_ID_BYTES];
	const char *expected = fake_request_header(request, "Expect-Instance");

	users_worker_id(worker, id, sizeof(id));
	return expected == NULL || strcmp(expected, id) == 0;
}

static uint32_t
count_runs(const struct users_worker *worker)
{
	uint32_t count = 0;

	for (size_t i = 0; i < USERS_MAX_RUNS; i++)
		count += worker->runs[i].used;
	return count;
}

/* Returns NULL, or the reason for refusing the start. */
static const char *
start_run(struct users_worker *worker, const char *task, int64_t number)
{
	struct users_platform *platform = worker->platform;

	for (size_t i = 0; i < USERS_MAX_RUNS; i++) {
		if (worker->runs[i].used && worker->runs[i].number == number &&
		    strcmp(worker->runs[i].task, task) == 0)
			return NULL;
	}
	for (size_t i = 0; i < worker->ends_count; i++) {
		if (worker->ends[i].run >= number &&
		    strcmp(worker->ends[i].task, task) == 0)
			return "old";
	}
	platform->started_runs++;
	platform->duplicate_starts += is_duplicate_start(platform, task);
	platform->over_capacity_starts +=
	    count_runs(worker) >= worker->accelerators;
	for (size_t i = 0; i < USERS_MAX_RUNS; i++) {
		if (worker->runs[i].used)
			continue;
		worker->runs[i] = (struct users_run){.used = true,
		    .number = number,
		    .ends_ms = clock_now_ms() + platform->run_ms};
		STRING_COPY(worker->runs[i].task, task);
		return NULL;
	}
	return "room";
}

static void
stop_run(struct users_worker *worker, const char *task, int64_t number)
{
	struct users_run not_running = {.number = number};

	for (size_t i = 0; i < USERS_MAX_RUNS; i++) {
		struct users_run *run = &worker->runs[i];

		if (run->used && run->number == number &&
		    strcmp(run->task, task) == 0) {
			record_end(worker, run, "stopped");
			return;
		}
	}
	STRING_COPY(not_running.task, task);
	record_end(worker, &not_running, "stopped");
}

static void
extend_lease(struct users_worker *worker, struct json_object *body)
{
	int64_t until_ms = fake_json_number(body, "HoldUntilMs", 0);
	int64_t latest_ms = clock_now_ms() + MAX_LEASE_MS;

	if (until_ms > latest_ms)
		until_ms = latest_ms;
	if (until_ms > worker->lease_expires_ms)
		worker->lease_expires_ms = until_ms;
}

/* Removes the comma after the last row of a list. */
static void
end_list(struct buffer *body)
{
	if (body->data[body->length - 1] == ',')
		body->length--;
	buffer_puts(body, "]");
}

static void
append_report(struct users_worker *worker, struct buffer *body)
{
	buffer_printf(body,
	    "{\"ClockMs\":%" PRId64 ",\"born\":%" PRId64 ",\"Running\":[%s",
	    clock_now_ms(), worker->incarnation, worker->platform->odd_runs);
	for (size_t i = 0; i < USERS_MAX_RUNS; i++) {
		if (worker->runs[i].used)
			buffer_printf(body, "[\"%s\",%" PRId64 ",\"\",50,0],",
			    worker->runs[i].task, worker->runs[i].number);
	}
	end_list(body);
	buffer_printf(body, ",\"EndedRuns\":[%s", worker->platform->odd_ends);
	for (size_t i = 0; i < worker->ends_count; i++) {
		const struct users_end *end = &worker->ends[i];

		if (end->number > worker->acked_end)
			buffer_printf(body,
			    "[%" PRId64 ",\"%s\",%" PRId64 ",\"%s\",\"\"],",
			    end->number, end->task, end->run, end->outcome);
	}
	end_list(body);
	if (worker->platform->reports_capacity)
		buffer_printf(body,
		    ",\"Capacity\":{\"Cpu\":8000,\"MemMb\":8000,\"Gpus\":"
		    "%" PRIu32 "}",
		    worker->accelerators);
	buffer_puts(body, "}");
}

static void
answer_poll(struct users_worker *worker, struct json_object *body,
    struct fake_reply *reply)
{
	int64_t until_ms = clock_now_ms() + fake_json_number(body, "WaitMs", 0);
	int64_t acked_end = fake_json_number(body, "AckSeq", 0);
	uint32_t crashes = worker->crashes;

	if (acked_end > worker->acked_end)
		worker->acked_end = acked_end;
	extend_lease(worker, body);
	while (worker->last_end <= worker->acked_end &&
	    worker->crashes == crashes && clock_now_ms() < until_ms) {
		(void)pthread_mutex_unlock(&worker->platform->lock);
		process_sleep(USERS_POLL_INTERVAL_MS);
		(void)pthread_mutex_lock(&worker->platform->lock);
		advance_runs(worker);
	}
	reply->cut = worker->crashes != crashes;
	if (!reply->cut)
		append_report(worker, &reply->body);
}

static void
answer_worker_call(struct users_worker *worker,
    const struct fake_request *request, struct json_object *body,
    struct fake_reply *reply)
{
	int64_t fencing_token = fake_json_number(body, "FencingToken", 0);
	const char *task = fake_json_text(body, "Task", "");
	int64_t run = fake_json_number(body, "Run", 0);
	const char *reason = NULL;

	advance_runs(worker);
	if (clock_now_ms() < worker->back_ms) {
		reply->cut = true;
		return;
	}
	if (!is_addressed(worker, request)) {
		reply->status = 421;
		return;
	}
	if (fencing_token < worker->fencing_token) {
		reason = "fence";
	} else if (strcmp(request->path, "/ibistrestle/hold") == 0) {
		worker->fencing_token = fencing_token;
		answer_poll(worker, body, reply);
		return;
	} else if (strcmp(request->path, "/ibistrestle/run-start") == 0) {
		worker->fencing_token = fencing_token;
		extend_lease(worker, body);
		reason = start_run(worker, task, run);
		if (strcmp(task, worker->platform->crashing_task) == 0)
			crash_worker(worker);
	} else {
		worker->fencing_token = fencing_token;
		stop_run(worker, task, run);
	}
	if (reason != NULL)
		reply->status = 409;
	buffer_printf(&reply->body,
	    "{\"ClockMs\":%" PRId64 ",\"Reason\":\"%s\"}", clock_now_ms(),
	    reason == NULL ? "" : reason);
}

void
users_worker_handler(
    void *context, const struct fake_request *request, struct fake_reply *reply)
{
	struct users_worker *worker = context;
	struct json_object *body = json_tokener_parse(request->body);

	reply->status = 200;
	(void)pthread_mutex_lock(&worker->platform->lock);
	answer_worker_call(worker, request, body, reply);
	(void)pthread_mutex_unlock(&worker->platform->lock);
	json_object_put(body);
}
