/*
 * Makes store calls, directly or relayed through a peer. The store may be out
 * of reach for some instances only, so after a direct call that failed, later
 * calls are relayed until a direct probe succeeds. A peer makes a relayed call
 * directly and never relays it further.
 */
#include <string.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/proto_memory.h"

#define RELAY_PATH	  "/relay"
#define PROBE_INTERVAL_MS 250
#define PROBE_TIMEOUT_MS  400
/* A relayed call may take this much longer than a direct one; one whose answer
 * may be large, by more, since the peer reads it whole before it passes it on.
 */
#define RELAY_MARGIN_MS	     100
#define RELAY_READ_MARGIN_MS 1000
/* A peer through which a call has failed is not used again for this long. */
#define PEER_AVOID_MS	   1000
#define STATUS_OK	   200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND   404
#define STATUS_TOO_LARGE   413
#define STATUS_BUSY	   429
#define STATUS_UNAVAILABLE 503
/* An HTTP status divided by STATUS_CLASS is its class. */
#define STATUS_CLASS	     100
#define STATUS_CLASS_SUCCESS 2

/* The store is suspect when an answer takes longer. */
#define ANSWER_OVERDUE_MS 350
/* The store counts as unreachable when the last call failed and it has not
 * answered for this long. */
#define STORE_UNREACHABLE_MS 1500
/* Calls with a longer timeout are watches that wait for changes. A watch that
 * waits no longer than this is a short call too. */
#define SHORT_CALL_MAX_WAIT_MS	  10
#define SHORT_CALL_MAX_TIMEOUT_MS (STORE_TIMEOUT_MS + SHORT_CALL_MAX_WAIT_MS)

/* A store call in flight. */
struct outgoing_call {
	struct cds_list_head node; /* in relay.short_calls if it is short */
	int64_t sent_ms;
	struct agent *agent;
	http_callback *done;
	void *context;
	bool short_call;	     /* is not a watch */
	bool read_only;		     /* changes nothing in the store */
	char peer[FLEET_NAME_BYTES]; /* empty: direct */
};

/* A store call that is made for a peer. */
struct peer_call {
	struct cds_list_head node;
	struct agent *agent;
	struct gateway_request *request; /* NULL: answered */
};

/* Switches between direct and relayed calls. */
static void
set_via_peer(struct agent *agent, bool via_peer)
{
	if (agent->relay.via_peer == via_peer)
		return;
	agent->relay.via_peer = via_peer;
	agent->relay.switched_ms = clock_now_ms();
	agent->relay.next_probe_ms =
	    agent->relay.switched_ms + PROBE_INTERVAL_MS;
	log_event(via_peer ? LOG_WARN : LOG_INFO,
	    via_peer ? "store_by_peer" : "store_straight", "peers",
	    log_number((int64_t)agent->peers.index.count), NULL);
}

/* Returns whether the store didn't answer or refused to serve this instance. */
static bool
call_failed(const struct http_result *result)
{
	if (result->too_long)
		return false;
	return result->outcome != HTTP_RESPONDED ||
	    result->status == STATUS_BUSY ||
	    result->status == STATUS_UNAVAILABLE;
}

/* Updates the store's health after a call. */
static void
record_result(struct agent *agent, bool failed, int64_t now_ms)
{
	struct agent_relay *relay = &agent->relay;

	relay->last_call_failed = failed;
	if (!failed)
		relay->answered_ms = now_ms;
}

static struct outgoing_call *
new_outgoing_call(struct agent *agent, const struct http_call *call,
    http_callback *done, void *context)
{
	struct outgoing_call *outgoing = mem_calloc(1, sizeof(*outgoing));

	outgoing->agent = agent;
	outgoing->done = done;
	outgoing->context = context;
	outgoing->sent_ms = clock_now_ms();
	CDS_INIT_LIST_HEAD(&outgoing->node);
	outgoing->read_only = strcmp(call->method, "GET") == 0;
	outgoing->short_call = call->timeout_ms <= SHORT_CALL_MAX_TIMEOUT_MS;
	if (outgoing->short_call)
		cds_list_add_tail(&outgoing->node, &agent->relay.short_calls);
	return outgoing;
}

static void
finish_outgoing_call(
    struct outgoing_call *outgoing, const struct http_result *result)
{
	cds_list_del(&outgoing->node);
	if (outgoing->short_call)
		duration_observe(HISTOGRAM_STORE_CALL,
		    result->received_ms - outgoing->sent_ms);
	record_result(
	    outgoing->agent, call_failed(result), result->received_ms);
	outgoing->done(outgoing->context, result);
}

