#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/address.h"
#include "connection/frame.h"
#include "connection/peer_connection.h"
#include "connection/peer_loop.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/log.h"

#define LISTEN_BACKLOG	     256
#define EPOLL_BATCH	     128
#define MAX_ACCEPTED	     2048
#define FIRST_BACKOFF_MS     50
#define MAX_BACKOFF_MS	     1000
#define SILENT_TIMEOUTS	     3 /* of an accepted connection */
#define ACCEPTED_QUEUE_BYTES 65536
#define JITTER_PERCENT	     50
#define MAX_TICK_MS	     1000

/* A peer that this instance dials. */
struct peer {
	struct peer_address address;
	struct peer_gate *gate;
	struct peer_connection *connection; /* NULL between attempts */
	uint64_t incarnation;	  /* from its Hello on an accepted connection */
	uint64_t sequence;	  /* of the last Ping */
	int64_t waiting_since_ms; /* connecting, or first Ping unanswered; 0 */
	int64_t next_ping_ms;
	int64_t next_dial_ms;
	int32_t backoff_ms;
};

struct peer_loop {
	struct peer_links_config config;
	char name[JOB_NAME_BYTES];
	char address[ADDRESS_TEXT_BYTES];
	struct event_queue *events;
	int epoll_fd;
	int listen_fd;
	int wake_fd;
	pthread_t thread;
	struct cds_wfcq_head commands_head;
	struct cds_wfcq_tail commands_tail;
	struct peer **peers;
	size_t peers_count;
	struct peer_connection **connections; /* all open ones */
	size_t connections_count;
	size_t connections_capacity;
	int64_t next_timer_ms;
	uint64_t random;
	bool stopping;
	atomic_uint_fast64_t sent_bytes;
	atomic_uint_fast64_t received_bytes;
};

static uint64_t
next_random(struct peer_loop *loop)
{
	loop->random ^= loop->random << 13;
	loop->random ^= loop->random >> 7;
	loop->random ^= loop->random << 17;
	return loop->random;
}

static void
watch(struct peer_loop *loop, struct peer_connection *connection, int operation)
{
	struct epoll_event event = {
	    .events = EPOLLIN | (connection->wants_write ? EPOLLOUT : 0),
	    .data.ptr = connection,
	};

	(void)epoll_ctl(loop->epoll_fd, operation, connection->fd, &event);
}

static void
add_connection(struct peer_loop *loop, struct peer_connection *connection)
{
	loop->connections =
	    mem_grow(loop->connections, &loop->connections_capacity,
		loop->connections_count + 1, sizeof(struct peer_connection *));
	loop->connections[loop->connections_count++] = connection;
	connection->received_ms = clock_now_ms();
	connection->wants_write = connection->connecting;
	watch(loop, connection, EPOLL_CTL_ADD);
}

static void
post_state(struct peer_loop *loop, const struct peer *peer, bool up)
{
	struct event event = {.kind = EVENT_PEER_STATE};

	STRING_COPY(event.link.peer, peer->address.name);
	event.link.incarnation = peer->incarnation;
	event.link.up = up;
	event_queue_post(loop->events, &event);
	log_event(LOG_INFO, up ? "link_up" : "link_down", "peer",
	    peer->address.name, "address", peer->address.address, NULL);
}

/* A peer whose link had been up is dialled again at once. */
static void
schedule_dial(struct peer_loop *loop, struct peer *peer, bool was_up)
{
	int32_t spread;

	if (was_up || peer->backoff_ms == 0)
		peer->backoff_ms = FIRST_BACKOFF_MS;
	else if (peer->backoff_ms < MAX_BACKOFF_MS)
		peer->backoff_ms *= 2;
	spread = peer->backoff_ms * JITTER_PERCENT / 100;
	peer->next_dial_ms = clock_now_ms();
	if (!was_up)
		peer->next_dial_ms += peer->backoff_ms - spread +
		    (int64_t)(next_random(loop) % (uint64_t)(2 * spread));
	loop->next_timer_ms = 0;
}

