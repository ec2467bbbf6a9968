/* A decision: places waiting tasks in order and collects the orders to send. */
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_headroom.h"
#include "fleet/fleet_quota.h"
#include "fleet/fleet_rank.h"
#include "process/alloc.h"

/* An orphan that has not ended this long after its stop was ordered is stopped
 * again. */
#define ORPHAN_STOP_RETRY_MS 500
/* Longest time between two decisions. */
#define MAX_SLEEP_MS 1000
/* The lead renews its lease between two decisions, so that each one has to end
 * well within it: visits of searches to workers and their tasks, and orders. */
#define ROUND_VISITS	500000
#define DECISION_ORDERS 512

/* Waiting tasks of one step that are placed together: all members of a gang, or
 * any number of single tasks. */
struct placement_unit {
	struct fleet_occurrence *occurrence;
	uint32_t step;
	size_t first; /* index in waiting */
	size_t count;
	int64_t joins_ms; /* see fleet_rank.h */
};

/* State of one placement of all waiting tasks. */
struct placement_round {
	struct fleet *fleet;
	int64_t now_ms;
	struct placement_unit *units; /* owned */
	size_t units_count;
	size_t units_capacity;
	struct fleet_task **waiting; /* owned */
	size_t waiting_count;
	size_t waiting_capacity;
	struct fleet_worker **targets; /* owned */
	size_t targets_capacity;
	uint64_t visits_before; /* fleet->visits when it began */
};

static void
free_round(struct placement_round *round)
{
	mem_free(round->units);
	mem_free(round->waiting);
	mem_free(round->targets);
}

void
fleet_wake_at(struct fleet *fleet, int64_t at_ms)
{
	if (at_ms < fleet->next_wakeup_ms)
		fleet->next_wakeup_ms = at_ms;
}

void
fleet_schedule_placement(struct fleet *fleet, int64_t at_ms)
{
	if (at_ms < fleet->next_placement_ms)
		fleet->next_placement_ms = at_ms;
}

int64_t
fleet_next_wakeup_ms(const struct fleet *fleet)
{
	return fleet->next_placement_ms < fleet->next_wakeup_ms
	    ? fleet->next_placement_ms
	    : fleet->next_wakeup_ms;
}

static void
add_waiting(struct placement_round *round, struct fleet_task *task)
{
	round->waiting = mem_grow(round->waiting, &round->waiting_capacity,
	    round->waiting_count + 1, sizeof(struct fleet_task *));
	round->waiting[round->waiting_count++] = task;
}

/* Adds a unit of the waiting tasks from the first one on, if there are any. */
static void
add_unit(struct placement_round *round, struct fleet_occurrence *occurrence,
    uint32_t step, size_t first)
{
	if (round->waiting_count == first)
		return;
	round->units = mem_grow(round->units, &round->units_capacity,
	    round->units_count + 1, sizeof(*round->units));
	round->units[round->units_count++] = (struct placement_unit){
	    .occurrence = occurrence,
	    .step = step,
	    .first = first,
	    .count = round->waiting_count - first,
	    .joins_ms = fleet_rank_joins_ms(occurrence, step, round->now_ms),
	};
}

/* Returns whether a task is not to be tried again yet, and then schedules a
 * placement for the end of that time. */
static bool
waits_for_retry(struct placement_round *round, const struct fleet_task *task)
{
	int64_t retry_ms = fleet_retry_ms(round->fleet, task);

	if (retry_ms <= round->now_ms)
		return false;
	fleet_schedule_placement(round->fleet, retry_ms);
	return true;
}

static void
add_gang(struct placement_round *round, struct fleet_occurrence *occurrence,
    uint32_t step)
{
	struct fleet_task *tasks = fleet_step_tasks(occurrence, step);
	uint32_t count = occurrence->job->spec->steps[step]->tasks;
	size_t first = round->waiting_count;

	for (uint32_t i = 0; i < count; i++) {
		if (tasks[i].state != TASK_WAITING ||
		    waits_for_retry(round, &tasks[i])) {
			round->waiting_count = first;
			return;
		}
		add_waiting(round, &tasks[i]);
	}
	add_unit(round, occurrence, step, first);
}

