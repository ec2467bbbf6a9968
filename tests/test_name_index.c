#include "common_cunit.h"
#include "fleet/name_index.h"
#include "process/alloc.h"

static void
test_finds_items_by_name(void)
{
	CLEANUP(name_index_free) struct name_index index = {0};
	const char *names[] = {"b", "a", "d", "c"};

	for (size_t i = 0; i < COUNT_OF(names); i++)
		CU_ASSERT_TRUE(name_index_add(&index, names[i], &names[i]));
	CU_ASSERT_FALSE(name_index_add(&index, "a", &names[0]));
	for (size_t i = 0; i < COUNT_OF(names); i++)
		CU_ASSERT_PTR_EQUAL(
		    name_index_get(&index, names[i]), &names[i]);
	CU_ASSERT_PTR_NULL(name_index_get(&index, "e"));
	CU_ASSERT_STRING_EQUAL(index.items[0].name, "a");
}

static void
test_removes_items(void)
{
	CLEANUP(name_index_free) struct name_index index = {0};
	int item = 0;

	CU_ASSERT_PTR_NULL(name_index_remove(&index, "a"));
	(void)name_index_add(&index, "a", &item);
	(void)name_index_add(&index, "b", &item);
	CU_ASSERT_PTR_EQUAL(name_index_remove(&index, "a"), &item);
	CU_ASSERT_PTR_NULL(name_index_get(&index, "a"));
	CU_ASSERT_EQUAL(index.count, 1);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"finds items by name", test_finds_items_by_name},
	    {"removes items", test_removes_items},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("name_index", tests);
}
