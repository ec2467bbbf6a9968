/*
 * Stand-in for a worker: runs tasks under a lease on its own clock, checks
 * fencing tokens, lists runs and ends, and may crash and start again under its
 * id. A task's work takes as many milliseconds as its payload says.
 */
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/fake_json.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "site.h"

#define MAX_LEASE_MS	   10000
#define MAX_LISTED_ENDS	   500
#define DEFAULT_WORK_MS	   300
#define NO_ANSWER_MS	   400
#define FIRST_CLOCK_MS	   1000
#define POLL_INTERVAL_MS   3
#define RACK_WORKERS	   4
#define DECIMAL		   10
#define STATUS_BAD_REQUEST 400
#define STATUS_CONFLICT	   409
#define STATUS_OTHER	   421
#define STATUS_UNAVAILABLE 503
#define FULL_PERCENT	   100

static const char *const outcome_names[] = {
    [RUN_RUNNING] = "running",
    [RUN_DONE] = "done",
    [RUN_STOPPED] = "stopped",
    [RUN_LAPSED] = "lapsed",
    [RUN_CRASHED] = "lost with its worker",
};

static int64_t
worker_clock_ms(const struct worker *worker)
{
	return record_ms() - worker->born_ms + FIRST_CLOCK_MS;
}

static void
end_run(struct worker *worker, struct worker_run *run, enum run_outcome outcome)
{
	run->outcome = outcome;
	run->ended_ms = record_ms();
	if (outcome != RUN_CRASHED)
		run->end_number = ++worker->last_end;
	if (run->end_number > 0 && run->end_number <= worker->acked_end)
		run->noted_ms = run->ended_ms;
	record_line("%s: run %" PRId64 " of %s ends: %s", worker->id,
	    run->number, run->task, outcome_names[outcome]);
}

/* Ends the runs whose work is done or whose lease has expired. */
static void
advance(struct worker *worker)
{
	int64_t now_ms = record_ms();
	bool lapsed = worker_clock_ms(worker) >= worker->lease_until_ms;

	for (size_t i = worker->first; i < worker->runs_count; i++) {
		struct worker_run *run = &worker->runs[i];

		if (run->outcome != RUN_RUNNING)
			continue;
		if (now_ms >= run->started_ms + run->work_ms)
			end_run(worker, run, RUN_DONE);
		else if (lapsed)
			end_run(worker, run, RUN_LAPSED);
	}
}

static void
write_entry(struct worker *worker)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	char key[SITE_KEY_BYTES];

	(void)snprintf(key, sizeof(key), "servers/%s", worker->id);
	buffer_printf(&text,
	    "{\"Service\":\"huvo11a\",\"Address\":\"%s\","
	    "\"Zone\":\"sound-north\",\"Version\":\"v1\",\"Slots\":8,"
	    "\"State\":\"ready\",\"ColdRemainingMs\":0,"
	    "\"Capacity\":{\"Cpu\":%d,\"MemMb\":%d,\"Gpus\":%d},"
	    "\"Labels\":[\"%s\",\"r1-%" PRIu32 "\"],\"ClockMs\":%" PRId64
	    ",\"Sequence\":1,\"born\":%" PRId64 "}",
	    worker->address, SITE_WORKER_CPU_MILLI, SITE_WORKER_MEMORY_MB,
	    SITE_WORKER_ACCELERATORS, worker->kind,
	    worker->index / RACK_WORKERS, worker_clock_ms(worker),
	    worker->born_wall_ms);
	store_put(worker->store, key, buffer_string(&text));
}

/* The lease never shortens, and is never longer than MAX_LEASE_MS. */
static void
extend_lease(struct worker *worker, struct json_object *body)
{
	int64_t until_ms = fake_json_number(body, "HoldUntilMs", 0);
	int64_t latest_ms = worker_clock_ms(worker) + MAX_LEASE_MS;

	if (until_ms > latest_ms)
		until_ms = latest_ms;
	if (until_ms > worker->lease_until_ms)
		worker->lease_until_ms = until_ms;
}

static struct worker_run *
find_run(struct worker *worker, const char *task, int64_t number)
{
	for (size_t i = worker->first; i < worker->runs_count; i++) {
		if (worker->runs[i].number == number &&
		    strcmp(worker->runs[i].task, task) == 0)
			return &worker->runs[i];
	}
	return NULL;
}

/* Returns whether a run is not higher than one of the task that was stopped or
 * has ended here. */
