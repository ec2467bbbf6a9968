/* Applies the reports of workers and their answers to orders. */
#include <string.h>

#include "fleet/fleet_model.h"
#include "process/alloc.h"

/* Pause after a refused start. */
#define REFUSED_PAUSE_MS 500
/* Pause after a start that had no answer and that the next report does not
 * show. */
#define UNANSWERED_PAUSE_MS 1500

static void
apply_end(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_reported_end *end, int64_t now_ms)
{
	struct fleet_task *task = fleet_find_task(fleet, &end->task);

	if (task == NULL || task->run != end->run || task->state == TASK_DONE ||
	    task->state == TASK_PLACED)
		return;
	if (task->worker != NULL && task->worker != worker)
		return;
	/* The end of a run that holds no resources has been applied already, by
	 * an earlier lead or as a lost run. Only a completed run still counts,
	 * as its work need not be repeated. */
	if (!fleet_task_holds_resources(task->state) &&
	    end->outcome != FLEET_END_DONE)
		return;
	switch (end->outcome) {
	case FLEET_END_DONE:
		fleet_note_done_run(worker, task->occurrence->job);
		fleet_complete_task(fleet, task, now_ms);
		break;
	case FLEET_END_FAILED:
		fleet_note_failed_run(
		    fleet, worker, task->occurrence->job, now_ms);
		fleet_fail_task(fleet, task, now_ms);
		break;
	case FLEET_END_STOPPED:
		fleet_requeue_task(
		    fleet, task, "stopped", end->checkpoint, now_ms);
		break;
	case FLEET_END_LEASE_EXPIRED:
		fleet_requeue_task(
		    fleet, task, "lapsed", end->checkpoint, now_ms);
		break;
	case FLEET_END_GANG_ENDED:
		fleet_requeue_task(
		    fleet, task, "broken", end->checkpoint, now_ms);
		break;
	case FLEET_END_GANG_TIMEOUT:
		fleet_requeue_task(
		    fleet, task, "alone", end->checkpoint, now_ms);
		break;
	}
}

/* Returns when a reported run to which no task is assigned has to be stopped.
 * The end of one member of a gang completes all; the others end without a stop
 * a moment later. */
static int64_t
orphan_stop_due_ms(const struct fleet_task *task, uint64_t run, int64_t now_ms)
{
	if (task != NULL && task->state == TASK_DONE && task->run == run &&
	    fleet_step_of(task)->gang)
		return task->ended_ms + FLEET_GANG_END_WINDOW_MS;
	return now_ms;
}

static void
apply_run(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_reported_run *run, int64_t sent_ms, int64_t now_ms)
{
	struct fleet_task *task = fleet_find_task(fleet, &run->task);

	if (task == NULL || task->run != run->run || task->worker != worker ||
	    !fleet_task_holds_resources(task->state)) {
		int64_t stop_due_ms =
		    orphan_stop_due_ms(task, run->run, now_ms);
		bool added = fleet_add_reported_orphan(
		    fleet, worker, run, sent_ms, stop_due_ms);

		if (added && stop_due_ms <= now_ms)
			fleet_add_unknown_run_event(fleet, worker, run, now_ms);
		return;
	}
	fleet_resolve_start(fleet, task, "listed", now_ms);
	task->begun = true;
	task->last_poll = fleet->polls;
	fleet_set_checkpoint(task, run->checkpoint);
	if (task->state == TASK_SENT) {
		fleet_set_state(task, TASK_RUNNING);
		task->started_ms = now_ms;
		task->visible_from_ms = now_ms;
	}
	fleet_settle_task(fleet, task, sent_ms);
	fleet_update_progress(fleet, task, run->percent, now_ms);
}

/* A start without an answer may still be carried out later. A stop of the same
 * run prevents that, as a worker starts no run that was stopped. */
static void
handle_unreported_task(
    struct fleet *fleet, struct fleet_task *task, int64_t now_ms)
{
	if (task->state == TASK_SENT) {
		fleet_pause_worker(task->worker, now_ms + UNANSWERED_PAUSE_MS);
		fleet_stop_gang_or_task(
		    fleet, task, "no answer to the start", now_ms);
	} else {
		fleet_add_presumed_end_event(
		    fleet, task, FLEET_NOT_REPORTED, now_ms);
		fleet_requeue_task(fleet, task, "not there", NULL, now_ms);
	}
}

