/*
 * Tasks that crash their workers. A task does so soon after its start, so a
 * crash is charged to the runs that had just begun on the worker. A task that
 * is charged is a suspect: it is tried again on a worker where nothing else has
 * just begun, and nothing else begins there until it has settled. A second
 * crash then shows which task is the cause, and its job is given up.
 *
 * Each member of a gang is charged for its own worker, but a gang is tried as a
 * whole.
 */
#include "fleet/fleet_model.h"
#include "process/alloc.h"

/* A run that is at work for this long after its start has settled: it is not
 * the cause of a later crash. */
#define SETTLE_MS 1000
/* Crashes after which a suspect is given up, if it was the only one once and
 * the last crash followed its start at once. */
#define CRASHES_TO_GIVE_UP 2
/* The same if that is not known, or workers are lost for other causes too. */
#define CRASHES_TO_GIVE_UP_IN_DOUBT 3
/* A worker that is missed within this time of a start crashed at once. */
#define AT_ONCE_MS 100
/* Runs lost with a worker after which a suspect is given up although no crash
 * is certain to be its own. */
#define MAX_EARLY_LOSSES 5
/* A worker that became silent without a run that had just begun shows an
 * outage for this time. */
#define OUTAGE_MS 5000

/* Tasks that begin together: all members of a gang, or one task. */
struct unit {
	struct fleet_task *tasks;
	uint32_t count;
};

static struct unit
unit_of(const struct fleet_task *task, const struct fleet_occurrence *in)
{
	if (!fleet_step_of(task)->gang)
		return (struct unit){&in->tasks[task->number], 1};
	return (struct unit){
	    fleet_step_tasks(in, task->step), fleet_step_of(task)->tasks};
}

static bool
same_unit(const struct fleet_task *a, const struct fleet_task *b)
{
	return unit_of(a, a->occurrence).tasks ==
	    unit_of(b, b->occurrence).tasks;
}

/* Returns the number of a task, or of its gang's first one. The occurrences of
 * a periodic job run the same tasks. */
static uint32_t
unit_number(const struct fleet_task *task)
{
	return fleet_step_of(task)->gang
	    ? task->occurrence->job->first_task[task->step]
	    : task->number;
}

void
fleet_set_losses(struct fleet_task *task, const struct fleet_losses *losses)
{
	struct fleet_job *job = task->occurrence->job;
	bool had_some = task->early_losses > 0;
	bool has_some = losses->early_losses > 0;

	if (has_some && job->early_losses == NULL)
		job->early_losses =
		    mem_calloc(job->tasks_count, sizeof(*job->early_losses));
	if (has_some && !had_some)
		job->early_losses[unit_number(task)]++;
	if (had_some && !has_some)
		job->early_losses[unit_number(task)]--;
	task->early_losses = losses->early_losses;
	task->crashes = losses->crashes;
	task->sole_crashes = losses->sole_crashes;
}

bool
fleet_is_suspect(const struct fleet_task *task)
{
	const struct fleet_job *job = task->occurrence->job;

	return job->early_losses != NULL &&
	    job->early_losses[unit_number(task)] > 0;
}

void
fleet_begin_run(struct fleet_task *task)
{
	task->begun = false;
	task->settled = false;
	task->isolated = fleet_is_suspect(task);
	task->worker->isolated_tasks += task->isolated;
}

void
fleet_end_isolation(struct fleet_task *task)
{
	if (!task->isolated)
		return;
	task->isolated = false;
	task->worker->isolated_tasks--;
}

/* Returns whether a task's run may still crash its worker. */
static bool
is_unsettled(const struct fleet_task *task)
{
	return !task->settled &&
	    (task->state == TASK_PLACED ||
		fleet_task_holds_resources(task->state));
}

bool
fleet_worker_has_unsettled(
    const struct fleet_worker *worker, const struct fleet_task *except)
{
	const struct fleet_task *task;

	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		if (is_unsettled(task) &&
		    (except == NULL || !same_unit(task, except)))
			return true;
	}
	return false;
}

bool
fleet_isolation_allows_start(const struct fleet_task *task)
{
	return !task->isolated ||
	    !fleet_worker_has_unsettled(task->worker, task);
}

