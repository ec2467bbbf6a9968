/*
 * Guards against callers that get no answer or another job's when an instance
 * freezes, when a link between instances stays open but forwards no more data,
 * or when the lead stops as planned while another instance is frozen or the
 * store is down. Jobs that are not idempotent must run at most once.
 */
#include <stdio.h>
#include <stdlib.h>

#include "common_callers.h"
#include "common_cunit.h"
#include "common_deployment.h"
#include "common_relay.h"
#include "process/alloc.h"

#define SEED		    20261204
#define INSTANCES	    3
#define CALLERS		    30
#define PROGRESS_TIMEOUT_MS 20000
#define LEAD_TIMEOUT_MS	    10000
#define EXIT_TIMEOUT_MS	    35000
/* Longest delay of an answer when a link between instances goes silent. */
#define SILENT_LINK_BOUND_S	8
#define REQUESTS_BETWEEN_FAULTS 60

static struct deployment deployment;
static uint32_t next_seed = SEED;

static void
wait_for_progress(struct callers *callers)
{
	CU_ASSERT_TRUE(callers_wait_finished(
	    callers, REQUESTS_BETWEEN_FAULTS, PROGRESS_TIMEOUT_MS));
}

static struct callers *
start_load(int32_t wait_ms)
{
	struct callers_config config = {
	    .callers = CALLERS,
	    .workspace = "records",
	    .request_class = "reshuffle",
	    .run_time_ms = 100,
	    .wait_ms = wait_ms,
	    .think_ms = 20,
	    .seed = next_seed++,
	};

	return callers_start(&deployment, &config);
}

static struct callers_count
finish_load(struct callers *callers, const char *name)
{
	return callers_join_and_check(callers, name, deployment.workers_log);
}

static void
test_lead_freezes(void)
{
	int lead = deployment_wait_lead(&deployment, -1, LEAD_TIMEOUT_MS);
	struct callers *callers;
	int next;

	CU_ASSERT_TRUE_FATAL(lead >= 0);
	callers = start_load(20000);
	wait_for_progress(callers);
	process_freeze(&deployment.instances[lead].process);
	next = deployment_wait_lead(&deployment, lead, LEAD_TIMEOUT_MS);
	CU_ASSERT_TRUE(next >= 0);
	CU_ASSERT_NOT_EQUAL(next, lead);
	wait_for_progress(callers);
	process_resume(&deployment.instances[lead].process);
	wait_for_progress(callers);
	(void)finish_load(callers, "lead freezes");
}

static void
test_entry_freezes(void)
{
	int lead = deployment_wait_lead(&deployment, -1, LEAD_TIMEOUT_MS);
	uint32_t entry = lead == 0 ? 1 : 0;
	struct callers *callers = start_load(20000);
	struct callers_count count;

	wait_for_progress(callers);
	process_freeze(&deployment.instances[entry].process);
	wait_for_progress(callers);
	process_resume(&deployment.instances[entry].process);
	wait_for_progress(callers);
	count = finish_load(callers, "entry freezes");
	CU_ASSERT_EQUAL(count.finished + count.refused, count.sent);
}

static bool
S_links_relayed(void *context)
{
	return relay_accepted_count(context) >= INSTANCES - 1;
}

/* Routes all links to one instance through a relay, which stalls the open
 * connections three times. */
static void
check_silent_links_to(uint32_t instance, const char *name)
{
	struct relay *relay = relay_start(deployment.instances[instance].peer);
	struct callers *callers;
	struct callers_count count;

	CU_ASSERT_PTR_NOT_NULL_FATAL(relay);
	CU_ASSERT_TRUE(deployment_set_listed_peer(
	    &deployment, instance, relay_address(relay)));
	CU_ASSERT_TRUE(
	    deployment_wait(S_links_relayed, relay, PROGRESS_TIMEOUT_MS));
	callers = start_load(SILENT_LINK_BOUND_S * 1000);
	wait_for_progress(callers);
	for (int i = 0; i < 3; i++) {
		relay_stall_connections(relay);
		wait_for_progress(callers);
	}
	count = finish_load(callers, name);
	CU_ASSERT_EQUAL(count.finished + count.refused, count.sent);
	CU_ASSERT_TRUE(deployment_set_listed_peer(
	    &deployment, instance, deployment.instances[instance].peer));
	relay_stop(relay);
}

