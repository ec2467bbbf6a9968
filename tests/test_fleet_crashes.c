/* Tests of the fleet with tasks that crash the workers that start them. */
#include "common_cunit.h"
#include "common_fleet_sim.h"
#include "process/alloc.h"

#define COMPLETED IBIS__STEP_JOB_PHASE__PHASE_COMPLETED
#define FAILED	  IBIS__STEP_JOB_PHASE__PHASE_FAILED

/* Workers that may crash under one task before it is given up. */
#define MAX_CRASHES 2

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

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"task that crashes workers is given up",
		test_task_that_crashes_workers_is_given_up},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("fleet crashes", tests);
}
