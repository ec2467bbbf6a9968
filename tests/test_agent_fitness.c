/* Tests of which instance leads: lead capacity, load and offers of the lead. */
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "agent/agent_state.h"
#include "common_cunit.h"
#include "connection/address.h"
#include "process/alloc.h"
#include "process/clock.h"

#define MAX_REQUEST_BYTES 4096
#define WAIT_MS		  4000
#define QUIET_MS	  300
#define LONG_MS		  60000
#define EPOCH		  7
#define WINDOW_US	  INT64_C(1000000)
#define REFUSED_RESPONSE  "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"

enum {
	PEERS = 3
};

/* A lead whose peers are the test. */
struct fixture {
	struct agent agent;
	int listeners[PEERS];
};

static void
list_peer(struct fixture *fixture, size_t index, const char *name,
    const char *capacity)
{
	char address[ADDRESS_TEXT_BYTES];
	struct platform_store_item item = {.key = "", .value = address};
	struct agent_peer *peer;

	address_of_socket(fixture->listeners[index], address);
	item.value_length = strlen(address);
	agent_peers_apply_item(&fixture->agent, name, &item);
	peer = name_index_get(&fixture->agent.peers.index, name);
	peer->knows_us = true;
	item.value = capacity;
	item.value_length = strlen(capacity);
	agent_peers_apply_capacity(&fixture->agent, name, &item);
}

static void
open_fixture(struct fixture *fixture, int64_t cpu_milli)
{
	struct ibis_status status = {0};
	struct agent *agent = &fixture->agent;

	*fixture = (struct fixture){0};
	STRING_COPY(agent->settings.name, "i0");
	agent->settings.cpu_milli = cpu_milli;
	agent->random_state = 1;
	agent->pool = http_pool_new(&status);
	CDS_INIT_LIST_HEAD(&agent->relay.peer_calls);
	CDS_INIT_LIST_HEAD(&agent->relay.short_calls);
	agent->lead.state = AGENT_LEADING;
	agent->lead.epoch = EPOCH;
	for (size_t i = 0; i < PEERS; i++) {
		fixture->listeners[i] =
		    address_listen("127.0.0.1:0", 4, &status);
		CU_ASSERT_TRUE_FATAL(fixture->listeners[i] >= 0);
	}
}

static void
close_fixture(struct fixture *fixture)
{
	http_pool_free(fixture->agent.pool);
	agent_peers_free(&fixture->agent);
	for (size_t i = 0; i < PEERS; i++)
		(void)close(fixture->listeners[i]);
}

/* Runs the instance until a peer gets an offer, which it refuses, or a time is
 * over. Returns the peer's index; -1: none. */
static int
refuse_offer(struct fixture *fixture, int64_t wait_ms)
{
	int64_t until_ms = clock_now_ms() + wait_ms;
	char request[MAX_REQUEST_BYTES];
	struct pollfd watched[PEERS];
	int connection;

	for (size_t i = 0; i < PEERS; i++)
		watched[i] = (struct pollfd){
		    .fd = fixture->listeners[i], .events = POLLIN};
	while (poll(watched, PEERS, 0) == 0 && clock_now_ms() < until_ms)
		(void)http_pool_wait(fixture->agent.pool, 1);
	for (int i = 0; i < PEERS; i++) {
		if (watched[i].revents == 0)
			continue;
		connection = accept(watched[i].fd, NULL, NULL);
		watched[i].fd = connection;
		while (
		    poll(&watched[i], 1, 0) == 0 && clock_now_ms() < until_ms)
			(void)http_pool_wait(fixture->agent.pool, 1);
		CU_ASSERT_TRUE(read(connection, request, sizeof(request)) > 0);
		CU_ASSERT_TRUE(send(connection, REFUSED_RESPONSE,
				   strlen(REFUSED_RESPONSE), 0) > 0);
		(void)close(connection);
		return i;
	}
	return -1;
}

static void
test_capacity_is_bounded_by_each_resource(void)
{
	struct agent agent = {.settings = {.cpu_milli = 500}};

	CU_ASSERT_EQUAL(agent_fitness_capacity(&agent), 500);
	agent.settings.link_kbit = 200000;
	agent.settings.memory_mb = 512;
	CU_ASSERT_EQUAL(agent_fitness_capacity(&agent), 500);
	agent.settings.link_kbit = 2000;
	CU_ASSERT_TRUE(agent_fitness_capacity(&agent) < 120);
	agent.settings.link_kbit = 200000;
	agent.settings.memory_mb = 16;
	CU_ASSERT_TRUE(agent_fitness_capacity(&agent) < 120);
	agent.settings = (struct platform_settings){0};
	CU_ASSERT_EQUAL(agent_fitness_capacity(&agent), 0);
}

