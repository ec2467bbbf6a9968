/* Event loop, workload generator and totals of the simulation. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common_simulation.h"
#include "process/alloc.h"
#include "process/scheduler.h"

#define START_MS	       300 /* from the decision to the confirmed start */
#define STOP_MS		       200  /* to stop without a checkpoint */
#define RESTART_MS	       1000 /* to restore a checkpoint */
#define MIN_CHECKPOINT_MS      300
#define MAX_CHECKPOINT_MS      1500
#define BURST_INTERVAL_MS      300000
#define ZONE_LEAVE_SHARE       0.3 /* of arrivals_ms, as are the next two */
#define ZONE_RETURN_SHARE      0.6
#define ZONE_MEASURE_END_SHARE 0.8
#define SAMPLE_INTERVAL_MS     5000
#define MAX_ARRIVAL_PERIODS    4 /* limit of a simulation, in arrivals_ms */
#define MILLISECONDS	       1000.0

enum sim_event_kind {
	SIM_ARRIVAL,
	SIM_BURST,
	SIM_START_CONFIRMED,
	SIM_FINISH,
	SIM_EVICTED,
	SIM_ZONE_LEAVES,
	SIM_ZONE_RETURNS,
	SIM_SAMPLE
};

struct sim_event {
	int64_t at_ms;
	uint64_t sequence;
	enum sim_event_kind kind;
	size_t job; /* index of the job, or the class for arrivals */
	uint32_t attempt;
};

struct sim_job {
	struct scheduler_job spec;
	enum fleet_class class;
	int64_t run_ms;		 /* actual run time, not the declared one */
	int64_t checkpointed_ms; /* work saved in checkpoints */
	int64_t begin_ms; /* confirmed start of this attempt, 0 before it */
	uint32_t attempt;
	bool active;   /* has workers */
	bool stopping; /* evicted without a checkpoint */
	bool started;  /* an attempt has been confirmed */
	bool closed;   /* finished, given up or refused */
};

struct simulation {
	const struct simulation_config *config;
	struct simulation_result *result;
	struct scheduler *scheduler;
	int64_t now_ms;
	uint64_t arrivals_random; /* same sequence under each policy */
	uint64_t effects_random;  /* durations of checkpoints */
	uint64_t sequence;
	struct sim_event *heap;
	size_t heap_count;
	size_t heap_capacity;
	struct sim_job *jobs;
	size_t jobs_count;
	size_t jobs_capacity;
	size_t open_jobs;
	/* Work is in accelerator-milliseconds. */
	double work_in_time;
	double work_done;
	double work_lost;
	double work_in_window;
	/* Sums over the usage samples, in accelerators. */
	double free_sum;
	double guarantee_sum;
	double rack_sum;
};

/* Distribution of one class's jobs. */
struct class_mix {
	double share; /* of the offered work */
	int64_t min_run_ms;
	int64_t max_run_ms;
	int64_t deadline_ms;
	/* Jobs that are neither idempotent nor checkpointable. */
	double non_preemptible_share;
	double checkpointable_share;
	double workspaces[FLEET_WORKSPACES]; /* shares that sum to 1 */
};

static const struct class_mix class_mixes[FLEET_CLASSES] = {
    {0.10, 2000, 20000, 60000, 0.2, 0.0, {0.3, 0.5, 0.1, 0.1}},
    {0.35, 180000, 600000, 2400000, 0.0, 1.0, {0.5, 0.0, 0.3, 0.2}},
    {0.25, 30000, 240000, 900000, 0.15, 0.5, {0.3, 0.1, 0.3, 0.3}},
    {0.30, 20000, 100000, 7200000, 0.0, 0.3, {0.1, 0.1, 0.3, 0.5}},
};

/* xorshift64*: a number in [0, 1). */
static double
next_random(uint64_t *state)
{
	uint64_t x = *state;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	*state = x;
	x *= UINT64_C(2685821657736338717);
	return (double)(x >> 11) / (double)(UINT64_C(1) << 53);
}

static int64_t
random_between(uint64_t *state, int64_t low, int64_t high)
{
	return low + (int64_t)(next_random(state) * (double)(high - low));
}

