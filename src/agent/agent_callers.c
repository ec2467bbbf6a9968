/* Callers' requests: handing jobs in, asking for them, cancelling them. */
#include <stdio.h>
#include <string.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/proto_memory.h"

/* Left of the caller's time when the last answer goes out. */
#define ANSWER_MARGIN_MS 150
/* A store that did not answer is asked again after this time. */
#define STORE_RETRY_MS		  60
#define RETRY_AFTER_MS		  1000
#define STORE_LOST_RETRY_AFTER_MS 2000
/* What the store surely refuses is tried this long before the caller is told.
 */
#define REFUSED_PATIENCE_MS 400
#define MAX_PENDING	    2000
/* A submission that has not left waits so long for a doubtful store. */
#define DOUBT_PATIENCE_MS 500
#define DOUBT_STEP_MS	  20

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

/* A request that waits for the store. */
struct pending {
	struct cds_list_head node;
	struct agent *agent;
	struct gateway_request *request;
	enum pending_kind kind;
	char id[FLEET_ID_BYTES];
	struct buffer value; /* the job's record */
	int64_t give_up_ms;
	int64_t again_ms;
	bool calling;
	bool sent;	 /* some try has left this instance */
	bool cancelling; /* the job is there: its mark is being written */
	bool uncertain;	 /* a try had no answer */
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
	    log_number(
		agent->routes == NULL ? -1 : (int64_t)agent->routes->version),
	    "view_age_ms",
	    log_number(now_ms - agent_watch_confirmed_ms(agent->own)),
	    "store_answer_age_ms",
	    log_number(now_ms - agent->relay.answered_ms), NULL);
}

/* Refusals have an event of their own, so that a flood of accepted jobs does
 * not crowd their lines out. */
static void
log_submit(const struct pending *pending, int32_t status)
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

static void
finish(struct pending *pending, int32_t status, const char *body,
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
	agent->pending_count--;
	buffer_free(&pending->value);
	if (!pending->calling)
		mem_free(pending);
}

/* Not known, and no time left to find out. */
static void
finish_unknown(struct pending *pending)
{
	finish(pending, STATUS_TIMEOUT, NULL, 0);
}

/* Surely not done. */
static void
finish_unavailable(struct pending *pending)
{
	bool lost =
	    agent_relay_health(pending->agent, clock_now_ms()) == STORE_LOST;

	finish(pending, STATUS_UNAVAILABLE, NULL,
	    lost ? STORE_LOST_RETRY_AFTER_MS : RETRY_AFTER_MS);
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
    struct pending *pending, const struct platform_store_answer *answer)
{
	switch (answer->outcome) {
	case STORE_DONE:
		agent_hint_send(pending->agent, pending->id, answer->revision,
		    &pending->value);
		finish(pending, STATUS_OK, NULL, 0);
		return;
	case STORE_CONFLICT: /* it is there: from an earlier try */
		finish(pending, STATUS_OK, NULL, 0);
		return;
	case STORE_UNKNOWN:
		pending->uncertain = true;
		break;
	case STORE_REFUSED:
	case STORE_NOT_SENT:
	case STORE_MISSING:
	case STORE_COMPACTED:
		if (!pending->uncertain &&
		    answer->received_ms - pending->request->received_ms >
			REFUSED_PATIENCE_MS) {
			finish_unavailable(pending);
			return;
		}
		break;
	}
	pending->again_ms = answer->received_ms + STORE_RETRY_MS;
	agent_wake_at(pending->agent, pending->again_ms);
}

