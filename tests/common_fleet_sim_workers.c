/* The workers of the simulation, and the checks of what they are ordered. */
#include <stdio.h>
#include <string.h>

#include "common_fleet_sim_internal.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define GANG_WAIT_MS 3000

void
sim_report_violation(
    struct sim *sim, const char *rule, const struct fleet_task_id *id)
{
	if (sim->violation[0] == '\0')
		(void)snprintf(sim->violation, sizeof(sim->violation),
		    "%s: %s.%u.%u.%u at %lld ms", rule, id->job, id->occurrence,
		    id->step, id->index,
		    (long long)(sim->now_ms - SIM_START_MS));
}

bool
sim_same_task(const struct fleet_task_id *a, const struct fleet_task_id *b)
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

struct sim_job *
sim_find_job(struct sim *sim, const char *id)
{
	for (size_t i = 0; i < sim->jobs_count; i++) {
		if (strcmp(sim->jobs[i].id, id) == 0)
			return &sim->jobs[i];
	}
	return NULL;
}

Ibis__StepJob *
sim_job_spec(const struct sim_job *job)
{
	return (Ibis__StepJob *)proto_unpack(
	    &ibis__step_job__descriptor, job->spec.data, job->spec.length);
}

int64_t
sim_worker_clock(const struct sim *sim, const struct sim_worker *worker)
{
	return sim->now_ms + worker->clock_offset_ms;
}

/* Makes the worker refuse this and earlier runs of the task. */
static void
refuse_up_to(struct sim_worker *worker, const struct sim_run *run)
{
	for (size_t i = 0; i < worker->refused_runs_count; i++) {
		if (!sim_same_task(&worker->refused_runs[i].task, &run->task))
			continue;
		if (worker->refused_runs[i].run < run->run)
			worker->refused_runs[i].run = run->run;
		return;
	}
	if (worker->refused_runs_count < SIM_ENDS)
		worker->refused_runs[worker->refused_runs_count++] = *run;
}

static void
note_done(struct sim *sim, const struct fleet_task_id *id)
{
	if (sim->done_count < SIM_DONE_TASKS)
		sim->done[sim->done_count++] = *id;
}

static void
add_end(struct sim *sim, struct sim_worker *worker, const struct sim_run *run,
    enum fleet_end outcome)
{
	if (outcome == FLEET_END_DONE)
		note_done(sim, &run->task);
	if (worker->ends_count < SIM_ENDS)
		worker->ends[worker->ends_count++] =
		    (struct sim_end){.number = ++worker->last_end,
			.task = run->task,
			.run = run->run,
			.outcome = outcome};
	refuse_up_to(worker, run);
}

static void
end_run(struct sim *sim, struct sim_worker *worker, struct sim_run *run,
    enum fleet_end outcome)
{
	run->used = false;
	add_end(sim, worker, run, outcome);
}

/* Ends a run after some time, unless it ends before. The work of all members of
 * a gang is done at once, also of those being stopped, but their workers list
 * the ends later. */
static void
end_run_after(struct sim *sim, struct sim_worker *worker, struct sim_run *run,
    enum fleet_end outcome, int64_t after_ms)
{
	if (after_ms == 0) {
		end_run(sim, worker, run, outcome);
		return;
	}
	if (run->forced_end_ms == 0)
		run->forced_end_ms = sim->now_ms + after_ms;
	else if (outcome != FLEET_END_DONE)
		return;
	if (outcome == FLEET_END_DONE)
		note_done(sim, &run->task);
	run->forced_outcome = outcome;
}

/* Ends the remaining members of a gang's run. */
void
sim_end_gang(
    struct sim *sim, const struct sim_run *ended, enum fleet_end outcome)
{
	for (size_t i = 0; i < sim->workers_count; i++) {
		for (size_t j = 0; j < SIM_RUNS; j++) {
			struct sim_run *run = &sim->workers[i].runs[j];

			if (run->used && same_gang(&run->task, &ended->task))
				end_run_after(sim, &sim->workers[i], run,
				    outcome, sim->gang_end_ms);
		}
	}
}

bool
sim_is_gang(struct sim *sim, const struct fleet_task_id *id)
{
	Ibis__StepJob *spec = sim_job_spec(sim_find_job(sim, id->job));
	bool gang = spec->steps[id->step]->gang;

	ibis__step_job__free_unpacked(spec, proto_allocator());
	return gang;
}

