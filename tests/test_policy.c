/* Tests of the guaranteed policy through the scheduler's public functions:
 * guarantees, eviction, quarantine and zones out of service. */
#include <string.h>

#include "common_cunit.h"
#include "common_site.h"
#include "process/alloc.h"

#define FIRST_FILL_ID 100

static void
free_scheduler(struct scheduler **scheduler)
{
	scheduler_free(*scheduler);
}

/* Fills the site with jobs of one whole worker each, of a workspace without
 * guarantees. Returns how many have started. */
static size_t
fill_site(struct scheduler *scheduler, bool evictable)
{
	const struct scheduler_action *actions;
	size_t started = 0;
	size_t count;

	for (uint64_t i = 0; i < SITE_WORKERS; i++) {
		struct scheduler_job job = site_job(
		    FIRST_FILL_ID + i, "small", "idle", 1, SITE_ACCELERATORS);

		job.idempotent = evictable;
		job.checkpointable = evictable;
		site_submit(scheduler, &job, 0);
	}
	count = scheduler_decide(scheduler, 0, &actions);
	for (size_t i = 0; i < count; i++)
		started += actions[i].kind == ACTION_START;
	return started;
}

/* Decides and ends each eviction among the actions half a second later. Returns
 * how many there were. */
static size_t
end_evictions(struct scheduler *scheduler, int64_t now_ms)
{
	const struct scheduler_action *actions;
	struct job_id evicted[SITE_WORKERS];
	size_t evicted_count = 0;
	size_t count = scheduler_decide(scheduler, now_ms, &actions);

	for (size_t i = 0; i < count; i++) {
		if (actions[i].kind == ACTION_EVICT)
			evicted[evicted_count++] = actions[i].job;
	}
	for (size_t i = 0; i < evicted_count; i++)
		scheduler_end(scheduler, evicted[i], END_EVICTED, NULL, 1000,
		    now_ms + 500);
	return evicted_count;
}

/* Fills the site, then expects an urgent job of the guaranteed shape to start
 * after the given number of evictions. */
static void
check_reclaim(bool evictable, size_t expect_started, size_t expect_evicted)
{
	CLEANUP(free_scheduler)
	struct scheduler *scheduler = site_scheduler(POLICY_GUARANTEED);
	struct scheduler_job job =
	    site_job(1, "large", "urgent", 2, SITE_ACCELERATORS);
	struct scheduler_usage usage;

	job.adjacency = IBIS__ADJACENCY__ADJACENCY_RACK;
	CU_ASSERT_EQUAL(fill_site(scheduler, evictable), expect_started);
	site_submit(scheduler, &job, 1000);
	CU_ASSERT_EQUAL(end_evictions(scheduler, 1000), expect_evicted);
	(void)end_evictions(scheduler, 1500);
	scheduler_usage(scheduler, &usage);
	CU_ASSERT_EQUAL(
	    usage.running_jobs, expect_started - expect_evicted + 1);
	CU_ASSERT_EQUAL(usage.free_accelerators, 0);
}

static void
test_reclaims_whole_shape(void)
{
	check_reclaim(true, SITE_WORKERS, 2);
}

static void
test_non_preemptible_jobs_leave_claims_free(void)
{
	check_reclaim(false, SITE_WORKERS - 2, 0);
}

static void
test_slow_checkpoint_ends_in_stop(void)
{
	CLEANUP(free_scheduler)
	struct scheduler *scheduler = site_scheduler(POLICY_GUARANTEED);
	struct scheduler_job job =
	    site_job(1, "large", "urgent", 1, SITE_ACCELERATORS);
	const struct scheduler_action *actions;
	size_t count;

	(void)fill_site(scheduler, true);
	site_submit(scheduler, &job, 0);
	count = scheduler_decide(scheduler, 0, &actions);
	CU_ASSERT_EQUAL_FATAL(count, 1);
	CU_ASSERT_EQUAL(actions[0].evict.manner, EVICT_CHECKPOINT);
	CU_ASSERT_TRUE(scheduler_next_ms(scheduler) < SITE_RECLAIM_BOUND_MS);
	count =
	    scheduler_decide(scheduler, scheduler_next_ms(scheduler), &actions);
	while (
	    count == 0 && scheduler_next_ms(scheduler) < SITE_RECLAIM_BOUND_MS)
		count = scheduler_decide(
		    scheduler, scheduler_next_ms(scheduler), &actions);
	CU_ASSERT_EQUAL_FATAL(count, 1);
	CU_ASSERT_EQUAL(actions[0].kind, ACTION_EVICT);
	CU_ASSERT_EQUAL(actions[0].evict.manner, EVICT_STOP);
}

static void
test_failing_worker_is_quarantined(void)
{
	CLEANUP(free_scheduler)
	struct scheduler *scheduler = site_scheduler(POLICY_GUARANTEED);
	struct scheduler_usage usage;

	for (uint64_t i = 1; i <= 4; i++) {
		struct scheduler_job job = site_job(i, "small", "plan", 1, 1);
		const char *const worker = "w5";

		scheduler_restore(scheduler, &job, &worker, 0);
		scheduler_end(
		    scheduler, job.id, END_ATTEMPT_FAILED, "w5", 0, 0);
	}
	scheduler_usage(scheduler, &usage);
	CU_ASSERT_EQUAL(usage.quarantined_workers, 1);
	CU_ASSERT_EQUAL(usage.accelerators,
	    (uint64_t)(SITE_WORKERS - 1) * SITE_ACCELERATORS);
}

static void
test_gives_up_job_that_would_miss_its_deadline(void)
{
	CLEANUP(free_scheduler)
	struct scheduler *scheduler = site_scheduler(POLICY_GUARANTEED);
	struct scheduler_job job = site_job(1, "small", "plan", 1, 1);
	struct scheduler_action action = {0};

	job.deadline_ms = 1;
	site_submit(scheduler, &job, 0);
	CU_ASSERT_TRUE_FATAL(site_decide(scheduler, 1, 0, &action));
	CU_ASSERT_EQUAL(action.kind, ACTION_GIVE_UP);
	CU_ASSERT_STRING_EQUAL(action.give_up.reason, "deadline");
}

static void
test_evacuates_zone_by_its_deadline(void)
{
	CLEANUP(free_scheduler)
	struct scheduler *scheduler = site_scheduler(POLICY_GUARANTEED);
	size_t evicted = 0;

	(void)fill_site(scheduler, true);
	scheduler_set_zone(scheduler, "z0", false, 1000);
	for (int64_t now_ms = 1000; now_ms <= 1000 + SITE_LEAVE_DEADLINE_MS;
	     now_ms += 1000)
		evicted += end_evictions(scheduler, now_ms);
	CU_ASSERT_EQUAL(evicted, SITE_WORKERS / SITE_ZONES);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"reclaims a whole guaranteed shape", test_reclaims_whole_shape},
	    {"non-preemptible jobs leave claims free",
		test_non_preemptible_jobs_leave_claims_free},
	    {"a slow checkpoint ends in a stop within the bound",
		test_slow_checkpoint_ends_in_stop},
	    {"a worker on which several jobs fail is quarantined",
		test_failing_worker_is_quarantined},
	    {"gives up a job that would miss its deadline",
		test_gives_up_job_that_would_miss_its_deadline},
	    {"evacuates a zone by its leave deadline",
		test_evacuates_zone_by_its_deadline},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("policy", tests);
}
