#include <stdlib.h>

#include "process/alloc.h"
#include "process/placement.h"

/* Share of a zone that may be used right after it returned to service. */
#define INITIAL_RAMP_SHARE 0.1

/* A score has three bit fields, the most significant first: the source of the
 * capacity, the rack, and the accelerators left free on the worker. */
#define SCORE_SOURCE_SHIFT 56
#define SCORE_RACK_SHIFT   32

/* Whose capacity a placement uses, the preferred one first. */
enum capacity_source {
	SOURCE_PREFERRED,
	SOURCE_UNBORROWED, /* own claims or unclaimed capacity */
	SOURCE_BORROWED	   /* claims of other workspaces */
};

void
placement_clear(struct placement *placement)
{
	mem_free(placement->zone_available);
	mem_free(placement->candidates);
	*placement = (struct placement){0};
}

/* Returns how many accelerators a zone that is being ramped up may still
 * allocate; its limit grows linearly to all of them. */
static uint32_t
ramped_limit(const struct cluster_zone *zone, int64_t ramp_ms, int64_t now_ms)
{
	double share = INITIAL_RAMP_SHARE +
	    (double)(now_ms - zone->returned_ms) / (double)ramp_ms;
	double allowed = share * zone->usable_accelerators;

	if (allowed <= zone->used)
		return 0;
	return (uint32_t)allowed - zone->used;
}

bool
placement_set_zone_limits(struct placement *placement,
    const struct cluster *cluster, int64_t ramp_ms, int64_t now_ms)
{
	bool ramping = false;

	mem_free(placement->zone_available);
	placement->cluster = cluster;
	placement->zone_available = mem_calloc(
	    cluster->zones_count, sizeof(*placement->zone_available));
	for (size_t i = 0; i < cluster->zones_count; i++) {
		const struct cluster_zone *zone = &cluster->zones[i];

		placement->zone_available[i] = UINT32_MAX;
		if (zone->returned_ms == INT64_MIN ||
		    now_ms - zone->returned_ms >= ramp_ms)
			continue;
		placement->zone_available[i] =
		    ramped_limit(zone, ramp_ms, now_ms);
		ramping = true;
	}
	return ramping;
}

void
placement_record_start(
    struct placement *placement, const struct job_entry *entry)
{
	uint32_t amount = entry->job.accelerators_per_task;

	for (uint32_t i = 0; i < entry->job.tasks; i++) {
		uint32_t *available;

		available =
		    &placement->zone_available
			 [placement->cluster->workers[entry->workers[i]].zone];
		if (*available != UINT32_MAX)
			*available =
			    *available > amount ? *available - amount : 0;
	}
}

static bool
avoids(const struct job_entry *entry, uint32_t worker)
{
	for (uint32_t i = 0; i < entry->avoided_count; i++) {
		if (entry->avoided[i] == worker)
			return true;
	}
	return false;
}

/* Tells whether a draining reservation of another job blocks the worker.
 * Checkpointable jobs of a lower class may use it meanwhile, as they lose no
 * work when they are evicted. */
static bool
blocked_by_draining(const struct placement *placement,
    const struct placement_request *request,
    const struct cluster_worker *worker)
{
	const struct reservation *reservation;

	if (request->ignore_draining || worker->draining_slot == NO_INDEX ||
	    worker->draining_slot == request->entry->reservation)
		return false;
	reservation = &placement->reservations->slots[worker->draining_slot];
	if (request->entry->job.checkpointable &&
	    request->entry->rank > reservation->entry->rank)
		return false;
	return request->ends_ms > reservation->ready_ms;
}

/* A worker on probation gets one job at a time, which must be idempotent and
 * have a single task, so that a failure does little harm. */
static bool
allowed_by_probation(
    const struct cluster_worker *worker, const struct job_entry *entry)
{
	if (!worker->on_probation)
		return true;
	return worker->jobs_count == 0 && entry->job.tasks == 1 &&
	    entry->job.idempotent;
}

uint32_t
placement_tasks_on(const struct placement *placement,
    const struct placement_request *request, uint32_t index)
{
	const struct cluster_worker *worker =
	    &placement->cluster->workers[index];
	const struct job_entry *entry = request->entry;
	uint32_t amount = entry->job.accelerators_per_task;
	uint32_t free = cluster_free(placement->cluster, index);
	uint32_t available;

	if (free < worker->exclusively_reserved + amount)
		return 0;
	free -= worker->exclusively_reserved;
	if (blocked_by_draining(placement, request, worker) ||
	    !allowed_by_probation(worker, entry))
		return 0;
	if (!request->allow_avoided && avoids(entry, index))
		return 0;
	if (job_entry_is_non_preemptible(entry)) {
		available = cluster_non_preemptible_capacity(
		    placement->cluster, index, entry->workspace);
		free = available < free ? available : free;
	}
	return free / amount;
}

/*
 * Returns whose capacity a job would use on a worker. Jobs smaller than a
 * worker prefer unclaimed capacity, so that the claims of their own workspace
 * stay whole for its large jobs; jobs of whole workers prefer own claims.
 */
