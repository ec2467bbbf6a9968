/* Tests of the limits on JSON texts of callers. */
#include <string.h>

#include "common_cunit.h"
#include "process/alloc.h"
#include "process/buffer.h"
#include "process/json_limits.h"

#define MOST_STEPS 256 /* of a job */

static bool
allows(const struct buffer *text)
{
	return json_limits_allow(buffer_string(text), text->length);
}

/* Guards against a body of legal size that takes a hundred times its length
 * once parsed, and against quotation marks and comments that hide its fields.
 */
static void
test_very_many_fields_are_refused(void)
{
	static const char *const starts[] = {
	    "{\"Steps\":[{}",
	    "{\"Spec\":\"\\\"\",\"Steps\":[{}",
	    "{'\"':1,\"Steps\":[{}",
	    "/*\"*/{\"Steps\":[{}",
	};

	for (size_t i = 0; i < COUNT_OF(starts); i++) {
		CLEANUP(buffer_free) struct buffer text = {0};

		buffer_puts(&text, starts[i]);
		for (int j = 0; j < JSON_MAX_CONTAINERS; j++)
			buffer_puts(&text, ",{}");
		buffer_puts(&text, "]}");
		CU_ASSERT_FALSE(allows(&text));
	}
}

/* Guards against a limit that a job with the most steps meets. */
static void
test_largest_job_is_allowed(void)
{
	CLEANUP(buffer_free) struct buffer text = {0};

	buffer_puts(&text, "{\"Spec\":\"' /* [,{ \\\\\",\"Steps\":[");
	for (int i = 0; i < MOST_STEPS; i++) {
		buffer_printf(
		    &text, "%s{\"Count\":1,\"After\":[", i == 0 ? "" : ",");
		for (int j = 0; j < i; j++)
			buffer_printf(&text, "%s%d", j == 0 ? "" : ",", j);
		buffer_puts(&text, "]}");
	}
	buffer_puts(&text, "]}");
	CU_ASSERT_TRUE(allows(&text));
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"very many fields are refused", test_very_many_fields_are_refused},
	    {"largest job is allowed", test_largest_job_is_allowed},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("json limits", tests);
}
