/*
 * A workspace's guaranteed shape can always be reclaimed: it runs within the
 * bound of the urgent class although others hold all capacity, and work that
 * would be lost by its eviction is never what stands in the way.
 */
#include <stdio.h>
#include <string.h>

#include "common_cunit.h"
#include "common_failure.h"
#include "common_jobs.h"
#include "process/alloc.h"
#include "process/clock.h"

#define INSTANCES	3
#define SEED		20261203
#define START_BOUND_MS	4200
#define BORROWER_RUN_MS 120000
#define OWNER_RUN_MS	300
#define FILL_TIMEOUT_MS 15000
#define OWNER_WAIT_MS	15000
#define MAX_BORROWERS	64
#define WORKERS		12
#define WORKER_SIZE	8
#define KEY_BYTES	64

static struct deployment deployment;

/* Work of workspace two that takes all the capacity it can get. */
struct borrowers {
	const char *name;
	const char *payload;
	uint32_t count;
	uint32_t tasks;
	uint32_t accelerators;
	int32_t declared_ms;
	bool idempotent;
	bool checkpointable;
	size_t starts; /* tasks that must have started before the owner asks */
	char ids[MAX_BORROWERS][JOB_ID_BYTES];
};

static void
submit_borrowers(struct borrowers *borrowers)
{
	for (uint32_t i = 0; i < borrowers->count; i++) {
		char key[KEY_BYTES];
		struct job_plan plan = {
		    .workspace = "two",
		    .request_class = "summary",
		    .key = key,
		    .adjacency = "any",
		    .payload = borrowers->payload,
		    .tasks = borrowers->tasks,
		    .accelerators = borrowers->accelerators,
		    .run_time_ms = borrowers->declared_ms,
		    .idempotent = borrowers->idempotent,
		    .checkpointable = borrowers->checkpointable,
		};

		(void)snprintf(key, sizeof(key), "%s-%u", borrowers->name, i);
		CU_ASSERT_EQUAL(job_submit(&deployment, i % INSTANCES, &plan,
				    borrowers->ids[i]),
		    IBIS_OK);
	}
	CU_ASSERT_TRUE_FATAL(deployment_wait_events(deployment.workers_log,
	    "start", borrowers->starts, FILL_TIMEOUT_MS));
}

/* An urgent job of exactly an owner's guaranteed shape. */
struct owner {
	const char *workspace;
	const char *key;
	uint32_t tasks;
	uint32_t accelerators;
	char id[JOB_ID_BYTES];
	int64_t asked_ms;
};

static void
ask(struct owner *owner)
{
	struct job_plan plan = {
	    .workspace = owner->workspace,
	    .request_class = "urgent",
	    .key = owner->key,
	    .adjacency = "rack",
	    .payload = "",
	    .tasks = owner->tasks,
	    .accelerators = owner->accelerators,
	    .run_time_ms = OWNER_RUN_MS,
	    .idempotent = true,
	};

	owner->asked_ms = clock_now_ms();
	CU_ASSERT_EQUAL_FATAL(
	    job_submit(&deployment, 1, &plan, owner->id), IBIS_OK);
}

/* Returns when the last task of a job's first whole start began. */
static int64_t
last_start_ms(const struct log *log, const char *id, uint32_t tasks)
{
	uint32_t seen = 0;

	for (size_t i = 0; i < log->count; i++) {
		const struct log_record *record = &log->records[i];

		if (!log_is_start(record) ||
		    strcmp(log_value(record, "job"), id) != 0)
			continue;
		if (++seen == tasks)
			return record->t_ms;
	}
	return INT64_MAX;
}

static void
judge_owner(const struct owner *owner)
{
	CLEANUP(log_free) struct log log = {0};
	char outcome[JOB_NAME_BYTES];
	int64_t waited_ms;

	job_wait(&deployment, owner->id, OWNER_WAIT_MS, outcome);
	CU_ASSERT_STRING_EQUAL(outcome, "finished");
	CU_ASSERT_TRUE_FATAL(log_read(&log, deployment.workers_log));
	waited_ms =
	    last_start_ms(&log, owner->id, owner->tasks) - owner->asked_ms;
	(void)printf(
	    "\n%s ran after %lld ms\n", owner->key, (long long)waited_ms);
	CU_ASSERT(waited_ms <= START_BOUND_MS);
}

/* Work that can be neither rerun nor resumed was not stopped. */
static void
judge_not_stopped(const struct borrowers *borrowers)
{
	CLEANUP(log_free) struct log log = {0};
	size_t stopped = 0;

	CU_ASSERT_TRUE_FATAL(log_read(&log, deployment.workers_log));
	for (size_t i = 0; i < log.count; i++) {
		const struct log_record *record = &log.records[i];
		bool ended = strcmp(record->event, "stop") == 0 ||
		    strcmp(record->event, "checkpointed") == 0;

		for (uint32_t k = 0; ended && k < borrowers->count; k++) {
			if (strcmp(log_value(record, "job"),
				borrowers->ids[k]) == 0 &&
			    strcmp(log_value(record, "started"), "true") == 0)
				stopped++;
		}
	}
	CU_ASSERT_EQUAL(stopped, 0);
}

