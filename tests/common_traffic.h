/* Jobs sent to a deployment by a thread of callers while faults are set, and
 * what became of them. */
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
	struct load_mix mix; /* filled by the test before the start */
	uint32_t callers;
	int32_t retry_ms;
	int64_t max_run_ms;
	/* owned: */
	struct load_job *jobs;
	struct load_result *results;
	const char *servers[DEPLOYMENT_MAX_INSTANCES];
	pthread_t thread;
};

/* Fills in a number of jobs that arrive at a rate (0: all at once), with keys
 * of a prefix; each call is tried for 20 s, the whole runs for up to 60 s. */
void traffic_fill(struct traffic *traffic, struct deployment *deployment,
    const char *key_prefix, uint32_t jobs, double jobs_per_s);

/* Adds a kind of one task of one accelerator; the test changes it. */
struct load_kind *traffic_add_kind(struct traffic *traffic,
    const char *workspace, const char *request_class, int32_t run_time_ms);

/* Starts the callers in the background. */
bool traffic_start(struct traffic *traffic);

/* Waits for all callers. */
void traffic_join(struct traffic *traffic);

void traffic_free(struct traffic *traffic);

/* Number of jobs with an outcome. */
size_t traffic_count(const struct traffic *traffic, enum load_outcome outcome);

/* Number of wrong or short answers. */
size_t traffic_count_wrong(const struct traffic *traffic);

/* Id of a job, also of one that was never accepted. */
void traffic_job_id(
    const struct traffic *traffic, uint32_t index, char id[JOB_ID_BYTES]);

/* Number of jobs that may run once at most, but have run more than once. */
size_t traffic_count_run_twice(
    const struct traffic *traffic, const struct log *log);

/* Number of jobs said not to have run, of which a start is logged. */
size_t traffic_count_false_not_run(
    const struct traffic *traffic, const struct log *log);

/* Longest time that part of a gang ran without the rest. */
int64_t traffic_partial_run_ms(
    const struct traffic *traffic, const struct log *log);

/* Prints a line for each job that is not finished well. */
void traffic_print_unfinished(const struct traffic *traffic);

#endif
