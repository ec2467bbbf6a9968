/* Limits of workspaces on what their jobs may have running. */
#include <string.h>

#include "fleet/fleet_preempt.h"
#include "fleet/fleet_quota.h"
#include "process/alloc.h"

/* A gang that has waited this long for its workspace's cap is passed no more by
 * work of the workspace that ranks behind it. */
#define GANG_HOLD_AFTER_MS 2000

struct fleet_workspace *
fleet_workspace(struct fleet *fleet, const char *name)
{
	struct fleet_workspace *workspace;

	for (size_t i = 0; i < fleet->workspaces_count; i++) {
		if (strcmp(fleet->workspaces[i]->name, name) == 0)
			return fleet->workspaces[i];
	}
	fleet->workspaces =
	    mem_grow(fleet->workspaces, &fleet->workspaces_capacity,
		fleet->workspaces_count + 1, sizeof(struct fleet_workspace *));
	workspace = mem_calloc(1, sizeof(*workspace));
	workspace->name = mem_strdup(name);
	fleet->workspaces[fleet->workspaces_count++] = workspace;
	return workspace;
}

void
fleet_clear_limits(struct fleet *fleet)
{
	for (size_t i = 0; i < fleet->workspaces_count; i++) {
		fleet->workspaces[i]->guaranteed = 0;
		fleet->workspaces[i]->quota = (struct fleet_quota){0};
	}
	fleet->changed = true;
}

void
fleet_set_guarantee(
    struct fleet *fleet, const char *workspace, int64_t accelerators)
{
	fleet_workspace(fleet, workspace)->guaranteed = accelerators;
	fleet->changed = true;
	fleet_wake_at(fleet, 0);
}

struct fleet_resources
fleet_quota_need(const Ibis__JobStep *step)
{
	return (struct fleet_resources){
	    .cpu_milli = step->cpu_milli,
	    .memory_mb = step->memory_mb,
	    .accelerators = step->accelerators,
	};
}

static bool
is_empty(const struct fleet_resources *resources)
{
	return resources->cpu_milli <= 0 && resources->memory_mb <= 0 &&
	    resources->accelerators <= 0;
}

static bool
is_capped(const struct fleet_workspace *workspace)
{
	return !is_empty(&workspace->quota.cap);
}

static int64_t
left_of(int64_t cap, int64_t used)
{
	return cap == 0 ? INT64_MAX : cap - used;
}

/* Returns how many tasks fit beside what is used, at most limit. */
static uint32_t
fit_within_cap(const struct fleet_resources *cap,
    const struct fleet_resources *used, const Ibis__JobStep *step,
    uint32_t limit)
{
	struct fleet_resources need = fleet_quota_need(step);
	struct fleet_resources left = {
	    .cpu_milli = left_of(cap->cpu_milli, used->cpu_milli),
	    .memory_mb = left_of(cap->memory_mb, used->memory_mb),
	    .accelerators = left_of(cap->accelerators, used->accelerators),
	};
	uint32_t fits = fleet_resources_fit(&left, &need, limit);

	if (fits == 0 && limit > 0 && is_empty(used))
		return 1;
	return fits;
}

void
fleet_quota_note_state(const struct fleet_task *task,
    enum fleet_task_state from, enum fleet_task_state to)
{
	struct fleet_workspace *workspace = task->occurrence->job->workspace;
	struct fleet_resources need = fleet_quota_need(fleet_step_of(task));

	if (fleet_task_is_committed(from))
		fleet_resources_subtract(&workspace->committed, &need);
	if (fleet_task_holds_resources(from))
		fleet_resources_subtract(&workspace->occupied, &need);
	if (fleet_task_is_committed(to))
		fleet_resources_add(&workspace->committed, &need);
	if (fleet_task_holds_resources(to))
		fleet_resources_add(&workspace->occupied, &need);
}

uint32_t
fleet_quota_fit(
    const struct fleet_job *job, const Ibis__JobStep *step, uint32_t limit)
{
	const struct fleet_workspace *workspace = job->workspace;

	if (!is_capped(workspace))
		return limit;
	return fit_within_cap(
	    &workspace->quota.cap, &workspace->committed, step, limit);
}

/* Returns whether a task may be stopped so that its workspace has room for the
 * job. */
static bool
is_preemptible_for(const struct fleet_task *task, const struct fleet_job *job)
{
	const struct fleet_job *other = task->occurrence->job;

	return other->workspace == job->workspace &&
	    other->spec->priority > job->spec->priority &&
	    fleet_task_is_committed(task->state);
}

uint32_t
fleet_quota_fit_by_preemption(const struct fleet *fleet,
    const struct fleet_job *job, const Ibis__JobStep *step, uint32_t limit)
{
	struct fleet_resources kept = job->workspace->committed;

	if (!is_capped(job->workspace))
		return limit;
	for (size_t i = 0; i < fleet->workers.count; i++) {
		const struct fleet_worker *worker =
		    fleet->workers.items[i].item;
		struct fleet_task *task;

		cds_list_for_each_entry (task, &worker->tasks, on_worker) {
			struct fleet_resources need =
			    fleet_quota_need(fleet_step_of(task));

			if (is_preemptible_for(task, job))
				fleet_resources_subtract(&kept, &need);
		}
	}
	return fit_within_cap(&job->workspace->quota.cap, &kept, step, limit);
}

