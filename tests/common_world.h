/*
 * A small world of workers for tests of the fleet: it carries out orders as
 * real workers would, loses, delays and cuts as told, and judges what it sees:
 * no task runs twice, none starts after its end was taken note of or before
 * the steps it follows, and no worker is given more than it has.
 */
#ifndef IBIS_COMMON_WORLD_H
#define IBIS_COMMON_WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet.h"
#include "process/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	WORLD_WORKERS = 8,
	WORLD_RUNS = 64,
	WORLD_ENDS = 256,
	WORLD_JOBS = 32,
	WORLD_LATE = 64,
	WORLD_DONE = 4096,
	WORLD_MESSAGE_BYTES = 256
};

struct world_run {
	struct fleet_task_id task;
	uint64_t run;
	int64_t since_ms;
	int64_t ends_ms; /* INT64_MAX while it waits for its gang */
	char checkpoint[32];
	bool used;
};

struct world_end {
	uint64_t number;
	struct fleet_task_id task;
	uint64_t run;
	enum fleet_end how;
	bool excused; /* the worker's lease lapsed since: it may run again */
};

struct world_worker {
	struct fleet_worker_entry entry;
	int64_t clock_offset_ms;
	int64_t born_wall_ms;
	uint64_t epoch; /* highest seen */
	int64_t lease_until_ms;
	struct world_run runs[WORLD_RUNS];
	struct world_end ends[WORLD_ENDS];
	size_t ends_count;
	uint64_t next_end;
	/* Runs that were stopped or ended here, which forbid lower ones. */
	struct world_run past[WORLD_ENDS];
	size_t past_count;
	bool cut; /* unreachable; runs on */
	bool fails_all;
	bool loses_answers; /* carries out, and does not answer */
	bool stalled;	    /* its tasks get no further */
	bool late;	    /* carries out later, and does not answer */
};

struct world_late {
	bool used;
	int64_t at_ms;
	size_t worker;
	struct fleet_order order;
	uint64_t epoch;
	int64_t lease_clock_ms;
};

struct world_job {
	char id[FLEET_ID_BYTES];
	struct buffer spec;
	struct buffer progress; /* as recorded */
	uint64_t revision;
	int64_t run_ms; /* of each task */
	bool poison;	/* every run fails */
	bool cancelled;
};

struct world {
	struct fleet *fleet;
	int64_t now_ms;
	uint64_t epoch;
	uint64_t revision;
	struct world_worker workers[WORLD_WORKERS];
	size_t workers_count;
	struct world_job jobs[WORLD_JOBS];
	size_t jobs_count;
	struct world_late late[WORLD_LATE];
	struct fleet_task_id done[WORLD_DONE]; /* ever */
	size_t done_count;
	bool store_down;
	uint64_t starts;
	uint32_t stalled; /* workers */
	uint64_t stops;
	char broken[WORLD_MESSAGE_BYTES]; /* the first broken rule; empty */
};

/* Racks hold per_rack workers each; every worker has 8 accelerators. */
void world_open(struct world *world, size_t workers, size_t per_rack);
void world_close(struct world *world);

/* Hands a job of one step in. The step is changed through the pointer that
 * world_job_spec returned before. */
Ibis__StepJob *world_new_job(
    uint32_t priority, size_t steps, uint32_t tasks, int64_t accelerators);
/* Takes the job over, as accepted now. Returns its index. */
size_t world_submit(struct world *world, Ibis__StepJob *spec, int64_t run_ms);
void world_cancel(struct world *world, size_t job);

/* Lets time pass in steps of 10 ms. */
void world_run(struct world *world, int64_t duration_ms);

/* Another lead takes over from the records. */
void world_take_over(struct world *world);

/* A worker crashes and is back under its id. */
void world_reborn(struct world *world, size_t index);

Ibis__StepJobPhase world_phase(const struct world *world, size_t job);

/* Live runs of a job's tasks. */
uint32_t world_running(const struct world *world, size_t job);

#ifdef __cplusplus
}
#endif

#endif
