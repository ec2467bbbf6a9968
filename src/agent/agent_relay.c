/*
 * The way to the store. It may turn some instances away and serve the others,
 * so a call that it does not answer makes the next ones go through a peer,
 * until the store answers a probe again. A peer never passes a call on.
 */
#include <string.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/proto_memory.h"

#define RELAY_PATH	   "/relay"
#define PROBE_EVERY_MS	   250
#define PROBE_TIMEOUT_MS   400
#define PEER_SLACK_MS	   100
#define PEER_PAUSE_MS	   1000
#define STATUS_OK	   200
#define STATUS_BAD	   400
#define STATUS_NOT_FOUND   404
#define STATUS_BUSY	   429
#define STATUS_UNAVAILABLE 503

/* An answer that takes so long is overdue. */
#define OVERDUE_MS 350
/* Failing, and silent for so long, the store counts as lost. */
#define LOST_MS 1500
/* Calls with more time than this wait for changes. */
#define SHORT_CALL_MS STORE_TIMEOUT_MS

/* A call of our own on its way. */
struct carried {
	struct cds_list_head node; /* in relay.asked */
	int64_t sent_ms;
	struct agent *agent;
	http_done *done;
	void *context;
	bool brief;		     /* does not wait for changes */
	char peer[FLEET_NAME_BYTES]; /* empty: sent straight */
};

/* A call that is carried out for a peer. */
struct served {
	struct cds_list_head node;
	struct agent *agent;
	struct gateway_request *request; /* NULL: answered */
};

static void
switch_way(struct agent *agent, bool by_peer)
{
	if (agent->relay.by_peer == by_peer)
		return;
	agent->relay.by_peer = by_peer;
	agent->relay.since_ms = clock_now_ms();
	agent->relay.next_probe_ms = agent->relay.since_ms + PROBE_EVERY_MS;
	log_event(by_peer ? LOG_WARN : LOG_INFO,
	    by_peer ? "store_by_peer" : "store_straight", "peers",
	    log_number((int64_t)agent->peers.index.count), NULL);
}

static bool
turned_away(const struct http_answer *answer)
{
	return answer->outcome != HTTP_ANSWERED ||
	    answer->status == STATUS_BUSY ||
	    answer->status == STATUS_UNAVAILABLE;
}

static void
note_result(struct agent *agent, bool failed, int64_t now_ms)
{
	struct agent_relay *relay = &agent->relay;

	relay->failing = failed;
	if (!failed)
		relay->answered_ms = now_ms;
}

static struct carried *
new_carried(struct agent *agent, const struct http_call *call, http_done *done,
    void *context)
{
	struct carried *carried = mem_calloc(1, sizeof(*carried));

	carried->agent = agent;
	carried->done = done;
	carried->context = context;
	carried->sent_ms = clock_now_ms();
	CDS_INIT_LIST_HEAD(&carried->node);
	carried->brief = call->timeout_ms <= SHORT_CALL_MS;
	if (carried->brief)
		cds_list_add_tail(&carried->node, &agent->relay.asked);
	return carried;
}

static void
finish_carried(struct carried *carried, const struct http_answer *answer)
{
	cds_list_del(&carried->node);
	if (carried->brief)
		duration_observe(HISTOGRAM_STORE_CALL,
		    answer->received_ms - carried->sent_ms);
	note_result(carried->agent, turned_away(answer), answer->received_ms);
	carried->done(carried->context, answer);
}

enum store_health
agent_relay_health(const struct agent *agent, int64_t now_ms)
{
	const struct agent_relay *relay = &agent->relay;
	const struct cds_list_head *oldest = relay->asked.next;

	if (now_ms - relay->answered_ms <= OVERDUE_MS)
		return STORE_ANSWERS;
	if (relay->failing)
		return now_ms - relay->answered_ms > LOST_MS ? STORE_LOST
							     : STORE_DOUBTFUL;
	if (oldest != &relay->asked &&
	    now_ms - caa_container_of(oldest, struct carried, node)->sent_ms >
		OVERDUE_MS)
		return STORE_DOUBTFUL;
	return STORE_ANSWERS;
}

