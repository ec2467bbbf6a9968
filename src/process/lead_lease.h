/*
 * State machine of the lead lease on one instance: who holds the lease, and
 * whether this instance does. It does no I/O: the caller asks for the next call
 * to the store, makes it and reports its result. Correctness doesn't depend on
 * the lease; it only keeps two leads from working at the same time. Times are
 * of one monotonic clock.
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
	LEAD_RECOVERING, /* holds the lease, reads the stored records */
	LEAD_LEADING,
	LEAD_RELEASING /* deletes the lease key and doesn't write it again */
};

struct lead_lease {
	/* Set by the owner; the rest starts zeroed. */
	char name[JOB_NAME_BYTES]; /* of this instance */
	uint64_t incarnation;
	int32_t lease_ms;
	int32_t poll_ms;    /* interval of a follower's reads */
	uint32_t jitter_ms; /* wait before taking a free lease */

	enum lead_role role;
	uint64_t epoch;		/* revision of the swap that took the lease */
	uint64_t revision;	/* of the key when last seen; 0: absent */
	int64_t valid_until_ms; /* of our lease, counted from sending */
	char holder[JOB_NAME_BYTES]; /* when last seen; empty: nobody */
	uint64_t holder_epoch;
	bool call_in_flight;
	int64_t next_ms;	   /* earliest time of the next call */
	bool swap_outcome_unknown; /* a swap of ours may have succeeded */
	bool key_absent;	   /* when last read */
	bool delete_in_flight;	   /* the call in flight is a delete */
	/* A follower found the lease of its last epoch in force, and renews it
	 * before it leads again. */
	bool renew_first;
};

enum lead_action {
	LEAD_NOTHING,
	LEAD_READ,
	LEAD_SWAP,
	LEAD_DELETE
};

/*
 * Returns the call to make now, or LEAD_NOTHING; marks it as in flight until
 * its result is reported. LEAD_SWAP writes the value of lead_encode_value with
 * a lease of lease_ms; LEAD_SWAP and LEAD_DELETE expect the key at `revision`.
 */
enum lead_action lead_next_action(struct lead_lease *lease, int64_t now_ms);

/* Encodes the key's value for a swap and appends it to value. */
void lead_encode_value(const struct lead_lease *lease, struct buffer *value);

/*
 * Report the result of a read, and of a swap or delete. revision and value are
 * those of the key: as read, as written, or as found at a conflict (revision 0:
 * the key is absent). sent_ms is when the call was sent. Return true when the
 * role has changed from or to LEAD_FOLLOWER.
 */
bool lead_read_result(struct lead_lease *lease, enum ibis_code code,
    uint64_t revision, const struct buffer *value, int64_t now_ms);
bool lead_swap_result(struct lead_lease *lease, enum ibis_code code,
    uint64_t revision, const struct buffer *value, int64_t sent_ms,
    int64_t now_ms);

/* Recovery has ended: the instance leads now. */
void lead_recovered(struct lead_lease *lease);

/* Becomes a follower because another instance has written our records or has a
 * later epoch. */
void lead_step_down(struct lead_lease *lease, int64_t now_ms);

/* Starts a planned stop: releases the lease and does not acquire it again. */
void lead_release(struct lead_lease *lease, int64_t now_ms);

/* Tells whether the release is complete: the store holds no key of ours. */
bool lead_released(const struct lead_lease *lease);

/* Makes a follower read the key at once, because the holder has announced that
 * it releases the lease, or the link to it is down. */
void lead_schedule_read(struct lead_lease *lease, int64_t now_ms);

/* Tells whether this instance certainly holds the lease at now_ms. */
bool lead_valid(const struct lead_lease *lease, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