/* Guards against a weak instance that takes the lead of a large site because it
 * was the first to see the key go. */
static void
test_weak_instance_yields_to_fitter_peers(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	int64_t yield_ms;

	open_fixture(&fixture, 120);
	CU_ASSERT_EQUAL(agent_fitness_yield_ms(&fixture.agent), 0);
	list_peer(&fixture, 0, "i1", "120");
	CU_ASSERT_EQUAL(agent_fitness_yield_ms(&fixture.agent), 0);
	list_peer(&fixture, 1, "i2", "500");
	yield_ms = agent_fitness_yield_ms(&fixture.agent);
	CU_ASSERT_TRUE(yield_ms >= 200 && yield_ms < 500);
	fixture.agent.settings.cpu_milli = 500;
	CU_ASSERT_EQUAL(agent_fitness_yield_ms(&fixture.agent), 0);
	fixture.agent.load.busy_permille = 900;
	CU_ASSERT_TRUE(agent_fitness_yield_ms(&fixture.agent) > yield_ms);
}

static void
test_unusable_capacity_is_unknown(void)
{
	static const char *const texts[] = {
	    "", "-5", "12x", "1e9", "99999999999999999999", "\xff"};
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture, 120);
	for (size_t i = 0; i < COUNT_OF(texts); i++) {
		list_peer(&fixture, 0, "i1", "500");
		list_peer(&fixture, 0, "i1", texts[i]);
		CU_ASSERT_EQUAL(agent_fitness_of_peer(&fixture.agent, "i1"), 0);
	}
}

/* Guards against a weak lead that keeps the lead of a large site: it offers the
 * lead to fitter peers only, and goes on leading when they refuse. */
static void
test_weak_lead_offers_to_fitter_peers(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	struct agent *agent = &fixture.agent;
	int first;
	int second;

	open_fixture(&fixture, 120);
	list_peer(&fixture, 0, "i1", "150");
	list_peer(&fixture, 1, "i2", "500");
	list_peer(&fixture, 2, "i3", "400");
	agent_handover_step(agent, clock_now_ms());
	first = refuse_offer(&fixture, WAIT_MS);
	second = refuse_offer(&fixture, WAIT_MS);
	CU_ASSERT_EQUAL(first, 1);
	CU_ASSERT_EQUAL(second, 2);
	CU_ASSERT_EQUAL(refuse_offer(&fixture, QUIET_MS), -1);
	CU_ASSERT_EQUAL(agent->lead.state, AGENT_LEADING);
	CU_ASSERT_EQUAL(agent->lead.offer_expires_ms, 0);
	agent_handover_step(agent, clock_now_ms());
	CU_ASSERT_EQUAL(refuse_offer(&fixture, QUIET_MS), -1);
	agent_handover_step(agent, clock_now_ms() + LONG_MS);
	CU_ASSERT_EQUAL(refuse_offer(&fixture, WAIT_MS), 1);
}

/* Guards against a lead that passes from one instance to the next: one that is
 * as fit as its peers keeps it, unless it falls behind for long. */
static void
test_fit_lead_keeps_the_lead(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	struct agent *agent = &fixture.agent;
	int64_t now_ms = clock_now_ms();

	open_fixture(&fixture, 500);
	list_peer(&fixture, 0, "i1", "500");
	list_peer(&fixture, 1, "i2", "120");
	list_peer(&fixture, 2, "i3", "600");
	agent->lead.taken_ms = now_ms;
	agent_handover_step(agent, now_ms);
	agent->load.busy_permille = 950;
	agent_handover_step(agent, now_ms + WAIT_MS);
	CU_ASSERT_EQUAL(refuse_offer(&fixture, QUIET_MS), -1);
	agent_handover_step(agent, now_ms + LONG_MS);
	CU_ASSERT_EQUAL(refuse_offer(&fixture, WAIT_MS), 2);
	CU_ASSERT_EQUAL(refuse_offer(&fixture, WAIT_MS), 0);
	CU_ASSERT_EQUAL(refuse_offer(&fixture, QUIET_MS), -1);
}

/* Guards against a lead that the store turns away: each of its records took the
 * way of a peer, and jobs that had ended were shown so seconds late. */
