/* Stand-in of a worker: runs tasks under a lease, by orders with a fencing
 * token. It does not guard its capacity. */
#include <inttypes.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include "common/fake_json.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "site.h"

#define STATUS_CONFLICT	   409
#define STATUS_REPLACED	   421
#define STATUS_UNAVAILABLE 503
#define MAX_HOLD_MS	   10000
#define HEARTBEAT_MS	   1500
#define WAIT_STEP_MS	   2
#define CHECKPOINT_MS	   500
#define FAIL_MS		   100 /* from the start of a run that fails */
#define FULL_PERCENT	   100
#define SPREAD_STEP_MS	   37
#define KEY_BYTES	   128

static int64_t
clock_of(const struct site_worker *worker)
{
	return clock_now_ms() - worker->clock_zero_ms;
}

static bool
is_present(const struct site_run *run, const struct site_worker *worker)
{
	return run->worker == worker && run->began_ms != 0 &&
	    run->ended_ms == 0;
}

/* Ends a run; the worker lists the end unless it is lost with the worker. */
static void
end_run(struct site_run *run, const char *how, bool listed)
{
	run->ended_ms = clock_now_ms();
	run->how = how;
	if (listed)
		run->end_number = ++run->worker->last_end;
	site_note(run->worker->site, "worker %s: run %" PRId64 " of %s %s",
	    run->worker->id, run->run, run->task, how);
}

static struct site_run *
add_run(struct site_worker *worker, const char *task, int64_t number)
{
	struct site *site = worker->site;
	struct site_run *run;

	if (site->runs_count == SITE_MAX_RUNS)
		return NULL;
	run = &site->runs[site->runs_count++];
	*run = (struct site_run){.worker = worker,
	    .run = number,
	    .incarnation = worker->incarnation};
	STRING_COPY(run->task, task);
	return run;
}

/* Returns why a run may not begin: this one or a later one was stopped or has
 * ended here; NULL: it may. */
static const char *
reason_against(const struct site_worker *worker, const char *task,
    int64_t number, bool *present)
{
	const struct site *site = worker->site;

	*present = false;
	for (size_t i = 0; i < site->runs_count; i++) {
		const struct site_run *run = &site->runs[i];

		if (run->worker != worker ||
		    run->incarnation != worker->incarnation ||
		    strcmp(run->task, task) != 0 || run->run < number)
			continue;
		if (is_present(run, worker) && run->run == number)
			*present = true;
		else if (run->ended_ms != 0)
			return "old";
	}
	return NULL;
}

/* Counts the run if its task runs elsewhere, on a worker that is up. */
static void
judge_start(struct site *site, const struct site_run *started)
{
	for (size_t i = 0; i < site->runs_count; i++) {
		const struct site_run *run = &site->runs[i];

		if (run == started || run->began_ms == 0 ||
		    run->ended_ms != 0 || run->worker->down ||
		    strcmp(run->task, started->task) != 0)
			continue;
		site->twice++;
		site_note(site,
		    "TWICE: %s runs on %s (run %" PRId64 ") and on %s (run "
		    "%" PRId64 ")",
		    run->task, run->worker->id, run->run, started->worker->id,
		    started->run);
	}
}

/* Returns how long a run works if nothing ends it. */
static int64_t
run_ms_of(const struct site_run *run)
{
	const struct site *site = run->worker->site;
	int64_t number = run - site->runs;

	if (site->options.spread_ms == 0)
		return site->options.run_ms;
	return site->options.run_ms +
	    number * SPREAD_STEP_MS % site->options.spread_ms;
}

static const char *
start_run(struct site_worker *worker, struct json_object *body)
{
	const char *task = fake_json_text(body, "Task", "");
	int64_t number = fake_json_number(body, "Run", 0);
	struct site_run *run;
	bool present;
	const char *reason = reason_against(worker, task, number, &present);

	if (reason != NULL || present)
		return reason;
	if (fake_json_number(body, "HoldUntilMs", 0) <= clock_of(worker))
		return "late";
	run = add_run(worker, task, number);
	if (run == NULL)
		return "room";
	run->began_ms = clock_now_ms();
	run->work_ends_ms = run->began_ms + run_ms_of(run);
	site_note(worker->site, "worker %s: begins run %" PRId64 " of %s",
	    worker->id, number, task);
	judge_start(worker->site, run);
	return NULL;
}