static bool
is_event_before(const struct sim_event *left, const struct sim_event *right)
{
	if (left->at_ms != right->at_ms)
		return left->at_ms < right->at_ms;
	return left->sequence < right->sequence;
}

static void
swap_events(struct simulation *sim, size_t left, size_t right)
{
	struct sim_event event = sim->heap[left];

	sim->heap[left] = sim->heap[right];
	sim->heap[right] = event;
}

static void
push_event(struct simulation *sim, int64_t at_ms, enum sim_event_kind kind,
    size_t job, uint32_t attempt)
{
	size_t index = sim->heap_count;

	sim->heap = mem_grow(sim->heap, &sim->heap_capacity,
	    sim->heap_count + 1, sizeof(*sim->heap));
	sim->heap[sim->heap_count++] = (struct sim_event){
	    .at_ms = at_ms,
	    .sequence = ++sim->sequence,
	    .kind = kind,
	    .job = job,
	    .attempt = attempt,
	};
	while (index > 0 &&
	    is_event_before(&sim->heap[index], &sim->heap[(index - 1) / 2])) {
		swap_events(sim, index, (index - 1) / 2);
		index = (index - 1) / 2;
	}
}

static struct sim_event
pop_event(struct simulation *sim)
{
	struct sim_event first = sim->heap[0];
	size_t index = 0;

	sim->heap[0] = sim->heap[--sim->heap_count];
	for (;;) {
		size_t least = index;

		for (size_t child = 2 * index + 1; child <= 2 * index + 2;
		     child++) {
			if (child < sim->heap_count &&
			    is_event_before(
				&sim->heap[child], &sim->heap[least]))
				least = child;
		}
		if (least == index)
			return first;
		swap_events(sim, index, least);
		index = least;
	}
}

static void
add_sample(struct simulation_samples *samples, double value)
{
	samples->values = mem_grow(samples->values, &samples->capacity,
	    samples->count + 1, sizeof(*samples->values));
	samples->values[samples->count++] = value;
}

/* Draws the tasks, accelerators per task and adjacency of a job. */
static void
choose_shape(
    struct simulation *sim, struct scheduler_job *spec, enum fleet_class class)
{
	uint32_t rack_workers = sim->config->size->workers_per_rack;
	uint32_t worker_accelerators =
	    sim->config->size->accelerators_per_worker;
	double draw = next_random(&sim->arrivals_random);

	spec->tasks = 1;
	spec->accelerators_per_task = 1;
	switch (class) {
	case FLEET_URGENT:
		spec->accelerators_per_task = draw < 0.5 ? 1 : 2;
		break;
	case FLEET_PLAN:
		spec->adjacency = IBIS__ADJACENCY__ADJACENCY_RACK;
		spec->accelerators_per_task = worker_accelerators;
		spec->tasks = draw < 0.4 ? rack_workers / 2
		    : draw < 0.7	 ? rack_workers * 2 / 3
					 : rack_workers;
		if (draw < 0.85)
			break;
		spec->adjacency = IBIS__ADJACENCY__ADJACENCY_ZONE;
		spec->tasks = rack_workers;
		spec->accelerators_per_task = worker_accelerators / 2;
		break;
	case FLEET_BATCH:
		spec->tasks = draw < 0.5 ? 1 : 2;
		spec->accelerators_per_task = draw < 0.25 ? 4 : 2;
		break;
	default:
		break;
	}
}

static void
choose_workspace(struct simulation *sim, struct scheduler_job *spec,
    const double shares[FLEET_WORKSPACES])
{
	static const char *const names[] = {"large", "desk", "tenant", "guest"};
	double draw = next_random(&sim->arrivals_random);
	size_t chosen = 0;

	while (chosen + 1 < FLEET_WORKSPACES && draw >= shares[chosen]) {
		draw -= shares[chosen];
		chosen++;
	}
	STRING_COPY(spec->workspace, names[chosen]);
}

static void
choose_flags(struct simulation *sim, struct scheduler_job *spec,
    const struct class_mix *mix)
{
	double draw = next_random(&sim->arrivals_random);

	spec->idempotent = draw >= mix->non_preemptible_share;
	spec->checkpointable = draw >= 1.0 - mix->checkpointable_share;
}

