#include <string.h>
#include <sys/epoll.h>

#include "connection/frame.h"
#include "connection/peer_session.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"

#define MIN_BACKOFF_MS		 50
#define MAX_BACKOFF_MS		 1000
#define JITTER_PERCENT		 50
#define MAX_ACCEPTED_QUEUE_BYTES 65536

static uint64_t
next_random(struct peer_loop *loop)
{
	loop->random_state ^= loop->random_state << 13;
	loop->random_state ^= loop->random_state >> 7;
	loop->random_state ^= loop->random_state << 17;
	return loop->random_state;
}

static void
update_epoll(
    struct peer_loop *loop, struct peer_connection *connection, int operation)
{
	struct epoll_event event = {
	    .events = EPOLLIN | (connection->write_watched ? EPOLLOUT : 0),
	    .data.ptr = connection,
	};

	(void)epoll_ctl(loop->epoll_fd, operation, connection->fd, &event);
}

void
peer_session_add(struct peer_loop *loop, struct peer_connection *connection)
{
	loop->connections =
	    mem_grow(loop->connections, &loop->connections_capacity,
		loop->connections_count + 1, sizeof(struct peer_connection *));
	loop->connections[loop->connections_count++] = connection;
	connection->received_ms = clock_now_ms();
	connection->write_watched = connection->connecting;
	update_epoll(loop, connection, EPOLL_CTL_ADD);
}

static void
post_link_event(struct peer_loop *loop, enum event_kind kind, const char *name,
    uint64_t incarnation, bool up)
{
	struct event event = {.kind = kind};

	if (loop->stopping)
		return;
	STRING_COPY(event.link.peer, name);
	event.link.incarnation = incarnation;
	event.link.up = up;
	event_queue_post(loop->events, &event);
}

static void
report_link_state(struct peer_loop *loop, const struct peer *peer, bool up)
{
	post_link_event(loop, EVENT_PEER_LINK_CHANGED, peer->address.name,
	    peer->incarnation, up);
	log_event(LOG_INFO, up ? "link_up" : "link_down", "peer",
	    peer->address.name, "address", peer->address.address, NULL);
}

/*
 * Sets the time of the next dial: at once if the link was up, else after an
 * exponential backoff with jitter.
 */
static void
schedule_dial(struct peer_loop *loop, struct peer *peer, bool was_up)
{
	int32_t jitter_ms;

	if (was_up || peer->backoff_ms == 0)
		peer->backoff_ms = MIN_BACKOFF_MS;
	else if (peer->backoff_ms < MAX_BACKOFF_MS)
		peer->backoff_ms *= 2;
	jitter_ms = peer->backoff_ms * JITTER_PERCENT / 100;
	peer->next_dial_ms = clock_now_ms();
	if (!was_up)
		peer->next_dial_ms += peer->backoff_ms - jitter_ms +
		    (int64_t)(next_random(loop) % (uint64_t)(2 * jitter_ms));
	loop->next_timer_ms = 0;
}

void
peer_session_close(struct peer_loop *loop, struct peer_connection *connection,
    const char *reason)
{
	struct peer *peer = connection->peer;
	size_t unsent = peer_connection_unsent_bytes(connection);
	bool was_up;

	if (connection->closed)
		return;
	connection->closed = true;
	log_event(LOG_DEBUG, "link_closed", "peer",
	    peer != NULL ? peer->address.name : connection->name, "reason",
	    reason, NULL);
	if (peer == NULL)
		return;
	was_up = atomic_exchange(&peer->link_state->up, false);
	(void)atomic_fetch_sub(&peer->link_state->queued_bytes, unsent);
	peer->connection = NULL;
	peer->unanswered_since_ms = 0;
	if (was_up)
		report_link_state(loop, peer, false);
	schedule_dial(loop, peer, was_up);
}

void
peer_session_flush(struct peer_loop *loop, struct peer_connection *connection)
{
	size_t written;
	bool write_ok;
	bool wants_write;

	if (connection->closed || connection->connecting)
		return;
	write_ok = peer_connection_write(connection, &written);
	(void)atomic_fetch_add(&loop->sent_bytes, written);
	if (connection->peer != NULL)
		(void)atomic_fetch_sub(
		    &connection->peer->link_state->queued_bytes, written);
	if (!write_ok) {
		peer_session_close(loop, connection, "write failed");
		return;
	}
	wants_write = peer_connection_unsent_bytes(connection) > 0;
	if (wants_write != connection->write_watched) {
		connection->write_watched = wants_write;
		update_epoll(loop, connection, EPOLL_CTL_MOD);
	}
}

/* Sends a frame of the link protocol itself (Hello, Ping, Pong). */
static void
send_frame(struct peer_loop *loop, struct peer_connection *connection,
    const Ibis__Frame *frame)
{
	size_t before = connection->out.length;

	if (frame_encode(frame, loop->config.max_frame_bytes, &connection->out,
		NULL) != IBIS_OK)
		return;
	if (connection->peer != NULL)
		(void)atomic_fetch_add(
		    &connection->peer->link_state->queued_bytes,
		    connection->out.length - before);
	peer_session_flush(loop, connection);
}

static void
send_hello(struct peer_loop *loop, struct peer_connection *connection)
{
	Ibis__Hello hello = IBIS__HELLO__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;

	hello.name = loop->name;
	hello.incarnation = loop->config.incarnation;
	hello.protocol = PEER_PROTOCOL_VERSION;
	frame.body_case = IBIS__FRAME__BODY_HELLO;
	frame.hello = &hello;
	send_frame(loop, connection, &frame);
}