/* Adds a unit of the step's waiting tasks, and one for each suspect. */
static void
add_single_tasks(struct placement_round *round,
    struct fleet_occurrence *occurrence, uint32_t step)
{
	struct fleet_task *tasks = fleet_step_tasks(occurrence, step);
	uint32_t count = occurrence->job->spec->steps[step]->tasks;
	size_t first = round->waiting_count;

	for (uint32_t i = 0; i < count; i++) {
		if (tasks[i].state == TASK_WAITING &&
		    !fleet_is_suspect(&tasks[i]) &&
		    !waits_for_retry(round, &tasks[i]) &&
		    !fleet_waits_for_other_occurrence(round->fleet, &tasks[i]))
			add_waiting(round, &tasks[i]);
	}
	add_unit(round, occurrence, step, first);
	if (!occurrence->job->was_charged)
		return;
	for (uint32_t i = 0; i < count; i++) {
		first = round->waiting_count;
		if (tasks[i].state == TASK_WAITING &&
		    fleet_is_suspect(&tasks[i]) &&
		    !waits_for_retry(round, &tasks[i]))
			add_waiting(round, &tasks[i]);
		add_unit(round, occurrence, step, first);
	}
}

static void
collect_job(struct placement_round *round, struct fleet_job *job)
{
	for (size_t i = 0; i < job->occurrences_count; i++) {
		struct fleet_occurrence *occurrence = job->occurrences[i];

		if (occurrence->waiting == 0)
			continue;
		for (uint32_t step = 0; step < job->spec->n_steps; step++) {
			if (!fleet_step_ready(occurrence, step))
				continue;
			if (job->spec->steps[step]->gang)
				add_gang(round, occurrence, step);
			else
				add_single_tasks(round, occurrence, step);
		}
	}
}

/* Orders jobs by priority, then by the time at which they join the queue;
 * returns less than 0 when the first is served first. */
static int
compare_ranks(const struct fleet_job *a, int64_t a_joins_ms,
    const struct fleet_job *b, int64_t b_joins_ms)
{
	if (a->spec->priority != b->spec->priority)
		return a->spec->priority < b->spec->priority ? -1 : 1;
	if (a_joins_ms != b_joins_ms)
		return a_joins_ms < b_joins_ms ? -1 : 1;
	return strcmp(a->id, b->id);
}

static int
compare_units(const void *left, const void *right)
{
	const struct placement_unit *a = left;
	const struct placement_unit *b = right;

	return compare_ranks(
	    a->occurrence->job, a->joins_ms, b->occurrence->job, b->joins_ms);
}

bool
fleet_occurrence_precedes(const struct fleet_occurrence *a,
    const struct fleet_occurrence *b, int64_t now_ms)
{
	return compare_ranks(a->job, fleet_rank_joins_ms(a, 0, now_ms), b->job,
		   fleet_rank_joins_ms(b, 0, now_ms)) < 0;
}

static void
add_placed_event(struct fleet *fleet, const struct fleet_task *first,
    size_t count, const char *outcome, int64_t now_ms)
{
	fleet_add_task_event(fleet, first, FLEET_EVENT_PLACED, outcome,
	    first->occurrence->ready_ms, now_ms);
	if (fleet->events_count > 0)
		fleet->events[fleet->events_count - 1].tasks = (uint32_t)count;
}

/* Returns how many tasks of the unit may be placed within their workspace's
 * cap; for a gang 0 or all. An urgent unit may have the workspace's other work
 * stopped for it. */
static size_t
count_within_quota(
    struct placement_round *round, const struct placement_unit *unit)
{
	const struct fleet_job *job = unit->occurrence->job;
	const Ibis__JobStep *step = job->spec->steps[unit->step];
	uint32_t count = (uint32_t)unit->count;
	uint32_t fits = 0;

	if (fleet_quota_may_pass(job))
		fits = fleet_quota_fit(job, step, count);
	if (fits < count && job->spec->priority == 0)
		fits = fleet_quota_fit_by_preemption(
		    round->fleet, job, step, count);
	if (fits == count || (fits > 0 && !step->gang))
		return fits;
	fleet_quota_note_wait(
	    round->fleet, unit->occurrence, step, count, round->now_ms);
	return 0;
}

