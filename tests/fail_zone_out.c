/*
 * Guards against tasks that start in an availability zone later than 3 s after
 * the order to take it out of service was answered. The order goes through an
 * instance that isn't the lead; the lead is frozen and resumed; the store is
 * down; the zone is taken out, back and out again through different instances.
 */
#include <stdio.h>
#include <string.h>

#include "common_cunit.h"
#include "common_failure.h"
#include "process/alloc.h"
#include "process/clock.h"

#define INSTANCES	    3
#define SEED		    20261203
#define TIME_SCALE	    1
#define JOBS		    260
#define JOBS_PER_S	    26
#define CALLERS		    60
#define RETRY_TIMEOUT_MS    15000
#define TRAFFIC_TIMEOUT_MS  25000
#define RUN_MS		    400
#define STARTS_BEFORE_ORDER 20
#define ZONE_OUT_BOUND_MS   3000
#define LEAD_TIMEOUT_MS	    10000
#define ZONES		    3
/* Jobs that the order or a frozen lead may hit. */
#define MAX_UNFINISHED_JOBS 26

static const char *const zones[ZONES] = {"a", "b", "c"};

static void
fill_traffic(struct traffic *traffic, struct deployment *deployment)
{
	struct load_kind *gang;

	*traffic = (struct traffic){
	    .deployment = deployment,
	    .mix = {.jobs = JOBS,
		.jobs_per_s = JOBS_PER_S,
		.seed = SEED,
		.key_prefix = "zone"},
	    .callers = CALLERS,
	    .retry_ms = RETRY_TIMEOUT_MS,
	    .max_run_ms = TRAFFIC_TIMEOUT_MS,
	};
	traffic_add_kind(traffic, "one", "plan", RUN_MS)->idempotent = true;
	gang = traffic_add_kind(traffic, "two", "urgent", RUN_MS);
	gang->tasks = 2;
	gang->accelerators_per_task = 4;
	gang->adjacency = IBIS__ADJACENCY__ADJACENCY_RACK;
	gang->idempotent = true;
	gang->checkpointable = true;
}

/* Name of the zone with the most starts so far. */
static const char *
busiest_zone(const struct deployment *deployment)
{
	CLEANUP(log_free) struct log log = {0};
	const char *busiest = zones[0];
	size_t most = 0;

	CU_ASSERT_TRUE_FATAL(log_read(&log, deployment->workers_log));
	for (size_t i = 0; i < ZONES; i++) {
		size_t starts =
		    log_starts_in_zone(&log, zones[i], 0, INT64_MAX);

		if (starts > most) {
			most = starts;
			busiest = zones[i];
		}
	}
	CU_ASSERT_TRUE_FATAL(most > 0);
	return busiest;
}

/* Takes a zone out or back; asserts success and returns the answer's time. */
static int64_t
set_zone(struct deployment *deployment, uint32_t instance, const char *zone,
    const char *state)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	enum ibis_code code = deployment_send_zone_command(
	    deployment, instance, zone, state, &answer);

	if (code != IBIS_OK)
		(void)printf("zone %s %s through %u: %s: %s\n", zone, state,
		    (unsigned int)instance, ibis_code_name(code),
		    buffer_string(&answer.body));
	CU_ASSERT_EQUAL(code, IBIS_OK);
	return clock_now_ms();
}

/* Waits for the callers, then checks that no task started too late. */
static void
check_no_late_starts(
    struct traffic *traffic, const char *zone, int64_t answered_ms)
{
	CLEANUP(log_free) struct log log = {0};
	struct deployment *deployment = traffic->deployment;
	size_t late;

