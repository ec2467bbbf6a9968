/*
 * Limits of workspaces on what their jobs may have running over all workers.
 * Internal to the fleet.
 *
 * A workspace's committed resources are those of its tasks that are placed,
 * sent or running; what is being stopped has left them. Its occupied resources
 * are those of all runs that may be on a worker, orphans included. A task is
 * placed by the former and started by the latter, so that the cap holds while
 * what has to make room is being stopped.
 */
#ifndef IBIS_FLEET_QUOTA_H
#define IBIS_FLEET_QUOTA_H

#include "fleet/fleet_model.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Returns what one task of the step counts against its workspace's cap. Unlike
 * on a worker, a step that fills counts with its cores. */
struct fleet_resources fleet_quota_need(const Ibis__JobStep *step);

/* Updates a workspace's resources for a task that has a worker and changes its
 * state. */
void fleet_quota_note_state(const struct fleet_task *task,
    enum fleet_task_state from, enum fleet_task_state to);

/* Returns how many tasks of the job's step may be placed, at most limit. A
 * workspace without anything committed may always have one task. */
uint32_t fleet_quota_fit(
    const struct fleet_job *job, const Ibis__JobStep *step, uint32_t limit);

/* Does the same as if the job's workspace had stopped all its work of lower
 * priority. */
uint32_t fleet_quota_fit_by_preemption(const struct fleet *fleet,
    const struct fleet_job *job, const Ibis__JobStep *step, uint32_t limit);

/* Stops work of lower priority of the job's workspace, cheapest first, until
 * count tasks of the step may be placed. */
void fleet_quota_make_room(struct fleet *fleet, const struct fleet_job *job,
    const Ibis__JobStep *step, uint32_t count, int64_t now_ms);

/* Prepares fleet_quota_allows_start for the starts of one decision. */
void fleet_quota_begin_starts(struct fleet *fleet, int64_t now_ms);

/* Returns whether a placed task may start within its workspace's cap. Runs that
 * this lead may not know of count as all that their worker has for them. */
bool fleet_quota_allows_start(
    const struct fleet *fleet, const struct fleet_task *task);

/* Returns whether a placement may use the workspace's cap: false for work that
 * ranks behind a gang of the same workspace that has waited long for it. */
bool fleet_quota_may_pass(const struct fleet_job *job);

/* A unit of count tasks is left out of the round for its workspace's cap. */
void fleet_quota_note_wait(struct fleet *fleet,
    const struct fleet_occurrence *occurrence, const Ibis__JobStep *step,
    uint32_t count, int64_t now_ms);

/* Forgets what the last round of placement left out. */
void fleet_quota_begin_round(struct fleet *fleet);

#ifdef __cplusplus
}
#endif

#endif
