/* Tests of scheduler behaviour that both policies share. */
#include <string.h>

#include "common_cunit.h"
#include "common_site.h"
#include "process/alloc.h"

static void
free_scheduler(struct scheduler **scheduler)
{
	scheduler_free(*scheduler);
}

/* Runs a test body under each policy. */
static void
run_under_each_policy(void (*body)(struct scheduler *scheduler))
{
	CLEANUP(free_scheduler)
	struct scheduler *first_fit = site_scheduler(POLICY_FIRST_FIT);
	CLEANUP(free_scheduler)
	struct scheduler *guaranteed = site_scheduler(POLICY_GUARANTEED);

	body(first_fit);
	body(guaranteed);
}

static void
refuse_impossible_jobs(struct scheduler *scheduler)
{
	struct ibis_status status = {0};
	int64_t retry_after_ms = 0;
	struct scheduler_job jobs[] = {
	    site_job(1, "nobody", "plan", 1, 1),
	    site_job(2, "large", "none", 1, 1),
	    site_job(3, "large", "plan", 1, SITE_ACCELERATORS + 1),
	    site_job(4, "large", "plan", SITE_WORKERS + 1, SITE_ACCELERATORS),
	};

	for (size_t i = 0; i < COUNT_OF(jobs); i++) {
		CU_ASSERT_EQUAL(scheduler_submit(scheduler, &jobs[i], 0,
				    &retry_after_ms, &status),
		    IBIS_INVALID);
		CU_ASSERT_NOT_EQUAL(status.message[0], '\0');
	}
}

static void
test_refuses_jobs_that_can_never_run(void)
{
	run_under_each_policy(refuse_impossible_jobs);
}

static void
start_rack_gang(struct scheduler *scheduler)
{
	struct scheduler_job job =
	    site_job(1, "large", "plan", SITE_RACK_WORKERS, SITE_ACCELERATORS);
	struct scheduler_action action = {0};
	struct scheduler_usage usage;

	job.adjacency = IBIS__ADJACENCY__ADJACENCY_RACK;
	site_submit(scheduler, &job, 0);
	CU_ASSERT_TRUE_FATAL(site_decide(scheduler, 1, 0, &action));
	CU_ASSERT_EQUAL(action.kind, ACTION_START);
	CU_ASSERT_EQUAL(action.start.tasks, SITE_RACK_WORKERS);
	scheduler_usage(scheduler, &usage);
	CU_ASSERT_EQUAL(usage.running_jobs, 1);
	CU_ASSERT_EQUAL(usage.accelerators - usage.free_accelerators,
	    (uint64_t)SITE_RACK_WORKERS * SITE_ACCELERATORS);
	scheduler_end(scheduler, job.id, END_FINISHED, NULL, 1000, 1000);
	scheduler_usage(scheduler, &usage);
	CU_ASSERT_EQUAL(usage.running_jobs, 0);
	CU_ASSERT_EQUAL(usage.accelerators, usage.free_accelerators);
}

static void
test_gang_starts_and_ends_as_a_whole(void)
{
	run_under_each_policy(start_rack_gang);
}

static void
refuse_over_rate(struct scheduler *scheduler)
{
	struct document *document = site_document();
	struct ibis_status status = {0};
	int64_t retry_after_ms = 0;
	struct scheduler_job first = site_job(1, "small", "plan", 1, 1);
	struct scheduler_job second = site_job(2, "small", "plan", 1, 1);

	document->workspaces[1].max_jobs_per_s = 1.0;
	document->workspaces[1].burst_jobs = 1;
	scheduler_set_document(scheduler, document, 0);
	site_submit(scheduler, &first, 0);
	CU_ASSERT_EQUAL(
	    scheduler_submit(scheduler, &second, 0, &retry_after_ms, &status),
	    IBIS_LIMIT);
	CU_ASSERT_TRUE(retry_after_ms > 0);
	site_submit(scheduler, &second, 2000);
}

static void
test_rate_limit_gives_retry_after(void)
{
	run_under_each_policy(refuse_over_rate);
}

static void
avoid_zones_out_of_service(struct scheduler *scheduler)
{
	struct scheduler_job job =
	    site_job(1, "small", "plan", 1, SITE_ACCELERATORS);
	struct scheduler_action action = {0};

	scheduler_set_zone(scheduler, "z0", false, 0);
	scheduler_set_zone(scheduler, "z1", false, 0);
	site_submit(scheduler, &job, 0);
	CU_ASSERT_FALSE(site_decide(scheduler, 1, 0, &action));
	scheduler_set_zone(scheduler, "z1", true, 10);
	CU_ASSERT_TRUE_FATAL(site_decide(scheduler, 1, 20000, &action));
	CU_ASSERT_EQUAL(action.kind, ACTION_START);
}

static void
test_no_start_in_zone_out_of_service(void)
{
	run_under_each_policy(avoid_zones_out_of_service);
}

