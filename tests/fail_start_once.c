/*
 * Guards against a job that is not idempotent but runs twice: its key is
 * submitted at two instances at once, or again after the job's end; the lead is
 * killed around a swap, stage or start, or paused beyond its lease; answers to
 * swaps are lost, so that the lead can't tell whether they were applied.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "common_cunit.h"
#include "common_failure.h"
#include "process/alloc.h"

#define INSTANCES	   3
#define KEYS		   24
#define TIME_SCALE	   2
#define LEAD_TIMEOUT_MS	   10000
#define TRAFFIC_TIMEOUT_MS 25000
#define RETRY_TIMEOUT_MS   15000
#define TRAFFIC_JOBS	   40
#define TRAFFIC_CALLERS	   20
#define RUN_MS		   600
#define JOBS_PER_S	   40
/* Non-idempotent jobs whose start may coincide with a crash. */
#define MAX_UNFINISHED_JOBS 8
#define SEED		    20261203

/* One of two concurrent requests with the same key. */
struct same_key_request {
	struct deployment *deployment;
	uint32_t instance;
	const char *key;
	char id[JOB_ID_BYTES];
	char outcome[JOB_NAME_BYTES];
	pthread_t thread;
};

static void *
S_submit_key(void *argument)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	struct same_key_request *request = argument;
	struct ibis_status status = {0};
	struct client_call call = {
	    .method = "POST",
	    .path = "/v1/jobs?wait_ms=6000",
	    .idempotency_key = request->key,
	    .body = "{\"workspace\": \"one\", \"class\": \"plan\", "
		    "\"tasks\": 2, \"accelerators_per_task\": 1, "
		    "\"run_time_ms\": 100, \"payload\": \"once\"}",
	};

	if (deployment_send(request->deployment, request->instance, &call,
		&answer, &status) != IBIS_OK) {
		STRING_COPY(request->outcome, status.message);
		return NULL;
	}
	STRING_COPY(request->id, client_string(answer.json, "job", ""));
	STRING_COPY(
	    request->outcome, client_string(answer.json, "outcome", ""));
	return NULL;
}

/* Submits one key at two instances at once; both must get the same job. */
static void
check_same_key(struct deployment *deployment, uint32_t number)
{
	struct same_key_request requests[2];
	char key[JOB_NAME_BYTES];

	(void)snprintf(key, sizeof(key), "rival-%u", (unsigned int)number);
	for (uint32_t i = 0; i < COUNT_OF(requests); i++) {
		requests[i] = (struct same_key_request){
		    .deployment = deployment,
		    .instance = (number + i) % deployment->count,
		    .key = key,
		};
		CU_ASSERT_EQUAL_FATAL(pthread_create(&requests[i].thread, NULL,
					  S_submit_key, &requests[i]),
		    0);
	}
	for (uint32_t i = 0; i < COUNT_OF(requests); i++)
		(void)pthread_join(requests[i].thread, NULL);
	CU_ASSERT_STRING_EQUAL(requests[0].outcome, "finished");
	CU_ASSERT_STRING_EQUAL(requests[1].outcome, "finished");
	CU_ASSERT_STRING_EQUAL(requests[0].id, requests[1].id);
}

static void
test_same_key_at_two_instances(void)
{
	CLEANUP(log_free) struct log log = {0};
	struct deployment deployment;

	failure_start(&deployment, INSTANCES, TIME_SCALE, SEED);
	for (uint32_t i = 0; i < KEYS; i++)
		check_same_key(&deployment, i);
	CU_ASSERT_TRUE_FATAL(log_read(&log, deployment.workers_log));
	CU_ASSERT_EQUAL(log_jobs_run_twice(&log, NULL), 0);
	failure_stop(&deployment);
}

static void
fill_traffic(struct traffic *traffic, struct deployment *deployment)
{
	struct load_kind *gang;

	*traffic = (struct traffic){
	    .deployment = deployment,
	    .mix = {.jobs = TRAFFIC_JOBS,
		.jobs_per_s = JOBS_PER_S,
		.seed = SEED,
		.key_prefix = "once"},
	    .callers = TRAFFIC_CALLERS,
	    .retry_ms = RETRY_TIMEOUT_MS,
	    .max_run_ms = TRAFFIC_TIMEOUT_MS,
	};
	(void)traffic_add_kind(traffic, "one", "plan", RUN_MS);
	gang = traffic_add_kind(traffic, "two", "plan", RUN_MS);
	gang->tasks = 3;
	gang->accelerators_per_task = 2;
}

/* Kills the lead at a point and waits until another leads. */
static void
check_lead_killed_at(const struct kill_point *point)
{
	struct deployment deployment;
	struct traffic traffic;
	int lead;

	failure_start(&deployment, INSTANCES, TIME_SCALE, SEED);
	fill_traffic(&traffic, &deployment);
	lead = deployment_lead(&deployment);
	CU_ASSERT_TRUE_FATAL(lead >= 0);
	CU_ASSERT_TRUE_FATAL(traffic_start(&traffic));
	failure_wait_kill_point(&deployment, point);
	deployment_kill(&deployment, (uint32_t)lead);
	CU_ASSERT_TRUE(
	    deployment_wait_lead(&deployment, lead, LEAD_TIMEOUT_MS) >= 0);
	failure_check_traffic(&traffic, MAX_UNFINISHED_JOBS);
	failure_stop(&deployment);
}