static void
one_owner_against(struct borrowers *borrowers, const char *zone_out)
{
	struct owner owner = {
	    .workspace = "one",
	    .key = borrowers->name,
	    .tasks = 2,
	    .accelerators = WORKER_SIZE,
	};
	CLEANUP(client_answer_free) struct client_answer answer = {0};

	failure_start(&deployment, INSTANCES, 1, SEED);
	submit_borrowers(borrowers);
	if (zone_out != NULL)
		CU_ASSERT_EQUAL(
		    deployment_zone(&deployment, 0, zone_out, "out", &answer),
		    IBIS_OK);
	ask(&owner);
	judge_owner(&owner);
	if (!borrowers->idempotent && !borrowers->checkpointable)
		judge_not_stopped(borrowers);
	failure_stop(&deployment);
}

/* Jobs of a whole worker each, as many as there are workers, that may be
 * evicted. */
static struct borrowers
whole_workers(const char *name)
{
	return (struct borrowers){
	    .name = name,
	    .payload = "",
	    .count = WORKERS,
	    .tasks = 1,
	    .accelerators = WORKER_SIZE,
	    .declared_ms = BORROWER_RUN_MS,
	    .idempotent = true,
	    .checkpointable = true,
	    .starts = WORKERS,
	};
}

static void
test_full_of_small_jobs(void)
{
	struct borrowers borrowers = {
	    .name = "small",
	    .payload = "",
	    .count = 48,
	    .tasks = 1,
	    .accelerators = 2,
	    .declared_ms = BORROWER_RUN_MS,
	    .idempotent = true,
	    .checkpointable = true,
	    .starts = 48,
	};

	one_owner_against(&borrowers, NULL);
}

static void
test_full_of_gangs(void)
{
	struct borrowers borrowers = {
	    .name = "gangs",
	    .payload = "",
	    .count = 3,
	    .tasks = 4,
	    .accelerators = WORKER_SIZE,
	    .declared_ms = BORROWER_RUN_MS,
	    .idempotent = true,
	    .checkpointable = true,
	    .starts = WORKERS,
	};

	one_owner_against(&borrowers, NULL);
}

static void
test_checkpoint_ignored(void)
{
	struct borrowers borrowers = whole_workers("ignoring");

	borrowers.payload = "ignore_checkpoint";
	one_owner_against(&borrowers, NULL);
}

static void
test_overrunning(void)
{
	struct borrowers borrowers = {
	    .name = "overrunning",
	    .payload = "actual_ms=120000",
	    .count = WORKERS,
	    .tasks = 1,
	    .accelerators = WORKER_SIZE,
	    .declared_ms = 100,
	    .idempotent = true,
	    .starts = WORKERS,
	};

	one_owner_against(&borrowers, NULL);
}

/* Two workers of the guarantee of one, and two halves of that of two, are all
 * that such work must leave free. */
static void
test_what_eviction_would_lose(void)
{
	struct borrowers borrowers = {
	    .name = "once-only",
	    .payload = "",
	    .count = WORKERS,
	    .tasks = 1,
	    .accelerators = WORKER_SIZE,
	    .declared_ms = BORROWER_RUN_MS,
	    .starts = WORKERS - 2,
	};

	one_owner_against(&borrowers, NULL);
}

static void
test_while_a_zone_leaves(void)
{
	struct borrowers borrowers = whole_workers("zone-out");

	one_owner_against(&borrowers, "c");
}

static void
test_two_owners_at_once(void)
{
	struct borrowers borrowers = whole_workers("two-owners");
	struct owner one = {
	    .workspace = "one",
	    .key = "owner-one",
	    .tasks = 2,
	    .accelerators = WORKER_SIZE,
	};
	struct owner two = {
	    .workspace = "two",
	    .key = "owner-two",
	    .tasks = 2,
	    .accelerators = WORKER_SIZE / 2,
	};

	failure_start(&deployment, INSTANCES, 1, SEED);
	submit_borrowers(&borrowers);
	ask(&one);
	ask(&two);
	judge_owner(&one);
	judge_owner(&two);
	failure_stop(&deployment);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"full of small jobs", test_full_of_small_jobs},
	    {"full of gangs", test_full_of_gangs},
	    {"checkpoint ignored", test_checkpoint_ignored},
	    {"overrunning", test_overrunning},
	    {"what eviction would lose", test_what_eviction_would_lose},
	    {"while a zone leaves", test_while_a_zone_leaves},
	    {"two owners at once", test_two_owners_at_once},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("reclaim", tests);
}
