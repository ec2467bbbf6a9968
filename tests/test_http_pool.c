/* Tests of the pool of HTTP calls: outcomes, timeouts and clean-up. */
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common_cunit.h"
#include "connection/address.h"
#include "connection/http_pool.h"
#include "process/alloc.h"
#include "process/clock.h"

#define CALLS	     24
#define TIMEOUT_MS   40
#define MAX_DELAY_MS 150
#define LONG_WAIT_MS 1000
/* More than the pool reads in one go. */
#define ARRIVED_CALLS 100

#define MAX_REQUEST_BYTES 4096
#define EMPTY_RESPONSE	  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
#define UNAVAILABLE_RESPONSE \
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

struct outcome {
	int64_t took_ms;
	enum http_outcome kind;
	bool too_long;
	bool called;
};

static void
record_result(void *context, const struct http_result *result)
{
	struct outcome *outcome = context;

	outcome->kind = result->outcome;
	outcome->took_ms = result->received_ms - result->sent_ms;
	outcome->too_long = result->too_long;
	outcome->called = true;
}

static void
wait_for_outcome(struct http_pool *pool, const struct outcome *outcome)
{
	int64_t deadline_ms = clock_now_ms() + 5000;

	while (!outcome->called && clock_now_ms() < deadline_ms)
		http_pool_wait(pool, LONG_WAIT_MS);
}

/* A call to a host name fails at once: its lookup would block the thread. */
static void
test_invalid_address_is_not_sent(void)
{
	static const char *const addresses[] = {"", ":80", "localhost:80",
	    "ibistrestle", "10.0.0.1", "10.0.0.1:", "10.0.0.1:99999"};
	struct ibis_status status = {0};
	struct http_pool *pool = http_pool_new(&status);

	for (size_t i = 0; i < COUNT_OF(addresses); i++) {
		struct outcome outcome = {0};
		struct http_call call = {
		    .method = "GET",
		    .address = addresses[i],
		    .path = "/",
		    .timeout_ms = LONG_WAIT_MS,
		};

		http_pool_call(pool, &call, record_result, &outcome);
		wait_for_outcome(pool, &outcome);
		CU_ASSERT_TRUE(outcome.called);
		CU_ASSERT_EQUAL(outcome.kind, HTTP_NOT_SENT);
		CU_ASSERT_TRUE(outcome.took_ms < MAX_DELAY_MS);
	}
	http_pool_free(pool);
}

/*
 * A peer accepts connections and never responds. Each call must end at its own
 * timeout, not at the next event that wakes the pool.
 */
static void
test_timeout_needs_no_other_event(void)
{
	struct ibis_status status = {0};
	struct http_pool *pool = http_pool_new(&status);
	char address[ADDRESS_TEXT_BYTES];
	int fd = address_listen("127.0.0.1:0", CALLS, &status);

	CU_ASSERT_TRUE_FATAL(fd >= 0);
	address_of_socket(fd, address);
	for (size_t i = 0; i < CALLS; i++) {
		struct outcome outcome = {0};
		struct http_call call = {
		    .method = "GET",
		    .address = address,
		    .path = "/",
		    .timeout_ms = TIMEOUT_MS,
		};

		http_pool_call(pool, &call, record_result, &outcome);
		wait_for_outcome(pool, &outcome);
		CU_ASSERT_EQUAL(outcome.kind, HTTP_OUTCOME_UNKNOWN);
		CU_ASSERT_TRUE(outcome.took_ms >= TIMEOUT_MS);
		CU_ASSERT_TRUE(outcome.took_ms < TIMEOUT_MS + MAX_DELAY_MS);
	}
	(void)close(fd);
	http_pool_free(pool);
}

/* Runs the pool until fd is readable; returns whether it is. */
static bool
wait_readable(struct http_pool *pool, int fd)
{
	int64_t deadline_ms = clock_now_ms() + LONG_WAIT_MS;
	struct pollfd watched = {.fd = fd, .events = POLLIN};

	while (poll(&watched, 1, 0) == 0 && clock_now_ms() < deadline_ms)
		http_pool_wait(pool, 1);
	return poll(&watched, 1, 0) == 1;
}

