#include "common_cunit.h"
#include "common_site.h"
#include "process/estimate.h"

static void
test_corrects_by_observed_ratio(void)
{
	struct estimate_table table = {0};

	estimate_set_document(&table, site_document());
	for (int i = 0; i < 20; i++)
		estimate_observe(&table, 0, 1, 1000, 8000);
	CU_ASSERT_EQUAL(
	    estimate_run_ms(&table, 0, 1, 2000, ESTIMATE_MEDIAN), 16000);
	CU_ASSERT_EQUAL(
	    estimate_run_ms(&table, 0, 0, 2000, ESTIMATE_MEDIAN), 2000);
	estimate_clear(&table);
}

static void
test_retains_observations_across_documents(void)
{
	struct estimate_table table = {0};

	estimate_set_document(&table, site_document());
	for (int i = 0; i < 20; i++)
		estimate_observe(&table, 1, 2, 1000, 2000);
	estimate_set_document(&table, site_document());
	CU_ASSERT_EQUAL(
	    estimate_run_ms(&table, 1, 2, 1000, ESTIMATE_HIGH), 2000);
	estimate_clear(&table);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"corrects by the observed ratio", test_corrects_by_observed_ratio},
	    {"retains observations across documents",
		test_retains_observations_across_documents},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("estimate", tests);
}
