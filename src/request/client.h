/*
 * Client of the instances' HTTP API, for command line and load programs. A
 * call goes to one of several equal instances and fails over to the next. Used
 * by one thread at a time.
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

struct client_config {
	const char *const *servers; /* IP:PORT each; copied */
	size_t servers_count;
	uint32_t first_server; /* index, below servers_count */
	int32_t call_timeout_ms;
	int32_t retry_ms; /* longest time spent on one call's retries */
};

struct client_call {
	const char *method;
	const char *path;	     /* with query */
	const char *idempotency_key; /* NULL: none */
	const char *body;	     /* NULL: none */
	uint64_t if_match;
	bool has_if_match;
	/* May be sent again when it is not known whether it was carried out. */
	bool repeatable;
};

/* What came back. Owned by the caller; free with client_answer_free. */
struct client_answer {
	int32_t http_status; /* 0: none */
	uint64_t etag;
	int64_t retry_after_ms;
	struct buffer body;
	struct json_object *json; /* the body parsed; NULL when not JSON */
};

struct client *client_new(const struct client_config *config);
void client_free(struct client *client);

/* Address of the server that the next call goes to; owned by the client. */
const char *client_server(const struct client *client);

/*
 * Carries out one call. A call that was not sent, or was refused for the time
 * being, is sent again to the next server after the Retry-After asked for; one
 * of unknown effect only when it is repeatable. IBIS_OK: the HTTP status is
 * 2xx. Otherwise status carries the step, peer and message of the error's
 * body, and answer what came last.
 */
enum ibis_code client_send(struct client *client,
    const struct client_call *call, struct client_answer *answer,
    struct ibis_status *status);

/* Reads path; client_send of a GET. */
enum ibis_code client_get(struct client *client, const char *path,
    struct client_answer *answer, struct ibis_status *status);

void client_answer_free(struct client_answer *answer);

/* Appends text to a path, percent-encoded. */
void client_escape(struct buffer *path, const char *text);

/* Return a member of an object, or the fallback when it is absent. Strings
 * are owned by the object. */
const char *client_string(
    struct json_object *object, const char *key, const char *fallback);
int64_t client_integer(
    struct json_object *object, const char *key, int64_t fallback);

/* Releases a reference; for CLEANUP. */
void client_json_free(struct json_object **object);

#endif
