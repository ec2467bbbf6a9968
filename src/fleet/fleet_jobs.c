/* Jobs: their occurrences, phases and progress records. */
#include <string.h>

#include "fleet/fleet_model.h"
#include "fleet/fleet_objective.h"
#include "process/alloc.h"
#include "process/buffer.h"
#include "process/proto_memory.h"

/* Occurrences that have not begun all need the same, so that a few of them show
 * whether there is room; each further one only lengthens the walks of a
 * decision. So no more are open than have this many tasks together, or one. */
#define UNBEGUN_TASKS 256

bool
fleet_job_final(const struct fleet_job *job)
{
	return job->phase == IBIS__STEP_JOB_PHASE__PHASE_COMPLETED ||
	    job->phase == IBIS__STEP_JOB_PHASE__PHASE_FAILED ||
	    job->phase == IBIS__STEP_JOB_PHASE__PHASE_CANCELLED;
}

void
fleet_mark_dirty(struct fleet *fleet, struct fleet_job *job)
{
	fleet->generation++;
	fleet->changed = true;
	if (job->dirty)
		return;
	job->dirty = true;
	job->dirty_generation = fleet->generation;
	cds_list_add_tail(&job->unrecorded, &fleet->unrecorded);
}

static void
deactivate(struct fleet_job *job)
{
	if (!job->is_active)
		return;
	cds_list_del(&job->active);
	job->is_active = false;
}

void
fleet_drop_inactive_jobs(struct fleet *fleet)
{
	struct fleet_job *job;
	struct fleet_job *next;

	cds_list_for_each_entry_safe (job, next, &fleet->active, active) {
		if (fleet_job_final(job) && job->assigned == 0)
			deactivate(job);
	}
}

static uint32_t
total_occurrences(const Ibis__StepJob *spec)
{
	return spec->times == 0 ? 1 : spec->times;
}

static struct fleet_occurrence *
open_occurrence(struct fleet_job *job, uint32_t number, int64_t now_ms)
{
	struct fleet_occurrence *occurrence =
	    mem_calloc(1, sizeof(*occurrence));
	uint32_t next = 0;

	occurrence->job = job;
	occurrence->number = number;
	occurrence->ready_ms = now_ms;
	occurrence->tasks_count = job->tasks_count;
	occurrence->waiting = job->tasks_count;
	occurrence->unfinished =
	    mem_calloc(job->spec->n_steps, sizeof(*occurrence->unfinished));
	occurrence->tasks =
	    mem_calloc(job->tasks_count, sizeof(*occurrence->tasks));
	for (uint32_t step = 0; step < job->spec->n_steps; step++) {
		occurrence->unfinished[step] = job->spec->steps[step]->tasks;
		for (uint32_t i = 0; i < job->spec->steps[step]->tasks; i++) {
			occurrence->tasks[next] = (struct fleet_task){
			    .occurrence = occurrence,
			    .number = next,
			    .step = step,
			    .index = i,
			    .visible_from_ms = INT64_MAX,
			};
			next++;
		}
	}
	job->occurrences =
	    mem_grow(job->occurrences, &job->occurrences_capacity,
		job->occurrences_count + 1, sizeof(struct fleet_occurrence *));
	job->occurrences[job->occurrences_count++] = occurrence;
	job->unbegun++;
	if (job->next_occurrence <= number)
		job->next_occurrence = number + 1;
	return occurrence;
}

static void
free_occurrence(struct fleet_occurrence *occurrence)
{
	for (uint32_t i = 0; i < occurrence->tasks_count; i++) {
		fleet_detach_task(&occurrence->tasks[i], TASK_DONE);
		fleet_set_losses(
		    &occurrence->tasks[i], &(struct fleet_losses){0});
		mem_free(occurrence->tasks[i].checkpoint);
	}
	mem_free(occurrence->tasks);
	mem_free(occurrence->unfinished);
	mem_free(occurrence);
}

