/*
 * Guards against a workspace that can't reclaim its guaranteed shape in time
 * while other workspaces' jobs (the borrowers) hold all capacity. An urgent job
 * of that shape must start within the bound of its class, whether the borrowers
 * are small jobs, gangs, ignore checkpoint requests or exceed their declared
 * run time. Jobs whose work eviction would lose must never occupy guaranteed
 * capacity, nor be evicted.
 */
#include <stdio.h>
#include <string.h>

#include "common_cunit.h"
#include "common_failure.h"
#include "common_jobs.h"
#include "process/alloc.h"
#include "process/clock.h"

#define INSTANCES 3
#define SEED	  20261203
/* The urgent class's bound, from the submission to the last task's start. */
#define START_BOUND_MS		4200
#define BORROWER_RUN_MS		120000
#define GUARANTEED_RUN_MS	300
#define FILL_TIMEOUT_MS		15000
#define JOB_TIMEOUT_MS		15000
#define MAX_BORROWERS		64
#define WORKERS			12
#define ACCELERATORS_PER_WORKER 8
#define KEY_BYTES		64

static struct deployment deployment;

/* Jobs of workspace two that take all the capacity they can get. */
struct borrowers {
	const char *name;
	const char *payload;
	uint32_t count;
	uint32_t tasks;
	uint32_t accelerators;
	int32_t declared_ms;
	bool idempotent;
	bool checkpointable;
	size_t starts; /* task starts to wait for */
	char ids[MAX_BORROWERS][JOB_ID_BYTES];
};

