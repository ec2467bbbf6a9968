/*
 * Sends the lead a hint about each accepted job. The lead also learns of the
 * job from its watch, but the watch batches changes and may be delayed. A lost
 * hint costs only that delay.
 */
#include <string.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/counters.h"
#include "process/proto_memory.h"

#define HINT_PATH	   "/hint"
#define HINT_TIMEOUT_MS	   500
#define STATUS_OK	   200
#define STATUS_BAD_REQUEST 400

static void
hint_answered(void *context, const struct http_result *result)
{
	(void)context;
	if (result->outcome != HTTP_RESPONDED || result->status != STATUS_OK)
		counter_add(COUNTER_HINTS_LOST, 1);
}

void
agent_hint_send(struct agent *agent, const char *id, uint64_t revision,
    const struct buffer *record)
{
	char job_id[FLEET_ID_BYTES];
	const struct agent_peer *lead;
	Ibis__AcceptedJob message = IBIS__ACCEPTED_JOB__INIT;

	agent_view_add_job(agent, id, revision, record->data, record->length);
	lead = agent->lead_key.present
	    ? name_index_get(&agent->peers.index, agent->lead_key.holder)
	    : NULL;
	if (lead == NULL)
		return;
	STRING_COPY(job_id, id);
	message.id = job_id;
	message.revision = revision;
	message.spec.data = (uint8_t *)record->data;
	message.spec.len = record->length;
	agent_peers_call(agent, lead->address, HINT_PATH, &message.base,
	    HINT_TIMEOUT_MS, hint_answered, NULL);
}

bool
agent_hint_request(struct agent *agent, struct gateway_request *request)
{
	Ibis__AcceptedJob *message;

	if (request->method != GATEWAY_POST ||
	    strcmp(request->path, HINT_PATH) != 0)
		return false;
	message =
	    (Ibis__AcceptedJob *)proto_unpack(&ibis__accepted_job__descriptor,
		request->body.data, request->body.length);
	if (message == NULL || !platform_is_job_id(message->id)) {
		gateway_reply(
		    agent->gateway, request, STATUS_BAD_REQUEST, NULL, 0);
	} else {
		agent_view_add_job(agent, message->id, message->revision,
		    (const char *)message->spec.data, message->spec.len);
		gateway_reply(agent->gateway, request, STATUS_OK, NULL, 0);
	}
	if (message != NULL)
		proto_free(&message->base);
	return true;
}
