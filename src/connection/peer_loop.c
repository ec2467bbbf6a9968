#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/peer_session.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/race_check.h"

#define LISTEN_BACKLOG	 256
#define MAX_EPOLL_EVENTS 128
#define MAX_CONNECTIONS	 2048
/* An accepted connection without data is closed after timeout_ms times this. */
#define ACCEPTED_IDLE_TIMEOUTS 3
#define MAX_TIMER_INTERVAL_MS  1000

static void
accept_connections(struct peer_loop *loop)
{
	int fd;

	while ((fd = accept4(loop->listen_fd, NULL, NULL,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		if (loop->stopping ||
		    loop->connections_count >= MAX_CONNECTIONS)
			(void)close(fd);
		else
			peer_session_add(loop, peer_connection_new(fd));
	}
}

static struct peer *
find_peer(
    const struct peer_loop *loop, const struct peer_link_state *link_state)
{
	for (size_t i = 0; i < loop->peers_count; i++) {
		if (loop->peers[i]->link_state == link_state)
			return loop->peers[i];
	}
	return NULL;
}

static void
remove_peer(struct peer_loop *loop, struct peer *peer)
{
	if (peer->connection != NULL) {
		struct peer_connection *connection = peer->connection;

		peer_session_close(loop, connection, "no longer a peer");
		connection->peer = NULL;
	}
	peer_link_state_release(peer->link_state);
	mem_free(peer);
}

static struct peer *
new_peer(const struct peer_loop *loop, const struct peer_target *target)
{
	struct peer *peer = mem_calloc(1, sizeof(*peer));

	peer->address = target->address;
	peer->link_state = target->link_state;
	for (size_t i = 0; i < loop->connections_count; i++) {
		const struct peer_connection *connection = loop->connections[i];

		if (strcmp(connection->name, peer->address.name) == 0 &&
		    connection->incarnation > peer->incarnation)
			peer->incarnation = connection->incarnation;
	}
	return peer;
}

/* Takes ownership of the targets' references to link state. */
static void
set_peers(struct peer_loop *loop, struct peer_command *command)
{
	struct peer **peers =
	    mem_calloc(command->targets_count, sizeof(struct peer *));

	for (size_t i = 0; i < command->targets_count; i++) {
		struct peer_target *target = &command->targets[i];

		peers[i] = find_peer(loop, target->link_state);
		if (peers[i] == NULL)
			peers[i] = new_peer(loop, target);
		else
			peer_link_state_release(target->link_state);
	}
	for (size_t i = 0; i < loop->peers_count; i++) {
		bool kept = false;

		for (size_t j = 0; j < command->targets_count; j++)
			kept = kept || peers[j] == loop->peers[i];
		if (!kept)
			remove_peer(loop, loop->peers[i]);
	}
	mem_free(loop->peers);
	loop->peers = peers;
	loop->peers_count = command->targets_count;
	loop->next_timer_ms = 0;
}

static void
queue_frame(struct peer_loop *loop, struct peer_command *command)
{
	struct peer *peer = find_peer(loop, command->link_state);

	if (peer != NULL && peer->connection != NULL &&
	    peer->connection->established) {
		buffer_append(&peer->connection->out, command->bytes.data,
		    command->bytes.length);
	} else {
		(void)atomic_fetch_sub(
		    &command->link_state->queued_bytes, command->bytes.length);
	}
	buffer_free(&command->bytes);
	peer_link_state_release(command->link_state);
}

static void
run_command(struct peer_loop *loop, struct peer_command *command)
{
	switch (command->kind) {
	case COMMAND_SEND:
		queue_frame(loop, command);
		break;
	case COMMAND_SET_PEERS:
		set_peers(loop, command);
		break;
	case COMMAND_STOP:
		loop->stopping = true;
		break;
	}
	mem_free(command->targets);
	mem_free(command);
}

static void
run_commands(struct peer_loop *loop)
{
	struct cds_wfcq_node *node;
	uint64_t count;

	if (read(loop->wake_fd, &count, sizeof(count)) < 0 && errno != EAGAIN)
		log_event(LOG_ERROR, "link_wake_failed", "message",
		    strerrordesc_np(errno), NULL);
	while ((node = __cds_wfcq_dequeue_blocking(
		    &loop->commands_head, &loop->commands_tail)) != NULL) {
		TSAN_ACQUIRE(node);
		run_command(
		    loop, caa_container_of(node, struct peer_command, node));
	}
	/* Frames queued together are sent in one write. */
	for (size_t i = 0; i < loop->peers_count; i++) {
		struct peer_connection *connection = loop->peers[i]->connection;

		if (connection != NULL && !connection->write_watched)
			peer_session_flush(loop, connection);
	}
}

static void
run_peer_timer(struct peer_loop *loop, struct peer *peer, int64_t now_ms)
{
	if (peer->connection == NULL) {
		if (now_ms >= peer->next_dial_ms)
			peer_session_dial(loop, peer, now_ms);
	} else if (peer->unanswered_since_ms != 0 &&
	    now_ms - peer->unanswered_since_ms > loop->config.timeout_ms) {
		counter_add(COUNTER_LINKS_SILENT, 1);
		log_event(LOG_WARN, "link_silent", "peer", peer->address.name,
		    "address", peer->address.address, "silent_ms",
		    log_number(now_ms - peer->unanswered_since_ms), NULL);
		peer_session_close(loop, peer->connection, "silent");
	} else if (!peer->connection->connecting &&
	    now_ms >= peer->next_ping_ms) {
		peer_session_ping(loop, peer, now_ms);
	}
}

static int64_t
next_peer_timer_ms(const struct peer_loop *loop, const struct peer *peer)
{
	int64_t due_ms = peer->next_ping_ms;
	int64_t timeout_at_ms =
	    peer->unanswered_since_ms + loop->config.timeout_ms + 1;

	if (peer->connection == NULL)
		return peer->next_dial_ms;
	if (peer->connection->connecting)
		return timeout_at_ms;
	if (peer->unanswered_since_ms != 0 && timeout_at_ms < due_ms)
		due_ms = timeout_at_ms;
	return due_ms;
}

static void
close_idle_connections(struct peer_loop *loop, int64_t now_ms)
{
	int64_t limit_ms =
	    (int64_t)ACCEPTED_IDLE_TIMEOUTS * loop->config.timeout_ms;

	for (size_t i = 0; i < loop->connections_count; i++) {
		struct peer_connection *connection = loop->connections[i];

		if (connection->peer == NULL &&
		    now_ms - connection->received_ms > limit_ms)
			peer_session_close(loop, connection, "silent");
	}
}

static void
run_timers(struct peer_loop *loop)
{
	int64_t now_ms = clock_now_ms();
	int64_t next_ms = now_ms + MAX_TIMER_INTERVAL_MS;

	if (now_ms < loop->next_timer_ms)
		return;
	for (size_t i = 0; i < loop->peers_count; i++) {
		int64_t due_ms;

		run_peer_timer(loop, loop->peers[i], now_ms);
		due_ms = next_peer_timer_ms(loop, loop->peers[i]);
		if (due_ms < next_ms)
			next_ms = due_ms;
	}
	close_idle_connections(loop, now_ms);
	loop->next_timer_ms = next_ms;
}

static void
free_closed(struct peer_loop *loop)
{
	size_t kept = 0;

	for (size_t i = 0; i < loop->connections_count; i++) {
		if (loop->connections[i]->closed)
			peer_connection_free(loop->connections[i]);
		else
			loop->connections[kept++] = loop->connections[i];
	}
	loop->connections_count = kept;
}

/* Waits for epoll events until until_ms and handles one batch of them. */
static void
handle_events(struct peer_loop *loop, int64_t until_ms)
{
	struct epoll_event ready[MAX_EPOLL_EVENTS];
	int64_t wait_ms = until_ms - clock_now_ms();
	int count;

	if (wait_ms < 0)
		wait_ms = 0;
	count =
	    epoll_wait(loop->epoll_fd, ready, MAX_EPOLL_EVENTS, (int)wait_ms);
	for (int i = 0; i < count; i++) {
		if (ready[i].data.ptr == &loop->wake_fd)
			run_commands(loop);
		else if (ready[i].data.ptr == &loop->listen_fd)
			accept_connections(loop);
		else
			peer_session_handle_ready(
			    loop, ready[i].data.ptr, ready[i].events);
	}
	free_closed(loop);
}

/*
 * Closes dialled connections that are not established and shuts down the
 * sending side of those with nothing left to send, so that the other end
 * receives all data before the end of the stream. Returns the number of
 * established dialled connections.
 */
static size_t
shut_down_flushed(struct peer_loop *loop)
{
	size_t open = 0;

	for (size_t i = 0; i < loop->peers_count; i++) {
		struct peer_connection *connection = loop->peers[i]->connection;

		if (connection == NULL)
			continue;
		if (!connection->established)
			peer_session_close(loop, connection, "stopping");
		else
			open++;
		if (peer_connection_unsent_bytes(connection) == 0)
			(void)shutdown(connection->fd, SHUT_WR);
	}
	return open;
}

static void
finish_sending(struct peer_loop *loop)
{
	int64_t deadline_ms = clock_now_ms() + loop->config.timeout_ms;

	while (shut_down_flushed(loop) > 0 && clock_now_ms() < deadline_ms)
		handle_events(loop, deadline_ms);
}

static void *
link_thread(void *argument)
{
	struct peer_loop *loop = argument;

	while (!loop->stopping) {
		handle_events(loop, loop->next_timer_ms);
		if (!loop->stopping)
			run_timers(loop);
		free_closed(loop);
	}
	finish_sending(loop);
	return NULL;
}

static bool
watch_fd(struct peer_loop *loop, int *fd)
{
	struct epoll_event event = {.events = EPOLLIN, .data.ptr = fd};

	return epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, *fd, &event) == 0;
}

static void
close_fd(int fd)
{
	if (fd >= 0)
		(void)close(fd);
}

static void
free_loop(struct peer_loop *loop)
{
	close_fd(loop->epoll_fd);
	close_fd(loop->listen_fd);
	close_fd(loop->wake_fd);
	cds_wfcq_destroy(&loop->commands_head, &loop->commands_tail);
	mem_free(loop->connections);
	mem_free(loop->peers);
	mem_free(loop);
}

struct peer_loop *
peer_loop_start(const struct peer_links_config *config,
    struct event_queue *events, struct ibis_status *status)
{
	struct peer_loop *loop = mem_calloc(1, sizeof(*loop));

	loop->config = *config;
	STRING_COPY(loop->name, config->name);
	loop->events = events;
	loop->random_state = config->incarnation | 1;
	cds_wfcq_init(&loop->commands_head, &loop->commands_tail);
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	loop->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	loop->listen_fd =
	    address_listen(config->listen_address, LISTEN_BACKLOG, status);
	if (loop->listen_fd < 0) {
		free_loop(loop);
		return NULL;
	}
	address_of_socket(loop->listen_fd, loop->address);
	if (!watch_fd(loop, &loop->wake_fd) ||
	    !watch_fd(loop, &loop->listen_fd) ||
	    pthread_create(&loop->thread, NULL, link_thread, loop) != 0) {
		(void)ibis_status_set(status, IBIS_INTERNAL, "start links",
		    NULL, "%s", strerrordesc_np(errno));
		free_loop(loop);
		return NULL;
	}
	return loop;
}

void
peer_loop_post(struct peer_loop *loop, const struct peer_command *command)
{
	struct peer_command *copy = mem_calloc(1, sizeof(*copy));
	uint64_t one = 1;

	*copy = *command;
	cds_wfcq_node_init(&copy->node);
	TSAN_RELEASE(&copy->node);
	if (!cds_wfcq_enqueue(
		&loop->commands_head, &loop->commands_tail, &copy->node) &&
	    write(loop->wake_fd, &one, sizeof(one)) < 0)
		return; /* counter full: a wake-up is already pending */
}

void
peer_loop_stop(struct peer_loop *loop)
{
	struct peer_command stop = {.kind = COMMAND_STOP};

	peer_loop_post(loop, &stop);
	(void)pthread_join(loop->thread, NULL);
	run_commands(loop);
	for (size_t i = 0; i < loop->peers_count; i++)
		remove_peer(loop, loop->peers[i]);
	for (size_t i = 0; i < loop->connections_count; i++)
		loop->connections[i]->closed = true;
	free_closed(loop);
	free_loop(loop);
}

const char *
peer_loop_address(const struct peer_loop *loop)
{
	return loop->address;
}

void
peer_loop_traffic(
    const struct peer_loop *loop, uint64_t *sent, uint64_t *received)
{
	*sent = atomic_load(&loop->sent_bytes);
	*received = atomic_load(&loop->received_bytes);
}
