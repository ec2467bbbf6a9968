/*
 * Guards against a job that has run although its caller was told that it had
 * not. Jobs are shed under overload; answers of the store are lost; the lead is
 * killed between a job's intent and its start; answers to starts never arrive.
 * Callers do not retry, so each refusal is checked as it was given.
 */
#include <stdio.h>

#include "common_cunit.h"
#include "common_failure.h"
#include "process/alloc.h"

#define INSTANCES	    3
#define SEED		    20261203
#define TIME_SCALE	    4
#define CALLERS		    120
#define TRAFFIC_TIMEOUT_MS  15000
#define RUN_MS		    400
#define LEAD_TIMEOUT_MS	    10000
#define OVERLOAD_JOBS	    600
#define OVERLOAD_JOBS_PER_S 300
#define NORMAL_JOBS	    120
#define NORMAL_JOBS_PER_S   40
#define QUEUE_LIMIT_SETTING "max_queued_jobs=100"

static void
fill_traffic(struct traffic *traffic, struct deployment *deployment,
    uint32_t jobs, double jobs_per_s)
{
	struct load_kind *gang;

	*traffic = (struct traffic){
	    .deployment = deployment,
	    .mix = {.jobs = jobs,
		.jobs_per_s = jobs_per_s,
		.seed = SEED,
		.key_prefix = "refused"},
	    .callers = CALLERS,
	    .max_run_ms = TRAFFIC_TIMEOUT_MS,
	};
	(void)traffic_add_kind(traffic, "one", "plan", RUN_MS);
	traffic_add_kind(traffic, "one", "urgent", RUN_MS)->idempotent = true;
	gang = traffic_add_kind(traffic, "two", "plan", RUN_MS);
	gang->tasks = 3;
	gang->accelerators_per_task = 8;
}

static void
start_traffic(struct deployment *deployment, struct traffic *traffic,
    uint32_t jobs, double jobs_per_s)
{
	failure_start(deployment, INSTANCES, TIME_SCALE, SEED);
	fill_traffic(traffic, deployment, jobs, jobs_per_s);
	CU_ASSERT_TRUE_FATAL(traffic_start(traffic));
}

/*
 * Asserts that the workers' log has no start of a job answered as not run. A
 * job may stay pending, as a caller doesn't repeat a query that was refused.
 */
static void
check_not_run(struct traffic *traffic)
{
	CLEANUP(log_free) struct log log = {0};

	traffic_join(traffic);
	CU_ASSERT_TRUE_FATAL(log_read(&log, traffic->deployment->workers_log));
	(void)printf("jobs=%u finished=%zu not_run=%zu unknown=%zu\n",
	    (unsigned int)traffic->mix.jobs,
	    traffic_count(traffic, LOAD_FINISHED),
	    traffic_count(traffic, LOAD_NOT_RUN),
	    traffic_count(traffic, LOAD_UNKNOWN));
	CU_ASSERT_EQUAL(traffic_count_false_not_run(traffic, &log), 0);
	CU_ASSERT_EQUAL(traffic_count_run_twice(traffic, &log), 0);
	CU_ASSERT_TRUE(traffic_count(traffic, LOAD_FINISHED) > 0);
}

static void
test_overload(void)
{
	struct deployment_config config = {
	    .document_path = deployment_source_path("tests/data/site.jsonc"),
	    .instances = INSTANCES,
	    .time_scale = 1,
	    .seed = SEED,
	    .settings = {QUEUE_LIMIT_SETTING},
	};
	struct deployment deployment;
	struct traffic traffic;

	CU_ASSERT_TRUE_FATAL(deployment_start(&deployment, &config));
	fill_traffic(&traffic, &deployment, OVERLOAD_JOBS, OVERLOAD_JOBS_PER_S);
	CU_ASSERT_TRUE_FATAL(traffic_start(&traffic));
	check_not_run(&traffic);
	CU_ASSERT_TRUE(traffic_count(&traffic, LOAD_NOT_RUN) > 0);
	traffic_free(&traffic);
	failure_stop(&deployment);
}

static void
test_store_answers_lost(void)
{
	struct deployment deployment;
	struct traffic traffic;

	start_traffic(&deployment, &traffic, NORMAL_JOBS, NORMAL_JOBS_PER_S);
	for (size_t starts = 10; starts <= 60; starts += 10) {
		failure_wait_kill_point(&deployment,
		    &(struct kill_point){.event = "start", .count = starts});
		CU_ASSERT_TRUE(deployment_set_platform_fault(&deployment,
		    "{\"mode\": \"lose_next\", \"count\": 5, "
		    "\"key_prefix\": \"pool/main/\"}"));
	}
	check_not_run(&traffic);
	traffic_free(&traffic);
	failure_stop(&deployment);
}

static void
test_lead_killed_after_intent(void)
{
	struct deployment deployment;
	struct traffic traffic;
	int lead;

	start_traffic(&deployment, &traffic, NORMAL_JOBS, NORMAL_JOBS_PER_S);
	failure_wait_kill_point(
	    &deployment, &(struct kill_point){.event = "stage", .count = 30});
	lead = deployment_lead(&deployment);
	CU_ASSERT_TRUE_FATAL(lead >= 0);
	deployment_kill(&deployment, (uint32_t)lead);
	CU_ASSERT_TRUE(
	    deployment_wait_lead(&deployment, lead, LEAD_TIMEOUT_MS) >= 0);
	check_not_run(&traffic);
	traffic_free(&traffic);
	failure_stop(&deployment);
}

static void
test_starts_unanswered(void)
{
	struct deployment deployment;
	struct traffic traffic;

	start_traffic(&deployment, &traffic, NORMAL_JOBS, NORMAL_JOBS_PER_S);
	failure_wait_kill_point(
	    &deployment, &(struct kill_point){.event = "start", .count = 10});
	CU_ASSERT_TRUE(deployment_set_worker_fault(&deployment, "*",
	    "{\"mode\": \"swallow_answers\", \"on\": \"go\", "
	    "\"count\": 1}"));
	check_not_run(&traffic);
	traffic_free(&traffic);
	failure_stop(&deployment);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"overload", test_overload},
	    {"store answers lost", test_store_answers_lost},
	    {"lead killed after intent", test_lead_killed_after_intent},
	    {"starts unanswered", test_starts_unanswered},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("not run", tests);
}
