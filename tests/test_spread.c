#include <stdio.h>
#include <string.h>

#include "common_cunit.h"
#include "process/alloc.h"
#include "process/proto_memory.h"
#include "version/spread.h"

#define ZONES	 "{\"availability_zones\": {\"north\": {}, \"south\": {}}}"
#define DOCUMENT "{\"sections\": {\"platform\": " ZONES ", \"team\": {}}}"
#define HEAD                                         \
	"{\"version\": 3, \"sections_version\": 2, " \
	"\"sections\": {\"platform\": 2}, \"zones\": {}}"

/* One instance, driven by hand. */
struct bench {
	struct spread *spread;
	struct spread_action last; /* found by expect */
	int64_t now_ms;
};

static void
set_up(struct bench *bench)
{
	const struct spread_config config = {
	    .name = "e1",
	    .incarnation = 7,
	    .watch_ms = 400,
	};

	*bench = (struct bench){.now_ms = 1000};
	bench->last.kind = SPREAD_ZONES;
	bench->spread = spread_new(&config, bench->now_ms);
}

static void
tear_down(struct bench *bench)
{
	spread_action_free(&bench->last);
	spread_free(bench->spread);
}

/* Takes actions until one of a kind comes; that one is kept in last. */
static bool
find(struct bench *bench, enum spread_action_kind kind)
{
	spread_action_free(&bench->last);
	while (spread_next(bench->spread, &bench->last)) {
		if (bench->last.kind == kind)
			return true;
		spread_action_free(&bench->last);
	}
	return false;
}

static void
expect(struct bench *bench, enum spread_action_kind kind)
{
	CU_ASSERT_TRUE(find(bench, kind));
}

/* Expects a store call on a key. */
static void
expect_call(struct bench *bench, enum store_op op, const char *key)
{
	expect(bench, SPREAD_STORE);
	CU_ASSERT_EQUAL(bench->last.store.op, op);
	CU_ASSERT_STRING_EQUAL(bench->last.store.key, key);
}

/* Answers the store call found last. */
static void
answer(struct bench *bench, enum ibis_code code, uint64_t revision,
    const char *value)
{
	struct store_result result = {
	    .op = bench->last.store.op,
	    .token = bench->last.store.token,
	    .code = code,
	    .revision = revision,
	    .sent_ms = bench->now_ms,
	    .received_ms = bench->now_ms,
	};

	STRING_COPY(result.key, bench->last.store.key);
	buffer_puts(&result.value, value);
	spread_store(bench->spread, &result, bench->now_ms);
	buffer_free(&result.value);
}

static void
pass(struct bench *bench, int64_t passed_ms)
{
	bench->now_ms += passed_ms;
	spread_tick(bench->spread, bench->now_ms);
}

/* Puts version 3 in force. */
static void
start_with_document(struct bench *bench)
{
	set_up(bench);
	pass(bench, 0);
	expect_call(bench, STORE_GET, "document/head");
	answer(bench, IBIS_OK, 50, HEAD);
	expect_call(bench, STORE_GET, "document/sections/platform/2");
	answer(bench, IBIS_OK, 20, ZONES);
	expect(bench, SPREAD_VERSION);
	CU_ASSERT_EQUAL(spread_version(bench->spread), 3);
}

static void
request(struct bench *bench, Ibis__RequestKind kind, const char *name,
    const char *body, uint64_t if_match)
{
	Ibis__Request message = IBIS__REQUEST__INIT;

	message.kind = kind;
	message.name = (char *)name;
	message.body = (char *)body;
	message.if_match = if_match;
	CU_ASSERT_TRUE(
	    spread_request(bench->spread, 99, &message, bench->now_ms));
}

