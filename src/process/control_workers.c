/* Handles the workers' reports and detects workers that stopped reporting. */
#include <string.h>

#include "process/alloc.h"
#include "process/control.h"
#include "process/counters.h"
#include "process/log.h"

/* A running job's workers are polled at intervals of its run time so far
 * divided by this number, within the limits of job_poll_ms. */
#define POLLS_PER_RUN 20

static const struct worker_task *
find_task(const struct worker_report *report, const char *id)
{
	for (size_t i = 0; i < report->tasks_count; i++) {
		if (strcmp(report->tasks[i].id, id) == 0)
			return &report->tasks[i];
	}
	return NULL;
}

static void
report_to_gangs(struct control *control, struct worker_session *session,
    const struct worker_result *result)
{
	struct gang_sink sink = control_gang_sink(control);
	/* Works on a copy, since advancing a gang may remove members. */
	size_t count = session->members_count;
	CLEANUP(buffer_free) struct buffer copy = {0};
	const struct worker_member *members;

	buffer_append(
	    &copy, session->members, count * sizeof(*session->members));
	members = (const struct worker_member *)(void *)copy.data;
	for (size_t i = 0; i < count; i++) {
		struct job *job = job_map_find(control->jobs, members[i].job);
		struct gang *gang = job == NULL ? NULL : job->gang;

		if (gang == NULL)
			continue;
		gang_handle_report(gang, members[i].index,
		    find_task(
			&result->report, gang->members[members[i].index].task),
		    result->token, &sink, control->now_ms);
		control_gang_advance(control, job);
	}
}

/* Chooses the command that ends or discards a run that belongs to no gang here.
 * Returns false if the run needs none. */
static bool
choose_orphan_verb(const struct control *control,
    const struct worker_task *task, enum worker_verb *verb)
{
	struct job_id id;
	uint64_t attempt;
	uint32_t index;
	const struct job *job;

	if (!gang_parse_task(task->id, &id, &attempt, &index))
		return false;
	job = job_map_find(control->jobs, id);
	if (job != NULL && job->gang != NULL && job->gang->attempt == attempt)
		return false;
	if (task->state <= TASK_RUNNING) {
		*verb = VERB_STOP;
		return true;
	}
	/* The worker must retain the report until the job's end is stored. */
	if (job != NULL && job->record->attempt == attempt && !job->end_durable)
		return false;
	*verb = VERB_FORGET;
	return true;
}

/* Sends commands that stop orphan runs, or discard those that have ended.
 * Returns true if some are still running and so occupy resources. */
static bool
end_orphan_runs(struct control *control, struct worker_session *session,
    const struct worker_report *report)
{
	bool orphans_hold_capacity = false;

	for (size_t i = 0; i < report->tasks_count; i++) {
		const struct worker_task *task = &report->tasks[i];
		struct worker_command command = {0};

		if (!choose_orphan_verb(control, task, &command.verb))
			continue;
		orphans_hold_capacity =
		    orphans_hold_capacity || command.verb == VERB_STOP;
		STRING_COPY(command.task, task->id);
		(void)worker_session_add_command(session, &command);
	}
	return orphans_hold_capacity;
}

/* Tells whether every worker of the platform's list has reported no orphan. */
static bool
no_worker_has_orphans(const struct control *control)
{
	if (control->list_read_ms == 0)
		return false;
	for (size_t i = 0; i < control->workers.count; i++) {
		if (!control->workers.sessions[i].no_orphans)
			return false;
	}
	return true;
}

bool
control_orphans_over(struct control *control)
{
	int64_t expired_ms = control->lead_ready_ms +
	    control->settings->task_lease_ms + GANG_MAX_COMMAND_DELAY_MS;

	if (!control->orphans_over)
		control->orphans_over = control->now_ms >= expired_ms ||
		    no_worker_has_orphans(control);
	return control->orphans_over;
}

static void
update_condition(struct control *control, struct worker_session *session,
    bool orphans_hold_capacity)
{
	enum worker_condition condition = worker_session_condition(session);

	/* The scheduler places no work on a lost worker. */
	if (orphans_hold_capacity && condition == WORKER_SERVING)
		condition = WORKER_LOST;
	if (condition == session->condition)
		return;
	session->condition = condition;
	scheduler_set_worker(
	    control->scheduler, session->name, condition, control->now_ms);
	control->decide_due = true;
	log_event(LOG_INFO, "worker_condition", "worker", session->name,
	    "condition", worker_condition_name(condition), NULL);
}

