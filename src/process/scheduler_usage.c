/* Counts of jobs and accelerators for metrics and answers. */
#include "process/scheduler_state.h"

/* Returns the free accelerators of a rack that a shape can use. It needs
 * workers_per_rack workers of one rack, so a remainder of fewer doesn't count.
 */
static uint64_t
usable_in_rack(const struct cluster *cluster, const struct cluster_rack *rack,
    const struct guaranteed_shape *shape)
{
	uint64_t workers = 0;

	for (uint32_t i = 0; i < rack->workers_count; i++) {
		if (cluster_free(cluster, rack->first_worker + i) >=
		    shape->accelerators)
			workers++;
	}
	workers -= workers % shape->workers_per_rack;
	return workers * shape->accelerators;
}

/* Returns the free accelerators that are left over when each zone is filled
 * with as many whole shapes as fit. */
static uint64_t
unusable_for_shape(
    const struct cluster *cluster, const struct guaranteed_shape *shape)
{
	uint64_t shape_accelerators = (uint64_t)shape->racks *
	    shape->workers_per_rack * shape->accelerators;
	uint64_t unusable = 0;

	for (uint32_t zone = 0; zone < cluster->zones_count; zone++) {
		uint64_t usable = 0;
		uint64_t free = 0;

		for (size_t i = 0; i < cluster->racks_count; i++) {
			if (cluster->racks[i].zone != zone)
				continue;
			usable +=
			    usable_in_rack(cluster, &cluster->racks[i], shape);
			free += cluster->racks[i].free;
		}
		unusable += free - (usable - usable % shape_accelerators);
	}
	return unusable;
}

/* Returns the free accelerators in racks that are partly in use. */
static uint64_t
unusable_for_rack(const struct cluster *cluster)
{
	uint64_t unusable = 0;

	for (size_t i = 0; i < cluster->racks_count; i++) {
		const struct cluster_rack *rack = &cluster->racks[i];

		if (rack->free !=
		    rack->workers_count * rack->accelerators_per_worker)
			unusable += rack->free;
	}
	return unusable;
}

void
scheduler_usage(
    const struct scheduler *scheduler, struct scheduler_usage *usage)
{
	const struct cluster *cluster = &scheduler->cluster;
	const struct guaranteed_shape *largest =
	    guarantee_largest(&scheduler->guarantees);

	*usage = (struct scheduler_usage){
	    .queued_jobs = scheduler->queue.count,
	    .running_jobs = scheduler->active_count,
	    .quarantined_workers = scheduler->quarantine.quarantined,
	    .unusable_for_rack = unusable_for_rack(cluster),
	};
	if (largest != NULL)
		usage->unusable_for_guarantee =
		    unusable_for_shape(cluster, largest);
	for (size_t i = 0; i < cluster->zones_count; i++)
		usage->accelerators += cluster->zones[i].usable_accelerators;
	for (size_t i = 0; i < cluster->racks_count; i++)
		usage->free_accelerators += cluster->racks[i].free;
}
