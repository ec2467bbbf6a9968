/* Submits the jobs of a mix from several threads and records their outcomes. */
#ifndef IBIS_LOAD_RUN_H
#define IBIS_LOAD_RUN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "request/client.h"
#include "request/load_mix.h"

enum load_outcome {
	LOAD_NOT_SENT, /* the run ended before its arrival or submission */
	LOAD_FINISHED,
	LOAD_FAILED,
	LOAD_CANCELLED,
	LOAD_NOT_RUN, /* ended or refused as not run */
	LOAD_UNKNOWN, /* unknown whether it was accepted or ran */
	LOAD_PENDING, /* submitted, but not ended when the run ended */
	LOAD_OUTCOMES /* number of outcomes */
};

struct load_result {
	enum load_outcome outcome;
	bool wrong_answer;     /* finished, but the answer failed a check */
	char id[JOB_ID_BYTES]; /* "" when it was not accepted */
	/* From its scheduled arrival to its end, or to the end of the run if it
	 * is pending. */
	int64_t completion_ms;
	char message[IBIS_MESSAGE_BYTES]; /* why it did not finish, or which
					     check failed */
};

struct load_config {
	const char *const *servers;
	size_t servers_count;
	uint32_t callers;   /* threads, each with one job at a time */
	int32_t retry_ms;   /* longest time spent on one call's retries */
	int64_t max_run_ms; /* jobs not ended by then are pending */
};

/*
 * Runs jobs and blocks until all have ended or max_run_ms has passed; calls in
 * progress at that time are completed first. results has count zeroed elements,
 * which are filled. A job that arrives while all callers are busy waits for
 * one; the wait is part of its completion time.
 */
void load_run(const struct load_config *config, const struct load_job *jobs,
    size_t count, struct load_result *results);

/* Returns the name printed for an outcome; a static string. */
const char *load_outcome_name(enum load_outcome outcome);

#endif
