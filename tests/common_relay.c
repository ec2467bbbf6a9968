#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common_http.h"
#include "common_relay.h"
#include "connection/address.h"
#include "process/alloc.h"

#define MAX_PAIRS	128
#define POLL_TIMEOUT_MS 5
#define READ_BYTES	65536
#define BACKLOG		64

/* Both sockets of one relayed connection; -1 once closed. */
struct pair {
	int ends[2];
	bool stalled; /* stays open but forwards nothing */
};

struct relay {
	char target[ADDRESS_TEXT_BYTES];
	char address[ADDRESS_TEXT_BYTES];
	int listen_fd;
	pthread_t thread;
	atomic_bool stopping;
	atomic_bool stall_requested;
	atomic_bool partitioned;
	atomic_uint accepted;
	struct pair pairs[MAX_PAIRS]; /* used by the thread only */
	size_t count;
};

static void
accept_pair(struct relay *relay)
{
	int fd = accept4(relay->listen_fd, NULL, NULL, SOCK_CLOEXEC);
	int other;

	if (fd < 0)
		return;
	other = relay->count < MAX_PAIRS ? http_connect(relay->target) : -1;
	if (other < 0) {
		(void)close(fd);
		return;
	}
	(void)atomic_fetch_add(&relay->accepted, 1);
	relay->pairs[relay->count++] = (struct pair){.ends = {fd, other}};
}

static void
close_pair(struct pair *pair)
{
	for (int i = 0; i < 2; i++) {
		if (pair->ends[i] >= 0)
			(void)close(pair->ends[i]);
		pair->ends[i] = -1;
	}
}

/* Forwards data that one end has sent; closes both ends when one is closed. */
static void
forward(struct pair *pair, int from)
{
	static char bytes[READ_BYTES];
	ssize_t length = recv(pair->ends[from], bytes, sizeof(bytes), 0);
	ssize_t sent = 0;

	while (length > 0 && sent < length) {
		ssize_t part = send(pair->ends[1 - from], bytes + sent,
		    (size_t)(length - sent), MSG_NOSIGNAL);

		if (part <= 0)
			break;
		sent += part;
	}
	if (length <= 0 || sent < length)
		close_pair(pair);
}

static void
relay_once(struct relay *relay)
{
	struct pollfd ready[1 + 2 * MAX_PAIRS] = {
	    {.fd = relay->listen_fd, .events = POLLIN},
	};
	size_t count = relay->count;

	for (size_t i = 0; i < count; i++) {
		for (size_t k = 0; k < 2; k++)
			ready[1 + 2 * i + k] = (struct pollfd){
			    .fd = relay->pairs[i].stalled
				? -1
				: relay->pairs[i].ends[k],
			    .events = POLLIN,
			};
	}
	if (poll(ready, 1 + 2 * count, POLL_TIMEOUT_MS) <= 0)
		return;
	for (size_t i = 0; i < count; i++) {
		for (int k = 0; k < 2; k++) {
			if (ready[1 + 2 * i + (size_t)k].revents != 0 &&
			    relay->pairs[i].ends[k] >= 0)
				forward(&relay->pairs[i], k);
		}
	}
	if (ready[0].revents != 0)
		accept_pair(relay);
}

static void *
run(void *argument)
{
	struct relay *relay = argument;

	while (!atomic_load(&relay->stopping)) {
		if (atomic_exchange(&relay->stall_requested, false) ||
		    atomic_load(&relay->partitioned)) {
			for (size_t i = 0; i < relay->count; i++)
				relay->pairs[i].stalled = true;
		}
		relay_once(relay);
	}
	return NULL;
}

struct relay *
relay_start(const char *target)
{
	struct relay *relay = mem_calloc(1, sizeof(*relay));

	STRING_COPY(relay->target, target);
	relay->listen_fd = address_listen("127.0.0.1:0", BACKLOG, NULL);
	if (relay->listen_fd < 0) {
		mem_free(relay);
		return NULL;
	}
	address_of_socket(relay->listen_fd, relay->address);
	if (pthread_create(&relay->thread, NULL, run, relay) != 0) {
		(void)close(relay->listen_fd);
		mem_free(relay);
		return NULL;
	}
	return relay;
}

const char *
relay_address(const struct relay *relay)
{
	return relay->address;
}

void
relay_stall_connections(struct relay *relay)
{
	atomic_store(&relay->stall_requested, true);
}

void
relay_set_partitioned(struct relay *relay, bool partitioned)
{
	atomic_store(&relay->partitioned, partitioned);
}

uint32_t
relay_accepted_count(const struct relay *relay)
{
	return atomic_load(&relay->accepted);
}

void
relay_stop(struct relay *relay)
{
	if (relay == NULL)
		return;
	atomic_store(&relay->stopping, true);
	(void)pthread_join(relay->thread, NULL);
	for (size_t i = 0; i < relay->count; i++)
		close_pair(&relay->pairs[i]);
	(void)close(relay->listen_fd);
	mem_free(relay);
}
