/* Orphans: runs that may hold a worker's capacity although no task is assigned
 * to the worker under their run number. */
#include <string.h>

#include "fleet/fleet_quota.h"
#include "process/alloc.h"

static struct fleet_orphan *
find_orphan(const struct fleet *fleet, const struct fleet_worker *worker,
    const struct fleet_task_id *id, uint64_t run)
{
	for (size_t i = 0; i < fleet->orphans_count; i++) {
		struct fleet_orphan *orphan = &fleet->orphans[i];

		if (orphan->worker == worker && orphan->run == run &&
		    fleet_same_task(&orphan->task, id))
			return orphan;
	}
	return NULL;
}

/* Fills in what the orphan's run needs; unknown when the job or the step
 * doesn't exist. */
static void
set_need(const struct fleet *fleet, struct fleet_orphan *orphan)
{
	const struct fleet_job *job = fleet_find_job(fleet, orphan->task.job);
	const Ibis__JobStep *step;

	orphan->need_known =
	    job != NULL && orphan->task.step < job->spec->n_steps;
	if (!orphan->need_known)
		return;
	step = job->spec->steps[orphan->task.step];
	orphan->need = fleet_step_need(step);
	orphan->workspace = job->workspace;
	orphan->quota_need = fleet_quota_need(step);
}

uint32_t
fleet_count_orphans(const struct fleet *fleet, const char *job_id)
{
	uint32_t count = 0;

	for (size_t i = 0; i < fleet->orphans_count; i++)
		count += strcmp(fleet->orphans[i].task.job, job_id) == 0;
	return count;
}

/* Adds the orphan to those of its job, and its resources to its worker's
 * occupied ones. */
static void
occupy(const struct fleet *fleet, const struct fleet_orphan *orphan)
{
	struct fleet_worker *worker = orphan->worker;
	struct fleet_job *job = fleet_find_job(fleet, orphan->task.job);

	if (job != NULL)
		job->orphans++;
	worker->orphans++;
	if (!orphan->need_known) {
		worker->orphans_of_unknown_need++;
		return;
	}
	fleet_resources_add(&worker->occupied, &orphan->need);
	fleet_resources_add(&orphan->workspace->occupied, &orphan->quota_need);
}

static void
remove_orphan(struct fleet *fleet, size_t index)
{
	struct fleet_orphan *orphan = &fleet->orphans[index];
	struct fleet_worker *worker = orphan->worker;
	struct fleet_job *job = fleet_find_job(fleet, orphan->task.job);

	if (job != NULL)
		job->orphans--;
	worker->orphans--;
	if (orphan->need_known) {
		fleet_resources_subtract(&worker->occupied, &orphan->need);
		fleet_resources_subtract(
		    &orphan->workspace->occupied, &orphan->quota_need);
	} else {
		worker->orphans_of_unknown_need--;
	}
	fleet->orphans[index] = fleet->orphans[--fleet->orphans_count];
	fleet->changed = true;
	fleet_wake_at(fleet, fleet->now_ms);
}

static struct fleet_orphan *
add_orphan(struct fleet *fleet, const struct fleet_orphan *orphan)
{
	fleet->orphans = mem_grow(fleet->orphans, &fleet->orphans_capacity,
	    fleet->orphans_count + 1, sizeof(*fleet->orphans));
	fleet->orphans[fleet->orphans_count] = *orphan;
	occupy(fleet, orphan);
	fleet_wake_at(fleet, orphan->stop_due_ms);
	return &fleet->orphans[fleet->orphans_count++];
}

