/*
 * Finds workers for a job. Small jobs go where they leave the least behind, in
 * workers and racks that are in use already; whole racks are kept whole.
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
	uint32_t tasks; /* that fit */
};

struct placement {
	const struct cluster *cluster;
	const struct reservation_table *reservations;
	/* By zone: accelerators that may be given out now. */
	uint32_t *zone_room;
	struct placement_candidate *candidates; /* scratch */
	size_t candidates_count;
	size_t candidates_capacity;
};

struct placement_request {
	const struct job_entry *entry;
	bool urgent;	    /* is not held back by a zone's ramp */
	bool pass_draining; /* may use workers that are drained for others */
	bool allow_avoided; /* may use workers that the job failed on */
	int64_t ends_ms;    /* when it would be expected to end */
};

void placement_clear(struct placement *placement);

/*
 * Sets how many accelerators each zone may still give out: all, or while a
 * returned zone is being ramped up a part that grows with time. Tells whether
 * some zone is being ramped.
 */
bool placement_set_rooms(struct placement *placement,
    const struct cluster *cluster, int64_t ramp_ms, int64_t now_ms);

/* Takes the accelerators of a started job off its zones' rooms. */
void placement_took(struct placement *placement, const struct job_entry *entry);

/* Tasks of the job that a worker could take now. */
uint32_t placement_tasks_on(const struct placement *placement,
    const struct placement_request *request, uint32_t index);

/* Fills workers, one for each task, or returns false. */
bool placement_find(struct placement *placement,
    const struct placement_request *request, uint32_t *workers);

#ifdef __cplusplus
}
#endif

#endif
