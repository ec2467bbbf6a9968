/* Sends generated jobs to a deployment in the background, while the test
 * injects faults, and evaluates the results against the fake workers' log. */
#ifndef IBIS_COMMON_TRAFFIC_H
#define IBIS_COMMON_TRAFFIC_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common_deployment.h"
#include "request/load_run.h"

struct traffic {
	struct deployment *deployment;
	struct load_mix mix; /* set by the test before traffic_start */
	uint32_t callers;
	int32_t retry_ms;   /* how long each call is retried */
	int64_t max_run_ms; /* of the whole traffic */
	/* Owned; set by traffic_start: */
	struct load_job *jobs;
	struct load_result *results;
	const char *servers[DEPLOYMENT_MAX_INSTANCES];
	pthread_t thread;
};

/*
 * Initialises traffic of a number of jobs that arrive at a rate (0: all at
 * once), with key_prefix at the head of their idempotency keys. Each call is
 * retried for up to 20 s; the whole runs for up to 60 s.
 */
void traffic_init(struct traffic *traffic, struct deployment *deployment,
    const char *key_prefix, uint32_t jobs, double jobs_per_s);

/* Adds a kind of job with one task of one accelerator, and returns it for the
 * test to modify before traffic_start; owned by the traffic. */
struct load_kind *traffic_add_kind(struct traffic *traffic,
    const char *workspace, const char *request_class, int32_t run_time_ms);

/* Starts the callers in the background; false when no thread could be
 * created. */
bool traffic_start(struct traffic *traffic);

/* Waits until all callers have ended. */
void traffic_join(struct traffic *traffic);

/* Frees what traffic_start allocated; call traffic_join first. */
void traffic_free(struct traffic *traffic);

/* Number of jobs that ended with the given outcome. */
size_t traffic_count(const struct traffic *traffic, enum load_outcome outcome);

/* Number of jobs whose answer was wrong or incomplete. */
size_t traffic_count_wrong(const struct traffic *traffic);

/* Copies the id of a job, derived from its key, so that it is known even if no
 * instance accepted the job. */
void traffic_job_id(
    const struct traffic *traffic, uint32_t index, char id[JOB_ID_BYTES]);

/* Number of non-idempotent jobs that ran more than once; prints each. */
size_t traffic_count_run_twice(
    const struct traffic *traffic, const struct log *log);

/* Number of jobs reported as not run although the log has a start of them;
 * prints each. */
size_t traffic_count_false_not_run(
    const struct traffic *traffic, const struct log *log);

/* Longest time that a part of any job's gang ran without the rest; see
 * log_partial_run_ms. */
int64_t traffic_partial_run_ms(
    const struct traffic *traffic, const struct log *log);

/* Prints a line for each job that did not finish with the right answer. */
void traffic_print_unfinished(const struct traffic *traffic);

#endif
