/* Shared by the files of the simulation in common_fleet_sim.h. */
#ifndef IBIS_COMMON_FLEET_SIM_INTERNAL_H
#define IBIS_COMMON_FLEET_SIM_INTERNAL_H

#include "common_fleet_sim.h"

enum {
	SIM_TICK_MS = 10,
	SIM_START_MS = 1000000,
	SIM_MAX_LEASE_MS = 10000 /* longest lease that a worker accepts */
};

/* Returns NULL when there is no job with this id. */
struct sim_job *sim_find_job(struct sim *sim, const char *id);

/* Unpacks the job's specification; the caller frees it with
 * ibis__step_job__free_unpacked and proto_allocator(). */
Ibis__StepJob *sim_job_spec(const struct sim_job *job);
bool sim_is_gang(struct sim *sim, const struct fleet_task_id *id);

int64_t sim_worker_clock(
    const struct sim *sim, const struct sim_worker *worker);

/* Returns whether the worker refuses a run for an end of it or of a later run
 * of the task. */
bool sim_worker_refuses(const struct sim_worker *worker,
    const struct fleet_task_id *id, uint64_t run);

/* Carry out a call of the lead. A poll returns whether its token was accepted;
 * sim_worker_call carries out any kind and drops the answer. */
enum fleet_start_answer sim_worker_start(
    struct sim *sim, struct sim_worker *worker, const struct sim_call *call);
void sim_worker_stop(
    struct sim *sim, struct sim_worker *worker, const struct sim_call *call);
bool sim_worker_poll(
    struct sim *sim, struct sim_worker *worker, const struct sim_call *call);
void sim_worker_call(
    struct sim *sim, struct sim_worker *worker, const struct sim_call *call);

/* Ends the runs whose time has come. */
void sim_worker_advance(struct sim *sim, struct sim_worker *worker);

/* Counts a start of a task that may have crashed workers before. */
void sim_check_crashes(struct sim *sim, const struct fleet_task_id *id);

/* Counts a crash of the worker for each task there or on its way there. */
void sim_count_crashes(struct sim *sim, size_t index);

/* Ends a worker's runs without a trace; the members of their gangs elsewhere
 * end too. */
void sim_lose_runs(struct sim *sim, struct sim_worker *worker);

/* Brings back the workers whose time after a crash is over. */
void sim_return_workers(struct sim *sim);

void sim_report_violation(
    struct sim *sim, const char *rule, const struct fleet_task_id *id);

bool sim_same_task(
    const struct fleet_task_id *a, const struct fleet_task_id *b);

/* Ends the remaining members of a gang's run. */
void sim_end_gang(
    struct sim *sim, const struct sim_run *ended, enum fleet_end outcome);

#endif
