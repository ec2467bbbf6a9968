/* Settings: defaults, overrides, validation and the printed defaults. */
#include <stdio.h>
#include <string.h>

#include "common_cunit.h"
#include "process/alloc.h"
#include "process/settings.h"

#define REQUIRED                                                \
	"\"name\": \"e1\", \"availability_zone\": \"taipei\", " \
	"\"caller_address\": \"127.0.0.1:0\", "                 \
	"\"peer_address\": \"[::1]:7401\", "                    \
	"\"store_address\": \"127.0.0.1:7300\""

static void
expect_error(const char *text, const char *override, const char *expected)
{
	struct ibis_status status = {0};
	struct ibis_settings *settings = settings_parse(
	    text, "s.jsonc", &override, override != NULL ? 1 : 0, &status);

	CU_ASSERT_PTR_NULL(settings);
	CU_ASSERT_EQUAL(status.code, IBIS_INVALID);
	if (strstr(status.message, expected) == NULL) {
		CU_FAIL("the error message lacks the expected text");
		puts(status.message);
	}
	ibis_settings_free(settings);
}

static void
test_defaults(void)
{
	struct ibis_status status = {0};
	struct ibis_settings *settings = settings_parse(
	    "{ // a comment\n" REQUIRED "}", "s.jsonc", NULL, 0, &status);

	CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
	CU_ASSERT_STRING_EQUAL(settings->name, "e1");
	CU_ASSERT_STRING_EQUAL(settings->pool, "main");
	CU_ASSERT_EQUAL(settings->log_level, LOG_INFO);
	CU_ASSERT_EQUAL(settings->policy, POLICY_GUARANTEED);
	CU_ASSERT_EQUAL(settings->segments, 16);
	CU_ASSERT_EQUAL(settings->tombstone_retention_ms, 86400000);
	CU_ASSERT_EQUAL(settings->max_attempts, 5);
	ibis_settings_free(settings);
}

static void
test_overrides_take_precedence(void)
{
	const char *invalid[] = {"name=e=2", "segments=4", "policy=first-fit",
	    "store_address=127.0.0.1:1"};
	const char *valid[] = {"name=e2", "segments=4", "policy=first-fit",
	    "store_address=127.0.0.1:1"};
	struct ibis_status status = {0};
	struct ibis_settings *settings = settings_parse(
	    "{" REQUIRED "}", "s.jsonc", valid, COUNT_OF(valid), &status);

	CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
	CU_ASSERT_STRING_EQUAL(settings->name, "e2");
	CU_ASSERT_EQUAL(settings->segments, 4);
	CU_ASSERT_EQUAL(settings->policy, POLICY_FIRST_FIT);
	CU_ASSERT_STRING_EQUAL(settings->store_address, "127.0.0.1:1");
	ibis_settings_free(settings);
	CU_ASSERT_PTR_NULL(settings_parse(
	    "{" REQUIRED "}", "s.jsonc", invalid, COUNT_OF(invalid), &status));
}

static void
test_required_keys_as_overrides(void)
{
	const char *overrides[] = {"name=e1", "availability_zone=taipei",
	    "caller_address=127.0.0.1:0", "peer_address=127.0.0.1:0",
	    "store_address=127.0.0.1:1"};
	struct ibis_settings *settings = settings_parse(
	    "{}", "s.jsonc", overrides, COUNT_OF(overrides), NULL);

	CU_ASSERT_PTR_NOT_NULL(settings);
	ibis_settings_free(settings);
}

static void
test_errors(void)
{
	const char *valid_text = "{" REQUIRED "}";

	expect_error("{\n\"segment\": 1}", NULL,
	    "s.jsonc, line 2, column 1: segment: unknown key; the nearest is "
	    "\"segments\"");
	expect_error("{\"segments\": 0}", NULL, "0 keys; expected");
	expect_error("{\"segments\": 1.5}", NULL, "expected a whole number");
	expect_error("{\"log_level\": \"loud\"}", NULL,
	    "expected one of \"debug\", \"info\", \"warn\", \"error\"");
	expect_error("{}", NULL, "name: missing");
	expect_error(valid_text, "segments", "expected KEY=VALUE");
	expect_error(valid_text, "segmets=1", "nearest is \"segments\"");
	expect_error(valid_text, "segments=many", "override segments=many");
	expect_error(valid_text, "segments=1, \"pool\": \"x\"}", "override");
	expect_error(valid_text, "segments=1,\"pool\":\"x\"", "whole number");
	expect_error(
	    valid_text, "store_address=localhost:1", "expected IP:PORT");
	expect_error(valid_text, "store_address=127.0.0.1", "expected IP:PORT");
	expect_error(valid_text, "store_address=127.0.0.1:65536", "IP:PORT");
	expect_error(valid_text, "store_address=[::1:1", "expected IP:PORT");
}

static void
test_inconsistent_values(void)
{
	const char *valid_text = "{" REQUIRED "}";

	expect_error(valid_text, "freshness_ms=1900",
	    "freshness_ms + reservation_ms: 3100; expected at most 3000");
	expect_error(valid_text, "task_lease_ms=2000",
	    "first_lease_ms: 2000; expected below task_lease_ms, 2000");
	expect_error(valid_text, "heartbeat_interval_ms=1000",
	    "heartbeat_interval_ms: 1000; expected below peer_timeout_ms");
	expect_error(valid_text, "lead_lease_ms=1000", "below lead_lease_ms");
}

static void
test_printed_defaults_can_be_parsed(void)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	struct ibis_status status = {0};
	struct ibis_settings *settings;

	settings_write_defaults(&text);
	settings =
	    settings_parse(buffer_string(&text), "defaults", NULL, 0, &status);
	CU_ASSERT_PTR_NOT_NULL(settings);
	CU_ASSERT_PTR_NOT_NULL(strstr(buffer_string(&text),
	    "// Lease of a running task; 500 to 3600000 ms."));
	ibis_settings_free(settings);
}

static void
test_missing_file(void)
{
	struct ibis_status status = {0};

	CU_ASSERT_PTR_NULL(
	    ibis_settings_read("/nonexistent/s", NULL, 0, &status));
	CU_ASSERT_PTR_NOT_NULL(strstr(status.message, "/nonexistent/s: "));
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"defaults", test_defaults},
	    {"overrides take precedence", test_overrides_take_precedence},
	    {"required keys as overrides", test_required_keys_as_overrides},
	    {"errors", test_errors},
	    {"inconsistent values", test_inconsistent_values},
	    {"printed defaults can be parsed",
		test_printed_defaults_can_be_parsed},
	    {"missing file", test_missing_file},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("settings", tests);
}
