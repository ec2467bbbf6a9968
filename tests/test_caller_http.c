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

#define DEADLINE_MS	10000
#define MAX_BODY_BYTES	4096
#define MAX_CONNECTIONS 2500
#define CALLERS		2000
#define POLL_MS		2

struct site {
	struct event_queue *events;
	struct caller_server *server;
};

static struct site
start_site(int32_t max_connections)
{
	struct caller_server_config config = {
	    .address = "127.0.0.1:0",
	    .max_body_bytes = MAX_BODY_BYTES,
	    .max_connections = max_connections,
	    .max_wait_ms = 1000,
	};
	struct site site = {.events = event_queue_new()};
	struct ibis_status status;

	site.server = caller_server_start(&config, site.events, &status);
	CU_ASSERT_PTR_NOT_NULL_FATAL(site.server);
	return site;
}

static void
stop_site(struct site *site)
{
	caller_server_stop(site->server);
	event_queue_free(site->events);
}

static int
connect_caller(const struct site *site)
{
	int fd = http_connect(caller_server_address(site->server));

	CU_ASSERT_TRUE_FATAL(fd >= 0);
	return fd;
}

static int
send_request(const struct site *site, const char *line)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	int fd = connect_caller(site);

	buffer_printf(&text, "%s HTTP/1.1\r\nHost: x\r\n\r\n", line);
	CU_ASSERT_TRUE_FATAL(http_write(fd, text.data));
	return fd;
}

static void
check_response(int fd, const char *status, const char *text)
{
	CLEANUP(buffer_free) struct buffer response = {0};

	CU_ASSERT_EQUAL(http_read(fd, &response, DEADLINE_MS), HTTP_WHOLE);
	CU_ASSERT_PTR_NOT_NULL(strstr(buffer_string(&response), status));
	CU_ASSERT_PTR_NOT_NULL(strstr(buffer_string(&response), text));
}

static struct caller_request *
take_request(struct site *site)
{
	int64_t deadline_ms = clock_now_ms() + DEADLINE_MS;
	struct event event;

	/* A wake-up may come without an event. */
	while (!event_queue_take(site->events, DEADLINE_MS, &event))
		CU_ASSERT_TRUE_FATAL(clock_now_ms() < deadline_ms);
	CU_ASSERT_EQUAL_FATAL(event.kind, EVENT_CALLER);
	return event.caller;
}

/* Answers a section request with the section's own name. */
static void
reply_name(struct site *site, struct caller_request *request)
{
	Ibis__Reply reply = IBIS__REPLY__INIT;
	char text[64];

	(void)snprintf(
	    text, sizeof(text), "{\"name\":\"%s\"}", request->request->name);
	reply.json = text;
	reply.revision = 7;
	caller_server_reply(site->server, request, &reply);
}

static bool
all_requests_end(struct site *site)
{
	int64_t deadline_ms = clock_now_ms() + DEADLINE_MS;

	while (caller_server_open_requests(site->server) > 0 &&
	    clock_now_ms() < deadline_ms)
		(void)poll(NULL, 0, POLL_MS);
	return caller_server_open_requests(site->server) == 0;
}

static void
test_request_and_errors(void)
{
	struct site site = start_site(MAX_CONNECTIONS);
	Ibis__Reply limit = IBIS__REPLY__INIT;
	int fd = send_request(&site, "GET /v1/document/sections/a");

	reply_name(&site, take_request(&site));
	check_response(fd, "200 OK", "ETag: \"7\"\r\n");
	/* The same connection serves again. */
	CU_ASSERT_TRUE(
	    http_write(fd, "GET /v1/nothing HTTP/1.1\r\nHost: x\r\n\r\n"));
	check_response(fd, "404 Not Found", "no such path: /v1/nothing");
	(void)close(fd);
	fd = send_request(&site, "GET /v1/jobs?wait_ms=soon");
	check_response(fd, "400 Bad Request", "wait_ms: \\\"soon\\\"");
	(void)close(fd);
	fd = send_request(&site, "GET /v1/status");
	limit.code = IBIS__CODE__CODE_LIMIT;
	limit.retry_after_ms = 1001;
	caller_server_reply(site.server, take_request(&site), &limit);
	check_response(fd, "429 Too Many Requests", "Retry-After: 2\r\n");
	(void)close(fd);
	CU_ASSERT_TRUE(all_requests_end(&site));
	stop_site(&site);
}

