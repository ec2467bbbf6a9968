#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common_cunit.h"
#include "common_http.h"
#include "connection/address.h"
#include "connection/frame.h"
#include "connection/peer_link.h"
#include "process/alloc.h"
#include "process/clock.h"

#define DEADLINE_MS	5000
#define HEARTBEAT_MS	50
#define TIMEOUT_MS	200
#define MAX_FRAME_BYTES 65536
#define ANY_ADDRESS	"127.0.0.1:0"
#define SILENT_ROUNDS	2

struct instance {
	struct event_queue *events;
	struct peer_links *links;
};

static struct instance
start_instance(const char *name, uint64_t incarnation)
{
	struct peer_links_config config = {
	    .listen_address = ANY_ADDRESS,
	    .name = name,
	    .incarnation = incarnation,
	    .heartbeat_interval_ms = HEARTBEAT_MS,
	    .timeout_ms = TIMEOUT_MS,
	    .max_frame_bytes = MAX_FRAME_BYTES,
	};
	struct instance instance = {.events = event_queue_new()};
	struct ibis_status status;

	instance.links = peer_links_start(&config, instance.events, &status);
	CU_ASSERT_PTR_NOT_NULL_FATAL(instance.links);
	return instance;
}

static void
stop_instance(struct instance *instance)
{
	struct event event;

	peer_links_stop(instance->links);
	while (event_queue_take(instance->events, 0, &event)) {
		if (event.kind == EVENT_PEER_FRAME)
			frame_free(event.frame.frame);
	}
	event_queue_free(instance->events);
}

static void
set_peer(struct instance *instance, const char *name, const char *address)
{
	struct peer_address peer;

	STRING_COPY(peer.name, name);
	STRING_COPY(peer.address, address);
	peer_links_set_peers(instance->links, &peer, 1);
}

/* Waits for an event of a kind and discards others. */
static bool
wait_event(struct instance *instance, enum event_kind kind, struct event *event)
{
	int64_t deadline_ms = clock_now_ms() + DEADLINE_MS;

	while (clock_now_ms() < deadline_ms) {
		if (!event_queue_take(instance->events, HEARTBEAT_MS, event))
			continue;
		if (event->kind == kind)
			return true;
		if (event->kind == EVENT_PEER_FRAME)
			frame_free(event->frame.frame);
	}
	return false;
}

static bool
wait_state(struct instance *instance, bool up)
{
	struct event event;

	while (wait_event(instance, EVENT_PEER_LINK_CHANGED, &event)) {
		if (event.link.up == up)
			return true;
	}
	return false;
}

static bool
send_hold_ack(struct instance *instance, const char *peer, char *order)
{
	Ibis__HoldAck ack = IBIS__HOLD_ACK__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;

	ack.order = order;
	frame.body_case = IBIS__FRAME__BODY_HOLD_ACK;
	frame.hold_ack = &ack;
	return peer_links_send(instance->links, peer, &frame);
}

static void
test_frames_arrive_in_order(void)
{
	struct instance one = start_instance("one", 11);
	struct instance two = start_instance("two", 12);
	uint64_t sent;
	uint64_t received;
	struct event event;
	char order[16];

	set_peer(&one, "two", peer_links_address(two.links));
	CU_ASSERT_FALSE(send_hold_ack(&one, "three", order));
	CU_ASSERT_TRUE(wait_state(&one, true));
	CU_ASSERT_TRUE(wait_event(&two, EVENT_PEER_LINK_ACCEPTED, &event));
	CU_ASSERT_STRING_EQUAL(event.link.peer, "one");
	CU_ASSERT_EQUAL(event.link.incarnation, 11);
	for (int i = 0; i < 100; i++) {
		(void)snprintf(order, sizeof(order), "%d", i);
		CU_ASSERT_TRUE(send_hold_ack(&one, "two", order));
	}
	for (int i = 0; i < 100; i++) {
		CU_ASSERT_TRUE_FATAL(
		    wait_event(&two, EVENT_PEER_FRAME, &event));
		(void)snprintf(order, sizeof(order), "%d", i);
		CU_ASSERT_STRING_EQUAL(event.frame.peer, "one");
		CU_ASSERT_STRING_EQUAL(
		    event.frame.frame->hold_ack->order, order);
		frame_free(event.frame.frame);
	}
	peer_links_traffic(two.links, &sent, &received);
	CU_ASSERT_TRUE(received > 0);
	stop_instance(&one);
	stop_instance(&two);
}