enum store_health
agent_relay_health(const struct agent *agent, int64_t now_ms)
{
	const struct agent_relay *relay = &agent->relay;
	const struct cds_list_head *oldest = relay->short_calls.next;

	if (now_ms - relay->answered_ms <= ANSWER_OVERDUE_MS)
		return STORE_HEALTHY;
	if (relay->last_call_failed)
		return now_ms - relay->answered_ms > STORE_UNREACHABLE_MS
		    ? STORE_UNREACHABLE
		    : STORE_SUSPECT;
	if (oldest != &relay->short_calls &&
	    now_ms -
		    caa_container_of(oldest, struct outgoing_call, node)
			->sent_ms >
		ANSWER_OVERDUE_MS)
		return STORE_SUSPECT;
	return STORE_HEALTHY;
}

static void
direct_answered(void *context, const struct http_result *result)
{
	struct outgoing_call *outgoing = context;
	struct agent *agent = outgoing->agent;

	if (call_failed(result)) {
		counter_add(result->outcome == HTTP_OUTCOME_UNKNOWN
			? COUNTER_STORE_UNKNOWN
			: COUNTER_STORE_UNAVAILABLE,
		    1);
		if (agent->peers.index.count > 0)
			set_via_peer(agent, true);
	} else {
		counter_add(COUNTER_STORE_OK, 1);
	}
	finish_outgoing_call(outgoing, result);
	mem_free(outgoing);
}

static void
call_directly(struct agent *agent, const struct http_call *call,
    http_callback *done, void *done_context)
{
	http_pool_call(agent->pool, call, direct_answered,
	    new_outgoing_call(agent, call, done, done_context));
}

static enum http_outcome
decode_outcome(const Ibis__StoreRelayAnswer *relay_answer)
{
	switch (relay_answer->outcome) {
	case IBIS__STORE_RELAY_OUTCOME__RELAY_ANSWERED:
		/* An empty message decodes to this without a status. */
		return relay_answer->status != 0 ? HTTP_RESPONDED
						 : HTTP_OUTCOME_UNKNOWN;
	case IBIS__STORE_RELAY_OUTCOME__RELAY_NOT_SENT:
		return HTTP_NOT_SENT;
	case IBIS__STORE_RELAY_OUTCOME__RELAY_TOO_LONG:
	case IBIS__STORE_RELAY_OUTCOME__RELAY_NO_ANSWER:
	default:
		return HTTP_OUTCOME_UNKNOWN;
	}
}

/* Excludes a peer from relaying for PEER_AVOID_MS. While all peers are
 * excluded, calls are made directly. */
static void
avoid_peer(struct agent *agent, const char *name)
{
	struct agent_peer *peer = name_index_get(&agent->peers.index, name);

	if (peer != NULL)
		peer->avoid_until_ms = clock_now_ms() + PEER_AVOID_MS;
}

/* Returns whether a relayed answer tells what became of the call. A peer may
 * have made the call for the first copy of a request that was resent, even if
 * the second copy failed. */
static bool
is_conclusive(const struct outgoing_call *outgoing,
    const struct http_result *store_result)
{
	return !store_result->resent || outgoing->read_only ||
	    (store_result->outcome == HTTP_RESPONDED &&
		store_result->status / STATUS_CLASS == STATUS_CLASS_SUCCESS);
}

static void
finish_relayed_call(struct outgoing_call *outgoing,
    const struct http_result *result,
    const Ibis__StoreRelayAnswer *relay_answer)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	struct http_result store_result = *result;

	store_result.outcome = decode_outcome(relay_answer);
	store_result.status = relay_answer->status;
	store_result.too_long =
	    relay_answer->outcome == IBIS__STORE_RELAY_OUTCOME__RELAY_TOO_LONG;
	buffer_append(&body, relay_answer->body.data, relay_answer->body.len);
	store_result.body = buffer_string(&body);
	store_result.body_length = body.length;
	if (!is_conclusive(outgoing, &store_result))
		store_result.outcome = HTTP_OUTCOME_UNKNOWN;
	if (call_failed(&store_result))
		avoid_peer(outgoing->agent, outgoing->peer);
	finish_outgoing_call(outgoing, &store_result);
}

