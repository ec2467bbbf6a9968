/* Evacuates running work from zones that are out of service. */
#ifndef IBIS_ZONE_EVACUATION_H
#define IBIS_ZONE_EVACUATION_H

#include <stdint.h>

#include "process/scheduler_state.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Evicts preemptible jobs from zones out of service: a job that is expected to
 * outlast its zone's leave deadline one checkpoint timeout before the deadline,
 * any other at the deadline. */
void zone_evacuate_at_deadline(struct scheduler *scheduler, int64_t now_ms);

/* Evicts checkpointable jobs before the deadline if capacity for them is free
 * in other zones, and reserves it; in order of class and job deadline. Call it
 * after the queue has been scheduled, as queued jobs come first. */
void zone_evacuate_early(struct scheduler *scheduler, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
