/* The fleet's decisions, against a small world of workers. */
#include <stdio.h>

#include "common_cunit.h"
#include "common_world.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define COMPLETED IBIS__STEP_JOB_PHASE__PHASE_COMPLETED
#define FAILED	  IBIS__STEP_JOB_PHASE__PHASE_FAILED
#define CANCELLED IBIS__STEP_JOB_PHASE__PHASE_CANCELLED

static void
check_rules(const struct world *world)
{
	if (world->broken[0] != '\0')
		(void)printf("broken: %s\n", world->broken);
	CU_ASSERT_EQUAL(world->broken[0], '\0');
}

static void
test_steps_run_in_order(void)
{
	CLEANUP(world_close) struct world world;
	size_t job;

	world_open(&world, 4, 2);
	job = world_submit(&world, world_new_job(1, 3, 4, 1), 500);
	world_run(&world, 5000);
	CU_ASSERT_EQUAL(world_phase(&world, job), COMPLETED);
	CU_ASSERT_EQUAL(world.starts, 12);
	check_rules(&world);
}

static void
test_gang_waits_until_all_fit(void)
{
	CLEANUP(world_close) struct world world;
	Ibis__StepJob *gang = world_new_job(1, 1, 4, 8);
	size_t small;
	size_t job;

	gang->steps[0]->gang = true;
	world_open(&world, 4, 4);
	small = world_submit(&world, world_new_job(1, 1, 1, 4), 1000);
	world_run(&world, 200);
	job = world_submit(&world, gang, 500);
	world_run(&world, 400);
	CU_ASSERT_EQUAL(world_running(&world, job), 0);
	world_run(&world, 2000);
	CU_ASSERT_EQUAL(world_phase(&world, small), COMPLETED);
	CU_ASSERT_EQUAL(world_phase(&world, job), COMPLETED);
	check_rules(&world);
}

static void
test_gang_keeps_to_one_rack(void)
{
	CLEANUP(world_close) struct world world;
	Ibis__StepJob *gang = world_new_job(1, 1, 2, 8);
	Ibis__StepJob *filler = world_new_job(1, 1, 1, 1);
	uint32_t in_first = 0;
	size_t job;

	gang->steps[0]->gang = true;
	gang->steps[0]->same_rack = true;
	world_open(&world, 4, 2);
	(void)world_submit(&world, filler, 60000);
	world_run(&world, 200);
	job = world_submit(&world, gang, 2000);
	world_run(&world, 300);
	CU_ASSERT_EQUAL(world_running(&world, job), 2);
	for (size_t i = 0; i < WORLD_RUNS; i++) {
		in_first += world.workers[0].runs[i].used;
		in_first += world.workers[1].runs[i].used;
	}
	CU_ASSERT_TRUE(in_first == 1 || in_first == 2);
	check_rules(&world);
}

static void
test_urgent_job_takes_room_back(void)
{
	CLEANUP(world_close) struct world world;
	Ibis__StepJob *urgent = world_new_job(0, 1, 2, 8);
	size_t first;
	size_t job;

	urgent->steps[0]->gang = true;
	world_open(&world, 2, 2);
	first = world_submit(&world, world_new_job(2, 1, 16, 1), 60000);
	world_run(&world, 300);
	CU_ASSERT_EQUAL(world_running(&world, first), 16);
	job = world_submit(&world, urgent, 500);
	world_run(&world, 300);
	CU_ASSERT_EQUAL(world_running(&world, job), 2);
	world_run(&world, 70000);
	CU_ASSERT_EQUAL(world_phase(&world, first), COMPLETED);
	check_rules(&world);
}

static Ibis__StepJob *
urgent_gang(const char *workspace)
{
	Ibis__StepJob *job = world_new_job(0, 1, 2, 8);

	job->steps[0]->gang = true;
	proto_set_string(&job->workspace, workspace);
	return job;
}

/* Pattern: workers lose a part of their answers, and urgent work that has just
 * been placed on them is waiting for room there. */