static void
expect_answer(struct bench *bench, enum ibis_code code, const char *part)
{
	expect(bench, SPREAD_ANSWER);
	if (bench->last.kind != SPREAD_ANSWER)
		return;
	CU_ASSERT_EQUAL(bench->last.answer.call, 99);
	CU_ASSERT_EQUAL(bench->last.answer.status.code, code);
	if (strstr(bench->last.answer.status.message, part) == NULL &&
	    strstr(buffer_string(&bench->last.answer.json), part) == NULL) {
		CU_FAIL("answer lacks its part");
		puts(bench->last.answer.status.message);
		puts(buffer_string(&bench->last.answer.json));
	}
}

static void
test_first_document(void)
{
	struct bench bench;

	set_up(&bench);
	pass(&bench, 0);
	expect_call(&bench, STORE_GET, "document/head");
	answer(&bench, IBIS_NOT_FOUND, 0, "");
	request(
	    &bench, IBIS__REQUEST_KIND__REQUEST_PUT_DOCUMENT, "", DOCUMENT, 0);
	expect_call(&bench, STORE_GET, "document/head");
	answer(&bench, IBIS_NOT_FOUND, 0, "");
	expect_call(&bench, STORE_SWAP, "document/sections/platform/1");
	CU_ASSERT_EQUAL(bench.last.store.expected_revision, 0);
	answer(&bench, IBIS_OK, 10, "");
	expect_call(&bench, STORE_SWAP, "document/sections/team/1");
	answer(&bench, IBIS_OK, 11, "");
	expect_call(&bench, STORE_SWAP, "document/head");
	CU_ASSERT_EQUAL(bench.last.store.expected_revision, 0);
	CU_ASSERT_EQUAL(spread_version(bench.spread), 0);
	answer(&bench, IBIS_OK, 12, "");
	expect(&bench, SPREAD_VERSION);
	expect_answer(&bench, IBIS_OK, "\"reached\": [ \"e1\" ]");
	CU_ASSERT_EQUAL(bench.last.answer.revision, 1);
	CU_ASSERT_EQUAL(spread_version(bench.spread), 1);
	CU_ASSERT_TRUE(spread_zone_open(bench.spread, "north"));
	tear_down(&bench);
}

static void
test_older_head_is_kept_out(void)
{
	struct bench bench;

	start_with_document(&bench);
	spread_set_watching(bench.spread, true);
	pass(&bench, 1);
	expect_call(&bench, STORE_WATCH, "document/head");
	CU_ASSERT_EQUAL(bench.last.store.expected_revision, 50);
	answer(&bench, IBIS_OK, 60,
	    "{\"version\": 2, \"sections_version\": 2, \"sections\": {}, "
	    "\"zones\": {}}");
	CU_ASSERT_EQUAL(spread_version(bench.spread), 3);
	CU_ASSERT_EQUAL(spread_confirmed_ms(bench.spread), 1000);
	tear_down(&bench);
}

static void
test_edit_conflicts_name_what_stands(void)
{
	struct bench bench;

	start_with_document(&bench);
	request(&bench, IBIS__REQUEST_KIND__REQUEST_PUT_SECTION, "platform",
	    "{}", 1);
	expect_call(&bench, STORE_GET, "document/head");
	answer(&bench, IBIS_OK, 50, HEAD);
	expect_answer(&bench, IBIS_CONFLICT,
	    "section platform: revision 2 stands; the edit is of revision 1");
	tear_down(&bench);
}

static void
test_edit_survives_another_section_s_edit(void)
{
	struct bench bench;

	start_with_document(&bench);
	request(&bench, IBIS__REQUEST_KIND__REQUEST_PUT_SECTION, "team",
	    "{\"workspaces\": {\"w\": {}}}", 0);
	expect_call(&bench, STORE_GET, "document/head");
	answer(&bench, IBIS_OK, 50, HEAD);
	expect_call(&bench, STORE_SWAP, "document/sections/team/4");
	answer(&bench, IBIS_OK, 51, "");
	expect_call(&bench, STORE_SWAP, "document/head");
	answer(&bench, IBIS_CONFLICT, 52,
	    "{\"version\": 4, \"sections_version\": 4, \"sections\": "
	    "{\"platform\": 2, \"other\": 4}, \"zones\": {}}");
	expect_call(&bench, STORE_GET, "document/sections/other/4");
	answer(&bench, IBIS_OK, 49, "{}");
	expect_call(&bench, STORE_SWAP, "document/head");
	CU_ASSERT_EQUAL(bench.last.store.expected_revision, 52);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(buffer_string(&bench.last.store.value), "\"version\":5"));
	answer(&bench, IBIS_OK, 53, "");
	expect_answer(&bench, IBIS_OK, "+ workspace w ");
	CU_ASSERT_EQUAL(bench.last.answer.revision, 4);
	tear_down(&bench);
}