/* Returns whether a job has another occurrence, the record of its progress has
 * room for that, and few others wait to begin. */
static bool
may_open_occurrence(const struct fleet *fleet, const struct fleet_job *job)
{
	uint64_t tasks = job->tasks_count;
	uint64_t limit = fleet->config.max_open_tasks == 0
	    ? FLEET_MAX_TASKS
	    : fleet->config.max_open_tasks;

	if (job->cancelled || fleet_job_final(job) ||
	    job->next_occurrence >= total_occurrences(job->spec))
		return false;
	if (job->unbegun > 0 && tasks * (job->unbegun + 1) > UNBEGUN_TASKS)
		return false;
	return job->occurrences_count == 0 ||
	    tasks * (job->occurrences_count + 1) <= limit;
}

/* Returns when a job's next occurrence is due. */
static int64_t
next_due_wall_ms(const struct fleet_job *job)
{
	if (job->spec->times == 0)
		return 0;
	return job->spec->first_wall_ms +
	    (int64_t)job->next_occurrence * job->spec->interval_ms;
}

void
fleet_open_due_occurrences(struct fleet *fleet, int64_t now_ms, int64_t wall_ms)
{
	struct fleet_job *job;

	cds_list_for_each_entry (job, &fleet->active, active) {
		while (may_open_occurrence(fleet, job)) {
			int64_t due_ms = next_due_wall_ms(job);

			if (due_ms > wall_ms) {
				fleet_wake_at(fleet, now_ms + due_ms - wall_ms);
				break;
			}
			(void)open_occurrence(
			    job, job->next_occurrence, now_ms);
			fleet->changed = true;
		}
	}
}

void
fleet_wake_for_due_occurrences(
    struct fleet *fleet, int64_t now_ms, int64_t wall_ms)
{
	const struct fleet_job *job;

	cds_list_for_each_entry (job, &fleet->active, active) {
		if (may_open_occurrence(fleet, job) &&
		    next_due_wall_ms(job) <= wall_ms)
			fleet_wake_at(fleet, now_ms);
	}
}

/* Restores a task from its record. A run that was placed is treated as running
 * until its worker answers or the lease expires. */
static void
restore_task(struct fleet *fleet, struct fleet_task *task,
    const Ibis__TaskProgress *progress, int64_t now_ms)
{
	struct fleet_losses losses;
	struct fleet_worker *worker;

	task->run = progress->run;
	task->failures = progress->failures;
	task->failed_run = progress->failed_run;
	losses = (struct fleet_losses){
	    .early_losses = progress->early_losses,
	    .crashes = progress->crashes,
	    .sole_crashes = progress->sole_crashes,
	};
	fleet_set_losses(task, &losses);
	task->occurrence->job->was_charged |= task->early_losses > 0;
	task->placed_incarnation_wall_ms = progress->incarnation_wall_ms;
	fleet_set_checkpoint(task, progress->checkpoint);
	if (progress->done) {
		fleet_set_state(task, TASK_DONE);
		task->occurrence->done++;
		return;
	}
	if (*progress->worker == '\0')
		return;
	worker = fleet_find_worker(fleet, progress->worker);
	if (worker == NULL) {
		struct fleet_worker_entry entry = {.id = progress->worker};

		worker = fleet_set_worker(fleet, &entry, now_ms);
		worker->listed = false;
	}
	fleet_assign_task(task, worker);
	fleet_begin_run(task);
	fleet_set_state(task, TASK_RUNNING);
	task->started_ms = now_ms;
	task->visible_from_ms = now_ms;
}

