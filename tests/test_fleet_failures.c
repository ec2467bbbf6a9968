/* Tests of the fleet with runs that fail, by their fault or the worker's. */
#include "common_cunit.h"
#include "common_fleet_job.h"
#include "common_fleet_sim.h"
#include "fleet/fleet_model.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define COMPLETED IBIS__STEP_JOB_PHASE__PHASE_COMPLETED
#define FAILED	  IBIS__STEP_JOB_PHASE__PHASE_FAILED
/* A job may have nothing running for this long while there is room. */
#define IDLE_MS 3000
/* A long-running task has to be at work again this long after its last run. */
#define RESTART_MS 9000

static void
test_failing_job_ends_after_its_attempts(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 4, 2);
	job = sim_submit(&sim, sim_new_job(1, 1, 1, 1), 200);
	sim.jobs[job].always_fails = true;
	sim_advance(&sim, 20000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), FAILED);
	CU_ASSERT_EQUAL(sim.starts, 3);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* A worker that fails every run must not use up the attempts of the jobs. */
static void
test_failing_worker_fails_no_job(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t done = 0;

	sim_open(&sim, 4, 2);
	sim_advance(&sim, 200);
	sim.workers[0].fails_all = true;
	for (size_t i = 0; i < 10; i++) {
		(void)sim_submit(&sim, sim_new_job(1, 1, 2, 2), 400);
		sim_advance(&sim, 300);
	}
	sim_advance(&sim, 30000);
	for (size_t i = 0; i < sim.jobs_count; i++)
		done += sim_phase(&sim, i) == COMPLETED;
	CU_ASSERT_EQUAL(done, 10);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* The lead crashes after it has recorded an end and before the worker has
 * discarded it, so the worker reports it to the next lead again. */
static void
test_failure_is_counted_once_across_takeovers(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 1, 1);
	job = sim_submit(&sim, sim_new_job(1, 1, 1, 1), 200);
	sim.jobs[job].always_fails = true;
	while (sim.starts < 2)
		sim_advance(&sim, 10);
	/* Prevent starts, so that the failed run stays the last one. */
	fleet_set_zone(sim.fleet, "z0", false);
	for (size_t i = 0; i < 30; i++) {
		sim_advance(&sim, 20);
		sim_take_over(&sim);
		fleet_set_zone(sim.fleet, "z0", false);
	}
	fleet_set_zone(sim.fleet, "z0", true);
	sim_advance(&sim, 20000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), FAILED);
	CU_ASSERT_EQUAL(sim.starts, 3);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a worker that is charged for what its work did: the failures
 * of one job paused it for all others. */