static struct sim_job *
add_job(struct simulation *sim, enum fleet_class class)
{
	static const char *const names[] = {"urgent", "plan", "batch", "idle"};
	const struct class_mix *mix = &class_mixes[class];
	double error_factor = pow(sim->config->run_time_error_factor,
	    2.0 * next_random(&sim->arrivals_random) - 1.0);
	struct sim_job *job;

	sim->jobs = mem_grow(sim->jobs, &sim->jobs_capacity,
	    sim->jobs_count + 1, sizeof(*sim->jobs));
	job = &sim->jobs[sim->jobs_count++];
	*job = (struct sim_job){
	    .class = class,
	    .run_ms = random_between(
		&sim->arrivals_random, mix->min_run_ms, mix->max_run_ms),
	};
	job->spec = (struct scheduler_job){
	    .id = {.low = sim->jobs_count},
	    .run_time_ms = (int64_t)((double)job->run_ms * error_factor) + 1,
	    .accepted_ms = sim->now_ms,
	    .deadline_ms = sim->now_ms + mix->deadline_ms,
	};
	STRING_COPY(job->spec.request_class, names[class]);
	choose_shape(sim, &job->spec, class);
	choose_workspace(sim, &job->spec, mix->workspaces);
	choose_flags(sim, &job->spec, mix);
	return job;
}

static uint32_t
accelerators_of(const struct sim_job *job)
{
	return job->spec.tasks * job->spec.accelerators_per_task;
}

static void
submit(struct simulation *sim, enum fleet_class class)
{
	struct simulation_class *totals = &sim->result->classes[class];
	struct sim_job *job = add_job(sim, class);
	int64_t retry_after_ms = 0;

	totals->submitted++;
	if (scheduler_submit(sim->scheduler, &job->spec, sim->now_ms,
		&retry_after_ms, NULL) == IBIS_OK) {
		sim->open_jobs++;
		return;
	}
	job->closed = true;
	totals->missed++;
	sim->result->refused++;
}

/* Returns the mean work of a class's jobs; must match choose_shape. */
static double
mean_work(const struct simulation *sim, enum fleet_class class)
{
	double rack_workers = sim->config->size->workers_per_rack;
	double worker_accelerators = sim->config->size->accelerators_per_worker;
	double run_ms = (double)(class_mixes[class].min_run_ms +
			    class_mixes[class].max_run_ms) /
	    2;

	switch (class) {
	case FLEET_URGENT:
		return 1.5 * run_ms;
	case FLEET_PLAN:
		return run_ms * rack_workers * worker_accelerators *
		    (0.4 * 0.5 + 0.3 * 2 / 3 + 0.15 + 0.15 / 2);
	case FLEET_BATCH:
		return run_ms * (0.25 * 4 + 0.25 * 2 + 0.5 * 2 * 2);
	default:
		return run_ms;
	}
}

/* Draws the next arrival of a class as a Poisson process. */
static void
schedule_arrival(struct simulation *sim, enum fleet_class class)
{
	double capacity = fleet_accelerators(sim->config->size);
	double share = class_mixes[class].share;
	double gap_ms;
	int64_t at_ms;

	/* Half of the idle work arrives in bursts. */
	if (class == FLEET_IDLE && sim->config->bursts)
		share /= 2;
	gap_ms = mean_work(sim, class) /
	    (share * sim->config->load * capacity) *
	    -log(1.0 - next_random(&sim->arrivals_random));
	at_ms = sim->now_ms + (int64_t)gap_ms;
	if (at_ms < sim->config->arrivals_ms)
		push_event(sim, at_ms, SIM_ARRIVAL, class, 0);
}

/* Submits a burst with half of the idle work of one burst interval, and
 * schedules the next burst. */
static void
submit_burst(struct simulation *sim)
{
	double capacity = fleet_accelerators(sim->config->size);
	double work = class_mixes[FLEET_IDLE].share / 2 * sim->config->load *
	    capacity * BURST_INTERVAL_MS;
	size_t jobs = (size_t)(work / mean_work(sim, FLEET_IDLE));

	for (size_t i = 0; i < jobs; i++)
		submit(sim, FLEET_IDLE);
	if (sim->now_ms + BURST_INTERVAL_MS < sim->config->arrivals_ms)
		push_event(
		    sim, sim->now_ms + BURST_INTERVAL_MS, SIM_BURST, 0, 0);
}

