/*
 * Progress of running tasks: detects slow and stalled workers by the progress
 * that they report, and moves urgent tasks that would end earlier elsewhere.
 *
 * Members of a gang do the same amount of work, so their rates can be compared
 * between workers. A single task is compared with its own best rate.
 */
#include <string.h>

#include "fleet/fleet_model.h"

/* A rate sample spans at least this progress or this time. Workers report whole
 * percents, so that shorter spans would give mostly rounding errors. */
#define RATE_MIN_PERCENT     8
#define RATE_MIN_INTERVAL_MS 1500
/* After this time, little progress bounds a rate from above. */
#define BOUND_MIN_INTERVAL_MS 500
/* A member of a gang is slow if another one is more than this many times as
 * fast. */
#define SLOW_MEMBER_FACTOR 2
/* A task without progress for longer is stalled. */
#define STALL_TIMEOUT_MS 1500
/* Overhead of a move, without the work that is repeated. */
#define MOVE_COST_MS 600
/* A task moves only when its remaining time exceeds the time elsewhere by
 * this factor. */
#define MOVE_MIN_GAIN 1.5
/* Per task or gang. */
#define MAX_MOVES 2
/* Slowness from this factor on is considered transient, and expires after this
 * time without a new sample. */
#define TRANSIENT_SLOWNESS    2.0
#define TRANSIENT_SLOWNESS_MS 8000
#define FULL_PERCENT	      100
/* Weight of a new sample in the moving average of the slowness. */
#define SAMPLE_WEIGHT 0.5

double
fleet_slowness(const struct fleet_worker *worker, int64_t now_ms)
{
	if (worker->slowness == 0)
		return 1;
	if (worker->slowness >= TRANSIENT_SLOWNESS &&
	    now_ms - worker->slowness_ms > TRANSIENT_SLOWNESS_MS)
		return 1;
	return worker->slowness;
}

static void
update_slowness(struct fleet_worker *worker, double sample, int64_t now_ms)
{
	double before = fleet_slowness(worker, now_ms);

	if (worker->slowness == 0)
		before = sample;
	worker->slowness =
	    before * (1 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT;
	worker->slowness_ms = now_ms;
}

/* Returns the rate that a task with this rate would have in the rack of its
 * data. */
static double
to_local_rate(
    const struct fleet *fleet, const struct fleet_task *task, double rate)
{
	const char *rack = fleet_step_of(task)->data_rack;

	if (*rack == '\0' || strcmp(rack, task->worker->entry.rack) == 0)
		return rate;
	return rate * fleet->config.remote_factor;
}

static double
local_rate(const struct fleet *fleet, const struct fleet_task *task)
{
	return to_local_rate(fleet, task, task->rate);
}

/* Returns the gang's fastest running member, or NULL when no rate is known. */
static const struct fleet_task *
fastest_member(
    const struct fleet *fleet, const struct fleet_task *tasks, uint32_t count)
{
	const struct fleet_task *best = NULL;
	double best_rate = 0;

	for (uint32_t i = 0; i < count; i++) {
		double rate;

		if (tasks[i].state != TASK_RUNNING)
			continue;
		rate = local_rate(fleet, &tasks[i]);
		if (rate <= best_rate)
			continue;
		best = &tasks[i];
		best_rate = rate;
	}
	return best;
}

/* Updates a task's rate with the reported progress. Returns whether there is a
 * new rate. */
static bool
update_rate(struct fleet_task *task, int32_t percent, int64_t now_ms)
{
	int64_t passed_ms = now_ms - task->sample_ms;

	if (task->sample_ms == 0 || percent < task->sample_percent) {
		task->sample_ms = now_ms;
		task->sample_percent = percent;
		task->rate = 0;
		task->best_rate = 0;
		return false;
	}
	if (percent >= FULL_PERCENT)
		task->sample_percent = FULL_PERCENT;
	if (percent >= FULL_PERCENT || percent == task->sample_percent ||
	    (percent - task->sample_percent < RATE_MIN_PERCENT &&
		passed_ms < RATE_MIN_INTERVAL_MS))
		return false;
	task->rate =
	    (double)(percent - task->sample_percent) / (double)passed_ms;
	if (task->rate > task->best_rate)
		task->best_rate = task->rate;
	task->sample_ms = now_ms;
	task->sample_percent = percent;
	return true;
}

static bool
is_stalled(const struct fleet_task *task, int64_t now_ms)
{
	return task->sample_ms != 0 && task->sample_percent < FULL_PERCENT &&
	    now_ms - task->sample_ms > STALL_TIMEOUT_MS;
}

/* Returns the expected time until a task ends on its worker; INT64_MAX when it
 * is stalled, 0 when its rate is unknown. */
static int64_t
time_left(const struct fleet_task *task, int64_t now_ms)
{
	if (is_stalled(task, now_ms))
		return INT64_MAX;
	if (task->rate == 0 || task->percent >= FULL_PERCENT)
		return 0;
	return (int64_t)((FULL_PERCENT - task->percent) / task->rate);
}

/* Returns whether a task is expected to end earlier if it is moved to a worker
 * where it has the given rate. */
static bool
worth_moving(
    const struct fleet_task *task, double rate_elsewhere, int64_t now_ms)
{
	int64_t left_ms = time_left(task, now_ms);
	double elsewhere_ms;

	if (left_ms == INT64_MAX)
		return true;
	if (rate_elsewhere == 0)
		return false;
	elsewhere_ms = FULL_PERCENT / rate_elsewhere + MOVE_COST_MS;
	return (double)left_ms > elsewhere_ms * MOVE_MIN_GAIN;
}

static void
move_task(struct fleet *fleet, struct fleet_task *task, int64_t now_ms)
{
	struct fleet_task *first = fleet_step_of(task)->gang
	    ? fleet_step_tasks(task->occurrence, task->step)
	    : task;

	/* Jobs that are not urgent wait for the worker to recover. */
	if (task->occurrence->job->spec->priority > 0 ||
	    first->moves >= MAX_MOVES)
		return;
	first->moves++;
	update_slowness(task->worker, TRANSIENT_SLOWNESS * 2, now_ms);
	fleet_stop_gang_or_task(fleet, task,
	    is_stalled(task, now_ms) ? "stands still" : "slow worker", now_ms);
}

static bool
gang_is_running(const struct fleet_task *tasks, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		if (tasks[i].state != TASK_RUNNING || tasks[i].last_poll == 0)
			return false;
	}
	return true;
}

