/*
 * Serves the queue in order of class and latest start under workspace
 * guarantees, with backfill behind reservations for what does not fit yet.
 */
#include <math.h>

#include "process/alloc.h"
#include "process/scheduler_state.h"
#include "process/zone_leave.h"

#define SCAN_LIMIT	    256 /* queued jobs looked at in a decision */
#define LANE_LIMIT	    64	/* of them in each class */
#define LATE_LIMIT	    16	/* of those past their latest start */
#define TRY_LIMIT	    48	/* searches for workers in a decision */
#define PLAN_LIMIT	    8	/* searches for evictions of others' work */
#define MAX_DRAINING	    1
#define FAILED_SHAPES	    32
#define PASS_INTERVAL_MS    1000
#define RAMP_INTERVAL_MS    250
#define REDRAIN_AFTER_MS    5000
#define RECLAIM_PATIENCE_MS 1000
#define PRESSING_MARGIN_MS  10000
#define URGENT_FADE_MS	    30000.0
#define MAX_HEADROOM_SHARE  0.1
#define COMPACT_INTERVAL_MS 1000
#define COMPACT_PATIENCE_MS 2000
#define COMPACT_WORTH_MS    20000 /* of the job's accelerators */

/* A request for which no workers were found in this decision. */
struct failed_shape {
	uint32_t tasks;
	uint32_t accelerators_per_task;
	Ibis__Adjacency adjacency;
	uint32_t workspace; /* NO_INDEX: any, as it was not firm */
	bool urgent;
	bool pass_draining;
	bool backfills; /* it could use draining workers */
};

/* A search for evictions that found none in this decision. */
struct failed_plan {
	enum eviction_mode mode;
	uint32_t workspace;
	uint32_t request_class;
	uint32_t tasks;
	uint32_t accelerators_per_task;
	Ibis__Adjacency adjacency;
};

struct pass {
	struct scheduler *scheduler;
	int64_t now_ms;
	struct failed_shape failed[FAILED_SHAPES];
	size_t failed_count;
	size_t tries;
	struct failed_plan failed_plans[PLAN_LIMIT];
	size_t plans;		  /* searches for jobs of no urgent class */
	int64_t soonest_ready_ms; /* of the draining reservations */
	bool compacted;
};

static Ibis__Adjacency
needed_adjacency(const struct scheduler_job *job)
{
	return job->tasks == 1 ? IBIS__ADJACENCY__ADJACENCY_ANY
			       : job->adjacency;
}

static struct failed_shape
shape_of(const struct pass *pass, const struct placement_request *request)
{
	const struct job_entry *entry = request->entry;

	return (struct failed_shape){
	    .tasks = entry->job.tasks,
	    .accelerators_per_task = entry->job.accelerators_per_task,
	    .adjacency = needed_adjacency(&entry->job),
	    .workspace = job_entry_is_firm(entry) ? entry->workspace : NO_INDEX,
	    .urgent = request->urgent,
	    .pass_draining = request->pass_draining,
	    .backfills = request->ends_ms <= pass->soonest_ready_ms,
	};
}

/* Tells whether a shape needs at least what another one failed to get. */
static bool
needs_as_much(
    const struct failed_shape *shape, const struct failed_shape *failed)
{
	return shape->tasks >= failed->tasks &&
	    shape->accelerators_per_task >= failed->accelerators_per_task &&
	    shape->adjacency >= failed->adjacency &&
	    (failed->workspace == NO_INDEX ||
		failed->workspace == shape->workspace) &&
	    (failed->urgent || !shape->urgent) &&
	    (failed->pass_draining || !shape->pass_draining) &&
	    (failed->backfills || !shape->backfills);
}

static bool
sure_to_fail(const struct pass *pass, const struct failed_shape *shape)
{
	for (size_t i = 0; i < pass->failed_count; i++) {
		if (needs_as_much(shape, &pass->failed[i]))
			return true;
	}
	return false;
}

static void
track_urgent_peak(struct scheduler *scheduler, int64_t now_ms)
{
	double elapsed_ms = (double)(now_ms - scheduler->urgent_peak_ms);

	scheduler->urgent_peak *= exp(-elapsed_ms / URGENT_FADE_MS);
	scheduler->urgent_peak_ms = now_ms;
	if (scheduler->urgent_peak < scheduler->urgent_used)
		scheduler->urgent_peak = scheduler->urgent_used;
}

