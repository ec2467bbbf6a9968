/* Time that single decisions take on a full fleet. */
#ifndef IBIS_COMMON_COST_H
#define IBIS_COMMON_COST_H

#include "common_fleet.h"
#include "process/settings.h"

struct cost_result {
	double placements_per_s;
	double decide_p99_us;
	double decide_max_us;
};

/* Fills the fleet with tasks, then lets jobs end and new ones come, a gang of
 * gang_tasks among every gang_interval of them, and times each decision. */
struct cost_result cost_measure(const struct fleet_size *size,
    enum settings_policy policy, uint32_t gang_tasks, uint64_t seed);

#endif