/* Returns whether a run will show whether its task crashes workers: it is
 * isolated, or its worker may just have crashed. */
static bool
is_undecided(const struct fleet_task *task)
{
	return is_unsettled(task) &&
	    (task->isolated || !fleet_worker_answers(task->worker));
}

void
fleet_note_undecided(struct fleet *fleet, const struct fleet_task *task)
{
	const struct fleet_occurrence *occurrence = task->occurrence;
	struct fleet_job *job = occurrence->job;
	struct fleet_undecided *undecided;

	if (job->occurrences_count < 2 || !is_undecided(task))
		return;
	if (job->undecided == NULL)
		job->undecided =
		    mem_calloc(job->tasks_count, sizeof(*job->undecided));
	undecided = &job->undecided[unit_number(task)];
	if (undecided->round != fleet->rounds)
		*undecided = (struct fleet_undecided){
		    .round = fleet->rounds, .occurrence = occurrence->number};
	else if (undecided->occurrence != occurrence->number)
		undecided->several = true;
}

void
fleet_find_undecided(struct fleet *fleet)
{
	fleet->rounds++;
	for (size_t i = 0; i < fleet->workers.count; i++) {
		const struct fleet_worker *worker =
		    fleet->workers.items[i].item;
		const struct fleet_task *task;

		if (worker->isolated_tasks == 0 && fleet_worker_answers(worker))
			continue;
		cds_list_for_each_entry (task, &worker->tasks, on_worker)
			fleet_note_undecided(fleet, task);
	}
}

bool
fleet_waits_for_other_occurrence(
    const struct fleet *fleet, const struct fleet_task *task)
{
	const struct fleet_job *job = task->occurrence->job;
	const struct fleet_undecided *undecided;

	if (job->undecided == NULL)
		return false;
	undecided = &job->undecided[unit_number(task)];
	return undecided->round == fleet->rounds &&
	    (undecided->several ||
		undecided->occurrence != task->occurrence->number);
}

static bool
has_settled(const struct unit *unit)
{
	for (uint32_t i = 0; i < unit->count; i++) {
		if (!unit->tasks[i].settled)
			return false;
	}
	return true;
}

static void
clear_losses(struct fleet *fleet, struct fleet_task *task)
{
	if (task->early_losses == 0)
		return;
	fleet_set_losses(task, &(struct fleet_losses){0});
	fleet_mark_dirty(fleet, task->occurrence->job);
}

void
fleet_clear_suspicion(struct fleet *fleet, struct fleet_task *task)
{
	struct unit unit = unit_of(task, task->occurrence);

	for (uint32_t i = 0; i < unit.count; i++)
		clear_losses(fleet, &unit.tasks[i]);
}

void
fleet_settle_task(struct fleet *fleet, struct fleet_task *task, int64_t seen_ms)
{
	struct unit unit = unit_of(task, task->occurrence);

	if (task->settled || task->state != TASK_RUNNING ||
	    seen_ms - task->started_ms < SETTLE_MS)
		return;
	task->settled = true;
	if (task->worker->isolated_tasks > 0) {
		fleet->changed = true;
		fleet_wake_at(fleet, fleet->now_ms);
	}
	fleet_end_isolation(task);
	if (has_settled(&unit))
		fleet_clear_suspicion(fleet, task);
}

void
fleet_note_silence(
    struct fleet *fleet, const struct fleet_worker *worker, int64_t now_ms)
{
	if (!fleet_worker_has_unsettled(worker, NULL))
		fleet->outage_until_ms = now_ms + OUTAGE_MS;
}

/* Returns whether a run was lost before it had settled. */
static bool
is_lost_early(const struct fleet *fleet, const struct fleet_task *task,
    enum fleet_loss loss)
{
	if (!fleet_task_holds_resources(task->state) || task->settled)
		return false;
	return loss != FLEET_LOSS_RESTARTED ||
	    fleet_began_on_earlier_incarnation(fleet, task);
}

/* Returns whether a run was on its worker: it is known to have begun, or the
 * worker was gone right after the start was sent, and so before the answer. */
