#include <stdio.h>
#include <string.h>

#include "common_world.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define TICK_MS	     10
#define LEASE_MS     6000
#define MAX_LEASE_MS 10000
#define OLD_LEAD_MS  8000
#define LOOK_MS	     50
#define LATE_MS	     2500
#define GANG_WAIT_MS 3000
#define START_MS     1000000
#define CPU_MILLI    128000
#define MEMORY_MB    262144
#define ACCELERATORS 8

static void
break_rule(
    struct world *world, const char *rule, const struct fleet_task_id *id)
{
	if (world->broken[0] == '\0')
		(void)snprintf(world->broken, sizeof(world->broken),
		    "%s: %s.%u.%u.%u at %lld ms", rule, id->job, id->occurrence,
		    id->step, id->index, (long long)(world->now_ms - START_MS));
}

static bool
same_task(const struct fleet_task_id *a, const struct fleet_task_id *b)
{
	return strcmp(a->job, b->job) == 0 && a->occurrence == b->occurrence &&
	    a->step == b->step && a->index == b->index;
}

static bool
same_gang(const struct fleet_task_id *a, const struct fleet_task_id *b)
{
	return strcmp(a->job, b->job) == 0 && a->occurrence == b->occurrence &&
	    a->step == b->step;
}

static struct world_job *
job_of(struct world *world, const char *id)
{
	for (size_t i = 0; i < world->jobs_count; i++) {
		if (strcmp(world->jobs[i].id, id) == 0)
			return &world->jobs[i];
	}
	return NULL;
}

static Ibis__StepJob *
spec_of(const struct world_job *job)
{
	return (Ibis__StepJob *)proto_unpack(
	    &ibis__step_job__descriptor, job->spec.data, job->spec.length);
}

static int64_t
worker_clock(const struct world *world, const struct world_worker *worker)
{
	return world->now_ms + worker->clock_offset_ms;
}

/*
 * Workers.
 */

/* Runs of a task up to this one never start here again. */
static void
forbid_up_to(struct world_worker *worker, const struct world_run *run)
{
	for (size_t i = 0; i < worker->past_count; i++) {
		if (!same_task(&worker->past[i].task, &run->task))
			continue;
		if (worker->past[i].run < run->run)
			worker->past[i].run = run->run;
		return;
	}
	if (worker->past_count < WORLD_ENDS)
		worker->past[worker->past_count++] = *run;
}

static void
list_end(struct world *world, struct world_worker *worker,
    const struct world_run *run, enum fleet_end how)
{
	if (how == FLEET_END_DONE && world->done_count < WORLD_DONE)
		world->done[world->done_count++] = run->task;
	if (worker->ends_count < WORLD_ENDS)
		worker->ends[worker->ends_count++] =
		    (struct world_end){.number = ++worker->next_end,
			.task = run->task,
			.run = run->run,
			.how = how};
	forbid_up_to(worker, run);
}

static void
end_run(struct world *world, struct world_worker *worker, struct world_run *run,
    enum fleet_end how)
{
	run->used = false;
	list_end(world, worker, run, how);
}

/* The other members of a gang end with one. */
static void
end_gang(struct world *world, const struct world_run *ended, enum fleet_end how)
{
	for (size_t i = 0; i < world->workers_count; i++) {
		for (size_t j = 0; j < WORLD_RUNS; j++) {
			struct world_run *run = &world->workers[i].runs[j];

			if (run->used && same_gang(&run->task, &ended->task))
				end_run(world, &world->workers[i], run, how);
		}
	}
}

static bool
is_gang(struct world *world, const struct fleet_task_id *id)
{
	Ibis__StepJob *spec = spec_of(job_of(world, id->job));
	bool gang = spec->steps[id->step]->gang;

	ibis__step_job__free_unpacked(spec, proto_allocator());
	return gang;
}

static void
stop_run(struct world *world, struct world_worker *worker,
    struct world_run *run, enum fleet_end how)
{
	struct world_run copy = *run;

