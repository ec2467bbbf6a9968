#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/alloc.h"
#include "request/gang.h"

#define RENEWALS_PER_LEASE 4
/* Numbers of one job's attempts under one lead. The epoch is a revision of the
 * lead's lease and rises with each renewal, so that a job would need more than
 * this many attempts between two renewals to reach the next lead's numbers. */
#define ATTEMPTS_PER_EPOCH 1000

static bool
member_has_ended(const struct gang_member *member)
{
	return member->phase >= MEMBER_DONE;
}

static bool
member_is_idle(const struct gang_member *member)
{
	return member->phase == MEMBER_IDLE;
}

static uint32_t
count_phase(const struct gang *gang, enum member_phase phase)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < gang->count; i++)
		count += gang->members[i].phase == phase ? 1 : 0;
	return count;
}

static void
send_command(struct gang_member *member, struct worker_command command,
    const struct gang_sink *sink)
{
	STRING_COPY(command.task, member->task);
	member->min_report_token =
	    sink->command(sink->context, member->worker, &command);
}

static void
send_reserve(struct gang *gang, struct gang_member *member,
    const struct gang_sink *sink, int64_t now_ms)
{
	struct worker_command command = {
	    .verb = VERB_RESERVE,
	    .accelerators = gang->record->spec->accelerators_per_task,
	    .ttl_ms = gang->config.reservation_ms,
	};

	member->phase = MEMBER_RESERVING;
	member->occupied_until_ms =
	    now_ms + gang->config.reservation_ms + GANG_MAX_COMMAND_DELAY_MS;
	send_command(member, command, sink);
}

static void
send_stage(struct gang *gang, uint32_t index, const struct gang_sink *sink)
{
	const Ibis__JobSpec *spec = gang->record->spec;
	struct worker_command command = {
	    .verb = VERB_STAGE,
	    .run_time_ms = spec->run_time_ms,
	    .index = index,
	    .tasks = gang->count,
	    .payload = mem_strdup(spec->payload),
	};

	if (index < gang->record->n_checkpoints &&
	    *gang->record->checkpoints[index] != '\0')
		command.checkpoint =
		    mem_strdup(gang->record->checkpoints[index]);
	gang->members[index].phase = MEMBER_STAGING;
	send_command(&gang->members[index], command, sink);
}

static void
send_go(struct gang *gang, struct gang_member *member,
    const struct gang_sink *sink, int64_t now_ms)
{
	struct worker_command command = {
	    .verb = VERB_GO,
	    .ttl_ms = gang->config.first_lease_ms,
	};

	gang->go_sent = true;
	member->phase = MEMBER_GOING;
	member->occupied_until_ms =
	    now_ms + gang->config.first_lease_ms + GANG_MAX_COMMAND_DELAY_MS;
	send_command(member, command, sink);
}

static void
send_renew(struct gang *gang, struct gang_member *member,
    const struct gang_sink *sink, int64_t now_ms)
{
	struct worker_command command = {
	    .verb = VERB_RENEW,
	    .ttl_ms = gang->config.task_lease_ms,
	};

	member->occupied_until_ms =
	    now_ms + gang->config.task_lease_ms + GANG_MAX_COMMAND_DELAY_MS;
	send_command(member, command, sink);
}

static void
send_verb(struct gang_member *member, enum worker_verb verb,
    const struct gang_sink *sink)
{
	struct worker_command command = {.verb = verb};

	send_command(member, command, sink);
}

static void
set_phase(struct gang *gang, enum gang_phase phase, int64_t now_ms)
{
	gang->phase = phase;
	gang->phase_since_ms = now_ms;
}

static void
send_stops(struct gang *gang, const struct gang_sink *sink)
{
	for (uint32_t i = 0; i < gang->count; i++) {
		struct gang_member *member = &gang->members[i];

		if (member_has_ended(member) || member_is_idle(member))
			continue;
		member->stop_sent = true;
		send_verb(member, VERB_STOP, sink);
	}
}

/* Stops all members. Only the first cause sets the result, since later ones are
 * usually its consequences. */
static void
begin_stop(struct gang *gang, enum gang_result result,
    const char *failed_worker, const char *reason, const struct gang_sink *sink,
    int64_t now_ms)
{
	if (gang->phase == GANG_STOP || gang->phase == GANG_OVER)
		return;
	gang->result = result;
	STRING_COPY(gang->failed_worker, failed_worker);
	STRING_SHORTEN(gang->reason, reason);
	set_phase(gang, GANG_STOP, now_ms);
	send_stops(gang, sink);
}