/* Handles the runs that the report should have shown but did not: they are not
 * on the worker. */
static void
handle_unreported_tasks(struct fleet *fleet, struct fleet_worker *worker,
    int64_t sent_ms, int64_t now_ms)
{
	struct fleet_task *task;
	bool more = true;

	while (more) {
		more = false;
		cds_list_for_each_entry (task, &worker->tasks, on_worker) {
			if (!fleet_task_holds_resources(task->state) ||
			    task->last_poll == fleet->polls ||
			    task->visible_from_ms >= sent_ms)
				continue;
			handle_unreported_task(fleet, task, now_ms);
			more = true;
			break;
		}
	}
}

/* Returns whether a run is later than the last one of its task that this lead
 * knows. */
static bool
is_unrecorded_run(
    const struct fleet *fleet, const struct fleet_task_id *id, uint64_t run)
{
	const struct fleet_task *task = fleet_find_task(fleet, id);

	return task != NULL && run > task->run;
}

bool
fleet_report_has_unrecorded_run(
    const struct fleet *fleet, const struct fleet_report *report)
{
	for (size_t i = 0; i < report->runs_count; i++) {
		if (is_unrecorded_run(
			fleet, &report->runs[i].task, report->runs[i].run))
			return true;
	}
	for (size_t i = 0; i < report->ends_count; i++) {
		if (is_unrecorded_run(
			fleet, &report->ends[i].task, report->ends[i].run))
			return true;
	}
	return false;
}

/* Orders the stops again that an earlier incarnation may have answered. */
static void
repeat_stops(struct fleet_worker *worker)
{
	struct fleet_task *task;

	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		if (task->state != TASK_STOPPING)
			continue;
		task->stop_sent_ms = 0;
		task->visible_from_ms = INT64_MAX;
	}
}

static void
requeue_absent_task(
    struct fleet *fleet, struct fleet_task *task, int64_t now_ms)
{
	bool restarted = fleet_began_on_earlier_incarnation(fleet, task);
	const char *outcome = restarted ? "lost with worker" : "not there";

	fleet_add_presumed_end_event(fleet, task,
	    restarted ? FLEET_NEW_INCARNATION : FLEET_NOT_REPORTED, now_ms);
	fleet_requeue_task(fleet, task, outcome, NULL, now_ms);
}

/* Requeues the tasks whose runs the first report with the worker's current
 * fence does not show: this incarnation refuses all earlier starts. */
static void
requeue_absent_tasks(
    struct fleet *fleet, struct fleet_worker *worker, int64_t now_ms)
{
	struct fleet_task *task;
	bool more = true;

	fleet_charge_loss(fleet, worker, FLEET_LOSS_RESTARTED, now_ms);
	/* Requeueing a member of a gang may remove others from the list. */
	while (more) {
		more = false;
		cds_list_for_each_entry (task, &worker->tasks, on_worker) {
			if (!fleet_task_holds_resources(task->state) ||
			    task->last_poll == fleet->polls)
				continue;
			requeue_absent_task(fleet, task, now_ms);
			more = true;
			break;
		}
	}
}

static void
apply_lists(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_report *report, int64_t now_ms)
{
	uint64_t last_before = worker->last_reported_end;

	/* The rows may have any order. */
	for (size_t i = 0; i < report->ends_count; i++) {
		if (report->ends[i].number <= last_before)
			continue;
		if (report->ends[i].number > worker->last_reported_end)
			worker->last_reported_end = report->ends[i].number;
		fleet_release_orphan(
		    fleet, worker, &report->ends[i].task, report->ends[i].run);
		apply_end(fleet, worker, &report->ends[i], now_ms);
		worker->reported_generation = fleet->generation;
	}
	for (size_t i = 0; i < report->runs_count; i++)
		apply_run(
		    fleet, worker, &report->runs[i], report->sent_ms, now_ms);
}

