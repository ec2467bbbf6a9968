#include <stdlib.h>

#include "process/alloc.h"
#include "process/eviction.h"

/* Work lost by a checkpoint, or by a stop in addition to the run so far. */
#define CHECKPOINT_LOSS_MS INT64_C(2000)

/* For a deadline or compaction: a checkpointable job is evicted only after this
 * run time, when the checkpoint is worth it, and any other job only up to this
 * run time, while little is lost. */
#define MIN_CHECKPOINT_RUN_MS INT64_C(10000)
#define MAX_STOP_RUN_MS	      INT64_C(60000)

/* Cost factor of jobs of the same workspace. */
#define SAME_WORKSPACE_WEIGHT 2.0

/* Options after which the search for one worker ends. */
#define MAX_WORKER_OPTIONS 64

/* Eviction budget, as shares of the cluster's accelerators. */
#define BUDGET_SHARE_PER_S 0.01
#define BUDGET_MAX_SHARE   0.25
#define MS_PER_S	   1000.0

#define MAX_JOBS_PER_WORKER 64
#define UNKNOWN_PRECEDENCE  UINT32_MAX

void
eviction_clear(struct eviction_planner *planner)
{
	mem_free(planner->options);
	mem_free(planner->workers);
	mem_free(planner->victims);
	*planner = (struct eviction_planner){0};
}

static const struct document_class *
class_of(const struct eviction_planner *planner, const struct job_entry *entry)
{
	if (entry->request_class >= planner->classes_count)
		return NULL;
	return &planner->classes[entry->request_class];
}

static bool
is_urgent(const struct eviction_planner *planner, const struct job_entry *entry)
{
	const struct document_class *class = class_of(planner, entry);

	return class != NULL && class->urgent;
}

static uint32_t
precedence_of(
    const struct eviction_planner *planner, const struct job_entry *entry)
{
	const struct document_class *class = class_of(planner, entry);

	return class != NULL ? class->precedence : UNKNOWN_PRECEDENCE;
}

/* Returns the number of classes that are lower than the entry's. */
static uint32_t
classes_below(
    const struct eviction_planner *planner, const struct job_entry *entry)
{
	uint32_t precedence = precedence_of(planner, entry);
	uint32_t below = 0;

	for (size_t i = 0; i < planner->classes_count; i++) {
		if (planner->classes[i].precedence > precedence)
			below++;
	}
	return below;
}

/* Returns the run time that is lost when the victim is evicted. */
static int64_t
lost_ms(const struct eviction_planner *planner, const struct job_entry *victim)
{
	if (victim->job.checkpointable)
		return CHECKPOINT_LOSS_MS;
	return planner->now_ms - victim->started_ms + CHECKPOINT_LOSS_MS;
}

/* Returns the weighted accelerator-milliseconds lost by evicting the victim. */
static double
cost_of(const struct eviction_planner *planner,
    const struct job_entry *preemptor, const struct job_entry *victim)
{
	int64_t lost_ms = victim->job.checkpointable
	    ? CHECKPOINT_LOSS_MS
	    : planner->now_ms - victim->started_ms + CHECKPOINT_LOSS_MS;
	double cost = (double)lost_ms * job_entry_accelerators(victim);

	cost *= 1.0 + classes_below(planner, victim);
	/* A job that was evicted often becomes unlikely to be evicted again. */
	cost *= 1.0 + victim->evictions;
	if (victim->workspace == preemptor->workspace)
		cost *= SAME_WORKSPACE_WEIGHT;
	return cost;
}

/* The rule of EVICTION_DEADLINE and EVICTION_COMPACTION: the victim is of a
 * lower class, and evicting it after its present run time is worth it. */
static bool
may_evict_lower_class(const struct eviction_planner *planner,
    const struct job_entry *preemptor, const struct job_entry *victim)
{
	int64_t ran_ms = planner->now_ms - victim->started_ms;

	if (victim->job.checkpointable ? ran_ms < MIN_CHECKPOINT_RUN_MS
				       : ran_ms > MAX_STOP_RUN_MS)
		return false;
	return precedence_of(planner, victim) >
	    precedence_of(planner, preemptor);
}

