/* Zone holds, and which of them a head replaces. */
#include "common_cunit.h"
#include "process/alloc.h"
#include "version/holds.h"

/* Of as many bytes as a zone's name can have. */
#define LONG_NAME \
	"n23456789-123456789-123456789-123456789-123456789-123456789-123"

static struct head *
empty_head(uint64_t version)
{
	struct head *head = mem_calloc(1, sizeof(*head));

	head->version = version;
	return head;
}

static void
test_add(void)
{
	CLEANUP(holds_free) struct holds holds = {0};

	CU_ASSERT_TRUE(holds_add(&holds, "north", "o1", 0, 10));
	CU_ASSERT_FALSE(holds_add(&holds, "north", "o1", 0, 20));
	CU_ASSERT_TRUE(holds_add(&holds, "north", "o1", 4, 30));
	CU_ASSERT_FALSE(holds_add(&holds, "north", "o1", 3, 40));
	CU_ASSERT_EQUAL(holds.count, 1);
	CU_ASSERT_EQUAL(holds.items[0].since_ms, 10);
	CU_ASSERT_EQUAL(holds.items[0].settled_version, 4);
	CU_ASSERT_TRUE(holds_forbid(&holds, "north"));
	CU_ASSERT_FALSE(holds_forbid(&holds, "south"));
}

/* Guards against a hold on another zone whose name begins alike. */
static void
test_long_names(void)
{
	CLEANUP(holds_free) struct holds holds = {0};

	CU_ASSERT_FALSE(holds_add(&holds, LONG_NAME "4", "o1", 0, 10));
	CU_ASSERT_TRUE(holds_add(&holds, LONG_NAME, "o1", 0, 10));
	CU_ASSERT_EQUAL(holds.count, 1);
	CU_ASSERT_FALSE(holds_forbid(&holds, LONG_NAME "4"));
}

static void
test_head_replaces_holds_of_its_orders_only(void)
{
	CLEANUP(holds_free) struct holds holds = {0};
	struct head *head = empty_head(9);

	(void)holds_add(&holds, "north", "o1", 0, 0);
	(void)holds_add(&holds, "north", "o2", 0, 0);
	(void)holds_add(&holds, "south", "o1", 0, 0);
	head_take_zone_out(head, "north", "o1");
	holds_apply_head(&holds, head);
	CU_ASSERT_EQUAL(holds.count, 2);
	CU_ASSERT_TRUE(holds_forbid(&holds, "north"));
	CU_ASSERT_TRUE(holds_forbid(&holds, "south"));
	head_free(head);
}

static void
test_settled_hold_waits_for_its_version(void)
{
	CLEANUP(holds_free) struct holds holds = {0};
	struct head *older = empty_head(4);
	struct head *newer = empty_head(5);

	(void)holds_add(&holds, "north", "o1", 5, 0);
	holds_apply_head(&holds, older);
	CU_ASSERT_TRUE(holds_forbid(&holds, "north"));
	holds_apply_head(&holds, newer);
	CU_ASSERT_FALSE(holds_forbid(&holds, "north"));
	head_free(older);
	head_free(newer);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"add", test_add},
	    {"head replaces holds of its own orders only",
		test_head_replaces_holds_of_its_orders_only},
	    {"settled hold waits for its version",
		test_settled_hold_waits_for_its_version},
	    {"long names", test_long_names},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("holds", tests);
}