static void
test_relayed_lead_offers_the_lead(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	struct agent *agent = &fixture.agent;
	int64_t now_ms = clock_now_ms();

	open_fixture(&fixture, 500);
	list_peer(&fixture, 0, "i1", "500");
	list_peer(&fixture, 1, "i2", "120");
	list_peer(&fixture, 2, "i3", "300");
	agent->lead.taken_ms = now_ms;
	agent->relay.via_peer = true;
	agent->relay.switched_ms = now_ms;
	agent_handover_step(agent, now_ms);
	CU_ASSERT_EQUAL(refuse_offer(&fixture, QUIET_MS), -1);
	agent_handover_step(agent, now_ms + WAIT_MS);
	CU_ASSERT_EQUAL(refuse_offer(&fixture, WAIT_MS), 0);
	CU_ASSERT_EQUAL(refuse_offer(&fixture, WAIT_MS), 2);
	CU_ASSERT_EQUAL(refuse_offer(&fixture, QUIET_MS), -1);
	CU_ASSERT_EQUAL(agent->lead.state, AGENT_LEADING);
	CU_ASSERT_TRUE(agent_fitness_yield_ms(agent) > 0);
}

/* Guards against offers, several a second, while the store is away and no peer
 * could take the lead. */
static void
test_nothing_is_offered_while_the_store_is_unreachable(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	struct agent *agent = &fixture.agent;
	int64_t now_ms = clock_now_ms();

	open_fixture(&fixture, 120);
	list_peer(&fixture, 0, "i1", "500");
	agent->relay.via_peer = true;
	agent->relay.switched_ms = now_ms;
	agent->relay.last_call_failed = true;
	agent->relay.answered_ms = now_ms;
	agent_handover_step(agent, now_ms + LONG_MS);
	CU_ASSERT_EQUAL(refuse_offer(&fixture, QUIET_MS), -1);
	agent->relay.answered_ms = now_ms + LONG_MS;
	agent_handover_step(agent, now_ms + LONG_MS);
	CU_ASSERT_EQUAL(refuse_offer(&fixture, WAIT_MS), 0);
}

/* Guards against a planned stop that hands the lead to a weak instance. */
static void
test_planned_stop_offers_to_the_fittest_first(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture, 500);
	list_peer(&fixture, 0, "i1", "120");
	list_peer(&fixture, 1, "i2", "400");
	list_peer(&fixture, 2, "i3", "500");
	agent_handover_start(&fixture.agent, clock_now_ms());
	CU_ASSERT_EQUAL(refuse_offer(&fixture, WAIT_MS), 2);
	CU_ASSERT_EQUAL(refuse_offer(&fixture, WAIT_MS), 1);
	CU_ASSERT_EQUAL(refuse_offer(&fixture, WAIT_MS), 0);
}

static void
test_load_is_the_share_of_time_not_waited(void)
{
	struct agent_load load = {0};
	int64_t now_us = WINDOW_US;
	int64_t waited_us = 0;

	agent_load_update(&load, now_us, waited_us);
	for (int i = 0; i < 20; i++) {
		now_us += WINDOW_US;
		waited_us += WINDOW_US * 3 / 4;
		agent_load_update(&load, now_us, waited_us);
	}
	CU_ASSERT_TRUE(load.busy_permille > 240 && load.busy_permille <= 250);
	CU_ASSERT_FALSE(agent_load_is_high(&load));
	for (int i = 0; i < 20; i++) {
		now_us += WINDOW_US;
		agent_load_update(&load, now_us, waited_us);
	}
	CU_ASSERT_TRUE(agent_load_is_high(&load));
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"capacity is bounded by each resource",
		test_capacity_is_bounded_by_each_resource},
	    {"a weak instance yields to fitter peers",
		test_weak_instance_yields_to_fitter_peers},
	    {"an unusable capacity is unknown",
		test_unusable_capacity_is_unknown},
	    {"a weak lead offers to fitter peers",
		test_weak_lead_offers_to_fitter_peers},
	    {"a fit lead keeps the lead", test_fit_lead_keeps_the_lead},
	    {"a relayed lead offers the lead",
		test_relayed_lead_offers_the_lead},
	    {"nothing is offered while the store is unreachable",
		test_nothing_is_offered_while_the_store_is_unreachable},
	    {"a planned stop offers to the fittest first",
		test_planned_stop_offers_to_the_fittest_first},
	    {"load is the share of time not waited",
		test_load_is_the_share_of_time_not_waited},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("agent_fitness", tests);
}
