#include <inttypes.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <microhttpd.h>

#include "connection/address.h"
#include "connection/api.h"
#include "connection/caller_http.h"
#include "connection/http_unescape.h"
#include "connection/intake.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/proto_memory.h"

#define RECEIVE_STEP		"receive"
#define LISTEN_BACKLOG		1024
#define MAX_REFUSED_CONNECTIONS 256 /* over max_connections, to get a 503 */
#define RESERVED_DESCRIPTORS	256 /* for peers, store and workers */
#define CONNECTION_MEMORY_BYTES (16U << 10)
#define IDLE_TIMEOUT_S		300
#define MAX_DISCARDED_BYTES	(64U << 20) /* more closes the connection */
#define OVERLOAD_RETRY_MS	1000
/* A connection without progress for this long gives way to a new one. */
#define IDLE_MS		       1000
#define STOP_TIMEOUT_MS	       5000
#define STOP_POLL_INTERVAL_MS  2
#define MS_PER_S	       1000
#define HEADER_BYTES	       32
#define HTTP_CONTENT_TOO_LARGE 413

/* An HTTP request, from its first line until its response has been sent. */
struct caller_exchange {
	struct MHD_Connection *connection;
	bool suspended; /* request posted; resumed when output is filled */
	struct buffer body;
	size_t body_bytes; /* received, including discarded bytes */
	struct caller_connection *on;
	bool refused;  /* the budget for bodies has no room for it */
	uint32_t slot; /* slots_count: none */
	int64_t received_ms;
	struct api_output output;
};

/* A connection, from its acceptance until it is closed. */
struct caller_connection {
	struct intake_connection intake;
	struct caller_exchange *exchange; /* NULL between requests */
	int fd;
	bool over_limit; /* accepted above the limit, to get a 503 */
};

/* Holds a request that waits for its reply. */
struct slot {
	_Atomic(struct caller_exchange *) exchange; /* NULL once claimed */
	uint32_t next_free; /* index; used by the I/O thread only */
};

/*
 * The I/O thread is started by libmicrohttpd. A waiting exchange can be
 * resumed by a reply or by caller_server_stop: the one that first removes it
 * from its slot, by an atomic exchange, sends the response.
 */
struct caller_server {
	struct MHD_Daemon *daemon;
	struct event_queue *events;
	struct caller_server_config config;
	char address[ADDRESS_TEXT_BYTES];
	struct slot *slots;
	uint32_t slots_count;
	/* Used by the I/O thread only. */
	uint32_t first_free; /* slots_count: none */
	struct intake intake;
	/* Shared between threads. */
	atomic_uint open_requests;
	atomic_bool draining;
	atomic_bool refusing;
	atomic_bool stopping;
};

/* Sets an error response that does not come from the control thread. */
static void
set_error(struct caller_exchange *exchange, enum ibis_code code,
    int32_t http_status, int64_t retry_after_ms, const char *message)
{
	struct ibis_status status;

	(void)ibis_status_set(&status, code, RECEIVE_STEP, NULL, "%s", message);
	api_render_error(
	    &status, http_status, retry_after_ms, &exchange->output);
}

static void
add_headers(const struct caller_server *server, const struct api_output *output,
    struct MHD_Response *response, bool close)
{
	char text[HEADER_BYTES];