static void
restore_progress(struct fleet *fleet, struct fleet_job *job,
    const Ibis__JobProgress *progress, int64_t now_ms)
{
	job->phase = progress->phase;
	job->finished = progress->finished;
	job->next_occurrence = progress->finished;
	job->ended_wall_ms = progress->ended_wall_ms;
	if (fleet_job_final(job))
		job->next_occurrence = total_occurrences(job->spec);
	for (size_t i = 0; i < progress->n_occurrences; i++) {
		const Ibis__OccurrenceProgress *recorded =
		    progress->occurrences[i];
		struct fleet_occurrence *occurrence =
		    open_occurrence(job, recorded->number, now_ms);

		for (size_t j = 0; j < recorded->n_tasks; j++) {
			uint32_t number = recorded->tasks[j]->number;

			if (number < occurrence->tasks_count)
				restore_task(fleet, &occurrence->tasks[number],
				    recorded->tasks[j], now_ms);
		}
	}
}

struct fleet_job *
fleet_add_job(struct fleet *fleet, const char *id, Ibis__StepJob *spec,
    const Ibis__JobProgress *progress, uint64_t progress_revision,
    int64_t now_ms)
{
	struct fleet_job *job = mem_calloc(1, sizeof(*job));

	STRING_COPY(job->id, id);
	if (!name_index_add(&fleet->jobs, job->id, job)) {
		mem_free(job);
		return NULL;
	}
	job->spec = spec;
	job->workspace = fleet_workspace(fleet, spec->workspace);
	job->orphans = fleet_count_orphans(fleet, job->id);
	job->revision = progress_revision;
	job->accepted_ms = now_ms;
	job->first_task =
	    mem_calloc(spec->n_steps + 1, sizeof(*job->first_task));
	for (size_t i = 0; i < spec->n_steps; i++) {
		job->first_task[i] = job->tasks_count;
		job->tasks_count += spec->steps[i]->tasks;
	}
	job->chain_ms = mem_calloc(spec->n_steps + 1, sizeof(*job->chain_ms));
	job->longest_ms = fleet_objective_chains(spec, job->chain_ms);
	job->objective_ms = fleet_objective_ms(spec, job->longest_ms);
	if (progress != NULL)
		restore_progress(fleet, job, progress, now_ms);
	job->is_active = true;
	cds_list_add_tail(&job->active, &fleet->active);
	fleet->changed = true;
	fleet_wake_at(fleet, now_ms);
	return job;
}

struct fleet_job *
fleet_find_job(const struct fleet *fleet, const char *id)
{
	return name_index_get(&fleet->jobs, id);
}

const char *
fleet_job_id(const struct fleet_job *job)
{
	return job->id;
}

Ibis__StepJobPhase
fleet_job_phase(const struct fleet_job *job)
{
	return job->phase;
}

void
fleet_cancel_job(struct fleet *fleet, struct fleet_job *job, int64_t now_ms)
{
	if (job->cancelled || fleet_job_final(job))
		return;
	job->cancelled = true;
	for (size_t i = 0; i < job->occurrences_count; i++) {
		for (uint32_t j = 0; j < job->tasks_count; j++)
			fleet_stop_task(fleet, &job->occurrences[i]->tasks[j],
			    "cancelled", now_ms);
	}
	job->phase = IBIS__STEP_JOB_PHASE__PHASE_CANCELLED;
	fleet_add_job_event(fleet, job, "cancelled", now_ms);
	fleet_mark_dirty(fleet, job);
	fleet_wake_at(fleet, now_ms);
}

static void
free_job(struct fleet_job *job)
{
	for (size_t i = 0; i < job->occurrences_count; i++)
		free_occurrence(job->occurrences[i]);
	mem_free(job->occurrences);
	mem_free(job->first_task);
	mem_free(job->chain_ms);
	mem_free(job->early_losses);
	mem_free(job->undecided);
	ibis__step_job__free_unpacked(job->spec, proto_allocator());
	mem_free(job);
}

/* Takes all runs from a job's tasks. They are stopped. */
static void
orphan_runs(struct fleet *fleet, struct fleet_job *job)
{
	for (size_t i = 0; i < job->occurrences_count; i++) {
		for (uint32_t j = 0; j < job->tasks_count; j++) {
			struct fleet_task *task =
			    &job->occurrences[i]->tasks[j];

			fleet_orphan_run(
			    fleet, task, "job removed", fleet->now_ms);
			fleet_detach_task(task, TASK_DONE);
		}
	}
}

