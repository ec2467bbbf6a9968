/* Tests of the caps of workspaces. The simulated workers check each start. */
#include "common_cunit.h"
#include "common_fleet_sim.h"
#include "fleet/fleet_model.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define COMPLETED IBIS__STEP_JOB_PHASE__PHASE_COMPLETED

/* Longest time that the lease of a run on a silent worker may last. */
#define LEASE_MS 13000

static uint64_t
waiting_for_cap(const struct sim *sim)
{
	struct fleet_workspace_usage usage;

	fleet_workspace_usage(sim->fleet, 0, &usage);
	return usage.waiting_tasks;
}

static enum fleet_wait_cause
wait_cause(const struct sim *sim, size_t job)
{
	struct fleet_wait wait = {0};

	(void)fleet_explain(sim->fleet,
	    fleet_find_job(sim->fleet, sim->jobs[job].id), sim->now_ms, 0,
	    &wait, 1);
	return wait.cause;
}

/* Guards against more running than the cap of the workspace, while the workers
 * have room, and against a wait that operators can't see. */
static void
test_tasks_beyond_the_cap_wait(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 4, 4);
	sim_set_cap(&sim, 10);
	job = sim_submit(&sim, sim_new_job(1, 1, 8, 2), 3000);
	sim_advance(&sim, 1000);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, job), 5);
	CU_ASSERT_EQUAL(waiting_for_cap(&sim), 3);
	CU_ASSERT_EQUAL(wait_cause(&sim, job), FLEET_WAITS_QUOTA);
	sim_advance(&sim, 8000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), COMPLETED);
	CU_ASSERT_EQUAL(waiting_for_cap(&sim), 0);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against the cap of one workspace holding up another. */
static void
test_other_workspaces_are_not_capped(void)
{
	CLEANUP(sim_close) struct sim sim;
	Ibis__StepJob *other = sim_new_job(1, 1, 8, 2);
	size_t free_job;

	sim_open(&sim, 4, 4);
	sim_set_cap(&sim, 2);
	(void)sim_submit(&sim, sim_new_job(1, 1, 4, 2), 3000);
	proto_set_string(&other->workspace, "other");
	free_job = sim_submit(&sim, other, 3000);
	sim_advance(&sim, 1000);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, free_job), 8);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a gang that starts in part, or beside what it has no room
 * for. */
static void
test_gang_fits_whole_or_waits(void)
{
	CLEANUP(sim_close) struct sim sim;
	Ibis__StepJob *gang = sim_new_job(1, 1, 4, 2);
	size_t first;
	size_t second;

	sim_open(&sim, 4, 4);
	sim_set_cap(&sim, 10);
	first = sim_submit(&sim, sim_new_job(1, 1, 2, 2), 2000);
	sim_advance(&sim, 200);
	gang->steps[0]->gang = true;
	second = sim_submit(&sim, gang, 1000);
	sim_advance(&sim, 1000);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, first), 2);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, second), 0);
	sim_advance(&sim, 4000);
	CU_ASSERT_EQUAL(sim_phase(&sim, second), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a wide gang that never has the cap for itself, as the
 * workspace's small tasks take each bit that comes free. */
static void
test_gang_gets_its_turn_beside_small_tasks(void)
{
	CLEANUP(sim_close) struct sim sim;
	Ibis__StepJob *gang = sim_new_job(1, 1, 4, 2);
	size_t index;

	sim_open(&sim, 4, 4);
	sim_set_cap(&sim, 8);
	(void)sim_submit(&sim, sim_new_job(1, 1, 4, 1), 1500);
	sim_advance(&sim, 500);
	gang->steps[0]->gang = true;
	index = sim_submit(&sim, gang, 1000);
	for (int i = 0; i < 20; i++) {
		(void)sim_submit(&sim, sim_new_job(1, 1, 1, 2), 1500);
		sim_advance(&sim, 300);
	}
	CU_ASSERT_EQUAL(sim_phase(&sim, index), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against starts beside runs that are being stopped, which still count.
 */
static void
test_stopping_runs_count(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t batch;
	size_t urgent;

	sim_open(&sim, 4, 4);
	sim_set_cap(&sim, 8);
	sim.stop_ms = 800;
	batch = sim_submit(&sim, sim_new_job(1, 1, 4, 2), 20000);
	sim_advance(&sim, 1000);
	urgent = sim_submit(&sim, sim_new_job(0, 1, 2, 2), 1000);
	sim_advance(&sim, 500);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, batch), 4);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, urgent), 0);
	sim_advance(&sim, 1000);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, batch), 2);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, urgent), 2);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against stopping work for a lower cap, and against starts under it
 * before enough has ended. */