static void
test_one_lost_answer_is_no_silence(void)
{
	CLEANUP(world_close) struct world world;
	Ibis__StepJob *urgent = world_new_job(0, 1, 2, 8);
	struct fleet_worker *worker;

	urgent->steps[0]->gang = true;
	world_open(&world, 2, 2);
	(void)world_submit(&world, world_new_job(2, 1, 16, 1), 60000);
	world_run(&world, 300);
	worker = fleet_worker_at(world.fleet, 0);
	CU_ASSERT_FALSE(
	    fleet_look_unanswered(world.fleet, worker, false, world.now_ms));
	CU_ASSERT_TRUE(fleet_worker_answers(worker));
	CU_ASSERT_TRUE(fleet_worker_doubtful(worker));
	CU_ASSERT_TRUE(
	    fleet_look_unanswered(world.fleet, worker, false, world.now_ms));
	CU_ASSERT_FALSE(fleet_worker_answers(worker));
	world_run(&world, 100);
	CU_ASSERT_TRUE(fleet_worker_answers(worker));
	CU_ASSERT_TRUE(
	    fleet_look_unanswered(world.fleet, worker, true, world.now_ms));
	proto_free(&urgent->base);
	world_run(&world, 70000);
	check_rules(&world);
}

/* Pattern: the store is silent, and the lead may not extend what runs beyond
 * what its successor will wait for. */
static void
test_lease_runs_from_an_earlier_time(void)
{
	CLEANUP(world_close) struct world world;
	struct fleet_worker *worker;
	int64_t now_until;
	int64_t before_until;

	world_open(&world, 1, 1);
	world_run(&world, 300);
	worker = fleet_worker_at(world.fleet, 0);
	now_until =
	    fleet_grant_lease(world.fleet, worker, world.now_ms, world.now_ms);
	before_until = fleet_grant_lease(
	    world.fleet, worker, world.now_ms - 700, world.now_ms);
	CU_ASSERT_EQUAL(now_until - before_until, 700);
}

/* Pattern: a lead takes over after a zone with workers has been lost; it knows
 * them from the records only. */
static void
test_nothing_is_sent_to_an_unlisted_worker(void)
{
	struct fleet_config config = {.lease_ms = 6000, .max_lease_ms = 10000};
	char gone[] = "gone";
	struct fleet *fleet = fleet_new(&config, 1000);
	Ibis__StepJob *spec = world_new_job(1, 1, 1, 1);
	Ibis__TaskProgress task = IBIS__TASK_PROGRESS__INIT;
	Ibis__TaskProgress *tasks[] = {&task};
	Ibis__OccurrenceProgress first = IBIS__OCCURRENCE_PROGRESS__INIT;
	Ibis__OccurrenceProgress *occurrences[] = {&first};
	Ibis__JobProgress progress = IBIS__JOB_PROGRESS__INIT;
	const struct fleet_order *orders;
	struct fleet_job *job;

	task.run = 1;
	task.worker = gone;
	first.tasks = tasks;
	first.n_tasks = 1;
	progress.occurrences = occurrences;
	progress.n_occurrences = 1;
	job =
	    fleet_add_job(fleet, "0123456789abcdef", spec, &progress, 7, 1000);
	fleet_cancel_job(fleet, job, 1000);
	CU_ASSERT_EQUAL(fleet_decide(fleet, 1010, 1010, &orders), 0);
	CU_ASSERT_TRUE(fleet_worker_busy(fleet_find_worker(fleet, "gone")));
	/* The longest that it may have run on. */
	CU_ASSERT_EQUAL(fleet_decide(fleet, 20000, 20000, &orders), 0);
	CU_ASSERT_PTR_NULL(fleet_find_worker(fleet, "gone"));
	fleet_free(fleet);
}

/* A job of one task whose data lies on a rack. */
static Ibis__StepJob *
job_with_data(const char *rack)
{
	Ibis__StepJob *job = world_new_job(2, 1, 1, 8);

	proto_set_string(&job->steps[0]->data_rack, rack);
	job->steps[0]->estimate_ms = 10000;
	return job;
}

/* Pattern: the workers beside the data have been taken away, all others idle.
 */
static void
test_data_without_workers_is_not_waited_for(void)
{
	CLEANUP(world_close) struct world world;
	size_t job;

	world_open(&world, 4, 2);
	job = world_submit(&world, job_with_data("gone"), 500);
	world_run(&world, 300);
	CU_ASSERT_EQUAL(world_running(&world, job), 1);
	check_rules(&world);
}

/* Pattern: the rack with the data is busy for long, and nearly all others are
 * idle. */
