/* Sends the jobs of a mix from several threads and records how each ended. */
#ifndef IBIS_LOAD_RUN_H
#define IBIS_LOAD_RUN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "request/client.h"
#include "request/load_mix.h"

enum load_outcome {
	LOAD_NOT_SENT, /* the time was over before */
	LOAD_FINISHED,
	LOAD_FAILED,
	LOAD_CANCELLED,
	LOAD_NOT_RUN, /* ended or refused as not run */
	LOAD_UNKNOWN, /* not known whether it was accepted, or whether it ran */
	LOAD_PENDING, /* accepted, not over when the time was */
	LOAD_OUTCOMES
};

struct load_result {
	enum load_outcome outcome;
	bool wrong_answer;     /* finished with a short or wrong answer */
	char id[JOB_ID_BYTES]; /* "" when it was not accepted */
	int64_t completion_ms; /* from arrival to the end */
	char message[IBIS_MESSAGE_BYTES]; /* why it is not finished */
};

struct load_config {
	const char *const *servers;
	size_t servers_count;
	uint32_t callers;   /* threads, each with one job at a time */
	int32_t retry_ms;   /* longest time of one call's retries */
	int64_t max_run_ms; /* jobs not over by then are pending */
};

/*
 * Runs jobs; results has an element for each. A job that finds all callers
 * busy waits, and its completion time counts from its arrival all the same.
 */
void load_run(const struct load_config *config, const struct load_job *jobs,
    size_t count, struct load_result *results);

const char *load_outcome_name(enum load_outcome outcome);

#endif
