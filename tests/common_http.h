/*
 * Minimal blocking HTTP/1.1 client over plain sockets, for tests that have to
 * observe each connection. It never retries a request.
 */
#ifndef IBIS_COMMON_HTTP_H
#define IBIS_COMMON_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include "process/buffer.h"

/* Result of reading a response. */
enum http_read_result {
	HTTP_COMPLETE,
	HTTP_CLOSED,   /* closed or reset by the server before the end */
	HTTP_TIMED_OUT /* not complete before the timeout */
};

/* Connects to IP:PORT. Returns a descriptor that the caller closes, or -1 when
 * the address is invalid or the connection fails. */
int http_connect(const char *address);

/* Writes a whole NUL-terminated text; false when the connection is closed. */
bool http_write(int fd, const char *text);

/* Appends one response to a buffer that the caller frees. The response needs a
 * Content-Length header. */
enum http_read_result http_read(
    int fd, struct buffer *response, int32_t timeout_ms);

/* Returns the status code of a complete response; 0 without a status line. */
int http_status(const struct buffer *response);

/* True when a complete response has the header "Connection: close". */
bool http_has_connection_close(const struct buffer *response);

/* Sends a request line "METHOD PATH" on a new connection. Returns the status
 * code, or 0 without a complete response before the timeout. */
int http_request_status(
    const char *address, const char *line, int32_t timeout_ms);

#endif