/* Returns a point in time given as a share of arrivals_ms. */
static int64_t
share_of_arrivals_ms(const struct simulation *sim, double share)
{
	return (int64_t)((double)sim->config->arrivals_ms * share);
}

/* Counts the work of the current attempt up to now. */
static void
count_work(struct simulation *sim, const struct sim_job *job)
{
	int64_t from_ms = share_of_arrivals_ms(sim, ZONE_LEAVE_SHARE);
	int64_t to_ms = share_of_arrivals_ms(sim, ZONE_MEASURE_END_SHARE);
	double accelerators = accelerators_of(job);

	sim->work_done += (double)(sim->now_ms - job->begin_ms) * accelerators;
	if (job->begin_ms > from_ms)
		from_ms = job->begin_ms;
	if (sim->now_ms < to_ms)
		to_ms = sim->now_ms;
	if (to_ms > from_ms)
		sim->work_in_window += (double)(to_ms - from_ms) * accelerators;
}

static void
close_job(struct simulation *sim, struct sim_job *job)
{
	job->active = false;
	job->closed = true;
	sim->open_jobs--;
}

static void
handle_start(struct simulation *sim, struct sim_job *job)
{
	int64_t left_ms = job->run_ms - job->checkpointed_ms;

	scheduler_set_running(sim->scheduler, job->spec.id, sim->now_ms);
	if (!job->started)
		add_sample(&sim->result->classes[job->class].start_ms,
		    (double)(sim->now_ms - job->spec.accepted_ms));
	job->started = true;
	job->begin_ms = sim->now_ms;
	if (job->checkpointed_ms > 0)
		left_ms += RESTART_MS;
	push_event(sim, sim->now_ms + left_ms, SIM_FINISH,
	    (size_t)(job - sim->jobs), job->attempt);
}

/* Returns the work time of a finished job that falls within arrivals_ms. */
static int64_t
work_during_arrivals_ms(const struct simulation *sim, const struct sim_job *job)
{
	int64_t until_ms = sim->now_ms < sim->config->arrivals_ms
	    ? sim->now_ms
	    : sim->config->arrivals_ms;

	if (job->begin_ms >= until_ms)
		return job->checkpointed_ms;
	return job->checkpointed_ms + until_ms - job->begin_ms;
}

static void
handle_finish(struct simulation *sim, struct sim_job *job)
{
	struct simulation_class *totals = &sim->result->classes[job->class];
	double allowed =
	    (double)(job->spec.deadline_ms - job->spec.accepted_ms);
	bool in_time = sim->now_ms <= job->spec.deadline_ms;

	count_work(sim, job);
	scheduler_end(sim->scheduler, job->spec.id, END_FINISHED, NULL,
	    sim->now_ms - job->begin_ms, sim->now_ms);
	totals->finished++;
	add_sample(&totals->deadline_share,
	    (double)(sim->now_ms - job->spec.accepted_ms) / allowed);
	if (in_time)
		sim->work_in_time += (double)work_during_arrivals_ms(sim, job) *
		    accelerators_of(job);
	if (!in_time)
		totals->missed++;
	close_job(sim, job);
}

/* Ends an eviction: without a checkpoint the attempt's work is lost. */
static void
handle_evicted(struct simulation *sim, struct sim_job *job)
{
	int64_t ran_ms = job->begin_ms > 0 ? sim->now_ms - job->begin_ms : 0;

	if (job->stopping)
		sim->work_lost += (double)ran_ms * accelerators_of(job);
	else if (job->begin_ms > 0)
		count_work(sim, job);
	if (!job->stopping)
		job->checkpointed_ms += ran_ms;
	if (job->checkpointed_ms > job->run_ms)
		job->checkpointed_ms = job->run_ms;
	scheduler_end(sim->scheduler, job->spec.id, END_EVICTED, NULL, ran_ms,
	    sim->now_ms);
	job->active = false;
}

