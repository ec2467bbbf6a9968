/* Addresses in the form IP:PORT, or [IP]:PORT for IPv6. */
#ifndef IBIS_ADDRESS_H
#define IBIS_ADDRESS_H

#include <sys/socket.h>

#include "ibistrestle.h"

enum {
	ADDRESS_TEXT_BYTES = 64
};

/* Parses an address; the status names the text and what was expected. */
enum ibis_code address_parse(const char *text, struct sockaddr_storage *address,
    socklen_t *length, struct ibis_status *status);

/* Opens a non-blocking listening socket. Returns -1 with status filled. */
int address_listen(const char *text, int backlog, struct ibis_status *status);

/* Writes the local address of a socket. */
void address_of_socket(int fd, char text[ADDRESS_TEXT_BYTES]);

#endif
