/*
 * Callers' requests that wait for the store: submissions, cancellations, and
 * reads of jobs whose record this instance has not seen.
 */
#include <stdio.h>
#include <string.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/proto_memory.h"

/* A request is answered at least this long before the caller's deadline. */
#define ANSWER_MARGIN_MS 150
/* Wait before a failed store call is retried. */
#define STORE_RETRY_INTERVAL_MS 60
/* Retry-After of a 503: normally, and while the store is unreachable. */
#define RETRY_AFTER_MS		   1000
#define UNREACHABLE_RETRY_AFTER_MS 2000
/* A submission that the store has refused is retried for this long before the
 * caller gets 503. */
#define REFUSED_RETRY_LIMIT_MS 400
/* A submission that has not been sent waits this long for a suspect store to
 * recover. */
#define SUSPECT_WAIT_LIMIT_MS	  500
#define SUSPECT_CHECK_INTERVAL_MS 20
/* Callers' requests that may have a call to the store in flight, each of which
 * takes a descriptor. Where the limit of descriptors is known: this part of
 * them. Further ones wait. Half is for submissions and cancellations only, so
 * that they don't wait behind reads of jobs that nobody knows. */
#define MAX_CALLS_IN_FLIGHT    256
#define DESCRIPTORS_PART       8
#define CALL_RETRY_INTERVAL_MS 20

enum http_status {
	STATUS_OK = 200,
	STATUS_GONE = 410,
	STATUS_UNAVAILABLE = 503,
	STATUS_TIMEOUT = 504
};

enum pending_kind {
	PENDING_SUBMIT,
	PENDING_CANCEL,
	PENDING_READ
};

/* A caller's request that waits for the store. Freed once it has been answered
 * and its store call, if any, has ended. */
struct pending_request {
	struct cds_list_head node;
	struct agent *agent;
	struct gateway_request *request; /* NULL: answered */
	enum pending_kind kind;
	char id[FLEET_ID_BYTES];
	struct buffer value; /* of a submission: the job's record, packed */
	int64_t give_up_ms;  /* answered at this time at the latest */
	int64_t retry_at_ms;
	bool call_in_flight;
	bool sent;	       /* at least one call was made */
	bool job_exists;       /* of a cancellation: as far as known */
	bool unknown_outcome;  /* a write may have been applied */
	bool cancelled_before; /* a submission after its cancellation */
};

/* Logs the outcome of a cancellation. */
static void
log_cancel(const struct pending_request *pending, const char *outcome)
{
	agent_log_answer(pending->agent, LOG_INFO, "cancel", pending->id,
	    outcome, pending->request->received_ms);
}

/* Refusals are logged as a separate event, so that the rate limit for each
 * event doesn't drop them when many jobs are accepted. */
static void
log_submit(const struct pending_request *pending, int32_t status)
{
	enum log_level level = status == STATUS_OK ? LOG_INFO : LOG_WARN;
	const char *event = "submit";
	const char *outcome = "accepted";

	if (status == STATUS_TIMEOUT) {
		event = "submit_unknown";
		outcome = "no answer of the store";
	} else if (status != STATUS_OK) {
		event = "submit_refused";
		outcome = pending->sent ? "store refused" : "store not asked";
		if (pending->cancelled_before)
			outcome = "cancelled before";
	}
	agent_log_answer(pending->agent, level, event, pending->id, outcome,
	    pending->request->received_ms);
}

/* Answers a pending request and frees it, unless a store call is in flight:
 * then the call's answer frees it. */
static void
finish(struct pending_request *pending, int32_t status, const char *body,
    int64_t retry_after_ms)
{
	struct agent *agent = pending->agent;

	if (pending->kind == PENDING_SUBMIT) {
		counter_add(status == STATUS_OK
			? COUNTER_JOBS_ACCEPTED
			: COUNTER_JOBS_REFUSED_UNAVAILABLE,
		    1);
		log_submit(pending, status);
	}
	gateway_reply(
	    agent->gateway, pending->request, status, body, retry_after_ms);
	pending->request = NULL;
	cds_list_del(&pending->node);
	agent->pending_request_count--;
	buffer_free(&pending->value);
	if (!pending->call_in_flight)
		mem_free(pending);
}

/* Answers a request whose outcome is unknown. */
static void
finish_unknown(struct pending_request *pending)
{
	finish(pending, STATUS_TIMEOUT, NULL, 0);
}

/* Answers a request that has certainly not been applied. */
static void
finish_unavailable(struct pending_request *pending)
{
	bool unreachable = agent_relay_health(pending->agent, clock_now_ms()) ==
	    STORE_UNREACHABLE;

	finish(pending, STATUS_UNAVAILABLE, NULL,
	    unreachable ? UNREACHABLE_RETRY_AFTER_MS : RETRY_AFTER_MS);
}

static bool
item_exists(const struct platform_store_answer *answer, const char *prefix)
{
	for (size_t i = 0; i < answer->items_count; i++) {
		const struct platform_store_item *item = &answer->items[i];

		if (item->revision != 0 && !item->deleted &&
		    agent_watch_key_suffix(item->key, prefix) != NULL)
			return true;
	}
	return false;
}