static void
test_busy_rack_is_not_waited_for_beside_idle_ones(void)
{
	CLEANUP(world_close) struct world world;
	size_t first;
	size_t job;

	world_open(&world, 8, 2);
	first = world_submit(&world, job_with_data("r0"), 60000);
	(void)world_submit(&world, job_with_data("r0"), 60000);
	world_run(&world, 300);
	CU_ASSERT_EQUAL(world_running(&world, first), 1);
	job = world_submit(&world, job_with_data("r0"), 500);
	world_run(&world, 1500);
	CU_ASSERT_EQUAL(world_running(&world, job), 0);
	world_run(&world, 1000);
	CU_ASSERT_EQUAL(world_running(&world, job), 1);
	check_rules(&world);
}

static bool
is_waiting_for(
    const struct world *world, const char *id, enum fleet_wait_cause cause)
{
	const struct fleet_job *job = fleet_find_job(world->fleet, id);
	struct fleet_wait waits[8];
	size_t count = fleet_explain(world->fleet, job, world->now_ms,
	    world->now_ms, waits, COUNT_OF(waits));

	for (size_t i = 0; i < count; i++) {
		if (waits[i].cause == cause)
			return true;
	}
	return false;
}

static void
test_waits_are_explained(void)
{
	CLEANUP(world_close) struct world world;
	Ibis__StepJob *labelled = world_new_job(1, 1, 1, 1);
	Ibis__StepJob *strange = world_new_job(1, 1, 1, 1);
	Ibis__StepJob *large = world_new_job(1, 1, 1, 9);
	size_t jobs[6];

	proto_set_string(&labelled->steps[0]->label, "none has it");
	proto_set_string(&strange->service, "none");
	world_open(&world, 2, 2);
	jobs[0] = world_submit(&world, world_new_job(1, 2, 2, 8), 20000);
	world_run(&world, 300);
	jobs[1] = world_submit(&world, world_new_job(1, 1, 1, 4), 500);
	jobs[2] = world_submit(&world, labelled, 500);
	jobs[3] = world_submit(&world, strange, 500);
	jobs[4] = world_submit(&world, large, 500);
	world_run(&world, 100);
	CU_ASSERT_TRUE(
	    is_waiting_for(&world, world.jobs[jobs[0]].id, FLEET_WAITS_STEPS));
	CU_ASSERT_TRUE(is_waiting_for(
	    &world, world.jobs[jobs[1]].id, FLEET_WAITS_RESOURCES));
	CU_ASSERT_TRUE(
	    is_waiting_for(&world, world.jobs[jobs[2]].id, FLEET_WAITS_LABEL));
	CU_ASSERT_TRUE(is_waiting_for(
	    &world, world.jobs[jobs[3]].id, FLEET_WAITS_SERVICE));
	CU_ASSERT_TRUE(
	    is_waiting_for(&world, world.jobs[jobs[4]].id, FLEET_WAITS_SIZE));
	fleet_set_zone(world.fleet, "z0", false);
	fleet_set_zone(world.fleet, "z1", false);
	CU_ASSERT_TRUE(is_waiting_for(
	    &world, world.jobs[jobs[1]].id, FLEET_WAITS_WORKERS));
	fleet_set_zone(world.fleet, "z0", true);
	fleet_set_zone(world.fleet, "z1", true);
	world.store_down = true;
	jobs[5] = world_submit(&world, world_new_job(0, 1, 1, 8), 500);
	world_run(&world, 100);
	CU_ASSERT_TRUE(
	    is_waiting_for(&world, world.jobs[jobs[5]].id, FLEET_WAITS_RECORD));
}

/* Pattern: urgent work of others stands on room that a workspace is
 * guaranteed. */
static void
test_guarantee_is_reclaimed_from_urgent_borrowers(void)
{
	CLEANUP(world_close) struct world world;
	size_t borrower;
	size_t owner;

	world_open(&world, 2, 2);
	fleet_set_guarantee(world.fleet, "owner", 16);
	borrower = world_submit(&world, urgent_gang("borrower"), 5000);
	world_run(&world, 300);
	CU_ASSERT_EQUAL(world_running(&world, borrower), 2);
	owner = world_submit(&world, urgent_gang("owner"), 2000);
	world_run(&world, 300);
	CU_ASSERT_EQUAL(world_running(&world, owner), 2);
	CU_ASSERT_EQUAL(world_running(&world, borrower), 0);
	world_run(&world, 20000);
	CU_ASSERT_EQUAL(world_phase(&world, owner), COMPLETED);
	CU_ASSERT_EQUAL(world_phase(&world, borrower), COMPLETED);
	check_rules(&world);
}

