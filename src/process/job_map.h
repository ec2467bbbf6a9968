/*
 * The jobs that the lead knows, by id and by segment. Owned by the control
 * thread.
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

/* Whom a reply goes to: a caller here, or a peer that forwarded. */
struct origin {
	struct caller_request *caller; /* NULL: it came from a peer */
	char peer[JOB_NAME_BYTES];
	uint64_t call;
};

/* Somebody who waits for a job. */
struct waiter {
	struct cds_list_head in_job;
	struct cds_list_head in_all;
	struct job *job;
	struct origin origin;
	bool wants_end;	   /* else it waits for durability only */
	bool wants_answer; /* the reply is to carry the answer */
	int64_t deadline_ms;
};

enum {
	/* A job whose tasks fail on this many workers is at fault itself. */
	JOB_MAX_TASK_FAILURES = 3
};

struct job {
	struct job *next_in_bucket;
	struct job *next_in_segment;
	struct job *previous_in_segment;
	struct job_id id;
	uint32_t segment;
	Ibis__JobRecord *record;
	struct gang *gang; /* the running attempt, or NULL */
	struct cds_list_head waiters;
	struct cds_list_head in_active; /* while there is a gang */
	Ibis__Answer *answer; /* once finished, while it is kept in memory */
	int64_t answer_used_ms;
	bool answer_loading;
	int64_t answer_retry_ms; /* its put failed; 0: none due */
	bool withdrawn; /* never durable and told so; goes when its gang ends */
	bool started_before; /* some attempt before this one started */
	bool recovered;	     /* taken over from an earlier lead */
	bool admitted;	     /* may start: durable, or taken without */
	bool undurable;	     /* taken while the store was down */
	bool intent_sent;    /* the intent of this attempt is being written */
	bool intent_durable; /* and has been written */
	bool ended_durable;
	bool throttled;
	/* Hashes of the names of workers on which a task itself failed. */
	uint64_t failed_on[JOB_MAX_TASK_FAILURES];
	uint32_t failures;   /* number of them */
	int64_t accepted_ms; /* monotonic */
	int64_t running_ms;  /* of the attempt; 0: not yet */
};

struct job_map;

/* segments is the number of segments that jobs spread over. */
struct job_map *job_map_new(uint32_t segments);
void job_map_free(struct job_map *table);

struct job *job_map_find(const struct job_map *table, struct job_id id);

/* Adds a job; its record becomes the table's. */
struct job *job_map_add(
    struct job_map *table, struct job_id id, Ibis__JobRecord *record);

/* Removes and frees a job, which must have no waiters. */
void job_map_remove(struct job_map *table, struct job *job);

/* Removes all jobs. */
void job_map_clear(struct job_map *table);

size_t job_map_count(const struct job_map *table);
uint32_t job_map_segment(const struct job_map *table, struct job_id id);

/* First job of a segment; follow next_in_segment. */
struct job *job_map_first(const struct job_map *table, uint32_t segment);

#endif