/* Returns whether a peer responds with this status only before it makes the
 * store call. */
static bool
is_rejected_request(int32_t status)
{
	return status == STATUS_BAD_REQUEST || status == STATUS_NOT_FOUND ||
	    status == STATUS_TOO_LARGE;
}

static void
peer_answered(void *context, const struct http_result *result)
{
	struct outgoing_call *outgoing = context;
	struct http_result failed = *result;
	Ibis__StoreRelayAnswer *relay_answer = NULL;

	if (result->outcome == HTTP_RESPONDED && result->status == STATUS_OK)
		relay_answer = (Ibis__StoreRelayAnswer *)proto_unpack(
		    &ibis__store_relay_answer__descriptor, result->body,
		    result->body_length);
	if (relay_answer != NULL) {
		finish_relayed_call(outgoing, result, relay_answer);
		proto_free(&relay_answer->base);
	} else {
		avoid_peer(outgoing->agent, outgoing->peer);
		if (failed.outcome == HTTP_RESPONDED)
			failed.outcome = is_rejected_request(failed.status)
			    ? HTTP_NOT_SENT
			    : HTTP_OUTCOME_UNKNOWN;
		finish_outgoing_call(outgoing, &failed);
	}
	mem_free(outgoing);
}

/* Returns the peer to relay through, or NULL when all are being avoided. */
static struct agent_peer *
pick_peer(struct agent *agent, int64_t now_ms)
{
	struct agent_relay *relay = &agent->relay;

	for (size_t i = 0; i < agent->peers.index.count; i++) {
		size_t index =
		    (relay->next_peer + i) % agent->peers.index.count;
		struct agent_peer *peer = agent->peers.index.items[index].item;

		if (now_ms < peer->avoid_until_ms)
			continue;
		relay->next_peer = index;
		return peer;
	}
	return NULL;
}

static void
call_through_peer(struct agent *agent, const struct agent_peer *peer,
    const struct http_call *call, http_callback *done, void *done_context)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	struct outgoing_call *outgoing =
	    new_outgoing_call(agent, call, done, done_context);
	Ibis__StoreRelayCall message;
	struct http_call http = {
	    .method = "POST",
	    .address = peer->address,
	    .path = RELAY_PATH,
	    .timeout_ms = call->timeout_ms +
		(call->idle_timeout_ms > 0 ? RELAY_READ_MARGIN_MS
					   : RELAY_MARGIN_MS),
	    .idle_timeout_ms = call->idle_timeout_ms,
	};

	STRING_COPY(outgoing->peer, peer->name);
	ibis__store_relay_call__init(&message);
	message.method = (char *)call->method;
	message.path = (char *)call->path;
	message.has_body = call->body != NULL;
	message.body.data = (uint8_t *)call->body;
	message.body.len = call->body == NULL ? 0 : call->body_length;
	message.timeout_ms = call->timeout_ms;
	message.idle_timeout_ms = call->idle_timeout_ms;
	message.max_response_bytes = call->max_response_bytes;
	proto_pack(&message.base, &body);
	http.body = buffer_string(&body);
	http.body_length = body.length;
	counter_add(COUNTER_FORWARDED, 1);
	http_pool_call(agent->pool, &http, peer_answered, outgoing);
}

void
agent_relay_call(void *context, const struct http_call *call,
    http_callback *done, void *done_context)
{
	struct agent *agent = context;
	struct agent_peer *peer =
	    agent->relay.via_peer ? pick_peer(agent, clock_now_ms()) : NULL;

	if (peer == NULL)
		call_directly(agent, call, done, done_context);
	else
		call_through_peer(agent, peer, call, done, done_context);
}

/*
 * Calls made for peers.
 */

static void
answer_peer(struct peer_call *peer_call, Ibis__StoreRelayOutcome outcome,
    const struct http_result *result)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	Ibis__StoreRelayAnswer message;

	ibis__store_relay_answer__init(&message);
	message.outcome = outcome;
	if (result != NULL) {
		message.status = result->status;
		message.body.data = (uint8_t *)result->body;
		message.body.len = result->body_length;
	}
	proto_pack(&message.base, &body);
	gateway_reply_bytes(peer_call->agent->gateway, peer_call->request,
	    STATUS_OK, buffer_string(&body), body.length);
	peer_call->request = NULL;
	cds_list_del(&peer_call->node);
}

