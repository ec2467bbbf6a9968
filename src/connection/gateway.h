/*
 * HTTP server of an instance whose requests are answered by the control
 * thread: it reads whole requests, holds their connections and hands them over
 * as EVENT_GATEWAY. Readiness and metrics are answered here at once.
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

enum {
	GATEWAY_HOST_BYTES = 128,
	GATEWAY_PATH_BYTES = 512,
	GATEWAY_KEY_BYTES = 128
};

struct gateway_exchange;

/* A request that waits for its answer; owned by whoever has the event. */
struct gateway_request {
	enum gateway_method method;
	bool internal; /* came to an internal address */
	char host[GATEWAY_HOST_BYTES];
	char path[GATEWAY_PATH_BYTES];
	char key[GATEWAY_KEY_BYTES]; /* bearer key; empty: none */
	int64_t deadline_ms;	     /* the caller waits until then */
	int64_t received_ms;
	struct buffer body;
	struct gateway_exchange *exchange;
};

struct gateway_config {
	const char *ready_path;
	const char *metrics_path;    /* at internal addresses only */
	const char *deadline_header; /* milliseconds that a caller waits */
	int32_t max_body_bytes;
	int32_t default_deadline_ms;
	int32_t idle_timeout_s;
	uint32_t max_connections;
};

struct gateway;

struct gateway *gateway_new(
    const struct gateway_config *config, struct event_queue *events);

/* Opens one more address; requests at an internal one are marked so. */
enum ibis_code gateway_listen(struct gateway *gateway, const char *address,
    bool internal, struct ibis_status *status);

/* What readiness says; from any thread. */
void gateway_set_ready(struct gateway *gateway, bool ready);

/* From now on connections are closed after their next answer. */
void gateway_drain(struct gateway *gateway);

/* Requests taken and not yet answered whole. */
uint32_t gateway_open_requests(const struct gateway *gateway);

/*
 * Answers a request and frees it. retry_after_ms of 0 sends no Retry-After.
 * body is a JSON text, or NULL.
 */
void gateway_reply(struct gateway *gateway, struct gateway_request *request,
    int32_t status, const char *body, int64_t retry_after_ms);

/* The same with an answer of any bytes. */
void gateway_reply_bytes(struct gateway *gateway,
    struct gateway_request *request, int32_t status, const void *bytes,
    size_t length);

/* Stops listening, waits briefly for open answers and frees the gateway. */
void gateway_stop(struct gateway *gateway);

#ifdef __cplusplus
}
#endif

#endif
