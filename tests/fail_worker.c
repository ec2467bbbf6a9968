/*
 * Guards against jobs that are lost, answered wrongly or run twice because of a
 * faulty worker: its connections go silent, it fails every task, dies, is
 * frozen beyond its leases or restarts while jobs run.
 */
#include <stdio.h>

#include "common_cunit.h"
#include "common_failure.h"
#include "common_jobs.h"
#include "process/alloc.h"
#include "process/clock.h"

#define INSTANCES	   3
#define SEED		   20261203
#define TIME_SCALE	   1
#define JOBS		   160
#define JOBS_PER_S	   25
#define RUN_MS		   600
#define EVENT_TIMEOUT_MS   20000
#define FROZEN_MS	   12000
#define SILENT_ROUNDS	   6
#define STARTS_PER_ROUND   15
#define MAX_FAILING_STARTS 16 /* at a worker that fails every task */
/* Non-idempotent jobs that may have been on a faulty worker. */
#define MAX_UNFINISHED_JOBS 16

static struct deployment deployment;

static const char *const workers[] = {
    "a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4", "c1", "c2", "c3", "c4"};

/* Starts small jobs, idempotent or not, and idempotent gangs. */
static void
start_traffic(struct traffic *traffic, const char *prefix, bool idempotent_jobs)
{
	struct load_kind *small;
	struct load_kind *gang;

	failure_start(&deployment, INSTANCES, TIME_SCALE, SEED);
	traffic_init(traffic, &deployment, prefix, JOBS, JOBS_PER_S);
	small = traffic_add_kind(traffic, "one", "plan", RUN_MS);
	small->accelerators_per_task = 4;
	small->idempotent = idempotent_jobs;
	gang = traffic_add_kind(traffic, "two", "plan", RUN_MS);
	gang->tasks = 3;
	gang->accelerators_per_task = 3;
	gang->idempotent = true;
	gang->checkpointable = true;
	CU_ASSERT_TRUE_FATAL(traffic_start(traffic));
}

static void
wait_starts(size_t count)
{
	CU_ASSERT_TRUE_FATAL(deployment_wait_events(
	    deployment.workers_log, "start", count, EVENT_TIMEOUT_MS));
}

static void
set_fault(const char *worker, const char *body)
{
	CU_ASSERT_TRUE(deployment_set_worker_fault(&deployment, worker, body));
}

static size_t
count_starts_at(const char *worker)
{
	CLEANUP(log_free) struct log log = {0};

	CU_ASSERT_TRUE_FATAL(log_read(&log, deployment.workers_log));
	return log_events_at(&log, "start", worker, 0, INT64_MAX);
}

static void
test_connections_go_silent(void)
{
	static const char *const bodies[] = {
	    "{\"mode\": \"swallow_answers\", \"count\": 1}",
	    "{\"mode\": \"mute\", \"count\": 1}",
	    "{\"mode\": \"lose_answers\", \"count\": 1}",
	};
	struct traffic traffic;

	start_traffic(&traffic, "silent", false);
	for (size_t i = 0; i < SILENT_ROUNDS; i++) {
		wait_starts((i + 1) * STARTS_PER_ROUND);
		for (size_t k = 0; k < COUNT_OF(bodies); k++)
			set_fault(workers[(i * COUNT_OF(bodies) + k) %
				      COUNT_OF(workers)],
			    bodies[k]);
	}
	/* After a lost answer the lead queries the run by its id, so that no
	 * job ends as unknown. */
	failure_check_traffic(&traffic, 0);
	failure_stop(&deployment);
}

static void
test_fails_everything(void)
{
	struct traffic traffic;
	size_t starts;

	start_traffic(&traffic, "fails", true);
	set_fault("a2", "{\"mode\": \"fail_all\"}");
	set_fault("b2", "{\"mode\": \"fail_stage\"}");
	failure_check_traffic(&traffic, 0);
	starts = count_starts_at("a2");
	(void)printf("starts_at_failing_worker=%zu\n", starts);
	CU_ASSERT(starts <= MAX_FAILING_STARTS);
	CU_ASSERT_EQUAL(count_starts_at("b2"), 0);
	failure_stop(&deployment);
}

static void
test_dies_for_good(void)
{
	struct traffic traffic;

	start_traffic(&traffic, "dies", false);
	wait_starts(20);
	set_fault("a1", "{\"mode\": \"dead\"}");
	set_fault("b3", "{\"mode\": \"dead\"}");
	failure_check_traffic(&traffic, MAX_UNFINISHED_JOBS);
	failure_stop(&deployment);
}

static void
test_frozen_beyond_its_leases(void)
{
	struct traffic traffic;
	int64_t resume_ms;

	start_traffic(&traffic, "frozen", false);
	wait_starts(20);
	set_fault("a1", "{\"mode\": \"frozen\"}");
	set_fault("b1", "{\"mode\": \"frozen\"}");
	resume_ms = clock_now_ms() + FROZEN_MS;
	while (clock_now_ms() < resume_ms)
		process_sleep(10);
	set_fault("a1", "{\"mode\": \"none\"}");
	set_fault("b1", "{\"mode\": \"none\"}");
	failure_check_traffic(&traffic, MAX_UNFINISHED_JOBS);
	failure_stop(&deployment);
}

static void
test_restarts(void)
{
	struct traffic traffic;

	start_traffic(&traffic, "restarts", false);
	for (size_t i = 0; i < COUNT_OF(workers); i += 3) {
		wait_starts(10 * (i + 1));
		set_fault(workers[i], "{\"mode\": \"restart\"}");
	}
	failure_check_traffic(&traffic, MAX_UNFINISHED_JOBS);
	failure_stop(&deployment);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"connections go silent", test_connections_go_silent},
	    {"fails everything", test_fails_everything},
	    {"dies for good", test_dies_for_good},
	    {"frozen beyond its leases", test_frozen_beyond_its_leases},
	    {"restarts", test_restarts},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("worker faults", tests);
}
