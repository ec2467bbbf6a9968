/*
 * Guards against failures that only two faults together bring about: frozen or
 * dead workers, a killed or frozen lead, a slow or hanging store, lost or
 * wrong answers, two at a time under traffic. No job may be lost, answered
 * wrongly or run twice, and no part of a gang may run longer than its first
 * lease without the rest.
 */
#include <stdio.h>

#include "common_cunit.h"
#include "common_failure.h"
#include "process/clock.h"

#define INSTANCES	  3
#define SEED		  20261203
#define TIME_SCALE	  1
#define JOBS		  100
#define JOBS_PER_S	  20
#define RUN_MS		  600
#define LEAD_TIMEOUT_MS	  15000
#define FAULT_DURATION_MS 4000
/* Non-idempotent jobs that both faults may hit. */
#define MAX_UNFINISHED_JOBS 16

static struct deployment deployment;

static void
start_traffic(struct traffic *traffic, const char *prefix)
{
	struct load_kind *gang;

	failure_start(&deployment, INSTANCES, TIME_SCALE, SEED);
	traffic_init(traffic, &deployment, prefix, JOBS, JOBS_PER_S);
	traffic_add_kind(traffic, "one", "plan", RUN_MS)->tasks = 2;
	gang = traffic_add_kind(traffic, "two", "plan", RUN_MS);
	gang->tasks = 4;
	gang->accelerators_per_task = 2;
	gang->idempotent = true;
	gang->checkpointable = true;
	CU_ASSERT_TRUE_FATAL(traffic_start(traffic));
	failure_wait_kill_point(&deployment, &(struct kill_point){"start", 24});
}

static void
set_worker_fault(const char *worker, const char *body)
{
	CU_ASSERT_TRUE(deployment_set_worker_fault(&deployment, worker, body));
}

static void
set_store_fault(const char *body)
{
	CU_ASSERT_TRUE(deployment_set_platform_fault(&deployment, body));
}

static uint32_t
find_lead(void)
{
	int lead = deployment_wait_lead(&deployment, -1, LEAD_TIMEOUT_MS);

	CU_ASSERT_TRUE_FATAL(lead >= 0);
	return (uint32_t)lead;
}

/* Waits while a fault stays set. */
static void
wait_fault_duration(void)
{
	int64_t end_ms = clock_now_ms() + FAULT_DURATION_MS;

	while (clock_now_ms() < end_ms)
		process_sleep(10);
}

static void
finish_traffic(struct traffic *traffic)
{
	failure_check_traffic(traffic, MAX_UNFINISHED_JOBS);
	failure_stop(&deployment);
}

static void
test_worker_frozen_and_lead_killed(void)
{
	struct traffic traffic;
	uint32_t lead;

	start_traffic(&traffic, "frozen-killed");
	lead = find_lead();
	set_worker_fault("a1", "{\"mode\": \"frozen\"}");
	set_worker_fault("b1", "{\"mode\": \"frozen\"}");
	deployment_kill(&deployment, lead);
	CU_ASSERT_TRUE(
	    deployment_wait_lead(&deployment, (int)lead, LEAD_TIMEOUT_MS) >= 0);
	set_worker_fault("*", "{\"mode\": \"none\"}");
	finish_traffic(&traffic);
}

static void
test_store_hangs_and_worker_dies(void)
{
	struct traffic traffic;

	start_traffic(&traffic, "hangs-dies");
	set_store_fault("{\"mode\": \"hang\"}");
	set_worker_fault("a1", "{\"mode\": \"dead\"}");
	set_worker_fault("c1", "{\"mode\": \"dead\"}");
	wait_fault_duration();
	set_store_fault("{\"mode\": \"none\"}");
	finish_traffic(&traffic);
}

static void
test_lead_frozen_and_answers_crossed(void)
{
	struct traffic traffic;
	uint32_t lead;

	start_traffic(&traffic, "frozen-crossed");
	lead = find_lead();
	set_worker_fault("*", "{\"mode\": \"crossed\", \"count\": 30}");
	process_freeze(&deployment.instances[lead].process);
	CU_ASSERT_TRUE(
	    deployment_wait_lead(&deployment, (int)lead, LEAD_TIMEOUT_MS) >= 0);
	process_resume(&deployment.instances[lead].process);
	finish_traffic(&traffic);
}

static void
test_swap_answers_lost_and_starts_unanswered(void)
{
	struct traffic traffic;

	start_traffic(&traffic, "lost-unanswered");
	set_store_fault("{\"mode\": \"lose_next\", \"count\": 6, "
			"\"key_prefix\": \"pool/main/segments/\"}");
	set_worker_fault(
	    "*", "{\"mode\": \"lose_answers\", \"on\": \"go\", \"count\": 1}");
	finish_traffic(&traffic);
}

static void
test_store_slow_and_lead_killed(void)
{
	struct traffic traffic;
	uint32_t lead;

	start_traffic(&traffic, "slow-killed");
	lead = find_lead();
	set_store_fault("{\"mode\": \"slow\", \"delay_ms\": 300}");
	deployment_kill(&deployment, lead);
	CU_ASSERT_TRUE(
	    deployment_wait_lead(&deployment, (int)lead, LEAD_TIMEOUT_MS) >= 0);
	set_store_fault("{\"mode\": \"none\"}");
	finish_traffic(&traffic);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"workers frozen and lead killed",
		test_worker_frozen_and_lead_killed},
	    {"store hangs and workers die", test_store_hangs_and_worker_dies},
	    {"lead frozen and answers crossed",
		test_lead_frozen_and_answers_crossed},
	    {"swap answers lost and starts unanswered",
		test_swap_answers_lost_and_starts_unanswered},
	    {"store slow and lead killed", test_store_slow_and_lead_killed},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("pairs of faults", tests);
}