	failure_check_traffic(traffic, MAX_UNFINISHED_JOBS);
	CU_ASSERT_TRUE_FATAL(log_read(&log, deployment->workers_log));
	late = log_starts_in_zone(
	    &log, zone, answered_ms + ZONE_OUT_BOUND_MS, INT64_MAX);
	(void)printf("zone=%s last_start_after_answer_ms=%d late_starts=%zu\n",
	    zone, (int)(log_last_start_ms(&log, zone) - answered_ms), late);
	CU_ASSERT_EQUAL(late, 0);
	/* The check above is not vacuous: tasks started in other zones. */
	CU_ASSERT_TRUE(log_starts_in_zone(&log, zones[0],
			   answered_ms + ZONE_OUT_BOUND_MS, INT64_MAX) +
		log_starts_in_zone(&log, zones[1],
		    answered_ms + ZONE_OUT_BOUND_MS, INT64_MAX) +
		log_starts_in_zone(&log, zones[2],
		    answered_ms + ZONE_OUT_BOUND_MS, INT64_MAX) >
	    0);
}

/* Starts a deployment and its traffic; returns the lead. */
static uint32_t
start_traffic(struct deployment *deployment, struct traffic *traffic)
{
	int lead;

	failure_start(deployment, INSTANCES, TIME_SCALE, SEED);
	fill_traffic(traffic, deployment);
	lead = deployment_lead(deployment);
	CU_ASSERT_TRUE_FATAL(lead >= 0);
	CU_ASSERT_TRUE_FATAL(traffic_start(traffic));
	failure_wait_kill_point(deployment,
	    &(struct kill_point){
		.event = "start", .count = STARTS_BEFORE_ORDER});
	return (uint32_t)lead;
}

static void
test_order_through_another(void)
{
	struct deployment deployment;
	struct traffic traffic;
	uint32_t lead = start_traffic(&deployment, &traffic);
	const char *zone = busiest_zone(&deployment);
	int64_t answered_ms;

	answered_ms =
	    set_zone(&deployment, (lead + 1) % deployment.count, zone, "out");
	check_no_late_starts(&traffic, zone, answered_ms);
	failure_stop(&deployment);
}

static void
test_lead_frozen_and_resumed(void)
{
	struct deployment deployment;
	struct traffic traffic;
	uint32_t lead = start_traffic(&deployment, &traffic);
	const char *zone = busiest_zone(&deployment);
	int64_t answered_ms;

	process_freeze(&deployment.instances[lead].process);
	answered_ms =
	    set_zone(&deployment, (lead + 1) % deployment.count, zone, "out");
	CU_ASSERT_TRUE(
	    deployment_wait_lead(&deployment, (int)lead, LEAD_TIMEOUT_MS) >= 0);
	process_resume(&deployment.instances[lead].process);
	check_no_late_starts(&traffic, zone, answered_ms);
	failure_stop(&deployment);
}

static void
test_store_down(void)
{
	struct deployment deployment;
	struct traffic traffic;
	uint32_t lead = start_traffic(&deployment, &traffic);
	const char *zone = busiest_zone(&deployment);
	int64_t answered_ms;

	CU_ASSERT_TRUE(
	    deployment_set_platform_fault(&deployment, "{\"mode\": \"down\"}"));
	answered_ms =
	    set_zone(&deployment, (lead + 1) % deployment.count, zone, "out");
	process_sleep(ZONE_OUT_BOUND_MS);
	CU_ASSERT_TRUE(
	    deployment_set_platform_fault(&deployment, "{\"mode\": \"none\"}"));
	check_no_late_starts(&traffic, zone, answered_ms);
	failure_stop(&deployment);
}

static void
test_out_in_out(void)
{
	struct deployment deployment;
	struct traffic traffic;
	uint32_t lead = start_traffic(&deployment, &traffic);
	const char *zone = busiest_zone(&deployment);
	int64_t answered_ms = 0;

	for (uint32_t i = 0; i < INSTANCES; i++) {
		(void)set_zone(
		    &deployment, (lead + i) % deployment.count, zone, "in");
		answered_ms = set_zone(&deployment,
		    (lead + i + 1) % deployment.count, zone, "out");
	}
	check_no_late_starts(&traffic, zone, answered_ms);
	failure_stop(&deployment);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"order through another instance", test_order_through_another},
	    {"lead frozen and woken", test_lead_frozen_and_resumed},
	    {"store down", test_store_down},
	    {"out, in, out", test_out_in_out},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("zone out", tests);
}
