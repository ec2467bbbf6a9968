#include <ne_string.h>
#include <stdio.h>
#include <string.h>

#include "common_agent.h"
#include "common_cunit.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/proto_memory.h"

#define STATUS_OK	200
#define CONFIG_APPLY_MS 3000

static void
record_call(void *context, const struct http_call *call, http_callback *done,
    void *done_context)
{
	struct agent_fixture *fixture = context;
	struct agent_fixture_call *recorded;

	CU_ASSERT_TRUE_FATAL(fixture->count < AGENT_FIXTURE_CALLS);
	recorded = &fixture->calls[fixture->count++];
	STRING_COPY(recorded->path, call->path);
	recorded->body = mem_strndup(call->body, call->body_length);
	recorded->done = done;
	recorded->context = done_context;
}

void
open_agent_fixture(struct agent_fixture *fixture)
{
	struct agent *agent = &fixture->agent;

	memset(fixture, 0, sizeof(*fixture));
	STRING_COPY(agent->settings.name, AGENT_FIXTURE_NAME);
	agent->settings.max_lease_ms = 10000;
	agent->settings.min_store_lease_ms = 1000;
	agent->settings.max_value_bytes = 1 << 20;
	agent->settings.remote_factor = 3;
	agent->settings.config_apply_ms = CONFIG_APPLY_MS;
	agent->random_state = 1;
	agent->store = (struct platform_store){
	    .send = record_call,
	    .send_context = fixture,
	    .address = "127.0.0.1:1",
	    .timeout_ms = STORE_TIMEOUT_MS,
	};
	CDS_INIT_LIST_HEAD(&agent->pending_requests);
	CDS_INIT_LIST_HEAD(&agent->relay.peer_calls);
	CDS_INIT_LIST_HEAD(&agent->relay.short_calls);
	agent_config_start(agent);
	agent_view_start(agent);
}

void
close_agent_fixture(struct agent_fixture *fixture)
{
	struct http_result nothing = {
	    .outcome = HTTP_OUTCOME_UNKNOWN, .body = ""};

	agent_lead_step_down(&fixture->agent, "test over");
	agent_view_free(&fixture->agent);
	agent_config_free(&fixture->agent);
	for (size_t i = 0; i < fixture->count; i++) {
		if (fixture->calls[i].done != NULL)
			fixture->calls[i].done(
			    fixture->calls[i].context, &nothing);
		mem_free(fixture->calls[i].body);
	}
}

void
append_store_item(struct buffer *items, const char *key, const void *value,
    size_t length, uint64_t revision, uint64_t lease)
{
	char *text = ne_base64(value, length);

	buffer_printf(items,
	    "%s{\"Key\":\"%s\",\"Value\":\"%s\",\"Revision\":%llu,"
	    "\"Created\":%llu,\"Lease\":%llu}",
	    items->length == 0 ? "" : ",", key, text,
	    (unsigned long long)revision, (unsigned long long)revision,
	    (unsigned long long)lease);
	ne_free(text);
}

void
append_store_message(struct buffer *items, const char *key,
    const ProtobufCMessage *message, uint64_t revision)
{
	CLEANUP(buffer_free) struct buffer packed = {0};

	proto_pack(message, &packed);
	append_store_item(items, key, packed.data, packed.length, revision, 0);
}

void
pack_store_job(struct buffer *record)
{
	Ibis__StepJob job = IBIS__STEP_JOB__INIT;
	Ibis__JobStep step = IBIS__JOB_STEP__INIT;
	Ibis__JobStep *steps[] = {&step};

	step.tasks = 1;
	job.steps = steps;
	job.n_steps = 1;
	proto_pack(&job.base, record);
}

void
append_store_job(struct buffer *items, const char *id, uint64_t revision)
{
	CLEANUP(buffer_free) struct buffer record = {0};
	char key[PLATFORM_KEY_BYTES];

	(void)snprintf(key, sizeof(key), "%s%s", AGENT_JOB_PREFIX, id);
	pack_store_job(&record);
	append_store_item(items, key, record.data, record.length, revision, 0);
}

void
answer_store_status(struct agent_fixture *fixture, const char *path_part,
    int32_t status, const char *body)
{
	int64_t now_ms = clock_now_ms();
	struct http_result reply = {
	    .outcome = HTTP_RESPONDED,
	    .status = status,
	    .body = body,
	    .body_length = strlen(body),
	    .sent_ms = now_ms,
	    .received_ms = now_ms,
	};

	for (size_t i = fixture->count; i > 0; i--) {
		struct agent_fixture_call *call = &fixture->calls[i - 1];

		if (strstr(call->path, path_part) == NULL || call->done == NULL)
			continue;
		call->done(call->context, &reply);
		call->done = NULL;
		return;
	}
	CU_FAIL("no unanswered store call with this path");
}

void
answer_store(
    struct agent_fixture *fixture, const char *path_part, const char *body)
{
	answer_store_status(fixture, path_part, STATUS_OK, body);
}

size_t
count_unanswered(const struct agent_fixture *fixture, const char *path_part)
{
	size_t count = 0;

	for (size_t i = 0; i < fixture->count; i++)
		count += fixture->calls[i].done != NULL &&
		    strstr(fixture->calls[i].path, path_part) != NULL;
	return count;
}

void
await_lead_key(struct agent *agent)
{
	agent->lead.state = AGENT_AWAITING_KEY;
	agent->lead.lease = AGENT_FIXTURE_LEASE;
	agent->lead.key_requested_ms = clock_now_ms();
	agent->lead.renewed_ms = clock_now_ms();
}

void
become_lead(struct agent_fixture *fixture, const char *listing)
{
	struct agent *agent = &fixture->agent;

	await_lead_key(agent);
	agent_view_step(agent, clock_now_ms());
	answer_store(fixture, "Prefix=ibis", listing);
	agent_lead_step(agent, clock_now_ms());
	CU_ASSERT_EQUAL_FATAL(agent->lead.state, AGENT_LEADING);
}
