#include <inttypes.h>
#include <neon/ne_alloc.h>
#include <neon/ne_uri.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "connection/call_pool.h"
#include "connection/http_client.h"
#include "connection/store_client.h"
#include "process/alloc.h"
#include "process/clock.h"

#define ADDRESS_BYTES		 64
#define PATH_BYTES		 (3 * STORE_KEY_BYTES + 64)
#define REVISION_TEXT_BYTES	 32
#define CALL_POOLS		 64
#define MAX_WATCH_THREADS	 16
#define HTTP_OK			 200
#define HTTP_NOT_FOUND		 404
#define HTTP_PRECONDITION_FAILED 412
#define HTTP_TOO_LARGE		 413
#define HTTP_SERVER_ERROR	 500

/*
 * Each of call_pools has one thread, and a key's hash selects the pool, so that
 * calls on one key are executed in order. Watches run in watch_pool, since they
 * would block the other calls for long.
 */
struct store_client {
	char address[ADDRESS_BYTES];
	int32_t timeout_ms;
	struct call_pool *call_pools[CALL_POOLS];
	struct call_pool *watch_pool;
};

/* A queued call; self-contained, since it may outlive the client. */
struct pending_call {
	struct store_call call;
	char address[ADDRESS_BYTES];
	int32_t timeout_ms;
};

void
store_result_free(struct store_result *result)
{
	if (result == NULL)
		return;
	buffer_free(&result->value);
	mem_free(result);
}

static const char *
op_method(enum store_op op)
{
	switch (op) {
	case STORE_SWAP:
		return "PUT";
	case STORE_DELETE:
		return "DELETE";
	case STORE_GET:
	case STORE_WATCH:
	case STORE_LIST:
		return "GET";
	}
	return "GET";
}

static const char *
op_name(enum store_op op)
{
	switch (op) {
	case STORE_GET:
		return "store_get";
	case STORE_SWAP:
		return "store_swap";
	case STORE_DELETE:
		return "store_delete";
	case STORE_WATCH:
		return "store_watch";
	case STORE_LIST:
		return "store_list";
	}
	return "store";
}

static void
format_path(const struct store_call *call, char path[PATH_BYTES])
{
	char *key = ne_path_escape(call->key);

	if (call->op == STORE_LIST)
		(void)snprintf(path, PATH_BYTES, "/v1/list");
	else if (call->op == STORE_WATCH)
		(void)snprintf(path, PATH_BYTES,
		    "/v1/kv/%s?watch=%" PRIu64 "&wait_ms=%" PRId32, key,
		    call->expected_revision, call->wait_ms);
	else if (call->op == STORE_SWAP && call->lease_ms > 0)
		(void)snprintf(path, PATH_BYTES, "/v1/kv/%s?lease_ms=%" PRId32,
		    key, call->lease_ms);
	else
		(void)snprintf(path, PATH_BYTES, "/v1/kv/%s", key);
	ne_free(key);
}

static bool
is_write(enum store_op op)
{
	return op == STORE_SWAP || op == STORE_DELETE;
}

static enum ibis_code
code_of_status(const struct store_call *call, int32_t status)
{
	if (status == HTTP_OK)
		return IBIS_OK;
	if (status == HTTP_NOT_FOUND)
		return IBIS_NOT_FOUND;
	if (status == HTTP_PRECONDITION_FAILED)
		return IBIS_CONFLICT;
	if (status == HTTP_TOO_LARGE)
		return IBIS_INVALID;
	/* The service may have executed a write before it failed. */
	if (status >= HTTP_SERVER_ERROR && is_write(call->op))
		return IBIS_UNKNOWN;
	return status >= HTTP_SERVER_ERROR ? IBIS_UNAVAILABLE : IBIS_INVALID;
}

static enum ibis_code
parse_response(const struct store_call *call, struct http_response *response,
    struct store_result *result)
{
	enum ibis_code code = code_of_status(call, response->status);

	if (code == IBIS_OK && call->op != STORE_LIST &&
	    call->op != STORE_DELETE && response->etag == 0)
		code = is_write(call->op) ? IBIS_UNKNOWN : IBIS_UNAVAILABLE;
	if (code != IBIS_OK)
		(void)ibis_status_set(&result->status, code, op_name(call->op),
		    result->status.peer, "%s: HTTP status %" PRId32, call->key,
		    response->status);
	result->revision = response->etag;
	result->value = response->body;
	response->body = (struct buffer){0};
	if (code == IBIS_NOT_FOUND)
		buffer_clear(&result->value);
	return code;
}

