/*
 * Runs real instances on the fake platform with texts of the lengths that the
 * platform allows: each one is held whole, or refused.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common_cunit.h"
#include "common_users_platform.h"
#include "process/alloc.h"
#include "process/clock.h"

#define START_MS 8000
/* ConfigApplyMs of the settings. */
#define CONFIG_APPLY_MS 3000
#define POLL_MS		20
/* A key that the configuration's limit of 16,384 bytes for headers allows. */
#define LONG_KEY_BYTES 15000
/* More than a connection's buffer holds. */
#define BEYOND_BUFFER_BYTES 30000

static struct users_platform *platform;

static void
start_instances(void)
{
	platform = users_platform_start();
	CU_ASSERT_PTR_NOT_NULL_FATAL(platform);
	CU_ASSERT_TRUE_FATAL(users_start_all(platform));
}

static void
put_text(const char *key, const struct buffer *text)
{
	users_put_entry(platform, key, text->data, text->length);
}

/* Appends bytes of filling, and then a text. */
static void
append_long(struct buffer *text, size_t filling, const char *end)
{
	for (size_t i = 0; i < filling; i++)
		buffer_puts(text, "x");
	buffer_puts(text, end);
}

/* Stores a configuration whose workspace has two API keys, or one. */
static void
set_keys(uint32_t version, const char *first, const char *second)
{
	CLEANUP(buffer_free) struct buffer text = {0};

	buffer_printf(&text,
	    "{\"Version\":%" PRIu32
	    ",\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\",\"Prefix\":\"/q/\","
	    "\"Service\":\"s\",\"Priority\":1,\"Attempts\":3},{\"Name\":\"o\","
	    "\"Host\":\"h\",\"Prefix\":\"/v%" PRIu32
	    "/\",\"Service\":\"s\",\"Public\":true}],\"Tenants\":[{\"Name\":"
	    "\"w\",\"ApiKeys\":[\"%s\"",
	    version, version, first);
	if (second != NULL)
		buffer_printf(&text, ",\"%s\"", second);
	buffer_puts(&text, "]}]}");
	put_text("op/config", &text);
}

/* Waits until all instances serve the open route that only a version has. */
static void
wait_in_force(uint32_t version)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	int64_t until_ms = clock_now_ms() + CONFIG_APPLY_MS;
	char path[32];

	(void)snprintf(path, sizeof(path), "/v%" PRIu32 "/", version);
	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		while (
		    users_call(platform, i, "GET", path, "", &answer) != 200 &&
		    clock_now_ms() < until_ms)
			process_sleep(POLL_MS);
	}
	CU_ASSERT_TRUE(clock_now_ms() < until_ms);
}

static int
submit_with_key(uint32_t instance, uint32_t number, const char *key)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	struct users_caller caller = {.host = "h", .key = key};
	char path[64];

	(void)snprintf(path, sizeof(path), "/q/%016" PRIx32, number);
	return users_call_as(platform, instance, &caller, "POST", path,
	    "{\"Spec\":\"p\",\"Steps\":[{\"Count\":1,\"Gpus\":1}]}", &answer);
}

/* Guards against a withdrawn API key that goes on being accepted: keys were cut
 * to 127 bytes, so that one was taken for another that begins alike. */
static void
test_withdrawn_long_key(void)
{
	static const size_t lengths[] = {120, 126, 127, 200, LONG_KEY_BYTES};

	start_instances();
	for (uint32_t i = 0; i < COUNT_OF(lengths); i++) {
		CLEANUP(buffer_free) struct buffer kept = {0};
		CLEANUP(buffer_free) struct buffer dropped = {0};
		uint32_t version = 2 + 2 * i;

		append_long(&kept, lengths[i], "kept");
		append_long(&dropped, lengths[i], "dropped");
		set_keys(
		    version, buffer_string(&kept), buffer_string(&dropped));
		wait_in_force(version);
		CU_ASSERT_EQUAL(
		    submit_with_key(0, 10 + i, buffer_string(&dropped)), 200);
		set_keys(version + 1, buffer_string(&kept), NULL);
		wait_in_force(version + 1);
		for (uint32_t j = 0; j < USERS_INSTANCES; j++) {
			uint32_t number = 100 + 10 * i + j;

			CU_ASSERT_EQUAL(
			    submit_with_key(j, number, buffer_string(&dropped)),
			    401);
			CU_ASSERT_EQUAL(
			    submit_with_key(j, number, buffer_string(&kept)),
			    200);
		}
	}
	users_platform_stop(platform);
}

/* Guards against a path that is cut at an escaped NUL: a request about what
 * isn't a job's id was answered as if it were about the job. */
static void
test_escaped_nul_in_path(void)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	static const char path[] = "/q/0000000000000001%00x";

	start_instances();
	CU_ASSERT_EQUAL(users_submit(platform, 0, 1, 1), 200);
	CU_ASSERT_TRUE(users_wait_completed(platform, 0, 1, START_MS));
	CU_ASSERT_EQUAL(users_call(platform, 0, "GET", path, "", &answer), 404);
	CU_ASSERT_EQUAL(
	    users_call(platform, 0, "DELETE", path, "", &answer), 404);
	users_platform_stop(platform);
}

/* Guards against a request that is answered by what was left of it: what the
 * connection's buffer can't hold is refused. */
static void
test_text_beyond_buffer(void)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	CLEANUP(buffer_free) struct buffer path = {0};
	CLEANUP(buffer_free) struct buffer key = {0};
	struct users_caller caller = {.host = "h"};

	buffer_puts(&path, "/q/");
	append_long(&path, BEYOND_BUFFER_BYTES, "");
	append_long(&key, BEYOND_BUFFER_BYTES, "");
	caller.key = buffer_string(&key);
	start_instances();
	CU_ASSERT_EQUAL(
	    users_call(platform, 0, "GET", buffer_string(&path), "", &answer),
	    414);
	CU_ASSERT_EQUAL(
	    users_call_as(platform, 0, &caller, "GET", "/q/", "", &answer),
	    431);
	CU_ASSERT_EQUAL(users_submit(platform, 0, 1, 1), 200);
	users_platform_stop(platform);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"withdrawn long key", test_withdrawn_long_key},
	    {"escaped NUL in a path", test_escaped_nul_in_path},
	    {"text beyond the buffer", test_text_beyond_buffer},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("long texts", tests);
}
