/*
 * HTTP calls to other machines from one thread, without blocking: connections
 * are kept, each call has a time limit in milliseconds, and a connection on
 * which a call has run out of time is closed. libcurl carries it: neon, which
 * the other clients use, holds a thread for each call that waits.
 *
 * The library may send a request again on a new connection when a kept one has
 * been closed: every call has to be safe for that.
 */
#ifndef IBIS_HTTP_POOL_H
#define IBIS_HTTP_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "process/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	HTTP_POOL_HEADERS = 4
};

struct http_pool;

enum http_outcome {
	HTTP_ANSWERED,
	HTTP_NOT_SENT, /* no connection: the request has not left */
	HTTP_NO_ANSWER /* it may have been carried out, or may be later */
};

struct http_call {
	const char *method;
	const char *address; /* IP:PORT; others are not sent */
	const char *path;    /* with its query */
	const char *body;    /* JSON; NULL: none */
	size_t body_length;
	const char *headers[HTTP_POOL_HEADERS]; /* "Name: value" or NULL */
	int32_t timeout_ms;
};

struct http_answer {
	enum http_outcome outcome;
	int32_t status;
	const char *body; /* NUL-terminated; the pool's */
	size_t body_length;
	int64_t sent_ms;
	int64_t received_ms;
};

/* Called once for each call, from http_pool_wait. */
typedef void http_done(void *context, const struct http_answer *answer);

struct http_pool *http_pool_new(struct ibis_status *status);

/* Ends all calls without a word and frees the pool. */
void http_pool_free(struct http_pool *pool);

/* Also wakes http_pool_wait when this descriptor can be read. */
void http_pool_watch(struct http_pool *pool, int fd);

/* Begins a call; everything it points at is copied. */
void http_pool_call(struct http_pool *pool, const struct http_call *call,
    http_done *done, void *context);

/* Waits for at most timeout_ms and handles what has come. */
void http_pool_wait(struct http_pool *pool, int64_t timeout_ms);

#ifdef __cplusplus
}
#endif

#endif