static bool
is_old_run(const struct worker *worker, const char *task, int64_t number)
{
	for (size_t i = worker->first; i < worker->runs_count; i++) {
		const struct worker_run *run = &worker->runs[i];

		if (run->outcome != RUN_RUNNING && run->number >= number &&
		    strcmp(run->task, task) == 0)
			return true;
	}
	for (size_t i = 0; i < worker->stops_count; i++) {
		if (worker->stops[i].number >= number &&
		    strcmp(worker->stops[i].task, task) == 0)
			return true;
	}
	return false;
}

static int64_t
work_ms_of(const char *payload)
{
	const char *text = strstr(payload, "work_ms=");

	return text == NULL ? DEFAULT_WORK_MS
			    : strtoll(text + strlen("work_ms="), NULL, DECIMAL);
}

/* Returns NULL, or the reason for refusing the start. */
static const char *
start_run(struct worker *worker, struct json_object *body)
{
	const char *task = fake_json_text(body, "Task", "");
	int64_t number = fake_json_number(body, "Run", 0);
	const struct worker_run *known = find_run(worker, task, number);
	struct worker_run *run;

	extend_lease(worker, body);
	if (known != NULL && known->outcome == RUN_RUNNING)
		return NULL;
	if (is_old_run(worker, task, number))
		return "old";
	if (worker->lease_until_ms <= worker_clock_ms(worker))
		return "late";
	if (worker->runs_count == SITE_MAX_ENDS)
		return "room";
	run = &worker->runs[worker->runs_count++];
	*run = (struct worker_run){
	    .number = number,
	    .started_ms = record_ms(),
	    .work_ms = work_ms_of(fake_json_text(body, "Spec", "")),
	};
	STRING_COPY(run->task, task);
	record_line(
	    "%s: run %" PRId64 " of %s starts", worker->id, number, task);
	return NULL;
}

static void
stop_run(struct worker *worker, struct json_object *body)
{
	const char *task = fake_json_text(body, "Task", "");
	int64_t number = fake_json_number(body, "Run", 0);
	struct worker_run *run = find_run(worker, task, number);
	struct worker_run *stop;

	if (run != NULL && run->outcome == RUN_RUNNING) {
		end_run(worker, run, RUN_STOPPED);
		return;
	}
	if (run != NULL || worker->stops_count == SITE_MAX_RUNS)
		return;
	stop = &worker->stops[worker->stops_count++];
	*stop = (struct worker_run){.number = number};
	STRING_COPY(stop->task, task);
}

static struct json_object *
run_json(const struct worker_run *run)
{
	struct json_object *row = json_object_new_array();
	int64_t ran_ms = record_ms() - run->started_ms;

	(void)json_object_array_add(row, json_object_new_string(run->task));
	(void)json_object_array_add(row, json_object_new_int64(run->number));
	(void)json_object_array_add(row, json_object_new_string(""));
	(void)json_object_array_add(row,
	    json_object_new_int64(
		run->work_ms == 0 ? 0 : ran_ms * FULL_PERCENT / run->work_ms));
	(void)json_object_array_add(row, json_object_new_int64(0));
	return row;
}

static struct json_object *
end_json(const struct worker_run *run)
{
	struct json_object *row = json_object_new_array();

	(void)json_object_array_add(
	    row, json_object_new_int64(run->end_number));
	(void)json_object_array_add(row, json_object_new_string(run->task));
	(void)json_object_array_add(row, json_object_new_int64(run->number));
	(void)json_object_array_add(
	    row, json_object_new_string(outcome_names[run->outcome]));
	(void)json_object_array_add(row, json_object_new_string(""));
	return row;
}

/* Adds the ends that are not acknowledged, in the order of their numbers. */
static void
add_ends(struct worker *worker, struct json_object *ends)
{
	for (int64_t number = worker->acked_end + 1;
	     number <= worker->last_end &&
	     json_object_array_length(ends) < MAX_LISTED_ENDS;
	     number++) {
		for (size_t i = worker->first; i < worker->runs_count; i++) {
			if (worker->runs[i].end_number == number)
				(void)json_object_array_add(
				    ends, end_json(&worker->runs[i]));
		}
	}
}

static void
add_number(struct json_object *json, const char *name, int64_t number)
{
	(void)json_object_object_add(json, name, json_object_new_int64(number));
}

static struct json_object *
new_answer(const struct worker *worker)
{
	struct json_object *answer = json_object_new_object();

	add_number(answer, "ClockMs", worker_clock_ms(worker));
	add_number(answer, "born", worker->born_wall_ms);
	return answer;
}