/* A stopped run that is not here can't begin later. */
static void
stop_run(struct site_worker *worker, struct json_object *body)
{
	const char *task = fake_json_text(body, "Task", "");
	int64_t number = fake_json_number(body, "Run", 0);
	struct site *site = worker->site;
	struct site_run *never;

	for (size_t i = 0; i < site->runs_count; i++) {
		struct site_run *run = &site->runs[i];

		if (is_present(run, worker) && run->run == number &&
		    strcmp(run->task, task) == 0) {
			end_run(run, "stopped", true);
			return;
		}
	}
	never = add_run(worker, task, number);
	if (never != NULL)
		never->ended_ms = clock_now_ms();
}

/* Never shortens the lease. */
static void
extend_lease(struct site_worker *worker, struct json_object *body)
{
	int64_t until = fake_json_number(body, "HoldUntilMs", 0);
	int64_t latest = clock_of(worker) + MAX_HOLD_MS;

	if (until > latest)
		until = latest;
	if (until > worker->lease_until)
		worker->lease_until = until;
}

/* Carries out the starts that were kept for later. */
static void
start_late(struct site_worker *worker)
{
	for (size_t i = 0; i < SITE_MAX_LATE; i++) {
		struct site_late *late = &worker->late[i];
		struct json_object *body;

		if (late->body == NULL || clock_now_ms() < late->due_ms)
			continue;
		body = json_tokener_parse(late->body);
		if (!worker->down &&
		    fake_json_number(body, "FencingToken", 0) >=
			worker->fence) {
			worker->fence =
			    fake_json_number(body, "FencingToken", 0);
			extend_lease(worker, body);
			(void)start_run(worker, body);
		}
		json_object_put(body);
		mem_free(late->body);
		late->body = NULL;
	}
}

static void
format_key(const struct site_worker *worker, char key[KEY_BYTES])
{
	(void)snprintf(key, KEY_BYTES, "servers/%s", worker->id);
}

/* Appends what only a worker that leaves says. */
static void
append_leaving(const struct site_worker *worker, struct buffer *text)
{
	int64_t left_ms = worker->leaves_ms - clock_now_ms();

	if (worker->leaves_ms != 0)
		buffer_printf(text, ",\"RemainingMs\":%" PRId64,
		    left_ms > 0 ? left_ms : 0);
}

void
site_beat(struct site_worker *worker)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	char key[KEY_BYTES];

	if (worker->down || clock_now_ms() < worker->next_beat_ms)
		return;
	worker->next_beat_ms = clock_now_ms() + HEARTBEAT_MS;
	format_key(worker, key);
	buffer_printf(&text,
	    "{\"Service\":\"s\",\"Address\":\"%s\",\"Zone\":\"z\","
	    "\"Version\":\"v1\",\"Slots\":8,\"State\":\"%s\","
	    "\"ColdRemainingMs\":0,\"Capacity\":{\"Cpu\":128000,"
	    "\"MemMb\":262144,\"Gpus\":8},\"Labels\":[\"%s\",\"%s\"],"
	    "\"ClockMs\":%" PRId64 ",\"Sequence\":%" PRId64
	    ",\"born\":%" PRId64,
	    fake_server_address(worker->server),
	    worker->leaves_ms == 0 ? "ready" : "draining", worker->kind,
	    worker->rack, clock_of(worker), ++worker->sequence,
	    worker->born_wall_ms);
	append_leaving(worker, &text);
	buffer_puts(&text, "}");
	site_put(worker->site, key, buffer_string(&text));
}

/* What runs on a worker that leaves terminates, and its entry goes. */
static void
leave(struct site_worker *worker)
{
	struct site *site = worker->site;
	char key[KEY_BYTES];

	site_note(site, "worker %s: has left", worker->id);
	worker->down = true;
	for (size_t i = 0; i < site->runs_count; i++) {
		if (is_present(&site->runs[i], worker))
			end_run(&site->runs[i], "lost", false);
	}
	format_key(worker, key);
	site_remove(site, key);
}