/* Returns NULL when no task may be stopped for the job. */
static struct fleet_task *
cheapest_victim(
    const struct fleet *fleet, const struct fleet_job *job, int64_t now_ms)
{
	struct fleet_task *best = NULL;
	int64_t best_cost = 0;

	for (size_t i = 0; i < fleet->workers.count; i++) {
		const struct fleet_worker *worker =
		    fleet->workers.items[i].item;
		struct fleet_task *task;

		cds_list_for_each_entry (task, &worker->tasks, on_worker) {
			int64_t cost;

			if (!is_preemptible_for(task, job))
				continue;
			cost = fleet_preemption_cost(task, now_ms);
			if (best != NULL && cost >= best_cost)
				continue;
			best = task;
			best_cost = cost;
		}
	}
	return best;
}

void
fleet_quota_make_room(struct fleet *fleet, const struct fleet_job *job,
    const Ibis__JobStep *step, uint32_t count, int64_t now_ms)
{
	while (fleet_quota_fit(job, step, count) < count) {
		struct fleet_task *victim = cheapest_victim(fleet, job, now_ms);

		if (victim == NULL)
			return;
		fleet_preempt_task(fleet, victim, "quota", now_ms);
	}
}

/* Returns whether runs may be on the worker whose job is not known: it has
 * listed some, or has not answered this lead since an earlier one may have
 * started some. */
static bool
may_hide_runs(const struct fleet_worker *worker, int64_t now_ms)
{
	return worker->orphans_of_unknown_need > 0 ||
	    (!worker->reported && now_ms < worker->lease_until_ms);
}

void
fleet_quota_begin_starts(struct fleet *fleet, int64_t now_ms)
{
	fleet->hidden_bound = (struct fleet_resources){0};
	for (size_t i = 0; i < fleet->workers.count; i++) {
		const struct fleet_worker *worker =
		    fleet->workers.items[i].item;
		struct fleet_resources left = fleet_resources_remaining(
		    &worker->resources, &worker->occupied);

		if (may_hide_runs(worker, now_ms) &&
		    !fleet_resources_exceeded(&left))
			fleet_resources_add(&fleet->hidden_bound, &left);
	}
}

bool
fleet_quota_allows_start(
    const struct fleet *fleet, const struct fleet_task *task)
{
	const struct fleet_workspace *workspace =
	    task->occurrence->job->workspace;
	struct fleet_resources used;

	if (!is_capped(workspace))
		return true;
	used = workspace->occupied;
	fleet_resources_add(&used, &fleet->hidden_bound);
	return fit_within_cap(
		   &workspace->quota.cap, &used, fleet_step_of(task), 1) > 0;
}

bool
fleet_quota_may_pass(const struct fleet_job *job)
{
	return !job->workspace->held_for_gang ||
	    job->spec->priority < job->workspace->held_priority;
}

void
fleet_quota_note_wait(struct fleet *fleet,
    const struct fleet_occurrence *occurrence, const Ibis__JobStep *step,
    uint32_t count, int64_t now_ms)
{
	struct fleet_workspace *workspace = occurrence->job->workspace;
	struct fleet_resources unused = {0};
	int64_t hold_ms = occurrence->ready_ms + GANG_HOLD_AFTER_MS;

	workspace->waiting_tasks += count;
	if (!step->gang || workspace->held_for_gang ||
	    fit_within_cap(&workspace->quota.cap, &unused, step, count) < count)
		return;
	if (now_ms < hold_ms) {
		fleet_schedule_placement(fleet, hold_ms);
		return;
	}
	workspace->held_for_gang = true;
	workspace->held_priority = occurrence->job->spec->priority;
}

void
fleet_quota_begin_round(struct fleet *fleet)
{
	for (size_t i = 0; i < fleet->workspaces_count; i++) {
		fleet->workspaces[i]->waiting_tasks = 0;
		fleet->workspaces[i]->held_for_gang = false;
	}
}

/* Returns whether more is committed than the cap allows. */
static bool
is_over_cap(const struct fleet_workspace *workspace)
{
	const struct fleet_resources *cap = &workspace->quota.cap;
	const struct fleet_resources *used = &workspace->committed;

	return left_of(cap->cpu_milli, used->cpu_milli) < 0 ||
	    left_of(cap->memory_mb, used->memory_mb) < 0 ||
	    left_of(cap->accelerators, used->accelerators) < 0;
}

/* Requeues the workspace's placed tasks, which hold room on workers that they
 * may not use under a lower cap. */
static void
withdraw_placed(struct fleet *fleet, const struct fleet_workspace *workspace)
{
	struct fleet_job *job;

	cds_list_for_each_entry (job, &fleet->active, active) {
		if (job->workspace != workspace || job->placed == 0)
			continue;
		for (size_t i = 0; i < job->occurrences_count; i++) {
			for (uint32_t j = 0; j < job->tasks_count; j++) {
				struct fleet_task *task =
				    &job->occurrences[i]->tasks[j];

				if (task->state == TASK_PLACED)
					fleet_stop_task(fleet, task, "quota",
					    fleet->now_ms);
			}
		}
	}
}

void
fleet_set_quota(
    struct fleet *fleet, const char *workspace, const struct fleet_quota *quota)
{
	struct fleet_workspace *known = fleet_workspace(fleet, workspace);

	known->quota = *quota;
	if (is_over_cap(known))
		withdraw_placed(fleet, known);
	fleet->changed = true;
	fleet_wake_at(fleet, 0);
}

size_t
fleet_workspaces_count(const struct fleet *fleet)
{
	return fleet->workspaces_count;
}

void
fleet_workspace_usage(const struct fleet *fleet, size_t index,
    struct fleet_workspace_usage *usage)
{
	const struct fleet_workspace *workspace = fleet->workspaces[index];

	*usage = (struct fleet_workspace_usage){
	    .name = workspace->name,
	    .cap = workspace->quota.cap,
	    .running = workspace->occupied,
	    .waiting_tasks = workspace->waiting_tasks,
	};
}
