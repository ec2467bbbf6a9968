#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <xxhash.h>

#include "common_cunit.h"
#include "connection/api.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define JOB_ID "0123456789abcdef0123456789abcdef"
#define VALID_JOB                                                          \
	"{\"workspace\":\"rounds\",\"class\":\"reshuffle\",\"tasks\":4,"   \
	"\"accelerators_per_task\":2,\"adjacency\":\"rack\","              \
	"\"run_time_ms\":20000,\"deadline_ms\":60000,\"idempotent\":true," \
	"\"checkpointable\":false,\"payload\":\"p\"}"

static Ibis__Request *
parse(const char *method, const char *path, const char *body,
    struct ibis_status *status)
{
	struct api_input input = {
	    .method = method,
	    .path = path,
	    .wait_ms = "500",
	    .body = body,
	    .body_length = body == NULL ? 0 : strlen(body),
	    .max_wait_ms = 1000,
	};

	return api_parse(&input, status);
}

static Ibis__Request *
parse_valid(const char *method, const char *path, const char *body)
{
	struct ibis_status status = {0};
	Ibis__Request *request = parse(method, path, body, &status);

	if (request == NULL) {
		(void)printf("%s\n", status.message);
		abort();
	}
	return request;
}

static void
free_request(Ibis__Request *request)
{
	if (request != NULL)
		ibis__request__free_unpacked(request, proto_allocator());
}

static void
test_submission(void)
{
	Ibis__Request *request =
	    parse_valid("POST", "/v1/jobs", VALID_JOB "\n");
	Ibis__Request *other = parse_valid("POST", "/v1/jobs", VALID_JOB);

	CU_ASSERT_EQUAL(request->kind, IBIS__REQUEST_KIND__REQUEST_SUBMIT);
	CU_ASSERT_EQUAL(request->wait_ms, 500);
	CU_ASSERT_STRING_EQUAL(request->spec->workspace, "rounds");
	CU_ASSERT_STRING_EQUAL(request->spec->request_class, "reshuffle");
	CU_ASSERT_EQUAL(request->spec->tasks, 4);
	CU_ASSERT_EQUAL(request->spec->accelerators_per_task, 2);
	CU_ASSERT_EQUAL(
	    request->spec->adjacency, IBIS__ADJACENCY__ADJACENCY_RACK);
	CU_ASSERT_EQUAL(request->spec->run_time_ms, 20000);
	CU_ASSERT_EQUAL(request->spec->deadline_ms, 60000);
	CU_ASSERT_TRUE(request->spec->idempotent);
	CU_ASSERT_STRING_EQUAL(request->spec->payload, "p");
	CU_ASSERT_STRING_NOT_EQUAL(
	    request->spec->idempotency_key, other->spec->idempotency_key);
	free_request(request);
	free_request(other);
}

struct refusal {
	const char *method;
	const char *path;
	const char *body;
	enum ibis_code code;
	const char *message;
};

#define JOB_START	 "{\"workspace\":\"w\",\"class\":\"c\",\"run_time_ms\":1,"
#define JOB_ACCELERATORS "\"accelerators_per_task\":1,"

