#include <errno.h>
#include <netdb.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/address.h"
#include "process/alloc.h"

#define STEP	"listen"
#define DECIMAL 10

/*
 * Splits "IP:PORT" or "[IP]:PORT". Returns false when the port is missing or
 * the host is empty or too long.
 */
static bool
split_host_port(
    const char *text, char host[ADDRESS_TEXT_BYTES], const char **port)
{
	const char *colon = strrchr(text, ':');
	size_t length;

	if (colon == NULL || colon == text || colon[1] == '\0')
		return false;
	length = (size_t)(colon - text);
	if (text[0] == '[' && colon[-1] == ']') {
		text++;
		length -= 2;
	}
	if (length == 0 || length >= ADDRESS_TEXT_BYTES)
		return false;
	(void)string_copy_part(host, ADDRESS_TEXT_BYTES, text, length);
	*port = colon + 1;
	return true;
}

/* Checks the range, since getaddrinfo truncates port numbers over 65535. */
static bool
is_port(const char *text)
{
	size_t digits = strspn(text, "0123456789");

	return digits > 0 && text[digits] == '\0' &&
	    strtoul(text, NULL, DECIMAL) <= UINT16_MAX;
}

enum ibis_code
address_parse(const char *text, struct sockaddr_storage *address,
    socklen_t *length, struct ibis_status *status)
{
	struct addrinfo hints = {
	    .ai_family = AF_UNSPEC,
	    .ai_socktype = SOCK_STREAM,
	    .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
	};
	struct addrinfo *found = NULL;
	char host[ADDRESS_TEXT_BYTES] = "";
	const char *port = NULL;

	if (!split_host_port(text, host, &port) || !is_port(port) ||
	    getaddrinfo(host, port, &hints, &found) != 0)
		return ibis_status_set(status, IBIS_INVALID, "address", text,
		    "address \"%s\"; expected IP:PORT", text);
	memcpy(address, found->ai_addr, found->ai_addrlen);
	*length = found->ai_addrlen;
	freeaddrinfo(found);
	return IBIS_OK;
}

bool
address_is_callable(const char *text)
{
	struct sockaddr_storage address;
	socklen_t length;
	const char *port = strrchr(text, ':');

	return address_parse(text, &address, &length, NULL) == IBIS_OK &&
	    strspn(port + 1, "0") != strlen(port + 1);
}

int
address_listen(const char *text, int backlog, struct ibis_status *status)
{
	struct sockaddr_storage address = {0};
	socklen_t length = 0;
	int one = 1;
	int fd;

	if (address_parse(text, &address, &length, status) != IBIS_OK)
		return -1;
	fd = socket(
	    address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0 &&
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) == 0 &&
	    bind(fd, (struct sockaddr *)&address, length) == 0 &&
	    listen(fd, backlog) == 0)
		return fd;
	(void)ibis_status_set(
	    status, IBIS_UNAVAILABLE, STEP, text, "%s", strerrordesc_np(errno));
	if (fd >= 0)
		(void)close(fd);
	return -1;
}

void
address_of_socket(int fd, char text[ADDRESS_TEXT_BYTES])
{
	struct sockaddr_storage address = {0};
	socklen_t length = sizeof(address);
	char host[ADDRESS_TEXT_BYTES];
	char port[sizeof("65535")];

	text[0] = '\0';
	if (getsockname(fd, (struct sockaddr *)&address, &length) != 0 ||
	    getnameinfo((struct sockaddr *)&address, length, host, sizeof(host),
		port, sizeof(port), NI_NUMERICHOST | NI_NUMERICSERV) != 0)
		return;
	(void)snprintf(text, ADDRESS_TEXT_BYTES,
	    address.ss_family == AF_INET6 ? "[%.50s]:%s" : "%.50s:%s", host,
	    port);
}