static void
submit_borrowers(struct borrowers *borrowers)
{
	for (uint32_t i = 0; i < borrowers->count; i++) {
		char key[KEY_BYTES];
		struct job_spec spec = {
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
		CU_ASSERT_EQUAL(job_submit(&deployment, i % INSTANCES, &spec,
				    borrowers->ids[i]),
		    IBIS_OK);
	}
	CU_ASSERT_TRUE_FATAL(deployment_wait_events(deployment.workers_log,
	    "start", borrowers->starts, FILL_TIMEOUT_MS));
}

/* An urgent job of exactly the shape that its workspace is guaranteed. */
struct guaranteed_job {
	const char *workspace;
	const char *key;
	uint32_t tasks;
	uint32_t accelerators;
	char id[JOB_ID_BYTES];
	int64_t submitted_ms;
};

static void
submit_guaranteed_job(struct guaranteed_job *job)
{
	struct job_spec spec = {
	    .workspace = job->workspace,
	    .request_class = "urgent",
	    .key = job->key,
	    .adjacency = "rack",
	    .payload = "",
	    .tasks = job->tasks,
	    .accelerators = job->accelerators,
	    .run_time_ms = GUARANTEED_RUN_MS,
	    .idempotent = true,
	};

	job->submitted_ms = clock_now_ms();
	CU_ASSERT_EQUAL_FATAL(
	    job_submit(&deployment, 1, &spec, job->id), IBIS_OK);
}

/* Time at which the number of task starts reaches the job's number of tasks;
 * INT64_MAX when it has not. */
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
check_start_delay(const struct guaranteed_job *job)
{
	CLEANUP(log_free) struct log log = {0};
	char outcome[JOB_NAME_BYTES];
	int64_t waited_ms;

	job_wait(&deployment, job->id, JOB_TIMEOUT_MS, outcome);
	CU_ASSERT_STRING_EQUAL(outcome, "finished");
	CU_ASSERT_TRUE_FATAL(log_read(&log, deployment.workers_log));
	waited_ms =
	    last_start_ms(&log, job->id, job->tasks) - job->submitted_ms;
	(void)printf(
	    "\n%s ran after %lld ms\n", job->key, (long long)waited_ms);
	CU_ASSERT(waited_ms <= START_BOUND_MS);
}

/* Checks that no borrower was stopped after its start. */
static void
check_not_stopped(const struct borrowers *borrowers)
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

/* Submits a guaranteed job while the borrowers hold all capacity and, unless
 * zone_out is NULL, that zone has just been taken out of service. */
static void
check_reclaim(struct borrowers *borrowers, const char *zone_out)
{
	struct guaranteed_job job = {
	    .workspace = "one",
	    .key = borrowers->name,
	    .tasks = 2,
	    .accelerators = ACCELERATORS_PER_WORKER,
	};
	CLEANUP(client_answer_free) struct client_answer answer = {0};

	failure_start(&deployment, INSTANCES, 1, SEED);
	submit_borrowers(borrowers);
	if (zone_out != NULL)
		CU_ASSERT_EQUAL(deployment_send_zone_command(
				    &deployment, 0, zone_out, "out", &answer),
		    IBIS_OK);
	submit_guaranteed_job(&job);
	check_start_delay(&job);
	if (!borrowers->idempotent && !borrowers->checkpointable)
		check_not_stopped(borrowers);
	failure_stop(&deployment);
}

/* One evictable job for each worker, which takes all of its accelerators. */
static struct borrowers
whole_worker_borrowers(const char *name)
{
	return (struct borrowers){
	    .name = name,
	    .payload = "",
	    .count = WORKERS,
	    .tasks = 1,
	    .accelerators = ACCELERATORS_PER_WORKER,
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

	check_reclaim(&borrowers, NULL);
}

static void
test_full_of_gangs(void)
{
	struct borrowers borrowers = {
	    .name = "gangs",
	    .payload = "",
	    .count = 3,
	    .tasks = 4,
	    .accelerators = ACCELERATORS_PER_WORKER,
	    .declared_ms = BORROWER_RUN_MS,
	    .idempotent = true,
	    .checkpointable = true,
	    .starts = WORKERS,
	};

	check_reclaim(&borrowers, NULL);
}

static void
test_checkpoint_ignored(void)
{
	struct borrowers borrowers = whole_worker_borrowers("ignoring");

	borrowers.payload = "ignore_checkpoint";
	check_reclaim(&borrowers, NULL);
}

static void
test_overrunning(void)
{
	struct borrowers borrowers = {
	    .name = "overrunning",
	    .payload = "actual_ms=120000",
	    .count = WORKERS,
	    .tasks = 1,
	    .accelerators = ACCELERATORS_PER_WORKER,
	    .declared_ms = 100,
	    .idempotent = true,
	    .starts = WORKERS,
	};

	check_reclaim(&borrowers, NULL);
}

/* Jobs whose work eviction would lose must leave the guaranteed capacity free:
 * two whole workers for workspace one and two halves for workspace two. */
static void
test_not_evictable(void)
{
	struct borrowers borrowers = {
	    .name = "once-only",
	    .payload = "",
	    .count = WORKERS,
	    .tasks = 1,
	    .accelerators = ACCELERATORS_PER_WORKER,
	    .declared_ms = BORROWER_RUN_MS,
	    .starts = WORKERS - 2,
	};

	check_reclaim(&borrowers, NULL);
}

static void
test_while_a_zone_leaves(void)
{
	struct borrowers borrowers = whole_worker_borrowers("zone-out");

	check_reclaim(&borrowers, "c");
}

static void
test_two_owners_at_once(void)
{
	struct borrowers borrowers = whole_worker_borrowers("two-owners");
	struct guaranteed_job one = {
	    .workspace = "one",
	    .key = "owner-one",
	    .tasks = 2,
	    .accelerators = ACCELERATORS_PER_WORKER,
	};
	struct guaranteed_job two = {
	    .workspace = "two",
	    .key = "owner-two",
	    .tasks = 2,
	    .accelerators = ACCELERATORS_PER_WORKER / 2,
	};

	failure_start(&deployment, INSTANCES, 1, SEED);
	submit_borrowers(&borrowers);
	submit_guaranteed_job(&one);
	submit_guaranteed_job(&two);
	check_start_delay(&one);
	check_start_delay(&two);
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
	    {"what eviction would lose", test_not_evictable},
	    {"while a zone leaves", test_while_a_zone_leaves},
	    {"two owners at once", test_two_owners_at_once},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("reclaim", tests);
}
