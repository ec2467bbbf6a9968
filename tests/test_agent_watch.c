/* Tests of following a prefix of the store, with simulated answers. */
#include <string.h>

#include "agent/agent_watch.h"
#include "common_cunit.h"
#include "process/alloc.h"

#define WAIT_MS	    800
#define TIMEOUT_MS  600
#define PAUSE_MS    120
#define STATUS_OK   200
#define STATUS_GONE 410
#define ANSWER_MS   4
#define MAX_ITEMS   16

/* The last call to the simulated store, and how many calls there were. */
struct last_call {
	http_callback *done;
	void *context;
	int32_t timeout_ms;
	int32_t idle_timeout_ms;
	size_t max_response_bytes;
	bool lists;
	uint32_t calls;
};

/* The items that the watch has reported. */
struct reported {
	char keys[MAX_ITEMS][32];
	bool deleted[MAX_ITEMS];
	size_t count;
};

struct fixture {
	struct last_call last_call;
	struct platform_store store;
	struct reported reported;
	struct agent_watch *watch;
	int64_t now_ms;
};

static void
record_call(void *context, const struct http_call *call, http_callback *done,
    void *done_context)
{
	struct last_call *last_call = context;

	last_call->done = done;
	last_call->context = done_context;
	last_call->timeout_ms = call->timeout_ms;
	last_call->idle_timeout_ms = call->idle_timeout_ms;
	last_call->max_response_bytes = call->max_response_bytes;
	last_call->lists = strstr(call->path, "kv-range") != NULL;
	last_call->calls++;
}

static void
record_item(void *context, const struct platform_store_item *item)
{
	struct reported *reported = context;

	if (reported->count == MAX_ITEMS)
		return;
	STRING_COPY(reported->keys[reported->count], item->key);
	reported->deleted[reported->count++] = item->deleted;
}

static void
close_fixture(struct fixture *fixture)
{
	agent_watch_free(fixture->watch);
}

static void
open_fixture(struct fixture *fixture)
{
	struct agent_watch_config config = {
	    .prefix = "p/",
	    .wait_ms = WAIT_MS,
	    .pause_ms = PAUSE_MS,
	    .confirm_changes = true,
	    .item = record_item,
	    .context = &fixture->reported,
	};

	*fixture = (struct fixture){.now_ms = 1000};
	fixture->store = (struct platform_store){
	    .send = record_call,
	    .send_context = &fixture->last_call,
	    .address = "127.0.0.1:1",
	    .timeout_ms = TIMEOUT_MS,
	};
	fixture->watch = agent_watch_new(&config, &fixture->store);
}

/* Makes the watch send its next call and answers it. */
static void
answer_after(struct fixture *fixture, struct http_result reply, int64_t took_ms)
{
	uint32_t before = fixture->last_call.calls;

	fixture->now_ms += 1000;
	(void)agent_watch_step(fixture->watch, fixture->now_ms);
	CU_ASSERT_EQUAL(fixture->last_call.calls, before + 1);
	reply.sent_ms = fixture->now_ms;
	reply.received_ms = fixture->now_ms + took_ms;
	reply.body_length = strlen(reply.body);
	fixture->last_call.done(fixture->last_call.context, &reply);
}

static void
answer_with(struct fixture *fixture, struct http_result reply)
{
	answer_after(fixture, reply, ANSWER_MS);
}

static void
answer(struct fixture *fixture, enum http_outcome outcome, int32_t status,
    const char *body)
{
	answer_with(fixture,
	    (struct http_result){
		.outcome = outcome, .status = status, .body = body});
}

/* Makes the watch send its next call; returns whether it is a listing. */
static bool
next_call_lists(struct fixture *fixture)
{
	answer(fixture, HTTP_NOT_SENT, 0, "");
	return fixture->last_call.lists;
}

#define LISTING                                                         \
	"{\"items\":[{\"Key\":\"p/a\",\"Value\":\"\",\"Revision\":3,"   \
	"\"Created\":3,\"Lease\":0},{\"Key\":\"p/b\",\"Value\":\"\","   \
	"\"Revision\":4,\"Created\":4,\"Lease\":0}],\"HasMore\":false," \
	"\"At\":9}"
#define CHANGE                                                          \
	"{\"events\":[{\"Key\":\"p/a\",\"Value\":\"\",\"Revision\":12," \
	"\"Created\":3,\"Lease\":0}],\"At\":12}"
#define NOTHING "{\"events\":[],\"At\":9}"

/* Guards against instances that stay not ready after a store outage, because
 * their first watch call waits for a change before it is answered. */
