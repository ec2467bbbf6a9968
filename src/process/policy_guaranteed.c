/*
 * Schedules the queue in order of class and latest start under workspace
 * guarantees. A large job that does not fit yet gets a draining reservation;
 * later jobs are backfilled around it.
 */
#include <math.h>

#include "process/alloc.h"
#include "process/scheduler_state.h"
#include "process/zone_evacuation.h"

#define SCAN_LIMIT		  256 /* queued jobs considered in a decision */
#define LANE_LIMIT		  64  /* of these per class */
#define OVERDUE_LANE_LIMIT	  16  /* the same past their latest start */
#define SEARCH_LIMIT		  48  /* searches for workers in a decision */
#define PLAN_LIMIT		  8   /* failed searches for jobs to evict */
#define MAX_DRAINING_RESERVATIONS 1
#define FAILED_SHAPES		  32 /* remembered in a decision */
#define DECISION_INTERVAL_MS	  1000
#define RAMP_DECISION_INTERVAL_MS 250
#define REDRAIN_DELAY_MS	  5000 /* past the expected start */
#define RECLAIM_MIN_WAIT_MS	  1000
#define DEADLINE_MARGIN_MS	  10000	  /* before the latest start */
#define URGENT_PEAK_DECAY_MS	  30000.0 /* time constant */
#define MAX_HEADROOM_SHARE	  0.1	  /* of all usable accelerators */
#define COMPACTION_INTERVAL_MS	  1000
#define COMPACTION_MIN_WAIT_MS	  2000
#define COMPACTION_MAX_LOSS_MS	  20000 /* per accelerator of the job */

/* A request for which no workers were found in this decision. */
struct failed_shape {
	uint32_t tasks;
	uint32_t accelerators_per_task;
	Ibis__Adjacency adjacency;
	uint32_t workspace; /* of a non-preemptible job; NO_INDEX: any */
	bool urgent;
	bool ignore_draining;
	bool backfills; /* it would end before any draining reservation */
};

/* A search for jobs to evict that found none in this decision. */
struct failed_plan {
	enum eviction_mode mode;
	uint32_t workspace;
	uint32_t request_class;
	uint32_t tasks;
	uint32_t accelerators_per_task;
	Ibis__Adjacency adjacency;
};

/* State of one decision. */
struct queue_pass {
	struct scheduler *scheduler;
	int64_t now_ms;
	struct failed_shape failed[FAILED_SHAPES];
	size_t failed_count;
	size_t searches;
	struct failed_plan failed_plans[PLAN_LIMIT];
	size_t failed_plans_count; /* for jobs of non-urgent classes */
	int64_t soonest_ready_ms;  /* over the draining reservations */
	bool tried_compaction;
};

/* Returns the adjacency that matters: none for a single task. */
static Ibis__Adjacency
needed_adjacency(const struct scheduler_job *job)
{
	return job->tasks == 1 ? IBIS__ADJACENCY__ADJACENCY_ANY
			       : job->adjacency;
}

static struct failed_shape
shape_of(const struct queue_pass *pass, const struct placement_request *request)
{
	const struct job_entry *entry = request->entry;

	return (struct failed_shape){
	    .tasks = entry->job.tasks,
	    .accelerators_per_task = entry->job.accelerators_per_task,
	    .adjacency = needed_adjacency(&entry->job),
	    .workspace = job_entry_is_non_preemptible(entry) ? entry->workspace
							     : NO_INDEX,
	    .urgent = request->urgent,
	    .ignore_draining = request->ignore_draining,
	    .backfills = request->ends_ms <= pass->soonest_ready_ms,
	};
}

/* Tells whether a shape needs at least as much as one that failed. */
static bool
needs_at_least(
    const struct failed_shape *shape, const struct failed_shape *failed)
{
	return shape->tasks >= failed->tasks &&
	    shape->accelerators_per_task >= failed->accelerators_per_task &&
	    shape->adjacency >= failed->adjacency &&
	    (failed->workspace == NO_INDEX ||
		failed->workspace == shape->workspace) &&
	    (failed->urgent || !shape->urgent) &&
	    (failed->ignore_draining || !shape->ignore_draining) &&
	    (failed->backfills || !shape->backfills);
}

static bool
known_to_fail(const struct queue_pass *pass, const struct failed_shape *shape)
{
	for (size_t i = 0; i < pass->failed_count; i++) {
		if (needs_at_least(shape, &pass->failed[i]))
			return true;
	}
	return false;
}

