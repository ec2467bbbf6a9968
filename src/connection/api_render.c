/* Renders replies and errors as HTTP responses; see api.h. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <json-c/json.h>
#include <xxhash.h>

#include "connection/api.h"
#include "process/alloc.h"
#include "process/utf8.h"
#include "request/job.h"

#define JSON_CONTENT_TYPE      "application/json"
#define METRICS_CONTENT_TYPE   "text/plain; version=0.0.4"
#define ANSWER_CONTENT_TYPE    "application/octet-stream"
#define SUBMIT_STEP	       "submit"
#define DEFAULT_RETRY_AFTER_MS 1000
#define HASH_TEXT_BYTES	       17
#define JSON_WRITE_FLAGS \
	(JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)

enum {
	HTTP_OK = 200,
	HTTP_ACCEPTED = 202,
	HTTP_BAD_REQUEST = 400,
	HTTP_NOT_FOUND = 404,
	HTTP_CONFLICT = 409,
	HTTP_UNPROCESSABLE = 422,
	HTTP_TOO_MANY = 429,
	HTTP_INTERNAL = 500,
	HTTP_UNAVAILABLE = 503,
	HTTP_TIMEOUT = 504
};

/* The content of an error response. */
struct api_error {
	int32_t http_status;
	const char *code;
	const char *step;
	const char *peer;
	const char *message;
	const char *job; /* id; NULL or "": not shown */
	bool not_run;
	int64_t retry_after_ms;
};

static const char *
code_name(Ibis__Code code)
{
	switch (code) {
	case IBIS__CODE__CODE_OK:
		return ibis_code_name(IBIS_OK);
	case IBIS__CODE__CODE_INVALID:
		return ibis_code_name(IBIS_INVALID);
	case IBIS__CODE__CODE_CONFLICT:
		return ibis_code_name(IBIS_CONFLICT);
	case IBIS__CODE__CODE_NOT_FOUND:
		return ibis_code_name(IBIS_NOT_FOUND);
	case IBIS__CODE__CODE_LIMIT:
		return ibis_code_name(IBIS_LIMIT);
	case IBIS__CODE__CODE_UNAVAILABLE:
		return ibis_code_name(IBIS_UNAVAILABLE);
	case IBIS__CODE__CODE_UNKNOWN:
		return ibis_code_name(IBIS_UNKNOWN);
	default:
		return ibis_code_name(IBIS_INTERNAL);
	}
}

static int32_t
http_status_of_code(Ibis__Code code)
{
	switch (code) {
	case IBIS__CODE__CODE_OK:
		return HTTP_OK;
	case IBIS__CODE__CODE_INVALID:
		return HTTP_BAD_REQUEST;
	case IBIS__CODE__CODE_CONFLICT:
		return HTTP_CONFLICT;
	case IBIS__CODE__CODE_NOT_FOUND:
		return HTTP_NOT_FOUND;
	case IBIS__CODE__CODE_LIMIT:
		return HTTP_TOO_MANY;
	case IBIS__CODE__CODE_UNAVAILABLE:
		return HTTP_UNAVAILABLE;
	case IBIS__CODE__CODE_UNKNOWN:
		return HTTP_TIMEOUT;
	default:
		return HTTP_INTERNAL;
	}
}

static void
add_string(struct json_object *object, const char *key, const char *value)
{
	(void)json_object_object_add(
	    object, key, json_object_new_string(value == NULL ? "" : value));
}

/*
 * Adds text that may quote caller input, replacing invalid UTF-8 so that the
 * response stays valid JSON.
 */
static void
add_untrusted_string(
    struct json_object *object, const char *key, const char *value)
{
	CLEANUP(buffer_free) struct buffer text = {0};

	utf8_append(&text, value == NULL ? "" : value);
	add_string(object, key, buffer_string(&text));
}

static void
add_int(struct json_object *object, const char *key, int64_t value)
{
	(void)json_object_object_add(object, key, json_object_new_int64(value));
}

static void
add_bool(struct json_object *object, const char *key, bool value)
{
	(void)json_object_object_add(
	    object, key, json_object_new_boolean(value));
}

/* Writes an object to the response body and releases it. */
static void
write_body(struct api_output *output, struct json_object *object)
{
	buffer_clear(&output->body);
	buffer_puts(&output->body,
	    json_object_to_json_string_ext(object, JSON_WRITE_FLAGS));
	(void)json_object_put(object);
}

static void
render_error(const struct api_error *error, struct api_output *output)
{
	struct json_object *body = json_object_new_object();
	struct json_object *inner = json_object_new_object();
	int64_t retry_after_ms = error->retry_after_ms;

	if (retry_after_ms <= 0 &&
	    (error->http_status == HTTP_TOO_MANY ||
		error->http_status == HTTP_UNAVAILABLE))
		retry_after_ms = DEFAULT_RETRY_AFTER_MS;
	add_string(inner, "code", error->code);
	add_string(inner, "step", error->step);
	add_untrusted_string(inner, "peer", error->peer);
	add_untrusted_string(inner, "message", error->message);
	(void)json_object_object_add(body, "error", inner);
	add_bool(body, "not_run", error->not_run);
	if (error->job != NULL && error->job[0] != '\0')
		add_string(body, "job", error->job);
	if (retry_after_ms > 0)
		add_int(body, "retry_after_ms", retry_after_ms);
	output->http_status = error->http_status;
	output->content_type = JSON_CONTENT_TYPE;
	output->retry_after_ms = retry_after_ms;
	write_body(output, body);
}