	end_run(world, worker, run, how);
	if (is_gang(world, &copy.task))
		end_gang(world, &copy,
		    how == FLEET_END_DONE ? FLEET_END_DONE : FLEET_END_BROKEN);
}

static bool
was_done(const struct world *world, const struct fleet_task_id *id)
{
	for (size_t i = 0; i < world->done_count; i++) {
		if (same_task(&world->done[i], id))
			return true;
	}
	return false;
}

static bool
is_done(const struct world *world, const struct fleet_task_id *id)
{
	for (size_t i = 0; i < world->workers_count; i++) {
		const struct world_worker *worker = &world->workers[i];

		for (size_t j = 0; j < worker->ends_count; j++) {
			if (worker->ends[j].how == FLEET_END_DONE &&
			    !worker->ends[j].excused &&
			    same_task(&worker->ends[j].task, id))
				return true;
		}
	}
	return false;
}

/* Judges a start against the recorded progress and what runs. */
static void
judge_start(struct world *world, struct world_worker *worker,
    const struct fleet_task_id *id)
{
	struct world_job *job = job_of(world, id->job);
	Ibis__StepJob *spec = spec_of(job);
	const Ibis__JobStep *step = spec->steps[id->step];
	int64_t used = step->accelerators;

	for (size_t i = 0; i < world->workers_count; i++) {
		for (size_t j = 0; j < WORLD_RUNS; j++) {
			const struct world_run *run =
			    &world->workers[i].runs[j];

			if (run->used && same_task(&run->task, id))
				break_rule(world, "runs twice", id);
		}
	}
	for (size_t i = 0; i < step->n_after; i++) {
		uint32_t earlier = step->after[i];

		for (uint32_t j = 0; j < spec->steps[earlier]->tasks; j++) {
			struct fleet_task_id other = *id;

			other.step = earlier;
			other.index = j;
			if (!was_done(world, &other))
				break_rule(world, "starts too early", id);
		}
	}
	for (size_t j = 0; j < WORLD_RUNS; j++) {
		if (worker->runs[j].used) {
			Ibis__StepJob *other =
			    spec_of(job_of(world, worker->runs[j].task.job));

			used += other->steps[worker->runs[j].task.step]
				    ->accelerators;
			ibis__step_job__free_unpacked(other, proto_allocator());
		}
	}
	if (used > ACCELERATORS)
		break_rule(world, "over its capacity", id);
	if (is_done(world, id))
		break_rule(world, "starts after its end", id);
	ibis__step_job__free_unpacked(spec, proto_allocator());
}

static bool
forbidden(const struct world_worker *worker, const struct fleet_task_id *id,
    uint64_t run)
{
	for (size_t i = 0; i < worker->past_count; i++) {
		if (same_task(&worker->past[i].task, id) &&
		    worker->past[i].run >= run)
			return true;
	}
	return false;
}

static void
extend_lease(struct world *world, struct world_worker *worker, int64_t until_ms)
{
	int64_t latest_ms = worker_clock(world, worker) + MAX_LEASE_MS;

	if (until_ms > latest_ms)
		until_ms = latest_ms;
	if (until_ms > worker->lease_until_ms)
		worker->lease_until_ms = until_ms;
}

static enum fleet_start_answer
start_on(struct world *world, struct world_worker *worker,
    const struct fleet_order *order, uint64_t epoch, int64_t lease_clock_ms)
{
	struct world_job *job = job_of(world, order->task.job);

	if (epoch < worker->epoch)
		return FLEET_START_REFUSED;
	worker->epoch = epoch;
	for (size_t i = 0; i < WORLD_RUNS; i++) {
		if (worker->runs[i].used &&
		    same_task(&worker->runs[i].task, &order->task) &&
		    worker->runs[i].run == order->run)
			return FLEET_STARTED;
	}
	if (forbidden(worker, &order->task, order->run))
		return FLEET_START_OLD;
	if (lease_clock_ms <= worker_clock(world, worker))
		return FLEET_START_REFUSED;
	extend_lease(world, worker, lease_clock_ms);
	judge_start(world, worker, &order->task);
	world->starts++;
	for (size_t i = 0; i < WORLD_RUNS; i++) {
		if (worker->runs[i].used)
			continue;
		worker->runs[i] = (struct world_run){
		    .used = true,
		    .task = order->task,
		    .run = order->run,
		    .since_ms = world->now_ms,
		    .ends_ms = is_gang(world, &order->task)
			? INT64_MAX
			: world->now_ms + job->run_ms,
		};
		return FLEET_STARTED;
	}
	return FLEET_START_REFUSED;
}