static void
take_sample(struct simulation *sim)
{
	struct scheduler_usage usage;

	scheduler_usage(sim->scheduler, &usage);
	sim->free_sum += (double)usage.free_accelerators;
	sim->guarantee_sum += (double)usage.unusable_for_guarantee;
	sim->rack_sum += (double)usage.unusable_for_rack;
	if (sim->now_ms + SAMPLE_INTERVAL_MS < sim->config->arrivals_ms)
		push_event(
		    sim, sim->now_ms + SAMPLE_INTERVAL_MS, SIM_SAMPLE, 0, 0);
}

static void
handle_event(struct simulation *sim, const struct sim_event *event)
{
	struct sim_job *job;

	switch (event->kind) {
	case SIM_ARRIVAL:
		submit(sim, (enum fleet_class)event->job);
		schedule_arrival(sim, (enum fleet_class)event->job);
		return;
	case SIM_BURST:
		submit_burst(sim);
		return;
	case SIM_SAMPLE:
		take_sample(sim);
		return;
	case SIM_ZONE_LEAVES:
	case SIM_ZONE_RETURNS:
		scheduler_set_zone(sim->scheduler, "z0",
		    event->kind == SIM_ZONE_RETURNS, sim->now_ms);
		return;
	default:
		break;
	}
	job = &sim->jobs[event->job];
	if (!job->active || job->attempt != event->attempt)
		return;
	if (event->kind == SIM_START_CONFIRMED)
		handle_start(sim, job);
	else if (event->kind == SIM_FINISH)
		handle_finish(sim, job);
	else
		handle_evicted(sim, job);
}

static void
begin_attempt(struct simulation *sim, struct sim_job *job)
{
	job->active = true;
	job->stopping = false;
	job->begin_ms = 0;
	job->attempt++;
	sim->result->starts++;
	push_event(sim, sim->now_ms + START_MS, SIM_START_CONFIRMED,
	    (size_t)(job - sim->jobs), job->attempt);
}

static void
evict(struct simulation *sim, struct sim_job *job, enum eviction_manner manner)
{
	int64_t delay_ms = STOP_MS;

	sim->result->evictions++;
	if (manner == EVICT_CHECKPOINT)
		delay_ms = random_between(
		    &sim->effects_random, MIN_CHECKPOINT_MS, MAX_CHECKPOINT_MS);
	else
		job->stopping = true;
	push_event(sim, sim->now_ms + delay_ms, SIM_EVICTED,
	    (size_t)(job - sim->jobs), job->attempt);
}

static void
decide(struct simulation *sim)
{
	const struct scheduler_action *actions;
	size_t count = scheduler_decide(sim->scheduler, sim->now_ms, &actions);

	for (size_t i = 0; i < count; i++) {
		struct sim_job *job = &sim->jobs[actions[i].job.low - 1];

		switch (actions[i].kind) {
		case ACTION_START:
			begin_attempt(sim, job);
			break;
		case ACTION_EVICT:
			evict(sim, job, actions[i].evict.manner);
			break;
		case ACTION_GIVE_UP:
			sim->result->classes[job->class].missed++;
			close_job(sim, job);
			break;
		case ACTION_THROTTLE:
			break;
		}
	}
}

static void
init_simulation(struct simulation *sim)
{
	struct scheduler_config config = {
	    .policy = sim->config->policy,
	    .reclaim_bound_ms = 4200,
	    .zone_return_ramp_ms = 10000,
	    .max_queued_jobs = 20000,
	    .max_attempts = 5,
	    .seed = sim->config->seed,
	};
	struct document *document = fleet_document(sim->config->size);

	sim->scheduler = scheduler_new(&config);
	scheduler_set_document(sim->scheduler, document, 0);
	for (size_t i = 0; i < document->workers_count; i++)
		scheduler_set_worker(sim->scheduler, document->workers[i].name,
		    WORKER_SERVING, 0);
	document_free(document);
	for (int i = 0; i < FLEET_CLASSES; i++)
		schedule_arrival(sim, (enum fleet_class)i);
	if (sim->config->bursts)
		push_event(sim, BURST_INTERVAL_MS / 2, SIM_BURST, 0, 0);
	push_event(sim, SAMPLE_INTERVAL_MS, SIM_SAMPLE, 0, 0);
	if (!sim->config->zone_change)
		return;
	push_event(sim, share_of_arrivals_ms(sim, ZONE_LEAVE_SHARE),
	    SIM_ZONE_LEAVES, 0, 0);
	push_event(sim, share_of_arrivals_ms(sim, ZONE_RETURN_SHARE),
	    SIM_ZONE_RETURNS, 0, 0);
}

