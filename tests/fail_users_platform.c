/*
 * Real instances on a stand-in of the users' platform: the whole path, a lead
 * that dies, one that freezes and wakes, a store that turns one instance away,
 * a silent store, and planned stops.
 */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common_cunit.h"
#include "common_users_platform.h"
#include "process/alloc.h"
#include "process/clock.h"

#define START_MS    8000
#define TAKEOVER_MS 6000
#define FINISH_MS   20000
#define JOBS	    12
#define TASKS	    3

static struct users_platform *platform;

static void
start_all(void)
{
	platform = users_platform_start();
	CU_ASSERT_PTR_NOT_NULL_FATAL(platform);
	for (uint32_t i = 0; i < USERS_INSTANCES; i++)
		CU_ASSERT_TRUE_FATAL(users_start_instance(platform, i));
	CU_ASSERT_TRUE_FATAL(users_wait_ready(platform, START_MS));
	CU_ASSERT_TRUE_FATAL(users_wait_lead(platform, -1, START_MS));
}

static void
end_all(void)
{
	CU_ASSERT_EQUAL(users_doubled(platform), 0);
	users_platform_stop(platform);
}

/* Hands jobs in at all instances but one; -1 leaves none out. */
static void
submit_jobs(uint32_t first, int left_out)
{
	for (uint32_t i = 0; i < JOBS; i++) {
		uint32_t instance = i % USERS_INSTANCES;

		if ((int)instance == left_out)
			instance = (instance + 1) % USERS_INSTANCES;
		CU_ASSERT_EQUAL(
		    users_submit(platform, instance, first + i, TASKS), 200);
	}
}

static void
expect_completed(uint32_t first, uint32_t instance)
{
	for (uint32_t i = 0; i < JOBS; i++)
		CU_ASSERT_TRUE(users_wait_completed(
		    platform, instance, first + i, FINISH_MS));
}

static void
test_whole_path(void)
{
	CLEANUP(buffer_free) struct buffer answer = {0};

	start_all();
	submit_jobs(1, -1);
	expect_completed(1, 1);
	CU_ASSERT_EQUAL(users_starts(platform), JOBS * TASKS);
	CU_ASSERT_EQUAL(users_submit(platform, 2, 1, TASKS), 200);
	CU_ASSERT_EQUAL(
	    users_call(platform, 0, "GET", "/q/", "", &answer), 200);
	CU_ASSERT_EQUAL(
	    users_call(platform, 0, "GET", "/q/00000000000000ff", "", &answer),
	    410);
	CU_ASSERT_EQUAL(
	    users_call(platform, 0, "GET", "/other/", "", &answer), 404);
	CU_ASSERT_EQUAL(users_call(platform, 0, "POST", "/q/00000000000000fe",
			    "{", &answer),
	    400);
	/* A queue whose starts need tickets is refused, not accepted and lost.
	 */
	CU_ASSERT_EQUAL(
	    users_call(platform, 0, "POST", "/advised/00000000000000fd",
		"{\"Spec\":\"x\",\"Steps\":[{\"Count\":1,\"Cpu\":100}]}",
		&answer),
	    503);
	end_all();
}

static void
test_lead_dies(void)
{
	int lead;

	start_all();
	users_set_run_ms(platform, 2000);
	submit_jobs(1, -1);
	lead = users_lead(platform);
	process_kill(users_instance(platform, (uint32_t)lead));
	CU_ASSERT_TRUE(users_wait_lead(platform, lead, TAKEOVER_MS));
	submit_jobs(100, lead);
	expect_completed(1, ((uint32_t)lead + 1) % USERS_INSTANCES);
	expect_completed(100, ((uint32_t)lead + 1) % USERS_INSTANCES);
	CU_ASSERT_EQUAL(users_starts(platform), 2 * JOBS * TASKS);
	end_all();
}

