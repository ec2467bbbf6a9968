/*
 * Runs real instances on the fake platform: jobs from submission to completion;
 * a lead that is killed, frozen or replaced; a store that rejects one instance
 * or doesn't answer; planned stops; a blocked log; operators' queries; and
 * damaged calls from peers. After each test no task may have run twice.
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
	CU_ASSERT_TRUE_FATAL(users_start_all(platform));
}

static void
check_and_stop(void)
{
	CU_ASSERT_EQUAL(users_duplicate_starts(platform), 0);
	users_platform_stop(platform);
}

/* Submits jobs to all instances but one; -1 excludes none. */
static void
submit_jobs(uint32_t first, int excluded)
{
	for (uint32_t i = 0; i < JOBS; i++) {
		uint32_t instance = i % USERS_INSTANCES;

		if ((int)instance == excluded)
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
test_submit_to_completion(void)
{
	CLEANUP(buffer_free) struct buffer answer = {0};

	start_all();
	submit_jobs(1, -1);
	expect_completed(1, 1);
	CU_ASSERT_EQUAL(users_started_runs(platform), JOBS * TASKS);
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
	/* A job on a route whose starts need tickets of the advice service
	 * has to be refused, not accepted and lost. */
	CU_ASSERT_EQUAL(
	    users_call(platform, 0, "POST", "/advised/00000000000000fd",
		"{\"Spec\":\"x\",\"Steps\":[{\"Count\":1,\"Cpu\":100}]}",
		&answer),
	    503);
	check_and_stop();
}

/* Guards against a job that is accepted and can't go on, since the record of
 * its progress would be longer than the store accepts. */
static void
test_job_with_too_many_tasks_is_refused(void)
{
	start_all();
	CU_ASSERT_EQUAL(users_submit(platform, 0, 1, 16385), 400);
	CU_ASSERT_EQUAL(users_submit(platform, 0, 2, 16384), 200);
	check_and_stop();
}

static void
test_lead_killed(void)
{
	int lead;

	start_all();
	users_set_run_ms(platform, 2000);
	submit_jobs(1, -1);
	lead = users_lead_index(platform);
	process_kill(users_instance(platform, (uint32_t)lead));
	CU_ASSERT_TRUE(users_wait_lead(platform, lead, TAKEOVER_MS));
	submit_jobs(100, lead);
	expect_completed(1, ((uint32_t)lead + 1) % USERS_INSTANCES);
	expect_completed(100, ((uint32_t)lead + 1) % USERS_INSTANCES);
	CU_ASSERT_EQUAL(users_started_runs(platform), 2 * JOBS * TASKS);
	check_and_stop();
}

/* Calls meant for the previous incarnations of workers are carried out by the
 * new ones when the lead doesn't raise its token, or steps down when it does.
 */
static void
test_workers_restarted(void)
{
	int lead;

	start_all();
	users_set_run_ms(platform, 1500);
	submit_jobs(1, -1);
	lead = users_lead_index(platform);
	process_sleep(500);
	users_restart_workers(platform);
	expect_completed(1, 0);
	CU_ASSERT_TRUE(users_workers_fenced(platform));
	CU_ASSERT_EQUAL(users_lead_index(platform), lead);
	CU_ASSERT_EQUAL(users_lead_key_deletions(platform), 0);
	check_and_stop();
}

/* A frozen lead is replaced. When it resumes, it finds a later epoch in the
 * store and has to step down instead of ordering starts. */
static void
test_lead_frozen_and_resumed(void)
{
	int lead;

	start_all();
	users_set_run_ms(platform, 1000);
	for (uint32_t round = 0; round < 3; round++) {
		lead = users_lead_index(platform);
		submit_jobs(1 + round * 100, -1);
		process_freeze(users_instance(platform, (uint32_t)lead));
		CU_ASSERT_TRUE(users_wait_lead(platform, lead, TAKEOVER_MS));
		process_resume(users_instance(platform, (uint32_t)lead));
		expect_completed(1 + round * 100, (uint32_t)lead);
	}
	for (uint32_t i = 0; i < USERS_INSTANCES; i++)
		CU_ASSERT_EQUAL(
		    process_wait(users_instance(platform, i), 0), -1);
	CU_ASSERT_TRUE(users_wait_ready(platform, START_MS));
	check_and_stop();
}

/* A lead whose lease was revoked and whose watches return no events does not
 * learn of its successor and goes on writing; its writes must not take effect.
 */
static void
test_lead_replaced_unnoticed(void)
{
	start_all();
	users_set_run_ms(platform, 400);
	for (uint32_t round = 0; round < 4; round++) {
		int lead = users_lead_index(platform);

		submit_jobs(1 + round * 100, lead);
		users_suppress_events(platform, (uint32_t)lead, true);
		process_sleep(150);
		users_revoke_lead_lease(platform);
		CU_ASSERT_TRUE(users_wait_lead(platform, lead, TAKEOVER_MS));
		process_sleep(600);
		users_suppress_events(platform, (uint32_t)lead, false);
		expect_completed(
		    1 + round * 100, ((uint32_t)lead + 1) % USERS_INSTANCES);
	}
	for (uint32_t i = 0; i < USERS_INSTANCES; i++)
		CU_ASSERT_EQUAL(
		    process_wait(users_instance(platform, i), 0), -1);
	CU_ASSERT_TRUE(users_wait_ready(platform, START_MS));
	check_and_stop();
}

/* An instance that the store rejects right after its start has found no peer in
 * the store, but the peers that start later find it and relay its calls. */
static void
test_store_rejects_new_instance(void)
{
	uint32_t refused = 0;

	platform = users_platform_start();
	CU_ASSERT_PTR_NOT_NULL_FATAL(platform);
	CU_ASSERT_TRUE_FATAL(users_start_instance(platform, 0));
	CU_ASSERT_TRUE_FATAL(users_wait_lead(platform, -1, START_MS));
	users_store_reject(platform, 0, true);
	for (uint32_t i = 1; i < USERS_INSTANCES; i++)
		CU_ASSERT_TRUE_FATAL(users_start_instance(platform, i));
	process_sleep(1500);
	for (uint32_t i = 0; i < JOBS; i++)
		refused += users_submit(platform, 0, 1 + i, TASKS) != 200;
	CU_ASSERT_EQUAL_FATAL(refused, 0);
	expect_completed(1, 0);
	check_and_stop();
}

/* The same for an instance that was frozen while its peers sent their hellos.
 */
static void
test_store_rejects_instance_that_missed_hellos(void)
{
	uint32_t refused = 0;

	platform = users_platform_start();
	CU_ASSERT_PTR_NOT_NULL_FATAL(platform);
	CU_ASSERT_TRUE_FATAL(users_start_instance(platform, 0));
	CU_ASSERT_TRUE_FATAL(users_wait_lead(platform, -1, START_MS));
	users_store_reject(platform, 0, true);
	process_freeze(users_instance(platform, 0));
	for (uint32_t i = 1; i < USERS_INSTANCES; i++)
		CU_ASSERT_TRUE_FATAL(users_start_instance(platform, i));
	process_sleep(1500);
	process_resume(users_instance(platform, 0));
	process_sleep(3000);
	for (uint32_t i = 0; i < JOBS; i++)
		refused += users_submit(platform, 0, 1 + i, TASKS) != 200;
	CU_ASSERT_EQUAL_FATAL(refused, 0);
	expect_completed(1, 1);
	check_and_stop();
}

/* Callers of an instance that the store rejects are served through a peer. */
static void
test_store_rejects_instance(void)
{
	start_all();
	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		uint32_t refused = 0;

		users_store_reject(platform, i, true);
		process_sleep(1500);
		for (uint32_t j = 0; j < JOBS; j++)
			refused += users_submit(platform, i, 1 + i * 100 + j,
				       TASKS) != 200;
		CU_ASSERT_EQUAL(refused, 0);
		expect_completed(1 + i * 100, i);
		users_store_reject(platform, i, false);
		process_sleep(600);
	}
	CU_ASSERT_EQUAL(
	    users_started_runs(platform), USERS_INSTANCES * JOBS * TASKS);
	check_and_stop();
}

/* While the store hangs, running jobs continue, and a job that can't be stored
 * is refused within 1 s and not run later. */
static void
test_store_hangs(void)
{
	uint32_t refused = 0;
	int64_t sent_ms;

	start_all();
	users_set_run_ms(platform, 6000);
	submit_jobs(1, -1);
	process_sleep(500);
	users_store_hang(platform, true);
	process_sleep(3500);
	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		sent_ms = clock_now_ms();
		refused += users_submit(platform, i, 200 + i, TASKS) == 503;
		CU_ASSERT_TRUE(clock_now_ms() - sent_ms < 1000);
	}
	CU_ASSERT_EQUAL(refused, USERS_INSTANCES);
	users_store_hang(platform, false);
	expect_completed(1, 0);
	CU_ASSERT_EQUAL(users_started_runs(platform), JOBS * TASKS);
	check_and_stop();
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
	/* Each lead handed its lease over before it stopped. */
	CU_ASSERT_EQUAL(users_lead_key_deletions(platform), 0);
	check_and_stop();
}