static void
stop_on(struct world *world, struct world_worker *worker,
    const struct fleet_order *order, uint64_t epoch)
{
	struct world_run past = {.task = order->task, .run = order->run};

	if (epoch < worker->epoch)
		return;
	worker->epoch = epoch;
	world->stops++;
	for (size_t i = 0; i < WORLD_RUNS; i++) {
		struct world_run *run = &worker->runs[i];

		if (run->used && same_task(&run->task, &order->task) &&
		    run->run == order->run) {
			stop_run(world, worker, run, FLEET_END_STOPPED);
			return;
		}
	}
	forbid_up_to(worker, &past);
}

/* Members of a run of a gang that are present. */
static uint32_t
present(const struct world *world, const struct world_run *member)
{
	uint32_t count = 0;

	for (size_t i = 0; i < world->workers_count; i++) {
		for (size_t j = 0; j < WORLD_RUNS; j++) {
			const struct world_run *run =
			    &world->workers[i].runs[j];

			count += run->used && run->run == member->run &&
			    same_gang(&run->task, &member->task);
		}
	}
	return count;
}

/* A gang works from the moment when all its members are there. */
static void
begin_gang(struct world *world, struct world_run *run)
{
	struct world_job *job = job_of(world, run->task.job);
	Ibis__StepJob *spec = spec_of(job);

	if (present(world, run) == spec->steps[run->task.step]->tasks)
		run->ends_ms = world->now_ms + job->run_ms;
	ibis__step_job__free_unpacked(spec, proto_allocator());
}

static void
pass_time(struct world *world, struct world_worker *worker)
{
	bool lapsed = worker_clock(world, worker) >= worker->lease_until_ms;

	for (size_t i = 0; lapsed && i < worker->ends_count; i++)
		worker->ends[i].excused = true;
	for (size_t i = 0; i < WORLD_RUNS; i++) {
		struct world_run *run = &worker->runs[i];
		const struct world_job *job;

		if (!run->used)
			continue;
		job = job_of(world, run->task.job);
		if (run->ends_ms == INT64_MAX)
			begin_gang(world, run);
		else if (worker->stalled)
			run->ends_ms += TICK_MS;
		if (run->ends_ms == INT64_MAX &&
		    world->now_ms - run->since_ms > GANG_WAIT_MS)
			stop_run(world, worker, run, FLEET_END_ALONE);
		else if (lapsed)
			stop_run(world, worker, run, FLEET_END_LAPSED);
		else if (worker->fails_all ||
		    (job->poison && world->now_ms >= run->ends_ms))
			stop_run(world, worker, run, FLEET_END_FAILED);
		else if (world->now_ms >= run->ends_ms)
			stop_run(world, worker, run, FLEET_END_DONE);
	}
}

/*
 * Between the fleet and the workers.
 */

static size_t
index_of(const struct world *world, const struct fleet_worker *worker)
{
	for (size_t i = 0; i < world->workers_count; i++) {
		if (strcmp(world->workers[i].entry.id,
			fleet_worker_entry(worker)->id) == 0)
			return i;
	}
	return 0;
}

static void
delay(struct world *world, size_t worker, const struct fleet_order *order,
    int64_t lease_clock_ms)
{
	for (size_t i = 0; i < WORLD_LATE; i++) {
		if (world->late[i].used)
			continue;
		world->late[i] = (struct world_late){
		    .used = true,
		    .at_ms = world->now_ms + LATE_MS,
		    .worker = worker,
		    .order = *order,
		    .epoch = world->epoch,
		    .lease_clock_ms = lease_clock_ms,
		};
		return;
	}
}

