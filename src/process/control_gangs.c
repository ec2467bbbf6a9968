/* Runs attempts: carries out the scheduler's actions, advances gangs and
 * updates jobs when their attempts end. */
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "process/alloc.h"
#include "process/clock.h"
#include "process/control.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/proto_memory.h"

#define CHECKPOINT_GRACE_MS 1500

/* ---- Commands -------------------------------------------------------- */

static uint64_t
queue_command(void *context, const char *worker, struct worker_command *command)
{
	struct control *control = context;
	struct worker_session *session =
	    worker_table_find(&control->workers, worker);

	if (session == NULL) {
		worker_command_clear(command);
		return 0;
	}
	return worker_session_add_command(session, command);
}

struct gang_sink
control_gang_sink(struct control *control)
{
	return (struct gang_sink){
	    .command = queue_command,
	    .context = control,
	};
}

static struct gang_config
gang_config_of(const struct control *control)
{
	const struct ibis_settings *settings = control->settings;

	return (struct gang_config){
	    .reservation_ms = settings->reservation_ms,
	    .first_lease_ms = settings->first_lease_ms,
	    .task_lease_ms = settings->task_lease_ms,
	    .checkpoint_grace_ms = CHECKPOINT_GRACE_MS,
	};
}

static void
register_members(struct control *control, const struct gang *gang)
{
	for (uint32_t i = 0; i < gang->count; i++) {
		struct worker_session *session = worker_table_find(
		    &control->workers, gang->members[i].worker);

		if (session != NULL)
			worker_session_add_member(session, gang->job, i);
	}
}

static void
unregister_members(struct control *control, const struct gang *gang)
{
	for (uint32_t i = 0; i < gang->count; i++) {
		struct worker_session *session = worker_table_find(
		    &control->workers, gang->members[i].worker);

		if (session != NULL)
			worker_session_remove_member(session, gang->job, i);
	}
}

static void
set_workers(Ibis__JobRecord *record, const char *const *workers, uint32_t count)
{
	for (size_t i = 0; i < record->n_workers; i++)
		mem_free(record->workers[i]);
	mem_free(record->workers);
	record->n_workers = count;
	record->workers = mem_calloc(count, sizeof(*record->workers));
	for (uint32_t i = 0; i < count; i++)
		record->workers[i] = mem_strdup(workers[i]);
}

/* ---- End of an attempt ----------------------------------------------- */

static void
requeue_job(struct control *control, struct job *job, enum scheduler_end end,
    const char *failed_worker, int64_t run_ms)
{
	if (job->record->state != IBIS__JOB_STATE__JOB_ACCEPTED) {
		job->record->state = IBIS__JOB_STATE__JOB_ACCEPTED;
		control_job_record_change(control, job);
	}
	scheduler_end(control->scheduler, job->id, end, failed_worker, run_ms,
	    control->now_ms);
	log_event(LOG_INFO, "attempt_ended", "job", job->record->id, "attempt",
	    log_number((int64_t)job->record->attempt), "reason",
	    job->gang->reason, "worker", failed_worker, NULL);
}

static void
end_job(struct control *control, struct job *job, Ibis__JobState state,
    enum scheduler_end end, const char *reason)
{
	CLEANUP(mem_free_string)
	char *failed_worker = mem_strdup(job->gang->failed_worker);

	scheduler_end(control->scheduler, job->id, end,
	    *failed_worker == '\0' ? NULL : failed_worker, 0, control->now_ms);
	control_job_end(control, job, state, reason);
}

static bool
has_all_checkpoints(const struct gang *gang)
{
	for (uint32_t i = 0; i < gang->count; i++) {
		if (gang->members[i].checkpoint == NULL)
			return false;
	}
	return true;
}

static void
save_checkpoints(Ibis__JobRecord *record, const struct gang *gang)
{
	for (size_t i = 0; i < record->n_checkpoints; i++)
		mem_free(record->checkpoints[i]);
	mem_free(record->checkpoints);
	record->n_checkpoints = gang->count;
	record->checkpoints =
	    mem_calloc(gang->count, sizeof(*record->checkpoints));
	for (uint32_t i = 0; i < gang->count; i++)
		record->checkpoints[i] =
		    mem_strdup(gang->members[i].checkpoint);
}

static int64_t
run_time_ms(const struct control *control, const struct job *job)
{
	return job->running_ms == 0 ? 0 : control->now_ms - job->running_ms;
}

