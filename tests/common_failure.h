/* Set-up, tear-down and final checks of the failure tests (fail_*). */
#ifndef IBIS_COMMON_FAILURE_H
#define IBIS_COMMON_FAILURE_H

#include "common_deployment.h"
#include "common_traffic.h"

/* When a test injects its fault: after a number of events in a log. */
struct kill_point {
	/* "swap" is looked up in the platform's log, others in the workers'. */
	const char *event;
	size_t count;
};

/* Starts a site of tests/data/site.jsonc. Aborts the test when that fails.
 * time_scale divides the workers' run times. */
void failure_start(struct deployment *deployment, uint32_t instances,
    double time_scale, uint32_t seed);

/* Stops a site; keeps its logs when an assertion failed since the last call. */
void failure_stop(struct deployment *deployment);

/* Waits until a kill point is reached and asserts that it is. */
void failure_wait_kill_point(
    struct deployment *deployment, const struct kill_point *point);

/*
 * Waits for the callers, then asserts that:
 * - no job that must run at most once ran twice;
 * - no job reported as not run was started;
 * - no answer was wrong, and every job was sent and reached an outcome;
 * - no part of a gang ran longer than the first lease without the rest;
 * - no idempotent job ended as unknown or failed, and at most max_unconfirmed
 * of the others did.
 *
 * Frees the traffic.
 */
void failure_check_traffic(struct traffic *traffic, size_t max_unconfirmed);

#endif