/* Updates the recent maximum of accelerators held by urgent jobs. */
static void
track_urgent_peak(struct scheduler *scheduler, int64_t now_ms)
{
	double elapsed_ms = (double)(now_ms - scheduler->urgent_peak_ms);

	scheduler->urgent_peak *= exp(-elapsed_ms / URGENT_PEAK_DECAY_MS);
	scheduler->urgent_peak_ms = now_ms;
	if (scheduler->urgent_peak < scheduler->urgent_used)
		scheduler->urgent_peak = scheduler->urgent_used;
}

/* Tells whether starting the entry leaves enough free for urgent jobs to reach
 * their recent peak again. Otherwise a job without checkpoints waits, as the
 * next urgent job could evict it and its work would be lost. */
static bool
leaves_headroom(
    const struct scheduler *scheduler, const struct placement_request *request)
{
	double headroom = scheduler->urgent_peak - scheduler->urgent_used;
	double capacity = 0;
	double free = 0;

	if (request->urgent || request->entry->job.checkpointable)
		return true;
	for (size_t i = 0; i < scheduler->cluster.zones_count; i++) {
		const struct cluster_zone *zone = &scheduler->cluster.zones[i];

		capacity += zone->usable_accelerators;
		free += zone->usable_accelerators - (double)zone->used;
	}
	if (headroom > MAX_HEADROOM_SHARE * capacity)
		headroom = MAX_HEADROOM_SHARE * capacity;
	return free - job_entry_accelerators(request->entry) >= headroom;
}

/* Starts the entry if there are workers for it; returns whether it did. A
 * search avoids workers that the job failed on, unless only these are left. */
static bool
try_start(struct queue_pass *pass, struct job_entry *entry,
    struct placement_request *request)
{
	struct scheduler *scheduler = pass->scheduler;
	struct failed_shape shape = shape_of(pass, request);
	uint32_t *workers;
	bool found;

	if (!leaves_headroom(scheduler, request) ||
	    (entry->avoided_count == 0 && known_to_fail(pass, &shape)))
		return false;
	pass->searches++;
	workers = mem_calloc(entry->job.tasks, sizeof(*workers));
	found = placement_find(&scheduler->placement, request, workers);
	if (!found && entry->avoided_count > 0) {
		request->allow_avoided = true;
		found = placement_find(&scheduler->placement, request, workers);
	}
	if (found) {
		scheduler_start(scheduler, entry, workers, pass->now_ms);
		placement_record_start(&scheduler->placement, entry);
	}
	if (!found && pass->failed_count < FAILED_SHAPES)
		pass->failed[pass->failed_count++] = shape;
	mem_free(workers);
	return found;
}

/* Tells whether an exclusive reservation's capacity is all free now. */
static bool
reserved_workers_are_free(
    const struct scheduler *scheduler, const struct reservation *reservation)
{
	const struct cluster *cluster = &scheduler->cluster;
	uint32_t amount = reservation->entry->job.accelerators_per_task;
	bool non_preemptible = job_entry_is_non_preemptible(reservation->entry);

	for (uint32_t i = 0; i < reservation->workers_count; i++) {
		uint32_t worker = reservation->workers[i];
		uint32_t tasks = 0;

		for (uint32_t j = 0; j < reservation->workers_count; j++)
			tasks += reservation->workers[j] == worker;
		if (cluster_free(cluster, worker) < tasks * amount)
			return false;
		if (non_preemptible &&
		    cluster_non_preemptible_capacity(cluster, worker,
			reservation->entry->workspace) < tasks * amount)
			return false;
	}
	return true;
}

static bool
reserved_workers_are_usable(
    const struct scheduler *scheduler, const struct reservation *reservation)
{
	for (uint32_t i = 0; i < reservation->workers_count; i++) {
		if (!scheduler->cluster.workers[reservation->workers[i]].usable)
			return false;
	}
	return true;
}

/* Starts an entry on its exclusive reservation, or drops one that has lapsed.
 * Returns true when the entry has started or still waits for its workers. */
static bool
use_exclusive_reservation(struct queue_pass *pass, struct job_entry *entry)
{
	struct scheduler *scheduler = pass->scheduler;
	const struct reservation *reservation =
	    reservation_find(&scheduler->reservations, entry);

	if (reservation == NULL || reservation->kind != RESERVATION_EXCLUSIVE)
		return false;
	if (reserved_workers_are_free(scheduler, reservation)) {
		uint32_t tasks = entry->job.tasks;
		uint32_t *workers = mem_calloc(tasks, sizeof(*workers));

		for (uint32_t i = 0; i < tasks; i++)
			workers[i] = reservation->workers[i];
		scheduler_start(scheduler, entry, workers, pass->now_ms);
		mem_free(workers);
		return true;
	}
	if (pass->now_ms < reservation->ready_ms &&
	    reserved_workers_are_usable(scheduler, reservation)) {
		scheduler_wake_at(scheduler, reservation->ready_ms);
		return true;
	}
	reservation_drop(&scheduler->reservations, &scheduler->cluster, entry);
	return false;
}

