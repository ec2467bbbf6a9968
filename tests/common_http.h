/*
 * Single HTTP exchanges over plain sockets, for tests that must see what
 * happens to each connection and send nothing twice.
 */
#ifndef IBIS_COMMON_HTTP_H
#define IBIS_COMMON_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include "process/buffer.h"

/* How reading a response ended. */
enum http_end {
	HTTP_WHOLE,
	HTTP_CLOSED, /* closed or reset by the server before its end */
	HTTP_LATE    /* not whole within the time */
};

/* Connects to IP:PORT; -1 when nobody listens there. */
int http_connect(const char *address);

/* Writes a whole text; false when the connection is gone. */
bool http_write(int fd, const char *text);

/* Reads one response. */
enum http_end http_read(int fd, struct buffer *response, int32_t timeout_ms);

/* Status of a whole response. */
int http_status(const struct buffer *response);

/* Tells whether a whole response says that its connection will be closed. */
bool http_says_close(const struct buffer *response);

/* Sends "METHOD PATH" on a connection of its own; the status, 0 without a
 * whole response. */
int http_ask(const char *address, const char *line, int32_t timeout_ms);

#endif