/* Returns the result of a stopped attempt in which every member has ended. */
static enum gang_result
final_result(const struct gang *gang)
{
	if (count_phase(gang, MEMBER_DONE) == gang->count)
		return GANG_FINISHED;
	if (gang->result == GANG_CANCELLED || gang->result == GANG_FAILED)
		return gang->result;
	if (!gang_may_have_started(gang))
		return GANG_NOT_STARTED;
	if (gang->result == GANG_EVICTED)
		return GANG_EVICTED;
	return GANG_LOST;
}

static void
finish_if_over(struct gang *gang, int64_t now_ms)
{
	if (gang->phase != GANG_STOP)
		return;
	for (uint32_t i = 0; i < gang->count; i++) {
		const struct gang_member *member = &gang->members[i];

		if (!member_has_ended(member) && !member_is_idle(member))
			return;
	}
	gang->result = final_result(gang);
	set_phase(gang, GANG_OVER, now_ms);
}

static void
enter_stage(struct gang *gang, const struct gang_sink *sink, int64_t now_ms)
{
	set_phase(gang, GANG_STAGE, now_ms);
	for (uint32_t i = 0; i < gang->count; i++)
		send_stage(gang, i, sink);
}

static void
enter_run(struct gang *gang, const struct gang_sink *sink, int64_t now_ms)
{
	set_phase(gang, GANG_RUN, now_ms);
	gang->last_renew_ms = now_ms;
	for (uint32_t i = 0; i < gang->count; i++) {
		if (gang->members[i].phase == MEMBER_RUNNING)
			send_renew(gang, &gang->members[i], sink, now_ms);
	}
}

/* Enters the next phase if every member is ready for it. */
static void
advance(struct gang *gang, const struct gang_sink *sink, int64_t now_ms)
{
	uint32_t done = count_phase(gang, MEMBER_DONE);

	switch (gang->phase) {
	case GANG_RESERVE:
		if (count_phase(gang, MEMBER_RESERVED) == gang->count)
			enter_stage(gang, sink, now_ms);
		break;
	case GANG_STAGE:
		if (count_phase(gang, MEMBER_STAGED) == gang->count)
			set_phase(gang, GANG_INTENT, now_ms);
		break;
	case GANG_GO:
		if (count_phase(gang, MEMBER_RUNNING) + done != gang->count)
			break;
		enter_run(gang, sink, now_ms);
		/* FALLTHROUGH */
	case GANG_RUN:
		if (done != gang->count)
			break;
		gang->result = GANG_FINISHED;
		set_phase(gang, GANG_OVER, now_ms);
		break;
	case GANG_INTENT:
	case GANG_STOP:
	case GANG_OVER:
		break;
	}
	finish_if_over(gang, now_ms);
}

static void
copy_if_unset(char **field, const char *value)
{
	if (value == NULL || *field != NULL)
		return;
	*field = mem_strdup(value);
}

/* Copies the reported values of a task to its member. */
static void
record_task_report(struct gang_member *member, const struct worker_task *task)
{
	member->started = member->started || task->started;
	member->run_ms = task->run_ms;
	member->used_share = task->used_share;
	copy_if_unset(&member->answer, task->answer);
	copy_if_unset(&member->checkpoint, task->checkpoint);
}

/* Returns the final phase for a task state, or MEMBER_IDLE if the task has not
 * ended. */
static enum member_phase
end_phase(enum task_state state)
{
	switch (state) {
	case TASK_DONE:
		return MEMBER_DONE;
	case TASK_FAILED:
		return MEMBER_FAILED;
	case TASK_STOPPED:
		return MEMBER_STOPPED;
	case TASK_CHECKPOINTED:
		return MEMBER_CHECKPOINTED;
	case TASK_LAPSED:
		return MEMBER_LAPSED;
	case TASK_RESERVED:
	case TASK_STAGED:
	case TASK_RUNNING:
		break;
	}
	return MEMBER_IDLE;
}

