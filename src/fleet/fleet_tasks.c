/* Tasks: the resources they need, their states and the ends of their runs. */
#include <string.h>

#include "fleet/fleet_quota.h"
#include "process/alloc.h"

struct fleet_resources
fleet_step_need(const Ibis__JobStep *step)
{
	return (struct fleet_resources){
	    /* Steps with this flag use only CPU time that others leave. */
	    .cpu_milli = step->fills ? 0 : step->cpu_milli,
	    .memory_mb = step->memory_mb,
	    .accelerators = step->accelerators,
	};
}

void
fleet_resources_add(
    struct fleet_resources *resources, const struct fleet_resources *added)
{
	resources->cpu_milli += added->cpu_milli;
	resources->memory_mb += added->memory_mb;
	resources->accelerators += added->accelerators;
}

void
fleet_resources_subtract(
    struct fleet_resources *resources, const struct fleet_resources *used)
{
	resources->cpu_milli -= used->cpu_milli;
	resources->memory_mb -= used->memory_mb;
	resources->accelerators -= used->accelerators;
}

struct fleet_resources
fleet_resources_remaining(
    const struct fleet_resources *all, const struct fleet_resources *used)
{
	struct fleet_resources left = *all;

	fleet_resources_subtract(&left, used);
	return left;
}

struct fleet_resources
fleet_resources_times(const struct fleet_resources *need, uint32_t count)
{
	return (struct fleet_resources){
	    .cpu_milli = need->cpu_milli * count,
	    .memory_mb = need->memory_mb * count,
	    .accelerators = need->accelerators * count,
	};
}

static int64_t
fits_by(int64_t left, int64_t need, int64_t limit)
{
	if (need <= 0)
		return limit;
	if (left < need)
		return 0;
	return left / need < limit ? left / need : limit;
}

bool
fleet_resources_exceeded(const struct fleet_resources *left)
{
	return left->cpu_milli < 0 || left->memory_mb < 0 ||
	    left->accelerators < 0;
}

uint32_t
fleet_resources_fit(const struct fleet_resources *left,
    const struct fleet_resources *need, uint32_t limit)
{
	int64_t fits = limit;

	/* Where more is in use than there is, nothing may be added. */
	if (fleet_resources_exceeded(left))
		return 0;
	fits = fits_by(left->cpu_milli, need->cpu_milli, fits);
	fits = fits_by(left->memory_mb, need->memory_mb, fits);
	fits = fits_by(left->accelerators, need->accelerators, fits);
	return (uint32_t)fits;
}

static double
part(int64_t need, int64_t all)
{
	return need <= 0 ? 0 : (double)need / (double)(all > 0 ? all : need);
}

double
fleet_resources_part(
    const struct fleet_resources *need, const struct fleet_resources *all)
{
	double cpu = part(need->cpu_milli, all->cpu_milli);
	double memory = part(need->memory_mb, all->memory_mb);
	double accelerators = part(need->accelerators, all->accelerators);
	double largest = cpu > memory ? cpu : memory;

	return accelerators > largest ? accelerators : largest;
}

const Ibis__JobStep *
fleet_step_of(const struct fleet_task *task)
{
	return task->occurrence->job->spec->steps[task->step];
}

struct fleet_resources
fleet_task_need(const struct fleet_task *task)
{
	return fleet_step_need(fleet_step_of(task));
}

struct fleet_task *
fleet_step_tasks(const struct fleet_occurrence *occurrence, uint32_t step)
{
	return &occurrence->tasks[occurrence->job->first_task[step]];
}

bool
fleet_same_task(const struct fleet_task_id *a, const struct fleet_task_id *b)
{
	return a->occurrence == b->occurrence && a->step == b->step &&
	    a->index == b->index && strcmp(a->job, b->job) == 0;
}

void
fleet_task_id(const struct fleet_task *task, struct fleet_task_id *id)
{
	*id = (struct fleet_task_id){
	    .occurrence = task->occurrence->number,
	    .step = task->step,
	    .index = task->index,
	};
	STRING_COPY(id->job, task->occurrence->job->id);
}

/* Returns an open occurrence, or NULL. They are sorted by number. */
static struct fleet_occurrence *
find_occurrence(const struct fleet_job *job, uint32_t number)
{
	size_t low = 0;
	size_t high = job->occurrences_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (job->occurrences[middle]->number < number)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == job->occurrences_count ||
	    job->occurrences[low]->number != number)
		return NULL;
	return job->occurrences[low];
}

struct fleet_task *
fleet_find_task(const struct fleet *fleet, const struct fleet_task_id *id)
{
	struct fleet_job *job = name_index_get(&fleet->jobs, id->job);
	struct fleet_occurrence *occurrence;

	if (job == NULL || id->step >= job->spec->n_steps ||
	    id->index >= job->spec->steps[id->step]->tasks)
		return NULL;
	occurrence = find_occurrence(job, id->occurrence);
	return occurrence == NULL
	    ? NULL
	    : &fleet_step_tasks(occurrence, id->step)[id->index];
}

