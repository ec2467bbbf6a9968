/* Tests of what instances tell each other about themselves. */
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "agent/agent_state.h"
#include "common_cunit.h"
#include "connection/address.h"
#include "process/alloc.h"
#include "process/clock.h"

#define WAIT_MS		  4000
#define QUIET_MS	  1500
#define MAX_REQUEST_BYTES 4096
#define OK_RESPONSE	  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

/* An instance whose only peer is the test. */
struct fixture {
	struct agent agent;
	int listener;
};

static void
open_fixture(struct fixture *fixture)
{
	struct ibis_status status = {0};
	struct agent *agent = &fixture->agent;

	*fixture = (struct fixture){0};
	STRING_COPY(agent->settings.name, "i1");
	STRING_COPY(agent->internal_address, "127.0.0.1:7000");
	agent->pool = http_pool_new(&status);
	fixture->listener = address_listen("127.0.0.1:0", 4, &status);
	CU_ASSERT_TRUE_FATAL(fixture->listener >= 0);
}

static void
close_fixture(struct fixture *fixture)
{
	http_pool_free(fixture->agent.pool);
	agent_peers_free(&fixture->agent);
	(void)close(fixture->listener);
}

/* Shows the instance the peer's entry in the store. */
static void
list_peer(struct fixture *fixture)
{
	char address[ADDRESS_TEXT_BYTES];
	struct platform_store_item item = {.key = "ibis/instance/peer"};

	address_of_socket(fixture->listener, address);
	item.value = address;
	item.value_length = strlen(address);
	agent_peers_apply_item(&fixture->agent, "peer", &item);
}

/* Runs the instance until a request reaches the peer, or a time is over.
 * Returns the connection; -1: no request came. */
static int
wait_for_request(struct fixture *fixture, int64_t wait_ms)
{
	struct pollfd watched = {.fd = fixture->listener, .events = POLLIN};
	int64_t until_ms = clock_now_ms() + wait_ms;
	char request[MAX_REQUEST_BYTES];
	int connection;

	while (poll(&watched, 1, 0) == 0 && clock_now_ms() < until_ms) {
		agent_peers_step(&fixture->agent, clock_now_ms());
		(void)http_pool_wait(fixture->agent.pool, 1);
	}
	if (poll(&watched, 1, 0) == 0)
		return -1;
	connection = accept(fixture->listener, NULL, NULL);
	watched.fd = connection;
	while (poll(&watched, 1, 0) == 0 && clock_now_ms() < until_ms)
		(void)http_pool_wait(fixture->agent.pool, 1);
	CU_ASSERT_TRUE(read(connection, request, sizeof(request)) > 0);
	return connection;
}

/* Guards against an instance that is refused by the store and knows no peer to
 * relay through: the only hello of a peer was lost. */
static void
test_lost_hello_is_repeated(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	int connection;

	open_fixture(&fixture);
	list_peer(&fixture);
	connection = wait_for_request(&fixture, WAIT_MS);
	CU_ASSERT_TRUE_FATAL(connection >= 0);
	(void)close(connection);
	connection = wait_for_request(&fixture, WAIT_MS);
	CU_ASSERT_TRUE_FATAL(connection >= 0);
	CU_ASSERT_TRUE(
	    send(connection, OK_RESPONSE, strlen(OK_RESPONSE), 0) > 0);
	CU_ASSERT_EQUAL(wait_for_request(&fixture, QUIET_MS), -1);
	(void)close(connection);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"lost hello is repeated", test_lost_hello_is_repeated},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("agent_peers", tests);
}
