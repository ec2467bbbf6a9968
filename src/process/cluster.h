/*
 * The scheduler's model of the workers: zones, racks, free accelerators, and
 * for each worker how many accelerators each workspace uses and has claimed.
 *
 * A claim is a number of accelerators on a worker that is reserved for a
 * guarantee of a workspace (see guarantee.h). Other workspaces may borrow it
 * for jobs that can be evicted. One thread; times are of one monotonic clock.
 */
#ifndef IBIS_CLUSTER_H
#define IBIS_CLUSTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/scheduler.h"
#include "version/document.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Marks an index that is not set, not found or no longer valid. */
#define NO_INDEX UINT32_MAX

struct job_entry;

/* Accelerators of one worker that belong to one workspace. */
struct cluster_share {
	uint16_t claim;		  /* reserved for its guarantees */
	uint16_t used;		  /* held by its running jobs */
	uint16_t non_preemptible; /* part of used that can't be evicted without
				   * losing a job */
};

struct cluster_worker {
	uint32_t rack;	   /* index */
	uint32_t zone;	   /* index */
	uint32_t capacity; /* accelerators */
	uint32_t used;	   /* accelerators */
	/* Sum over workspaces of max(claim, non_preemptible). */
	uint32_t committed;
	uint32_t claimed_or_used; /* sum over workspaces of max(claim, used) */
	enum worker_condition condition;
	bool quarantined;
	bool usable;		/* serving, not quarantined, zone in service */
	bool on_probation;	/* released from quarantine for a trial job */
	uint32_t draining_slot; /* of the draining reservation that keeps other
				 * jobs off the worker, or NO_INDEX */
	uint32_t exclusively_reserved; /* accelerators */
	int64_t drained_ms;	       /* latest expected end of its jobs */
	struct job_entry **jobs;       /* one element per task, not owned */
	size_t jobs_count;
	size_t jobs_capacity;
};

struct cluster_rack {
	char name[JOB_NAME_BYTES];
	uint32_t zone;	       /* index */
	uint32_t first_worker; /* index; its workers are consecutive */
	uint32_t workers_count;
	uint32_t accelerators_per_worker;
	uint32_t free;	   /* accelerators, over usable workers */
	uint32_t max_free; /* accelerators, on one usable worker */
};

struct cluster_zone {
	char name[JOB_NAME_BYTES];
	bool in_service;
	int32_t leave_deadline_ms; /* time for work to leave, from left_ms */
	int64_t left_ms; /* when it last went out of service, or INT64_MIN */
	int64_t returned_ms;	      /* when it last came back, or INT64_MIN */
	uint32_t usable_accelerators; /* capacity of usable workers */
	uint32_t used;		      /* accelerators on usable workers */
};

struct cluster {
	struct cluster_zone *zones;
	size_t zones_count;
	struct cluster_rack *racks;
	size_t racks_count;
	struct cluster_worker *workers;
	char (*names)[JOB_NAME_BYTES]; /* by worker */
	size_t workers_count;
	/* One share per workspace, and a last one for all unknown ones. */
	size_t shares_per_worker;
	struct cluster_share *shares; /* by worker, then workspace */
	uint32_t *name_index;	      /* hash table of workers by name */
	size_t name_index_count;      /* slots; a power of two */
};

/* Builds a cluster from a document, with no jobs and with all workers
 * WORKER_LOST. Keeps no reference to the document. Free with cluster_clear. */
void cluster_build(struct cluster *cluster, const struct document *document);
void cluster_clear(struct cluster *cluster);

/* Return the index of the worker or zone, or NO_INDEX when it is unknown. */
uint32_t cluster_find_worker(const struct cluster *cluster, const char *name);
uint32_t cluster_find_zone(const struct cluster *cluster, const char *name);

/* Set a state that makes workers usable or not, and update the sums of racks
 * and zones. worker and zone are indices. */
void cluster_set_condition(
    struct cluster *cluster, uint32_t worker, enum worker_condition condition);
void cluster_set_quarantined(
    struct cluster *cluster, uint32_t worker, bool quarantined);
void cluster_set_zone(struct cluster *cluster, uint32_t zone, bool in_service);

/* Allocate the accelerators of one task of the job on the worker with this
 * index, in the share of the job's workspace, and release them. The cluster
 * keeps a pointer to the entry until the release. */
void cluster_allocate_task(
    struct cluster *cluster, uint32_t index, struct job_entry *entry);
void cluster_release_task(struct cluster *cluster, uint32_t index,
    struct job_entry *entry, int64_t now_ms);

/* Adds accelerators, which may be negative, to a workspace's claim on a
 * worker. */
void cluster_adjust_claim(struct cluster *cluster, uint32_t worker,
    uint32_t workspace, int32_t accelerators);

/* Returns the share of a workspace on a worker, owned by the cluster. All
 * unknown workspaces have one share in common. */
struct cluster_share *cluster_share(
    const struct cluster *cluster, uint32_t worker, uint32_t workspace);

/* Returns the free accelerators of the worker; 0 when it is not usable. */
uint32_t cluster_free(const struct cluster *cluster, uint32_t index);

/* Returns how many more accelerators the non-preemptible jobs of a workspace
 * may use on the worker without using another workspace's claim, whether or not
 * they are free now. */
uint32_t cluster_non_preemptible_capacity(
    const struct cluster *cluster, uint32_t index, uint32_t workspace);

/* Returns how many more accelerators any jobs of a workspace may use on the
 * worker without borrowing from another workspace's claim. */
uint32_t cluster_unborrowed_capacity(
    const struct cluster *cluster, uint32_t index, uint32_t workspace);

#ifdef __cplusplus
}
#endif

#endif
