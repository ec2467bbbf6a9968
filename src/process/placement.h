/*
 * Finds workers for a job. To avoid fragmentation, small jobs are packed into
 * workers and racks that are in use already and leave the fewest accelerators
 * free there, so that whole racks stay free for large jobs.
 */
#ifndef IBIS_PLACEMENT_H
#define IBIS_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/cluster.h"
#include "process/job_entry.h"
#include "process/reservation.h"

#ifdef __cplusplus
extern "C" {
#endif

struct placement_candidate {
	uint64_t score; /* lower is better */
	uint32_t worker;
	uint32_t tasks; /* how many of the job's tasks fit */
};

struct placement {
	const struct cluster *cluster;
	const struct reservation_table *reservations;
	/* By zone: accelerators that may still be allocated in this decision;
	 * UINT32_MAX: no limit. */
	uint32_t *zone_available;
	struct placement_candidate *candidates; /* scratch */
	size_t candidates_count;
	size_t candidates_capacity;
};

struct placement_request {
	const struct job_entry *entry;
	bool urgent; /* not limited while a returned zone is ramped up */
	bool ignore_draining; /* may use workers that are drained for others */
	bool allow_avoided;   /* may use workers that the job failed on */
	int64_t ends_ms;      /* when the job would end if started now */
};

/* Frees what the placement owns; cluster and reservations are borrowed. */
void placement_clear(struct placement *placement);

/*
 * Sets how many accelerators may still be allocated in each zone: all of them,
 * or for ramp_ms after a zone returned to service a share that grows with time.
 * Keeps a reference to the cluster. Returns whether some zone is limited now.
 */
bool placement_set_zone_limits(struct placement *placement,
    const struct cluster *cluster, int64_t ramp_ms, int64_t now_ms);

/* Subtracts the accelerators of a started job from its zones' limits. */
void placement_record_start(
    struct placement *placement, const struct job_entry *entry);

/* Returns how many tasks of the request's job the worker could run now, which
 * may be more than the job has. */
uint32_t placement_tasks_on(const struct placement *placement,
    const struct placement_request *request, uint32_t index);

/* Finds workers that fit the job and its adjacency. Fills workers, which has
 * room for one index per task; returns false when there are none. */
bool placement_find(struct placement *placement,
    const struct placement_request *request, uint32_t *workers);

#ifdef __cplusplus
}
#endif

#endif
