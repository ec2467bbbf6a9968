/* Submits single jobs, and evaluates the fake workers' log for them. */
#ifndef IBIS_COMMON_JOBS_H
#define IBIS_COMMON_JOBS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common_deployment.h"
#include "request/job.h"

/* Parameters of one job. */
struct job_spec {
	const char *workspace;
	const char *request_class;
	const char *key;       /* idempotency key */
	const char *adjacency; /* NULL: "any" */
	const char *payload;   /* NULL: empty */
	uint32_t tasks;
	uint32_t accelerators; /* per task */
	int32_t run_time_ms;
	bool idempotent;
	bool checkpointable;
};

/* Submits a job without waiting for its end or retrying. Copies its id, "" when
 * the response has none; a failure is printed to standard error. */
enum ibis_code job_submit(struct deployment *deployment, uint32_t instance,
    const struct job_spec *spec, char id[JOB_ID_BYTES]);

/*
 * Waits until a job has an outcome, polling the running instances in turn.
 * Copies the outcome, "" on timeout.
 */
void job_wait(struct deployment *deployment, const char *id, int32_t timeout_ms,
    char outcome[JOB_NAME_BYTES]);

/* Sends a cancellation of a job, without retries. */
enum ibis_code job_cancel(
    struct deployment *deployment, uint32_t instance, const char *id);

/* Number of attempts of which at least one task, but not all, started. */
size_t log_partial_attempts(
    const struct log *log, const char *job, uint32_t tasks);

/*
 * Longest time, over a job's attempts, from the first stop of a running task
 * before it was done until the last running task ended; 0 when none stopped
 * early.
 */
int64_t log_partial_end_ms(const struct log *log, const char *job);

/* Number of events of a name at a worker within [from_ms, to_ms), on the
 * monotonic clock. */
size_t log_events_at(const struct log *log, const char *event,
    const char *worker, int64_t from_ms, int64_t to_ms);

#endif