static void
test_incarnation_and_redial(void)
{
	struct instance one = start_instance("one", 11);
	struct instance two = start_instance("two", 12);
	struct event event;
	char address[ADDRESS_TEXT_BYTES];

	STRING_COPY(address, peer_links_address(two.links));
	set_peer(&two, "one", peer_links_address(one.links));
	CU_ASSERT_TRUE(wait_state(&two, true));
	set_peer(&one, "two", address);
	CU_ASSERT_TRUE(wait_event(&one, EVENT_PEER_LINK_CHANGED, &event));
	CU_ASSERT_TRUE(event.link.up);
	CU_ASSERT_EQUAL(event.link.incarnation, 12);
	stop_instance(&two);
	CU_ASSERT_TRUE(wait_state(&one, false));
	CU_ASSERT_FALSE(send_hold_ack(&one, "two", address));
	stop_instance(&one);
}

/* Frames queued before peer_links_stop are still delivered. */
static void
test_stop_sends_queued_frames(void)
{
	struct instance one = start_instance("one", 11);
	struct instance two = start_instance("two", 12);
	char order[8192];
	struct event event;
	int sent = 0;

	memset(order, 'x', sizeof(order) - 1);
	order[sizeof(order) - 1] = '\0';
	set_peer(&one, "two", peer_links_address(two.links));
	CU_ASSERT_TRUE(wait_state(&one, true));
	while (sent < 500 && send_hold_ack(&one, "two", order))
		sent++;
	stop_instance(&one);
	for (int i = 0; i < sent; i++) {
		CU_ASSERT_TRUE_FATAL(
		    wait_event(&two, EVENT_PEER_FRAME, &event));
		frame_free(event.frame.frame);
	}
	stop_instance(&two);
}

static int
accept_one(int listen_fd)
{
	struct pollfd ready = {.fd = listen_fd, .events = POLLIN};

	if (poll(&ready, 1, DEADLINE_MS) != 1)
		return -1;
	return accept(listen_fd, NULL, NULL);
}

/* Answers the first Ping only. */
static void
answer_first_ping(int fd)
{
	CLEANUP(buffer_free) struct buffer bytes = {0};
	Ibis__Pong pong = IBIS__PONG__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;

	pong.sequence = 1;
	frame.body_case = IBIS__FRAME__BODY_PONG;
	frame.pong = &pong;
	CU_ASSERT_EQUAL(
	    frame_encode(&frame, MAX_FRAME_BYTES, &bytes, NULL), IBIS_OK);
	CU_ASSERT_EQUAL(send(fd, bytes.data, bytes.length, MSG_NOSIGNAL),
	    (ssize_t)bytes.length);
}

/* A link without Pongs for the timeout is closed and dialled again. */
static void
test_silent_link_is_replaced(void)
{
	struct instance one = start_instance("one", 11);
	int listen_fd = address_listen(ANY_ADDRESS, 8, NULL);
	char address[ADDRESS_TEXT_BYTES];
	int64_t up_ms;
	int fds[SILENT_ROUNDS];

	address_of_socket(listen_fd, address);
	set_peer(&one, "mute", address);
	for (int i = 0; i < SILENT_ROUNDS; i++) {
		fds[i] = accept_one(listen_fd);
		CU_ASSERT_TRUE_FATAL(fds[i] >= 0);
		answer_first_ping(fds[i]);
		CU_ASSERT_TRUE(wait_state(&one, true));
		up_ms = clock_now_ms();
		CU_ASSERT_TRUE(wait_state(&one, false));
		CU_ASSERT_TRUE(clock_now_ms() - up_ms >= TIMEOUT_MS);
	}
	for (int i = 0; i < SILENT_ROUNDS; i++)
		(void)close(fds[i]);
	(void)close(listen_fd);
	stop_instance(&one);
}