bool
fleet_add_reported_orphan(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_reported_run *run, int64_t sent_ms, int64_t stop_due_ms)
{
	struct fleet_orphan *orphan =
	    find_orphan(fleet, worker, &run->task, run->run);
	bool added = orphan == NULL;

	if (added) {
		struct fleet_orphan new_orphan = {
		    .worker = worker,
		    .task = run->task,
		    .run = run->run,
		    .stop_reason = "unknown run",
		    .stop_due_ms = stop_due_ms,
		    .visible_from_ms = sent_ms,
		};

		set_need(fleet, &new_orphan);
		orphan = add_orphan(fleet, &new_orphan);
	}
	if (orphan->last_poll == 0 || orphan->visible_from_ms < sent_ms)
		orphan->visible_from_ms = sent_ms;
	orphan->last_poll = fleet->polls;
	return added;
}

void
fleet_orphan_run(struct fleet *fleet, struct fleet_task *task,
    const char *stop_reason, int64_t stop_due_ms)
{
	struct fleet_orphan orphan = {
	    .worker = task->worker,
	    .run = task->run,
	    .need = fleet_task_need(task),
	    .need_known = true,
	    .workspace = task->occurrence->job->workspace,
	    .quota_need = fleet_quota_need(fleet_step_of(task)),
	    .stop_reason = stop_reason,
	    .stop_due_ms = stop_due_ms,
	    .visible_from_ms = task->visible_from_ms,
	    .last_poll = task->last_poll,
	};

	if (task->worker == NULL || !fleet_task_holds_resources(task->state))
		return;
	/* A start without an answer may be carried out until the stop is
	 * answered. A run that a poll has shown can't begin anew. */
	if (task->state == TASK_SENT)
		orphan.visible_from_ms = INT64_MAX;
	if (task->last_poll > 0 && orphan.visible_from_ms == INT64_MAX)
		orphan.visible_from_ms = fleet->now_ms;
	fleet_task_id(task, &orphan.task);
	(void)add_orphan(fleet, &orphan);
}

void
fleet_release_orphan(struct fleet *fleet, const struct fleet_worker *worker,
    const struct fleet_task_id *id, uint64_t run)
{
	const struct fleet_orphan *orphan = find_orphan(fleet, worker, id, run);

	if (orphan != NULL)
		remove_orphan(fleet, (size_t)(orphan - fleet->orphans));
}

void
fleet_release_unreported_orphans(
    struct fleet *fleet, const struct fleet_worker *worker, int64_t sent_ms)
{
	for (size_t i = fleet->orphans_count; i-- > 0;) {
		const struct fleet_orphan *orphan = &fleet->orphans[i];

		if (orphan->worker == worker &&
		    orphan->last_poll != fleet->polls &&
		    orphan->visible_from_ms < sent_ms)
			remove_orphan(fleet, i);
	}
}

void
fleet_release_lost_orphans(
    struct fleet *fleet, const struct fleet_worker *worker, bool include_unseen)
{
	for (size_t i = fleet->orphans_count; i-- > 0;) {
		struct fleet_orphan *orphan = &fleet->orphans[i];

		if (orphan->worker != worker)
			continue;
		if (include_unseen || orphan->last_poll > 0) {
			remove_orphan(fleet, i);
		} else {
			orphan->visible_from_ms = INT64_MAX;
			orphan->stop_due_ms = fleet->now_ms;
		}
	}
}

void
fleet_handle_orphan_stopped(struct fleet *fleet,
    const struct fleet_worker *worker, const struct fleet_task_id *id,
    uint64_t run, int64_t now_ms)
{
	struct fleet_orphan *orphan = find_orphan(fleet, worker, id, run);

	if (orphan != NULL && orphan->visible_from_ms == INT64_MAX)
		orphan->visible_from_ms = now_ms;
}

bool
fleet_task_has_orphan(const struct fleet *fleet, const struct fleet_task *task)
{
	struct fleet_task_id id;

	if (task->occurrence->job->orphans == 0)
		return false;
	fleet_task_id(task, &id);
	for (size_t i = 0; i < fleet->orphans_count; i++) {
		if (fleet_same_task(&fleet->orphans[i].task, &id))
			return true;
	}
	return false;
}
