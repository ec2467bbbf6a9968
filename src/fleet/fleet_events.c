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

/* Returns whether an event only explains the end that follows it. */
static bool
explains_next(const struct fleet_event *event)
{
	return event->kind == FLEET_EVENT_RUN_PRESUMED_ENDED ||
	    event->kind == FLEET_EVENT_START_RESOLVED;
}

/* Returns the last event that does not only explain the next one, or NULL. */
static struct fleet_event *
last_decision(struct fleet *fleet)
{
	size_t count = fleet->events_taken ? 0 : fleet->events_count;

	while (count > 0 && explains_next(&fleet->events[count - 1]))
		count--;
	return count == 0 ? NULL : &fleet->events[count - 1];
}

/* Returns the last event if it is the same end for another task of the run, as
 * when the members of a gang end together. */
static struct fleet_event *
find_repeated_event(struct fleet *fleet, const struct fleet_task *task,
    enum fleet_event_kind kind, const char *outcome)
{
	struct fleet_event *last = last_decision(fleet);
	struct fleet_task_id id;

	if (last == NULL || kind != FLEET_EVENT_RUN_ENDED)
		return NULL;
	fleet_task_id(task, &id);
	id.index = last->task.index;
	if (last->kind == kind && last->run == task->run &&
	    strcmp(last->outcome, outcome) == 0 &&
	    fleet_same_task(&last->task, &id))
		return last;
	return NULL;
}

