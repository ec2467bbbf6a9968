/* Tests of the configuration's routes and API keys: their texts have any length
 * and are compared whole. */
#include <string.h>

#include "common_cunit.h"
#include "platform.h"
#include "process/alloc.h"
#include "process/buffer.h"

/* Lengths of what two texts have in common. */
static const size_t lengths[] = {
    0, 1, 62, 63, 64, 126, 127, 128, 254, 255, 256, 510, 511, 512, 16000};

/* Returns filling of this length and an end; the caller frees it. */
static char *
make_text(size_t length, const char *end)
{
	struct buffer text = {0};

	for (size_t i = 0; i < length; i++)
		buffer_puts(&text, "x");
	buffer_puts(&text, end);
	return buffer_detach(&text);
}

static struct routes *
parse(const struct buffer *text)
{
	struct ibis_status status = {0};
	struct routes *routes =
	    platform_config_parse(text->data, text->length, &status);

	CU_ASSERT_PTR_NOT_NULL_FATAL(routes);
	return routes;
}

/* Returns the name of the workspace that a key identifies; empty: none. */
static const char *
workspace_of(const struct routes *routes, const char *key)
{
	const struct routes_workspace *workspace =
	    routes_find_workspace(routes, key);

	return workspace == NULL ? "" : workspace->name;
}

/* Guards against a key that is accepted for another one which begins alike. */
static void
test_long_keys(void)
{
	for (size_t i = 0; i < COUNT_OF(lengths); i++) {
		CLEANUP(buffer_free) struct buffer text = {0};
		CLEANUP(mem_free_string)
		char *first = make_text(lengths[i], "first");
		CLEANUP(mem_free_string)
		char *second = make_text(lengths[i], "second");
		CLEANUP(mem_free_string)
		char *none = make_text(lengths[i], "none");
		struct routes *routes;

		buffer_printf(&text,
		    "{\"Version\":1,\"Routes\":[],\"Tenants\":[{\"Name\":\"a\","
		    "\"ApiKeys\":[\"%s\"]},{\"Name\":\"b\",\"ApiKeys\":[\"%s\"]"
		    "}]}",
		    first, second);
		routes = parse(&text);
		CU_ASSERT_STRING_EQUAL(workspace_of(routes, first), "a");
		CU_ASSERT_STRING_EQUAL(workspace_of(routes, second), "b");
		CU_ASSERT_STRING_EQUAL(workspace_of(routes, none), "");
		routes_free(routes);
	}
}

/* Guards against a key that is cut at a NUL, which no request can carry. */
static void
test_key_with_nul(void)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	struct routes *routes;

	buffer_puts(&text,
	    "{\"Version\":1,\"Routes\":[],\"Tenants\":[{\"Name\":\"a\","
	    "\"ApiKeys\":[\"cut\\u0000here\",\"whole\"]}]}");
	routes = parse(&text);
	CU_ASSERT_STRING_EQUAL(workspace_of(routes, "cut"), "");
	CU_ASSERT_STRING_EQUAL(workspace_of(routes, "whole"), "a");
	routes_free(routes);
}

/* Guards against a route that is taken for another one, or is nameless: names,
 * hosts, prefixes and services were left out where they were too long. */
static void
test_long_routes(void)
{
	for (size_t i = 0; i < COUNT_OF(lengths); i++) {
		CLEANUP(buffer_free) struct buffer text = {0};
		CLEANUP(mem_free_string) char *a = make_text(lengths[i], "a");
		CLEANUP(mem_free_string) char *b = make_text(lengths[i], "b");
		struct routes *routes;
		const struct route *route;
		const char *rest;

		buffer_printf(&text,
		    "{\"Version\":1,\"Routes\":[{\"Name\":\"%s\",\"Host\":"
		    "\"%s\",\"Prefix\":\"/%s/\",\"Service\":\"%s\"},"
		    "{\"Name\":\"%s\",\"Host\":\"%s\",\"Prefix\":\"/%s/\","
		    "\"Service\":\"%s\"}]}",
		    a, a, a, a, b, b, b, b);
		routes = parse(&text);
		CU_ASSERT_EQUAL(routes->routes_count, 2);
		CU_ASSERT_EQUAL(routes->unusable, 0);
		buffer_clear(&text);
		buffer_printf(&text, "/%s/id", b);
		route = routes_match(routes, b, buffer_string(&text), &rest);
		CU_ASSERT_PTR_NOT_NULL_FATAL(route);
		if (route == NULL)
			break;
		CU_ASSERT_STRING_EQUAL(route->name, b);
		CU_ASSERT_STRING_EQUAL(route->service, b);
		CU_ASSERT_STRING_EQUAL(rest, "id");
		CU_ASSERT_PTR_NULL(
		    routes_match(routes, a, buffer_string(&text), &rest));
		CU_ASSERT_STRING_EQUAL(routes_find(routes, a)->service, a);
		routes_free(routes);
	}
}

/* Guards against an entry that can't be held and changes what others mean: it
 * is left out, and counted. */
static void
test_unusable_entries_are_left_out(void)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	struct ibis_status status = {0};
	struct routes *routes;
	const char *rest;

	buffer_puts(&text,
	    "{\"Version\":1,\"Routes\":["
	    "{\"Host\":\"h\",\"Prefix\":\"/a/\",\"Service\":\"s\"},"
	    "{\"Name\":\"\\u0000\",\"Host\":\"h\",\"Prefix\":\"/a/\","
	    "\"Service\":\"s\"},"
	    "{\"Name\":\"b\",\"Host\":\"h\",\"Prefix\":\"/b/\","
	    "\"Service\":\"t\"}],\"Tenants\":[{\"ApiKeys\":[\"k\"]},"
	    "{\"Name\":\"w\",\"ApiKeys\":[7,\"l\"]}]}");
	routes = platform_config_parse(text.data, text.length, &status);
	CU_ASSERT_PTR_NOT_NULL_FATAL(routes);
	if (routes == NULL)
		return;
	CU_ASSERT_EQUAL(routes->routes_count, 1);
	CU_ASSERT_EQUAL(routes->unusable, 4);
	CU_ASSERT_PTR_NOT_NULL(strstr(status.message, "Routes 0"));
	CU_ASSERT_PTR_NULL(routes_match(routes, "h", "/a/1", &rest));
	CU_ASSERT_PTR_NOT_NULL(routes_match(routes, "h", "/b/1", &rest));
	CU_ASSERT_STRING_EQUAL(workspace_of(routes, "k"), "");
	CU_ASSERT_STRING_EQUAL(workspace_of(routes, "l"), "w");
	routes_free(routes);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"long keys", test_long_keys},
	    {"key with a NUL", test_key_with_nul},
	    {"long routes", test_long_routes},
	    {"unusable entries are left out",
		test_unusable_entries_are_left_out},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("routes", tests);
}
