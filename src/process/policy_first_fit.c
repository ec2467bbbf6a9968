/* Baseline policy: starts jobs in order of admission, urgent ones first, on
 * the first workers that fit. */
#include "process/alloc.h"
#include "process/scheduler_state.h"

#define SCAN_LIMIT 512 /* queued jobs considered in a decision */

/* Assigns the tasks after the first placed ones to a range of workers. Returns
 * how many tasks have a worker afterwards. */
static uint32_t
assign_from_range(const struct cluster *cluster,
    const struct scheduler_job *job, uint32_t first, uint32_t count,
    uint32_t placed, uint32_t *workers)
{
	for (uint32_t i = first; i < first + count; i++) {
		uint32_t free = cluster_free(cluster, i);

		while (
		    free >= job->accelerators_per_task && placed < job->tasks) {
			workers[placed++] = i;
			free -= job->accelerators_per_task;
		}
	}
	return placed;
}

static bool
fit_on_worker(const struct cluster *cluster, const struct scheduler_job *job,
    uint32_t *workers)
{
	for (uint32_t i = 0; i < cluster->workers_count; i++) {
		if (assign_from_range(cluster, job, i, 1, 0, workers) ==
		    job->tasks)
			return true;
	}
	return false;
}

static bool
fit_in_rack(const struct cluster *cluster, const struct scheduler_job *job,
    uint32_t *workers)
{
	for (size_t i = 0; i < cluster->racks_count; i++) {
		const struct cluster_rack *rack = &cluster->racks[i];

		if (rack->max_free < job->accelerators_per_task)
			continue;
		if (assign_from_range(cluster, job, rack->first_worker,
			rack->workers_count, 0, workers) == job->tasks)
			return true;
	}
	return false;
}

static bool
fit_in_zone(const struct cluster *cluster, const struct scheduler_job *job,
    uint32_t zone, uint32_t *workers)
{
	uint32_t placed = 0;

	for (size_t i = 0; i < cluster->racks_count; i++) {
		const struct cluster_rack *rack = &cluster->racks[i];

		if (rack->zone == zone)
			placed =
			    assign_from_range(cluster, job, rack->first_worker,
				rack->workers_count, placed, workers);
	}
	return placed == job->tasks;
}

/* Compares the job with the cluster's free accelerators: a cheap check that
 * rules out most jobs that don't fit. */
static bool
capacity_suffices(
    const struct cluster *cluster, const struct scheduler_job *job)
{
	uint32_t max_free = 0;
	uint64_t free = 0;

	for (size_t i = 0; i < cluster->racks_count; i++) {
		const struct cluster_rack *rack = &cluster->racks[i];

		free += rack->free;
		max_free =
		    rack->max_free > max_free ? rack->max_free : max_free;
	}
	return max_free >= job->accelerators_per_task &&
	    free >= (uint64_t)job->tasks * job->accelerators_per_task;
}

static bool
first_fit(const struct cluster *cluster, const struct scheduler_job *job,
    uint32_t *workers)
{
	if (!capacity_suffices(cluster, job))
		return false;
	switch (job->adjacency) {
	case IBIS__ADJACENCY__ADJACENCY_WORKER:
		return fit_on_worker(cluster, job, workers);
	case IBIS__ADJACENCY__ADJACENCY_RACK:
		return fit_in_rack(cluster, job, workers);
	case IBIS__ADJACENCY__ADJACENCY_ZONE:
		for (uint32_t i = 0; i < cluster->zones_count; i++) {
			if (fit_in_zone(cluster, job, i, workers))
				return true;
		}
		return false;
	default:
		return assign_from_range(cluster, job, 0,
			   (uint32_t)cluster->workers_count, 0,
			   workers) == job->tasks;
	}
}

/* Starts the entry if it fits now; returns whether it did. */
static bool
try_start(struct scheduler *scheduler, struct job_entry *entry, int64_t now_ms)
{
	uint32_t *workers;
	bool fits;

	if (!scheduler_quota_allows(scheduler, entry))
		return false;
	if (entry->not_before_ms > now_ms) {
		scheduler_wake_at(scheduler, entry->not_before_ms);
		return false;
	}
	workers = mem_calloc(entry->job.tasks, sizeof(*workers));
	fits = first_fit(&scheduler->cluster, &entry->job, workers);
	if (fits)
		scheduler_start(scheduler, entry, workers, now_ms);
	mem_free(workers);
	return fits;
}

/* Evicts all preemptible jobs from zones that are out of service. */
static void
evacuate_zones(struct scheduler *scheduler, int64_t now_ms)
{
	for (uint32_t i = 0; i < scheduler->cluster.workers_count; i++) {
		struct cluster_worker *worker = &scheduler->cluster.workers[i];

		if (scheduler->cluster.zones[worker->zone].in_service)
			continue;
		for (size_t j = 0; j < worker->jobs_count; j++) {
			struct job_entry *entry = worker->jobs[j];

			if (entry->state != ENTRY_EVICTING &&
			    !job_entry_is_non_preemptible(entry))
				scheduler_evict(
				    scheduler, entry, "zone_out", now_ms);
		}
	}
}

void
policy_first_fit_decide(struct scheduler *scheduler, int64_t now_ms)
{
	struct job_entry *entries[SCAN_LIMIT];
	size_t count = 0;
	struct job_queue_walk walk;

	evacuate_zones(scheduler, now_ms);
	walk = job_queue_walk_start(
	    &scheduler->queue, false, SCAN_LIMIT, INT64_MIN);
	while (count < SCAN_LIMIT &&
	    (entries[count] = job_queue_walk_next(&walk)) != NULL)
		count++;
	job_queue_walk_end(&walk);
	for (size_t i = 0; i < count; i++)
		(void)try_start(scheduler, entries[i], now_ms);
}
