/*
 * Group commit of one segment of job records, the value of one key in the
 * store, written by compare-and-swap. At most one swap is in flight; changes
 * made meanwhile go into the next one. After a swap with an unknown outcome the
 * key is read to learn it; until it is known only the identical bytes are sent
 * again. Does no I/O: the caller carries out the action that segment_next
 * returns and passes in its result.
 */
#ifndef IBIS_SEGMENT_H
#define IBIS_SEGMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "process/buffer.h"
#include "request/job.h"

#ifdef __cplusplus
extern "C" {
#endif

enum segment_state {
	SEGMENT_IDLE,	  /* nothing in flight */
	SEGMENT_SWAPPING, /* a swap is in flight */
	SEGMENT_WAITING,  /* waits until retry_ms to send or read again */
	SEGMENT_READING,  /* a read for the outcome of a swap is in flight */
	SEGMENT_LOST	  /* another instance has written the key */
};

/* What the caller does once a changed job record is durable. */
enum segment_step {
	STEP_ACCEPTED, /* admit the job and answer its submission */
	STEP_INTENDED, /* start the attempt's gang */
	STEP_ENDED,    /* answer the job's waiters, let workers drop its runs */
	STEP_NONE      /* nothing */
};

/* A step that waits for its record to become durable. */
struct segment_entry {
	struct job_id job;
	enum segment_step step;
	uint64_t attempt;
};

struct segment {
	enum segment_state state;
	uint64_t revision; /* of the value in the store; 0: absent */
	uint64_t sequence; /* number of the last value; set by the caller */
	size_t size_bytes; /* of the last value built or read */
	struct buffer in_flight; /* value of the swap in flight */
	int64_t retry_ms;	 /* in SEGMENT_WAITING */
	uint32_t failures;	 /* of the store, in a row */
	bool unsent; /* the swap in flight has certainly not been applied yet */
	/* An earlier sending of the swap, whose outcome was unknown, may still
	 * be applied. */
	bool may_land;
	bool dirty;		       /* some change is not in a swap yet */
	struct segment_entry *waiting; /* steps of the next swap */
	size_t waiting_count;
	size_t waiting_capacity;
	struct segment_entry *committing; /* steps of the swap in flight */
	size_t committing_count;
	size_t committing_capacity;
};

/* Records that a job's record has changed and must be written; the step is
 * due once it is durable. */
void segment_add_change(struct segment *segment, struct job_id job,
    enum segment_step step, uint64_t attempt);

enum segment_action {
	SEGMENT_NOTHING,
	SEGMENT_BUILD_SWAP, /* build the value, call segment_begin_swap, send */
	SEGMENT_SEND_SWAP,  /* send in_flight again */
	SEGMENT_SEND_READ   /* read the key */
};

/* Returns the action that is due now. The caller must carry it out, as the
 * state already says that it is in flight. */
enum segment_action segment_next(struct segment *segment, int64_t now_ms);

/* Begins a swap to a new value, which the caller must then send. Takes the
 * buffer's content and leaves it empty. */
void segment_begin_swap(struct segment *segment, struct buffer *value);

/*
 * Handles the result of a swap; revision is the new one when code is IBIS_OK.
 * Returns true when the swap has been applied: the steps in committing are due,
 * and the caller then calls segment_finish_swap. IBIS_UNAVAILABLE means that
 * this sending was certainly not applied; any other error leaves the outcome
 * unknown.
 */
bool segment_handle_swap_result(struct segment *segment, enum ibis_code code,
    uint64_t revision, int64_t now_ms);

/* Handles the result of a read. Returns true when it shows that the swap has
 * been applied, as above. A read succeeds with IBIS_OK or IBIS_NOT_FOUND; value
 * is the caller's and may be NULL unless code is IBIS_OK. */
bool segment_handle_read_result(struct segment *segment, enum ibis_code code,
    uint64_t revision, const struct buffer *value, int64_t now_ms);

/* Drops the steps and the value of a swap that has been applied. */
void segment_finish_swap(struct segment *segment);

/* Tells whether no sending of the current swap can have been applied or still
 * be applied, so that it may be cancelled. */
bool segment_can_cancel_swap(const struct segment *segment);

/* Cancels a swap for which segment_can_cancel_swap is true; its changes and
 * steps go into the next one. */
void segment_cancel_swap(struct segment *segment);

/* Resets the segment to the revision and sequence found in the store, 0 when
 * absent. Drops all steps and the swap in flight. */
void segment_reset(
    struct segment *segment, uint64_t revision, uint64_t sequence);

/* Frees the segment's buffers, not the segment itself. */
void segment_free(struct segment *segment);

#ifdef __cplusplus
}
#endif

#endif