void
fleet_remove_job(struct fleet *fleet, struct fleet_job *job)
{
	orphan_runs(fleet, job);
	(void)name_index_remove(&fleet->jobs, job->id);
	deactivate(job);
	if (job->dirty)
		cds_list_del(&job->unrecorded);
	job->dirty = false;
	if (job->writing)
		job->removed = true;
	else
		free_job(job);
}

bool
fleet_step_ready(const struct fleet_occurrence *occurrence, uint32_t step)
{
	const Ibis__JobStep *wanted = occurrence->job->spec->steps[step];

	for (size_t i = 0; i < wanted->n_after; i++) {
		if (occurrence->unfinished[wanted->after[i]] > 0)
			return false;
	}
	return true;
}

static void
complete_job(struct fleet *fleet, struct fleet_job *job)
{
	job->phase = IBIS__STEP_JOB_PHASE__PHASE_COMPLETED;
	fleet_add_job_event(fleet, job, "completed", fleet->now_ms);
}

/* Frees completed occurrences in order and updates the phase. The last
 * occurrence is kept, and completes the job when it is done. */
static void
update_finished(struct fleet *fleet, struct fleet_job *job)
{
	size_t kept = 0;

	for (size_t i = 0; i < job->occurrences_count; i++) {
		struct fleet_occurrence *occurrence = job->occurrences[i];

		if (occurrence->done == occurrence->tasks_count &&
		    occurrence->number == job->finished &&
		    job->finished + 1 < total_occurrences(job->spec)) {
			job->finished++;
			free_occurrence(occurrence);
		} else {
			job->occurrences[kept++] = occurrence;
		}
	}
	job->occurrences_count = kept;
	if (fleet_job_final(job))
		return;
	if (job->finished + 1 == total_occurrences(job->spec) && kept == 1 &&
	    job->occurrences[0]->done == job->tasks_count)
		complete_job(fleet, job);
	else if (kept > 0 || job->finished > 0)
		job->phase = IBIS__STEP_JOB_PHASE__PHASE_RUNNING;
}

/* Returns whether a task has progress to record. */
static bool
has_progress(const struct fleet_task *task)
{
	return task->run > 0 || task->failures > 0;
}

static void
init_task_progress(const struct fleet_task *task, Ibis__TaskProgress *progress)
{
	ibis__task_progress__init(progress);
	progress->number = task->number;
	progress->run = task->run;
	progress->failures = task->failures;
	progress->failed_run = task->failed_run;
	progress->early_losses = task->early_losses;
	progress->crashes = task->crashes;
	progress->sole_crashes = task->sole_crashes;
	progress->done = task->state == TASK_DONE;
	if (task->worker != NULL) {
		progress->worker = (char *)task->worker->entry.id;
		progress->incarnation_wall_ms =
		    task->placed_incarnation_wall_ms;
	}
	if (task->checkpoint != NULL && !progress->done)
		progress->checkpoint = task->checkpoint;
}

static void
init_occurrence_progress(const struct fleet_occurrence *occurrence,
    Ibis__OccurrenceProgress *progress)
{
	ibis__occurrence_progress__init(progress);
	progress->number = occurrence->number;
	progress->tasks =
	    mem_calloc(occurrence->tasks_count, sizeof(*progress->tasks));
	for (uint32_t i = 0; i < occurrence->tasks_count; i++) {
		if (!has_progress(&occurrence->tasks[i]))
			continue;
		progress->tasks[progress->n_tasks] =
		    mem_calloc(1, sizeof(Ibis__TaskProgress));
		init_task_progress(&occurrence->tasks[i],
		    progress->tasks[progress->n_tasks++]);
	}
}

