/* Runs one CUnit suite as the whole test program. */
#ifndef IBIS_COMMON_CUNIT_H
#define IBIS_COMMON_CUNIT_H

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

/*
 * Runs the tests of an array that CU_TEST_INFO_NULL ends. Returns the
 * program's exit code: EXIT_FAILURE when a test failed or none was run.
 */
int run_suite(const char *name, CU_TestInfo *tests);

#endif
