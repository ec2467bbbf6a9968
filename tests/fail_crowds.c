/*
 * Real instances on the fake platform beside crowds of callers that don't keep
 * to the limits. What is checked does not depend on the machine's speed: the
 * process lives, its memory and descriptors stay within the limits of its
 * settings, and an ordinary job is taken and run.
 */
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#include "common_crowd.h"
#include "common_cunit.h"
#include "common_http.h"
#include "common_users_platform.h"
#include "process/alloc.h"

/* Members of a crowd whose bodies are kept, of those whose parsed bodies are
 * large, and of those that only hold a connection. */
#define BODY_MEMBERS	   300
#define LONG_BODY_MEMBERS  80
#define FIELDS_MEMBERS	   8
#define AHEAD_MEMBERS	   60
#define CONNECTION_MEMBERS 500

/* More than the largest body. */
#define LONG_CHUNKS	 24
#define LONG_CHUNK_BYTES 65536

#define START_MS  8000
#define FINISH_MS 30000
/* Of the test's own process. */
#define TEST_DESCRIPTORS 4096

/* In the settings of the instances. */
static const struct crowd_limits limits = {.memory_mb = 32, .descriptors = 400};

static struct users_platform *platform;
static uint32_t jobs;

enum door {
	DOOR_CALLERS,
	DOOR_READINESS
};

struct place {
	enum door door;
	const char *path;
};

static const struct place places[] = {
    {DOOR_CALLERS, "/q/00000000000000ff"},
    {DOOR_CALLERS, "/none/00000000000000ff"},
    {DOOR_CALLERS, "/ibistrestle/ready"},
    {DOOR_READINESS, "/ibistrestle/ready"},
    {DOOR_READINESS, "/q/00000000000000ff"},
};

static const size_t members[CROWD_KINDS] = {
    [CROWD_BODIES_WHOLE] = BODY_MEMBERS,
    [CROWD_BODIES_PIECES] = BODY_MEMBERS,
    [CROWD_BODIES_CHUNKED] = BODY_MEMBERS,
    [CROWD_BODIES_TOO_LONG] = LONG_BODY_MEMBERS,
    [CROWD_SHORT_FIELDS] = FIELDS_MEMBERS,
    [CROWD_SENT_AHEAD] = AHEAD_MEMBERS,
    [CROWD_HALF_HEADERS] = CONNECTION_MEMBERS,
    [CROWD_SLOW_READERS] = CONNECTION_MEMBERS,
};

static void
raise_own_limit(void)
{
	struct rlimit limit;

	(void)getrlimit(RLIMIT_NOFILE, &limit);
	if (limit.rlim_cur < TEST_DESCRIPTORS &&
	    limit.rlim_max >= TEST_DESCRIPTORS)
		limit.rlim_cur = TEST_DESCRIPTORS;
	(void)setrlimit(RLIMIT_NOFILE, &limit);
}

static void
open_instance(void)
{
	raise_own_limit();
	jobs = 0;
	platform = users_platform_start();
	CU_ASSERT_PTR_NOT_NULL_FATAL(platform);
	users_set_limits(platform, limits.memory_mb, limits.descriptors);
	CU_ASSERT_TRUE(users_start_instance(platform, 0));
	CU_ASSERT_TRUE(users_wait_ready(platform, START_MS));
	CU_ASSERT_TRUE(users_wait_lead(platform, -1, START_MS));
}

static void
gather(struct crowd *crowd, enum crowd_kind kind, const struct place *place)
{
	char address[64];

	if (place->door == DOOR_CALLERS)
		users_caller_address(platform, 0, address, sizeof(address));
	else
		users_ready_address(platform, 0, address, sizeof(address));
	crowd_open(crowd, kind, members[kind], address, place->path);
}

static void
expect_within_limits(enum crowd_kind kind, const char *path)
{
	crowd_expect_within(users_instance(platform, 0), &limits, kind, path);
}

static void
expect_job_runs(void)
{
	jobs++;
	CU_ASSERT_EQUAL(users_submit(platform, 0, jobs, 2), 200);
	CU_ASSERT_TRUE(users_wait_completed(platform, 0, jobs, FINISH_MS));
}

/* Plays a crowd of one kind at each place, one after the other. A job is handed
 * in beside the crowd and one after it. */