/* Returns a value from the metrics text, -1 when the metric is absent. */
static long long
metric(const struct buffer *text, const char *name)
{
	const char *at = strstr(buffer_string(text), name);

	return at == NULL ? -1 : strtoll(at + strlen(name), NULL, 10);
}

/* When nobody reads the log, lines are dropped, and jobs are not delayed. */
static void
test_log_blocked(void)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	int pipe_fds[2];

	platform = users_platform_start();
	CU_ASSERT_PTR_NOT_NULL_FATAL(platform);
	CU_ASSERT_EQUAL_FATAL(pipe2(pipe_fds, O_CLOEXEC), 0);
	(void)fcntl(pipe_fds[1], F_SETPIPE_SZ, 4096);
	for (uint32_t i = 0; i < USERS_INSTANCES; i++)
		CU_ASSERT_TRUE_FATAL(
		    users_start_with_output(platform, i, pipe_fds[1]));
	CU_ASSERT_TRUE_FATAL(users_wait_ready(platform, START_MS));
	CU_ASSERT_TRUE_FATAL(users_wait_lead(platform, -1, START_MS));
	submit_jobs(1, -1);
	expect_completed(1, 0);
	CU_ASSERT_EQUAL(
	    users_get_internal(platform, (uint32_t)users_lead_index(platform),
		"/metrics", &answer),
	    200);
	CU_ASSERT_TRUE(
	    metric(&answer, "ibis_log_lines_total{outcome=\"dropped\"} ") > 0);
	(void)close(pipe_fds[0]);
	(void)close(pipe_fds[1]);
	check_and_stop();
}