static void
test_lost_answer_is_read_again(void)
{
	CLEANUP(mem_free_string) char *written = NULL;
	struct bench bench;

	start_with_document(&bench);
	request(
	    &bench, IBIS__REQUEST_KIND__REQUEST_PUT_SECTION, "team", "{}", 0);
	expect_call(&bench, STORE_GET, "document/head");
	answer(&bench, IBIS_OK, 50, HEAD);
	expect_call(&bench, STORE_SWAP, "document/sections/team/4");
	answer(&bench, IBIS_UNKNOWN, 0, "");
	pass(&bench, 300);
	expect_call(&bench, STORE_GET, "document/head");
	answer(&bench, IBIS_OK, 50, HEAD);
	expect_call(&bench, STORE_SWAP, "document/sections/team/4");
	answer(&bench, IBIS_CONFLICT, 51, "{}");
	expect_call(&bench, STORE_SWAP, "document/head");
	written = mem_strdup(buffer_string(&bench.last.store.value));
	answer(&bench, IBIS_UNKNOWN, 0, "");
	CU_ASSERT_EQUAL(spread_version(bench.spread), 3);
	pass(&bench, 500);
	expect_call(&bench, STORE_GET, "document/head");
	answer(&bench, IBIS_OK, 52, written);
	expect_answer(&bench, IBIS_OK, "\"version\": 4");
	tear_down(&bench);
}

static void
test_bad_edit_writes_nothing(void)
{
	struct bench bench;

	start_with_document(&bench);
	request(&bench, IBIS__REQUEST_KIND__REQUEST_PUT_SECTION, "team",
	    "{\"availability_zones\": {\"north\": {}}}", 0);
	expect_call(&bench, STORE_GET, "document/head");
	answer(&bench, IBIS_OK, 50, HEAD);
	expect_answer(&bench, IBIS_INVALID, "north is defined twice");
	CU_ASSERT_FALSE(find(&bench, SPREAD_STORE));
	tear_down(&bench);
}

static void
test_zone_out_holds_before_it_is_durable(void)
{
	const char *peers[] = {"e2"};
	struct bench bench;
	Ibis__Frame frame = IBIS__FRAME__INIT;
	Ibis__HoldAck ack = IBIS__HOLD_ACK__INIT;
	char order[] = "e1.7.1";

	start_with_document(&bench);
	spread_set_peers(bench.spread, peers, 1);
	request(&bench, IBIS__REQUEST_KIND__REQUEST_ZONE_OUT, "north", "", 0);
	CU_ASSERT_FALSE(spread_zone_open(bench.spread, "north"));
	CU_ASSERT_TRUE(spread_zone_open(bench.spread, "south"));
	expect(&bench, SPREAD_SEND);
	CU_ASSERT_STRING_EQUAL(bench.last.send.peer, "e2");
	CU_ASSERT_STRING_EQUAL(bench.last.send.frame->hold->hold->order, order);
	expect_call(&bench, STORE_GET, "document/head");
	answer(&bench, IBIS_OK, 50, HEAD);
	expect_call(&bench, STORE_SWAP, "document/head");
	answer(&bench, IBIS_OK, 51, "");
	CU_ASSERT_EQUAL(spread_holds(bench.spread)->count, 0);
	CU_ASSERT_FALSE(spread_zone_open(bench.spread, "north"));
	ack.order = order;
	frame.body_case = IBIS__FRAME__BODY_HOLD_ACK;
	frame.hold_ack = &ack;
	spread_frame(bench.spread, "e2", &frame, bench.now_ms);
	expect_answer(&bench, IBIS_OK, "\"missing\": [ ]");
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(bench.last.answer.json.data, "\"durable\": true"));
	tear_down(&bench);
}

