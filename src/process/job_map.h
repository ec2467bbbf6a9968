/*
 * The jobs that the lead knows, by id and by segment of the store. Owned by the
 * control thread.
 */
#ifndef IBIS_JOB_MAP_H
#define IBIS_JOB_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <urcu/list.h>

#include "request/gang.h"
#include "request/job.h"

struct caller_request;

/* Where a reply is sent: to a caller of this instance, or to the peer that
 * forwarded the request. */
struct origin {
	struct caller_request *caller; /* NULL: the request came from a peer */
	char peer[JOB_NAME_BYTES];
	uint64_t call; /* the peer's id of the request */
};

/* A request that is answered when its job reaches a state. */
struct waiter {
	struct cds_list_head in_job; /* in job->waiters */
	struct cds_list_head in_all; /* in the list of all waiters */
	struct job *job;
	struct origin origin;
	bool wants_end; /* waits for the job's end; else for its acceptance */
	bool wants_answer;   /* the reply includes the job's answer */
	int64_t deadline_ms; /* when it is answered even without the end */
};

enum {
	/* A job whose tasks fail on this many workers is itself the cause. */
	JOB_MAX_TASK_FAILURES = 3
};

struct job {
	struct job *next_in_bucket;
	struct job *next_in_segment;
	struct job *previous_in_segment;
	struct job_id id;
	uint32_t segment; /* index */
	Ibis__JobRecord *record;
	struct gang *gang; /* of the running attempt, or NULL */
	struct cds_list_head waiters;
	struct cds_list_head in_active; /* while there is a gang */
	/* Once the job has finished, while cached in memory; else NULL. */
	Ibis__Answer *answer;
	int64_t answer_used_ms;
	bool answer_loading;
	int64_t answer_retry_ms; /* of its failed write; 0: none due */
	/* Refused after it was scheduled, since its record was not stored;
	 * removed when its gang ends. */
	bool withdrawn;
	bool started_before; /* an attempt before this one was started */
	bool recovered;	     /* taken over from an earlier lead */
	bool admitted;	     /* may start: stored, or accepted in an outage */
	bool unstored;	     /* accepted in a store outage, not yet stored */
	bool intent_sent;    /* the intent to start is being written */
	bool intent_durable; /* and has been written */
	bool end_durable;    /* the final record is stored */
	bool throttled;
	/* Hashes of the names of workers on which a task itself failed. */
	uint64_t failed_on[JOB_MAX_TASK_FAILURES];
	uint32_t failures; /* elements of failed_on */
	int64_t accepted_ms;
	int64_t running_ms; /* when the attempt began to run; 0: not yet */
};

struct job_map;

/* Creates an empty map whose jobs are distributed over this many segments. Free
 * with job_map_free, which accepts NULL. */
struct job_map *job_map_new(uint32_t segments);
void job_map_free(struct job_map *map);

/* Returns the job with this id, owned by the map, or NULL. */
struct job *job_map_find(const struct job_map *map, struct job_id id);

/* Adds a job and returns it; the map owns it and takes over the record. The id
 * must not be in the map yet. */
struct job *job_map_add(
    struct job_map *map, struct job_id id, Ibis__JobRecord *record);

/* Removes and frees a job, which must have no waiters. */
void job_map_remove(struct job_map *map, struct job *job);

/* Removes and frees all jobs; none may have waiters. */
void job_map_clear(struct job_map *map);

size_t job_map_count(const struct job_map *map);

/* Returns the index of the segment to which an id belongs. */
uint32_t job_map_segment(const struct job_map *map, struct job_id id);

/* Returns the first job of a segment, or NULL; next_in_segment leads to the
 * others. */
struct job *job_map_first_in_segment(
    const struct job_map *map, uint32_t segment);

#endif
