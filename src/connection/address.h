/* Addresses in the form IP:PORT, or [IP]:PORT for IPv6. */
#ifndef IBIS_ADDRESS_H
#define IBIS_ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

#include "ibistrestle.h"

enum {
	ADDRESS_TEXT_BYTES = 64
};

/* Returns whether an address is IP:PORT with a port that can be called. */
bool address_is_callable(const char *text);

/*
 * Parses an address without a name lookup. Returns IBIS_OK, or IBIS_INVALID
 * with the text and the expected form in status, which may be NULL.
 */
enum ibis_code address_parse(const char *text, struct sockaddr_storage *address,
    socklen_t *length, struct ibis_status *status);

/*
 * Opens a non-blocking TCP socket that listens on an address; with port 0 the
 * system chooses the port. The caller closes the socket. Returns -1 and fills
 * status, which may be NULL: IBIS_INVALID when the address is malformed,
 * IBIS_UNAVAILABLE when the system refuses it.
 */
int address_listen(const char *text, int backlog, struct ibis_status *status);

/* Writes the local address of a socket, or "" when it has none. */
void address_of_socket(int fd, char text[ADDRESS_TEXT_BYTES]);

#endif