/* Runs the pool until a request of one packet has arrived at fd. */
static void
receive_request(struct http_pool *pool, int fd)
{
	char request[MAX_REQUEST_BYTES];

	CU_ASSERT_TRUE_FATAL(wait_readable(pool, fd));
	CU_ASSERT_TRUE_FATAL(read(fd, request, sizeof(request)) > 0);
}

static int
accept_connection(struct http_pool *pool, int listener)
{
	int connection;

	CU_ASSERT_TRUE_FATAL(wait_readable(pool, listener));
	connection = accept(listener, NULL, NULL);
	CU_ASSERT_TRUE_FATAL(connection >= 0);
	return connection;
}

static void
respond(int connection, const char *response)
{
	CU_ASSERT_EQUAL(send(connection, response, strlen(response), 0),
	    (ssize_t)strlen(response));
}

/* Makes two calls on one connection. The server responds to the first one and
 * reads the second one whole. Returns the connection. */
static int
receive_on_reused_connection(struct http_pool *pool, int listener,
    const char *method, struct outcome *second)
{
	struct outcome first = {0};
	char address[ADDRESS_TEXT_BYTES];
	struct http_call call = {
	    .method = method,
	    .address = address,
	    .path = "/",
	    .timeout_ms = LONG_WAIT_MS,
	};
	int connection;

	CU_ASSERT_TRUE_FATAL(listener >= 0);
	address_of_socket(listener, address);
	http_pool_call(pool, &call, record_result, &first);
	connection = accept_connection(pool, listener);
	receive_request(pool, connection);
	respond(connection, EMPTY_RESPONSE);
	wait_for_outcome(pool, &first);
	CU_ASSERT_EQUAL(first.kind, HTTP_RESPONDED);
	http_pool_call(pool, &call, record_result, second);
	receive_request(pool, connection);
	return connection;
}

/* Guards against a second run of a task: a start that was sent in full counted
 * as not sent, since the connection broke and the resend could not connect. */
static void
test_resend_that_cannot_connect_may_have_been_sent(void)
{
	struct ibis_status status = {0};
	struct http_pool *pool = http_pool_new(&status);
	struct outcome outcome = {0};
	int listener = address_listen("127.0.0.1:0", CALLS, &status);
	int connection =
	    receive_on_reused_connection(pool, listener, "POST", &outcome);

	(void)close(listener);
	(void)close(connection);
	wait_for_outcome(pool, &outcome);
	CU_ASSERT_TRUE(outcome.called);
	CU_ASSERT_EQUAL(outcome.kind, HTTP_OUTCOME_UNKNOWN);
	http_pool_free(pool);
}

/* Returns the outcome of a call that is resent on a new connection and then
 * gets the response. */
static enum http_outcome
outcome_of_resend(const char *method, const char *response)
{
	struct ibis_status status = {0};
	struct http_pool *pool = http_pool_new(&status);
	struct outcome outcome = {0};
	int listener = address_listen("127.0.0.1:0", CALLS, &status);
	int connection =
	    receive_on_reused_connection(pool, listener, method, &outcome);

	(void)close(connection);
	connection = accept_connection(pool, listener);
	receive_request(pool, connection);
	respond(connection, response);
	wait_for_outcome(pool, &outcome);
	CU_ASSERT_TRUE(outcome.called);
	(void)close(connection);
	(void)close(listener);
	http_pool_free(pool);
	return outcome.kind;
}

/* Guards against a second run of a task: the worker carried out a start, its
 * connection broke, and the refusal of the resend counted for the start. */