static bool
contains(const struct buffer *answer, const char *text)
{
	bool found = strstr(buffer_string(answer), text) != NULL;

	if (!found)
		(void)printf("no %s in %s\n", text, buffer_string(answer));
	return found;
}

/* Polls an instance until its answer contains a text. */
static bool
wait_until_contains(uint32_t instance, const char *path, const char *text,
    struct buffer *answer)
{
	int64_t end_ms = clock_now_ms() + START_MS;

	while (clock_now_ms() < end_ms) {
		if (users_get_internal(platform, instance, path, answer) ==
			200 &&
		    strstr(buffer_string(answer), text) != NULL)
			return true;
		process_sleep(20);
	}
	return contains(answer, text);
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
	int dev_null = open("/dev/null", O_WRONLY | O_CLOEXEC);
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
	started = process_start_no_wait(
	    &process, "ibisctl", arguments, "/dev/null", dev_null);
	(void)close(dev_null);
	return started ? process_wait(&process, START_MS) : -1;
}

/* Runs ibisctl as above; returns whether it exits with the expected code. */
static bool
ibisctl_exits_with(int expected, uint32_t instance, const char *group,
    const char *name, const char *argument)
{
	int code = run_ibisctl(instance, group, name, argument);

	if (code != expected)
		(void)printf("instance %u: ibisctl %s exits with %d\n",
		    (unsigned int)instance, group, code);
	return code == expected;
}

