/* Callers' requests: submitting, reading and cancelling jobs. */
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
/* Further requests get 503. */
#define MAX_PENDING_REQUESTS 2000
/* A submission that has not been sent waits this long for a suspect store to
 * recover. */
#define SUSPECT_WAIT_LIMIT_MS	  500
#define SUSPECT_CHECK_INTERVAL_MS 20

enum http_status {
	STATUS_OK = 200,
	STATUS_BAD_REQUEST = 400,
	STATUS_UNAUTHORIZED = 401,
	STATUS_NOT_FOUND = 404,
	STATUS_METHOD_NOT_ALLOWED = 405,
	STATUS_GONE = 410,
	STATUS_BUSY = 429,
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
	bool sent;	      /* at least one call was made */
	bool writing_cancel;  /* the job exists; its cancel key is written */
	bool unknown_outcome; /* a write may have been applied */
};

static void
reply(struct agent *agent, struct gateway_request *request, int32_t status,
    const char *body, int64_t retry_after_ms)
{
	gateway_reply(agent->gateway, request, status, body, retry_after_ms);
}

static void
log_answer(const struct agent *agent, enum log_level level, const char *event,
    const char *id, const char *outcome, int64_t received_ms)
{
	int64_t now_ms = clock_now_ms();

	log_event(level, event, "job", id, "outcome", outcome, "took_ms",
	    log_number(now_ms - received_ms), "config",
	    log_number(agent_config_version(agent)), "config_age_ms",
	    log_number(agent_config_age_ms(agent, now_ms)), "view_age_ms",
	    log_number(now_ms - agent_watch_answered_ms(agent->records_watch)),
	    "store_answer_age_ms",
	    log_number(now_ms - agent->relay.answered_ms), NULL);
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
	}
	log_answer(pending->agent, level, event, pending->id, outcome,
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
	reply(agent, pending->request, status, body, retry_after_ms);
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

static void
render_phase(const struct view_job *job, struct buffer *body)
{
	Ibis__StepJobPhase phase = job->phase;

	if (job->cancelled &&
	    (phase == IBIS__STEP_JOB_PHASE__PHASE_PENDING ||
		phase == IBIS__STEP_JOB_PHASE__PHASE_RUNNING))
		phase = IBIS__STEP_JOB_PHASE__PHASE_CANCELLED;
	platform_render_phase(phase, body);
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
	case STORE_CONFLICT: /* an earlier try has stored the job */
		finish(pending, STATUS_OK, NULL, 0);
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

/* Handles the answer to a read of the job's record, for a read request or
 * before a cancellation is written. */
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
	if (pending->kind == PENDING_CANCEL) {
		pending->writing_cancel = true;
		pending->retry_at_ms = answer->received_ms;
		agent_wake_at(pending->agent, pending->retry_at_ms);
		return;
	}
	job = agent_view_job(pending->agent, pending->id);
	if (job != NULL)
		render_phase(job, &body);
	else
		platform_render_phase(
		    IBIS__STEP_JOB_PHASE__PHASE_PENDING, &body);
	finish(pending, STATUS_OK, buffer_string(&body), 0);
}

static void
cancel_answered(
    struct pending_request *pending, const struct platform_store_answer *answer)
{
	if (answer->outcome == STORE_DONE) {
		log_answer(pending->agent, LOG_INFO, "cancel", pending->id,
		    "stored", pending->request->received_ms);
		finish(pending, STATUS_OK, NULL, 0);
		return;
	}
	if (answer->outcome == STORE_UNKNOWN)
		pending->unknown_outcome = true;
	pending->retry_at_ms = answer->received_ms + STORE_RETRY_INTERVAL_MS;
	agent_wake_at(pending->agent, pending->retry_at_ms);
}

static void
store_answered(void *context, const struct platform_store_answer *answer)
{
	struct pending_request *pending = context;

	pending->call_in_flight = false;
	if (pending->request == NULL) {
		mem_free(pending);
		return;
	}
	if (pending->kind == PENDING_SUBMIT)
		submit_answered(pending, answer);
	else if (pending->writing_cancel)
		cancel_answered(pending, answer);
	else
		read_answered(pending, answer);
}

/* Makes the store call that a pending request needs next. */
static void
call_store(struct pending_request *pending)
{
	struct agent *agent = pending->agent;
	char key[PLATFORM_KEY_BYTES];
	struct platform_store_op change = {.key = key, .put = true};

	pending->call_in_flight = true;
	pending->sent = true;
	if (pending->kind == PENDING_SUBMIT) {
		(void)snprintf(
		    key, sizeof(key), "%s%s", AGENT_JOB_PREFIX, pending->id);
		change.has_condition = true;
		change.value = buffer_string(&pending->value);
		change.value_length = pending->value.length;
		platform_store_commit(
		    &agent->store, &change, 1, store_answered, pending);
	} else if (pending->writing_cancel) {
		(void)snprintf(
		    key, sizeof(key), "%s%s", AGENT_CANCEL_PREFIX, pending->id);
		change.value = "";
		platform_store_commit(
		    &agent->store, &change, 1, store_answered, pending);
	} else {
		(void)snprintf(
		    key, sizeof(key), "%s%s", AGENT_JOB_PREFIX, pending->id);
		platform_store_get(&agent->store, key, store_answered, pending);
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

static void
submit(struct agent *agent, struct gateway_request *request,
    const struct route *route, const struct routes_workspace *workspace,
    const char *id, int64_t now_ms)
{
	const struct view_job *known = agent_view_job(agent, id);
	struct ibis_status status = {0};
	struct pending_request *pending;
	Ibis__StepJob *spec;

	if (known != NULL && known->spec != NULL) {
		counter_add(COUNTER_JOBS_REPEATED, 1);
		log_answer(agent, LOG_INFO, "submit", id, "repeated",
		    request->received_ms);
		reply(agent, request, STATUS_OK, NULL, 0);
		return;
	}
	if (route->advice.needed) {
		/* Starts on this route need tickets of the advice service,
		 * which the lead doesn't request yet: the job would never
		 * run. */
		counter_add(COUNTER_JOBS_REFUSED_UNAVAILABLE, 1);
		log_answer(agent, LOG_WARN, "submit_refused", id,
		    "queue needs advice", request->received_ms);
		reply(agent, request, STATUS_UNAVAILABLE, NULL, 0);
		return;
	}
	spec = platform_job_parse(
	    buffer_string(&request->body), request->body.length, &status);
	if (spec == NULL) {
		counter_add(COUNTER_JOBS_REFUSED_INVALID, 1);
		log_answer(agent, LOG_WARN, "submit_invalid", id,
		    status.message, request->received_ms);
		reply(agent, request, STATUS_BAD_REQUEST, NULL, 0);
		return;
	}
	proto_set_string(&spec->route, route->name);
	proto_set_string(&spec->service, route->service);
	proto_set_string(
	    &spec->workspace, workspace == NULL ? "" : workspace->name);
	spec->accepted_wall_ms = clock_wall_ms();
	spec->priority = route->priority;
	spec->attempts = route->attempts;
	spec->stretch_milli = route->stretch_milli;
	spec->target_ms = route->target_ms;
	pending = new_pending_request(agent, request, PENDING_SUBMIT, id);
	proto_pack(&spec->base, &pending->value);
	ibis__step_job__free_unpacked(spec, proto_allocator());
	send_first_try(pending, now_ms);
}

static void
read_job(struct agent *agent, struct gateway_request *request, const char *id)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	struct view_job *job = agent_view_job(agent, id);

	if (job != NULL && job->spec != NULL) {
		render_phase(job, &body);
		reply(agent, request, STATUS_OK, buffer_string(&body), 0);
		return;
	}
	call_store(new_pending_request(agent, request, PENDING_READ, id));
}

static void
cancel(struct agent *agent, struct gateway_request *request, const char *id)
{
	struct view_job *job = agent_view_job(agent, id);
	struct pending_request *pending;

	if (job != NULL && job->cancelled) {
		reply(agent, request, STATUS_OK, NULL, 0);
		return;
	}
	pending = new_pending_request(agent, request, PENDING_CANCEL, id);
	pending->writing_cancel = job != NULL && job->spec != NULL;
	call_store(pending);
}

/* Replies with the number of the route's pending jobs, without jobs that have
 * scheduled occurrences. */
static void
count_pending(struct agent *agent, struct gateway_request *request,
    const struct route *route)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	uint64_t count = 0;

	for (size_t i = 0; i < agent->jobs.count; i++) {
		const struct view_job *job = agent->jobs.items[i].item;

		if (job->spec != NULL && !job->cancelled &&
		    job->spec->times == 0 &&
		    job->phase == IBIS__STEP_JOB_PHASE__PHASE_PENDING &&
		    strcmp(job->spec->route, route->name) == 0)
			count++;
	}
	platform_render_pending(count, &body);
	log_answer(agent, LOG_INFO, "count_pending", request->path, "counted",
	    request->received_ms);
	reply(agent, request, STATUS_OK, buffer_string(&body), 0);
}

static void
serve_job(struct agent *agent, struct gateway_request *request,
    const struct route *route, const struct routes_workspace *workspace,
    const char *id)
{
	switch (request->method) {
	case GATEWAY_POST:
		submit(agent, request, route, workspace, id, clock_now_ms());
		break;
	case GATEWAY_GET:
		read_job(agent, request, id);
		break;
	case GATEWAY_DELETE:
		cancel(agent, request, id);
		break;
	case GATEWAY_OTHER:
		reply(agent, request, STATUS_METHOD_NOT_ALLOWED, NULL, 0);
		break;
	}
}

/* Refuses a request that has not run for the time being. */
static void
refuse_for_now(struct agent *agent, struct gateway_request *request,
    const char *reason, int64_t retry_after_ms)
{
	log_answer(agent, LOG_WARN, "request_refused", request->path, reason,
	    request->received_ms);
	reply(agent, request, STATUS_UNAVAILABLE, NULL, retry_after_ms);
}

/* Refuses a request that the configuration does not allow. Whether the current
 * one does is unknown unless it is confirmed. */
static void
refuse_by_config(struct agent *agent, struct gateway_request *request,
    int32_t status, const char *reason)
{
	if (!agent_config_confirmed(agent, clock_now_ms())) {
		refuse_for_now(agent, request, "configuration not confirmed",
		    UNREACHABLE_RETRY_AFTER_MS);
		return;
	}
	log_answer(agent, LOG_WARN, "request_refused", request->path, reason,
	    request->received_ms);
	reply(agent, request, status, NULL, 0);
}

/* Returns why no request can be answered now; NULL: it can. */
static const char *
reason_not_to_answer(const struct agent *agent, int64_t now_ms)
{
	if (agent_config_routes(agent) == NULL ||
	    !agent_watch_loaded(agent->records_watch) ||
	    agent->pending_request_count >= MAX_PENDING_REQUESTS)
		return "not ready";
	return agent_config_usable(agent, now_ms)
	    ? NULL
	    : "configuration not confirmed";
}

static void
serve_route(struct agent *agent, struct gateway_request *request,
    const struct route *route, const struct routes_workspace *workspace,
    const char *path_suffix)
{
	if (*path_suffix == '\0' && request->method == GATEWAY_GET)
		count_pending(agent, request, route);
	else if (platform_is_job_id(path_suffix))
		serve_job(agent, request, route, workspace, path_suffix);
	else
		reply(agent, request, STATUS_NOT_FOUND, NULL, 0);
}

void
agent_callers_request(
    struct agent *agent, struct gateway_request *request, int64_t now_ms)
{
	const char *reason = reason_not_to_answer(agent, now_ms);
	const struct routes *routes = agent_config_routes(agent);
	const struct routes_workspace *workspace;
	const struct route *route;
	const char *path_suffix;

	if (reason != NULL) {
		refuse_for_now(agent, request, reason, RETRY_AFTER_MS);
		return;
	}
	route =
	    routes_match(routes, request->host, request->path, &path_suffix);
	if (route == NULL) {
		refuse_by_config(agent, request, STATUS_NOT_FOUND, "no route");
		return;
	}
	workspace = routes_find_workspace(routes, request->key);
	if (workspace == NULL && !route->open)
		refuse_by_config(
		    agent, request, STATUS_UNAUTHORIZED, "unknown key");
	else
		serve_route(agent, request, route, workspace, path_suffix);
}

void
agent_callers_step(struct agent *agent, int64_t now_ms)
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
agent_callers_end(struct agent *agent)
{
	while (!cds_list_empty(&agent->pending_requests))
		finish_unknown(cds_list_first_entry(
		    &agent->pending_requests, struct pending_request, node));
}
