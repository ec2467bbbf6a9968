#include <arpa/inet.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/fake_server.h"
#include "process/alloc.h"
#include "process/clock.h"

#define MAX_BODY_BYTES	  (16UL * 1024 * 1024)
#define MAX_CONNECTIONS	  4000U
#define MAX_SLEEP_STEP_MS 20
#define DECIMAL		  10
#define LINK_CHUNK_BYTES  4096

struct fake_server {
	struct MHD_Daemon *daemon;
	fake_handler *handler;
	void *context;
	char address[FAKE_ADDRESS_BYTES];
};

void
fake_sleep(int64_t wait_ms, const atomic_bool *stop)
{
	int64_t deadline_ms = clock_now_ms() + wait_ms;

	while (clock_now_ms() < deadline_ms && (stop == NULL || !*stop)) {
		int64_t remaining_ms = deadline_ms - clock_now_ms();

		if (remaining_ms > MAX_SLEEP_STEP_MS)
			remaining_ms = MAX_SLEEP_STEP_MS;
		if (remaining_ms > 0)
			(void)poll(NULL, 0, (int)remaining_ms);
	}
}

void
fake_reply_error(struct fake_reply *reply, int32_t status, const char *message)
{
	reply->status = status;
	buffer_clear(&reply->body);
	buffer_printf(&reply->body, "{\"error\": \"%s\"}", message);
}

const char *
fake_request_query(const struct fake_request *request, const char *name)
{
	return MHD_lookup_connection_value(
	    request->connection, MHD_GET_ARGUMENT_KIND, name);
}

const char *
fake_request_header(const struct fake_request *request, const char *name)
{
	return MHD_lookup_connection_value(
	    request->connection, MHD_HEADER_KIND, name);
}

int64_t
fake_request_number(
    const struct fake_request *request, const char *name, int64_t fallback)
{
	const char *value = fake_request_query(request, name);

	return value == NULL ? fallback : strtoll(value, NULL, DECIMAL);
}

bool
fake_request_if_match(const struct fake_request *request, uint64_t *revision)
{
	const char *value =
	    fake_request_header(request, MHD_HTTP_HEADER_IF_MATCH);
	char *end;

	if (value == NULL)
		return false;
	if (*value == '"')
		value++;
	*revision = strtoull(value, &end, DECIMAL);
	return end != value;
}

static int64_t
connection_accepted_ms(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	const int64_t *accepted_ms = info == NULL ? NULL : info->socket_context;

	return accepted_ms == NULL ? 0 : *accepted_ms;
}

static void
S_on_connection(void *context, struct MHD_Connection *connection,
    void **socket_context, enum MHD_ConnectionNotificationCode code)
{
	int64_t *accepted_ms;

	(void)context;
	(void)connection;
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		accepted_ms = mem_calloc(1, sizeof(*accepted_ms));
		*accepted_ms = clock_now_ms();
		*socket_context = accepted_ms;
	} else {
		mem_free(*socket_context);
		*socket_context = NULL;
	}
}

/* A body on its way over a link. */
struct carried_body {
	struct buffer bytes;
	struct fake_link *link;
};

static ssize_t
S_on_carry(void *context, uint64_t offset, char *bytes, size_t max)
{
	struct carried_body *body = context;
	size_t left = body->bytes.length - (size_t)offset;

	if (left == 0)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (max > left)
		max = left;
	fake_link_carry(body->link, max);
	memcpy(bytes, body->bytes.data + offset, max);
	return (ssize_t)max;
}

static void
S_on_carried(void *context)
{
	struct carried_body *body = context;

	buffer_free(&body->bytes);
	mem_free(body);
}

static struct MHD_Response *
create_response(const struct fake_reply *reply)
{
	struct carried_body *body;

	if (reply->link == NULL || reply->body.length == 0)
		return MHD_create_response_from_buffer(reply->body.length,
		    reply->body.data, MHD_RESPMEM_MUST_COPY);
	body = mem_calloc(1, sizeof(*body));
	body->link = reply->link;
	buffer_append(&body->bytes, reply->body.data, reply->body.length);
	return MHD_create_response_from_callback(reply->body.length,
	    LINK_CHUNK_BYTES, S_on_carry, body, S_on_carried);
}

