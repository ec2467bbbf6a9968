/*
 * Guards against accepted jobs that are lost or run twice when instances
 * crash: one instance is killed in the middle of a run, then two more at a
 * later point, right after the first has been restarted.
 */
#include <stdio.h>

#include "common_cunit.h"
#include "common_failure.h"
#include "process/alloc.h"

#define TIME_SCALE 2
/* A restart changes an instance's address: three are restarted, so that the
 * callers can still reach one at its first address. */
#define INSTANCES	   4
#define JOBS		   80
#define CALLERS		   40
#define JOBS_PER_S	   40
#define RETRY_TIMEOUT_MS   15000
#define TRAFFIC_TIMEOUT_MS 25000
#define RUN_MS		   800
#define LEAD_TIMEOUT_MS	   10000
/* Non-idempotent jobs whose start may coincide with one of three crashes. */
#define MAX_UNFINISHED_JOBS 8

/* Stands for the instance that leads at the time of the kill. */
#define LEAD (-1)

/* Which instances are killed, each an index or LEAD, and when. */
struct crash_plan {
	uint32_t seed;
	struct kill_point first_kill_point;
	int first_instance;
	struct kill_point second_kill_point;
	int second_instances[2];
};

static const struct crash_plan crash_plans[] = {
    {.seed = 1,
	.first_kill_point = {"start", 5},
	.first_instance = LEAD,
	.second_kill_point = {"start", 60},
	.second_instances = {LEAD, 0}},
    {.seed = 2,
	.first_kill_point = {"stage", 17},
	.first_instance = 1,
	.second_kill_point = {"stage", 71},
	.second_instances = {0, 2}},
    {.seed = 3,
	.first_kill_point = {"swap", 20},
	.first_instance = LEAD,
	.second_kill_point = {"done", 40},
	.second_instances = {LEAD, 1}},
};

static void
fill_traffic(
    struct traffic *traffic, struct deployment *deployment, uint32_t seed)
{
	struct load_kind *gang;

	*traffic = (struct traffic){
	    .deployment = deployment,
	    .mix = {.jobs = JOBS,
		.jobs_per_s = JOBS_PER_S,
		.burst_jobs = 8,
		.seed = seed,
		.key_prefix = "crash"},
	    .callers = CALLERS,
	    .retry_ms = RETRY_TIMEOUT_MS,
	    .max_run_ms = TRAFFIC_TIMEOUT_MS,
	};
	(void)traffic_add_kind(traffic, "one", "plan", RUN_MS);
	traffic_add_kind(traffic, "two", "urgent", RUN_MS)->idempotent = true;
	gang = traffic_add_kind(traffic, "two", "plan", RUN_MS);
	gang->tasks = 2;
	gang->tasks_highest = 4;
	gang->accelerators_per_task = 2;
	gang->idempotent = true;
	gang->checkpointable = true;
}

/* Returns the index of an instance; for LEAD, waits until one leads. */
static uint32_t
resolve_instance(struct deployment *deployment, int index)
{
	if (index < 0)
		index = deployment_wait_lead(deployment, -1, LEAD_TIMEOUT_MS);
	CU_ASSERT_TRUE_FATAL(index >= 0);
	return (uint32_t)index;
}

/* Kills instances as planned, then restarts all instances that are still down.
 */
static void
crash_instances(struct deployment *deployment, const struct crash_plan *plan)
{
	uint32_t first;

	failure_wait_kill_point(deployment, &plan->first_kill_point);
	first = resolve_instance(deployment, plan->first_instance);
	deployment_kill(deployment, first);
	failure_wait_kill_point(deployment, &plan->second_kill_point);
	CU_ASSERT_TRUE_FATAL(deployment_restart(deployment, first));
	for (size_t i = 0; i < COUNT_OF(plan->second_instances); i++)
		deployment_kill(deployment,
		    resolve_instance(deployment, plan->second_instances[i]));
	for (uint32_t i = 0; i < deployment->count; i++) {
		if (deployment->instances[i].process.pid == 0)
			CU_ASSERT_TRUE_FATAL(deployment_restart(deployment, i));
	}
}

static void
check_crash(const struct crash_plan *plan)
{
	struct deployment deployment;
	struct traffic traffic;

	failure_start(&deployment, INSTANCES, TIME_SCALE, plan->seed);
	fill_traffic(&traffic, &deployment, plan->seed);
	CU_ASSERT_TRUE_FATAL(traffic_start(&traffic));
	crash_instances(&deployment, plan);
	failure_check_traffic(&traffic, MAX_UNFINISHED_JOBS);
	failure_stop(&deployment);
}

static void
test_lead_then_two(void)
{
	check_crash(&crash_plans[0]);
}

static void
test_any_then_two(void)
{
	check_crash(&crash_plans[1]);
}

static void
test_lead_at_swap_then_two(void)
{
	check_crash(&crash_plans[2]);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"lead, then two", test_lead_then_two},
	    {"any, then two others", test_any_then_two},
	    {"lead at a swap, then two", test_lead_at_swap_then_two},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("crash", tests);
}
