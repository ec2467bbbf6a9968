/* Parsing, validation, splitting and differences of documents. */
#include <string.h>

#include "common_cunit.h"
#include "process/alloc.h"
#include "process/buffer.h"
#include "version/document.h"

#define ZONES                                                                 \
	"{\"availability_zones\": {\"north\": {}, \"south\": {}},\n"          \
	" \"endpoints\": {\n"                                                 \
	"  \"n1\": {\"availability_zone\": \"north\", \"accelerators\": 8,\n" \
	"   \"workers\": [\"n1a\", \"n1b\"]},\n"                              \
	"  \"n2\": {\"availability_zone\": \"north\", \"accelerators\": 8,\n" \
	"   \"workers\": [\"n2a\", \"n2b\"]},\n"                              \
	"  \"s1\": {\"availability_zone\": \"south\", \"accelerators\": 4,\n" \
	"   \"workers\": [\"s1a\"]}}}"

/* Parses a document of two sections, platform and team. */
static struct document *
parse_two(const char *platform, const char *team, struct buffer *warnings,
    struct ibis_status *status)
{
	struct document_source sections[] = {
	    {.name = "platform", .text = mem_strdup(platform)},
	    {.name = "team", .text = mem_strdup(team)},
	};
	struct document *document =
	    document_parse(sections, COUNT_OF(sections), warnings, status);

	for (size_t i = 0; i < COUNT_OF(sections); i++)
		mem_free(sections[i].text);
	return document;
}

/* Expects the section team to be refused with a message that contains both
 * texts. */
static void
expect_error(const char *team, const char *first_text, const char *second_text)
{
	struct ibis_status status = {0};
	struct document *document = parse_two(ZONES, team, NULL, &status);

	CU_ASSERT_PTR_NULL(document);
	CU_ASSERT_EQUAL(status.code, IBIS_INVALID);
	CU_ASSERT_STRING_EQUAL(status.step, "document");
	if (strstr(status.message, first_text) == NULL ||
	    strstr(status.message, second_text) == NULL) {
		CU_FAIL("message lacks an expected text");
		puts(status.message);
	}
	document_free(document);
}

static void
test_reads_all_groups(void)
{
	CLEANUP(buffer_free) struct buffer layout = {0};
	struct ibis_status status = {0};
	struct document *document = parse_two(ZONES,
	    "// ours\n{\"workspaces\": {\"rounds\": {\"guarantees\": [\n"
	    "{\"availability_zone\": \"north\", \"racks\": 2,\n"
	    "\"workers_per_rack\": 1, \"accelerators_per_worker\": 8}],\n"
	    "\"max_jobs_per_s\": 1.5}}, /* and */ \"request_classes\":\n"
	    "{\"reshuffle\": {\"precedence\": 0, \"objective_ms\": 100}}}",
	    NULL, &status);

	CU_ASSERT_PTR_NOT_NULL(document);
	if (document == NULL)
		return;
	CU_ASSERT_EQUAL(document->zones_count, 2);
	CU_ASSERT_TRUE(document->zones[0].in_service);
	CU_ASSERT_EQUAL(document->workers_count, 5);
	CU_ASSERT_EQUAL(document_find_worker(document, "s1a"), 4);
	CU_ASSERT_EQUAL(document->workers[4].rack, 2);
	CU_ASSERT_EQUAL(document->guarantees[0].count, 1);
	CU_ASSERT_EQUAL(document->guarantees[0].racks, 2);
	CU_ASSERT_EQUAL(document->workspaces[0].max_jobs_per_s, 1.5);
	CU_ASSERT_EQUAL(document_find_class(document, "reshuffle"), 0);
	CU_ASSERT_EQUAL(document_find_zone(document, "west"), -1);
	document_layout_json(document, &layout);
	CU_ASSERT_PTR_NOT_NULL(strstr(buffer_string(&layout),
	    "{\"name\": \"s1a\", \"availability_zone\": \"south\", "
	    "\"rack\": \"s1\", \"accelerators\": 4}"));
	document_free(document);
}

