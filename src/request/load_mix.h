/*
 * A described mix of jobs: which classes, how many, how large, how fast. Jobs
 * follow from the seed alone. Pure.
 */
#ifndef IBIS_LOAD_MIX_H
#define IBIS_LOAD_MIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "process/buffer.h"
#include "request/job.h"

enum {
	LOAD_MAX_KINDS = 32,
	LOAD_PAYLOAD_BYTES = 32,
	LOAD_KEY_BYTES = 96,
	LOAD_PREFIX_BYTES = 64
};

/* Jobs of one kind. A highest value of 0 stands for the plain one. */
struct load_kind {
	char workspace[JOB_NAME_BYTES];
	char request_class[JOB_NAME_BYTES];
	double share; /* weight among the kinds */
	uint32_t tasks;
	uint32_t tasks_highest;
	uint32_t accelerators_per_task;
	Ibis__Adjacency adjacency;
	int32_t run_time_ms;
	int32_t run_time_highest_ms;
	int32_t deadline_ms; /* 0: none */
	bool idempotent;
	bool checkpointable;
};

struct load_mix {
	uint32_t jobs;
	double jobs_per_s;   /* mean rate of arrival; 0: all at once */
	uint32_t burst_jobs; /* that arrive together */
	uint32_t seed;
	char key_prefix[LOAD_PREFIX_BYTES];
	struct load_kind kinds[LOAD_MAX_KINDS];
	size_t kinds_count;
};

/* One job of a mix. */
struct load_job {
	const struct load_kind *kind;
	int64_t arrival_ms; /* from the start */
	uint32_t tasks;
	int32_t run_time_ms;
	char key[LOAD_KEY_BYTES];
	char payload[LOAD_PAYLOAD_BYTES];
};

/* Reads a mix from JSON with comments. The status names line and key. */
enum ibis_code load_mix_parse(
    struct load_mix *mix, const char *text, struct ibis_status *status);

/* Draws the jobs of a mix, in order of arrival; the caller frees them. */
struct load_job *load_mix_draw(const struct load_mix *mix);

/* Writes a job's body for POST /v1/jobs. */
void load_job_body(const struct load_job *job, struct buffer *body);

#endif
