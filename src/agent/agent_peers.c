/*
 * The other instances: learns their addresses from their entries in the store
 * and from their hello messages, registers this instance, and sends messages to
 * peers.
 */
#include <string.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define HELLO_PATH	 "/hello"
#define HELLO_TIMEOUT_MS 500
/* Lease of this instance's entry. The store deletes the entry this long
 * after the last renewal. */
#define ENTRY_LEASE_MS	   30000
#define ENTRY_RENEW_MS	   10000
#define ENTRY_RETRY_MS	   1000
#define STATUS_OK	   200
#define STATUS_BAD_REQUEST 400

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

/* Adds a peer or changes its address. Returns false when neither was needed. */
static bool
add_peer(struct agent *agent, const char *name, const char *address)
{
	struct agent_peer *peer = name_index_get(&agent->peers.index, name);

	if (peer != NULL && strcmp(peer->address, address) == 0)
		return false;
	mem_free(name_index_remove(&agent->peers.index, name));
	peer = mem_calloc(1, sizeof(*peer));
	STRING_COPY(peer->name, name);
	STRING_COPY(peer->address, address);
	(void)name_index_add(&agent->peers.index, peer->name, peer);
	return true;
}

static void
hello_answered(void *context, const struct http_result *result)
{
	(void)context;
	(void)result; /* the peer also finds this instance in the store */
}

/* Sends this instance's address to a peer. An instance that loses the store
 * soon after its start knows only the peers that have sent it a hello. */
static void
send_hello(struct agent *agent, const char *address)
{
	Ibis__PeerHello hello = IBIS__PEER_HELLO__INIT;

	if (*agent->internal_address == '\0')
		return;
	hello.name = agent->settings.name;
	hello.address = agent->internal_address;
	agent_peers_call(agent, address, HELLO_PATH, &hello.base,
	    HELLO_TIMEOUT_MS, hello_answered, NULL);
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
		if (*hello->name != '\0' && *hello->address != '\0' &&
		    strcmp(hello->name, agent->settings.name) != 0) {
			(void)add_peer(agent, hello->name, hello->address);
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
	char address[PLATFORM_TEXT_BYTES * 2];

	if (strcmp(name, agent->settings.name) == 0)
		return;
	if (item->deleted || item->value_length >= sizeof(address)) {
		mem_free(name_index_remove(&agent->peers.index, name));
		return;
	}
	memcpy(address, item->value, item->value_length);
	address[item->value_length] = '\0';
	if (add_peer(agent, name, address))
		send_hello(agent, address);
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

static void
entry_lease_answered(void *context, const struct platform_store_answer *answer)
{
	struct agent *agent = context;
	CLEANUP(buffer_free) struct buffer key = {0};
	struct platform_store_op change = {.put = true};

	if (answer->outcome != STORE_DONE) {
		register_answered(agent, answer);
		return;
	}
	agent->peers.lease = answer->lease;
	buffer_printf(&key, "%s%s", AGENT_PEER_PREFIX, agent->settings.name);
	change.key = buffer_string(&key);
	change.value = agent->internal_address;
	change.value_length = strlen(agent->internal_address);
	change.lease = answer->lease;
	platform_store_commit(
	    &agent->store, &change, 1, register_answered, agent);
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
}

void
agent_peers_free(struct agent *agent)
{
	for (size_t i = 0; i < agent->peers.index.count; i++)
		mem_free(agent->peers.index.items[i].item);
	name_index_free(&agent->peers.index);
}
