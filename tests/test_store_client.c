#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "common/fake_server.h"
#include "common_cunit.h"
#include "connection/store_client.h"
#include "process/alloc.h"
#include "process/clock.h"

#define TIMEOUT_MS	  1000
#define RESULT_TIMEOUT_MS 5000
#define MAX_STOP_MS	  1000
#define CALLS		  40
#define HANG_MS		  3000
#define MAX_CALL_MS	  1500
#define FIRST_TOKEN	  100

struct service {
	atomic_bool stopping;
	atomic_uint requests;
};

/*
 * Answers with the path as the value. Watches and keys below hang/ are delayed;
 * for keys below lost/ the connection is closed without an answer.
 */
static void
S_handle(
    void *context, const struct fake_request *request, struct fake_reply *reply)
{
	struct service *service = context;

	service->requests++;
	if (fake_request_query(request, "watch") != NULL ||
	    strncmp(request->path, "/v1/kv/hang/", 12) == 0)
		fake_sleep(HANG_MS, &service->stopping);
	reply->cut = strncmp(request->path, "/v1/kv/lost/", 12) == 0;
	reply->has_etag = true;
	reply->etag = 7;
	buffer_puts(&reply->body, request->path);
}

static void
put_call(struct store_client *client, enum store_op op, const char *key,
    uint64_t token)
{
	struct store_call call = {
	    .op = op,
	    .token = token,
	    .wait_ms = HANG_MS,
	};

	STRING_COPY(call.key, key);
	store_client_call(client, &call);
}

/* Returns the next result, or an empty one on timeout. */
static struct store_result *
take_result(struct event_queue *events)
{
	int64_t until_ms = clock_now_ms() + RESULT_TIMEOUT_MS;
	struct event event;

	while (clock_now_ms() < until_ms) {
		if (event_queue_take(events, RESULT_TIMEOUT_MS, &event))
			return event.store;
	}
	return mem_calloc(1, sizeof(struct store_result));
}

struct fixture {
	struct service service;
	struct fake_server *server;
	struct event_queue *events;
	struct store_client *client;
};

static void
set_up(struct fixture *fixture, int32_t timeout_ms)
{
	*fixture = (struct fixture){0};
	fixture->server =
	    fake_server_start("127.0.0.1:0", S_handle, &fixture->service);
	fixture->events = event_queue_new();
	fixture->client =
	    store_client_start(fake_server_address(fixture->server), timeout_ms,
		fixture->events, NULL);
}

static void
tear_down(struct fixture *fixture)
{
	struct event event;

	if (fixture->client != NULL)
		store_client_stop(fixture->client);
	while (event_queue_take(fixture->events, 0, &event))
		store_result_free(event.store);
	fixture->service.stopping = true;
	fake_server_stop(fixture->server);
	event_queue_free(fixture->events);
}

static void
test_watch_blocks_no_other_call(void)
{
	struct fixture fixture;
	int64_t started_ms = clock_now_ms();
	struct store_result *result;

	set_up(&fixture, TIMEOUT_MS);
	put_call(fixture.client, STORE_WATCH, "a", 1);
	put_call(fixture.client, STORE_GET, "a", 2);
	result = take_result(fixture.events);
	CU_ASSERT_EQUAL(result->token, 2);
	CU_ASSERT_EQUAL(result->code, IBIS_OK);
	CU_ASSERT_EQUAL(result->revision, 7);
	CU_ASSERT_STRING_EQUAL(buffer_string(&result->value), "/v1/kv/a");
	CU_ASSERT(clock_now_ms() - started_ms < MAX_CALL_MS);
	store_result_free(result);
	tear_down(&fixture);
}

static void
test_same_key_keeps_order(void)
{
	struct fixture fixture;

	set_up(&fixture, TIMEOUT_MS);
	for (uint64_t i = 0; i < CALLS; i++)
		put_call(fixture.client, STORE_SWAP, "a", FIRST_TOKEN + i);
	for (uint64_t i = 0; i < CALLS; i++) {
		struct store_result *result = take_result(fixture.events);

		CU_ASSERT_EQUAL(result->token, FIRST_TOKEN + i);
		store_result_free(result);
	}
	tear_down(&fixture);
}

static void
test_lost_answer_is_unknown(void)
{
	struct fixture fixture;
	struct store_result *result;

	set_up(&fixture, TIMEOUT_MS);
	put_call(fixture.client, STORE_SWAP, "lost/a", 1);
	result = take_result(fixture.events);
	CU_ASSERT_EQUAL(result->code, IBIS_UNKNOWN);
	CU_ASSERT_EQUAL(fixture.service.requests, 1);
	store_result_free(result);
	tear_down(&fixture);
}

static void
test_stop_is_prompt(void)
{
	struct fixture fixture;
	struct store_result *result;
	int64_t stopped_ms;

	set_up(&fixture, HANG_MS);
	put_call(fixture.client, STORE_GET, "hang/a", 1);
	put_call(fixture.client, STORE_GET, "hang/a", 2);
	while (fixture.service.requests == 0)
		fake_sleep(1, NULL);
	stopped_ms = clock_now_ms();
	store_client_stop(fixture.client);
	fixture.client = NULL;
	CU_ASSERT(clock_now_ms() - stopped_ms < MAX_STOP_MS);
	result = take_result(fixture.events);
	CU_ASSERT_EQUAL(result->token, 2);
	CU_ASSERT_EQUAL(result->code, IBIS_UNAVAILABLE);
	store_result_free(result);
	tear_down(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a watch blocks no other call", test_watch_blocks_no_other_call},
	    {"calls on a key keep their order", test_same_key_keeps_order},
	    {"a lost answer is unknown", test_lost_answer_is_unknown},
	    {"stop is prompt", test_stop_is_prompt},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("store_client", tests);
}
