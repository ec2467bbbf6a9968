/*
 * Chooses which running jobs leave their workers so that a queued one can
 * start: the fewest accelerator-seconds lost, borrowed capacity before own,
 * the lowest class first.
 */
#ifndef IBIS_EVICTION_H
#define IBIS_EVICTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/cluster.h"
#include "process/job_entry.h"
#include "process/placement.h"
#include "version/document.h"

#ifdef __cplusplus
extern "C" {
#endif

enum eviction_mode {
	EVICTION_URGENT,    /* anything of a lower class that may be evicted */
	EVICTION_RECLAIM,   /* what borrows from the job's own claims */
	EVICTION_PRESSING,  /* checkpointable work of a lower class */
	EVICTION_COMPACTION /* the same, if it finds a place elsewhere */
};

/* A worker that could take tasks after evictions. */
struct eviction_option {
	uint32_t worker;
	uint32_t tasks;
	double cost_per_task; /* weighted accelerator-milliseconds */
};

struct eviction_planner {
	const struct cluster *cluster;
	const struct document_class *classes;
	size_t classes_count;
	int64_t now_ms;
	struct eviction_option *options; /* scratch */
	size_t options_count;
	size_t options_capacity;
	/* The plan that was found. */
	uint32_t *workers; /* by task */
	size_t workers_capacity;
	struct job_entry **victims;
	size_t victims_count;
	size_t victims_capacity;
	uint64_t freed; /* accelerators of all victims */
	int64_t lost;	/* accelerator-milliseconds of their work */
};

/* Limits evictions that are not owed to a guarantee or an urgent job. */
struct eviction_budget {
	double accelerators;
	int64_t refilled_ms;
};

void eviction_clear(struct eviction_planner *planner);

/* Looks for a plan; fills workers and victims, or returns false. */
bool eviction_plan(struct eviction_planner *planner,
    const struct placement_request *request, enum eviction_mode mode);

/* Takes accelerators from the budget, which grows with the cluster's size. */
bool eviction_budget_take(struct eviction_budget *budget, uint64_t accelerators,
    uint64_t cluster_accelerators, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
