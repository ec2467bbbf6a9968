#include <stdlib.h>
#include <string.h>

#include "process/alloc.h"
#include "process/draining.h"

void
draining_clear(struct draining_plan *plan)
{
	mem_free(plan->workers);
	mem_free(plan->options);
	*plan = (struct draining_plan){0};
}

/* Returns how many tasks of the job the worker can hold once drained. */
static uint32_t
tasks_once_drained(const struct cluster *cluster, const struct job_entry *entry,
    uint32_t index)
{
	const struct cluster_worker *worker = &cluster->workers[index];
	uint32_t capacity = worker->capacity;

	if (!worker->usable || worker->on_probation ||
	    (worker->draining_slot != NO_INDEX &&
		worker->draining_slot != entry->reservation))
		return 0;
	if (job_entry_is_non_preemptible(entry))
		capacity = cluster_non_preemptible_capacity(
		    cluster, index, entry->workspace);
	return capacity / entry->job.accelerators_per_task;
}

/* Adds an option for each worker of a rack that can hold tasks of the job. */
static void
add_rack(struct draining_plan *plan, const struct cluster *cluster,
    const struct job_entry *entry, size_t index, int64_t now_ms)
{
	const struct cluster_rack *rack = &cluster->racks[index];

	for (uint32_t i = 0; i < rack->workers_count; i++) {
		uint32_t worker = rack->first_worker + i;
		uint32_t tasks = tasks_once_drained(cluster, entry, worker);
		int64_t ready_ms = cluster->workers[worker].drained_ms;

		if (tasks == 0)
			continue;
		plan->options = mem_grow(plan->options, &plan->options_capacity,
		    plan->options_count + 1, sizeof(*plan->options));
		plan->options[plan->options_count++] = (struct draining_option){
		    .ready_ms = ready_ms > now_ms ? ready_ms : now_ms,
		    .worker = worker,
		    .tasks = tasks,
		};
	}
}

static int
compare_options(const void *left, const void *right)
{
	const struct draining_option *one = left;
	const struct draining_option *other = right;

	if (one->ready_ms != other->ready_ms)
		return one->ready_ms < other->ready_ms ? -1 : 1;
	if (one->worker != other->worker)
		return one->worker < other->worker ? -1 : 1;
	return 0;
}

/* Sorts the options, soonest first, and returns how many of them together hold
 * all tasks, or 0 when even all of them don't. */
static size_t
options_needed(const struct draining_plan *plan, uint32_t tasks)
{
	uint32_t fitting = 0;

	if (plan->options_count == 0)
		return 0;
	qsort(plan->options, plan->options_count, sizeof(*plan->options),
	    compare_options);
	for (size_t i = 0; i < plan->options_count; i++) {
		fitting += plan->options[i].tasks;
		if (fitting >= tasks)
			return i + 1;
	}
	return 0;
}

/* Replaces the plan by the options if these are ready sooner. */
static void
adopt_if_sooner(struct draining_plan *plan, uint32_t tasks)
{
	size_t needed = options_needed(plan, tasks);
	int64_t ready_ms;

	if (needed == 0)
		return;
	ready_ms = plan->options[needed - 1].ready_ms;
	if (ready_ms >= plan->ready_ms)
		return;
	plan->ready_ms = ready_ms;
	plan->workers = mem_grow(plan->workers, &plan->workers_capacity, needed,
	    sizeof(*plan->workers));
	for (size_t i = 0; i < needed; i++)
		plan->workers[i] = plan->options[i].worker;
	plan->workers_count = (uint32_t)needed;
}

static void
find_on_worker(struct draining_plan *plan, const struct cluster *cluster,
    const struct job_entry *entry, int64_t now_ms)
{
	plan->options_count = 0;
	for (size_t i = 0; i < cluster->racks_count; i++)
		add_rack(plan, cluster, entry, i, now_ms);
	for (size_t i = 0; i < plan->options_count; i++) {
		const struct draining_option *option = &plan->options[i];

		if (option->tasks < entry->job.tasks ||
		    option->ready_ms >= plan->ready_ms)
			continue;
		plan->ready_ms = option->ready_ms;
		plan->workers = mem_grow(plan->workers, &plan->workers_capacity,
		    1, sizeof(*plan->workers));
		plan->workers[0] = option->worker;
		plan->workers_count = 1;
	}
}

static void
find_in_racks(struct draining_plan *plan, const struct cluster *cluster,
    const struct job_entry *entry, int64_t now_ms)
{
	for (size_t i = 0; i < cluster->racks_count; i++) {
		plan->options_count = 0;
		add_rack(plan, cluster, entry, i, now_ms);
		adopt_if_sooner(plan, entry->job.tasks);
	}
}

/* Plans in one zone, or in the whole cluster when zone is NO_INDEX. */
static void
find_in_zone(struct draining_plan *plan, const struct cluster *cluster,
    const struct job_entry *entry, uint32_t zone, int64_t now_ms)
{
	plan->options_count = 0;
	for (size_t i = 0; i < cluster->racks_count; i++) {
		if (zone == NO_INDEX || cluster->racks[i].zone == zone)
			add_rack(plan, cluster, entry, i, now_ms);
	}
	adopt_if_sooner(plan, entry->job.tasks);
}

bool
draining_find(struct draining_plan *plan, const struct cluster *cluster,
    const struct job_entry *entry, int64_t now_ms)
{
	Ibis__Adjacency adjacency = entry->job.adjacency;

	plan->ready_ms = INT64_MAX;
	plan->workers_count = 0;
	if (entry->job.tasks == 1 ||
	    adjacency == IBIS__ADJACENCY__ADJACENCY_WORKER) {
		find_on_worker(plan, cluster, entry, now_ms);
	} else if (adjacency == IBIS__ADJACENCY__ADJACENCY_RACK) {
		find_in_racks(plan, cluster, entry, now_ms);
	} else if (adjacency == IBIS__ADJACENCY__ADJACENCY_ZONE) {
		for (uint32_t i = 0; i < cluster->zones_count; i++)
			find_in_zone(plan, cluster, entry, i, now_ms);
	} else {
		find_in_zone(plan, cluster, entry, NO_INDEX, now_ms);
	}
	return plan->workers_count > 0;
}
