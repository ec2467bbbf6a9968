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
/* Attempts that an earlier lead may have made without noting them. */
#define RECOVERY_ATTEMPT_GAP 64

/* ---- Commands -------------------------------------------------------- */

static uint64_t
sink_command(void *context, const char *worker, struct worker_command *command)
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
	    .command = sink_command,
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

/* ---- Ends of an attempt ---------------------------------------------- */

static void
back_to_queue(struct control *control, struct job *job, enum scheduler_end end,
    const char *failed_worker, int64_t run_ms)
{
	if (job->record->state != IBIS__JOB_STATE__JOB_ACCEPTED) {
		job->record->state = IBIS__JOB_STATE__JOB_ACCEPTED;
		control_job_note(control, job);
	}
	scheduler_end(control->scheduler, job->id, end, failed_worker, run_ms,
	    control->now_ms);
	log_event(LOG_INFO, "attempt_ended", "job", job->record->id, "attempt",
	    log_number(job->record->attempt), "reason", job->gang->reason,
	    "worker", failed_worker, NULL);
}

static void
close_job(struct control *control, struct job *job, Ibis__JobState state,
    enum scheduler_end end, const char *reason)
{
	CLEANUP(mem_free_string)
	char *failed_worker = mem_strdup(job->gang->failed_worker);

	scheduler_end(control->scheduler, job->id, end,
	    *failed_worker == '\0' ? NULL : failed_worker, 0, control->now_ms);
	control_job_end(control, job, state, reason);
}

static bool
all_checkpointed(const struct gang *gang)
{
	for (uint32_t i = 0; i < gang->count; i++) {
		if (gang->members[i].checkpoint == NULL)
			return false;
	}
	return true;
}

static void
keep_checkpoints(Ibis__JobRecord *record, const struct gang *gang)
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
run_time(const struct control *control, const struct job *job)
{
	return job->running_ms == 0 ? 0 : control->now_ms - job->running_ms;
}

/* It ran and stopped before its end, for a reason outside of it. */
static void
interrupted(struct control *control, struct job *job, enum scheduler_end end)
{
	struct gang *gang = job->gang;
	const char *failed_worker =
	    *gang->failed_worker == '\0' ? NULL : gang->failed_worker;

	if (all_checkpointed(gang)) {
		keep_checkpoints(job->record, gang);
		back_to_queue(
		    control, job, end, failed_worker, run_time(control, job));
	} else if (job->record->spec->idempotent) {
		back_to_queue(
		    control, job, end, failed_worker, run_time(control, job));
	} else if (gang_outcome_unknown(gang)) {
		close_job(control, job, IBIS__JOB_STATE__JOB_UNKNOWN,
		    END_CLOSED, gang->reason);
	} else {
		close_job(control, job, IBIS__JOB_STATE__JOB_FAILED, END_CLOSED,
		    gang->reason);
	}
}

/* Notes the worker that a task failed on, unless one did there before. */
static void
note_failure(struct job *job, const char *worker)
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
task_failed(struct control *control, struct job *job)
{
	note_failure(job, job->gang->failed_worker);
	if (job->record->spec->idempotent &&
	    job->failures < JOB_MAX_TASK_FAILURES)
		back_to_queue(control, job, END_LOST, job->gang->failed_worker,
		    run_time(control, job));
	else
		close_job(control, job, IBIS__JOB_STATE__JOB_FAILED, END_FAILED,
		    job->gang->reason);
}

static void
not_started(struct control *control, struct job *job)
{
	const char *failed_worker = job->gang->failed_worker;

	counter_add(COUNTER_ATTEMPTS_FAILED, 1);
	/* Every member has shown that it did not start. */
	job->record->started = job->started_before;
	if (job->record->cancel_requested)
		close_job(control, job, IBIS__JOB_STATE__JOB_CANCELLED,
		    END_CLOSED, "cancelled before it started");
	else if (job->gang->evicted)
		back_to_queue(control, job, END_EVICTED, NULL, 0);
	else
		back_to_queue(control, job, END_ATTEMPT_FAILED,
		    *failed_worker == '\0' ? NULL : failed_worker, 0);
}

static void
settle_attempt(struct control *control, struct job *job)
{
	switch (job->gang->result) {
	case GANG_FINISHED:
		scheduler_end(control->scheduler, job->id, END_FINISHED, NULL,
		    run_time(control, job), control->now_ms);
		control_answer_finish(control, job);
		break;
	case GANG_FAILED:
		task_failed(control, job);
		break;
	case GANG_CANCELLED:
		close_job(control, job, IBIS__JOB_STATE__JOB_CANCELLED,
		    END_CLOSED, "cancelled while it ran");
		break;
	case GANG_EVICTED:
		interrupted(control, job, END_EVICTED);
		break;
	case GANG_LOST:
		interrupted(control, job, END_LOST);
		break;
	case GANG_NOT_STARTED:
	case GANG_NONE:
		not_started(control, job);
		break;
	}
}

