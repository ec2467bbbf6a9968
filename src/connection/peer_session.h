/*
 * State of the link thread and its operations on a single connection: dialling,
 * closing, Pings and frames. Internal to the peer link; all functions run on
 * the link thread.
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
	struct peer_link_state *link_state;
	struct peer_connection *connection; /* NULL between dial attempts */
	uint64_t incarnation;	     /* from its Hello; 0 until received */
	uint64_t sequence;	     /* of the last Ping sent */
	int64_t unanswered_since_ms; /* start of connect or of waiting for a
				      * Pong; 0: not waiting */
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
	struct peer_connection **connections; /* accepted and dialled */
	size_t connections_count;
	size_t connections_capacity;
	int64_t next_timer_ms; /* when timers run next */
	uint64_t random_state;
	bool stopping; /* no new links, no events posted */
	atomic_uint_fast64_t sent_bytes;
	atomic_uint_fast64_t received_bytes;
};

/* Adds a connection to the loop, which takes ownership, and to epoll. */
void peer_session_add(
    struct peer_loop *loop, struct peer_connection *connection);

/*
 * Marks a connection as closed; it is freed after the current batch of events.
 * If its dialled peer was up, it is reported as down; a dialled peer is
 * scheduled for redialling. reason is logged.
 */
void peer_session_close(struct peer_loop *loop,
    struct peer_connection *connection, const char *reason);

/* Writes buffered bytes until the socket would block; closes on failure. */
void peer_session_flush(
    struct peer_loop *loop, struct peer_connection *connection);

/* Sends a Ping and schedules the next one. */
void peer_session_ping(
    struct peer_loop *loop, struct peer *peer, int64_t now_ms);

/* Starts to connect to a peer; on failure schedules another attempt. */
void peer_session_dial(
    struct peer_loop *loop, struct peer *peer, int64_t now_ms);

/* Handles a connection that epoll reported with the event mask ready. */
void peer_session_handle_ready(
    struct peer_loop *loop, struct peer_connection *connection, uint32_t ready);

#endif
