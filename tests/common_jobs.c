#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common_jobs.h"
#include "process/alloc.h"
#include "process/clock.h"

#define LONG_POLL_MS	  2000
#define RETRY_INTERVAL_MS 10

enum ibis_code
job_submit(struct deployment *deployment, uint32_t instance,
    const struct job_spec *spec, char id[JOB_ID_BYTES])
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	CLEANUP(buffer_free) struct buffer body = {0};
	struct ibis_status status = {0};
	struct client_call call = {
	    .method = "POST",
	    .path = "/v1/jobs",
	    .idempotency_key = spec->key,
	};
	enum ibis_code code;

	buffer_printf(&body,
	    "{\"workspace\": \"%s\", \"class\": \"%s\", \"tasks\": %" PRIu32
	    ", \"accelerators_per_task\": %" PRIu32 ", \"adjacency\": \"%s\", "
	    "\"run_time_ms\": %" PRId32 ", \"idempotent\": %s, "
	    "\"checkpointable\": %s, \"payload\": \"%s\"}",
	    spec->workspace, spec->request_class, spec->tasks,
	    spec->accelerators,
	    spec->adjacency == NULL ? "any" : spec->adjacency,
	    spec->run_time_ms, spec->idempotent ? "true" : "false",
	    spec->checkpointable ? "true" : "false",
	    spec->payload == NULL ? "" : spec->payload);
	call.body = body.data;
	code = deployment_send(deployment, instance, &call, &answer, &status);
	if (code != IBIS_OK)
		(void)fprintf(stderr, "submit %s: %s %s: %s\n", spec->key,
		    ibis_code_name(code), status.step, status.message);
	string_copy(id, JOB_ID_BYTES, client_string(answer.json, "job", ""));
	return code;
}

static bool
poll_instance(struct deployment *deployment, uint32_t instance, const char *id,
    char outcome[JOB_NAME_BYTES])
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	char path[DEPLOYMENT_PATH_BYTES];
	const struct process *process =
	    &deployment->instances[instance].process;

	if (process->pid == 0 || process->frozen)
		return false;
	(void)snprintf(
	    path, sizeof(path), "/v1/jobs/%s?wait_ms=%d", id, LONG_POLL_MS);
	if (deployment_get(deployment, instance, path, &answer) != IBIS_OK)
		return false;
	string_copy(
	    outcome, JOB_NAME_BYTES, client_string(answer.json, "outcome", ""));
	return *outcome != '\0';
}

void
job_wait(struct deployment *deployment, const char *id, int32_t timeout_ms,
    char outcome[JOB_NAME_BYTES])
{
	int64_t end_ms = clock_now_ms() + timeout_ms;

	*outcome = '\0';
	for (uint32_t i = 0; clock_now_ms() < end_ms; i++) {
		if (poll_instance(
			deployment, i % deployment->count, id, outcome))
			return;
		process_sleep(RETRY_INTERVAL_MS);
	}
}

enum ibis_code
job_cancel(struct deployment *deployment, uint32_t instance, const char *id)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	char path[DEPLOYMENT_PATH_BYTES];
	struct client_call call = {.method = "DELETE", .path = path};
	struct ibis_status status = {0};

	(void)snprintf(path, sizeof(path), "/v1/jobs/%s", id);
	return deployment_send(deployment, instance, &call, &answer, &status);
}

static bool
is_of_attempt(
    const struct log_record *record, const char *job, const char *attempt)
{
	return strcmp(log_value(record, "job"), job) == 0 &&
	    strcmp(log_value(record, "attempt"), attempt) == 0;
}

/* True when a record is the first start of its attempt. */
static bool
is_first_start(const struct log *log, size_t index, const char *job)
{
	const struct log_record *record = &log->records[index];
	const char *attempt = log_value(record, "attempt");

	if (!log_is_start(record) || !is_of_attempt(record, job, attempt))
		return false;
	for (size_t i = 0; i < index; i++) {
		if (log_is_start(&log->records[i]) &&
		    is_of_attempt(&log->records[i], job, attempt))
			return false;
	}
	return true;
}

static uint32_t
count_starts(const struct log *log, const char *job, const char *attempt)
{
	uint32_t starts = 0;

	for (size_t i = 0; i < log->count; i++) {
		if (log_is_start(&log->records[i]) &&
		    is_of_attempt(&log->records[i], job, attempt))
			starts++;
	}
	return starts;
}

size_t
log_partial_attempts(const struct log *log, const char *job, uint32_t tasks)
{
	size_t partial = 0;

	for (size_t i = 0; i < log->count; i++) {
		if (is_first_start(log, i, job) &&
		    count_starts(log, job,
			log_value(&log->records[i], "attempt")) < tasks)
			partial++;
	}
	return partial;
}

/* Time from the first running task that ended by another event than "done" to
 * the end of the last one; 0 when all were done. */
static int64_t
partial_end_of(const struct log *log, const char *job, const char *attempt)
{
	int64_t first_ms = 0;
	int64_t last_ms = 0;

	for (size_t i = 0; i < log->count; i++) {
		const struct log_record *record = &log->records[i];

		if (!is_of_attempt(record, job, attempt) ||
		    strcmp(log_value(record, "was_running"), "true") != 0)
			continue;
		last_ms = record->t_ms;
		if (first_ms == 0 && strcmp(record->event, "done") != 0)
			first_ms = record->t_ms;
	}
	return first_ms == 0 ? 0 : last_ms - first_ms;
}

int64_t
log_partial_end_ms(const struct log *log, const char *job)
{
	int64_t longest_ms = 0;

	for (size_t i = 0; i < log->count; i++) {
		int64_t partial_ms;

		if (!is_first_start(log, i, job))
			continue;
		partial_ms = partial_end_of(
		    log, job, log_value(&log->records[i], "attempt"));
		if (partial_ms > longest_ms)
			longest_ms = partial_ms;
	}
	return longest_ms;
}

size_t
log_events_at(const struct log *log, const char *event, const char *worker,
    int64_t from_ms, int64_t to_ms)
{
	size_t count = 0;

	for (size_t i = 0; i < log->count; i++) {
		const struct log_record *record = &log->records[i];

		if (strcmp(record->event, event) == 0 &&
		    strcmp(log_value(record, "worker"), worker) == 0 &&
		    record->t_ms >= from_ms && record->t_ms < to_ms)
			count++;
	}
	return count;
}
