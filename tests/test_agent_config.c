/* Tests of the operators' configuration from the store to requests and the
 * fleet, with simulated answers. */
#include <stdio.h>
#include <string.h>

#include <ne_string.h>

#include "agent/agent_state.h"
#include "common_cunit.h"
#include "fleet/fleet_model.h"
#include "process/alloc.h"
#include "process/clock.h"

#define CONFIG_APPLY_MS 3000
#define STATUS_OK	200
#define JOB_ID		"00000000000000ab"

struct fixture {
	struct agent agent;
	http_callback *done;
	void *context;
	uint64_t revision;
};

static void
record_call(void *context, const struct http_call *call, http_callback *done,
    void *done_context)
{
	struct fixture *fixture = context;

	(void)call;
	fixture->done = done;
	fixture->context = done_context;
}

static void
open_fixture(struct fixture *fixture)
{
	struct agent *agent = &fixture->agent;

	*fixture = (struct fixture){.revision = 10};
	agent->settings.config_apply_ms = CONFIG_APPLY_MS;
	CDS_INIT_LIST_HEAD(&agent->relay.short_calls);
	agent->store = (struct platform_store){
	    .send = record_call,
	    .send_context = fixture,
	    .address = "127.0.0.1:1",
	    .timeout_ms = STORE_TIMEOUT_MS,
	};
	agent_config_start(agent);
}

static void
close_fixture(struct fixture *fixture)
{
	fleet_free(fixture->agent.fleet);
	agent_config_free(&fixture->agent);
	if (fixture->done != NULL)
		fixture->done(fixture->context,
		    &(struct http_result){
			.outcome = HTTP_OUTCOME_UNKNOWN, .body = ""});
}

/* Sends the next read of the operators' keys at a time, and answers it. */
static void
answer_read(struct fixture *fixture, int64_t sent_ms, enum http_outcome outcome,
    const char *body)
{
	http_callback *done;

	agent_config_step(&fixture->agent, sent_ms);
	done = fixture->done;
	CU_ASSERT_PTR_NOT_NULL_FATAL(done);
	if (done == NULL)
		return;
	fixture->done = NULL;
	done(fixture->context,
	    &(struct http_result){.outcome = outcome,
		.status = outcome == HTTP_RESPONDED ? STATUS_OK : 0,
		.body = body,
		.body_length = strlen(body),
		.sent_ms = sent_ms,
		.received_ms = sent_ms});
}

/* Answers the next read, a listing or a watch, with a configuration. */
static void
answer_config(struct fixture *fixture, int64_t sent_ms, const char *config)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	char *value = ne_base64((const unsigned char *)config, strlen(config));

	fixture->revision++;
	buffer_printf(&body,
	    "{\"%s\":[{\"Key\":\"op/config\",\"Value\":\"%s\",\"Revision\":%d,"
	    "\"Created\":1,\"Lease\":0}],\"HasMore\":false,\"At\":%d}",
	    agent_watch_loaded(fixture->agent.config.watch) ? "events"
							    : "items",
	    value, (int)fixture->revision, (int)fixture->revision);
	ne_free(value);
	answer_read(fixture, sent_ms, HTTP_RESPONDED, buffer_string(&body));
}

#define CONFIG(version, service, tenants)                          \
	"{\"Version\":" version ",\"Routes\":[{\"Name\":\"r\","    \
	"\"Host\":\"h\",\"Prefix\":\"/q/\",\"Service\":\"" service \
	"\"}],\"Tenants\":[" tenants "]}"
#define TENANT \
	"{\"Name\":\"w\",\"ApiKeys\":[\"k\"],\"Guaranteed\":{\"Gpus\":8}}"

/* Makes the instance a lead with a job on the route "r", which was accepted
 * when the route led to "old". */
static void
lead_with_job(struct fixture *fixture, int64_t now_ms)
{
	struct fleet_config config = {
	    .lease_ms = 6000, .max_lease_ms = 10000, .remote_factor = 3};
	Ibis__StepJob spec = IBIS__STEP_JOB__INIT;
	Ibis__JobStep step = IBIS__JOB_STEP__INIT;
	Ibis__JobStep *steps[] = {&step};
	struct view_job job = {.id = JOB_ID, .spec = &spec};

	step.tasks = 1;
	spec.route = "r";
	spec.service = "old";
	spec.steps = steps;
	spec.n_steps = 1;
	fixture->agent.fleet = fleet_new(&config, now_ms);
	agent_config_prepare_fleet(&fixture->agent);
	agent_lead_update_job(&fixture->agent, &job, now_ms);
}

static const char *
service_of_job(const struct fixture *fixture)
{
	return fleet_find_job(fixture->agent.fleet, JOB_ID)->spec->service;
}

static void
test_version_never_reverts(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	int64_t now_ms = clock_now_ms();

	open_fixture(&fixture);
	CU_ASSERT_EQUAL(agent_config_version(&fixture.agent), -1);
	answer_config(&fixture, now_ms, CONFIG("7", "s", ""));
	answer_config(&fixture, now_ms, CONFIG("5", "t", ""));
	answer_config(&fixture, now_ms, "{\"Version\":9}");
	CU_ASSERT_EQUAL(agent_config_version(&fixture.agent), 7);
	CU_ASSERT_STRING_EQUAL(agent_config_service(&fixture.agent, "r"), "s");
	CU_ASSERT_PTR_NULL(agent_config_service(&fixture.agent, "other"));
}