static void
test_lower_cap_stops_nothing(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t running;
	size_t later;

	sim_open(&sim, 4, 4);
	sim_set_cap(&sim, 16);
	running = sim_submit(&sim, sim_new_job(1, 1, 8, 2), 4000);
	sim_advance(&sim, 1000);
	sim_set_cap(&sim, 4);
	later = sim_submit(&sim, sim_new_job(1, 1, 1, 2), 500);
	sim_advance(&sim, 200);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, later), 0);
	sim_set_cap(&sim, 20);
	sim_advance(&sim, 200);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, running), 8);
	CU_ASSERT_EQUAL(sim.stops, 0);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, later), 1);
	sim_advance(&sim, 5000);
	CU_ASSERT_EQUAL(sim_phase(&sim, running), COMPLETED);
	CU_ASSERT_EQUAL(sim_phase(&sim, later), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against tasks that were placed under a higher cap and start under the
 * lower one. */
static void
test_placed_tasks_obey_a_lower_cap(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 4, 4);
	sim_set_cap(&sim, 16);
	sim_advance(&sim, 300);
	sim.store_down = true;
	job = sim_submit(&sim, sim_new_job(1, 1, 8, 2), 1000);
	sim_advance(&sim, 200);
	sim_set_cap(&sim, 4);
	sim.store_down = false;
	sim_advance(&sim, 600);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, job), 2);
	sim_advance(&sim, 6000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a new lead that starts tasks before it has counted what the
 * earlier lead has started, on workers that answer and on a silent one. */
static void
test_takeover_counts_earlier_starts(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 4, 4);
	sim_set_cap(&sim, 10);
	job = sim_submit(&sim, sim_new_job(1, 1, 8, 2), 20000);
	sim_advance(&sim, 1000);
	sim.workers[0].unreachable = true;
	sim_take_over(&sim);
	sim_advance(&sim, 3000);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, job), 5);
	sim_advance(&sim, (int64_t)2 * LEASE_MS);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a new lead that starts tasks although runs may be on a worker
 * that it has no record of: they are of a job whose record can't be read. */
static void
test_takeover_bounds_runs_without_record(void)
{
	CLEANUP(sim_close) struct sim sim;
	struct fleet_task_id hidden = {.job = "0000000000000001"};
	size_t job;

	sim_open(&sim, 2, 2);
	sim_set_cap(&sim, 8);
	(void)sim_submit(&sim, sim_new_job(1, 1, 1, 8), 5000);
	sim.jobs[0].removed = true;
	sim.workers[1].unreachable = true;
	sim_add_run(&sim, 1, &hidden, 1);
	sim_take_over(&sim);
	sim_set_cap(&sim, 8);
	job = sim_submit(&sim, sim_new_job(1, 1, 1, 8), 5000);
	sim_advance(&sim, 1000);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, job), 0);
	sim_advance(&sim, (int64_t)2 * LEASE_MS);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), COMPLETED);
}

/* Guards against urgent work that waits for the cap behind the workspace's own
 * batch work, although a guarantee is kept for it. */
static void
test_urgent_work_takes_the_cap_of_batch_work(void)
{
	CLEANUP(sim_close) struct sim sim;
	Ibis__StepJob *gang = sim_new_job(0, 1, 2, 4);
	size_t batch;
	size_t urgent;

	sim_open(&sim, 4, 4);
	sim_set_cap(&sim, 8);
	batch = sim_submit(&sim, sim_new_job(1, 1, 4, 2), 3000);
	sim_advance(&sim, 1000);
	gang->steps[0]->gang = true;
	urgent = sim_submit(&sim, gang, 500);
	sim_advance(&sim, 300);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, urgent), 2);
	sim_advance(&sim, 10000);
	CU_ASSERT_EQUAL(sim_phase(&sim, urgent), COMPLETED);
	CU_ASSERT_EQUAL(sim_phase(&sim, batch), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a task that never runs as it is larger than the cap alone. */
static void
test_task_larger_than_the_cap_runs_alone(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 2, 2);
	sim_set_cap(&sim, 2);
	job = sim_submit(&sim, sim_new_job(1, 1, 2, 4), 500);
	sim_advance(&sim, 300);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, job), 1);
	sim_advance(&sim, 2000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), COMPLETED);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"tasks beyond the cap wait", test_tasks_beyond_the_cap_wait},
	    {"other workspaces are not capped",
		test_other_workspaces_are_not_capped},
	    {"gang fits whole or waits", test_gang_fits_whole_or_waits},
	    {"gang gets its turn beside small tasks",
		test_gang_gets_its_turn_beside_small_tasks},
	    {"stopping runs count", test_stopping_runs_count},
	    {"lower cap stops nothing", test_lower_cap_stops_nothing},
	    {"placed tasks obey a lower cap",
		test_placed_tasks_obey_a_lower_cap},
	    {"takeover counts earlier starts",
		test_takeover_counts_earlier_starts},
	    {"takeover bounds runs without record",
		test_takeover_bounds_runs_without_record},
	    {"urgent work takes the cap of batch work",
		test_urgent_work_takes_the_cap_of_batch_work},
	    {"task larger than the cap runs alone",
		test_task_larger_than_the_cap_runs_alone},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("fleet quota", tests);
}
