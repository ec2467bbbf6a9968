/*
 * Runs real instances on the fake platform while operators change the
 * configuration: large ones over narrow links, in quick succession, while an
 * instance starts, while none leads, and while the store doesn't answer reads
 * of them. Each version has to be in force within CONFIG_APPLY_MS, and no
 * request may be answered by an older one after that.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common_cunit.h"
#include "common_users_platform.h"
#include "process/alloc.h"
#include "process/clock.h"

#define START_MS  8000
#define FINISH_MS 20000
/* ConfigApplyMs of the settings, by default. */
#define CONFIG_APPLY_MS 3000
#define ACCEPTED_JOB	100
#define POLL_MS		20
#define LARGE_ROUTES	1400
/* Links that carry a large configuration in about 0.8 s and 1.6 s. */
#define NARROW_LINK_BYTES_PER_S	  500000
#define NARROWER_LINK_BYTES_PER_S 250000
/* Time in which a job is placed and started. */
#define PLACEMENT_MS 1500
/* Runs that end when placements have to be held back, and as many tasks as fit
 * at once. */
#define LONG_RUN_MS    6500
#define FITTING_TASKS  32
#define STORM_VERSIONS 8
#define STORM_GAP_MS   300

static struct users_platform *platform;

static void
start_instances(uint32_t count)
{
	platform = users_platform_start();
	CU_ASSERT_PTR_NOT_NULL_FATAL(platform);
	for (uint32_t i = 0; i < count; i++)
		CU_ASSERT_TRUE_FATAL(users_start_instance(platform, i));
	CU_ASSERT_TRUE_FATAL(users_wait_ready(platform, START_MS));
}

static void
set_large_config(uint32_t version)
{
	users_set_config(platform,
	    &(struct users_config){.version = version,
		.service = "s",
		.extra_routes = LARGE_ROUTES});
}

/* Returns the status of a request on the route that only one version has. */
static int
call_route_of(uint32_t instance, uint32_t version, struct buffer *answer)
{
	char path[32];

	(void)snprintf(path, sizeof(path), "/v%" PRIu32 "/", version);
	return users_call(platform, instance, "GET", path, "", answer);
}

/* Waits until an instance serves the route that only this version has. */
static bool
wait_in_force(uint32_t instance, uint32_t version, int64_t until_ms)
{
	CLEANUP(buffer_free) struct buffer answer = {0};

	while (call_route_of(instance, version, &answer) != 200) {
		if (clock_now_ms() > until_ms)
			return false;
		process_sleep(POLL_MS);
	}
	return true;
}

/* Expects a version that was stored at stored_ms to be in force in time on all
 * instances, and requests that only the previous one allows to be refused. */
static void
expect_in_force(uint32_t count, uint32_t version, int64_t stored_ms)
{
	CLEANUP(buffer_free) struct buffer answer = {0};

	for (uint32_t i = 0; i < count; i++)
		CU_ASSERT_TRUE(
		    wait_in_force(i, version, stored_ms + CONFIG_APPLY_MS));
	for (uint32_t i = 0; i < count; i++)
		CU_ASSERT_EQUAL(call_route_of(i, version - 1, &answer), 404);
}

/* Guards against a confirmed configuration that doesn't come in force: its read
 * took longer than a store call may, was given up and begun again, for ever. */
static void
test_large_config_over_narrow_link(void)
{
	int64_t stored_ms;

	start_instances(USERS_INSTANCES);
	users_store_limit_rate(platform, NARROWER_LINK_BYTES_PER_S);
	for (uint32_t version = 2; version <= 4; version++) {
		stored_ms = clock_now_ms();
		set_large_config(version);
		expect_in_force(USERS_INSTANCES, version, stored_ms);
	}
	users_platform_stop(platform);
}

/* Guards against an instance that never becomes ready: its first listings of a
 * large configuration were given up and begun again. */
static void
test_instance_starts_beside_large_config(void)
{
	start_instances(1);
	users_store_limit_rate(platform, NARROW_LINK_BYTES_PER_S);
	set_large_config(2);
	CU_ASSERT_TRUE(users_start_instance(platform, 1));
	set_large_config(3);
	CU_ASSERT_TRUE(users_wait_ready(platform, START_MS));
	CU_ASSERT_TRUE(wait_in_force(1, 3, clock_now_ms() + CONFIG_APPLY_MS));
	users_platform_stop(platform);
}

/* Guards against an instance that falls behind in a series of changes, since it
 * reads each of the versions that later ones have replaced. */
static void
test_large_configs_in_quick_succession(void)
{
	int64_t stored_ms = 0;

	start_instances(USERS_INSTANCES);
	users_store_limit_rate(platform, NARROW_LINK_BYTES_PER_S);
	for (uint32_t i = 0; i < STORM_VERSIONS; i++) {
		stored_ms = clock_now_ms();
		set_large_config(2 + i);
		process_sleep(STORM_GAP_MS);
	}
	expect_in_force(USERS_INSTANCES, 1 + STORM_VERSIONS, stored_ms);
	users_platform_stop(platform);
}

/* Guards against requests answered by an old configuration: an instance that
 * can't read the current one, while the store answers its other calls, neither
 * serves nor refuses by the one that it has. */
