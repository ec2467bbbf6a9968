/*
 * Room kept free for urgent jobs whose callers can't wait until other work has
 * been stopped for them. Internal to the fleet.
 *
 * Load: urgent gangs that arrive every few hundred milliseconds beside work
 * that fills all workers, where a stop takes most of the time that their
 * objective leaves beside their run time.
 *
 * Whole racks are kept, as a gang runs best inside one: as many as the urgent
 * jobs have needed at most in the recent past. Nothing is kept where a stop
 * takes little of the objective, and none while half of the room is free.
 */
#ifndef IBIS_FLEET_HEADROOM_H
#define IBIS_FLEET_HEADROOM_H

#include "fleet/fleet_model.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Chooses the workers that are kept. Called before each round of placement. */
void fleet_headroom_update(struct fleet *fleet, int64_t now_ms);

/* Returns whether the job's step may use a worker as far as it is kept. */
bool fleet_headroom_allows(const struct fleet_worker *worker,
    const struct fleet_job *job, const Ibis__JobStep *step);

/* Returns whether some work may use kept workers that other work of its
 * priority may not, so that what could not be placed says nothing of it. */
bool fleet_headroom_exempts(
    const struct fleet *fleet, const Ibis__JobStep *step);

#ifdef __cplusplus
}
#endif

#endif