static void
test_urgent_work_within_its_guarantee_stays(void)
{
	CLEANUP(world_close) struct world world;
	size_t first;
	size_t second;

	world_open(&world, 2, 2);
	fleet_set_guarantee(world.fleet, "one", 16);
	fleet_set_guarantee(world.fleet, "two", 16);
	first = world_submit(&world, urgent_gang("one"), 5000);
	world_run(&world, 300);
	second = world_submit(&world, urgent_gang("two"), 2000);
	world_run(&world, 1000);
	CU_ASSERT_EQUAL(world_running(&world, first), 2);
	CU_ASSERT_EQUAL(world_running(&world, second), 0);
	world_run(&world, 10000);
	CU_ASSERT_EQUAL(world_phase(&world, second), COMPLETED);
	CU_ASSERT_EQUAL(world.starts, 4);
	check_rules(&world);
}

static void
test_hopeless_job_fails_after_its_attempts(void)
{
	CLEANUP(world_close) struct world world;
	size_t job;

	world_open(&world, 4, 2);
	job = world_submit(&world, world_new_job(1, 1, 1, 1), 200);
	world.jobs[job].poison = true;
	world_run(&world, 20000);
	CU_ASSERT_EQUAL(world_phase(&world, job), FAILED);
	CU_ASSERT_EQUAL(world.starts, 3);
	check_rules(&world);
}

static void
test_cancelled_job_leaves(void)
{
	CLEANUP(world_close) struct world world;
	size_t job;

	world_open(&world, 2, 2);
	job = world_submit(&world, world_new_job(1, 1, 4, 1), 60000);
	world_run(&world, 500);
	CU_ASSERT_EQUAL(world_running(&world, job), 4);
	world_cancel(&world, job);
	world_run(&world, 500);
	CU_ASSERT_EQUAL(world_running(&world, job), 0);
	CU_ASSERT_EQUAL(world_phase(&world, job), CANCELLED);
	check_rules(&world);
}

/* Pattern: a worker is cut off and runs on; its work may only start elsewhere
 * once its lease has run out. */
static void
test_cut_worker_keeps_its_work_until_the_lease_ends(void)
{
	CLEANUP(world_close) struct world world;
	size_t job;

	world_open(&world, 2, 2);
	job = world_submit(&world, world_new_job(1, 1, 1, 1), 30000);
	world_run(&world, 500);
	world.workers[0].cut = true;
	world_run(&world, 5000);
	CU_ASSERT_EQUAL(world.starts, 1);
	world_run(&world, 40000);
	CU_ASSERT_EQUAL(world.starts, 2);
	CU_ASSERT_EQUAL(world_phase(&world, job), COMPLETED);
	check_rules(&world);
}

/* Pattern: the worker runs the order and its answer is lost. */
static void
test_lost_answer_is_looked_up(void)
{
	CLEANUP(world_close) struct world world;
	Ibis__StepJob *gang = world_new_job(0, 1, 2, 8);
	size_t job;

	gang->steps[0]->gang = true;
	world_open(&world, 2, 2);
	world_run(&world, 200);
	world.workers[0].loses_answers = true;
	world.workers[1].loses_answers = true;
	job = world_submit(&world, gang, 1000);
	world_run(&world, 3000);
	CU_ASSERT_EQUAL(world_phase(&world, job), COMPLETED);
	CU_ASSERT_EQUAL(world.starts, 2);
	CU_ASSERT_EQUAL(world.stops, 0);
	check_rules(&world);
}

/* Pattern: orders are carried out seconds later, after the task has gone to
 * another worker. */
static void
test_late_order_starts_nothing_twice(void)
{
	CLEANUP(world_close) struct world world;
	size_t job;

	world_open(&world, 2, 2);
	world_run(&world, 200);
	world.workers[0].late = true;
	world.workers[1].late = true;
	job = world_submit(&world, world_new_job(1, 1, 4, 1), 4000);
	world_run(&world, 1000);
	world.workers[0].late = false;
	world.workers[1].late = false;
	world_run(&world, 20000);
	CU_ASSERT_EQUAL(world_phase(&world, job), COMPLETED);
	check_rules(&world);
}

