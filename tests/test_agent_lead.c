/* Taking the lead over, against a store made up here. */
#include <ne_string.h>
#include <stdio.h>
#include <string.h>

#include "agent/agent_state.h"
#include "common_cunit.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/proto_memory.h"

#define OUR_LEASE 77
#define OUR_EPOCH 52
#define STATUS_OK 200
#define JOB	  "0123456789abcdef"
#define MAX_CALLS 32

/* A call of the instance to its store. */
struct call {
	char path[256];
	http_done *done;
	void *context;
};

struct setting {
	struct agent agent;
	struct call calls[MAX_CALLS];
	size_t count;
};

static void
carry(void *context, const struct http_call *call, http_done *done,
    void *done_context)
{
	struct setting *setting = context;
	struct call *noted;

	CU_ASSERT_TRUE_FATAL(setting->count < MAX_CALLS);
	noted = &setting->calls[setting->count++];
	STRING_COPY(noted->path, call->path);
	noted->done = done;
	noted->context = done_context;
}

static void
open_setting(struct setting *setting)
{
	struct agent *agent = &setting->agent;

	memset(setting, 0, sizeof(*setting));
	STRING_COPY(agent->settings.name, "i1");
	agent->settings.max_lease_ms = 10000;
	agent->settings.min_store_lease_ms = 1000;
	agent->settings.remote_factor = 3;
	agent->random_state = 1;
	agent->store = (struct platform_store){
	    .carry = carry,
	    .carry_context = setting,
	    .address = "127.0.0.1:1",
	    .timeout_ms = STORE_TIMEOUT_MS,
	};
	CDS_INIT_LIST_HEAD(&agent->pending);
	CDS_INIT_LIST_HEAD(&agent->relay.serving);
	CDS_INIT_LIST_HEAD(&agent->relay.asked);
	agent_view_start(agent);
}

static void
close_setting(struct setting *setting)
{
	struct http_answer nothing = {.outcome = HTTP_NO_ANSWER, .body = ""};

	agent_lead_step_down(&setting->agent, "test over");
	agent_view_free(&setting->agent);
	for (size_t i = 0; i < setting->count; i++) {
		if (setting->calls[i].done != NULL)
			setting->calls[i].done(
			    setting->calls[i].context, &nothing);
	}
}

static void
append_item(struct buffer *body, const char *key, const void *value,
    size_t length, uint64_t revision, uint64_t lease)
{
	char *text = ne_base64(value, length);

	buffer_printf(body,
	    "%s{\"Key\":\"%s\",\"Value\":\"%s\",\"Revision\":%llu,"
	    "\"Created\":%llu,\"Lease\":%llu}",
	    body->length == 0 ? "" : ",", key, text,
	    (unsigned long long)revision, (unsigned long long)revision,
	    (unsigned long long)lease);
	ne_free(text);
}

static void
append_message(struct buffer *body, const char *key,
    const ProtobufCMessage *message, uint64_t revision)
{
	CLEANUP(buffer_free) struct buffer packed = {0};

	proto_pack(message, &packed);
	append_item(body, key, packed.data, packed.length, revision, 0);
}

/* All that the store has, in the order of its keys: a job that is done, and our
 * key. */
