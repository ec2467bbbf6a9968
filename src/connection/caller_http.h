/*
 * HTTP server for callers and operators, built on libmicrohttpd. Its I/O
 * thread parses a request, posts it to the control thread as EVENT_CALLER and
 * suspends the connection until the control thread replies, so that a waiting
 * request occupies no thread.
 */
#ifndef IBIS_CALLER_HTTP_H
#define IBIS_CALLER_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "ibistrestle.pb-c.h"
#include "process/event.h"

/*
 * A request that waits for its reply. The receiver of the event owns it and
 * passes it to caller_server_reply.
 */
struct caller_request {
	Ibis__Request *request;
	int64_t received_ms;		  /* clock_now_ms() */
	struct caller_exchange *exchange; /* private to the server */
};

struct caller_server;

struct caller_server_config {
	const char *address;	/* IP:PORT; port 0: chosen by the system */
	int32_t max_body_bytes; /* a longer body gets a 413 */
	/* Of all bodies that are being received; one that does not fit gets
	 * 503, or stalled ones are closed. */
	int32_t max_bodies_bytes;
	int32_t max_connections;
	int32_t max_wait_ms; /* limit of a request's wait_ms */
};

/*
 * Starts a server that posts its requests to events, which must outlive it.
 * Copies the configuration. Returns NULL and fills status: IBIS_INVALID when
 * the address is malformed, IBIS_UNAVAILABLE when it can't be listened on,
 * IBIS_INTERNAL when the HTTP library fails.
 */
struct caller_server *caller_server_start(
    const struct caller_server_config *config, struct event_queue *events,
    struct ibis_status *status);

/* Returns the listening address with its actual port; owned by the server. */
const char *caller_server_address(const struct caller_server *server);

/*
 * Sends the response to a request, rendered by api_render, and frees the
 * request. reply stays owned by the caller. Must not be called after
 * caller_server_stop.
 */
void caller_server_reply(struct caller_server *server,
    struct caller_request *request, const Ibis__Reply *reply);

/*
 * Makes each following response close its connection, so that the balancer
 * reconnects to other instances.
 */
void caller_server_drain(struct caller_server *server);

/*
 * Drains the server and makes it refuse each new valid request with a 503 and
 * "not_run": true. Requests already posted still need a reply.
 */
void caller_server_refuse(struct caller_server *server);

/* Returns the number of requests whose response is not completely sent. */
uint32_t caller_server_open_requests(const struct caller_server *server);

/*
 * Stops accepting connections, responds to requests that have no reply yet with
 * a 504 (outcome unknown), waits a few seconds for responses to be sent, and
 * frees the server. The posted requests stay with their owner, who frees them.
 * NULL is allowed.
 */
void caller_server_stop(struct caller_server *server);

#endif