/* The woken lead finds another epoch in the store and steps down. */
static void
test_lead_freezes_and_wakes(void)
{
	int lead;

	start_all();
	users_set_run_ms(platform, 1000);
	for (uint32_t round = 0; round < 3; round++) {
		lead = users_lead(platform);
		submit_jobs(1 + round * 100, -1);
		process_freeze(users_instance(platform, (uint32_t)lead));
		CU_ASSERT_TRUE(users_wait_lead(platform, lead, TAKEOVER_MS));
		process_wake(users_instance(platform, (uint32_t)lead));
		expect_completed(1 + round * 100, (uint32_t)lead);
	}
	for (uint32_t i = 0; i < USERS_INSTANCES; i++)
		CU_ASSERT_EQUAL(
		    process_wait(users_instance(platform, i), 0), -1);
	CU_ASSERT_TRUE(users_wait_ready(platform, START_MS));
	end_all();
}

/* Pattern: the lead hears nothing of its successor and goes on writing. */
static void
test_lead_is_replaced_unheard(void)
{
	start_all();
	users_set_run_ms(platform, 400);
	for (uint32_t round = 0; round < 4; round++) {
		int lead = users_lead(platform);

		submit_jobs(1 + round * 100, lead);
		users_blind(platform, (uint32_t)lead, true);
		process_pause(150);
		users_drop_lead(platform);
		CU_ASSERT_TRUE(users_wait_lead(platform, lead, TAKEOVER_MS));
		process_pause(600);
		users_blind(platform, (uint32_t)lead, false);
		expect_completed(
		    1 + round * 100, ((uint32_t)lead + 1) % USERS_INSTANCES);
	}
	for (uint32_t i = 0; i < USERS_INSTANCES; i++)
		CU_ASSERT_EQUAL(
		    process_wait(users_instance(platform, i), 0), -1);
	CU_ASSERT_TRUE(users_wait_ready(platform, START_MS));
	end_all();
}

/* Its callers are served through a peer. */
/* An instance that the store turns away right after its start has found no
 * peer there, but the others have found it. */
static void
test_store_turns_a_new_one_away(void)
{
	uint32_t refused = 0;

	platform = users_platform_start();
	CU_ASSERT_PTR_NOT_NULL_FATAL(platform);
	CU_ASSERT_TRUE_FATAL(users_start_instance(platform, 0));
	CU_ASSERT_TRUE_FATAL(users_wait_lead(platform, -1, START_MS));
	users_turn_away(platform, 0, true);
	for (uint32_t i = 1; i < USERS_INSTANCES; i++)
		CU_ASSERT_TRUE_FATAL(users_start_instance(platform, i));
	process_pause(1500);
	for (uint32_t i = 0; i < JOBS; i++)
		refused += users_submit(platform, 0, 1 + i, TASKS) != 200;
	CU_ASSERT_EQUAL_FATAL(refused, 0);
	expect_completed(1, 0);
	end_all();
}

static void
test_store_turns_one_away(void)
{
	start_all();
	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		uint32_t refused = 0;

		users_turn_away(platform, i, true);
		process_pause(1500);
		for (uint32_t j = 0; j < JOBS; j++)
			refused += users_submit(platform, i, 1 + i * 100 + j,
				       TASKS) != 200;
		CU_ASSERT_EQUAL(refused, 0);
		expect_completed(1 + i * 100, i);
		users_turn_away(platform, i, false);
		process_pause(600);
	}
	CU_ASSERT_EQUAL(users_starts(platform), USERS_INSTANCES * JOBS * TASKS);
	end_all();
}