static void
test_watch_does_not_wait_after_a_failure(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, LISTING);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, NOTHING);
	CU_ASSERT_TRUE(fixture.last_call.timeout_ms >= WAIT_MS);
	answer(&fixture, HTTP_OUTCOME_UNKNOWN, 0, "");
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, NOTHING);
	CU_ASSERT_TRUE(fixture.last_call.timeout_ms < WAIT_MS);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, NOTHING);
	CU_ASSERT_TRUE(fixture.last_call.timeout_ms >= WAIT_MS);
}

/* Guards against a lead that steps down while its renewals succeed: answers
 * slower than a watch allowed, but not than another call, ended each watch. */
static void
test_watch_allows_for_answers_as_slow_as_another_call(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, LISTING);
	CU_ASSERT_EQUAL(fixture.last_call.timeout_ms, TIMEOUT_MS);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, NOTHING);
	CU_ASSERT_TRUE(fixture.last_call.timeout_ms >= WAIT_MS + TIMEOUT_MS);
	answer(&fixture, HTTP_OUTCOME_UNKNOWN, 0, "");
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, NOTHING);
	CU_ASSERT_TRUE(fixture.last_call.timeout_ms >= TIMEOUT_MS);
}

static void
test_changes_are_reported_once(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, LISTING);
	CU_ASSERT_EQUAL(fixture.reported.count, 2);
	CU_ASSERT_TRUE(agent_watch_loaded(fixture.watch));
	answer(&fixture, HTTP_RESPONDED, STATUS_OK,
	    "{\"events\":[{\"Key\":\"p/a\",\"Value\":\"\",\"Revision\":3,"
	    "\"Created\":3,\"Lease\":0},{\"Key\":\"p/b\",\"Revision\":11,"
	    "\"Deleted\":true}],\"At\":11}");
	CU_ASSERT_EQUAL(fixture.reported.count, 3);
	CU_ASSERT_STRING_EQUAL(fixture.reported.keys[2], "p/b");
	CU_ASSERT_TRUE(fixture.reported.deleted[2]);
}

/* Guards against jobs that vanish: a listing's answer without items and
 * revision counted as an empty store. */
static void
test_answer_without_revision_is_a_failure(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, LISTING);
	answer(&fixture, HTTP_RESPONDED, STATUS_GONE, "");
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, "");
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, "{}");
	CU_ASSERT_EQUAL(fixture.reported.count, 2);
	CU_ASSERT_FALSE(agent_watch_complete(fixture.watch));
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, LISTING);
	CU_ASSERT_EQUAL(fixture.reported.count, 2);
	CU_ASSERT_TRUE(agent_watch_complete(fixture.watch));
}

/* Guards against reads of large values that are given up while they progress
 * and begun again: the answer to a listing or watch may take as long as its
 * size needs. */
static void
test_reads_end_only_when_nothing_arrives(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, LISTING);
	CU_ASSERT_EQUAL(fixture.last_call.idle_timeout_ms, TIMEOUT_MS);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, NOTHING);
	CU_ASSERT_EQUAL(fixture.last_call.idle_timeout_ms, TIMEOUT_MS);
}

/* An answer without changes shows that there were none until the end of the
 * wait; one with changes, or one that came early, only until the call. */
static void
test_wait_without_changes_confirms(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	struct http_result reply = {
	    .outcome = HTTP_RESPONDED, .status = STATUS_OK, .body = NOTHING};

	open_fixture(&fixture);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, LISTING);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, NOTHING);
	CU_ASSERT_EQUAL(
	    agent_watch_confirmed_ms(fixture.watch), fixture.now_ms);
	answer_after(&fixture, reply, WAIT_MS);
	CU_ASSERT_EQUAL(
	    agent_watch_confirmed_ms(fixture.watch), fixture.now_ms + WAIT_MS);
	CU_ASSERT_EQUAL(agent_watch_current_ms(fixture.watch), fixture.now_ms);
}

/* Guards against requests that are refused beside large changes: one that came
 * late in a watch's wait and took long to read left the configuration
 * unconfirmed until the end of the next wait. */
static void
test_change_is_confirmed_without_a_wait(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, LISTING);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, CHANGE);
	CU_ASSERT_TRUE(fixture.last_call.timeout_ms >= WAIT_MS);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, NOTHING);
	CU_ASSERT_TRUE(fixture.last_call.timeout_ms < WAIT_MS);
	CU_ASSERT_EQUAL(
	    agent_watch_confirmed_ms(fixture.watch), fixture.now_ms + 1);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, NOTHING);
	CU_ASSERT_TRUE(fixture.last_call.timeout_ms >= WAIT_MS);
}

