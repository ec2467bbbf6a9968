#include <stdlib.h>

#include "common_cunit.h"

int
run_suite(const char *name, CU_TestInfo *tests)
{
	CU_SuiteInfo suites[] = {
	    {.pName = name, .pTests = tests},
	    CU_SUITE_INFO_NULL,
	};
	unsigned int failures;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return EXIT_FAILURE;
	if (CU_register_suites(suites) != CUE_SUCCESS)
		return EXIT_FAILURE;
	CU_basic_set_mode(CU_BRM_VERBOSE);
	(void)CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	if (CU_get_number_of_tests_run() == 0)
		failures++;
	CU_cleanup_registry();
	return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
