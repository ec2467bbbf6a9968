/* Tests of the replication on one instance. The test acts as the store, the
 * peers and the operators. */
#include <stdio.h>

#include <string.h>

#include "common_cunit.h"
#include "process/alloc.h"
#include "process/proto_memory.h"
#include "version/replication.h"

#define ZONES	 "{\"availability_zones\": {\"north\": {}, \"south\": {}}}"
#define DOCUMENT "{\"sections\": {\"platform\": " ZONES ", \"team\": {}}}"
#define HEAD                                         \
	"{\"version\": 3, \"sections_version\": 2, " \
	"\"sections\": {\"platform\": 2}, \"zones\": {}}"

/* An instance under test, and its clock. */
struct fixture {
	struct replication *replication;
	struct replication_action last; /* found by find_action */
	int64_t now_ms;
};

static void
set_up(struct fixture *fixture)
{
	const struct replication_config config = {
	    .name = "e1",
	    .incarnation = 7,
	    .watch_timeout_ms = 400,
	};

	*fixture = (struct fixture){.now_ms = 1000};
	fixture->last.kind = REPLICATION_ZONES_CHANGED;
	fixture->replication = replication_new(&config, fixture->now_ms);
}

static void
tear_down(struct fixture *fixture)
{
	replication_action_free(&fixture->last);
	replication_free(fixture->replication);
}

/* Takes actions up to the first of a kind, which is stored in last. */
static bool
find_action(struct fixture *fixture, enum replication_action_kind kind)
{
	replication_action_free(&fixture->last);
	while (replication_next_action(fixture->replication, &fixture->last)) {
		if (fixture->last.kind == kind)
			return true;
		replication_action_free(&fixture->last);
	}
	return false;
}

static void
expect_action(struct fixture *fixture, enum replication_action_kind kind)
{
	CU_ASSERT_TRUE(find_action(fixture, kind));
}

/* Expects a store call on a key. */
static void
expect_call(struct fixture *fixture, enum store_op op, const char *key)
{
	expect_action(fixture, REPLICATION_STORE_CALL);
	CU_ASSERT_EQUAL(fixture->last.store.op, op);
	CU_ASSERT_STRING_EQUAL(fixture->last.store.key, key);
}

/* Passes in the result of the store call in last. */
static void
answer_store(struct fixture *fixture, enum ibis_code code, uint64_t revision,
    const char *value)
{
	struct store_result result = {
	    .op = fixture->last.store.op,
	    .token = fixture->last.store.token,
	    .code = code,
	    .revision = revision,
	    .sent_ms = fixture->now_ms,
	    .received_ms = fixture->now_ms,
	};

	STRING_COPY(result.key, fixture->last.store.key);
	buffer_puts(&result.value, value);
	replication_handle_store_result(
	    fixture->replication, &result, fixture->now_ms);
	buffer_free(&result.value);
}

static void
advance_time(struct fixture *fixture, int64_t elapsed_ms)
{
	fixture->now_ms += elapsed_ms;
	replication_tick(fixture->replication, fixture->now_ms);
}

/* Puts version 3 in force. */
static void
set_up_with_document(struct fixture *fixture)
{
	set_up(fixture);
	advance_time(fixture, 0);
	expect_call(fixture, STORE_GET, "document/head");
	answer_store(fixture, IBIS_OK, 50, HEAD);
	expect_call(fixture, STORE_GET, "document/sections/platform/2");
	answer_store(fixture, IBIS_OK, 20, ZONES);
	expect_action(fixture, REPLICATION_VERSION_CHANGED);
	CU_ASSERT_EQUAL(replication_version(fixture->replication), 3);
}

static void
send_request(struct fixture *fixture, Ibis__RequestKind kind, const char *name,
    const char *body, uint64_t if_match)
{
	Ibis__Request message = IBIS__REQUEST__INIT;

	message.kind = kind;
	message.name = (char *)name;
	message.body = (char *)body;
	message.if_match = if_match;
	CU_ASSERT_TRUE(replication_handle_request(
	    fixture->replication, 99, &message, fixture->now_ms));
}

