/* Chooses the workers that are soonest free for a job at the queue's head. */
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

struct draining_option {
	int64_t ready_ms;
	uint32_t worker;
	uint32_t tasks;
};

struct draining_plan {
	uint32_t *workers; /* each once */
	uint32_t workers_count;
	int64_t ready_ms;		 /* when all are expected to be free */
	struct draining_option *options; /* scratch */
	size_t options_count;
	size_t options_capacity;
	size_t workers_capacity;
};

/* Fills the plan, or returns false when no set of workers that nobody else
 * drains could ever hold the job. */
bool draining_find(struct draining_plan *plan, const struct cluster *cluster,
    const struct job_entry *entry, int64_t now_ms);

void draining_clear(struct draining_plan *plan);

#ifdef __cplusplus
}
#endif

#endif