static void
test_unconfirmed_config_serves_nothing(void)
{
	CLEANUP(buffer_free) struct buffer answer = {0};

	start_instances(USERS_INSTANCES);
	CU_ASSERT_EQUAL(users_submit(platform, 0, ACCEPTED_JOB, 1), 200);
	for (uint32_t i = 0; i < USERS_INSTANCES; i++)
		CU_ASSERT_TRUE(
		    users_wait_completed(platform, i, ACCEPTED_JOB, FINISH_MS));
	users_store_hang_reads(platform, "op/");
	users_set_config(
	    platform, &(struct users_config){.version = 2, .service = "s"});
	process_sleep(CONFIG_APPLY_MS);
	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		CU_ASSERT_EQUAL(call_route_of(i, 1, &answer), 503);
		CU_ASSERT_PTR_NOT_NULL(
		    strstr(buffer_string(&answer), "Retry-After"));
		CU_ASSERT_EQUAL(call_route_of(i, 2, &answer), 503);
		CU_ASSERT_EQUAL(users_submit(platform, i, 1 + i, 1), 503);
		/* 503 would say that it never runs. */
		CU_ASSERT_EQUAL(
		    users_submit(platform, i, ACCEPTED_JOB, 1), 200);
		CU_ASSERT_EQUAL(
		    users_get_internal(platform, i, "/v1/status", &answer),
		    200);
		CU_ASSERT_PTR_NOT_NULL(strstr(
		    buffer_string(&answer), "\"config_confirmed\": false"));
	}
	users_store_hang_reads(platform, NULL);
	expect_in_force(USERS_INSTANCES, 2, clock_now_ms());
	CU_ASSERT_EQUAL(users_started_runs(platform), 1);
	users_platform_stop(platform);
}

/* Starts the instances, and two jobs of which one fits at a time. */
static void
start_with_waiting_job(void)
{
	start_instances(USERS_INSTANCES);
	CU_ASSERT_TRUE_FATAL(users_wait_lead(platform, -1, START_MS));
	users_set_run_ms(platform, LONG_RUN_MS);
	CU_ASSERT_EQUAL(users_submit(platform, 0, 1, FITTING_TASKS), 200);
	CU_ASSERT_EQUAL(users_submit(platform, 0, 2, FITTING_TASKS), 200);
	process_sleep(PLACEMENT_MS);
}

/* Expects the lead to place nothing from now on, not even when the store
 * answers all reads again. */
static void
expect_no_further_starts(void)
{
	uint32_t started;

	process_sleep(CONFIG_APPLY_MS);
	started = users_started_runs(platform);
	CU_ASSERT_TRUE(started < 2 * FITTING_TASKS);
	process_sleep(LONG_RUN_MS);
	CU_ASSERT_EQUAL(users_started_runs(platform), started);
	users_store_hang_reads(platform, NULL);
	process_sleep(PLACEMENT_MS);
	CU_ASSERT_EQUAL(users_started_runs(platform), started);
}

/* Guards against starts in a zone that is out of service: a lead that can't
 * read the zones, while the store answers its other calls, places nothing. */
static void
test_unconfirmed_zones_hold_placements(void)
{
	start_with_waiting_job();
	users_store_hang_reads(platform, "op/");
	users_evacuate(platform, "z");
	expect_no_further_starts();
	users_platform_stop(platform);
}

/* Guards against starts on workers that leave: a lead that can't read the list
 * of workers, while the store answers its other calls, places nothing. */
static void
test_unconfirmed_workers_hold_placements(void)
{
	start_with_waiting_job();
	users_store_hang_reads(platform, "servers/");
	users_drain_workers(platform);
	expect_no_further_starts();
	users_platform_stop(platform);
}

/* Guards against a job that waits for ever: the route's service was changed
 * while no instance led, and the next lead placed the job for the old one. */
static void
test_service_changed_without_a_lead(void)
{
	uint32_t other;
	int lead;

	start_instances(USERS_INSTANCES);
	CU_ASSERT_TRUE_FATAL(users_wait_lead(platform, -1, START_MS));
	lead = users_lead_index(platform);
	other = ((uint32_t)lead + 1) % USERS_INSTANCES;
	users_set_config(
	    platform, &(struct users_config){.version = 2, .service = "none"});
	expect_in_force(USERS_INSTANCES, 2, clock_now_ms());
	CU_ASSERT_EQUAL(users_submit(platform, other, 1, 1), 200);
	process_kill(users_instance(platform, (uint32_t)lead));
	users_set_config(
	    platform, &(struct users_config){.version = 3, .service = "s"});
	CU_ASSERT_TRUE(users_wait_completed(platform, other, 1, FINISH_MS));
	CU_ASSERT_EQUAL(users_duplicate_starts(platform), 0);
	users_platform_stop(platform);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"large configuration over a narrow link",
		test_large_config_over_narrow_link},
	    {"instance starts beside a large configuration",
		test_instance_starts_beside_large_config},
	    {"large configurations in quick succession",
		test_large_configs_in_quick_succession},
	    {"unconfirmed configuration serves nothing",
		test_unconfirmed_config_serves_nothing},
	    {"service changed without a lead",
		test_service_changed_without_a_lead},
	    {"unconfirmed zones hold placements",
		test_unconfirmed_zones_hold_placements},
	    {"unconfirmed workers hold placements",
		test_unconfirmed_workers_hold_placements},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("config", tests);
}
