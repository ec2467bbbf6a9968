/*
 * Queued jobs in lanes. Each lane is ordered by a key that does not change
 * while a job waits, so that no job of a lane is passed for ever.
 */
#ifndef IBIS_JOB_QUEUE_H
#define IBIS_JOB_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/job_entry.h"

#ifdef __cplusplus
extern "C" {
#endif

struct job_queue_item {
	int64_t key_ms;
	uint64_t sequence;  /* breaks ties */
	int64_t expires_ms; /* given up then; INT64_MAX when never */
	struct job_entry *entry;
};

struct job_queue_lane {
	struct job_queue_item *items;
	size_t count;
	size_t capacity;
	bool urgent;
	uint32_t precedence; /* 0 goes first */
};

struct job_queue {
	struct job_queue_lane *lanes;
	size_t lanes_count;
	size_t count; /* over all lanes */
};

/* Position of a walk through the queue in order of service. */
struct job_queue_walk {
	const struct job_queue *queue;
	size_t *positions; /* by lane */
	size_t *ends;	   /* by lane */
	int64_t now_ms;
};

/* Sets the number of lanes of an empty queue. */
void job_queue_set_lanes(struct job_queue *queue, size_t lanes_count);
void job_queue_clear(struct job_queue *queue);

/* Adds an entry to entry->lane and keeps the key in it. */
void job_queue_add(struct job_queue *queue, struct job_entry *entry,
    int64_t key_ms, int64_t expires_ms);
void job_queue_remove(struct job_queue *queue, struct job_entry *entry);

/*
 * Walks in order of service: urgent lanes first, then by precedence, where a
 * lane gains one step of precedence for each ageing step that its first job
 * has waited, then by key. The queue must not change during the walk. Each
 * call returns the next entry, or NULL at the end. At most lane_limit entries
 * of a lane are walked, so that a long lane does not hide the others. A walk
 * takes either the entries whose key lies in the past, or all others; those of
 * urgent lanes always belong to the others.
 */
struct job_queue_walk job_queue_walk_start(const struct job_queue *queue,
    bool past, size_t lane_limit, int64_t now_ms);
struct job_entry *job_queue_walk_next(struct job_queue_walk *walk);
void job_queue_walk_end(struct job_queue_walk *walk);

#ifdef __cplusplus
}
#endif

#endif
