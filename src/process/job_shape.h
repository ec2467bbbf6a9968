/* Tells whether a job could run if everything else had ended. */
#ifndef IBIS_JOB_SHAPE_H
#define IBIS_JOB_SHAPE_H

#include <stdint.h>

#include "process/cluster.h"
#include "process/scheduler.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The most tasks of the job that one worker, rack or zone, or all together, as
 * its adjacency asks, would hold when idle. Work that can't be evicted gets
 * nothing that other workspaces claim.
 */
uint64_t job_shape_most_tasks(const struct cluster *cluster,
    const struct scheduler_job *job, uint32_t workspace);

#ifdef __cplusplus
}
#endif

#endif
