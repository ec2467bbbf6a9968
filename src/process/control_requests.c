/* Routes requests: those that need the lead are forwarded to it, the others are
 * served by any instance. */
#include <string.h>

#include "process/alloc.h"
#include "process/control.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/proto_memory.h"

#define FORWARD_RETRY_INTERVAL_MS 100
#define NO_LEAD_TIMEOUT_MS	  6000
/* Time for the lead's reply in addition to the request's own wait time. */
#define REPLY_TIMEOUT_MS       10000
#define NO_LEAD_RETRY_AFTER_MS 2000

/* Tells whether only the pool's lead can serve a kind of request. */
static bool
needs_lead(Ibis__RequestKind kind)
{
	switch (kind) {
	case IBIS__REQUEST_KIND__REQUEST_SUBMIT:
	case IBIS__REQUEST_KIND__REQUEST_JOB:
	case IBIS__REQUEST_KIND__REQUEST_ANSWER:
	case IBIS__REQUEST_KIND__REQUEST_CANCEL:
	case IBIS__REQUEST_KIND__REQUEST_JOBS:
	case IBIS__REQUEST_KIND__REQUEST_ENDPOINTS:
		return true;
	default:
		return false;
	}
}

static void
append_endpoint_json(const struct worker_session *session, struct buffer *json)
{
	buffer_printf(json,
	    "{\"name\": \"%s\", \"condition\": \"%s\", \"address\": \"%s\", "
	    "\"free_accelerators\": %u, \"tasks\": %zu}",
	    session->name, worker_condition_name(session->condition),
	    session->address, session->free_accelerators,
	    session->members_count);
}

static void
serve_endpoints(struct control *control, const struct origin *origin)
{
	CLEANUP(buffer_free) struct buffer json = {0};

	buffer_puts(&json, "{\"endpoints\": [");
	for (size_t i = 0; i < control->workers.count; i++) {
		if (i > 0)
			buffer_puts(&json, ", ");
		append_endpoint_json(&control->workers.sessions[i], &json);
	}
	buffer_puts(&json, "]}");
	control_reply_json(control, origin, buffer_string(&json));
}

/* Serves a request that needs the lead, or refuses it if this instance does not
 * lead or is leaving. */
static void
serve_as_lead(struct control *control, const struct origin *origin,
    const Ibis__Request *request)
{
	if (!control_accepts_work(control)) {
		control_refuse(control, origin, IBIS_UNAVAILABLE, "lead",
		    "this instance does not lead or is leaving", true, 0);
		return;
	}
	if (request->kind == IBIS__REQUEST_KIND__REQUEST_ENDPOINTS)
		serve_endpoints(control, origin);
	else
		control_job_handle_request(control, origin, request);
}

/* ---- Forwards -------------------------------------------------------- */

static void
free_forward(struct forward *forward)
{
	cds_list_del(&forward->node);
	mem_free(forward);
}

/* Sends a request to the lead, which may be this instance. Without a known lead
 * it stays unsent until the next retry. */
static void
send_forward(struct control *control, struct forward *forward)
{
	const char *lead = control_lead_name(control);
	Ibis__ForwardRequest message = IBIS__FORWARD_REQUEST__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;
	struct origin origin = {.call = forward->call};

	forward->next_send_ms = control->now_ms + FORWARD_RETRY_INTERVAL_MS;
	if (lead == NULL)
		return;
	STRING_COPY(forward->peer, lead);
	if (strcmp(lead, control->settings->name) == 0) {
		STRING_COPY(origin.peer, lead);
		forward->may_have_run = true;
		serve_as_lead(control, &origin, forward->caller->request);
		return;
	}
	message.call = forward->call;
	message.request = forward->caller->request;
	frame.body_case = IBIS__FRAME__BODY_REQUEST;
	frame.request = &message;
	if (peer_links_send(control->links, lead, &frame)) {
		counter_add(COUNTER_FORWARDED, 1);
		forward->may_have_run = true;
	} else {
		forward->peer[0] = '\0';
	}
}

static void
forward_request(struct control *control, struct caller_request *caller)
{
	struct forward *forward = mem_calloc(1, sizeof(*forward));

	forward->call = ++control->next_call;
	forward->caller = caller;
	forward->received_ms = control->now_ms;
	forward->deadline_ms =
	    control->now_ms + caller->request->wait_ms + REPLY_TIMEOUT_MS;
	cds_list_add_tail(&forward->node, &control->forwards);
	send_forward(control, forward);
}

static struct forward *
find_forward(struct control *control, uint64_t call)
{
	struct forward *forward;

	cds_list_for_each_entry (forward, &control->forwards, node) {
		if (forward->call == call)
			return forward;
	}
	return NULL;
}

static bool
is_submission(const struct forward *forward)
{
	return forward->caller->request->kind ==
	    IBIS__REQUEST_KIND__REQUEST_SUBMIT;
}

/* Tells whether a reply is about the job of the request. */
static bool
reply_matches(const struct forward *forward, const Ibis__Reply *reply)
{
	const Ibis__Request *request = forward->caller->request;
	char id[JOB_ID_BYTES];

	if (reply->job == NULL || reply->job->record == NULL)
		return true;
	if (is_submission(forward))
		job_id_format(job_id_from_key(request->spec->workspace,
				  request->spec->idempotency_key),
		    id);
	else
		STRING_COPY(id, request->job);
	return strcmp(id, reply->job->record->id) == 0;
}

