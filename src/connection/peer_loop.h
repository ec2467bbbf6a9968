/*
 * The event loop thread that handles all peer links, and the commands that
 * other threads send to it. Internal to the peer link.
 */
#ifndef IBIS_PEER_LOOP_H
#define IBIS_PEER_LOOP_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <urcu/wfcqueue.h>

#include "connection/peer_link.h"
#include "process/buffer.h"

enum {
	PEER_PROTOCOL_VERSION = 1
};

/* State of a link that senders read without waiting for the link thread. */
struct peer_link_state {
	atomic_uint references; /* freed when none is left */
	atomic_bool up;
	atomic_size_t queued_bytes; /* queued for sending, not written */
};

/* Drops a reference; the last one frees the state. */
void peer_link_state_release(struct peer_link_state *link_state);

/* A peer to dial; holds a reference to its link state. */
struct peer_target {
	struct peer_address address;
	struct peer_link_state *link_state;
};

enum peer_command_kind {
	COMMAND_SEND,
	COMMAND_SET_PEERS,
	COMMAND_STOP
};

struct peer_command {
	struct cds_wfcq_node node;
	enum peer_command_kind kind;
	struct peer_link_state *link_state; /* SEND; holds a reference */
	struct buffer bytes;		    /* SEND */
	struct peer_target *targets;	    /* SET_PEERS */
	size_t targets_count;
};

struct peer_loop;

/*
 * Listens and starts the thread; config is copied, events must outlive the
 * loop. Returns NULL and fills status on failure. Ended by peer_loop_stop.
 */
struct peer_loop *peer_loop_start(const struct peer_links_config *config,
    struct event_queue *events, struct ibis_status *status);

/*
 * Sends what is queued, waiting at most the link timeout, ends the thread and
 * frees the loop.
 */
void peer_loop_stop(struct peer_loop *loop);

/*
 * Queues a copy of a command, from any thread. The loop takes ownership of
 * what the command points to.
 */
void peer_loop_post(struct peer_loop *loop, const struct peer_command *command);

/* The listening address with the actual port; owned by the loop. */
const char *peer_loop_address(const struct peer_loop *loop);

/* Bytes sent and received since the start; from any thread. */
void peer_loop_traffic(
    const struct peer_loop *loop, uint64_t *sent, uint64_t *received);

#endif
