/*
 * The other instances: learns their addresses from their entries in the store
 * and from their hello messages, registers this instance, and sends messages to
 * peers.
 */
#include <string.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/proto_memory.h"

#define HELLO_PATH	 "/hello"
#define HELLO_TIMEOUT_MS 500
#define HELLO_RETRY_MS	 500
#define MAX_HELLOS	 10
/* Lease of this instance's entry. The store deletes the entry this long
 * after the last renewal. */
#define ENTRY_LEASE_MS	    30000
#define ENTRY_RENEW_MS	    10000
#define ENTRY_RETRY_MS	    1000
#define MAX_CAPACITY_DIGITS 15
#define STATUS_OK	    200
#define STATUS_BAD_REQUEST  400

void
agent_peers_call(struct agent *agent, const char *address, const char *path,
    const ProtobufCMessage *message, int32_t timeout_ms, http_callback *done,
    void *context)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	struct http_call call = {
	    .method = "POST",
	    .address = address,
	    .path = path,
	    .timeout_ms = timeout_ms,
	};

	proto_pack(message, &body);
	call.body = body.data;
	call.body_length = body.length;
	http_pool_call(agent->pool, &call, done, context);
}

/* Adds a peer or changes its address. */
static struct agent_peer *
add_peer(struct agent *agent, const char *name, const char *address)
{
	struct agent_peer *peer = name_index_get(&agent->peers.index, name);

	if (peer != NULL && strcmp(peer->address, address) == 0)
		return peer;
	mem_free(name_index_remove(&agent->peers.index, name));
	peer = mem_calloc(1, sizeof(*peer));
	STRING_COPY(peer->name, name);
	STRING_COPY(peer->address, address);
	(void)name_index_add(&agent->peers.index, peer->name, peer);
	return peer;
}

/* A hello in flight, which the peer's removal may outrun. */
struct hello_call {
	struct agent *agent;
	char name[FLEET_NAME_BYTES];
};

static void
hello_answered(void *context, const struct http_result *result)
{
	struct hello_call *call = context;
	struct agent *agent = call->agent;
	struct agent_peer *peer =
	    name_index_get(&agent->peers.index, call->name);

	mem_free(call);
	if (peer == NULL)
		return;
	peer->hello_in_flight = false;
	peer->next_hello_ms = result->received_ms + HELLO_RETRY_MS;
	if (result->outcome == HTTP_RESPONDED && result->status == STATUS_OK)
		peer->knows_us = true;
	else
		agent_wake_at(agent, peer->next_hello_ms);
}

/* Sends this instance's address to a peer that may not know it. An instance
 * that loses the store soon after its start knows only the peers that have sent
 * it a hello. */
static void
greet(struct agent *agent, struct agent_peer *peer, int64_t now_ms)
{
	Ibis__PeerHello hello = IBIS__PEER_HELLO__INIT;
	struct hello_call *call;

	if (peer->knows_us || peer->hello_in_flight ||
	    peer->hellos == MAX_HELLOS || *agent->internal_address == '\0')
		return;
	if (now_ms < peer->next_hello_ms) {
		agent_wake_at(agent, peer->next_hello_ms);
		return;
	}
	call = mem_calloc(1, sizeof(*call));
	call->agent = agent;
	STRING_COPY(call->name, peer->name);
	peer->hello_in_flight = true;
	peer->hellos++;
	hello.name = agent->settings.name;
	hello.address = agent->internal_address;
	agent_peers_call(agent, peer->address, HELLO_PATH, &hello.base,
	    HELLO_TIMEOUT_MS, hello_answered, call);
}

/* Returns whether a name and an address can be an instance's. */
static bool
is_peer(const char *name, const char *address)
{
	size_t length = strlen(name);

	return length > 0 && length < FLEET_NAME_BYTES &&
	    http_pool_accepts(address);
}

bool
agent_peers_request(struct agent *agent, struct gateway_request *request)
{
	Ibis__PeerHello *hello;
	int32_t status = STATUS_BAD_REQUEST;

	if (request->method != GATEWAY_POST ||
	    strcmp(request->path, HELLO_PATH) != 0)
		return false;
	hello = (Ibis__PeerHello *)proto_unpack(&ibis__peer_hello__descriptor,
	    request->body.data, request->body.length);
	if (hello != NULL) {
		if (is_peer(hello->name, hello->address) &&
		    strcmp(hello->name, agent->settings.name) != 0) {
			add_peer(agent, hello->name, hello->address)->knows_us =
			    true;
			status = STATUS_OK;
		}
		proto_free(&hello->base);
	}
	gateway_reply(agent->gateway, request, status, NULL, 0);
	return true;
}

