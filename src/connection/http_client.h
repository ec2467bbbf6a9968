/*
 * Blocking HTTP calls to one peer, built on neon. A client is used by one
 * thread at a time. Each call opens a new connection and neon's automatic
 * resend is disabled, so that a request is sent at most once and never over a
 * stale connection.
 */
#ifndef IBIS_HTTP_CLIENT_H
#define IBIS_HTTP_CLIENT_H

#include <stdint.h>

#include "ibistrestle.h"
#include "process/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

struct http_client;

struct http_header {
	const char *name;
	const char *value;
};

/* The caller keeps ownership of all that a request points to. */
struct http_request {
	const char *method;
	const char *path; /* with query */
	const struct http_header *headers;
	size_t headers_count;
	const void *body;
	size_t body_length;
};

/* Filled by http_client_call. */
struct http_response {
	int32_t status;		/* HTTP status; 0: no response */
	uint64_t etag;		/* ETag header as a number; 0: none */
	int64_t retry_after_ms; /* Retry-After header; 0: none */
	struct buffer body;
};

/*
 * Creates a client for the peer at address, IP:PORT; it does not connect yet.
 * timeout_ms limits connecting and each read, rounded up to whole seconds; a
 * complete response may take twice timeout_ms, and 1 s for each 64 KiB of its
 * body. Never returns NULL: with a
 * malformed address every call returns IBIS_UNAVAILABLE.
 */
struct http_client *http_client_new(const char *address, int32_t timeout_ms);

/* Frees a client; NULL is allowed. */
void http_client_free(struct http_client *client);

/*
 * Sends one request and waits for the response. Returns IBIS_OK when a complete
 * response of any HTTP status was received, IBIS_UNAVAILABLE when the request
 * was not sent, and IBIS_UNKNOWN when the peer may have executed it. status may
 * be NULL. The caller frees response->body with buffer_free.
 */
enum ibis_code http_client_call(struct http_client *client,
    const struct http_request *request, struct http_response *response,
    struct ibis_status *status);

#ifdef __cplusplus
}
#endif

#endif
