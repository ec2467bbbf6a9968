/* Workers of the simulation that crash, and the tasks that make them. */
#include <stdio.h>
#include <string.h>

#include "common_fleet_sim_internal.h"
#include "process/alloc.h"

/* A crashed worker's entry leaves the store after this time. */
#define UNLISTED_AFTER_MS 4500
/* A task may be started this often, less one, after it has crashed this many
 * workers. */
#define MAX_CRASHES 3
#define MAX_STARTS  3

static struct sim_crashes *
find_crashes(struct sim *sim, const struct fleet_task_id *id)
{
	for (size_t i = 0; i < sim->crashing_tasks; i++) {
		if (sim_same_task(&sim->crashes[i].task, id))
			return &sim->crashes[i];
	}
	return NULL;
}

void
sim_check_crashes(struct sim *sim, const struct fleet_task_id *id)
{
	struct sim_crashes *crashes = find_crashes(sim, id);

	if (crashes == NULL || crashes->crashes < MAX_CRASHES)
		return;
	crashes->starts_since_third++;
	if (crashes->starts_since_third == MAX_STARTS)
		sim_report_violation(
		    sim, "starts again after crashing three workers", id);
}

/* Counts a crash of the worker that a task is on or a start of it is sent to.
 */
static void
count_crash(struct sim *sim, const struct fleet_task_id *id, bool caused)
{
	struct sim_crashes *crashes = find_crashes(sim, id);

	if (crashes == NULL && sim->crashing_tasks < SIM_CRASHING_TASKS) {
		crashes = &sim->crashes[sim->crashing_tasks++];
		*crashes = (struct sim_crashes){.task = *id};
	}
	if (crashes == NULL)
		return;
	crashes->under++;
	crashes->crashes += caused;
}

void
sim_count_crashes(struct sim *sim, size_t index)
{
	for (size_t i = 0; i < SIM_RUNS; i++) {
		const struct sim_run *run = &sim->workers[index].runs[i];

		if (run->used)
			count_crash(sim, &run->task,
			    run->crash_at_ms != 0 &&
				run->crash_at_ms <= sim->now_ms);
	}
	for (size_t i = 0; i < SIM_DELAYED_CALLS; i++) {
		const struct sim_delayed_call *delayed = &sim->delayed[i];

		if (delayed->used && delayed->worker == index &&
		    !delayed->call.poll &&
		    delayed->call.order.kind == FLEET_START)
			count_crash(sim, &delayed->call.order.task, false);
	}
}

uint32_t
sim_crashes_under(const struct sim *sim, size_t job)
{
	uint32_t most = 0;

	for (size_t i = 0; i < sim->crashing_tasks; i++) {
		const struct sim_crashes *crashes = &sim->crashes[i];

		if (strcmp(crashes->task.job, sim->jobs[job].id) == 0 &&
		    crashes->under > most)
			most = crashes->under;
	}
	return most;
}

uint32_t
sim_most_crashes(const struct sim *sim)
{
	uint32_t most = 0;

	for (size_t i = 0; i < sim->crashing_tasks; i++) {
		if (sim->crashes[i].crashes > most)
			most = sim->crashes[i].crashes;
	}
	return most;
}

void
sim_lose_runs(struct sim *sim, struct sim_worker *worker)
{
	for (size_t i = 0; i < SIM_RUNS; i++) {
		struct sim_run run = worker->runs[i];

		worker->runs[i].used = false;
		if (run.used && sim_is_gang(sim, &run.task))
			sim_end_gang(sim, &run, FLEET_END_GANG_ENDED);
	}
}

void
sim_crash_worker(struct sim *sim, size_t index)
{
	struct sim_worker *worker = &sim->workers[index];

	if (worker->back_ms != 0)
		return;
	sim->worker_crashes++;
	worker->back_ms = sim->now_ms + sim->back_ms;
	sim_count_crashes(sim, index);
	sim_lose_runs(sim, worker);
}

/* Gives a worker another id, at the same address. Its former entry remains for
 * some time. */
static void
rename_worker(struct sim *sim, struct sim_worker *worker)
{
	STRING_COPY(worker->former_id, worker->id);
	worker->former_unlisted_ms =
	    worker->back_ms - sim->back_ms + UNLISTED_AFTER_MS;
	(void)snprintf(worker->id, sizeof(worker->id), "w%zu-%u",
	    (size_t)(worker - sim->workers), sim->worker_crashes);
}

void
sim_return_workers(struct sim *sim)
{
	for (size_t i = 0; i < sim->workers_count; i++) {
		struct sim_worker *worker = &sim->workers[i];

		if (worker->former_unlisted_ms != 0 &&
		    sim->now_ms >= worker->former_unlisted_ms) {
			worker->former_unlisted_ms = 0;
			fleet_unlist_worker(
			    sim->fleet, worker->former_id, sim->now_ms);
		}
		if (worker->back_ms == 0 || sim->now_ms < worker->back_ms)
			continue;
		if (sim->new_ids)
			rename_worker(sim, worker);
		sim_restart_worker(sim, i);
	}
}