static void
straight_answered(void *context, const struct http_answer *answer)
{
	struct carried *carried = context;
	struct agent *agent = carried->agent;

	if (turned_away(answer)) {
		counter_add(answer->outcome == HTTP_NO_ANSWER
			? COUNTER_STORE_UNKNOWN
			: COUNTER_STORE_UNAVAILABLE,
		    1);
		if (agent->peers.index.count > 0)
			switch_way(agent, true);
	} else {
		counter_add(COUNTER_STORE_OK, 1);
	}
	finish_carried(carried, answer);
	mem_free(carried);
}

static void
carry_straight(struct agent *agent, const struct http_call *call,
    http_done *done, void *done_context)
{
	http_pool_call(agent->pool, call, straight_answered,
	    new_carried(agent, call, done, done_context));
}

static enum http_outcome
outcome_of(Ibis__StoreRelayOutcome outcome)
{
	switch (outcome) {
	case IBIS__STORE_RELAY_OUTCOME__RELAY_ANSWERED:
		return HTTP_ANSWERED;
	case IBIS__STORE_RELAY_OUTCOME__RELAY_NOT_SENT:
		return HTTP_NOT_SENT;
	default:
		return HTTP_NO_ANSWER;
	}
}

/* The peer is no help: another one, or the straight way, comes next. */
static void
avoid_peer(struct agent *agent, const char *name)
{
	struct agent_peer *peer = name_index_get(&agent->peers.index, name);

	if (peer != NULL)
		peer->avoid_until_ms = clock_now_ms() + PEER_PAUSE_MS;
}

static void
finish_by_peer(struct carried *carried, const struct http_answer *answer,
    const Ibis__StoreRelayAnswer *relayed)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	struct http_answer unpacked = *answer;

	unpacked.outcome = outcome_of(relayed->outcome);
	unpacked.status = relayed->status;
	buffer_append(&body, relayed->body.data, relayed->body.len);
	unpacked.body = buffer_string(&body);
	unpacked.body_length = body.length;
	if (turned_away(&unpacked))
		avoid_peer(carried->agent, carried->peer);
	finish_carried(carried, &unpacked);
}

static void
peer_answered(void *context, const struct http_answer *answer)
{
	struct carried *carried = context;
	struct http_answer failed = *answer;
	Ibis__StoreRelayAnswer *relayed = NULL;

	if (answer->outcome == HTTP_ANSWERED && answer->status == STATUS_OK)
		relayed = (Ibis__StoreRelayAnswer *)proto_unpack(
		    &ibis__store_relay_answer__descriptor, answer->body,
		    answer->body_length);
	if (relayed != NULL) {
		finish_by_peer(carried, answer, relayed);
		proto_free(&relayed->base);
	} else {
		avoid_peer(carried->agent, carried->peer);
		if (failed.outcome == HTTP_ANSWERED)
			failed.outcome = HTTP_NOT_SENT;
		finish_carried(carried, &failed);
	}
	mem_free(carried);
}

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
carry_by_peer(struct agent *agent, const struct agent_peer *peer,
    const struct http_call *call, http_done *done, void *done_context)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	struct carried *carried = new_carried(agent, call, done, done_context);
	Ibis__StoreRelayCall message;
	struct http_call http = {
	    .method = "POST",
	    .address = peer->address,
	    .path = RELAY_PATH,
	    .timeout_ms = call->timeout_ms + PEER_SLACK_MS,
	};

	STRING_COPY(carried->peer, peer->name);
	ibis__store_relay_call__init(&message);
	message.method = (char *)call->method;
	message.path = (char *)call->path;
	message.has_body = call->body != NULL;
	message.body.data = (uint8_t *)call->body;
	message.body.len = call->body == NULL ? 0 : call->body_length;
	message.timeout_ms = call->timeout_ms;
	proto_pack(&message.base, &body);
	http.body = buffer_string(&body);
	http.body_length = body.length;
	counter_add(COUNTER_FORWARDED, 1);
	http_pool_call(agent->pool, &http, peer_answered, carried);
}