static void
test_operator_queries(void)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	uint32_t lead;

	start_all();
	lead = (uint32_t)users_lead_index(platform);
	CU_ASSERT_TRUE_FATAL(wait_until_contains(
	    lead, "/v1/status", "\"leading\": true", &answer));
	CU_ASSERT_TRUE(
	    wait_until_contains(lead, "/v1/status", "\"workers\": 4", &answer));
	CU_ASSERT_TRUE(contains(&answer, "\"store\": \"answers\""));
	users_set_run_ms(platform, 3000);
	submit_jobs(1, -1);
	CU_ASSERT_TRUE(
	    wait_until_contains(lead, "/v1/jobs/000000000000000c/waits",
		"\"waits_for\": \"no room\"", &answer));
	/* Each instance answers from its own copy of the records. */
	for (uint32_t i = 1; i < USERS_INSTANCES; i++) {
		CU_ASSERT_TRUE(wait_until_contains((lead + i) % USERS_INSTANCES,
		    "/v1/jobs/000000000000000c/waits", "\"leading\": false",
		    &answer));
		CU_ASSERT_TRUE(contains(&answer, "\"waits\": [ ]"));
	}
	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		CU_ASSERT_TRUE(ibisctl_exits_with(0, i, "status", NULL, NULL));
		CU_ASSERT_TRUE(
		    ibisctl_exits_with(0, i, "job", "why", "000000000000000c"));
	}
	CU_ASSERT_TRUE(
	    ibisctl_exits_with(7, 0, "job", "why", "00000000000000ff"));
	CU_ASSERT_TRUE(ibisctl_exits_with(7, 0, "job", "why", "../x y"));
	CU_ASSERT_EQUAL(users_get_internal(platform, lead,
			    "/v1/jobs/00000000000000ff/waits", &answer),
	    404);
	CU_ASSERT_TRUE(contains(&answer, "no such job here"));
	CU_ASSERT_EQUAL(
	    users_get_internal(platform, lead, "/v1/jobs//waits", &answer),
	    404);
	CU_ASSERT_EQUAL(
	    users_get_internal(platform, lead, "/nothing", &answer), 404);
	expect_completed(1, 0);
	check_and_stop();
}

/* Damaged messages to the paths for other instances are refused, and the
 * instance still serves callers. */
static void
test_damaged_peer_calls(void)
{
	static const char *const paths[] = {
	    "/hint", "/relay", "/succeed", "/hello"};
	static const char *const bodies[] = {
	    "", "{}", "\xff\xff\xff\xff", "\n\x7f-short"};
	CLEANUP(buffer_free) struct buffer answer = {0};

	start_all();
	for (size_t i = 0; i < COUNT_OF(paths); i++) {
		for (size_t j = 0; j < COUNT_OF(bodies); j++) {
			int status = users_post_internal(
			    platform, 0, paths[i], bodies[j], &answer);

			CU_ASSERT_TRUE(status == 400 || status == 409);
		}
	}
	CU_ASSERT_EQUAL(
	    users_post_internal(platform, 0, "/none", "", &answer), 404);
	submit_jobs(1, -1);
	expect_completed(1, 0);
	check_and_stop();
}

/* Guards against settings that are never applied: the file may change without a
 * signal, and may be read while it is being written. */
static void
test_settings_change_without_signal(void)
{
	CLEANUP(buffer_free) struct buffer answer = {0};

	start_all();
	CU_ASSERT_TRUE(wait_until_contains(
	    0, "/v1/status", "\"config_limit_ms\": 3000", &answer));
	users_change_settings(platform, 0, 1500);
	CU_ASSERT_TRUE(wait_until_contains(
	    0, "/v1/status", "\"config_limit_ms\": 1500", &answer));
	submit_jobs(1, -1);
	expect_completed(1, 0);
	check_and_stop();
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"submit to completion", test_submit_to_completion},
	    {"job with too many tasks is refused",
		test_job_with_too_many_tasks_is_refused},
	    {"lead killed", test_lead_killed},
	    {"workers restarted", test_workers_restarted},
	    {"lead frozen and resumed", test_lead_frozen_and_resumed},
	    {"lead replaced unnoticed", test_lead_replaced_unnoticed},
	    {"store rejects an instance", test_store_rejects_instance},
	    {"store rejects a new instance", test_store_rejects_new_instance},
	    {"store rejects an instance that missed hellos",
		test_store_rejects_instance_that_missed_hellos},
	    {"store hangs", test_store_hangs},
	    {"planned stops", test_planned_stops},
	    {"log blocked", test_log_blocked},
	    {"operator queries", test_operator_queries},
	    {"damaged peer calls", test_damaged_peer_calls},
	    {"settings change without a signal",
		test_settings_change_without_signal},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("users_platform", tests);
}
