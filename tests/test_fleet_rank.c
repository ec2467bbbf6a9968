/* Tests of the order in which waiting work gets room when there is too little.
 */
#include "common_cunit.h"
#include "common_fleet_sim.h"
#include "fleet/fleet_model.h"
#include "fleet/fleet_rank.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define COMPLETED IBIS__STEP_JOB_PHASE__PHASE_COMPLETED
#define FULL_MS	  1000

/* Opens a fleet of one worker that batch work fills for a while. */
static void
open_full(struct sim *sim)
{
	sim_open(sim, 1, 1);
	(void)sim_submit(sim, sim_new_job(1, 1, 1, 8), FULL_MS);
	sim_advance(sim, 200);
}

static Ibis__StepJob *
new_job(const char *workspace, int64_t estimate_ms)
{
	Ibis__StepJob *job = sim_new_job(1, 1, 1, 8);

	proto_set_string(&job->workspace, workspace);
	job->steps[0]->estimate_ms = estimate_ms;
	job->stretch_milli = 3000;
	return job;
}

/* Load: a long job waits, and a short one comes a moment later. Guards against
 * a short job that waits as long as the long one runs. */
static void
test_short_work_passes_long_work(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t long_job;
	size_t short_job;

	open_full(&sim);
	long_job = sim_submit(&sim, new_job("w", 8000), 8000);
	sim_advance(&sim, 100);
	short_job = sim_submit(&sim, new_job("w", 200), 200);
	sim_advance(&sim, 1500);
	CU_ASSERT_EQUAL(sim_phase(&sim, short_job), COMPLETED);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, long_job), 1);
}

/* Load: short jobs that never cease beside one long job. Guards against a job
 * that never gets its turn. */
static void
test_long_work_gets_its_turn(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t long_job;

	open_full(&sim);
	long_job = sim_submit(&sim, new_job("w", 4000), 1000);
	for (int i = 0; i < 28; i++) {
		(void)sim_submit(&sim, new_job("w", 300), 300);
		sim_advance(&sim, 300);
	}
	CU_ASSERT_EQUAL(sim_phase(&sim, long_job), COMPLETED);
}

/* Load: a job that can only be late waits beside one that can still be in time.
 * Guards against both being late. */
static void
test_late_work_gives_way_once(void)
{
	CLEANUP(sim_close) struct sim sim;
	Ibis__StepJob *patient = new_job("w", 500);
	size_t late;
	size_t in_time;

	sim_open(&sim, 1, 1);
	(void)sim_submit(&sim, sim_new_job(1, 1, 1, 8), 4000);
	sim_advance(&sim, 100);
	late = sim_submit(&sim, new_job("w", 500), 500);
	sim_advance(&sim, 500);
	patient->stretch_milli = 20000;
	in_time = sim_submit(&sim, patient, 1500);
	sim_advance(&sim, 4000);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, in_time), 1);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, late), 0);
	sim_advance(&sim, 3000);
	CU_ASSERT_EQUAL(sim_phase(&sim, late), COMPLETED);
	CU_ASSERT_EQUAL(sim_phase(&sim, in_time), COMPLETED);
}

/* Load: one workspace sends many times its usual. Guards against the other one
 * waiting behind all of it, whose weight is the same or more. */
static void
test_overuse_joins_later(void)
{
	CLEANUP(sim_close) struct sim sim;
	struct fleet_quota heavy = {.weight_milli = 3000};
	const struct fleet_occurrence *hot;
	const struct fleet_occurrence *other;
	int64_t before_ms;

	sim_open(&sim, 4, 4);
	for (int i = 0; i < 6; i++)
		(void)sim_submit(&sim, new_job("hot", 1000), 5000);
	sim_advance(&sim, 300);
	(void)sim_submit(&sim, new_job("other", 1000), 1000);
	sim_advance(&sim, 20);
	hot = fleet_find_job(sim.fleet, sim.jobs[5].id)->occurrences[0];
	other = fleet_find_job(sim.fleet, sim.jobs[6].id)->occurrences[0];
	fleet_rank_begin_round(sim.fleet);
	before_ms = fleet_rank_joins_ms(hot, 0, sim.now_ms);
	CU_ASSERT_TRUE(before_ms > fleet_rank_joins_ms(other, 0, sim.now_ms));
	fleet_set_quota(sim.fleet, "hot", &heavy);
	fleet_rank_begin_round(sim.fleet);
	CU_ASSERT_TRUE(fleet_rank_joins_ms(hot, 0, sim.now_ms) < before_ms);
}

/* Guards against an order by anything else before the priority. */
static void
test_priority_comes_first(void)
{
	CLEANUP(sim_close) struct sim sim;
	Ibis__StepJob *low = new_job("w", 100);
	size_t high_job;
	size_t low_job;

	open_full(&sim);
	low->priority = 2;
	low_job = sim_submit(&sim, low, 100);
	high_job = sim_submit(&sim, new_job("w", 9000), 3000);
	sim_advance(&sim, 1500);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, high_job), 1);
	CU_ASSERT_NOT_EQUAL(sim_phase(&sim, low_job), COMPLETED);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"short work passes long work", test_short_work_passes_long_work},
	    {"long work gets its turn", test_long_work_gets_its_turn},
	    {"late work gives way once", test_late_work_gives_way_once},
	    {"overuse joins later", test_overuse_joins_later},
	    {"priority comes first", test_priority_comes_first},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("fleet rank", tests);
}
