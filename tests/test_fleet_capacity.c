/* Tests of the fleet with workers whose capacity changes while they run. */
#include "common_cunit.h"
#include "common_fleet_sim.h"
#include "process/alloc.h"

#define COMPLETED IBIS__STEP_JOB_PHASE__PHASE_COMPLETED

/* Until a changed entry has reached the lead, and that until its room counts.
 */
#define ENTRY_MS 900
#define GRACE_MS 4600

static const struct fleet_resources whole = {
    .cpu_milli = 128000, .memory_mb = 262144, .accelerators = 8};
static const struct fleet_resources half = {
    .cpu_milli = 64000, .memory_mb = 131072, .accelerators = 4};
static const struct fleet_resources no_accelerators = {
    .cpu_milli = 128000, .memory_mb = 262144};

/* Guards against starts beyond a capacity that has shrunk, and against what
 * runs there being ended for it. */
static void
test_nothing_starts_beyond_a_shrunk_capacity(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t running;
	size_t later;

	sim_open(&sim, 1, 1);
	running = sim_submit(&sim, sim_new_job(1, 1, 2, 2), 20000);
	sim_advance(&sim, 1000);
	sim_resize_worker(&sim, 0, &half);
	sim_advance(&sim, GRACE_MS);
	later = sim_submit(&sim, sim_new_job(1, 1, 1, 1), 500);
	sim_advance(&sim, 5000);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, running), 2);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, later), 0);
	sim_advance(&sim, 30000);
	CU_ASSERT_EQUAL(sim_phase(&sim, running), COMPLETED);
	CU_ASSERT_EQUAL(sim_phase(&sim, later), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a start that adds to what is over the capacity already: the
 * task needs none of the resource that is short. */
static void
test_nothing_starts_beside_what_is_over_capacity(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t running;
	size_t other;

	sim_open(&sim, 2, 2);
	fleet_set_zone(sim.fleet, "z1", false);
	running = sim_submit(&sim, sim_new_job(1, 1, 1, 8), 20000);
	sim_advance(&sim, 1000);
	sim_resize_worker(&sim, 0, &no_accelerators);
	sim_advance(&sim, GRACE_MS);
	other = sim_submit(&sim, sim_new_job(1, 1, 1, 0), 500);
	sim_advance(&sim, 2000);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, running), 1);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, other), 0);
	fleet_set_zone(sim.fleet, "z1", true);
	sim_advance(&sim, 1000);
	CU_ASSERT_EQUAL(sim_phase(&sim, other), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a task that waits for room while there is some: nobody looks
 * again when a capacity grows. */
static void
test_grown_capacity_is_used_at_once(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t large;

	sim_open(&sim, 1, 1);
	sim_resize_worker(&sim, 0, &half);
	sim_advance(&sim, 2000);
	large = sim_submit(&sim, sim_new_job(1, 1, 1, 8), 500);
	sim_advance(&sim, 3000);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, large), 0);
	sim_resize_worker(&sim, 0, &whole);
	sim_advance(&sim, ENTRY_MS + 200);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, large), 1);
	sim_advance(&sim, 1000);
	CU_ASSERT_EQUAL(sim_phase(&sim, large), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against tasks that stay assigned to a worker that has no room for them
 * any more, while another one has: their records were being written when it
 * shrank. */
static void
test_placed_tasks_leave_a_shrunk_worker(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t filler;
	size_t job;

	sim_open(&sim, 2, 2);
	fleet_set_zone(sim.fleet, "z1", false);
	filler = sim_submit(&sim, sim_new_job(1, 1, 1, 4), 30000);
	sim_advance(&sim, 200);
	sim.store_down = true;
	job = sim_submit(&sim, sim_new_job(1, 1, 2, 2), 500);
	sim_advance(&sim, 100);
	sim_resize_worker(&sim, 0, &half);
	fleet_set_zone(sim.fleet, "z1", true);
	sim_advance(&sim, GRACE_MS);
	sim.store_down = false;
	sim_advance(&sim, 2000);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, filler), 1);
	CU_ASSERT_EQUAL(sim_phase(&sim, job), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a capacity that is given away twice: a start is on its way
 * while the capacity shrinks and grows again. */
static void
test_capacity_shrinks_under_a_start(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t jobs[3];

	sim_open(&sim, 1, 1);
	sim_advance(&sim, 200);
	sim.workers[0].delays_orders = true;
	for (size_t i = 0; i < COUNT_OF(jobs); i++) {
		jobs[i] = sim_submit(&sim, sim_new_job(1, 1, 2, 2), 800);
		sim_advance(&sim, 100);
		sim_resize_worker(&sim, 0, i % 2 == 0 ? &half : &whole);
		sim_advance(&sim, 700);
	}
	sim.workers[0].delays_orders = false;
	sim_advance(&sim, 60000);
	for (size_t i = 0; i < COUNT_OF(jobs); i++)
		CU_ASSERT_EQUAL(sim_phase(&sim, jobs[i]), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a new lead that counts with an earlier capacity. */
static void
test_new_lead_knows_the_shrunk_capacity(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t running;
	size_t later;

	sim_open(&sim, 1, 1);
	running = sim_submit(&sim, sim_new_job(1, 1, 1, 4), 30000);
	sim_advance(&sim, 1000);
	sim_resize_worker(&sim, 0, &half);
	sim_advance(&sim, GRACE_MS);
	later = sim_submit(&sim, sim_new_job(1, 1, 1, 2), 500);
	sim_take_over(&sim);
	sim_advance(&sim, 5000);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, running), 1);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, later), 0);
	sim_advance(&sim, 60000);
	CU_ASSERT_EQUAL(sim_phase(&sim, later), COMPLETED);
	CU_ASSERT_EQUAL(sim_phase(&sim, running), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against a lead that believes a worker's entry over its newer report,
 * when the capacity shrinks. */
static void
test_report_of_shrunk_capacity_counts_before_the_entry(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t running;
	size_t later;

	sim_open(&sim, 1, 1);
	sim.reports_resources = true;
	sim.entry_ms = 20000;
	running = sim_submit(&sim, sim_new_job(1, 1, 1, 4), 10000);
	sim_advance(&sim, 1000);
	sim_resize_worker(&sim, 0, &half);
	sim_advance(&sim, GRACE_MS);
	later = sim_submit(&sim, sim_new_job(1, 1, 1, 1), 500);
	sim_advance(&sim, 2000);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, later), 0);
	sim_advance(&sim, 60000);
	CU_ASSERT_EQUAL(sim_phase(&sim, running), COMPLETED);
	CU_ASSERT_EQUAL(sim_phase(&sim, later), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* The same when it grows. */
static void
test_report_of_grown_capacity_counts_before_the_entry(void)
{
	CLEANUP(sim_close) struct sim sim;
	size_t running;
	size_t large;

	sim_open(&sim, 1, 1);
	sim.reports_resources = true;
	sim_resize_worker(&sim, 0, &half);
	sim_advance(&sim, 2000);
	running = sim_submit(&sim, sim_new_job(1, 1, 1, 1), 10000);
	sim.entry_ms = 20000;
	sim_resize_worker(&sim, 0, &whole);
	large = sim_submit(&sim, sim_new_job(1, 1, 1, 7), 500);
	sim_advance(&sim, 2000);
	CU_ASSERT_EQUAL(sim_running_tasks(&sim, running), 1);
	CU_ASSERT_EQUAL(sim_phase(&sim, large), COMPLETED);
	CU_ASSERT_TRUE(sim_has_no_violation(&sim));
}

/* Guards against an entry that raises the capacity over what the worker has
 * reported, or that is ignored when it is newer and lower. */
static void
test_entry_lowers_until_the_next_report(void)
{
	struct fleet_config config = {.lease_ms = 6000, .max_lease_ms = 10000};
	struct fleet_worker_entry entry = {.id = "w",
	    .address = "1.2.3.4:5",
	    .resources = whole,
	    .incarnation_wall_ms = 1};
	struct fleet_report report = {.sent_ms = 1000,
	    .received_ms = 1000,
	    .clock_ms = 500,
	    .incarnation_wall_ms = 1,
	    .has_resources = true,
	    .resources = half};
	struct fleet_report overtaken = report;
	struct fleet_poll poll = {0};
	struct fleet *fleet = fleet_new(&config, 1000);
	struct fleet_worker *worker = fleet_set_worker(fleet, &entry, 1000);
	struct fleet_usage usage;

	fleet_apply_report(fleet, worker, &poll, &report, 1000);
	fleet_usage(fleet, &usage);
	CU_ASSERT_EQUAL(usage.accelerators, half.accelerators);
	entry.resources.cpu_milli--;
	(void)fleet_set_worker(fleet, &entry, 1100);
	fleet_usage(fleet, &usage);
	CU_ASSERT_EQUAL(usage.accelerators, half.accelerators);
	CU_ASSERT_TRUE(fleet_worker_needs_poll(worker));
	entry.resources = no_accelerators;
	(void)fleet_set_worker(fleet, &entry, 1200);
	fleet_usage(fleet, &usage);
	CU_ASSERT_EQUAL(usage.accelerators, 0);
	report.clock_ms = 800;
	report.resources = whole;
	fleet_apply_report(fleet, worker, &poll, &report, 1300);
	fleet_usage(fleet, &usage);
	CU_ASSERT_EQUAL(usage.accelerators, whole.accelerators);
	CU_ASSERT_FALSE(fleet_worker_needs_poll(worker));
	fleet_apply_report(fleet, worker, &poll, &overtaken, 1400);
	fleet_usage(fleet, &usage);
	CU_ASSERT_EQUAL(usage.accelerators, whole.accelerators);
	fleet_free(fleet);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"nothing starts beyond a shrunk capacity",
		test_nothing_starts_beyond_a_shrunk_capacity},
	    {"nothing starts beside what is over capacity",
		test_nothing_starts_beside_what_is_over_capacity},
	    {"grown capacity is used at once",
		test_grown_capacity_is_used_at_once},
	    {"placed tasks leave a shrunk worker",
		test_placed_tasks_leave_a_shrunk_worker},
	    {"capacity shrinks under a start",
		test_capacity_shrinks_under_a_start},
	    {"new lead knows the shrunk capacity",
		test_new_lead_knows_the_shrunk_capacity},
	    {"report of shrunk capacity counts before the entry",
		test_report_of_shrunk_capacity_counts_before_the_entry},
	    {"report of grown capacity counts before the entry",
		test_report_of_grown_capacity_counts_before_the_entry},
	    {"entry lowers until the next report",
		test_entry_lowers_until_the_next_report},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("fleet capacity", tests);
}