/* The job's record has been read without delay. */
static void
read_answered(
    struct pending *pending, const struct platform_store_answer *answer)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	struct view_job *job;

	if (answer->outcome == STORE_MISSING) {
		finish(pending, STATUS_GONE, NULL, 0);
		return;
	}
	if (answer->outcome != STORE_DONE) {
		pending->again_ms = answer->received_ms + STORE_RETRY_MS;
		agent_wake_at(pending->agent, pending->again_ms);
		return;
	}
	if (pending->kind == PENDING_CANCEL) {
		pending->cancelling = true;
		pending->again_ms = answer->received_ms;
		agent_wake_at(pending->agent, pending->again_ms);
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
    struct pending *pending, const struct platform_store_answer *answer)
{
	if (answer->outcome == STORE_DONE) {
		log_answer(pending->agent, LOG_INFO, "cancel", pending->id,
		    "stored", pending->request->received_ms);
		finish(pending, STATUS_OK, NULL, 0);
		return;
	}
	if (answer->outcome == STORE_UNKNOWN)
		pending->uncertain = true;
	pending->again_ms = answer->received_ms + STORE_RETRY_MS;
	agent_wake_at(pending->agent, pending->again_ms);
}

static void
store_answered(void *context, const struct platform_store_answer *answer)
{
	struct pending *pending = context;

	pending->calling = false;
	if (pending->request == NULL) {
		mem_free(pending);
		return;
	}
	if (pending->kind == PENDING_SUBMIT)
		submit_answered(pending, answer);
	else if (pending->cancelling)
		cancel_answered(pending, answer);
	else
		read_answered(pending, answer);
}

static void
call_store(struct pending *pending)
{
	struct agent *agent = pending->agent;
	char key[PLATFORM_KEY_BYTES];
	struct platform_change change = {.key = key, .put = true};

	pending->calling = true;
	pending->sent = true;
	if (pending->kind == PENDING_SUBMIT) {
		(void)snprintf(
		    key, sizeof(key), "%s%s", AGENT_JOB_PREFIX, pending->id);
		change.has_condition = true;
		change.value = buffer_string(&pending->value);
		change.value_length = pending->value.length;
		platform_store_change(
		    &agent->store, &change, 1, store_answered, pending);
	} else if (pending->cancelling) {
		(void)snprintf(
		    key, sizeof(key), "%s%s", AGENT_STOP_PREFIX, pending->id);
		change.value = "";
		platform_store_change(
		    &agent->store, &change, 1, store_answered, pending);
	} else {
		(void)snprintf(
		    key, sizeof(key), "%s%s", AGENT_JOB_PREFIX, pending->id);
		platform_store_get(&agent->store, key, store_answered, pending);
	}
}

static struct pending *
new_pending(struct agent *agent, struct gateway_request *request,
    enum pending_kind kind, const char *id)
{
	struct pending *pending = mem_calloc(1, sizeof(*pending));

	pending->agent = agent;
	pending->request = request;
	pending->kind = kind;
	pending->give_up_ms = request->deadline_ms - ANSWER_MARGIN_MS;
	STRING_COPY(pending->id, id);
	cds_list_add_tail(&pending->node, &agent->pending);
	agent->pending_count++;
	return pending;
}

/*
 * Sends a first try. While the store is doubtful it stays here instead, so
 * that a refusal is true: it has not run and never will.
 */
