#include <stdlib.h>

#include "process/alloc.h"
#include "process/placement.h"

#define FIRST_RAMP_SHARE 0.1

/* Fields of a score, most significant first; the last is what is left. */
#define SCORE_BORROWED_SHIFT 56
#define SCORE_RACK_SHIFT     32

/* What placing on a worker takes up. */
enum claim_use {
	USES_BEST_ROOM,
	USES_SECOND_ROOM,
	USES_BORROWED_ROOM
};

void
placement_clear(struct placement *placement)
{
	mem_free(placement->zone_room);
	mem_free(placement->candidates);
	*placement = (struct placement){0};
}

static uint32_t
ramped_room(const struct cluster_zone *zone, int64_t ramp_ms, int64_t now_ms)
{
	double share = FIRST_RAMP_SHARE +
	    (double)(now_ms - zone->returned_ms) / (double)ramp_ms;
	double allowed = share * zone->usable_accelerators;

	if (allowed <= zone->used)
		return 0;
	return (uint32_t)allowed - zone->used;
}

bool
placement_set_rooms(struct placement *placement, const struct cluster *cluster,
    int64_t ramp_ms, int64_t now_ms)
{
	bool ramping = false;

	mem_free(placement->zone_room);
	placement->cluster = cluster;
	placement->zone_room =
	    mem_calloc(cluster->zones_count, sizeof(*placement->zone_room));
	for (size_t i = 0; i < cluster->zones_count; i++) {
		const struct cluster_zone *zone = &cluster->zones[i];

		placement->zone_room[i] = UINT32_MAX;
		if (zone->returned_ms == INT64_MIN ||
		    now_ms - zone->returned_ms >= ramp_ms)
			continue;
		placement->zone_room[i] = ramped_room(zone, ramp_ms, now_ms);
		ramping = true;
	}
	return ramping;
}

void
placement_took(struct placement *placement, const struct job_entry *entry)
{
	uint32_t amount = entry->job.accelerators_per_task;

	for (uint32_t i = 0; i < entry->job.tasks; i++) {
		uint32_t *room;

		room =
		    &placement->zone_room
			 [placement->cluster->workers[entry->workers[i]].zone];
		if (*room != UINT32_MAX)
			*room = *room > amount ? *room - amount : 0;
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

/* Tells whether a draining reservation keeps the job off a worker. What is of
 * a lower class and keeps its work when evicted may fill the time. */
static bool
kept_off(const struct placement *placement,
    const struct placement_request *request,
    const struct cluster_worker *worker)
{
	const struct reservation *reservation;

	if (request->pass_draining || worker->holder == NO_INDEX ||
	    worker->holder == request->entry->reservation)
		return false;
	reservation = &placement->reservations->slots[worker->holder];
	if (request->entry->job.checkpointable &&
	    request->entry->rank > reservation->entry->rank)
		return false;
	return request->ends_ms > reservation->ready_ms;
}

/* On probation a worker gets one small job that may be run again. */
static bool
may_try(const struct cluster_worker *worker, const struct job_entry *entry)
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
	uint32_t room;

	if (free < worker->held + amount)
		return 0;
	free -= worker->held;
	if (kept_off(placement, request, worker) || !may_try(worker, entry))
		return 0;
	if (!request->allow_avoided && avoids(entry, index))
		return 0;
	if (job_entry_is_firm(entry)) {
		room = cluster_firm_room(
		    placement->cluster, index, entry->workspace);
		free = room < free ? room : free;
	}
	return free / amount;
}

/*
 * Tells what placing some accelerators on a worker takes up. Small jobs leave
 * their workspace's own claims whole while unclaimed room is left.
 */
static enum claim_use
use_of(const struct cluster *cluster, const struct job_entry *entry,
    uint32_t index, uint32_t accelerators)
{
	const struct cluster_worker *worker = &cluster->workers[index];
	const struct cluster_share *share =
	    cluster_share(cluster, index, entry->workspace);
	bool own = share->claim >= share->used + accelerators;
	bool unclaimed = worker->owed + accelerators <= worker->capacity;
	bool small = entry->job.accelerators_per_task < worker->capacity;

	/* What a checkpoint keeps may borrow anywhere: packing matters more. */
	if (entry->job.checkpointable)
		return USES_BEST_ROOM;
	if (small ? unclaimed : own)
		return USES_BEST_ROOM;
	if (cluster_unborrowed_room(cluster, index, entry->workspace) >=
	    accelerators)
		return USES_SECOND_ROOM;
	return USES_BORROWED_ROOM;
}

/*
 * Small jobs fill racks in a fixed order, so that work gathers in the same
 * racks as others end. Whole workers are taken from the other end.
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
	uint64_t use = use_of(cluster, entry, index, accelerators);
	uint64_t order =
	    rack_order(cluster, worker->rack, accelerators < worker->capacity);

	return use << SCORE_BORROWED_SHIFT | order << SCORE_RACK_SHIFT |
	    leftover;
}

static bool
zone_has_room(const struct placement *placement,
    const struct placement_request *request, uint32_t zone,
    uint32_t accelerators)
{
	return request->urgent || placement->zone_room[zone] >= accelerators;
}

/* Finds the worker that takes all tasks and leaves the least behind. */
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
		    !zone_has_room(
			placement, request, rack->zone, accelerators))
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

