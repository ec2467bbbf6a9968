#include <string.h>

#include "common_cunit.h"
#include "process/alloc.h"
#include "process/membership.h"

#define TIMEOUT_MS 1000
#define NOW_MS	   5000
/* Of as many bytes as a name can have. */
#define LONG_NAME \
	"n23456789-123456789-123456789-123456789-123456789-123456789-123"

static const struct membership_entry listed[] = {
    {.name = "a", .address = "127.0.0.1:1", .zone = "z1"},
    {.name = "b", .address = "127.0.0.1:2", .zone = "z2"},
    {.name = "c", .address = "127.0.0.1:3", .zone = "z2"},
};

static struct membership *
new_listed_membership(void)
{
	struct membership *membership = membership_new("a", TIMEOUT_MS);

	membership_set_list(membership, listed, COUNT_OF(listed), NOW_MS);
	return membership;
}

static bool
receive_heartbeat(struct membership *membership, const char *name,
    uint64_t incarnation, uint64_t lead_epoch, int64_t now_ms)
{
	Ibis__Heartbeat heartbeat = IBIS__HEARTBEAT__INIT;
	CLEANUP(mem_free_string) char *text = mem_strdup(name);

	heartbeat.name = text;
	heartbeat.incarnation = incarnation;
	heartbeat.state = IBIS__INSTANCE_STATE__INSTANCE_SERVING;
	heartbeat.document_version = incarnation;
	heartbeat.leading = lead_epoch > 0;
	heartbeat.lead_epoch = lead_epoch;
	return membership_handle_heartbeat(membership, &heartbeat, now_ms);
}

static void
test_list_counts_this_instance(void)
{
	struct membership *membership = membership_new("a", TIMEOUT_MS);

	CU_ASSERT_EQUAL(membership_listed_count(membership), 0);
	membership_set_list(membership, listed, COUNT_OF(listed), NOW_MS);
	CU_ASSERT_EQUAL(membership_listed_count(membership), 3);
	CU_ASSERT_EQUAL(membership_count(membership), 2);
	/* A list read before this instance was added to it. */
	membership_set_list(membership, listed + 1, 2, NOW_MS);
	CU_ASSERT_EQUAL(membership_listed_count(membership), 3);
	/* An empty list must not make a single instance a majority. */
	membership_set_list(membership, listed, 0, NOW_MS);
	CU_ASSERT_EQUAL(membership_listed_count(membership), 3);
	membership_free(membership);
}

/* Guards against instances that are taken for one, and that are added anew with
 * each heartbeat: longer names were cut. */
static void
test_long_names(void)
{
	struct membership *membership = new_listed_membership();
	size_t count = membership_count(membership);

	CU_ASSERT_TRUE(receive_heartbeat(membership, LONG_NAME, 1, 0, NOW_MS));
	for (int i = 0; i < 3; i++)
		CU_ASSERT_FALSE(
		    receive_heartbeat(membership, LONG_NAME "4", 1, 0, NOW_MS));
	CU_ASSERT_EQUAL(membership_count(membership), count + 1);
	CU_ASSERT_PTR_NULL(membership_find(membership, LONG_NAME "4"));
	membership_free(membership);
}

static void
test_alive_within_timeout(void)
{
	struct membership *membership = new_listed_membership();

	CU_ASSERT_FALSE(membership_alive(membership, "b", NOW_MS));
	CU_ASSERT_TRUE(receive_heartbeat(membership, "b", 1, 0, NOW_MS));
	CU_ASSERT_TRUE(
	    membership_alive(membership, "b", NOW_MS + TIMEOUT_MS - 1));
	CU_ASSERT_FALSE(membership_alive(membership, "b", NOW_MS + TIMEOUT_MS));
	CU_ASSERT_EQUAL(membership_alive_count(membership, NOW_MS), 1);
	membership_free(membership);
}

static void
test_older_incarnation_is_ignored(void)
{
	struct membership *membership = new_listed_membership();

	CU_ASSERT_TRUE(receive_heartbeat(membership, "b", 5, 0, NOW_MS));
	CU_ASSERT_FALSE(
	    receive_heartbeat(membership, "b", 4, 9, NOW_MS + TIMEOUT_MS));
	CU_ASSERT_FALSE(membership_alive(membership, "b", NOW_MS + TIMEOUT_MS));
	CU_ASSERT_EQUAL(membership_find(membership, "b")->document_version, 5);
	CU_ASSERT_FALSE(receive_heartbeat(membership, "a", 6, 0, NOW_MS));
	CU_ASSERT_PTR_NULL(membership_find(membership, "a"));
	membership_free(membership);
}

static void
test_lead_is_linked_alive_and_newest(void)
{
	struct membership *membership = new_listed_membership();

	(void)receive_heartbeat(membership, "b", 1, 3, NOW_MS);
	(void)receive_heartbeat(membership, "c", 1, 4, NOW_MS);
	CU_ASSERT_PTR_NULL(membership_lead(membership, NOW_MS));
	membership_set_linked(membership, "b", true);
	membership_set_linked(membership, "c", true);
	CU_ASSERT_STRING_EQUAL(membership_lead(membership, NOW_MS)->name, "c");
	membership_set_linked(membership, "c", false);
	membership_set_linked(membership, "c", true);
	CU_ASSERT_STRING_EQUAL(membership_lead(membership, NOW_MS)->name, "b");
	CU_ASSERT_PTR_NULL(membership_lead(membership, NOW_MS + TIMEOUT_MS));
	membership_free(membership);
}

static void
test_departed_members_are_dropped(void)
{
	struct membership *membership = new_listed_membership();

	(void)receive_heartbeat(membership, "b", 1, 0, NOW_MS);
	membership_set_list(membership, listed, 1, NOW_MS);
	CU_ASSERT_PTR_NOT_NULL(membership_find(membership, "b"));
	CU_ASSERT_PTR_NULL(membership_find(membership, "c"));
	membership_set_list(membership, listed, 1, NOW_MS + TIMEOUT_MS);
	CU_ASSERT_PTR_NULL(membership_find(membership, "b"));
	membership_free(membership);
}

static void
test_json(void)
{
	struct membership *membership = new_listed_membership();
	CLEANUP(buffer_free) struct buffer json = {0};
	struct membership_self self = {
	    .state = IBIS__INSTANCE_STATE__INSTANCE_LEAVING,
	    .leading = true,
	};

	(void)receive_heartbeat(membership, "b", 7, 0, NOW_MS);
	membership_write_json(membership, &self, NOW_MS, &json);
	CU_ASSERT_PTR_NOT_NULL(strstr(json.data,
	    "\"state\":\"leaving\",\"document_version\":0,\"leading\":true"));
	CU_ASSERT_PTR_NOT_NULL(strstr(json.data,
	    "\"peer_address\":\"127.0.0.1:2\",\"state\":\"serving\","
	    "\"document_version\":7"));
	CU_ASSERT_PTR_NOT_NULL(strstr(json.data, "\"state\":\"silent\""));
	membership_free(membership);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"list counts this instance", test_list_counts_this_instance},
	    {"alive within timeout", test_alive_within_timeout},
	    {"older incarnation is ignored", test_older_incarnation_is_ignored},
	    {"lead is linked, alive and newest",
		test_lead_is_linked_alive_and_newest},
	    {"departed members are dropped", test_departed_members_are_dropped},
	    {"JSON", test_json},
	    {"long names", test_long_names},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("membership", tests);
}