/* A started attempt was evicted, or a worker was lost. The job resumes from its
 * checkpoints or starts again if idempotent; else it ends as failed or, if some
 * member's end is not certain, with an unknown outcome. */
static void
handle_interruption(
    struct control *control, struct job *job, enum scheduler_end end)
{
	struct gang *gang = job->gang;
	const char *failed_worker =
	    *gang->failed_worker == '\0' ? NULL : gang->failed_worker;

	if (has_all_checkpoints(gang)) {
		save_checkpoints(job->record, gang);
		requeue_job(control, job, end, failed_worker,
		    run_time_ms(control, job));
	} else if (job->record->spec->idempotent) {
		requeue_job(control, job, end, failed_worker,
		    run_time_ms(control, job));
	} else if (gang_outcome_unknown(gang)) {
		end_job(control, job, IBIS__JOB_STATE__JOB_UNKNOWN, END_CLOSED,
		    gang->reason);
	} else {
		end_job(control, job, IBIS__JOB_STATE__JOB_FAILED, END_CLOSED,
		    gang->reason);
	}
}

/* Records the worker on which a task failed, once per worker. */
static void
record_failed_worker(struct job *job, const char *worker)
{
	uint64_t hash = XXH64(worker, strlen(worker), 0);

	for (uint32_t i = 0; i < job->failures; i++) {
		if (job->failed_on[i] == hash)
			return;
	}
	if (job->failures < JOB_MAX_TASK_FAILURES)
		job->failed_on[job->failures++] = hash;
}

static void
handle_task_failure(struct control *control, struct job *job)
{
	record_failed_worker(job, job->gang->failed_worker);
	if (job->record->spec->idempotent &&
	    job->failures < JOB_MAX_TASK_FAILURES)
		requeue_job(control, job, END_LOST, job->gang->failed_worker,
		    run_time_ms(control, job));
	else
		end_job(control, job, IBIS__JOB_STATE__JOB_FAILED, END_FAILED,
		    job->gang->reason);
}

static void
handle_not_started(struct control *control, struct job *job)
{
	const char *failed_worker = job->gang->failed_worker;

	counter_add(COUNTER_ATTEMPTS_FAILED, 1);
	/* All workers have reported that this attempt did not start. */
	job->record->started = job->started_before;
	if (job->record->cancel_requested)
		end_job(control, job, IBIS__JOB_STATE__JOB_CANCELLED,
		    END_CLOSED, "cancelled before it started");
	else if (job->gang->evicted)
		requeue_job(control, job, END_EVICTED, NULL, 0);
	else
		requeue_job(control, job, END_ATTEMPT_FAILED,
		    *failed_worker == '\0' ? NULL : failed_worker, 0);
}

static void
handle_attempt_end(struct control *control, struct job *job)
{
	switch (job->gang->result) {
	case GANG_FINISHED:
		scheduler_end(control->scheduler, job->id, END_FINISHED, NULL,
		    run_time_ms(control, job), control->now_ms);
		control_answer_save(control, job);
		break;
	case GANG_FAILED:
		handle_task_failure(control, job);
		break;
	case GANG_CANCELLED:
		end_job(control, job, IBIS__JOB_STATE__JOB_CANCELLED,
		    END_CLOSED, "cancelled while it ran");
		break;
	case GANG_EVICTED:
		handle_interruption(control, job, END_EVICTED);
		break;
	case GANG_LOST:
		handle_interruption(control, job, END_LOST);
		break;
	case GANG_NOT_STARTED:
	case GANG_NONE:
		handle_not_started(control, job);
		break;
	}
}

static void
finish_attempt(struct control *control, struct job *job)
{
	bool withdrawn = job->withdrawn;

	unregister_members(control, job->gang);
	if (!withdrawn)
		handle_attempt_end(control, job);
	cds_list_del(&job->in_active);
	gang_free(job->gang);
	job->gang = NULL;
	job->running_ms = 0;
	control->decide_due = true;
	if (withdrawn)
		control_job_remove(control, job);
}

/* ---- Progress of an attempt ------------------------------------------ */

static bool
zones_allow_starts(const struct control *control, const struct gang *gang)
{
	for (uint32_t i = 0; i < gang->count; i++) {
		const struct document *document = control->document;
		int at =
		    document_find_worker(document, gang->members[i].worker);
		uint32_t rack;

		if (at < 0)
			return false;
		rack = document->workers[at].rack;
		if (!control_zone_allows_starts(control,
			document->zones[document->racks[rack].zone].name))
			return false;
	}
	return true;
}