	(void)MHD_add_response_header(
	    response, MHD_HTTP_HEADER_CONTENT_TYPE, output->content_type);
	if (output->retry_after_ms > 0) {
		(void)snprintf(text, sizeof(text), "%" PRId64,
		    (output->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
		(void)MHD_add_response_header(
		    response, MHD_HTTP_HEADER_RETRY_AFTER, text);
	}
	if (output->etag != 0) {
		(void)snprintf(
		    text, sizeof(text), "\"%" PRIu64 "\"", output->etag);
		(void)MHD_add_response_header(
		    response, MHD_HTTP_HEADER_ETAG, text);
	}
	if (output->content_hash != 0) {
		(void)snprintf(
		    text, sizeof(text), "%016" PRIx64, output->content_hash);
		(void)MHD_add_response_header(response, "X-Answer-Hash", text);
	}
	if (close || atomic_load(&server->draining))
		(void)MHD_add_response_header(
		    response, MHD_HTTP_HEADER_CONNECTION, "close");
}

static enum counter
response_counter(int32_t http_status)
{
	if (http_status == MHD_HTTP_TOO_MANY_REQUESTS)
		return COUNTER_ANSWERS_429;
	if (http_status >= MHD_HTTP_INTERNAL_SERVER_ERROR)
		return COUNTER_ANSWERS_5XX;
	if (http_status >= MHD_HTTP_BAD_REQUEST)
		return COUNTER_ANSWERS_4XX;
	return COUNTER_ANSWERS_2XX;
}

/* Queues the exchange's output as the response and records it in metrics. */
static enum MHD_Result
send_response(const struct caller_server *server,
    struct caller_exchange *exchange, bool close)
{
	struct api_output *output = &exchange->output;
	unsigned int status = (unsigned int)output->http_status;
	struct MHD_Response *response;
	enum MHD_Result result;
	size_t length = output->body.length;

	response = MHD_create_response_from_buffer_with_free_callback(
	    length, buffer_detach(&output->body), mem_free);
	if (response == NULL)
		return MHD_NO;
	add_headers(server, output, response, close);
	counter_add(response_counter(output->http_status), 1);
	duration_observe(
	    HISTOGRAM_REQUEST, clock_now_ms() - exchange->received_ms);
	result = MHD_queue_response(exchange->connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static struct caller_connection *
connection_of(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info->socket_context;
}

static struct caller_exchange *
exchange_new(struct caller_server *server, struct MHD_Connection *connection)
{
	struct caller_exchange *exchange = mem_calloc(1, sizeof(*exchange));

	exchange->connection = connection;
	exchange->slot = server->slots_count;
	exchange->received_ms = clock_now_ms();
	exchange->on = connection_of(connection);
	exchange->on->exchange = exchange;
	intake_progress(
	    &server->intake, &exchange->on->intake, exchange->received_ms);
	(void)atomic_fetch_add(&server->open_requests, 1);
	return exchange;
}

static bool
take_slot(struct caller_server *server, struct caller_exchange *exchange)
{
	if (server->first_free == server->slots_count)
		return false;
	exchange->slot = server->first_free;
	server->first_free = server->slots[exchange->slot].next_free;
	return true;
}

static void
return_slot(struct caller_server *server, struct caller_exchange *exchange)
{
	if (exchange->slot == server->slots_count)
		return;
	server->slots[exchange->slot].next_free = server->first_free;
	server->first_free = exchange->slot;
}

static void
drop_body(struct caller_server *server, struct caller_exchange *exchange)
{
	buffer_free(&exchange->body);
	intake_release(&server->intake, &exchange->on->intake);
}

/* Closes a connection that the intake has chosen. Its thread is this one, which
 * then reads the end of the connection. */
static void
close_connection(
    void *context, struct intake_connection *chosen, enum intake_reason reason)
{
	struct caller_connection *connection = chosen->owner;

	(void)context;
	if (connection->exchange != NULL) {
		connection->exchange->refused = true;
		buffer_free(&connection->exchange->body);
	}
	(void)shutdown(connection->fd, SHUT_RDWR);
	counter_add(reason == INTAKE_STALLED ? COUNTER_CONNECTIONS_CLOSED_BYTES
					     : COUNTER_CONNECTIONS_CLOSED_LIMIT,
	    1);
}

/*
 * Stores a part of the body. A body over its limit is still read, but
 * discarded: closing the connection early could reset it before the caller
 * reads the error response.
 */
static enum MHD_Result
receive_body(struct caller_server *server, struct caller_exchange *exchange,
    const char *bytes, size_t *length)
{
	size_t limit = (size_t)server->config.max_body_bytes;

	exchange->body_bytes += *length;
	if (exchange->body_bytes > limit) {
		drop_body(server, exchange);
	} else if (!exchange->refused) {
		if (intake_take(&server->intake, &exchange->on->intake, *length,
			clock_now_ms())) {
			buffer_append(&exchange->body, bytes, *length);
		} else {
			exchange->refused = true;
			drop_body(server, exchange);
			counter_add(COUNTER_REQUESTS_REFUSED_BYTES, 1);
		}
	}
	*length = 0;
	return exchange->body_bytes > MAX_DISCARDED_BYTES ? MHD_NO : MHD_YES;
}

static Ibis__Request *
parse_request(const struct caller_server *server,
    const struct caller_exchange *exchange, const char *method,
    const char *path, struct ibis_status *status)
{
	struct MHD_Connection *connection = exchange->connection;
	struct api_input input = {
	    .method = method,
	    .path = path,
	    .wait_ms = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, "wait_ms"),
	    .dry_run = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, "dry_run"),
	    .if_match = MHD_lookup_connection_value(
		connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_IF_MATCH),
	    .idempotency_key = MHD_lookup_connection_value(
		connection, MHD_HEADER_KIND, "Idempotency-Key"),
	    .body = exchange->body.data,
	    .body_length = exchange->body.length,
	    .max_wait_ms = server->config.max_wait_ms,
	};

	return api_parse(&input, status);
}

/* Takes an exchange out of its slot; NULL if another thread has taken it. */
static struct caller_exchange *
claim_exchange(struct caller_server *server, uint32_t slot)
{
	return atomic_exchange(&server->slots[slot].exchange, NULL);
}

static void
resume_unanswered(struct caller_server *server, uint32_t slot)
{
	struct caller_exchange *exchange = claim_exchange(server, slot);

	if (exchange == NULL)
		return;
	set_error(exchange, IBIS_UNKNOWN, MHD_HTTP_GATEWAY_TIMEOUT, 0,
	    "the instance stopped before it answered the request");
	MHD_resume_connection(exchange->connection);
}

/* Suspends the connection and posts the request to the control thread. */
static void
dispatch(struct caller_server *server, struct caller_exchange *exchange,
    Ibis__Request *request)
{
	struct event event = {.kind = EVENT_CALLER};
	uint32_t slot = exchange->slot;

	event.caller = mem_calloc(1, sizeof(*event.caller));
	event.caller->request = request;
	event.caller->received_ms = exchange->received_ms;
	event.caller->exchange = exchange;
	exchange->suspended = true;
	drop_body(server, exchange);
	intake_set_busy(
	    &server->intake, &exchange->on->intake, true, clock_now_ms());
	MHD_suspend_connection(exchange->connection);
	atomic_store(&server->slots[slot].exchange, exchange);
	event_queue_post(server->events, &event);
	/* caller_server_stop may have checked this slot before the store. */
	if (atomic_load(&server->stopping))
		resume_unanswered(server, slot);
}

/* Returns whether a request is served even above the connection limit. */
static bool
is_probe(const Ibis__Request *request)
{
	return request->kind == IBIS__REQUEST_KIND__REQUEST_LIVE ||
	    request->kind == IBIS__REQUEST_KIND__REQUEST_READY ||
	    request->kind == IBIS__REQUEST_KIND__REQUEST_METRICS;
}

static void
set_overload_error(struct caller_exchange *exchange, const char *message)
{
	set_error(exchange, IBIS_UNAVAILABLE, MHD_HTTP_SERVICE_UNAVAILABLE,
	    OVERLOAD_RETRY_MS, message);
}

static void
set_body_size_error(
    const struct caller_server *server, struct caller_exchange *exchange)
{
	struct ibis_status status;

	(void)ibis_status_set(&status, IBIS_INVALID, RECEIVE_STEP, NULL,
	    "body: %zu bytes; expected at most %" PRId32, exchange->body_bytes,
	    server->config.max_body_bytes);
	api_render_error(&status, HTTP_CONTENT_TOO_LARGE, 0, &exchange->output);
}

/* Responds to a completely received request or posts it. */
static enum MHD_Result
process_request(struct caller_server *server, struct caller_exchange *exchange,
    const char *method, const char *path)
{
	bool over_limit = exchange->on->over_limit;
	struct ibis_status status = {0};
	Ibis__Request *request;

	if (exchange->body_bytes > (size_t)server->config.max_body_bytes) {
		set_body_size_error(server, exchange);
		return send_response(server, exchange, false);
	}
	if (exchange->refused) {
		set_overload_error(exchange, "too many requests at once");
		return send_response(server, exchange, false);
	}
	request = parse_request(server, exchange, method, path, &status);
	if (request == NULL) {
		api_render_error(&status,
		    status.code == IBIS_NOT_FOUND ? MHD_HTTP_NOT_FOUND
						  : MHD_HTTP_BAD_REQUEST,
		    0, &exchange->output);
		return send_response(server, exchange, over_limit);
	}
	if (over_limit && !is_probe(request)) {
		counter_add(COUNTER_CALLERS_REFUSED, 1);
		set_overload_error(exchange, "too many connections");
	} else if (atomic_load(&server->refusing)) {
		set_overload_error(exchange, "the instance is stopping");
	} else if (!take_slot(server, exchange)) {
		set_overload_error(exchange, "too many requests");
	} else {
		dispatch(server, exchange, request);
		return MHD_YES;
	}
	ibis__request__free_unpacked(request, proto_allocator());
	return send_response(server, exchange, over_limit);
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
	struct caller_server *server = context;
	struct caller_exchange *exchange = *request_context;

	(void)version;
	if (exchange == NULL) {
		*request_context = exchange_new(server, connection);
		return MHD_YES;
	}
	if (*length > 0)
		return receive_body(server, exchange, bytes, length);
	if (exchange->suspended) {
		intake_set_busy(&server->intake, &exchange->on->intake, false,
		    clock_now_ms());
		return send_response(server, exchange, false);
	}
	return process_request(server, exchange, method, path);
}

/* Called by libmicrohttpd when a response was sent or its connection failed. */
static void
request_completed(void *context, struct MHD_Connection *connection,
    void **request_context, enum MHD_RequestTerminationCode code)
{
	struct caller_server *server = context;
	struct caller_exchange *exchange = *request_context;

	(void)connection;
	(void)code;
	if (exchange == NULL)
		return;
	*request_context = NULL;
	return_slot(server, exchange);
	buffer_free(&exchange->body);
	exchange->on->exchange = NULL;
	intake_release(&server->intake, &exchange->on->intake);
	intake_set_busy(
	    &server->intake, &exchange->on->intake, false, clock_now_ms());
	buffer_free(&exchange->output.body);
	mem_free(exchange);
	(void)atomic_fetch_sub(&server->open_requests, 1);
}

/* Called by libmicrohttpd for a new connection and for one that is gone. Above
 * the limit, connections that have stalled are closed. */
static void
notify_connection(void *context, struct MHD_Connection *connection,
    void **socket_context, enum MHD_ConnectionNotificationCode code)
{
	struct caller_server *server = context;
	struct caller_connection *known = *socket_context;
	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		intake_close(&server->intake, &known->intake);
		mem_free(known);
		return;
	}
	known = mem_calloc(1, sizeof(*known));
	known->fd = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CONNECTION_FD)
			->connect_fd;
	*socket_context = known;
	intake_open(&server->intake, &known->intake, known, clock_now_ms());
	known->over_limit = intake_is_over_limit(&server->intake);
}