static void
place_unit(struct placement_round *round, const struct placement_unit *unit)
{
	struct fleet_task *const *tasks = &round->waiting[unit->first];
	const struct fleet_job *job = unit->occurrence->job;
	const char *outcome = "free room";
	size_t count;
	size_t found;

	if (fleet_waits_for_other_occurrence(round->fleet, tasks[0]))
		return;
	count = count_within_quota(round, unit);
	if (count == 0)
		return;
	round->targets = mem_grow(round->targets, &round->targets_capacity,
	    count, sizeof(struct fleet_worker *));
	found = fleet_find_targets(
	    round->fleet, tasks, count, round->targets, round->now_ms);
	if (found == 0 && job->spec->priority == 0) {
		outcome = "reclaimed room";
		found = fleet_reclaim_targets(
		    round->fleet, tasks, count, round->targets, round->now_ms);
	}
	if (found > 0)
		fleet_quota_make_room(round->fleet, job,
		    job->spec->steps[unit->step], (uint32_t)found,
		    round->now_ms);
	for (size_t i = 0; i < found; i++) {
		fleet_place_task(
		    round->fleet, tasks[i], round->targets[i], round->now_ms);
		fleet_note_undecided(round->fleet, tasks[i]);
	}
	if (found > 0)
		add_placed_event(
		    round->fleet, tasks[0], found, outcome, round->now_ms);
}

/* Places units from an index on, until the searches have made this many visits
 * in the round. Returns the index of the first unit that was left. */
static size_t
place_units(
    struct placement_round *round, size_t from, uint64_t visits_of_round)
{
	uint64_t visits_before = round->visits_before;

	for (; from < round->units_count; from++) {
		if (round->fleet->visits - visits_before >= visits_of_round)
			break;
		place_unit(round, &round->units[from]);
	}
	return from;
}

/* Places the units by their rank. A round that takes too long is cut: half of
 * it is for the units that come first, the other half goes on where the last
 * round was cut, and the next round follows at once. */
static void
place_ranked(struct placement_round *round)
{
	struct fleet *fleet = round->fleet;
	size_t next = place_units(round, 0, ROUND_VISITS / 2);

	if (next < round->units_count && next < fleet->next_unit)
		next = fleet->next_unit;
	next = place_units(round, next, ROUND_VISITS);
	fleet->next_unit = 0;
	if (next >= round->units_count)
		return;
	fleet->next_unit = next;
	fleet_schedule_placement(fleet, round->now_ms);
}

static void
place_all(struct fleet *fleet, int64_t now_ms)
{
	CLEANUP(free_round)
	struct placement_round round = {
	    .fleet = fleet,
	    .now_ms = now_ms,
	    .visits_before = fleet->visits,
	};
	struct fleet_job *job;

	fleet_rank_begin_round(fleet);
	fleet_find_undecided(fleet);
	cds_list_for_each_entry (job, &fleet->active, active) {
		if (!job->cancelled && !fleet_job_final(job))
			collect_job(&round, job);
	}
	fleet_quota_begin_round(fleet);
	fleet_headroom_update(fleet, now_ms);
	if (round.units_count == 0)
		return;
	qsort(round.units, round.units_count, sizeof(*round.units),
	    compare_units);
	place_ranked(&round);
}

static void
add_order(struct fleet *fleet, const struct fleet_order *order)
{
	fleet->orders = mem_grow(fleet->orders, &fleet->orders_capacity,
	    fleet->orders_count + 1, sizeof(*fleet->orders));
	fleet->orders[fleet->orders_count++] = *order;
}

/* Returns whether no more orders may be added to this decision, apart from
 * those of a gang. The others follow with the next one. */
static bool
has_most_orders(const struct fleet *fleet)
{
	return fleet->orders_count >= DECISION_ORDERS;
}

static void
order_stop(struct fleet *fleet, struct fleet_task *task, int64_t now_ms)
{
	struct fleet_order order = {
	    .kind = FLEET_STOP,
	    .worker = task->worker,
	    .run = task->run,
	    .reason = task->stop_reason,
	};

	fleet_task_id(task, &order.task);
	task->stop_sent_ms = now_ms;
	add_order(fleet, &order);
}