static void
test_zone_out_during_an_outage(void)
{
	const char *peers[] = {"e2"};
	struct bench bench;

	start_with_document(&bench);
	spread_set_peers(bench.spread, peers, 1);
	request(&bench, IBIS__REQUEST_KIND__REQUEST_ZONE_OUT, "north", "", 0);
	expect_call(&bench, STORE_GET, "document/head");
	answer(&bench, IBIS_UNAVAILABLE, 0, "");
	pass(&bench, 2399);
	expect_call(&bench, STORE_GET, "document/head");
	pass(&bench, 1);
	expect_answer(&bench, IBIS_OK, "\"durable\": false");
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(bench.last.answer.json.data, "\"missing\": [ \"e2\" ]"));
	CU_ASSERT_FALSE(spread_zone_open(bench.spread, "north"));
	pass(&bench, 60000);
	CU_ASSERT_FALSE(spread_zone_open(bench.spread, "north"));
	tear_down(&bench);
}

static void
test_another_s_hold_is_settled_after_a_while(void)
{
	struct bench bench;
	Ibis__Frame frame = IBIS__FRAME__INIT;
	Ibis__HoldOrder body = IBIS__HOLD_ORDER__INIT;
	Ibis__Hold hold = IBIS__HOLD__INIT;

	start_with_document(&bench);
	hold.zone = "north";
	hold.order = "e9.1.1";
	body.hold = &hold;
	frame.body_case = IBIS__FRAME__BODY_HOLD;
	frame.hold = &body;
	spread_frame(bench.spread, "e9", &frame, bench.now_ms);
	expect(&bench, SPREAD_SEND);
	CU_ASSERT_EQUAL(
	    bench.last.send.frame->body_case, IBIS__FRAME__BODY_HOLD_ACK);
	CU_ASSERT_FALSE(spread_zone_open(bench.spread, "north"));
	pass(&bench, 2000);
	CU_ASSERT_FALSE(find(&bench, SPREAD_STORE));
	pass(&bench, 3000);
	expect_call(&bench, STORE_GET, "document/head");
	answer(&bench, IBIS_OK, 50, HEAD);
	expect_call(&bench, STORE_SWAP, "document/head");
	CU_ASSERT_PTR_NOT_NULL(strstr(bench.last.store.value.data, "e9.1.1"));
	tear_down(&bench);
}

static void
test_zone_in_gives_way_to_an_order_it_did_not_know(void)
{
	struct bench bench;

	start_with_document(&bench);
	request(&bench, IBIS__REQUEST_KIND__REQUEST_ZONE_IN, "north", "", 0);
	expect_call(&bench, STORE_GET, "document/head");
	answer(&bench, IBIS_OK, 60,
	    "{\"version\": 4, \"sections_version\": 2, \"sections\": "
	    "{\"platform\": 2}, \"zones\": {\"north\": {\"out\": true, "
	    "\"order\": \"e2.1.1\"}}}");
	expect_answer(&bench, IBIS_CONFLICT, "by order e2.1.1");
	CU_ASSERT_FALSE(spread_zone_open(bench.spread, "north"));
	request(&bench, IBIS__REQUEST_KIND__REQUEST_ZONE_IN, "north", "", 0);
	expect_call(&bench, STORE_GET, "document/head");
	answer(&bench, IBIS_UNAVAILABLE, 0, "");
	CU_ASSERT_FALSE(spread_zone_open(bench.spread, "north"));
	pass(&bench, 2400);
	expect_answer(&bench, IBIS_UNAVAILABLE, "nothing was changed");
	tear_down(&bench);
}