/* Tells whether the staged members may start now. A non-idempotent job must
 * have its intent to start stored first; begins to store it if not done. */
static bool
can_permit_start(struct control *control, struct job *job)
{
	if (!job->admitted || job->withdrawn || job->record->cancel_requested)
		return false;
	if (!freshness_is_confirmed(&control->freshness, control->now_ms) ||
	    !zones_allow_starts(control, job->gang))
		return false;
	/* An earlier lead may have started it without a record. */
	if (job->recovered && job->record->spec->idempotent &&
	    !control_orphans_over(control))
		return false;
	if (job->record->spec->idempotent || job->intent_durable)
		return true;
	if (!job->intent_sent && !control->store_down) {
		job->intent_sent = true;
		job->record->state = IBIS__JOB_STATE__JOB_INTENDED;
		job->record->started = true;
		segment_add_change(&control->segments[job->segment], job->id,
		    STEP_INTENDED, job->gang->attempt);
	}
	return false;
}

static void
record_running(struct control *control, struct job *job)
{
	job->running_ms = control->now_ms;
	counter_add(COUNTER_ATTEMPTS_RUNNING, 1);
	job->record->state = IBIS__JOB_STATE__JOB_RUNNING;
	if (job->record->started_at_ms == 0)
		job->record->started_at_ms = clock_wall_ms();
	scheduler_set_running(control->scheduler, job->id, control->now_ms);
	control_job_record_change(control, job);
	log_event(LOG_INFO, "job_running", "job", job->record->id, "attempt",
	    log_number((int64_t)job->record->attempt), "class",
	    job->record->spec->request_class, NULL);
}

void
control_gang_advance(struct control *control, struct job *job)
{
	struct gang_sink sink = control_gang_sink(control);
	struct gang *gang = job->gang;

	if (control->records_frozen)
		return;
	if (gang_wants_permit(gang) && can_permit_start(control, job)) {
		job->record->started = true;
		gang_permit(gang, &sink, control->now_ms);
	}
	if (gang->phase == GANG_RUN && job->running_ms == 0)
		record_running(control, job);
	if (gang->phase == GANG_OVER)
		finish_attempt(control, job);
}

static struct gang *
create_gang(struct control *control, struct job *job)
{
	struct gang_config config = gang_config_of(control);

	job->intent_sent = false;
	job->intent_durable = false;
	job->started_before = job->record->started;
	job->running_ms = 0;
	job->gang = gang_new(job->id, job->record, job->record->attempt,
	    (const char *const *)job->record->workers, &config);
	cds_list_add_tail(&job->in_active, &control->active_jobs);
	register_members(control, job->gang);
	counter_add(COUNTER_ATTEMPTS_BEGUN, 1);
	return job->gang;
}

void
control_gang_adopt(struct control *control, struct job *job)
{
	struct gang *gang;

	if (job->record->n_workers != job->record->spec->tasks)
		return;
	gang = create_gang(control, job);
	job->intent_sent = true;
	job->intent_durable = true;
	if (job->record->state == IBIS__JOB_STATE__JOB_RUNNING)
		job->running_ms = control->now_ms;
	gang_adopt(gang, control->now_ms);
}

void
control_gang_cancel(struct control *control, struct job *job)
{
	struct gang_sink sink = control_gang_sink(control);

	if (job->gang == NULL) {
		scheduler_end(control->scheduler, job->id, END_CLOSED, NULL, 0,
		    control->now_ms);
		control_job_end(control, job, IBIS__JOB_STATE__JOB_CANCELLED,
		    "cancelled while it waited");
		return;
	}
	gang_stop(job->gang, GANG_CANCELLED, false, "cancelled", &sink,
	    control->now_ms);
	control_gang_advance(control, job);
}

/* ---- The scheduler's actions ----------------------------------------- */

static void
start_job(struct control *control, struct job *job,
    const struct scheduler_action *action)
{
	struct gang_sink sink = control_gang_sink(control);

	set_workers(job->record, action->start.workers, action->start.tasks);
	job->record->attempt =
	    gang_next_attempt(job->record->attempt, control->lease.epoch);
	gang_start(create_gang(control, job), &sink, control->now_ms);
}