/* Tells whether the mode allows evicting the victim. over_claim: the victim's
 * workspace uses more than its claim on the worker. */
static bool
may_evict(const struct eviction_planner *planner, enum eviction_mode mode,
    const struct job_entry *preemptor, const struct job_entry *victim,
    bool over_claim)
{
	bool own = victim->workspace == preemptor->workspace;

	if (victim->state != ENTRY_RUNNING && victim->state != ENTRY_STARTING)
		return false;
	if (job_entry_is_non_preemptible(victim))
		return false;
	switch (mode) {
	case EVICTION_URGENT:
		return (own || over_claim) && !is_urgent(planner, victim);
	case EVICTION_RECLAIM:
		return !own && over_claim &&
		    (is_urgent(planner, preemptor) ||
			!is_urgent(planner, victim));
	case EVICTION_DEADLINE:
	case EVICTION_COMPACTION:
		return (own || over_claim) &&
		    may_evict_lower_class(planner, preemptor, victim);
	}
	return false;
}

struct victim_candidate {
	struct job_entry *entry;
	double cost_per_accelerator;
};

static int
compare_candidates(const void *left, const void *right)
{
	const struct victim_candidate *one = left;
	const struct victim_candidate *other = right;

	if (one->cost_per_accelerator != other->cost_per_accelerator)
		return one->cost_per_accelerator < other->cost_per_accelerator
		    ? -1
		    : 1;
	if (one->entry->sequence != other->entry->sequence)
		return one->entry->sequence > other->entry->sequence ? -1 : 1;
	return 0;
}

/* Selection of victims on one worker. */
struct victim_selection {
	struct eviction_planner *planner;
	const struct job_entry *preemptor;
	enum eviction_mode mode;
	uint32_t worker;
	/* The first `selected` of them are victims. */
	struct victim_candidate jobs[MAX_JOBS_PER_WORKER];
	size_t jobs_count;
	size_t selected;
	int64_t available; /* accelerators, with those being evicted */
	double cost;	   /* of the victims */
};

/* Accelerators of a worker that are free, being evicted or selected for
 * eviction, less those reserved for other jobs. Negative when more are
 * reserved. */
static int64_t
available_accelerators(const struct eviction_planner *planner, uint32_t index)
{
	const struct cluster_worker *worker = &planner->cluster->workers[index];
	int64_t available = (int64_t)worker->capacity - worker->used;

	for (size_t i = 0; i < worker->jobs_count; i++) {
		const struct job_entry *entry = worker->jobs[i];

		if (entry->state == ENTRY_EVICTING || entry->selected_victim)
			available += entry->job.accelerators_per_task;
	}
	return available - worker->exclusively_reserved;
}

/* Tells whether the entry's workspace still uses more than its claim on the
 * worker after the selected victims are gone. */
static bool
is_over_claim(
    const struct victim_selection *selection, const struct job_entry *entry)
{
	const struct cluster_share *share = cluster_share(
	    selection->planner->cluster, selection->worker, entry->workspace);
	uint32_t used = share->used;

	for (size_t i = 0; i < selection->selected; i++) {
		const struct job_entry *selected = selection->jobs[i].entry;

		if (selected->workspace == entry->workspace)
			used -= selected->job.accelerators_per_task;
	}
	return used > share->claim;
}

/* Lists the jobs on the worker that may be evicted, cheapest first. */
static void
collect_candidates(struct victim_selection *selection)
{
	const struct cluster_worker *worker =
	    &selection->planner->cluster->workers[selection->worker];

	for (size_t i = 0; i < worker->jobs_count; i++) {
		struct job_entry *entry = worker->jobs[i];

		if (entry->selected_victim ||
		    selection->jobs_count == MAX_JOBS_PER_WORKER ||
		    !may_evict(selection->planner, selection->mode,
			selection->preemptor, entry,
			is_over_claim(selection, entry)))
			continue;
		selection->jobs[selection->jobs_count++] =
		    (struct victim_candidate){
			.entry = entry,
			.cost_per_accelerator =
			    cost_of(selection->planner, selection->preemptor,
				entry) /
			    entry->job.accelerators_per_task,
		    };
	}
	qsort(selection->jobs, selection->jobs_count, sizeof(*selection->jobs),
	    compare_candidates);
}

