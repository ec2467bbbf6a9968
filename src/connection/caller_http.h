/*
 * HTTP server for callers and operators, over libmicrohttpd. A request is
 * parsed in a traffic thread, then waits suspended until the control thread
 * answers it; waiting costs no thread.
 */
#ifndef IBIS_CALLER_HTTP_H
#define IBIS_CALLER_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "ibistrestle.pb-c.h"
#include "process/event.h"

/* A request that waits for its answer. Only `request` may be read. */
struct caller_request {
	Ibis__Request *request;
	int64_t received_ms;
	struct caller_exchange *exchange; /* private to the server */
};

struct caller_server;

struct caller_server_config {
	const char *address; /* IP:PORT; port 0 any */
	int32_t max_body_bytes;
	int32_t max_connections;
	int32_t max_wait_ms;
};

struct caller_server *caller_server_start(
    const struct caller_server_config *config, struct event_queue *events,
    struct ibis_status *status);

/* The address listened on, with the real port; owned by the server. */
const char *caller_server_address(const struct caller_server *server);

/*
 * Answers a request and frees it. The reply stays the caller's. Renders the
 * reply to HTTP: status, Retry-After, ETag and a JSON body, or the answer's
 * bytes for REQUEST_ANSWER.
 */
void caller_server_reply(struct caller_server *server,
    struct caller_request *request, const Ibis__Reply *reply);

/* From now on each answer closes its connection, so that the balancer's
 * connections move away. */
void caller_server_drain(struct caller_server *server);

/* From now on each new request is refused as not run, by the traffic thread.
 * Those already posted are still to be answered. */
void caller_server_refuse(struct caller_server *server);

/* Number of requests not yet answered whole. */
uint32_t caller_server_open_requests(const struct caller_server *server);

/* Stops accepting, lets answers being sent finish, frees the server. Requests
 * never answered are told that their effect is not known. */
void caller_server_stop(struct caller_server *server);

#endif