/* Answers a submission whose job has been stored by an earlier try, or has been
 * cancelled before it was stored. */
static void
submit_conflict(
    struct pending_request *pending, const struct platform_store_answer *answer)
{
	if (item_exists(answer, AGENT_CANCEL_PREFIX) &&
	    !item_exists(answer, AGENT_JOB_PREFIX)) {
		pending->cancelled_before = true;
		finish(pending, STATUS_UNAVAILABLE, NULL, 0);
		return;
	}
	finish(pending, STATUS_OK, NULL, 0);
}

static void
submit_answered(
    struct pending_request *pending, const struct platform_store_answer *answer)
{
	switch (answer->outcome) {
	case STORE_DONE:
		agent_hint_send(pending->agent, pending->id, answer->revision,
		    &pending->value);
		finish(pending, STATUS_OK, NULL, 0);
		return;
	case STORE_CONFLICT:
		submit_conflict(pending, answer);
		return;
	case STORE_UNKNOWN:
		pending->unknown_outcome = true;
		break;
	case STORE_REFUSED:
	case STORE_NOT_SENT:
	case STORE_MISSING:
	case STORE_COMPACTED:
	case STORE_TOO_LONG:
		if (!pending->unknown_outcome &&
		    answer->received_ms - pending->request->received_ms >
			REFUSED_RETRY_LIMIT_MS) {
			finish_unavailable(pending);
			return;
		}
		break;
	}
	pending->retry_at_ms = answer->received_ms + STORE_RETRY_INTERVAL_MS;
	agent_wake_at(pending->agent, pending->retry_at_ms);
}

/* Handles the answer to a read of the job's record. */
static void
read_answered(
    struct pending_request *pending, const struct platform_store_answer *answer)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	struct view_job *job;

	if (answer->outcome == STORE_MISSING) {
		finish(pending, STATUS_GONE, NULL, 0);
		return;
	}
	if (answer->outcome != STORE_DONE) {
		pending->retry_at_ms =
		    answer->received_ms + STORE_RETRY_INTERVAL_MS;
		agent_wake_at(pending->agent, pending->retry_at_ms);
		return;
	}
	job = agent_view_job(pending->agent, pending->id);
	if (job != NULL)
		agent_view_render_phase(job, &body);
	else
		platform_render_phase(
		    IBIS__STEP_JOB_PHASE__PHASE_PENDING, &body);
	finish(pending, STATUS_OK, buffer_string(&body), 0);
}

static void
cancel_answered(
    struct pending_request *pending, const struct platform_store_answer *answer)
{
	if (answer->outcome == STORE_DONE && pending->job_exists) {
		log_cancel(pending, "stored");
		finish(pending, STATUS_OK, NULL, 0);
		return;
	}
	if (answer->outcome == STORE_DONE) {
		log_cancel(pending, "no such job");
		finish(pending, STATUS_GONE, NULL, 0);
		return;
	}
	pending->retry_at_ms = answer->received_ms + STORE_RETRY_INTERVAL_MS;
	if (answer->outcome == STORE_CONFLICT) {
		pending->job_exists = true;
		pending->retry_at_ms = answer->received_ms;
	}
	if (answer->outcome == STORE_UNKNOWN)
		pending->unknown_outcome = true;
	agent_wake_at(pending->agent, pending->retry_at_ms);
}

static void
store_answered(void *context, const struct platform_store_answer *answer)
{
	struct pending_request *pending = context;

	pending->call_in_flight = false;
	pending->agent->pending_calls--;
	if (pending->request == NULL) {
		mem_free(pending);
		return;
	}
	switch (pending->kind) {
	case PENDING_SUBMIT:
		submit_answered(pending, answer);
		break;
	case PENDING_CANCEL:
		cancel_answered(pending, answer);
		break;
	case PENDING_READ:
		read_answered(pending, answer);
		break;
	}
}

/* Stores the job's record, unless there is one, or the job has been cancelled:
 * then it must not run, even if the store carries this out late. */
static void
write_job(struct pending_request *pending, const char *job_key,
    const char *cancel_key)
{
	struct platform_store_op changes[] = {
	    {
		.key = job_key,
		.has_condition = true,
		.put = true,
		.value = buffer_string(&pending->value),
		.value_length = pending->value.length,
	    },
	    {.key = cancel_key, .has_condition = true},
	};

	platform_store_commit(&pending->agent->store, changes,
	    COUNT_OF(changes), store_answered, pending);
}

/* Stores the cancellation. That of a job without a record is conditional, so
 * that it is known whether there is one. */
static void
write_cancel(struct pending_request *pending, const char *job_key,
    const char *cancel_key)
{
	struct platform_store_op changes[] = {
	    {.key = cancel_key, .put = true, .value = ""},
	    {.key = job_key, .has_condition = true},
	};

	platform_store_commit(&pending->agent->store, changes,
	    pending->job_exists ? 1 : COUNT_OF(changes), store_answered,
	    pending);
}

