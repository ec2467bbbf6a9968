/*
 * Client of the instances' HTTP API, for the command line and the load
 * generator. A call goes to one of several equal instances and fails over to
 * the next. Not thread-safe: one thread at a time may use a client.
 */
#ifndef IBIS_CLIENT_H
#define IBIS_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "ibistrestle.h"
#include "process/buffer.h"

struct client;

/* Configuration of a client; copied by client_new. */
struct client_config {
	const char *const *servers; /* IP:PORT each; copied */
	size_t servers_count;
	uint32_t first_server;	 /* index of the server to try first */
	int32_t call_timeout_ms; /* of one attempt */
	int32_t retry_ms;	 /* longest time spent on one call's retries */
};

/* A call to send; its strings belong to the caller. */
struct client_call {
	const char *method;
	const char *path;	     /* percent-encoded, with the query */
	const char *idempotency_key; /* NULL: none */
	const char *body;	     /* NULL: none */
	uint64_t if_match;	     /* version or revision */
	bool has_if_match;
	/* Whether to retry when the outcome of an attempt is unknown. */
	bool repeatable;
};

/* The last HTTP response. Free with client_answer_free. */
struct client_answer {
	int32_t http_status; /* 0: no response */
	uint64_t etag;
	int64_t retry_after_ms; /* 0: none requested */
	struct buffer body;
	struct json_object *json; /* the parsed body; NULL if not JSON */
};

/* Creates a client; connects on the first call. Free with client_free. */
struct client *client_new(const struct client_config *config);

/* Closes the connections and frees the client, which may be NULL. */
void client_free(struct client *client);

/* Returns the address of the server that the next call goes to; owned by the
 * client. */
const char *client_server(const struct client *client);

/*
 * Sends one call, with retries for up to retry_ms. A call that was not sent or
 * was temporarily refused is retried on the next server, after the Retry-After
 * that was returned; one whose outcome is unknown only if it is repeatable.
 * Returns IBIS_OK when the HTTP status is 2xx. Otherwise fills status from the
 * error in the last response. When the time for retries is used up, returns
 * IBIS_UNKNOWN if the outcome of any attempt was unknown. answer holds the last
 * response; the caller frees it in either case.
 */
enum ibis_code client_send(struct client *client,
    const struct client_call *call, struct client_answer *answer,
    struct ibis_status *status);

/* Sends a repeatable GET of path; otherwise like client_send. */
enum ibis_code client_get(struct client *client, const char *path,
    struct client_answer *answer, struct ibis_status *status);

/* Frees what an answer holds and clears it. */
void client_answer_free(struct client_answer *answer);

/* Appends text to a path, percent-encoded. */
void client_escape(struct buffer *path, const char *text);

/* Return a member of an object, or the fallback when it is absent or of another
 * type. Strings are owned by the object. */
const char *client_string(
    struct json_object *object, const char *key, const char *fallback);
int64_t client_integer(
    struct json_object *object, const char *key, int64_t fallback);

/* Releases a reference to a JSON object and sets it to NULL; for CLEANUP. */
void client_json_free(struct json_object **object);

#endif
