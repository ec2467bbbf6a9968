/*
 * Runs real instances on the fake platform beside a job that asks the lead for
 * more than it can look at in one decision. The lead has to keep its lease, and
 * other jobs have to go on.
 */
#include <inttypes.h>
#include <stdio.h>

#include "common_cunit.h"
#include "common_users_platform.h"
#include "process/alloc.h"
#include "process/buffer.h"
#include "process/clock.h"

#define START_MS 8000
/* A task's turn has come, there is room, and nothing of its job runs: finish_s
 * and 3 s more. */
#define GO_ON_MS     17000
#define WATCHED_MS   4000
#define RUN_MS	     200
#define DAYS_OVERDUE 14
#define MS_PER_DAY   INT64_C(86400000)
#define TIMES	     25000
#define SOUND_JOBS   6
#define SCHEDULE     "/q/00000000000000ff"

static struct users_platform *platform;

/* Submits a schedule of every minute that began days ago. */
static int
submit_schedule(void)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	CLEANUP(buffer_free) struct buffer answer = {0};

	buffer_printf(&body,
	    "{\"Spec\":\"p\",\"Steps\":[{\"Count\":1,\"Gpus\":1,"
	    "\"EstimateMs\":200}],\"Times\":%d,\"FirstMs\":%" PRId64
	    ",\"IntervalMs\":60000}",
	    TIMES, clock_wall_ms() - DAYS_OVERDUE * MS_PER_DAY);
	return users_call(
	    platform, 0, "POST", SCHEDULE, buffer_string(&body), &answer);
}

/* Guards against a site that stops: with all that is overdue, one decision took
 * longer than the lead's lease, for each lead in turn. */
static void
test_overdue_schedule(void)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	uint32_t started;
	uint32_t deletions;
	int64_t until_ms;

	platform = users_platform_start();
	CU_ASSERT_PTR_NOT_NULL_FATAL(platform);
	CU_ASSERT_TRUE_FATAL(users_start_all(platform));
	users_set_run_ms(platform, RUN_MS);
	deletions = users_lead_key_deletions(platform);
	CU_ASSERT_EQUAL(submit_schedule(), 200);
	for (uint32_t i = 0; i < SOUND_JOBS; i++)
		CU_ASSERT_EQUAL(
		    users_submit(platform, i % USERS_INSTANCES, 1 + i, 2), 200);
	until_ms = clock_now_ms() + GO_ON_MS;
	for (uint32_t i = 0; i < SOUND_JOBS; i++)
		CU_ASSERT_TRUE(
		    users_wait_completed(platform, i % USERS_INSTANCES, 1 + i,
			(int32_t)(until_ms - clock_now_ms())));
	/* The schedule itself goes on too. One change of lead is allowed, as
	 * the machine may be busy; each lead lost its lease in turn. */
	started = users_started_runs(platform);
	process_sleep(WATCHED_MS);
	CU_ASSERT_TRUE(users_started_runs(platform) > started);
	CU_ASSERT_TRUE(users_lead_key_deletions(platform) <= deletions + 1);
	CU_ASSERT_EQUAL(
	    users_call(platform, 1, "DELETE", SCHEDULE, "", &answer), 200);
	CU_ASSERT_EQUAL(users_duplicate_starts(platform), 0);
	users_platform_stop(platform);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"overdue schedule", test_overdue_schedule},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("overdue schedule", tests);
}
