/*
 * Client of the platform's key-value service. The control thread queues calls,
 * a thread pool executes them, and each result is posted as EVENT_STORE. Only
 * this module knows the service's HTTP interface.
 */
#ifndef IBIS_STORE_CLIENT_H
#define IBIS_STORE_CLIENT_H

#include <stdint.h>

#include "ibistrestle.h"
#include "process/buffer.h"
#include "process/event.h"

enum {
	STORE_KEY_BYTES = 192
};

enum store_op {
	STORE_GET,
	STORE_SWAP,   /* compare-and-swap on the key's revision */
	STORE_DELETE, /* compare-and-delete */
	STORE_WATCH,  /* waits until the revision differs from expected */
	STORE_LIST    /* lists instances and workers; may be out of date */
};

/* A call to queue. Fields apply to the named operations, else to all. */
struct store_call {
	enum store_op op;
	char key[STORE_KEY_BYTES];
	struct buffer value;	    /* SWAP; the client takes ownership */
	uint64_t expected_revision; /* 0: the key must not exist */
	int32_t lease_ms; /* SWAP: the key expires after this; 0 never */
	int32_t wait_ms;  /* WATCH: maximum wait */
	uint32_t owner;	  /* copied to the result */
	uint64_t token;	  /* copied to the result */
};

/*
 * Result of a call. code is IBIS_OK; IBIS_CONFLICT (revision and value are the
 * current ones of the key); IBIS_NOT_FOUND; IBIS_UNAVAILABLE (nothing was
 * changed); IBIS_UNKNOWN (a swap or delete may have been executed, as after any
 * HTTP status of 500 or more); or IBIS_INVALID (the request was rejected). The
 * receiver frees it with store_result_free.
 */
struct store_result {
	enum store_op op;
	char key[STORE_KEY_BYTES];
	uint32_t owner;
	uint64_t token;
	enum ibis_code code;
	uint64_t revision;
	struct buffer value;
	int64_t sent_ms;     /* clock_now_ms() before the request */
	int64_t received_ms; /* clock_now_ms() after the response */
	struct ibis_status status;
};

struct store_client;

/*
 * Makes a client of the service at address (IP:PORT, copied). timeout_ms is the
 * timeout of each HTTP request (see http_client_new); a watch has its wait_ms
 * in addition. Results are posted to events.
 * Returns NULL and fills status when timeout_ms is not positive. Ended by
 * store_client_stop.
 */
struct store_client *store_client_start(const char *address, int32_t timeout_ms,
    struct event_queue *events, struct ibis_status *status);

/*
 * Queues a copy of a call and takes ownership of call->value. Calls on one key
 * are executed in the order queued, except watches, which run on separate
 * threads.
 */
void store_client_call(struct store_client *client, struct store_call *call);

/*
 * Stops and frees the client; waits only briefly for blocked calls. Calls not
 * yet sent end with IBIS_UNAVAILABLE; results of calls in flight may be
 * dropped. NULL is allowed.
 */
void store_client_stop(struct store_client *client);

/* Frees a result with its value; NULL is allowed. */
void store_result_free(struct store_result *result);

#endif
