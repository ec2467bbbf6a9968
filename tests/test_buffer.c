/* The growable byte buffer. */
#include <string.h>

#include "common_cunit.h"
#include "process/alloc.h"
#include "process/buffer.h"

static void
test_append_and_consume(void)
{
	CLEANUP(buffer_free) struct buffer buffer = {0};

	buffer_puts(&buffer, "gang ");
	buffer_printf(&buffer, "%d of %s", 8, "one rack");
	CU_ASSERT_STRING_EQUAL(buffer_string(&buffer), "gang 8 of one rack");
	buffer_consume(&buffer, 5);
	CU_ASSERT_STRING_EQUAL(buffer_string(&buffer), "8 of one rack");
	buffer_consume(&buffer, 100);
	CU_ASSERT_EQUAL(buffer.length, 0);
}

static void
test_grows(void)
{
	CLEANUP(buffer_free) struct buffer buffer = {0};

	for (int i = 0; i < 10000; i++)
		buffer_append(&buffer, "x", 1);
	CU_ASSERT_EQUAL(buffer.length, 10000);
	CU_ASSERT_EQUAL(strlen(buffer_string(&buffer)), 10000);
}

static void
test_detach(void)
{
	struct buffer buffer = {0};
	CLEANUP(mem_free_string) char *text = NULL;

	buffer_puts(&buffer, "kept");
	text = buffer_detach(&buffer);
	CU_ASSERT_STRING_EQUAL(text, "kept");
	CU_ASSERT_PTR_NULL(buffer.data);
	CU_ASSERT_STRING_EQUAL(buffer_string(&buffer), "");
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"append and consume", test_append_and_consume},
	    {"grows", test_grows},
	    {"detach", test_detach},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("buffer", tests);
}
