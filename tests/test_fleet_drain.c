/* Tests of workers that leave: which tasks are moved before. */
#include <stdio.h>

#include "common_cunit.h"
#include "fleet/fleet.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define WORKERS	     3
#define ACCELERATORS 8
#define LEASE_MS     6000
#define START_MS     1000000
#define INCARNATION  1
#define ESTIMATE_MS  10000
#define NOTICE_MS    4000
#define JOB	     "00000000000000aa"

struct fixture {
	struct fleet *fleet;
	int64_t now_ms;
	uint64_t revision;
	struct fleet_worker_entry entries[WORKERS];
};

/* Passes a worker's report to the fleet. It lists the job's task unless percent
 * is below 0. */
static void
report(struct fixture *fixture, size_t index, int32_t percent, uint64_t run)
{
	struct fleet_worker *worker =
	    fleet_find_worker(fixture->fleet, fixture->entries[index].id);
	struct fleet_poll poll = {.fence = fleet_worker_fence(worker)};
	struct fleet_reported_run listed = {
	    .task = {.job = JOB, .index = (uint32_t)index},
	    .run = run,
	    .checkpoint = "",
	    .percent = percent,
	};
	struct fleet_report report = {
	    .sent_ms = fixture->now_ms,
	    .received_ms = fixture->now_ms,
	    .clock_ms = fixture->now_ms,
	    .incarnation_wall_ms = INCARNATION,
	    .runs = &listed,
	    .runs_count = percent >= 0,
	};

	fleet_apply_report(
	    fixture->fleet, worker, &poll, &report, fixture->now_ms);
}

static void
open_fixture(struct fixture *fixture)
{
	struct fleet_config config = {
	    .lease_ms = LEASE_MS,
	    .max_lease_ms = LEASE_MS,
	    .remote_factor = 3,
	};

	*fixture = (struct fixture){.now_ms = START_MS};
	fixture->fleet = fleet_new(&config, START_MS);
	for (size_t i = 0; i < WORKERS; i++) {
		struct fleet_worker_entry *entry = &fixture->entries[i];

		*entry = (struct fleet_worker_entry){
		    .service = "s",
		    .address = "10.0.0.1:80",
		    .resources = {.accelerators = ACCELERATORS},
		};
		(void)snprintf(entry->id, sizeof(entry->id), "w%zu", i);
		(void)fleet_set_worker(fixture->fleet, entry, START_MS);
		report(fixture, i, -1, 0);
	}
}

static void
close_fixture(struct fixture *fixture)
{
	fleet_free(fixture->fleet);
}

/* Stores all records and decides. Returns the number of orders of a kind. */
static size_t
decide(struct fixture *fixture, enum fleet_order_kind kind)
{
	const struct fleet_order *orders;
	struct fleet_job *job;
	size_t found = 0;
	size_t count;

	while ((job = fleet_take_unrecorded(fixture->fleet)) != NULL)
		fleet_record_stored(fixture->fleet, job, ++fixture->revision);
	count = fleet_decide(
	    fixture->fleet, fixture->now_ms, fixture->now_ms, &orders);
	for (size_t i = 0; i < count; i++)
		found += orders[i].kind == kind;
	return found;
}

/* Starts a job with a task on each of the first workers. */
static void
start_job(struct fixture *fixture, uint32_t tasks, bool gang)
{
	Ibis__StepJob *spec = mem_calloc(1, sizeof(*spec));
	Ibis__JobStep *step = mem_calloc(1, sizeof(*step));

	ibis__step_job__init(spec);
	ibis__job_step__init(step);
	spec->steps = mem_calloc(1, sizeof(struct Ibis__JobStep *));
	spec->steps[0] = step;
	spec->n_steps = 1;
	spec->attempts = 1;
	proto_set_string(&spec->service, "s");
	step->tasks = tasks;
	step->accelerators = ACCELERATORS;
	step->gang = gang;
	step->estimate_ms = ESTIMATE_MS;
	CU_ASSERT_PTR_NOT_NULL_FATAL(
	    fleet_add_job(fixture->fleet, JOB, spec, NULL, 0, fixture->now_ms));
	(void)decide(fixture, FLEET_START);
	CU_ASSERT_EQUAL_FATAL(decide(fixture, FLEET_START), tasks);
	for (size_t i = 0; i < tasks; i++) {
		struct fleet_task_id id = {.job = JOB, .index = (uint32_t)i};

		fleet_handle_start_answer(fixture->fleet,
		    fleet_find_worker(fixture->fleet, fixture->entries[i].id),
		    &id, 1, FLEET_STARTED, fixture->now_ms);
	}
}

