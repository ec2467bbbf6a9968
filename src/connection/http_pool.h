/*
 * Concurrent, non-blocking HTTP calls from one thread. Connections are reused;
 * a connection on which a call timed out is closed. Built on libcurl, since
 * neon (http_client.h) occupies a thread for each waiting call.
 *
 * libcurl may resend a request on a new connection when a reused one was
 * closed, so every call must be safe to repeat.
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
	/* A complete response of any status was received, and the request was
	 * sent once, or is a GET, or the status is a success. */
	HTTP_RESPONDED,
	HTTP_NOT_SENT, /* never connected: nothing was sent */
	/*
	 * No complete response, one that is too long, or a failure in response
	 * to a request that was resent; the peer may have executed the request,
	 * or may do so later.
	 */
	HTTP_OUTCOME_UNKNOWN
};

/* All strings but body and headers are required. */
struct http_call {
	const char *method;
	const char *address; /* IP:PORT; a call to any other text is not sent */
	const char *path;    /* with query */
	const char *body;    /* JSON; NULL: none */
	size_t body_length;
	const char *headers[HTTP_POOL_HEADERS]; /* "Name: value" or NULL */
	/* For the whole call; with idle_timeout_ms, until the response's body
	 * begins. */
	int32_t timeout_ms;
	/* Longest time without a further byte of the body. Lets the response
	 * take as long as its size needs. 0: timeout_ms limits the whole call.
	 */
	int32_t idle_timeout_ms;
	/* A longer response ends the call, before its body is read when its
	 * header says so. 0: 8 MiB. */
	size_t max_response_bytes;
};

/* The result of a call; valid only during http_callback. */
struct http_result {
	enum http_outcome outcome;
	int32_t status;	       /* HTTP status; 0: none received */
	const char *body;      /* NUL-terminated; owned by the pool */
	size_t body_length;    /* also without a complete response */
	int64_t sent_ms;       /* clock_now_ms() when the call was begun */
	int64_t first_byte_ms; /* of the body; 0: none arrived */
	int64_t received_ms;   /* clock_now_ms() when it ended */
	/* The request was sent more than once; the response tells only what
	 * became of the last copy. */
	bool resent;
	bool too_long; /* the response was longer than the call allows */
};

/* Called once for each call that ends, from http_pool_wait. */
typedef void http_callback(void *context, const struct http_result *result);

/* Returns NULL and fills status (IBIS_INTERNAL) when resources run out. */
struct http_pool *http_pool_new(struct ibis_status *status);

/*
 * Frees the pool and drops its calls without calling http_callback. NULL is
 * allowed.
 */
void http_pool_free(struct http_pool *pool);

/*
 * Makes http_pool_wait return also when fd is readable. The caller reads and
 * closes fd.
 */
void http_pool_watch(struct http_pool *pool, int fd);

/* Returns whether an address is IP:PORT with a port that can be called. A call
 * to another one is not sent. */
bool http_pool_accepts(const char *address);

/*
 * Begins a call. Copies all that call points to. done is called later, from
 * http_pool_wait, also when the call can't be sent.
 */
void http_pool_call(struct http_pool *pool, const struct http_call *call,
    http_callback *done, void *context);

/* Waits up to timeout_ms for events and calls http_callback for the ended
 * calls. Returns how long handling the events took, in milliseconds. */
int64_t http_pool_wait(struct http_pool *pool, int64_t timeout_ms);

/* Returns how long http_pool_wait has waited for events in all, in
 * microseconds. */
int64_t http_pool_waited_us(const struct http_pool *pool);

#ifdef __cplusplus
}
#endif

#endif