bool
fleet_task_is_committed(enum fleet_task_state state)
{
	return state == TASK_PLACED || state == TASK_SENT ||
	    state == TASK_RUNNING;
}

const char *
fleet_state_name(enum fleet_task_state state)
{
	switch (state) {
	case TASK_WAITING:
		return "waiting";
	case TASK_PLACED:
		return "placed";
	case TASK_SENT:
		return "sent";
	case TASK_RUNNING:
		return "running";
	case TASK_STOPPING:
		return "stopping";
	case TASK_DONE:
		return "done";
	}
	return "";
}

bool
fleet_task_holds_resources(enum fleet_task_state state)
{
	return state == TASK_SENT || state == TASK_RUNNING ||
	    state == TASK_STOPPING;
}

static bool
has_begun(const struct fleet_occurrence *occurrence)
{
	return occurrence->waiting < occurrence->tasks_count;
}

/* Updates the counts of an occurrence and its job for a task's new state. */
static void
count_states(const struct fleet_task *task, enum fleet_task_state state)
{
	struct fleet_occurrence *occurrence = task->occurrence;
	struct fleet_job *job = occurrence->job;

	job->unbegun -= !has_begun(occurrence);
	occurrence->waiting -= task->state == TASK_WAITING;
	occurrence->waiting += state == TASK_WAITING;
	job->unbegun += !has_begun(occurrence);
	occurrence->placed -= task->state == TASK_PLACED;
	occurrence->placed += state == TASK_PLACED;
	job->placed -= task->state == TASK_PLACED;
	job->placed += state == TASK_PLACED;
	occurrence->unfinished[task->step] += task->state == TASK_DONE;
	occurrence->unfinished[task->step] -= state == TASK_DONE;
}

void
fleet_set_state(struct fleet_task *task, enum fleet_task_state state)
{
	struct fleet_resources need = fleet_task_need(task);

	count_states(task, state);
	if (task->worker != NULL) {
		fleet_quota_note_state(task, task->state, state);
		task->worker->stopping -= task->state == TASK_STOPPING;
		task->worker->stopping += state == TASK_STOPPING;
		if (fleet_task_is_committed(task->state))
			fleet_resources_subtract(
			    &task->worker->committed, &need);
		if (fleet_task_holds_resources(task->state))
			fleet_resources_subtract(
			    &task->worker->occupied, &need);
		if (fleet_task_is_committed(state))
			fleet_resources_add(&task->worker->committed, &need);
		if (fleet_task_holds_resources(state))
			fleet_resources_add(&task->worker->occupied, &need);
	}
	task->state = state;
}

void
fleet_detach_task(struct fleet_task *task, enum fleet_task_state state)
{
	fleet_set_state(task, state);
	if (task->worker == NULL)
		return;
	fleet_end_isolation(task);
	cds_list_del(&task->on_worker);
	task->worker = NULL;
	task->occurrence->job->assigned--;
}

void
fleet_assign_task(struct fleet_task *task, struct fleet_worker *worker)
{
	task->worker = worker;
	cds_list_add_tail(&task->on_worker, &worker->tasks);
	task->occurrence->job->assigned++;
}

void
fleet_place_task(struct fleet *fleet, struct fleet_task *task,
    struct fleet_worker *worker, int64_t now_ms)
{
	fleet_assign_task(task, worker);
	task->run++;
	task->placed_ms = now_ms;
	task->started_ms = now_ms;
	task->stop_sent_ms = 0;
	task->stop_reason = NULL;
	task->visible_from_ms = INT64_MAX;
	task->percent = 0;
	task->percent_ms = now_ms;
	task->sample_ms = 0;
	task->rate = 0;
	task->best_rate = 0;
	task->last_poll = 0;
	task->placed_incarnation_wall_ms = worker->incarnation_wall_ms;
	fleet_begin_run(task);
	fleet_set_state(task, TASK_PLACED);
	fleet_mark_dirty(fleet, task->occurrence->job);
	task->placed_generation = fleet->generation;
}

void
fleet_stop_task(struct fleet *fleet, struct fleet_task *task,
    const char *reason, int64_t now_ms)
{
	switch (task->state) {
	case TASK_PLACED:
		fleet_detach_task(task, TASK_WAITING);
		fleet_mark_dirty(fleet, task->occurrence->job);
		break;
	case TASK_SENT:
	case TASK_RUNNING:
		task->visible_from_ms = INT64_MAX;
		task->stop_sent_ms = 0;
		task->stop_reason = reason;
		fleet_set_state(task, TASK_STOPPING);
		break;
	case TASK_WAITING:
	case TASK_STOPPING:
	case TASK_DONE:
		return;
	}
	fleet->changed = true;
	fleet_wake_at(fleet, now_ms);
}