static void
test_errors_name_location(void)
{
	expect_error("{\n  \"workspace\": {}}",
	    "section team, line 2, column 3: workspace: unknown key",
	    "nearest is \"workspaces\"");
	expect_error("{\"workspaces\": {\"a\":\n {\"burst_jobs\": \"x\"}}}",
	    "line 2, column 3: workspaces.a.burst_jobs",
	    "expected a whole number from 1 to 1000000 jobs");
	expect_error("{\"workspaces\": {\"a\": {\"burst_jobs\": 0}}}",
	    "0 jobs; expected", "from 1");
	expect_error("{\"workspaces\": }", "line 1, column 16", "unexpected");
	expect_error("{ /* \n", "line 1, column 3", "comment without an end");
	expect_error("{} {}", "section team, line 1", "unexpected");
	expect_error("{\"request_classes\": {\"a\": {\"precedence\": 1}}}",
	    "request_classes.a", "lacks \"objective_ms\"");
	expect_error(
	    "{\"workspaces\": null}", "workspaces", "expected an object");
}

static void
test_names_are_checked(void)
{
	expect_error("{\"availability_zones\": {\"north\": {}}}",
	    "availability zone north is defined twice",
	    "in section platform and in section team");
	expect_error("{\"workspaces\": {\"a\": {}, \n\"a\": {}}}",
	    "line 2, column 1", "repeated");
	expect_error("{\"workspaces\": {\"a b\": {}}}", "workspaces.a b",
	    "letters, digits");
	expect_error("{\"endpoints\": {\"w\": {\"availability_zone\": \"west\","
		     "\"accelerators\": 1, \"workers\": [\"x\"]}}}",
	    "endpoints.w.availability_zone",
	    "no section defines availability zone west");
	expect_error(
	    "{\"endpoints\": {\"w\": {\"availability_zone\": \"north\","
	    "\"accelerators\": 1, \"workers\": [\"n1a\"]}}}",
	    "endpoints.w.workers[0]", "worker n1a is defined twice");
}

#define GUARANTEE(count, racks, workers, accelerators)           \
	"{\"availability_zone\": \"north\", \"count\": " count   \
	", \"racks\": " racks ", \"workers_per_rack\": " workers \
	", \"accelerators_per_worker\": " accelerators "}"

#define WORKSPACES(a, b)                                \
	"{\"workspaces\": {\"a\": {\"guarantees\": [" a \
	"]}, \"b\": {\"guarantees\": [" b "]}}}"

/* Expects the section team to be accepted. */
static void
expect_accepted(const char *team)
{
	struct ibis_status status = {0};
	struct document *document = parse_two(ZONES, team, NULL, &status);

	CU_ASSERT_PTR_NOT_NULL(document);
	document_free(document);
}

static void
test_guarantees_place_whole_shapes(void)
{
	/* The total of accelerators suffices, but the shapes don't fit. */
	expect_error(WORKSPACES(GUARANTEE("1", "1", "1", "8"),
			 GUARANTEE("1", "2", "2", "4") "," GUARANTEE(
			     "1", "1", "1", "8")),
	    "workspaces.", "availability zone north can't all be placed");
	expect_error(WORKSPACES(GUARANTEE("1", "1", "3", "1"), ""),
	    "workspaces.a: ", "needed 3 accelerators, present 32");
	expect_error(WORKSPACES(GUARANTEE("1", "3", "1", "1"), ""),
	    "workspaces.a: ", "needed 3 accelerators, present 32");
	expect_error(WORKSPACES(GUARANTEE("3", "1", "1", "8"),
			 GUARANTEE("1", "1", "2", "5")),
	    "workspaces.", "needed 34 accelerators, present 32");
	expect_accepted(WORKSPACES(
	    GUARANTEE("2", "1", "1", "8"), GUARANTEE("1", "2", "1", "8")));
	expect_accepted(WORKSPACES(GUARANTEE("1", "1", "1", "8"),
	    GUARANTEE("1", "1", "2", "8") "," GUARANTEE("2", "1", "1", "4")));
	expect_error("{\"workspaces\": {\"a\": {\"max_accelerators\": 4, "
		     "\"guarantees\": [" GUARANTEE("1", "1", "1", "8") "]}}}",
	    "max_accelerators is 4", "below the 8 accelerators guaranteed");
}