static void
expect_answer(
    struct fixture *fixture, enum ibis_code code, const char *expected_text)
{
	expect_action(fixture, REPLICATION_ANSWER);
	if (fixture->last.kind != REPLICATION_ANSWER)
		return;
	CU_ASSERT_EQUAL(fixture->last.answer.call, 99);
	CU_ASSERT_EQUAL(fixture->last.answer.status.code, code);
	if (strstr(fixture->last.answer.status.message, expected_text) ==
		NULL &&
	    strstr(buffer_string(&fixture->last.answer.json), expected_text) ==
		NULL) {
		CU_FAIL("the answer does not contain the expected text");
		puts(fixture->last.answer.status.message);
		puts(buffer_string(&fixture->last.answer.json));
	}
}

static void
test_first_document(void)
{
	struct fixture fixture;

	set_up(&fixture);
	advance_time(&fixture, 0);
	expect_call(&fixture, STORE_GET, "document/head");
	answer_store(&fixture, IBIS_NOT_FOUND, 0, "");
	send_request(&fixture, IBIS__REQUEST_KIND__REQUEST_PUT_DOCUMENT, "",
	    DOCUMENT, 0);
	expect_call(&fixture, STORE_GET, "document/head");
	answer_store(&fixture, IBIS_NOT_FOUND, 0, "");
	expect_call(&fixture, STORE_SWAP, "document/sections/platform/1");
	CU_ASSERT_EQUAL(fixture.last.store.expected_revision, 0);
	answer_store(&fixture, IBIS_OK, 10, "");
	expect_call(&fixture, STORE_SWAP, "document/sections/team/1");
	answer_store(&fixture, IBIS_OK, 11, "");
	expect_call(&fixture, STORE_SWAP, "document/head");
	CU_ASSERT_EQUAL(fixture.last.store.expected_revision, 0);
	CU_ASSERT_EQUAL(replication_version(fixture.replication), 0);
	answer_store(&fixture, IBIS_OK, 12, "");
	expect_action(&fixture, REPLICATION_VERSION_CHANGED);
	expect_answer(&fixture, IBIS_OK, "\"reached\": [ \"e1\" ]");
	CU_ASSERT_EQUAL(fixture.last.answer.revision, 1);
	CU_ASSERT_EQUAL(replication_version(fixture.replication), 1);
	CU_ASSERT_TRUE(replication_zone_open(fixture.replication, "north"));
	tear_down(&fixture);
}

static void
test_older_head_is_not_put_in_force(void)
{
	struct fixture fixture;

	set_up_with_document(&fixture);
	replication_set_watching(fixture.replication, true);
	advance_time(&fixture, 1);
	expect_call(&fixture, STORE_WATCH, "document/head");
	CU_ASSERT_EQUAL(fixture.last.store.expected_revision, 50);
	answer_store(&fixture, IBIS_OK, 60,
	    "{\"version\": 2, \"sections_version\": 2, \"sections\": {}, "
	    "\"zones\": {}}");
	CU_ASSERT_EQUAL(replication_version(fixture.replication), 3);
	CU_ASSERT_EQUAL(replication_confirmed_ms(fixture.replication), 1000);
	tear_down(&fixture);
}

static void
test_edit_conflict_names_current_revision(void)
{
	struct fixture fixture;

	set_up_with_document(&fixture);
	send_request(&fixture, IBIS__REQUEST_KIND__REQUEST_PUT_SECTION,
	    "platform", "{}", 1);
	expect_call(&fixture, STORE_GET, "document/head");
	answer_store(&fixture, IBIS_OK, 50, HEAD);
	expect_answer(&fixture, IBIS_CONFLICT,
	    "section platform is at revision 2, but the edit is based on "
	    "revision 1");
	tear_down(&fixture);
}

static void
test_edit_is_retried_after_edit_of_another_section(void)
{
	struct fixture fixture;

	set_up_with_document(&fixture);
	send_request(&fixture, IBIS__REQUEST_KIND__REQUEST_PUT_SECTION, "team",
	    "{\"workspaces\": {\"w\": {}}}", 0);
	expect_call(&fixture, STORE_GET, "document/head");
	answer_store(&fixture, IBIS_OK, 50, HEAD);
	expect_call(&fixture, STORE_SWAP, "document/sections/team/4");
	answer_store(&fixture, IBIS_OK, 51, "");
	expect_call(&fixture, STORE_SWAP, "document/head");
	answer_store(&fixture, IBIS_CONFLICT, 52,
	    "{\"version\": 4, \"sections_version\": 4, \"sections\": "
	    "{\"platform\": 2, \"other\": 4}, \"zones\": {}}");
	expect_call(&fixture, STORE_GET, "document/sections/other/4");
	answer_store(&fixture, IBIS_OK, 49, "{}");
	expect_call(&fixture, STORE_SWAP, "document/head");
	CU_ASSERT_EQUAL(fixture.last.store.expected_revision, 52);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(buffer_string(&fixture.last.store.value), "\"version\":5"));
	answer_store(&fixture, IBIS_OK, 53, "");
	expect_answer(&fixture, IBIS_OK, "+ workspace w ");
	CU_ASSERT_EQUAL(fixture.last.answer.revision, 4);
	tear_down(&fixture);
}