static bool
was_on_worker(const struct fleet_task *task)
{
	int64_t refused_ms = task->worker->refused_ms;

	return task->begun ||
	    (refused_ms != 0 && task->start_sent_ms != 0 &&
		refused_ms - task->start_sent_ms < AT_ONCE_MS);
}

/* Returns whether a loss shows that the worker has crashed under a run. */
static bool
is_certain(const struct fleet_task *task, enum fleet_loss loss)
{
	return loss != FLEET_LOSS_LEASE_EXPIRED && was_on_worker(task);
}

/* Returns whether a run has been charged with this loss or, if it is certain
 * now, was charged as certain. */
static bool
is_charged(const struct fleet_task *task, enum fleet_loss loss)
{
	return task->charged_run == task->run &&
	    (task->charged_crash || !is_certain(task, loss));
}

/* The runs that a loss may be charged to. */
struct suspects {
	const struct fleet_task *first; /* NULL: there are none */
	uint32_t runs;
	bool sole;    /* all are of one task or gang */
	bool charged; /* all have been charged with this loss before */
};

static struct suspects
find_suspects(const struct fleet *fleet, const struct fleet_worker *worker,
    enum fleet_loss loss)
{
	struct suspects suspects = {.sole = true, .charged = true};
	const struct fleet_task *task;

	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		if (!is_lost_early(fleet, task, loss))
			continue;
		if (suspects.first == NULL)
			suspects.first = task;
		suspects.runs++;
		suspects.sole &= same_unit(suspects.first, task);
		suspects.charged &= is_charged(task, loss);
	}
	return suspects;
}

/* Returns whether a task's worker was missed soon after its start. */
static bool
crashed_at_once(const struct fleet_task *task)
{
	return task->start_sent_ms != 0 && task->worker->missed_ms != 0 &&
	    task->worker->missed_ms - task->start_sent_ms < AT_ONCE_MS;
}

static bool
must_give_up(const struct fleet *fleet, const struct fleet_task *task)
{
	bool in_doubt = !crashed_at_once(task) ||
	    task->worker->missed_ms < fleet->outage_until_ms;
	uint32_t enough =
	    in_doubt ? CRASHES_TO_GIVE_UP_IN_DOUBT : CRASHES_TO_GIVE_UP;

	if (task->early_losses >= MAX_EARLY_LOSSES)
		return true;
	return task->crashes >= enough && task->sole_crashes > 0;
}

/* Charges a task for the loss of its run, once a run, and once more when the
 * crash becomes certain. */
static void
charge_task(struct fleet *fleet, struct fleet_task *task, bool sole,
    enum fleet_loss loss, int64_t now_ms)
{
	struct fleet_job *job = task->occurrence->job;
	bool certain = is_certain(task, loss);
	struct fleet_losses losses;

	if (is_charged(task, loss))
		return;
	losses = (struct fleet_losses){
	    .early_losses =
		task->early_losses + (task->charged_run != task->run),
	    .crashes = task->crashes + certain,
	    .sole_crashes = task->sole_crashes + (certain && sole),
	};
	fleet_set_losses(task, &losses);
	task->charged_run = task->run;
	task->charged_crash = certain;
	job->was_charged = true;
	fleet_mark_dirty(fleet, job);
	if (!must_give_up(fleet, task) || job->cancelled ||
	    fleet_job_final(job))
		return;
	job->phase = IBIS__STEP_JOB_PHASE__PHASE_FAILED;
	fleet_add_given_up_event(fleet, task);
	fleet_add_job_event(fleet, job, "failed", now_ms);
}

void
fleet_charge_loss(struct fleet *fleet, struct fleet_worker *worker,
    enum fleet_loss loss, int64_t now_ms)
{
	struct suspects suspects = find_suspects(fleet, worker, loss);
	struct fleet_task *task;

	if (suspects.first == NULL || suspects.charged)
		return;
	fleet_add_charged_loss_event(
	    fleet, worker, suspects.first, suspects.runs, loss, now_ms);
	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		if (is_lost_early(fleet, task, loss))
			charge_task(fleet, task, suspects.sole, loss, now_ms);
	}
}
