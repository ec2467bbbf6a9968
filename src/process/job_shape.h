/* Computes whether a job would fit on an idle cluster, which decides whether it
 * can be accepted at all. */
#ifndef IBIS_JOB_SHAPE_H
#define IBIS_JOB_SHAPE_H

#include <stdint.h>

#include "process/cluster.h"
#include "process/scheduler.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Returns the most tasks of the job that fit on one worker, one rack, one zone
 * or all workers together, whichever its adjacency requires, when all workers
 * are idle and usable. A non-preemptible job can't use what other workspaces
 * have claimed. workspace is an index into the document.
 */
uint64_t job_shape_max_tasks(const struct cluster *cluster,
    const struct scheduler_job *job, uint32_t workspace);

#ifdef __cplusplus
}
#endif

#endif