static void
test_head_is_read_again_after_lost_answer(void)
{
	CLEANUP(mem_free_string) char *written = NULL;
	struct fixture fixture;

	set_up_with_document(&fixture);
	send_request(
	    &fixture, IBIS__REQUEST_KIND__REQUEST_PUT_SECTION, "team", "{}", 0);
	expect_call(&fixture, STORE_GET, "document/head");
	answer_store(&fixture, IBIS_OK, 50, HEAD);
	expect_call(&fixture, STORE_SWAP, "document/sections/team/4");
	answer_store(&fixture, IBIS_UNKNOWN, 0, "");
	advance_time(&fixture, 300);
	expect_call(&fixture, STORE_GET, "document/head");
	answer_store(&fixture, IBIS_OK, 50, HEAD);
	expect_call(&fixture, STORE_SWAP, "document/sections/team/4");
	answer_store(&fixture, IBIS_CONFLICT, 51, "{}");
	expect_call(&fixture, STORE_SWAP, "document/head");
	written = mem_strdup(buffer_string(&fixture.last.store.value));
	answer_store(&fixture, IBIS_UNKNOWN, 0, "");
	CU_ASSERT_EQUAL(replication_version(fixture.replication), 3);
	advance_time(&fixture, 500);
	expect_call(&fixture, STORE_GET, "document/head");
	answer_store(&fixture, IBIS_OK, 52, written);
	expect_answer(&fixture, IBIS_OK, "\"version\": 4");
	tear_down(&fixture);
}

static void
test_invalid_edit_writes_nothing(void)
{
	struct fixture fixture;

	set_up_with_document(&fixture);
	send_request(&fixture, IBIS__REQUEST_KIND__REQUEST_PUT_SECTION, "team",
	    "{\"availability_zones\": {\"north\": {}}}", 0);
	expect_call(&fixture, STORE_GET, "document/head");
	answer_store(&fixture, IBIS_OK, 50, HEAD);
	expect_answer(&fixture, IBIS_INVALID, "north is defined twice");
	CU_ASSERT_FALSE(find_action(&fixture, REPLICATION_STORE_CALL));
	tear_down(&fixture);
}

static void
test_zone_out_closes_zone_before_it_is_stored(void)
{
	const char *peers[] = {"e2"};
	struct fixture fixture;
	Ibis__Frame frame = IBIS__FRAME__INIT;
	Ibis__HoldAck ack = IBIS__HOLD_ACK__INIT;
	char order[] = "e1.7.1";

	set_up_with_document(&fixture);
	replication_set_peers(fixture.replication, peers, 1);
	send_request(
	    &fixture, IBIS__REQUEST_KIND__REQUEST_ZONE_OUT, "north", "", 0);
	CU_ASSERT_FALSE(replication_zone_open(fixture.replication, "north"));
	CU_ASSERT_TRUE(replication_zone_open(fixture.replication, "south"));
	expect_action(&fixture, REPLICATION_SEND_FRAME);
	CU_ASSERT_STRING_EQUAL(fixture.last.send.peer, "e2");
	CU_ASSERT_STRING_EQUAL(
	    fixture.last.send.frame->hold->hold->order, order);
	expect_call(&fixture, STORE_GET, "document/head");
	answer_store(&fixture, IBIS_OK, 50, HEAD);
	expect_call(&fixture, STORE_SWAP, "document/head");
	answer_store(&fixture, IBIS_OK, 51, "");
	CU_ASSERT_EQUAL(replication_holds(fixture.replication)->count, 0);
	CU_ASSERT_FALSE(replication_zone_open(fixture.replication, "north"));
	ack.order = order;
	frame.body_case = IBIS__FRAME__BODY_HOLD_ACK;
	frame.hold_ack = &ack;
	replication_handle_frame(
	    fixture.replication, "e2", &frame, fixture.now_ms);
	expect_answer(&fixture, IBIS_OK, "\"missing\": [ ]");
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(fixture.last.answer.json.data, "\"durable\": true"));
	tear_down(&fixture);
}

