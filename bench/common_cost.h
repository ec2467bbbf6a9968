/* Measures how long scheduling decisions take on a fully occupied fleet. */
#ifndef IBIS_COMMON_COST_H
#define IBIS_COMMON_COST_H

#include "common_fleet.h"
#include "process/settings.h"

/* Placement throughput and decision times of one run. */
struct cost_result {
	double placements_per_s; /* per second spent deciding */
	double decide_p99_us;
	double decide_max_us;
};

/*
 * Fills the fleet with single-task jobs, then ends one job and submits another
 * before each of 10000 timed decisions. Every 500th new job is a gang of
 * gang_tasks tasks. The times are wall-clock times from the monotonic clock;
 * the seed determines the jobs. The caller keeps ownership of size.
 */
struct cost_result cost_measure(const struct fleet_size *size,
    enum settings_policy policy, uint32_t gang_tasks, uint64_t seed);

#endif
