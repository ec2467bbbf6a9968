#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "common/fake_server.h"
#include "common_cunit.h"
#include "connection/worker_client.h"
#include "process/alloc.h"
#include "process/clock.h"

#define TIMEOUT_MS	  1000
#define RESULT_TIMEOUT_MS 5000
#define MAX_CALL_MS	  800
#define HANG_MS		  4000
#define SILENT_WORKERS	  40
#define ADDRESS_BYTES	  128
#define ANSWER_HASH	  "1ffd3f32c954e628"

struct workers {
	atomic_bool stopping;
	atomic_bool silent; /* workers named s* respond after HANG_MS */
	atomic_uint fetches;
	atomic_bool truncate_fetches;
};

struct fixture {
	struct workers workers;
	struct fake_server *server;
	struct event_queue *events;
	struct worker_client *client;
};

static void
report(const char *worker, const char *answer, struct buffer *body)
{
	buffer_printf(body,
	    "{\"worker\": \"%s\", \"incarnation\": 7, \"leaving\": false, "
	    "\"accelerators\": 8, \"free_accelerators\": 6, \"tasks\": ["
	    "{\"task\": \"j.1.0\", \"state\": \"done\", \"started\": true, "
	    "\"run_ms\": 5, \"used_share\": 0.5, \"answer\": \"%s\", "
	    "\"answer_length\": 5, \"answer_hash\": \"%s\", "
	    "\"checkpoint\": null, \"message\": \"\"}]}",
	    worker, answer, ANSWER_HASH);
}

static void
S_handle(
    void *context, const struct fake_request *request, struct fake_reply *reply)
{
	struct workers *workers = context;
	char name[ADDRESS_BYTES];

	STRING_COPY(name, request->path + 1);
	name[strcspn(name, "/")] = '\0';
	if (strcmp(request->method, "GET") == 0) {
		workers->fetches++;
		buffer_puts(
		    &reply->body, workers->truncate_fetches ? "wh" : "whole");
		return;
	}
	if (name[0] == 's' && workers->silent)
		fake_sleep(HANG_MS, &workers->stopping);
	/* Workers named c* report an answer that doesn't match its hash. */
	report(name, name[0] == 'c' ? "other" : "whole", &reply->body);
}

static void
set_up(struct fixture *fixture)
{
	*fixture = (struct fixture){0};
	fixture->server =
	    fake_server_start("127.0.0.1:0", S_handle, &fixture->workers);
	fixture->events = event_queue_new();
	fixture->client =
	    worker_client_start(TIMEOUT_MS, fixture->events, NULL);
}

static void
tear_down(struct fixture *fixture)
{
	struct event event;

	worker_client_stop(fixture->client);
	while (event_queue_take(fixture->events, 0, &event))
		worker_result_free(event.worker);
	fixture->workers.stopping = true;
	fake_server_stop(fixture->server);
	event_queue_free(fixture->events);
}

static void
send_call(struct fixture *fixture, const char *worker, uint64_t token)
{
	struct worker_command *commands = mem_calloc(1, sizeof(*commands));
	char address[ADDRESS_BYTES];

	commands->verb = VERB_RENEW;
	STRING_COPY(commands->task, "j.1.0");
	(void)snprintf(address, sizeof(address), "%s/%s",
	    fake_server_address(fixture->server), worker);
	worker_client_call(
	    fixture->client, worker, address, token, commands, 1);
}

/* Returns the next result, or an empty one on timeout. */
static struct worker_result *
take_result(struct fixture *fixture)
{
	int64_t until_ms = clock_now_ms() + RESULT_TIMEOUT_MS;
	struct event event;

	while (clock_now_ms() < until_ms) {
		if (event_queue_take(
			fixture->events, RESULT_TIMEOUT_MS, &event))
			return event.worker;
	}
	return mem_calloc(1, sizeof(struct worker_result));
}

