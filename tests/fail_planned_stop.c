/*
 * Guards against requests that are cut or left unanswered by a planned stop:
 * the lead under load, instances where callers wait or keep idle connections,
 * and all instances in turn while the store is slow.
 */
#include <stdio.h>
#include <stdlib.h>

#include "common_callers.h"
#include "common_cunit.h"
#include "common_deployment.h"
#include "process/alloc.h"

#define SEED		       20261203
#define INSTANCES	       3
#define EXIT_TIMEOUT_MS	       35000
#define PROGRESS_TIMEOUT_MS    20000
#define REQUESTS_BETWEEN_STOPS 60 /* answered before and after each stop */

static struct deployment deployment;
static uint32_t next_seed = SEED;

static void
wait_for_progress(struct callers *callers)
{
	CU_ASSERT_TRUE(callers_wait_finished(
	    callers, REQUESTS_BETWEEN_STOPS, PROGRESS_TIMEOUT_MS));
}

/* Context of S_all_callers_wait: count callers must wait at the same time. */
struct callers_wait {
	struct callers *callers;
	uint64_t count;
};

static bool
S_all_callers_wait(void *context)
{
	struct callers_wait *wait = context;

	return callers_unanswered(wait->callers) == wait->count;
}

/* Ends the load and checks that each request has finished or was refused. */
static struct callers_count
finish_load(struct callers *callers, const char *name)
{
	struct callers_count count =
	    callers_join_and_check(callers, name, deployment.workers_log);

	CU_ASSERT_EQUAL(count.unknown, 0);
	CU_ASSERT_EQUAL(count.other, 0);
	CU_ASSERT_EQUAL(count.finished + count.refused, count.sent);
	return count;
}

static struct callers *
start_load(int32_t run_time_ms, uint32_t callers, int32_t think_ms,
    uint32_t requests_each)
{
	struct callers_config config = {
	    .callers = callers,
	    .workspace = "records",
	    .request_class = "reshuffle",
	    .run_time_ms = run_time_ms,
	    .wait_ms = 20000,
	    .think_ms = think_ms,
	    .seed = next_seed++,
	    .requests_each = requests_each,
	};

	return callers_start(&deployment, &config);
}

/* Stops an instance as planned and waits until it has exited without error. */
static void
stop_instance(uint32_t instance)
{
	struct process *process = &deployment.instances[instance].process;

	process_terminate(process);
	CU_ASSERT_EQUAL(process_wait(process, EXIT_TIMEOUT_MS), EXIT_SUCCESS);
}

/* Stops and restarts an instance; callers may be NULL. */
static void
replace_instance(struct callers *callers, uint32_t instance)
{
	stop_instance(instance);
	if (callers != NULL)
		callers_set_address(callers, instance, NULL);
	CU_ASSERT_TRUE(deployment_restart(&deployment, instance));
	if (callers != NULL)
		callers_set_address(
		    callers, instance, deployment.instances[instance].caller);
}

static void
test_lead_under_load(void)
{
	int lead = deployment_wait_lead(&deployment, -1, PROGRESS_TIMEOUT_MS);
	struct callers *callers;

	CU_ASSERT_TRUE_FATAL(lead >= 0);
	callers = start_load(100, 40, 20, 0);
	wait_for_progress(callers);
	replace_instance(callers, (uint32_t)lead);
	wait_for_progress(callers);
	(void)finish_load(callers, "lead under load");
}

/* Stops all instances but the lead while all callers wait for jobs of some
 * seconds. */
static void
test_entries_with_waiting_callers(void)
{
	int lead = deployment_wait_lead(&deployment, -1, PROGRESS_TIMEOUT_MS);
	struct callers *callers = start_load(3000, 60, 20, 1);
	struct callers_wait wait = {.callers = callers, .count = 60};
	struct callers_count count;

	CU_ASSERT_TRUE(
	    deployment_wait(S_all_callers_wait, &wait, PROGRESS_TIMEOUT_MS));
	for (uint32_t i = 0; i < INSTANCES; i++) {
		if ((int)i != lead)
			process_terminate(&deployment.instances[i].process);
	}
	count = finish_load(callers, "entries with waiting callers");
	CU_ASSERT_EQUAL(count.finished, 60);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		if ((int)i != lead)
			replace_instance(NULL, i);
	}
}

/* Stops instances whose connections are mostly idle. */
static void
test_entries_with_idle_connections(void)
{
	struct callers *callers = start_load(50, 30, 400, 0);

	for (uint32_t i = 0; i < 2 * INSTANCES; i++) {
		wait_for_progress(callers);
		replace_instance(callers, i % INSTANCES);
	}
	(void)finish_load(callers, "idle connections");
}

static void
test_all_in_turn_with_slow_store(void)
{
	struct callers *callers;

	CU_ASSERT_TRUE(deployment_set_platform_fault(
	    &deployment, "{\"mode\": \"slow\", \"delay_ms\": 150}"));
	callers = start_load(100, 40, 20, 0);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		wait_for_progress(callers);
		replace_instance(callers, i);
	}
	wait_for_progress(callers);
	CU_ASSERT_TRUE(
	    deployment_set_platform_fault(&deployment, "{\"mode\": \"none\"}"));
	(void)finish_load(callers, "all in turn, slow store");
}

static void
test_nothing_ran_twice(void)
{
	CLEANUP(log_free) struct log log = {0};
	const char *job = "";

	CU_ASSERT_TRUE_FATAL(log_read(&log, deployment.workers_log));
	CU_ASSERT_EQUAL(log_jobs_run_twice(&log, &job), 0);
	if (job[0] != '\0')
		(void)printf("run twice: %s\n", job);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"lead under load", test_lead_under_load},
	    {"entries with waiting callers", test_entries_with_waiting_callers},
	    {"entries with idle connections",
		test_entries_with_idle_connections},
	    {"all in turn, slow store", test_all_in_turn_with_slow_store},
	    {"nothing ran twice", test_nothing_ran_twice},
	    CU_TEST_INFO_NULL,
	};

	return callers_run_suite(
	    "planned stop", tests, &deployment, INSTANCES, SEED);
}
