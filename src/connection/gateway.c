#include <inttypes.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <microhttpd.h>

#include "connection/address.h"
#include "connection/gateway.h"
#include "connection/http_unescape.h"
#include "connection/intake.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"

#define LISTEN_BACKLOG		1024
#define CONNECTION_MEMORY_BYTES (20U << 10)
#define MAX_LISTENERS		4
#define STOP_TIMEOUT_MS		1000
#define STOP_POLL_INTERVAL_MS	5
/* Connections above the limit, which are accepted and closed again. */
#define SURPLUS_CONNECTIONS 64
/* A longer body is not read to its end. */
#define MAX_DISCARDED_BYTES (8U << 20)
#define LOG_INTERVAL_MS	    1000
/* Retry-After of a request that a stopping instance refuses: others serve. */
#define REFUSED_RETRY_AFTER_MS 1000
#define MS_PER_S	       1000
#define NUMBER_BYTES	       24
#define BEARER_PREFIX	       "Bearer "

/* An HTTP request, from its first line until its response has been sent. */
struct gateway_exchange {
	struct MHD_Connection *connection;
	struct gateway_request *request; /* NULL once posted */
	struct gateway_connection *on;
	size_t discarded_bytes;
	bool too_large;
	bool discards_body; /* a request without one is meant */
	bool refused;	    /* the budget for bodies has no room for it */
	/* The response, filled before the connection is resumed. */
	int32_t status;
	struct buffer body;
	int64_t retry_after_ms;
	bool plain_text; /* text/plain instead of application/json */
	int64_t received_ms;
};

/* A connection, from its acceptance until it is closed. */
struct gateway_connection {
	struct intake_connection intake;
	int fd;
	struct gateway_exchange *exchange; /* NULL between requests */
};

/* An address that the gateway listens on. Its intake is used by its own thread
 * only. */
struct gateway_listener {
	struct gateway *gateway;
	struct MHD_Daemon *daemon;
	enum gateway_door door;
	struct intake intake;
	int64_t next_log_ms;
};

struct gateway {
	struct gateway_config config;
	struct event_queue *events;
	struct gateway_listener listeners[MAX_LISTENERS];
	size_t listeners_count;
	atomic_bool ready;
	atomic_bool draining;
	atomic_bool refusing;
	atomic_uint open_requests;
	atomic_uint posted_requests;
};

struct gateway *
gateway_new(const struct gateway_config *config, struct event_queue *events)
{
	struct gateway *gateway = mem_calloc(1, sizeof(*gateway));

	gateway->config = *config;
	gateway->events = events;
	return gateway;
}

static enum gateway_method
parse_method(const char *name)
{
	if (strcmp(name, MHD_HTTP_METHOD_GET) == 0)
		return GATEWAY_GET;
	if (strcmp(name, MHD_HTTP_METHOD_POST) == 0)
		return GATEWAY_POST;
	if (strcmp(name, MHD_HTTP_METHOD_DELETE) == 0)
		return GATEWAY_DELETE;
	return GATEWAY_OTHER;
}

static const char *
get_header(struct MHD_Connection *connection, const char *name)
{
	const char *value =
	    MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);

	return value == NULL ? "" : value;
}

/* Parses the time that a caller waits; the default if absent or invalid. */
static int64_t
parse_wait_ms(const struct gateway *gateway, const char *text)
{
	char *end;
	long long wait_ms = strtoll(text, &end, 10);

	if (end == text || *end != '\0' || wait_ms <= 0 || wait_ms > INT32_MAX)
		return gateway->config.default_deadline_ms;
	return wait_ms;
}

/* The request's texts are libmicrohttpd's, which keeps them until the response
 * has been sent. */
static struct gateway_request *
new_request(const struct gateway *gateway, struct MHD_Connection *connection,
    const char *method, const char *path)
{
	struct gateway_request *request = mem_calloc(1, sizeof(*request));
	const char *key = get_header(connection, MHD_HTTP_HEADER_AUTHORIZATION);

	request->method = parse_method(method);
	request->received_ms = clock_now_ms();
	request->deadline_ms = request->received_ms +
	    parse_wait_ms(gateway,
		get_header(connection, gateway->config.deadline_header));
	request->host = get_header(connection, MHD_HTTP_HEADER_HOST);
	request->path = path;
	request->key = strncmp(key, BEARER_PREFIX, strlen(BEARER_PREFIX)) == 0
	    ? key + strlen(BEARER_PREFIX)
	    : "";
	return request;
}

