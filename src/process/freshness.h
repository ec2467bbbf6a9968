/*
 * Whether this instance may start tasks: it may only if, not long ago, it has
 * confirmed that its document version and zone holds are current. While the
 * store can be reached, reading the document's head confirms; during an
 * outage, more than half of the instances do, each saying that it can't reach
 * the store either and knows of nothing newer. Pure.
 */
#ifndef IBIS_FRESHNESS_H
#define IBIS_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#include "request/job.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	FRESHNESS_MAX_PEERS = 64
};

struct freshness {
	int32_t limit_ms;     /* set by the owner */
	int64_t confirmed_ms; /* when the newest confirmation was asked for */
	uint64_t round;	      /* of asking the peers */
	int64_t round_ms;
	uint32_t needed; /* peers that must confirm in this round */
	uint32_t confirmed_count;
	char confirmed[FRESHNESS_MAX_PEERS][JOB_NAME_BYTES];
};

/* What is in force here was current at asked_ms: when the read of the head, or
 * the round of asking the peers, was sent. */
void freshness_confirm_from(struct freshness *freshness, int64_t asked_ms);

/*
 * Begins a round of asking the peers. instances is the size of the last
 * durable list, this one included. Returns the round's sequence.
 */
uint64_t freshness_begin_round(
    struct freshness *freshness, uint32_t instances, int64_t now_ms);

/* A peer has confirmed in a round. */
void freshness_confirm(
    struct freshness *freshness, uint64_t round, const char *peer);

/* Tells whether starting is allowed at now_ms. */
bool freshness_holds(const struct freshness *freshness, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
