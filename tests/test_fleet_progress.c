/* Tests of slow workers, found by the progress of gangs. */
#include "common_cunit.h"
#include "common_fleet_job.h"
#include "process/alloc.h"

#define POLL_MS 700
#define TASKS	3

/* All members have begun to work. */
static void
start_gang(struct fleet_job_fixture *fixture)
{
	fleet_job_open(fixture);
	fleet_job_start(fixture, TASKS, true);
	fleet_job_run(fixture, POLL_MS, TASKS, 0);
	CU_ASSERT_EQUAL(fleet_job_decide(fixture, FLEET_STOP), 0);
	fleet_job_run(fixture, 1, TASKS, 0);
}

/* Guards against urgent gangs that are late because of one slow worker: a
 * member with little progress had no rate before 1.5 s, and so was compared
 * with the others one poll later than it could be. */
static void
test_slow_member_is_found_at_the_next_poll(void)
{
	CLEANUP(fleet_job_close) struct fleet_job_fixture fixture;

	start_gang(&fixture);
	fixture.now_ms += POLL_MS;
	fleet_job_report(&fixture, 0, 28);
	fleet_job_report(&fixture, 1, 27);
	fleet_job_report(&fixture, 2, 3);
	CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_STOP), TASKS);
}

/* Guards against moves because progress is told in whole percents. */
static void
test_little_difference_moves_nothing(void)
{
	CLEANUP(fleet_job_close) struct fleet_job_fixture fixture;

	start_gang(&fixture);
	fixture.now_ms += POLL_MS;
	fleet_job_report(&fixture, 0, 8);
	fleet_job_report(&fixture, 1, 7);
	fleet_job_report(&fixture, 2, 5);
	CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_STOP), 0);
	fixture.now_ms += POLL_MS;
	fleet_job_report(&fixture, 0, 16);
	fleet_job_report(&fixture, 1, 14);
	fleet_job_report(&fixture, 2, 11);
	CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_STOP), 0);
}

/* Guards against rates of a moment: a report that follows the last one closely
 * shows little progress on any worker. */
static void
test_progress_of_a_moment_moves_nothing(void)
{
	CLEANUP(fleet_job_close) struct fleet_job_fixture fixture;

	start_gang(&fixture);
	fixture.now_ms += POLL_MS / 4;
	fleet_job_report(&fixture, 0, 9);
	fleet_job_report(&fixture, 1, 9);
	fleet_job_report(&fixture, 2, 0);
	CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_STOP), 0);
}

/* Guards against moves of sound gangs: of two members on one worker, one had
 * its progress of the report before when the other's was compared with it. */
static void
test_members_on_one_worker_are_compared_by_one_report(void)
{
	CLEANUP(fleet_job_close) struct fleet_job_fixture fixture;

	fleet_job_open(&fixture);
	fixture.accelerators = 4;
	fleet_job_start(&fixture, TASKS, true);
	for (int32_t percent = 0; percent < 100; percent += 25) {
		fixture.now_ms += POLL_MS;
		fleet_job_report_tasks(&fixture, 0, 0, 2, percent);
		fleet_job_report_tasks(&fixture, 1, 2, 1, percent);
		CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_STOP), 0);
	}
}

/* Guards against moves because of a member that has done its work, and waits
 * for the others with no further progress. */
static void
test_member_that_waits_for_the_others_is_not_slow(void)
{
	CLEANUP(fleet_job_close) struct fleet_job_fixture fixture;

	start_gang(&fixture);
	fixture.now_ms += POLL_MS;
	fleet_job_report(&fixture, 0, 28);
	fleet_job_report(&fixture, 1, 27);
	fleet_job_report(&fixture, 2, 100);
	CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_STOP), 0);
	fixture.now_ms += POLL_MS;
	fleet_job_report(&fixture, 0, 56);
	fleet_job_report(&fixture, 1, 54);
	fleet_job_report(&fixture, 2, 100);
	CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_STOP), 0);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a slow member is found at the next poll",
		test_slow_member_is_found_at_the_next_poll},
	    {"little difference moves nothing",
		test_little_difference_moves_nothing},
	    {"progress of a moment moves nothing",
		test_progress_of_a_moment_moves_nothing},
	    {"members on one worker are compared by one report",
		test_members_on_one_worker_are_compared_by_one_report},
	    {"a member that waits for the others is not slow",
		test_member_that_waits_for_the_others_is_not_slow},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("fleet_progress", tests);
}