static void
free_request(struct gateway_request *request)
{
	if (request == NULL)
		return;
	buffer_free(&request->body);
	mem_free(request);
}

static void
count_response(int32_t status)
{
	if (status < 300)
		counter_add(COUNTER_ANSWERS_2XX, 1);
	else if (status == MHD_HTTP_TOO_MANY_REQUESTS)
		counter_add(COUNTER_ANSWERS_429, 1);
	else if (status < 500)
		counter_add(COUNTER_ANSWERS_4XX, 1);
	else
		counter_add(COUNTER_ANSWERS_5XX, 1);
}

static void
add_headers(const struct gateway *gateway,
    const struct gateway_exchange *exchange, struct MHD_Response *response)
{
	char text[NUMBER_BYTES];

	(void)MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
	    exchange->plain_text ? "text/plain" : "application/json");
	if (exchange->retry_after_ms > 0) {
		(void)snprintf(text, sizeof(text), "%" PRId64,
		    (exchange->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
		(void)MHD_add_response_header(
		    response, MHD_HTTP_HEADER_RETRY_AFTER, text);
	}
	if (atomic_load(&gateway->draining))
		(void)MHD_add_response_header(
		    response, MHD_HTTP_HEADER_CONNECTION, "close");
}

static enum MHD_Result
send_response(const struct gateway *gateway, struct gateway_exchange *exchange)
{
	size_t length = exchange->body.length;
	char *body = buffer_detach(&exchange->body);
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    length, body == NULL ? "" : body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	mem_free(body);
	if (response == NULL)
		return MHD_NO;
	add_headers(gateway, exchange, response);
	count_response(exchange->status);
	result = MHD_queue_response(
	    exchange->connection, (unsigned int)exchange->status, response);
	MHD_destroy_response(response);
	return result;
}

/* Answers a readiness probe or a metrics request; false if it is neither. */
static bool
answer_probe(struct gateway *gateway, struct gateway_exchange *exchange)
{
	const struct gateway_request *request = exchange->request;

	if (request->method != GATEWAY_GET)
		return false;
	if (strcmp(request->path, gateway->config.ready_path) == 0) {
		exchange->status = atomic_load(&gateway->ready)
		    ? MHD_HTTP_OK
		    : MHD_HTTP_SERVICE_UNAVAILABLE;
		return true;
	}
	if (request->internal &&
	    strcmp(request->path, gateway->config.metrics_path) == 0) {
		exchange->status = MHD_HTTP_OK;
		exchange->plain_text = true;
		counters_write(&exchange->body);
		return true;
	}
	return false;
}

/* Counts a request as posted, unless none may be any more. Counted first, so
 * that whoever has seen gateway_refuse return and then no posted request knows
 * that none follows. */
static bool
may_post(struct gateway *gateway)
{
	(void)atomic_fetch_add(&gateway->posted_requests, 1);
	if (!atomic_load(&gateway->refusing))
		return true;
	(void)atomic_fetch_sub(&gateway->posted_requests, 1);
	return false;
}

static enum MHD_Result
send_refusal(const struct gateway *gateway, struct gateway_exchange *exchange)
{
	exchange->status = MHD_HTTP_SERVICE_UNAVAILABLE;
	exchange->retry_after_ms = REFUSED_RETRY_AFTER_MS;
	return send_response(gateway, exchange);
}

/* Responds to a completely received request or posts it. */
static enum MHD_Result
process_request(
    struct gateway_listener *listener, struct gateway_exchange *exchange)
{
	struct gateway *gateway = listener->gateway;
	struct event event = {.kind = EVENT_GATEWAY};

	if (exchange->too_large) {
		exchange->status = MHD_HTTP_CONTENT_TOO_LARGE;
		return send_response(gateway, exchange);
	}
	if (exchange->refused)
		return send_refusal(gateway, exchange);
	if (answer_probe(gateway, exchange))
		return send_response(gateway, exchange);
	if (!may_post(gateway))
		return send_refusal(gateway, exchange);
	intake_set_busy(
	    &listener->intake, &exchange->on->intake, true, clock_now_ms());
	event.gateway = exchange->request;
	event.gateway->exchange = exchange;
	exchange->request = NULL;
	MHD_suspend_connection(exchange->connection);
	event_queue_post(gateway->events, &event);
	return MHD_YES;
}

static struct gateway_connection *
connection_of(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info->socket_context;
}

/* Writes a line at a bounded rate. */
static void
log_limit(struct gateway_listener *listener, const char *reason)
{
	int64_t now_ms = clock_now_ms();

	if (now_ms < listener->next_log_ms)
		return;
	listener->next_log_ms = now_ms + LOG_INTERVAL_MS;
	log_event(LOG_WARN, "callers_limited", "reason", reason, "connections",
	    log_number(listener->intake.connections), "body_bytes",
	    log_number((int64_t)listener->intake.bytes), NULL);
}

/* Frees the body of a request that is not served. */
static void
drop_body(struct gateway_listener *listener, struct gateway_exchange *exchange)
{
	buffer_free(&exchange->request->body);
	intake_release(&listener->intake, &exchange->on->intake);
}

/* Closes a connection that the intake has chosen. Its thread is this one, which
 * then reads the end of the connection. */
static void
close_connection(
    void *context, struct intake_connection *chosen, enum intake_reason reason)
{
	struct gateway_listener *listener = context;
	struct gateway_connection *connection = chosen->owner;
	struct gateway_exchange *exchange = connection->exchange;

	if (exchange != NULL && exchange->request != NULL) {
		exchange->refused = true;
		buffer_free(&exchange->request->body);
	}
	(void)shutdown(connection->fd, SHUT_RDWR);
	counter_add(reason == INTAKE_STALLED ? COUNTER_CONNECTIONS_CLOSED_BYTES
					     : COUNTER_CONNECTIONS_CLOSED_LIMIT,
	    1);
	log_limit(
	    listener, reason == INTAKE_STALLED ? "bodies" : "connections");
}

/* Called by libmicrohttpd for a new connection and for one that is gone. */
static void
notify_connection(void *context, struct MHD_Connection *connection,
    void **socket_context, enum MHD_ConnectionNotificationCode code)
{
	struct gateway_listener *listener = context;
	struct gateway_connection *known = *socket_context;
	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		intake_close(&listener->intake, &known->intake);
		mem_free(known);
		return;
	}
	known = mem_calloc(1, sizeof(*known));
	known->fd = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CONNECTION_FD)
			->connect_fd;
	*socket_context = known;
	intake_open(&listener->intake, &known->intake, known, clock_now_ms());
}

