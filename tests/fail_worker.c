/*
 * Faulty workers under traffic: connections that go silent, a worker that
 * fails everything, one that dies for good, one that is frozen beyond its
 * leases, and restarts. Nothing is lost, wrong or run twice.
 */
#include <stdio.h>

#include "common_cunit.h"
#include "common_failure.h"
#include "common_jobs.h"
#include "process/alloc.h"
#include "process/clock.h"

#define INSTANCES	 3
#define SEED		 20261203
#define TIME_SCALE	 1
#define JOBS		 160
#define JOBS_PER_S	 25
#define RUN_MS		 600
#define POINT_TIMEOUT_MS 20000
#define FROZEN_MS	 12000
#define SILENT_ROUNDS	 6
#define SILENT_STEP	 15
#define MAX_BAD_STARTS	 16
/* Jobs that run at most once and were on the faulty worker. */
#define MAX_CAUGHT 16

static struct deployment deployment;

static const char *const workers[] = {
    "a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4", "c1", "c2", "c3", "c4"};

/* Small jobs that run once at most, and gangs that may run again. */
static void
start_traffic(struct traffic *traffic, const char *prefix, bool repeatable)
{
	struct load_kind *small;
	struct load_kind *gang;

	failure_start(&deployment, INSTANCES, TIME_SCALE, SEED);
	traffic_fill(traffic, &deployment, prefix, JOBS, JOBS_PER_S);
	small = traffic_add_kind(traffic, "one", "plan", RUN_MS);
	small->accelerators_per_task = 4;
	small->idempotent = repeatable;
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
	    deployment.workers_log, "start", count, POINT_TIMEOUT_MS));
}

static void
fault(const char *worker, const char *body)
{
	CU_ASSERT_TRUE(deployment_fault_worker(&deployment, worker, body));
}

static size_t
starts_at(const char *worker)
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
		wait_starts((i + 1) * SILENT_STEP);
		for (size_t k = 0; k < COUNT_OF(bodies); k++)
			fault(workers[(i * COUNT_OF(bodies) + k) %
				  COUNT_OF(workers)],
			    bodies[k]);
	}
	/* A single lost answer is asked about by id; it ends no job. */
	failure_judge(&traffic, 0);
	failure_stop(&deployment);
}

static void
test_fails_everything(void)
{
	struct traffic traffic;
	size_t starts;

	start_traffic(&traffic, "fails", true);
	fault("a2", "{\"mode\": \"fail_all\"}");
	fault("b2", "{\"mode\": \"fail_stage\"}");
	failure_judge(&traffic, 0);
	starts = starts_at("a2");
	(void)printf("starts_at_failing_worker=%zu\n", starts);
	CU_ASSERT(starts <= MAX_BAD_STARTS);
	CU_ASSERT_EQUAL(starts_at("b2"), 0);
	failure_stop(&deployment);
}

static void
test_dies_for_good(void)
{
	struct traffic traffic;

	start_traffic(&traffic, "dies", false);
	wait_starts(20);
	fault("a1", "{\"mode\": \"dead\"}");
	fault("b3", "{\"mode\": \"dead\"}");
	failure_judge(&traffic, MAX_CAUGHT);
	failure_stop(&deployment);
}

static void
test_frozen_beyond_its_leases(void)
{
	struct traffic traffic;
	int64_t woken_ms;

	start_traffic(&traffic, "frozen", false);
	wait_starts(20);
	fault("a1", "{\"mode\": \"frozen\"}");
	fault("b1", "{\"mode\": \"frozen\"}");
	woken_ms = clock_now_ms() + FROZEN_MS;
	while (clock_now_ms() < woken_ms)
		process_pause(10);
	fault("a1", "{\"mode\": \"none\"}");
	fault("b1", "{\"mode\": \"none\"}");
	failure_judge(&traffic, MAX_CAUGHT);
	failure_stop(&deployment);
}

static void
test_restarts(void)
{
	struct traffic traffic;

	start_traffic(&traffic, "restarts", false);
	for (size_t i = 0; i < COUNT_OF(workers); i += 3) {
		wait_starts(10 * (i + 1));
		fault(workers[i], "{\"mode\": \"restart\"}");
	}
	failure_judge(&traffic, MAX_CAUGHT);
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
