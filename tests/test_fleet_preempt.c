/* Tests of what is stopped for urgent work, and of the room kept for it. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common_cunit.h"
#include "common_fleet_sim.h"
#include "fleet/fleet_headroom.h"
#include "fleet/fleet_model.h"
#include "fleet/fleet_objective.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define COMPLETED IBIS__STEP_JOB_PHASE__PHASE_COMPLETED
/* Most of the time that an urgent job of the tests has beside its run. */
#define STOP_TIMEOUT_MS 400

static Ibis__StepJob *
new_gang(uint32_t priority, uint32_t tasks, int64_t accelerators)
{
	Ibis__StepJob *job = sim_new_job(priority, 1, tasks, accelerators);

	job->steps[0]->gang = true;
	return job;
}

/* Load: an urgent gang among wide gangs of batch work on all workers. Guards
 * against stopping a gang on each worker, where the workers of one have room
 * for all. */
static void
test_urgent_gang_takes_the_workers_of_one_gang(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t urgent;

	sim_open(&sim, 8, 8);
	for (int i = 0; i < 4; i++)
		(void)sim_submit(&sim, new_gang(1, 4, 4), 20000);
	sim_advance(&sim, 1000);
	urgent = sim_submit(&sim, new_gang(0, 4, 4), 500);
	sim_advance(&sim, 400);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, urgent), 4);
	CU_ASSERT_EQUAL(sim.stops, 4);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Load: urgent work that comes again and again. Guards against stopping the
 * same batch work each time. */
static void
test_preemption_does_not_hit_the_same_job_again(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t first;
	size_t second;

	sim_open(&sim, 2, 2);
	first = sim_submit(&sim, sim_new_job(1, 1, 1, 8), 8000);
	sim_advance(&sim, 500);
	second = sim_submit(&sim, sim_new_job(1, 1, 1, 8), 8000);
	for (int i = 0; i < 4; i++) {
		(void)sim_submit(&sim, sim_new_job(0, 1, 1, 8), 200);
		sim_advance(&sim, 1500);
	}
	sim_advance(&sim, 12000);
	CU_ASSERT_EQUAL(sim_phase(&sim, first), COMPLETED);
	CU_ASSERT_EQUAL(sim_phase(&sim, second), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against an objective that leaves out a step of the longest chain. */
static void
test_objective_follows_the_longest_chain(void)
{
	Ibis__StepJob *job = sim_new_job(0, 3, 1, 1);
	int64_t chain_ms[3];

	/* The third step waits for the first only. */
	job->steps[2]->after[0] = 0;
	job->steps[0]->estimate_ms = 100;
	job->steps[1]->estimate_ms = 1000;
	job->steps[2]->estimate_ms = 300;
	job->stretch_milli = 1500;
	job->target_ms = 250;
	CU_ASSERT_EQUAL(fleet_objective_chains(job, chain_ms), 1100);
	CU_ASSERT_EQUAL(chain_ms[0], 1100);
	CU_ASSERT_EQUAL(chain_ms[2], 300);
	CU_ASSERT_EQUAL(fleet_objective_ms(job, 1100), 1900);
	ibis__step_job__free_unpacked(job, proto_allocator());
}

static uint32_t
count_kept(const struct sim *sim)
{
	uint32_t kept = 0;

	for (size_t i = 0; i < sim->fleet->workers.count; i++) {
		const struct fleet_worker *worker =
		    sim->fleet->workers.items[i].item;

		kept += worker->kept;
	}
	return kept;
}

/* Fills the workers with short batch work beside urgent work every 300 ms. */
static void
play_urgent_beside_batch(struct sim *sim)
{
	for (int i = 0; i < 10; i++) {
		(void)sim_submit(sim, sim_new_job(1, 1, 8, 4), 1000);
		(void)sim_submit(sim, sim_new_job(0, 1, 1, 8), 200);
		sim_advance(sim, 300);
	}
}

/* Load: urgent work beside batch work that fills all workers, where a stop
 * takes most of the urgent work's slack. Guards against stops for each urgent
 * job. */
static void
test_room_is_kept_where_stops_are_slow(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t urgent;
	uint64_t stops;

	sim_open(&sim, 8, 2);
	sim.stop_timeout_ms = STOP_TIMEOUT_MS;
	sim_take_over(&sim);
	play_urgent_beside_batch(&sim);
	CU_ASSERT_EQUAL(count_kept(&sim), 2);
	sim_advance(&sim, 2000);
	stops = sim.stops;
	urgent = sim_submit(&sim, sim_new_job(0, 1, 1, 8), 300);
	sim_advance(&sim, 150);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, urgent), 1);
	CU_ASSERT_EQUAL(sim.stops, stops);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against room that is kept where a stop costs urgent work little. */
static void
test_no_room_is_kept_where_stops_are_fast(void)
{
	CLEANUP(sim_close) struct sim sim;

	sim_open(&sim, 8, 2);
	sim.stop_timeout_ms = STOP_TIMEOUT_MS / 10;
	sim_take_over(&sim);
	play_urgent_beside_batch(&sim);
	CU_ASSERT_EQUAL(count_kept(&sim), 0);
}

/* Guards against batch work that waits beside free workers after the urgent
 * work has gone. */
static void
test_kept_room_is_given_back(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t batch[8];

	sim_open(&sim, 8, 2);
	sim.stop_timeout_ms = STOP_TIMEOUT_MS;
	sim_take_over(&sim);
	play_urgent_beside_batch(&sim);
	for (int i = 0; i < 8; i++)
		batch[i] = sim_submit(&sim, sim_new_job(1, 1, 2, 8), 12000);
	sim_advance(&sim, 14000);
	CU_ASSERT_EQUAL(count_kept(&sim), 0);
	sim_advance(&sim, 60000);
	for (int i = 0; i < 8; i++)
		CU_ASSERT_EQUAL(sim_phase(&sim, batch[i]), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Load: batch work that finds no room beside the racks that are kept. Guards
 * against work that may use them, and waits as the batch work does: here a task
 * that lasts. */
static void
test_lasting_work_may_use_kept_room(void)
{
	CLEANUP(sim_close) struct sim sim;
	Ibis__StepJob *lasting = sim_new_job(1, 1, 1, 8);
	size_t index;

	sim_open(&sim, 8, 2);
	sim.stop_timeout_ms = STOP_TIMEOUT_MS;
	sim_take_over(&sim);
	play_urgent_beside_batch(&sim);
	(void)sim_submit(&sim, sim_new_job(1, 1, 12, 8), 9000);
	sim_advance(&sim, 2500);
	CU_ASSERT_EQUAL(count_kept(&sim), 2);
	lasting->steps[0]->lasting = true;
	index = sim_submit(&sim, lasting, 60000);
	sim_advance(&sim, 700);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, index), 1);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"urgent gang takes the workers of one gang",
		test_urgent_gang_takes_the_workers_of_one_gang},
	    {"preemption does not hit the same job again",
		test_preemption_does_not_hit_the_same_job_again},
	    {"objective follows the longest chain",
		test_objective_follows_the_longest_chain},
	    {"room is kept where stops are slow",
		test_room_is_kept_where_stops_are_slow},
	    {"no room is kept where stops are fast",
		test_no_room_is_kept_where_stops_are_fast},
	    {"kept room is given back", test_kept_room_is_given_back},
	    {"lasting work may use kept room",
		test_lasting_work_may_use_kept_room},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("fleet preempt", tests);
}
