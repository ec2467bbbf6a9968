/* Notes of what the fleet decided, for whoever keeps the log. */
#include <string.h>

#include "fleet/fleet_model.h"
#include "process/alloc.h"

/* More than this between two takings are left out. */
#define MAX_NOTES 2000

static struct fleet_note *
add_note(struct fleet *fleet, enum fleet_note_kind kind)
{
	struct fleet_note *note;

	if (fleet->notes_taken) {
		fleet->notes_count = 0;
		fleet->notes_taken = false;
	}
	if (fleet->notes_count == MAX_NOTES)
		return NULL;
	fleet->notes = mem_grow(fleet->notes, &fleet->notes_capacity,
	    fleet->notes_count + 1, sizeof(*fleet->notes));
	note = &fleet->notes[fleet->notes_count++];
	*note = (struct fleet_note){.kind = kind, .outcome = ""};
	return note;
}

/* Tells whether the last note tells the same of another task of the run, as
 * the members of a gang end together. */
static bool
adds_to_last(const struct fleet *fleet, const struct fleet_task *task,
    enum fleet_note_kind kind, const char *outcome)
{
	const struct fleet_note *last;
	struct fleet_task_id id;

	if (fleet->notes_taken || fleet->notes_count == 0 ||
	    kind != FLEET_NOTE_ENDED)
		return false;
	last = &fleet->notes[fleet->notes_count - 1];
	fleet_task_id(task, &id);
	id.index = last->task.index;
	return last->kind == kind && last->run == task->run &&
	    strcmp(last->outcome, outcome) == 0 &&
	    fleet_same_task(&last->task, &id);
}

void
fleet_note_task(struct fleet *fleet, const struct fleet_task *task,
    enum fleet_note_kind kind, const char *outcome, int64_t since_ms,
    int64_t now_ms)
{
	struct fleet_note *note;

	if (adds_to_last(fleet, task, kind, outcome)) {
		fleet->notes[fleet->notes_count - 1].tasks++;
		return;
	}
	note = add_note(fleet, kind);
	if (note == NULL)
		return;
	fleet_task_id(task, &note->task);
	note->run = task->run;
	note->outcome = outcome;
	note->tasks = 1;
	note->priority = task->occurrence->job->spec->priority;
	note->after_ms = now_ms - since_ms;
	if (task->worker == NULL)
		return;
	STRING_COPY(note->worker, task->worker->entry.id);
	note->look_age_ms = now_ms - task->worker->clock_at_ms;
}

void
fleet_note_job(struct fleet *fleet, const struct fleet_job *job,
    const char *outcome, int64_t now_ms)
{
	struct fleet_note *note = add_note(fleet, FLEET_NOTE_SETTLED);

	if (note == NULL)
		return;
	STRING_COPY(note->task.job, job->id);
	note->outcome = outcome;
	note->tasks = job->tasks_count;
	note->priority = job->spec->priority;
	note->after_ms = now_ms - job->accepted_ms;
}

void
fleet_note_pause(
    struct fleet *fleet, const struct fleet_worker *worker, int64_t pause_ms)
{
	struct fleet_note *note = add_note(fleet, FLEET_NOTE_PAUSED);

	if (note == NULL)
		return;
	STRING_COPY(note->worker, worker->entry.id);
	note->after_ms = pause_ms;
}

size_t
fleet_take_notes(struct fleet *fleet, const struct fleet_note **notes)
{
	size_t count = fleet->notes_taken ? 0 : fleet->notes_count;

	fleet->notes_taken = true;
	*notes = fleet->notes;
	return count;
}
