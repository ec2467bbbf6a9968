/*
 * Description of a mix of jobs (request classes, sizes, arrival rate) and the
 * random jobs generated from it. The same mix and seed give the same jobs. Does
 * no I/O.
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

/* Jobs of one kind. tasks and run_time_ms are drawn uniformly up to their
 * highest value; 0 as the highest value means no variation. */
struct load_kind {
	char workspace[JOB_NAME_BYTES];
	char request_class[JOB_NAME_BYTES];
	double share; /* relative weight among the kinds */
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

/* Kinds of jobs and how they arrive. */
struct load_mix {
	uint32_t jobs;
	double jobs_per_s;   /* mean arrival rate; 0: all at once */
	uint32_t burst_jobs; /* jobs that arrive together */
	uint32_t seed;
	char key_prefix[LOAD_PREFIX_BYTES];
	struct load_kind kinds[LOAD_MAX_KINDS];
	size_t kinds_count;
};

/* One generated job of a mix. */
struct load_job {
	const struct load_kind *kind; /* owned by the mix */
	int64_t arrival_ms;	      /* since the start of the load */
	uint32_t tasks;
	int32_t run_time_ms;
	char key[LOAD_KEY_BYTES];
	char payload[LOAD_PAYLOAD_BYTES];
};

/* Parses a mix from JSON with comments. Keys that are absent keep the values in
 * mix; absent keys of a kind default to a share of 1, one task with one
 * accelerator, 1000 ms run time, and zero or false. Returns IBIS_INVALID when
 * it is malformed; status names line and key. */
enum ibis_code load_mix_parse(
    struct load_mix *mix, const char *text, struct ibis_status *status);

/* Generates the mix->jobs jobs of a mix, in order of arrival. The mix must
 * outlive them. The caller frees the array with mem_free. */
struct load_job *load_mix_draw(const struct load_mix *mix);

/* Appends the JSON body of POST /v1/jobs for a job. */
void load_job_body(const struct load_job *job, struct buffer *body);

#endif