static void
deliver(struct world *world, const struct fleet_order *order)
{
	struct fleet_order copy = *order;
	size_t index = index_of(world, order->worker);
	struct world_worker *worker = &world->workers[index];
	bool is_start = order->kind == FLEET_START;
	int64_t lease = is_start
	    ? fleet_grant_lease(
		  world->fleet, order->worker, world->now_ms, world->now_ms)
	    : 0;
	enum fleet_start_answer answer = FLEET_START_UNKNOWN;
	bool reached = !worker->cut && !worker->late;
	bool heard = reached && !worker->loses_answers;

	if (worker->late && !worker->cut)
		delay(world, index, order, lease);
	if (reached && is_start)
		answer = start_on(world, worker, &copy, world->epoch, lease);
	else if (reached)
		stop_on(world, worker, &copy, world->epoch);
	if (is_start)
		fleet_start_answered(world->fleet, copy.worker, &copy.task,
		    copy.run, heard ? answer : FLEET_START_UNKNOWN,
		    world->now_ms);
	else
		fleet_stop_answered(world->fleet, copy.worker, &copy.task,
		    copy.run, heard, world->now_ms);
}

static void
deliver_late(struct world *world)
{
	for (size_t i = 0; i < WORLD_LATE; i++) {
		struct world_late *late = &world->late[i];
		struct world_worker *worker = &world->workers[late->worker];

		if (!late->used || late->at_ms > world->now_ms)
			continue;
		late->used = false;
		if (late->order.kind == FLEET_START)
			(void)start_on(world, worker, &late->order, late->epoch,
			    late->lease_clock_ms);
		else
			stop_on(world, worker, &late->order, late->epoch);
	}
}

static int32_t
percent_of(struct world *world, const struct world_run *run)
{
	int64_t run_ms = job_of(world, run->task.job)->run_ms;
	int64_t left_ms = run->ends_ms - world->now_ms;

	if (run->ends_ms == INT64_MAX || left_ms > run_ms)
		return 0;
	return (int32_t)(100 - left_ms * 100 / run_ms);
}

static void
look(struct world *world, struct fleet_worker *fleet_worker)
{
	struct world_worker *worker =
	    &world->workers[index_of(world, fleet_worker)];
	struct fleet_seen_run runs[WORLD_RUNS];
	struct fleet_seen_end ends[WORLD_ENDS];
	struct fleet_report report = {
	    .sent_ms = world->now_ms,
	    .received_ms = world->now_ms,
	    .clock_ms = worker_clock(world, worker),
	    .born_wall_ms = worker->born_wall_ms,
	    .runs = runs,
	    .ends = ends,
	};
	uint64_t recorded =
	    fleet_worker_recorded_ends(world->fleet, fleet_worker);
	int64_t lease;

	if (worker->cut) {
		(void)fleet_look_unanswered(
		    world->fleet, fleet_worker, false, world->now_ms);
		return;
	}
	lease = fleet_worker_busy(fleet_worker)
	    ? fleet_grant_lease(
		  world->fleet, fleet_worker, world->now_ms, world->now_ms)
	    : 0;
	worker->epoch = world->epoch;
	extend_lease(world, worker, lease);
	for (size_t i = 0; i < WORLD_RUNS; i++) {
		if (worker->runs[i].used)
			runs[report.runs_count++] = (struct fleet_seen_run){
			    .task = worker->runs[i].task,
			    .run = worker->runs[i].run,
			    .checkpoint = worker->runs[i].checkpoint,
			    .percent = percent_of(world, &worker->runs[i]),
			};
	}
	for (size_t i = 0; i < worker->ends_count; i++) {
		if (worker->ends[i].number > recorded)
			ends[report.ends_count++] = (struct fleet_seen_end){
			    .number = worker->ends[i].number,
			    .task = worker->ends[i].task,
			    .run = worker->ends[i].run,
			    .how = worker->ends[i].how,
			    .checkpoint = "",
			};
	}
	fleet_worker_forgot_ends(fleet_worker, recorded);
	fleet_report(world->fleet, fleet_worker, &report, world->now_ms);
}

