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
expect_error(const char *text, const char *override, const char *message)
{
	struct ibis_status status = {0};
	struct ibis_settings *settings = settings_parse(
	    text, "s.jsonc", &override, override != NULL ? 1 : 0, &status);

	CU_ASSERT_PTR_NULL(settings);
	CU_ASSERT_EQUAL(status.code, IBIS_INVALID);
	if (strstr(status.message, message) == NULL) {
		CU_FAIL("message lacks its part");
		puts(status.message);
	}
	ibis_settings_free(settings);
}

static void
test_defaults(void)
{
	struct ibis_status status = {0};
	struct ibis_settings *settings = settings_parse(
	    "{ // ours\n" REQUIRED "}", "s.jsonc", NULL, 0, &status);

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
test_overrides_go_first(void)
{
	const char *overrides[] = {"name=e=2", "segments=4", "policy=first-fit",
	    "store_address=127.0.0.1:1"};
	const char *named[] = {"name=e2", "segments=4", "policy=first-fit",
	    "store_address=127.0.0.1:1"};
	struct ibis_status status = {0};
	struct ibis_settings *settings = settings_parse(
	    "{" REQUIRED "}", "s.jsonc", named, COUNT_OF(named), &status);

	CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
	CU_ASSERT_STRING_EQUAL(settings->name, "e2");
	CU_ASSERT_EQUAL(settings->segments, 4);
	CU_ASSERT_EQUAL(settings->policy, POLICY_FIRST_FIT);
	CU_ASSERT_STRING_EQUAL(settings->store_address, "127.0.0.1:1");
	ibis_settings_free(settings);
	CU_ASSERT_PTR_NULL(settings_parse("{" REQUIRED "}", "s.jsonc",
	    overrides, COUNT_OF(overrides), &status));
}

static void
test_required_key_as_override(void)
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
	const char *good = "{" REQUIRED "}";

	expect_error("{\n\"segment\": 1}", NULL,
	    "s.jsonc, line 2, column 1: segment: unknown key; the nearest is "
	    "\"segments\"");
	expect_error("{\"segments\": 0}", NULL, "0 keys; expected");
	expect_error("{\"segments\": 1.5}", NULL, "expected a whole number");
	expect_error("{\"log_level\": \"loud\"}", NULL,
	    "expected one of \"debug\", \"info\", \"warn\", \"error\"");
	expect_error("{}", NULL, "name: missing");
	expect_error(good, "segments", "expected KEY=VALUE");
	expect_error(good, "segmets=1", "nearest is \"segments\"");
	expect_error(good, "segments=many", "override segments=many");
	expect_error(good, "segments=1, \"pool\": \"x\"}", "override");
	expect_error(good, "segments=1,\"pool\":\"x\"", "whole number");
	expect_error(good, "store_address=localhost:1", "expected IP:PORT");
	expect_error(good, "store_address=127.0.0.1", "expected IP:PORT");
	expect_error(good, "store_address=127.0.0.1:65536", "IP:PORT");
	expect_error(good, "store_address=[::1:1", "expected IP:PORT");
}

static void
test_cross_checks(void)
{
	const char *good = "{" REQUIRED "}";

	expect_error(good, "freshness_ms=1900",
	    "freshness_ms + reservation_ms: 3100; expected at most 3000");
	expect_error(good, "task_lease_ms=2000",
	    "first_lease_ms: 2000; expected below task_lease_ms, 2000");
	expect_error(good, "heartbeat_interval_ms=1000",
	    "heartbeat_interval_ms: 1000; expected below peer_timeout_ms");
	expect_error(good, "lead_lease_ms=1000", "below lead_lease_ms");
}

static void
test_printed_defaults_are_settings(void)
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
test_file_that_is_not_there(void)
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
	    {"overrides go first", test_overrides_go_first},
	    {"required key as override", test_required_key_as_override},
	    {"errors", test_errors},
	    {"cross checks", test_cross_checks},
	    {"printed defaults are settings",
		test_printed_defaults_are_settings},
	    {"file that is not there", test_file_that_is_not_there},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("settings", tests);
}