/* Tells whether starting the entry leaves room for as many urgent jobs as ran
 * of late. What would lose its work to the next one waits instead. */
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

/* Starts the entry if workers are found for it. */
static bool
try_start(struct pass *pass, struct job_entry *entry,
    struct placement_request *request)
{
	struct scheduler *scheduler = pass->scheduler;
	struct failed_shape shape = shape_of(pass, request);
	uint32_t *workers;
	bool found;

	if (!leaves_headroom(scheduler, request) ||
	    (entry->avoided_count == 0 && sure_to_fail(pass, &shape)))
		return false;
	pass->tries++;
	workers = mem_calloc(entry->job.tasks, sizeof(*workers));
	found = placement_find(&scheduler->placement, request, workers);
	if (!found && entry->avoided_count > 0) {
		request->allow_avoided = true;
		found = placement_find(&scheduler->placement, request, workers);
	}
	if (found) {
		scheduler_start(scheduler, entry, workers, pass->now_ms);
		placement_took(&scheduler->placement, entry);
	}
	if (!found && pass->failed_count < FAILED_SHAPES)
		pass->failed[pass->failed_count++] = shape;
	mem_free(workers);
	return found;
}

/* Tells whether all workers of a firm reservation have come free. */
static bool
reserved_are_free(
    const struct scheduler *scheduler, const struct reservation *reservation)
{
	const struct cluster *cluster = &scheduler->cluster;
	uint32_t amount = reservation->entry->job.accelerators_per_task;
	bool firm = job_entry_is_firm(reservation->entry);

	for (uint32_t i = 0; i < reservation->workers_count; i++) {
		uint32_t worker = reservation->workers[i];
		uint32_t tasks = 0;

		for (uint32_t j = 0; j < reservation->workers_count; j++)
			tasks += reservation->workers[j] == worker;
		if (cluster_free(cluster, worker) < tasks * amount)
			return false;
		if (firm &&
		    cluster_firm_room(cluster, worker,
			reservation->entry->workspace) < tasks * amount)
			return false;
	}
	return true;
}

static bool
reserved_are_usable(
    const struct scheduler *scheduler, const struct reservation *reservation)
{
	for (uint32_t i = 0; i < reservation->workers_count; i++) {
		if (!scheduler->cluster.workers[reservation->workers[i]].usable)
			return false;
	}
	return true;
}

/* Starts an entry on its firm reservation, or drops one that has failed. Tells
 * whether the entry needs nothing else for now. */
static bool
use_firm_reservation(struct pass *pass, struct job_entry *entry)
{
	struct scheduler *scheduler = pass->scheduler;
	const struct reservation *reservation =
	    reservation_of(&scheduler->reservations, entry);

	if (reservation == NULL || reservation->kind != RESERVATION_FIRM)
		return false;
	if (reserved_are_free(scheduler, reservation)) {
		uint32_t tasks = entry->job.tasks;
		uint32_t *workers = mem_calloc(tasks, sizeof(*workers));

		for (uint32_t i = 0; i < tasks; i++)
			workers[i] = reservation->workers[i];
		scheduler_start(scheduler, entry, workers, pass->now_ms);
		mem_free(workers);
		return true;
	}
	if (pass->now_ms < reservation->ready_ms &&
	    reserved_are_usable(scheduler, reservation)) {
		scheduler_wake_at(scheduler, reservation->ready_ms);
		return true;
	}
	reservation_drop(&scheduler->reservations, &scheduler->cluster, entry);
	return false;
}

static void
prepare_planner(struct pass *pass)
{
	struct scheduler *scheduler = pass->scheduler;
	struct eviction_planner *planner = &scheduler->planner;

	planner->cluster = &scheduler->cluster;
	planner->classes = scheduler->classes;
	planner->classes_count = scheduler->classes_count;
	planner->now_ms = pass->now_ms;
}

/* Carries out the planner's plan for an entry. */
static void
evict_for(struct pass *pass, struct job_entry *entry, const char *reason)
{
	struct scheduler *scheduler = pass->scheduler;
	const struct eviction_planner *planner = &scheduler->planner;

	reservation_make(&scheduler->reservations, &scheduler->cluster, entry,
	    RESERVATION_FIRM, planner->workers, entry->job.tasks,
	    pass->now_ms + SCHEDULER_RECLAIM_WAIT_MS);
	for (size_t i = 0; i < planner->victims_count; i++)
		scheduler_evict(
		    scheduler, planner->victims[i], reason, pass->now_ms);
	scheduler_wake_at(scheduler, pass->now_ms + SCHEDULER_RECLAIM_WAIT_MS);
}