static bool
is_not_leading(const Ibis__Reply *reply)
{
	return reply->code == IBIS__CODE__CODE_UNAVAILABLE &&
	    strcmp(reply->step, "lead") == 0;
}

/* Marks a request to be sent again, to the instance that leads then. */
static void
mark_for_resend(struct forward *forward, const Ibis__Reply *reply)
{
	forward->peer[0] = '\0';
	if (!reply->not_run)
		forward->unknown_outcome = true;
	forward->may_have_run = forward->unknown_outcome;
}

void
control_handle_forward_reply(
    struct control *control, const char *peer, const Ibis__ForwardReply *reply)
{
	struct forward *forward = find_forward(control, reply->call);

	/* Ignore replies from a peer other than the one it was last sent to. */
	if (forward == NULL || reply->reply == NULL ||
	    strcmp(forward->peer, peer) != 0)
		return;
	if (is_not_leading(reply->reply) ||
	    !reply_matches(forward, reply->reply)) {
		mark_for_resend(forward, reply->reply);
		return;
	}
	caller_server_reply(control->callers, forward->caller, reply->reply);
	free_forward(forward);
}

void
control_forward_handle_peer_down(struct control *control, const char *peer)
{
	struct forward *forward;

	cds_list_for_each_entry (forward, &control->forwards, node) {
		if (strcmp(forward->peer, peer) != 0)
			continue;
		forward->peer[0] = '\0';
		forward->unknown_outcome = true;
		forward->next_send_ms = control->now_ms;
	}
}

static void
fail_forward(struct control *control, struct forward *forward)
{
	struct origin origin = {.caller = forward->caller};
	bool not_run = is_submission(forward) && !forward->may_have_run;

	if (not_run || !is_submission(forward))
		control_refuse(control, &origin, IBIS_UNAVAILABLE, "forward",
		    "no instance leads the pool now", not_run,
		    NO_LEAD_RETRY_AFTER_MS);
	else
		control_refuse(control, &origin, IBIS_UNKNOWN, "forward",
		    "the pool's lead has not replied; request the job by its "
		    "id or submit again with the same key",
		    false, NO_LEAD_RETRY_AFTER_MS);
	free_forward(forward);
}

void
control_forward_tick(struct control *control)
{
	struct forward *forward;
	struct forward *next;

	cds_list_for_each_entry_safe (forward, next, &control->forwards, node) {
		bool waiting = *forward->peer == '\0';

		if (control->now_ms >= forward->deadline_ms ||
		    (waiting && !forward->may_have_run &&
			control->now_ms - forward->received_ms >
			    NO_LEAD_TIMEOUT_MS))
			fail_forward(control, forward);
		else if (waiting && control->now_ms >= forward->next_send_ms)
			send_forward(control, forward);
	}
}

bool
control_has_open_forwards(struct control *control)
{
	return !cds_list_empty(&control->forwards);
}

/* ---- Requests served by any instance --------------------------------- */

static void
serve_status(struct control *control, const struct origin *origin)
{
	CLEANUP(buffer_free) struct buffer json = {0};

	control_write_status_json(control, &json);
	control_reply_json(control, origin, buffer_string(&json));
}

static void
serve_instances(struct control *control, const struct origin *origin)
{
	CLEANUP(buffer_free) struct buffer json = {0};

	control_write_instances_json(control, &json);
	control_reply_json(control, origin, buffer_string(&json));
}

static void
serve_readiness(struct control *control, const struct origin *origin)
{
	if (control->state == IBIS__INSTANCE_STATE__INSTANCE_SERVING)
		control_reply_json(control, origin, "{\"ready\": true}");
	else
		control_refuse(control, origin, IBIS_UNAVAILABLE, "ready",
		    control->state == IBIS__INSTANCE_STATE__INSTANCE_LEAVING
			? "the instance is leaving"
			: "the instance is starting",
		    false, 0);
}

static void
serve_locally(struct control *control, const struct origin *origin,
    const Ibis__Request *request)
{
	switch (request->kind) {
	case IBIS__REQUEST_KIND__REQUEST_LIVE:
		control_reply_json(control, origin, "{\"live\": true}");
		break;
	case IBIS__REQUEST_KIND__REQUEST_READY:
		serve_readiness(control, origin);
		break;
	case IBIS__REQUEST_KIND__REQUEST_INSTANCES:
		serve_instances(control, origin);
		break;
	case IBIS__REQUEST_KIND__REQUEST_STATUS:
		serve_status(control, origin);
		break;
	case IBIS__REQUEST_KIND__REQUEST_METRICS:
	case IBIS__REQUEST_KIND__REQUEST_SLO_BURN:
		control_metrics_handle_request(control, origin, request);
		break;
	default:
		control_document_handle_request(control, origin, request);
		break;
	}
}

void
control_handle_caller_request(
    struct control *control, struct caller_request *caller)
{
	struct origin origin = {.caller = caller};

	if (needs_lead(caller->request->kind))
		forward_request(control, caller);
	else
		serve_locally(control, &origin, caller->request);
}

void
control_handle_forwarded_request(struct control *control, const char *peer,
    const Ibis__ForwardRequest *forward)
{
	struct origin origin = {.call = forward->call};

	STRING_COPY(origin.peer, peer);
	if (forward->request == NULL)
		return;
	if (needs_lead(forward->request->kind))
		serve_as_lead(control, &origin, forward->request);
	else
		serve_locally(control, &origin, forward->request);
}