/*
 * Finds the id of the job that an error concerns, or "". For a submission whose
 * outcome is unknown or that conflicts, the id is derived from its idempotency
 * key, so that the caller can look the job up.
 */
static void
find_error_job_id(const Ibis__Request *request, const Ibis__Reply *reply,
    char id[JOB_ID_BYTES])
{
	id[0] = '\0';
	if (reply->job != NULL && reply->job->record != NULL) {
		string_copy(id, JOB_ID_BYTES, reply->job->record->id);
	} else if (request != NULL && request->job[0] != '\0') {
		string_copy(id, JOB_ID_BYTES, request->job);
	} else if (request != NULL && request->spec != NULL &&
	    (reply->code == IBIS__CODE__CODE_UNKNOWN ||
		reply->code == IBIS__CODE__CODE_CONFLICT)) {
		job_id_format(job_id_from_key(request->spec->workspace,
				  request->spec->idempotency_key),
		    id);
	}
}

static void
render_reply_error(const Ibis__Request *request, const Ibis__Reply *reply,
    struct api_output *output)
{
	char job[JOB_ID_BYTES];
	struct api_error error = {
	    .http_status = http_status_of_code(reply->code),
	    .code = code_name(reply->code),
	    .step = reply->step,
	    .peer = reply->peer,
	    .message = reply->message,
	    .job = job,
	    .not_run = reply->not_run,
	    .retry_after_ms = reply->retry_after_ms,
	};

	/* The specification is well-formed, but the job can never run. */
	if (reply->code == IBIS__CODE__CODE_INVALID && request != NULL &&
	    request->kind == IBIS__REQUEST_KIND__REQUEST_SUBMIT &&
	    strcmp(reply->step, SUBMIT_STEP) != 0)
		error.http_status = HTTP_UNPROCESSABLE;
	find_error_job_id(request, reply, job);
	render_error(&error, output);
}

/*
 * Joins the parts of an answer. Returns false when their length or hash differs
 * from the job's record.
 */
static bool
join_answer(const Ibis__JobView *view, struct buffer *joined)
{
	const Ibis__Answer *answer = view->answer;

	for (size_t i = 0; answer != NULL && i < answer->n_parts; i++)
		buffer_puts(joined, answer->parts[i]);
	return joined->length == view->record->answer_length &&
	    XXH64(buffer_string(joined), joined->length, 0) ==
	    view->record->answer_hash;
}

static void
render_unavailable_answer(const Ibis__JobView *view, struct api_output *output)
{
	struct api_error error = {
	    .http_status = HTTP_UNAVAILABLE,
	    .code = ibis_code_name(IBIS_UNAVAILABLE),
	    .step = "answer",
	    .message = view->answer == NULL
		? "the answer is not available; retry"
		: "answer damaged: its length or hash differs from the job's "
		  "record; retry",
	    .job = view->record->id,
	};

	render_error(&error, output);
}

static struct json_object *
new_parts_array(const Ibis__Answer *answer)
{
	struct json_object *array = json_object_new_array();

	for (size_t i = 0; answer != NULL && i < answer->n_parts; i++)
		(void)json_object_array_add(
		    array, json_object_new_string(answer->parts[i]));
	return array;
}

static void
add_outcome(struct json_object *body, const Ibis__JobRecord *record)
{
	add_string(body, "state", job_state_name(record->state));
	if (job_state_final(record->state))
		add_string(body, "outcome", job_state_name(record->state));
	else
		(void)json_object_object_add(body, "outcome", NULL);
	add_bool(
	    body, "not_run", record->state == IBIS__JOB_STATE__JOB_NOT_RUN);
}

static void
add_answer(struct json_object *body, const Ibis__JobView *view)
{
	const Ibis__JobRecord *record = view->record;
	char hash[HASH_TEXT_BYTES] = "";

	if (record->state == IBIS__JOB_STATE__JOB_FINISHED)
		(void)snprintf(
		    hash, sizeof(hash), "%016" PRIx64, record->answer_hash);
	add_int(body, "answer_length", (int64_t)record->answer_length);
	add_string(body, "answer_hash", hash);
	if (record->state == IBIS__JOB_STATE__JOB_FINISHED &&
	    (view->answer != NULL || record->answer_length == 0))
		(void)json_object_object_add(
		    body, "answers", new_parts_array(view->answer));
}

