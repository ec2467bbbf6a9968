/* Single jobs of failure tests, and what the workers' log tells of them. */
#ifndef IBIS_COMMON_JOBS_H
#define IBIS_COMMON_JOBS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common_deployment.h"
#include "request/job.h"

struct job_plan {
	const char *workspace;
	const char *request_class;
	const char *key;
	const char *adjacency;
	const char *payload;
	uint32_t tasks;
	uint32_t accelerators;
	int32_t run_time_ms;
	bool idempotent;
	bool checkpointable;
};

/* Submits without waiting; the id is set when it was accepted. */
enum ibis_code job_submit(struct deployment *deployment, uint32_t instance,
    const struct job_plan *plan, char id[JOB_ID_BYTES]);

/*
 * Waits until a job is over, asking any instance that answers. Copies its
 * outcome, "" when it is not over in time.
 */
void job_wait(struct deployment *deployment, const char *id, int32_t timeout_ms,
    char outcome[JOB_NAME_BYTES]);

/* Asks for a job's cancellation. */
enum ibis_code job_cancel(
    struct deployment *deployment, uint32_t instance, const char *id);

/* Number of attempts of which some tasks but not all have started. */
size_t log_partial_attempts(
    const struct log *log, const char *job, uint32_t tasks);

/*
 * The longest time that a part of an attempt ran while a task that had started
 * was over before its end; in milliseconds.
 */
int64_t log_partial_end_ms(const struct log *log, const char *job);

/* Number of events of a name at a worker within [from_ms, to_ms). */
size_t log_events_at(const struct log *log, const char *event,
    const char *worker, int64_t from_ms, int64_t to_ms);

#endif