static enum MHD_Result
send_reply(struct MHD_Connection *connection, struct fake_reply *reply)
{
	struct MHD_Response *response;
	enum MHD_Result result;
	char etag[32];

	response = create_response(reply);
	if (response == NULL)
		return MHD_NO;
	(void)snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"", reply->etag);
	if (reply->has_etag)
		(void)MHD_add_response_header(
		    response, MHD_HTTP_HEADER_ETAG, etag);
	if (reply->answer_hash[0] != '\0')
		(void)MHD_add_response_header(
		    response, "X-Answer-Hash", reply->answer_hash);
	result = MHD_queue_response(
	    connection, (unsigned int)reply->status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result
dispatch_request(struct fake_server *server, struct MHD_Connection *connection,
    const char *path, const char *method, const struct buffer *body)
{
	struct fake_request request = {
	    .method = method,
	    .path = path,
	    .body = buffer_string(body),
	    .body_length = body->length,
	    .connected_ms = connection_accepted_ms(connection),
	    .connection = connection,
	};
	struct fake_reply reply = {.status = MHD_HTTP_OK};
	enum MHD_Result result = MHD_NO;

	server->handler(server->context, &request, &reply);
	if (!reply.cut)
		result = send_reply(connection, &reply);
	buffer_free(&reply.body);
	return result;
}

static enum MHD_Result
S_on_access(void *context, struct MHD_Connection *connection, const char *path,
    const char *method, const char *version, const char *upload,
    size_t *upload_length, void **request_context)
{
	struct buffer *body = *request_context;

	(void)version;
	if (body == NULL) {
		*request_context = mem_calloc(1, sizeof(*body));
		return MHD_YES;
	}
	if (*upload_length > 0) {
		if (body->length + *upload_length > MAX_BODY_BYTES)
			return MHD_NO;
		buffer_append(body, upload, *upload_length);
		*upload_length = 0;
		return MHD_YES;
	}
	return dispatch_request(context, connection, path, method, body);
}

static void
S_on_completed(void *context, struct MHD_Connection *connection,
    void **request_context, enum MHD_RequestTerminationCode code)
{
	struct buffer *body = *request_context;

	(void)context;
	(void)connection;
	(void)code;
	if (body == NULL)
		return;
	buffer_free(body);
	mem_free(body);
	*request_context = NULL;
}

static bool
parse_listen_address(const char *listen, struct sockaddr_in *address)
{
	char host[FAKE_ADDRESS_BYTES];
	char *colon;

	STRING_COPY(host, listen);
	colon = strrchr(host, ':');
	if (colon == NULL)
		return false;
	*colon = '\0';
	*address = (struct sockaddr_in){.sin_family = AF_INET};
	address->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, DECIMAL));
	return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

static void
record_address(struct fake_server *server, const struct sockaddr_in *address)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);
	char host[INET_ADDRSTRLEN];

	(void)inet_ntop(AF_INET, &address->sin_addr, host, sizeof(host));
	(void)snprintf(server->address, sizeof(server->address), "%s:%u", host,
	    info == NULL ? 0U : (unsigned int)info->port);
}

struct fake_server *
fake_server_start(const char *listen, fake_handler *handler, void *context)
{
	struct fake_server *server = mem_calloc(1, sizeof(*server));
	struct sockaddr_in address;

	server->handler = handler;
	server->context = context;
	if (parse_listen_address(listen, &address))
		server->daemon = MHD_start_daemon(
		    MHD_USE_THREAD_PER_CONNECTION |
			MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
		    ntohs(address.sin_port), NULL, NULL, S_on_access, server,
		    MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
		    MAX_CONNECTIONS, MHD_OPTION_NOTIFY_COMPLETED,
		    S_on_completed, NULL, MHD_OPTION_NOTIFY_CONNECTION,
		    S_on_connection, NULL, MHD_OPTION_END);
	if (server->daemon == NULL) {
		(void)fprintf(
		    stderr, "%s: cannot listen on this address\n", listen);
		mem_free(server);
		return NULL;
	}
	record_address(server, &address);
	return server;
}

const char *
fake_server_address(const struct fake_server *server)
{
	return server->address;
}

void
fake_server_stop(struct fake_server *server)
{
	if (server == NULL)
		return;
	MHD_stop_daemon(server->daemon);
	mem_free(server);
}

void
fake_block_signals(void)
{
	sigset_t signals;

	(void)sigemptyset(&signals);
	(void)sigaddset(&signals, SIGINT);
	(void)sigaddset(&signals, SIGTERM);
	(void)pthread_sigmask(SIG_BLOCK, &signals, NULL);
}

void
fake_wait_for_signal(const struct fake_server *server)
{
	sigset_t signals;
	int number;

	(void)printf("ready address=%s\n", server->address);
	(void)fflush(stdout);
	(void)sigemptyset(&signals);
	(void)sigaddset(&signals, SIGINT);
	(void)sigaddset(&signals, SIGTERM);
	(void)sigwait(&signals, &number);
}