/* Forgets the ends up to a number, as long as the incarnation lasts. */
static void
forget_ends(struct worker *worker, int64_t acked_end)
{
	if (acked_end <= worker->acked_end)
		return;
	if (acked_end > worker->last_end)
		record_line("%s: AckSeq %" PRId64
			    ", and this incarnation has numbered %" PRId64
			    " ends",
		    worker->id, acked_end, worker->last_end);
	worker->acked_end = acked_end;
	for (size_t i = worker->first; i < worker->runs_count; i++) {
		struct worker_run *run = &worker->runs[i];

		if (run->end_number > 0 && run->end_number <= acked_end &&
		    run->noted_ms == 0)
			run->noted_ms = record_ms();
	}
}

static void
answer_hold(
    struct worker *worker, struct json_object *body, struct fake_reply *reply)
{
	int64_t until_ms = record_ms() + fake_json_number(body, "WaitMs", 0);
	int64_t acked_end = fake_json_number(body, "AckSeq", 0);
	int64_t born_wall_ms = worker->born_wall_ms;
	struct json_object *answer;
	struct json_object *running = json_object_new_array();
	struct json_object *ends = json_object_new_array();

	forget_ends(worker, acked_end);
	extend_lease(worker, body);
	while (worker->last_end <= worker->acked_end &&
	    record_ms() < until_ms && !worker->down) {
		(void)pthread_mutex_unlock(&worker->lock);
		sleep_ms(POLL_INTERVAL_MS);
		(void)pthread_mutex_lock(&worker->lock);
		if (!worker->down && worker->born_wall_ms == born_wall_ms)
			advance(worker);
	}
	reply->cut = worker->down || worker->born_wall_ms != born_wall_ms;
	answer = new_answer(worker);
	for (size_t i = worker->first; i < worker->runs_count; i++) {
		if (worker->runs[i].outcome == RUN_RUNNING)
			(void)json_object_array_add(
			    running, run_json(&worker->runs[i]));
	}
	add_ends(worker, ends);
	(void)json_object_object_add(answer, "Running", running);
	(void)json_object_object_add(answer, "EndedRuns", ends);
	fake_json_append(&reply->body, answer);
}

static void
answer_reason(
    struct worker *worker, const char *reason, struct fake_reply *reply)
{
	struct json_object *answer = new_answer(worker);

	if (reason != NULL) {
		reply->status = STATUS_CONFLICT;
		(void)json_object_object_add(
		    answer, "Reason", json_object_new_string(reason));
	}
	fake_json_append(&reply->body, answer);
}

static void
answer_start(
    struct worker *worker, struct json_object *body, struct fake_reply *reply)
{
	const char *reason;

	if (worker->refuses_starts) {
		record_line("%s: refuses the start of %s: 503", worker->id,
		    fake_json_text(body, "Task", ""));
		reply->status = STATUS_UNAVAILABLE;
		return;
	}
	reason = start_run(worker, body);
	if (reason != NULL)
		record_line("%s: refuses the start of %s: %s", worker->id,
		    fake_json_text(body, "Task", ""), reason);
	answer_reason(worker, reason, reply);
}

static void
answer_call(struct worker *worker, const struct fake_request *request,
    struct json_object *body, struct fake_reply *reply)
{
	const char *expected = fake_request_header(request, "Expect-Instance");
	int64_t token = fake_json_number(body, "FencingToken", 0);

	if (worker->down) {
		reply->cut = true;
		return;
	}
	if (expected != NULL && strcmp(expected, worker->id) != 0) {
		reply->status = STATUS_OTHER;
		return;
	}
	advance(worker);
	if (token < worker->token) {
		answer_reason(worker, "fence", reply);
		return;
	}
	worker->token = token;
	if (strcmp(request->path, "/ibistrestle/hold") == 0) {
		answer_hold(worker, body, reply);
	} else if (strcmp(request->path, "/ibistrestle/run-start") == 0) {
		answer_start(worker, body, reply);
	} else if (strcmp(request->path, "/ibistrestle/run-stop") == 0) {
		stop_run(worker, body);
		answer_reason(worker, NULL, reply);
	} else {
		reply->status = STATUS_BAD_REQUEST;
	}
}

/* A start that was not answered and is carried out later. */
struct late_start {
	struct worker *worker;
	struct json_object *body; /* owned */
	int64_t at_ms;
};

static void *
carry_out_late(void *context)
{
	struct late_start *late = context;
	struct worker *worker = late->worker;
	struct fake_reply reply = {0};

	sleep_until(late->at_ms);
	(void)pthread_mutex_lock(&worker->lock);
	record_line("%s: a late start of %s arrives, token %" PRId64
		    ", highest seen %" PRId64,
	    worker->id, fake_json_text(late->body, "Task", ""),
	    fake_json_number(late->body, "FencingToken", 0), worker->token);
	if (!worker->down &&
	    fake_json_number(late->body, "FencingToken", 0) >= worker->token) {
		worker->token = fake_json_number(late->body, "FencingToken", 0);
		answer_start(worker, late->body, &reply);
	}
	(void)pthread_mutex_unlock(&worker->lock);
	buffer_free(&reply.body);
	json_object_put(late->body);
	mem_free(late);
	return NULL;
}

