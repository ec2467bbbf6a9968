/* Plans of which tasks to stop for others. */
#include "fleet/fleet_preempt.h"
#include "process/alloc.h"

/* Overhead of a stop in addition to the lost work, and the most work that a
 * task with checkpoints loses. */
#define STOP_COST_MS	       200
#define CHECKPOINT_MAX_LOSS_MS 1000
/* Urgent jobs over their guarantee are preempted only if other work loses this
 * many times as much. */
#define OVER_GUARANTEE_WEIGHT 20
/* Each preemption of a job adds its cost to the next one's, up to this many. */
#define MAX_COUNTED_PREEMPTIONS 8
/* Most tasks that are stopped on one worker for one task. */
#define MAX_VICTIMS 32

/* Returns the task that counts the preemptions of a task or its gang. */
static struct fleet_task *
counting_task(struct fleet_task *task)
{
	return fleet_step_of(task)->gang
	    ? fleet_step_tasks(task->occurrence, task->step)
	    : task;
}

int64_t
fleet_preemption_cost(struct fleet_task *task, int64_t now_ms)
{
	struct fleet_resources need = fleet_task_need(task);
	const struct fleet_job *job = task->occurrence->job;
	int64_t preemptions = counting_task(task)->preemptions;
	int64_t ran_ms = now_ms - task->started_ms;

	if (task->state == TASK_PLACED || task->state == TASK_SENT)
		ran_ms = 0;
	if (fleet_step_of(task)->checkpoints && ran_ms > CHECKPOINT_MAX_LOSS_MS)
		ran_ms = CHECKPOINT_MAX_LOSS_MS;
	ran_ms += STOP_COST_MS;
	if (preemptions > MAX_COUNTED_PREEMPTIONS)
		preemptions = MAX_COUNTED_PREEMPTIONS;
	if (fleet_step_of(task)->gang)
		ran_ms *= fleet_step_of(task)->tasks;
	if (job->spec->priority == 0)
		ran_ms *= OVER_GUARANTEE_WEIGHT;
	return fleet_resources_weight(&need) * ran_ms * (1 + preemptions);
}

static bool
is_planned(const struct fleet *fleet, const struct fleet_task *task)
{
	return task->preempt_plan == fleet->preempt_plan.number;
}

/* The tasks to stop on one worker so that one more task fits there. */
struct victims {
	struct fleet_task *tasks[MAX_VICTIMS];
	size_t count;
	int64_t cost;
};

/* Returns what is free on a worker once the plan is carried out. */
static struct fleet_resources
free_after_plan(
    const struct fleet_search *search, const struct fleet_candidate *candidate)
{
	struct fleet_resources left =
	    fleet_worker_free_capacity(candidate->worker);
	struct fleet_resources taken;
	struct fleet_task *task;

	cds_list_for_each_entry (task, &candidate->worker->tasks, on_worker) {
		struct fleet_resources need = fleet_task_need(task);

		search->fleet->visits++;
		if (is_planned(search->fleet, task))
			fleet_resources_add(&left, &need);
	}
	taken = fleet_resources_times(&search->need, candidate->taken);
	fleet_resources_subtract(&left, &taken);
	return left;
}

/* Returns the cheapest task on the worker that may be stopped in addition, or
 * NULL. */
static struct fleet_task *
cheapest_victim(const struct fleet_search *search,
    fleet_may_preempt *may_preempt, const struct fleet_worker *worker,
    const struct victims *chosen, int64_t *cost)
{
	struct fleet_task *best = NULL;
	struct fleet_task *task;

	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		int64_t task_cost;
		bool known = false;

		search->fleet->visits++;
		for (size_t i = 0; i < chosen->count; i++)
			known |= chosen->tasks[i] == task;
		if (known || is_planned(search->fleet, task) ||
		    !may_preempt(search, task))
			continue;
		task_cost = fleet_preemption_cost(task, search->now_ms);
		if (best != NULL && task_cost >= *cost)
			continue;
		best = task;
		*cost = task_cost;
	}
	return best;
}

/* Leaves out the victims that are not needed, dearest first: they were chosen
 * by rising cost. */
static void
drop_needless(const struct fleet_search *search, struct victims *victims,
    struct fleet_resources left)
{
	for (size_t i = victims->count; i-- > 0;) {
		struct fleet_resources need =
		    fleet_task_need(victims->tasks[i]);
		struct fleet_resources without =
		    fleet_resources_remaining(&left, &need);

		if (fleet_resources_fit(&without, &search->need, 1) == 0)
			continue;
		left = without;
		victims->cost -=
		    fleet_preemption_cost(victims->tasks[i], search->now_ms);
		victims->tasks[i] = victims->tasks[--victims->count];
	}
}

/* Chooses what to stop on a candidate's worker so that one more task fits.
 * Returns false when nothing makes it fit. */
static bool
choose_victims(const struct fleet_search *search,
    fleet_may_preempt *may_preempt, const struct fleet_candidate *candidate,
    struct victims *victims)
{
	struct fleet_resources left = free_after_plan(search, candidate);

