/* Following a prefix of the store, against answers made up here. */
#include <string.h>

#include "agent/agent_watch.h"
#include "common_cunit.h"
#include "process/alloc.h"

#define WAIT_MS	    800
#define TIMEOUT_MS  600
#define PAUSE_MS    120
#define STATUS_OK   200
#define STATUS_GONE 410
#define MAX_ITEMS   16

/* The store's side of a call that waits for its answer. */
struct store_side {
	http_done *done;
	void *context;
	int32_t timeout_ms;
	uint32_t calls;
};

struct seen {
	char keys[MAX_ITEMS][32];
	bool deleted[MAX_ITEMS];
	size_t count;
};

struct setting {
	struct store_side side;
	struct platform_store store;
	struct seen seen;
	struct agent_watch *watch;
	int64_t now_ms;
};

static void
carry(void *context, const struct http_call *call, http_done *done,
    void *done_context)
{
	struct store_side *side = context;

	side->done = done;
	side->context = done_context;
	side->timeout_ms = call->timeout_ms;
	side->calls++;
}

static void
note_item(void *context, const struct platform_item *item)
{
	struct seen *seen = context;

	if (seen->count == MAX_ITEMS)
		return;
	STRING_COPY(seen->keys[seen->count], item->key);
	seen->deleted[seen->count++] = item->deleted;
}

static void
close_setting(struct setting *setting)
{
	agent_watch_free(setting->watch);
}

static void
open_setting(struct setting *setting)
{
	struct agent_watch_config config = {
	    .prefix = "p/",
	    .wait_ms = WAIT_MS,
	    .pause_ms = PAUSE_MS,
	    .item = note_item,
	    .context = &setting->seen,
	};

	*setting = (struct setting){.now_ms = 1000};
	setting->store = (struct platform_store){
	    .carry = carry,
	    .carry_context = &setting->side,
	    .address = "127.0.0.1:1",
	    .timeout_ms = TIMEOUT_MS,
	};
	setting->watch = agent_watch_new(&config, &setting->store);
}

/* Lets the watch send its next call and answers it. */
static void
answer(struct setting *setting, enum http_outcome outcome, int32_t status,
    const char *body)
{
	uint32_t before = setting->side.calls;
	struct http_answer reply = {
	    .outcome = outcome,
	    .status = status,
	    .body = body,
	    .body_length = strlen(body),
	};

	setting->now_ms += 1000;
	(void)agent_watch_step(setting->watch, setting->now_ms);
	CU_ASSERT_EQUAL(setting->side.calls, before + 1);
	reply.sent_ms = setting->now_ms;
	reply.received_ms = setting->now_ms + 4;
	setting->side.done(setting->side.context, &reply);
}

#define LISTING                                                         \
	"{\"items\":[{\"Key\":\"p/a\",\"Value\":\"\",\"Revision\":3,"   \
	"\"Created\":3,\"Lease\":0},{\"Key\":\"p/b\",\"Value\":\"\","   \
	"\"Revision\":4,\"Created\":4,\"Lease\":0}],\"HasMore\":false," \
	"\"At\":9}"
#define NOTHING "{\"events\":[],\"At\":9}"

/* Pattern: the store is back after an outage, and each instance is ready again
 * as soon as its watches know it. */
static void
test_failed_watch_asks_without_waiting(void)
{
	CLEANUP(close_setting) struct setting setting;

	open_setting(&setting);
	answer(&setting, HTTP_ANSWERED, STATUS_OK, LISTING);
	answer(&setting, HTTP_ANSWERED, STATUS_OK, NOTHING);
	CU_ASSERT_TRUE(setting.side.timeout_ms >= WAIT_MS);
	answer(&setting, HTTP_NO_ANSWER, 0, "");
	answer(&setting, HTTP_ANSWERED, STATUS_OK, NOTHING);
	CU_ASSERT_TRUE(setting.side.timeout_ms < WAIT_MS);
	answer(&setting, HTTP_ANSWERED, STATUS_OK, NOTHING);
	CU_ASSERT_TRUE(setting.side.timeout_ms >= WAIT_MS);
}

static void
test_changes_are_told_once(void)
{
	CLEANUP(close_setting) struct setting setting;

	open_setting(&setting);
	answer(&setting, HTTP_ANSWERED, STATUS_OK, LISTING);
	CU_ASSERT_EQUAL(setting.seen.count, 2);
	CU_ASSERT_TRUE(agent_watch_loaded(setting.watch));
	answer(&setting, HTTP_ANSWERED, STATUS_OK,
	    "{\"events\":[{\"Key\":\"p/a\",\"Value\":\"\",\"Revision\":3,"
	    "\"Created\":3,\"Lease\":0},{\"Key\":\"p/b\",\"Revision\":11,"
	    "\"Deleted\":true}],\"At\":11}");
	CU_ASSERT_EQUAL(setting.seen.count, 3);
	CU_ASSERT_STRING_EQUAL(setting.seen.keys[2], "p/b");
	CU_ASSERT_TRUE(setting.seen.deleted[2]);
}

static void
test_lost_history_is_listed_anew(void)
{
	CLEANUP(close_setting) struct setting setting;

	open_setting(&setting);
	answer(&setting, HTTP_ANSWERED, STATUS_OK, LISTING);
	answer(&setting, HTTP_ANSWERED, STATUS_GONE, "");
	answer(&setting, HTTP_ANSWERED, STATUS_OK,
	    "{\"items\":[{\"Key\":\"p/b\",\"Value\":\"\",\"Revision\":4,"
	    "\"Created\":4,\"Lease\":0}],\"HasMore\":false,\"At\":20}");
	CU_ASSERT_EQUAL(setting.seen.count, 3);
	CU_ASSERT_STRING_EQUAL(setting.seen.keys[2], "p/a");
	CU_ASSERT_TRUE(setting.seen.deleted[2]);
}

/* A job that this instance has accepted, or was told of, before the store tells
 * it: it is told once, and goes with the listing that does not show it. */
static void
test_item_is_taken_in_before_its_time(void)
{
	CLEANUP(close_setting) struct setting setting;
	struct platform_item early = {
	    .key = "p/c", .value = "", .revision = 12};

	open_setting(&setting);
	answer(&setting, HTTP_ANSWERED, STATUS_OK, LISTING);
	agent_watch_tell(setting.watch, &early);
	CU_ASSERT_EQUAL(setting.seen.count, 3);
	answer(&setting, HTTP_ANSWERED, STATUS_OK,
	    "{\"events\":[{\"Key\":\"p/c\",\"Value\":\"\",\"Revision\":12,"
	    "\"Created\":12,\"Lease\":0}],\"At\":12}");
	CU_ASSERT_EQUAL(setting.seen.count, 3);
	answer(&setting, HTTP_ANSWERED, STATUS_GONE, "");
	answer(&setting, HTTP_ANSWERED, STATUS_OK, LISTING);
	CU_ASSERT_EQUAL(setting.seen.count, 4);
	CU_ASSERT_STRING_EQUAL(setting.seen.keys[3], "p/c");
	CU_ASSERT_TRUE(setting.seen.deleted[3]);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"failed watch asks without waiting",
		test_failed_watch_asks_without_waiting},
	    {"changes are told once", test_changes_are_told_once},
	    {"lost history is listed anew", test_lost_history_is_listed_anew},
	    {"item is taken in before its time",
		test_item_is_taken_in_before_its_time},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("agent_watch", tests);
}
