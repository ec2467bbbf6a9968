/* Tests of the fleet with tasks that crash the workers that start them. */
#include "common_cunit.h"
#include "common_fleet_sim.h"
#include "process/alloc.h"

#define COMPLETED IBIS__STEP_JOB_PHASE__PHASE_COMPLETED
#define FAILED	  IBIS__STEP_JOB_PHASE__PHASE_FAILED

/* Workers that may crash under one task before it is given up. */
#define MAX_CRASHES 2
/* The same if no lead has seen that a run had begun. */
#define MAX_CRASHES_IN_DOUBT 5

/* Submits a job whose first task crashes the workers that start it. */
static size_t
submit_crashing(struct sim *sim, Ibis__StepJob *spec, int64_t run_ms)
{
	size_t job = sim_submit(sim, spec, run_ms);

	sim->jobs[job].crashing_tasks = 1;
	return job;
}

/* Guards against a task that crashes worker after worker: a run that was lost
 * with its worker counted for nothing, and its task was placed again. */
static void
test_task_that_crashes_workers_is_given_up(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 8, 4);
	job = submit_crashing(&sim, sim_new_job(1, 1, 1, 1), 2000);
	sim_advance(&sim, 120000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), FAILED);
	CU_ASSERT_EQUAL(sim.worker_crashes, MAX_CRASHES);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a lead that believes in the runs of a crashed worker until its
 * lease has expired, while another worker answers at its address. */
static void
test_replaced_worker_holds_no_runs(void)
{
	CLEANUP(sim_close) struct sim sim;
	Ibis__StepJob *spec = sim_new_job(1, 1, 4, 8);
	size_t gang;

	spec->steps[0]->gang = true;
	sim_open(&sim, 4, 4);
	sim.new_ids = true;
	gang = sim_submit(&sim, spec, 3000);
	sim_advance(&sim, 2000);
	sim_crash_worker(&sim, 0);
	/* Until its entry is in the store, and the gang has started there. */
	sim_advance(&sim, sim.back_ms + 1200);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, gang), 4);
	sim_advance(&sim, 4000);
	CU_ASSERT_EQUAL(sim_phase(&sim, gang), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against crashes that are not certain as the workers come back under
 * other ids: the task is tried five times. */
static void
test_crash_of_replaced_worker_is_certain(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 8, 4);
	sim.new_ids = true;
	job = submit_crashing(&sim, sim_new_job(1, 1, 1, 1), 2000);
	sim_advance(&sim, 120000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), FAILED);
	CU_ASSERT_EQUAL(sim.worker_crashes, MAX_CRASHES);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a crash that stays uncertain as another worker answers at the
 * address only after the lease has expired: the task was tried again more
 * often. */
static void
test_crash_becomes_certain_after_the_lease(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t settled;
	size_t job;

	sim_open(&sim, 4, 4);
	sim.new_ids = true;
	/* A run that no report has shown is believed in for longer than the
	 * lease of a settled one, which makes the loss known. */
	sim.back_ms = 7000;
	settled = sim_submit(&sim, sim_new_job(1, 1, 4, 1), 25000);
	sim_advance(&sim, 6000);
	job = submit_crashing(&sim, sim_new_job(1, 1, 1, 1), 2000);
	sim_advance(&sim, 120000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), FAILED);
	CU_ASSERT_EQUAL(sim_phase(&sim, settled), COMPLETED);
	CU_ASSERT_EQUAL(sim.worker_crashes, MAX_CRASHES);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a task that is tried five times as its worker crashes before
 * it answers the start. */
static void
test_unanswered_start_of_a_crash_counts(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 8, 4);
	sim.new_ids = true;
	for (size_t i = 0; i < sim.workers_count; i++)
		sim.workers[i].drops_answers = true;
	job = submit_crashing(&sim, sim_new_job(1, 1, 1, 1), 2000);
	sim_advance(&sim, 120000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), FAILED);
	CU_ASSERT_EQUAL(sim.worker_crashes, MAX_CRASHES);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against innocent jobs that are given up with a job whose task crashes
 * the worker that they share. */