static void
render_job(const Ibis__JobView *view, struct api_output *output)
{
	const Ibis__JobRecord *record = view->record;
	struct json_object *body = json_object_new_object();

	add_string(body, "job", record->id);
	add_outcome(body, record);
	add_bool(body, "durable", view->durable);
	add_int(body, "attempt", (int64_t)record->attempt);
	add_string(body, "reason", record->reason);
	add_string(body, "workspace",
	    record->spec == NULL ? "" : record->spec->workspace);
	add_string(body, "class",
	    record->spec == NULL ? "" : record->spec->request_class);
	add_int(body, "accepted_at_ms", record->accepted_at_ms);
	add_int(body, "started_at_ms", record->started_at_ms);
	add_int(body, "ended_at_ms", record->ended_at_ms);
	add_answer(body, view);
	output->http_status =
	    job_state_final(record->state) ? HTTP_OK : HTTP_ACCEPTED;
	output->content_type = JSON_CONTENT_TYPE;
	write_body(output, body);
}

static void
render_missing_answer(const Ibis__JobView *view, struct api_output *output)
{
	char message[IBIS_MESSAGE_BYTES];
	struct api_error error = {
	    .http_status = HTTP_NOT_FOUND,
	    .code = ibis_code_name(IBIS_NOT_FOUND),
	    .step = "answer",
	    .message = message,
	    .job = view->record->id,
	    .not_run = view->record->state == IBIS__JOB_STATE__JOB_NOT_RUN,
	};

	(void)snprintf(message, sizeof(message),
	    "the job ended as %s; it has no answer",
	    job_state_name(view->record->state));
	render_error(&error, output);
}

static void
render_answer(const Ibis__JobView *view, struct api_output *output)
{
	if (!job_state_final(view->record->state)) {
		render_job(view, output);
		return;
	}
	if (view->record->state != IBIS__JOB_STATE__JOB_FINISHED) {
		render_missing_answer(view, output);
		return;
	}
	if (!join_answer(view, &output->body)) {
		render_unavailable_answer(view, output);
		return;
	}
	output->http_status = HTTP_OK;
	output->content_type = ANSWER_CONTENT_TYPE;
	output->content_hash = view->record->answer_hash;
}

/*
 * Renders a job for a request that may wait for its end: a finished job is
 * rendered with its complete answer, or as an error when that is damaged.
 */
static void
render_job_with_answer(const Ibis__JobView *view, struct api_output *output)
{
	CLEANUP(buffer_free) struct buffer joined = {0};

	if (view->record->state == IBIS__JOB_STATE__JOB_FINISHED &&
	    !join_answer(view, &joined))
		render_unavailable_answer(view, output);
	else
		render_job(view, output);
}

static void
render_text_reply(
    const Ibis__Reply *reply, const char *type, struct api_output *output)
{
	output->http_status = HTTP_OK;
	output->content_type = type;
	output->etag = reply->revision;
	buffer_puts(&output->body, reply->json);
}

static void
render_job_reply(const Ibis__Request *request, const Ibis__Reply *reply,
    struct api_output *output)
{
	const struct api_error missing = {
	    .http_status = HTTP_INTERNAL,
	    .code = ibis_code_name(IBIS_INTERNAL),
	    .step = "render",
	    .message = "the reply holds no job",
	};

	if (reply->job == NULL || reply->job->record == NULL)
		render_error(&missing, output);
	else if (request->kind == IBIS__REQUEST_KIND__REQUEST_ANSWER)
		render_answer(reply->job, output);
	else if (request->kind == IBIS__REQUEST_KIND__REQUEST_CANCEL)
		render_job(reply->job, output);
	else
		render_job_with_answer(reply->job, output);
}

void
api_render(const Ibis__Request *request, const Ibis__Reply *reply,
    struct api_output *output)
{
	*output = (struct api_output){0};
	if (reply->code != IBIS__CODE__CODE_OK) {
		render_reply_error(request, reply, output);
		return;
	}
	switch (request->kind) {
	case IBIS__REQUEST_KIND__REQUEST_SUBMIT:
	case IBIS__REQUEST_KIND__REQUEST_JOB:
	case IBIS__REQUEST_KIND__REQUEST_ANSWER:
	case IBIS__REQUEST_KIND__REQUEST_CANCEL:
		render_job_reply(request, reply, output);
		break;
	case IBIS__REQUEST_KIND__REQUEST_METRICS:
		render_text_reply(reply, METRICS_CONTENT_TYPE, output);
		break;
	default:
		render_text_reply(reply, JSON_CONTENT_TYPE, output);
		break;
	}
}

void
api_render_error(const struct ibis_status *status, int32_t http_status,
    int64_t retry_after_ms, struct api_output *output)
{
	struct api_error error = {
	    .http_status = http_status,
	    .code = ibis_code_name(status->code),
	    .step = status->step,
	    .peer = status->peer,
	    .message = status->message,
	    .not_run = status->code != IBIS_UNKNOWN,
	    .retry_after_ms = retry_after_ms,
	};

	*output = (struct api_output){0};
	render_error(&error, output);
}