/* Poll interval for a job's workers: the shortest while it starts or stops,
 * then growing with its run time. */
static int32_t
job_poll_ms(const struct control *control, const struct job *job)
{
	const int32_t shortest_ms = control->workers.poll_ms;
	int64_t run_time_ms = control->now_ms - job->running_ms;

	if (job->gang->phase != GANG_RUN ||
	    run_time_ms < (int64_t)shortest_ms * POLLS_PER_RUN)
		return shortest_ms;
	if (run_time_ms >
	    (int64_t)shortest_ms * IDLE_POLL_FACTOR * POLLS_PER_RUN)
		return shortest_ms * IDLE_POLL_FACTOR;
	return (int32_t)(run_time_ms / POLLS_PER_RUN);
}

static int32_t
next_poll_delay_ms(
    const struct control *control, const struct worker_session *session)
{
	int32_t soonest_ms = control->workers.poll_ms * IDLE_POLL_FACTOR;

	for (size_t i = 0; i < session->members_count; i++) {
		const struct job *job =
		    job_map_find(control->jobs, session->members[i].job);
		int32_t poll_ms;

		if (job == NULL || job->gang == NULL)
			continue;
		poll_ms = job_poll_ms(control, job);
		if (poll_ms < soonest_ms)
			soonest_ms = poll_ms;
	}
	return soonest_ms;
}

void
control_workers_handle_result(
    struct control *control, struct worker_result *result)
{
	struct worker_session *session =
	    worker_table_find(&control->workers, result->worker);
	bool orphans_hold_capacity = false;

	control_metrics_record_worker_call(result);
	if (session == NULL)
		return;
	if (!worker_session_handle_result(
		session, &control->workers, result, control->now_ms)) {
		if (control->scheduler != NULL)
			update_condition(control, session, false);
		return;
	}
	session->lost = false;
	if (!control_leading(control) || control->records_frozen)
		return;
	report_to_gangs(control, session, result);
	session->next_poll_ms =
	    control->now_ms + next_poll_delay_ms(control, session);
	/* Without a valid lease these may be runs of a newer lead. */
	session->no_orphans = false;
	if (lead_valid(&control->lease, control->now_ms)) {
		orphans_hold_capacity =
		    end_orphan_runs(control, session, &result->report);
		session->no_orphans = !orphans_hold_capacity;
	}
	update_condition(control, session, orphans_hold_capacity);
}

static void
handle_worker_lost(struct control *control, struct worker_session *session)
{
	struct gang_sink sink = control_gang_sink(control);
	size_t count = session->members_count;
	CLEANUP(buffer_free) struct buffer copy = {0};
	const struct worker_member *members;

	session->lost = true;
	counter_add(COUNTER_WORKERS_LOST, 1);
	log_event(LOG_WARN, "worker_lost", "worker", session->name, NULL);
	buffer_append(
	    &copy, session->members, count * sizeof(*session->members));
	members = (const struct worker_member *)(void *)copy.data;
	for (size_t i = 0; i < count; i++) {
		struct job *job = job_map_find(control->jobs, members[i].job);

		if (job == NULL || job->gang == NULL)
			continue;
		gang_worker_lost(
		    job->gang, session->name, &sink, control->now_ms);
		control_gang_advance(control, job);
	}
}

void
control_workers_tick(struct control *control)
{
	for (size_t i = 0; i < control->workers.count; i++) {
		struct worker_session *session = &control->workers.sessions[i];

		/* Only a report can end the lost condition. */
		if (session->condition != WORKER_LOST)
			update_condition(control, session, false);
		if (!session->lost && session->members_count > 0 &&
		    worker_session_is_lost(
			session, &control->workers, control->now_ms))
			handle_worker_lost(control, session);
	}
}

void
control_workers_send_due(struct control *control)
{
	for (size_t i = 0; i < control->workers.count; i++)
		worker_session_send_due(&control->workers.sessions[i],
		    &control->workers, control->worker_client, control->now_ms);
}