/* Returns the highest rate that a task without a rate sample can have by its
 * last report, in whole percents; 0: it has one, or no bound is known. A member
 * that has done its work waits for the others. */
static double
highest_rate(const struct fleet_task *task)
{
	int64_t passed_ms = task->percent_ms - task->sample_ms;

	if (task->rate > 0 || task->sample_ms == 0 ||
	    task->percent >= FULL_PERCENT || passed_ms < BOUND_MIN_INTERVAL_MS)
		return 0;
	return (double)(task->percent - task->sample_percent + 1) /
	    (double)passed_ms;
}

/* Gives the members of a gang that are slow, and have made too little progress
 * for a rate sample, the highest rate that they can have. Returns one of them,
 * or NULL. */
static struct fleet_task *
find_slow_member(const struct fleet *fleet, struct fleet_task *tasks,
    uint32_t count, double best_rate)
{
	struct fleet_task *slow = NULL;

	for (uint32_t i = 0; i < count; i++) {
		double rate = highest_rate(&tasks[i]);

		if (rate == 0 ||
		    to_local_rate(fleet, &tasks[i], rate) *
			    SLOW_MEMBER_FACTOR >=
			best_rate)
			continue;
		tasks[i].rate = rate;
		slow = &tasks[i];
	}
	return slow;
}

static void
check_gang(struct fleet *fleet, struct fleet_task *task, bool rate_updated,
    int64_t now_ms)
{
	const Ibis__JobStep *step = fleet_step_of(task);
	struct fleet_task *tasks =
	    fleet_step_tasks(task->occurrence, task->step);
	const struct fleet_task *best;
	struct fleet_task *slow;
	double best_rate = 0;

	if (!gang_is_running(tasks, step->tasks)) {
		/* The gang has not started to work yet: begin a new sample. */
		task->sample_ms = now_ms;
		task->sample_percent = task->percent;
		return;
	}
	best = fastest_member(fleet, tasks, step->tasks);
	if (best != NULL)
		best_rate = local_rate(fleet, best);
	slow = find_slow_member(fleet, tasks, step->tasks, best_rate);
	if (slow != NULL) {
		task = slow;
		rate_updated = true;
	}
	if (best != NULL && rate_updated)
		update_slowness(task->worker,
		    best_rate / local_rate(fleet, task) *
			fleet_slowness(best->worker, now_ms),
		    now_ms);
	/* Assume the same distance to the data on another worker. */
	if (task->rate > 0)
		best_rate *= task->rate / local_rate(fleet, task);
	if (worth_moving(task, best_rate, now_ms))
		move_task(fleet, task, now_ms);
}

void
fleet_update_progress(struct fleet *fleet, struct fleet_task *task,
    int32_t percent, int64_t now_ms)
{
	const Ibis__JobStep *step = fleet_step_of(task);
	bool rate_updated;

	task->percent = percent;
	task->percent_ms = now_ms;
	if (step->lasting || step->fills || task->state != TASK_RUNNING)
		return;
	rate_updated = update_rate(task, percent, now_ms);
	if (step->gang) {
		check_gang(fleet, task, rate_updated, now_ms);
	} else if (worth_moving(
		       task, task->rate == 0 ? 0 : task->best_rate, now_ms)) {
		move_task(fleet, task, now_ms);
	}
}