static bool
within_budget(struct pass *pass)
{
	struct scheduler *scheduler = pass->scheduler;
	uint64_t accelerators = 0;

	for (size_t i = 0; i < scheduler->cluster.zones_count; i++)
		accelerators += scheduler->cluster.zones[i].usable_accelerators;
	return eviction_budget_take(&scheduler->budget,
	    scheduler->planner.freed, accelerators, pass->now_ms);
}

static bool
evict_urgently(struct pass *pass, struct job_entry *entry,
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

/* Workers drained for a large job are the last resort, as bursts of urgent
 * jobs would else keep it waiting. */
static void
serve_urgent(struct pass *pass, struct job_entry *entry,
    struct placement_request *request)
{
	if (evict_urgently(pass, entry, request))
		return;
	request->pass_draining = true;
	if (!try_start(pass, entry, request))
		(void)evict_urgently(pass, entry, request);
}

/* Tells whether some claim of the entry's workspace is not used up. */
static bool
has_unused_claims(
    const struct scheduler *scheduler, const struct job_entry *entry)
{
	for (size_t i = 0; i < scheduler->guarantees.count; i++) {
		const struct guarantee_pin *pin =
		    &scheduler->guarantees.pins[i];

		if (pin->workspace != entry->workspace || !pin->placed)
			continue;
		for (uint32_t j = 0; j < pin->racks * pin->workers_per_rack;
		     j++) {
			const struct cluster_share *share =
			    cluster_share(&scheduler->cluster, pin->workers[j],
				pin->workspace);

			if (share->claim >=
			    share->used + entry->job.accelerators_per_task)
				return true;
		}
	}
	return false;
}

static struct failed_plan
plan_key(const struct job_entry *entry, enum eviction_mode mode)
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

/* Plans evictions unless the same has failed in this decision already. */
static bool
plan_once(struct pass *pass, const struct placement_request *request,
    enum eviction_mode mode)
{
	struct failed_plan key = plan_key(request->entry, mode);

	for (size_t i = 0; i < pass->plans; i++) {
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
	if (pass->plans == PLAN_LIMIT)
		return false;
	if (eviction_plan(&pass->scheduler->planner, request, mode))
		return true;
	pass->failed_plans[pass->plans++] = key;
	return false;
}

/* Accelerators that are free now. */
static uint64_t
free_accelerators(const struct scheduler *scheduler)
{
	uint64_t free = 0;

	for (size_t i = 0; i < scheduler->cluster.racks_count; i++)
		free += scheduler->cluster.racks[i].free;
	return free;
}

/* Checkpoints work of lower classes that finds a place elsewhere, so that a
 * large job gets workers that lie together. */
static bool
compact_for(struct pass *pass, struct job_entry *entry,
    const struct placement_request *request)
{
	struct scheduler *scheduler = pass->scheduler;
	uint64_t free = free_accelerators(scheduler);
	/* Work that fills drained workers is evicted wherever it goes. */
	bool drains = entry->reservation != NO_INDEX;

	if (pass->compacted || pass->now_ms < scheduler->next_compact_ms ||
	    pass->now_ms - entry->queued_ms < COMPACT_PATIENCE_MS ||
	    (!drains && free < job_entry_accelerators(entry)))
		return false;
	pass->compacted = true;
	scheduler->next_compact_ms = pass->now_ms + COMPACT_INTERVAL_MS;
	if (!eviction_plan(&scheduler->planner, request, EVICTION_COMPACTION) ||
	    (!drains && scheduler->planner.freed > free) ||
	    scheduler->planner.lost >
		COMPACT_WORTH_MS * (int64_t)job_entry_accelerators(entry) ||
	    !within_budget(pass))
		return false;
	evict_for(pass, entry, "compaction");
	return true;
}

/* Evicts for a job of no urgent class, if a rule allows it. */
static bool
evict_patiently(struct pass *pass, struct job_entry *entry,
    const struct placement_request *request)
{
	struct scheduler *scheduler = pass->scheduler;
	int64_t waited_ms = pass->now_ms - entry->queued_ms;

	if (waited_ms >= RECLAIM_PATIENCE_MS &&
	    has_unused_claims(scheduler, entry) &&
	    plan_once(pass, request, EVICTION_RECLAIM)) {
		evict_for(pass, entry, "reclaim");
		return true;
	}
	if (compact_for(pass, entry, request))
		return true;
	if (entry->lane_key_ms <= pass->now_ms + PRESSING_MARGIN_MS &&
	    plan_once(pass, request, EVICTION_PRESSING) &&
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

/* Keeps workers for an entry that does not fit yet. */
static void
drain_for(struct pass *pass, struct job_entry *entry)
{
	struct scheduler *scheduler = pass->scheduler;
	struct reservation_table *table = &scheduler->reservations;
	const struct reservation *present = reservation_of(table, entry);

	if (present != NULL &&
	    (present->kind == RESERVATION_FIRM ||
		pass->now_ms < present->ready_ms + REDRAIN_AFTER_MS))
		return;
	if (present == NULL && table->draining >= MAX_DRAINING)
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

/* Tells whether the entry can't meet its deadline even if all goes well. */
static bool
too_late(const struct pass *pass, const struct job_entry *entry)
{
	return !entry->started && entry->job.deadline_ms > 0 &&
	    pass->now_ms +
		scheduler_remaining_ms(pass->scheduler, entry, ESTIMATE_LOW) >
	    entry->job.deadline_ms;
}

static void
serve(struct pass *pass, struct job_entry *entry)
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
	if (too_late(pass, entry)) {
		scheduler_give_up(scheduler, entry, "deadline", pass->now_ms);
		return;
	}
	if (use_firm_reservation(pass, entry))
		return;
	request.ends_ms = pass->now_ms +
	    scheduler_remaining_ms(scheduler, entry, ESTIMATE_HIGH);
	if (try_start(pass, entry, &request))
		return;
	if (request.urgent) {
		serve_urgent(pass, entry, &request);
		return;
	}
	if (evict_patiently(pass, entry, &request))
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

/* Adds entries in order of service, late ones or all others. */
static size_t
collect(const struct scheduler *scheduler, bool late, size_t lane_limit,
    int64_t now_ms, struct job_entry **entries, size_t count)
{
	struct job_queue_walk walk =
	    job_queue_walk_start(&scheduler->queue, late, lane_limit, now_ms);

	while (count < SCAN_LIMIT &&
	    (entries[count] = job_queue_walk_next(&walk)) != NULL)
		count++;
	job_queue_walk_end(&walk);
	return count;
}

static void
serve_queue(struct scheduler *scheduler, int64_t now_ms)
{
	struct job_entry *entries[SCAN_LIMIT];
	struct pass pass = {
	    .scheduler = scheduler,
	    .now_ms = now_ms,
	    .soonest_ready_ms = soonest_ready_ms(&scheduler->reservations),
	};
	size_t count;

	prepare_planner(&pass);
	track_urgent_peak(scheduler, now_ms);
	/* Under overload each job's turn would come when it is late: those that
	 * can still be in time go first. */
	count = collect(scheduler, false, LANE_LIMIT, now_ms, entries, 0);
	count = collect(scheduler, true, LATE_LIMIT, now_ms, entries, count);
	for (size_t i = 0; i < count && pass.tries < TRY_LIMIT; i++)
		serve(&pass, entries[i]);
}

void
policy_guaranteed_decide(struct scheduler *scheduler, int64_t now_ms)
{
	bool ramping;

	if (scheduler->claims_changed) {
		scheduler->claims_short = guarantee_place(
		    &scheduler->guarantees, &scheduler->cluster);
		scheduler->claims_changed = false;
	}
	ramping = placement_set_rooms(&scheduler->placement,
	    &scheduler->cluster, scheduler->config.zone_return_ramp_ms, now_ms);
	scheduler->placement.reservations = &scheduler->reservations;
	zone_leave_at_deadline(scheduler, now_ms);
	serve_queue(scheduler, now_ms);
	zone_leave_early(scheduler, now_ms);
	if (scheduler->queue.count > 0)
		scheduler_wake_at(scheduler,
		    now_ms + (ramping ? RAMP_INTERVAL_MS : PASS_INTERVAL_MS));
}
