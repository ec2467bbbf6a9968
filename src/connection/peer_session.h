/*
 * The link thread's state, and what it does for single connections: frames,
 * Pings, closing and dialling. Private to the peer link.
 */
#ifndef IBIS_PEER_SESSION_H
#define IBIS_PEER_SESSION_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/address.h"
#include "connection/peer_connection.h"
#include "connection/peer_loop.h"

/* A peer that this instance dials. */
struct peer {
	struct peer_address address;
	struct peer_gate *gate;
	struct peer_connection *connection; /* NULL between attempts */
	uint64_t incarnation;	  /* from its Hello on an accepted connection */
	uint64_t sequence;	  /* of the last Ping */
	int64_t waiting_since_ms; /* connecting, or first Ping unanswered; 0 */
	int64_t next_ping_ms;
	int64_t next_dial_ms;
	int32_t backoff_ms;
};

struct peer_loop {
	struct peer_links_config config;
	char name[JOB_NAME_BYTES];
	char address[ADDRESS_TEXT_BYTES];
	struct event_queue *events;
	int epoll_fd;
	int listen_fd;
	int wake_fd;
	pthread_t thread;
	struct cds_wfcq_head commands_head;
	struct cds_wfcq_tail commands_tail;
	struct peer **peers;
	size_t peers_count;
	struct peer_connection **connections; /* all open ones */
	size_t connections_count;
	size_t connections_capacity;
	int64_t next_timer_ms;
	uint64_t random;
	bool stopping;
	atomic_uint_fast64_t sent_bytes;
	atomic_uint_fast64_t received_bytes;
};

/* Starts to watch a connection. */
void peer_session_add(
    struct peer_loop *loop, struct peer_connection *connection);

/* Takes a connection out of use; it is freed after the batch. Its peer, if
 * any, is reported as down and gets a time to be dialled again. */
void peer_session_close(struct peer_loop *loop,
    struct peer_connection *connection, const char *reason);

/* Writes what the socket takes. */
void peer_session_flush(
    struct peer_loop *loop, struct peer_connection *connection);

void peer_session_ping(
    struct peer_loop *loop, struct peer *peer, int64_t now_ms);
void peer_session_dial(
    struct peer_loop *loop, struct peer *peer, int64_t now_ms);

/* Handles a connection that epoll reported as ready. */
void peer_session_serve(
    struct peer_loop *loop, struct peer_connection *connection, uint32_t ready);

#endif
