/*
 * One TCP connection of a peer link: non-blocking reads into its receive
 * buffer and writes from its send buffer. Used only by the link thread.
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
	struct peer *peer;   /* the dialled peer; NULL if accepted */
	bool connecting;     /* non-blocking connect in progress */
	bool established;    /* Hello (accepted) or Pong (dialled) received */
	bool closed;	     /* freed after the current batch of events */
	bool write_watched;  /* registered with epoll for EPOLLOUT */
	int64_t received_ms; /* time of the last read with data */
	char name[JOB_NAME_BYTES]; /* of an accepted peer, from Hello */
	uint64_t incarnation;	   /* of an accepted peer, from Hello */
	struct buffer in;
	struct buffer out;
	size_t out_sent; /* bytes at the start of out already written */
};

/*
 * Starts a non-blocking connect to address (IP:PORT). Returns NULL and fills
 * status on failure. The caller frees the result with peer_connection_free.
 */
struct peer_connection *peer_connection_dial(
    const char *address, struct ibis_status *status);

/*
 * Makes a connection that owns the socket fd; never NULL. The caller frees it
 * with peer_connection_free.
 */
struct peer_connection *peer_connection_new(int fd);

/*
 * Completes a non-blocking connect once epoll has reported the socket. Returns
 * false if the connect failed.
 */
bool peer_connection_finish_connect(struct peer_connection *connection);

/*
 * Reads available bytes into the receive buffer, up to a limit per call so
 * that one connection can't delay the others, and adds their number to
 * *received. Returns false when the other end has closed or the read failed.
 */
bool peer_connection_read(
    struct peer_connection *connection, uint64_t *received);

/*
 * Writes as many buffered bytes as the socket accepts and sets *written to
 * their number. Returns false when the write failed.
 */
bool peer_connection_write(struct peer_connection *connection, size_t *written);

/* Number of buffered bytes not yet written. */
size_t peer_connection_unsent_bytes(const struct peer_connection *connection);

/* Closes the socket and frees the connection. */
void peer_connection_free(struct peer_connection *connection);

#endif
