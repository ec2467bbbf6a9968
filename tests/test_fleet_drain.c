/* Tests of workers that leave: which tasks are moved before. */
#include "common_cunit.h"
#include "common_fleet_job.h"
#include "process/alloc.h"

#define NOTICE_MS 4000

static void
drain(struct fleet_job_fixture *fixture, size_t index, int64_t remaining_ms)
{
	fixture->entries[index].draining = true;
	fixture->entries[index].remaining_ms = remaining_ms;
	(void)fleet_set_worker(
	    fixture->fleet, &fixture->entries[index], fixture->now_ms);
}

/* Guards against work that goes down with a worker that had said when it
 * leaves, and whose task then waited for the end of the worker's lease. */
static void
test_task_that_outlasts_the_notice_is_moved_at_once(void)
{
	CLEANUP(fleet_job_close) struct fleet_job_fixture fixture;

	fleet_job_open(&fixture);
	fleet_job_start(&fixture, 1, false);
	fleet_job_run(&fixture, 2000, 1, 20);
	drain(&fixture, 0, NOTICE_MS);
	CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_STOP), 1);
	CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_STOP), 0);
}

static void
test_task_that_ends_within_the_notice_stays(void)
{
	CLEANUP(fleet_job_close) struct fleet_job_fixture fixture;

	fleet_job_open(&fixture);
	fleet_job_start(&fixture, 1, false);
	fleet_job_run(&fixture, 8000, 1, 80);
	drain(&fixture, 0, NOTICE_MS);
	CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_STOP), 0);
}

/* Guards against moves of tasks that are about to end: their progress counted
 * as that of now, although the last report was older. */
static void
test_age_of_progress_counts(void)
{
	CLEANUP(fleet_job_close) struct fleet_job_fixture fixture;

	fleet_job_open(&fixture);
	fleet_job_start(&fixture, 1, false);
	fleet_job_run(&fixture, 8000, 1, 80);
	fixture.now_ms += 600;
	drain(&fixture, 0, 2000);
	CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_STOP), 0);
}

/* Guards against a gang that goes on without the member that would be lost. */
static void
test_gang_with_a_member_on_a_leaving_worker_is_moved_whole(void)
{
	CLEANUP(fleet_job_close) struct fleet_job_fixture fixture;

	fleet_job_open(&fixture);
	fleet_job_start(&fixture, 2, true);
	fleet_job_run(&fixture, 2000, 2, 20);
	drain(&fixture, 1, NOTICE_MS);
	CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_STOP), 2);
}

/* Guards against moves because of a worker that drains for as long as its tasks
 * need, or has changed its mind. */
static void
test_unknown_time_of_leaving_moves_nothing(void)
{
	CLEANUP(fleet_job_close) struct fleet_job_fixture fixture;

	fleet_job_open(&fixture);
	fleet_job_start(&fixture, 1, false);
	fleet_job_run(&fixture, 2000, 1, 20);
	drain(&fixture, 0, 0);
	CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_STOP), 0);
	drain(&fixture, 0, -1);
	CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_STOP), 0);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a task that outlasts the notice is moved at once",
		test_task_that_outlasts_the_notice_is_moved_at_once},
	    {"a task that ends within the notice stays",
		test_task_that_ends_within_the_notice_stays},
	    {"the age of progress counts", test_age_of_progress_counts},
	    {"a gang with a member on a leaving worker is moved whole",
		test_gang_with_a_member_on_a_leaving_worker_is_moved_whole},
	    {"an unknown time of leaving moves nothing",
		test_unknown_time_of_leaving_moves_nothing},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("fleet_drain", tests);
}
