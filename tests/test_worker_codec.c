#include <stdio.h>
#include <string.h>

#include "common_cunit.h"
#include "connection/worker_codec.h"
#include "process/alloc.h"

/* xxhash64 of "whole" and "" in hexadecimal. */
#define ANSWER_HASH "1ffd3f32c954e628"
#define EMPTY_HASH  "ef46db3751d8e999"

static enum ibis_code
decode_with(const char *tasks, struct decoded_report *decoded,
    struct ibis_status *status)
{
	CLEANUP(buffer_free) struct buffer text = {0};

	buffer_printf(&text,
	    "{\"worker\": \"w1\", \"incarnation\": 7, \"leaving\": true, "
	    "\"accelerators\": 8, \"free_accelerators\": 6, \"tasks\": [%s]}",
	    tasks);
	return worker_codec_decode(
	    text.data, text.length, "w1", decoded, status);
}

static const char *
done_task(const char *answer, size_t length, const char *hash)
{
	static char text[512];

	(void)snprintf(text, sizeof(text),
	    "{\"task\": \"j.1.0\", \"state\": \"done\", \"started\": true, "
	    "\"run_ms\": 5, \"used_share\": 0.5, \"answer\": %s, "
	    "\"answer_length\": %zu, \"answer_hash\": \"%s\", "
	    "\"checkpoint\": null, \"message\": \"\"}",
	    answer, length, hash);
	return text;
}

static void
test_encode(void)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	char payload[] = "say \"hi\"";
	struct worker_command commands[] = {
	    {.verb = VERB_RESERVE,
		.task = "j.1.0",
		.accelerators = 2,
		.ttl_ms = 1200},
	    {.verb = VERB_STAGE,
		.task = "j.1.0",
		.run_time_ms = 20,
		.index = 0,
		.tasks = 4,
		.payload = payload},
	    {.verb = VERB_STOP, .task = "j.1.0"},
	};

	worker_codec_encode(commands, COUNT_OF(commands), &body);
	CU_ASSERT_STRING_EQUAL(buffer_string(&body),
	    "{\"commands\":[{\"verb\":\"reserve\",\"task\":\"j.1.0\","
	    "\"accelerators\":2,\"ttl_ms\":1200},"
	    "{\"verb\":\"stage\",\"task\":\"j.1.0\",\"run_time_ms\":20,"
	    "\"index\":0,\"tasks\":4,\"payload\":\"say \\\"hi\\\"\","
	    "\"checkpoint\":null},"
	    "{\"verb\":\"stop\",\"task\":\"j.1.0\"}]}");
}

static void
test_valid_answer(void)
{
	struct decoded_report decoded;
	struct ibis_status status = {0};

	CU_ASSERT_EQUAL(decode_with(done_task("\"whole\"", 5, ANSWER_HASH),
			    &decoded, &status),
	    IBIS_OK);
	CU_ASSERT_EQUAL_FATAL(decoded.report.tasks_count, 1);
	CU_ASSERT_EQUAL(decoded.report.tasks[0].state, TASK_DONE);
	CU_ASSERT_STRING_EQUAL(decoded.report.tasks[0].answer, "whole");
	CU_ASSERT_EQUAL(decoded.unverified_count, 0);
	CU_ASSERT_TRUE(decoded.report.leaving);
	decoded_report_free(&decoded);
}

static void
test_empty_answer(void)
{
	struct decoded_report decoded;
	struct ibis_status status = {0};

	CU_ASSERT_EQUAL(
	    decode_with(done_task("\"\"", 0, EMPTY_HASH), &decoded, &status),
	    IBIS_OK);
	CU_ASSERT_EQUAL(decoded.report.tasks[0].state, TASK_DONE);
	CU_ASSERT_STRING_EQUAL(decoded.report.tasks[0].answer, "");
	decoded_report_free(&decoded);
}

static void
check_unverified(const char *answer, size_t length, const char *hash)
{
	struct decoded_report decoded;
	struct ibis_status status = {0};

	CU_ASSERT_EQUAL(
	    decode_with(done_task(answer, length, hash), &decoded, &status),
	    IBIS_OK);
	CU_ASSERT_EQUAL_FATAL(decoded.unverified_count, 1);
	CU_ASSERT_EQUAL(decoded.report.tasks[0].state, TASK_RUNNING);
	CU_ASSERT_PTR_NULL(decoded.report.tasks[0].answer);
	decoded_report_free(&decoded);
}

static void
test_mismatched_answers(void)
{
	check_unverified("\"whol\"", 5, ANSWER_HASH);
	check_unverified("\"wholewhole\"", 5, ANSWER_HASH);
	check_unverified("\"whole\"", 5, EMPTY_HASH);
	check_unverified("\"wh0le\"", 5, ANSWER_HASH);
	check_unverified("\"wh\\u0000le\"", 5, ANSWER_HASH);
	check_unverified("null", 0, EMPTY_HASH);
}

static void
check_invalid(const char *tasks, const char *expected_text)
{
	struct decoded_report decoded;
	struct ibis_status status = {0};

	CU_ASSERT_EQUAL(decode_with(tasks, &decoded, &status), IBIS_INVALID);
	CU_ASSERT_PTR_NOT_NULL(strstr(status.message, expected_text));
	decoded_report_free(&decoded);
}

static void
test_invalid_tasks(void)
{
	check_invalid("{}", "task");
	check_invalid("7", "task");
	check_invalid("{\"task\": \"j.1.0\", \"state\": \"asleep\"}", "state");
	check_invalid(
	    "{\"task\": \"j.1.0\", \"state\": \"running\"}", "started");
	check_invalid(done_task("\"whole\"", 5, "12"), "answer_hash");
	check_invalid(done_task("17", 5, ANSWER_HASH), "answer");
	check_invalid("{\"task\": ", "not a complete JSON document");
}

static void
test_other_worker(void)
{
	static const char text[] =
	    "{\"worker\": \"w2\", \"incarnation\": 7, \"leaving\": false, "
	    "\"accelerators\": 8, \"free_accelerators\": 8, \"tasks\": []}";
	struct decoded_report decoded;
	struct ibis_status status = {0};

	CU_ASSERT_EQUAL(worker_codec_decode(
			    text, sizeof(text) - 1, "w1", &decoded, &status),
	    IBIS_INVALID);
	CU_ASSERT_PTR_NOT_NULL(strstr(status.message, "worker"));
	decoded_report_free(&decoded);
}

static void
test_every_truncation_is_rejected(void)
{
	static const char text[] =
	    "{\"worker\": \"w1\", \"incarnation\": 7, \"leaving\": false, "
	    "\"accelerators\": 8, \"free_accelerators\": 8, \"tasks\": []}";
	struct decoded_report decoded;

	for (size_t length = 0; length < sizeof(text) - 1; length++) {
		CU_ASSERT_EQUAL(
		    worker_codec_decode(text, length, "w1", &decoded, NULL),
		    IBIS_INVALID);
		decoded_report_free(&decoded);
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"encode", test_encode},
	    {"valid answer", test_valid_answer},
	    {"empty answer", test_empty_answer},
	    {"mismatched answers are unverified", test_mismatched_answers},
	    {"invalid tasks", test_invalid_tasks},
	    {"another worker's report", test_other_worker},
	    {"every truncation is rejected", test_every_truncation_is_rejected},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("worker_codec", tests);
}