/* Lets time pass, and all workers report the progress of their tasks. */
static void
run_for(struct fixture *fixture, int64_t ms, uint32_t tasks, int32_t percent)
{
	fixture->now_ms += ms;
	for (size_t i = 0; i < tasks; i++)
		report(fixture, i, percent, 1);
}

static void
drain(struct fixture *fixture, size_t index, int64_t remaining_ms)
{
	fixture->entries[index].draining = true;
	fixture->entries[index].remaining_ms = remaining_ms;
	(void)fleet_set_worker(
	    fixture->fleet, &fixture->entries[index], fixture->now_ms);
}

/* Guards against work that goes down with a worker that had said when it
 * leaves, and whose task then waited for the end of the worker's lease. */
static void
test_task_that_outlasts_the_notice_is_moved_at_once(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	start_job(&fixture, 1, false);
	run_for(&fixture, 2000, 1, 20);
	drain(&fixture, 0, NOTICE_MS);
	CU_ASSERT_EQUAL(decide(&fixture, FLEET_STOP), 1);
	CU_ASSERT_EQUAL(decide(&fixture, FLEET_STOP), 0);
}

static void
test_task_that_ends_within_the_notice_stays(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	start_job(&fixture, 1, false);
	run_for(&fixture, 8000, 1, 80);
	drain(&fixture, 0, NOTICE_MS);
	CU_ASSERT_EQUAL(decide(&fixture, FLEET_STOP), 0);
}

/* Guards against moves of tasks that are about to end: their progress counted
 * as that of now, although the last report was older. */
static void
test_age_of_progress_counts(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	start_job(&fixture, 1, false);
	run_for(&fixture, 8000, 1, 80);
	fixture.now_ms += 600;
	drain(&fixture, 0, 2000);
	CU_ASSERT_EQUAL(decide(&fixture, FLEET_STOP), 0);
}

/* Guards against a gang that goes on without the member that would be lost. */
static void
test_gang_with_a_member_on_a_leaving_worker_is_moved_whole(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	start_job(&fixture, 2, true);
	run_for(&fixture, 2000, 2, 20);
	drain(&fixture, 1, NOTICE_MS);
	CU_ASSERT_EQUAL(decide(&fixture, FLEET_STOP), 2);
}

/* Guards against moves because of a worker that drains for as long as its tasks
 * need, or has changed its mind. */
static void
test_unknown_time_of_leaving_moves_nothing(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	start_job(&fixture, 1, false);
	run_for(&fixture, 2000, 1, 20);
	drain(&fixture, 0, 0);
	CU_ASSERT_EQUAL(decide(&fixture, FLEET_STOP), 0);
	drain(&fixture, 0, -1);
	CU_ASSERT_EQUAL(decide(&fixture, FLEET_STOP), 0);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a task that outlasts the notice is moved at once",
		test_task_that_outlasts_the_notice_is_moved_at_once},
	    {"a task that ends within the notice stays",
		test_task_that_ends_within_the_notice_stays},
	    {"the age of progress counts", test_age_of_progress_counts},
	    {"a gang with a member on a leaving worker is moved whole",
		test_gang_with_a_member_on_a_leaving_worker_is_moved_whole},
	    {"an unknown time of leaving moves nothing",
		test_unknown_time_of_leaving_moves_nothing},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("fleet_drain", tests);
}
