/* A stand-in for a worker. */
#include "worker.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "http.h"
#include "record.h"

enum {
	MAX_RUNS = 64,
	MAX_ENDS = 4096,
	MAX_ENDS_LISTED = 500,
	JOB_DIGITS = 16,
	MAX_HOLD_MS = 10000,
	PING_MS = 1500,
	EXPIRES_MS = 3 * PING_MS,
	POLL_MS = 2,
	BODY_BYTES = 1 << 18,
	HTTP_CONFLICT = 409,
	HTTP_OTHER_INCARNATION = 421,
	HTTP_UNAVAILABLE = 503
};

struct run {
	bool used;
	bool fails;
	char task[WORKER_TEXT_BYTES];
	int64_t number;
	int64_t started_ms;
	int64_t ends_ms; /* INT64_MAX: never */
};

struct end {
	int64_t number;
	char task[WORKER_TEXT_BYTES];
	int64_t run;
	const char *how;
	bool lost;	  /* with an earlier life; not listed */
	bool noted;	  /* AckSeq has reached it */
	int64_t begun_ms; /* 0: a stop of what wasn't there */
	int64_t at_ms;
};

struct worker {
	struct worker_config config;
	struct store *store;
	struct http_server *server; /* NULL: it is down */
	pthread_mutex_t lock;
	char id[WORKER_TEXT_BYTES];
	uint16_t port;
	int lives;
	int64_t born_wall_ms;
	int64_t born_ms;
	int64_t token;
	int64_t hold_until_ms; /* on its clock */
	int64_t last_end;
	int64_t acked_end;
	int64_t sequence;
	int64_t pinged_ms;
	int64_t listed_ends_ms;
	bool listed;
	bool unhealthy;
	struct run runs[MAX_RUNS];
	struct end ends[MAX_ENDS]; /* of all lives */
	size_t ends_count;
	size_t life_begins; /* index of the first end of this life */
};