/* Returns whether the header says that the body is longer than allowed. */
static bool
announces_long_body(
    const struct gateway *gateway, struct MHD_Connection *connection)
{
	const char *text =
	    get_header(connection, MHD_HTTP_HEADER_CONTENT_LENGTH);

	return strtoull(text, NULL, 10) >
	    (unsigned long long)gateway->config.max_body_bytes;
}

/* Returns whether a request's body is not needed to answer it. */
static bool
discards_body(const struct gateway_listener *listener,
    const struct gateway_request *request)
{
	return listener->door == GATEWAY_PROBES ||
	    (listener->door == GATEWAY_CALLERS &&
		(request->method != GATEWAY_POST ||
		    strcmp(request->path,
			listener->gateway->config.ready_path) == 0));
}

static struct gateway_exchange *
begin_exchange(struct gateway_listener *listener,
    struct MHD_Connection *connection, const char *path, const char *method)
{
	struct gateway *gateway = listener->gateway;
	struct gateway_exchange *exchange = mem_calloc(1, sizeof(*exchange));

	exchange->connection = connection;
	exchange->on = connection_of(connection);
	exchange->on->exchange = exchange;
	exchange->request = new_request(gateway, connection, method, path);
	exchange->request->internal = listener->door == GATEWAY_INTERNAL;
	exchange->received_ms = exchange->request->received_ms;
	exchange->too_large = announces_long_body(gateway, connection);
	exchange->discards_body = discards_body(listener, exchange->request);
	(void)atomic_fetch_add(&gateway->open_requests, 1);
	intake_progress(
	    &listener->intake, &exchange->on->intake, exchange->received_ms);
	return exchange;
}