static void
test_refused_resend_may_have_been_executed(void)
{
	CU_ASSERT_EQUAL(outcome_of_resend("POST", UNAVAILABLE_RESPONSE),
	    HTTP_OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(outcome_of_resend("DELETE", UNAVAILABLE_RESPONSE),
	    HTTP_OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(
	    outcome_of_resend("POST", EMPTY_RESPONSE), HTTP_RESPONDED);
	CU_ASSERT_EQUAL(
	    outcome_of_resend("GET", UNAVAILABLE_RESPONSE), HTTP_RESPONDED);
}

/* Guards against unreachable workers that count as slow ones: nothing accepts
 * the connection, so the call is certain not to be sent. */
static void
test_refused_connection_is_not_sent(void)
{
	struct ibis_status status = {0};
	struct http_pool *pool = http_pool_new(&status);
	struct outcome outcome = {0};
	char address[ADDRESS_TEXT_BYTES];
	struct http_call call = {
	    .method = "GET",
	    .address = address,
	    .path = "/",
	    .timeout_ms = LONG_WAIT_MS,
	};
	int listener = address_listen("127.0.0.1:0", CALLS, &status);

	CU_ASSERT_TRUE_FATAL(listener >= 0);
	address_of_socket(listener, address);
	(void)close(listener);
	http_pool_call(pool, &call, record_result, &outcome);
	wait_for_outcome(pool, &outcome);
	CU_ASSERT_EQUAL(outcome.kind, HTTP_NOT_SENT);
	http_pool_free(pool);
}

#define PARTS 6
/* A response of PARTS single bytes, and one that says it is longer than a call
 * allows. */
#define SLOW_RESPONSE_HEAD "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
#define LONG_RESPONSE_HEAD "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"
#define MAX_RESPONSE_BYTES 1000

/* Makes a read with an idle timeout of TIMEOUT_MS, to which the server has sent
 * the head of a response. Returns the connection. */
static int
begin_read(
    struct http_pool *pool, const char *response_head, struct outcome *outcome)
{
	struct ibis_status status = {0};
	char address[ADDRESS_TEXT_BYTES];
	int listener = address_listen("127.0.0.1:0", CALLS, &status);
	struct http_call call = {
	    .method = "GET",
	    .address = address,
	    .path = "/",
	    .timeout_ms = LONG_WAIT_MS,
	    .idle_timeout_ms = TIMEOUT_MS,
	    .max_response_bytes = MAX_RESPONSE_BYTES,
	};
	int connection;

	CU_ASSERT_TRUE_FATAL(listener >= 0);
	address_of_socket(listener, address);
	http_pool_call(pool, &call, record_result, outcome);
	connection = accept_connection(pool, listener);
	receive_request(pool, connection);
	respond(connection, response_head);
	(void)close(listener);
	return connection;
}

/* Sends a byte of the response's body and runs the pool for half the idle
 * timeout. */
static void
send_part(struct http_pool *pool, int connection)
{
	int64_t until_ms = clock_now_ms() + TIMEOUT_MS / 2;

	respond(connection, "x");
	while (clock_now_ms() < until_ms)
		http_pool_wait(pool, 1);
}

/* Guards against large reads over slow links that are given up although they
 * progress. */
static void
test_response_that_progresses_is_read_to_its_end(void)
{
	struct ibis_status status = {0};
	struct http_pool *pool = http_pool_new(&status);
	struct outcome outcome = {0};
	int connection = begin_read(pool, SLOW_RESPONSE_HEAD, &outcome);

	for (size_t i = 0; i < PARTS; i++)
		send_part(pool, connection);
	wait_for_outcome(pool, &outcome);
	CU_ASSERT_EQUAL(outcome.kind, HTTP_RESPONDED);
	CU_ASSERT_TRUE(outcome.took_ms > TIMEOUT_MS);
	(void)close(connection);
	http_pool_free(pool);
}

static void
test_response_that_stops_ends_the_call(void)
{
	struct ibis_status status = {0};
	struct http_pool *pool = http_pool_new(&status);
	struct outcome outcome = {0};
	int connection = begin_read(pool, SLOW_RESPONSE_HEAD, &outcome);

	send_part(pool, connection);
	wait_for_outcome(pool, &outcome);
	CU_ASSERT_EQUAL(outcome.kind, HTTP_OUTCOME_UNKNOWN);
	CU_ASSERT_FALSE(outcome.too_long);
	CU_ASSERT_TRUE(outcome.took_ms < LONG_WAIT_MS);
	(void)close(connection);
	http_pool_free(pool);
}

/* Guards against reading changes that a listing would show with less. */
static void
test_response_that_is_too_long_is_not_read(void)
{
	struct ibis_status status = {0};
	struct http_pool *pool = http_pool_new(&status);
	struct outcome outcome = {0};
	int connection = begin_read(pool, LONG_RESPONSE_HEAD, &outcome);

	wait_for_outcome(pool, &outcome);
	CU_ASSERT_TRUE(outcome.too_long);
	CU_ASSERT_NOT_EQUAL(outcome.kind, HTTP_RESPONDED);
	CU_ASSERT_TRUE(outcome.took_ms < LONG_WAIT_MS);
	(void)close(connection);
	http_pool_free(pool);
}

/* Guards against a lead that takes its workers for silent because it is late
 * itself: a response had arrived in time, but the call ended at its timeout
 * before the response was read. */
static void
test_response_that_has_arrived_is_read_before_the_timeout_applies(void)
{
	struct ibis_status status = {0};
	struct http_pool *pool = http_pool_new(&status);
	struct outcome outcomes[ARRIVED_CALLS] = {0};
	int connections[ARRIVED_CALLS];
	char address[ADDRESS_TEXT_BYTES];
	struct http_call call = {
	    .method = "POST",
	    .address = address,
	    .path = "/",
	    .timeout_ms = LONG_WAIT_MS,
	};
	int listener = address_listen("127.0.0.1:0", ARRIVED_CALLS, &status);

	CU_ASSERT_TRUE_FATAL(listener >= 0);
	address_of_socket(listener, address);
	for (size_t i = 0; i < ARRIVED_CALLS; i++)
		http_pool_call(pool, &call, record_result, &outcomes[i]);
	for (size_t i = 0; i < ARRIVED_CALLS; i++) {
		connections[i] = accept_connection(pool, listener);
		receive_request(pool, connections[i]);
	}
	for (size_t i = 0; i < ARRIVED_CALLS; i++)
		respond(connections[i], EMPTY_RESPONSE);
	/* The thread is late by more than the timeout. */
	(void)poll(NULL, 0, LONG_WAIT_MS + TIMEOUT_MS);
	for (size_t i = 0; i < ARRIVED_CALLS; i++) {
		wait_for_outcome(pool, &outcomes[i]);
		CU_ASSERT_EQUAL(outcomes[i].kind, HTTP_RESPONDED);
		(void)close(connections[i]);
	}
	(void)close(listener);
	http_pool_free(pool);
}

static void
test_pending_calls_are_freed(void)
{
	struct ibis_status status = {0};
	struct http_pool *pool = http_pool_new(&status);
	struct outcome outcome = {0};
	struct http_call call = {.method = "GET", .address = "", .path = "/"};

	http_pool_call(pool, &call, record_result, &outcome);
	http_pool_free(pool);
	CU_ASSERT_FALSE(outcome.called);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a call to an invalid address is not sent",
		test_invalid_address_is_not_sent},
	    {"a timeout needs no other event",
		test_timeout_needs_no_other_event},
	    {"a resend that can't connect may have been sent",
		test_resend_that_cannot_connect_may_have_been_sent},
	    {"a refused resend may have been executed",
		test_refused_resend_may_have_been_executed},
	    {"a refused connection is not sent",
		test_refused_connection_is_not_sent},
	    {"a response that progresses is read to its end",
		test_response_that_progresses_is_read_to_its_end},
	    {"a response that stops ends the call",
		test_response_that_stops_ends_the_call},
	    {"a response that is too long is not read",
		test_response_that_is_too_long_is_not_read},
	    {"a response that has arrived is read before the timeout applies",
		test_response_that_has_arrived_is_read_before_the_timeout_applies},
	    {"pending calls are freed", test_pending_calls_are_freed},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("http_pool", tests);
}