/* Pattern: the lead dies; the next one has the records and asks the workers. */
static void
test_takeover_goes_on_with_what_runs(void)
{
	CLEANUP(world_close) struct world world;
	size_t job;

	world_open(&world, 4, 2);
	job = world_submit(&world, world_new_job(1, 2, 6, 2), 3000);
	world_run(&world, 1000);
	world_take_over(&world);
	world_run(&world, 20000);
	CU_ASSERT_EQUAL(world_phase(&world, job), COMPLETED);
	CU_ASSERT_EQUAL(world.starts, 12);
	check_rules(&world);
}

/* Pattern: the lead dies while a worker with work is cut off. */
static void
test_takeover_beside_a_cut_worker(void)
{
	CLEANUP(world_close) struct world world;
	size_t job;

	world_open(&world, 2, 2);
	job = world_submit(&world, world_new_job(1, 1, 16, 1), 20000);
	world_run(&world, 1000);
	world.workers[1].cut = true;
	world_take_over(&world);
	world_run(&world, 60000);
	CU_ASSERT_EQUAL(world_phase(&world, job), COMPLETED);
	check_rules(&world);
}

static void
test_reborn_worker_has_lost_its_work(void)
{
	CLEANUP(world_close) struct world world;
	size_t job;

	world_open(&world, 1, 1);
	job = world_submit(&world, world_new_job(1, 1, 2, 1), 5000);
	world_run(&world, 1000);
	world_reborn(&world, 0);
	world_run(&world, 8000);
	CU_ASSERT_EQUAL(world_phase(&world, job), COMPLETED);
	CU_ASSERT_EQUAL(world.starts, 4);
	check_rules(&world);
}

/* Pattern: a start reaches the new incarnation late, before its rebirth is
 * known. */
static void
test_late_order_to_reborn_worker(void)
{
	CLEANUP(world_close) struct world world;
	size_t job;

	world_open(&world, 4, 2);
	world_run(&world, 100);
	world.workers[0].late = true;
	job = world_submit(&world, world_new_job(0, 1, 1, 1), 200);
	world_reborn(&world, 0);
	world_run(&world, 4000);
	world.workers[0].late = false;
	world_run(&world, 20000);
	CU_ASSERT_EQUAL(world_phase(&world, job), COMPLETED);
	check_rules(&world);
}

/* Pattern: a lease by the old clock is read by the new one, and the worker is
 * cut off: it runs on for the longest lease there is. */
static void
test_lease_by_the_old_clock(void)
{
	CLEANUP(world_close) struct world world;

	world_open(&world, 4, 2);
	(void)world_submit(&world, world_new_job(0, 1, 1, 1), 8000);
	world_reborn(&world, 0);
	world_run(&world, 90);
	world.workers[0].cut = true;
	world_run(&world, 30000);
	CU_ASSERT_EQUAL(world_phase(&world, 0), COMPLETED);
	check_rules(&world);
}

/* Nothing starts while its placement can't be recorded. */
static void
test_store_outage_holds_starts_back(void)
{
	CLEANUP(world_close) struct world world;
	size_t running;
	size_t job;

	world_open(&world, 2, 2);
	running = world_submit(&world, world_new_job(1, 1, 2, 1), 9000);
	world_run(&world, 500);
	world.store_down = true;
	job = world_submit(&world, world_new_job(1, 1, 2, 1), 500);
	world_run(&world, 7000);
	CU_ASSERT_EQUAL(world_running(&world, job), 0);
	CU_ASSERT_EQUAL(world_running(&world, running), 2);
	world.store_down = false;
	world_run(&world, 5000);
	CU_ASSERT_EQUAL(world_phase(&world, job), COMPLETED);
	CU_ASSERT_EQUAL(world_phase(&world, running), COMPLETED);
	check_rules(&world);
}

/* Pattern: a worker fails all that it is given. */
static void
test_failing_worker_costs_no_job(void)
{
	CLEANUP(world_close) struct world world;
	size_t done = 0;

	world_open(&world, 4, 2);
	world_run(&world, 200);
	world.workers[0].fails_all = true;
	for (size_t i = 0; i < 10; i++) {
		(void)world_submit(&world, world_new_job(1, 1, 2, 2), 400);
		world_run(&world, 300);
	}
	world_run(&world, 30000);
	for (size_t i = 0; i < world.jobs_count; i++)
		done += world_phase(&world, i) == COMPLETED;
	CU_ASSERT_EQUAL(done, 10);
	check_rules(&world);
}

