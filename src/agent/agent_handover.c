/*
 * Hands the lead over to a peer before a planned stop. This instance leads
 * until the peer has overwritten the lead key, so that there is no time without
 * a lead.
 */
#include <string.h>

#include "agent/agent_state.h"
#include "process/clock.h"
#include "process/log.h"
#include "process/proto_memory.h"

/* The lead is released when no peer has taken it within this time. */
#define HANDOVER_TIMEOUT_MS 1500
#define OFFER_TIMEOUT_MS    500
#define OFFER_PATH	    "/succeed"
#define STATUS_OK	    200
#define STATUS_BAD_REQUEST  400
#define STATUS_CONFLICT	    409

static void send_offer(struct agent *agent);

static void
offer_answered(void *context, const struct http_result *result)
{
	struct agent *agent = context;
	bool taken =
	    result->outcome == HTTP_RESPONDED && result->status == STATUS_OK;

	if (agent->lead.state != AGENT_LEADING ||
	    agent->lead.offer_expires_ms == 0)
		return;
	log_event(LOG_INFO, "lead_offered", "epoch",
	    log_number((int64_t)agent->lead.epoch), "outcome",
	    taken ? "taken" : "refused", "peers_left",
	    log_number(agent->lead.offers_left), NULL);
	if (!taken)
		send_offer(agent);
}

/* Offers the lead to the next peer, or releases it when all have refused. */
static void
send_offer(struct agent *agent)
{
	const struct name_index *peers = &agent->peers.index;
	Ibis__LeadOffer offer = IBIS__LEAD_OFFER__INIT;
	const struct agent_peer *peer;

	if (agent->lead.offers_left == 0 || peers->count == 0) {
		agent_lead_release(agent);
		return;
	}
	agent->lead.offers_left--;
	peer = peers->items[agent->lead.next_offer_peer++ % peers->count].item;
	offer.epoch = agent->lead.epoch;
	agent_peers_call(agent, peer->address, OFFER_PATH, &offer.base,
	    OFFER_TIMEOUT_MS, offer_answered, agent);
}

void
agent_handover_start(struct agent *agent, int64_t now_ms)
{
	size_t peers = agent->peers.index.count;

	if (agent->lead.state != AGENT_LEADING || peers == 0) {
		agent_lead_release(agent);
		return;
	}
	agent->lead.offer_expires_ms = now_ms + HANDOVER_TIMEOUT_MS;
	agent->lead.offers_left = (uint32_t)peers;
	agent->lead.next_offer_peer = agent_random(agent, (uint32_t)peers);
	send_offer(agent);
}

/* Requests the lead key if this instance can lead and the key is still the one
 * offered. Returns whether it does. */
static bool
accept_offer(struct agent *agent, const Ibis__LeadOffer *offer, int64_t now_ms)
{
	if (agent->stopping || agent->lead.state != AGENT_FOLLOWING ||
	    !agent->lead_key.present ||
	    agent->lead_key.revision != offer->epoch ||
	    !agent_view_fresh(agent, now_ms))
		return false;
	agent_lead_request(agent, offer->epoch);
	return true;
}

bool
agent_handover_request(struct agent *agent, struct gateway_request *request)
{
	Ibis__LeadOffer *offer;
	int32_t status = STATUS_BAD_REQUEST;

	if (request->method != GATEWAY_POST ||
	    strcmp(request->path, OFFER_PATH) != 0)
		return false;
	offer = (Ibis__LeadOffer *)proto_unpack(&ibis__lead_offer__descriptor,
	    request->body.data, request->body.length);
	if (offer != NULL) {
		status = accept_offer(agent, offer, clock_now_ms())
		    ? STATUS_OK
		    : STATUS_CONFLICT;
		proto_free(&offer->base);
	}
	gateway_reply(agent->gateway, request, status, NULL, 0);
	return true;
}