/* Leaves a start unanswered. Returns false when it is not to be late. */
static bool
delay_start(struct worker *worker, const struct fake_request *request)
{
	struct late_start *late;
	pthread_t thread;

	if (worker->late_start_ms == 0 ||
	    strcmp(request->path, "/ibistrestle/run-start") != 0)
		return false;
	late = mem_calloc(1, sizeof(*late));
	late->worker = worker;
	late->body = json_tokener_parse(request->body);
	late->at_ms = worker->late_start_ms;
	worker->late_start_ms = 0;
	record_line("%s: leaves the start of %s unanswered", worker->id,
	    fake_json_text(late->body, "Task", ""));
	if (pthread_create(&thread, NULL, carry_out_late, late) == 0)
		(void)pthread_detach(thread);
	return true;
}

static void
handle_request(
    void *context, const struct fake_request *request, struct fake_reply *reply)
{
	struct worker *worker = context;
	struct json_object *body = json_tokener_parse(request->body);

	(void)pthread_mutex_lock(&worker->lock);
	reply->cut = delay_start(worker, request);
	if (!reply->cut)
		answer_call(worker, request, body, reply);
	(void)pthread_mutex_unlock(&worker->lock);
	if (reply->cut)
		sleep_ms(NO_ANSWER_MS);
	json_object_put(body);
}

/* Begins an incarnation, which has seen nothing. */
static void
begin_incarnation(struct worker *worker)
{
	int64_t wall_ms = clock_wall_ms();

	if (wall_ms <= worker->born_wall_ms)
		wall_ms = worker->born_wall_ms + 1;
	worker->born_wall_ms = wall_ms;
	worker->born_ms = record_ms();
	worker->token = 0;
	worker->lease_until_ms = 0;
	worker->acked_end = 0;
	worker->last_end = 0;
	worker->first = worker->runs_count;
	worker->stops_count = 0;
	worker->down = false;
}

void
worker_start(struct worker *worker, struct store *store, uint32_t index,
    const char *address, const char *kind)
{
	(void)pthread_mutex_init(&worker->lock, NULL);
	worker->store = store;
	worker->index = index;
	(void)snprintf(
	    worker->id, sizeof(worker->id), "i-7f3a91%02" PRIx32, index);
	STRING_COPY(worker->address, address);
	STRING_COPY(worker->kind, kind);
	begin_incarnation(worker);
	worker->server = fake_server_start(address, handle_request, worker);
	write_entry(worker);
}

void
worker_stop(struct worker *worker)
{
	(void)pthread_mutex_lock(&worker->lock);
	worker->down = true;
	(void)pthread_mutex_unlock(&worker->lock);
	fake_server_stop(worker->server);
	worker->server = NULL;
}

void
worker_crash(struct worker *worker)
{
	record_line("%s: crashes", worker->id);
	(void)pthread_mutex_lock(&worker->lock);
	worker->down = true;
	for (size_t i = worker->first; i < worker->runs_count; i++) {
		if (worker->runs[i].outcome == RUN_RUNNING)
			end_run(worker, &worker->runs[i], RUN_CRASHED);
	}
	(void)pthread_mutex_unlock(&worker->lock);
	fake_server_stop(worker->server);
	worker->server = NULL;
}

void
worker_restart(struct worker *worker, int64_t entry_after_ms)
{
	(void)pthread_mutex_lock(&worker->lock);
	begin_incarnation(worker);
	(void)pthread_mutex_unlock(&worker->lock);
	worker->server =
	    fake_server_start(worker->address, handle_request, worker);
	record_line(
	    "%s: is up again, born %" PRId64, worker->id, worker->born_wall_ms);
	sleep_ms(entry_after_ms);
	write_entry(worker);
}

static bool
is_of_job(const struct worker_run *run, const char *job_id)
{
	return strncmp(run->task, job_id, strlen(job_id)) == 0;
}

size_t
worker_count_runs(struct worker *worker, const char *job_id)
{
	size_t count = 0;

	(void)pthread_mutex_lock(&worker->lock);
	for (size_t i = 0; i < worker->runs_count; i++)
		count += is_of_job(&worker->runs[i], job_id);
	(void)pthread_mutex_unlock(&worker->lock);
	return count;
}