/* Guards against an instance that falls behind: it read each replaced version,
 * which takes longer than to list what there is. */
static void
test_changes_longer_than_a_listing_are_listed(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	size_t limit;

	open_fixture(&fixture);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, LISTING);
	CU_ASSERT_EQUAL(fixture.last_call.max_response_bytes, 0);
	answer_with(&fixture,
	    (struct http_result){.outcome = HTTP_OUTCOME_UNKNOWN,
		.status = STATUS_OK,
		.body = "",
		.too_long = true});
	limit = fixture.last_call.max_response_bytes;
	CU_ASSERT_TRUE(limit > strlen(LISTING));
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, LISTING);
	CU_ASSERT_TRUE(fixture.last_call.lists);
	CU_ASSERT_FALSE(next_call_lists(&fixture));
}

/* A watch is repeated after a refusal, but not when a part of its answer came:
 * the next one would be as long. */
static void
test_watch_cut_in_its_answer_is_listed(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, LISTING);
	answer(&fixture, HTTP_RESPONDED, 503, "{\"error\":\"busy\"}");
	CU_ASSERT_FALSE(next_call_lists(&fixture));
	answer(&fixture, HTTP_OUTCOME_UNKNOWN, STATUS_OK, "{\"events\":[{");
	CU_ASSERT_TRUE(next_call_lists(&fixture));
}

static void
test_compacted_history_is_listed_again(void)
{
	CLEANUP(close_fixture) struct fixture fixture;

	open_fixture(&fixture);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, LISTING);
	answer(&fixture, HTTP_RESPONDED, STATUS_GONE, "");
	answer(&fixture, HTTP_RESPONDED, STATUS_OK,
	    "{\"items\":[{\"Key\":\"p/b\",\"Value\":\"\",\"Revision\":4,"
	    "\"Created\":4,\"Lease\":0}],\"HasMore\":false,\"At\":20}");
	CU_ASSERT_EQUAL(fixture.reported.count, 3);
	CU_ASSERT_STRING_EQUAL(fixture.reported.keys[2], "p/a");
	CU_ASSERT_TRUE(fixture.reported.deleted[2]);
}

/* An instance applies a job that it has accepted, or has got a hint about,
 * before the watch reports it. The job is reported once, and is reported as
 * deleted when a later listing doesn't contain it. */
static void
test_item_applied_early_is_reported_once(void)
{
	CLEANUP(close_fixture) struct fixture fixture;
	struct platform_store_item early = {
	    .key = "p/c", .value = "", .revision = 12};

	open_fixture(&fixture);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, LISTING);
	agent_watch_apply(fixture.watch, &early);
	CU_ASSERT_EQUAL(fixture.reported.count, 3);
	answer(&fixture, HTTP_RESPONDED, STATUS_OK,
	    "{\"events\":[{\"Key\":\"p/c\",\"Value\":\"\",\"Revision\":12,"
	    "\"Created\":12,\"Lease\":0}],\"At\":12}");
	CU_ASSERT_EQUAL(fixture.reported.count, 3);
	answer(&fixture, HTTP_RESPONDED, STATUS_GONE, "");
	answer(&fixture, HTTP_RESPONDED, STATUS_OK, LISTING);
	CU_ASSERT_EQUAL(fixture.reported.count, 4);
	CU_ASSERT_STRING_EQUAL(fixture.reported.keys[3], "p/c");
	CU_ASSERT_TRUE(fixture.reported.deleted[3]);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"watch does not wait after a failure",
		test_watch_does_not_wait_after_a_failure},
	    {"watch allows for answers as slow as another call",
		test_watch_allows_for_answers_as_slow_as_another_call},
	    {"changes are reported once", test_changes_are_reported_once},
	    {"answer without revision is a failure",
		test_answer_without_revision_is_a_failure},
	    {"reads end only when nothing arrives",
		test_reads_end_only_when_nothing_arrives},
	    {"wait without changes confirms",
		test_wait_without_changes_confirms},
	    {"change is confirmed without a wait",
		test_change_is_confirmed_without_a_wait},
	    {"changes longer than a listing are listed",
		test_changes_longer_than_a_listing_are_listed},
	    {"watch cut in its answer is listed",
		test_watch_cut_in_its_answer_is_listed},
	    {"compacted history is listed again",
		test_compacted_history_is_listed_again},
	    {"item applied early is reported once",
		test_item_applied_early_is_reported_once},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("agent_watch", tests);
}