/* The send queue of a peer that reads nothing is bounded. */
static void
test_full_queue_refuses(void)
{
	struct instance one = start_instance("one", 11);
	int listen_fd = address_listen(ANY_ADDRESS, 8, NULL);
	char address[ADDRESS_TEXT_BYTES];
	static char order[32768];
	int sent = 0;
	int fd;

	memset(order, 'x', sizeof(order) - 1);
	address_of_socket(listen_fd, address);
	set_peer(&one, "mute", address);
	fd = accept_one(listen_fd);
	answer_first_ping(fd);
	CU_ASSERT_TRUE(wait_state(&one, true));
	while (sent < 10000 && send_hold_ack(&one, "mute", order))
		sent++;
	CU_ASSERT_TRUE(sent > 0);
	CU_ASSERT_TRUE(sent < 10000);
	(void)close(fd);
	(void)close(listen_fd);
	stop_instance(&one);
}

static bool
closed_by_other_end(int fd)
{
	struct pollfd ready = {.fd = fd, .events = POLLIN};
	char byte;

	if (poll(&ready, 1, DEADLINE_MS) != 1)
		return false;
	return recv(fd, &byte, 1, 0) <= 0;
}

/* Sends bytes on a new connection and expects it to be closed. */
static void
check_closed(struct instance *instance, const void *bytes, size_t length)
{
	int fd = http_connect(peer_links_address(instance->links));

	CU_ASSERT_TRUE_FATAL(fd >= 0);
	if (length > 0)
		CU_ASSERT_EQUAL(
		    send(fd, bytes, length, MSG_NOSIGNAL), (ssize_t)length);
	CU_ASSERT_TRUE(closed_by_other_end(fd));
	(void)close(fd);
}

static void
test_bad_connections_are_closed(void)
{
	struct instance one = start_instance("one", 11);
	CLEANUP(buffer_free) struct buffer other = {0};
	CLEANUP(buffer_free) struct buffer early = {0};
	Ibis__Hello hello = IBIS__HELLO__INIT;
	Ibis__HoldAck ack = IBIS__HOLD_ACK__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;
	char name[] = "old";
	struct event event;

	hello.name = name;
	hello.protocol = 99;
	frame.body_case = IBIS__FRAME__BODY_HELLO;
	frame.hello = &hello;
	(void)frame_encode(&frame, MAX_FRAME_BYTES, &other, NULL);
	frame.body_case = IBIS__FRAME__BODY_HOLD_ACK;
	frame.hold_ack = &ack;
	(void)frame_encode(&frame, MAX_FRAME_BYTES, &early, NULL);
	check_closed(&one, other.data, other.length);
	check_closed(&one, early.data, early.length);
	check_closed(&one, "GET / HTTP/1.1\r\n\r\n", 18);
	check_closed(&one, NULL, 0); /* never sends a Hello */
	CU_ASSERT_FALSE(event_queue_take(one.events, 0, &event));
	stop_instance(&one);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"frames arrive in order", test_frames_arrive_in_order},
	    {"incarnation and redial", test_incarnation_and_redial},
	    {"stop sends queued frames", test_stop_sends_queued_frames},
	    {"silent link is replaced", test_silent_link_is_replaced},
	    {"full queue refuses", test_full_queue_refuses},
	    {"bad connections are closed", test_bad_connections_are_closed},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("peer_link", tests);
}
