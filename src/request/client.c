/* Sends calls over HTTP, with failover and retries. */
#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "connection/http_client.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "request/client.h"

#define MIN_BACKOFF_MS 50
#define MAX_BACKOFF_MS 2000
#define MAX_HEADERS    3
#define IF_MATCH_BYTES 32
#define MS_PER_SECOND  1000
#define NS_PER_MS      1000000
#define MAX_JSON_DEPTH 64

enum http {
	HTTP_OK_FIRST = 200,
	HTTP_OK_LAST = 299,
	HTTP_BAD_REQUEST = 400,
	HTTP_NOT_FOUND = 404,
	HTTP_CONFLICT = 409,
	HTTP_PRECONDITION_FAILED = 412,
	HTTP_TOO_LARGE = 413,
	HTTP_UNPROCESSABLE = 422,
	HTTP_TOO_MANY = 429,
	HTTP_UNAVAILABLE = 503,
	HTTP_GATEWAY_TIMEOUT = 504
};

struct server {
	char *address;
	struct http_client *connection; /* NULL until used */
};

struct client {
	struct server *servers;
	size_t servers_count;
	size_t current;
	int32_t call_timeout_ms;
	int32_t retry_ms;
};

struct client *
client_new(const struct client_config *config)
{
	struct client *client = mem_calloc(1, sizeof(*client));

	client->servers_count = config->servers_count;
	client->servers =
	    mem_calloc(config->servers_count, sizeof(*client->servers));
	for (size_t i = 0; i < config->servers_count; i++)
		client->servers[i].address = mem_strdup(config->servers[i]);
	if (config->first_server < config->servers_count)
		client->current = config->first_server;
	client->call_timeout_ms = config->call_timeout_ms;
	client->retry_ms = config->retry_ms;
	return client;
}

void
client_free(struct client *client)
{
	if (client == NULL)
		return;
	for (size_t i = 0; i < client->servers_count; i++) {
		if (client->servers[i].connection != NULL)
			http_client_free(client->servers[i].connection);
		mem_free(client->servers[i].address);
	}
	mem_free(client->servers);
	mem_free(client);
}

const char *
client_server(const struct client *client)
{
	return client->servers[client->current].address;
}

void
client_json_free(struct json_object **object)
{
	(void)json_object_put(*object);
	*object = NULL;
}

const char *
client_string(struct json_object *object, const char *key, const char *fallback)
{
	struct json_object *member;

	if (!json_object_object_get_ex(object, key, &member) ||
	    !json_object_is_type(member, json_type_string))
		return fallback;
	return json_object_get_string(member);
}

int64_t
client_integer(struct json_object *object, const char *key, int64_t fallback)
{
	struct json_object *member;

	if (!json_object_object_get_ex(object, key, &member) ||
	    !json_object_is_type(member, json_type_int))
		return fallback;
	return json_object_get_int64(member);
}

void
client_answer_free(struct client_answer *answer)
{
	buffer_free(&answer->body);
	client_json_free(&answer->json);
	*answer = (struct client_answer){0};
}

void
client_escape(struct buffer *path, const char *text)
{
	for (const char *c = text; *c != '\0'; c++) {
		unsigned char byte = (unsigned char)*c;

		if (isalnum(byte) || strchr("-._~", byte) != NULL)
			buffer_append(path, c, 1);
		else
			buffer_printf(path, "%%%02X", byte);
	}
}

static void
sleep_ms(int64_t duration_ms)
{
	struct timespec duration = {
	    .tv_sec = duration_ms / MS_PER_SECOND,
	    .tv_nsec = duration_ms % MS_PER_SECOND * NS_PER_MS,
	};

	(void)nanosleep(&duration, NULL);
}

static enum ibis_code
code_from_http(int32_t http_status)
{
	if (http_status >= HTTP_OK_FIRST && http_status <= HTTP_OK_LAST)
		return IBIS_OK;
	switch (http_status) {
	case HTTP_BAD_REQUEST:
	case HTTP_TOO_LARGE:
	case HTTP_UNPROCESSABLE:
		return IBIS_INVALID;
	case HTTP_NOT_FOUND:
		return IBIS_NOT_FOUND;
	case HTTP_CONFLICT:
	case HTTP_PRECONDITION_FAILED:
		return IBIS_CONFLICT;
	case HTTP_TOO_MANY:
		return IBIS_LIMIT;
	case HTTP_UNAVAILABLE:
		return IBIS_UNAVAILABLE;
	case HTTP_GATEWAY_TIMEOUT:
		return IBIS_UNKNOWN;
	default:
		return IBIS_INTERNAL;
	}
}

static struct json_object *
parse_body(const struct buffer *body)
{
	struct json_tokener *tokener = json_tokener_new_ex(MAX_JSON_DEPTH);
	struct json_object *object;

	object = json_tokener_parse_ex(
	    tokener, buffer_string(body), (int)body->length + 1);
	json_tokener_free(tokener);
	return object;
}

