/* Frame of the failure tests: a small site with traffic. */
#ifndef IBIS_COMMON_FAILURE_H
#define IBIS_COMMON_FAILURE_H

#include "common_deployment.h"
#include "common_traffic.h"

/* Which process a test kills, and after how many events of a log. */
struct kill_point {
	const char
	    *event; /* of the workers' log, or "swap" of the platform's */
	size_t count;
};

/* Starts instances over tests/data/site.jsonc; ends the test when that
 * fails. time_scale divides the workers' run times. */
void failure_start(struct deployment *deployment, uint32_t instances,
    double time_scale, uint32_t seed);

/* Stops it; keeps the logs when any assertion of the program has failed. */
void failure_stop(struct deployment *deployment);

/* Waits for a kill point and asserts that it comes. */
void failure_wait_point(
    struct deployment *deployment, const struct kill_point *point);

/*
 * Waits for the callers and asserts that the promises about runs and answers
 * were kept: none run twice, none falsely not run, none wrong, none lost, no
 * part of a gang beyond the first lease. Only jobs that may run once at most
 * may end as unknown or failed, and of these at most max_caught. Frees the
 * traffic.
 */
void failure_judge(struct traffic *traffic, size_t max_caught);

#endif
