/*
 * HTTP server of the fakes, based on libmicrohttpd. Each connection has its own
 * thread, so a handler may block.
 */
#ifndef IBIS_FAKE_SERVER_H
#define IBIS_FAKE_SERVER_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/fake_link.h"
#include "process/buffer.h"

enum {
	FAKE_ADDRESS_BYTES = 64,
	FAKE_HASH_BYTES = 17
};

/* A complete request; all pointers are valid only during the handler call. */
struct fake_request {
	const char *method;
	const char *path; /* unescaped, without the query */
	const char *body; /* NUL-terminated */
	size_t body_length;
	int64_t connected_ms; /* when the connection was accepted */
	void *connection;     /* the struct MHD_Connection */
};

struct fake_reply {
	int32_t status; /* HTTP status, 200 before the handler runs */
	uint64_t etag;	/* sent as the ETag header if has_etag */
	bool has_etag;
	bool cut; /* close the connection without an answer */
	char answer_hash[FAKE_HASH_BYTES]; /* X-Answer-Hash header; "": none */
	struct buffer body;		   /* freed by the server */
	struct fake_link *link; /* that carries the body; NULL: unlimited */
};

/* Fills the reply to a request. Called from several threads at once. */
typedef void fake_handler(void *context, const struct fake_request *request,
    struct fake_reply *reply);

struct fake_server;

/*
 * Starts a server on listen, an IPv4 address and port as IP:PORT; port 0 picks
 * a free port. The context is passed to the handler and stays with the caller.
 * Returns NULL, with a message on stderr, when the address is invalid or in
 * use. Release it with fake_server_stop.
 */
struct fake_server *fake_server_start(
    const char *listen, fake_handler *handler, void *context);

/* Returns IP:PORT with the port in use; owned by the server. */
const char *fake_server_address(const struct fake_server *server);

/*
 * Stops and frees the server; NULL is ignored. Waits for running handlers, so
 * the caller first makes blocked handlers return (see fake_sleep).
 */
void fake_server_stop(struct fake_server *server);

/* Returns a query argument, or NULL when it is absent. Valid during the
 * handler call. */
const char *fake_request_query(
    const struct fake_request *request, const char *name);

/* Returns a header, or NULL when it is absent. Valid during the handler call.
 */
const char *fake_request_header(
    const struct fake_request *request, const char *name);

/* Returns a query argument as a decimal number, or fallback when it is absent.
 */
int64_t fake_request_number(
    const struct fake_request *request, const char *name, int64_t fallback);

/* Reads the revision from the If-Match header. Returns false when the header is
 * missing or has no number. */
bool fake_request_if_match(
    const struct fake_request *request, uint64_t *revision);

/* Sleeps for wait_ms; returns early once *stop is set. stop may be NULL. */
void fake_sleep(int64_t wait_ms, const atomic_bool *stop);

/* Sets the HTTP status and replaces the body by {"error": message}. The message
 * is not escaped. */
void fake_reply_error(
    struct fake_reply *reply, int32_t status, const char *message);

/* Blocks SIGINT and SIGTERM. Call it before any thread starts, so that all
 * threads inherit the mask and fake_wait_for_signal gets the signals. */
void fake_block_signals(void);

/* Prints "ready address=IP:PORT" on stdout and waits for SIGINT or SIGTERM. */
void fake_wait_for_signal(const struct fake_server *server);

#endif