void
peer_session_ping(struct peer_loop *loop, struct peer *peer, int64_t now_ms)
{
	Ibis__Ping ping = IBIS__PING__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;

	ping.sequence = ++peer->sequence;
	frame.body_case = IBIS__FRAME__BODY_PING;
	frame.ping = &ping;
	if (peer->unanswered_since_ms == 0)
		peer->unanswered_since_ms = now_ms;
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
	if (peer_connection_unsent_bytes(connection) > MAX_ACCEPTED_QUEUE_BYTES)
		peer_session_close(loop, connection, "Pongs are not read");
	else
		send_frame(loop, connection, &frame);
}

void
peer_session_dial(struct peer_loop *loop, struct peer *peer, int64_t now_ms)
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
	peer->unanswered_since_ms = now_ms;
	peer_session_add(loop, peer->connection);
}

static void
finish_connect(struct peer_loop *loop, struct peer_connection *connection)
{
	if (!peer_connection_finish_connect(connection)) {
		peer_session_close(loop, connection, "connect failed");
		return;
	}
	send_hello(loop, connection);
	if (!connection->closed)
		peer_session_ping(loop, connection->peer, clock_now_ms());
}

/* Handles a frame on a dialled connection, where only Pongs are valid. */
static void
handle_dialled_frame(struct peer_loop *loop, struct peer_connection *connection,
    const Ibis__Frame *frame)
{
	struct peer *peer = connection->peer;

	if (frame->body_case != IBIS__FRAME__BODY_PONG) {
		peer_session_close(loop, connection, "expected a Pong");
		return;
	}
	/* A Pong to an older Ping restarts the timeout of the last one. */
	peer->unanswered_since_ms =
	    frame->pong->sequence >= peer->sequence ? 0 : clock_now_ms();
	if (connection->established)
		return;
	connection->established = true;
	peer->backoff_ms = 0;
	atomic_store(&peer->link_state->up, true);
	counter_add(COUNTER_LINKS_UP, 1);
	report_link_state(loop, peer, true);
}

static void
handle_hello(struct peer_loop *loop, struct peer_connection *connection,
    const Ibis__Hello *hello)
{
	if (hello->protocol != PEER_PROTOCOL_VERSION) {
		log_event(LOG_WARN, "link_refused", "peer", hello->name,
		    "protocol", log_number(hello->protocol), "expected",
		    log_number(PEER_PROTOCOL_VERSION), NULL);
		peer_session_close(loop, connection, "protocol version");
		return;
	}
	if (!STRING_COPY(connection->name, hello->name)) {
		log_event(LOG_WARN, "link_refused", "peer", hello->name,
		    "message", "the name is too long", NULL);
		peer_session_close(loop, connection, "name");
		return;
	}
	connection->incarnation = hello->incarnation;
	connection->established = true;
	for (size_t i = 0; i < loop->peers_count; i++) {
		struct peer *peer = loop->peers[i];

		if (strcmp(peer->address.name, hello->name) == 0 &&
		    hello->incarnation > peer->incarnation)
			peer->incarnation = hello->incarnation;
	}
	post_link_event(loop, EVENT_PEER_LINK_ACCEPTED, connection->name,
	    hello->incarnation, true);
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

/*
 * Handles a frame on an accepted connection. Takes ownership of *frame and
 * sets it to NULL when it is posted to the control thread.
 */
static void
handle_accepted_frame(struct peer_loop *loop,
    struct peer_connection *connection, Ibis__Frame **frame)
{
	bool is_hello = (*frame)->body_case == IBIS__FRAME__BODY_HELLO;

	if (is_hello == connection->established) {
		peer_session_close(loop, connection,
		    is_hello ? "a second Hello" : "expected a Hello");
		return;
	}
	switch ((*frame)->body_case) {
	case IBIS__FRAME__BODY_HELLO:
		handle_hello(loop, connection, (*frame)->hello);
		break;
	case IBIS__FRAME__BODY_PING:
		send_pong(loop, connection, (*frame)->ping->sequence);
		break;
	case IBIS__FRAME__BODY_PONG:
		peer_session_close(loop, connection, "unexpected Pong");
		break;
	default:
		post_frame(loop, connection, frame);
		break;
	}
}

/* Handles every complete frame in the receive buffer. */
static void
handle_frames(struct peer_loop *loop, struct peer_connection *connection)
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
			counter_add(COUNTER_FRAMES_REFUSED, 1);
			log_event(LOG_WARN, "frame_refused", "peer",
			    connection->name, "message", status.message, NULL);
			peer_session_close(loop, connection, status.message);
			return;
		}
		if (consumed == 0)
			break;
		position += consumed;
		if (connection->peer != NULL)
			handle_dialled_frame(loop, connection, frame);
		else
			handle_accepted_frame(loop, connection, &frame);
		frame_free(frame);
	}
	buffer_consume(&connection->in, position);
}

static void
handle_readable(struct peer_loop *loop, struct peer_connection *connection)
{
	uint64_t received = 0;
	bool open = peer_connection_read(connection, &received);

	(void)atomic_fetch_add(&loop->received_bytes, received);
	if (received > 0) {
		connection->received_ms = clock_now_ms();
		handle_frames(loop, connection);
	}
	if (!open)
		peer_session_close(loop, connection, "closed by the other end");
}

void
peer_session_handle_ready(
    struct peer_loop *loop, struct peer_connection *connection, uint32_t ready)
{
	if (connection->closed)
		return;
	if (connection->connecting) {
		finish_connect(loop, connection);
		return;
	}
	if ((ready & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
		handle_readable(loop, connection);
	if ((ready & EPOLLOUT) != 0)
		peer_session_flush(loop, connection);
}
