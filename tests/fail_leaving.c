/*
 * Guards against new work for an endpoint that is leaving: it reports so itself
 * while it holds reservations, the platform's list, which lags, reports it, or
 * its entry in that list flaps between leaving and live. From 3 s after the
 * report it must get no work until it is live again.
 */
#include <stdio.h>

#include "common_cunit.h"
#include "common_failure.h"
#include "common_jobs.h"
#include "process/alloc.h"
#include "process/clock.h"

#define INSTANCES	 3
#define SEED		 20261203
#define LIST_LAG_MS	 1000
#define LEAVING_BOUND_MS 3000
#define OBSERVATION_MS	 3000
#define JOBS		 400
#define RUN_MS		 400
#define EVENT_TIMEOUT_MS 20000
#define FLAPS		 8
#define FLAP_INTERVAL_MS 300
#define PATH_BYTES	 128

static struct deployment deployment;

static const char *const leaving_workers[] = {"a2", "b2", "c2"};

static void
start_deployment(void)
{
	struct deployment_config config = {
	    .document_path = deployment_source_path("tests/data/site.jsonc"),
	    .instances = INSTANCES,
	    .time_scale = 1,
	    .seed = SEED,
	    .list_lag_ms = LIST_LAG_MS,
	};

	CU_ASSERT_TRUE_FATAL(deployment_start(&deployment, &config));
}

/* Submits more jobs than the workers can run at once, so that each worker gets
 * some. */
static void
start_traffic(struct traffic *traffic, const char *prefix)
{
	struct load_kind *kind;

	traffic_init(traffic, &deployment, prefix, JOBS, 0);
	kind = traffic_add_kind(traffic, "one", "plan", RUN_MS);
	kind->accelerators_per_task = 8;
	kind->idempotent = true;
	kind->checkpointable = true;
	CU_ASSERT_TRUE_FATAL(traffic_start(traffic));
}

/* Context of S_has_work: the worker must start a task at from_ms or later. */
struct work_wait {
	const char *worker;
	int64_t from_ms;
};

static bool
S_has_work(void *context)
{
	CLEANUP(log_free) struct log log = {0};
	const struct work_wait *wait = context;

	return log_read(&log, deployment.workers_log) &&
	    log_events_at(
		&log, "start", wait->worker, wait->from_ms, INT64_MAX) > 0;
}

/* Waits until each leaving worker has started a task after from_ms. */
static void
wait_for_work(int64_t from_ms)
{
	for (size_t i = 0; i < COUNT_OF(leaving_workers); i++) {
		struct work_wait wait = {leaving_workers[i], from_ms};

		CU_ASSERT_TRUE(
		    deployment_wait(S_has_work, &wait, EVENT_TIMEOUT_MS));
	}
}

static void
check_no_new_work(const struct log *log, const char *worker, int64_t leaving_ms,
    int64_t to_ms)
{
	int64_t from_ms = leaving_ms + LEAVING_BOUND_MS;

	CU_ASSERT_EQUAL(
	    log_events_at(log, "reserve", worker, from_ms, to_ms), 0);
	CU_ASSERT_EQUAL(
	    log_events_at(log, "refuse", worker, from_ms, to_ms), 0);
	CU_ASSERT_EQUAL(log_events_at(log, "stage", worker, from_ms, to_ms), 0);
	CU_ASSERT_EQUAL(log_events_at(log, "start", worker, from_ms, to_ms), 0);
	CU_ASSERT_EQUAL(
	    log_events_at(log, "resume", worker, from_ms, to_ms), 0);
}

/* Checks that other workers got work meanwhile: there was work to place. */
static void
check_others_worked(const struct log *log, int64_t from_ms, int64_t to_ms)
{
	CU_ASSERT(log_events_at(log, "start", "a1", from_ms, to_ms) > 0);
	CU_ASSERT(log_events_at(log, "start", "b1", from_ms, to_ms) > 0);
}

static void
wait_until(int64_t time_ms)
{
	while (clock_now_ms() < time_ms)
		process_sleep(10);
}

