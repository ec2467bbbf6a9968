/*
 * The same crowds as in fail_crowds, at instances that serve ibistrestle's own
 * interface.
 */
#include <stdio.h>
#include <string.h>

#include "common_crowd.h"
#include "common_cunit.h"
#include "common_failure.h"
#include "common_jobs.h"
#include "process/alloc.h"

#define SEED	       20261203
#define TIME_SCALE     4
#define RUN_MS	       200
#define PAUSE_MS       250
#define MAX_TRIES      80
#define MEMBERS	       300
#define LONG_MEMBERS   80
#define FIELDS_MEMBERS 8
#define JOB_TIMEOUT_MS 30000

/* Under the settings of the test. */
static const struct crowd_limits limits = {.memory_mb = 32, .descriptors = 400};

static struct deployment deployment;
static uint32_t jobs;

static const char *const places[] = {"/v1/jobs", "/none", "/v1/ready"};

static struct deployment_config config = {
    .instances = 1,
    .time_scale = TIME_SCALE,
    .seed = SEED,
    .settings = {"max_connections=64", "max_bodies_bytes=4194304", NULL},
};

static void
open_instance(void)
{
	jobs = 0;
	config.document_path = deployment_source_path("tests/data/site.jsonc");
	CU_ASSERT_TRUE_FATAL(deployment_start(&deployment, &config));
}

static void
expect_within_limits(enum crowd_kind kind, const char *path)
{
	crowd_expect_within(
	    &deployment.instances[0].process, &limits, kind, path);
}

static void
expect_job_runs(void)
{
	char key[32];
	char id[JOB_ID_BYTES];
	char outcome[JOB_NAME_BYTES] = "";
	bool submitted = false;
	struct job_spec spec = {
	    .workspace = "one",
	    .request_class = "plan",
	    .key = key,
	    .tasks = 1,
	    .accelerators = 1,
	    .run_time_ms = RUN_MS,
	};

	(void)snprintf(key, sizeof(key), "crowd-%u", (unsigned int)++jobs);
	/* It may be refused as not run while the crowd has all connections. */
	for (int i = 0; !submitted && i < MAX_TRIES; i++) {
		submitted = job_submit(&deployment, 0, &spec, id) == IBIS_OK;
		if (!submitted)
			process_sleep(PAUSE_MS);
	}
	CU_ASSERT_TRUE(submitted);
	job_wait(&deployment, id, JOB_TIMEOUT_MS, outcome);
	CU_ASSERT_STRING_EQUAL(outcome, "finished");
}

/* Plays a crowd at each place, one after the other; a job is handed in after
 * it. */
static void
play(enum crowd_kind kind, size_t members)
{
	open_instance();
	for (size_t i = 0; i < COUNT_OF(places); i++) {
		struct crowd crowd;

		crowd_open(&crowd, kind, members,
		    deployment.instances[0].caller, places[i]);
		expect_within_limits(kind, places[i]);
		crowd_close(&crowd);
		expect_job_runs();
		expect_within_limits(kind, places[i]);
	}
	deployment_stop(&deployment, false);
}

/* Guard against an instance that keeps all bodies that stop short of their
 * end. */
static void
test_bodies_whole(void)
{
	play(CROWD_BODIES_WHOLE, MEMBERS);
}

static void
test_bodies_in_pieces(void)
{
	play(CROWD_BODIES_PIECES, MEMBERS);
}

static void
test_bodies_in_chunks(void)
{
	play(CROWD_BODIES_CHUNKED, MEMBERS);
}

static void
test_bodies_too_long(void)
{
	play(CROWD_BODIES_TOO_LONG, LONG_MEMBERS);
}

/* Guards against bodies that take many times their size once parsed. */
static void
test_short_fields(void)
{
	play(CROWD_SHORT_FIELDS, FIELDS_MEMBERS);
}

/* Guard against what piles up for callers that don't read or go on. */
static void
test_requests_sent_ahead(void)
{
	play(CROWD_SENT_AHEAD, LONG_MEMBERS);
}

static void
test_half_headers(void)
{
	play(CROWD_HALF_HEADERS, MEMBERS);
}

static void
test_answers_not_read(void)
{
	play(CROWD_SLOW_READERS, MEMBERS);
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
	    CU_TEST_INFO_NULL,
	};

	return run_suite("crowds at the own interface", tests);
}
