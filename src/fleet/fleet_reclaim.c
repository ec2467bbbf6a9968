/* Reclaim: preempts tasks to free capacity for urgent ones. */
#include <string.h>

#include "fleet/fleet_search.h"
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

/* Overhead of a stop in addition to the lost work, and the most work that a
 * task with checkpoints loses. */
#define STOP_COST_MS	       200
#define CHECKPOINT_MAX_LOSS_MS 1000
/* Urgent jobs over their guarantee are preempted only if other work loses this
 * many times as much. */
#define OVER_GUARANTEE_WEIGHT 20

int64_t
fleet_preemption_cost(const struct fleet_task *task, int64_t now_ms)
{
	struct fleet_resources need = fleet_task_need(task);
	int64_t ran_ms = now_ms - task->started_ms;

	if (task->state == TASK_PLACED || task->state == TASK_SENT)
		ran_ms = 0;
	if (fleet_step_of(task)->checkpoints && ran_ms > CHECKPOINT_MAX_LOSS_MS)
		ran_ms = CHECKPOINT_MAX_LOSS_MS;
	if (fleet_step_of(task)->gang)
		ran_ms *= fleet_step_of(task)->tasks;
	ran_ms += STOP_COST_MS;
	if (task->occurrence->job->spec->priority == 0)
		ran_ms *= OVER_GUARANTEE_WEIGHT;
	return fleet_resources_weight(&need) * ran_ms;
}

/* Returns the cost of stopping all preemptible tasks on a worker; 0 when a task
 * fits without. */
static int64_t
cost_of_freeing(
    const struct fleet_search *search, const struct fleet_worker *worker)
{
	struct fleet_resources left = fleet_worker_free_capacity(worker);
	int64_t cost = 0;
	struct fleet_task *task;

	if (fleet_resources_fit(&left, &search->need, 1) > 0)
		return 0;
	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		if (is_preemptible(search, task))
			cost += fleet_preemption_cost(task, search->now_ms);
	}
	return cost;
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
		search->candidates[search->count++] =
		    (struct fleet_candidate){.worker = worker,
			.fits = fits,
			.cost = cost_of_freeing(search, worker)};
	}
	fleet_search_sort(search);
}

/* Returns the rack whose cheapest workers fit all wanted tasks at the lowest
 * total cost, or NULL when none fits them. */
static const char *
cheapest_rack(const struct fleet_search *search)
{
	const char *best = NULL;
	int64_t best_cost = 0;

	for (size_t i = 0; i < search->count; i++) {
		const char *rack = search->candidates[i].worker->entry.rack;
		uint32_t fits = 0;
		int64_t cost = 0;

		for (size_t j = 0; j < search->count && fits < search->wanted;
		     j++) {
			if (!fleet_search_in_rack(
				search->candidates[j].worker, rack))
				continue;
			fits += search->candidates[j].fits;
			cost += search->candidates[j].cost;
		}
		if (fits < search->wanted)
			continue;
		if (best == NULL || cost < best_cost) {
			best = rack;
			best_cost = cost;
		}
	}
	return best;
}

static struct fleet_task *
cheapest_victim(
    const struct fleet_search *search, const struct fleet_worker *worker)
{
	struct fleet_task *best = NULL;
	struct fleet_task *task;

	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		if (!is_preemptible(search, task))
			continue;
		if (best == NULL ||
		    fleet_preemption_cost(task, search->now_ms) <
			fleet_preemption_cost(best, search->now_ms))
			best = task;
	}
	return best;
}

/* Stops a worker's preemptible tasks, cheapest first, until count tasks fit. */
static void
preempt_until_fit(const struct fleet_search *search,
    struct fleet_worker *worker, uint32_t count)
{
	struct fleet_resources left = fleet_worker_free_capacity(worker);
	struct fleet_task *victim;

	while (fleet_resources_fit(&left, &search->need, count) < count &&
	    (victim = cheapest_victim(search, worker)) != NULL) {
		fleet_stop_gang_or_task(
		    search->fleet, victim, "reclaimed", search->now_ms);
		left = fleet_worker_free_capacity(worker);
	}
}

static size_t
reclaim_from_rack(const struct fleet_search *search, const char *rack,
    struct fleet_worker **targets)
{
	size_t found = 0;

	for (size_t i = 0; i < search->count && found < search->wanted; i++) {
		const struct fleet_candidate *candidate =
		    &search->candidates[i];
		uint32_t taken = 0;

		if (!fleet_search_in_rack(candidate->worker, rack))
			continue;
		while (taken < candidate->fits && found < search->wanted) {
			targets[found++] = candidate->worker;
			taken++;
		}
		preempt_until_fit(search, candidate->worker, taken);
	}
	return found;
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
	const char *rack = NULL;
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
		rack = cheapest_rack(&search);
		if (rack == NULL && fleet_search_fits_empty_rack(&search) &&
		    fleet_search_may_wait(&search))
			return 0;
	}
	fleet_unmet_clear(fleet, FLEET_SEARCH_FREE);
	return reclaim_from_rack(&search, rack, targets);
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