/* Takes the connection out of use; it is freed after the batch. */
static void
close_connection(struct peer_loop *loop, struct peer_connection *connection,
    const char *reason)
{
	struct peer *peer = connection->peer;
	size_t unsent = peer_connection_unsent(connection);
	bool was_up;

	if (connection->closed)
		return;
	connection->closed = true;
	log_event(LOG_DEBUG, "link_closed", "peer",
	    peer != NULL ? peer->address.name : connection->name, "reason",
	    reason, NULL);
	if (peer == NULL)
		return;
	was_up = atomic_exchange(&peer->gate->up, false);
	(void)atomic_fetch_sub(&peer->gate->queued_bytes, unsent);
	peer->connection = NULL;
	peer->waiting_since_ms = 0;
	if (was_up && !loop->stopping)
		post_state(loop, peer, false);
	schedule_dial(loop, peer, was_up);
}

static void
flush(struct peer_loop *loop, struct peer_connection *connection)
{
	size_t written;
	bool fine;
	bool wants_write;

	if (connection->closed || connection->connecting)
		return;
	fine = peer_connection_write(connection, &written);
	(void)atomic_fetch_add(&loop->sent_bytes, written);
	if (connection->peer != NULL)
		(void)atomic_fetch_sub(
		    &connection->peer->gate->queued_bytes, written);
	if (!fine) {
		close_connection(loop, connection, "write failed");
		return;
	}
	wants_write = peer_connection_unsent(connection) > 0;
	if (wants_write != connection->wants_write) {
		connection->wants_write = wants_write;
		watch(loop, connection, EPOLL_CTL_MOD);
	}
}

/* Queues a frame of the link's own. */
static void
send_frame(struct peer_loop *loop, struct peer_connection *connection,
    const Ibis__Frame *frame)
{
	size_t before = connection->out.length;

	if (frame_encode(frame, loop->config.max_frame_bytes, &connection->out,
		NULL) != IBIS_OK)
		return;
	if (connection->peer != NULL)
		(void)atomic_fetch_add(&connection->peer->gate->queued_bytes,
		    connection->out.length - before);
	flush(loop, connection);
}

static void
send_hello(struct peer_loop *loop, struct peer_connection *connection)
{
	Ibis__Hello hello = IBIS__HELLO__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;

	hello.name = loop->name;
	hello.incarnation = loop->config.incarnation;
	hello.protocol = PEER_PROTOCOL;
	frame.body_case = IBIS__FRAME__BODY_HELLO;
	frame.hello = &hello;
	send_frame(loop, connection, &frame);
}

static void
send_ping(struct peer_loop *loop, struct peer *peer, int64_t now_ms)
{
	Ibis__Ping ping = IBIS__PING__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;

	ping.sequence = ++peer->sequence;
	frame.body_case = IBIS__FRAME__BODY_PING;
	frame.ping = &ping;
	if (peer->waiting_since_ms == 0)
		peer->waiting_since_ms = now_ms;
	peer->next_ping_ms = now_ms + loop->config.heartbeat_interval_ms;
	send_frame(loop, peer->connection, &frame);
}

static void
send_pong(struct peer_loop *loop, struct peer_connection *connection,
    uint64_t sequence)
{
	Ibis__Pong pong = IBIS__PONG__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;

	pong.sequence = sequence;
	frame.body_case = IBIS__FRAME__BODY_PONG;
	frame.pong = &pong;
	if (peer_connection_unsent(connection) > ACCEPTED_QUEUE_BYTES)
		close_connection(loop, connection, "Pongs are not read");
	else
		send_frame(loop, connection, &frame);
}

static void
dial(struct peer_loop *loop, struct peer *peer, int64_t now_ms)
{
	struct ibis_status status;

	peer->connection = peer_connection_dial(peer->address.address, &status);
	if (peer->connection == NULL) {
		log_event(LOG_WARN, "link_dial_failed", "peer",
		    peer->address.name, "address", peer->address.address,
		    "message", status.message, NULL);
		schedule_dial(loop, peer, false);
		return;
	}
	peer->connection->peer = peer;
	peer->waiting_since_ms = now_ms;
	add_connection(loop, peer->connection);
}

static void
finish_dial(struct peer_loop *loop, struct peer_connection *connection)
{
	if (!peer_connection_connected(connection)) {
		close_connection(loop, connection, "connect failed");
		return;
	}
	send_hello(loop, connection);
	if (!connection->closed)
		send_ping(loop, connection->peer, clock_now_ms());
}

