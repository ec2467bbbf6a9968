/*
 * Runs real instances on the fake platform with jobs that are cancelled before
 * the store has their records.
 */
#include "common_cunit.h"
#include "common_users_platform.h"
#include "process/alloc.h"

#define START_MS 8000
/* Longer than a lead needs to start a job that it sees in the store. */
#define QUIET_MS 2000
#define JOB	 7
#define JOB_PATH "/q/0000000000000007"

static struct users_platform *platform;

static void
start_all(void)
{
	platform = users_platform_start();
	CU_ASSERT_PTR_NOT_NULL_FATAL(platform);
	CU_ASSERT_TRUE(users_start_all(platform));
}

static int
call(uint32_t instance, const char *method)
{
	CLEANUP(buffer_free) struct buffer answer = {0};

	return users_call(platform, instance, method, JOB_PATH, "", &answer);
}

/* No instance knows the job, and no task of it has started. */
static void
expect_unknown_and_stop(void)
{
	process_sleep(QUIET_MS);
	CU_ASSERT_EQUAL(users_started_runs(platform), 0);
	for (uint32_t i = 0; i < USERS_INSTANCES; i++)
		CU_ASSERT_EQUAL(call(i, "GET"), 410);
	users_platform_stop(platform);
}

/* Guards against a job that runs after its cancel was acknowledged with 410:
 * the write of its record, which had got no answer, was carried out later. */
static void
test_cancelled_job_that_is_stored_late_never_runs(void)
{
	start_all();
	users_store_hold_submissions(platform);
	CU_ASSERT_NOT_EQUAL(users_submit(platform, 0, JOB, 1), 200);
	CU_ASSERT_EQUAL(call(1, "DELETE"), 410);
	CU_ASSERT_EQUAL(call(2, "DELETE"), 410);
	users_store_release_submissions(platform);
	expect_unknown_and_stop();
}

/* Guards against the same when a submission reaches an instance after the
 * cancel: a try that was refused elsewhere, or a late copy. */
static void
test_submission_after_its_cancel_is_refused(void)
{
	start_all();
	CU_ASSERT_EQUAL(call(1, "DELETE"), 410);
	CU_ASSERT_EQUAL(users_submit(platform, 0, JOB, 1), 503);
	CU_ASSERT_EQUAL(users_submit(platform, 1, JOB, 1), 503);
	CU_ASSERT_EQUAL(call(0, "DELETE"), 410);
	expect_unknown_and_stop();
}

/* A job that the store has is cancelled by an instance that has not seen it
 * yet. */
static void
test_stored_job_is_cancelled(void)
{
	start_all();
	users_set_run_ms(platform, 20000);
	users_suppress_events(platform, 1, true);
	CU_ASSERT_EQUAL(users_submit(platform, 0, JOB, 1), 200);
	CU_ASSERT_EQUAL(call(1, "DELETE"), 200);
	CU_ASSERT_TRUE(
	    users_wait_state(platform, 0, JOB, "\"cancelled\"", START_MS));
	users_suppress_events(platform, 1, false);
	CU_ASSERT_EQUAL(users_submit(platform, 0, JOB, 1), 200);
	CU_ASSERT_EQUAL(call(0, "DELETE"), 200);
	users_platform_stop(platform);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"cancelled job that is stored late never runs",
		test_cancelled_job_that_is_stored_late_never_runs},
	    {"submission after its cancel is refused",
		test_submission_after_its_cancel_is_refused},
	    {"stored job is cancelled", test_stored_job_is_cancelled},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("cancel", tests);
}
