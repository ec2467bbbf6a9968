/*
 * Runs real instances on the fake platform with a job whose task crashes each
 * worker that starts it. The workers come back at their addresses under other
 * ids.
 */
#include "common_cunit.h"
#include "common_users_platform.h"
#include "process/alloc.h"

#define TAKEOVER_MS 6000
#define FINISH_MS   40000
#define CRASHING    1
#define FIRST_OTHER 2
#define OTHERS	    6
#define TASKS	    3
/* Workers that may crash under the task before its job is given up; more if the
 * lead changes. */
#define MAX_CRASHES		 3
#define MAX_CRASHES_BY_TWO_LEADS 5

static struct users_platform *platform;

static void
start_all(void)
{
	platform = users_platform_start();
	CU_ASSERT_PTR_NOT_NULL_FATAL(platform);
	users_crash_workers(platform, CRASHING);
	CU_ASSERT_TRUE_FATAL(users_start_all(platform));
}

static void
submit_all(void)
{
	CU_ASSERT_EQUAL(users_submit(platform, 0, CRASHING, 1), 200);
	for (uint32_t i = 0; i < OTHERS; i++)
		CU_ASSERT_EQUAL(
		    users_submit(platform, 0, FIRST_OTHER + i, TASKS), 200);
}

/* The crashing job is given up and stays so; the others complete. */
static void
expect_given_up(uint32_t instance, uint32_t most_crashes)
{
	uint32_t crashes;

	CU_ASSERT_TRUE(users_wait_state(
	    platform, instance, CRASHING, "\"failed\"", FINISH_MS));
	for (uint32_t i = 0; i < OTHERS; i++)
		CU_ASSERT_TRUE(users_wait_completed(
		    platform, instance, FIRST_OTHER + i, FINISH_MS));
	crashes = users_worker_crashes(platform);
	CU_ASSERT_TRUE(crashes <= most_crashes);
	process_sleep(TAKEOVER_MS);
	CU_ASSERT_EQUAL(users_worker_crashes(platform), crashes);
	CU_ASSERT_EQUAL(users_duplicate_starts(platform), 0);
	users_platform_stop(platform);
}

/* Guards against a task that crashes worker after worker. */
static void
test_crashing_task_is_given_up(void)
{
	start_all();
	submit_all();
	expect_given_up(1, MAX_CRASHES);
}

/* Guards against a new lead that knows nothing of the crashes before it, or
 * takes up a job again that was given up. */
static void
test_crashing_task_across_changes_of_lead(void)
{
	int lead;

	start_all();
	submit_all();
	lead = users_lead_index(platform);
	while (users_worker_crashes(platform) == 0)
		process_sleep(10);
	process_kill(users_instance(platform, (uint32_t)lead));
	CU_ASSERT_TRUE(users_wait_lead(platform, lead, TAKEOVER_MS));
	expect_given_up(
	    ((uint32_t)lead + 1) % USERS_INSTANCES, MAX_CRASHES_BY_TWO_LEADS);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"crashing task is given up", test_crashing_task_is_given_up},
	    {"crashing task across changes of lead",
		test_crashing_task_across_changes_of_lead},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("crashing task", tests);
}
