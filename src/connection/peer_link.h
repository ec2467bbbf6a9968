/*
 * Links to the other instances: TCP with length-prefixed protobuf frames. Each
 * instance dials its peers, sends over the connections it dialled and only
 * receives (and answers Pings) over those it accepted. One thread handles all
 * links. A link whose Ping is not answered within the timeout is closed and
 * dialled again.
 *
 * Frames queued on a lost link are not sent again. The dialling instance is
 * notified of each change by EVENT_PEER_LINK_CHANGED. The accepting instance
 * gets EVENT_PEER_LINK_ACCEPTED for each connection, the first and any later
 * one, and no event when a connection is lost.
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
	const char *listen_address; /* IP:PORT; port 0 picks a free one */
	const char *name;
	uint64_t incarnation; /* must increase with each start */
	int32_t heartbeat_interval_ms;
	int32_t timeout_ms;	  /* for connecting and for a Pong */
	uint32_t max_frame_bytes; /* without the header */
};

/*
 * Starts listening and the link thread. Received frames and changes of link
 * state are posted to events, which must outlive the links; config is copied.
 * Returns NULL and fills status on failure. Ended by peer_links_stop.
 */
struct peer_links *peer_links_start(const struct peer_links_config *config,
    struct event_queue *events, struct ibis_status *status);

/*
 * Sends what is queued, waiting at most timeout_ms, then closes all links and
 * frees them. NULL is allowed.
 */
void peer_links_stop(struct peer_links *links);

/*
 * Returns the listening address with the actual port; valid until
 * peer_links_stop.
 */
const char *peer_links_address(const struct peer_links *links);

/*
 * Replaces the set of peers to dial, from any thread. The array is copied. A
 * peer that keeps its name and address keeps its link.
 */
void peer_links_set_peers(
    struct peer_links *links, const struct peer_address *peers, size_t count);

/*
 * Queues a frame for a peer, from any thread. The frame stays the caller's.
 * Returns false, and sends nothing, when the link is not up, its queue is full
 * or the frame is too long. True doesn't mean that the frame arrived.
 */
bool peer_links_send(
    struct peer_links *links, const char *peer, const Ibis__Frame *frame);

/* Bytes sent and received by all links since the start. */
void peer_links_traffic(const struct peer_links *links, uint64_t *sent_bytes,
    uint64_t *received_bytes);

#endif
