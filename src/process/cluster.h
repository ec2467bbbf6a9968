/*
 * Model of the workers: zones, racks, free accelerators, and which workspace
 * holds and claims how much of each worker.
 *
 * Each worker keeps one share for each workspace. claim is what a guarantee
 * has pinned there, used what the workspace's jobs hold there, and firm the
 * part of used that can't be evicted without losing a job.
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

#define NO_INDEX UINT32_MAX

struct job_entry;

struct cluster_share {
	uint16_t claim;
	uint16_t used;
	uint16_t firm;
};

struct cluster_worker {
	uint32_t rack;
	uint32_t zone;
	uint32_t capacity; /* accelerators */
	uint32_t used;
	uint32_t committed; /* sum over workspaces of max(claim, firm) */
	uint32_t owed;	    /* sum over workspaces of max(claim, used) */
	enum worker_condition condition;
	bool quarantined;
	bool usable;	    /* serving, trusted, and its zone in service */
	bool on_probation;  /* released from quarantine for a trial */
	uint32_t holder;    /* reservation slot that drains it, or NO_INDEX */
	uint32_t held;	    /* accelerators kept by firm reservations */
	int64_t drained_ms; /* when its last job is expected to end */
	struct job_entry **jobs; /* one element a task */
	size_t jobs_count;
	size_t jobs_capacity;
};

struct cluster_rack {
	char name[JOB_NAME_BYTES];
	uint32_t zone;
	uint32_t first_worker;
	uint32_t workers_count;
	uint32_t accelerators_per_worker;
	uint32_t free;	   /* over usable workers */
	uint32_t max_free; /* on one usable worker */
};

struct cluster_zone {
	char name[JOB_NAME_BYTES];
	bool in_service;
	int32_t leave_deadline_ms;
	int64_t left_ms;     /* when it went out of service */
	int64_t returned_ms; /* INT64_MIN when it never left */
	uint32_t usable_accelerators;
	uint32_t used; /* on usable workers */
};

struct cluster {
	struct cluster_zone *zones;
	size_t zones_count;
	struct cluster_rack *racks;
	size_t racks_count;
	struct cluster_worker *workers;
	char (*names)[JOB_NAME_BYTES]; /* by worker */
	size_t workers_count;
	size_t shares_per_worker; /* workspaces, and one for unknown ones */
	struct cluster_share *shares;
	uint32_t *by_name; /* open-addressed index of workers */
	size_t by_name_count;
};

/* Builds an idle cluster whose workers are lost. Free with cluster_clear. */
void cluster_build(struct cluster *cluster, const struct document *document);
void cluster_clear(struct cluster *cluster);

/* Return an index, or NO_INDEX. */
uint32_t cluster_find_worker(const struct cluster *cluster, const char *name);
uint32_t cluster_find_zone(const struct cluster *cluster, const char *name);

void cluster_set_condition(
    struct cluster *cluster, uint32_t worker, enum worker_condition condition);
void cluster_set_quarantined(
    struct cluster *cluster, uint32_t worker, bool quarantined);
void cluster_set_zone(struct cluster *cluster, uint32_t zone, bool in_service);

/* Gives accelerators of one worker to one task of a job, and takes them back.
 * The share is that of the entry's workspace. */
void cluster_take(
    struct cluster *cluster, uint32_t index, struct job_entry *entry);
void cluster_release(struct cluster *cluster, uint32_t index,
    struct job_entry *entry, int64_t now_ms);

/* Adds to, or with a negative amount takes from, a claim. */
void cluster_claim(struct cluster *cluster, uint32_t worker, uint32_t workspace,
    int32_t accelerators);

/* The share of a workspace; an unknown one has the last. */
struct cluster_share *cluster_share(
    const struct cluster *cluster, uint32_t worker, uint32_t workspace);

/* Free accelerators of a usable worker, else 0. */
uint32_t cluster_free(const struct cluster *cluster, uint32_t index);

/* Accelerators that work of a workspace which can't be evicted may hold on
 * the worker, beside what it holds, with every claim kept; free or not. */
uint32_t cluster_firm_room(
    const struct cluster *cluster, uint32_t index, uint32_t workspace);

/* The same for work that borrows from no claim. */
uint32_t cluster_unborrowed_room(
    const struct cluster *cluster, uint32_t index, uint32_t workspace);

#ifdef __cplusplus
}
#endif

#endif