static void
test_tasks_beside_it_complete(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t beside;
	size_t crashing;

	sim_open(&sim, 4, 4);
	crashing = submit_crashing(&sim, sim_new_job(1, 1, 1, 1), 2000);
	beside = sim_submit(&sim, sim_new_job(1, 1, 7, 1), 3000);
	sim_advance(&sim, 40000);
	CU_ASSERT_EQUAL(sim_phase(&sim, crashing), FAILED);
	CU_ASSERT_EQUAL(sim_phase(&sim, beside), COMPLETED);
	CU_ASSERT_EQUAL(sim.worker_crashes, MAX_CRASHES);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against crashes that can't be told apart: two tasks that crash their
 * workers begin on one worker, beside others. */
static void
test_two_on_one_worker_are_told_apart(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t first;
	size_t second;
	size_t beside;

	sim_open(&sim, 4, 4);
	first = submit_crashing(&sim, sim_new_job(1, 1, 1, 1), 2000);
	second = submit_crashing(&sim, sim_new_job(1, 1, 1, 1), 2000);
	beside = sim_submit(&sim, sim_new_job(1, 1, 6, 1), 3000);
	sim_advance(&sim, 60000);
	CU_ASSERT_EQUAL(sim_phase(&sim, first), FAILED);
	CU_ASSERT_EQUAL(sim_phase(&sim, second), FAILED);
	CU_ASSERT_EQUAL(sim_phase(&sim, beside), COMPLETED);
	CU_ASSERT_TRUE(sim_most_crashes(&sim) <= MAX_CRASHES);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a gang that crashes workers for ever, and an innocent gang
 * beside it that is given up. */
static void
test_gang_that_crashes_workers_is_given_up(void)
{
	CLEANUP(sim_close) struct sim sim;
	Ibis__StepJob *spec = sim_new_job(1, 1, 4, 1);
	Ibis__StepJob *other = sim_new_job(1, 1, 4, 1);
	size_t crashing;
	size_t beside;

	spec->steps[0]->gang = true;
	other->steps[0]->gang = true;
	sim_open(&sim, 4, 4);
	crashing = submit_crashing(&sim, spec, 2000);
	beside = sim_submit(&sim, other, 3000);
	sim_advance(&sim, 60000);
	CU_ASSERT_EQUAL(sim_phase(&sim, crashing), FAILED);
	CU_ASSERT_EQUAL(sim_phase(&sim, beside), COMPLETED);
	CU_ASSERT_TRUE(sim_most_crashes(&sim) <= MAX_CRASHES);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a long-running task, which is otherwise restarted for ever,
 * that crashes worker after worker. */
static void
test_long_running_task_is_given_up(void)
{
	CLEANUP(sim_close) struct sim sim;
	Ibis__StepJob *spec = sim_new_job(1, 1, 2, 1);
	Ibis__StepJob *other = sim_new_job(1, 1, 2, 1);
	size_t crashing;
	size_t beside;

	spec->steps[0]->lasting = true;
	other->steps[0]->lasting = true;
	sim_open(&sim, 4, 4);
	crashing = submit_crashing(&sim, spec, 1000000);
	beside = sim_submit(&sim, other, 1000000);
	sim_advance(&sim, 60000);
	CU_ASSERT_EQUAL(sim_phase(&sim, crashing), FAILED);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, crashing), 0);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, beside), 2);
	CU_ASSERT_TRUE(sim_most_crashes(&sim) <= MAX_CRASHES);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a periodic job whose next occurrence brings a task again that
 * has been given up. */
