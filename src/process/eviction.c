#include <stdlib.h>

#include "process/alloc.h"
#include "process/eviction.h"

#define CHECKPOINT_LOSS_MS  INT64_C(2000)
#define MIN_RESIDENCE_MS    INT64_C(10000)
#define MAX_STOPPED_RUN_MS  INT64_C(60000)
#define OWN_WORK_WEIGHT	    2.0
#define SINGLE_TASK_OPTIONS 64
#define BUDGET_SHARE_PER_S  0.01
#define BUDGET_MAX_SHARE    0.25
#define MILLISECONDS_PER_S  1000.0
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

/* How many classes come after the entry's. */
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

static int64_t
lost_ms(const struct eviction_planner *planner, const struct job_entry *victim)
{
	if (victim->job.checkpointable)
		return CHECKPOINT_LOSS_MS;
	return planner->now_ms - victim->started_ms + CHECKPOINT_LOSS_MS;
}

/* Accelerator-milliseconds lost by evicting a job, weighted. */
static double
cost_of(const struct eviction_planner *planner,
    const struct job_entry *claimant, const struct job_entry *victim)
{
	int64_t lost_ms = victim->job.checkpointable
	    ? CHECKPOINT_LOSS_MS
	    : planner->now_ms - victim->started_ms + CHECKPOINT_LOSS_MS;
	double cost = (double)lost_ms * job_entry_accelerators(victim);

	cost *= 1.0 + classes_below(planner, victim);
	/* What has been evicted often is let finish. */
	cost *= 1.0 + victim->evictions;
	if (victim->workspace == claimant->workspace)
		cost *= OWN_WORK_WEIGHT;
	return cost;
}

static bool
may_press(const struct eviction_planner *planner,
    const struct job_entry *claimant, const struct job_entry *victim)
{
	int64_t ran_ms = planner->now_ms - victim->started_ms;

	/* A checkpoint pays after a while; a stop only before much is lost. */
	if (victim->job.checkpointable ? ran_ms < MIN_RESIDENCE_MS
				       : ran_ms > MAX_STOPPED_RUN_MS)
		return false;
	return precedence_of(planner, victim) >
	    precedence_of(planner, claimant);
}

/* excess tells whether the victim's workspace holds more than its claims on
 * the worker. */
static bool
may_evict(const struct eviction_planner *planner, enum eviction_mode mode,
    const struct job_entry *claimant, const struct job_entry *victim,
    bool excess)
{
	bool own = victim->workspace == claimant->workspace;

	if (victim->state != ENTRY_RUNNING && victim->state != ENTRY_STARTING)
		return false;
	if (job_entry_is_firm(victim))
		return false;
	switch (mode) {
	case EVICTION_URGENT:
		return (own || excess) && !is_urgent(planner, victim);
	case EVICTION_RECLAIM:
		return !own && excess &&
		    (is_urgent(planner, claimant) ||
			!is_urgent(planner, victim));
	case EVICTION_PRESSING:
	case EVICTION_COMPACTION:
		return (own || excess) && may_press(planner, claimant, victim);
	}
	return false;
}

struct costed_job {
	struct job_entry *entry;
	double cost_per_accelerator;
};

static int
compare_costed(const void *left, const void *right)
{
	const struct costed_job *one = left;
	const struct costed_job *other = right;

	if (one->cost_per_accelerator != other->cost_per_accelerator)
		return one->cost_per_accelerator < other->cost_per_accelerator
		    ? -1
		    : 1;
	if (one->entry->sequence != other->entry->sequence)
		return one->entry->sequence > other->entry->sequence ? -1 : 1;
	return 0;
}

/* State of choosing victims on one worker. */
struct worker_walk {
	struct eviction_planner *planner;
	const struct job_entry *claimant;
	enum eviction_mode mode;
	uint32_t worker;
	struct costed_job jobs[MAX_JOBS_PER_WORKER];
	size_t jobs_count;
	size_t taken;	   /* the first jobs that are evicted */
	int64_t available; /* accelerators, incoming ones counted */
	double cost;
};

/* What comes free by evictions under way, beyond what others have kept. */
static int64_t
available_on(const struct eviction_planner *planner, uint32_t index)
{
	const struct cluster_worker *worker = &planner->cluster->workers[index];
	int64_t available = (int64_t)worker->capacity - worker->used;

	for (size_t i = 0; i < worker->jobs_count; i++) {
		const struct job_entry *entry = worker->jobs[i];

		if (entry->state == ENTRY_EVICTING || entry->chosen)
			available += entry->job.accelerators_per_task;
	}
	return available - worker->held;
}