static Ibis__StoreRelayOutcome
encode_outcome(const struct http_result *result)
{
	switch (result->outcome) {
	case HTTP_RESPONDED:
		return IBIS__STORE_RELAY_OUTCOME__RELAY_ANSWERED;
	case HTTP_NOT_SENT:
		return IBIS__STORE_RELAY_OUTCOME__RELAY_NOT_SENT;
	case HTTP_OUTCOME_UNKNOWN:
		break;
	}
	if (result->too_long)
		return IBIS__STORE_RELAY_OUTCOME__RELAY_TOO_LONG;
	return IBIS__STORE_RELAY_OUTCOME__RELAY_NO_ANSWER;
}

static void
peer_call_answered(void *context, const struct http_result *result)
{
	struct peer_call *peer_call = context;

	if (peer_call->request != NULL)
		answer_peer(peer_call, encode_outcome(result), result);
	mem_free(peer_call);
}

static void
serve_peer_call(struct agent *agent, struct gateway_request *request,
    const Ibis__StoreRelayCall *message)
{
	struct peer_call *peer_call = mem_calloc(1, sizeof(*peer_call));
	struct http_call call = {
	    .method = message->method,
	    .address = agent->store.address,
	    .path = message->path,
	    .timeout_ms = message->timeout_ms,
	    .idle_timeout_ms = message->idle_timeout_ms,
	    .max_response_bytes = message->max_response_bytes,
	};

	if (message->has_body) {
		call.body = message->body.len == 0
		    ? ""
		    : (const char *)message->body.data;
		call.body_length = message->body.len;
	}
	peer_call->agent = agent;
	peer_call->request = request;
	cds_list_add_tail(&peer_call->node, &agent->relay.peer_calls);
	if (agent->relay.via_peer || agent->stopping) {
		answer_peer(
		    peer_call, IBIS__STORE_RELAY_OUTCOME__RELAY_NOT_SENT, NULL);
		mem_free(peer_call);
		return;
	}
	call_directly(agent, &call, peer_call_answered, peer_call);
}

void
agent_relay_request(struct agent *agent, struct gateway_request *request)
{
	Ibis__StoreRelayCall *message;

	if (request->method != GATEWAY_POST ||
	    strcmp(request->path, RELAY_PATH) != 0) {
		gateway_reply(
		    agent->gateway, request, STATUS_NOT_FOUND, NULL, 0);
		return;
	}
	message = (Ibis__StoreRelayCall *)proto_unpack(
	    &ibis__store_relay_call__descriptor, request->body.data,
	    request->body.length);
	if (message == NULL || message->timeout_ms <= 0) {
		gateway_reply(
		    agent->gateway, request, STATUS_BAD_REQUEST, NULL, 0);
	} else {
		serve_peer_call(agent, request, message);
	}
	if (message != NULL)
		proto_free(&message->base);
}

/*
 * Probes of the store.
 */

static void
probe_answered(void *context, const struct http_result *result)
{
	struct agent *agent = context;

	agent->relay.probe_in_flight = false;
	agent->relay.next_probe_ms = result->received_ms + PROBE_INTERVAL_MS;
	if (call_failed(result))
		return;
	set_via_peer(agent, false);
	record_result(agent, false, result->received_ms);
}

/* Sends a probe if one is due while calls are relayed or the last one failed.
 */
static void
probe(struct agent *agent, int64_t now_ms)
{
	CLEANUP(buffer_free) struct buffer path = {0};
	struct http_call call;

	if ((!agent->relay.via_peer && !agent->relay.last_call_failed) ||
	    agent->relay.probe_in_flight)
		return;
	if (now_ms < agent->relay.next_probe_ms) {
		agent_wake_at(agent, agent->relay.next_probe_ms);
		return;
	}
	agent->relay.probe_in_flight = true;
	platform_store_probe(&agent->store, PROBE_TIMEOUT_MS, &path, &call);
	http_pool_call(agent->pool, &call, probe_answered, agent);
}

void
agent_relay_step(struct agent *agent, int64_t now_ms)
{
	probe(agent, now_ms);
}

void
agent_relay_end(struct agent *agent)
{
	while (!cds_list_empty(&agent->relay.peer_calls)) {
		struct peer_call *peer_call = cds_list_first_entry(
		    &agent->relay.peer_calls, struct peer_call, node);

		answer_peer(peer_call,
		    IBIS__STORE_RELAY_OUTCOME__RELAY_NO_ANSWER, NULL);
	}
}
