/* Reclaim: preempts tasks to free capacity for urgent ones. */
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_preempt.h"
#include "process/alloc.h"

/* Returns the number of accelerators that a job's unfinished tasks need. */
static int64_t
accelerators_needed(const struct fleet_job *job)
{
	int64_t need = 0;

	for (size_t i = 0; i < job->occurrences_count; i++) {
		for (uint32_t j = 0; j < job->tasks_count; j++) {
			const struct fleet_task *task =
			    &job->occurrences[i]->tasks[j];

			if (task->state != TASK_DONE)
				need += fleet_step_of(task)->accelerators;
		}
	}
	return need;
}

static bool
is_urgent(const struct fleet_job *job)
{
	return job->spec->priority == 0 && !fleet_job_final(job);
}

static bool
within_guarantee(const struct fleet_job *job)
{
	return job->workspace->urgent_need <= job->workspace->guaranteed;
}

/* Computes what the workspaces' urgent jobs need, and marks the jobs of those
 * that need more than their guarantee. Once in a round of placement, as no task
 * ends during one. */
static void
update_urgent_needs(struct fleet *fleet)
{
	struct fleet_job *job;

	if (fleet->urgent_needs_current)
		return;
	fleet->urgent_needs_current = true;
	for (size_t i = 0; i < fleet->workspaces_count; i++)
		fleet->workspaces[i]->urgent_need = 0;
	cds_list_for_each_entry (job, &fleet->active, active) {
		if (is_urgent(job))
			job->workspace->urgent_need += accelerators_needed(job);
	}
	cds_list_for_each_entry (job, &fleet->active, active)
		job->over_guarantee = is_urgent(job) && !within_guarantee(job);
}

/* Returns whether a task may be stopped for the search's job. Jobs of lower
 * priority are preemptible for every urgent job, urgent jobs over their
 * workspace's guarantee only for jobs within theirs. */
static bool
is_preemptible(const struct fleet_search *search, const struct fleet_task *task)
{
	const struct fleet_job *job = task->occurrence->job;

	if (task->state == TASK_STOPPING)
		return false;
	if (job->spec->priority > search->job->spec->priority)
		return true;
	return search->guaranteed && job->over_guarantee;
}

/* Returns a worker's free capacity if all its preemptible tasks were stopped.
 */
static struct fleet_resources
capacity_after_preemption(
    const struct fleet_search *search, const struct fleet_worker *worker)
{
	struct fleet_resources resources = fleet_worker_free_capacity(worker);
	struct fleet_task *task;

	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		struct fleet_resources need = fleet_task_need(task);

		search->fleet->visits++;
		if (is_preemptible(search, task))
			fleet_resources_add(&resources, &need);
	}
	return resources;
}

static uint32_t
fits_after_preemption(
    const struct fleet_search *search, const struct fleet_worker *worker)
{
	struct fleet_resources resources =
	    capacity_after_preemption(search, worker);

	return fleet_resources_fit(
	    &resources, &search->need, fleet_search_limit(search, worker));
}

static void
collect_reclaim_candidates(struct fleet_search *search)
{
	struct fleet *fleet = search->fleet;

	for (size_t i = 0; i < fleet->workers.count; i++) {
		struct fleet_worker *worker = fleet->workers.items[i].item;
		uint32_t fits;

		if (!fleet_search_allows(search, worker)) {
			fleet_search_note_pause(search, worker);
			continue;
		}
		fits = fits_after_preemption(search, worker);
		if (fits == 0)
			continue;
		search->candidates[search->count++] = (struct fleet_candidate){
		    .worker = worker,
		    .fits = fits,
		    .limit = fits,
		    .speed_rank = fleet_search_speed_rank(search, worker),
		};
	}
}

static int
compare_racks(const void *left, const void *right)
{
	const struct fleet_candidate *a = left;
	const struct fleet_candidate *b = right;

	return strcmp(a->worker->entry.rack, b->worker->entry.rack);
}

/* Returns the part of a search, sorted by rack, that has the candidates of the
 * rack from an index on. */
static struct fleet_search
search_in_rack(const struct fleet_search *search, size_t first)
{
	struct fleet_search part = *search;

	part.candidates = &search->candidates[first];
	part.count = 1;
	while (first + part.count < search->count &&
	    compare_racks(part.candidates, &part.candidates[part.count]) == 0)
		part.count++;
	return part;
}

/* Returns the part of the search with the rack where room for the wanted tasks
 * costs least; without candidates when no rack has it. */
static struct fleet_search
find_cheapest_rack(struct fleet_search *search, struct fleet_worker **targets)
{
	const struct fleet_preempt_plan *plan = &search->fleet->preempt_plan;
	struct fleet_search best = {0};
	struct fleet_search part;
	int64_t best_cost = 0;

	qsort(search->candidates, search->count, sizeof(*search->candidates),
	    compare_racks);
	for (size_t i = 0; i < search->count; i += part.count) {
		part = search_in_rack(search, i);
		if (fleet_search_fits(&part, NULL) < part.wanted ||
		    !fleet_preempt_plan(&part, is_preemptible, targets))
			continue;
		if (best.count == 0 || plan->cost < best_cost) {
			best = part;
			best_cost = plan->cost;
		}
	}
	return best;
}

/* Searches for workers with what the kind of search may use, and preempts the
 * tasks in the way. */
static size_t
reclaim(struct fleet *fleet, enum fleet_search_kind kind,
    struct fleet_task *const *tasks, size_t count,
    struct fleet_worker **targets, int64_t now_ms)
{
	const struct fleet_job *job = tasks[0]->occurrence->job;
	const Ibis__JobStep *step = fleet_step_of(tasks[0]);
	struct fleet_search search;
	struct fleet_search rack;
	uint32_t fits;

	if (fleet_unmet_covers(fleet, kind, job, step, count))
		return 0;
	search = fleet_search_begin(fleet, tasks, count, now_ms);
	search.guaranteed = kind == FLEET_SEARCH_RECLAIM_GUARANTEED;
	collect_reclaim_candidates(&search);
	fits = fleet_search_fits(&search, NULL);
	if (fits < count) {
		if (!search.paused_for_job)
			fleet_unmet_add(fleet, kind, job, step, fits);
		return 0;
	}
	if (search.step->same_rack) {
		rack = find_cheapest_rack(&search, targets);
		if (rack.count > 0)
			search = rack;
		else if (fleet_search_fits_empty_rack(&search) &&
		    fleet_search_may_wait(&search))
			return 0;
	}
	if (!fleet_preempt_plan(&search, is_preemptible, targets))
		return 0;
	fleet_unmet_clear(fleet, FLEET_SEARCH_FREE);
	fleet_preempt_execute(fleet, "reclaimed", now_ms);
	return count;
}

size_t
fleet_reclaim_targets(struct fleet *fleet, struct fleet_task *const *tasks,
    size_t count, struct fleet_worker **targets, int64_t now_ms)
{
	size_t found;

	update_urgent_needs(fleet);
	/* Another urgent job gives way only where nothing else does. */
	found =
	    reclaim(fleet, FLEET_SEARCH_RECLAIM, tasks, count, targets, now_ms);
	if (found == 0 && within_guarantee(tasks[0]->occurrence->job))
		found = reclaim(fleet, FLEET_SEARCH_RECLAIM_GUARANTEED, tasks,
		    count, targets, now_ms);
	return found;
}
