/*
 * HTTP server whose requests are answered by the control thread: it receives a
 * complete request, suspends its connection and posts the request as
 * EVENT_GATEWAY. Readiness probes and metrics are answered directly.
 */
#ifndef IBIS_GATEWAY_H
#define IBIS_GATEWAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "process/buffer.h"
#include "process/event.h"

#ifdef __cplusplus
extern "C" {
#endif

enum gateway_method {
	GATEWAY_GET,
	GATEWAY_POST,
	GATEWAY_DELETE,
	GATEWAY_OTHER
};

/* Who calls at an address. */
enum gateway_door {
	GATEWAY_CALLERS,
	GATEWAY_PROBES,	 /* readiness only; bodies are discarded */
	GATEWAY_INTERNAL /* operators and other instances; not limited */
};

struct gateway_exchange;

/*
 * A request that waits for its reply. The receiver of the event owns it and
 * passes it to gateway_reply or gateway_reply_bytes. Its texts are whole, of
 * any length that the connection's buffer holds, and valid as long as it.
 */
struct gateway_request {
	enum gateway_method method;
	bool internal;	  /* received at an internal address */
	const char *host; /* empty: none */
	const char *path;
	const char *key;     /* bearer token; empty: none */
	int64_t deadline_ms; /* clock_now_ms() when the caller stops waiting */
	int64_t received_ms; /* clock_now_ms() */
	struct buffer body;
	struct gateway_exchange *exchange; /* private to the gateway */
};

/* The strings must outlive the gateway. */
struct gateway_config {
	const char *ready_path;
	const char *metrics_path;    /* at internal addresses only */
	const char *deadline_header; /* header: milliseconds a caller waits */
	int32_t max_body_bytes;	     /* a longer body gets a 413 */
	int32_t default_deadline_ms; /* if the header is absent or invalid */
	int32_t idle_timeout_s;
	/* For each address. Above it, the connections that have been without
	 * progress for the longest are closed. */
	uint32_t max_connections;
	uint32_t max_probe_connections; /* the same for GATEWAY_PROBES */
	/* Of all bodies of callers' requests together. A request that does not
	 * fit gets 503, or callers that have stalled are disconnected. */
	size_t max_bodies_bytes;
};

struct gateway;

/*
 * Creates a gateway that posts its requests to events, which must outlive it.
 * It listens on no address yet. Never returns NULL.
 */
struct gateway *gateway_new(
    const struct gateway_config *config, struct event_queue *events);

/*
 * Starts serving one more address, IP:PORT. Requests received there have
 * `internal` set for GATEWAY_INTERNAL. status must not be NULL; it is filled on
 * failure: IBIS_INVALID when the address is malformed, IBIS_UNAVAILABLE when it
 * can't be listened on, IBIS_INTERNAL when there are too many addresses or the
 * HTTP library fails.
 */
enum ibis_code gateway_listen(struct gateway *gateway, const char *address,
    enum gateway_door door, struct ibis_status *status);

/* Sets the result of readiness probes; may be called from any thread. */
void gateway_set_ready(struct gateway *gateway, bool ready);

/* Sets readiness to false and makes each response close its connection. */
void gateway_drain(struct gateway *gateway);

/* Makes the gateway answer requests that arrive from now on with 503 by itself:
 * it posts none any more. */
void gateway_refuse(struct gateway *gateway);

/* Returns the number of posted requests that have had no reply. */
uint32_t gateway_posted_requests(const struct gateway *gateway);

/* Returns the number of requests whose response is not completely sent. */
uint32_t gateway_open_requests(const struct gateway *gateway);

/*
 * Sends the response to a request and frees the request. status is an HTTP
 * status. body is JSON text, copied; NULL sends an empty body. A
 * retry_after_ms of 0 sends no Retry-After header.
 */
void gateway_reply(struct gateway *gateway, struct gateway_request *request,
    int32_t status, const char *body, int64_t retry_after_ms);

/* Sends what gateway_refuse sends. */
void gateway_reply_refused(
    struct gateway *gateway, struct gateway_request *request);

/* Like gateway_reply, with a body of length bytes and no Retry-After. */
void gateway_reply_bytes(struct gateway *gateway,
    struct gateway_request *request, int32_t status, const void *bytes,
    size_t length);

/*
 * Waits briefly for open requests to be answered, stops listening and frees the
 * gateway. All posted requests must have had their reply. NULL is allowed.
 */
void gateway_stop(struct gateway *gateway);

#ifdef __cplusplus
}
#endif

#endif