static void
prepare_planner(struct queue_pass *pass)
{
	struct scheduler *scheduler = pass->scheduler;
	struct eviction_planner *planner = &scheduler->planner;

	planner->cluster = &scheduler->cluster;
	planner->classes = scheduler->classes;
	planner->classes_count = scheduler->classes_count;
	planner->now_ms = pass->now_ms;
}

/* Evicts the jobs that the planner chose and reserves their workers. */
static void
evict_for(struct queue_pass *pass, struct job_entry *entry, const char *reason)
{
	struct scheduler *scheduler = pass->scheduler;
	const struct eviction_planner *planner = &scheduler->planner;

	reservation_make(&scheduler->reservations, &scheduler->cluster, entry,
	    RESERVATION_EXCLUSIVE, planner->workers, entry->job.tasks,
	    pass->now_ms + SCHEDULER_RECLAIM_TIMEOUT_MS);
	for (size_t i = 0; i < planner->victims_count; i++)
		scheduler_evict(
		    scheduler, planner->victims[i], reason, pass->now_ms);
	scheduler_wake_at(
	    scheduler, pass->now_ms + SCHEDULER_RECLAIM_TIMEOUT_MS);
}

/* Takes the plan's evictions from the budget; false when it is used up. */
static bool
within_budget(struct queue_pass *pass)
{
	struct scheduler *scheduler = pass->scheduler;
	uint64_t accelerators = 0;

	for (size_t i = 0; i < scheduler->cluster.zones_count; i++)
		accelerators += scheduler->cluster.zones[i].usable_accelerators;
	return eviction_budget_take(&scheduler->budget,
	    scheduler->planner.freed, accelerators, pass->now_ms);
}

/* Evicts for an urgent job: jobs that borrow from its workspace's claims, or
 * else non-urgent ones of its workspace or on borrowed capacity. */
static bool
evict_urgently(struct queue_pass *pass, struct job_entry *entry,
    const struct placement_request *request)
{
	struct eviction_planner *planner = &pass->scheduler->planner;

	if (eviction_plan(planner, request, EVICTION_RECLAIM))
		evict_for(pass, entry, "reclaim");
	else if (eviction_plan(planner, request, EVICTION_URGENT))
		evict_for(pass, entry, "urgent");
	else
		return false;
	return true;
}

/* Evicts for an urgent job that does not fit now. Workers drained for a large
 * job are used last, since bursts of urgent jobs would otherwise delay the
 * large one repeatedly. */
static void
schedule_urgent(struct queue_pass *pass, struct job_entry *entry,
    struct placement_request *request)
{
	if (evict_urgently(pass, entry, request))
		return;
	request->ignore_draining = true;
	if (!try_start(pass, entry, request))
		(void)evict_urgently(pass, entry, request);
}

/* Tells whether some worker has enough unused claims of the entry's workspace
 * for one task. */
static bool
has_unused_claims(
    const struct scheduler *scheduler, const struct job_entry *entry)
{
	for (size_t i = 0; i < scheduler->guarantees.count; i++) {
		const struct guaranteed_shape *shape =
		    &scheduler->guarantees.guaranteed_shapes[i];

		if (shape->workspace != entry->workspace || !shape->placed)
			continue;
		for (uint32_t j = 0; j < shape->racks * shape->workers_per_rack;
		     j++) {
			const struct cluster_share *share =
			    cluster_share(&scheduler->cluster,
				shape->workers[j], shape->workspace);

			if (share->claim >=
			    share->used + entry->job.accelerators_per_task)
				return true;
		}
	}
	return false;
}

static struct failed_plan
failed_plan_of(const struct job_entry *entry, enum eviction_mode mode)
{
	return (struct failed_plan){
	    .mode = mode,
	    .workspace = entry->workspace,
	    .request_class = entry->request_class,
	    .tasks = entry->job.tasks,
	    .accelerators_per_task = entry->job.accelerators_per_task,
	    .adjacency = needed_adjacency(&entry->job),
	};
}

/* Plans evictions for the entry, unless a similar search has failed in this
 * decision or PLAN_LIMIT searches have. */
static bool
plan_evictions(struct queue_pass *pass, const struct placement_request *request,
    enum eviction_mode mode)
{
	struct failed_plan key = failed_plan_of(request->entry, mode);

