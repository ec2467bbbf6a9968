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
#define FIFTY_BYTES	  "123456789-123456789-123456789-123456789-123456789-"
/* As long as a name can be, as it ends a key of the store, and longer. */
#define LONGEST_NAME FIFTY_BYTES FIFTY_BYTES FIFTY_BYTES FIFTY_BYTES
#define LONG_NAME    LONGEST_NAME "x"
#define OK_RESPONSE  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

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

/* Waits for a hello and answers it. */
static void
answer_hello(struct fixture *fixture)
{
	int connection = wait_for_request(fixture, WAIT_MS);

	CU_ASSERT_TRUE_FATAL(connection >= 0);
	CU_ASSERT_TRUE(
	    send(connection, OK_RESPONSE, strlen(OK_RESPONSE), 0) > 0);
	CU_ASSERT_EQUAL(wait_for_request(fixture, QUIET_MS), -1);
	(void)close(connection);
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
	answer_hello(&fixture);
}

/* Guards against calls to entries of other writers that name no instance, and
 * against two long names that were taken for one: the second entry was lost. */
static void
test_odd_entries_are_no_peers(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	struct agent *agent = &fixture.agent;
	static const struct {
		const char *name;
		const char *value;
	} entries[] = {
	    {"port", "127.0.0.1:65536"},
	    {"zero", "127.0.0.1:0"},
	    {"host", "example.org:7000"},
	    {"empty", ""},
	    {"none", NULL},
	    {"", "127.0.0.1:1"},
	    {LONG_NAME "1", "127.0.0.1:1"},
	    {LONG_NAME "2", "127.0.0.1:2"},
	};

	open_fixture(&fixture);
	list_peer(&fixture);
	answer_hello(&fixture);
	for (size_t i = 0; i < COUNT_OF(entries); i++) {
		struct platform_store_item item = {
		    .key = "ibis/instance/odd",
		    .value = entries[i].value,
		    .value_length =
			entries[i].value == NULL ? 0 : strlen(entries[i].value),
		};

		agent_peers_apply_item(agent, entries[i].name, &item);
		item.value = "5";
		item.value_length = 1;
		agent_peers_apply_capacity(agent, LONG_NAME "1", &item);
	}
	CU_ASSERT_EQUAL(agent->peers.index.count, 1);
	CU_ASSERT_PTR_NOT_NULL(name_index_get(&agent->peers.index, "peer"));
	CU_ASSERT_EQUAL(agent->peers.capacities.count, 0);
}

/* Guards against two instances that are taken for one, as their names differ in
 * the last byte only. */
static void
test_longest_names_are_told_apart(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	struct agent *agent = &fixture.agent;
	static const char *const names[] = {LONGEST_NAME, FIFTY_BYTES,
	    FIFTY_BYTES "1", FIFTY_BYTES FIFTY_BYTES "1",
	    FIFTY_BYTES FIFTY_BYTES "2"};
	struct platform_store_item item = {
	    .key = "ibis/instance/x",
	    .value = "127.0.0.1:1",
	    .value_length = strlen("127.0.0.1:1"),
	};

	open_fixture(&fixture);
	agent->internal_address[0] = '\0'; /* no hello to them */
	for (size_t i = 0; i < COUNT_OF(names); i++)
		agent_peers_apply_item(agent, names[i], &item);
	CU_ASSERT_EQUAL(agent->peers.index.count, COUNT_OF(names));
	for (size_t i = 0; i < COUNT_OF(names); i++) {
		const struct agent_peer *peer =
		    name_index_get(&agent->peers.index, names[i]);

		CU_ASSERT_PTR_NOT_NULL_FATAL(peer);
		CU_ASSERT_STRING_EQUAL(peer->name, names[i]);
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"lost hello is repeated", test_lost_hello_is_repeated},
	    {"odd entries are no peers", test_odd_entries_are_no_peers},
	    {"longest names are told apart", test_longest_names_are_told_apart},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("agent_peers", tests);
}