static const struct refusal refusals[] = {
    {"POST", "/v1/jobs", "", IBIS_INVALID, "expected one JSON object"},
    {"POST", "/v1/jobs", "[]", IBIS_INVALID, "expected one JSON object"},
    {"POST", "/v1/jobs", "{\"tasks\":", IBIS_INVALID, "unexpected end"},
    {"POST", "/v1/jobs", VALID_JOB "{}", IBIS_INVALID, "at byte"},
    {"POST", "/v1/jobs", "{'tasks':1}", IBIS_INVALID, "at byte 1"},
    {"POST", "/v1/jobs", "{\"taks\":1}", IBIS_INVALID,
	"unknown key \"taks\"; expected one of workspace, class, tasks"},
    {"POST", "/v1/jobs", "{\"workspace\":\"w\"}", IBIS_INVALID,
	"class: missing"},
    {"POST", "/v1/jobs", JOB_START JOB_ACCELERATORS "\"tasks\":\"4\"}",
	IBIS_INVALID, "tasks: \"4\"; expected a whole number of 1 or more"},
    {"POST", "/v1/jobs", JOB_START JOB_ACCELERATORS "\"tasks\":1.5}",
	IBIS_INVALID, "tasks: 1.5; expected a whole number"},
    {"POST", "/v1/jobs",
	JOB_START JOB_ACCELERATORS "\"tasks\":99999999999999999999}",
	IBIS_INVALID, "tasks: "},
    {"POST", "/v1/jobs", JOB_START JOB_ACCELERATORS "\"tasks\":5000}",
	IBIS_INVALID, "tasks: 5000; expected 1 to 4096"},
    {"POST", "/v1/jobs",
	JOB_START JOB_ACCELERATORS "\"tasks\":1,\"idempotent\":1}",
	IBIS_INVALID, "idempotent: 1; expected true or false"},
    {"POST", "/v1/jobs",
	JOB_START JOB_ACCELERATORS "\"tasks\":1,\"adjacency\":\"row\"}",
	IBIS_INVALID, "adjacency: \"row\"; expected \"any\", \"zone\""},
    {"POST", "/v1/jobs",
	JOB_START JOB_ACCELERATORS "\"tasks\":1,\"payload\":\"a\\u0000b\"}",
	IBIS_INVALID, "payload: contains a NUL character at byte 1"},
    {"POST", "/v1/jobs",
	JOB_START JOB_ACCELERATORS "\"tasks\":1,\"payload\":null}",
	IBIS_INVALID, "payload: null; expected a string"},
    {"GET", "/v1/jobs/xyz", NULL, IBIS_INVALID, "job id \"xyz\""},
    {"PATCH", "/v1/jobs", NULL, IBIS_INVALID, "expected POST or GET"},
    {"GET", "/v1/nothing", NULL, IBIS_NOT_FOUND, "no such path"},
    {"GET", "/v1/jobs/", NULL, IBIS_NOT_FOUND, "no such path"},
    {"PUT", "/v1/document/sections/a", NULL, IBIS_INVALID, "body: missing"},
};

static void
test_refusals(void)
{
	for (size_t i = 0; i < COUNT_OF(refusals); i++) {
		const struct refusal *refusal = &refusals[i];
		struct ibis_status status = {0};
		Ibis__Request *request;

		request = parse(
		    refusal->method, refusal->path, refusal->body, &status);
		CU_ASSERT_PTR_NULL(request);
		CU_ASSERT_EQUAL(status.code, refusal->code);
		CU_ASSERT_PTR_NOT_NULL(
		    strstr(status.message, refusal->message));
		if (strstr(status.message, refusal->message) == NULL)
			(void)printf("refusal %zu: %s\n", i, status.message);
		free_request(request);
	}
}

static void
test_paths(void)
{
	struct ibis_status status = {0};
	struct api_input input = {
	    .method = "PUT",
	    .path = "/v1/document/sections/records",
	    .if_match = "\"12\"",
	    .dry_run = "1",
	    .body = "{}",
	    .body_length = 2,
	};
	Ibis__Request *request = api_parse(&input, &status);

	if (request == NULL)
		abort();
	CU_ASSERT_EQUAL(request->kind, IBIS__REQUEST_KIND__REQUEST_PUT_SECTION);
	CU_ASSERT_STRING_EQUAL(request->name, "records");
	CU_ASSERT_STRING_EQUAL(request->body, "{}");
	CU_ASSERT_EQUAL(request->if_match, 12);
	CU_ASSERT_TRUE(request->dry_run);
	free_request(request);
	request = parse_valid("POST", "/v1/availability-zones/a/out", NULL);
	CU_ASSERT_EQUAL(request->kind, IBIS__REQUEST_KIND__REQUEST_ZONE_OUT);
	CU_ASSERT_STRING_EQUAL(request->name, "a");
	free_request(request);
	request = parse_valid("GET", "/v1/jobs/" JOB_ID "/answer", NULL);
	CU_ASSERT_EQUAL(request->kind, IBIS__REQUEST_KIND__REQUEST_ANSWER);
	CU_ASSERT_STRING_EQUAL(request->job, JOB_ID);
	free_request(request);
	input.if_match = "twelve";
	CU_ASSERT_PTR_NULL(api_parse(&input, &status));
	CU_ASSERT_PTR_NOT_NULL(strstr(status.message, "If-Match: \"twelve\""));
	input.if_match = NULL;
	input.dry_run = "yes";
	CU_ASSERT_PTR_NULL(api_parse(&input, &status));
	CU_ASSERT_PTR_NOT_NULL(strstr(status.message, "expected 0 or 1"));
}