void
agent_relay_carry(void *context, const struct http_call *call, http_done *done,
    void *done_context)
{
	struct agent *agent = context;
	struct agent_peer *peer =
	    agent->relay.by_peer ? pick_peer(agent, clock_now_ms()) : NULL;

	if (peer == NULL)
		carry_straight(agent, call, done, done_context);
	else
		carry_by_peer(agent, peer, call, done, done_context);
}

/*
 * For peers.
 */

static void
answer_peer(struct served *served, Ibis__StoreRelayOutcome outcome,
    const struct http_answer *answer)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	Ibis__StoreRelayAnswer message;

	ibis__store_relay_answer__init(&message);
	message.outcome = outcome;
	if (answer != NULL) {
		message.status = answer->status;
		message.body.data = (uint8_t *)answer->body;
		message.body.len = answer->body_length;
	}
	proto_pack(&message.base, &body);
	gateway_reply_bytes(served->agent->gateway, served->request, STATUS_OK,
	    buffer_string(&body), body.length);
	served->request = NULL;
	cds_list_del(&served->node);
}

static Ibis__StoreRelayOutcome
relayed_outcome(const struct http_answer *answer)
{
	switch (answer->outcome) {
	case HTTP_ANSWERED:
		return IBIS__STORE_RELAY_OUTCOME__RELAY_ANSWERED;
	case HTTP_NOT_SENT:
		return IBIS__STORE_RELAY_OUTCOME__RELAY_NOT_SENT;
	case HTTP_NO_ANSWER:
		break;
	}
	return IBIS__STORE_RELAY_OUTCOME__RELAY_NO_ANSWER;
}

static void
served_answered(void *context, const struct http_answer *answer)
{
	struct served *served = context;

	if (served->request != NULL)
		answer_peer(served, relayed_outcome(answer), answer);
	mem_free(served);
}

static void
serve(struct agent *agent, struct gateway_request *request,
    const Ibis__StoreRelayCall *message)
{
	struct served *served = mem_calloc(1, sizeof(*served));
	struct http_call call = {
	    .method = message->method,
	    .address = agent->store.address,
	    .path = message->path,
	    .timeout_ms = message->timeout_ms,
	};

	if (message->has_body) {
		call.body = message->body.len == 0
		    ? ""
		    : (const char *)message->body.data;
		call.body_length = message->body.len;
	}
	served->agent = agent;
	served->request = request;
	cds_list_add_tail(&served->node, &agent->relay.serving);
	if (agent->relay.by_peer || agent->stopping) {
		answer_peer(
		    served, IBIS__STORE_RELAY_OUTCOME__RELAY_NOT_SENT, NULL);
		mem_free(served);
		return;
	}
	carry_straight(agent, &call, served_answered, served);
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
		gateway_reply(agent->gateway, request, STATUS_BAD, NULL, 0);
	} else {
		serve(agent, request, message);
	}
	if (message != NULL)
		proto_free(&message->base);
}

/*
 * Steps.
 */

static void
probe_answered(void *context, const struct http_answer *answer)
{
	struct agent *agent = context;

	agent->relay.probing = false;
	agent->relay.next_probe_ms = answer->received_ms + PROBE_EVERY_MS;
	if (turned_away(answer))
		return;
	switch_way(agent, false);
	note_result(agent, false, answer->received_ms);
}

static void
probe(struct agent *agent, int64_t now_ms)
{
	CLEANUP(buffer_free) struct buffer path = {0};
	struct http_call call;

	if ((!agent->relay.by_peer && !agent->relay.failing) ||
	    agent->relay.probing)
		return;
	if (now_ms < agent->relay.next_probe_ms) {
		agent_wake_at(agent, agent->relay.next_probe_ms);
		return;
	}
	agent->relay.probing = true;
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
	while (!cds_list_empty(&agent->relay.serving)) {
		struct served *served = cds_list_first_entry(
		    &agent->relay.serving, struct served, node);

		answer_peer(
		    served, IBIS__STORE_RELAY_OUTCOME__RELAY_NO_ANSWER, NULL);
	}
}
