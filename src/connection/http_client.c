#include <inttypes.h>
#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "connection/http_client.h"
#include "process/alloc.h"
#include "process/clock.h"

#define MS_PER_SECOND 1000
/* A body may take as long as at this rate, in addition to twice the timeout. */
#define MIN_BODY_BYTES_PER_S 65536
#define MAX_RESPONSE_BYTES   (64UL * 1024 * 1024)
#define MAX_PORT	     65535
#define HOST_BYTES	     64
#define DECIMAL		     10

struct http_client {
	char peer[IBIS_PEER_BYTES];
	ne_session *session;
	ne_inet_addr *address;
	const ne_inet_addr *addresses[1];
	int32_t timeout_ms;
	bool connected; /* whether the current call has connected */
};

/* Receives a response body, limited in size and time. */
struct body_reader {
	ne_session *session;
	struct buffer *body;
	int64_t deadline_ms;
};

static void
S_init_sockets(void)
{
	(void)ne_sock_init();
}

static void
S_on_status(
    void *context, ne_session_status status, const ne_session_status_info *info)
{
	struct http_client *client = context;

	(void)info;
	if (status == ne_status_connected)
		client->connected = true;
}

static bool
parse_address(const char *address, char host[HOST_BYTES], unsigned int *port)
{
	const char *colon = strrchr(address, ':');
	char *end;
	unsigned long value;

	if (colon == NULL || (size_t)(colon - address) >= HOST_BYTES)
		return false;
	value = strtoul(colon + 1, &end, DECIMAL);
	if (end == colon + 1 || *end != '\0' || value == 0 || value > MAX_PORT)
		return false;
	(void)string_copy_part(
	    host, HOST_BYTES, address, (size_t)(colon - address));
	*port = (unsigned int)value;
	return true;
}

static ne_inet_addr *
parse_host(char host[HOST_BYTES])
{
	size_t length = strlen(host);

	if (length < 2 || host[0] != '[' || host[length - 1] != ']')
		return ne_iaddr_parse(host, ne_iaddr_ipv4);
	host[length - 1] = '\0';
	return ne_iaddr_parse(host + 1, ne_iaddr_ipv6);
}

static void
open_session(struct http_client *client, const char *host, unsigned int port)
{
	int seconds = (client->timeout_ms + MS_PER_SECOND - 1) / MS_PER_SECOND;

	if (seconds < 1)
		seconds = 1;
	client->session = ne_session_create("http", host, port);
	client->addresses[0] = client->address;
	ne_set_addrlist(client->session, client->addresses, 1);
	ne_set_connect_timeout(client->session, seconds);
	ne_set_read_timeout(client->session, seconds);
	ne_set_notifier(client->session, S_on_status, client);
	/*
	 * The peer may have closed a persistent connection or stopped
	 * responding on it before the next request; that request's outcome
	 * would be unknown.
	 */
	ne_set_session_flag(client->session, NE_SESSFLAG_PERSIST, 0);
}

struct http_client *
http_client_new(const char *address, int32_t timeout_ms)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;
	struct http_client *client = mem_calloc(1, sizeof(*client));
	char host[HOST_BYTES];
	unsigned int port;

	(void)pthread_once(&once, S_init_sockets);
	STRING_SHORTEN(client->peer, address);
	client->timeout_ms = timeout_ms;
	if (!parse_address(address, host, &port))
		return client;
	client->address = parse_host(host);
	if (client->address != NULL)
		open_session(client, host, port);
	return client;
}

void
http_client_free(struct http_client *client)
{
	if (client == NULL)
		return;
	if (client->session != NULL)
		ne_session_destroy(client->session);
	if (client->address != NULL)
		ne_iaddr_free(client->address);
	mem_free(client);
}

/* Returns the time that the part of a body which has arrived may have taken. */
static int64_t
allowed_ms(const struct buffer *body)
{
	return (int64_t)(body->length * MS_PER_SECOND / MIN_BODY_BYTES_PER_S);
}

static int
S_read_block(void *context, const char *bytes, size_t length)
{
	struct body_reader *reader = context;

	if (reader->body->length + length > MAX_RESPONSE_BYTES) {
		ne_set_error(reader->session, "response too large");
		return NE_ERROR;
	}
	if (clock_now_ms() > reader->deadline_ms + allowed_ms(reader->body)) {
		ne_set_error(reader->session, "response too slow");
		return NE_ERROR;
	}
	if (length > 0)
		buffer_append(reader->body, bytes, length);
	return NE_OK;
}

static ne_request *
build_request(struct http_client *client, const struct http_request *request)
{
	ne_request *neon_request =
	    ne_request_create(client->session, request->method, request->path);

	for (size_t i = 0; i < request->headers_count; i++)
		ne_add_request_header(neon_request, request->headers[i].name,
		    request->headers[i].value);
	if (request->body_length > 0)
		ne_set_request_body_buffer(
		    neon_request, request->body, request->body_length);
	/* neon would resend a request with this flag on a new connection. */
	ne_set_request_flag(neon_request, NE_REQFLAG_IDEMPOTENT, 0);
	return neon_request;
}

/* Returns a response header as a number, with or without quotes; 0: absent. */
static uint64_t
parse_header_number(ne_request *request, const char *name)
{
	const char *value = ne_get_response_header(request, name);

	if (value == NULL)
		return 0;
	if (*value == '"')
		value++;
	return strtoull(value, NULL, DECIMAL);
}

static void
read_headers(ne_request *request, struct http_response *response)
{
	uint64_t retry_after_s = parse_header_number(request, "Retry-After");

	if (retry_after_s > INT32_MAX)
		retry_after_s = INT32_MAX;
	response->status = ne_get_status(request)->code;
	response->etag = parse_header_number(request, "ETag");
	response->retry_after_ms = (int64_t)retry_after_s * MS_PER_SECOND;
}

/* Closes the connection of a failed call and fills its status. */
static enum ibis_code
fail_call(struct http_client *client, const struct http_request *request,
    struct ibis_status *status)
{
	enum ibis_code code =
	    client->connected ? IBIS_UNKNOWN : IBIS_UNAVAILABLE;

	ne_close_connection(client->session);
	return ibis_status_set(status, code, "http", client->peer, "%s %s: %s",
	    request->method, request->path, ne_get_error(client->session));
}

enum ibis_code
http_client_call(struct http_client *client, const struct http_request *request,
    struct http_response *response, struct ibis_status *status)
{
	struct body_reader reader = {
	    .session = client->session,
	    .body = &response->body,
	    .deadline_ms = clock_now_ms() + 2 * (int64_t)client->timeout_ms,
	};
	ne_request *neon_request;
	int result;

	*response = (struct http_response){0};
	if (client->session == NULL)
		return ibis_status_set(status, IBIS_UNAVAILABLE, "http",
		    client->peer, "peer address \"%s\"; expected IP:PORT",
		    client->peer);
	client->connected = false;
	neon_request = build_request(client, request);
	ne_add_response_body_reader(
	    neon_request, ne_accept_always, S_read_block, &reader);
	result = ne_request_dispatch(neon_request);
	if (result == NE_OK)
		read_headers(neon_request, response);
	ne_request_destroy(neon_request);
	if (result == NE_OK)
		return IBIS_OK;
	buffer_free(&response->body);
	return fail_call(client, request, status);
}
