/* Explains what a job waits for. */
#include <string.h>

#include "fleet/fleet_quota.h"

static const char *const wait_names[] = {
    [FLEET_WAITS_DUE] = "its time has not come",
    [FLEET_WAITS_STEPS] = "earlier steps have not ended",
    [FLEET_WAITS_HOLD] = "the zones or the list of workers may be out of date",
    [FLEET_WAITS_SERVICE] = "no worker of its service is listed",
    [FLEET_WAITS_LABEL] = "no worker has the label",
    [FLEET_WAITS_WORKERS] = "no worker may be used now",
    [FLEET_WAITS_SIZE] = "too large for the workers, even empty ones",
    [FLEET_WAITS_RESOURCES] = "no room",
    [FLEET_WAITS_QUOTA] = "its workspace's cap leaves no room",
    [FLEET_WAITS_RACK] = "room only away from its rack or data",
    [FLEET_WAITS_RETRY] = "its runs fail on all workers, next try soon",
    [FLEET_WAITS_RECORD] = "its placement is being recorded",
    [FLEET_WAITS_STOPS] = "what holds its room is being stopped",
    [FLEET_WAITS_ISOLATION] = "begins alone, as workers crashed when it began",
};

const char *
fleet_wait_name(enum fleet_wait_cause cause)
{
	return wait_names[cause];
}

struct explanation {
	const struct fleet *fleet;
	const struct fleet_job *job;
	int64_t now_ms;
	struct fleet_wait *waits;
	size_t count;
	size_t capacity;
};

static void
add_wait(struct explanation *explanation, const struct fleet_wait *wait)
{
	if (explanation->count < explanation->capacity)
		explanation->waits[explanation->count++] = *wait;
}

/* Returns whether a worker has the service and label that a step needs. */
static bool
is_eligible(const struct fleet_worker *worker, const struct fleet_job *job,
    const Ibis__JobStep *step)
{
	return worker->listed &&
	    strcmp(worker->entry.service, job->spec->service) == 0 &&
	    fleet_worker_has_label(worker, step->label);
}

static uint32_t
count_service_workers(const struct fleet *fleet, const struct fleet_job *job)
{
	uint32_t count = 0;

	for (size_t i = 0; i < fleet->workers.count; i++) {
		const struct fleet_worker *worker =
		    fleet->workers.items[i].item;

		count += worker->listed &&
		    strcmp(worker->entry.service, job->spec->service) == 0;
	}
	return count;
}

/* Counts the listed and usable workers of a step and the tasks that fit on
 * them. Adds the tasks that would fit on empty workers to *fits_empty. */
static void
count_workers(const struct explanation *explanation, const Ibis__JobStep *step,
    struct fleet_wait *wait, uint32_t *fits_empty)
{
	const struct fleet *fleet = explanation->fleet;
	struct fleet_resources need = fleet_step_need(step);

	for (size_t i = 0; i < fleet->workers.count; i++) {
		const struct fleet_worker *worker =
		    fleet->workers.items[i].item;
		struct fleet_resources left =
		    fleet_worker_free_capacity(worker);
		int64_t age_ms = explanation->now_ms - worker->clock_at_ms;

		if (!is_eligible(worker, explanation->job, step))
			continue;
		wait->listed++;
		*fits_empty +=
		    fleet_resources_fit(&worker->resources, &need, wait->tasks);
		if (age_ms > wait->oldest_poll_ms)
			wait->oldest_poll_ms = age_ms;
		if (!fleet_worker_usable(
			worker, explanation->job, step, explanation->now_ms))
			continue;
		wait->usable++;
		wait->fitting += fleet_resources_fit(&left, &need, wait->tasks);
	}
}

/* Counts the waiting tasks of other jobs of the service that are placed before
 * this occurrence. */
static uint32_t
count_ahead(const struct explanation *explanation,
    const struct fleet_occurrence *occurrence)
{
	const struct fleet *fleet = explanation->fleet;
	uint32_t count = 0;

	for (size_t i = 0; i < fleet->jobs.count; i++) {
		const struct fleet_job *job = fleet->jobs.items[i].item;

		if (job == explanation->job || job->cancelled ||
		    fleet_job_final(job) ||
		    strcmp(job->spec->service,
			explanation->job->spec->service) != 0)
			continue;
		for (size_t j = 0; j < job->occurrences_count; j++) {
			if (fleet_occurrence_precedes(job->occurrences[j],
				occurrence, explanation->now_ms))
				count += job->occurrences[j]->waiting;
		}
	}
	return count;
}

