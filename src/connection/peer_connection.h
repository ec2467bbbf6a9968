/*
 * One TCP connection of a peer link: non-blocking reads into, and writes from,
 * its buffers. Belongs to the link thread.
 */
#ifndef IBIS_PEER_CONNECTION_H
#define IBIS_PEER_CONNECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/buffer.h"
#include "request/job.h"

struct peer;

struct peer_connection {
	int fd;
	struct peer *peer; /* the peer dialled; NULL when accepted */
	bool connecting;   /* dialled, TCP not yet open */
	bool greeted;	   /* accepted: Hello has come; dialled: a Pong has */
	bool closed;	   /* to be freed after the present batch of events */
	bool wants_write;  /* registered for writability */
	int64_t received_ms;
	char name[JOB_NAME_BYTES]; /* accepted: from Hello */
	uint64_t incarnation;	   /* accepted: from Hello */
	struct buffer in;
	struct buffer out;
	size_t out_sent; /* bytes at the front of out already written */
};

/* Starts to connect; returns NULL with status filled on failure. */
struct peer_connection *peer_connection_dial(
    const char *address, struct ibis_status *status);

/* Takes over an accepted socket. */
struct peer_connection *peer_connection_accepted(int fd);

/* Completes connecting once the socket is writable. */
bool peer_connection_connected(struct peer_connection *connection);

/* Reads what has come, up to a bounded share; false when the other end has
 * closed or failed. Adds to *received. */
bool peer_connection_read(
    struct peer_connection *connection, uint64_t *received);

/* Writes what it can; false on failure. *written is what went out. */
bool peer_connection_write(struct peer_connection *connection, size_t *written);

/* Bytes that wait to be written. */
size_t peer_connection_unsent(const struct peer_connection *connection);

/* Closes the socket and frees the connection. */
void peer_connection_free(struct peer_connection *connection);

#endif