/* Raises the process's limit of open files, up to its hard limit. */
static void
raise_file_limit(uint64_t files)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= files)
		return;
	limit.rlim_cur = files < limit.rlim_max ? files : limit.rlim_max;
	if (setrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur < files)
		log_event(LOG_WARN, "file_limit_low", "files",
		    log_number((int64_t)limit.rlim_cur), "wanted",
		    log_number((int64_t)files), NULL);
}

static void
free_server(struct caller_server *server)
{
	mem_free(server->slots);
	mem_free(server);
}

static struct caller_server *
new_server(
    const struct caller_server_config *config, struct event_queue *events)
{
	struct caller_server *server = mem_calloc(1, sizeof(*server));
	const struct intake_limits limits = {
	    .max_connections = (uint32_t)config->max_connections,
	    .max_bytes = (size_t)config->max_bodies_bytes,
	    .idle_ms = IDLE_MS,
	};
	intake_init(&server->intake, &limits, close_connection, server);
	server->events = events;
	server->config = *config;
	server->slots_count =
	    (uint32_t)config->max_connections + MAX_REFUSED_CONNECTIONS;
	server->slots = mem_calloc(server->slots_count, sizeof(struct slot));
	for (uint32_t i = 0; i < server->slots_count; i++)
		server->slots[i].next_free = i + 1;
	return server;
}

