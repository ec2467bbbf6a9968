/* Times each scheduler decision while jobs end and arrive on a full fleet. */
#include <stdlib.h>
#include <time.h>

#include "common_cost.h"
#include "process/alloc.h"
#include "process/scheduler.h"

#define TIMED_DECISIONS	     10000
#define GANG_INTERVAL_JOBS   500
#define DECISION_INTERVAL_MS 1
#define MEAN_RUN_MS	     60000
#define P99		     0.99
#define NS_PER_S	     1e9
#define US_PER_S	     1e6

struct cost_run {
	struct scheduler *scheduler;
	uint64_t random;
	uint64_t next_id;
	uint64_t *running; /* ids of jobs that hold workers */
	size_t running_count;
	size_t running_capacity;
	double *decision_s; /* time of each timed decision */
	size_t decisions;
	double total_s; /* sum of decision_s */
	uint64_t placements;
	int64_t now_ms;
};

/* xorshift64: a number in [0, bound). */
static uint64_t
next_random(struct cost_run *run, uint64_t bound)
{
	run->random ^= run->random << 13;
	run->random ^= run->random >> 7;
	run->random ^= run->random << 17;
	return run->random % bound;
}

static void
submit(struct cost_run *run, uint32_t tasks)
{
	static const char *const workspaces[] = {
	    "large", "desk", "tenant", "guest"};
	static const char *const classes[] = {"plan", "batch", "idle", "idle"};
	struct scheduler_job job = {
	    .id = {.low = ++run->next_id},
	    .tasks = tasks,
	    .accelerators_per_task = 1,
	    .adjacency = tasks > 1 ? IBIS__ADJACENCY__ADJACENCY_ZONE
				   : IBIS__ADJACENCY__ADJACENCY_ANY,
	    .idempotent = true,
	    .checkpointable = next_random(run, 2) == 0,
	    .run_time_ms =
		MEAN_RUN_MS / 2 + (int64_t)next_random(run, MEAN_RUN_MS),
	    .accepted_ms = run->now_ms,
	};
	int64_t retry_after_ms = 0;

	STRING_COPY(job.workspace, workspaces[next_random(run, 4)]);
	STRING_COPY(job.request_class,
	    tasks > 1 ? classes[0] : classes[next_random(run, 4)]);
	(void)scheduler_submit(
	    run->scheduler, &job, run->now_ms, &retry_after_ms, NULL);
}

static void
record_start(struct cost_run *run, uint64_t id)
{
	run->placements++;
	run->running = mem_grow(run->running, &run->running_capacity,
	    run->running_count + 1, sizeof(*run->running));
	run->running[run->running_count++] = id;
}

static double
seconds_now(void)
{
	struct timespec time;

	(void)clock_gettime(CLOCK_MONOTONIC, &time);
	return (double)time.tv_sec + (double)time.tv_nsec / NS_PER_S;
}

/* Runs one scheduler decision and records its time if timed is set. */
static void
decide(struct cost_run *run, bool timed)
{
	const struct scheduler_action *actions;
	double begin_s = seconds_now();
	size_t count = scheduler_decide(run->scheduler, run->now_ms, &actions);
	double elapsed_s = seconds_now() - begin_s;

	for (size_t i = 0; i < count; i++) {
		if (actions[i].kind == ACTION_START)
			record_start(run, actions[i].job.low);
	}
	if (!timed)
		return;
	run->decision_s[run->decisions++] = elapsed_s;
	run->total_s += elapsed_s;
}

/* Finishes a randomly chosen running job. */
static void
finish_random_job(struct cost_run *run)
{
	size_t index;
	struct job_id id = {0};

	if (run->running_count == 0)
		return;
	index = next_random(run, run->running_count);
	id.low = run->running[index];
	run->running[index] = run->running[--run->running_count];
	scheduler_set_running(run->scheduler, id, run->now_ms);
	scheduler_end(
	    run->scheduler, id, END_FINISHED, NULL, MEAN_RUN_MS, run->now_ms);
}

/* Submits one single-task job per accelerator, without counting placements. */
static void
fill_fleet(struct cost_run *run, uint32_t accelerators)
{
	for (uint32_t i = 0; i < accelerators; i++) {
		submit(run, 1);
		decide(run, false);
	}
	run->placements = 0;
}

static int
compare_seconds(const void *left, const void *right)
{
	double one = *(const double *)left;
	double other = *(const double *)right;

	return (one > other) - (one < other);
}

static struct cost_result
compute_result(const struct cost_run *run)
{
	qsort(run->decision_s, run->decisions, sizeof(*run->decision_s),
	    compare_seconds);
	return (struct cost_result){
	    .placements_per_s = (double)run->placements / run->total_s,
	    .decide_p99_us =
		run->decision_s[(size_t)(P99 * (double)run->decisions)] *
		US_PER_S,
	    .decide_max_us = run->decision_s[run->decisions - 1] * US_PER_S,
	};
}

struct cost_result
cost_measure(const struct fleet_size *size, enum settings_policy policy,
    uint32_t gang_tasks, uint64_t seed)
{
	struct scheduler_config config = {
	    .policy = policy,
	    .reclaim_bound_ms = 4200,
	    .zone_return_ramp_ms = 10000,
	    .max_queued_jobs = 20000,
	    .max_attempts = 5,
	    .seed = seed,
	};
	struct cost_run run = {
	    .scheduler = scheduler_new(&config),
	    .random = seed,
	    .decision_s = mem_calloc(TIMED_DECISIONS, sizeof(double)),
	};
	struct document *document = fleet_document(size);
	struct cost_result result;

	scheduler_set_document(run.scheduler, document, 0);
	for (size_t i = 0; i < document->workers_count; i++)
		scheduler_set_worker(run.scheduler, document->workers[i].name,
		    WORKER_SERVING, 0);
	document_free(document);
	fill_fleet(&run, fleet_accelerators(size));
	for (int i = 0; i < TIMED_DECISIONS; i++) {
		run.now_ms += DECISION_INTERVAL_MS;
		finish_random_job(&run);
		submit(&run, i % GANG_INTERVAL_JOBS == 0 ? gang_tasks : 1);
		decide(&run, true);
	}
	result = compute_result(&run);
	scheduler_free(run.scheduler);
	mem_free(run.running);
	mem_free(run.decision_s);
	return result;
}
