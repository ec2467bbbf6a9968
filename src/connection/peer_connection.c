#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/address.h"
#include "connection/peer_connection.h"
#include "process/alloc.h"

#define READ_CHUNK_BYTES    65536
#define MAX_READS_PER_EVENT 16

static void
set_no_delay(int fd)
{
	int one = 1;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

struct peer_connection *
peer_connection_new(int fd)
{
	struct peer_connection *connection = mem_calloc(1, sizeof(*connection));

	connection->fd = fd;
	set_no_delay(fd);
	return connection;
}

struct peer_connection *
peer_connection_dial(const char *address, struct ibis_status *status)
{
	struct sockaddr_storage storage = {0};
	struct peer_connection *connection;
	socklen_t length = 0;
	int fd;

	if (address_parse(address, &storage, &length, status) != IBIS_OK)
		return NULL;
	fd = socket(
	    storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0 ||
	    (connect(fd, (struct sockaddr *)&storage, length) < 0 &&
		errno != EINPROGRESS)) {
		(void)ibis_status_set(status, IBIS_UNAVAILABLE, "dial", address,
		    "%s", strerrordesc_np(errno));
		if (fd >= 0)
			(void)close(fd);
		return NULL;
	}
	connection = peer_connection_new(fd);
	connection->connecting = true;
	return connection;
}

bool
peer_connection_finish_connect(struct peer_connection *connection)
{
	int error = 0;
	socklen_t length = sizeof(error);

	connection->connecting = false;
	return getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error,
		   &length) == 0 &&
	    error == 0;
}

bool
peer_connection_read(struct peer_connection *connection, uint64_t *received)
{
	char bytes[READ_CHUNK_BYTES];
	ssize_t length;

	for (int i = 0; i < MAX_READS_PER_EVENT; i++) {
		length = recv(connection->fd, bytes, sizeof(bytes), 0);
		if (length == 0)
			return false;
		if (length < 0)
			return errno == EAGAIN || errno == EINTR;
		buffer_append(&connection->in, bytes, (size_t)length);
		*received += (uint64_t)length;
		if ((size_t)length < sizeof(bytes))
			return true;
	}
	return true;
}

size_t
peer_connection_unsent_bytes(const struct peer_connection *connection)
{
	return connection->out.length - connection->out_sent;
}

/*
 * Removes written bytes from the send buffer once they are at least half of
 * it, so that the cost of moving the rest stays low.
 */
static void
discard_sent(struct peer_connection *connection)
{
	if (connection->out_sent * 2 < connection->out.length)
		return;
	buffer_consume(&connection->out, connection->out_sent);
	connection->out_sent = 0;
}

bool
peer_connection_write(struct peer_connection *connection, size_t *written)
{
	ssize_t length;

	*written = 0;
	while (peer_connection_unsent_bytes(connection) > 0) {
		length = send(connection->fd,
		    connection->out.data + connection->out_sent,
		    peer_connection_unsent_bytes(connection), MSG_NOSIGNAL);
		if (length < 0) {
			discard_sent(connection);
			return errno == EAGAIN || errno == EINTR;
		}
		connection->out_sent += (size_t)length;
		*written += (size_t)length;
	}
	discard_sent(connection);
	return true;
}

void
peer_connection_free(struct peer_connection *connection)
{
	(void)close(connection->fd);
	buffer_free(&connection->in);
	buffer_free(&connection->out);
	mem_free(connection);
}