static void
test_links_to_lead_go_silent(void)
{
	int lead = deployment_wait_lead(&deployment, -1, LEAD_TIMEOUT_MS);

	CU_ASSERT_TRUE_FATAL(lead >= 0);
	check_silent_links_to((uint32_t)lead, "links to the lead go silent");
}

static void
test_links_to_entry_go_silent(void)
{
	int lead = deployment_wait_lead(&deployment, -1, LEAD_TIMEOUT_MS);

	CU_ASSERT_TRUE_FATAL(lead >= 0);
	check_silent_links_to(lead == 0 ? 1 : 0, "links to an entry go silent");
}

/* ---- A planned stop during another fault ------------------------------ */

/* Stops the lead as planned and takes it out of the balancer. The tests restart
 * it only once its successor serves. */
static void
stop_lead(struct callers *callers, uint32_t lead)
{
	struct deployment_instance *instance = &deployment.instances[lead];

	process_terminate(&instance->process);
	CU_ASSERT_EQUAL(process_wait(&instance->process, EXIT_TIMEOUT_MS), 0);
	callers_set_address(callers, lead, NULL);
}

/* Restarts an instance and puts it back into the balancer. */
static void
restart_instance(struct callers *callers, uint32_t index)
{
	CU_ASSERT_TRUE(deployment_restart(&deployment, index));
	callers_set_address(callers, index, deployment.instances[index].caller);
}

static void
test_lead_stops_while_another_is_frozen(void)
{
	int lead = deployment_wait_lead(&deployment, -1, LEAD_TIMEOUT_MS);
	uint32_t other = lead == 0 ? 1 : 0;
	struct callers *callers = start_load(20000);

	CU_ASSERT_TRUE_FATAL(lead >= 0);
	wait_for_progress(callers);
	process_freeze(&deployment.instances[other].process);
	stop_lead(callers, (uint32_t)lead);
	wait_for_progress(callers);
	process_resume(&deployment.instances[other].process);
	restart_instance(callers, (uint32_t)lead);
	wait_for_progress(callers);
	(void)finish_load(callers, "lead stops, another is frozen");
}

static void
test_lead_stops_while_store_is_down(void)
{
	int lead = deployment_wait_lead(&deployment, -1, LEAD_TIMEOUT_MS);
	struct callers *callers = start_load(20000);

	CU_ASSERT_TRUE_FATAL(lead >= 0);
	wait_for_progress(callers);
	CU_ASSERT_TRUE(
	    deployment_set_platform_fault(&deployment, "{\"mode\": \"down\"}"));
	stop_lead(callers, (uint32_t)lead);
	CU_ASSERT_TRUE(
	    deployment_set_platform_fault(&deployment, "{\"mode\": \"none\"}"));
	wait_for_progress(callers);
	restart_instance(callers, (uint32_t)lead);
	wait_for_progress(callers);
	(void)finish_load(callers, "lead stops, store is down");
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"lead freezes", test_lead_freezes},
	    {"entry freezes", test_entry_freezes},
	    {"links to the lead go silent", test_links_to_lead_go_silent},
	    {"links to an entry go silent", test_links_to_entry_go_silent},
	    {"lead stops while another is frozen",
		test_lead_stops_while_another_is_frozen},
	    {"lead stops while the store is down",
		test_lead_stops_while_store_is_down},
	    CU_TEST_INFO_NULL,
	};

	return callers_run_suite("peers", tests, &deployment, INSTANCES, SEED);
}
