/*
 * HTTP calls to one peer, over neon. Used by one thread at a time. Each call
 * opens a connection of its own, and neon's resending is switched off, so that
 * a request goes out at most once and never over a connection gone silent.
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

struct http_request {
	const char *method;
	const char *path; /* with query */
	const struct http_header *headers;
	size_t headers_count;
	const void *body;
	size_t body_length;
};

struct http_response {
	int32_t status; /* 0 when there was no answer */
	uint64_t etag;	/* ETag as a number; 0 when there is none */
	int64_t retry_after_ms;
	struct buffer body;
};

/* address is IP:PORT. timeout_ms bounds connecting and each read; neon
 * rounds it up to whole seconds. A whole answer may take twice as long. */
struct http_client *http_client_new(const char *address, int32_t timeout_ms);
void http_client_free(struct http_client *client);

/*
 * Sends one request. IBIS_OK: an answer of any status came whole.
 * IBIS_UNAVAILABLE: the request was not sent. IBIS_UNKNOWN: it may have been
 * carried out. The caller frees response->body.
 */
enum ibis_code http_client_call(struct http_client *client,
    const struct http_request *request, struct http_response *response,
    struct ibis_status *status);

#ifdef __cplusplus
}
#endif

#endif