/* Guards against an instance that doesn't know that its configuration is out of
 * date: only a complete read confirms it, from the time at which it was sent.
 */
static void
test_confirmed_by_complete_reads_only(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	struct agent *agent = &fixture.agent;
	int64_t start_ms = clock_now_ms();
	int64_t late_ms = start_ms + CONFIG_APPLY_MS + 1;

	open_fixture(&fixture);
	CU_ASSERT_FALSE(agent_config_confirmed(agent, start_ms));
	answer_config(&fixture, start_ms, CONFIG("7", "s", ""));
	CU_ASSERT_TRUE(
	    agent_config_confirmed(agent, start_ms + CONFIG_APPLY_MS));
	CU_ASSERT_FALSE(agent_config_confirmed(agent, late_ms));
	answer_read(&fixture, late_ms, HTTP_OUTCOME_UNKNOWN, "{\"events\":[{");
	CU_ASSERT_FALSE(agent_config_confirmed(agent, late_ms));
	answer_config(&fixture, late_ms + 1000, CONFIG("7", "s", ""));
	CU_ASSERT_TRUE(agent_config_confirmed(agent, late_ms + 1000));
	CU_ASSERT_EQUAL(agent_config_age_ms(agent, late_ms + 1500), 500);
}

static void
test_unconfirmed_is_usable_only_without_the_store(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	struct agent *agent = &fixture.agent;
	int64_t start_ms = clock_now_ms();
	int64_t late_ms = start_ms + CONFIG_APPLY_MS + 1;

	open_fixture(&fixture);
	answer_config(&fixture, start_ms, CONFIG("7", "s", ""));
	agent->relay.answered_ms = late_ms;
	CU_ASSERT_FALSE(agent_config_usable(agent, late_ms));
	agent->relay.answered_ms = start_ms;
	agent->relay.last_call_failed = true;
	CU_ASSERT_TRUE(agent_config_usable(agent, late_ms));
}

/* Guards against starts for a service that the job's route no longer leads to:
 * a new lead used the route as it was when the job was accepted. */
static void
test_new_lead_uses_current_service(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	int64_t now_ms = clock_now_ms();

	open_fixture(&fixture);
	answer_config(&fixture, now_ms, CONFIG("2", "new", TENANT));
	lead_with_job(&fixture, now_ms);
	CU_ASSERT_STRING_EQUAL(service_of_job(&fixture), "new");
	answer_config(&fixture, now_ms, CONFIG("3", "newer", TENANT));
	CU_ASSERT_STRING_EQUAL(service_of_job(&fixture), "newer");
}

#define LONG_NAME                                                  \
	"a-queue-of-a-name-that-is-longer-than-sixty-three-bytes/" \
	"same-day/"

/* Guards against jobs of a queue that go to another one's service: names of 64
 * bytes and more were dropped, so that a new queue took the place of each. */
static void
test_queue_with_a_long_name_keeps_its_service(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	static const char config[] =
	    "{\"Version\":7,\"Routes\":[{\"Name\":\"" LONG_NAME "2\",\"Host\":"
	    "\"h\",\"Prefix\":\"/b/"
	    "\",\"Service\":\"other\"},{\"Name\":\"" LONG_NAME
	    "1\",\"Host\":\"h\",\"Prefix\":\"/a/\",\"Service\":\"own\"}]}";
	struct agent *agent = &fixture.agent;

	open_fixture(&fixture);
	answer_config(&fixture, clock_now_ms(), config);
	CU_ASSERT_STRING_EQUAL(
	    agent_config_service(agent, LONG_NAME "1"), "own");
	CU_ASSERT_STRING_EQUAL(
	    agent_config_service(agent, LONG_NAME "2"), "other");
	CU_ASSERT_PTR_NULL(agent_config_service(agent, ""));
	CU_ASSERT_PTR_NULL(agent_config_service(agent, LONG_NAME));
}

static size_t
workspaces_with_guarantee(const struct fleet *fleet)
{
	size_t count = 0;

	for (size_t i = 0; i < fleet->workspaces_count; i++)
		count += fleet->workspaces[i]->guaranteed != 0;
	return count;
}

/* Guards against accelerators kept for a workspace that a later configuration
 * no longer has. */
static void
test_removed_workspace_has_no_guarantee(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	int64_t now_ms = clock_now_ms();

	open_fixture(&fixture);
	answer_config(&fixture, now_ms, CONFIG("2", "s", TENANT));
	lead_with_job(&fixture, now_ms);
	CU_ASSERT_EQUAL(workspaces_with_guarantee(fixture.agent.fleet), 1);
	answer_config(&fixture, now_ms, CONFIG("3", "s", ""));
	CU_ASSERT_EQUAL(workspaces_with_guarantee(fixture.agent.fleet), 0);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"version never reverts", test_version_never_reverts},
	    {"confirmed by complete reads only",
		test_confirmed_by_complete_reads_only},
	    {"unconfirmed is usable only without the store",
		test_unconfirmed_is_usable_only_without_the_store},
	    {"new lead uses current service",
		test_new_lead_uses_current_service},
	    {"queue with a long name keeps its service",
		test_queue_with_a_long_name_keeps_its_service},
	    {"removed workspace has no guarantee",
		test_removed_workspace_has_no_guarantee},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("agent_config", tests);
}