void
site_advance(struct site_worker *worker)
{
	struct site *site = worker->site;

	if (worker->down)
		return;
	if (worker->leaves_ms != 0 && clock_now_ms() >= worker->leaves_ms) {
		leave(worker);
		return;
	}
	start_late(worker);
	for (size_t i = 0; i < site->runs_count; i++) {
		struct site_run *run = &site->runs[i];

		if (!is_present(run, worker))
			continue;
		if (worker->failing &&
		    clock_now_ms() - run->began_ms >= FAIL_MS)
			end_run(run, "failed", true);
		else if (clock_now_ms() >= run->work_ends_ms)
			end_run(run, "done", true);
		else if (clock_of(worker) >= worker->lease_until)
			end_run(run, "lapsed", true);
		else if (site->options.checkpoint_bytes > 0 &&
		    clock_now_ms() - run->began_ms > CHECKPOINT_MS)
			run->saved = true;
	}
}

void
site_drain(struct site *site, struct site_worker *worker, int64_t left_ms)
{
	(void)pthread_mutex_lock(&site->lock);
	site_note(site, "worker %s: drains", worker->id);
	worker->leaves_ms = clock_now_ms() + left_ms;
	worker->next_beat_ms = 0;
	site_beat(worker);
	(void)pthread_mutex_unlock(&site->lock);
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
append_lists(struct site_worker *worker, struct buffer *body)
{
	const struct site *site = worker->site;

	buffer_printf(body,
	    "{\"ClockMs\":%" PRId64 ",\"born\":%" PRId64 ",\"Running\":[",
	    clock_of(worker), worker->born_wall_ms);
	for (size_t i = 0; i < site->runs_count; i++) {
		const struct site_run *run = &site->runs[i];
		int64_t done_ms = clock_now_ms() - run->began_ms;

		if (is_present(run, worker))
			buffer_printf(body,
			    "[\"%s\",%" PRId64 ",\"%s\",%" PRId64 ",1000],",
			    run->task, run->run,
			    run->saved ? site->checkpoint : "",
			    done_ms * FULL_PERCENT / site->options.run_ms);
	}
	end_list(body);
	buffer_puts(body, ",\"EndedRuns\":[");
	for (size_t i = 0; i < site->runs_count; i++) {
		const struct site_run *run = &site->runs[i];

		if (run->worker == worker &&
		    run->incarnation == worker->incarnation &&
		    run->end_number > worker->acked)
			buffer_printf(body,
			    "[%" PRId64 ",\"%s\",%" PRId64 ",\"%s\",\"%s\"],",
			    run->end_number, run->task, run->run, run->how,
			    run->saved ? site->checkpoint : "");
	}
	end_list(body);
	append_leaving(worker, body);
	buffer_puts(body, "}");
}

static void
answer_hold(struct site_worker *worker, struct json_object *body,
    struct fake_reply *reply)
{
	int64_t until_ms = clock_now_ms() + fake_json_number(body, "WaitMs", 0);
	int64_t acked = fake_json_number(body, "AckSeq", 0);
	int64_t incarnation = worker->incarnation;

	if (acked > worker->acked)
		worker->acked = acked;
	extend_lease(worker, body);
	while (worker->last_end <= worker->acked && !worker->down &&
	    !worker->cut && worker->incarnation == incarnation &&
	    !worker->site->stopping && clock_now_ms() < until_ms) {
		(void)pthread_mutex_unlock(&worker->site->lock);
		(void)poll(NULL, 0, WAIT_STEP_MS);
		(void)pthread_mutex_lock(&worker->site->lock);
	}
	reply->cut = worker->down || worker->incarnation != incarnation;
	append_lists(worker, &reply->body);
}

/* Keeps a start for later. Its caller gets no answer. */
static void
keep_for_later(struct site_worker *worker, const struct fake_request *request)
{
	for (size_t i = 0; i < SITE_MAX_LATE; i++) {
		if (worker->late[i].body != NULL)
			continue;
		worker->late[i].body = mem_strdup(request->body);
		worker->late[i].due_ms = clock_now_ms() + worker->late_ms;
		return;
	}
}

static const char *
carry_out(struct site_worker *worker, const struct fake_request *request,
    struct json_object *body, struct fake_reply *reply)
{
	int64_t fence = fake_json_number(body, "FencingToken", 0);
	bool starts = strcmp(request->path, "/ibistrestle/run-start") == 0;

	if (fence < worker->fence)
		return "fence";
	if (starts && worker->unhealthy) {
		reply->status = STATUS_UNAVAILABLE;
		worker->site->refused_starts++;
		site_note(worker->site, "worker %s: refuses the start of %s",
		    worker->id, fake_json_text(body, "Task", ""));
		return NULL;
	}
	worker->fence = fence;
	if (strcmp(request->path, "/ibistrestle/hold") == 0) {
		answer_hold(worker, body, reply);
		return NULL;
	}
	if (!starts) {
		stop_run(worker, body);
		return NULL;
	}
	extend_lease(worker, body);
	return start_run(worker, body);
}

/* Waits while the worker is cut off. What arrives then is lost. */
static bool
is_cut_off(struct site_worker *worker)
{
	bool cut = false;

	while (worker->cut && !worker->site->stopping) {
		cut = true;
		(void)pthread_mutex_unlock(&worker->site->lock);
		(void)poll(NULL, 0, WAIT_STEP_MS);
		(void)pthread_mutex_lock(&worker->site->lock);
	}
	return cut;
}

static void
answer_call(struct site_worker *worker, const struct fake_request *request,
    struct json_object *body, struct fake_reply *reply)
{
	const char *expected = fake_request_header(request, "Expect-Instance");
	const char *reason;

	if (worker->down || is_cut_off(worker)) {
		reply->cut = true;
		return;
	}
	if (expected != NULL && strcmp(expected, worker->id) != 0) {
		reply->status = STATUS_REPLACED;
		return;
	}
	if (worker->next_start_late &&
	    strcmp(request->path, "/ibistrestle/run-start") == 0) {
		site_note(worker->site,
		    "worker %s: leaves the start of %s unanswered, and is cut "
		    "off",
		    worker->id, fake_json_text(body, "Task", ""));
		keep_for_later(worker, request);
		for (uint32_t i = 0; i < worker->site->options.workers; i++)
			worker->site->workers[i].next_start_late = false;
		worker->cut = true;
		(void)is_cut_off(worker);
		reply->cut = true;
		return;
	}
	site_advance(worker);
	reason = carry_out(worker, request, body, reply);
	if (is_cut_off(worker))
		reply->cut = true;
	if (reason != NULL)
		reply->status = STATUS_CONFLICT;
	if (reply->body.length == 0)
		buffer_printf(&reply->body,
		    "{\"ClockMs\":%" PRId64 ",\"Reason\":\"%s\"}",
		    clock_of(worker), reason == NULL ? "" : reason);
}

void
site_worker_handler(
    void *context, const struct fake_request *request, struct fake_reply *reply)
{
	struct site_worker *worker = context;
	struct json_object *body = json_tokener_parse(request->body);

	(void)pthread_mutex_lock(&worker->site->lock);
	answer_call(worker, request, body, reply);
	(void)pthread_mutex_unlock(&worker->site->lock);
	json_object_put(body);
}

void
site_crash(struct site *site, struct site_worker *worker)
{
	(void)pthread_mutex_lock(&site->lock);
	site_advance(worker);
	site_note(site, "worker %s: crashes", worker->id);
	worker->down = true;
	for (size_t i = 0; i < site->runs_count; i++) {
		if (is_present(&site->runs[i], worker))
			end_run(&site->runs[i], "lost", false);
	}
	(void)pthread_mutex_unlock(&site->lock);
}

void
site_restart(struct site *site, struct site_worker *worker)
{
	(void)pthread_mutex_lock(&site->lock);
	worker->incarnation++;
	worker->born_wall_ms = clock_wall_ms();
	worker->clock_zero_ms = clock_now_ms();
	worker->fence = 0;
	worker->lease_until = 0;
	worker->last_end = 0;
	worker->acked = 0;
	worker->sequence = 0;
	worker->next_beat_ms = 0;
	worker->down = false;
	site_note(site, "worker %s: is back under its id", worker->id);
	site_beat(worker);
	(void)pthread_mutex_unlock(&site->lock);
}