static void
test_report(void)
{
	struct fixture fixture;
	struct worker_result *result;

	set_up(&fixture);
	send_call(&fixture, "w1", 5);
	result = take_result(&fixture);
	CU_ASSERT_EQUAL(result->code, IBIS_OK);
	CU_ASSERT_EQUAL(result->token, 5);
	CU_ASSERT_EQUAL(result->report.incarnation, 7);
	CU_ASSERT_EQUAL_FATAL(result->report.tasks_count, 1);
	CU_ASSERT_STRING_EQUAL(result->report.tasks[0].answer, "whole");
	CU_ASSERT_EQUAL(fixture.workers.fetches, 0);
	worker_result_free(result);
	tear_down(&fixture);
}

static void
test_wrong_answer_is_fetched_by_id(void)
{
	struct fixture fixture;
	struct worker_result *result;

	set_up(&fixture);
	send_call(&fixture, "c1", 1);
	result = take_result(&fixture);
	CU_ASSERT_EQUAL_FATAL(result->report.tasks_count, 1);
	CU_ASSERT_EQUAL(result->report.tasks[0].state, TASK_DONE);
	CU_ASSERT_STRING_EQUAL(result->report.tasks[0].answer, "whole");
	CU_ASSERT_EQUAL(fixture.workers.fetches, 1);
	worker_result_free(result);
	tear_down(&fixture);
}

static void
test_wrong_answer_is_never_passed_on(void)
{
	struct fixture fixture;
	struct worker_result *result;

	set_up(&fixture);
	fixture.workers.truncate_fetches = true;
	send_call(&fixture, "c1", 1);
	result = take_result(&fixture);
	CU_ASSERT_EQUAL(result->code, IBIS_OK);
	CU_ASSERT_EQUAL_FATAL(result->report.tasks_count, 1);
	CU_ASSERT_EQUAL(result->report.tasks[0].state, TASK_RUNNING);
	CU_ASSERT_PTR_NULL(result->report.tasks[0].answer);
	worker_result_free(result);
	tear_down(&fixture);
}

/* Discards the next count results. */
static void
drain(struct fixture *fixture, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		worker_result_free(take_result(fixture));
}

static void
test_silent_workers_delay_no_others(void)
{
	struct fixture fixture;
	struct worker_result *result;
	char name[ADDRESS_BYTES];
	int64_t sent_ms;

	set_up(&fixture);
	fixture.workers.silent = true;
	/* The calls of the first round time out, which marks the workers as
	 * failing. Those of the second round must not delay the call to w1. */
	for (int round = 0; round < 2; round++) {
		for (int i = 0; i < SILENT_WORKERS; i++) {
			(void)snprintf(name, sizeof(name), "s%d", i);
			send_call(&fixture, name, 0);
		}
		if (round == 0)
			drain(&fixture, SILENT_WORKERS);
	}
	sent_ms = clock_now_ms();
	send_call(&fixture, "w1", 9);
	result = take_result(&fixture);
	CU_ASSERT_EQUAL(result->token, 9);
	CU_ASSERT_EQUAL(result->code, IBIS_OK);
	CU_ASSERT(clock_now_ms() - sent_ms < MAX_CALL_MS);
	worker_result_free(result);
	tear_down(&fixture);
}

static void
test_second_call_while_first_hangs(void)
{
	struct fixture fixture;
	struct worker_result *result;
	int64_t sent_ms = clock_now_ms();

	set_up(&fixture);
	fixture.workers.silent = true;
	send_call(&fixture, "s1", 1);
	fake_sleep(TIMEOUT_MS / 5, NULL);
	fixture.workers.silent = false;
	send_call(&fixture, "s1", 2);
	result = take_result(&fixture);
	CU_ASSERT_EQUAL(result->token, 2);
	CU_ASSERT_EQUAL(result->code, IBIS_OK);
	CU_ASSERT(clock_now_ms() - sent_ms < MAX_CALL_MS);
	worker_result_free(result);
	result = take_result(&fixture);
	CU_ASSERT_EQUAL(result->token, 1);
	CU_ASSERT_EQUAL(result->code, IBIS_UNKNOWN);
	worker_result_free(result);
	tear_down(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"report", test_report},
	    {"a wrong answer is fetched by id",
		test_wrong_answer_is_fetched_by_id},
	    {"a wrong answer is never passed on",
		test_wrong_answer_is_never_passed_on},
	    {"silent workers delay no others",
		test_silent_workers_delay_no_others},
	    {"second call while the first hangs",
		test_second_call_while_first_hangs},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("worker_client", tests);
}
