#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common_cunit.h"
#include "common_http.h"
#include "connection/caller_http.h"
#include "process/alloc.h"
#include "process/buffer.h"
#include "process/clock.h"

#define DEADLINE_MS	 10000
#define MAX_BODY_BYTES	 4096
#define MAX_CONNECTIONS	 2500
#define REQUESTS	 2000
#define POLL_INTERVAL_MS 2

struct fixture {
	struct event_queue *events;
	struct caller_server *server;
};

static struct fixture
start_fixture(int32_t max_connections)
{
	struct caller_server_config config = {
	    .address = "127.0.0.1:0",
	    .max_body_bytes = MAX_BODY_BYTES,
	    .max_bodies_bytes = 4 << 20,
	    .max_connections = max_connections,
	    .max_wait_ms = 1000,
	};
	struct fixture fixture = {.events = event_queue_new()};
	struct ibis_status status;

	fixture.server = caller_server_start(&config, fixture.events, &status);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fixture.server);
	return fixture;
}

static void
stop_fixture(struct fixture *fixture)
{
	caller_server_stop(fixture->server);
	event_queue_free(fixture->events);
}

static int
connect_caller(const struct fixture *fixture)
{
	int fd = http_connect(caller_server_address(fixture->server));

	CU_ASSERT_TRUE_FATAL(fd >= 0);
	return fd;
}

static int
send_request(const struct fixture *fixture, const char *line)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	int fd = connect_caller(fixture);

	buffer_printf(&text, "%s HTTP/1.1\r\nHost: x\r\n\r\n", line);
	CU_ASSERT_TRUE_FATAL(http_write(fd, text.data));
	return fd;
}

static void
check_response(int fd, const char *status, const char *text)
{
	CLEANUP(buffer_free) struct buffer response = {0};

	CU_ASSERT_EQUAL(http_read(fd, &response, DEADLINE_MS), HTTP_COMPLETE);
	CU_ASSERT_PTR_NOT_NULL(strstr(buffer_string(&response), status));
	CU_ASSERT_PTR_NOT_NULL(strstr(buffer_string(&response), text));
}

static struct caller_request *
take_request(struct fixture *fixture)
{
	int64_t deadline_ms = clock_now_ms() + DEADLINE_MS;
	struct event event;

	/* event_queue_take may return false before its timeout. */
	while (!event_queue_take(fixture->events, DEADLINE_MS, &event))
		CU_ASSERT_TRUE_FATAL(clock_now_ms() < deadline_ms);
	CU_ASSERT_EQUAL_FATAL(event.kind, EVENT_CALLER);
	return event.caller;
}

/* Replies to a request for a section with the section's name. */
static void
reply_with_name(struct fixture *fixture, struct caller_request *request)
{
	Ibis__Reply reply = IBIS__REPLY__INIT;
	char text[64];

	(void)snprintf(
	    text, sizeof(text), "{\"name\":\"%s\"}", request->request->name);
	reply.json = text;
	reply.revision = 7;
	caller_server_reply(fixture->server, request, &reply);
}

static bool
wait_for_requests_to_end(struct fixture *fixture)
{
	int64_t deadline_ms = clock_now_ms() + DEADLINE_MS;

	while (caller_server_open_requests(fixture->server) > 0 &&
	    clock_now_ms() < deadline_ms)
		(void)poll(NULL, 0, POLL_INTERVAL_MS);
	return caller_server_open_requests(fixture->server) == 0;
}

static void
test_request_and_errors(void)
{
	struct fixture fixture = start_fixture(MAX_CONNECTIONS);
	Ibis__Reply limit = IBIS__REPLY__INIT;
	int fd = send_request(&fixture, "GET /v1/document/sections/a");

	reply_with_name(&fixture, take_request(&fixture));
	check_response(fd, "200 OK", "ETag: \"7\"\r\n");
	/* The connection is reused for a second request. */
	CU_ASSERT_TRUE(
	    http_write(fd, "GET /v1/nothing HTTP/1.1\r\nHost: x\r\n\r\n"));
	check_response(fd, "404 Not Found", "no such path: /v1/nothing");
	(void)close(fd);
	fd = send_request(&fixture, "GET /v1/jobs?wait_ms=soon");
	check_response(fd, "400 Bad Request", "wait_ms: \\\"soon\\\"");
	(void)close(fd);
	fd = send_request(&fixture, "GET /v1/status");
	limit.code = IBIS__CODE__CODE_LIMIT;
	limit.retry_after_ms = 1001;
	caller_server_reply(fixture.server, take_request(&fixture), &limit);
	check_response(fd, "429 Too Many Requests", "Retry-After: 2\r\n");
	(void)close(fd);
	CU_ASSERT_TRUE(wait_for_requests_to_end(&fixture));
	stop_fixture(&fixture);
}

