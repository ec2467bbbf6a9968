/*
 * Tells workers that fail everything from jobs that fail everywhere. A worker
 * on which different jobs fail one after the other is put in quarantine, then
 * tried with one small job, and kept longer each time that this fails.
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
	FAULT_START, /* a task did not start, or its worker died */
	FAULT_WORK   /* the work failed; the job may be at fault */
};

struct quarantine_worker {
	uint32_t points;    /* since the last success */
	uint32_t rounds;    /* quarantines since the last success */
	struct job_id last; /* job that failed last */
	bool many_jobs;	    /* more than one job has failed */
	int64_t until_ms;   /* INT64_MAX when not in quarantine */
};

struct quarantine {
	struct quarantine_worker *workers; /* by worker of the cluster */
	size_t workers_count;
	size_t quarantined;
	int64_t next_ms; /* when one is released, INT64_MAX when never */
};

/* Builds it for a cluster. What is known of workers of the old cluster is
 * kept by name; old and old_cluster may be empty. */
void quarantine_build(struct quarantine *quarantine,
    const struct cluster *cluster, const struct quarantine *old,
    const struct cluster *old_cluster);
void quarantine_clear(struct quarantine *quarantine);

/* Notes a failure. Tells whether the worker is suspect, so that the job is
 * not to be blamed. */
bool quarantine_failure(struct quarantine *quarantine, struct cluster *cluster,
    uint32_t index, struct job_id job, enum quarantine_fault fault,
    int64_t now_ms);

void quarantine_success(
    struct quarantine *quarantine, struct cluster *cluster, uint32_t index);

/* Releases for a trial what has been kept long enough. Returns how many. */
size_t quarantine_release(
    struct quarantine *quarantine, struct cluster *cluster, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