static void
test_body_over_the_limit(void)
{
	struct site site = start_site(MAX_CONNECTIONS);
	CLEANUP(buffer_free) struct buffer text = {0};
	int fd = connect_caller(&site);

	buffer_printf(&text,
	    "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n",
	    MAX_BODY_BYTES * 100);
	for (int i = 0; i < MAX_BODY_BYTES * 100; i++)
		buffer_puts(&text, "x");
	CU_ASSERT_TRUE(http_write(fd, text.data));
	check_response(fd, " 413 ", "409600 bytes; expected at most 4096");
	(void)close(fd);
	stop_site(&site);
}

static void
test_two_thousand_wait(void)
{
	struct site site = start_site(MAX_CONNECTIONS);
	static struct caller_request *waiting[CALLERS];
	static int fds[CALLERS];
	char text[64];

	for (int i = 0; i < CALLERS; i++) {
		(void)snprintf(
		    text, sizeof(text), "GET /v1/document/sections/s%d", i);
		fds[i] = send_request(&site, text);
	}
	for (int i = 0; i < CALLERS; i++)
		waiting[i] = take_request(&site);
	CU_ASSERT_EQUAL(caller_server_open_requests(site.server), CALLERS);
	for (int i = CALLERS - 1; i >= 0; i--)
		reply_name(&site, waiting[i]);
	for (int i = 0; i < CALLERS; i++) {
		(void)snprintf(text, sizeof(text), "{\"name\":\"s%d\"}", i);
		check_response(fds[i], "200 OK", text);
		(void)close(fds[i]);
	}
	stop_site(&site);
}

static void
test_caller_goes_away(void)
{
	struct site site = start_site(MAX_CONNECTIONS);
	struct linger reset = {.l_onoff = 1, .l_linger = 0};
	struct caller_request *waiting[2];
	int fds[2];

	for (int i = 0; i < 2; i++) {
		fds[i] = send_request(&site, "GET /v1/document/sections/a");
		waiting[i] = take_request(&site);
	}
	(void)setsockopt(fds[0], SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	for (int i = 0; i < 2; i++)
		(void)close(fds[i]);
	for (int i = 0; i < 2; i++)
		reply_name(&site, waiting[i]);
	CU_ASSERT_TRUE(all_requests_end(&site));
	stop_site(&site);
}

static void
test_over_the_limit(void)
{
	struct site site = start_site(1);
	struct caller_request *waiting;
	int first = send_request(&site, "GET /v1/document/sections/a");
	int second;

	waiting = take_request(&site);
	second = send_request(&site, "GET /v1/document/sections/b");
	check_response(second, "503 Service Unavailable", "Retry-After: 1\r\n");
	(void)close(second);
	reply_name(&site, waiting);
	check_response(first, "200 OK", "{\"name\":\"a\"}");
	(void)close(first);
	stop_site(&site);
}

static void
test_drain_and_stop(void)
{
	struct site site = start_site(MAX_CONNECTIONS);
	int answered = send_request(&site, "GET /v1/document/sections/a");
	struct caller_request *waiting = take_request(&site);
	int unanswered = send_request(&site, "GET /v1/document/sections/b");
	struct caller_request *lost = take_request(&site);
	int refused;

	caller_server_drain(site.server);
	reply_name(&site, waiting);
	check_response(answered, "200 OK", "Connection: close\r\n");
	caller_server_refuse(site.server);
	refused = send_request(&site, "GET /v1/document/sections/c");
	check_response(refused, "503 ", "\"not_run\":true");
	caller_server_stop(site.server);
	check_response(unanswered, "504 ", "\"not_run\":false");
	ibis__request__free_unpacked(lost->request, NULL);
	mem_free(lost);
	event_queue_free(site.events);
	(void)close(answered);
	(void)close(unanswered);
	(void)close(refused);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"request and errors", test_request_and_errors},
	    {"body over the limit", test_body_over_the_limit},
	    {"two thousand wait", test_two_thousand_wait},
	    {"caller goes away", test_caller_goes_away},
	    {"over the limit", test_over_the_limit},
	    {"drain and stop", test_drain_and_stop},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("caller_http", tests);
}
