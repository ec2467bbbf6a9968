/*
 * The thread that serves all peer links, and the commands it takes. Private to
 * the peer link.
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
	PEER_PROTOCOL = 1
};

/* What senders may know of a link without waiting for its thread. */
struct peer_gate {
	atomic_uint references;
	atomic_bool up;
	atomic_size_t queued_bytes;
};

void peer_gate_release(struct peer_gate *gate);

/* A peer to be dialled. Holds a reference to its gate. */
struct peer_target {
	struct peer_address address;
	struct peer_gate *gate;
};

enum peer_command_kind {
	COMMAND_SEND,
	COMMAND_SET_PEERS,
	COMMAND_STOP
};

struct peer_command {
	struct cds_wfcq_node node;
	enum peer_command_kind kind;
	struct peer_gate *gate;	     /* SEND; a reference */
	struct buffer bytes;	     /* SEND */
	struct peer_target *targets; /* SET_PEERS */
	size_t targets_count;
};

struct peer_loop;

struct peer_loop *peer_loop_start(const struct peer_links_config *config,
    struct event_queue *events, struct ibis_status *status);

/* Sends what is queued, for at most the link timeout, and ends the thread. */
void peer_loop_stop(struct peer_loop *loop);

/* Queues a command; its content is taken over. */
void peer_loop_post(struct peer_loop *loop, const struct peer_command *command);

const char *peer_loop_address(const struct peer_loop *loop);
void peer_loop_traffic(
    const struct peer_loop *loop, uint64_t *sent, uint64_t *received);

#endif
