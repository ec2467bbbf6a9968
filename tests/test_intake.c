/* Tests of the limits on what callers hold at once. */
#include "common_cunit.h"
#include "connection/intake.h"
#include "process/alloc.h"

#define CONNECTIONS 4
#define KIB	    ((size_t)1024)
#define SHORT	    (16 * KIB) /* longest body that may use the reserve */
#define LONG	    (60 * KIB)
#define BYTES	    (80 * KIB) /* of which a quarter is the reserve */
#define STALLED_MS  1000

struct fixture {
	struct intake intake;
	struct intake_connection connections[CONNECTIONS + 2];
	struct intake_connection *closed[CONNECTIONS + 2];
	size_t closed_count;
	int64_t now_ms;
};

static void
note_closed(void *context, struct intake_connection *connection,
    enum intake_reason reason)
{
	struct fixture *fixture = context;

	(void)reason;
	fixture->closed[fixture->closed_count++] = connection;
}

/* Opens a connection; the next one is a millisecond younger. */
static void
open_connection(struct fixture *fixture, size_t index)
{
	intake_open(&fixture->intake, &fixture->connections[index], NULL,
	    fixture->now_ms++);
}

static void
open_fixture(struct fixture *fixture, size_t count, int64_t idle_ms)
{
	const struct intake_limits limits = {
	    .max_connections = CONNECTIONS,
	    .max_bytes = BYTES,
	    .idle_ms = idle_ms,
	};

	*fixture = (struct fixture){.now_ms = 1};
	intake_init(&fixture->intake, &limits, note_closed, fixture);
	for (size_t i = 0; i < count; i++)
		open_connection(fixture, i);
}

static bool
take(struct fixture *fixture, size_t index, size_t bytes)
{
	return intake_take(&fixture->intake, &fixture->connections[index],
	    bytes, fixture->now_ms++);
}

static void
expect_closed(const struct fixture *fixture, size_t index)
{
	CU_ASSERT_EQUAL(fixture->closed_count, 1);
	CU_ASSERT_PTR_EQUAL(fixture->closed[0], &fixture->connections[index]);
}

/* Load: a crowd that holds all connections. Guards against newcomers that wait
 * for it: the one without progress for the longest goes first. */
static void
test_longest_idle_gives_way(void)
{
	struct fixture fixture;

	open_fixture(&fixture, CONNECTIONS, 0);
	intake_progress(
	    &fixture.intake, &fixture.connections[0], fixture.now_ms++);
	open_connection(&fixture, CONNECTIONS);
	expect_closed(&fixture, 1);
	CU_ASSERT_FALSE(intake_is_over_limit(&fixture.intake));
}

/* Guards against cutting off a request that is being served, or the newcomer
 * where all others are served. */
static void
test_busy_connections_stay(void)
{
	struct fixture fixture;

	open_fixture(&fixture, CONNECTIONS, 0);
	for (size_t i = 0; i < CONNECTIONS; i++)
		intake_set_busy(&fixture.intake, &fixture.connections[i], true,
		    fixture.now_ms++);
	open_connection(&fixture, CONNECTIONS);
	CU_ASSERT_EQUAL(fixture.closed_count, 0);
	CU_ASSERT_TRUE(intake_is_over_limit(&fixture.intake));
	intake_set_busy(&fixture.intake, &fixture.connections[CONNECTIONS],
	    true, fixture.now_ms++);
	intake_close(&fixture.intake, &fixture.connections[0]);
	intake_set_busy(
	    &fixture.intake, &fixture.connections[2], false, fixture.now_ms++);
	open_connection(&fixture, CONNECTIONS + 1);
	expect_closed(&fixture, 2);
}

/* Guards against cutting off idle connections that callers have just used. */
static void
test_young_idle_connections_stay(void)
{
	struct fixture fixture;

	open_fixture(&fixture, CONNECTIONS + 1, STALLED_MS);
	CU_ASSERT_EQUAL(fixture.closed_count, 0);
	intake_close(&fixture.intake, &fixture.connections[CONNECTIONS]);
	fixture.now_ms += STALLED_MS;
	open_connection(&fixture, CONNECTIONS);
	expect_closed(&fixture, 0);
}

/* Load: long bodies that stop short of their end. Guards against a short
 * request that is refused for them. */
static void
test_reserve_is_for_short_bodies(void)
{
	struct fixture fixture;

	open_fixture(&fixture, 3, 0);
	CU_ASSERT_TRUE(take(&fixture, 0, LONG));
	CU_ASSERT_FALSE(take(&fixture, 1, SHORT + 1));
	CU_ASSERT_TRUE(take(&fixture, 2, SHORT));
	CU_ASSERT_EQUAL(fixture.intake.bytes, LONG + SHORT);
	CU_ASSERT_EQUAL(fixture.closed_count, 0);
}

/* Guards against stalled bodies that hold the budget for good, and against a
 * caller that is cut off in the middle of its progress. */
static void
test_stalled_bodies_give_way(void)
{
	struct fixture fixture;

	open_fixture(&fixture, 3, 0);
	CU_ASSERT_TRUE(take(&fixture, 0, LONG));
	CU_ASSERT_FALSE(take(&fixture, 1, SHORT + 1));
	CU_ASSERT_EQUAL(fixture.closed_count, 0);
	fixture.now_ms += STALLED_MS;
	CU_ASSERT_TRUE(take(&fixture, 1, SHORT + 1));
	expect_closed(&fixture, 0);
}

/* Load: very many short bodies that stop short of their end. Guards against a
 * short request that has to wait until they have stalled. */
static void
test_short_body_makes_room_at_once(void)
{
	struct fixture fixture;

	open_fixture(&fixture, CONNECTIONS, 0);
	CU_ASSERT_TRUE(take(&fixture, 0, LONG));
	CU_ASSERT_TRUE(take(&fixture, 1, SHORT));
	CU_ASSERT_TRUE(take(&fixture, 2, SHORT));
	expect_closed(&fixture, 0);
}

/* Guards against bytes and connections that are never given back. */
static void
test_closed_connection_holds_nothing(void)
{
	struct fixture fixture;

	open_fixture(&fixture, 2, 0);
	CU_ASSERT_TRUE(take(&fixture, 0, SHORT));
	CU_ASSERT_TRUE(take(&fixture, 1, SHORT));
	intake_release(&fixture.intake, &fixture.connections[1]);
	intake_close(&fixture.intake, &fixture.connections[0]);
	intake_close(&fixture.intake, &fixture.connections[1]);
	CU_ASSERT_EQUAL(fixture.intake.bytes, 0);
	CU_ASSERT_EQUAL(fixture.intake.connections, 0);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"longest idle gives way", test_longest_idle_gives_way},
	    {"busy connections stay", test_busy_connections_stay},
	    {"young idle connections stay", test_young_idle_connections_stay},
	    {"reserve is for short bodies", test_reserve_is_for_short_bodies},
	    {"stalled bodies give way", test_stalled_bodies_give_way},
	    {"short body makes room at once",
		test_short_body_makes_room_at_once},
	    {"closed connection holds nothing",
		test_closed_connection_holds_nothing},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("intake", tests);
}