static void
test_failing_job_pauses_no_worker_for_others(void)
{
	CLEANUP(sim_close) struct sim sim;
	Ibis__StepJob *spec = sim_new_job(1, 1, 4, 1);
	size_t failing;
	size_t other;

	spec->attempts = 4;
	sim_open(&sim, 1, 1);
	failing = sim_submit(&sim, spec, 200);
	sim.jobs[failing].always_fails = true;
	sim_advance(&sim, 500);
	other = sim_submit(&sim, sim_new_job(1, 1, 1, 1), 500);
	sim_advance(&sim, 200);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, other), 1);
	sim_advance(&sim, 60000);
	CU_ASSERT_EQUAL(sim_phase(&sim, failing), FAILED);
	CU_ASSERT_EQUAL(sim_phase(&sim, other), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* The other side: a worker that fails the tasks of several jobs is paused for
 * all. */
static void
test_worker_that_fails_several_jobs_is_paused(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 1, 1);
	sim.workers[0].fails_all = true;
	(void)sim_submit(&sim, sim_new_job(1, 1, 1, 1), 500);
	(void)sim_submit(&sim, sim_new_job(1, 1, 1, 1), 500);
	sim_advance(&sim, 500);
	job = sim_submit(&sim, sim_new_job(1, 1, 1, 1), 500);
	sim_advance(&sim, 500);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, job), 0);
	CU_ASSERT_EQUAL(
	    sim_phase(&sim, job), IBIS__STEP_JOB_PHASE__PHASE_PENDING);
	sim.workers[0].fails_all = false;
	sim_advance(&sim, 60000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Submits a job of long-running tasks, on half of the accelerators, that fail
 * 2 s after their start. */
static size_t
submit_failing_service(struct sim *sim, const char *workspace)
{
	Ibis__StepJob *spec = sim_new_job(1, 1, 8, 1);
	size_t job;

	proto_set_string(&spec->workspace, workspace);
	spec->steps[0]->lasting = true;
	job = sim_submit(sim, spec, 2000);
	sim->jobs[job].always_fails = true;
	return job;
}

static size_t
submit_to(struct sim *sim, const char *workspace, uint32_t tasks)
{
	Ibis__StepJob *spec = sim_new_job(1, 1, tasks, 1);

	proto_set_string(&spec->workspace, workspace);
	return sim_submit(sim, spec, 1000);
}

/* Lets time pass while jobs fail, and expects a sound job of another workspace
 * to begin within IDLE_MS at any time. */
static void
expect_sound_jobs_to_begin(struct sim *sim)
{
	for (int i = 0; i < 8; i++) {
		size_t sound;

		sim_advance(sim, 4700);
		sound = submit_to(sim, "sound", 1);
		sim_advance(sim, IDLE_MS);
		CU_ASSERT_NOT_EQUAL(
		    sim_phase(sim, sound), IBIS__STEP_JOB_PHASE__PHASE_PENDING);
	}
	CU_ASSERT_TRUE(sim_has_no_violation(sim));
}

/* Guards against a workspace that keeps others from all workers: the failures
 * of its long-running tasks paused each of them for all jobs, ever longer. */
static void
test_failures_of_a_workspace_pause_no_other(void)
{
	CLEANUP(sim_close) struct sim sim;

	sim_open(&sim, 4, 2);
	(void)submit_failing_service(&sim, "failing");
	(void)submit_failing_service(&sim, "failing");
	expect_sound_jobs_to_begin(&sim);
}

/* The same for several such workspaces: at most half of the workers may be kept
 * from the others. */
static void
test_failures_of_several_workspaces_leave_half(void)
{
	CLEANUP(sim_close) struct sim sim;

	sim_open(&sim, 4, 2);
	(void)submit_failing_service(&sim, "failing");
	(void)submit_failing_service(&sim, "failing too");
	expect_sound_jobs_to_begin(&sim);
}

/* The same for jobs that come and are given up, one after the other. */
static void
test_failing_jobs_in_series_leave_half(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t sound;

	sim_open(&sim, 4, 2);
	for (size_t i = 0; i < 20; i++) {
		size_t failing =
		    submit_to(&sim, i % 2 ? "failing" : "failing too", 8);

		sim.jobs[failing].always_fails = true;
		sim_advance(&sim, 1000);
		if (i % 5 < 4)
			continue;
		sound = submit_to(&sim, "sound", 1);
		sim_advance(&sim, IDLE_MS);
		CU_ASSERT_NOT_EQUAL(sim_phase(&sim, sound),
		    IBIS__STEP_JOB_PHASE__PHASE_PENDING);
	}
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against long-running tasks that are not restarted: each failure made
 * the next pause of their workers longer. */
static void
test_failing_tasks_are_restarted(void)
{
	CLEANUP(sim_close) struct sim sim;
	uint64_t starts;

	sim_open(&sim, 2, 2);
	(void)submit_failing_service(&sim, "failing");
	for (int i = 0; i < 10; i++) {
		starts = sim.starts;
		sim_advance(&sim, RESTART_MS);
		CU_ASSERT_TRUE(sim.starts > starts);
	}
	/* But not one after the other, which would keep the lead busy. */
	CU_ASSERT_TRUE(sim.starts < 10 * 8 * RESTART_MS / 2000);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* The other side: a worker that fails the runs of several workspaces gets none
 * of any other, so that it uses up no attempts. */
static void
test_worker_that_fails_workspaces_is_paused_for_all(void)
{
	CLEANUP(sim_close) struct sim sim;
	uint64_t starts;

	sim_open(&sim, 4, 2);
	sim_advance(&sim, 200);
	sim.workers[0].fails_all = true;
	for (int i = 0; i < 6; i++) {
		(void)submit_to(&sim, i % 2 ? "a" : "b", 8);
		sim_advance(&sim, 600);
	}
	for (size_t i = 0; i < sim.jobs_count; i++)
		CU_ASSERT_NOT_EQUAL(sim_phase(&sim, i), FAILED);
	starts = sim.workers[0].last_end;
	(void)submit_to(&sim, "c", 8);
	sim_advance(&sim, 2000);
	CU_ASSERT_EQUAL(sim.workers[0].last_end, starts);
	sim_advance(&sim, 30000);
	for (size_t i = 0; i < sim.jobs_count; i++)
		CU_ASSERT_EQUAL(sim_phase(&sim, i), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a sound worker that is left out for good: however often it has
 * failed, it is tried again. */
static void
test_sound_worker_is_found_again(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 2, 2);
	sim_advance(&sim, 200);
	sim.workers[0].fails_all = true;
	for (int i = 0; i < 20; i++) {
		(void)submit_to(&sim, i % 2 ? "a" : "b", 8);
		sim_advance(&sim, 3000);
	}
	sim.workers[0].fails_all = false;
	sim_advance(&sim, 20000);
	job = submit_to(&sim, "c", 16);
	sim_advance(&sim, 500);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, job), 16);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a job that keeps all others from the workers which refuse it
 * for what it is: each such answer paused the worker for all. */
static void
test_invalid_start_pauses_no_other_job(void)
{
	CLEANUP(fleet_job_close) struct fleet_job_fixture fixture;
	struct fleet_task_id task = {.job = FLEET_JOB_ID};
	struct fleet_job other = {.id = "00000000000000bb"};
	const struct fleet_job *job;
	struct fleet_worker *worker;

	fleet_job_open(&fixture);
	fleet_job_start(&fixture, 1, false);
	job = fleet_find_job(fixture.fleet, FLEET_JOB_ID);
	worker = fleet_find_worker(fixture.fleet, "w0");
	fleet_handle_start_answer(fixture.fleet, worker, &task, 1,
	    FLEET_START_INVALID, fixture.now_ms);
	CU_ASSERT_TRUE(
	    fleet_worker_paused_until_ms(worker, job) > fixture.now_ms);
	CU_ASSERT_FALSE(
	    fleet_worker_paused_until_ms(worker, &other) > fixture.now_ms);
	fleet_handle_start_answer(fixture.fleet, worker, &task, 1,
	    FLEET_START_REFUSED, fixture.now_ms);
	CU_ASSERT_TRUE(
	    fleet_worker_paused_until_ms(worker, &other) > fixture.now_ms);
}

/* Guards against an end that hides others: only rows with numbers above all
 * rows before them counted, and all of them were acknowledged. */
static void
test_ends_count_in_any_order(void)
{
	CLEANUP(fleet_job_close) struct fleet_job_fixture fixture;
	static const uint64_t numbers[] = {9, 8};

	fleet_job_open(&fixture);
	fleet_unlist_worker(fixture.fleet, "w1", fixture.now_ms);
	fleet_unlist_worker(fixture.fleet, "w2", fixture.now_ms);
	fixture.accelerators = 4;
	fleet_job_start(&fixture, COUNT_OF(numbers), false);
	fixture.now_ms += 5000;
	fleet_job_report_ends(&fixture, 0, numbers, COUNT_OF(numbers));
	CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_START), 0);
	CU_ASSERT_EQUAL(
	    fleet_job_phase(fleet_find_job(fixture.fleet, FLEET_JOB_ID)),
	    COMPLETED);
	CU_ASSERT_EQUAL(
	    fleet_worker_ends_to_ack(fixture.fleet,
		fleet_find_worker(fixture.fleet, "w0"), fixture.now_ms),
	    9);
}

/* Lets both members of a gang end as failed in a run. */
static void
fail_gang_run(struct fleet_job_fixture *fixture, uint64_t run)
{
	for (uint32_t i = 0; i < 2; i++) {
		struct fleet_worker *worker =
		    fleet_find_worker(fixture->fleet, fixture->entries[i].id);
		struct fleet_poll poll = {.fence = fleet_worker_fence(worker)};
		struct fleet_reported_end end = {
		    .number = run,
		    .task = {.job = FLEET_JOB_ID, .index = i},
		    .run = run,
		    .outcome = FLEET_END_FAILED,
		    .checkpoint = "",
		};
		struct fleet_report report = {
		    .sent_ms = fixture->now_ms,
		    .received_ms = fixture->now_ms,
		    .clock_ms = fixture->now_ms,
		    .incarnation_wall_ms = FLEET_JOB_INCARNATION,
		    .ends = &end,
		    .ends_count = 1,
		};

		fleet_apply_report(
		    fixture->fleet, worker, &poll, &report, fixture->now_ms);
	}
}

/* Guards against a job that is given up too early: a failed run of a gang
 * counted once for each member that ended as failed. */
static void
test_failed_run_of_a_gang_counts_once(void)
{
	CLEANUP(fleet_job_close) struct fleet_job_fixture fixture;
	const struct fleet_job *job;

	fleet_job_open(&fixture);
	fixture.attempts = 2;
	fleet_job_start(&fixture, 2, true);
	job = fleet_find_job(fixture.fleet, FLEET_JOB_ID);
	fixture.now_ms += 500;
	fail_gang_run(&fixture, 1);
	CU_ASSERT_NOT_EQUAL(fleet_job_phase(job), FAILED);
	fixture.now_ms += 20000;
	(void)fleet_job_decide(&fixture, FLEET_START);
	CU_ASSERT_EQUAL(fleet_job_decide(&fixture, FLEET_START), 2);
	fixture.now_ms += 500;
	fail_gang_run(&fixture, 2);
	CU_ASSERT_EQUAL(fleet_job_phase(job), FAILED);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"failing job ends after its attempts",
		test_failing_job_ends_after_its_attempts},
	    {"failing worker fails no job", test_failing_worker_fails_no_job},
	    {"failure is counted once across takeovers",
		test_failure_is_counted_once_across_takeovers},
	    {"failing job pauses no worker for others",
		test_failing_job_pauses_no_worker_for_others},
	    {"worker that fails several jobs is paused",
		test_worker_that_fails_several_jobs_is_paused},
	    {"failures of a workspace pause no other",
		test_failures_of_a_workspace_pause_no_other},
	    {"failures of several workspaces leave half",
		test_failures_of_several_workspaces_leave_half},
	    {"failing jobs in series leave half",
		test_failing_jobs_in_series_leave_half},
	    {"failing tasks are restarted", test_failing_tasks_are_restarted},
	    {"worker that fails workspaces is paused for all",
		test_worker_that_fails_workspaces_is_paused_for_all},
	    {"sound worker is found again", test_sound_worker_is_found_again},
	    {"invalid start pauses no other job",
		test_invalid_start_pauses_no_other_job},
	    {"ends count in any order", test_ends_count_in_any_order},
	    {"failed run of a gang counts once",
		test_failed_run_of_a_gang_counts_once},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("fleet failures", tests);
}
