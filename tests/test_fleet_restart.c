/* Tests of the fleet with workers that restart under their ids. */
#include "common_cunit.h"
#include "common_fleet_job.h"
#include "common_fleet_sim.h"
#include "process/alloc.h"

#define COMPLETED IBIS__STEP_JOB_PHASE__PHASE_COMPLETED

/* A worker that restarts while it is idle discards the end of a run that it
 * has not reported, and the task runs again after its end. */
static void
test_old_acknowledgement_reaches_restarted_worker(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 1, 1);
	(void)sim_submit(&sim, sim_new_job(1, 1, 1, 1), 500);
	sim_advance(&sim, 2000);
	sim_restart_worker(&sim, 0);
	job = sim_submit(&sim, sim_new_job(1, 1, 1, 1), 20);
	sim_advance(&sim, 5000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), COMPLETED);
	CU_ASSERT_EQUAL(sim.starts, 2);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a second run of a task: a report of a worker's earlier
 * incarnation, which one of the current incarnation has overtaken, counted as
 * another restart, and the run on the worker as lost. */
static void
test_overtaken_report_of_an_earlier_incarnation(void)
{
	struct fleet_config config = {.lease_ms = 6000, .max_lease_ms = 10000};
	struct fleet_worker_entry entry = {.id = "w", .address = "1.2.3.4:5"};
	struct fleet *fleet = fleet_new(&config, 1000);
	struct fleet_worker *worker = fleet_set_worker(fleet, &entry, 1000);
	struct fleet_job *job = sim_add_job_on_worker(fleet, "w", 1000);
	struct fleet_reported_run run = {.run = 1, .checkpoint = ""};
	struct fleet_report current = {.sent_ms = 1200,
	    .received_ms = 1210,
	    .clock_ms = 100,
	    .incarnation_wall_ms = 2,
	    .runs = &run,
	    .runs_count = 1};
	struct fleet_report earlier = {.sent_ms = 1100,
	    .received_ms = 1300,
	    .clock_ms = 50000,
	    .incarnation_wall_ms = 1};
	struct fleet_poll poll = {0};

	STRING_COPY(run.task.job, fleet_job_id(job));
	fleet_apply_report(fleet, worker, &poll, &current, 1210);
	CU_ASSERT_TRUE(fleet_worker_busy(worker));
	fleet_apply_report(fleet, worker, &poll, &earlier, 1300);
	CU_ASSERT_TRUE(fleet_worker_busy(worker));
	CU_ASSERT_FALSE(fleet_worker_answers(worker));
	poll.fence = fleet_worker_fence(worker);
	current.sent_ms = 1400;
	current.received_ms = 1410;
	fleet_apply_report(fleet, worker, &poll, &current, 1410);
	CU_ASSERT_TRUE(fleet_worker_answers(worker));
	CU_ASSERT_TRUE(fleet_worker_busy(worker));
	fleet_free(fleet);
}

static void
test_restarted_worker_loses_its_runs(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 1, 1);
	job = sim_submit(&sim, sim_new_job(1, 1, 2, 1), 5000);
	sim_advance(&sim, 1000);
	sim_restart_worker(&sim, 0);
	sim_advance(&sim, 8000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), COMPLETED);
	CU_ASSERT_EQUAL(sim.starts, 4);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* A delayed start reaches a worker's new incarnation before the lead knows of
 * the restart. */