static int64_t
wall_ms(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static int64_t
clock_ms(const struct worker *worker)
{
	return now_ms() - worker->born_ms + 1;
}

/* Writes the worker's entry. */
static void
ping(struct worker *worker)
{
	char key[WORKER_TEXT_BYTES * 2];
	char text[HTTP_TEXT_BYTES * 2];

	worker->pinged_ms = now_ms();
	worker->listed = true;
	(void)snprintf(key, sizeof(key), "servers/%s", worker->id);
	(void)snprintf(text, sizeof(text),
	    "{\"Service\":\"%s\",\"Address\":\"%s:%u\",\"Zone\":\"%s\","
	    "\"Version\":\"1\",\"Slots\":8,\"State\":\"ready\","
	    "\"ColdRemainingMs\":0,\"Sequence\":%" PRId64
	    ",\"Capacity\":{\"Cpu\":128000,\"MemMb\":262144,\"Gpus\":%d},"
	    "\"Labels\":[\"%s\",\"%s\"],\"born\":%" PRId64 "}",
	    worker->config.service, worker->config.ip, worker->port,
	    worker->config.zone, ++worker->sequence,
	    worker->config.accelerators, worker->config.kind,
	    worker->config.rack, worker->born_wall_ms);
	store_put(worker->store, key, text);
}

static void
add_end(struct worker *worker, const char *task, int64_t run, int64_t begun_ms,
    const char *how, bool lost)
{
	struct end *end;

	if (worker->ends_count == MAX_ENDS)
		abort();
	end = &worker->ends[worker->ends_count++];
	*end = (struct end){.number = lost ? 0 : ++worker->last_end,
	    .run = run,
	    .how = how,
	    .lost = lost,
	    .begun_ms = begun_ms,
	    .at_ms = now_ms()};
	end->noted = !lost && end->number <= worker->acked_end;
	(void)snprintf(end->task, sizeof(end->task), "%s", task);
	record("worker %s: %s run %" PRId64 " ends %s", worker->id, task, run,
	    how);
}

static void
end_run(struct worker *worker, struct run *run, const char *how)
{
	run->used = false;
	add_end(worker, run->task, run->number, run->started_ms, how, false);
}

/* Ends the runs whose time has come. */
static void
advance_runs(struct worker *worker)
{
	for (size_t i = 0; i < MAX_RUNS; i++) {
		struct run *run = &worker->runs[i];

		if (run->used && now_ms() >= run->ends_ms)
			end_run(worker, run, run->fails ? "failed" : "done");
		else if (run->used && clock_ms(worker) >= worker->hold_until_ms)
			end_run(worker, run, "lapsed");
	}
}

static int64_t
number_of(struct json_object *json, const char *name)
{
	struct json_object *member = NULL;

	return json_object_object_get_ex(json, name, &member)
	    ? json_object_get_int64(member)
	    : 0;
}

static const char *
text_of(struct json_object *json, const char *name)
{
	struct json_object *member = NULL;

	return json_object_object_get_ex(json, name, &member)
	    ? json_object_get_string(member)
	    : "";
}

static void
extend_hold(struct worker *worker, struct json_object *body)
{
	int64_t until_ms = number_of(body, "HoldUntilMs");
	int64_t latest_ms = clock_ms(worker) + MAX_HOLD_MS;

	if (until_ms > latest_ms)
		until_ms = latest_ms;
	if (until_ms > worker->hold_until_ms)
		worker->hold_until_ms = until_ms;
}

/* Returns whether this run or a later one was stopped or has ended in this
 * life. */
static bool
is_old(const struct worker *worker, const char *task, int64_t run)
{
	for (size_t i = worker->life_begins; i < worker->ends_count; i++) {
		if (worker->ends[i].run >= run &&
		    strcmp(worker->ends[i].task, task) == 0)
			return true;
	}
	return false;
}

static struct run *
find_run(struct worker *worker, const char *task, int64_t number)
{
	for (size_t i = 0; i < MAX_RUNS; i++) {
		struct run *run = &worker->runs[i];

		if (run->used && run->number == number &&
		    strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

/* Advances *text past a word. Returns whether it begins with it. */
static bool
skip_word(const char **text, const char *word)
{
	size_t length = strlen(word);

	if (strncmp(*text, word, length) != 0)
		return false;
	*text += length;
	return true;
}

static void
begin_run(
    struct worker *worker, const char *task, int64_t number, const char *text)
{
	struct run *run = worker->runs;
	const char *rest = text;

	while (run->used && run + 1 < worker->runs + MAX_RUNS)
		run++;
	if (run->used)
		abort();
	*run = (struct run){.used = true,
	    .number = number,
	    .started_ms = now_ms(),
	    .ends_ms = INT64_MAX};
	(void)snprintf(run->task, sizeof(run->task), "%s", task);
	run->fails = skip_word(&rest, "fail ");
	if (run->fails || skip_word(&rest, "work "))
		run->ends_ms = run->started_ms + strtoll(rest, NULL, 10);
	record("worker %s: %s run %" PRId64 " begins (%s)", worker->id, task,
	    number, text);
}

/* Returns why the start is rejected, or NULL. */
static const char *
start(struct worker *worker, struct json_object *body)
{
	const char *task = text_of(body, "Task");
	int64_t number = number_of(body, "Run");

	extend_hold(worker, body);
	if (find_run(worker, task, number) != NULL)
		return NULL;
	if (is_old(worker, task, number))
		return "old";
	if (number_of(body, "HoldUntilMs") <= clock_ms(worker))
		return "late";
	begin_run(worker, task, number, text_of(body, "Spec"));
	return NULL;
}

static void
stop(struct worker *worker, struct json_object *body)
{
	const char *task = text_of(body, "Task");
	int64_t number = number_of(body, "Run");
	struct run *run = find_run(worker, task, number);

	if (run != NULL)
		end_run(worker, run, "stopped");
	else if (!is_old(worker, task, number))
		add_end(worker, task, number, 0, "stopped", false);
}

static int
percent_of(const struct run *run)
{
	int64_t percent;

	if (run->ends_ms == INT64_MAX)
		return 100;
	percent = (now_ms() - run->started_ms) * 100 /
	    (run->ends_ms - run->started_ms + 1);
	return percent < 99 ? (int)percent : 99;
}

static char *
render_lists(struct worker *worker)
{
	char *text = calloc(1, BODY_BYTES);
	size_t used = 0;
	const char *comma = "";
	size_t listed = 0;

	if (text == NULL)
		abort();
	used += (size_t)snprintf(text, BODY_BYTES,
	    "{\"ClockMs\":%" PRId64 ",\"born\":%" PRId64
	    ",\"Capacity\":{\"Cpu\":128000,\"MemMb\":262144,\"Gpus\":%d},"
	    "\"Labels\":[\"%s\",\"%s\"],\"Running\":[",
	    clock_ms(worker), worker->born_wall_ms, worker->config.accelerators,
	    worker->config.kind, worker->config.rack);
	for (size_t i = 0; i < MAX_RUNS; i++) {
		const struct run *run = &worker->runs[i];

		if (!run->used)
			continue;
		used += (size_t)snprintf(text + used, BODY_BYTES - used,
		    "%s[\"%s\",%" PRId64 ",\"\",%d,0]", comma, run->task,
		    run->number, percent_of(run));
		comma = ",";
	}
	used += (size_t)snprintf(
	    text + used, BODY_BYTES - used, "],\"EndedRuns\":[");
	comma = "";
	for (size_t i = worker->life_begins;
	     i < worker->ends_count && listed < MAX_ENDS_LISTED; i++) {
		const struct end *end = &worker->ends[i];

		if (end->number <= worker->acked_end)
			continue;
		used += (size_t)snprintf(text + used, BODY_BYTES - used,
		    "%s[%" PRId64 ",\"%s\",%" PRId64 ",\"%s\",\"\"]", comma,
		    end->number, end->task, end->run, end->how);
		comma = ",";
		listed++;
	}
	(void)snprintf(text + used, BODY_BYTES - used, "]}");
	return text;
}

/* AckSeq has risen: ends up to it are noted and forgotten, for good in this
 * life. */
static void
note_ends(struct worker *worker, int64_t acked_end)
{
	record("worker %s: AckSeq %" PRId64 ", of %" PRId64 " ends", worker->id,
	    acked_end, worker->last_end);
	worker->acked_end = acked_end;
	for (size_t i = worker->life_begins; i < worker->ends_count; i++) {
		struct end *end = &worker->ends[i];

		end->noted |= !end->lost && end->number <= acked_end;
	}
}

/* Called with the lock, which is released while it waits for an end. */
static void
answer_hold(struct worker *worker, struct json_object *body,
    const struct http_request *request, struct http_reply *reply)
{
	int64_t until_ms = now_ms() + number_of(body, "WaitMs");
	int64_t acked_end = number_of(body, "AckSeq");
	int life = worker->lives;

	if (acked_end > worker->acked_end)
		note_ends(worker, acked_end);
	extend_hold(worker, body);
	while (worker->last_end <= worker->acked_end && now_ms() < until_ms &&
	    !atomic_load(request->stopping)) {
		(void)pthread_mutex_unlock(&worker->lock);
		sleep_ms(POLL_MS);
		(void)pthread_mutex_lock(&worker->lock);
		advance_runs(worker);
	}
	reply->cut = atomic_load(request->stopping) || worker->lives != life;
	if (reply->cut)
		return;
	reply->body = render_lists(worker);
	if (worker->last_end > worker->acked_end)
		worker->listed_ends_ms = now_ms();
}

static void
reply_clock(
    const struct worker *worker, const char *reason, struct http_reply *reply)
{
	reply->body = calloc(1, HTTP_TEXT_BYTES);
	if (reply->body == NULL)
		abort();
	if (reason == NULL) {
		(void)snprintf(reply->body, HTTP_TEXT_BYTES,
		    "{\"ClockMs\":%" PRId64 "}", clock_ms(worker));
		return;
	}
	reply->status = HTTP_CONFLICT;
	(void)snprintf(reply->body, HTTP_TEXT_BYTES,
	    "{\"ClockMs\":%" PRId64 ",\"Reason\":\"%s\"}", clock_ms(worker),
	    reason);
}

static void
answer_order(struct worker *worker, const struct http_request *request,
    struct json_object *body, struct http_reply *reply)
{
	bool starts = strcmp(request->path, "/ibistrestle/run-start") == 0;
	const char *reason = NULL;

	if (starts)
		reason = start(worker, body);
	else
		stop(worker, body);
	reply_clock(worker, reason, reply);
	record("worker %s: %s %s run %" PRId64 " token %" PRId64
	       " answered %d %s",
	    worker->id, starts ? "start" : "stop", text_of(body, "Task"),
	    number_of(body, "Run"), number_of(body, "FencingToken"),
	    reply->status, reason == NULL ? "" : reason);
}

static void
answer_call(struct worker *worker, const struct http_request *request,
    struct json_object *body, struct http_reply *reply)
{
	int64_t token = number_of(body, "FencingToken");

	advance_runs(worker);
	if (*request->expected_instance != '\0' &&
	    strcmp(request->expected_instance, worker->id) != 0) {
		reply->status = HTTP_OTHER_INCARNATION;
		return;
	}
	if (worker->unhealthy &&
	    strcmp(request->path, "/ibistrestle/run-start") == 0) {
		reply->status = HTTP_UNAVAILABLE;
		record("worker %s: start %s run %" PRId64 " answered 503",
		    worker->id, text_of(body, "Task"), number_of(body, "Run"));
		return;
	}
	if (token < worker->token) {
		reply_clock(worker, "fence", reply);
		return;
	}
	worker->token = token;
	if (strcmp(request->path, "/ibistrestle/hold") == 0)
		answer_hold(worker, body, request, reply);
	else
		answer_order(worker, request, body, reply);
}

static void
handle(
    void *context, const struct http_request *request, struct http_reply *reply)
{
	struct worker *worker = context;
	struct json_object *body = json_tokener_parse(request->body);

	(void)pthread_mutex_lock(&worker->lock);
	if (worker->server == NULL || atomic_load(request->stopping))
		reply->cut = true;
	else
		answer_call(worker, request, body, reply);
	(void)pthread_mutex_unlock(&worker->lock);
	(void)json_object_put(body);
}

/* Begins a life: the worker holds and knows nothing of before. */
static bool
begin_life(struct worker *worker)
{
	struct http_server *server =
	    http_server_start(worker->config.ip, worker->port, handle, worker);

	if (server == NULL)
		return false;
	(void)pthread_mutex_lock(&worker->lock);
	worker->server = server;
	worker->port = http_server_port(server);
	worker->lives++;
	worker->born_wall_ms = wall_ms();
	worker->born_ms = now_ms();
	worker->token = 0;
	worker->hold_until_ms = 0;
	worker->last_end = 0;
	worker->acked_end = 0;
	worker->sequence = 0;
	worker->life_begins = worker->ends_count;
	record(
	    "worker %s: up, born %" PRId64, worker->id, worker->born_wall_ms);
	ping(worker);
	(void)pthread_mutex_unlock(&worker->lock);
	return true;
}

struct worker *
worker_start(const struct worker_config *config, struct store *store)
{
	struct worker *worker = calloc(1, sizeof(*worker));

	if (worker == NULL)
		return NULL;
	worker->config = *config;
	worker->store = store;
	(void)pthread_mutex_init(&worker->lock, NULL);
	(void)snprintf(worker->id, sizeof(worker->id), "%s", config->id);
	if (begin_life(worker))
		return worker;
	free(worker);
	return NULL;
}

static void
go_down(struct worker *worker)
{
	struct http_server *server;

	(void)pthread_mutex_lock(&worker->lock);
	server = worker->server;
	worker->server = NULL;
	for (size_t i = 0; i < MAX_RUNS; i++) {
		struct run *run = &worker->runs[i];

		if (!run->used)
			continue;
		run->used = false;
		add_end(worker, run->task, run->number, run->started_ms,
		    "lost with the worker", true);
	}
	(void)pthread_mutex_unlock(&worker->lock);
	http_server_stop(server);
}

void
worker_crash(struct worker *worker)
{
	record("worker %s: crashes", worker->id);
	go_down(worker);
}

void
worker_return(struct worker *worker, bool new_id)
{
	char key[WORKER_TEXT_BYTES * 2];

	if (new_id) {
		(void)snprintf(key, sizeof(key), "servers/%s", worker->id);
		store_remove(worker->store, key);
		(void)snprintf(worker->id, sizeof(worker->id), "%s-%d",
		    worker->config.id, worker->lives + 1);
	}
	(void)begin_life(worker);
}

void
worker_stop(struct worker *worker)
{
	if (worker == NULL)
		return;
	go_down(worker);
	(void)pthread_mutex_destroy(&worker->lock);
	free(worker);
}

void
worker_set_unhealthy(struct worker *worker, bool unhealthy)
{
	(void)pthread_mutex_lock(&worker->lock);
	worker->unhealthy = unhealthy;
	record("worker %s: %s", worker->id,
	    unhealthy ? "answers 503 to starts" : "accepts starts");
	(void)pthread_mutex_unlock(&worker->lock);
}

void
worker_advance(struct worker *worker)
{
	int64_t silent_ms;
	char key[WORKER_TEXT_BYTES * 2];

	(void)pthread_mutex_lock(&worker->lock);
	silent_ms = now_ms() - worker->pinged_ms;
	if (worker->server != NULL) {
		advance_runs(worker);
		if (silent_ms >= PING_MS)
			ping(worker);
	} else if (worker->listed && silent_ms >= EXPIRES_MS) {
		worker->listed = false;
		(void)snprintf(key, sizeof(key), "servers/%s", worker->id);
		store_remove(worker->store, key);
	}
	(void)pthread_mutex_unlock(&worker->lock);
}

size_t
worker_list_runs(struct worker *worker, struct worker_run *runs, size_t most)
{
	size_t count = 0;

	(void)pthread_mutex_lock(&worker->lock);
	for (size_t i = 0; i < worker->ends_count && count < most; i++) {
		const struct end *end = &worker->ends[i];

		if (end->begun_ms == 0)
			continue;
		runs[count] = (struct worker_run){.begun_ms = end->begun_ms,
		    .done = strcmp(end->how, "done") == 0,
		    .noted = end->noted};
		memcpy(runs[count++].task, end->task, sizeof(end->task));
	}
	for (size_t i = 0; i < MAX_RUNS && count < most; i++) {
		const struct run *run = &worker->runs[i];

		if (!run->used)
			continue;
		runs[count] = (struct worker_run){.begun_ms = run->started_ms};
		memcpy(runs[count++].task, run->task, sizeof(run->task));
	}
	(void)pthread_mutex_unlock(&worker->lock);
	return count;
}

int64_t
worker_listed_ends_ms(struct worker *worker)
{
	int64_t listed_ms;

	(void)pthread_mutex_lock(&worker->lock);
	listed_ms = worker->listed_ends_ms;
	(void)pthread_mutex_unlock(&worker->lock);
	return listed_ms;
}

static bool
is_of_job(const char *task, const char *job)
{
	return strncmp(task, job, JOB_DIGITS) == 0;
}

void
worker_add_job(struct worker *worker, const char *job, struct worker_job *sum)
{
	(void)pthread_mutex_lock(&worker->lock);
	for (size_t i = 0; i < MAX_RUNS; i++) {
		if (!worker->runs[i].used ||
		    !is_of_job(worker->runs[i].task, job))
			continue;
		sum->running++;
		sum->started++;
		sum->last_running_ms = now_ms();
	}
	for (size_t i = 0; i < worker->ends_count; i++) {
		const struct end *end = &worker->ends[i];

		if (!is_of_job(end->task, job))
			continue;
		sum->started++;
		sum->done += strcmp(end->how, "done") == 0;
		sum->failed += strcmp(end->how, "failed") == 0;
		if (end->at_ms > sum->last_running_ms)
			sum->last_running_ms = end->at_ms;
	}
	(void)pthread_mutex_unlock(&worker->lock);
}

int
worker_running(struct worker *worker)
{
	int count = 0;

	(void)pthread_mutex_lock(&worker->lock);
	for (size_t i = 0; i < MAX_RUNS; i++)
		count += worker->runs[i].used;
	(void)pthread_mutex_unlock(&worker->lock);
	return count;
}

int64_t
worker_last_start_ms(struct worker *worker)
{
	int64_t last_ms = 0;

	(void)pthread_mutex_lock(&worker->lock);
	for (size_t i = 0; i < MAX_RUNS; i++) {
		if (worker->runs[i].used &&
		    worker->runs[i].started_ms > last_ms)
			last_ms = worker->runs[i].started_ms;
	}
	(void)pthread_mutex_unlock(&worker->lock);
	return last_ms;
}

const char *
worker_id(const struct worker *worker)
{
	return worker->id;
}
