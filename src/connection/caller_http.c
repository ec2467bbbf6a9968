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
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/proto_memory.h"

#define STEP		       "receive"
#define LISTEN_BACKLOG	       1024
#define REFUSED_CONNECTIONS    256 /* over the limit, to be told so */
#define RESERVED_FILES	       256 /* for links, store and workers */
#define CONNECTION_MEMORY      (16U << 10)
#define IDLE_TIMEOUT_S	       300
#define MAX_DISCARDED_BYTES    (64U << 20)
#define OVERLOAD_RETRY_MS      1000
#define STOP_FLUSH_MS	       5000
#define STOP_POLL_MS	       2
#define MS_PER_S	       1000
#define HEADER_BYTES	       32
#define HTTP_CONTENT_TOO_LARGE 413

/* One HTTP request, from its first line until its answer has been sent. */
struct caller_exchange {
	struct MHD_Connection *connection;
	bool waiting; /* suspended once; output is filled when it resumes */
	struct buffer body;
	size_t body_bytes; /* received, kept or not */
	uint32_t slot;
	int64_t received_ms;
	struct api_output output;
};

/* One slot for each request that may wait at a time. */
struct slot {
	_Atomic(struct caller_exchange *) exchange; /* NULL once answered */
	uint32_t next_free;			    /* of the traffic thread */
};

/*
 * The traffic thread is libmicrohttpd's. Slots hand waiting exchanges to
 * whoever answers them first, without a lock: the control thread's reply or
 * its sweep at the stop.
 */
struct caller_server {
	struct MHD_Daemon *daemon;
	struct event_queue *events;
	struct caller_server_config config;
	char address[ADDRESS_TEXT_BYTES];
	struct slot *slots;
	uint32_t slots_count;
	uint32_t first_free;  /* of the traffic thread; slots_count is none */
	uint32_t connections; /* of the traffic thread */
	atomic_uint open_requests;
	atomic_bool draining;
	atomic_bool refusing;
	atomic_bool sweeping;
};