static void
test_delayed_order_to_restarted_worker(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 4, 2);
	sim_advance(&sim, 100);
	sim.workers[0].delays_orders = true;
	job = sim_submit(&sim, sim_new_job(0, 1, 1, 1), 200);
	sim_restart_worker(&sim, 0);
	sim_advance(&sim, 4000);
	sim.workers[0].delays_orders = false;
	sim_advance(&sim, 20000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* A worker restarts, and its new incarnation receives a lease whose end was
 * computed for the clock of the old one. Then it becomes unreachable: its
 * task may continue for the longest lease. */
static void
test_lease_granted_by_the_old_clock(void)
{
	CLEANUP(sim_close) struct sim sim;

	sim_open(&sim, 4, 2);
	(void)sim_submit(&sim, sim_new_job(0, 1, 1, 1), 8000);
	sim_restart_worker(&sim, 0);
	sim_advance(&sim, 90);
	sim.workers[0].unreachable = true;
	sim_advance(&sim, 40000);
	CU_ASSERT_EQUAL(sim_phase(&sim, 0), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Returns the worker that has the only run of a one-task job. */
static struct sim_worker *
worker_with_run(struct sim *sim)
{
	for (size_t i = 0; i < sim->workers_count; i++) {
		if (sim->workers[i].runs[0].used)
			return &sim->workers[i];
	}
	return NULL;
}

/* A task waits for seconds when it is placed where the resources are kept for a
 * stopped run whose start may arrive late. */
static void
test_nothing_is_placed_beside_awaited_start(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 2, 2);
	sim_advance(&sim, 200);
	sim.call_delay_ms = 12000;
	sim.workers[0].delays_orders = true;
	fleet_set_zone(sim.fleet, "z1", false);
	(void)sim_submit(&sim, sim_new_job(1, 1, 1, 8), 1000);
	sim_advance(&sim, 100);
	sim.workers[0].delays_orders = false;
	fleet_set_zone(sim.fleet, "z1", true);
	sim_advance(&sim, 2000);
	job = sim_submit(&sim, sim_new_job(0, 1, 2, 8), 1000);
	sim_advance(&sim, 2500);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), COMPLETED);
	sim_advance(&sim, 20000);
	CU_ASSERT_EQUAL(sim_phase(&sim, 0), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* A worker gets more than it has room for when the late start of a task that
 * waits again reaches its new incarnation beside the start of another task. */
static void
test_late_start_does_not_exceed_capacity(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t other;

	sim_open(&sim, 1, 1);
	sim_advance(&sim, 200);
	sim.call_delay_ms = 3000;
	sim.workers[0].delays_orders = true;
	(void)sim_submit(&sim, sim_new_job(2, 1, 1, 8), 6000);
	sim_advance(&sim, 100);
	sim.workers[0].delays_orders = false;
	other = sim_submit(&sim, sim_new_job(1, 1, 1, 8), 8000);
	sim_advance(&sim, 2700);
	sim_restart_worker(&sim, 0);
	sim_advance(&sim, 40000);
	CU_ASSERT_EQUAL(sim_phase(&sim, other), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* A task runs twice when a report of the previous incarnation, arriving after
 * one of the new, makes the lead consider the run on the new one lost. */
static void
test_late_report_of_previous_incarnation(void)
{
	CLEANUP(sim_close) struct sim sim;
	struct fleet_report report;
	struct fleet_worker *worker;
	struct fleet_poll poll;
	size_t job;

	sim_open(&sim, 2, 2);
	job = sim_submit(&sim, sim_new_job(1, 1, 1, 1), 1000);
	sim_advance(&sim, 300);
	worker = fleet_find_worker(sim.fleet, worker_with_run(&sim)->entry.id);
	report = (struct fleet_report){
	    .sent_ms = sim.now_ms,
	    .clock_ms = sim.now_ms,
	    .incarnation_wall_ms = 1,
	};
	poll = (struct fleet_poll){.fence = fleet_worker_fence(worker)};
	sim_restart_worker(&sim, 0);
	sim_restart_worker(&sim, 1);
	sim_advance(&sim, 500);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, job), 1);
	report.received_ms = sim.now_ms;
	worker = fleet_find_worker(sim.fleet, worker_with_run(&sim)->entry.id);
	fleet_apply_report(sim.fleet, worker, &poll, &report, sim.now_ms);
	sim_advance(&sim, 5000);
	CU_ASSERT_EQUAL(sim.starts, 2);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* A task runs twice when the lead does not know that a late renewal, made for
 * the clock of the previous incarnation, has extended the lease of its run. */
static void
test_late_renewal_after_restart(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 2, 2);
	fleet_set_zone(sim.fleet, "z1", false);
	job = sim_submit(&sim, sim_new_job(1, 1, 1, 1), 25000);
	sim_advance(&sim, 300);
	sim.call_delay_ms = 5000;
	sim.workers[0].delays_polls = true;
	sim_advance(&sim, 50);
	sim.workers[0].delays_polls = false;
	sim_restart_worker(&sim, 0);
	sim_advance(&sim, 4800);
	CU_ASSERT_TRUE(sim.workers[0].runs[0].used);
	sim.workers[0].unreachable = true;
	fleet_set_zone(sim.fleet, "z1", true);
	sim_advance(&sim, 40000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* A start is carried out by an incarnation that the lead does not know when the
 * entry shows the restart of an idle worker and the lead does not poll it. */
static void
test_entry_shows_restart_of_idle_worker(void)
{
	CLEANUP(sim_close) struct sim sim;
	struct fleet_worker *worker;
	uint64_t fence;

	sim_open(&sim, 1, 1);
	sim_advance(&sim, 200);
	worker = fleet_worker_at(sim.fleet, 0);
	fence = fleet_worker_fence(worker);
	CU_ASSERT_FALSE(fleet_worker_needs_poll(worker));
	sim_restart_worker(&sim, 0);
	while (sim.workers[0].entry_due_ms != 0)
		sim_advance(&sim, 10);
	CU_ASSERT_TRUE(fleet_worker_fence(worker) > fence);
	sim_advance(&sim, 100);
	CU_ASSERT_TRUE(fleet_worker_answers(worker));
	CU_ASSERT_TRUE(sim.workers[0].fencing_token > sim.epoch);
}

/* A worker refuses this lead, and carries out calls from before it was removed,
 * when it comes back under its id and the lead starts with the first token. */
static void
test_fence_survives_removal_of_worker(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t job;

	sim_open(&sim, 1, 1);
	sim_advance(&sim, 200);
	sim_restart_worker(&sim, 0);
	sim_advance(&sim, 1500);
	fleet_unlist_worker(sim.fleet, "w0", sim.now_ms);
	sim_advance(&sim, 30000);
	CU_ASSERT_PTR_NULL(fleet_find_worker(sim.fleet, "w0"));
	(void)fleet_set_worker(sim.fleet, &sim.workers[0].entry, sim.now_ms);
	job = sim_submit(&sim, sim_new_job(1, 1, 1, 1), 500);
	sim_advance(&sim, 2000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), COMPLETED);
}

/* An end on a restarted worker is lost when the ends of its previous
 * incarnation are acknowledged again: the task, which is done, is started a
 * second time. */
static void
test_ends_are_acknowledged_once(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t first;
	size_t second;

	sim_open(&sim, 1, 1);
	first = sim_submit(&sim, sim_new_job(1, 1, 1, 1), 200);
	sim_advance(&sim, 500);
	CU_ASSERT_EQUAL(sim_phase(&sim, first), COMPLETED);
	sim_restart_worker(&sim, 0);
	second = sim_submit(&sim, sim_new_job(1, 1, 1, 1), 30);
	sim_advance(&sim, 1000);
	CU_ASSERT_EQUAL(sim_phase(&sim, second), COMPLETED);
	CU_ASSERT_EQUAL(sim.starts, 2);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against tasks that are done and run again: the first poll of a worker
 * that had restarted carried the acknowledgement that was due when it crashed,
 * and the new incarnation discarded ends that it had not listed. */
static void
test_no_acknowledgement_may_reach_another_incarnation(void)
{
	CLEANUP(fleet_job_close) struct fleet_job_fixture fixture;
	static const uint64_t number = 9;
	struct fleet_worker *worker;

	fleet_job_open(&fixture);
	fleet_job_start(&fixture, 1, false);
	worker = fleet_find_worker(fixture.fleet, "w0");
	fleet_job_report_ends(&fixture, 0, &number, 1);
	(void)fleet_job_decide(&fixture, FLEET_START);
	CU_ASSERT_EQUAL(
	    fleet_worker_ends_to_ack(fixture.fleet, worker, fixture.now_ms),
	    number);
	/* While the record of the ends is written, a worker may restart: one is
	 * back 100 ms after its crash, others after 500 ms. */
	CU_ASSERT_EQUAL(fleet_worker_ends_to_ack(
			    fixture.fleet, worker, fixture.now_ms + 40),
	    number);
	CU_ASSERT_EQUAL(fleet_worker_ends_to_ack(
			    fixture.fleet, worker, fixture.now_ms + 100),
	    0);
	CU_ASSERT_EQUAL(fleet_worker_ends_to_ack(
			    fixture.fleet, worker, fixture.now_ms + 500),
	    0);
	(void)fleet_handle_unanswered_poll(
	    fixture.fleet, worker, true, fixture.now_ms);
	CU_ASSERT_EQUAL(
	    fleet_worker_ends_to_ack(fixture.fleet, worker, fixture.now_ms), 0);
	CU_ASSERT_TRUE(fleet_worker_has_unacked_ends(worker));
	fleet_job_report_ends(&fixture, 0, &number, 1);
	CU_ASSERT_EQUAL(
	    fleet_worker_ends_to_ack(fixture.fleet, worker, fixture.now_ms),
	    number);
}

/* Guards against a start by the capacity of a worker's previous incarnation,
 * whose entry the lead still has. */
static void
test_start_waits_for_entry_of_new_incarnation(void)
{
	CLEANUP(sim_close) struct sim sim;
	struct fleet_resources small = {
	    .cpu_milli = 128000, .memory_mb = 262144, .accelerators = 4};
	size_t first;
	size_t job;

	sim_open(&sim, 2, 2);
	first = sim_submit(&sim, sim_new_job(1, 1, 2, 8), 3000);
	sim_advance(&sim, 300);
	sim.entry_ms = 500;
	sim_replace_worker(&sim, 0, &small);
	job = sim_submit(&sim, sim_new_job(1, 1, 1, 4), 500);
	sim_advance(&sim, 400);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, first), 1);
	sim_advance(&sim, 20000);
	CU_ASSERT_EQUAL(sim_phase(&sim, first), COMPLETED);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against an idle worker that isn't polled, and so isn't used, after its
 * restart. */
static void
test_idle_worker_is_used_after_restart(void)
{
	CLEANUP(sim_close) struct sim sim;
	struct fleet_resources small = {
	    .cpu_milli = 128000, .memory_mb = 262144, .accelerators = 4};
	size_t job;

	sim_open(&sim, 1, 1);
	sim_advance(&sim, 300);
	sim_replace_worker(&sim, 0, &small);
	sim_advance(&sim, 100);
	job = sim_submit(&sim, sim_new_job(1, 1, 1, 4), 500);
	sim_advance(&sim, 1000);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"old acknowledgement reaches a restarted worker",
		test_old_acknowledgement_reaches_restarted_worker},
	    {"overtaken report of an earlier incarnation",
		test_overtaken_report_of_an_earlier_incarnation},
	    {"restarted worker loses its runs",
		test_restarted_worker_loses_its_runs},
	    {"delayed order to restarted worker",
		test_delayed_order_to_restarted_worker},
	    {"lease granted by the old clock",
		test_lease_granted_by_the_old_clock},
	    {"nothing is placed beside awaited start",
		test_nothing_is_placed_beside_awaited_start},
	    {"late start does not exceed capacity",
		test_late_start_does_not_exceed_capacity},
	    {"late report of previous incarnation",
		test_late_report_of_previous_incarnation},
	    {"late renewal after restart", test_late_renewal_after_restart},
	    {"entry shows restart of idle worker",
		test_entry_shows_restart_of_idle_worker},
	    {"fence survives removal of worker",
		test_fence_survives_removal_of_worker},
	    {"ends are acknowledged once", test_ends_are_acknowledged_once},
	    {"no acknowledgement may reach another incarnation",
		test_no_acknowledgement_may_reach_another_incarnation},
	    {"start waits for entry of new incarnation",
		test_start_waits_for_entry_of_new_incarnation},
	    {"idle worker is used after restart",
		test_idle_worker_is_used_after_restart},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("fleet restart", tests);
}
