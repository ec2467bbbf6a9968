/* Moves running work out of zones that are out of service. */
#ifndef IBIS_ZONE_LEAVE_H
#define IBIS_ZONE_LEAVE_H

#include <stdint.h>

#include "process/scheduler_state.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Evicts what will not end in time, shortly before the zone's deadline, and
 * at the deadline all that may be evicted. */
void zone_leave_at_deadline(struct scheduler *scheduler, int64_t now_ms);

/* Moves work for which there is room elsewhere, by class and deadline. Call it
 * when queued jobs have had their turn. */
void zone_leave_early(struct scheduler *scheduler, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