static void
test_body_over_size_limit(void)
{
	struct fixture fixture = start_fixture(MAX_CONNECTIONS);
	CLEANUP(buffer_free) struct buffer text = {0};
	int fd = connect_caller(&fixture);

	buffer_printf(&text,
	    "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n",
	    MAX_BODY_BYTES * 100);
	for (int i = 0; i < MAX_BODY_BYTES * 100; i++)
		buffer_puts(&text, "x");
	CU_ASSERT_TRUE(http_write(fd, text.data));
	check_response(fd, " 413 ", "409600 bytes; expected at most 4096");
	(void)close(fd);
	stop_fixture(&fixture);
}

static void
test_two_thousand_requests_wait(void)
{
	struct fixture fixture = start_fixture(MAX_CONNECTIONS);
	static struct caller_request *waiting[REQUESTS];
	static int fds[REQUESTS];
	char text[64];

	for (int i = 0; i < REQUESTS; i++) {
		(void)snprintf(
		    text, sizeof(text), "GET /v1/document/sections/s%d", i);
		fds[i] = send_request(&fixture, text);
	}
	for (int i = 0; i < REQUESTS; i++)
		waiting[i] = take_request(&fixture);
	CU_ASSERT_EQUAL(caller_server_open_requests(fixture.server), REQUESTS);
	for (int i = REQUESTS - 1; i >= 0; i--)
		reply_with_name(&fixture, waiting[i]);
	for (int i = 0; i < REQUESTS; i++) {
		(void)snprintf(text, sizeof(text), "{\"name\":\"s%d\"}", i);
		check_response(fds[i], "200 OK", text);
		(void)close(fds[i]);
	}
	stop_fixture(&fixture);
}

static void
test_caller_disconnects(void)
{
	struct fixture fixture = start_fixture(MAX_CONNECTIONS);
	struct linger reset = {.l_onoff = 1, .l_linger = 0};
	struct caller_request *waiting[2];
	int fds[2];

	for (int i = 0; i < 2; i++) {
		fds[i] = send_request(&fixture, "GET /v1/document/sections/a");
		waiting[i] = take_request(&fixture);
	}
	(void)setsockopt(fds[0], SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	for (int i = 0; i < 2; i++)
		(void)close(fds[i]);
	for (int i = 0; i < 2; i++)
		reply_with_name(&fixture, waiting[i]);
	CU_ASSERT_TRUE(wait_for_requests_to_end(&fixture));
	stop_fixture(&fixture);
}

static void
test_over_connection_limit(void)
{
	struct fixture fixture = start_fixture(1);
	struct caller_request *waiting;
	int first = send_request(&fixture, "GET /v1/document/sections/a");
	int second;

	waiting = take_request(&fixture);
	second = send_request(&fixture, "GET /v1/document/sections/b");
	check_response(second, "503 Service Unavailable", "Retry-After: 1\r\n");
	(void)close(second);
	reply_with_name(&fixture, waiting);
	check_response(first, "200 OK", "{\"name\":\"a\"}");
	(void)close(first);
	stop_fixture(&fixture);
}

/* Guards against a path that is cut at an escaped NUL: a request for something
 * else was carried out on the job. */
static void
test_escaped_nul(void)
{
	struct fixture fixture = start_fixture(MAX_CONNECTIONS);
	int fd = send_request(
	    &fixture, "DELETE /v1/jobs/0123456789abcdef0123456789abcdef%00x");

	check_response(fd, "400 Bad Request", "%00x");
	(void)close(fd);
	stop_fixture(&fixture);
}

static void
test_drain_and_stop(void)
{
	struct fixture fixture = start_fixture(MAX_CONNECTIONS);
	int answered = send_request(&fixture, "GET /v1/document/sections/a");
	struct caller_request *waiting = take_request(&fixture);
	int unanswered = send_request(&fixture, "GET /v1/document/sections/b");
	struct caller_request *never_replied = take_request(&fixture);
	int refused;

	caller_server_drain(fixture.server);
	reply_with_name(&fixture, waiting);
	check_response(answered, "200 OK", "Connection: close\r\n");
	caller_server_refuse(fixture.server);
	refused = send_request(&fixture, "GET /v1/document/sections/c");
	check_response(refused, "503 ", "\"not_run\":true");
	caller_server_stop(fixture.server);
	check_response(unanswered, "504 ", "\"not_run\":false");
	ibis__request__free_unpacked(never_replied->request, NULL);
	mem_free(never_replied);
	event_queue_free(fixture.events);
	(void)close(answered);
	(void)close(unanswered);
	(void)close(refused);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"request and errors", test_request_and_errors},
	    {"body over the size limit", test_body_over_size_limit},
	    {"two thousand requests wait", test_two_thousand_requests_wait},
	    {"caller disconnects", test_caller_disconnects},
	    {"over the connection limit", test_over_connection_limit},
	    {"escaped NUL", test_escaped_nul},
	    {"drain and stop", test_drain_and_stop},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("caller_http", tests);
}