/* Selects the next candidate that may still be evicted; false when none may. */
static bool
select_next_victim(struct victim_selection *selection)
{
	for (size_t i = selection->selected; i < selection->jobs_count; i++) {
		struct victim_candidate next = selection->jobs[i];
		bool same_job = selection->selected > 0 &&
		    selection->jobs[selection->selected - 1].entry ==
			next.entry;

		if (!same_job &&
		    !may_evict(selection->planner, selection->mode,
			selection->preemptor, next.entry,
			is_over_claim(selection, next.entry)))
			continue;
		selection->jobs[i] = selection->jobs[selection->selected];
		selection->jobs[selection->selected++] = next;
		selection->available += next.entry->job.accelerators_per_task;
		/* A job's cost counts once, not for each of its tasks. */
		if (!same_job)
			selection->cost += next.cost_per_accelerator *
			    next.entry->job.accelerators_per_task;
		return true;
	}
	return false;
}

/* The most accelerators that the preemptor may get on the worker. */
static uint32_t
max_accelerators_on(const struct eviction_planner *planner,
    const struct job_entry *preemptor, enum eviction_mode mode, uint32_t index)
{
	const struct cluster_share *share =
	    cluster_share(planner->cluster, index, preemptor->workspace);
	uint32_t limit = planner->cluster->workers[index].capacity;
	uint32_t capacity;

	if (mode == EVICTION_RECLAIM)
		limit = share->claim > share->used
		    ? (uint32_t)(share->claim - share->used)
		    : 0;
	if (!job_entry_is_non_preemptible(preemptor))
		return limit;
	capacity = cluster_non_preemptible_capacity(
	    planner->cluster, index, preemptor->workspace);
	return capacity < limit ? capacity : limit;
}

/* Tells whether the job may be placed on the worker at all. */
static bool
is_eligible_worker(const struct eviction_planner *planner,
    const struct placement_request *request, uint32_t index)
{
	const struct cluster_worker *worker = &planner->cluster->workers[index];

	if (!worker->usable || worker->on_probation)
		return false;
	if (!request->ignore_draining && worker->draining_slot != NO_INDEX &&
	    worker->draining_slot != request->entry->reservation)
		return false;
	for (uint32_t i = 0; i < request->entry->avoided_count; i++) {
		if (!request->allow_avoided &&
		    request->entry->avoided[i] == index)
			return false;
	}
	return true;
}

/* Selects victims on a worker until up to this many tasks fit. Returns how many
 * fit. */
static uint32_t
select_victims(struct victim_selection *selection, uint32_t tasks)
{
	uint32_t amount = selection->preemptor->job.accelerators_per_task;
	uint32_t limit = max_accelerators_on(selection->planner,
	    selection->preemptor, selection->mode, selection->worker);
	uint32_t possible;

	if (limit / amount < tasks)
		tasks = limit / amount;
	if (tasks == 0)
		return 0;
	selection->available =
	    available_accelerators(selection->planner, selection->worker);
	if (selection->available < (int64_t)tasks * amount)
		collect_candidates(selection);
	while (selection->available < (int64_t)tasks * amount &&
	    select_next_victim(selection))
		;
	if (selection->available < (int64_t)amount)
		return 0;
	possible = (uint32_t)selection->available / amount;
	return possible < tasks ? possible : tasks;
}

/* Adds an option for a worker if it can take tasks. Returns how many. */
static uint32_t
add_option(struct eviction_planner *planner,
    const struct placement_request *request, enum eviction_mode mode,
    uint32_t worker)
{
	struct victim_selection selection = {
	    .planner = planner,
	    .preemptor = request->entry,
	    .mode = mode,
	    .worker = worker,
	};
	uint32_t tasks;

	if (!is_eligible_worker(planner, request, worker))
		return 0;
	tasks = select_victims(&selection, request->entry->job.tasks);
	if (tasks == 0)
		return 0;
	planner->options =
	    mem_grow(planner->options, &planner->options_capacity,
		planner->options_count + 1, sizeof(*planner->options));
	planner->options[planner->options_count++] = (struct eviction_option){
	    .worker = worker,
	    .tasks = tasks,
	    .cost_per_task = selection.cost / tasks,
	};
	return tasks;
}