static void
record(struct world *world)
{
	struct fleet_job *job;

	if (world->store_down)
		return;
	while ((job = fleet_take_unrecorded(world->fleet)) != NULL) {
		struct world_job *kept = job_of(world, fleet_job_id(job));

		buffer_clear(&kept->progress);
		fleet_pack_progress(job, world->now_ms, &kept->progress);
		kept->revision = ++world->revision;
		fleet_recorded(world->fleet, job, kept->revision);
	}
}

static void
tick(struct world *world)
{
	const struct fleet_order *orders;
	struct fleet_order copies[WORLD_RUNS * 4];
	size_t count;

	world->now_ms += TICK_MS;
	for (size_t i = 0; i < world->workers_count; i++)
		pass_time(world, &world->workers[i]);
	deliver_late(world);
	if (world->now_ms % LOOK_MS == 0) {
		for (size_t i = 0; i < fleet_workers_count(world->fleet); i++) {
			struct fleet_worker *worker =
			    fleet_worker_at(world->fleet, i);

			if (fleet_worker_wants_look(worker))
				look(world, worker);
		}
	}
	if (world->now_ms < fleet_next_ms(world->fleet))
		return;
	count =
	    fleet_decide(world->fleet, world->now_ms, world->now_ms, &orders);
	if (count > COUNT_OF(copies))
		count = COUNT_OF(copies);
	for (size_t i = 0; i < count; i++)
		copies[i] = orders[i];
	for (size_t i = 0; i < count; i++)
		deliver(world, &copies[i]);
	record(world);
}

void
world_run(struct world *world, int64_t duration_ms)
{
	int64_t until_ms = world->now_ms + duration_ms;

	while (world->now_ms < until_ms)
		tick(world);
}

static void
new_fleet(struct world *world)
{
	struct fleet_config config = {
	    .lease_ms = LEASE_MS,
	    .max_lease_ms = MAX_LEASE_MS,
	    .old_lead_ms = OLD_LEAD_MS,
	    .remote_factor = 3,
	};

	world->epoch++;
	world->fleet = fleet_new(&config, world->now_ms);
	for (size_t i = 0; i < world->jobs_count; i++) {
		struct world_job *job = &world->jobs[i];
		Ibis__JobProgress *progress = job->progress.length == 0
		    ? NULL
		    : (Ibis__JobProgress *)proto_unpack(
			  &ibis__job_progress__descriptor, job->progress.data,
			  job->progress.length);
		struct fleet_job *known = fleet_add_job(world->fleet, job->id,
		    spec_of(job), progress, job->revision, world->now_ms);

		if (progress != NULL)
			proto_free(&progress->base);
		if (job->cancelled)
			fleet_cancel_job(world->fleet, known, world->now_ms);
	}
	for (size_t i = 0; i < world->workers_count; i++)
		(void)fleet_set_worker(
		    world->fleet, &world->workers[i].entry, world->now_ms);
}

void
world_open(struct world *world, size_t workers, size_t per_rack)
{
	*world = (struct world){.now_ms = START_MS};
	world->workers_count = workers;
	for (size_t i = 0; i < workers; i++) {
		struct world_worker *worker = &world->workers[i];
		struct fleet_worker_entry *entry = &worker->entry;

		(void)snprintf(entry->id, sizeof(entry->id), "w%zu", i);
		(void)snprintf(
		    entry->rack, sizeof(entry->rack), "r%zu", i / per_rack);
		STRING_COPY(entry->service, "s");
		STRING_COPY(entry->address, "10.0.0.1:1");
		STRING_COPY(entry->zone, i % 2 == 0 ? "z0" : "z1");
		entry->room = (struct fleet_room){.cpu_milli = CPU_MILLI,
		    .memory_mb = MEMORY_MB,
		    .accelerators = ACCELERATORS};
		worker->clock_offset_ms = (int64_t)(i * 12345) - 30000;
		worker->born_wall_ms = 1;
	}
	new_fleet(world);
}

