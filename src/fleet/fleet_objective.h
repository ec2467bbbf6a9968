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

/* Fills chain_ms with the run time of the longest chain of steps from each step
 * on, by the estimates of its callers. Returns the longest one. */
int64_t fleet_objective_chains(const Ibis__StepJob *spec, int64_t *chain_ms);

/* Returns the time in which a job has to end whose longest chain is this. */
int64_t fleet_objective_ms(const Ibis__StepJob *spec, int64_t longest_ms);

#ifdef __cplusplus
}
#endif

#endif
