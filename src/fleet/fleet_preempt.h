/*
 * Plans which tasks to stop so that others fit on their workers. A plan stops
 * gangs whole, and uses the room that this frees on all their workers before it
 * stops anything else. Internal to the fleet.
 */
#ifndef IBIS_FLEET_PREEMPT_H
#define IBIS_FLEET_PREEMPT_H

#include "fleet/fleet_search.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Returns whether a task may be stopped for the search's job. */
typedef bool fleet_may_preempt(
    const struct fleet_search *search, const struct fleet_task *task);

/*
 * Plans room for the wanted tasks on the search's candidates, at the lowest
 * cost that a choice of one worker after the other finds. Fills targets, as
 * fleet_find_targets does, and replaces the last plan. Returns whether all
 * wanted tasks fit.
 */
bool fleet_preempt_plan(struct fleet_search *search,
    fleet_may_preempt *may_preempt, struct fleet_worker **targets);
/* Stops the victims of the last plan. */
void fleet_preempt_execute(
    struct fleet *fleet, const char *reason, int64_t now_ms);

/* Stops a task or its gang, and counts that for the cost of the next time. */
void fleet_preempt_task(struct fleet *fleet, struct fleet_task *victim,
    const char *reason, int64_t now_ms);

/* Returns the cost of stopping a task or its gang: the work that is lost, as
 * weight of resources times run time, and more for a job that has been
 * preempted before. */
int64_t fleet_preemption_cost(struct fleet_task *task, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