void
agent_peers_apply_item(struct agent *agent, const char *name,
    const struct platform_store_item *item)
{
	char address[PLATFORM_TEXT_BYTES * 2] = "";

	if (strcmp(name, agent->settings.name) == 0)
		return;
	if (item->value_length > 0 && item->value_length < sizeof(address))
		memcpy(address, item->value, item->value_length);
	if (item->deleted || !is_peer(name, address)) {
		mem_free(name_index_remove(&agent->peers.index, name));
		if (!item->deleted)
			agent_watch_log_unreadable(
			    item, "not a name and an address IP:PORT");
		return;
	}
	greet(agent, add_peer(agent, name, address), clock_now_ms());
}

/* Reads a decimal number; -1: it is something else. */
static int64_t
parse_capacity(const char *text, size_t length)
{
	int64_t value = 0;

	if (length == 0 || length > MAX_CAPACITY_DIGITS)
		return -1;
	for (size_t i = 0; i < length; i++) {
		if (text[i] < '0' || text[i] > '9')
			return -1;
		value = value * 10 + (text[i] - '0');
	}
	return value;
}

void
agent_peers_apply_capacity(struct agent *agent, const char *name,
    const struct platform_store_item *item)
{
	struct name_index *capacities = &agent->peers.capacities;
	struct agent_capacity *capacity;
	int64_t value;

	mem_free(name_index_remove(capacities, name));
	if (item->deleted || strcmp(name, agent->settings.name) == 0)
		return;
	value = parse_capacity(item->value, item->value_length);
	if (value < 0 || strlen(name) >= FLEET_NAME_BYTES) {
		agent_watch_log_unreadable(
		    item, "not a name and a decimal number");
		return;
	}
	capacity = mem_calloc(1, sizeof(*capacity));
	STRING_COPY(capacity->name, name);
	capacity->value = value;
	if (!name_index_add(capacities, capacity->name, capacity))
		mem_free(capacity);
}

static void
register_answered(void *context, const struct platform_store_answer *answer)
{
	struct agent *agent = context;
	bool stored = answer->outcome == STORE_DONE;

	agent->peers.register_in_flight = false;
	agent->peers.next_register_ms =
	    answer->received_ms + (stored ? ENTRY_RENEW_MS : ENTRY_RETRY_MS);
	if (answer->outcome == STORE_MISSING)
		agent->peers.lease = 0;
}

/* Writes this instance's address and lead capacity, under keys that end with
 * its lease. */
static void
write_entry(struct agent *agent)
{
	CLEANUP(buffer_free) struct buffer address_key = {0};
	CLEANUP(buffer_free) struct buffer capacity_key = {0};
	CLEANUP(buffer_free) struct buffer capacity = {0};
	struct platform_store_op changes[2] = {{.put = true}, {.put = true}};

	buffer_printf(
	    &address_key, "%s%s", AGENT_PEER_PREFIX, agent->settings.name);
	buffer_printf(
	    &capacity_key, "%s%s", AGENT_CAPACITY_PREFIX, agent->settings.name);
	buffer_printf(
	    &capacity, "%lld", (long long)agent_fitness_capacity(agent));
	changes[0].key = buffer_string(&address_key);
	changes[0].value = agent->internal_address;
	changes[0].value_length = strlen(agent->internal_address);
	changes[0].lease = agent->peers.lease;
	changes[1].key = buffer_string(&capacity_key);
	changes[1].value = buffer_string(&capacity);
	changes[1].value_length = capacity.length;
	changes[1].lease = agent->peers.lease;
	platform_store_commit(&agent->store, changes, COUNT_OF(changes),
	    register_answered, agent);
}

static void
entry_lease_answered(void *context, const struct platform_store_answer *answer)
{
	struct agent *agent = context;

	if (answer->outcome != STORE_DONE) {
		register_answered(agent, answer);
		return;
	}
	agent->peers.lease = answer->lease;
	write_entry(agent);
}

/* Writes or renews this instance's entry in the store, from which peers learn
 * its address. */
static void
register_self(struct agent *agent, int64_t now_ms)
{
	struct agent_peers *peers = &agent->peers;

	if (agent->settings.internal_port == 0 || peers->register_in_flight ||
	    agent->stopping)
		return;
	if (now_ms < peers->next_register_ms) {
		agent_wake_at(agent, peers->next_register_ms);
		return;
	}
	peers->register_in_flight = true;
	if (peers->lease == 0)
		platform_store_grant_lease(
		    &agent->store, ENTRY_LEASE_MS, entry_lease_answered, agent);
	else
		platform_store_renew_lease(
		    &agent->store, peers->lease, register_answered, agent);
}

void
agent_peers_step(struct agent *agent, int64_t now_ms)
{
	register_self(agent, now_ms);
	for (size_t i = 0; i < agent->peers.index.count; i++)
		greet(agent, agent->peers.index.items[i].item, now_ms);
}

void
agent_peers_free(struct agent *agent)
{
	for (size_t i = 0; i < agent->peers.index.count; i++)
		mem_free(agent->peers.index.items[i].item);
	name_index_free(&agent->peers.index);
	for (size_t i = 0; i < agent->peers.capacities.count; i++)
		mem_free(agent->peers.capacities.items[i].item);
	name_index_free(&agent->peers.capacities);
}
