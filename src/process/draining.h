/*
 * Chooses the workers on which a job at the head of its queue can start
 * soonest, so that they can be drained for it. Reads the cluster, changes
 * nothing.
 */
#ifndef IBIS_DRAINING_H
#define IBIS_DRAINING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/cluster.h"
#include "process/job_entry.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A worker that could be drained. */
struct draining_option {
	int64_t ready_ms; /* when its jobs are expected to have ended */
	uint32_t worker;  /* index */
	uint32_t tasks;	  /* of the job that fit then */
};

struct draining_plan {
	uint32_t *workers; /* indices, without duplicates */
	uint32_t workers_count;
	int64_t ready_ms;		 /* when all are expected to be free */
	struct draining_option *options; /* scratch */
	size_t options_count;
	size_t options_capacity;
	size_t workers_capacity;
};

/* Fills the plan with the set of workers that is expected to be ready first.
 * Returns false when no workers that meet the job's adjacency and aren't
 * drained for another job can hold it. A zeroed plan is valid and may be
 * reused; the plan owns its arrays. */
bool draining_find(struct draining_plan *plan, const struct cluster *cluster,
    const struct job_entry *entry, int64_t now_ms);

void draining_clear(struct draining_plan *plan);

#ifdef __cplusplus
}
#endif

#endif