static enum capacity_source
capacity_source_of(const struct cluster *cluster, const struct job_entry *entry,
    uint32_t index, uint32_t accelerators)
{
	const struct cluster_worker *worker = &cluster->workers[index];
	const struct cluster_share *share =
	    cluster_share(cluster, index, entry->workspace);
	bool own = share->claim >= share->used + accelerators;
	bool unclaimed =
	    worker->claimed_or_used + accelerators <= worker->capacity;
	bool small = entry->job.accelerators_per_task < worker->capacity;

	/* Checkpointable jobs may borrow anywhere, as they lose no work when
	 * evicted: dense packing matters more for them. */
	if (entry->job.checkpointable)
		return SOURCE_PREFERRED;
	if (small ? unclaimed : own)
		return SOURCE_PREFERRED;
	if (cluster_unborrowed_capacity(cluster, index, entry->workspace) >=
	    accelerators)
		return SOURCE_UNBORROWED;
	return SOURCE_BORROWED;
}

/*
 * Small jobs prefer racks in a fixed order, so that they collect in the same
 * racks as other jobs end. Whole workers are taken in the opposite order.
 */
static uint64_t
rack_order(const struct cluster *cluster, uint32_t rack, bool small)
{
	return small ? cluster->racks_count - 1 - rack : rack;
}

static uint64_t
score_of(const struct cluster *cluster, const struct job_entry *entry,
    uint32_t index, uint32_t accelerators)
{
	const struct cluster_worker *worker = &cluster->workers[index];
	uint64_t leftover = cluster_free(cluster, index) - accelerators;
	uint64_t source =
	    capacity_source_of(cluster, entry, index, accelerators);
	uint64_t order =
	    rack_order(cluster, worker->rack, accelerators < worker->capacity);

	return source << SCORE_SOURCE_SHIFT | order << SCORE_RACK_SHIFT |
	    leftover;
}

static bool
zone_allows(const struct placement *placement,
    const struct placement_request *request, uint32_t zone,
    uint32_t accelerators)
{
	return request->urgent ||
	    placement->zone_available[zone] >= accelerators;
}

/* Finds the worker with the lowest score on which all tasks fit. */
static bool
find_worker(const struct placement *placement,
    const struct placement_request *request, uint32_t *workers)
{
	const struct cluster *cluster = placement->cluster;
	const struct job_entry *entry = request->entry;
	uint32_t accelerators = job_entry_accelerators(entry);
	uint64_t best_score = UINT64_MAX;
	uint32_t best = NO_INDEX;

	for (size_t i = 0; i < cluster->racks_count; i++) {
		const struct cluster_rack *rack = &cluster->racks[i];

		if (rack->max_free < accelerators ||
		    !zone_allows(placement, request, rack->zone, accelerators))
			continue;
		for (uint32_t j = 0; j < rack->workers_count; j++) {
			uint32_t worker = rack->first_worker + j;
			uint64_t score;

			if (placement_tasks_on(placement, request, worker) <
			    entry->job.tasks)
				continue;
			score = score_of(cluster, entry, worker, accelerators);
			if (score >= best_score)
				continue;
			best_score = score;
			best = worker;
		}
	}
	if (best == NO_INDEX)
		return false;
	for (uint32_t i = 0; i < entry->job.tasks; i++)
		workers[i] = best;
	return true;
}

static void
add_candidate(struct placement *placement, uint64_t score, uint32_t worker,
    uint32_t tasks)
{
	placement->candidates = mem_grow(placement->candidates,
	    &placement->candidates_capacity, placement->candidates_count + 1,
	    sizeof(*placement->candidates));
	placement->candidates[placement->candidates_count++] =
	    (struct placement_candidate){
		.score = score,
		.worker = worker,
		.tasks = tasks,
	    };
}

/* Adds a rack's workers as candidates; returns how many tasks fit on them. */
static uint32_t
add_rack_candidates(struct placement *placement,
    const struct placement_request *request, size_t index)
{
	const struct cluster *cluster = placement->cluster;
	const struct cluster_rack *rack = &cluster->racks[index];
	uint32_t amount = request->entry->job.accelerators_per_task;
	uint32_t sum = 0;

	if (rack->max_free < amount)
		return 0;
	for (uint32_t i = 0; i < rack->workers_count; i++) {
		uint32_t worker = rack->first_worker + i;
		uint32_t tasks = placement_tasks_on(placement, request, worker);

		if (tasks == 0)
			continue;
		add_candidate(placement,
		    score_of(cluster, request->entry, worker, tasks * amount),
		    worker, tasks);
		sum += tasks;
	}
	return sum;
}

static int
compare_candidates(const void *left, const void *right)
{
	const struct placement_candidate *one = left;
	const struct placement_candidate *other = right;

	if (one->score != other->score)
		return one->score < other->score ? -1 : 1;
	if (one->worker != other->worker)
		return one->worker < other->worker ? -1 : 1;
	return 0;
}

/* Assigns tasks to the candidates in order of score, within the zones' limits.
 * Returns false when not all tasks fit. */
