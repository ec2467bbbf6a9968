/*
 * Decides whether this instance may start tasks: only if it has confirmed
 * within limit_ms that its document version and zone holds are current. While
 * the store can be reached, reading the document's head confirms this. During
 * an outage a majority of the instances confirms it: each peer replies that it
 * can't reach the store either and knows no newer version or hold. No I/O; one
 * thread; times are of one monotonic clock.
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

/* The owner sets limit_ms and zeroes the rest. */
struct freshness {
	int32_t limit_ms; /* validity of a confirmation */
	/* When the request of the newest confirmation was sent; 0: none yet. */
	int64_t confirmed_ms;
	uint64_t round; /* sequence of the last round of asking peers */
	int64_t round_start_ms;
	uint32_t peers_needed; /* peers that must confirm in this round */
	uint32_t confirmed_peers_count;
	char confirmed_peers[FRESHNESS_MAX_PEERS][JOB_NAME_BYTES];
};

/* Records that the document version and zone holds were current at asked_ms,
 * the time at which the read of the head or the round of asking peers was sent.
 * An earlier time than the recorded one is ignored. */
void freshness_confirm_at(struct freshness *freshness, int64_t asked_ms);

/*
 * Begins a round of asking the peers and returns its sequence; replies to
 * earlier rounds no longer count. instances is the size of the last list of
 * instances that was not empty, this one included. A single instance is
 * confirmed at once.
 */
uint64_t freshness_begin_round(
    struct freshness *freshness, uint32_t instances, int64_t now_ms);

/* Records that a peer has confirmed in a round. A second reply of the same peer
 * and a reply to an earlier round are ignored. */
void freshness_add_confirmation(
    struct freshness *freshness, uint64_t round, const char *peer);

/* Tells whether tasks may be started at now_ms. */
bool freshness_is_confirmed(const struct freshness *freshness, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
