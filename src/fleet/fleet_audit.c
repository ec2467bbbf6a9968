/* Compares what workers report with what the lead believes, for the log. No
 * decision depends on it. */
#include "fleet/fleet_model.h"

/* Another worker's last report counts as current for this long. A worker with a
 * task on it is polled more often. */
#define CURRENT_REPORT_MS 2000

/* Returns whether the lead expects a run on a worker. The members of a gang end
 * together, so a report may list some of them after the lead has heard of the
 * end. */
static bool
is_expected(const struct fleet_task *task, const struct fleet_worker *worker,
    uint64_t run)
{
	if (task == NULL || task->run != run)
		return false;
	if (task->state == TASK_DONE)
		return fleet_step_of(task)->gang;
	return task->worker == worker &&
	    fleet_task_holds_resources(task->state);
}

static bool
exceeds(const struct fleet_resources *used, const struct fleet_resources *all)
{
	return used->cpu_milli > all->cpu_milli ||
	    used->memory_mb > all->memory_mb ||
	    used->accelerators > all->accelerators;
}

/* Adds a listed run to the worker's load and, if it is not expected, to its
 * unknown runs. */
static void
add_listed_run(const struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_reported_run *run, struct fleet_over_capacity *load)
{
	const struct fleet_task *task = fleet_find_task(fleet, &run->task);
	bool expected = is_expected(task, worker, run->run);
	struct fleet_resources need;

	load->runs++;
	load->unknown_runs += !expected;
	if (task == NULL) {
		load->uncounted_runs++;
		return;
	}
	need = fleet_task_need(task);
	fleet_resources_add(&load->listed, &need);
}

/* Adds an event when the worker's load begins to exceed its capacity. The entry
 * in the store may be an earlier incarnation's, which had another capacity. */
static void
check_capacity(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_report *report, const struct fleet_over_capacity *load)
{
	int64_t listed_wall_ms = worker->entry.incarnation_wall_ms;
	bool is_capacity_known = worker->listed &&
	    (listed_wall_ms == 0 ||
		listed_wall_ms == report->incarnation_wall_ms);
	bool was_over = worker->over_capacity;

	worker->over_capacity =
	    is_capacity_known && exceeds(&load->listed, &load->capacity);
	if (worker->over_capacity && !was_over)
		fleet_add_over_capacity_event(fleet, worker,
		    &report->runs[report->runs_count - 1].task, load);
}

/* Returns whether a listing is another one than the report's being checked, and
 * its worker's last report was recent and still contained it. */
static bool
is_other_and_current(const struct fleet_listing *listing,
    const struct fleet_worker *worker, uint64_t run, int64_t now_ms)
{
	const struct fleet_worker *other = listing->worker;

	if (other == NULL || listing->report != other->last_report ||
	    (other == worker && listing->run == run))
		return false;
	return now_ms - other->clock_at_ms <= CURRENT_REPORT_MS;
}

/* Adds an event when a task begins to be listed twice. */
static void
check_double_run(struct fleet *fleet, const struct fleet_worker *worker,
    const struct fleet_reported_run *run, int64_t now_ms)
{
	struct fleet_task *task = fleet_find_task(fleet, &run->task);
	bool listed_twice;

	if (task == NULL)
		return;
	listed_twice =
	    is_other_and_current(&task->listing, worker, run->run, now_ms);
	if (listed_twice && !task->listed_twice)
		fleet_add_double_run_event(
		    fleet, worker, run, &task->listing, now_ms);
	task->listed_twice = listed_twice;
	task->listing = (struct fleet_listing){
	    .worker = worker, .run = run->run, .report = fleet->polls};
}

/* Returns whether the worker made a report before the last one checked; its
 * answers may overtake each other. */
static bool
is_overtaken(
    const struct fleet_worker *worker, const struct fleet_report *report)
{
	return worker->audited_incarnation_wall_ms ==
	    report->incarnation_wall_ms &&
	    report->clock_ms < worker->audited_clock_ms;
}

void
fleet_audit_report(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_report *report, int64_t now_ms)
{
	struct fleet_over_capacity load = {
	    .capacity = worker->resources,
	    .incarnation_wall_ms = report->incarnation_wall_ms,
	};

	if (is_overtaken(worker, report))
		return;
	worker->last_report = fleet->polls;
	worker->audited_clock_ms = report->clock_ms;
	worker->audited_incarnation_wall_ms = report->incarnation_wall_ms;
	for (size_t i = 0; i < report->runs_count; i++) {
		add_listed_run(fleet, worker, &report->runs[i], &load);
		check_double_run(fleet, worker, &report->runs[i], now_ms);
	}
	check_capacity(fleet, worker, report, &load);
}

void
fleet_note_start(struct fleet *fleet, struct fleet_task *task)
{
	task->start_sent_ms = fleet->now_ms;
	task->start_incarnation_wall_ms = task->worker->incarnation_wall_ms;
	task->start_unanswered = false;
}

void
fleet_resolve_start(struct fleet *fleet, struct fleet_task *task,
    const char *outcome, int64_t now_ms)
{
	if (!task->start_unanswered)
		return;
	task->start_unanswered = false;
	fleet_add_start_event(fleet, task, outcome, now_ms);
}