/* Stores a part of the body, or discards it: closing the connection early could
 * reset it before the caller reads the response. */
static enum MHD_Result
receive_body(struct gateway_listener *listener,
    struct gateway_exchange *exchange, const char *bytes, size_t length)
{
	struct gateway *gateway = listener->gateway;
	struct buffer *body = &exchange->request->body;

	if (body->length + length > (size_t)gateway->config.max_body_bytes) {
		exchange->too_large = true;
		drop_body(listener, exchange);
	}
	if (!exchange->too_large && !exchange->discards_body &&
	    !exchange->refused) {
		if (intake_take(&listener->intake, &exchange->on->intake,
			length, clock_now_ms())) {
			buffer_append(body, bytes, length);
			return MHD_YES;
		}
		exchange->refused = true;
		drop_body(listener, exchange);
		counter_add(COUNTER_REQUESTS_REFUSED_BYTES, 1);
		log_limit(listener, "bodies");
	}
	exchange->discarded_bytes += length;
	return exchange->discarded_bytes > MAX_DISCARDED_BYTES ? MHD_NO
							       : MHD_YES;
}

/*
 * Called by libmicrohttpd for a request's header, for each part of its body, at
 * its end, and again when its connection is resumed.
 */
static enum MHD_Result
handle_request(void *context, struct MHD_Connection *connection,
    const char *path, const char *method, const char *version,
    const char *bytes, size_t *length, void **request_context)
{
	struct gateway_listener *listener = context;
	struct gateway_exchange *exchange = *request_context;

	(void)version;
	if (exchange == NULL) {
		*request_context =
		    begin_exchange(listener, connection, path, method);
		return MHD_YES;
	}
	if (*length > 0) {
		size_t part = *length;

		*length = 0;
		return receive_body(listener, exchange, bytes, part);
	}
	if (exchange->request != NULL)
		return process_request(listener, exchange);
	intake_release(&listener->intake, &exchange->on->intake);
	intake_set_busy(
	    &listener->intake, &exchange->on->intake, false, clock_now_ms());
	return send_response(listener->gateway, exchange);
}

/* Called by libmicrohttpd when a response was sent or its connection failed. */
static void
request_completed(void *context, struct MHD_Connection *connection,
    void **request_context, enum MHD_RequestTerminationCode code)
{
	struct gateway_listener *listener = context;
	struct gateway *gateway = listener->gateway;
	struct gateway_exchange *exchange = *request_context;

	(void)connection;
	(void)code;
	if (exchange == NULL)
		return;
	*request_context = NULL;
	exchange->on->exchange = NULL;
	intake_release(&listener->intake, &exchange->on->intake);
	intake_set_busy(
	    &listener->intake, &exchange->on->intake, false, clock_now_ms());
	duration_observe(
	    HISTOGRAM_REQUEST, clock_now_ms() - exchange->received_ms);
	free_request(exchange->request);
	buffer_free(&exchange->body);
	mem_free(exchange);
	(void)atomic_fetch_sub(&gateway->open_requests, 1);
}

/* Returns the limits of a door. What other instances and operators send is not
 * limited. */
static struct intake_limits
door_limits(const struct gateway_config *config, enum gateway_door door)
{
	if (door == GATEWAY_INTERNAL)
		return (struct intake_limits){
		    .max_connections = config->max_connections,
		    .max_bytes = SIZE_MAX,
		};
	return (struct intake_limits){
	    .max_connections = door == GATEWAY_PROBES
		? config->max_probe_connections
		: config->max_connections,
	    .max_bytes = config->max_bodies_bytes,
	};
}

