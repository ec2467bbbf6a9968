/* Reading, editing and writing of heads. */
#include <stdio.h>
#include <string.h>

#include "common_cunit.h"
#include "process/alloc.h"
#include "version/head.h"

static struct head *
parse(const char *text, struct ibis_status *status)
{
	return head_parse(text, strlen(text), status);
}

static struct head *
empty_head(void)
{
	return parse("{\"version\": 1, \"sections_version\": 0, \"sections\": "
		     "{}, \"zones\": {}}",
	    NULL);
}

static void
test_round_trip(void)
{
	const char *cleared[] = {"o0"};
	CLEANUP(buffer_free) struct buffer first = {0};
	CLEANUP(buffer_free) struct buffer second = {0};
	struct head *head = empty_head();
	struct head *copy;

	head->version = 7;
	CU_ASSERT_EQUAL(head_set_section(head, "records", 0, 3, NULL), IBIS_OK);
	head_put_zone_in_service(head, "north", "o1", cleared, 1);
	head_take_zone_out(head, "north", "o2");
	head_write(head, &first);
	copy = head_parse(first.data, first.length, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(copy);
	head_write(copy, &second);
	CU_ASSERT_STRING_EQUAL(first.data, second.data);
	CU_ASSERT_EQUAL(head_section_revision(copy, "records"), 3);
	CU_ASSERT_TRUE(head_zone_is_out(copy, "north"));
	CU_ASSERT_TRUE(head_contains_order(copy, "north", "o0"));
	head_free(copy);
	head_free(head);
}

static void
test_conflict_names_current_revision(void)
{
	struct ibis_status status = {0};
	struct head *head = empty_head();

	(void)head_set_section(head, "records", 0, 3, NULL);
	CU_ASSERT_EQUAL(
	    head_set_section(head, "records", 2, 4, &status), IBIS_CONFLICT);
	CU_ASSERT_STRING_EQUAL(status.message,
	    "section records: the current revision is 3; the edit is "
	    "based on revision 2");
	CU_ASSERT_EQUAL(head_section_revision(head, "records"), 3);
	CU_ASSERT_EQUAL(head_set_section(head, "records", 3, 0, NULL), IBIS_OK);
	CU_ASSERT_EQUAL(head->sections_count, 0);
	head_free(head);
}

static void
test_repeated_order_changes_nothing(void)
{
	struct head *head = empty_head();

	head_take_zone_out(head, "north", "o1");
	head_put_zone_in_service(head, "north", "o2", NULL, 0);
	CU_ASSERT_FALSE(head_zone_is_out(head, "north"));
	head_take_zone_out(head, "north", "o1");
	CU_ASSERT_FALSE(head_zone_is_out(head, "north"));
	CU_ASSERT_TRUE(head_contains_order(head, "north", "o1"));
	CU_ASSERT_FALSE(head_contains_order(head, "south", "o1"));
	head_free(head);
}

static void
test_two_orders_out_are_both_contained(void)
{
	struct head *head = empty_head();

	head_take_zone_out(head, "north", "o1");
	head_take_zone_out(head, "north", "o2");
	CU_ASSERT_TRUE(head_contains_order(head, "north", "o1"));
	CU_ASSERT_TRUE(head_contains_order(head, "north", "o2"));
	CU_ASSERT_TRUE(head_zone_is_out(head, "north"));
	head_free(head);
}

static void
test_keeps_limited_number_of_orders(void)
{
	struct head *head = empty_head();
	char order[HEAD_ORDER_BYTES];

	for (int i = 0; i < HEAD_MAX_CLEARED_ORDERS + 2; i++) {
		(void)snprintf(order, sizeof(order), "o%d", i);
		head_take_zone_out(head, "north", order);
	}
	CU_ASSERT_FALSE(head_contains_order(head, "north", "o0"));
	CU_ASSERT_TRUE(head_contains_order(head, "north", "o1"));
	head_free(head);
}

static void
test_refuses_malformed_text(void)
{
	const char *texts[] = {"", "{}", "[]",
	    "{\"version\": -1, \"sections_version\": 0, \"sections\": {}, "
	    "\"zones\": {}}",
	    "{\"version\": 1, \"sections_version\": 0, \"sections\": {\"a\": "
	    "\"b\"}, \"zones\": {}}",
	    "{\"version\": 1, \"sections_version\": 0, \"sections\": {}, "
	    "\"zones\": {\"a\": {}}}",
	    "{\"version\": 1, \"sections_version\": 0, \"sections\": {}, "
	    "\"zones\": {}, \"x\": 1}"};

	for (size_t i = 0; i < COUNT_OF(texts); i++) {
		struct ibis_status status = {0};

		CU_ASSERT_PTR_NULL(parse(texts[i], &status));
		CU_ASSERT_EQUAL(status.code, IBIS_INVALID);
	}
	CU_ASSERT_PTR_NULL(head_parse("{}\0", 3, NULL));
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"round trip", test_round_trip},
	    {"conflict names the current revision",
		test_conflict_names_current_revision},
	    {"repeated order changes nothing",
		test_repeated_order_changes_nothing},
	    {"two orders out are both contained",
		test_two_orders_out_are_both_contained},
	    {"keeps a limited number of orders",
		test_keeps_limited_number_of_orders},
	    {"refuses malformed text", test_refuses_malformed_text},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("head", tests);
}