static bool
assign_workers(struct placement *placement,
    const struct placement_request *request, uint32_t *workers)
{
	const struct cluster *cluster = placement->cluster;
	uint32_t amount = request->entry->job.accelerators_per_task;
	uint32_t placed = 0;
	uint32_t *assigned;

	if (placement->candidates_count == 0)
		return false;
	assigned = mem_calloc(cluster->zones_count, sizeof(*assigned));
	qsort(placement->candidates, placement->candidates_count,
	    sizeof(*placement->candidates), compare_candidates);
	for (size_t i = 0; i < placement->candidates_count; i++) {
		const struct placement_candidate *candidate =
		    &placement->candidates[i];
		uint32_t zone = cluster->workers[candidate->worker].zone;

		for (uint32_t j = 0; j < candidate->tasks; j++) {
			if (placed == request->entry->job.tasks ||
			    !zone_allows(placement, request, zone,
				assigned[zone] + amount))
				break;
			workers[placed++] = candidate->worker;
			assigned[zone] += amount;
		}
	}
	mem_free(assigned);
	return placed == request->entry->job.tasks;
}

/* Scores a rack by the capacity sources of its candidates, then by the
 * accelerators left free in it. */
static uint64_t
score_rack(const struct placement *placement,
    const struct placement_request *request, size_t index)
{
	uint64_t sources = SOURCE_PREFERRED;

	for (size_t i = 0; i < placement->candidates_count; i++) {
		uint64_t source =
		    placement->candidates[i].score >> SCORE_SOURCE_SHIFT;

		sources += source;
	}
	return sources << SCORE_RACK_SHIFT |
	    (placement->cluster->racks[index].free -
		job_entry_accelerators(request->entry));
}

/* Finds workers in the rack with the lowest score. */
static bool
find_rack(struct placement *placement, const struct placement_request *request,
    uint32_t *workers)
{
	const struct cluster *cluster = placement->cluster;
	uint32_t accelerators = job_entry_accelerators(request->entry);
	uint64_t best_score = UINT64_MAX;
	size_t best = SIZE_MAX;

	for (size_t i = 0; i < cluster->racks_count; i++) {
		uint64_t score;

		if (cluster->racks[i].free < accelerators ||
		    !zone_allows(placement, request, cluster->racks[i].zone,
			accelerators))
			continue;
		placement->candidates_count = 0;
		if (add_rack_candidates(placement, request, i) <
		    request->entry->job.tasks)
			continue;
		score = score_rack(placement, request, i);
		if (score >= best_score)
			continue;
		best_score = score;
		best = i;
	}
	if (best == SIZE_MAX)
		return false;
	placement->candidates_count = 0;
	(void)add_rack_candidates(placement, request, best);
	return assign_workers(placement, request, workers);
}

/* Replaces the candidates by the workers of one zone, or of all with NO_INDEX;
 * returns how many tasks fit on them. */
static uint32_t
add_zone_candidates(struct placement *placement,
    const struct placement_request *request, uint32_t zone)
{
	const struct cluster *cluster = placement->cluster;
	uint32_t sum = 0;

	placement->candidates_count = 0;
	for (size_t i = 0; i < cluster->racks_count; i++) {
		if (zone == NO_INDEX || cluster->racks[i].zone == zone)
			sum += add_rack_candidates(placement, request, i);
	}
	return sum;
}

/* Finds workers in the zone that fits the job with the fewest tasks to spare.
 */
static bool
find_zone(struct placement *placement, const struct placement_request *request,
    uint32_t *workers)
{
	const struct cluster *cluster = placement->cluster;
	uint32_t accelerators = job_entry_accelerators(request->entry);
	uint32_t best_tasks = UINT32_MAX;
	uint32_t best = NO_INDEX;

	for (uint32_t i = 0; i < cluster->zones_count; i++) {
		uint32_t tasks;

		if (!zone_allows(placement, request, i, accelerators))
			continue;
		tasks = add_zone_candidates(placement, request, i);
		if (tasks < request->entry->job.tasks || tasks >= best_tasks)
			continue;
		best = i;
		best_tasks = tasks;
	}
	if (best == NO_INDEX)
		return false;
	(void)add_zone_candidates(placement, request, best);
	return assign_workers(placement, request, workers);
}

bool
placement_find(struct placement *placement,
    const struct placement_request *request, uint32_t *workers)
{
	const struct scheduler_job *job = &request->entry->job;

	if (job->tasks == 1)
		return find_worker(placement, request, workers);
	switch (job->adjacency) {
	case IBIS__ADJACENCY__ADJACENCY_WORKER:
		return find_worker(placement, request, workers);
	case IBIS__ADJACENCY__ADJACENCY_RACK:
		return find_rack(placement, request, workers);
	case IBIS__ADJACENCY__ADJACENCY_ZONE:
		return find_zone(placement, request, workers);
	default:
		if (add_zone_candidates(placement, request, NO_INDEX) <
		    job->tasks)
			return false;
		return assign_workers(placement, request, workers);
	}
}