static void
test_zone_taken_out_gets_no_starts(void)
{
	CLEANUP(world_close) struct world world;
	uint32_t in_zone = 0;

	world_open(&world, 4, 2);
	fleet_set_zone(world.fleet, "z0", false);
	(void)world_submit(&world, world_new_job(1, 1, 32, 1), 2000);
	world_run(&world, 1000);
	for (size_t i = 0; i < WORLD_RUNS; i++)
		in_zone += world.workers[0].runs[i].used +
		    world.workers[2].runs[i].used;
	CU_ASSERT_EQUAL(in_zone, 0);
	CU_ASSERT_EQUAL(world_running(&world, 0), 16);
	fleet_set_zone(world.fleet, "z0", true);
	world_run(&world, 300);
	CU_ASSERT_EQUAL(world_running(&world, 0), 32);
	check_rules(&world);
}

static void
test_occurrences_start_when_due(void)
{
	CLEANUP(world_close) struct world world;
	Ibis__StepJob *timed = world_new_job(1, 1, 1, 1);
	size_t job;

	world_open(&world, 2, 2);
	timed->times = 3;
	timed->first_wall_ms = world.now_ms + 1000;
	timed->interval_ms = 2000;
	job = world_submit(&world, timed, 300);
	world_run(&world, 900);
	CU_ASSERT_EQUAL(world.starts, 0);
	world_run(&world, 500);
	CU_ASSERT_EQUAL(world.starts, 1);
	world_run(&world, 5000);
	CU_ASSERT_EQUAL(world.starts, 3);
	CU_ASSERT_EQUAL(world_phase(&world, job), COMPLETED);
	check_rules(&world);
}

static void
test_lasting_tasks_are_started_again(void)
{
	CLEANUP(world_close) struct world world;
	Ibis__StepJob *lasting = world_new_job(1, 1, 2, 1);
	size_t job;

	world_open(&world, 2, 2);
	lasting->steps[0]->lasting = true;
	job = world_submit(&world, lasting, 60000);
	world.jobs[job].run_ms = 1000;
	world_run(&world, 500);
	world_reborn(&world, 0);
	world_run(&world, 3000);
	CU_ASSERT_EQUAL(world_running(&world, job), 2);
	world_cancel(&world, job);
	world_run(&world, 500);
	CU_ASSERT_EQUAL(world_running(&world, job), 0);
}

/* Pattern: a look and a start cross within one millisecond; the look does not
 * show the run, which was begun a moment later. */
static void
test_look_that_crossed_a_start(void)
{
	CLEANUP(world_close) struct world world;
	struct fleet_report report = {.born_wall_ms = 1};
	struct fleet_worker *worker;

	world_open(&world, 1, 1);
	(void)world_submit(&world, world_new_job(1, 1, 8, 1), 2000);
	world_run(&world, 300);
	CU_ASSERT_EQUAL(world_running(&world, 0), 8);
	worker = fleet_worker_at(world.fleet, 0);
	world_reborn(&world, 0);
	world_run(&world, 60);
	report.sent_ms = world.now_ms;
	report.received_ms = world.now_ms;
	report.clock_ms = world.now_ms + world.workers[0].clock_offset_ms;
	report.born_wall_ms = world.workers[0].born_wall_ms;
	fleet_report(world.fleet, worker, &report, world.now_ms);
	world_run(&world, 20);
	CU_ASSERT_EQUAL(world_running(&world, 0), 8);
	world_run(&world, 8000);
	CU_ASSERT_EQUAL(world_phase(&world, 0), COMPLETED);
	check_rules(&world);
}

/* Pattern: tasks on one worker stand still while it answers. */
static void
test_urgent_gang_leaves_a_worker_that_stands_still(void)
{
	CLEANUP(world_close) struct world world;
	Ibis__StepJob *gang = world_new_job(0, 1, 2, 8);
	size_t job;

	gang->steps[0]->gang = true;
	world_open(&world, 4, 2);
	world_run(&world, 200);
	job = world_submit(&world, gang, 2000);
	world_run(&world, 400);
	CU_ASSERT_EQUAL(world_running(&world, job), 2);
	for (size_t i = 0; i < world.workers_count; i++)
		world.workers[i].stalled =
		    world.workers[i].runs[0].used && world.stalled++ == 0;
	world_run(&world, 6000);
	CU_ASSERT_EQUAL(world_phase(&world, job), COMPLETED);
	check_rules(&world);
}