struct caller_server *
caller_server_start(const struct caller_server_config *config,
    struct event_queue *events, struct ibis_status *status)
{
	struct caller_server *server = new_server(config, events);
	int listen_fd = address_listen(config->address, LISTEN_BACKLOG, status);

	if (listen_fd < 0) {
		free_server(server);
		return NULL;
	}
	address_of_socket(listen_fd, server->address);
	raise_file_limit(server->slots_count + RESERVED_DESCRIPTORS);
	server->daemon = MHD_start_daemon(
	    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
	    NULL, handle_request, server, MHD_OPTION_LISTEN_SOCKET, listen_fd,
	    MHD_OPTION_CONNECTION_LIMIT, server->slots_count,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
	    MHD_OPTION_UNESCAPE_CALLBACK, http_unescape, NULL,
	    MHD_OPTION_NOTIFY_COMPLETED, request_completed, server,
	    MHD_OPTION_NOTIFY_CONNECTION, notify_connection, server,
	    MHD_OPTION_END);
	if (server->daemon == NULL) {
		(void)ibis_status_set(status, IBIS_INTERNAL, "listen",
		    config->address, "the HTTP server did not start");
		(void)close(listen_fd);
		free_server(server);
		return NULL;
	}
	return server;
}

const char *
caller_server_address(const struct caller_server *server)
{
	return server->address;
}