/* Fills status from the error in a response's body. Its retry_after_ms replaces
 * the Retry-After header, which is rounded to seconds. */
static enum ibis_code
read_error(const struct client *client, struct client_answer *answer,
    struct ibis_status *status)
{
	enum ibis_code code = code_from_http(answer->http_status);
	const char *peer = "";
	struct json_object *error;

	if (!json_object_object_get_ex(answer->json, "error", &error))
		return ibis_status_set(status, code, "call",
		    client_server(client), "HTTP status %" PRId32,
		    answer->http_status);
	answer->retry_after_ms = client_integer(
	    answer->json, "retry_after_ms", answer->retry_after_ms);
	peer = client_string(error, "peer", "");
	return ibis_status_set(status, code,
	    client_string(error, "step", "call"),
	    *peer == '\0' ? client_server(client) : peer, "%s",
	    client_string(error, "message", "the error has no message"));
}

static struct http_client *
current_connection(struct client *client)
{
	struct server *server = &client->servers[client->current];

	if (server->connection == NULL)
		server->connection =
		    http_client_new(server->address, client->call_timeout_ms);
	return server->connection;
}

/* Sends a call once, to the current server. */
static enum ibis_code
send_once(struct client *client, const struct client_call *call,
    struct client_answer *answer, struct ibis_status *status)
{
	struct http_header headers[MAX_HEADERS] = {
	    {"Content-Type", "application/json"},
	};
	char if_match[IF_MATCH_BYTES];
	struct http_request request = {
	    .method = call->method,
	    .path = call->path,
	    .headers = headers,
	    .headers_count = 1,
	    .body = call->body,
	    .body_length = call->body == NULL ? 0 : strlen(call->body),
	};
	struct http_response response = {0};
	enum ibis_code code;

	if (call->idempotency_key != NULL)
		headers[request.headers_count++] = (struct http_header){
		    "Idempotency-Key", call->idempotency_key};
	if (call->has_if_match) {
		(void)snprintf(if_match, sizeof(if_match), "\"%" PRIu64 "\"",
		    call->if_match);
		headers[request.headers_count++] =
		    (struct http_header){"If-Match", if_match};
	}
	code = http_client_call(
	    current_connection(client), &request, &response, status);
	*answer = (struct client_answer){
	    .http_status = code == IBIS_OK ? response.status : 0,
	    .etag = response.etag,
	    .retry_after_ms = response.retry_after_ms,
	    .body = response.body,
	};
	if (code != IBIS_OK)
		return code;
	answer->json = parse_body(&answer->body);
	if (code_from_http(answer->http_status) == IBIS_OK)
		return IBIS_OK;
	return read_error(client, answer, status);
}

static bool
is_retryable(const struct client_call *call, enum ibis_code code)
{
	switch (code) {
	case IBIS_LIMIT:
	case IBIS_UNAVAILABLE:
		return true;
	case IBIS_UNKNOWN:
		return call->repeatable;
	default:
		return false;
	}
}

/* Returns the code of a call that is given up. A refused retry does not rule
 * out that an earlier attempt with unknown outcome took effect. */
static enum ibis_code
final_code(
    enum ibis_code code, bool unknown_outcome, struct ibis_status *status)
{
	if (unknown_outcome)
		status->code = IBIS_UNKNOWN;
	return unknown_outcome ? IBIS_UNKNOWN : code;
}

enum ibis_code
client_send(struct client *client, const struct client_call *call,
    struct client_answer *answer, struct ibis_status *status)
{
	int64_t end_ms = clock_now_ms() + client->retry_ms;
	int64_t backoff_ms = MIN_BACKOFF_MS;
	size_t servers_tried = 0;
	bool unknown_outcome = false;
	enum ibis_code code;

	for (;;) {
		int64_t pause_ms = 0;

		code = send_once(client, call, answer, status);
		unknown_outcome = unknown_outcome || code == IBIS_UNKNOWN;
		if (!is_retryable(call, code))
			return code;
		/* Every server is tried once before the first backoff,
		 * except when one requests a delay. */
		if (answer->retry_after_ms > 0) {
			pause_ms = answer->retry_after_ms;
		} else if (++servers_tried >= client->servers_count) {
			pause_ms = backoff_ms;
			backoff_ms *= 2;
			if (backoff_ms > MAX_BACKOFF_MS)
				backoff_ms = MAX_BACKOFF_MS;
		}
		/* Later calls also start at the next server. */
		client->current = (client->current + 1) % client->servers_count;
		if (clock_now_ms() + pause_ms >= end_ms)
			return final_code(code, unknown_outcome, status);
		client_answer_free(answer);
		sleep_ms(pause_ms);
	}
}

enum ibis_code
client_get(struct client *client, const char *path,
    struct client_answer *answer, struct ibis_status *status)
{
	struct client_call call = {
	    .method = "GET",
	    .path = path,
	    .repeatable = true,
	};

	return client_send(client, &call, answer, status);
}