/* Pattern: the lead dies between the record of an end and the worker's
 * forgetting it, so that the next lead is told of it again. */
static void
test_failure_counts_once_over_takeovers(void)
{
	CLEANUP(world_close) struct world world;
	size_t job;

	world_open(&world, 1, 1);
	job = world_submit(&world, world_new_job(1, 1, 1, 1), 200);
	world.jobs[job].poison = true;
	while (world.starts < 2)
		world_run(&world, 10);
	/* Nothing may start, so that the run that failed stays the last. */
	fleet_set_zone(world.fleet, "z0", false);
	for (size_t i = 0; i < 30; i++) {
		world_run(&world, 20);
		world_take_over(&world);
		fleet_set_zone(world.fleet, "z0", false);
	}
	fleet_set_zone(world.fleet, "z0", true);
	world_run(&world, 20000);
	CU_ASSERT_EQUAL(world_phase(&world, job), FAILED);
	CU_ASSERT_EQUAL(world.starts, 3);
	check_rules(&world);
}

static void
test_job_removed_while_it_is_written(void)
{
	CLEANUP(world_close) struct world world;
	struct fleet_job *taken;

	world_open(&world, 2, 2);
	world.store_down = true;
	(void)world_submit(&world, world_new_job(1, 1, 2, 1), 500);
	world_run(&world, 200);
	taken = fleet_take_unrecorded(world.fleet);
	CU_ASSERT_PTR_NOT_NULL(taken);
	fleet_remove_job(world.fleet, taken);
	fleet_record_failed(world.fleet, taken, 7);
	CU_ASSERT_PTR_NULL(fleet_find_job(world.fleet, world.jobs[0].id));
	CU_ASSERT_PTR_NULL(fleet_take_unrecorded(world.fleet));
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"steps run in order", test_steps_run_in_order},
	    {"gang waits until all fit", test_gang_waits_until_all_fit},
	    {"gang keeps to one rack", test_gang_keeps_to_one_rack},
	    {"urgent job takes room back", test_urgent_job_takes_room_back},
	    {"one lost answer is no silence",
		test_one_lost_answer_is_no_silence},
	    {"lease runs from an earlier time",
		test_lease_runs_from_an_earlier_time},
	    {"nothing is sent to an unlisted worker",
		test_nothing_is_sent_to_an_unlisted_worker},
	    {"data without workers is not waited for",
		test_data_without_workers_is_not_waited_for},
	    {"busy rack is not waited for beside idle ones",
		test_busy_rack_is_not_waited_for_beside_idle_ones},
	    {"waits are explained", test_waits_are_explained},
	    {"guarantee is reclaimed from urgent borrowers",
		test_guarantee_is_reclaimed_from_urgent_borrowers},
	    {"urgent work within its guarantee stays",
		test_urgent_work_within_its_guarantee_stays},
	    {"hopeless job fails after its attempts",
		test_hopeless_job_fails_after_its_attempts},
	    {"cancelled job leaves", test_cancelled_job_leaves},
	    {"cut worker keeps its work until the lease ends",
		test_cut_worker_keeps_its_work_until_the_lease_ends},
	    {"lost answer is looked up", test_lost_answer_is_looked_up},
	    {"late order starts nothing twice",
		test_late_order_starts_nothing_twice},
	    {"takeover goes on with what runs",
		test_takeover_goes_on_with_what_runs},
	    {"takeover beside a cut worker", test_takeover_beside_a_cut_worker},
	    {"reborn worker has lost its work",
		test_reborn_worker_has_lost_its_work},
	    {"late order to reborn worker", test_late_order_to_reborn_worker},
	    {"lease by the old clock", test_lease_by_the_old_clock},
	    {"store outage holds starts back",
		test_store_outage_holds_starts_back},
	    {"failing worker costs no job", test_failing_worker_costs_no_job},
	    {"zone taken out gets no starts",
		test_zone_taken_out_gets_no_starts},
	    {"occurrences start when due", test_occurrences_start_when_due},
	    {"lasting tasks are started again",
		test_lasting_tasks_are_started_again},
	    {"look that crossed a start", test_look_that_crossed_a_start},
	    {"urgent gang leaves a worker that stands still",
		test_urgent_gang_leaves_a_worker_that_stands_still},
	    {"failure counts once over takeovers",
		test_failure_counts_once_over_takeovers},
	    {"job removed while it is written",
		test_job_removed_while_it_is_written},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("fleet", tests);
}
