#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common_http.h"
#include "connection/address.h"
#include "process/alloc.h"
#include "process/clock.h"

#define READ_BYTES  4096
#define HEADER_END  "\r\n\r\n"
#define LENGTH_LINE "\r\nContent-Length: "
#define DECIMAL	    10

int
http_connect(const char *address)
{
	struct sockaddr_storage storage = {0};
	socklen_t length = 0;
	int fd;

	if (address_parse(address, &storage, &length, NULL) != IBIS_OK)
		return -1;
	fd = socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd >= 0 && connect(fd, (struct sockaddr *)&storage, length) == 0)
		return fd;
	if (fd >= 0)
		(void)close(fd);
	return -1;
}

bool
http_write(int fd, const char *text)
{
	size_t length = strlen(text);

	while (length > 0) {
		ssize_t sent = send(fd, text, length, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		text += sent;
		length -= (size_t)sent;
	}
	return true;
}

static bool
is_complete(const struct buffer *response)
{
	const char *end = strstr(buffer_string(response), HEADER_END);
	const char *length = strcasestr(buffer_string(response), LENGTH_LINE);
	size_t header_bytes;

	if (end == NULL || length == NULL)
		return false;
	header_bytes = (size_t)(end - response->data) + strlen(HEADER_END);
	return response->length >=
	    header_bytes + strtoul(length + strlen(LENGTH_LINE), NULL, DECIMAL);
}

enum http_read_result
http_read(int fd, struct buffer *response, int32_t timeout_ms)
{
	struct pollfd ready = {.fd = fd, .events = POLLIN};
	int64_t deadline_ms = clock_now_ms() + timeout_ms;
	char bytes[READ_BYTES];
	ssize_t length;

	while (!is_complete(response)) {
		int64_t left_ms = deadline_ms - clock_now_ms();

		if (left_ms <= 0 || poll(&ready, 1, (int)left_ms) != 1)
			return HTTP_TIMED_OUT;
		length = recv(fd, bytes, sizeof(bytes), 0);
		if (length <= 0)
			return HTTP_CLOSED;
		buffer_append(response, bytes, (size_t)length);
	}
	return HTTP_COMPLETE;
}

int
http_status(const struct buffer *response)
{
	const char *space = strchr(buffer_string(response), ' ');

	return space == NULL ? 0 : (int)strtol(space, NULL, DECIMAL);
}

bool
http_has_connection_close(const struct buffer *response)
{
	const char *close_line =
	    strcasestr(buffer_string(response), "\r\nConnection: close\r\n");

	return close_line != NULL &&
	    close_line < strstr(buffer_string(response), HEADER_END);
}

int
http_request_status(const char *address, const char *line, int32_t timeout_ms)
{
	CLEANUP(buffer_free) struct buffer request = {0};
	CLEANUP(buffer_free) struct buffer response = {0};
	int fd = http_connect(address);
	int status = 0;

	if (fd < 0)
		return 0;
	buffer_printf(&request, "%s HTTP/1.1\r\nHost: x\r\n\r\n", line);
	if (http_write(fd, request.data) &&
	    http_read(fd, &response, timeout_ms) == HTTP_COMPLETE)
		status = http_status(&response);
	(void)close(fd);
	return status;
}