static void
give_up_after_failures(struct scheduler *scheduler)
{
	struct scheduler_job job = site_job(1, "small", "plan", 1, 1);
	struct scheduler_action action = {0};
	int64_t now_ms = 0;

	site_submit(scheduler, &job, 0);
	for (int i = 0; i < 3; i++) {
		char worker[JOB_NAME_BYTES];

		CU_ASSERT_TRUE_FATAL(
		    site_decide(scheduler, 1, now_ms, &action));
		CU_ASSERT_EQUAL_FATAL(action.kind, ACTION_START);
		STRING_COPY(worker, action.start.workers[0]);
		scheduler_end(
		    scheduler, job.id, END_ATTEMPT_FAILED, worker, 0, now_ms);
		now_ms += 60000;
	}
	CU_ASSERT_TRUE_FATAL(site_decide(scheduler, 1, now_ms, &action));
	CU_ASSERT_EQUAL(action.kind, ACTION_GIVE_UP);
	CU_ASSERT_STRING_EQUAL(action.give_up.reason, "attempts");
}

static void
test_gives_up_job_that_fails_everywhere(void)
{
	run_under_each_policy(give_up_after_failures);
}

static void
evict_before_start(struct scheduler *scheduler)
{
	struct scheduler_job job = site_job(1, "small", "plan", 1, 1);
	struct scheduler_action action = {0};
	int64_t now_ms = 0;

	scheduler_set_zone(scheduler, "z1", false, 0);
	site_submit(scheduler, &job, 0);
	for (int i = 0; i < 5; i++) {
		CU_ASSERT_TRUE_FATAL(
		    site_decide(scheduler, 1, now_ms, &action));
		CU_ASSERT_EQUAL_FATAL(action.kind, ACTION_START);
		scheduler_set_zone(scheduler, "z0", false, now_ms);
		now_ms += SITE_LEAVE_DEADLINE_MS;
		CU_ASSERT_TRUE_FATAL(
		    site_decide(scheduler, 1, now_ms, &action));
		CU_ASSERT_EQUAL_FATAL(action.kind, ACTION_EVICT);
		scheduler_end(
		    scheduler, job.id, END_ATTEMPT_FAILED, NULL, 0, now_ms);
		scheduler_set_zone(scheduler, "z0", true, now_ms);
		now_ms += 60000;
	}
	CU_ASSERT_TRUE_FATAL(site_decide(scheduler, 1, now_ms, &action));
	CU_ASSERT_EQUAL(action.kind, ACTION_START);
}

static void
test_eviction_is_not_a_failed_attempt(void)
{
	run_under_each_policy(evict_before_start);
}

static void
restore_at_takeover(struct scheduler *scheduler)
{
	struct scheduler_job running = site_job(1, "small", "plan", 2, 1);
	struct scheduler_job queued = site_job(2, "small", "plan", 1, 1);
	const char *const workers[] = {"w3", "gone"};
	struct scheduler_usage usage;

	scheduler_restore(scheduler, &running, workers, 0);
	scheduler_restore(scheduler, &queued, NULL, 0);
	scheduler_usage(scheduler, &usage);
	CU_ASSERT_EQUAL(usage.running_jobs, 1);
	CU_ASSERT_EQUAL(usage.queued_jobs, 1);
	CU_ASSERT_EQUAL(usage.accelerators - usage.free_accelerators, 1);
	scheduler_end(scheduler, running.id, END_LOST, "w3", 10, 10);
	scheduler_usage(scheduler, &usage);
	CU_ASSERT_EQUAL(usage.queued_jobs, 2);
}

static void
test_restore_skips_unknown_workers(void)
{
	run_under_each_policy(restore_at_takeover);
}

static void
replace_document(struct scheduler *scheduler)
{
	struct scheduler_job job = site_job(1, "small", "plan", 1, 1);
	struct scheduler_action action = {0};
	struct document *document;
	struct scheduler_usage usage;

	site_submit(scheduler, &job, 0);
	CU_ASSERT_TRUE(site_decide(scheduler, 1, 0, &action));
	scheduler_set_zone(scheduler, "z1", false, 0);
	document = site_document();
	document->version = 2;
	scheduler_set_document(scheduler, document, 10);
	scheduler_usage(scheduler, &usage);
	CU_ASSERT_EQUAL(usage.running_jobs, 1);
	CU_ASSERT_EQUAL(
	    usage.accelerators, SITE_WORKERS * SITE_ACCELERATORS / SITE_ZONES);
	scheduler_end(scheduler, job.id, END_FINISHED, NULL, 20, 20);
	scheduler_usage(scheduler, &usage);
	CU_ASSERT_EQUAL(usage.free_accelerators, usage.accelerators);
}

static void
test_new_document_keeps_jobs_and_zone_holds(void)
{
	run_under_each_policy(replace_document);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"refuses jobs that can never run",
		test_refuses_jobs_that_can_never_run},
	    {"a gang starts and ends as a whole",
		test_gang_starts_and_ends_as_a_whole},
	    {"rate limit sets a retry time", test_rate_limit_gives_retry_after},
	    {"no start in a zone out of service",
		test_no_start_in_zone_out_of_service},
	    {"gives up a job that fails everywhere",
		test_gives_up_job_that_fails_everywhere},
	    {"eviction before the start is not a failed attempt",
		test_eviction_is_not_a_failed_attempt},
	    {"restore skips unknown workers",
		test_restore_skips_unknown_workers},
	    {"a new document keeps jobs and zone holds",
		test_new_document_keeps_jobs_and_zone_holds},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("scheduler", tests);
}
