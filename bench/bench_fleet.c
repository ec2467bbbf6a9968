/*
 * Measures what the fleet module costs a lead for each report of a worker, at
 * several fleet sizes: with the offered load that the fleet can bear, and with
 * a burst that leaves a backlog of waiting jobs. And what a decision costs
 * beside a schedule with occurrences that are overdue. Prints one line per
 * metric. The arguments are numbers of workers, or of overdue occurrences after
 * the word "overdue".
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "fleet/fleet.h"
#include "process/alloc.h"
#include "process/buffer.h"
#include "process/proto_memory.h"

#define SEED UINT64_C(20261204)

#define WORKERS_PER_RACK 12
#define CPU_MILLI	 128000
#define MEMORY_MB	 524288
#define ACCELERATORS	 8
#define WORKSPACES	 24
/* Accelerators that each workspace is guaranteed for each worker. */
#define GUARANTEED_PER_WORKER 0.2
#define MAX_RUNS	      16
#define MAX_ENDS	      64
#define REPORT_INTERVAL_MS    700
#define LEASE_MS	      6000
#define START_MS	      1000000
#define MEASURED_MS	      8000
#define BURST_FACTOR	      6
/* Offered accelerator seconds, relative to those that the fleet has. */
#define BEARABLE_LOAD 0.6
/* Beside overdue occurrences. */
#define OVERDUE_WORKERS	    48
#define OVERDUE_INTERVAL_MS 60000
#define OVERDUE_MEASURED_MS 2000
#define MAX_OPEN_TASKS	    16384

struct run {
	struct fleet_task_id task;
	uint64_t run;
	int64_t ends_ms;
};

struct end {
	struct fleet_task_id task;
	uint64_t run;
	uint64_t number;
};

struct worker {
	struct run runs[MAX_RUNS];
	size_t runs_count;
	struct end ends[MAX_ENDS];
	size_t ends_count;
	uint64_t last_end;
};

struct site {
	struct fleet *fleet;
	struct worker *workers;
	size_t workers_count;
	uint64_t random;
	uint64_t jobs;
	int64_t now_ms;
	double spent_us;
	double most_us;
	uint64_t reports;
};

static double
next_random(struct site *site)
{
	site->random ^= site->random >> 12;
	site->random ^= site->random << 25;
	site->random ^= site->random >> 27;
	return (double)((site->random * UINT64_C(2685821657736338717)) >> 11) /
	    (double)(UINT64_C(1) << 53);
}