static void
stop_run(struct sim *sim, struct sim_worker *worker, struct sim_run *run,
    enum fleet_end outcome)
{
	struct sim_run copy = *run;

	end_run(sim, worker, run, outcome);
	if (sim_is_gang(sim, &copy.task))
		sim_end_gang(sim, &copy,
		    outcome == FLEET_END_DONE ? FLEET_END_DONE
					      : FLEET_END_GANG_ENDED);
}

/* Returns whether any run of a task has ever been done. */
static bool
was_ever_done(const struct sim *sim, const struct fleet_task_id *id)
{
	for (size_t i = 0; i < sim->done_count; i++) {
		if (sim_same_task(&sim->done[i], id))
			return true;
	}
	return false;
}

/* Returns whether a worker holds the done end of a task and its lease has not
 * expired since. The task must then not start again. */
static bool
is_done(const struct sim *sim, const struct fleet_task_id *id)
{
	for (size_t i = 0; i < sim->workers_count; i++) {
		const struct sim_worker *worker = &sim->workers[i];

		for (size_t j = 0; j < worker->ends_count; j++) {
			if (worker->ends[j].outcome == FLEET_END_DONE &&
			    !worker->ends[j].lease_expired &&
			    sim_same_task(&worker->ends[j].task, id))
				return true;
		}
	}
	return false;
}

static struct fleet_resources
need_of(struct sim *sim, const struct fleet_task_id *id)
{
	Ibis__StepJob *spec = sim_job_spec(sim_find_job(sim, id->job));
	const Ibis__JobStep *step = spec->steps[id->step];
	struct fleet_resources need = {
	    .cpu_milli = step->fills ? 0 : step->cpu_milli,
	    .memory_mb = step->memory_mb,
	    .accelerators = step->accelerators,
	};

	ibis__step_job__free_unpacked(spec, proto_allocator());
	return need;
}

/* Returns whether the job of the task is one of workspace "w", and known. */
static bool
is_capped(struct sim *sim, const struct fleet_task_id *id)
{
	struct sim_job *job = sim_find_job(sim, id->job);
	Ibis__StepJob *spec = sim_job_spec(job);
	bool capped = strcmp(spec->workspace, "w") == 0 && !job->removed;

	ibis__step_job__free_unpacked(spec, proto_allocator());
	return capped;
}