static bool
has_excess(const struct worker_walk *walk, const struct job_entry *entry)
{
	const struct cluster_share *share = cluster_share(
	    walk->planner->cluster, walk->worker, entry->workspace);
	uint32_t used = share->used;

	for (size_t i = 0; i < walk->taken; i++) {
		const struct job_entry *taken = walk->jobs[i].entry;

		if (taken->workspace == entry->workspace)
			used -= taken->job.accelerators_per_task;
	}
	return used > share->claim;
}

static void
collect_jobs(struct worker_walk *walk)
{
	const struct cluster_worker *worker =
	    &walk->planner->cluster->workers[walk->worker];

	for (size_t i = 0; i < worker->jobs_count; i++) {
		struct job_entry *entry = worker->jobs[i];

		if (entry->chosen || walk->jobs_count == MAX_JOBS_PER_WORKER ||
		    !may_evict(walk->planner, walk->mode, walk->claimant, entry,
			has_excess(walk, entry)))
			continue;
		walk->jobs[walk->jobs_count++] = (struct costed_job){
		    .entry = entry,
		    .cost_per_accelerator =
			cost_of(walk->planner, walk->claimant, entry) /
			entry->job.accelerators_per_task,
		};
	}
	qsort(
	    walk->jobs, walk->jobs_count, sizeof(*walk->jobs), compare_costed);
}

/* Moves the next job that may go behind those already taken. */
static bool
take_next(struct worker_walk *walk)
{
	for (size_t i = walk->taken; i < walk->jobs_count; i++) {
		struct costed_job next = walk->jobs[i];
		bool again = walk->taken > 0 &&
		    walk->jobs[walk->taken - 1].entry == next.entry;

		if (!again &&
		    !may_evict(walk->planner, walk->mode, walk->claimant,
			next.entry, has_excess(walk, next.entry)))
			continue;
		walk->jobs[i] = walk->jobs[walk->taken];
		walk->jobs[walk->taken++] = next;
		walk->available += next.entry->job.accelerators_per_task;
		/* Further tasks of a job go with it. */
		if (!again)
			walk->cost += next.cost_per_accelerator *
			    next.entry->job.accelerators_per_task;
		return true;
	}
	return false;
}

/* The most accelerators that the claimant may come to hold on the worker. */
static uint32_t
bound_on(const struct eviction_planner *planner,
    const struct job_entry *claimant, enum eviction_mode mode, uint32_t index)
{
	const struct cluster_share *share =
	    cluster_share(planner->cluster, index, claimant->workspace);
	uint32_t bound = planner->cluster->workers[index].capacity;
	uint32_t room;

	if (mode == EVICTION_RECLAIM)
		bound = share->claim > share->used
		    ? (uint32_t)(share->claim - share->used)
		    : 0;
	if (!job_entry_is_firm(claimant))
		return bound;
	room = cluster_firm_room(planner->cluster, index, claimant->workspace);
	return room < bound ? room : bound;
}

static bool
worker_open(const struct eviction_planner *planner,
    const struct placement_request *request, uint32_t index)
{
	const struct cluster_worker *worker = &planner->cluster->workers[index];

	if (!worker->usable || worker->on_probation)
		return false;
	if (!request->pass_draining && worker->holder != NO_INDEX &&
	    worker->holder != request->entry->reservation)
		return false;
	for (uint32_t i = 0; i < request->entry->avoided_count; i++) {
		if (!request->allow_avoided &&
		    request->entry->avoided[i] == index)
			return false;
	}
	return true;
}

/* Chooses victims on a worker for up to some tasks; returns the tasks. */
static uint32_t
walk_worker(struct worker_walk *walk, uint32_t tasks)
{
	uint32_t amount = walk->claimant->job.accelerators_per_task;
	uint32_t bound =
	    bound_on(walk->planner, walk->claimant, walk->mode, walk->worker);
	uint32_t possible;

	if (bound / amount < tasks)
		tasks = bound / amount;
	if (tasks == 0)
		return 0;
	walk->available = available_on(walk->planner, walk->worker);
	if (walk->available < (int64_t)tasks * amount)
		collect_jobs(walk);
	while (walk->available < (int64_t)tasks * amount && take_next(walk))
		;
	if (walk->available < (int64_t)amount)
		return 0;
	possible = (uint32_t)walk->available / amount;
	return possible < tasks ? possible : tasks;
}