static void
test_periodic_job_is_given_up(void)
{
	CLEANUP(sim_close) struct sim sim;
	Ibis__StepJob *spec = sim_new_job(1, 1, 1, 1);
	size_t crashing;

	spec->times = 50;
	spec->interval_ms = 1000;
	sim_open(&sim, 8, 4);
	spec->first_wall_ms = sim.now_ms;
	crashing = submit_crashing(&sim, spec, 500);
	sim_advance(&sim, 90000);
	CU_ASSERT_EQUAL(sim_phase(&sim, crashing), FAILED);
	CU_ASSERT_TRUE(sim_most_crashes(&sim) <= MAX_CRASHES);
	CU_ASSERT_TRUE(sim.worker_crashes <= MAX_CRASHES);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a count that a new lead begins anew, also of a crash that no
 * lead has seen, and against a job that is taken up again by it. */
static void
test_count_survives_changes_of_lead(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t crashing;
	uint64_t starts;

	sim_open(&sim, 8, 4);
	crashing = submit_crashing(&sim, sim_new_job(1, 1, 1, 1), 2000);
	for (uint32_t crash = 1; crash <= MAX_CRASHES; crash++) {
		while (sim.worker_crashes < crash)
			sim_advance(&sim, 10);
		/* The worker is back before the new lead asks it. */
		sim_take_over(&sim);
		sim_advance(&sim, sim.back_ms);
		sim_take_over(&sim);
	}
	sim_advance(&sim, 40000);
	CU_ASSERT_EQUAL(sim_phase(&sim, crashing), FAILED);
	CU_ASSERT_TRUE(sim.worker_crashes <= MAX_CRASHES_IN_DOUBT);
	starts = sim.starts;
	sim_take_over(&sim);
	sim_advance(&sim, 40000);
	CU_ASSERT_EQUAL(sim_phase(&sim, crashing), FAILED);
	CU_ASSERT_EQUAL(sim.starts, starts);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a count that is lost while the store is out of reach. */
static void
test_count_survives_store_outage(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t crashing;

	sim_open(&sim, 8, 4);
	crashing = submit_crashing(&sim, sim_new_job(1, 1, 1, 1), 2000);
	while (sim.worker_crashes < 1)
		sim_advance(&sim, 10);
	sim.store_down = true;
	sim_advance(&sim, 30000);
	CU_ASSERT_EQUAL(sim.worker_crashes, 1);
	sim.store_down = false;
	sim_advance(&sim, 30000);
	CU_ASSERT_EQUAL(sim_phase(&sim, crashing), FAILED);
	CU_ASSERT_EQUAL(sim.worker_crashes, MAX_CRASHES);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against jobs that are given up for an outage: workers crash for other
 * causes, again and again, under tasks that have just begun. */
static void
test_outage_gives_up_no_job(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t jobs[6];

	sim_open(&sim, 8, 4);
	for (size_t i = 0; i < COUNT_OF(jobs); i++)
		jobs[i] = sim_submit(&sim, sim_new_job(1, 1, 8, 1), 2500);
	for (size_t outage = 0; outage < 2; outage++) {
		sim_advance(&sim, 300);
		for (size_t i = 0; i < sim.workers_count / 2; i++)
			sim_crash_worker(&sim, i);
		sim_advance(&sim, 6000);
	}
	sim_advance(&sim, 60000);
	for (size_t i = 0; i < COUNT_OF(jobs); i++)
		CU_ASSERT_EQUAL(sim_phase(&sim, jobs[i]), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a fault that a longer time brings back: jobs with a task that
 * crashes workers arrive for an hour, among others. */
static void
test_an_hour_of_crashing_tasks_stays_contained(void)
{
	CLEANUP(sim_close) struct sim sim;

	sim_open(&sim, 8, 4);
	for (uint32_t round = 0; round < SIM_JOBS / 2; round++) {
		(void)submit_crashing(&sim, sim_new_job(1, 1, 2, 1), 1000);
		(void)sim_submit(&sim, sim_new_job(1, 1, 6, 1), 3000);
		sim_advance(&sim, 3600 * 1000 / (SIM_JOBS / 2));
	}
	for (size_t i = 0; i < sim.jobs_count; i += 2) {
		CU_ASSERT_EQUAL(sim_phase(&sim, i), FAILED);
		CU_ASSERT_EQUAL(sim_phase(&sim, i + 1), COMPLETED);
	}
	CU_ASSERT_TRUE(sim_most_crashes(&sim) <= MAX_CRASHES);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"task that crashes workers is given up",
		test_task_that_crashes_workers_is_given_up},
	    {"replaced worker holds no runs",
		test_replaced_worker_holds_no_runs},
	    {"crash of replaced worker is certain",
		test_crash_of_replaced_worker_is_certain},
	    {"crash becomes certain after the lease",
		test_crash_becomes_certain_after_the_lease},
	    {"unanswered start of a crash counts",
		test_unanswered_start_of_a_crash_counts},
	    {"tasks beside it complete", test_tasks_beside_it_complete},
	    {"two on one worker are told apart",
		test_two_on_one_worker_are_told_apart},
	    {"gang that crashes workers is given up",
		test_gang_that_crashes_workers_is_given_up},
	    {"long-running task is given up",
		test_long_running_task_is_given_up},
	    {"periodic job is given up", test_periodic_job_is_given_up},
	    {"count survives changes of lead",
		test_count_survives_changes_of_lead},
	    {"count survives store outage", test_count_survives_store_outage},
	    {"outage gives up no job", test_outage_gives_up_no_job},
	    {"an hour of crashing tasks stays contained",
		test_an_hour_of_crashing_tasks_stays_contained},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("fleet crashes", tests);
}