/* A finished job with the answer "ab" + "c". */
struct finished {
	Ibis__Request request;
	Ibis__Reply reply;
	Ibis__JobView view;
	Ibis__JobRecord record;
	Ibis__Answer answer;
	char *parts[2];
	char id[sizeof(JOB_ID)];
	char first[3];
	char second[2];
};

static void
fill_finished(struct finished *finished, Ibis__RequestKind kind)
{
	*finished = (struct finished){
	    .request = IBIS__REQUEST__INIT,
	    .reply = IBIS__REPLY__INIT,
	    .view = IBIS__JOB_VIEW__INIT,
	    .record = IBIS__JOB_RECORD__INIT,
	    .answer = IBIS__ANSWER__INIT,
	    .id = JOB_ID,
	    .first = "ab",
	    .second = "c",
	};
	finished->request.kind = kind;
	finished->parts[0] = finished->first;
	finished->parts[1] = finished->second;
	finished->answer.parts = finished->parts;
	finished->answer.n_parts = 2;
	finished->record.id = finished->id;
	finished->record.state = IBIS__JOB_STATE__JOB_FINISHED;
	finished->record.answer_length = 3;
	finished->record.answer_hash = XXH64("abc", 3, 0);
	finished->view.record = &finished->record;
	finished->view.answer = &finished->answer;
	finished->view.durable = true;
	finished->reply.job = &finished->view;
}

static void
check_rendered(struct finished *finished, int32_t status, const char *text)
{
	struct api_output output;

	api_render(&finished->request, &finished->reply, &output);
	CU_ASSERT_EQUAL(output.http_status, status);
	CU_ASSERT_PTR_NOT_NULL(strstr(buffer_string(&output.body), text));
	buffer_free(&output.body);
}

static void
test_answer_is_whole_or_refused(void)
{
	struct finished finished;
	struct api_output output;

	fill_finished(&finished, IBIS__REQUEST_KIND__REQUEST_ANSWER);
	api_render(&finished.request, &finished.reply, &output);
	CU_ASSERT_EQUAL(output.http_status, 200);
	CU_ASSERT_STRING_EQUAL(buffer_string(&output.body), "abc");
	CU_ASSERT_EQUAL(output.content_hash, XXH64("abc", 3, 0));
	buffer_free(&output.body);
	finished.second[0] = 'd';
	check_rendered(&finished, 503, "answer damaged");
	finished.request.kind = IBIS__REQUEST_KIND__REQUEST_JOB;
	check_rendered(&finished, 503, "answer damaged");
	finished.answer.n_parts = 1;
	check_rendered(&finished, 503, "answer damaged");
	finished.view.answer = NULL;
	check_rendered(&finished, 503, "the answer is not available");
	check_rendered(&finished, 503, "\"not_run\":false");
	finished.request.kind = IBIS__REQUEST_KIND__REQUEST_CANCEL;
	check_rendered(&finished, 200, "\"state\":\"finished\"");
}