/* Fills the output with an error that arose here. */
static void
fail(struct caller_exchange *exchange, enum ibis_code code, int32_t http_status,
    int64_t retry_after_ms, const char *message)
{
	struct ibis_status status;

	(void)ibis_status_set(&status, code, STEP, NULL, "%s", message);
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
answer_counter(int32_t http_status)
{
	if (http_status == MHD_HTTP_TOO_MANY_REQUESTS)
		return COUNTER_ANSWERS_429;
	if (http_status >= MHD_HTTP_INTERNAL_SERVER_ERROR)
		return COUNTER_ANSWERS_5XX;
	if (http_status >= MHD_HTTP_BAD_REQUEST)
		return COUNTER_ANSWERS_4XX;
	return COUNTER_ANSWERS_2XX;
}

/* Sends the exchange's output. */
static enum MHD_Result
send_output(const struct caller_server *server,
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
	counter_add(answer_counter(output->http_status), 1);
	duration_observe(
	    HISTOGRAM_REQUEST, clock_now_ms() - exchange->received_ms);
	result = MHD_queue_response(exchange->connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static struct caller_exchange *
exchange_new(struct caller_server *server, struct MHD_Connection *connection)
{
	struct caller_exchange *exchange = mem_calloc(1, sizeof(*exchange));

	exchange->connection = connection;
	exchange->slot = server->slots_count;
	exchange->received_ms = clock_now_ms();
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

/* Keeps the body up to its limit; the rest is read and dropped, so that the
 * caller gets to read the refusal. */
static enum MHD_Result
receive_body(const struct caller_server *server,
    struct caller_exchange *exchange, const char *bytes, size_t *length)
{
	size_t limit = (size_t)server->config.max_body_bytes;

	exchange->body_bytes += *length;
	if (exchange->body_bytes > limit)
		buffer_free(&exchange->body);
	else
		buffer_append(&exchange->body, bytes, *length);
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

/* Hands a suspended exchange to whoever asks first; NULL when it is taken. */
static struct caller_exchange *
claim(struct caller_server *server, uint32_t slot)
{
	return atomic_exchange(&server->slots[slot].exchange, NULL);
}

static void
resume_unanswered(struct caller_server *server, uint32_t slot)
{
	struct caller_exchange *exchange = claim(server, slot);

	if (exchange == NULL)
		return;
	fail(exchange, IBIS_UNKNOWN, MHD_HTTP_GATEWAY_TIMEOUT, 0,
	    "the instance stopped before the answer");
	MHD_resume_connection(exchange->connection);
}

/* Suspends the connection and passes the request to the control thread. */
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
	exchange->waiting = true;
	buffer_free(&exchange->body);
	MHD_suspend_connection(exchange->connection);
	atomic_store(&server->slots[slot].exchange, exchange);
	event_queue_post(server->events, &event);
	/* The sweep of a stop may have passed this slot just before. */
	if (atomic_load(&server->sweeping))
		resume_unanswered(server, slot);
}

/* Probes and metrics are served over the connection limit as well. */
static bool
is_probe(const Ibis__Request *request)
{
	return request->kind == IBIS__REQUEST_KIND__REQUEST_LIVE ||
	    request->kind == IBIS__REQUEST_KIND__REQUEST_READY ||
	    request->kind == IBIS__REQUEST_KIND__REQUEST_METRICS;
}

static bool
connection_refused(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info != NULL && info->socket_context != NULL;
}

static void
refuse(struct caller_exchange *exchange, const char *message)
{
	fail(exchange, IBIS_UNAVAILABLE, MHD_HTTP_SERVICE_UNAVAILABLE,
	    OVERLOAD_RETRY_MS, message);
}

static void
refuse_body(
    const struct caller_server *server, struct caller_exchange *exchange)
{
	struct ibis_status status;

	(void)ibis_status_set(&status, IBIS_INVALID, STEP, NULL,
	    "body: %zu bytes; expected at most %" PRId32, exchange->body_bytes,
	    server->config.max_body_bytes);
	api_render_error(&status, HTTP_CONTENT_TOO_LARGE, 0, &exchange->output);
}

/* The request has come whole: answers it at once or passes it on. */
static enum MHD_Result
finish_request(struct caller_server *server, struct caller_exchange *exchange,
    const char *method, const char *path)
{
	bool over_limit = connection_refused(exchange->connection);
	struct ibis_status status = {0};
	Ibis__Request *request;

	if (exchange->body_bytes > (size_t)server->config.max_body_bytes) {
		refuse_body(server, exchange);
		return send_output(server, exchange, false);
	}
	request = parse_request(server, exchange, method, path, &status);
	if (request == NULL) {
		api_render_error(&status,
		    status.code == IBIS_NOT_FOUND ? MHD_HTTP_NOT_FOUND
						  : MHD_HTTP_BAD_REQUEST,
		    0, &exchange->output);
		return send_output(server, exchange, over_limit);
	}
	if (over_limit && !is_probe(request)) {
		counter_add(COUNTER_CALLERS_REFUSED, 1);
		refuse(exchange, "too many connections");
	} else if (atomic_load(&server->refusing)) {
		refuse(exchange, "the instance is stopping");
	} else if (!take_slot(server, exchange)) {
		refuse(exchange, "too many requests");
	} else {
		dispatch(server, exchange, request);
		return MHD_YES;
	}
	ibis__request__free_unpacked(request, proto_allocator());
	return send_output(server, exchange, over_limit);
}

static enum MHD_Result
handle(void *context, struct MHD_Connection *connection, const char *path,
    const char *method, const char *version, const char *bytes, size_t *length,
    void **request_context)
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
	if (exchange->waiting)
		return send_output(server, exchange, false);
	return finish_request(server, exchange, method, path);
}

static void
completed(void *context, struct MHD_Connection *connection,
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
	buffer_free(&exchange->output.body);
	mem_free(exchange);
	(void)atomic_fetch_sub(&server->open_requests, 1);
}

/* Marks connections over the limit with a socket context. */
static void
count_connection(void *context, struct MHD_Connection *connection,
    void **socket_context, enum MHD_ConnectionNotificationCode code)
{
	struct caller_server *server = context;

	(void)connection;
	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		server->connections--;
		return;
	}
	server->connections++;
	if (server->connections > (uint32_t)server->config.max_connections)
		*socket_context = server;
}

/* Raises the limit of open files to what the connections need. */
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

	server->events = events;
	server->config = *config;
	server->slots_count =
	    (uint32_t)config->max_connections + REFUSED_CONNECTIONS;
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
	raise_file_limit(server->slots_count + RESERVED_FILES);
	server->daemon = MHD_start_daemon(
	    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
	    NULL, handle, server, MHD_OPTION_LISTEN_SOCKET, listen_fd,
	    MHD_OPTION_CONNECTION_LIMIT, server->slots_count,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
	    MHD_OPTION_NOTIFY_COMPLETED, completed, server,
	    MHD_OPTION_NOTIFY_CONNECTION, count_connection, server,
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
	    claim(server, request->exchange->slot);

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
 * Stops listening; connections that wait in the queue are served first, since
 * closing would reset them. Returns the socket, to be closed once the server's
 * thread has ended: until then it may still look at it.
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
	int64_t deadline_ms = clock_now_ms() + STOP_FLUSH_MS;
	int listen_fd;

	if (server == NULL)
		return;
	caller_server_refuse(server);
	atomic_store(&server->sweeping, true);
	listen_fd = stop_accepting(server);
	for (uint32_t i = 0; i < server->slots_count; i++)
		resume_unanswered(server, i);
	while (caller_server_open_requests(server) > 0 &&
	    clock_now_ms() < deadline_ms)
		(void)poll(NULL, 0, STOP_POLL_MS);
	MHD_stop_daemon(server->daemon);
	if (listen_fd >= 0)
		(void)close(listen_fd);
	free_server(server);
}