static void
gang_over(struct control *control, struct job *job)
{
	bool withdrawn = job->withdrawn;

	unregister_members(control, job->gang);
	if (!withdrawn)
		settle_attempt(control, job);
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
zones_open(const struct control *control, const struct gang *gang)
{
	for (uint32_t i = 0; i < gang->count; i++) {
		const struct document *document = control->document;
		int at =
		    document_find_worker(document, gang->members[i].worker);
		uint32_t rack;

		if (at < 0)
			return false;
		rack = document->workers[at].rack;
		if (!control_zone_open(control,
			document->zones[document->racks[rack].zone].name))
			return false;
	}
	return true;
}

/* Tells whether the members may be told to go, and writes the intent of a
 * non-idempotent job when that is what is missing. */
static bool
may_go(struct control *control, struct job *job)
{
	if (!job->admitted || job->withdrawn || job->record->cancel_requested)
		return false;
	if (!freshness_is_confirmed(&control->freshness, control->now_ms) ||
	    !zones_open(control, job->gang))
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
note_running(struct control *control, struct job *job)
{
	job->running_ms = control->now_ms;
	counter_add(COUNTER_ATTEMPTS_RUNNING, 1);
	job->record->state = IBIS__JOB_STATE__JOB_RUNNING;
	if (job->record->started_at_ms == 0)
		job->record->started_at_ms = clock_wall_ms();
	scheduler_set_running(control->scheduler, job->id, control->now_ms);
	control_job_note(control, job);
	log_event(LOG_INFO, "job_running", "job", job->record->id, "attempt",
	    log_number(job->record->attempt), "class",
	    job->record->spec->request_class, NULL);
}

void
control_gang_progress(struct control *control, struct job *job)
{
	struct gang_sink sink = control_gang_sink(control);
	struct gang *gang = job->gang;

	if (control->settling)
		return;
	if (gang_wants_permit(gang) && may_go(control, job)) {
		job->record->started = true;
		gang_permit(gang, &sink, control->now_ms);
	}
	if (gang->phase == GANG_RUN && job->running_ms == 0)
		note_running(control, job);
	if (gang->phase == GANG_OVER)
		gang_over(control, job);
}

static struct gang *
make_gang(struct control *control, struct job *job)
{
	struct gang_config config = gang_config_of(control);

	job->intent_sent = false;
	job->intent_durable = false;
	job->started_before = job->record->started;
	job->running_ms = 0;
	job->gang = gang_new(job->id, job->record, job->record->attempt,
	    (const char *const *)job->record->workers, &config);
	cds_list_add_tail(&job->in_active, &control->active);
	register_members(control, job->gang);
	counter_add(COUNTER_ATTEMPTS_BEGUN, 1);
	return job->gang;
}

void
control_gang_adopt(struct control *control, struct job *job)
{
	struct gang *gang;

	if (job->record->n_workers != job->record->spec->tasks) {
		job->record->attempt += RECOVERY_ATTEMPT_GAP;
		return;
	}
	gang = make_gang(control, job);
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
	control_gang_progress(control, job);
}

/* ---- The scheduler's actions ----------------------------------------- */

static void
start_job(struct control *control, struct job *job,
    const struct scheduler_action *action)
{
	struct gang_sink sink = control_gang_sink(control);

	set_workers(job->record, action->start.workers, action->start.tasks);
	job->record->attempt++;
	gang_start(make_gang(control, job), &sink, control->now_ms);
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
	control_gang_progress(control, job);
}

/* The scheduler has dropped a queued job. */
static void
give_up(struct control *control, struct job *job, const char *reason)
{
	Ibis__JobState state = IBIS__JOB_STATE__JOB_NOT_RUN;

	if (job->record->started)
		state = job->recovered && job->record->spec->idempotent
		    ? IBIS__JOB_STATE__JOB_UNKNOWN
		    : IBIS__JOB_STATE__JOB_FAILED;
	control_job_end(control, job, state, reason);
}

static void
perform(struct control *control, const struct scheduler_action *action)
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
		give_up(control, job, action->give_up.reason);
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
 * Performing an action may call the scheduler, which then owns its actions no
 * longer; so each is copied out with what it points at.
 */
static void
perform_all(struct control *control, const struct scheduler_action *actions,
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
		perform(control, &copies[i]);
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

	if (!control_taking(control))
		return;
	if (!control->decide_due &&
	    control->now_ms < scheduler_next_ms(control->scheduler))
		return;
	/* Nothing may start now: a start would only be taken back. */
	if (!freshness_is_confirmed(&control->freshness, control->now_ms))
		return;
	control->decide_due = false;
	count = scheduler_decide(control->scheduler, control->now_ms, &actions);
	duration_observe(HISTOGRAM_DECISION, clock_now_ms() - control->now_ms);
	if (count > 0)
		perform_all(control, actions, count);
}

void
control_gangs_tick(struct control *control)
{
	struct gang_sink sink = control_gang_sink(control);
	struct job *job;
	struct job *next;

	cds_list_for_each_entry_safe (job, next, &control->active, in_active) {
		gang_tick(job->gang, &sink, control->now_ms);
		control_gang_progress(control, job);
	}
}

bool
control_gangs_starting(const struct control *control)
{
	const struct job *job;

	cds_list_for_each_entry (job, &control->active, in_active) {
		if (job->gang->phase < GANG_RUN)
			return true;
	}
	return false;
}