/* Adds a rack's workers as candidates; returns the tasks that they take. */
static uint32_t
add_rack(struct placement *placement, const struct placement_request *request,
    size_t index)
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

/* Fills workers from the candidates, the best first. */
static bool
fill(struct placement *placement, const struct placement_request *request,
    uint32_t *workers)
{
	const struct cluster *cluster = placement->cluster;
	uint32_t amount = request->entry->job.accelerators_per_task;
	uint32_t placed = 0;
	uint32_t *given;

	if (placement->candidates_count == 0)
		return false;
	given = mem_calloc(cluster->zones_count, sizeof(*given));
	qsort(placement->candidates, placement->candidates_count,
	    sizeof(*placement->candidates), compare_candidates);
	for (size_t i = 0; i < placement->candidates_count; i++) {
		const struct placement_candidate *candidate =
		    &placement->candidates[i];
		uint32_t zone = cluster->workers[candidate->worker].zone;

		for (uint32_t j = 0; j < candidate->tasks; j++) {
			if (placed == request->entry->job.tasks ||
			    !zone_has_room(
				placement, request, zone, given[zone] + amount))
				break;
			workers[placed++] = candidate->worker;
			given[zone] += amount;
		}
	}
	mem_free(given);
	return placed == request->entry->job.tasks;
}

/* Scores a rack by what is borrowed and left behind in it. */
static uint64_t
score_rack(const struct placement *placement,
    const struct placement_request *request, size_t index)
{
	uint64_t use = USES_BEST_ROOM;

	for (size_t i = 0; i < placement->candidates_count; i++) {
		uint64_t one =
		    placement->candidates[i].score >> SCORE_BORROWED_SHIFT;

		use += one;
	}
	return use << SCORE_RACK_SHIFT |
	    (placement->cluster->racks[index].free -
		job_entry_accelerators(request->entry));
}

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
		    !zone_has_room(placement, request, cluster->racks[i].zone,
			accelerators))
			continue;
		placement->candidates_count = 0;
		if (add_rack(placement, request, i) < request->entry->job.tasks)
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
	(void)add_rack(placement, request, best);
	return fill(placement, request, workers);
}

/* Adds candidates from one zone, or from all with NO_INDEX. */
static uint32_t
add_zone(struct placement *placement, const struct placement_request *request,
    uint32_t zone)
{
	const struct cluster *cluster = placement->cluster;
	uint32_t sum = 0;

	placement->candidates_count = 0;
	for (size_t i = 0; i < cluster->racks_count; i++) {
		if (zone == NO_INDEX || cluster->racks[i].zone == zone)
			sum += add_rack(placement, request, i);
	}
	return sum;
}

/* Finds the zone that has just enough room. */
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

		if (!zone_has_room(placement, request, i, accelerators))
			continue;
		tasks = add_zone(placement, request, i);
		if (tasks < request->entry->job.tasks || tasks >= best_tasks)
			continue;
		best = i;
		best_tasks = tasks;
	}
	if (best == NO_INDEX)
		return false;
	(void)add_zone(placement, request, best);
	return fill(placement, request, workers);
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
		if (add_zone(placement, request, NO_INDEX) < job->tasks)
			return false;
		return fill(placement, request, workers);
	}
}