static int
compare_options(const void *left, const void *right)
{
	const struct eviction_option *one = left;
	const struct eviction_option *other = right;

	if (one->cost_per_task != other->cost_per_task)
		return one->cost_per_task < other->cost_per_task ? -1 : 1;
	if (one->worker != other->worker)
		return one->worker < other->worker ? -1 : 1;
	return 0;
}

/* Sorts the options, cheapest first, and returns the cost of placing all tasks
 * on them. */
static double
sort_options(struct eviction_planner *planner, uint32_t tasks)
{
	double cost = 0;

	qsort(planner->options, planner->options_count,
	    sizeof(*planner->options), compare_options);
	for (size_t i = 0; i < planner->options_count && tasks > 0; i++) {
		const struct eviction_option *option = &planner->options[i];
		uint32_t selected =
		    option->tasks < tasks ? option->tasks : tasks;

		cost += option->cost_per_task * selected;
		tasks -= selected;
	}
	return cost;
}

/* Adds the selected jobs to the plan's victims. */
static void
add_victims(
    struct eviction_planner *planner, const struct victim_selection *selection)
{
	for (size_t i = 0; i < selection->selected; i++) {
		struct job_entry *entry = selection->jobs[i].entry;

		if (entry->selected_victim)
			continue;
		entry->selected_victim = true;
		planner->victims =
		    mem_grow(planner->victims, &planner->victims_capacity,
			planner->victims_count + 1, sizeof(struct job_entry *));
		planner->victims[planner->victims_count++] = entry;
		planner->freed += job_entry_accelerators(entry);
		planner->lost_accelerator_ms +=
		    lost_ms(planner, entry) * job_entry_accelerators(entry);
	}
}

/* Places up to this many tasks on a worker in the plan, adds the victims there,
 * and returns how many tasks were placed. */
static uint32_t
place_on_worker(struct eviction_planner *planner,
    const struct placement_request *request, enum eviction_mode mode,
    uint32_t worker, uint32_t placed, uint32_t tasks)
{
	struct victim_selection selection = {
	    .planner = planner,
	    .preemptor = request->entry,
	    .mode = mode,
	    .worker = worker,
	};

	tasks = select_victims(&selection, tasks);
	if (tasks == 0)
		return 0;
	add_victims(planner, &selection);
	for (uint32_t i = 0; i < tasks; i++)
		planner->workers[placed + i] = worker;
	return tasks;
}

/* Builds the plan from the options, cheapest first. */
static bool
build_plan(struct eviction_planner *planner,
    const struct placement_request *request, enum eviction_mode mode)
{
	uint32_t tasks = request->entry->job.tasks;
	uint32_t placed = 0;

	(void)sort_options(planner, tasks);
	planner->victims_count = 0;
	planner->freed = 0;
	planner->lost_accelerator_ms = 0;
	planner->workers = mem_grow(planner->workers,
	    &planner->workers_capacity, tasks, sizeof(*planner->workers));
	for (size_t i = 0; i < planner->options_count && placed < tasks; i++)
		placed += place_on_worker(planner, request, mode,
		    planner->options[i].worker, placed, tasks - placed);
	for (size_t i = 0; i < planner->victims_count; i++)
		planner->victims[i]->selected_victim = false;
	return placed == tasks;
}

/* Plans on the cheapest worker that can take all tasks. */
static bool
plan_on_worker(struct eviction_planner *planner,
    const struct placement_request *request, enum eviction_mode mode)
{
	const struct cluster *cluster = planner->cluster;
	size_t workers = cluster->workers_count;
	/* The search ends early, so each job starts at a different worker. */
	size_t first = request->entry->sequence % (workers > 0 ? workers : 1);
	size_t best = SIZE_MAX;

	planner->options_count = 0;
	for (size_t i = 0; i < workers; i++) {
		size_t last = planner->options_count;

		if (last >= MAX_WORKER_OPTIONS)
			break;
		if (add_option(planner, request, mode,
			(uint32_t)((first + i) % workers)) <
		    request->entry->job.tasks) {
			planner->options_count = last;
			continue;
		}
		if (best == SIZE_MAX ||
		    planner->options[last].cost_per_task <
			planner->options[best].cost_per_task)
			best = last;
	}
	if (best == SIZE_MAX)
		return false;
	planner->options[0] = planner->options[best];
	planner->options_count = 1;
	return build_plan(planner, request, mode);
}