/* What runs goes on; what can't be stored is refused, truly. */
static void
test_store_is_silent(void)
{
	uint32_t refused = 0;
	int64_t sent_ms;

	start_all();
	users_set_run_ms(platform, 6000);
	submit_jobs(1, -1);
	process_pause(500);
	users_store_silent(platform, true);
	process_pause(3500);
	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		sent_ms = clock_now_ms();
		refused += users_submit(platform, i, 200 + i, TASKS) == 503;
		CU_ASSERT_TRUE(clock_now_ms() - sent_ms < 1000);
	}
	CU_ASSERT_EQUAL(refused, USERS_INSTANCES);
	users_store_silent(platform, false);
	expect_completed(1, 0);
	CU_ASSERT_EQUAL(users_starts(platform), JOBS * TASKS);
	end_all();
}

static void
test_planned_stops(void)
{
	start_all();
	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		submit_jobs(1 + i * 100, -1);
		process_terminate(users_instance(platform, i));
		CU_ASSERT_EQUAL(
		    users_submit(platform, i, 90 + i * 100, TASKS), 200);
		CU_ASSERT_EQUAL(
		    process_wait(users_instance(platform, i), 6000), 0);
		CU_ASSERT_TRUE_FATAL(users_start_instance(platform, i));
		CU_ASSERT_TRUE(users_wait_ready(platform, START_MS));
		expect_completed(1 + i * 100, i);
	}
	/* Each lead handed over before it stopped. */
	CU_ASSERT_EQUAL(users_lead_gaps(platform), 0);
	end_all();
}

/* A number of the metrics text; -1 when it is not there. */
static long long
metric(const struct buffer *text, const char *name)
{
	const char *at = strstr(buffer_string(text), name);

	return at == NULL ? -1 : strtoll(at + strlen(name), NULL, 10);
}

/* A reader of the log that stops reading costs lines, not time. */
static void
test_log_is_not_read(void)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	int ends[2];

	platform = users_platform_start();
	CU_ASSERT_PTR_NOT_NULL_FATAL(platform);
	CU_ASSERT_EQUAL_FATAL(pipe2(ends, O_CLOEXEC), 0);
	(void)fcntl(ends[1], F_SETPIPE_SZ, 4096);
	for (uint32_t i = 0; i < USERS_INSTANCES; i++)
		CU_ASSERT_TRUE_FATAL(users_start_unread(platform, i, ends[1]));
	CU_ASSERT_TRUE_FATAL(users_wait_ready(platform, START_MS));
	CU_ASSERT_TRUE_FATAL(users_wait_lead(platform, -1, START_MS));
	submit_jobs(1, -1);
	expect_completed(1, 0);
	CU_ASSERT_EQUAL(users_ask(platform, (uint32_t)users_lead(platform),
			    "/metrics", &answer),
	    200);
	CU_ASSERT_TRUE(
	    metric(&answer, "ibis_log_lines_total{outcome=\"dropped\"} ") > 0);
	(void)close(ends[0]);
	(void)close(ends[1]);
	end_all();
}

static bool
says(const struct buffer *answer, const char *text)
{
	bool found = strstr(buffer_string(answer), text) != NULL;

	if (!found)
		(void)printf("no %s in %s\n", text, buffer_string(answer));
	return found;
}

/* Asks an instance until it says so. */
static bool
wait_until_says(uint32_t instance, const char *path, const char *text,
    struct buffer *answer)
{
	int64_t end_ms = clock_now_ms() + START_MS;

	while (clock_now_ms() < end_ms) {
		if (users_ask(platform, instance, path, answer) == 200 &&
		    strstr(buffer_string(answer), text) != NULL)
			return true;
		process_pause(20);
	}
	return says(answer, text);
}

/* Runs ibisctl against an instance; returns its exit code. */
static int
run_ibisctl(uint32_t instance, const char *group, const char *name,
    const char *argument)
{
	char address[64];
	const char *arguments[8] = {group};
	struct process process;
	size_t count = 1;
	int nowhere = open("/dev/null", O_WRONLY | O_CLOEXEC);
	bool started;

	if (name != NULL)
		arguments[count++] = name;
	users_internal_address(platform, instance, address, sizeof(address));
	arguments[count++] = "--server";
	arguments[count++] = address;
	arguments[count++] = "--retry-ms";
	arguments[count++] = "0";
	if (argument != NULL)
		arguments[count] = argument;
	started = process_start_unread(
	    &process, "ibisctl", arguments, "/dev/null", nowhere);
	(void)close(nowhere);
	return started ? process_wait(&process, START_MS) : -1;
}

