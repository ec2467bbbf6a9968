/*
 * Plans evictions: chooses which running jobs are evicted so that a queued one
 * can start. Victims are chosen by cost: the accelerator time lost, weighted so
 * that lower classes and other workspaces' jobs on borrowed capacity go first.
 * Reads the cluster and changes nothing in it; one thread.
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

/* Which jobs may be evicted. Non-preemptible ones never are. */
enum eviction_mode {
	EVICTION_URGENT,    /* jobs of the same workspace or on borrowed
			     * capacity, unless urgent */
	EVICTION_RECLAIM,   /* jobs that borrow from the workspace's claims */
	EVICTION_DEADLINE,  /* of lower classes, because a deadline is near */
	EVICTION_COMPACTION /* of lower classes, for workers close together */
};

/* A worker that can take tasks after evictions. */
struct eviction_option {
	uint32_t worker; /* index */
	uint32_t tasks;
	double cost_per_task; /* weighted accelerator-milliseconds */
};

/* The caller sets the first four fields before each plan; the planner borrows
 * what they refer to. The rest starts zeroed; free with eviction_clear. */
struct eviction_planner {
	const struct cluster *cluster;
	const struct document_class *classes;
	size_t classes_count;
	int64_t now_ms;
	struct eviction_option *options; /* scratch */
	size_t options_count;
	size_t options_capacity;
	/* The last plan that was found; valid until the next search. */
	uint32_t *workers; /* index, by task */
	size_t workers_capacity;
	struct job_entry **victims;
	size_t victims_count;
	size_t victims_capacity;
	uint64_t freed;		     /* accelerators of all victims */
	int64_t lost_accelerator_ms; /* of work that the victims lose */
};

/* Rate limit for evictions that neither a guarantee nor an urgent job requires;
 * a token bucket. */
struct eviction_budget {
	double accelerators; /* that may be evicted now */
	int64_t last_refill_ms;
};

void eviction_clear(struct eviction_planner *planner);

/* Searches for workers on which the requested job fits after evictions allowed
 * by the mode. Fills workers, victims, freed and lost_accelerator_ms, or
 * returns false; then they are not valid. Evicts nothing. */
bool eviction_plan(struct eviction_planner *planner,
    const struct placement_request *request, enum eviction_mode mode);

/* Takes accelerators from the budget; returns false and takes nothing when they
 * exceed it. Its rate and size are proportional to cluster_accelerators. */
bool eviction_budget_take(struct eviction_budget *budget, uint64_t accelerators,
    uint64_t cluster_accelerators, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