/* Adds options for a rack's workers; returns the tasks they can take. */
static uint32_t
add_rack_options(struct eviction_planner *planner,
    const struct placement_request *request, enum eviction_mode mode,
    size_t index)
{
	const struct cluster_rack *rack = &planner->cluster->racks[index];
	uint32_t tasks = 0;

	for (uint32_t i = 0; i < rack->workers_count; i++)
		tasks +=
		    add_option(planner, request, mode, rack->first_worker + i);
	return tasks;
}

/* Plans in the cheapest rack that can take all tasks. */
static bool
plan_in_rack(struct eviction_planner *planner,
    const struct placement_request *request, enum eviction_mode mode)
{
	double best_cost = 0;
	size_t best = SIZE_MAX;

	for (size_t i = 0; i < planner->cluster->racks_count; i++) {
		double cost;

		planner->options_count = 0;
		if (add_rack_options(planner, request, mode, i) <
		    request->entry->job.tasks)
			continue;
		cost = sort_options(planner, request->entry->job.tasks);
		if (best != SIZE_MAX && cost >= best_cost)
			continue;
		best = i;
		best_cost = cost;
	}
	if (best == SIZE_MAX)
		return false;
	planner->options_count = 0;
	(void)add_rack_options(planner, request, mode, best);
	return build_plan(planner, request, mode);
}

/* Plans in one zone, or in the whole cluster when zone is NO_INDEX. */
static bool
plan_in_zone(struct eviction_planner *planner,
    const struct placement_request *request, enum eviction_mode mode,
    uint32_t zone)
{
	const struct cluster *cluster = planner->cluster;
	uint32_t tasks = 0;

	planner->options_count = 0;
	for (size_t i = 0; i < cluster->racks_count; i++) {
		if (zone == NO_INDEX || cluster->racks[i].zone == zone)
			tasks += add_rack_options(planner, request, mode, i);
	}
	return tasks >= request->entry->job.tasks &&
	    build_plan(planner, request, mode);
}

/* Plans in the first zone that can take all tasks. */
static bool
plan_in_some_zone(struct eviction_planner *planner,
    const struct placement_request *request, enum eviction_mode mode)
{
	for (uint32_t i = 0; i < planner->cluster->zones_count; i++) {
		if (plan_in_zone(planner, request, mode, i))
			return true;
	}
	return false;
}

bool
eviction_plan(struct eviction_planner *planner,
    const struct placement_request *request, enum eviction_mode mode)
{
	if (request->entry->job.tasks == 1)
		return plan_on_worker(planner, request, mode);
	switch (request->entry->job.adjacency) {
	case IBIS__ADJACENCY__ADJACENCY_WORKER:
		return plan_on_worker(planner, request, mode);
	case IBIS__ADJACENCY__ADJACENCY_RACK:
		return plan_in_rack(planner, request, mode);
	case IBIS__ADJACENCY__ADJACENCY_ZONE:
		return plan_in_some_zone(planner, request, mode);
	default:
		return plan_in_zone(planner, request, mode, NO_INDEX);
	}
}

bool
eviction_budget_take(struct eviction_budget *budget, uint64_t accelerators,
    uint64_t cluster_accelerators, int64_t now_ms)
{
	double max_accelerators =
	    BUDGET_MAX_SHARE * (double)cluster_accelerators;

	if (now_ms > budget->last_refill_ms)
		budget->accelerators +=
		    (double)(now_ms - budget->last_refill_ms) / MS_PER_S *
		    BUDGET_SHARE_PER_S * (double)cluster_accelerators;
	budget->last_refill_ms = now_ms;
	if (budget->accelerators > max_accelerators)
		budget->accelerators = max_accelerators;
	if (budget->accelerators < (double)accelerators)
		return false;
	budget->accelerators -= (double)accelerators;
	return true;
}