static void
build_listing(struct buffer *body)
{
	CLEANUP(buffer_free) struct buffer items = {0};
	Ibis__StepJob job = IBIS__STEP_JOB__INIT;
	Ibis__JobStep step = IBIS__JOB_STEP__INIT;
	Ibis__JobStep *steps[] = {&step};
	Ibis__TaskProgress task = IBIS__TASK_PROGRESS__INIT;
	Ibis__TaskProgress *tasks[] = {&task};
	Ibis__OccurrenceProgress occurrence = IBIS__OCCURRENCE_PROGRESS__INIT;
	Ibis__OccurrenceProgress *occurrences[] = {&occurrence};
	Ibis__JobProgress progress = IBIS__JOB_PROGRESS__INIT;

	step.tasks = 1;
	job.steps = steps;
	job.n_steps = 1;
	task.run = 1;
	task.done = true;
	occurrence.tasks = tasks;
	occurrence.n_tasks = 1;
	progress.phase = IBIS__STEP_JOB_PHASE__PHASE_COMPLETED;
	progress.occurrences = occurrences;
	progress.n_occurrences = 1;
	append_message(&items, AGENT_JOB_PREFIX JOB, &job.base, 40);
	append_item(&items, AGENT_LEAD_KEY, "i1", 2, OUR_EPOCH, OUR_LEASE);
	append_message(&items, AGENT_STATE_PREFIX JOB, &progress.base, 45);
	buffer_printf(body, "{\"items\":[%s],\"HasMore\":false,\"At\":60}",
	    buffer_string(&items));
}

/* Answers the newest call whose path names a prefix. */
static void
answer(struct setting *setting, const char *prefix, const char *body)
{
	int64_t now_ms = clock_now_ms();
	struct http_answer reply = {
	    .outcome = HTTP_ANSWERED,
	    .status = STATUS_OK,
	    .body = body,
	    .body_length = strlen(body),
	    .sent_ms = now_ms,
	    .received_ms = now_ms,
	};

	for (size_t i = setting->count; i > 0; i--) {
		struct call *call = &setting->calls[i - 1];

		if (strstr(call->path, prefix) == NULL || call->done == NULL)
			continue;
		call->done(call->context, &reply);
		call->done = NULL;
		return;
	}
	CU_FAIL("no such call");
}

/* Has written the key, and learns so by a listing. */
static void
become_lead(struct setting *setting)
{
	CLEANUP(buffer_free) struct buffer listing = {0};
	struct agent *agent = &setting->agent;

	agent->lead.state = LEAD_WAITS_KEY;
	agent->lead.lease = OUR_LEASE;
	agent->lead.asked_ms = clock_now_ms();
	agent->lead.renewed_ms = clock_now_ms();
	agent_view_step(agent, clock_now_ms());
	build_listing(&listing);
	answer(setting, "Prefix=ibis", buffer_string(&listing));
	agent_lead_step(agent, clock_now_ms());
	CU_ASSERT_EQUAL_FATAL(agent->lead.state, LEAD_LEADS);
}

/* Pattern: the store has dropped its history while another lead handed over, so
 * that the key comes with a listing, before the records that follow it. */
static void
test_lead_begins_with_all_of_a_listing(void)
{
	CLEANUP(close_setting) struct setting setting;
	const struct fleet_job *job;

	open_setting(&setting);
	become_lead(&setting);
	CU_ASSERT_EQUAL(setting.agent.lead.epoch, OUR_EPOCH);
	job = fleet_find_job(setting.agent.fleet, JOB);
	CU_ASSERT_PTR_NOT_NULL_FATAL(job);
	CU_ASSERT_EQUAL(
	    fleet_job_phase(job), IBIS__STEP_JOB_PHASE__PHASE_COMPLETED);
}

static void
test_lead_steps_down_when_its_key_changes(void)
{
	CLEANUP(close_setting) struct setting setting;

	open_setting(&setting);
	become_lead(&setting);
	agent_view_step(&setting.agent, clock_now_ms());
	answer(&setting, "Prefix=ibis",
	    "{\"events\":[{\"Key\":\"ibis/lead\",\"Revision\":61,"
	    "\"Deleted\":true}],\"At\":61}");
	agent_lead_step(&setting.agent, clock_now_ms());
	CU_ASSERT_NOT_EQUAL(setting.agent.lead.state, LEAD_LEADS);
	CU_ASSERT_PTR_NULL(setting.agent.fleet);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"lead begins with all of a listing",
		test_lead_begins_with_all_of_a_listing},
	    {"lead steps down when its key changes",
		test_lead_steps_down_when_its_key_changes},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("agent_lead", tests);
}