static enum fleet_wait_cause
cause_of_waiting(const struct explanation *explanation,
    const struct fleet_wait *wait, const Ibis__JobStep *step,
    uint32_t fits_empty)
{
	uint32_t needed = step->gang ? wait->tasks : 1;

	if (explanation->fleet->placements_held)
		return FLEET_WAITS_HOLD;
	if (count_service_workers(explanation->fleet, explanation->job) == 0)
		return FLEET_WAITS_SERVICE;
	if (wait->listed == 0)
		return FLEET_WAITS_LABEL;
	if (fits_empty < needed)
		return FLEET_WAITS_SIZE;
	if (wait->usable == 0)
		return FLEET_WAITS_WORKERS;
	if (fleet_quota_fit(explanation->job, step, needed) < needed ||
	    !fleet_quota_may_pass(explanation->job))
		return FLEET_WAITS_QUOTA;
	if (wait->fitting < needed)
		return FLEET_WAITS_RESOURCES;
	return fleet_job_fails_everywhere(explanation->fleet, explanation->job)
	    ? FLEET_WAITS_RETRY
	    : FLEET_WAITS_RACK;
}

static void
explain_waiting(struct explanation *explanation,
    const struct fleet_occurrence *occurrence, uint32_t number, uint32_t tasks)
{
	const Ibis__JobStep *step = explanation->job->spec->steps[number];
	struct fleet_wait wait = {
	    .occurrence = occurrence->number,
	    .step = number,
	    .tasks = tasks,
	    .wait_ms = explanation->now_ms - occurrence->ready_ms,
	};
	uint32_t fits_empty = 0;

	if (!fleet_step_ready(occurrence, number)) {
		wait.cause = FLEET_WAITS_STEPS;
	} else {
		count_workers(explanation, step, &wait, &fits_empty);
		wait.ahead = count_ahead(explanation, occurrence);
		wait.cause =
		    cause_of_waiting(explanation, &wait, step, fits_empty);
	}
	add_wait(explanation, &wait);
}

/* Explains tasks that have a worker but have not been started. */
static void
explain_placed(struct explanation *explanation,
    const struct fleet_occurrence *occurrence, uint32_t number, uint32_t tasks,
    enum fleet_wait_cause cause)
{
	struct fleet_wait wait = {
	    .occurrence = occurrence->number,
	    .step = number,
	    .tasks = tasks,
	    .wait_ms = explanation->now_ms - occurrence->ready_ms,
	    .cause = cause,
	};

	add_wait(explanation, &wait);
}

/* Returns what a placed task waits for. */
static enum fleet_wait_cause
cause_of_placed(
    const struct explanation *explanation, const struct fleet_task *task)
{
	if (task->placed_generation > explanation->job->recorded_generation)
		return FLEET_WAITS_RECORD;
	if (!fleet_isolation_allows_start(task))
		return FLEET_WAITS_ISOLATION;
	return fleet_quota_allows_start(explanation->fleet, task)
	    ? FLEET_WAITS_STOPS
	    : FLEET_WAITS_QUOTA;
}

static void
explain_step(struct explanation *explanation,
    const struct fleet_occurrence *occurrence, uint32_t number)
{
	const Ibis__JobStep *step = explanation->job->spec->steps[number];
	const struct fleet_task *tasks = fleet_step_tasks(occurrence, number);
	uint32_t waiting = 0;
	uint32_t placed = 0;
	enum fleet_wait_cause cause = FLEET_WAITS_RECORD;

	for (uint32_t i = 0; i < step->tasks; i++) {
		waiting += tasks[i].state == TASK_WAITING;
		if (tasks[i].state != TASK_PLACED)
			continue;
		if (placed == 0 || cause != FLEET_WAITS_RECORD)
			cause = cause_of_placed(explanation, &tasks[i]);
		placed++;
	}
	if (waiting > 0)
		explain_waiting(explanation, occurrence, number, waiting);
	if (placed > 0)
		explain_placed(explanation, occurrence, number, placed, cause);
}

/* Explains the wait for the next occurrence, if there is one. */
static void
explain_due(struct explanation *explanation, int64_t wall_ms)
{
	const struct fleet_job *job = explanation->job;
	struct fleet_wait wait = {
	    .occurrence = job->next_occurrence,
	    .cause = FLEET_WAITS_DUE,
	    .tasks = job->tasks_count,
	};

	if (job->next_occurrence >= job->spec->times)
		return;
	wait.wait_ms = job->spec->first_wall_ms +
	    (int64_t)job->next_occurrence * job->spec->interval_ms - wall_ms;
	add_wait(explanation, &wait);
}

size_t
fleet_explain(const struct fleet *fleet, const struct fleet_job *job,
    int64_t now_ms, int64_t wall_ms, struct fleet_wait *waits, size_t capacity)
{
	struct explanation explanation = {
	    .fleet = fleet,
	    .job = job,
	    .now_ms = now_ms,
	    .waits = waits,
	    .capacity = capacity,
	};

	if (job->cancelled || fleet_job_final(job))
		return 0;
	/* Each row takes a walk over all jobs. */
	for (size_t i = 0;
	     i < job->occurrences_count && explanation.count < capacity; i++) {
		for (uint32_t step = 0; step < job->spec->n_steps; step++)
			explain_step(&explanation, job->occurrences[i], step);
	}
	explain_due(&explanation, wall_ms);
	return explanation.count;
}
