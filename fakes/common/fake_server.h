/*
 * HTTP server of the fakes, over libmicrohttpd. Each connection has a thread,
 * so that a handler may block.
 */
#ifndef IBIS_FAKE_SERVER_H
#define IBIS_FAKE_SERVER_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/buffer.h"

enum {
	FAKE_ADDRESS_BYTES = 64,
	FAKE_HASH_BYTES = 17
};

/* A whole request; everything is valid during the handler only. */
struct fake_request {
	const char *method;
	const char *path; /* without query, unescaped */
	const char *body; /* NUL-terminated */
	size_t body_length;
	int64_t connected_ms; /* when its connection was accepted */
	void *connection;
};

struct fake_reply {
	int32_t status;
	uint64_t etag; /* used if has_etag */
	bool has_etag;
	bool cut; /* close the connection without an answer */
	char answer_hash[FAKE_HASH_BYTES];
	struct buffer body; /* freed by the server */
};

typedef void fake_handler(void *context, const struct fake_request *request,
    struct fake_reply *reply);

struct fake_server;

/* listen is IP:PORT, port 0 any. Returns NULL with a message on stderr. */
struct fake_server *fake_server_start(
    const char *listen, fake_handler *handler, void *context);

const char *fake_server_address(const struct fake_server *server);

/* Ends the server without waiting for blocked handlers' full time. */
void fake_server_stop(struct fake_server *server);

/* Returns a query argument or NULL. */
const char *fake_request_query(
    const struct fake_request *request, const char *name);

int64_t fake_request_number(
    const struct fake_request *request, const char *name, int64_t otherwise);

/* The revision in If-Match; false when there is none. */
bool fake_request_if_match(
    const struct fake_request *request, uint64_t *revision);

/* Sleeps up to wait_ms; returns early once *end is set. */
void fake_sleep(int64_t wait_ms, const atomic_bool *end);

/* Fills a reply with a status and a JSON error. */
void fake_reply_error(
    struct fake_reply *reply, int32_t status, const char *message);

/* Blocks SIGINT and SIGTERM, to be called before threads start. */
void fake_block_signals(void);

/* Prints the ready line and waits for SIGINT or SIGTERM. */
void fake_wait_for_signal(const struct fake_server *server);

#endif
