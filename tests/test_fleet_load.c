/* Tests of placement under load: many jobs that wait for full workers. */
#include <inttypes.h>
#include <stdio.h>

#include "common_cunit.h"
#include "fleet/fleet.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define WORKERS	     60
#define ACCELERATORS 8
#define CPU_MILLI    128000
#define MEMORY_MB    262144
#define LEASE_MS     6000
#define START_MS     1000000
#define BACKLOG	     300
#define INCARNATION  1
#define ROUND_MS     100
#define WORK_MS	     3000
/* A lead's lease is 1 s, also on a quarter of a core: a decision has to be a
 * small part of that, whatever waits. */
#define VISITS_MOST    500000
#define ORDERS_MOST    512
#define OVERDUE_MOST   256
#define OVERDUE_TIMES  25000
#define DISTINCT_NEEDS 20000
/* One for free capacity, and one for what may be preempted. */
#define SEARCHES_MOST 2

struct fixture {
	struct fleet *fleet;
	int64_t now_ms;
	uint64_t jobs;
	uint64_t revision;
};

static void
report_idle(struct fixture *fixture, struct fleet_worker *worker)
{
	struct fleet_poll poll = {.fence = fleet_worker_fence(worker)};
	struct fleet_report report = {
	    .sent_ms = fixture->now_ms,
	    .received_ms = fixture->now_ms,
	    .clock_ms = fixture->now_ms,
	    .incarnation_wall_ms = INCARNATION,
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
	for (int i = 0; i < WORKERS; i++) {
		char id[8];
		struct fleet_worker_entry entry = {
		    .id = id,
		    .service = "s",
		    .address = "10.0.0.1:80",
		    .rack = "r",
		    .resources = {CPU_MILLI, MEMORY_MB, ACCELERATORS},
		};

		(void)snprintf(id, sizeof(id), "w%02d", i);
		report_idle(fixture,
		    fleet_set_worker(fixture->fleet, &entry, START_MS));
	}
}

static void
close_fixture(struct fixture *fixture)
{
	fleet_free(fixture->fleet);
}

/* Adds a job of one step. Returns the step, for changes before the next
 * decision. */
static Ibis__JobStep *
submit_for(struct fixture *fixture, const char *workspace, uint32_t priority,
    uint32_t tasks, int64_t accelerators)
{
	Ibis__StepJob *spec = mem_calloc(1, sizeof(*spec));
	Ibis__JobStep *step = mem_calloc(1, sizeof(*step));
	char id[FLEET_ID_BYTES];

	ibis__step_job__init(spec);
	ibis__job_step__init(step);
	spec->steps = mem_calloc(1, sizeof(struct Ibis__JobStep *));
	spec->steps[0] = step;
	spec->n_steps = 1;
	spec->attempts = 1;
	spec->priority = priority;
	proto_set_string(&spec->service, "s");
	proto_set_string(&spec->workspace, workspace);
	step->tasks = tasks;
	step->accelerators = accelerators;
	(void)snprintf(id, sizeof(id), "%016" PRIx64, ++fixture->jobs);
	CU_ASSERT_PTR_NOT_NULL_FATAL(
	    fleet_add_job(fixture->fleet, id, spec, NULL, 0, fixture->now_ms));
	return step;
}

static Ibis__JobStep *
submit(struct fixture *fixture, uint32_t priority, uint32_t tasks,
    int64_t accelerators)
{
	return submit_for(fixture, "t", priority, tasks, accelerators);
}

/* Stores all records and decides. Returns the number of orders. */
static size_t
decide(struct fixture *fixture)
{
	const struct fleet_order *orders;
	struct fleet_job *job;

	fixture->now_ms += ROUND_MS;
	while ((job = fleet_take_unrecorded(fixture->fleet)) != NULL)
		fleet_record_stored(fixture->fleet, job, ++fixture->revision);
	return fleet_decide(
	    fixture->fleet, fixture->now_ms, fixture->now_ms, &orders);
}

static struct fleet_usage
usage(const struct fixture *fixture)
{
	struct fleet_usage usage;

	fleet_usage(fixture->fleet, &usage);
	return usage;
}

/* Places tasks that leave no accelerator free. */
static void
fill_workers(struct fixture *fixture, uint32_t priority)
{
	(void)submit(fixture, priority, WORKERS, ACCELERATORS);
	(void)decide(fixture);
	CU_ASSERT_EQUAL_FATAL(usage(fixture).placed_tasks, WORKERS);
}

/* Guards against a lead that falls behind in a burst: each decision searched
 * all workers once for each of the waiting jobs. */
static void
test_burst_is_searched_for_once(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	uint64_t searches;

	open_fixture(&fixture);
	fill_workers(&fixture, 1);
	for (int i = 0; i < BACKLOG; i++)
		(void)submit(&fixture, 1, 1 + i % 5, 1 + i % ACCELERATORS);
	searches = usage(&fixture).searches;
	(void)decide(&fixture);
	CU_ASSERT_EQUAL(usage(&fixture).searches - searches, 1);
	CU_ASSERT_EQUAL(usage(&fixture).jobs_pending, BACKLOG);
}

/* The same for urgent jobs, of which none may preempt another. */
static void
test_urgent_burst_is_searched_for_once(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	uint64_t searches;

	open_fixture(&fixture);
	fill_workers(&fixture, 0);
	for (int i = 0; i < BACKLOG; i++)
		submit(&fixture, 0, 5, 2)->gang = true;
	searches = usage(&fixture).searches;
	(void)decide(&fixture);
	CU_ASSERT_TRUE(usage(&fixture).searches - searches <= SEARCHES_MOST);
}

/* Guards against jobs that wait behind a larger one although they fit. */
static void
test_smaller_need_is_placed_behind_a_larger_one(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	(void)submit(&fixture, 1, WORKERS, ACCELERATORS - 2);
	(void)decide(&fixture);
	(void)submit(&fixture, 1, 1, 4);
	submit(&fixture, 1, WORKERS + 1, 2)->gang = true;
	submit(&fixture, 1, WORKERS, 2)->gang = true;
	(void)decide(&fixture);
	CU_ASSERT_EQUAL(usage(&fixture).placed_tasks, WORKERS);
	CU_ASSERT_EQUAL(usage(&fixture).waiting_tasks, WORKERS + 2);
}

/* Guards against jobs that wait because another one may use fewer workers. */
static void
test_need_of_some_workers_is_not_that_of_all(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	proto_set_string(&submit(&fixture, 1, 1, 1)->label, "none has it");
	submit(&fixture, 1, WORKERS + 1, 2)->max_per_worker = 1;
	submit(&fixture, 1, WORKERS + 1, 2)->gang = true;
	(void)submit(&fixture, 1, 1, 3);
	(void)decide(&fixture);
	CU_ASSERT_EQUAL(usage(&fixture).waiting_tasks, 2);
}

/* Guards against a start in room that is only reckoned to be free, and against
 * one that never comes: an urgent job preempts a gang on all workers, and what
 * it leaves is used in the same decision. */
static void
test_room_freed_by_preemption_is_used_at_once(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	Ibis__JobStep *gang;

	open_fixture(&fixture);
	gang = submit(&fixture, 2, WORKERS, ACCELERATORS);
	gang->gang = true;
	(void)decide(&fixture);
	CU_ASSERT_EQUAL(decide(&fixture), WORKERS);
	(void)submit(&fixture, 0, 1, ACCELERATORS);
	(void)submit(&fixture, 1, 1, ACCELERATORS);
	CU_ASSERT_EQUAL(decide(&fixture), WORKERS);
	CU_ASSERT_EQUAL(usage(&fixture).placed_tasks, 2);
	/* Nothing starts before the gang's ends are reported. */
	CU_ASSERT_EQUAL(decide(&fixture), 0);
}

/* Guards against urgent jobs that push each other out of the room that they
 * have reclaimed, at each decision: one over its workspace's guarantee, which
 * had not started yet, counted as cheaper to stop than any work under way. So
 * each time other work was stopped for it again. */
static void
test_urgent_job_keeps_reclaimed_room(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	fleet_set_guarantee(
	    fixture.fleet, "t", (int64_t)WORKERS * ACCELERATORS);
	fill_workers(&fixture, 1);
	CU_ASSERT_EQUAL(decide(&fixture), WORKERS);
	fixture.now_ms += WORK_MS;
	(void)submit_for(&fixture, "u", 0, 1, ACCELERATORS);
	CU_ASSERT_EQUAL(decide(&fixture), 1);
	(void)submit_for(&fixture, "t", 0, 1, ACCELERATORS);
	CU_ASSERT_EQUAL(decide(&fixture), 1);
	CU_ASSERT_EQUAL(usage(&fixture).placed_tasks, 2);
	CU_ASSERT_EQUAL(decide(&fixture), 0);
	CU_ASSERT_EQUAL(usage(&fixture).placed_tasks, 2);
}

/* Guards against a guarantee that is not kept: where there is nothing else to
 * preempt, an urgent job over its workspace's guarantee gives way. */
static void
test_guaranteed_job_preempts_urgent_one_over_guarantee(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	fleet_set_guarantee(fixture.fleet, "t", ACCELERATORS);
	(void)submit_for(&fixture, "u", 0, WORKERS, ACCELERATORS);
	(void)decide(&fixture);
	CU_ASSERT_EQUAL(decide(&fixture), WORKERS);
	(void)submit_for(&fixture, "t", 0, 1, ACCELERATORS);
	CU_ASSERT_EQUAL(decide(&fixture), 1);
	CU_ASSERT_EQUAL(usage(&fixture).placed_tasks, 1);
}

/* Adds a schedule of one task that has been due for OVERDUE_TIMES ms. */
static void
submit_overdue(struct fixture *fixture)
{
	Ibis__StepJob *spec = mem_calloc(1, sizeof(*spec));
	Ibis__JobStep *step = mem_calloc(1, sizeof(*step));

	ibis__step_job__init(spec);
	ibis__job_step__init(step);
	spec->steps = mem_calloc(1, sizeof(struct Ibis__JobStep *));
	spec->steps[0] = step;
	spec->n_steps = 1;
	spec->attempts = 1;
	spec->priority = 1;
	spec->times = OVERDUE_TIMES;
	spec->interval_ms = 1;
	spec->first_wall_ms = fixture->now_ms - OVERDUE_TIMES;
	proto_set_string(&spec->service, "s");
	proto_set_string(&spec->workspace, "overdue");
	step->tasks = 1;
	step->accelerators = 1;
	(void)fleet_add_job(
	    fixture->fleet, "00000000000000ff", spec, NULL, 0, fixture->now_ms);
}

/* Guards against a lead that loses its lease in one decision: all overdue
 * occurrences of a schedule waited at once, and each was compared with each. */
static void
test_overdue_occurrences_wait_in_part(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	size_t ordered = 0;

	open_fixture(&fixture);
	submit_overdue(&fixture);
	(void)submit(&fixture, 1, 1, ACCELERATORS);
	(void)decide(&fixture);
	CU_ASSERT_TRUE(usage(&fixture).placed_tasks > OVERDUE_MOST);
	/* As soon as some have begun, others follow while there is room. */
	for (int i = 0; i < 10; i++) {
		CU_ASSERT_TRUE(usage(&fixture).waiting_tasks <= OVERDUE_MOST);
		ordered += decide(&fixture);
	}
	CU_ASSERT_EQUAL(ordered, 1 + (WORKERS - 1) * ACCELERATORS);
}

/* Adds many jobs that no worker may run, and that are searched for one by one.
 */
static void
submit_unplaceable(struct fixture *fixture)
{
	for (int i = 0; i < DISTINCT_NEEDS; i++) {
		Ibis__JobStep *step = submit(fixture, 1, 1, 1);

		proto_set_string(&step->label, "none has it");
		step->max_per_worker = 1;
	}
}

/* Guards against a decision that takes longer than the lead's lease, and
 * against work that no decision comes to: each job is searched for, and only
 * the last one has workers. */
static void
test_searches_of_a_round_are_bounded(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	uint64_t most = VISITS_MOST / WORKERS + 1;
	int decisions = 0;

	open_fixture(&fixture);
	submit_unplaceable(&fixture);
	fixture.now_ms++;
	(void)submit(&fixture, 1, 1, 1);
	while (usage(&fixture).placed_tasks == 0 && decisions < 10) {
		uint64_t searches = usage(&fixture).searches;

		(void)decide(&fixture);
		decisions++;
		CU_ASSERT_TRUE(usage(&fixture).searches - searches <= most);
	}
	CU_ASSERT_EQUAL(usage(&fixture).placed_tasks, 1);
	/* What is urgent doesn't wait for the rest of a round. */
	(void)submit(&fixture, 0, 1, 1);
	(void)decide(&fixture);
	CU_ASSERT_EQUAL(
	    usage(&fixture).placed_tasks + usage(&fixture).running_tasks, 2);
}

/* Guards against a lead that decides for ever: where nothing can be placed, a
 * round that was cut is gone through once. */
static void
test_cut_round_comes_to_its_end(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	int decisions = 0;

	open_fixture(&fixture);
	submit_unplaceable(&fixture);
	do {
		(void)decide(&fixture);
		decisions++;
	} while (fleet_next_wakeup_ms(fixture.fleet) <= fixture.now_ms &&
	    decisions < 20);
	CU_ASSERT_TRUE(decisions > 1);
	CU_ASSERT_TRUE(decisions < 20);
}

/* Guards against a lead that is busy with orders for longer than its lease: a
 * job of many small tasks is started in parts, a gang as a whole. */
static void
test_orders_of_a_decision_are_bounded(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	Ibis__JobStep *step;
	size_t ordered = 0;

	open_fixture(&fixture);
	step = submit(&fixture, 1, 5000, 0);
	step->cpu_milli = 1;
	(void)decide(&fixture);
	for (int i = 0; i < 12; i++) {
		size_t orders = decide(&fixture);

		CU_ASSERT_TRUE(orders <= ORDERS_MOST);
		ordered += orders;
	}
	CU_ASSERT_EQUAL(ordered, 5000);
	step = submit(&fixture, 1, 2 * ORDERS_MOST, 0);
	step->cpu_milli = 1;
	step->gang = true;
	(void)decide(&fixture);
	CU_ASSERT_EQUAL(decide(&fixture), step->tasks);
}

static const char *
find_service(void *context, const char *route)
{
	(void)route;
	return context;
}

/* Guards against jobs that wait for the longest time between two decisions,
 * although nothing holds them back any more: only a report woke the lead. */
static void
test_what_allows_placements_wakes_the_lead(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	char service[] = "other";

	open_fixture(&fixture);
	(void)submit(&fixture, 1, 1, 1);
	fleet_hold_placements(fixture.fleet, true);
	(void)decide(&fixture);
	CU_ASSERT_TRUE(fleet_next_wakeup_ms(fixture.fleet) > fixture.now_ms);
	fleet_hold_placements(fixture.fleet, false);
	CU_ASSERT_TRUE(fleet_next_wakeup_ms(fixture.fleet) <= fixture.now_ms);
	(void)decide(&fixture);
	CU_ASSERT_TRUE(fleet_next_wakeup_ms(fixture.fleet) > fixture.now_ms);
	fleet_move_jobs(fixture.fleet, find_service, service);
	CU_ASSERT_TRUE(fleet_next_wakeup_ms(fixture.fleet) <= fixture.now_ms);
	(void)decide(&fixture);
	CU_ASSERT_TRUE(fleet_next_wakeup_ms(fixture.fleet) > fixture.now_ms);
	fleet_set_guarantee(fixture.fleet, "t", ACCELERATORS);
	CU_ASSERT_TRUE(fleet_next_wakeup_ms(fixture.fleet) <= fixture.now_ms);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a burst is searched for once", test_burst_is_searched_for_once},
	    {"an urgent burst is searched for once",
		test_urgent_burst_is_searched_for_once},
	    {"a smaller need is placed behind a larger one",
		test_smaller_need_is_placed_behind_a_larger_one},
	    {"a need of some workers is not that of all",
		test_need_of_some_workers_is_not_that_of_all},
	    {"room freed by preemption is used at once",
		test_room_freed_by_preemption_is_used_at_once},
	    {"an urgent job keeps reclaimed room",
		test_urgent_job_keeps_reclaimed_room},
	    {"a guaranteed job preempts an urgent one over guarantee",
		test_guaranteed_job_preempts_urgent_one_over_guarantee},
	    {"overdue occurrences wait in part",
		test_overdue_occurrences_wait_in_part},
	    {"searches of a round are bounded",
		test_searches_of_a_round_are_bounded},
	    {"a cut round comes to its end", test_cut_round_comes_to_its_end},
	    {"orders of a decision are bounded",
		test_orders_of_a_decision_are_bounded},
	    {"what allows placements wakes the lead",
		test_what_allows_placements_wakes_the_lead},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("fleet_load", tests);
}