static void
order_start(struct fleet *fleet, struct fleet_task *task)
{
	struct fleet_order order = {
	    .kind = FLEET_START,
	    .worker = task->worker,
	    .run = task->run,
	    .payload = &task->occurrence->job->spec->payload,
	    .checkpoint = fleet_checkpoint(task),
	};

	fleet_task_id(task, &order.task);
	fleet_note_start(fleet, task);
	fleet_set_state(task, TASK_SENT);
	add_order(fleet, &order);
}

/* Returns whether a task's placement is recorded, its resources are free on the
 * worker and within its workspace's cap, none of its earlier runs may still be
 * at work, and a suspect's worker has nothing else that has just begun. */
static bool
may_start(const struct fleet *fleet, const struct fleet_task *task)
{
	struct fleet_resources need = fleet_task_need(task);
	struct fleet_resources left;

	if (task->state != TASK_PLACED ||
	    task->placed_generation >
		task->occurrence->job->recorded_generation)
		return false;
	left = fleet_worker_unoccupied(task->worker);
	return fleet_resources_fit(&left, &need, 1) > 0 &&
	    fleet_quota_allows_start(fleet, task) &&
	    !fleet_task_has_orphan(fleet, task) &&
	    fleet_isolation_allows_start(task);
}

/* Returns whether all members of a gang may start now. Members on the same
 * worker must fit together, so each one that may start is counted as started
 * while the next is checked. */
static bool
gang_may_start(
    const struct fleet *fleet, struct fleet_task *tasks, uint32_t count)
{
	uint32_t started = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (!may_start(fleet, &tasks[i]))
			break;
		fleet_set_state(&tasks[i], TASK_SENT);
		started++;
	}
	for (uint32_t i = 0; i < started; i++)
		fleet_set_state(&tasks[i], TASK_PLACED);
	return started == count;
}

static void
start_step(struct fleet *fleet, struct fleet_occurrence *occurrence,
    uint32_t step_number)
{
	const Ibis__JobStep *step = occurrence->job->spec->steps[step_number];
	struct fleet_task *tasks = fleet_step_tasks(occurrence, step_number);

	if (step->gang && !gang_may_start(fleet, tasks, step->tasks))
		return;
	for (uint32_t i = 0; i < step->tasks; i++) {
		if (step->gang)
			order_start(fleet, &tasks[i]);
		else if (has_most_orders(fleet))
			return;
		else if (may_start(fleet, &tasks[i]))
			order_start(fleet, &tasks[i]);
	}
}

static void
start_occurrence(struct fleet *fleet, struct fleet_occurrence *occurrence)
{
	if (occurrence->placed == 0)
		return;
	for (uint32_t i = 0; i < occurrence->job->spec->n_steps; i++) {
		if (has_most_orders(fleet))
			return;
		start_step(fleet, occurrence, i);
	}
}

static void
order_starts(struct fleet *fleet, int64_t now_ms)
{
	struct fleet_job *job;

	fleet_quota_begin_starts(fleet, now_ms);
	cds_list_for_each_entry (job, &fleet->active, active) {
		if (job->placed == 0 || job->cancelled || fleet_job_final(job))
			continue;
		for (size_t i = 0; i < job->occurrences_count; i++)
			start_occurrence(fleet, job->occurrences[i]);
	}
}

/* A worker known only from job records has no address. */
static bool
accepts_stops(const struct fleet_worker *worker)
{
	return !worker->silent && *worker->entry.address != '\0';
}

static void
order_stops(struct fleet *fleet, int64_t now_ms)
{
	for (size_t i = 0; i < fleet->workers.count; i++) {
		struct fleet_worker *worker = fleet->workers.items[i].item;
		struct fleet_task *task;

		if (worker->stopping == 0 || !accepts_stops(worker))
			continue;
		cds_list_for_each_entry (task, &worker->tasks, on_worker) {
			if (task->state == TASK_STOPPING &&
			    task->stop_sent_ms == 0 && !has_most_orders(fleet))
				order_stop(fleet, task, now_ms);
		}
	}
}

