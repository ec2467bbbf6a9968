/*
 * Runs real instances on the fake platform with workers whose capacity shrinks
 * while they are full.
 */
#include "common_cunit.h"
#include "common_users_platform.h"
#include "process/alloc.h"

#define RUN_MS	    2500
#define FINISH_MS   40000
#define TAKEOVER_MS 6000
/* Between the start of the tasks and their end. */
#define SHRINK_AT_MS 1000
#define LEFT	     3 /* accelerators of eight */
#define FULL_JOBS    8
#define FULL_TASKS   4 /* of each: all accelerators of four workers */
#define LATER_JOBS   12

static struct users_platform *platform;

static void
submit_jobs(uint32_t first, uint32_t count, uint32_t tasks)
{
	for (uint32_t i = 0; i < count; i++)
		CU_ASSERT_EQUAL(
		    users_submit(platform, 0, first + i, tasks), 200);
}

static void
expect_completed(uint32_t instance, uint32_t first, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		CU_ASSERT_TRUE(users_wait_completed(
		    platform, instance, first + i, FINISH_MS));
}

/* Fills all workers, and lets them shrink. */
static void
shrink_full_workers(void)
{
	platform = users_platform_start();
	CU_ASSERT_PTR_NOT_NULL_FATAL(platform);
	CU_ASSERT_TRUE_FATAL(users_start_all(platform));
	users_set_run_ms(platform, RUN_MS);
	submit_jobs(1, FULL_JOBS, FULL_TASKS);
	process_sleep(SHRINK_AT_MS);
	CU_ASSERT_EQUAL(users_started_runs(platform), FULL_JOBS * FULL_TASKS);
	users_shrink_workers(platform, LEFT);
	users_set_run_ms(platform, 300);
	submit_jobs(100, LATER_JOBS, 2);
}

static void
expect_no_start_over_capacity(uint32_t instance)
{
	expect_completed(instance, 1, FULL_JOBS);
	expect_completed(instance, 100, LATER_JOBS);
	CU_ASSERT_EQUAL(users_over_capacity_starts(platform), 0);
	CU_ASSERT_EQUAL(users_duplicate_starts(platform), 0);
	users_platform_stop(platform);
}

/* Guards against starts by the capacity that a worker had when it was listed
 * first: more runs than it has room for, while earlier ones go on. */
static void
test_nothing_starts_beyond_what_is_left(void)
{
	shrink_full_workers();
	expect_no_start_over_capacity(1);
}

/* Guards against a new lead that takes over while more is in use than there
 * is. */
static void
test_a_new_lead_knows_what_is_left(void)
{
	int lead;

	shrink_full_workers();
	lead = users_lead_index(platform);
	CU_ASSERT_TRUE_FATAL(lead >= 0);
	process_kill(users_instance(platform, (uint32_t)lead));
	CU_ASSERT_TRUE(users_wait_lead(platform, lead, TAKEOVER_MS));
	expect_no_start_over_capacity(((uint32_t)lead + 1) % USERS_INSTANCES);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"nothing starts beyond what is left",
		test_nothing_starts_beyond_what_is_left},
	    {"a new lead knows what is left",
		test_a_new_lead_knows_what_is_left},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("shrunk workers", tests);
}