	*victims = (struct victims){0};
	while (fleet_resources_fit(&left, &search->need, 1) == 0) {
		int64_t cost = 0;
		struct fleet_task *task = cheapest_victim(
		    search, may_preempt, candidate->worker, victims, &cost);
		struct fleet_resources need;

		if (task == NULL || victims->count == MAX_VICTIMS)
			return false;
		need = fleet_task_need(task);
		fleet_resources_add(&left, &need);
		victims->tasks[victims->count++] = task;
		victims->cost += cost;
	}
	drop_needless(search, victims, left);
	return true;
}

/* Updates the cost of one more task on a candidate's worker. */
static void
price_candidate(struct fleet_search *search, fleet_may_preempt *may_preempt,
    struct fleet_candidate *candidate)
{
	struct victims victims;
	if (candidate->taken == candidate->limit ||
	    !choose_victims(search, may_preempt, candidate, &victims)) {
		candidate->fits = 0;
		return;
	}
	candidate->fits = 1;
	candidate->cost = victims.cost;
}

static void
add_victim(struct fleet *fleet, struct fleet_task *task)
{
	struct fleet_preempt_plan *plan = &fleet->preempt_plan;

	plan->victims = mem_grow(plan->victims, &plan->victims_capacity,
	    plan->victims_count + 1, sizeof(struct fleet_task *));
	plan->victims[plan->victims_count++] = task;
}

/* Marks a task, or all members of its gang, as to be stopped. */
static void
mark_planned(struct fleet *fleet, struct fleet_task *task)
{
	const struct fleet_preempt_plan *plan = &fleet->preempt_plan;
	const Ibis__JobStep *step = fleet_step_of(task);
	struct fleet_task *first = task;
	uint32_t count = 1;

	if (step->gang) {
		first = fleet_step_tasks(task->occurrence, task->step);
		count = step->tasks;
	}
	for (uint32_t i = 0; i < count; i++) {
		if (!fleet_task_is_committed(first[i].state))
			continue;
		first[i].preempt_plan = plan->number;
		first[i].worker->plan_changed = true;
	}
}

/* Adds one task on a candidate's worker to the plan. */
static void
take_candidate(struct fleet_search *search, fleet_may_preempt *may_preempt,
    struct fleet_candidate *candidate)
{
	struct victims victims;

	if (!choose_victims(search, may_preempt, candidate, &victims))
		return;
	for (size_t i = 0; i < victims.count; i++) {
		if (is_planned(search->fleet, victims.tasks[i]))
			continue;
		add_victim(search->fleet, victims.tasks[i]);
		search->fleet->preempt_plan.cost +=
		    fleet_preemption_cost(victims.tasks[i], search->now_ms);
		mark_planned(search->fleet, victims.tasks[i]);
	}
	candidate->taken++;
	candidate->worker->plan_changed = true;
}

/* Returns the candidate where one more task costs least, or NULL. Those where
 * the plan has changed something are priced again. */
static struct fleet_candidate *
cheapest_candidate(struct fleet_search *search, fleet_may_preempt *may_preempt)
{
	struct fleet_candidate *best = NULL;

	search->fleet->visits += search->count;
	for (size_t i = 0; i < search->count; i++) {
		struct fleet_candidate *candidate = &search->candidates[i];

		if (candidate->worker->plan_changed)
			price_candidate(search, may_preempt, candidate);
		candidate->worker->plan_changed = false;
		if (candidate->fits == 0)
			continue;
		if (best == NULL || candidate->speed_rank < best->speed_rank ||
		    (candidate->speed_rank == best->speed_rank &&
			candidate->cost < best->cost))
			best = candidate;
	}
	return best;
}

bool
fleet_preempt_plan(struct fleet_search *search, fleet_may_preempt *may_preempt,
    struct fleet_worker **targets)
{
	struct fleet_preempt_plan *plan = &search->fleet->preempt_plan;
	size_t found = 0;

	plan->number++;
	plan->victims_count = 0;
	plan->cost = 0;
	for (size_t i = 0; i < search->count; i++) {
		search->candidates[i].taken = 0;
		search->candidates[i].worker->plan_changed = true;
	}
	while (found < search->wanted) {
		struct fleet_candidate *candidate =
		    cheapest_candidate(search, may_preempt);

		if (candidate == NULL)
			return false;
		take_candidate(search, may_preempt, candidate);
		targets[found++] = candidate->worker;
	}
	return true;
}

void
fleet_preempt_task(struct fleet *fleet, struct fleet_task *victim,
    const char *reason, int64_t now_ms)
{
	counting_task(victim)->preemptions++;
	fleet_stop_gang_or_task(fleet, victim, reason, now_ms);
}

void
fleet_preempt_execute(struct fleet *fleet, const char *reason, int64_t now_ms)
{
	const struct fleet_preempt_plan *plan = &fleet->preempt_plan;

	for (size_t i = 0; i < plan->victims_count; i++)
		fleet_preempt_task(fleet, plan->victims[i], reason, now_ms);
}