static void
order_orphan_stops(struct fleet *fleet, int64_t now_ms)
{
	for (size_t i = 0; i < fleet->orphans_count; i++) {
		struct fleet_orphan *orphan = &fleet->orphans[i];
		struct fleet_order order = {
		    .kind = FLEET_STOP,
		    .worker = orphan->worker,
		    .task = orphan->task,
		    .run = orphan->run,
		    .reason = orphan->stop_reason,
		};

		if (!accepts_stops(orphan->worker))
			continue;
		if (orphan->stop_due_ms <= now_ms && !has_most_orders(fleet)) {
			add_order(fleet, &order);
			orphan->stop_due_ms = now_ms + ORPHAN_STOP_RETRY_MS;
		}
		fleet_wake_at(fleet, orphan->stop_due_ms);
	}
}

/* Stops what still runs of failed and cancelled jobs. */
static void
stop_ended_jobs(struct fleet *fleet, int64_t now_ms)
{
	struct fleet_job *job;

	cds_list_for_each_entry (job, &fleet->active, active) {
		if (job->phase != IBIS__STEP_JOB_PHASE__PHASE_FAILED &&
		    job->phase != IBIS__STEP_JOB_PHASE__PHASE_CANCELLED)
			continue;
		for (size_t j = 0; j < job->occurrences_count; j++) {
			for (uint32_t k = 0; k < job->tasks_count; k++)
				fleet_stop_task(fleet,
				    &job->occurrences[j]->tasks[k], "job ended",
				    now_ms);
		}
	}
}

void
fleet_hold_placements(struct fleet *fleet, bool hold)
{
	if (fleet->placements_held && !hold) {
		fleet->changed = true;
		fleet_wake_at(fleet, 0);
	}
	fleet->placements_held = hold;
}

size_t
fleet_decide(struct fleet *fleet, int64_t now_ms, int64_t wall_ms,
    const struct fleet_order **orders)
{
	fleet->orders_count = 0;
	fleet->now_ms = now_ms;
	fleet->next_wakeup_ms = now_ms + MAX_SLEEP_MS;
	fleet_expire_leases(fleet, now_ms);
	fleet_drop_inactive_jobs(fleet);
	order_orphan_stops(fleet, now_ms);
	fleet_open_due_occurrences(fleet, now_ms, wall_ms);
	stop_ended_jobs(fleet, now_ms);
	fleet_move_from_leaving(fleet, now_ms);
	if (!fleet->placements_held &&
	    (fleet->changed || now_ms >= fleet->next_placement_ms)) {
		fleet->changed = false;
		fleet->next_placement_ms = INT64_MAX;
		fleet->unmet_count = 0;
		fleet->urgent_needs_current = false;
		place_all(fleet, now_ms);
	}
	order_stops(fleet, now_ms);
	order_starts(fleet, now_ms);
	if (has_most_orders(fleet))
		fleet_wake_at(fleet, now_ms);
	fleet_wake_for_due_occurrences(fleet, now_ms, wall_ms);
	*orders = fleet->orders;
	return fleet->orders_count;
}

void
fleet_usage(const struct fleet *fleet, struct fleet_usage *usage)
{
	const struct fleet_job *job;

	*usage = (struct fleet_usage){
	    .jobs = fleet->jobs.count,
	    .searches = fleet->searches,
	};
	cds_list_for_each_entry (job, &fleet->active, active) {
		if (job->cancelled || fleet_job_final(job))
			continue;
		if (job->phase == IBIS__STEP_JOB_PHASE__PHASE_RUNNING)
			usage->jobs_running++;
		else
			usage->jobs_pending++;
		for (size_t j = 0; j < job->occurrences_count; j++)
			usage->waiting_tasks += job->occurrences[j]->waiting;
	}
	for (size_t i = 0; i < fleet->workspaces_count; i++)
		usage->quota_waiting_tasks +=
		    fleet->workspaces[i]->waiting_tasks;
	for (size_t i = 0; i < fleet->workers.count; i++) {
		const struct fleet_worker *worker =
		    fleet->workers.items[i].item;
		struct fleet_task *task;

		usage->workers += worker->listed;
		usage->silent_workers += worker->silent;
		usage->accelerators += worker->resources.accelerators;
		usage->free_accelerators += worker->resources.accelerators -
		    worker->occupied.accelerators;
		cds_list_for_each_entry (task, &worker->tasks, on_worker) {
			usage->placed_tasks += task->state == TASK_PLACED;
			usage->running_tasks +=
			    fleet_task_holds_resources(task->state);
		}
	}
}
