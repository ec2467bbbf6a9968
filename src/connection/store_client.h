/*
 * Client of the platform's key-value service. Calls are queued from the
 * control thread and carried out by a few threads; each ends in EVENT_STORE.
 * This file and its header are the only place that knows the service's form.
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
	STORE_WATCH,  /* waits until the key's revision differs from expected */
	STORE_LIST    /* the platform's lagging list of instances and workers */
};

struct store_call {
	enum store_op op;
	char key[STORE_KEY_BYTES];
	struct buffer value;	    /* SWAP; taken over by the client */
	uint64_t expected_revision; /* 0: the key must not exist */
	int32_t lease_ms;	    /* SWAP: the key lapses after; 0 never */
	int32_t wait_ms;	    /* WATCH: longest wait */
	uint32_t owner;		    /* given back with the result */
	uint64_t token;		    /* given back with the result */
};

/* code: OK; CONFLICT (revision and value are what stands); NOT_FOUND;
 * UNAVAILABLE (nothing was done); UNKNOWN (a swap may have been done, as with
 * any answer of 500 and more); INVALID. */
struct store_result {
	enum store_op op;
	char key[STORE_KEY_BYTES];
	uint32_t owner;
	uint64_t token;
	enum ibis_code code;
	uint64_t revision;
	struct buffer value;
	int64_t sent_ms;
	int64_t received_ms;
	struct ibis_status status;
};

struct store_client;

struct store_client *store_client_start(const char *address, int32_t timeout_ms,
    struct event_queue *events, struct ibis_status *status);

/*
 * Queues a call; call->value is taken over. Calls on one key are carried out
 * in the order given, but for watches, which have threads of their own.
 */
void store_client_call(struct store_client *client, struct store_call *call);

/* Returns soon; calls not yet sent end as UNAVAILABLE. Results of calls in
 * flight may be dropped. */
void store_client_stop(struct store_client *client);

void store_result_free(struct store_result *result);

#endif
