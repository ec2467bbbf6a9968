/*
 * Group commit of one segment of job records. At most one swap is in flight;
 * what changes meanwhile goes into the next one. A swap without an answer is
 * settled by reading the key again; until then only the identical bytes are
 * sent. Pure: results go in, at most one action comes out.
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
	SEGMENT_CLEAN,	  /* nothing in flight */
	SEGMENT_SWAPPING, /* a swap is in flight */
	SEGMENT_WAITING,  /* the store failed; a read is due at retry_ms */
	SEGMENT_READING,  /* reads to learn what became of the swap */
	SEGMENT_LOST	  /* somebody else has written: not ours any more */
};

/* Something to be done once a record is durable. */
enum segment_step {
	STEP_ACCEPTED, /* admit the job, tell who submitted it */
	STEP_INTENDED, /* start its gang */
	STEP_ENDED,    /* tell who waits, let the workers forget */
	STEP_NOTED     /* nothing more to do */
};

struct segment_entry {
	struct job_id job;
	enum segment_step step;
	uint32_t attempt;
};

struct segment {
	enum segment_state state;
	uint64_t revision; /* of the value in the store; 0: absent */
	uint64_t sequence;
	size_t size_bytes;	 /* of the last value built or read */
	struct buffer in_flight; /* bytes of the swap not yet settled */
	int64_t retry_ms;
	uint32_t failures;
	bool unsent; /* the swap in flight surely had no effect so far */
	bool dirty;  /* changes wait for the next swap */
	struct segment_entry *waiting;
	size_t waiting_count;
	size_t waiting_capacity;
	struct segment_entry *flying; /* settled with the swap in flight */
	size_t flying_count;
	size_t flying_capacity;
};

/* Marks a change whose step follows once it is durable. */
void segment_change(struct segment *segment, struct job_id job,
    enum segment_step step, uint32_t attempt);

enum segment_action {
	SEGMENT_NOTHING,
	SEGMENT_BUILD_SWAP, /* build the value, then segment_swapping */
	SEGMENT_SEND_SWAP,  /* send in_flight again */
	SEGMENT_SEND_READ   /* read the key */
};

/* What to do now. The caller must do it. */
enum segment_action segment_next(struct segment *segment, int64_t now_ms);

/* The value has been built; it becomes the segment's and is to be sent. */
void segment_swapping(struct segment *segment, struct buffer *value);

/*
 * Takes in the result of a swap. Returns true when the swap is settled as
 * done: the entries in flying are durable, and are then dropped with
 * segment_settled.
 */
bool segment_swap_result(struct segment *segment, enum ibis_code code,
    uint64_t revision, int64_t now_ms);

/* The same for a read. code is OK or NOT_FOUND when the read succeeded. */
bool segment_read_result(struct segment *segment, enum ibis_code code,
    uint64_t revision, const struct buffer *value, int64_t now_ms);

void segment_settled(struct segment *segment);

/* Takes back a swap that surely had no effect, so that it is built anew. */
void segment_unfly(struct segment *segment);

/* Sets what a recovery has read. Drops everything else. */
void segment_reset(
    struct segment *segment, uint64_t revision, uint64_t sequence);

void segment_free(struct segment *segment);

#ifdef __cplusplus
}
#endif

#endif