void
fleet_apply_report(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_poll *poll, const struct fleet_report *report,
    int64_t now_ms)
{
	bool first = !worker->reported;
	bool restarted = worker->incarnation_wall_ms != 0 &&
	    worker->incarnation_wall_ms != report->incarnation_wall_ms;
	/* Answers of one incarnation may overtake each other. */
	bool overtaken = !first && report->clock_ms < worker->clock_ms;

	if (poll->fence != worker->fence)
		return;
	worker->reported_incarnation_wall_ms = report->incarnation_wall_ms;
	/* The report may be of an incarnation that has ended and arrive late:
	 * only the answer to a poll with a higher token shows which one is up.
	 */
	if (restarted && !first) {
		fleet_raise_fence(fleet, worker, now_ms);
		return;
	}
	fleet->polls++;
	if (worker->silent) {
		fleet->changed = true;
		fleet_wake_at(fleet, now_ms);
	}
	if (first)
		fleet_confirm_worker(
		    fleet, worker, report->incarnation_wall_ms, now_ms);
	if (poll->acked_end > worker->last_acked_end)
		worker->last_acked_end = poll->acked_end;
	worker->silent = false;
	worker->unanswered_polls = 0;
	worker->clock_ms = report->clock_ms;
	worker->clock_at_ms = report->received_ms;
	if (report->has_resources && !overtaken)
		fleet_note_reported_resources(
		    fleet, worker, &report->resources, now_ms);
	apply_lists(fleet, worker, report, now_ms);
	if (first)
		repeat_stops(worker);
	/* A run that is not shown may be among the ends that are not listed. */
	if (!report->more_ends) {
		if (first)
			requeue_absent_tasks(fleet, worker, now_ms);
		handle_unreported_tasks(fleet, worker, report->sent_ms, now_ms);
		fleet_release_unreported_orphans(
		    fleet, worker, report->sent_ms);
	}
	worker->missed_ms = 0;
	worker->refused_ms = 0;
	fleet_audit_report(fleet, worker, report, now_ms);
}

static void
requeue_refused_task(
    struct fleet *fleet, struct fleet_task *task, int64_t now_ms)
{
	if (task->state == TASK_SENT || task->state == TASK_STOPPING)
		fleet_requeue_task(fleet, task, "refused", NULL, now_ms);
}

void
fleet_handle_start_answer(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_task_id *id, uint64_t run,
    enum fleet_start_answer answer, int64_t now_ms)
{
	struct fleet_task *task = fleet_find_task(fleet, id);

	if (task == NULL || task->run != run || task->worker != worker ||
	    !fleet_task_holds_resources(task->state))
		return;
	switch (answer) {
	case FLEET_STARTED:
	case FLEET_START_ALREADY_ENDED:
		task->begun = true;
		if (task->state == TASK_SENT) {
			fleet_set_state(task, TASK_RUNNING);
			task->started_ms = now_ms;
			task->visible_from_ms = now_ms;
		}
		break;
	case FLEET_START_REFUSED:
		fleet_pause_worker(worker, now_ms + REFUSED_PAUSE_MS);
		requeue_refused_task(fleet, task, now_ms);
		break;
	case FLEET_START_INVALID:
		fleet_pause_worker_for_job(
		    worker, task->occurrence->job, now_ms + REFUSED_PAUSE_MS);
		requeue_refused_task(fleet, task, now_ms);
		break;
	case FLEET_START_UNKNOWN:
		task->start_unanswered = task->last_poll == 0;
		if (task->state == TASK_SENT)
			task->visible_from_ms = now_ms;
		break;
	}
	fleet_wake_at(fleet, now_ms);
}

void
fleet_handle_stop_answer(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_task_id *id, uint64_t run, bool done, int64_t now_ms)
{
	struct fleet_task *task = fleet_find_task(fleet, id);

	if (done)
		fleet_handle_orphan_stopped(fleet, worker, id, run, now_ms);
	if (task == NULL || task->run != run || task->worker != worker ||
	    task->state != TASK_STOPPING)
		return;
	if (done)
		task->visible_from_ms = now_ms;
	else
		task->stop_sent_ms = 0;
	fleet_wake_at(fleet, now_ms);
}