enum ibis_code
gateway_listen(struct gateway *gateway, const char *address,
    enum gateway_door door, struct ibis_status *status)
{
	struct gateway_listener *listener =
	    &gateway->listeners[gateway->listeners_count];
	struct intake_limits limits = door_limits(&gateway->config, door);
	int listen_fd;

	if (gateway->listeners_count == MAX_LISTENERS)
		return ibis_status_set(status, IBIS_INTERNAL, "listen", address,
		    "too many listening addresses");
	listen_fd = address_listen(address, LISTEN_BACKLOG, status);
	if (listen_fd < 0)
		return status->code;
	*listener = (struct gateway_listener){.gateway = gateway, .door = door};
	intake_init(&listener->intake, &limits, close_connection, listener);
	listener->daemon = MHD_start_daemon(
	    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
	    NULL, handle_request, listener, MHD_OPTION_LISTEN_SOCKET, listen_fd,
	    MHD_OPTION_CONNECTION_LIMIT,
	    limits.max_connections + SURPLUS_CONNECTIONS,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
	    MHD_OPTION_CONNECTION_TIMEOUT,
	    (unsigned int)gateway->config.idle_timeout_s,
	    MHD_OPTION_UNESCAPE_CALLBACK, http_unescape, NULL,
	    MHD_OPTION_NOTIFY_COMPLETED, request_completed, listener,
	    MHD_OPTION_NOTIFY_CONNECTION, notify_connection, listener,
	    MHD_OPTION_END);
	if (listener->daemon == NULL) {
		(void)close(listen_fd);
		return ibis_status_set(status, IBIS_INTERNAL, "listen", address,
		    "the HTTP server did not start");
	}
	gateway->listeners_count++;
	return IBIS_OK;
}

void
gateway_set_ready(struct gateway *gateway, bool ready)
{
	atomic_store(&gateway->ready, ready);
}

void
gateway_drain(struct gateway *gateway)
{
	atomic_store(&gateway->draining, true);
	atomic_store(&gateway->ready, false);
}

void
gateway_refuse(struct gateway *gateway)
{
	atomic_store(&gateway->refusing, true);
}

uint32_t
gateway_posted_requests(const struct gateway *gateway)
{
	return atomic_load(&gateway->posted_requests);
}

uint32_t
gateway_open_requests(const struct gateway *gateway)
{
	return atomic_load(&gateway->open_requests);
}

static void
resume_with_response(struct gateway *gateway, struct gateway_request *request,
    int32_t status, const void *bytes, size_t length, int64_t retry_after_ms)
{
	struct gateway_exchange *exchange = request->exchange;

	exchange->status = status;
	exchange->retry_after_ms = retry_after_ms;
	buffer_append(&exchange->body, bytes, length);
	free_request(request);
	MHD_resume_connection(exchange->connection);
	(void)atomic_fetch_sub(&gateway->posted_requests, 1);
}

void
gateway_reply(struct gateway *gateway, struct gateway_request *request,
    int32_t status, const char *body, int64_t retry_after_ms)
{
	if (body == NULL)
		body = "";
	resume_with_response(
	    gateway, request, status, body, strlen(body), retry_after_ms);
}

void
gateway_reply_refused(struct gateway *gateway, struct gateway_request *request)
{
	gateway_reply(gateway, request, MHD_HTTP_SERVICE_UNAVAILABLE, NULL,
	    REFUSED_RETRY_AFTER_MS);
}

void
gateway_reply_bytes(struct gateway *gateway, struct gateway_request *request,
    int32_t status, const void *bytes, size_t length)
{
	resume_with_response(gateway, request, status, bytes, length, 0);
}

void
gateway_stop(struct gateway *gateway)
{
	int64_t deadline_ms = clock_now_ms() + STOP_TIMEOUT_MS;

	if (gateway == NULL)
		return;
	while (
	    gateway_open_requests(gateway) > 0 && clock_now_ms() < deadline_ms)
		(void)poll(NULL, 0, STOP_POLL_INTERVAL_MS);
	for (size_t i = 0; i < gateway->listeners_count; i++)
		MHD_stop_daemon(gateway->listeners[i].daemon);
	mem_free(gateway);
}