static void
free_progress(Ibis__JobProgress *progress)
{
	for (size_t i = 0; i < progress->n_occurrences; i++) {
		Ibis__OccurrenceProgress *occurrence = progress->occurrences[i];

		for (size_t j = 0; j < occurrence->n_tasks; j++)
			mem_free(occurrence->tasks[j]);
		mem_free(occurrence->tasks);
		mem_free(occurrence);
	}
	mem_free(progress->occurrences);
}

void
fleet_pack_progress(
    const struct fleet_job *job, int64_t wall_ms, struct buffer *packed)
{
	Ibis__JobProgress progress;

	ibis__job_progress__init(&progress);
	progress.phase = job->phase;
	progress.finished = job->finished;
	if (fleet_job_final(job))
		progress.ended_wall_ms =
		    job->ended_wall_ms == 0 ? wall_ms : job->ended_wall_ms;
	progress.occurrences = mem_calloc(
	    job->occurrences_count + 1, sizeof(*progress.occurrences));
	for (size_t i = 0; i < job->occurrences_count; i++) {
		progress.occurrences[i] =
		    mem_calloc(1, sizeof(Ibis__OccurrenceProgress));
		init_occurrence_progress(
		    job->occurrences[i], progress.occurrences[i]);
	}
	progress.n_occurrences = job->occurrences_count;
	proto_pack(&progress.base, packed);
	free_progress(&progress);
}

bool
fleet_has_unrecorded(const struct fleet *fleet, size_t count)
{
	const struct fleet_job *job;
	size_t found = 0;

	cds_list_for_each_entry (job, &fleet->unrecorded, unrecorded) {
		if (found == count)
			break;
		found += !job->writing;
	}
	return found >= count;
}

struct fleet_job *
fleet_take_unrecorded(struct fleet *fleet)
{
	struct fleet_job *job;

	if (fleet->writing_count == COUNT_OF(fleet->writing))
		return NULL;
	cds_list_for_each_entry (job, &fleet->unrecorded, unrecorded) {
		if (job->writing)
			continue;
		update_finished(fleet, job);
		cds_list_del(&job->unrecorded);
		job->dirty = false;
		job->writing = true;
		job->writing_generation = job->dirty_generation;
		job->packed_generation = fleet->generation;
		fleet->writing[fleet->writing_count++] = job;
		return job;
	}
	return NULL;
}

uint64_t
fleet_progress_revision(const struct fleet_job *job)
{
	return job->revision;
}

/* Ends the write of a job's record. Returns false when the job was removed
 * during it, and is freed now. */
static bool
end_writing(struct fleet *fleet, struct fleet_job *job, uint64_t revision)
{
	size_t kept = 0;

	for (size_t i = 0; i < fleet->writing_count; i++) {
		if (fleet->writing[i] != job)
			fleet->writing[kept++] = fleet->writing[i];
	}
	fleet->writing_count = kept;
	job->writing = false;
	job->revision = revision;
	if (!job->removed)
		return true;
	free_job(job);
	return false;
}

void
fleet_record_stored(
    struct fleet *fleet, struct fleet_job *job, uint64_t revision)
{
	if (!end_writing(fleet, job, revision))
		return;
	job->recorded_generation = job->packed_generation;
	fleet_wake_at(fleet, 0);
}

void
fleet_record_failed(
    struct fleet *fleet, struct fleet_job *job, uint64_t revision)
{
	if (!end_writing(fleet, job, revision))
		return;
	if (job->dirty)
		cds_list_del(&job->unrecorded);
	job->dirty = true;
	job->dirty_generation = job->writing_generation;
	cds_list_add(&job->unrecorded, &fleet->unrecorded);
}

void
fleet_move_jobs(struct fleet *fleet, fleet_find_service *find, void *context)
{
	for (size_t i = 0; i < fleet->jobs.count; i++) {
		struct fleet_job *job = fleet->jobs.items[i].item;
		const char *service = find(context, job->spec->route);

		if (service == NULL || strcmp(job->spec->service, service) == 0)
			continue;
		proto_set_string(&job->spec->service, service);
		fleet->changed = true;
		fleet_wake_at(fleet, 0);
	}
}