void
world_close(struct world *world)
{
	fleet_free(world->fleet);
	for (size_t i = 0; i < world->jobs_count; i++) {
		buffer_free(&world->jobs[i].spec);
		buffer_free(&world->jobs[i].progress);
	}
}

Ibis__StepJob *
world_new_job(
    uint32_t priority, size_t steps, uint32_t tasks, int64_t accelerators)
{
	Ibis__StepJob *job = mem_calloc(1, sizeof(*job));

	ibis__step_job__init(job);
	proto_set_string(&job->service, "s");
	proto_set_string(&job->workspace, "w");
	proto_set_string(&job->route, "r");
	job->priority = priority;
	job->attempts = 3;
	job->stretch_milli = 1500;
	job->steps = mem_calloc(steps, sizeof(*job->steps));
	for (size_t i = 0; i < steps; i++) {
		Ibis__JobStep *step = mem_calloc(1, sizeof(*step));

		ibis__job_step__init(step);
		step->tasks = tasks;
		step->accelerators = accelerators;
		step->cpu_milli = 1000;
		step->memory_mb = 1000;
		step->estimate_ms = 1000;
		if (i > 0) {
			step->after = mem_calloc(1, sizeof(*step->after));
			step->after[0] = (uint32_t)(i - 1);
			step->n_after = 1;
		}
		job->steps[i] = step;
		job->n_steps++;
	}
	return job;
}

size_t
world_submit(struct world *world, Ibis__StepJob *spec, int64_t run_ms)
{
	size_t index = world->jobs_count++;
	struct world_job *job = &world->jobs[index];

	(void)snprintf(job->id, sizeof(job->id), "%016zx", index + 1);
	job->run_ms = run_ms;
	proto_pack(&spec->base, &job->spec);
	(void)fleet_add_job(
	    world->fleet, job->id, spec, NULL, 0, world->now_ms);
	return index;
}

void
world_cancel(struct world *world, size_t job)
{
	struct fleet_job *known =
	    fleet_find_job(world->fleet, world->jobs[job].id);

	world->jobs[job].cancelled = true;
	fleet_cancel_job(world->fleet, known, world->now_ms);
}

void
world_take_over(struct world *world)
{
	fleet_free(world->fleet);
	new_fleet(world);
}

void
world_reborn(struct world *world, size_t index)
{
	struct world_worker *worker = &world->workers[index];

	for (size_t i = 0; i < WORLD_RUNS; i++) {
		struct world_run run = worker->runs[i];

		worker->runs[i].used = false;
		if (run.used && is_gang(world, &run.task))
			end_gang(world, &run, FLEET_END_BROKEN);
	}
	memset(worker->runs, 0, sizeof(worker->runs));
	worker->ends_count = 0;
	worker->next_end = 0;
	worker->past_count = 0;
	worker->epoch = 0;
	worker->lease_until_ms = 0;
	worker->clock_offset_ms = -world->now_ms;
	worker->born_wall_ms++;
	for (size_t i = 0; i < WORLD_LATE; i++) {
		if (world->late[i].worker == index)
			world->late[i].used = false;
	}
}

Ibis__StepJobPhase
world_phase(const struct world *world, size_t job)
{
	return fleet_job_phase(
	    fleet_find_job(world->fleet, world->jobs[job].id));
}

uint32_t
world_running(const struct world *world, size_t job)
{
	uint32_t count = 0;

	for (size_t i = 0; i < world->workers_count; i++) {
		for (size_t j = 0; j < WORLD_RUNS; j++) {
			const struct world_run *run =
			    &world->workers[i].runs[j];

			count += run->used &&
			    strcmp(run->task.job, world->jobs[job].id) == 0;
		}
	}
	return count;
}