/* Adds an option for a worker; returns the tasks that it would take. */
static uint32_t
add_option(struct eviction_planner *planner,
    const struct placement_request *request, enum eviction_mode mode,
    uint32_t worker)
{
	struct worker_walk walk = {
	    .planner = planner,
	    .claimant = request->entry,
	    .mode = mode,
	    .worker = worker,
	};
	uint32_t tasks;

	if (!worker_open(planner, request, worker))
		return 0;
	tasks = walk_worker(&walk, request->entry->job.tasks);
	if (tasks == 0)
		return 0;
	planner->options =
	    mem_grow(planner->options, &planner->options_capacity,
		planner->options_count + 1, sizeof(*planner->options));
	planner->options[planner->options_count++] = (struct eviction_option){
	    .worker = worker,
	    .tasks = tasks,
	    .cost_per_task = walk.cost / tasks,
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

/* Cost of the cheapest options that take all tasks. */
static double
cheapest_cost(struct eviction_planner *planner, uint32_t tasks)
{
	double cost = 0;

	qsort(planner->options, planner->options_count,
	    sizeof(*planner->options), compare_options);
	for (size_t i = 0; i < planner->options_count && tasks > 0; i++) {
		const struct eviction_option *option = &planner->options[i];
		uint32_t taken = option->tasks < tasks ? option->tasks : tasks;

		cost += option->cost_per_task * taken;
		tasks -= taken;
	}
	return cost;
}

static void
add_victims(struct eviction_planner *planner, const struct worker_walk *walk)
{
	for (size_t i = 0; i < walk->taken; i++) {
		struct job_entry *entry = walk->jobs[i].entry;

		if (entry->chosen)
			continue;
		entry->chosen = true;
		planner->victims =
		    mem_grow(planner->victims, &planner->victims_capacity,
			planner->victims_count + 1, sizeof(struct job_entry *));
		planner->victims[planner->victims_count++] = entry;
		planner->freed += job_entry_accelerators(entry);
		planner->lost +=
		    lost_ms(planner, entry) * job_entry_accelerators(entry);
	}
}

/* Takes tasks on one worker into the plan; returns how many. */
static uint32_t
settle_worker(struct eviction_planner *planner,
    const struct placement_request *request, enum eviction_mode mode,
    uint32_t worker, uint32_t placed, uint32_t tasks)
{
	struct worker_walk walk = {
	    .planner = planner,
	    .claimant = request->entry,
	    .mode = mode,
	    .worker = worker,
	};

	tasks = walk_worker(&walk, tasks);
	if (tasks == 0)
		return 0;
	add_victims(planner, &walk);
	for (uint32_t i = 0; i < tasks; i++)
		planner->workers[placed + i] = worker;
	return tasks;
}

/* Turns the options, cheapest first, into the plan. */
static bool
settle(struct eviction_planner *planner,
    const struct placement_request *request, enum eviction_mode mode)
{
	uint32_t tasks = request->entry->job.tasks;
	uint32_t placed = 0;

	(void)cheapest_cost(planner, tasks);
	planner->victims_count = 0;
	planner->freed = 0;
	planner->lost = 0;
	planner->workers = mem_grow(planner->workers,
	    &planner->workers_capacity, tasks, sizeof(*planner->workers));
	for (size_t i = 0; i < planner->options_count && placed < tasks; i++)
		placed += settle_worker(planner, request, mode,
		    planner->options[i].worker, placed, tasks - placed);
	for (size_t i = 0; i < planner->victims_count; i++)
		planner->victims[i]->chosen = false;
	return placed == tasks;
}

/* Keeps only the cheapest option that takes all tasks. */
static bool
plan_on_worker(struct eviction_planner *planner,
    const struct placement_request *request, enum eviction_mode mode)
{
	const struct cluster *cluster = planner->cluster;
	size_t workers = cluster->workers_count;
	/* Starts elsewhere each time, so that a bounded search is fair. */
	size_t first = request->entry->sequence % (workers > 0 ? workers : 1);
	size_t best = SIZE_MAX;

	planner->options_count = 0;
	for (size_t i = 0; i < workers; i++) {
		size_t last = planner->options_count;

		if (last >= SINGLE_TASK_OPTIONS)
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
	return settle(planner, request, mode);
}

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
		cost = cheapest_cost(planner, request->entry->job.tasks);
		if (best != SIZE_MAX && cost >= best_cost)
			continue;
		best = i;
		best_cost = cost;
	}
	if (best == SIZE_MAX)
		return false;
	planner->options_count = 0;
	(void)add_rack_options(planner, request, mode, best);
	return settle(planner, request, mode);
}

/* Plans in one zone, or with NO_INDEX in all. */
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
	    settle(planner, request, mode);
}

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
	double most = BUDGET_MAX_SHARE * (double)cluster_accelerators;

	if (now_ms > budget->refilled_ms)
		budget->accelerators += (double)(now_ms - budget->refilled_ms) /
		    MILLISECONDS_PER_S * BUDGET_SHARE_PER_S *
		    (double)cluster_accelerators;
	budget->refilled_ms = now_ms;
	if (budget->accelerators > most)
		budget->accelerators = most;
	if (budget->accelerators < (double)accelerators)
		return false;
	budget->accelerators -= (double)accelerators;
	return true;
}