/* Records that a task has ended. Stops the gang unless the task succeeded. */
static void
handle_member_end(struct gang *gang, struct gang_member *member,
    const struct worker_task *task, const struct gang_sink *sink,
    int64_t now_ms)
{
	const char *message = task->message == NULL ? "" : task->message;

	member->phase = end_phase(task->state);
	member->end_known = true;
	if (member->phase == MEMBER_DONE)
		return;
	if (member->phase == MEMBER_FAILED && member->started)
		begin_stop(gang, GANG_FAILED, member->worker,
		    *message == '\0' ? "task failed" : message, sink, now_ms);
	else if (member->started)
		begin_stop(gang, GANG_LOST, member->worker,
		    "task stopped on its worker", sink, now_ms);
	else
		begin_stop(gang, GANG_NOT_STARTED, member->worker,
		    *message == '\0' ? "worker refused" : message, sink,
		    now_ms);
}

/* Handles a report that was made after the last command but does not list the
 * task. */
static void
handle_missing_task(struct gang *gang, uint32_t index,
    const struct gang_sink *sink, int64_t now_ms)
{
	struct gang_member *member = &gang->members[index];

	if (member->phase == MEMBER_RESERVING && gang->phase == GANG_RESERVE) {
		/* The call with the reservation was lost; send it again. */
		send_reserve(gang, member, sink, now_ms);
		return;
	}
	member->phase = MEMBER_LAPSED;
	/* Once go was sent, the worker may have run the task and lost its
	 * state in a restart. */
	member->end_known = !gang->go_sent;
	begin_stop(gang, gang->go_sent ? GANG_LOST : GANG_NOT_STARTED,
	    member->worker, "worker no longer has the task", sink, now_ms);
}

/* Handles a report on a task that has not ended. */
static void
handle_active_task(struct gang *gang, uint32_t index, enum task_state state,
    const struct gang_sink *sink, int64_t now_ms)
{
	struct gang_member *member = &gang->members[index];

	if (gang->phase == GANG_STOP) {
		if (!gang->checkpointing)
			send_verb(member, VERB_STOP, sink);
		return;
	}
	switch (state) {
	case TASK_RESERVED:
		if (member->phase == MEMBER_RESERVING)
			member->phase = MEMBER_RESERVED;
		else if (member->phase == MEMBER_STAGING)
			send_stage(gang, index, sink);
		else if (gang->adopted)
			member->phase = MEMBER_RESERVED;
		break;
	case TASK_STAGED:
		if (member->phase == MEMBER_STAGING ||
		    member->phase == MEMBER_GOING)
			member->phase = MEMBER_STAGED;
		break;
	case TASK_RUNNING:
		if (member->phase == MEMBER_GOING)
			member->phase = MEMBER_RUNNING;
		break;
	default:
		break;
	}
	if (gang->adopted && gang->phase == GANG_GO &&
	    (state == TASK_RESERVED || state == TASK_STAGED))
		begin_stop(gang, GANG_NOT_STARTED, NULL,
		    "taken over before its start", sink, now_ms);
}

void
gang_handle_report(struct gang *gang, uint32_t index,
    const struct worker_task *task, uint64_t token,
    const struct gang_sink *sink, int64_t now_ms)
{
	struct gang_member *member = &gang->members[index];

	if (gang->phase == GANG_OVER || member_has_ended(member))
		return;
	if (task != NULL)
		record_task_report(member, task);
	if (task != NULL && end_phase(task->state) != MEMBER_IDLE)
		handle_member_end(gang, member, task, sink, now_ms);
	else if (token < member->min_report_token)
		return;
	else if (task == NULL)
		handle_missing_task(gang, index, sink, now_ms);
	else
		handle_active_task(gang, index, task->state, sink, now_ms);
	advance(gang, sink, now_ms);
}

void
gang_worker_lost(struct gang *gang, const char *worker,
    const struct gang_sink *sink, int64_t now_ms)
{
	bool any = false;

	for (uint32_t i = 0; i < gang->count; i++) {
		const struct gang_member *member = &gang->members[i];

		if (!member_has_ended(member) &&
		    strcmp(member->worker, worker) == 0)
			any = true;
	}
	if (!any)
		return;
	begin_stop(gang, gang->go_sent ? GANG_LOST : GANG_NOT_STARTED, worker,
	    "worker is silent", sink, now_ms);
	finish_if_over(gang, now_ms);
}

void
gang_permit(struct gang *gang, const struct gang_sink *sink, int64_t now_ms)
{
	if (!gang_wants_permit(gang))
		return;
	if (gang->phase == GANG_INTENT)
		set_phase(gang, GANG_GO, now_ms);
	for (uint32_t i = 0; i < gang->count; i++) {
		if (gang->members[i].phase == MEMBER_STAGED)
			send_go(gang, &gang->members[i], sink, now_ms);
	}
}

