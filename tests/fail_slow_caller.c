/*
 * Stops an instance beside a caller that sends a request slowly, as over a slow
 * link. Requests that are read meanwhile have to be answered.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common_cunit.h"
#include "common_http.h"
#include "common_users_platform.h"
#include "process/alloc.h"
#include "process/clock.h"

/* From SIGTERM to SIGKILL, as in the settings of the instances. */
#define GRACE_MS   6000
#define SLOW_AT_MS 2400
#define PIECES	   60
#define PIECE_MS   50
/* The callers ask one after the other until shortly before the grace period
 * ends. */
#define CALLERS	    24
#define FIRST_AT_MS 4000
#define ASK_MS	    80
#define ANSWER_MS   1000
#define HEADERS	    "Host: h\r\nAuthorization: Bearer k\r\n"

static struct users_platform *platform;
static int64_t stopped_ms;

static void
sleep_until(int64_t at_ms)
{
	int64_t left_ms = at_ms - clock_now_ms();

	if (left_ms > 0)
		process_sleep((int32_t)left_ms);
}

static void *
send_slowly(void *context)
{
	const int *fd = context;
	char head[256];

	(void)snprintf(head, sizeof(head),
	    "POST /q/0000000000000001 HTTP/1.1\r\n" HEADERS
	    "Content-Length: %d\r\n\r\n",
	    PIECES);
	sleep_until(stopped_ms + SLOW_AT_MS);
	(void)http_write(*fd, head);
	for (int i = 0; i < PIECES; i++) {
		process_sleep(PIECE_MS);
		if (!http_write(*fd, " "))
			break;
	}
	return NULL;
}

/* Opens connections to instance 0's address for callers. */
static void
open_connections(int *connections, size_t count)
{
	char address[64];

	users_caller_address(platform, 0, address, sizeof(address));
	for (size_t i = 0; i < count; i++) {
		connections[i] = http_connect(address);
		CU_ASSERT_TRUE(connections[i] >= 0);
	}
}

/* Asks on an open connection. Returns whether the request was read and got no
 * answer: then the connection ends with it. One that is closed before is not
 * read. */
static bool
ask_in_vain(int connection)
{
	CLEANUP(buffer_free) struct buffer response = {0};
	enum http_read_result result;

	if (!http_write(connection,
		"GET /q/0000000000000002 HTTP/1.1\r\n" HEADERS "\r\n"))
		return false;
	result = http_read(connection, &response, ANSWER_MS);
	return result != HTTP_COMPLETE;
}

/* Guards against requests that an instance reads while it stops and doesn't
 * answer, and against its end by SIGABRT: it waited for a slow caller's request
 * until the grace period was nearly over, and then nobody took the requests
 * that went on arriving. */
static void
test_planned_stop_beside_a_slow_caller(void)
{
	int connections[CALLERS + 1];
	pthread_t slow;
	int in_vain = 0;

	platform = users_platform_start();
	CU_ASSERT_PTR_NOT_NULL_FATAL(platform);
	CU_ASSERT_TRUE(users_start_all(platform));
	open_connections(connections, CALLERS + 1);
	process_terminate(users_instance(platform, 0));
	stopped_ms = clock_now_ms();
	(void)pthread_create(&slow, NULL, send_slowly, &connections[CALLERS]);
	for (int i = 0; i < CALLERS; i++) {
		sleep_until(stopped_ms + FIRST_AT_MS + (int64_t)i * ASK_MS);
		if (process_has_ended(users_instance(platform, 0)))
			break;
		in_vain += ask_in_vain(connections[i]);
	}
	/* One may have been sent as the process ended. */
	CU_ASSERT_TRUE(in_vain <= 1);
	CU_ASSERT_EQUAL(process_wait(users_instance(platform, 0), GRACE_MS), 0);
	CU_ASSERT_TRUE(clock_now_ms() - stopped_ms <= GRACE_MS);
	(void)pthread_join(slow, NULL);
	for (int i = 0; i <= CALLERS; i++)
		(void)close(connections[i]);
	users_platform_stop(platform);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"planned stop beside a slow caller",
		test_planned_stop_beside_a_slow_caller},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("slow caller", tests);
}