void
fleet_stop_gang_or_task(struct fleet *fleet, struct fleet_task *task,
    const char *reason, int64_t now_ms)
{
	const Ibis__JobStep *step = fleet_step_of(task);
	struct fleet_task *tasks;

	if (!step->gang) {
		fleet_stop_task(fleet, task, reason, now_ms);
		return;
	}
	tasks = fleet_step_tasks(task->occurrence, task->step);
	for (uint32_t i = 0; i < step->tasks; i++)
		fleet_stop_task(fleet, &tasks[i], reason, now_ms);
}

/* Returns the task that stores the checkpoint: the first one of a gang. */
static struct fleet_task *
checkpoint_owner(struct fleet_task *task)
{
	if (!fleet_step_of(task)->gang)
		return task;
	return fleet_step_tasks(task->occurrence, task->step);
}

void
fleet_set_checkpoint(struct fleet_task *task, const char *checkpoint)
{
	struct fleet_task *owner = checkpoint_owner(task);

	if (checkpoint == NULL || *checkpoint == '\0')
		return;
	if (owner->checkpoint != NULL &&
	    strcmp(owner->checkpoint, checkpoint) == 0)
		return;
	mem_free(owner->checkpoint);
	owner->checkpoint = mem_strdup(checkpoint);
}

const char *
fleet_checkpoint(const struct fleet_task *task)
{
	const struct fleet_task *owner = task;

	if (fleet_step_of(task)->gang)
		owner = fleet_step_tasks(task->occurrence, task->step);
	return owner->checkpoint == NULL ? "" : owner->checkpoint;
}

static void
finish_task(struct fleet *fleet, struct fleet_task *task, int64_t now_ms)
{
	if (task->state == TASK_DONE)
		return;
	fleet_resolve_start(fleet, task, "done", now_ms);
	fleet_add_task_event(fleet, task, FLEET_EVENT_RUN_ENDED, "done",
	    task->started_ms, now_ms);
	fleet_detach_task(task, TASK_DONE);
	fleet_clear_suspicion(fleet, task);
	task->ended_ms = now_ms;
	task->occurrence->done++;
}

/* The end of one member of a gang completes all. The others' runs hold their
 * resources until their workers report these ends, which they do without a
 * stop, so that a stop is due only after FLEET_GANG_END_WINDOW_MS. */
static void
finish_gang(struct fleet *fleet, struct fleet_task *ended, int64_t now_ms)
{
	struct fleet_task *tasks =
	    fleet_step_tasks(ended->occurrence, ended->step);

	for (uint32_t i = 0; i < fleet_step_of(ended)->tasks; i++) {
		if (&tasks[i] != ended)
			fleet_orphan_run(fleet, &tasks[i], "gang ended",
			    now_ms + FLEET_GANG_END_WINDOW_MS);
		finish_task(fleet, &tasks[i], now_ms);
	}
}

void
fleet_complete_task(
    struct fleet *fleet, struct fleet_task *task, int64_t now_ms)
{
	const Ibis__JobStep *step = fleet_step_of(task);

	if (step->lasting) {
		fleet_requeue_task(fleet, task, "done", NULL, now_ms);
		return;
	}
	if (step->gang)
		finish_gang(fleet, task, now_ms);
	else
		finish_task(fleet, task, now_ms);
	fleet_mark_dirty(fleet, task->occurrence->job);
	fleet_wake_at(fleet, now_ms);
}

void
fleet_requeue_task(struct fleet *fleet, struct fleet_task *task,
    const char *outcome, const char *checkpoint, int64_t now_ms)
{
	fleet_resolve_start(fleet, task, outcome, now_ms);
	fleet_add_task_event(fleet, task, FLEET_EVENT_RUN_ENDED, outcome,
	    task->started_ms, now_ms);
	fleet_set_checkpoint(task, checkpoint);
	task->waiting_since_ms = now_ms;
	fleet_detach_task(task, TASK_WAITING);
	if (fleet_step_of(task)->gang)
		fleet_stop_gang_or_task(fleet, task, "gang", now_ms);
	fleet_mark_dirty(fleet, task->occurrence->job);
	fleet_wake_at(fleet, now_ms);
}

/* Counts a failed run. The members of a gang share their run, which counts
 * once however many of them fail. */
static void
count_failed_run(struct fleet_task *counted, uint64_t run)
{
	if (counted->failed_run == run)
		return;
	counted->failed_run = run;
	counted->failures++;
}

void
fleet_fail_task(struct fleet *fleet, struct fleet_task *task, int64_t now_ms)
{
	struct fleet_job *job = task->occurrence->job;
	struct fleet_task *counted = task;

	if (fleet_step_of(task)->gang)
		counted = fleet_step_tasks(task->occurrence, task->step);
	if (!fleet_step_of(task)->lasting)
		count_failed_run(counted, task->run);
	fleet_requeue_task(fleet, task, "failed", NULL, now_ms);
	if (counted->failures >= job->spec->attempts && !fleet_job_final(job) &&
	    !fleet_step_of(task)->lasting) {
		job->phase = IBIS__STEP_JOB_PHASE__PHASE_FAILED;
		fleet_add_job_event(fleet, job, "failed", now_ms);
	}
}
