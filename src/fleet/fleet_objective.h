/*
 * What a job's callers need: until when its results are of full use, and until
 * when of any. Internal to the fleet; pure functions of a job's specification.
 */
#ifndef IBIS_FLEET_OBJECTIVE_H
#define IBIS_FLEET_OBJECTIVE_H

#include "fleet/fleet_model.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Returns the run time of the longest chain of steps from a step on, by the
 * estimates of its callers; from the first step on for 0. */
int64_t fleet_objective_chain_ms(const Ibis__StepJob *spec, uint32_t step);

/* Returns the time from a job's acceptance in which it has to end. */
int64_t fleet_objective_ms(const Ibis__StepJob *spec);

/* Returns how much of that time is left beside its run time. */
int64_t fleet_objective_slack_ms(const Ibis__StepJob *spec);

#ifdef __cplusplus
}
#endif

#endif
