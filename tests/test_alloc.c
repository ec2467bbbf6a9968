/* Tests of copies of strings into fixed arrays. */
#include <string.h>

#include "common_cunit.h"
#include "process/alloc.h"

/* Guards against a text that is cut, and then taken for another one that is as
 * long as the field. */
static void
test_copies_are_whole(void)
{
	char text[5] = "old";

	CU_ASSERT_TRUE(STRING_COPY(text, "four"));
	CU_ASSERT_STRING_EQUAL(text, "four");
	CU_ASSERT_FALSE(STRING_COPY(text, "fives"));
	CU_ASSERT_STRING_EQUAL(text, "");
	CU_ASSERT_TRUE(STRING_COPY(text, NULL));
	CU_ASSERT_STRING_EQUAL(text, "");
	CU_ASSERT_TRUE(STRING_FITS(text, "four"));
	CU_ASSERT_FALSE(STRING_FITS(text, "fives"));
}

static void
test_parts(void)
{
	char text[5];

	CU_ASSERT_TRUE(string_copy_part(text, sizeof(text), "a:b", 1));
	CU_ASSERT_STRING_EQUAL(text, "a");
	CU_ASSERT_TRUE(string_copy_part(text, sizeof(text), "a", 9));
	CU_ASSERT_STRING_EQUAL(text, "a");
	CU_ASSERT_FALSE(string_copy_part(text, sizeof(text), "abcdef", 5));
	CU_ASSERT_STRING_EQUAL(text, "");
}

static void
test_shortened(void)
{
	char text[5];

	STRING_SHORTEN(text, "abcdef");
	CU_ASSERT_STRING_EQUAL(text, "abcd");
	STRING_SHORTEN(text, "ab");
	CU_ASSERT_STRING_EQUAL(text, "ab");
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"copies are whole", test_copies_are_whole},
	    {"parts", test_parts},
	    {"shortened", test_shortened},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("alloc", tests);
}
