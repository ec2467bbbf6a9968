#include "common_cunit.h"
#include "process/freshness.h"

static void
test_store_confirms_as_of_request(void)
{
	struct freshness freshness = {.limit_ms = 1500};

	CU_ASSERT_FALSE(freshness_is_confirmed(&freshness, 1000));
	freshness_confirm_at(&freshness, 1000);
	CU_ASSERT_TRUE(freshness_is_confirmed(&freshness, 2500));
	CU_ASSERT_FALSE(freshness_is_confirmed(&freshness, 2501));
}

static void
test_majority_confirms(void)
{
	struct freshness freshness = {.limit_ms = 1500};
	uint64_t round = freshness_begin_round(&freshness, 7, 5000);

	freshness_add_confirmation(&freshness, round, "b");
	freshness_add_confirmation(&freshness, round, "b");
	freshness_add_confirmation(&freshness, round, "c");
	CU_ASSERT_FALSE(freshness_is_confirmed(&freshness, 5100));
	freshness_add_confirmation(&freshness, round, "d");
	CU_ASSERT_TRUE(freshness_is_confirmed(&freshness, 5100));
	CU_ASSERT_FALSE(freshness_is_confirmed(&freshness, 6501));
}

static void
test_earlier_round_is_ignored(void)
{
	struct freshness freshness = {.limit_ms = 1500};
	uint64_t round = freshness_begin_round(&freshness, 3, 5000);

	(void)freshness_begin_round(&freshness, 3, 9000);
	freshness_add_confirmation(&freshness, round, "b");
	CU_ASSERT_FALSE(freshness_is_confirmed(&freshness, 9000));
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"the store confirms as of the request",
		test_store_confirms_as_of_request},
	    {"a majority confirms", test_majority_confirms},
	    {"an earlier round is ignored", test_earlier_round_is_ignored},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("freshness", tests);
}