bool
gang_wants_permit(const struct gang *gang)
{
	if (gang->phase == GANG_INTENT)
		return true;
	return gang->phase == GANG_GO && !gang->adopted &&
	    count_phase(gang, MEMBER_STAGED) > 0;
}

static void
send_checkpoints(struct gang *gang, const struct gang_sink *sink)
{
	for (uint32_t i = 0; i < gang->count; i++) {
		if (!member_has_ended(&gang->members[i]))
			send_verb(&gang->members[i], VERB_CHECKPOINT, sink);
	}
}

void
gang_stop(struct gang *gang, enum gang_result result, bool checkpoint,
    const char *reason, const struct gang_sink *sink, int64_t now_ms)
{
	if (gang->phase == GANG_STOP || gang->phase == GANG_OVER)
		return;
	gang->evicted = result == GANG_EVICTED;
	if (!checkpoint || gang->phase != GANG_RUN) {
		begin_stop(gang, result, NULL, reason, sink, now_ms);
		finish_if_over(gang, now_ms);
		return;
	}
	gang->result = result;
	gang->checkpointing = true;
	gang->checkpoint_deadline_ms =
	    now_ms + gang->config.checkpoint_grace_ms;
	STRING_SHORTEN(gang->reason, reason);
	set_phase(gang, GANG_STOP, now_ms);
	send_checkpoints(gang, sink);
}

void
gang_throttle(struct gang *gang, const struct gang_sink *sink, int64_t now_ms)
{
	(void)now_ms;
	if (gang->phase != GANG_RUN || gang->throttled)
		return;
	gang->throttled = true;
	for (uint32_t i = 0; i < gang->count; i++) {
		if (gang->members[i].phase == MEMBER_RUNNING)
			send_verb(&gang->members[i], VERB_THROTTLE, sink);
	}
}

static void
renew_leases(struct gang *gang, const struct gang_sink *sink, int64_t now_ms)
{
	if (now_ms - gang->last_renew_ms <
	    gang->config.task_lease_ms / RENEWALS_PER_LEASE)
		return;
	gang->last_renew_ms = now_ms;
	for (uint32_t i = 0; i < gang->count; i++) {
		if (!member_has_ended(&gang->members[i]))
			send_renew(gang, &gang->members[i], sink, now_ms);
	}
}

/* Marks members as silent whose reservation or lease has expired without a
 * report; their workers have stopped them. */
static void
expire_members(struct gang *gang, int64_t now_ms)
{
	for (uint32_t i = 0; i < gang->count; i++) {
		struct gang_member *member = &gang->members[i];

		if (member_has_ended(member) || member_is_idle(member) ||
		    now_ms < member->occupied_until_ms)
			continue;
		member->phase = MEMBER_SILENT;
		member->end_known = !gang->go_sent;
	}
}

static void
continue_stop(struct gang *gang, const struct gang_sink *sink, int64_t now_ms)
{
	if (gang->checkpointing && now_ms >= gang->checkpoint_deadline_ms) {
		gang->checkpointing = false;
		send_stops(gang, sink);
	} else if (gang->checkpointing) {
		/* A task must keep its lease while it saves its state. */
		renew_leases(gang, sink, now_ms);
	}
	expire_members(gang, now_ms);
	finish_if_over(gang, now_ms);
}

/* Stops an attempt that has not started within timeout_ms of since_ms. The
 * first member with an unconfirmed command is recorded as the cause. */
static void
check_start_timeout(struct gang *gang, int32_t timeout_ms, int64_t since_ms,
    const struct gang_sink *sink, int64_t now_ms)
{
	const char *failed_worker = NULL;

	if (now_ms - since_ms < timeout_ms)
		return;
	for (uint32_t i = 0; i < gang->count && failed_worker == NULL; i++) {
		enum member_phase phase = gang->members[i].phase;

		if (phase == MEMBER_RESERVING || phase == MEMBER_STAGING ||
		    phase == MEMBER_GOING)
			failed_worker = gang->members[i].worker;
	}
	begin_stop(gang, gang->go_sent ? GANG_LOST : GANG_NOT_STARTED,
	    failed_worker, "start timed out", sink, now_ms);
	finish_if_over(gang, now_ms);
}

