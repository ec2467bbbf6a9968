/* HTTP/1.1 for the stand-ins of this review. */
#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum {
	MAX_CONNECTIONS = 256,
	MAX_HEADER_BYTES = 16384,
	MAX_BODY_BYTES = 8 << 20,
	LISTEN_BACKLOG = 128,
	POLL_MS = 20,
	READ_BYTES = 8192
};

struct http_server {
	http_handler *handler;
	void *context;
	int listener;
	uint16_t port;
	pthread_t thread;
	pthread_mutex_t lock;
	int connections[MAX_CONNECTIONS]; /* descriptors; -1: free */
	int open;			  /* connections with a thread */
	atomic_bool stopping;
};

struct connection {
	struct http_server *server;
	int fd;
	int slot;
};

/* Bytes read from a connection and not used yet. */
struct input {
	int fd;
	char *data;
	size_t length;
	size_t capacity;
};

int64_t
now_ms(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
sleep_ms(int64_t wait_ms)
{
	struct timespec wait = {
	    .tv_sec = wait_ms / 1000, .tv_nsec = wait_ms % 1000 * 1000000};

	if (wait_ms > 0)
		(void)nanosleep(&wait, NULL);
}

/* Reads more bytes. Returns false at the end of the connection or when nothing
 * has come until a time. */
static bool
read_more(struct input *input, int64_t until_ms)
{
	struct pollfd target = {.fd = input->fd, .events = POLLIN};
	int64_t left_ms = until_ms - now_ms();
	ssize_t count;

	if (input->capacity - input->length < READ_BYTES + 1) {
		size_t capacity = input->capacity * 2 + READ_BYTES + 1;
		char *data = realloc(input->data, capacity);

		if (data == NULL)
			return false;
		input->data = data;
		input->capacity = capacity;
	}
	if (left_ms <= 0 || poll(&target, 1, (int)left_ms) != 1)
		return false;
	count = recv(input->fd, input->data + input->length, READ_BYTES, 0);
	if (count <= 0)
		return false;
	input->length += (size_t)count;
	input->data[input->length] = '\0';
	return true;
}

static bool
write_all(int fd, const char *bytes, size_t length)
{
	while (length > 0) {
		ssize_t count = send(fd, bytes, length, MSG_NOSIGNAL);

		if (count <= 0)
			return false;
		bytes += count;
		length -= (size_t)count;
	}
	return true;
}

/* Copies a header's value; empty if absent. The text ends with an empty line.
 */
static void
find_header(const char *text, const char *name, char *value, size_t bytes)
{
	size_t length = strlen(name);
	const char *line = strstr(text, "\r\n");

	*value = '\0';
	while (line != NULL && strncmp(line, "\r\n\r\n", 4) != 0) {
		line += 2;
		if (strncasecmp(line, name, length) == 0 &&
		    line[length] == ':') {
			const char *start = line + length + 1;
			size_t count;

			start += strspn(start, " ");
			count = strcspn(start, "\r\n");
			(void)snprintf(value, bytes, "%.*s", (int)count, start);
			return;
		}
		line = strstr(line, "\r\n");
	}
}

/* Reads a message: its header with the empty line, and its body, which is
 * copied. Returns the header's length, 0 when there is no complete message. */
static size_t
read_message(struct input *input, int64_t until_ms, char **body)
{
	char text[32];
	char *end = NULL;
	size_t header;
	size_t length;

	while (input->length == 0 ||
	    (end = strstr(input->data, "\r\n\r\n")) == NULL) {
		if (input->length > MAX_HEADER_BYTES ||
		    !read_more(input, until_ms))
			return 0;
	}
	header = (size_t)(end - input->data) + 4;
	find_header(input->data, "Content-Length", text, sizeof(text));
	length = strtoull(text, NULL, 10);
	if (length > MAX_BODY_BYTES)
		return 0;
	while (input->length < header + length) {
		if (!read_more(input, until_ms))
			return 0;
	}
	*body = calloc(1, length + 1);
	if (*body == NULL)
		return 0;
	memcpy(*body, input->data + header, length);
	return header;
}

static void
drop_message(struct input *input, size_t length)
{
	memmove(input->data, input->data + length, input->length - length);
	input->length -= length;
	input->data[input->length] = '\0';
}

static bool
parse_request(const char *text, struct http_request *request)
{
	char target[HTTP_TEXT_BYTES * 2];
	char *query;

	if (sscanf(text, "%15s %1023s", request->method, target) != 2)
		return false;
	query = strchr(target, '?');
	if (query != NULL)
		*query++ = '\0';
	(void)snprintf(request->path, sizeof(request->path), "%.*s",
	    HTTP_TEXT_BYTES - 1, target);
	(void)snprintf(request->query, sizeof(request->query), "%.*s",
	    HTTP_TEXT_BYTES - 1, query == NULL ? "" : query);
	find_header(text, "Expect-Instance", request->expected_instance,
	    sizeof(request->expected_instance));
	return true;
}

static bool
send_reply(int fd, const struct http_reply *reply)
{
	char header[256];
	size_t length = reply->body == NULL ? 0 : strlen(reply->body);

	(void)snprintf(header, sizeof(header),
	    "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    reply->status, length);
	return write_all(fd, header, strlen(header)) &&
	    (length == 0 || write_all(fd, reply->body, length));
}

/* Serves one request. Returns whether the connection goes on. */
static bool
serve_request(struct connection *connection, struct input *input)
{
	struct http_server *server = connection->server;
	struct http_request request = {.stopping = &server->stopping};
	struct http_reply reply = {.status = 200};
	size_t header = 0;
	bool open = false;

	while (header == 0 && !atomic_load(&server->stopping)) {
		struct pollfd target = {.fd = input->fd, .events = POLLIN};

		if (input->length == 0 && poll(&target, 1, POLL_MS) == 0)
			continue;
		header = read_message(input, now_ms() + 5000, &request.body);
		if (header == 0)
			return false;
	}
	if (header == 0)
		return false;
	if (parse_request(input->data, &request)) {
		drop_message(input, header + strlen(request.body));
		server->handler(server->context, &request, &reply);
		open = !reply.cut && !atomic_load(&server->stopping) &&
		    send_reply(input->fd, &reply);
	}
	free(request.body);
	free(reply.body);
	return open;
}

static void *
run_connection(void *context)
{
	struct connection *connection = context;
	struct http_server *server = connection->server;
	struct input input = {.fd = connection->fd};

	while (serve_request(connection, &input))
		;
	free(input.data);
	(void)pthread_mutex_lock(&server->lock);
	server->connections[connection->slot] = -1;
	(void)close(connection->fd);
	server->open--;
	(void)pthread_mutex_unlock(&server->lock);
	free(connection);
	return NULL;
}

/* Starts a thread for a connection. */
static void
add_connection(struct http_server *server, int fd)
{
	struct connection *connection = calloc(1, sizeof(*connection));
	int one = 1;
	pthread_t thread;
	int slot = 0;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	(void)pthread_mutex_lock(&server->lock);
	while (slot < MAX_CONNECTIONS && server->connections[slot] != -1)
		slot++;
	if (connection == NULL || slot == MAX_CONNECTIONS) {
		(void)close(fd);
		free(connection);
		(void)pthread_mutex_unlock(&server->lock);
		return;
	}
	*connection = (struct connection){server, fd, slot};
	server->connections[slot] = fd;
	server->open++;
	if (pthread_create(&thread, NULL, run_connection, connection) == 0) {
		(void)pthread_detach(thread);
	} else {
		server->connections[slot] = -1;
		server->open--;
		(void)close(fd);
		free(connection);
	}
	(void)pthread_mutex_unlock(&server->lock);
}

static void *
run_listener(void *context)
{
	struct http_server *server = context;

	while (!atomic_load(&server->stopping)) {
		struct pollfd target = {
		    .fd = server->listener, .events = POLLIN};
		int fd;

		if (poll(&target, 1, POLL_MS) != 1)
			continue;
		fd = accept4(server->listener, NULL, NULL, SOCK_CLOEXEC);
		if (fd >= 0)
			add_connection(server, fd);
	}
	return NULL;
}

struct http_server *
http_server_start(
    const char *ip, uint16_t port, http_handler *handler, void *context)
{
	struct http_server *server = calloc(1, sizeof(*server));
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	socklen_t length = sizeof(address);
	int one = 1;

	if (server == NULL)
		return NULL;
	server->handler = handler;
	server->context = context;
	(void)pthread_mutex_init(&server->lock, NULL);
	for (int i = 0; i < MAX_CONNECTIONS; i++)
		server->connections[i] = -1;
	(void)inet_pton(AF_INET, ip, &address.sin_addr);
	server->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	(void)setsockopt(
	    server->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(server->listener, (struct sockaddr *)&address,
		sizeof(address)) != 0 ||
	    listen(server->listener, LISTEN_BACKLOG) != 0 ||
	    getsockname(
		server->listener, (struct sockaddr *)&address, &length) != 0 ||
	    pthread_create(&server->thread, NULL, run_listener, server) != 0) {
		(void)fprintf(stderr, "%s:%u: can't listen\n", ip, port);
		(void)close(server->listener);
		free(server);
		return NULL;
	}
	server->port = ntohs(address.sin_port);
	return server;
}

void
http_server_stop(struct http_server *server)
{
	int open = 1;

	if (server == NULL)
		return;
	atomic_store(&server->stopping, true);
	(void)pthread_join(server->thread, NULL);
	(void)close(server->listener);
	while (open > 0) {
		(void)pthread_mutex_lock(&server->lock);
		for (int i = 0; i < MAX_CONNECTIONS; i++) {
			if (server->connections[i] != -1)
				(void)shutdown(
				    server->connections[i], SHUT_RDWR);
		}
		open = server->open;
		(void)pthread_mutex_unlock(&server->lock);
		if (open > 0)
			sleep_ms(2);
	}
	(void)pthread_mutex_destroy(&server->lock);
	free(server);
}

uint16_t
http_server_port(const struct http_server *server)
{
	return server->port;
}

void
http_query(const struct http_request *request, const char *name, char *value,
    size_t bytes)
{
	const char *part = request->query;
	size_t length = strlen(name);
	size_t used = 0;

	*value = '\0';
	while (part != NULL &&
	    (strncmp(part, name, length) != 0 || part[length] != '=')) {
		part = strchr(part, '&');
		part = part == NULL ? NULL : part + 1;
	}
	if (part == NULL)
		return;
	for (part += length + 1;
	     *part != '\0' && *part != '&' && used + 1 < bytes; part++) {
		char digits[3] = {0};

		if (*part != '%' || part[1] == '\0' || part[2] == '\0') {
			value[used++] = *part;
			continue;
		}
		digits[0] = part[1];
		digits[1] = part[2];
		value[used++] = (char)strtoul(digits, NULL, 16);
		part += 2;
	}
	value[used] = '\0';
}

static int
connect_to(const char *address)
{
	struct sockaddr_in target = {.sin_family = AF_INET};
	char ip[HTTP_ADDRESS_BYTES];
	char *colon;
	int fd;

	(void)snprintf(ip, sizeof(ip), "%s", address);
	colon = strrchr(ip, ':');
	if (colon == NULL)
		return -1;
	*colon = '\0';
	target.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	(void)inet_pton(AF_INET, ip, &target.sin_addr);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd >= 0 &&
	    connect(fd, (struct sockaddr *)&target, sizeof(target)) == 0)
		return fd;
	if (fd >= 0)
		(void)close(fd);
	return -1;
}

int
http_send(const struct http_call *call, char *answer, size_t bytes)
{
	const char *body = call->body == NULL ? "" : call->body;
	size_t size = strlen(body) + MAX_HEADER_BYTES;
	char *text = calloc(1, size);
	struct input input = {.fd = connect_to(call->address)};
	char *received = NULL;
	int status = 0;

	*answer = '\0';
	if (text == NULL || input.fd < 0) {
		free(text);
		return 0;
	}
	(void)snprintf(text, size,
	    "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
	    "Deadline-Ms: %d\r\n%s%s%sContent-Length: %zu\r\n\r\n%s",
	    call->method, call->path, call->host, call->timeout_ms,
	    call->key == NULL ? "" : "Authorization: Bearer ",
	    call->key == NULL ? "" : call->key, call->key == NULL ? "" : "\r\n",
	    strlen(body), body);
	if (write_all(input.fd, text, strlen(text)) &&
	    read_message(&input, now_ms() + call->timeout_ms, &received) > 0 &&
	    strncmp(input.data, "HTTP/1.1 ", 9) == 0) {
		status = (int)strtol(input.data + 9, NULL, 10);
		(void)snprintf(answer, bytes, "%s", received);
	}
	(void)close(input.fd);
	free(received);
	free(input.data);
	free(text);
	return status;
}
