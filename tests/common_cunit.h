/* Runs one CUnit suite as a program. */
#ifndef IBIS_COMMON_CUNIT_H
#define IBIS_COMMON_CUNIT_H

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

/* Runs the tests, of which the last has a NULL name. Returns the exit code. */
int run_suite(const char *name, CU_TestInfo *tests);

#endif