static void
test_zone_out_during_a_store_outage(void)
{
	const char *peers[] = {"e2"};
	struct fixture fixture;

	set_up_with_document(&fixture);
	replication_set_peers(fixture.replication, peers, 1);
	send_request(
	    &fixture, IBIS__REQUEST_KIND__REQUEST_ZONE_OUT, "north", "", 0);
	expect_call(&fixture, STORE_GET, "document/head");
	answer_store(&fixture, IBIS_UNAVAILABLE, 0, "");
	advance_time(&fixture, 2399);
	expect_call(&fixture, STORE_GET, "document/head");
	advance_time(&fixture, 1);
	expect_answer(&fixture, IBIS_OK, "\"durable\": false");
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(fixture.last.answer.json.data, "\"missing\": [ \"e2\" ]"));
	CU_ASSERT_FALSE(replication_zone_open(fixture.replication, "north"));
	advance_time(&fixture, 60000);
	CU_ASSERT_FALSE(replication_zone_open(fixture.replication, "north"));
	tear_down(&fixture);
}

static void
test_hold_of_another_instance_is_settled_after_timeout(void)
{
	struct fixture fixture;
	Ibis__Frame frame = IBIS__FRAME__INIT;
	Ibis__HoldOrder body = IBIS__HOLD_ORDER__INIT;
	Ibis__Hold hold = IBIS__HOLD__INIT;

	set_up_with_document(&fixture);
	hold.zone = "north";
	hold.order = "e9.1.1";
	body.hold = &hold;
	frame.body_case = IBIS__FRAME__BODY_HOLD;
	frame.hold = &body;
	replication_handle_frame(
	    fixture.replication, "e9", &frame, fixture.now_ms);
	expect_action(&fixture, REPLICATION_SEND_FRAME);
	CU_ASSERT_EQUAL(
	    fixture.last.send.frame->body_case, IBIS__FRAME__BODY_HOLD_ACK);
	CU_ASSERT_FALSE(replication_zone_open(fixture.replication, "north"));
	advance_time(&fixture, 2000);
	CU_ASSERT_FALSE(find_action(&fixture, REPLICATION_STORE_CALL));
	advance_time(&fixture, 3000);
	expect_call(&fixture, STORE_GET, "document/head");
	answer_store(&fixture, IBIS_OK, 50, HEAD);
	expect_call(&fixture, STORE_SWAP, "document/head");
	CU_ASSERT_PTR_NOT_NULL(strstr(fixture.last.store.value.data, "e9.1.1"));
	tear_down(&fixture);
}

static void
test_zone_in_is_rejected_after_a_newer_zone_out(void)
{
	struct fixture fixture;

	set_up_with_document(&fixture);
	send_request(
	    &fixture, IBIS__REQUEST_KIND__REQUEST_ZONE_IN, "north", "", 0);
	expect_call(&fixture, STORE_GET, "document/head");
	answer_store(&fixture, IBIS_OK, 60,
	    "{\"version\": 4, \"sections_version\": 2, \"sections\": "
	    "{\"platform\": 2}, \"zones\": {\"north\": {\"out\": true, "
	    "\"order\": \"e2.1.1\"}}}");
	expect_answer(&fixture, IBIS_CONFLICT, "by order e2.1.1");
	CU_ASSERT_FALSE(replication_zone_open(fixture.replication, "north"));
	send_request(
	    &fixture, IBIS__REQUEST_KIND__REQUEST_ZONE_IN, "north", "", 0);
	expect_call(&fixture, STORE_GET, "document/head");
	answer_store(&fixture, IBIS_UNAVAILABLE, 0, "");
	CU_ASSERT_FALSE(replication_zone_open(fixture.replication, "north"));
	advance_time(&fixture, 2400);
	expect_answer(&fixture, IBIS_UNAVAILABLE, "nothing was changed");
	tear_down(&fixture);
}

