#include <stdio.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "common_failure.h"
#include "process/alloc.h"

#define KILL_POINT_TIMEOUT_MS 20000
/* Default of first_lease_ms plus a margin for the interval at which the fake
 * workers check for expired leases. */
#define MAX_PARTIAL_RUN_MS 2100
#define DOCUMENT	   "tests/data/site.jsonc"

void
failure_start(struct deployment *deployment, uint32_t instances,
    double time_scale, uint32_t seed)
{
	struct deployment_config config = {
	    .document_path = deployment_source_path(DOCUMENT),
	    .instances = instances,
	    .time_scale = time_scale,
	    .seed = seed,
	};

	CU_ASSERT_TRUE_FATAL(deployment_start(deployment, &config));
}

void
failure_stop(struct deployment *deployment)
{
	static unsigned int failures_before;
	unsigned int failures = CU_get_number_of_failures();

	deployment_stop(deployment, failures > failures_before);
	failures_before = failures;
}

void
failure_wait_kill_point(
    struct deployment *deployment, const struct kill_point *point)
{
	const char *path = strcmp(point->event, "swap") == 0
	    ? deployment->platform_log
	    : deployment->workers_log;

	/* Not fatal: the callers' threads still use the test's local variables.
	 */
	CU_ASSERT_TRUE(deployment_wait_events(
	    path, point->event, point->count, KILL_POINT_TIMEOUT_MS));
}

/* Counts jobs without an outcome, and idempotent jobs that ended as unknown or
 * failed although they could have been retried. */
static size_t
count_lost(const struct traffic *traffic)
{
	size_t lost = traffic_count(traffic, LOAD_PENDING) +
	    traffic_count(traffic, LOAD_NOT_SENT);

	for (uint32_t i = 0; i < traffic->mix.jobs; i++) {
		enum load_outcome outcome = traffic->results[i].outcome;

		if (traffic->jobs[i].kind->idempotent &&
		    (outcome == LOAD_UNKNOWN || outcome == LOAD_FAILED))
			lost++;
	}
	return lost;
}

void
failure_check_traffic(struct traffic *traffic, size_t max_unconfirmed)
{
	CLEANUP(log_free) struct log log = {0};

	traffic_join(traffic);
	CU_ASSERT_TRUE_FATAL(log_read(&log, traffic->deployment->workers_log));
	traffic_print_unfinished(traffic);
	(void)printf("jobs=%u finished=%zu unknown=%zu not_run=%zu failed=%zu "
		     "pending=%zu partial_run_ms=%d\n",
	    (unsigned int)traffic->mix.jobs,
	    traffic_count(traffic, LOAD_FINISHED),
	    traffic_count(traffic, LOAD_UNKNOWN),
	    traffic_count(traffic, LOAD_NOT_RUN),
	    traffic_count(traffic, LOAD_FAILED),
	    traffic_count(traffic, LOAD_PENDING),
	    (int)traffic_partial_run_ms(traffic, &log));
	CU_ASSERT_EQUAL(traffic_count_run_twice(traffic, &log), 0);
	CU_ASSERT_EQUAL(traffic_count_false_not_run(traffic, &log), 0);
	CU_ASSERT_EQUAL(traffic_count_wrong(traffic), 0);
	CU_ASSERT_EQUAL(count_lost(traffic), 0);
	/* Every job was sent and has an outcome. */
	CU_ASSERT_EQUAL(traffic_count(traffic, LOAD_PENDING), 0);
	CU_ASSERT_EQUAL(traffic_count(traffic, LOAD_NOT_SENT), 0);
	CU_ASSERT_TRUE(
	    traffic_partial_run_ms(traffic, &log) <= MAX_PARTIAL_RUN_MS);
	CU_ASSERT_TRUE(traffic_count(traffic, LOAD_UNKNOWN) +
		traffic_count(traffic, LOAD_FAILED) <=
	    max_unconfirmed);
	traffic_free(traffic);
}