void
gang_tick(struct gang *gang, const struct gang_sink *sink, int64_t now_ms)
{
	switch (gang->phase) {
	case GANG_RESERVE:
	case GANG_STAGE:
	case GANG_INTENT:
		check_start_timeout(gang, gang->config.reservation_ms,
		    gang->started_ms, sink, now_ms);
		break;
	case GANG_GO:
		check_start_timeout(gang, gang->config.first_lease_ms,
		    gang->phase_since_ms, sink, now_ms);
		break;
	case GANG_RUN:
		renew_leases(gang, sink, now_ms);
		break;
	case GANG_STOP:
		continue_stop(gang, sink, now_ms);
		break;
	case GANG_OVER:
		break;
	}
}

bool
gang_may_have_started(const struct gang *gang)
{
	for (uint32_t i = 0; i < gang->count; i++) {
		const struct gang_member *member = &gang->members[i];

		if (member->started || (gang->go_sent && !member->end_known))
			return true;
	}
	return false;
}

bool
gang_outcome_unknown(const struct gang *gang)
{
	if (!gang->go_sent)
		return false;
	for (uint32_t i = 0; i < gang->count; i++) {
		if (!gang->members[i].end_known)
			return true;
	}
	return false;
}

struct gang *
gang_new(struct job_id job, const Ibis__JobRecord *record, uint64_t attempt,
    const char *const *workers, const struct gang_config *config)
{
	struct gang *gang = mem_calloc(1, sizeof(*gang));

	gang->job = job;
	gang->attempt = attempt;
	gang->record = record;
	gang->config = *config;
	gang->count = record->spec->tasks;
	gang->members = mem_calloc(gang->count, sizeof(*gang->members));
	for (uint32_t i = 0; i < gang->count; i++) {
		struct gang_member *member = &gang->members[i];

		STRING_COPY(member->worker, workers[i]);
		(void)snprintf(member->task, sizeof(member->task),
		    "%s.%" PRIu64 ".%" PRIu32, record->id, attempt, i);
	}
	return gang;
}

void
gang_free(struct gang *gang)
{
	if (gang == NULL)
		return;
	for (uint32_t i = 0; i < gang->count; i++) {
		mem_free(gang->members[i].answer);
		mem_free(gang->members[i].checkpoint);
	}
	mem_free(gang->members);
	mem_free(gang);
}

void
gang_start(struct gang *gang, const struct gang_sink *sink, int64_t now_ms)
{
	gang->started_ms = now_ms;
	set_phase(gang, GANG_RESERVE, now_ms);
	for (uint32_t i = 0; i < gang->count; i++)
		send_reserve(gang, &gang->members[i], sink, now_ms);
}

void
gang_adopt(struct gang *gang, int64_t now_ms)
{
	gang->started_ms = now_ms;
	gang->adopted = true;
	gang->go_sent = true;
	set_phase(gang, GANG_GO, now_ms);
	for (uint32_t i = 0; i < gang->count; i++) {
		struct gang_member *member = &gang->members[i];

		member->phase = MEMBER_GOING;
		/* The earlier lead may have renewed the lease just before it
		 * stopped. */
		member->occupied_until_ms = now_ms +
		    gang->config.task_lease_ms + GANG_MAX_COMMAND_DELAY_MS;
	}
}

/* Parses a decimal number of at most max followed by the character end. Returns
 * the text after end, or NULL when it is malformed. */
static const char *
parse_number(const char *text, char end, uint64_t max, uint64_t *number)
{
	char *rest;

	if (*text < '0' || *text > '9')
		return NULL;
	errno = 0;
	*number = strtoull(text, &rest, 10);
	if (errno != 0 || *rest != end || *number > max)
		return NULL;
	return rest + 1;
}

bool
gang_parse_task(
    const char *text, struct job_id *job, uint64_t *attempt, uint32_t *index)
{
	char id[JOB_ID_BYTES];
	uint64_t number;

	(void)string_copy_part(id, sizeof(id), text, JOB_ID_BYTES - 1);
	if (!job_id_parse(id, job) || text[JOB_ID_BYTES - 1] != '.')
		return false;
	text = parse_number(text + JOB_ID_BYTES, '.', UINT64_MAX, attempt);
	if (text == NULL ||
	    parse_number(text, '\0', UINT32_MAX, &number) == NULL)
		return false;
	*index = (uint32_t)number;
	return true;
}

uint64_t
gang_next_attempt(uint64_t last, uint64_t epoch)
{
	uint64_t base = epoch * ATTEMPTS_PER_EPOCH;

	return (last > base ? last : base) + 1;
}
