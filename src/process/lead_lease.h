/*
 * The pool lead's lease on one instance: who leads, and whether it is us.
 * Pure: results and the present time go in, at most one action comes out.
 * Nothing's safety rests on it; it saves two leads from working at once.
 */
#ifndef IBIS_LEAD_LEASE_H
#define IBIS_LEAD_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "process/buffer.h"
#include "request/job.h"

#ifdef __cplusplus
extern "C" {
#endif

enum lead_role {
	LEAD_FOLLOWER,
	LEAD_RECOVERING, /* holds the lease, reads the records */
	LEAD_LEADING,
	LEAD_RELEASING /* gives the lease back; takes it no more */
};

struct lead_lease {
	/* Set by the owner. */
	char name[JOB_NAME_BYTES];
	uint64_t incarnation;
	int32_t lease_ms;
	int32_t poll_ms;
	uint32_t jitter_ms; /* added before taking a free lease */

	enum lead_role role;
	uint64_t epoch;		/* revision of the swap that took the lease */
	uint64_t revision;	/* of the key as last seen; 0: absent */
	int64_t valid_until_ms; /* of our lease, counted from sending */
	char holder[JOB_NAME_BYTES]; /* as last seen; empty: nobody */
	uint64_t holder_epoch;
	bool busy;	   /* a call is in flight */
	int64_t next_ms;   /* of the next call */
	bool swap_unknown; /* a swap may have been done */
	bool absence_seen; /* the key was absent when last read */
	bool deleting;	   /* the call in flight is the delete of a release */
};

enum lead_action {
	LEAD_NOTHING,
	LEAD_READ,
	LEAD_SWAP,
	LEAD_DELETE
};

/* What to do now; marks the call as in flight. LEAD_SWAP: put lead_value()
 * with expected revision `revision` and a lease of lease_ms. */
enum lead_action lead_next(struct lead_lease *lease, int64_t now_ms);

/* The value to swap in. */
void lead_value(const struct lead_lease *lease, struct buffer *value);

/* Results of the calls. value is what stands, for reads and conflicts.
 * sent_ms is when the call was sent. Returns true when the role has changed. */
bool lead_read_result(struct lead_lease *lease, enum ibis_code code,
    uint64_t revision, const struct buffer *value, int64_t now_ms);
bool lead_swap_result(struct lead_lease *lease, enum ibis_code code,
    uint64_t revision, const struct buffer *value, int64_t sent_ms,
    int64_t now_ms);

/* Recovery has ended; the instance leads. */
void lead_recovered(struct lead_lease *lease);

/* Another instance has written our records, or claims a later epoch. */
void lead_step_down(struct lead_lease *lease, int64_t now_ms);

/* A planned stop: the lease is given back, and not taken again. */
void lead_release(struct lead_lease *lease, int64_t now_ms);

/* Tells whether a release is over: nothing of ours is left in the store. */
bool lead_released(const struct lead_lease *lease);

/* The holder has said that it gives the lease back, or its link is down:
 * look at once. */
void lead_hint(struct lead_lease *lease, int64_t now_ms);

/* Tells whether the lease was surely ours at now_ms. */
bool lead_valid(const struct lead_lease *lease, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
