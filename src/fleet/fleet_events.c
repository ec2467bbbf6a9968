/* Queue of decisions and changes of state for the log. */
#include <string.h>

#include "fleet/fleet_model.h"
#include "process/alloc.h"

/* Further events are dropped until the queue is taken. */
#define MAX_EVENTS 2000

static struct fleet_event *
add_event(struct fleet *fleet, enum fleet_event_kind kind)
{
	struct fleet_event *event;

	if (fleet->events_taken) {
		fleet->events_count = 0;
		fleet->events_taken = false;
	}
	if (fleet->events_count == MAX_EVENTS)
		return NULL;
	fleet->events = mem_grow(fleet->events, &fleet->events_capacity,
	    fleet->events_count + 1, sizeof(*fleet->events));
	event = &fleet->events[fleet->events_count++];
	*event = (struct fleet_event){.kind = kind, .outcome = ""};
	return event;
}

/* Returns whether the last event is the same end for another task of the run,
 * as when the members of a gang end together. */
static bool
repeats_last_event(const struct fleet *fleet, const struct fleet_task *task,
    enum fleet_event_kind kind, const char *outcome)
{
	const struct fleet_event *last;
	struct fleet_task_id id;

	if (fleet->events_taken || fleet->events_count == 0 ||
	    kind != FLEET_EVENT_RUN_ENDED)
		return false;
	last = &fleet->events[fleet->events_count - 1];
	fleet_task_id(task, &id);
	id.index = last->task.index;
	return last->kind == kind && last->run == task->run &&
	    strcmp(last->outcome, outcome) == 0 &&
	    fleet_same_task(&last->task, &id);
}

void
fleet_add_task_event(struct fleet *fleet, const struct fleet_task *task,
    enum fleet_event_kind kind, const char *outcome, int64_t since_ms,
    int64_t now_ms)
{
	struct fleet_event *event;

	if (repeats_last_event(fleet, task, kind, outcome)) {
		fleet->events[fleet->events_count - 1].tasks++;
		return;
	}
	event = add_event(fleet, kind);
	if (event == NULL)
		return;
	fleet_task_id(task, &event->task);
	event->run = task->run;
	event->outcome = outcome;
	event->tasks = 1;
	event->priority = task->occurrence->job->spec->priority;
	event->after_ms = now_ms - since_ms;
	if (task->worker == NULL)
		return;
	STRING_COPY(event->worker, task->worker->entry.id);
	event->poll_age_ms = now_ms - task->worker->clock_at_ms;
}

void
fleet_add_job_event(struct fleet *fleet, const struct fleet_job *job,
    const char *outcome, int64_t now_ms)
{
	struct fleet_event *event = add_event(fleet, FLEET_EVENT_JOB_ENDED);

	if (event == NULL)
		return;
	STRING_COPY(event->task.job, job->id);
	event->outcome = outcome;
	event->tasks = job->tasks_count;
	event->priority = job->spec->priority;
	event->after_ms = now_ms - job->accepted_ms;
}

void
fleet_add_pause_event(
    struct fleet *fleet, const struct fleet_worker *worker, int64_t pause_ms)
{
	struct fleet_event *event = add_event(fleet, FLEET_EVENT_WORKER_PAUSED);

	if (event == NULL)
		return;
	STRING_COPY(event->worker, worker->entry.id);
	event->after_ms = pause_ms;
}

size_t
fleet_take_events(struct fleet *fleet, const struct fleet_event **events)
{
	size_t count = fleet->events_taken ? 0 : fleet->events_count;

	fleet->events_taken = true;
	*events = fleet->events;
	return count;
}