/* What the other end of a dialled connection sends: Pongs only. */
static void
receive_dialled(struct peer_loop *loop, struct peer_connection *connection,
    const Ibis__Frame *frame)
{
	struct peer *peer = connection->peer;

	if (frame->body_case != IBIS__FRAME__BODY_PONG) {
		close_connection(loop, connection, "expected a Pong");
		return;
	}
	/* An older Pong leaves the last Ping unanswered. */
	peer->waiting_since_ms =
	    frame->pong->sequence >= peer->sequence ? 0 : clock_now_ms();
	if (connection->greeted)
		return;
	connection->greeted = true;
	peer->backoff_ms = 0;
	atomic_store(&peer->gate->up, true);
	post_state(loop, peer, true);
}

static void
receive_hello(struct peer_loop *loop, struct peer_connection *connection,
    const Ibis__Hello *hello)
{
	if (hello->protocol != PEER_PROTOCOL) {
		log_event(LOG_WARN, "link_refused", "peer", hello->name,
		    "protocol", log_number(hello->protocol), "expected",
		    log_number(PEER_PROTOCOL), NULL);
		close_connection(loop, connection, "protocol version");
		return;
	}
	STRING_COPY(connection->name, hello->name);
	connection->greeted = true;
	for (size_t i = 0; i < loop->peers_count; i++) {
		struct peer *peer = loop->peers[i];

		if (strcmp(peer->address.name, hello->name) == 0 &&
		    hello->incarnation > peer->incarnation)
			peer->incarnation = hello->incarnation;
	}
}

static void
post_frame(struct peer_loop *loop, struct peer_connection *connection,
    Ibis__Frame **frame)
{
	struct event event = {.kind = EVENT_PEER_FRAME};

	if (loop->stopping)
		return;
	STRING_COPY(event.frame.peer, connection->name);
	event.frame.frame = *frame;
	*frame = NULL;
	event_queue_post(loop->events, &event);
}

/* Takes *frame over when it is for the control thread. */
static void
receive_accepted(struct peer_loop *loop, struct peer_connection *connection,
    Ibis__Frame **frame)
{
	bool is_hello = (*frame)->body_case == IBIS__FRAME__BODY_HELLO;

	if (is_hello == connection->greeted) {
		close_connection(loop, connection,
		    is_hello ? "a second Hello" : "expected a Hello");
		return;
	}
	switch ((*frame)->body_case) {
	case IBIS__FRAME__BODY_HELLO:
		receive_hello(loop, connection, (*frame)->hello);
		break;
	case IBIS__FRAME__BODY_PING:
		send_pong(loop, connection, (*frame)->ping->sequence);
		break;
	case IBIS__FRAME__BODY_PONG:
		close_connection(loop, connection, "unexpected Pong");
		break;
	default:
		post_frame(loop, connection, frame);
		break;
	}
}

/* Handles every whole frame that has come. */
static void
receive_frames(struct peer_loop *loop, struct peer_connection *connection)
{
	struct ibis_status status;
	Ibis__Frame *frame;
	size_t position = 0;
	size_t consumed;

	while (!connection->closed) {
		if (frame_decode(connection->in.data + position,
			connection->in.length - position,
			loop->config.max_frame_bytes, &frame, &consumed,
			&status) != IBIS_OK) {
			log_event(LOG_WARN, "frame_refused", "peer",
			    connection->name, "message", status.message, NULL);
			close_connection(loop, connection, status.message);
			return;
		}
		if (consumed == 0)
			break;
		position += consumed;
		if (connection->peer != NULL)
			receive_dialled(loop, connection, frame);
		else
			receive_accepted(loop, connection, &frame);
		frame_free(frame);
	}
	buffer_consume(&connection->in, position);
}

static void
receive(struct peer_loop *loop, struct peer_connection *connection)
{
	uint64_t received = 0;
	bool open = peer_connection_read(connection, &received);

	(void)atomic_fetch_add(&loop->received_bytes, received);
	if (received > 0) {
		connection->received_ms = clock_now_ms();
		receive_frames(loop, connection);
	}
	if (!open)
		close_connection(loop, connection, "closed by the other end");
}