static void
test_zone_closes_before_sections_are_there(void)
{
	struct bench bench;

	start_with_document(&bench);
	spread_set_watching(bench.spread, true);
	pass(&bench, 1);
	expect_call(&bench, STORE_WATCH, "document/head");
	answer(&bench, IBIS_OK, 60,
	    "{\"version\": 4, \"sections_version\": 4, \"sections\": "
	    "{\"platform\": 4}, \"zones\": {\"north\": {\"out\": true, "
	    "\"order\": \"e2.1.1\"}}}");
	expect_call(&bench, STORE_GET, "document/sections/platform/4");
	CU_ASSERT_EQUAL(spread_version(bench.spread), 3);
	CU_ASSERT_FALSE(spread_zone_open(bench.spread, "north"));
	tear_down(&bench);
}

/* A peer that has heard of a newer version fetches it. */
static void
test_copy_between_peers(void)
{
	struct bench one;
	struct bench other;
	Ibis__Frame frame = IBIS__FRAME__INIT;
	Ibis__Heartbeat heartbeat = IBIS__HEARTBEAT__INIT;

	start_with_document(&one);
	set_up(&other);
	spread_fill_heartbeat(one.spread, &heartbeat);
	frame.body_case = IBIS__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &heartbeat;
	spread_frame(other.spread, "e1", &frame, other.now_ms);
	spread_clear_heartbeat(&heartbeat);
	expect(&other, SPREAD_SEND);
	spread_frame(one.spread, "e2", other.last.send.frame, one.now_ms);
	expect(&one, SPREAD_SEND);
	spread_frame(other.spread, "e1", one.last.send.frame, other.now_ms);
	expect(&other, SPREAD_VERSION);
	CU_ASSERT_EQUAL(spread_version(other.spread), 3);
	CU_ASSERT_EQUAL(spread_confirmed_ms(other.spread), INT64_MIN);
	tear_down(&one);
	tear_down(&other);
}

static void
test_reads(void)
{
	struct bench bench;

	start_with_document(&bench);
	request(&bench, IBIS__REQUEST_KIND__REQUEST_DOCUMENT, "", "", 0);
	expect_answer(&bench, IBIS_OK, "\"revision\": 2");
	request(&bench, IBIS__REQUEST_KIND__REQUEST_SECTION, "platform", "", 0);
	expect_answer(&bench, IBIS_OK, ZONES);
	CU_ASSERT_EQUAL(bench.last.answer.revision, 2);
	request(&bench, IBIS__REQUEST_KIND__REQUEST_SECTION, "x", "", 0);
	expect_answer(&bench, IBIS_NOT_FOUND, "no section x");
	request(&bench, IBIS__REQUEST_KIND__REQUEST_DOCUMENT_STATUS, "", "", 0);
	expect_answer(&bench, IBIS_OK, "\"in_force_everywhere\": true");
	request(&bench, IBIS__REQUEST_KIND__REQUEST_ZONE_OUT, "x", "", 0);
	expect_answer(&bench, IBIS_NOT_FOUND, "no availability zone x");
	tear_down(&bench);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"first document", test_first_document},
	    {"older head is kept out", test_older_head_is_kept_out},
	    {"edit conflicts name what stands",
		test_edit_conflicts_name_what_stands},
	    {"edit survives another section's edit",
		test_edit_survives_another_section_s_edit},
	    {"lost answer is read again", test_lost_answer_is_read_again},
	    {"bad edit writes nothing", test_bad_edit_writes_nothing},
	    {"zone out holds before it is durable",
		test_zone_out_holds_before_it_is_durable},
	    {"zone out during an outage", test_zone_out_during_an_outage},
	    {"another's hold is settled after a while",
		test_another_s_hold_is_settled_after_a_while},
	    {"zone in gives way to an order it did not know",
		test_zone_in_gives_way_to_an_order_it_did_not_know},
	    {"zone closes before sections are there",
		test_zone_closes_before_sections_are_there},
	    {"copy between peers", test_copy_between_peers},
	    {"reads", test_reads},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("spread", tests);
}