static double
cpu_time_us(void)
{
	struct timespec time;

	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

static void
add_workers(struct site *site)
{
	for (size_t i = 0; i < site->workers_count; i++) {
		char id[32];
		char rack[32];
		struct fleet_worker_entry entry = {
		    .id = id,
		    .rack = rack,
		    .service = "planner",
		    .address = "10.0.0.1:80",
		    .zone = "a",
		    .resources = {CPU_MILLI, MEMORY_MB, ACCELERATORS},
		};

		(void)snprintf(id, sizeof(id), "w%06zu", i);
		(void)snprintf(
		    rack, sizeof(rack), "r%zu", i / WORKERS_PER_RACK);
		(void)fleet_set_worker(site->fleet, &entry, site->now_ms);
	}
}

/* Submits a gang of an urgent job, or a batch of single tasks. */
static void
submit_job(struct site *site)
{
	Ibis__StepJob *spec = mem_calloc(1, sizeof(*spec));
	Ibis__JobStep *step = mem_calloc(1, sizeof(*step));
	bool urgent = next_random(site) < 0.67;
	char id[FLEET_ID_BYTES];
	char workspace[16];

	ibis__step_job__init(spec);
	ibis__job_step__init(step);
	spec->steps = mem_calloc(1, sizeof(struct Ibis__JobStep *));
	spec->steps[0] = step;
	spec->n_steps = 1;
	spec->attempts = 3;
	spec->priority = urgent ? 0 : 1;
	proto_set_string(&spec->service, "planner");
	(void)snprintf(workspace, sizeof(workspace), "t%d",
	    (int)(next_random(site) * WORKSPACES));
	proto_set_string(&spec->workspace, workspace);
	step->gang = urgent;
	step->same_rack = urgent && next_random(site) < 0.5;
	step->tasks = urgent ? 5 : 26;
	step->accelerators = 1 + (int)(next_random(site) * (urgent ? 4 : 1));
	step->cpu_milli = urgent ? 15000 : 11000;
	step->memory_mb = 1024;
	step->estimate_ms = urgent ? 2500 : 9500;
	(void)snprintf(id, sizeof(id), "%016" PRIx64, ++site->jobs);
	(void)fleet_add_job(site->fleet, id, spec, NULL, 0, site->now_ms);
}

static void
store_records(struct site *site)
{
	CLEANUP(buffer_free) struct buffer packed = {0};
	struct fleet_job *job;

	while ((job = fleet_take_unrecorded(site->fleet)) != NULL) {
		buffer_clear(&packed);
		fleet_pack_progress(job, 0, &packed);
		fleet_record_stored(site->fleet, job, site->jobs + 1);
	}
}

static struct worker *
worker_of(struct site *site, const struct fleet_worker *worker)
{
	return &site->workers[strtoul(
	    fleet_worker_entry(worker)->id + 1, NULL, 10)];
}

static void
end_run(struct worker *worker, size_t index)
{
	struct run *run = &worker->runs[index];

	if (worker->ends_count < MAX_ENDS)
		worker->ends[worker->ends_count++] = (struct end){
		    .task = run->task,
		    .run = run->run,
		    .number = ++worker->last_end,
		};
	*run = worker->runs[--worker->runs_count];
}

static void
carry_out(struct site *site, const struct fleet_order *order)
{
	struct worker *worker = worker_of(site, order->worker);

	if (order->kind == FLEET_START) {
		if (worker->runs_count < MAX_RUNS)
			worker->runs[worker->runs_count++] = (struct run){
			    .task = order->task,
			    .run = order->run,
			    .ends_ms = site->now_ms + 2500 +
				(int64_t)(next_random(site) * 6000),
			};
		fleet_handle_start_answer(site->fleet, order->worker,
		    &order->task, order->run, FLEET_STARTED, site->now_ms);
		return;
	}
	for (size_t i = 0; i < worker->runs_count; i++) {
		if (worker->runs[i].run == order->run &&
		    strcmp(worker->runs[i].task.job, order->task.job) == 0 &&
		    worker->runs[i].task.index == order->task.index) {
			end_run(worker, i);
			break;
		}
	}
	fleet_handle_stop_answer(site->fleet, order->worker, &order->task,
	    order->run, true, site->now_ms);
}

static void
decide(struct site *site)
{
	const struct fleet_order *orders;
	size_t count;

	if (site->now_ms < fleet_next_wakeup_ms(site->fleet))
		return;
	count = fleet_decide(site->fleet, site->now_ms, site->now_ms, &orders);
	for (size_t i = 0; i < count; i++)
		carry_out(site, &orders[i]);
}

/* Passes one worker's report to the fleet and decides. */
static void
report(struct site *site, size_t index)
{
	struct worker *state = &site->workers[index];
	struct fleet_worker *worker = fleet_worker_at(site->fleet, index);
	struct fleet_reported_run runs[MAX_RUNS];
	struct fleet_reported_end ends[MAX_ENDS];
	struct fleet_poll poll = {.fence = fleet_worker_fence(worker)};
	struct fleet_report report = {
	    .sent_ms = site->now_ms - 1,
	    .received_ms = site->now_ms,
	    .clock_ms = site->now_ms,
	    .incarnation_wall_ms = 1,
	    .runs = runs,
	    .ends = ends,
	};
	double begun_us;
	double took_us;

	for (size_t i = state->runs_count; i-- > 0;) {
		if (state->runs[i].ends_ms <= site->now_ms)
			end_run(state, i);
	}
	report.runs_count = state->runs_count;
	report.ends_count = state->ends_count;
	for (size_t i = 0; i < state->runs_count; i++)
		runs[i] = (struct fleet_reported_run){
		    .task = state->runs[i].task,
		    .run = state->runs[i].run,
		    .checkpoint = "",
		    .percent = 50,
		};
	for (size_t i = 0; i < state->ends_count; i++)
		ends[i] = (struct fleet_reported_end){
		    .number = state->ends[i].number,
		    .task = state->ends[i].task,
		    .run = state->ends[i].run,
		    .outcome = FLEET_END_DONE,
		    .checkpoint = "",
		};
	state->ends_count = 0;
	begun_us = cpu_time_us();
	poll.acked_end =
	    fleet_worker_ends_to_ack(site->fleet, worker, site->now_ms);
	(void)fleet_grant_lease(
	    site->fleet, worker, site->now_ms, site->now_ms);
	fleet_apply_report(site->fleet, worker, &poll, &report, site->now_ms);
	decide(site);
	took_us = cpu_time_us() - begun_us;
	site->spent_us += took_us;
	if (took_us > site->most_us)
		site->most_us = took_us;
	site->reports++;
	store_records(site);
}

static void
drop_events(struct site *site)
{
	const struct fleet_event *events;

	(void)fleet_take_events(site->fleet, &events);
}

/* Submits jobs at a rate, and lets each worker report at its interval. */
static void
run_site(struct site *site, double jobs_per_ms, int64_t duration_ms)
{
	int64_t end_ms = site->now_ms + duration_ms;
	double due = 0;

	for (; site->now_ms < end_ms; site->now_ms++) {
		due += jobs_per_ms;
		while (due >= 1) {
			submit_job(site);
			due--;
		}
		for (size_t i = (size_t)(site->now_ms % REPORT_INTERVAL_MS);
		     i < site->workers_count; i += REPORT_INTERVAL_MS)
			report(site, i);
		drop_events(site);
	}
}

static void
print_metrics(const char *name, struct site *site)
{
	printf(
	    "metric=fleet_%s_%zu_report_mean value=%.4g unit=us seed=%" PRIu64
	    " runs=1\n",
	    name, site->workers_count, site->spent_us / (double)site->reports,
	    SEED);
	printf("metric=fleet_%s_%zu_report_max value=%.4g unit=us seed=%" PRIu64
	       " runs=1\n",
	    name, site->workers_count, site->most_us, SEED);
	(void)fflush(stdout);
	site->spent_us = 0;
	site->most_us = 0;
	site->reports = 0;
}

static void
measure(size_t workers_count)
{
	struct fleet_config config = {
	    .lease_ms = LEASE_MS,
	    .max_lease_ms = LEASE_MS,
	    .previous_lead_renew_ms = LEASE_MS,
	    .remote_factor = 3,
	};
	struct site site = {
	    .fleet = fleet_new(&config, START_MS),
	    .workers = mem_calloc(workers_count, sizeof(struct worker)),
	    .workers_count = workers_count,
	    .random = SEED,
	    .now_ms = START_MS,
	};
	/* A mean job needs about 130 accelerator seconds. */
	double bearable =
	    (double)workers_count * ACCELERATORS * BEARABLE_LOAD / 130 / 1000;

	for (int i = 0; i < WORKSPACES; i++) {
		char workspace[16];

		(void)snprintf(workspace, sizeof(workspace), "t%d", i);
		fleet_set_guarantee(site.fleet, workspace,
		    (int64_t)((double)workers_count * GUARANTEED_PER_WORKER));
	}
	add_workers(&site);
	run_site(&site, bearable, MEASURED_MS);
	print_metrics("load", &site);
	run_site(&site, bearable * BURST_FACTOR, MEASURED_MS);
	print_metrics("burst", &site);
	run_site(&site, 0, MEASURED_MS);
	print_metrics("backlog", &site);
	fleet_free(site.fleet);
	mem_free(site.workers);
}

/* Submits a schedule of one task whose occurrences were due until now, one each
 * minute. */
static void
submit_overdue(struct site *site, uint32_t occurrences)
{
	Ibis__StepJob *spec = mem_calloc(1, sizeof(*spec));
	Ibis__JobStep *step = mem_calloc(1, sizeof(*step));

	ibis__step_job__init(spec);
	ibis__job_step__init(step);
	spec->steps = mem_calloc(1, sizeof(struct Ibis__JobStep *));
	spec->steps[0] = step;
	spec->n_steps = 1;
	spec->attempts = 3;
	spec->priority = 1;
	spec->times = occurrences;
	spec->interval_ms = OVERDUE_INTERVAL_MS;
	spec->first_wall_ms =
	    site->now_ms - (int64_t)occurrences * OVERDUE_INTERVAL_MS;
	proto_set_string(&spec->service, "planner");
	proto_set_string(&spec->workspace, "t0");
	step->tasks = 1;
	step->accelerators = 1;
	step->cpu_milli = 1000;
	step->estimate_ms = 200;
	(void)fleet_add_job(
	    site->fleet, "00000000000000aa", spec, NULL, 0, site->now_ms);
}

/* Calls decide, and returns what it took. */
static double
timed_decision(struct site *site)
{
	double begun_us = cpu_time_us();

	decide(site);
	return cpu_time_us() - begun_us;
}

static void
measure_overdue(uint32_t occurrences)
{
	struct fleet_config config = {
	    .lease_ms = LEASE_MS,
	    .max_lease_ms = LEASE_MS,
	    .previous_lead_renew_ms = LEASE_MS,
	    .remote_factor = 3,
	    .max_open_tasks = MAX_OPEN_TASKS,
	};
	struct site site = {
	    .fleet = fleet_new(&config, INT64_C(2000000000000)),
	    .workers = mem_calloc(OVERDUE_WORKERS, sizeof(struct worker)),
	    .workers_count = OVERDUE_WORKERS,
	    .random = SEED,
	    .now_ms = INT64_C(2000000000000),
	};
	double first_us;

	add_workers(&site);
	run_site(&site, 0, REPORT_INTERVAL_MS);
	submit_overdue(&site, occurrences);
	first_us = timed_decision(&site);
	site.spent_us = site.most_us = 0;
	site.reports = 0;
	run_site(&site, 0, OVERDUE_MEASURED_MS);
	printf("metric=fleet_overdue_%" PRIu32
	       "_first_decision value=%.4g unit=us seed=%" PRIu64 " runs=1\n",
	    occurrences, first_us, SEED);
	printf("metric=fleet_overdue_%" PRIu32
	       "_decision_mean value=%.4g unit=us seed=%" PRIu64 " runs=1\n",
	    occurrences, site.spent_us / (double)site.reports, SEED);
	printf("metric=fleet_overdue_%" PRIu32
	       "_decision_max value=%.4g unit=us seed=%" PRIu64 " runs=1\n",
	    occurrences, site.most_us, SEED);
	(void)fflush(stdout);
	fleet_free(site.fleet);
	mem_free(site.workers);
}

int
main(int argc, char **argv)
{
	bool overdue = argc > 1 && strcmp(argv[1], "overdue") == 0;

	if (argc == 1) {
		measure(48);
		measure(540);
	}
	if (argc == 1 || (overdue && argc == 2)) {
		measure_overdue(1000);
		measure_overdue(2000);
		measure_overdue(4000);
		measure_overdue(8000);
		measure_overdue(16000);
	}
	for (int i = overdue ? 2 : 1; i < argc; i++) {
		unsigned long number = strtoul(argv[i], NULL, 10);

		if (overdue)
			measure_overdue((uint32_t)number);
		else
			measure(number);
	}
	return 0;
}