void
fleet_add_task_event(struct fleet *fleet, const struct fleet_task *task,
    enum fleet_event_kind kind, const char *outcome, int64_t since_ms,
    int64_t now_ms)
{
	struct fleet_event *event =
	    find_repeated_event(fleet, task, kind, outcome);

	if (event != NULL) {
		event->tasks++;
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

static const char *
scope_name(enum fleet_failed_scope scope)
{
	switch (scope) {
	case FLEET_FAILED_JOB:
		return "for the job";
	case FLEET_FAILED_WORKSPACE:
		return "for its workspace";
	case FLEET_FAILED_WORKSPACES:
		return "for all jobs";
	}
	return "";
}

void
fleet_add_pause_event(struct fleet *fleet, const struct fleet_worker *worker,
    const struct fleet_job *job, enum fleet_failed_scope scope,
    int64_t pause_ms)
{
	struct fleet_event *event = add_event(fleet, FLEET_EVENT_WORKER_PAUSED);

	if (event == NULL)
		return;
	STRING_COPY(event->worker, worker->entry.id);
	event->outcome = scope_name(scope);
	STRING_COPY(event->task.job, job->id);
	event->after_ms = pause_ms;
}

/* Returns the age of an event at at_ms, or -1 when it has not happened. */
static int64_t
age_of(int64_t at_ms, int64_t now_ms)
{
	return at_ms == 0 ? -1 : now_ms - at_ms;
}

void
fleet_add_presumed_end_event(struct fleet *fleet, const struct fleet_task *task,
    enum fleet_presumption presumption, int64_t now_ms)
{
	const struct fleet_worker *worker = task->worker;
	struct fleet_event *event =
	    add_event(fleet, FLEET_EVENT_RUN_PRESUMED_ENDED);

	if (event == NULL)
		return;
	fleet_task_id(task, &event->task);
	event->run = task->run;
	STRING_COPY(event->worker, worker->entry.id);
	event->presumed_end = (struct fleet_presumed_end){
	    .presumption = presumption,
	    .state = fleet_state_name(task->state),
	    .listed = task->last_poll != 0,
	    .lease_left_ms = worker->lease_until_ms - now_ms,
	    .grant_age_ms = age_of(worker->granted_ms, now_ms),
	    .report_age_ms = age_of(worker->clock_at_ms, now_ms),
	    .start_age_ms = age_of(task->start_sent_ms, now_ms),
	    .incarnation_wall_ms = task->start_incarnation_wall_ms,
	    .reported_incarnation_wall_ms =
		worker->reported_incarnation_wall_ms,
	};
}

/* Returns when the order was sent that the task's worker has not answered, or 0
 * when there is none. */
static int64_t
unanswered_order_ms(const struct fleet_task *task)
{
	if (task->state == TASK_SENT)
		return task->start_sent_ms;
	if (task->state == TASK_STOPPING && task->visible_from_ms == INT64_MAX)
		return task->stop_sent_ms;
	return 0;
}

void
fleet_add_restart_event(
    struct fleet *fleet, const struct fleet_worker *worker, int64_t now_ms)
{
	struct fleet_event *event =
	    add_event(fleet, FLEET_EVENT_WORKER_RESTARTED);
	struct fleet_restart restart = {
	    .incarnation_wall_ms = worker->incarnation_wall_ms,
	    .reported_incarnation_wall_ms =
		worker->reported_incarnation_wall_ms,
	    .listed_incarnation_wall_ms = worker->entry.incarnation_wall_ms,
	    .oldest_order_age_ms = -1,
	};
	const struct fleet_task *task;

	if (event == NULL)
		return;
	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		int64_t order_age_ms =
		    age_of(unanswered_order_ms(task), now_ms);

		restart.runs += fleet_task_holds_resources(task->state);
		restart.starts_in_flight += task->state == TASK_SENT;
		restart.unanswered_orders += order_age_ms >= 0;
		if (order_age_ms > restart.oldest_order_age_ms)
			restart.oldest_order_age_ms = order_age_ms;
	}
	STRING_COPY(event->worker, worker->entry.id);
	event->restart = restart;
}

void
fleet_add_unknown_run_event(struct fleet *fleet,
    const struct fleet_worker *worker, const struct fleet_reported_run *run,
    int64_t now_ms)
{
	const struct fleet_task *task = fleet_find_task(fleet, &run->task);
	struct fleet_event *event = add_event(fleet, FLEET_EVENT_UNKNOWN_RUN);
	struct fleet_unknown_run *unknown;

	if (event == NULL)
		return;
	event->task = run->task;
	event->run = run->run;
	STRING_COPY(event->worker, worker->entry.id);
	unknown = &event->unknown_run;
	unknown->state = "no such task";
	unknown->start_age_ms = -1;
	unknown->incarnation_wall_ms = worker->incarnation_wall_ms;
	if (task == NULL)
		return;
	unknown->state = fleet_state_name(task->state);
	unknown->latest_run = task->run;
	unknown->start_age_ms = age_of(task->start_sent_ms, now_ms);
	unknown->start_incarnation_wall_ms = task->start_incarnation_wall_ms;
	if (task->worker != NULL)
		STRING_COPY(unknown->latest_worker, task->worker->entry.id);
}

void
fleet_add_start_event(struct fleet *fleet, const struct fleet_task *task,
    const char *outcome, int64_t now_ms)
{
	struct fleet_event *event =
	    add_event(fleet, FLEET_EVENT_START_RESOLVED);

	if (event == NULL)
		return;
	fleet_task_id(task, &event->task);
	event->run = task->run;
	event->outcome = outcome;
	event->after_ms = now_ms - task->start_sent_ms;
	event->resolved_start = (struct fleet_resolved_start){
	    .state = fleet_state_name(task->state),
	    .start_incarnation_wall_ms = task->start_incarnation_wall_ms,
	};
	if (task->worker == NULL)
		return;
	STRING_COPY(event->worker, task->worker->entry.id);
	event->resolved_start.reported_incarnation_wall_ms =
	    task->worker->reported_incarnation_wall_ms;
}

void
fleet_add_over_capacity_event(struct fleet *fleet,
    const struct fleet_worker *worker, const struct fleet_task_id *task,
    const struct fleet_over_capacity *load)
{
	struct fleet_event *event = add_event(fleet, FLEET_EVENT_OVER_CAPACITY);

	if (event == NULL)
		return;
	event->task = *task;
	STRING_COPY(event->worker, worker->entry.id);
	event->over_capacity = *load;
}

void
fleet_add_double_run_event(struct fleet *fleet,
    const struct fleet_worker *worker, const struct fleet_reported_run *run,
    const struct fleet_listing *other, int64_t now_ms)
{
	const struct fleet_task *task = fleet_find_task(fleet, &run->task);
	struct fleet_event *event = add_event(fleet, FLEET_EVENT_DOUBLE_RUN);

	if (event == NULL || task == NULL)
		return;
	event->task = run->task;
	event->run = run->run;
	STRING_COPY(event->worker, worker->entry.id);
	event->double_run = (struct fleet_double_run){
	    .other_run = other->run,
	    .other_report_age_ms = now_ms - other->worker->clock_at_ms,
	    .incarnation_wall_ms = worker->incarnation_wall_ms,
	    .other_incarnation_wall_ms = other->worker->incarnation_wall_ms,
	    .state = fleet_state_name(task->state),
	    .latest_run = task->run,
	    .start_age_ms = age_of(task->start_sent_ms, now_ms),
	};
	STRING_COPY(event->double_run.other_worker, other->worker->entry.id);
}

void
fleet_add_capacity_event(struct fleet *fleet, const struct fleet_worker *worker,
    const struct fleet_resources *before, bool reported)
{
	struct fleet_event *event =
	    add_event(fleet, FLEET_EVENT_CAPACITY_CHANGED);

	if (event == NULL)
		return;
	STRING_COPY(event->worker, worker->entry.id);
	event->capacity_change = (struct fleet_capacity_change){
	    .before = *before,
	    .after = worker->resources,
	    .committed = worker->committed,
	    .reported = reported,
	};
}

void
fleet_add_charged_loss_event(struct fleet *fleet,
    const struct fleet_worker *worker, const struct fleet_task *first,
    uint32_t runs, enum fleet_loss loss, int64_t now_ms)
{
	struct fleet_event *event = add_event(fleet, FLEET_EVENT_LOSS_CHARGED);
	struct fleet_worker_runs on_worker;

	if (event == NULL)
		return;
	fleet_count_runs(worker, now_ms, &on_worker);
	fleet_task_id(first, &event->task);
	event->run = first->run;
	STRING_COPY(event->worker, worker->entry.id);
	event->charged_loss = (struct fleet_charged_loss){
	    .loss = loss,
	    .runs = on_worker.runs,
	    .charged_runs = runs,
	    .newest_age_ms = on_worker.newest_age_ms,
	    .incarnation_wall_ms = first->placed_incarnation_wall_ms,
	};
}

void
fleet_add_given_up_event(struct fleet *fleet, const struct fleet_task *task)
{
	struct fleet_event *event = add_event(fleet, FLEET_EVENT_GIVEN_UP);

	if (event == NULL)
		return;
	fleet_task_id(task, &event->task);
	event->run = task->run;
	STRING_COPY(event->worker, task->worker->entry.id);
	event->given_up = (struct fleet_given_up){
	    .early_losses = task->early_losses,
	    .crashes = task->crashes,
	    .sole_crashes = task->sole_crashes,
	};
}

size_t
fleet_take_events(struct fleet *fleet, const struct fleet_event **events)
{
	size_t count = fleet->events_taken ? 0 : fleet->events_count;

	fleet->events_taken = true;
	*events = fleet->events;
	return count;
}