static void
evict_job(struct control *control, struct job *job,
    const struct scheduler_action *action)
{
	struct gang_sink sink = control_gang_sink(control);

	if (job->gang == NULL)
		return;
	counter_add(action->evict.manner == EVICT_CHECKPOINT
		? COUNTER_EVICTIONS_CHECKPOINT
		: COUNTER_EVICTIONS_STOP,
	    1);
	log_event(LOG_INFO, "job_evicted", "job", job->record->id, "reason",
	    action->evict.reason, NULL);
	gang_stop(job->gang, GANG_EVICTED,
	    action->evict.manner == EVICT_CHECKPOINT, action->evict.reason,
	    &sink, control->now_ms);
	control_gang_advance(control, job);
}

/* Ends a queued job that the scheduler has given up. Recovery marks idempotent
 * jobs as started without knowing it, so their outcome is unknown. */
static void
give_up_job(struct control *control, struct job *job, const char *reason)
{
	Ibis__JobState state = IBIS__JOB_STATE__JOB_NOT_RUN;

	if (job->record->started)
		state = job->recovered && job->record->spec->idempotent
		    ? IBIS__JOB_STATE__JOB_UNKNOWN
		    : IBIS__JOB_STATE__JOB_FAILED;
	control_job_end(control, job, state, reason);
}

static void
apply_action(struct control *control, const struct scheduler_action *action)
{
	struct job *job = job_map_find(control->jobs, action->job);
	struct gang_sink sink = control_gang_sink(control);

	if (job == NULL) {
		scheduler_end(control->scheduler, action->job, END_CLOSED, NULL,
		    0, control->now_ms);
		return;
	}
	switch (action->kind) {
	case ACTION_START:
		start_job(control, job, action);
		break;
	case ACTION_EVICT:
		evict_job(control, job, action);
		break;
	case ACTION_GIVE_UP:
		give_up_job(control, job, action->give_up.reason);
		break;
	case ACTION_THROTTLE:
		if (job->gang == NULL)
			break;
		counter_add(COUNTER_THROTTLES, 1);
		gang_throttle(job->gang, &sink, control->now_ms);
		break;
	}
}

/*
 * Works on deep copies, since applying an action may call the scheduler, which
 * invalidates its actions.
 */
static void
apply_actions(struct control *control, const struct scheduler_action *actions,
    size_t count)
{
	struct scheduler_action *copies = mem_calloc(count, sizeof(*copies));

	for (size_t i = 0; i < count; i++) {
		copies[i] = actions[i];
		if (actions[i].kind == ACTION_START) {
			const char **workers = mem_calloc(
			    actions[i].start.tasks, sizeof(*workers));

			for (uint32_t k = 0; k < actions[i].start.tasks; k++)
				workers[k] =
				    mem_strdup(actions[i].start.workers[k]);
			copies[i].start.workers = workers;
		}
	}
	for (size_t i = 0; i < count; i++) {
		apply_action(control, &copies[i]);
		if (copies[i].kind != ACTION_START)
			continue;
		for (uint32_t k = 0; k < copies[i].start.tasks; k++)
			mem_free((void *)copies[i].start.workers[k]);
		mem_free((void *)copies[i].start.workers);
	}
	mem_free(copies);
}

void
control_decide(struct control *control)
{
	const struct scheduler_action *actions;
	size_t count;

	if (!control_accepts_work(control))
		return;
	if (!control->decide_due &&
	    control->now_ms < scheduler_next_ms(control->scheduler))
		return;
	/* Without confirmation no task may start, so don't place any. */
	if (!freshness_is_confirmed(&control->freshness, control->now_ms))
		return;
	control->decide_due = false;
	count = scheduler_decide(control->scheduler, control->now_ms, &actions);
	duration_observe(HISTOGRAM_DECISION, clock_now_ms() - control->now_ms);
	if (count > 0)
		apply_actions(control, actions, count);
}

void
control_gangs_tick(struct control *control)
{
	struct gang_sink sink = control_gang_sink(control);
	struct job *job;
	struct job *next;

	cds_list_for_each_entry_safe (
	    job, next, &control->active_jobs, in_active) {
		gang_tick(job->gang, &sink, control->now_ms);
		control_gang_advance(control, job);
	}
}

bool
control_has_starting_gangs(const struct control *control)
{
	const struct job *job;

	cds_list_for_each_entry (job, &control->active_jobs, in_active) {
		if (job->gang->phase < GANG_RUN)
			return true;
	}
	return false;
}