static void
serve_connection(
    struct peer_loop *loop, struct peer_connection *connection, uint32_t ready)
{
	if (connection->closed)
		return;
	if (connection->connecting) {
		finish_dial(loop, connection);
		return;
	}
	if ((ready & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
		receive(loop, connection);
	if ((ready & EPOLLOUT) != 0)
		flush(loop, connection);
}

static void
accept_connections(struct peer_loop *loop)
{
	int fd;

	while ((fd = accept4(loop->listen_fd, NULL, NULL,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		if (loop->stopping || loop->connections_count >= MAX_ACCEPTED)
			(void)close(fd);
		else
			add_connection(loop, peer_connection_accepted(fd));
	}
}

static struct peer *
find_peer(const struct peer_loop *loop, const struct peer_gate *gate)
{
	for (size_t i = 0; i < loop->peers_count; i++) {
		if (loop->peers[i]->gate == gate)
			return loop->peers[i];
	}
	return NULL;
}

static void
drop_peer(struct peer_loop *loop, struct peer *peer)
{
	if (peer->connection != NULL) {
		struct peer_connection *connection = peer->connection;

		close_connection(loop, connection, "no longer a peer");
		connection->peer = NULL;
	}
	peer_gate_release(peer->gate);
	mem_free(peer);
}

static struct peer *
new_peer(struct peer_target *target)
{
	struct peer *peer = mem_calloc(1, sizeof(*peer));

	peer->address = target->address;
	peer->gate = target->gate;
	return peer;
}

/* Takes the targets' gates over. */
static void
set_peers(struct peer_loop *loop, struct peer_command *command)
{
	struct peer **peers =
	    mem_calloc(command->targets_count, sizeof(struct peer *));

	for (size_t i = 0; i < command->targets_count; i++) {
		struct peer_target *target = &command->targets[i];

		peers[i] = find_peer(loop, target->gate);
		if (peers[i] == NULL)
			peers[i] = new_peer(target);
		else
			peer_gate_release(target->gate);
	}
	for (size_t i = 0; i < loop->peers_count; i++) {
		bool kept = false;

		for (size_t j = 0; j < command->targets_count; j++)
			kept = kept || peers[j] == loop->peers[i];
		if (!kept)
			drop_peer(loop, loop->peers[i]);
	}
	mem_free(loop->peers);
	loop->peers = peers;
	loop->peers_count = command->targets_count;
	loop->next_timer_ms = 0;
}

static void
queue_frame(struct peer_loop *loop, struct peer_command *command)
{
	struct peer *peer = find_peer(loop, command->gate);

	if (peer != NULL && peer->connection != NULL &&
	    peer->connection->greeted) {
		buffer_append(&peer->connection->out, command->bytes.data,
		    command->bytes.length);
	} else {
		(void)atomic_fetch_sub(
		    &command->gate->queued_bytes, command->bytes.length);
	}
	buffer_free(&command->bytes);
	peer_gate_release(command->gate);
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
		    &loop->commands_head, &loop->commands_tail)) != NULL)
		run_command(
		    loop, caa_container_of(node, struct peer_command, node));
	/* One write for all frames that came together. */
	for (size_t i = 0; i < loop->peers_count; i++) {
		struct peer_connection *connection = loop->peers[i]->connection;

		if (connection != NULL && !connection->wants_write)
			flush(loop, connection);
	}
}

static void
run_peer_timer(struct peer_loop *loop, struct peer *peer, int64_t now_ms)
{
	if (peer->connection == NULL) {
		if (now_ms >= peer->next_dial_ms)
			dial(loop, peer, now_ms);
	} else if (peer->waiting_since_ms != 0 &&
	    now_ms - peer->waiting_since_ms > loop->config.timeout_ms) {
		log_event(LOG_WARN, "link_silent", "peer", peer->address.name,
		    "address", peer->address.address, "silent_ms",
		    log_number(now_ms - peer->waiting_since_ms), NULL);
		close_connection(loop, peer->connection, "silent");
	} else if (!peer->connection->connecting &&
	    now_ms >= peer->next_ping_ms) {
		send_ping(loop, peer, now_ms);
	}
}

static int64_t
peer_due_ms(const struct peer_loop *loop, const struct peer *peer)
{
	int64_t due_ms = peer->next_ping_ms;
	int64_t silent_ms =
	    peer->waiting_since_ms + loop->config.timeout_ms + 1;

	if (peer->connection == NULL)
		return peer->next_dial_ms;
	if (peer->connection->connecting)
		return silent_ms;
	if (peer->waiting_since_ms != 0 && silent_ms < due_ms)
		due_ms = silent_ms;
	return due_ms;
}

static void
close_idle(struct peer_loop *loop, int64_t now_ms)
{
	int64_t limit_ms = (int64_t)SILENT_TIMEOUTS * loop->config.timeout_ms;

	for (size_t i = 0; i < loop->connections_count; i++) {
		struct peer_connection *connection = loop->connections[i];

		if (connection->peer == NULL &&
		    now_ms - connection->received_ms > limit_ms)
			close_connection(loop, connection, "silent");
	}
}

static void
run_timers(struct peer_loop *loop)
{
	int64_t now_ms = clock_now_ms();
	int64_t next_ms = now_ms + MAX_TICK_MS;

	if (now_ms < loop->next_timer_ms)
		return;
	for (size_t i = 0; i < loop->peers_count; i++) {
		int64_t due_ms;

		run_peer_timer(loop, loop->peers[i], now_ms);
		due_ms = peer_due_ms(loop, loop->peers[i]);
		if (due_ms < next_ms)
			next_ms = due_ms;
	}
	close_idle(loop, now_ms);
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

/* Waits for and handles one batch of events. */
static void
serve(struct peer_loop *loop, int64_t until_ms)
{
	struct epoll_event ready[EPOLL_BATCH];
	int64_t wait_ms = until_ms - clock_now_ms();
	int count;

	if (wait_ms < 0)
		wait_ms = 0;
	count = epoll_wait(loop->epoll_fd, ready, EPOLL_BATCH, (int)wait_ms);
	for (int i = 0; i < count; i++) {
		if (ready[i].data.ptr == &loop->wake_fd)
			run_commands(loop);
		else if (ready[i].data.ptr == &loop->listen_fd)
			accept_connections(loop);
		else
			serve_connection(
			    loop, ready[i].data.ptr, ready[i].events);
	}
	free_closed(loop);
}

/* Closes the sending side of what has been sent whole, so that the other end
 * reads all of it. Returns how many dialled connections are still open. */
static size_t
shut_down_sent(struct peer_loop *loop)
{
	size_t open = 0;

	for (size_t i = 0; i < loop->peers_count; i++) {
		struct peer_connection *connection = loop->peers[i]->connection;

		if (connection == NULL)
			continue;
		if (!connection->greeted)
			close_connection(loop, connection, "stopping");
		else
			open++;
		if (peer_connection_unsent(connection) == 0)
			(void)shutdown(connection->fd, SHUT_WR);
	}
	return open;
}

static void
finish_sending(struct peer_loop *loop)
{
	int64_t deadline_ms = clock_now_ms() + loop->config.timeout_ms;

	while (shut_down_sent(loop) > 0 && clock_now_ms() < deadline_ms)
		serve(loop, deadline_ms);
}

static void *
run(void *argument)
{
	struct peer_loop *loop = argument;

	while (!loop->stopping) {
		serve(loop, loop->next_timer_ms);
		if (!loop->stopping)
			run_timers(loop);
		free_closed(loop);
	}
	finish_sending(loop);
	return NULL;
}

static bool
watch_static(struct peer_loop *loop, int *fd)
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
	loop->random = config->incarnation | 1;
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
	if (!watch_static(loop, &loop->wake_fd) ||
	    !watch_static(loop, &loop->listen_fd) ||
	    pthread_create(&loop->thread, NULL, run, loop) != 0) {
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
	if (!cds_wfcq_enqueue(
		&loop->commands_head, &loop->commands_tail, &copy->node) &&
	    write(loop->wake_fd, &one, sizeof(one)) < 0)
		return; /* a full counter already wakes the thread */
}

void
peer_loop_stop(struct peer_loop *loop)
{
	struct peer_command stop = {.kind = COMMAND_STOP};

	peer_loop_post(loop, &stop);
	(void)pthread_join(loop->thread, NULL);
	run_commands(loop);
	for (size_t i = 0; i < loop->peers_count; i++)
		drop_peer(loop, loop->peers[i]);
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
