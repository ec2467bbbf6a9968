/* A planned stop cuts no request: each caller gets an answer to each one. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "common_callers.h"
#include "common_cunit.h"
#include "common_deployment.h"
#include "process/alloc.h"

#define DOCUMENT	 "examples/hoofline/document.jsonc"
#define SEED		 20261203
#define INSTANCES	 3
#define EXIT_MS		 35000
#define PROGRESS_MS	 20000
#define BETWEEN_REQUESTS 100 /* answered before and after each stop */

static struct deployment deployment;
static uint32_t next_seed = SEED;

/* Waits until a number of requests more have been answered. */
struct progress {
	struct callers *callers;
	uint64_t until;
};

static bool
S_answered(void *context)
{
	struct progress *progress = context;

	return callers_count(progress->callers).finished >= progress->until;
}

static void
wait_for_progress(struct callers *callers)
{
	struct progress progress = {
	    .callers = callers,
	    .until = callers_count(callers).finished + BETWEEN_REQUESTS,
	};

	CU_ASSERT_TRUE(deployment_wait(S_answered, &progress, PROGRESS_MS));
}

static bool
S_all_wait(void *context)
{
	struct progress *progress = context;

	return callers_waiting(progress->callers) == progress->until;
}

static void
check_count(const char *name, const struct callers_count *count)
{
	(void)printf("\n%s: sent=%" PRIu64 " finished=%" PRIu64
		     " refused=%" PRIu64 " pending=%" PRIu64 " unknown=%" PRIu64
		     " other=%" PRIu64 " wrong=%" PRIu64 " cut=%" PRIu64
		     " late=%" PRIu64 "\n",
	    name, count->sent, count->finished, count->refused, count->pending,
	    count->unknown, count->other, count->wrong, count->cut,
	    count->late);
	if (count->first_odd[0] != '\0')
		(void)printf("first: %s\n", count->first_odd);
	CU_ASSERT_EQUAL(count->cut, 0);
	CU_ASSERT_EQUAL(count->late, 0);
	CU_ASSERT_EQUAL(count->wrong, 0);
	CU_ASSERT_EQUAL(count->unknown, 0);
	CU_ASSERT_EQUAL(count->other, 0);
	CU_ASSERT_EQUAL(count->finished + count->refused, count->sent);
}

static struct callers *
start_load(int32_t run_time_ms, uint32_t callers, uint32_t requests_each)
{
	struct callers_config config = {
	    .callers = callers,
	    .workspace = "records",
	    .request_class = "reshuffle",
	    .run_time_ms = run_time_ms,
	    .wait_ms = 20000,
	    .think_ms = 20,
	    .seed = next_seed++,
	    .requests_each = requests_each,
	};

	return callers_start(&deployment, &config);
}

/* Asks an instance for a planned stop and waits until it has ended well. */
static void
stop_instance(uint32_t instance)
{
	struct process *process = &deployment.instances[instance].process;

	process_terminate(process);
	CU_ASSERT_EQUAL(process_wait(process, EXIT_MS), EXIT_SUCCESS);
}

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
	int lead = deployment_wait_lead(&deployment, -1, PROGRESS_MS);
	struct callers *callers;
	struct callers_count count;

	CU_ASSERT_TRUE_FATAL(lead >= 0);
	callers = start_load(100, 40, 0);
	wait_for_progress(callers);
	replace_instance(callers, (uint32_t)lead);
	wait_for_progress(callers);
	count = callers_finish(callers);
	check_count("lead under load", &count);
}

/* All callers wait for jobs of some seconds when all instances but the lead
 * are asked to stop. */
static void
test_entries_with_waiting_callers(void)
{
	int lead = deployment_wait_lead(&deployment, -1, PROGRESS_MS);
	struct callers *callers = start_load(3000, 60, 1);
	struct progress progress = {.callers = callers, .until = 60};
	struct callers_count count;

	CU_ASSERT_TRUE(deployment_wait(S_all_wait, &progress, PROGRESS_MS));
	for (uint32_t i = 0; i < INSTANCES; i++) {
		if ((int)i != lead)
			process_terminate(&deployment.instances[i].process);
	}
	count = callers_finish(callers);
	check_count("entries with waiting callers", &count);
	CU_ASSERT_EQUAL(count.finished, 60);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		if ((int)i != lead)
			replace_instance(NULL, i);
	}
}

static void
test_all_in_turn_with_slow_store(void)
{
	struct callers *callers;
	struct callers_count count;

	CU_ASSERT_TRUE(deployment_fault_platform(
	    &deployment, "{\"mode\": \"slow\", \"delay_ms\": 150}"));
	callers = start_load(100, 40, 0);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		wait_for_progress(callers);
		replace_instance(callers, i);
	}
	wait_for_progress(callers);
	CU_ASSERT_TRUE(
	    deployment_fault_platform(&deployment, "{\"mode\": \"none\"}"));
	count = callers_finish(callers);
	check_count("all in turn, slow store", &count);
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
	struct deployment_config config = {
	    .document_path = deployment_source_path(DOCUMENT),
	    .instances = INSTANCES,
	    .seed = SEED,
	};
	CU_TestInfo tests[] = {
	    {"lead under load", test_lead_under_load},
	    {"entries with waiting callers", test_entries_with_waiting_callers},
	    {"all in turn, slow store", test_all_in_turn_with_slow_store},
	    {"nothing ran twice", test_nothing_ran_twice},
	    CU_TEST_INFO_NULL,
	};
	int result = EXIT_FAILURE;

	if (deployment_start(&deployment, &config))
		result = run_suite("planned stop", tests);
	deployment_stop(&deployment, result != EXIT_SUCCESS);
	return result;
}