static void
send_call(const struct pending_call *pending, struct store_result *result)
{
	const struct store_call *call = &pending->call;
	int32_t timeout_ms =
	    pending->timeout_ms + (call->op == STORE_WATCH ? call->wait_ms : 0);
	struct http_client *http =
	    http_client_new(pending->address, timeout_ms);
	char path[PATH_BYTES];
	char revision[REVISION_TEXT_BYTES];
	struct http_header if_match = {"If-Match", revision};
	struct http_request request = {
	    .method = op_method(call->op),
	    .path = path,
	    .headers = &if_match,
	    .headers_count = is_write(call->op) ? 1 : 0,
	    .body = call->value.data,
	    .body_length = call->op == STORE_SWAP ? call->value.length : 0,
	};
	struct http_response response;

	format_path(call, path);
	(void)snprintf(revision, sizeof(revision), "\"%" PRIu64 "\"",
	    call->expected_revision);
	result->code =
	    http_client_call(http, &request, &response, &result->status);
	if (result->code == IBIS_OK)
		result->code = parse_response(call, &response, result);
	/* A failed read changed nothing, so it is never IBIS_UNKNOWN. */
	else if (!is_write(call->op))
		result->code = IBIS_UNAVAILABLE;
	http_client_free(http);
}

static bool
S_run_call(void *context, bool cancelled, struct event *event)
{
	struct pending_call *pending = context;
	struct store_result *result = mem_calloc(1, sizeof(*result));

	result->op = pending->call.op;
	STRING_COPY(result->key, pending->call.key);
	result->owner = pending->call.owner;
	result->token = pending->call.token;
	STRING_SHORTEN(result->status.peer, pending->address);
	result->sent_ms = clock_now_ms();
	if (cancelled)
		result->code = ibis_status_set(&result->status,
		    IBIS_UNAVAILABLE, op_name(result->op), pending->address,
		    "%s: the client has stopped", result->key);
	else
		send_call(pending, result);
	result->received_ms = clock_now_ms();
	buffer_free(&pending->call.value);
	mem_free(pending);
	event->kind = EVENT_STORE;
	event->store = result;
	return true;
}

static void
S_drop_result(struct event *event)
{
	store_result_free(event->store);
}

struct store_client *
store_client_start(const char *address, int32_t timeout_ms,
    struct event_queue *events, struct ibis_status *status)
{
	struct call_pool_config config = {
	    .max_threads = 1,
	    .events = events,
	    .run = S_run_call,
	    .drop = S_drop_result,
	};
	struct store_client *client;

	if (timeout_ms <= 0) {
		(void)ibis_status_set(status, IBIS_INVALID, "store_start",
		    address, "timeout_ms must be positive");
		return NULL;
	}
	client = mem_calloc(1, sizeof(*client));
	STRING_COPY(client->address, address);
	client->timeout_ms = timeout_ms;
	for (size_t i = 0; i < CALL_POOLS; i++)
		client->call_pools[i] = call_pool_new(&config);
	config.max_threads = MAX_WATCH_THREADS;
	client->watch_pool = call_pool_new(&config);
	return client;
}

void
store_client_call(struct store_client *client, struct store_call *call)
{
	struct pending_call *pending = mem_calloc(1, sizeof(*pending));
	uint64_t hash;

	pending->call = *call;
	call->value = (struct buffer){0};
	STRING_COPY(pending->address, client->address);
	pending->timeout_ms = client->timeout_ms;
	if (pending->call.op == STORE_WATCH) {
		call_pool_add(client->watch_pool, pending);
		return;
	}
	hash = XXH64(pending->call.key, strlen(pending->call.key), 0);
	call_pool_add(client->call_pools[hash % CALL_POOLS], pending);
}

void
store_client_stop(struct store_client *client)
{
	if (client == NULL)
		return;
	call_pool_stop(client->watch_pool);
	for (size_t i = 0; i < CALL_POOLS; i++)
		call_pool_stop(client->call_pools[i]);
	mem_free(client);
}