/* Returns whether one more call for a caller may be made now. */
static bool
may_call(const struct agent *agent, enum pending_kind kind)
{
	int64_t files = agent->settings.max_open_files;
	int64_t limit = MAX_CALLS_IN_FLIGHT;

	if (files > 0 && files / DESCRIPTORS_PART < limit)
		limit = files / DESCRIPTORS_PART;
	if (kind == PENDING_READ)
		limit /= 2;
	return agent->pending_calls < limit;
}

/* Makes the store call that a pending request needs next, or lets it wait until
 * fewer are in flight. */
static void
call_store(struct pending_request *pending)
{
	char job_key[PLATFORM_KEY_BYTES];
	char cancel_key[PLATFORM_KEY_BYTES];

	(void)snprintf(
	    job_key, sizeof(job_key), "%s%s", AGENT_JOB_PREFIX, pending->id);
	(void)snprintf(cancel_key, sizeof(cancel_key), "%s%s",
	    AGENT_CANCEL_PREFIX, pending->id);
	if (!may_call(pending->agent, pending->kind)) {
		pending->retry_at_ms = clock_now_ms() + CALL_RETRY_INTERVAL_MS;
		agent_wake_at(pending->agent, pending->retry_at_ms);
		return;
	}
	pending->agent->pending_calls++;
	pending->call_in_flight = true;
	pending->sent = true;
	switch (pending->kind) {
	case PENDING_SUBMIT:
		write_job(pending, job_key, cancel_key);
		break;
	case PENDING_CANCEL:
		write_cancel(pending, job_key, cancel_key);
		break;
	case PENDING_READ:
		platform_store_get(
		    &pending->agent->store, job_key, store_answered, pending);
		break;
	}
}

static struct pending_request *
new_pending_request(struct agent *agent, struct gateway_request *request,
    enum pending_kind kind, const char *id)
{
	struct pending_request *pending = mem_calloc(1, sizeof(*pending));

	pending->agent = agent;
	pending->request = request;
	pending->kind = kind;
	pending->give_up_ms = request->deadline_ms - ANSWER_MARGIN_MS;
	STRING_COPY(pending->id, id);
	cds_list_add_tail(&pending->node, &agent->pending_requests);
	agent->pending_request_count++;
	return pending;
}

/*
 * Makes a submission's first store call, but holds it back while the store is
 * suspect: a job that was never sent can be refused with certainty, since it
 * has not run and never will.
 */
static void
send_first_try(struct pending_request *pending, int64_t now_ms)
{
	switch (agent_relay_health(pending->agent, now_ms)) {
	case STORE_HEALTHY:
		call_store(pending);
		return;
	case STORE_SUSPECT:
		if (now_ms - pending->request->received_ms <
		    SUSPECT_WAIT_LIMIT_MS) {
			pending->retry_at_ms =
			    now_ms + SUSPECT_CHECK_INTERVAL_MS;
			agent_wake_at(pending->agent, pending->retry_at_ms);
			return;
		}
		break;
	case STORE_UNREACHABLE:
		break;
	}
	finish_unavailable(pending);
}

void
agent_pending_submit(struct agent *agent, struct gateway_request *request,
    const char *id, const Ibis__StepJob *job, int64_t now_ms)
{
	struct pending_request *pending =
	    new_pending_request(agent, request, PENDING_SUBMIT, id);

	proto_pack(&job->base, &pending->value);
	send_first_try(pending, now_ms);
}

void
agent_pending_read(
    struct agent *agent, struct gateway_request *request, const char *id)
{
	call_store(new_pending_request(agent, request, PENDING_READ, id));
}

void
agent_pending_cancel(struct agent *agent, struct gateway_request *request,
    const char *id, bool known)
{
	struct pending_request *pending =
	    new_pending_request(agent, request, PENDING_CANCEL, id);

	pending->job_exists = known;
	call_store(pending);
}

void
agent_pending_step(struct agent *agent, int64_t now_ms)
{
	struct pending_request *pending;
	struct pending_request *next;

	cds_list_for_each_entry_safe (
	    pending, next, &agent->pending_requests, node) {
		if (now_ms >= pending->give_up_ms) {
			if (pending->call_in_flight || pending->unknown_outcome)
				finish_unknown(pending);
			else
				finish_unavailable(pending);
			continue;
		}
		agent_wake_at(agent, pending->give_up_ms);
		if (pending->call_in_flight)
			continue;
		if (now_ms >= pending->retry_at_ms && pending->sent)
			call_store(pending);
		else if (now_ms >= pending->retry_at_ms)
			send_first_try(pending, now_ms);
		else
			agent_wake_at(agent, pending->retry_at_ms);
	}
}

void
agent_pending_end(struct agent *agent)
{
	while (!cds_list_empty(&agent->pending_requests))
		finish_unknown(cds_list_first_entry(
		    &agent->pending_requests, struct pending_request, node));
}
