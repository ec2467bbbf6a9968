/*
 * Workers that leave: moves the tasks that would not end in time. A run that
 * goes down with its worker loses its work, breaks its gang, and holds its task
 * back until the worker's lease has expired.
 */
#include "fleet/fleet_model.h"

/* A worker is reckoned to leave this much earlier than it has said, to allow
 * for the delay of its entry and for the time that a stop takes. */
#define LEAVE_MARGIN_MS 300
#define FULL_PERCENT	100

/* Returns how long a task is expected to run on its worker; INT64_MAX: without
 * an end. */
static int64_t
expected_run_ms(const struct fleet_task *task, int64_t now_ms)
{
	const Ibis__JobStep *step = fleet_step_of(task);
	int64_t seen_ms = task->percent_ms;
	int32_t percent_left = FULL_PERCENT - task->percent;
	int64_t left_ms;

	if (step->lasting)
		return INT64_MAX;
	if (task->rate > 0)
		left_ms = (int64_t)(percent_left / task->rate);
	else if (task->percent > 0 && task->last_poll > 0)
		left_ms =
		    (seen_ms - task->started_ms) * percent_left / task->percent;
	else
		return task->started_ms + (int64_t)step->estimate_ms - now_ms;
	return left_ms - (now_ms - seen_ms);
}

static bool
may_run(const struct fleet_task *task)
{
	return task->state == TASK_SENT || task->state == TASK_RUNNING;
}

/* Returns a task of a worker that would not end before the worker leaves, or
 * NULL. */
static struct fleet_task *
task_to_move(const struct fleet_worker *worker, int64_t now_ms)
{
	int64_t left_ms = worker->leaves_ms - LEAVE_MARGIN_MS - now_ms;
	struct fleet_task *task;

	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		if (may_run(task) && expected_run_ms(task, now_ms) > left_ms)
			return task;
	}
	return NULL;
}

void
fleet_note_leaving(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_worker_entry *entry, int64_t now_ms)
{
	if (!entry->draining || entry->remaining_ms <= 0)
		worker->leaves_ms = 0;
	else if (worker->leaves_ms == 0)
		worker->leaves_ms = now_ms + entry->remaining_ms;
	if (worker->leaves_ms != 0)
		fleet_wake_at(fleet, now_ms);
}

void
fleet_move_from_leaving(struct fleet *fleet, int64_t now_ms)
{
	for (size_t i = 0; i < fleet->workers.count; i++) {
		struct fleet_worker *worker = fleet->workers.items[i].item;
		struct fleet_task *task;

		if (worker->leaves_ms == 0 || !fleet_worker_answers(worker))
			continue;
		/* Stopping a gang changes others of the worker's tasks too. */
		while ((task = task_to_move(worker, now_ms)) != NULL)
			fleet_stop_gang_or_task(
			    fleet, task, "worker leaves", now_ms);
	}
}