static void
play(enum crowd_kind kind)
{
	open_instance();
	for (size_t i = 0; i < COUNT_OF(places); i++) {
		struct crowd crowd;

		gather(&crowd, kind, &places[i]);
		expect_within_limits(kind, places[i].path);
		expect_job_runs();
		crowd_close(&crowd);
		expect_job_runs();
		expect_within_limits(kind, places[i].path);
	}
	users_platform_stop(platform);
}

/* Guard against an instance that keeps all bodies that stop short of their
 * end. */
static void
test_bodies_whole(void)
{
	play(CROWD_BODIES_WHOLE);
}

static void
test_bodies_in_pieces(void)
{
	play(CROWD_BODIES_PIECES);
}

static void
test_bodies_in_chunks(void)
{
	play(CROWD_BODIES_CHUNKED);
}

/* Guards against an instance that keeps the first part of bodies that it will
 * refuse. */
static void
test_bodies_too_long(void)
{
	play(CROWD_BODIES_TOO_LONG);
}

/* Guards against bodies that take a hundred times their size once parsed. */
static void
test_short_fields(void)
{
	play(CROWD_SHORT_FIELDS);
}

/* Guards against answers that pile up for a caller that doesn't read them. */
static void
test_requests_sent_ahead(void)
{
	play(CROWD_SENT_AHEAD);
}

/* Guard against connections that take all descriptors. */
static void
test_half_headers(void)
{
	play(CROWD_HALF_HEADERS);
}

static void
test_answers_not_read(void)
{
	play(CROWD_SLOW_READERS);
}

/* Guards against limits that hold for each kind and not for all together. */
static void
test_all_kinds_at_once(void)
{
	struct crowd crowds[CROWD_KINDS];

	open_instance();
	for (int kind = 0; kind < CROWD_KINDS; kind++)
		gather(&crowds[kind], (enum crowd_kind)kind,
		    &places[(size_t)kind % COUNT_OF(places)]);
	expect_within_limits(CROWD_BODIES_WHOLE, "all");
	expect_job_runs();
	for (int kind = 0; kind < CROWD_KINDS; kind++)
		crowd_close(&crowds[kind]);
	expect_job_runs();
	expect_within_limits(CROWD_BODIES_WHOLE, "all");
	users_platform_stop(platform);
}

/* Guards against a caller that is told to come back with a body that will
 * always be too long, here one that doesn't announce its length. */
static void
test_chunked_body_over_the_limit(void)
{
	CLEANUP(buffer_free) struct buffer request = {0};
	CLEANUP(buffer_free) struct buffer response = {0};
	char address[64];
	int connection;

	open_instance();
	users_caller_address(platform, 0, address, sizeof(address));
	connection = http_connect(address);
	buffer_puts(&request,
	    "POST /q/00000000000000ff HTTP/1.1\r\nHost: h\r\n"
	    "Authorization: Bearer k\r\nTransfer-Encoding: chunked\r\n\r\n");
	for (int i = 0; i < LONG_CHUNKS; i++)
		buffer_printf(&request, "%x\r\n%0*d\r\n", LONG_CHUNK_BYTES,
		    LONG_CHUNK_BYTES, 0);
	buffer_puts(&request, "0\r\n\r\n");
	CU_ASSERT_TRUE(http_write(connection, buffer_string(&request)));
	CU_ASSERT_EQUAL(
	    http_read(connection, &response, FINISH_MS), HTTP_COMPLETE);
	CU_ASSERT_EQUAL(http_status(&response), 413);
	(void)close(connection);
	users_platform_stop(platform);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"bodies that stop short, whole", test_bodies_whole},
	    {"bodies that stop short, in pieces", test_bodies_in_pieces},
	    {"bodies that stop short, in chunks", test_bodies_in_chunks},
	    {"bodies far too long", test_bodies_too_long},
	    {"very many short fields", test_short_fields},
	    {"requests sent ahead", test_requests_sent_ahead},
	    {"half headers", test_half_headers},
	    {"answers not read", test_answers_not_read},
	    {"all kinds at once", test_all_kinds_at_once},
	    {"chunked body over the limit", test_chunked_body_over_the_limit},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("crowds", tests);
}