static void
test_lead_killed_at_swap(void)
{
	check_lead_killed_at(
	    &(struct kill_point){.event = "swap", .count = 30});
}

static void
test_lead_killed_at_stage(void)
{
	check_lead_killed_at(
	    &(struct kill_point){.event = "stage", .count = 9});
}

static void
test_lead_killed_at_start(void)
{
	check_lead_killed_at(
	    &(struct kill_point){.event = "start", .count = 14});
}

/* Freezes the lead until its leases have expired and another leads, then
 * resumes it. */
static void
test_lead_paused_beyond_lease(void)
{
	struct deployment deployment;
	struct traffic traffic;
	int lead;

	failure_start(&deployment, INSTANCES, TIME_SCALE, SEED);
	fill_traffic(&traffic, &deployment);
	lead = deployment_lead(&deployment);
	CU_ASSERT_TRUE_FATAL(lead >= 0);
	CU_ASSERT_TRUE_FATAL(traffic_start(&traffic));
	failure_wait_kill_point(
	    &deployment, &(struct kill_point){.event = "stage", .count = 9});
	process_freeze(&deployment.instances[lead].process);
	CU_ASSERT_TRUE(
	    deployment_wait_lead(&deployment, lead, LEAD_TIMEOUT_MS) >= 0);
	process_resume(&deployment.instances[lead].process);
	failure_check_traffic(&traffic, MAX_UNFINISHED_JOBS);
	failure_stop(&deployment);
}

/* Submits a job under one fixed key. Returns the status code; outcome gets the
 * answer's outcome, "" when it has none. */
static enum ibis_code
submit_again(struct deployment *deployment, uint32_t instance,
    const char *payload, char outcome[JOB_NAME_BYTES])
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	CLEANUP(buffer_free) struct buffer body = {0};
	struct ibis_status status = {0};
	struct client_call call = {
	    .method = "POST",
	    .path = "/v1/jobs?wait_ms=6000",
	    .idempotency_key = "again",
	};
	enum ibis_code code;

	buffer_printf(&body,
	    "{\"workspace\": \"one\", \"class\": \"plan\", \"tasks\": 2, "
	    "\"accelerators_per_task\": 1, \"run_time_ms\": 100, "
	    "\"payload\": \"%s\"}",
	    payload);
	call.body = body.data;
	code = deployment_send(deployment, instance, &call, &answer, &status);
	string_copy(
	    outcome, JOB_NAME_BYTES, client_string(answer.json, "outcome", ""));
	return code;
}

/* A key whose job has ended gets the same outcome again, also from the next
 * lead, and a conflict with another payload. */
static void
test_key_again_after_end(void)
{
	CLEANUP(log_free) struct log log = {0};
	struct deployment deployment;
	char outcome[JOB_NAME_BYTES];
	char id[JOB_ID_BYTES];
	int lead;

	failure_start(&deployment, INSTANCES, TIME_SCALE, SEED);
	CU_ASSERT_EQUAL(submit_again(&deployment, 0, "a", outcome), IBIS_OK);
	CU_ASSERT_STRING_EQUAL(outcome, "finished");
	CU_ASSERT_EQUAL(submit_again(&deployment, 1, "a", outcome), IBIS_OK);
	CU_ASSERT_STRING_EQUAL(outcome, "finished");
	lead = deployment_lead(&deployment);
	CU_ASSERT_TRUE_FATAL(lead >= 0);
	deployment_kill(&deployment, (uint32_t)lead);
	lead = deployment_wait_lead(&deployment, lead, LEAD_TIMEOUT_MS);
	CU_ASSERT_TRUE_FATAL(lead >= 0);
	CU_ASSERT_EQUAL(
	    submit_again(&deployment, (uint32_t)lead, "a", outcome), IBIS_OK);
	CU_ASSERT_STRING_EQUAL(outcome, "finished");
	CU_ASSERT_EQUAL(submit_again(&deployment, (uint32_t)lead, "b", outcome),
	    IBIS_CONFLICT);
	job_id_format(job_id_from_key("one", "again"), id);
	CU_ASSERT_TRUE_FATAL(log_read(&log, deployment.workers_log));
	CU_ASSERT_EQUAL(log_starts(&log, id), 2);
	failure_stop(&deployment);
}

static void
test_swap_answers_lost(void)
{
	struct deployment deployment;
	struct traffic traffic;

	failure_start(&deployment, INSTANCES, TIME_SCALE, SEED);
	fill_traffic(&traffic, &deployment);
	CU_ASSERT_TRUE_FATAL(traffic_start(&traffic));
	for (size_t starts = 4; starts <= 20; starts += 4) {
		failure_wait_kill_point(&deployment,
		    &(struct kill_point){.event = "start", .count = starts});
		CU_ASSERT_TRUE(deployment_set_platform_fault(&deployment,
		    "{\"mode\": \"lose_next\", \"count\": 2, "
		    "\"key_prefix\": \"pool/main/segments/\"}"));
	}
	failure_check_traffic(&traffic, 0);
	failure_stop(&deployment);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"same key at two instances", test_same_key_at_two_instances},
	    {"lead killed at a swap", test_lead_killed_at_swap},
	    {"lead killed at a stage", test_lead_killed_at_stage},
	    {"lead killed at a start", test_lead_killed_at_start},
	    {"lead paused beyond its lease", test_lead_paused_beyond_lease},
	    {"key again after the end", test_key_again_after_end},
	    {"swap answers lost", test_swap_answers_lost},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("start once", tests);
}