static void
test_operator_asks(void)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	uint32_t lead;

	start_all();
	lead = (uint32_t)users_lead(platform);
	CU_ASSERT_TRUE_FATAL(
	    wait_until_says(lead, "/v1/status", "\"leading\": true", &answer));
	CU_ASSERT_TRUE(
	    wait_until_says(lead, "/v1/status", "\"workers\": 4", &answer));
	CU_ASSERT_TRUE(says(&answer, "\"store\": \"answers\""));
	users_set_run_ms(platform, 3000);
	submit_jobs(1, -1);
	CU_ASSERT_TRUE(wait_until_says(lead, "/v1/jobs/000000000000000c/waits",
	    "\"waits_for\": \"no room\"", &answer));
	CU_ASSERT_TRUE(wait_until_says((lead + 1) % USERS_INSTANCES,
	    "/v1/jobs/000000000000000c/waits", "\"leading\": false", &answer));
	CU_ASSERT_TRUE(says(&answer, "\"waits\": [ ]"));
	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		CU_ASSERT_EQUAL(run_ibisctl(i, "status", NULL, NULL), 0);
		CU_ASSERT_EQUAL(
		    run_ibisctl(i, "job", "why", "000000000000000c"), 0);
	}
	CU_ASSERT_EQUAL(run_ibisctl(0, "job", "why", "00000000000000ff"), 7);
	CU_ASSERT_EQUAL(run_ibisctl(0, "job", "why", "../x y"), 7);
	CU_ASSERT_EQUAL(users_ask(platform, lead,
			    "/v1/jobs/00000000000000ff/waits", &answer),
	    404);
	CU_ASSERT_TRUE(says(&answer, "no such job here"));
	CU_ASSERT_EQUAL(
	    users_ask(platform, lead, "/v1/jobs//waits", &answer), 404);
	CU_ASSERT_EQUAL(users_ask(platform, lead, "/nothing", &answer), 404);
	expect_completed(1, 0);
	end_all();
}

/* What other instances may send, damaged: each is refused, and all goes on. */
static void
test_damaged_calls_of_peers(void)
{
	static const char *const paths[] = {
	    "/hint", "/relay", "/succeed", "/hello"};
	static const char *const bodies[] = {
	    "", "{}", "\xff\xff\xff\xff", "\n\x7f-short"};
	CLEANUP(buffer_free) struct buffer answer = {0};

	start_all();
	for (size_t i = 0; i < COUNT_OF(paths); i++) {
		for (size_t j = 0; j < COUNT_OF(bodies); j++) {
			int status = users_tell(
			    platform, 0, paths[i], bodies[j], &answer);

			CU_ASSERT_TRUE(status == 400 || status == 409);
		}
	}
	CU_ASSERT_EQUAL(users_tell(platform, 0, "/none", "", &answer), 404);
	submit_jobs(1, -1);
	expect_completed(1, 0);
	end_all();
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"whole path", test_whole_path},
	    {"lead dies", test_lead_dies},
	    {"lead freezes and wakes", test_lead_freezes_and_wakes},
	    {"lead is replaced unheard", test_lead_is_replaced_unheard},
	    {"store turns one away", test_store_turns_one_away},
	    {"store turns a new one away", test_store_turns_a_new_one_away},
	    {"store is silent", test_store_is_silent},
	    {"planned stops", test_planned_stops},
	    {"log is not read", test_log_is_not_read},
	    {"operator asks", test_operator_asks},
	    {"damaged calls of peers", test_damaged_calls_of_peers},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("users_platform", tests);
}