static void
test_zone_closes_before_new_sections_are_loaded(void)
{
	struct fixture fixture;

	set_up_with_document(&fixture);
	replication_set_watching(fixture.replication, true);
	advance_time(&fixture, 1);
	expect_call(&fixture, STORE_WATCH, "document/head");
	answer_store(&fixture, IBIS_OK, 60,
	    "{\"version\": 4, \"sections_version\": 4, \"sections\": "
	    "{\"platform\": 4}, \"zones\": {\"north\": {\"out\": true, "
	    "\"order\": \"e2.1.1\"}}}");
	expect_call(&fixture, STORE_GET, "document/sections/platform/4");
	CU_ASSERT_EQUAL(replication_version(fixture.replication), 3);
	CU_ASSERT_FALSE(replication_zone_open(fixture.replication, "north"));
	tear_down(&fixture);
}

/* An instance fetches a newer version that a heartbeat announces. */
static void
test_newer_version_is_fetched_from_a_peer(void)
{
	struct fixture sender;
	struct fixture receiver;
	Ibis__Frame frame = IBIS__FRAME__INIT;
	Ibis__Heartbeat heartbeat = IBIS__HEARTBEAT__INIT;

	set_up_with_document(&sender);
	set_up(&receiver);
	replication_fill_heartbeat(sender.replication, &heartbeat);
	frame.body_case = IBIS__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &heartbeat;
	replication_handle_frame(
	    receiver.replication, "e1", &frame, receiver.now_ms);
	replication_clear_heartbeat(&heartbeat);
	expect_action(&receiver, REPLICATION_SEND_FRAME);
	replication_handle_frame(
	    sender.replication, "e2", receiver.last.send.frame, sender.now_ms);
	expect_action(&sender, REPLICATION_SEND_FRAME);
	replication_handle_frame(receiver.replication, "e1",
	    sender.last.send.frame, receiver.now_ms);
	expect_action(&receiver, REPLICATION_VERSION_CHANGED);
	CU_ASSERT_EQUAL(replication_version(receiver.replication), 3);
	CU_ASSERT_EQUAL(
	    replication_confirmed_ms(receiver.replication), INT64_MIN);
	tear_down(&sender);
	tear_down(&receiver);
}

static void
test_read_requests(void)
{
	struct fixture fixture;

	set_up_with_document(&fixture);
	send_request(&fixture, IBIS__REQUEST_KIND__REQUEST_DOCUMENT, "", "", 0);
	expect_answer(&fixture, IBIS_OK, "\"revision\": 2");
	send_request(
	    &fixture, IBIS__REQUEST_KIND__REQUEST_SECTION, "platform", "", 0);
	expect_answer(&fixture, IBIS_OK, ZONES);
	CU_ASSERT_EQUAL(fixture.last.answer.revision, 2);
	send_request(&fixture, IBIS__REQUEST_KIND__REQUEST_SECTION, "x", "", 0);
	expect_answer(&fixture, IBIS_NOT_FOUND, "no section x");
	send_request(
	    &fixture, IBIS__REQUEST_KIND__REQUEST_DOCUMENT_STATUS, "", "", 0);
	expect_answer(&fixture, IBIS_OK, "\"in_force_everywhere\": true");
	send_request(
	    &fixture, IBIS__REQUEST_KIND__REQUEST_ZONE_OUT, "x", "", 0);
	expect_answer(&fixture, IBIS_NOT_FOUND, "no availability zone x");
	tear_down(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"first document", test_first_document},
	    {"older head is kept out", test_older_head_is_not_put_in_force},
	    {"edit conflict names the current revision",
		test_edit_conflict_names_current_revision},
	    {"edit is retried after an edit of another section",
		test_edit_is_retried_after_edit_of_another_section},
	    {"head is read again after a lost answer",
		test_head_is_read_again_after_lost_answer},
	    {"invalid edit writes nothing", test_invalid_edit_writes_nothing},
	    {"zone out closes the zone before it is stored",
		test_zone_out_closes_zone_before_it_is_stored},
	    {"zone out during a store outage",
		test_zone_out_during_a_store_outage},
	    {"hold of another instance is settled after a timeout",
		test_hold_of_another_instance_is_settled_after_timeout},
	    {"zone in is rejected after a newer zone out",
		test_zone_in_is_rejected_after_a_newer_zone_out},
	    {"zone closes before new sections are loaded",
		test_zone_closes_before_new_sections_are_loaded},
	    {"newer version is fetched from a peer",
		test_newer_version_is_fetched_from_a_peer},
	    {"read requests", test_read_requests},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("replication", tests);
}
