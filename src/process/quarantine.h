/*
 * Detects faulty workers, as opposed to faulty jobs, and keeps work off them. A
 * worker on which several jobs fail in a row is put in quarantine, then gets
 * one small job on probation; if that fails too, the next quarantine is longer.
 */
#ifndef IBIS_QUARANTINE_H
#define IBIS_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/cluster.h"
#include "request/job.h"

#ifdef __cplusplus
extern "C" {
#endif

enum quarantine_fault {
	FAULT_START, /* a task did not start */
	FAULT_WORK   /* the work failed or the worker was lost; the job may be
		      * at fault */
};

struct quarantine_worker {
	uint32_t failure_points; /* weighted, since the last success */
	uint32_t periods;	 /* quarantines since the last success */
	struct job_id last_failed_job;
	bool several_jobs_failed; /* since the last success */
	int64_t until_ms;	  /* end of quarantine; INT64_MAX: not in it */
};

struct quarantine {
	struct quarantine_worker *workers; /* by worker of the cluster */
	size_t workers_count;
	size_t quarantined;	 /* how many workers are */
	int64_t next_release_ms; /* when the next worker is released;
				  * INT64_MAX: none */
};

/* Initialises the quarantine of a cluster. Workers that old_cluster has under
 * the same name keep their state from old; both may be empty. Free it with
 * quarantine_clear. */
void quarantine_build(struct quarantine *quarantine,
    const struct cluster *cluster, const struct quarantine *old,
    const struct cluster *old_cluster);
void quarantine_clear(struct quarantine *quarantine);

/* Records a failure of a job on a worker, which may put the worker in
 * quarantine. Returns whether the worker is likely at fault, so that the
 * failure should not count against the job. */
bool quarantine_record_failure(struct quarantine *quarantine,
    struct cluster *cluster, uint32_t index, struct job_id job,
    enum quarantine_fault fault, int64_t now_ms);

/* Records that a job finished on the worker; ends its probation. */
void quarantine_record_success(
    struct quarantine *quarantine, struct cluster *cluster, uint32_t index);

/* Ends the quarantines that are over and puts these workers on probation.
 * Returns how many. */
size_t quarantine_release(
    struct quarantine *quarantine, struct cluster *cluster, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