void
caller_server_reply(struct caller_server *server,
    struct caller_request *request, const Ibis__Reply *reply)
{
	struct caller_exchange *exchange =
	    claim_exchange(server, request->exchange->slot);

	if (exchange != NULL) {
		api_render(request->request, reply, &exchange->output);
		MHD_resume_connection(exchange->connection);
	}
	ibis__request__free_unpacked(request->request, proto_allocator());
	mem_free(request);
}

void
caller_server_drain(struct caller_server *server)
{
	atomic_store(&server->draining, true);
}

void
caller_server_refuse(struct caller_server *server)
{
	caller_server_drain(server);
	atomic_store(&server->refusing, true);
}

uint32_t
caller_server_open_requests(const struct caller_server *server)
{
	return atomic_load(&server->open_requests);
}

/*
 * Stops listening. Connections in the kernel's accept queue are accepted first,
 * since closing the socket would reset them. Returns the socket, or -1. The
 * I/O thread may still use the socket, so the caller closes it after that
 * thread has ended.
 */
static int
stop_accepting(struct caller_server *server)
{
	int listen_fd = MHD_quiesce_daemon(server->daemon);
	struct sockaddr_storage address;
	socklen_t length = sizeof(address);
	int fd;

	if (listen_fd < 0)
		return -1;
	while ((fd = accept4(listen_fd, (struct sockaddr *)&address, &length,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		(void)MHD_add_connection(
		    server->daemon, fd, (struct sockaddr *)&address, length);
		length = sizeof(address);
	}
	(void)shutdown(listen_fd, SHUT_RDWR);
	return listen_fd;
}

void
caller_server_stop(struct caller_server *server)
{
	int64_t deadline_ms = clock_now_ms() + STOP_TIMEOUT_MS;
	int listen_fd;

	if (server == NULL)
		return;
	caller_server_refuse(server);
	atomic_store(&server->stopping, true);
	listen_fd = stop_accepting(server);
	for (uint32_t i = 0; i < server->slots_count; i++)
		resume_unanswered(server, i);
	while (caller_server_open_requests(server) > 0 &&
	    clock_now_ms() < deadline_ms)
		(void)poll(NULL, 0, STOP_POLL_INTERVAL_MS);
	MHD_stop_daemon(server->daemon);
	if (listen_fd >= 0)
		(void)close(listen_fd);
	free_server(server);
}
