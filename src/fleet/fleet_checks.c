/* Checks the records of jobs and of their progress. */
#include <string.h>

#include "fleet/fleet.h"

#define STEP "record"

static enum ibis_code
set_invalid(struct ibis_status *status, const char *message)
{
	return ibis_status_set(status, IBIS_INVALID, STEP, NULL, "%s", message);
}

static bool
is_amount(int64_t value)
{
	return value >= 0 && value <= FLEET_MAX_AMOUNT;
}

bool
fleet_amounts_valid(const struct fleet_resources *resources)
{
	return is_amount(resources->cpu_milli) &&
	    is_amount(resources->memory_mb) &&
	    is_amount(resources->accelerators);
}

bool
fleet_time_valid(int64_t value_ms)
{
	return value_ms >= 0 && value_ms <= FLEET_MAX_TIME_MS;
}

static enum ibis_code
check_step(const Ibis__JobStep *step, size_t index, struct ibis_status *status)
{
	struct fleet_resources need = {
	    .cpu_milli = step->cpu_milli,
	    .memory_mb = step->memory_mb,
	    .accelerators = step->accelerators,
	};

	if (step->tasks == 0 || step->tasks > FLEET_MAX_TASKS)
		return set_invalid(
		    status, "tasks of a step: expected 1 to 65536");
	if (!fleet_amounts_valid(&need))
		return set_invalid(
		    status, "resources of a task: expected 0 to 2^32 each");
	if (!fleet_time_valid(step->estimate_ms) ||
	    !fleet_time_valid(step->tail_target_ms))
		return set_invalid(
		    status, "estimate and tail target: expected 0 to 2^43 ms");
	for (size_t i = 0; i < step->n_after; i++) {
		if (step->after[i] >= index)
			return set_invalid(
			    status, "after: expected numbers of earlier steps");
	}
	return IBIS_OK;
}

static uint32_t
count_occurrences(const Ibis__StepJob *spec)
{
	return spec->times == 0 ? 1 : spec->times;
}

uint64_t
fleet_count_tasks(const Ibis__StepJob *spec)
{
	uint64_t tasks = 0;

	for (size_t i = 0; i < spec->n_steps; i++)
		tasks += spec->steps[i]->tasks;
	return tasks;
}

enum ibis_code
fleet_check_job(const Ibis__StepJob *spec, struct ibis_status *status)
{
	if (spec->n_steps == 0 || spec->n_steps > FLEET_MAX_STEPS)
		return set_invalid(status, "steps: expected 1 to 256");
	for (size_t i = 0; i < spec->n_steps; i++) {
		if (check_step(spec->steps[i], i, status) != IBIS_OK)
			return IBIS_INVALID;
	}
	if (fleet_count_tasks(spec) > FLEET_MAX_TASKS)
		return set_invalid(
		    status, "tasks of all steps: expected at most 65536");
	if (spec->times > FLEET_MAX_OCCURRENCES)
		return set_invalid(
		    status, "occurrences: expected at most 100000");
	if (!fleet_time_valid(spec->first_wall_ms) ||
	    !fleet_time_valid(spec->interval_ms) ||
	    !fleet_time_valid(spec->accepted_wall_ms) ||
	    !fleet_time_valid(spec->target_ms))
		return set_invalid(status,
		    "first time, interval, time of acceptance and target: "
		    "expected 0 to 2^43 ms");
	return IBIS_OK;
}

static enum ibis_code
check_task(const Ibis__TaskProgress *task, struct ibis_status *status)
{
	if (task->run > FLEET_MAX_NUMBER)
		return set_invalid(
		    status, "run of a task: expected at most 2^53");
	if (strlen(task->worker) >= FLEET_NAME_BYTES)
		return set_invalid(
		    status, "worker of a task: expected at most 200 bytes");
	if (!fleet_time_valid(task->incarnation_wall_ms))
		return set_invalid(
		    status, "incarnation of a worker: expected 0 to 2^43 ms");
	return IBIS_OK;
}

/* Tasks are in the order of their numbers, which are below limit. */
static enum ibis_code
check_tasks(const Ibis__OccurrenceProgress *occurrence, uint64_t limit,
    struct ibis_status *status)
{
	for (size_t i = 0; i < occurrence->n_tasks; i++) {
		const Ibis__TaskProgress *task = occurrence->tasks[i];

		if (i > 0 && task->number <= occurrence->tasks[i - 1]->number)
			return set_invalid(
			    status, "tasks: expected rising numbers");
		if (task->number >= limit)
			return set_invalid(status,
			    "tasks: expected numbers of tasks of the job");
		if (check_task(task, status) != IBIS_OK)
			return IBIS_INVALID;
	}
	return IBIS_OK;
}

/* Occurrences are in the order of their numbers, which are below limit. */
static enum ibis_code
check_occurrences(const Ibis__JobProgress *progress, uint32_t limit,
    uint64_t tasks_limit, struct ibis_status *status)
{
	uint32_t expected = progress->finished;

	for (size_t i = 0; i < progress->n_occurrences; i++) {
		const Ibis__OccurrenceProgress *occurrence =
		    progress->occurrences[i];

		if (occurrence->number < expected)
			return set_invalid(
			    status, "occurrences: expected rising numbers");
		if (occurrence->number >= limit)
			return set_invalid(status,
			    "occurrences: expected numbers below the job's "
			    "number of times");
		if (check_tasks(occurrence, tasks_limit, status) != IBIS_OK)
			return IBIS_INVALID;
		expected = occurrence->number + 1;
	}
	return IBIS_OK;
}

enum ibis_code
fleet_check_progress(const Ibis__StepJob *spec,
    const Ibis__JobProgress *progress, struct ibis_status *status)
{
	uint32_t times =
	    spec == NULL ? FLEET_MAX_OCCURRENCES : count_occurrences(spec);
	uint64_t tasks =
	    spec == NULL ? FLEET_MAX_TASKS : fleet_count_tasks(spec);

	switch (progress->phase) {
	case IBIS__STEP_JOB_PHASE__PHASE_PENDING:
	case IBIS__STEP_JOB_PHASE__PHASE_RUNNING:
	case IBIS__STEP_JOB_PHASE__PHASE_COMPLETED:
	case IBIS__STEP_JOB_PHASE__PHASE_FAILED:
	case IBIS__STEP_JOB_PHASE__PHASE_CANCELLED:
		break;
	default:
		return set_invalid(status, "phase: expected 0 to 4");
	}
	if (!fleet_time_valid(progress->ended_wall_ms))
		return set_invalid(
		    status, "time of the end: expected 0 to 2^43 ms");
	if (progress->finished >= times)
		return set_invalid(status,
		    "finished occurrences: expected fewer than the job's "
		    "number of times");
	return check_occurrences(progress, times, tasks, status);
}