static void
test_job_rendering(void)
{
	struct finished finished;

	fill_finished(&finished, IBIS__REQUEST_KIND__REQUEST_SUBMIT);
	check_rendered(&finished, 200,
	    "{\"job\":\"" JOB_ID "\",\"state\":\"finished\","
	    "\"outcome\":\"finished\",\"not_run\":false,\"durable\":true,");
	check_rendered(&finished, 200, "\"answers\":[\"ab\",\"c\"]}");
	finished.record.state = IBIS__JOB_STATE__JOB_RUNNING;
	check_rendered(&finished, 202, "\"outcome\":null");
	finished.record.state = IBIS__JOB_STATE__JOB_NOT_RUN;
	check_rendered(&finished, 200, "\"not_run\":true");
	finished.request.kind = IBIS__REQUEST_KIND__REQUEST_ANSWER;
	check_rendered(&finished, 404, "ended as not_run; it has no answer");
}

struct code_case {
	const char *step;
	Ibis__Code code;
	int32_t http_status;
};

static const struct code_case code_cases[] = {
    {"submit", IBIS__CODE__CODE_INVALID, 400},
    {"admit", IBIS__CODE__CODE_INVALID, 422},
    {"admit", IBIS__CODE__CODE_CONFLICT, 409},
    {"find", IBIS__CODE__CODE_NOT_FOUND, 404},
    {"admit", IBIS__CODE__CODE_LIMIT, 429},
    {"forward", IBIS__CODE__CODE_UNAVAILABLE, 503},
    {"forward", IBIS__CODE__CODE_UNKNOWN, 504},
    {"admit", IBIS__CODE__CODE_INTERNAL, 500},
};

static void
test_error_rendering(void)
{
	Ibis__Request *request = parse_valid("POST", "/v1/jobs", VALID_JOB);
	struct api_output output;

	for (size_t i = 0; i < COUNT_OF(code_cases); i++) {
		Ibis__Reply reply = IBIS__REPLY__INIT;
		char step[IBIS_STEP_BYTES];
		bool limited;

		STRING_COPY(step, code_cases[i].step);
		reply.code = code_cases[i].code;
		reply.step = step;
		api_render(request, &reply, &output);
		CU_ASSERT_EQUAL(output.http_status, code_cases[i].http_status);
		limited =
		    output.http_status == 429 || output.http_status == 503;
		CU_ASSERT_EQUAL(output.retry_after_ms > 0, limited);
		CU_ASSERT_EQUAL(
		    strstr(buffer_string(&output.body), "\"job\":") != NULL,
		    output.http_status == 409 || output.http_status == 504);
		buffer_free(&output.body);
	}
	free_request(request);
}

/* An error that quotes invalid UTF-8 from a caller is still valid JSON. */
static void
test_errors_are_utf8(void)
{
	const char *quoted[] = {"caf\xc3", "\xff\xfe", "\xe8\xb7\xaf", "\x01"};
	struct ibis_status status = {0};
	struct api_output output;

	for (size_t i = 0; i < COUNT_OF(quoted); i++) {
		struct json_object *body;
		struct json_tokener *tokener = json_tokener_new();

		(void)ibis_status_set(&status, IBIS_INVALID, "submit", NULL,
		    "class: \"%s\"", quoted[i]);
		api_render_error(&status, 400, 0, &output);
		json_tokener_set_flags(
		    tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
		body = json_tokener_parse_ex(
		    tokener, output.body.data, (int)output.body.length);
		CU_ASSERT_PTR_NOT_NULL(body);
		(void)json_object_put(body);
		json_tokener_free(tokener);
		buffer_free(&output.body);
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"submission", test_submission},
	    {"refusals", test_refusals},
	    {"paths", test_paths},
	    {"answer is whole or refused", test_answer_is_whole_or_refused},
	    {"job rendering", test_job_rendering},
	    {"error rendering", test_error_rendering},
	    {"errors are UTF-8", test_errors_are_utf8},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("api", tests);
}
