/*
 * Queued jobs in lanes. Each lane is sorted by a key that does not change while
 * a job waits, so that later jobs can't overtake it forever. One thread.
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
	int64_t key_ms;	    /* sort key: when the job should have started */
	uint64_t sequence;  /* breaks ties */
	int64_t expires_ms; /* when the job is given up; INT64_MAX: never */
	struct job_entry *entry;
};

/* Queued jobs of one request class, or of several, sorted by key. */
struct job_queue_lane {
	struct job_queue_item *items;
	size_t count;
	size_t capacity;
	bool urgent;
	uint32_t precedence; /* 0 is served first */
};

/* A zeroed queue is valid and has no lanes. */
struct job_queue {
	struct job_queue_lane *lanes;
	size_t lanes_count;
	size_t count; /* over all lanes */
};

/* Iterator over the queue in order of service. */
struct job_queue_walk {
	const struct job_queue *queue;
	size_t *positions; /* by lane */
	size_t *ends;	   /* by lane */
	int64_t now_ms;
};

/* Sets the number of lanes of an empty queue; the caller then sets urgent and
 * precedence of each. Free with job_queue_clear. */
void job_queue_set_lanes(struct job_queue *queue, size_t lanes_count);
void job_queue_clear(struct job_queue *queue);

/* Adds an entry to the lane entry->lane and sets entry->lane_key_ms. The queue
 * refers to the entry until it is removed. */
void job_queue_add(struct job_queue *queue, struct job_entry *entry,
    int64_t key_ms, int64_t expires_ms);

/* Removes an entry; does nothing when it is not queued. */
void job_queue_remove(struct job_queue *queue, struct job_entry *entry);

/*
 * Starts a walk in order of service: urgent lanes first, then by precedence,
 * then by key. A lane gains one step of precedence for each ageing step that
 * its first job has waited. With overdue set, the walk returns the entries
 * whose key is before now_ms, else all others; entries of urgent lanes always
 * count as others. At most lane_limit entries of each lane are returned, so
 * that a long lane does not starve the others. The queue must not change during
 * the walk. End it with job_queue_walk_end.
 */
struct job_queue_walk job_queue_walk_start(const struct job_queue *queue,
    bool overdue, size_t lane_limit, int64_t now_ms);

/* Returns the next entry, or NULL at the end. */
struct job_entry *job_queue_walk_next(struct job_queue_walk *walk);

/* Frees the walk's memory. */
void job_queue_walk_end(struct job_queue_walk *walk);

#ifdef __cplusplus
}
#endif

#endif
