/* Demonstration on one site: gangs, small and urgent jobs while a zone is taken
 * out of service and returned. */
#ifndef IBIS_COMMON_DEMO_H
#define IBIS_COMMON_DEMO_H

#include <stdbool.h>

#include "common_deployment.h"

/*
 * Runs the demonstration on a started deployment and prints one line of counts,
 * from the callers' results and the fake workers' log. False when an
 * answer was lost or wrong, a job that must run at most once ran twice, a zone
 * command failed, or a task started in the zone while it was out.
 */
bool demo_run(struct deployment *deployment);

#endif