	for (size_t i = 0; i < pass->failed_plans_count; i++) {
		const struct failed_plan *failed = &pass->failed_plans[i];

		if (failed->mode == key.mode &&
		    failed->workspace == key.workspace &&
		    failed->request_class == key.request_class &&
		    failed->tasks <= key.tasks &&
		    failed->accelerators_per_task ==
			key.accelerators_per_task &&
		    failed->adjacency == key.adjacency)
			return false;
	}
	if (pass->failed_plans_count == PLAN_LIMIT)
		return false;
	if (eviction_plan(&pass->scheduler->planner, request, mode))
		return true;
	pass->failed_plans[pass->failed_plans_count++] = key;
	return false;
}

static uint64_t
free_accelerators(const struct scheduler *scheduler)
{
	uint64_t free = 0;

	for (size_t i = 0; i < scheduler->cluster.racks_count; i++)
		free += scheduler->cluster.racks[i].free;
	return free;
}

/* Evicts jobs of lower classes, for which capacity is free elsewhere, so that a
 * large job gets adjacent workers. */
static bool
evict_for_compaction(struct queue_pass *pass, struct job_entry *entry,
    const struct placement_request *request)
{
	struct scheduler *scheduler = pass->scheduler;
	uint64_t free = free_accelerators(scheduler);
	/* Backfilled jobs on drained workers are evicted even when there is not
	 * enough capacity elsewhere. */
	bool has_reservation = entry->reservation != NO_INDEX;

	if (pass->tried_compaction ||
	    pass->now_ms < scheduler->next_compaction_ms ||
	    pass->now_ms - entry->queued_ms < COMPACTION_MIN_WAIT_MS ||
	    (!has_reservation && free < job_entry_accelerators(entry)))
		return false;
	pass->tried_compaction = true;
	scheduler->next_compaction_ms = pass->now_ms + COMPACTION_INTERVAL_MS;
	if (!eviction_plan(&scheduler->planner, request, EVICTION_COMPACTION) ||
	    (!has_reservation && scheduler->planner.freed > free) ||
	    scheduler->planner.lost_accelerator_ms > COMPACTION_MAX_LOSS_MS *
		    (int64_t)job_entry_accelerators(entry) ||
	    !within_budget(pass))
		return false;
	evict_for(pass, entry, "compaction");
	return true;
}

/* Evicts for a job of a non-urgent class where its waiting time, its claims or
 * its deadline allow that. */
static bool
evict_after_wait(struct queue_pass *pass, struct job_entry *entry,
    const struct placement_request *request)
{
	struct scheduler *scheduler = pass->scheduler;
	int64_t waited_ms = pass->now_ms - entry->queued_ms;

	if (waited_ms >= RECLAIM_MIN_WAIT_MS &&
	    has_unused_claims(scheduler, entry) &&
	    plan_evictions(pass, request, EVICTION_RECLAIM)) {
		evict_for(pass, entry, "reclaim");
		return true;
	}
	if (evict_for_compaction(pass, entry, request))
		return true;
	if (entry->lane_key_ms <= pass->now_ms + DEADLINE_MARGIN_MS &&
	    plan_evictions(pass, request, EVICTION_DEADLINE) &&
	    within_budget(pass)) {
		evict_for(pass, entry, "deadline");
		return true;
	}
	return false;
}

static bool
is_large(const struct job_entry *entry)
{
	return entry->job.tasks > 1 || entry->job.accelerators_per_task > 1;
}

/* Makes a draining reservation for an entry that does not fit yet, or replaces
 * one that is overdue. */
static void
drain_for(struct queue_pass *pass, struct job_entry *entry)
{
	struct scheduler *scheduler = pass->scheduler;
	struct reservation_table *table = &scheduler->reservations;
	const struct reservation *current = reservation_find(table, entry);

	if (current != NULL &&
	    (current->kind == RESERVATION_EXCLUSIVE ||
		pass->now_ms < current->ready_ms + REDRAIN_DELAY_MS))
		return;
	if (current == NULL && table->draining >= MAX_DRAINING_RESERVATIONS)
		return;
	if (!draining_find(
		&scheduler->draining, &scheduler->cluster, entry, pass->now_ms))
		return;
	reservation_make(table, &scheduler->cluster, entry,
	    RESERVATION_DRAINING, scheduler->draining.workers,
	    scheduler->draining.workers_count, scheduler->draining.ready_ms);
	if (scheduler->draining.ready_ms < pass->soonest_ready_ms)
		pass->soonest_ready_ms = scheduler->draining.ready_ms;
}

