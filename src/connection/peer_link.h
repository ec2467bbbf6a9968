/*
 * Links to the other instances: TCP with length-prefixed protobuf frames. Each
 * instance dials its peers and sends over the links it dialled; what comes in
 * over accepted ones is received only. One thread serves all links. A link
 * without a Pong within the timeout is closed and dialled again.
 *
 * Frames of a link that was lost are not sent again. Both ends learn of it: the
 * dialling one by EVENT_PEER_STATE, the other by the EVENT_PEER_DIALLED that
 * follows, which also comes with the first connection.
 */
#ifndef IBIS_PEER_LINK_H
#define IBIS_PEER_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "process/event.h"

struct peer_address {
	char name[JOB_NAME_BYTES];
	char address[JOB_NAME_BYTES]; /* IP:PORT */
};

struct peer_links;

struct peer_links_config {
	const char *listen_address; /* IP:PORT; port 0 any */
	const char *name;
	uint64_t incarnation;
	int32_t heartbeat_interval_ms;
	int32_t timeout_ms;
	uint32_t max_frame_bytes;
};

struct peer_links *peer_links_start(const struct peer_links_config *config,
    struct event_queue *events, struct ibis_status *status);
void peer_links_stop(struct peer_links *links);

/* The address listened on, with the real port; owned by the links. */
const char *peer_links_address(const struct peer_links *links);

/* Makes the set of dialled peers the given one; from any thread. */
void peer_links_set_peers(
    struct peer_links *links, const struct peer_address *peers, size_t count);

/*
 * Queues a frame for a peer, from any thread. Returns false when there is no
 * link or its queue is full: the frame was not sent. True does not mean that
 * it arrived.
 */
bool peer_links_send(
    struct peer_links *links, const char *peer, const Ibis__Frame *frame);

/* Bytes sent and received by all links since the start. */
void peer_links_traffic(const struct peer_links *links, uint64_t *sent_bytes,
    uint64_t *received_bytes);

#endif