static void
test_warns_about_largest_zone(void)
{
	CLEANUP(buffer_free) struct buffer warnings = {0};
	struct ibis_status status = {0};
	struct document *document;

	document = parse_two(ZONES,
	    WORKSPACES(GUARANTEE("1", "1", "1", "4"), ""), &warnings, &status);
	CU_ASSERT_EQUAL(warnings.length, 0);
	document_free(document);
	document = parse_two(ZONES,
	    WORKSPACES(GUARANTEE("1", "1", "1", "8"), ""), &warnings, &status);
	CU_ASSERT_PTR_NOT_NULL(document);
	CU_ASSERT_STRING_EQUAL(buffer_string(&warnings),
	    "workspace a: with availability zone north out, the guarantees "
	    "can't all be placed in the other zones: needed 8 accelerators, "
	    "present 4\n");
	document_free(document);
}

static void
test_split_keeps_source_text(void)
{
	struct ibis_status status = {0};
	struct document_source *sections;
	int count =
	    document_split("{\"sections\": // all\n{\"a\": {\"workspaces\""
			   ": {} /* } */ }, \"b\": {}}}",
		&sections, &status);

	CU_ASSERT_EQUAL_FATAL(count, 2);
	CU_ASSERT_STRING_EQUAL(sections[0].name, "a");
	CU_ASSERT_STRING_EQUAL(
	    sections[0].text, "{\"workspaces\": {} /* } */ }");
	CU_ASSERT_STRING_EQUAL(sections[1].text, "{}");
	document_sources_free(sections, (size_t)count);
	CU_ASSERT_EQUAL(document_split("{}", &sections, &status), -1);
	CU_ASSERT_EQUAL(
	    document_split("{\"sections\": {\"a\": 1}}", &sections, &status),
	    -1);
	CU_ASSERT_PTR_NOT_NULL(strstr(status.message, "sections.a"));
}

static void
test_diff(void)
{
	CLEANUP(buffer_free) struct buffer lines = {0};
	struct document *from = parse_two(ZONES, "{}", NULL, NULL);
	struct document *to =
	    parse_two(ZONES, "{\"workspaces\": {\"a\": {}}}", NULL, NULL);

	document_diff(from, from, &lines);
	CU_ASSERT_EQUAL(lines.length, 0);
	document_diff(from, to, &lines);
	CU_ASSERT_STRING_EQUAL(buffer_string(&lines),
	    "+ workspace a max_queued_jobs=1000 max_accelerators=0 "
	    "max_jobs_per_s=0 burst_jobs=100 guarantees=\n");
	buffer_clear(&lines);
	to->zones[0].in_service = false;
	document_diff(to, from, &lines);
	CU_ASSERT_PTR_NOT_NULL(strstr(buffer_string(&lines),
	    "- availability_zone north in_service=false"));
	CU_ASSERT_PTR_NOT_NULL(strstr(buffer_string(&lines),
	    "+ availability_zone north in_service=true"));
	document_free(from);
	document_free(to);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"reads all groups", test_reads_all_groups},
	    {"errors name section, line, column and key",
		test_errors_name_location},
	    {"names are checked", test_names_are_checked},
	    {"guarantees must be placeable as whole shapes",
		test_guarantees_place_whole_shapes},
	    {"warns about the largest zone", test_warns_about_largest_zone},
	    {"split keeps the source text", test_split_keeps_source_text},
	    {"diff", test_diff},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("document", tests);
}