/* Tells whether an entry that never started would miss its deadline if it
 * started now, by a low estimate of its run time. */
static bool
misses_deadline(const struct queue_pass *pass, const struct job_entry *entry)
{
	return !entry->started && entry->job.deadline_ms > 0 &&
	    pass->now_ms +
		scheduler_remaining_ms(pass->scheduler, entry, ESTIMATE_LOW) >
	    entry->job.deadline_ms;
}

/* Starts the entry, evicts or reserves for it, or gives it up. */
static void
schedule_entry(struct queue_pass *pass, struct job_entry *entry)
{
	struct scheduler *scheduler = pass->scheduler;
	struct placement_request request = {
	    .entry = entry,
	    .urgent = scheduler_is_urgent(scheduler, entry),
	};

	if (entry->not_before_ms > pass->now_ms) {
		scheduler_wake_at(scheduler, entry->not_before_ms);
		return;
	}
	if (!scheduler_quota_allows(scheduler, entry))
		return;
	if (misses_deadline(pass, entry)) {
		scheduler_give_up(scheduler, entry, "deadline", pass->now_ms);
		return;
	}
	if (use_exclusive_reservation(pass, entry))
		return;
	request.ends_ms = pass->now_ms +
	    scheduler_remaining_ms(scheduler, entry, ESTIMATE_HIGH);
	if (try_start(pass, entry, &request))
		return;
	if (request.urgent) {
		schedule_urgent(pass, entry, &request);
		return;
	}
	if (evict_after_wait(pass, entry, &request))
		return;
	if (is_large(entry))
		drain_for(pass, entry);
}

static int64_t
soonest_ready_ms(const struct reservation_table *table)
{
	int64_t soonest_ms = INT64_MAX;

	for (size_t i = 0; i < RESERVATION_SLOTS && table->draining > 0; i++) {
		const struct reservation *reservation = &table->slots[i];

		if (reservation->kind == RESERVATION_DRAINING &&
		    reservation->ready_ms < soonest_ms)
			soonest_ms = reservation->ready_ms;
	}
	return soonest_ms;
}

/* Appends queued entries to entries in order of precedence: either those past
 * their latest start (overdue) or all others. Returns the new count. */
static size_t
collect_entries(const struct scheduler *scheduler, bool overdue,
    size_t lane_limit, int64_t now_ms, struct job_entry **entries, size_t count)
{
	struct job_queue_walk walk = job_queue_walk_start(
	    &scheduler->queue, overdue, lane_limit, now_ms);

	while (count < SCAN_LIMIT &&
	    (entries[count] = job_queue_walk_next(&walk)) != NULL)
		count++;
	job_queue_walk_end(&walk);
	return count;
}

static void
schedule_queue(struct scheduler *scheduler, int64_t now_ms)
{
	struct job_entry *entries[SCAN_LIMIT];
	struct queue_pass pass = {
	    .scheduler = scheduler,
	    .now_ms = now_ms,
	    .soonest_ready_ms = soonest_ready_ms(&scheduler->reservations),
	};
	size_t count;

	prepare_planner(&pass);
	track_urgent_peak(scheduler, now_ms);
	/* Jobs that can still meet their deadline go before overdue ones;
	 * otherwise every job would be overdue under overload when it is
	 * considered. */
	count =
	    collect_entries(scheduler, false, LANE_LIMIT, now_ms, entries, 0);
	count = collect_entries(
	    scheduler, true, OVERDUE_LANE_LIMIT, now_ms, entries, count);
	for (size_t i = 0; i < count && pass.searches < SEARCH_LIMIT; i++)
		schedule_entry(&pass, entries[i]);
}

void
policy_guaranteed_decide(struct scheduler *scheduler, int64_t now_ms)
{
	bool ramping;

	if (scheduler->claims_outdated) {
		scheduler->unplaced_guarantees = guarantee_place(
		    &scheduler->guarantees, &scheduler->cluster);
		scheduler->claims_outdated = false;
	}
	ramping = placement_set_zone_limits(&scheduler->placement,
	    &scheduler->cluster, scheduler->config.zone_return_ramp_ms, now_ms);
	scheduler->placement.reservations = &scheduler->reservations;
	zone_evacuate_at_deadline(scheduler, now_ms);
	schedule_queue(scheduler, now_ms);
	zone_evacuate_early(scheduler, now_ms);
	if (scheduler->queue.count > 0)
		scheduler_wake_at(scheduler,
		    now_ms +
			(ramping ? RAMP_DECISION_INTERVAL_MS
				 : DECISION_INTERVAL_MS));
}