static int64_t
larger(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* Returns the resources that a start may count with that was sent at sent_ms.
 */
static struct fleet_resources
resources_for_start(const struct sim_worker *worker, int64_t sent_ms)
{
	const struct fleet_resources *former = &worker->former_resources;
	struct fleet_resources resources = worker->entry.resources;

	if (sent_ms >= worker->former_until_ms)
		return resources;
	return (struct fleet_resources){
	    .cpu_milli = larger(resources.cpu_milli, former->cpu_milli),
	    .memory_mb = larger(resources.memory_mb, former->memory_mb),
	    .accelerators =
		larger(resources.accelerators, former->accelerators),
	};
}

/* Checks that a task fits beside the worker's runs, including those that are
 * being stopped. */
static void
check_capacity(struct sim *sim, struct sim_worker *worker,
    const struct fleet_task_id *id, int64_t sent_ms)
{
	struct fleet_resources all = resources_for_start(worker, sent_ms);
	struct fleet_resources used = need_of(sim, id);

	for (size_t i = 0; i < SIM_RUNS; i++) {
		struct fleet_resources need;

		if (!worker->runs[i].used)
			continue;
		need = need_of(sim, &worker->runs[i].task);
		used.cpu_milli += need.cpu_milli;
		used.memory_mb += need.memory_mb;
		used.accelerators += need.accelerators;
	}
	if (worker->resources_unknown)
		return;
	if (used.cpu_milli > all.cpu_milli || used.memory_mb > all.memory_mb ||
	    used.accelerators > all.accelerators)
		sim_report_violation(
		    sim, "starts beyond the worker's capacity", id);
}

/* Checks that a task of workspace "w" fits within its cap beside all that the
 * workspace has running. Runs of removed jobs don't count: a new lead knows
 * nothing of them. */
static void
check_cap(struct sim *sim, const struct fleet_task_id *id, int64_t sent_ms)
{
	int64_t cap = sim->cap.accelerators;
	int64_t used = need_of(sim, id).accelerators;

	if (sent_ms < sim->former_cap_until_ms)
		cap = larger(cap, sim->former_cap.accelerators);
	if (sim->cap.accelerators == 0 || !is_capped(sim, id))
		return;
	for (size_t i = 0; i < sim->workers_count; i++) {
		for (size_t j = 0; j < SIM_RUNS; j++) {
			const struct sim_run *run = &sim->workers[i].runs[j];

			if (run->used && is_capped(sim, &run->task))
				used += need_of(sim, &run->task).accelerators;
		}
	}
	if (used > cap)
		sim_report_violation(
		    sim, "starts beyond its workspace's cap", id);
}

/* Checks that a start is allowed by the job's steps, the runs on all workers,
 * the worker's capacity and the workspace's cap. */
static void
check_start(struct sim *sim, struct sim_worker *worker,
    const struct fleet_task_id *id, int64_t sent_ms)
{
	struct sim_job *job = sim_find_job(sim, id->job);
	Ibis__StepJob *spec = sim_job_spec(job);
	const Ibis__JobStep *step = spec->steps[id->step];

	for (size_t i = 0; i < sim->workers_count; i++) {
		for (size_t j = 0; j < SIM_RUNS; j++) {
			const struct sim_run *run = &sim->workers[i].runs[j];

			if (run->used && sim_same_task(&run->task, id))
				sim_report_violation(sim, "runs twice", id);
		}
	}
	for (size_t i = 0; i < step->n_after; i++) {
		uint32_t earlier = step->after[i];

		for (uint32_t j = 0; j < spec->steps[earlier]->tasks; j++) {
			struct fleet_task_id other = *id;

			other.step = earlier;
			other.index = j;
			if (!was_ever_done(sim, &other))
				sim_report_violation(sim,
				    "starts before an earlier step is done",
				    id);
		}
	}
	check_capacity(sim, worker, id, sent_ms);
	check_cap(sim, id, sent_ms);
	if (is_done(sim, id))
		sim_report_violation(sim, "starts after its end", id);
	ibis__step_job__free_unpacked(spec, proto_allocator());
}

bool
sim_worker_refuses(const struct sim_worker *worker,
    const struct fleet_task_id *id, uint64_t run)
{
	for (size_t i = 0; i < worker->refused_runs_count; i++) {
		if (sim_same_task(&worker->refused_runs[i].task, id) &&
		    worker->refused_runs[i].run >= run)
			return true;
	}
	return false;
}

static void
extend_lease(struct sim *sim, struct sim_worker *worker, int64_t until_ms)
{
	int64_t latest_ms = sim_worker_clock(sim, worker) + SIM_MAX_LEASE_MS;

	if (until_ms > latest_ms)
		until_ms = latest_ms;
	if (until_ms > worker->lease_until_ms)
		worker->lease_until_ms = until_ms;
}

/* Returns whether the worker carries out calls with this token. */
static bool
accept_token(struct sim_worker *worker, uint64_t fencing_token)
{
	if (fencing_token < worker->fencing_token)
		return false;
	worker->fencing_token = fencing_token;
	return true;
}

enum fleet_start_answer
sim_worker_start(
    struct sim *sim, struct sim_worker *worker, const struct sim_call *call)
{
	const struct fleet_order *order = &call->order;
	struct sim_job *job = sim_find_job(sim, order->task.job);

	if (!accept_token(worker, call->fencing_token))
		return FLEET_START_REFUSED;
	for (size_t i = 0; i < SIM_RUNS; i++) {
		if (worker->runs[i].used &&
		    sim_same_task(&worker->runs[i].task, &order->task) &&
		    worker->runs[i].run == order->run)
			return FLEET_STARTED;
	}
	if (sim_worker_refuses(worker, &order->task, order->run))
		return FLEET_START_ALREADY_ENDED;
	if (call->lease_clock_ms <= sim_worker_clock(sim, worker))
		return FLEET_START_REFUSED;
	extend_lease(sim, worker, call->lease_clock_ms);
	check_start(sim, worker, &order->task, call->sent_ms);
	sim_check_crashes(sim, &order->task);
	sim->starts++;
	for (size_t i = 0; i < SIM_RUNS; i++) {
		if (worker->runs[i].used)
			continue;
		worker->runs[i] = (struct sim_run){
		    .used = true,
		    .task = order->task,
		    .run = order->run,
		    .since_ms = sim->now_ms,
		    .ends_ms = sim_is_gang(sim, &order->task)
			? INT64_MAX
			: sim->now_ms + job->run_ms,
		    .crash_at_ms = order->task.index < job->crashing_tasks
			? sim->now_ms + sim->crash_ms
			: 0,
		};
		return FLEET_STARTED;
	}
	return FLEET_START_REFUSED;
}

void
sim_worker_stop(
    struct sim *sim, struct sim_worker *worker, const struct sim_call *call)
{
	const struct fleet_order *order = &call->order;
	struct sim_run ended = {.task = order->task, .run = order->run};

	if (!accept_token(worker, call->fencing_token))
		return;
	sim->stops++;
	for (size_t i = 0; i < SIM_RUNS; i++) {
		struct sim_run *run = &worker->runs[i];

		if (!run->used || !sim_same_task(&run->task, &order->task) ||
		    run->run != order->run)
			continue;
		if (sim->stop_ms == 0)
			stop_run(sim, worker, run, FLEET_END_STOPPED);
		else
			end_run_after(
			    sim, worker, run, FLEET_END_STOPPED, sim->stop_ms);
		return;
	}
	refuse_up_to(worker, &ended);
}

bool
sim_worker_poll(
    struct sim *sim, struct sim_worker *worker, const struct sim_call *call)
{
	if (!accept_token(worker, call->fencing_token))
		return false;
	extend_lease(sim, worker, call->lease_clock_ms);
	for (size_t i = 0; i < worker->ends_count; i++)
		worker->ends[i].forgotten |=
		    worker->ends[i].number <= call->acked_end;
	return true;
}

void
sim_worker_call(
    struct sim *sim, struct sim_worker *worker, const struct sim_call *call)
{
	if (call->poll)
		(void)sim_worker_poll(sim, worker, call);
	else if (call->order.kind == FLEET_START)
		(void)sim_worker_start(sim, worker, call);
	else
		sim_worker_stop(sim, worker, call);
}

/* Counts the members of a gang's run that are on the workers. */
static uint32_t
count_present_members(const struct sim *sim, const struct sim_run *member)
{
	uint32_t count = 0;

	for (size_t i = 0; i < sim->workers_count; i++) {
		for (size_t j = 0; j < SIM_RUNS; j++) {
			const struct sim_run *run = &sim->workers[i].runs[j];

			count += run->used && run->run == member->run &&
			    same_gang(&run->task, &member->task);
		}
	}
	return count;
}

/* Starts the work of a gang when all its members are present. */
static void
start_complete_gang(struct sim *sim, struct sim_run *run)
{
	struct sim_job *job = sim_find_job(sim, run->task.job);
	Ibis__StepJob *spec = sim_job_spec(job);

	if (count_present_members(sim, run) ==
	    spec->steps[run->task.step]->tasks)
		run->ends_ms = sim->now_ms + job->run_ms;
	ibis__step_job__free_unpacked(spec, proto_allocator());
}

void
sim_worker_advance(struct sim *sim, struct sim_worker *worker)
{
	bool expired = sim_worker_clock(sim, worker) >= worker->lease_until_ms;

	for (size_t i = 0; i < SIM_RUNS; i++) {
		const struct sim_run *run = &worker->runs[i];

		if (!run->used || run->crash_at_ms == 0 ||
		    sim->now_ms < run->crash_at_ms)
			continue;
		sim_crash_worker(sim, (size_t)(worker - sim->workers));
		return;
	}
	for (size_t i = 0; expired && i < worker->ends_count; i++)
		worker->ends[i].lease_expired = true;
	for (size_t i = 0; i < SIM_RUNS; i++) {
		struct sim_run *run = &worker->runs[i];
		const struct sim_job *job;

		if (!run->used)
			continue;
		job = sim_find_job(sim, run->task.job);
		if (run->forced_end_ms != 0 && !expired) {
			if (sim->now_ms >= run->forced_end_ms)
				stop_run(sim, worker, run, run->forced_outcome);
			continue;
		}
		if (run->ends_ms == INT64_MAX)
			start_complete_gang(sim, run);
		else if (worker->stalled)
			run->ends_ms += SIM_TICK_MS;
		if (run->ends_ms == INT64_MAX &&
		    sim->now_ms - run->since_ms > GANG_WAIT_MS)
			stop_run(sim, worker, run, FLEET_END_GANG_TIMEOUT);
		else if (expired)
			stop_run(sim, worker, run, FLEET_END_LEASE_EXPIRED);
		else if (worker->fails_all ||
		    (job->always_fails && sim->now_ms >= run->ends_ms))
			stop_run(sim, worker, run, FLEET_END_FAILED);
		else if (sim->now_ms >= run->ends_ms)
			stop_run(sim, worker, run, FLEET_END_DONE);
	}
}