static void
first_try(struct pending *pending, int64_t now_ms)
{
	switch (agent_relay_health(pending->agent, now_ms)) {
	case STORE_ANSWERS:
		call_store(pending);
		return;
	case STORE_DOUBTFUL:
		if (now_ms - pending->request->received_ms <
		    DOUBT_PATIENCE_MS) {
			pending->again_ms = now_ms + DOUBT_STEP_MS;
			agent_wake_at(pending->agent, pending->again_ms);
			return;
		}
		break;
	case STORE_LOST:
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
	struct pending *pending;
	Ibis__StepJob *spec;

	if (known != NULL && known->spec != NULL) {
		counter_add(COUNTER_JOBS_REPEATED, 1);
		log_answer(agent, LOG_INFO, "submit", id, "repeated",
		    request->received_ms);
		reply(agent, request, STATUS_OK, NULL, 0);
		return;
	}
	if (route->advice.needed) {
		/* Its starts need tickets, which are not asked for yet: it
		 * would never run. */
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
	pending = new_pending(agent, request, PENDING_SUBMIT, id);
	proto_pack(&spec->base, &pending->value);
	ibis__step_job__free_unpacked(spec, proto_allocator());
	first_try(pending, now_ms);
}

static void
read_state(struct agent *agent, struct gateway_request *request, const char *id)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	struct view_job *job = agent_view_job(agent, id);

	if (job != NULL && job->spec != NULL) {
		render_phase(job, &body);
		reply(agent, request, STATUS_OK, buffer_string(&body), 0);
		return;
	}
	call_store(new_pending(agent, request, PENDING_READ, id));
}

static void
cancel(struct agent *agent, struct gateway_request *request, const char *id)
{
	struct view_job *job = agent_view_job(agent, id);
	struct pending *pending;

	if (job != NULL && job->cancelled) {
		reply(agent, request, STATUS_OK, NULL, 0);
		return;
	}
	pending = new_pending(agent, request, PENDING_CANCEL, id);
	pending->cancelling = job != NULL && job->spec != NULL;
	call_store(pending);
}

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
		read_state(agent, request, id);
		break;
	case GATEWAY_DELETE:
		cancel(agent, request, id);
		break;
	case GATEWAY_OTHER:
		reply(agent, request, STATUS_METHOD_NOT_ALLOWED, NULL, 0);
		break;
	}
}

void
agent_callers_request(
    struct agent *agent, struct gateway_request *request, int64_t now_ms)
{
	const struct routes_workspace *workspace;
	const struct route *route;
	const char *rest;

	(void)now_ms;
	if (agent->routes == NULL || !agent_watch_loaded(agent->own) ||
	    agent->pending_count >= MAX_PENDING) {
		log_answer(agent, LOG_WARN, "request_refused", request->path,
		    "not ready", request->received_ms);
		reply(agent, request, STATUS_UNAVAILABLE, NULL, RETRY_AFTER_MS);
		return;
	}
	route =
	    routes_match(agent->routes, request->host, request->path, &rest);
	if (route == NULL) {
		log_answer(agent, LOG_WARN, "request_refused", request->path,
		    "no route", request->received_ms);
		reply(agent, request, STATUS_NOT_FOUND, NULL, 0);
		return;
	}
	workspace = routes_workspace_of(agent->routes, request->key);
	if (workspace == NULL && !route->open) {
		log_answer(agent, LOG_WARN, "request_refused", request->path,
		    "unknown key", request->received_ms);
		reply(agent, request, STATUS_UNAUTHORIZED, NULL, 0);
		return;
	}
	if (*rest == '\0' && request->method == GATEWAY_GET)
		count_pending(agent, request, route);
	else if (platform_is_job_id(rest))
		serve_job(agent, request, route, workspace, rest);
	else
		reply(agent, request, STATUS_NOT_FOUND, NULL, 0);
}

void
agent_callers_step(struct agent *agent, int64_t now_ms)
{
	struct pending *pending;
	struct pending *next;

	cds_list_for_each_entry_safe (pending, next, &agent->pending, node) {
		if (now_ms >= pending->give_up_ms) {
			if (pending->calling || pending->uncertain)
				finish_unknown(pending);
			else
				finish_unavailable(pending);
			continue;
		}
		agent_wake_at(agent, pending->give_up_ms);
		if (pending->calling)
			continue;
		if (now_ms >= pending->again_ms && pending->sent)
			call_store(pending);
		else if (now_ms >= pending->again_ms)
			first_try(pending, now_ms);
		else
			agent_wake_at(agent, pending->again_ms);
	}
}

void
agent_callers_end(struct agent *agent)
{
	while (!cds_list_empty(&agent->pending))
		finish_unknown(cds_list_first_entry(
		    &agent->pending, struct pending, node));
}
