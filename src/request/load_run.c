#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "process/alloc.h"
#include "process/clock.h"
#include "request/answer_check.h"
#include "request/load_run.h"

#define CALL_TIMEOUT_MS 8000
#define LONG_POLL_MS	5000
#define POLL_RETRY_MS	50
#define CHECK_STEP	"check answer"
#define MS_PER_SECOND	1000
#define NS_PER_MS	1000000

/* State shared by the callers. */
struct run {
	const struct load_config *config;
	const struct load_job *jobs;
	struct load_result *results;
	size_t count;
	int64_t start_ms;
	int64_t end_ms;
	atomic_size_t next; /* index of the next job to submit */
};

struct caller {
	struct run *run;
	struct client *client;
	pthread_t thread;
};

const char *
load_outcome_name(enum load_outcome outcome)
{
	static const char *const names[LOAD_OUTCOMES] = {
	    [LOAD_NOT_SENT] = "not_sent",
	    [LOAD_FINISHED] = "finished",
	    [LOAD_FAILED] = "failed",
	    [LOAD_CANCELLED] = "cancelled",
	    [LOAD_NOT_RUN] = "not_run",
	    [LOAD_UNKNOWN] = "unknown",
	    [LOAD_PENDING] = "pending",
	};

	return names[outcome];
}

static void
sleep_until(int64_t time_ms)
{
	struct timespec until = {
	    .tv_sec = time_ms / MS_PER_SECOND,
	    .tv_nsec = time_ms % MS_PER_SECOND * NS_PER_MS,
	};

	(void)clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &until, NULL);
}

/* Returns the outcome in a job's JSON, or LOAD_OUTCOMES if it has not ended. */
static enum load_outcome
outcome_of(struct json_object *job)
{
	const char *name = client_string(job, "outcome", "");

	for (int i = LOAD_FINISHED; i <= LOAD_UNKNOWN; i++) {
		if (strcmp(load_outcome_name(i), name) == 0)
			return i;
	}
	return LOAD_OUTCOMES;
}

/* Checks that each part of the answer is "INDEX:PAYLOAD", the answer of the
 * test workers. */
static enum ibis_code
check_content(const struct load_job *job, struct json_object *job_json,
    struct ibis_status *status)
{
	struct json_object *parts = NULL;
	char expected[LOAD_PAYLOAD_BYTES * 2];

	(void)json_object_object_get_ex(job_json, "answers", &parts);
	if (json_object_array_length(parts) != job->tasks)
		return ibis_status_set(status, IBIS_INTERNAL, CHECK_STEP, NULL,
		    "%zu parts; expected %" PRIu32,
		    json_object_array_length(parts), job->tasks);
	for (uint32_t i = 0; i < job->tasks; i++) {
		const char *part =
		    json_object_get_string(json_object_array_get_idx(parts, i));

		(void)snprintf(expected, sizeof(expected), "%" PRIu32 ":%s", i,
		    job->payload);
		if (part == NULL || strcmp(part, expected) != 0)
			return ibis_status_set(status, IBIS_INTERNAL,
			    CHECK_STEP, NULL,
			    "part %" PRIu32 " is '%.40s'; expected '%s'", i,
			    part == NULL ? "" : part, expected);
	}
	return IBIS_OK;
}

/* Updates a result from a job's JSON. Returns whether the job has ended. */
static bool
update_result(const struct load_job *job, struct load_result *result,
    struct json_object *job_json)
{
	enum load_outcome outcome = outcome_of(job_json);
	struct ibis_status status = {0};

	if (*result->id == '\0')
		STRING_COPY(result->id, client_string(job_json, "job", ""));
	if (outcome == LOAD_OUTCOMES)
		return false;
	result->outcome = outcome;
	STRING_SHORTEN(result->message, client_string(job_json, "reason", ""));
	if (outcome == LOAD_FINISHED &&
	    (answer_check_parts(job_json, &status) != IBIS_OK ||
		check_content(job, job_json, &status) != IBIS_OK)) {
		result->wrong_answer = true;
		STRING_SHORTEN(result->message, status.message);
	}
	return true;
}