static void
check_leaving_workers(int64_t leaving_ms, int64_t live_ms)
{
	CLEANUP(log_free) struct log log = {0};

	CU_ASSERT_TRUE_FATAL(log_read(&log, deployment.workers_log));
	for (size_t i = 0; i < COUNT_OF(leaving_workers); i++)
		check_no_new_work(
		    &log, leaving_workers[i], leaving_ms, live_ms);
	check_others_worked(&log, leaving_ms + LEAVING_BOUND_MS, live_ms);
}

static void
fault_leaving_workers(const char *body)
{
	for (size_t i = 0; i < COUNT_OF(leaving_workers); i++)
		CU_ASSERT_TRUE(deployment_set_worker_fault(
		    &deployment, leaving_workers[i], body));
}

static void
test_reported_while_reserved(void)
{
	struct traffic traffic;
	int64_t leaving_ms;
	int64_t live_ms;

	start_deployment();
	start_traffic(&traffic, "says-so");
	wait_for_work(0);
	fault_leaving_workers("{\"mode\": \"leaving\", \"on\": \"reserve\", "
			      "\"after\": 1}");
	CU_ASSERT_TRUE(deployment_wait_events(deployment.workers_log, "fault",
	    COUNT_OF(leaving_workers), EVENT_TIMEOUT_MS));
	leaving_ms = clock_now_ms();
	wait_until(leaving_ms + LEAVING_BOUND_MS + OBSERVATION_MS);
	live_ms = clock_now_ms();
	fault_leaving_workers("{\"mode\": \"none\"}");
	wait_for_work(live_ms);
	check_leaving_workers(leaving_ms, live_ms);
	failure_check_traffic(&traffic, 0);
	failure_stop(&deployment);
}

/* Sets a worker's state in the platform's list. */
static void
put_list_entry(const char *worker, const char *state)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	CLEANUP(buffer_free) struct buffer body = {0};
	const char *address = deployment.platform_address;
	struct client_config config = {
	    .servers = &address,
	    .servers_count = 1,
	    .call_timeout_ms = EVENT_TIMEOUT_MS,
	};
	struct client *client = client_new(&config);
	char path[PATH_BYTES];
	struct client_call call = {.method = "PUT", .path = path};
	struct ibis_status status = {0};

	(void)snprintf(path, sizeof(path), "/admin/workers/%s", worker);
	buffer_printf(&body,
	    "{\"address\": \"%s/workers/%s\", \"state\": \"%s\"}",
	    deployment.workers_address, worker, state);
	call.body = body.data;
	CU_ASSERT_EQUAL(client_send(client, &call, &answer, &status), IBIS_OK);
	client_free(client);
}

static void
put_list_entries(const char *state)
{
	for (size_t i = 0; i < COUNT_OF(leaving_workers); i++)
		put_list_entry(leaving_workers[i], state);
}

/* Lists the workers as leaving, after some changes between leaving and live. */
static void
check_listed_as_leaving(const char *prefix, uint32_t flaps)
{
	struct traffic traffic;
	int64_t leaving_ms;
	int64_t live_ms;

	start_deployment();
	start_traffic(&traffic, prefix);
	wait_for_work(0);
	for (uint32_t i = 0; i < flaps; i++) {
		put_list_entries(i % 2 == 0 ? "leaving" : "live");
		wait_until(clock_now_ms() + FLAP_INTERVAL_MS);
	}
	put_list_entries("leaving");
	leaving_ms = clock_now_ms();
	wait_until(leaving_ms + LEAVING_BOUND_MS + OBSERVATION_MS);
	live_ms = clock_now_ms();
	put_list_entries("live");
	wait_for_work(live_ms);
	check_leaving_workers(leaving_ms, live_ms);
	failure_check_traffic(&traffic, 0);
	failure_stop(&deployment);
}

static void
test_lagging_list(void)
{
	check_listed_as_leaving("list", 0);
}

static void
test_flapping_list_entry(void)
{
	check_listed_as_leaving("flaps", FLAPS);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"says so while it holds reservations",
		test_reported_while_reserved},
	    {"the lagging list says so", test_lagging_list},
	    {"the list's entry flaps", test_flapping_list_entry},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("leaving", tests);
}