/* Advances the clock to the next event or scheduler wake-up, handles all due
 * events and runs a scheduler decision. Returns false at the end. */
static bool
advance(struct simulation *sim)
{
	int64_t wake_ms = scheduler_next_ms(sim->scheduler);
	int64_t event_ms = sim->heap_count > 0 ? sim->heap[0].at_ms : INT64_MAX;

	if (event_ms == INT64_MAX && sim->open_jobs == 0)
		return false;
	if (wake_ms <= sim->now_ms)
		wake_ms = sim->now_ms + 1;
	sim->now_ms = event_ms < wake_ms ? event_ms : wake_ms;
	if (sim->now_ms > MAX_ARRIVAL_PERIODS * sim->config->arrivals_ms)
		return false;
	while (sim->heap_count > 0 && sim->heap[0].at_ms <= sim->now_ms) {
		struct sim_event event = pop_event(sim);

		handle_event(sim, &event);
	}
	decide(sim);
	return true;
}

/* Returns the accelerator-milliseconds in service during the measured window
 * around the zone change. */
static double
capacity_in_window(const struct simulation *sim)
{
	double capacity = fleet_accelerators(sim->config->size);
	double zone_out_ms = (ZONE_RETURN_SHARE - ZONE_LEAVE_SHARE) *
	    (double)sim->config->arrivals_ms;
	double window_ms = (ZONE_MEASURE_END_SHARE - ZONE_LEAVE_SHARE) *
	    (double)sim->config->arrivals_ms;

	return capacity * window_ms -
	    capacity / sim->config->size->zones * zone_out_ms;
}

static void
compute_result(struct simulation *sim)
{
	struct simulation_result *result = sim->result;
	double capacity = fleet_accelerators(sim->config->size);

	for (size_t i = 0; i < sim->jobs_count; i++) {
		if (!sim->jobs[i].closed)
			result->classes[sim->jobs[i].class].missed++;
	}
	result->goodput_share =
	    sim->work_in_time / (capacity * (double)sim->config->arrivals_ms);
	result->zone_work_share = sim->work_in_window / capacity_in_window(sim);
	result->lost_work_share =
	    sim->work_lost / (sim->work_lost + sim->work_done);
	if (sim->free_sum <= 0)
		return;
	result->unusable_for_guarantee_share =
	    sim->guarantee_sum / sim->free_sum;
	result->unusable_for_rack_share = sim->rack_sum / sim->free_sum;
}

void
simulation_run(
    const struct simulation_config *config, struct simulation_result *result)
{
	struct simulation sim = {
	    .config = config,
	    .result = result,
	    .arrivals_random = config->seed * UINT64_C(2654435761) + 1,
	    .effects_random = config->seed,
	};

	*result = (struct simulation_result){0};
	init_simulation(&sim);
	while (advance(&sim))
		;
	compute_result(&sim);
	scheduler_free(sim.scheduler);
	mem_free(sim.heap);
	mem_free(sim.jobs);
}

void
simulation_free(struct simulation_result *result)
{
	for (int i = 0; i < FLEET_CLASSES; i++) {
		mem_free(result->classes[i].deadline_share.values);
		mem_free(result->classes[i].start_ms.values);
	}
	*result = (struct simulation_result){0};
}

static int
compare_values(const void *left, const void *right)
{
	double one = *(const double *)left;
	double other = *(const double *)right;

	return (one > other) - (one < other);
}

double
simulation_quantile(struct simulation_samples *samples, double share)
{
	size_t index;

	if (samples->count == 0)
		return 0;
	qsort(samples->values, samples->count, sizeof(*samples->values),
	    compare_values);
	index = (size_t)(share * (double)(samples->count - 1) + 0.5);
	return samples->values[index];
}