/* Submits a job. Returns false when it was accepted and has not ended yet. */
static bool
submit(struct caller *caller, const struct load_job *job,
    struct load_result *result)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	CLEANUP(buffer_free) struct buffer body = {0};
	CLEANUP(buffer_free) struct buffer path = {0};
	struct ibis_status status = {0};
	struct client_call call = {
	    .method = "POST",
	    .idempotency_key = job->key,
	    .repeatable = true,
	};
	enum ibis_code code;

	load_job_body(job, &body);
	buffer_printf(&path, "/v1/jobs?wait_ms=%d", LONG_POLL_MS);
	call.path = path.data;
	call.body = body.data;
	code = client_send(caller->client, &call, &answer, &status);
	if (code == IBIS_OK)
		return update_result(job, result, answer.json);
	result->outcome = code == IBIS_UNKNOWN || code == IBIS_INTERNAL
	    ? LOAD_UNKNOWN
	    : LOAD_NOT_RUN;
	STRING_SHORTEN(result->message, status.message);
	return true;
}

/* Polls an accepted job until it has ended or the run ends. */
static void
wait_for_end(struct caller *caller, const struct load_job *job,
    struct load_result *result)
{
	CLEANUP(buffer_free) struct buffer path = {0};

	buffer_printf(
	    &path, "/v1/jobs/%s?wait_ms=%d", result->id, LONG_POLL_MS);
	while (clock_now_ms() < caller->run->end_ms) {
		CLEANUP(client_answer_free) struct client_answer answer = {0};
		struct ibis_status status = {0};

		if (client_get(caller->client, path.data, &answer, &status) !=
		    IBIS_OK) {
			STRING_SHORTEN(result->message, status.message);
			sleep_until(clock_now_ms() + POLL_RETRY_MS);
			continue;
		}
		if (update_result(job, result, answer.json))
			return;
	}
}

static void
run_job(struct caller *caller, size_t index)
{
	const struct load_job *job = &caller->run->jobs[index];
	struct load_result *result = &caller->run->results[index];
	int64_t arrival_ms = caller->run->start_ms + job->arrival_ms;

	if (arrival_ms >= caller->run->end_ms)
		return;
	sleep_until(arrival_ms);
	if (clock_now_ms() >= caller->run->end_ms)
		return;
	result->outcome = LOAD_PENDING;
	if (!submit(caller, job, result))
		wait_for_end(caller, job, result);
	result->completion_ms = clock_now_ms() - arrival_ms;
}

static void *
run_caller(void *argument)
{
	struct caller *caller = argument;
	struct run *run = caller->run;

	for (;;) {
		size_t index = atomic_fetch_add(&run->next, 1);

		if (index >= run->count)
			return NULL;
		run_job(caller, index);
	}
}

void
load_run(const struct load_config *config, const struct load_job *jobs,
    size_t count, struct load_result *results)
{
	struct caller *callers = mem_calloc(config->callers, sizeof(*callers));
	int64_t now_ms = clock_now_ms();
	struct run run = {
	    .config = config,
	    .jobs = jobs,
	    .results = results,
	    .count = count,
	    .start_ms = now_ms,
	    .end_ms = now_ms + config->max_run_ms,
	};
	uint32_t started = 0;

	for (uint32_t i = 0; i < config->callers; i++) {
		struct client_config client_config = {
		    .servers = config->servers,
		    .servers_count = config->servers_count,
		    .first_server = i % (uint32_t)config->servers_count,
		    .call_timeout_ms = CALL_TIMEOUT_MS,
		    .retry_ms = config->retry_ms,
		};

		callers[i].run = &run;
		callers[i].client = client_new(&client_config);
		if (pthread_create(&callers[i].thread, NULL, run_caller,
			&callers[i]) != 0) {
			client_free(callers[i].client);
			break;
		}
		started++;
	}
	for (uint32_t i = 0; i < started; i++) {
		(void)pthread_join(callers[i].thread, NULL);
		client_free(callers[i].client);
	}
	mem_free(callers);
}
