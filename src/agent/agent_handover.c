/*
 * Hands the lead over to a peer: before a planned stop, when a peer is fitter
 * to lead, and when this instance falls behind or the store turns it away. This
 * instance leads until the peer has overwritten the lead key, so that there is
 * no time without a lead.
 */
#include <string.h>

#include "agent/agent_state.h"
#include "process/clock.h"
#include "process/log.h"
#include "process/proto_memory.h"

/* The lead is released when no peer has taken it within this time. */
#define HANDOVER_TIMEOUT_MS 1500
#define OFFER_TIMEOUT_MS    500
/* A lead that goes on leading offers it to this many peers, at intervals. */
#define MAX_OFFERS	  5
#define OFFER_INTERVAL_MS 1000
/* A peer is fitter if its lead capacity is at least this share of the lead's.
 */
#define FITTER_PERCENT 150
/* A lead whose store calls have been relayed for this long hands over to a peer
 * that reaches the store, if its capacity is at least this share of its own. */
#define RELAYED_LEAD_MS	     300
#define RELAYED_LEAD_PERCENT 50
/* A lead that falls behind hands over to a peer that is only as fit as itself
 * at most this often: the work may be too much for either. */
#define MIN_LEAD_MS	   15000
#define OFFER_PATH	   "/succeed"
#define STATUS_OK	   200
#define STATUS_BAD_REQUEST 400
#define STATUS_CONFLICT	   409

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
	    log_number(agent->lead.offers_left), "busy_permille",
	    log_number(agent->load.busy_permille), NULL);
	if (!taken)
		send_offer(agent);
}

/* Returns the fittest peer that has not been offered the lead in this round, or
 * NULL. Of several, a random one. */
static struct agent_peer *
next_peer(struct agent *agent)
{
	const struct name_index *peers = &agent->peers.index;
	size_t first =
	    peers->count == 0 ? 0 : agent_random(agent, (uint32_t)peers->count);
	struct agent_peer *best = NULL;
	int64_t best_capacity = agent->lead.offer_capacity - 1;

	for (size_t i = 0; i < peers->count; i++) {
		struct agent_peer *peer =
		    peers->items[(first + i) % peers->count].item;
		int64_t capacity = agent_fitness_of_peer(agent, peer->name);

		if (peer->offer_round == agent->lead.offer_round ||
		    capacity <= best_capacity)
			continue;
		best = peer;
		best_capacity = capacity;
	}
	return best;
}

/* Ends an offer that no peer has taken. */
static void
end_offer(struct agent *agent)
{
	agent->lead.offer_expires_ms = 0;
	if (agent->lead.offer_ends_in_release)
		agent_lead_release(agent);
}

/* Offers the lead to the next peer, or ends the offer when all have refused. */
static void
send_offer(struct agent *agent)
{
	Ibis__LeadOffer offer = IBIS__LEAD_OFFER__INIT;
	struct agent_peer *peer =
	    agent->lead.offers_left == 0 ? NULL : next_peer(agent);

	if (peer == NULL) {
		end_offer(agent);
		return;
	}
	agent->lead.offers_left--;
	peer->offer_round = agent->lead.offer_round;
	offer.epoch = agent->lead.epoch;
	agent_peers_call(agent, peer->address, OFFER_PATH, &offer.base,
	    OFFER_TIMEOUT_MS, offer_answered, agent);
}

/* Offers the lead to peers with at least this lead capacity. */
static void
begin_offer(struct agent *agent, uint32_t peers, int64_t capacity,
    bool ends_in_release, int64_t now_ms)
{
	agent->lead.offer_expires_ms = now_ms + HANDOVER_TIMEOUT_MS;
	agent->lead.offers_left = peers;
	agent->lead.offer_round++;
	agent->lead.offer_capacity = capacity;
	agent->lead.offer_ends_in_release = ends_in_release;
	send_offer(agent);
}

void
agent_handover_start(struct agent *agent, int64_t now_ms)
{
	size_t peers = agent->peers.index.count;

	if (agent->lead.state != AGENT_LEADING || peers == 0) {
		agent_lead_release(agent);
		return;
	}
	begin_offer(agent, (uint32_t)peers, 0, true, now_ms);
}

/* Returns whether store calls have been relayed through peers for a while. Each
 * record then takes the way of a peer that may be slow or busy. */
static bool
is_relayed(const struct agent *agent, int64_t now_ms)
{
	return agent->relay.via_peer &&
	    now_ms - agent->relay.switched_ms >= RELAYED_LEAD_MS;
}

/* Returns the lead capacity that a peer needs for this lead to hand over to it;
 * INT64_MAX: this instance is to go on leading. */
static int64_t
wanted_capacity(const struct agent *agent, int64_t now_ms)
{
	int64_t own = agent_fitness_capacity(agent);
	int64_t fitter = own * FITTER_PERCENT / 100;
	int64_t best = agent_fitness_best_peer(agent);
	enum store_health health = agent_relay_health(agent, now_ms);

	/* While nobody reaches the store, no peer could take the key. */
	if (health == STORE_UNREACHABLE)
		return INT64_MAX;
	if (is_relayed(agent, now_ms))
		return own * RELAYED_LEAD_PERCENT / 100;
	if (own == 0 || best == 0 || health != STORE_HEALTHY)
		return INT64_MAX;
	if (best >= fitter)
		return fitter;
	if (best >= own && agent_load_is_high(&agent->load) &&
	    now_ms - agent->lead.taken_ms >= MIN_LEAD_MS)
		return own;
	return INT64_MAX;
}

void
agent_handover_step(struct agent *agent, int64_t now_ms)
{
	int64_t capacity;

	if (agent->lead.offer_expires_ms != 0) {
		if (now_ms >= agent->lead.offer_expires_ms)
			end_offer(agent);
		else
			agent_wake_at(agent, agent->lead.offer_expires_ms);
		return;
	}
	if (agent->stopping || now_ms < agent->lead.next_offer_ms)
		return;
	capacity = wanted_capacity(agent, now_ms);
	if (capacity == INT64_MAX)
		return;
	agent->lead.next_offer_ms = now_ms + OFFER_INTERVAL_MS;
	begin_offer(agent, MAX_OFFERS, capacity, false, now_ms);
}

/* Requests the lead key if this instance can lead and the key is still the one
 * offered. Returns whether it does. */
static bool
accept_offer(struct agent *agent, const Ibis__LeadOffer *offer, int64_t now_ms)
{
	if (agent->stopping || agent->relay.via_peer ||
	    agent->lead.state != AGENT_FOLLOWING ||
	    agent_load_is_high(&agent->load) || !agent->lead_key.present ||
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
