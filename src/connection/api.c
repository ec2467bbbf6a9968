/* Parses HTTP requests; see api.h. */
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <json-c/json.h>

#include "connection/api.h"
#include "process/alloc.h"
#include "process/json_limits.h"
#include "process/proto_memory.h"
#include "request/job.h"

#define REQUEST_STEP		     "request"
#define SUBMIT_STEP		     "submit"
#define IDEMPOTENCY_KEY_RANDOM_BYTES 16
#define PATH_SEGMENT_BYTES	     128
#define MAX_JSON_DEPTH		     4
#define MAX_NUMBER_DIGITS	     20
#define MAX_QUOTED_BYTES	     40
#define JSON_PARSE_FLAGS	     (JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8)

/* A method and path of the API. "*" in the pattern matches one path segment. */
struct operation {
	const char *method;
	const char *pattern;
	Ibis__RequestKind kind;
};

static const struct operation operations[] = {
    {"POST", "/v1/jobs", IBIS__REQUEST_KIND__REQUEST_SUBMIT},
    {"GET", "/v1/jobs", IBIS__REQUEST_KIND__REQUEST_JOBS},
    {"GET", "/v1/jobs/*", IBIS__REQUEST_KIND__REQUEST_JOB},
    {"GET", "/v1/jobs/*/answer", IBIS__REQUEST_KIND__REQUEST_ANSWER},
    {"DELETE", "/v1/jobs/*", IBIS__REQUEST_KIND__REQUEST_CANCEL},
    {"GET", "/v1/document", IBIS__REQUEST_KIND__REQUEST_DOCUMENT},
    {"PUT", "/v1/document", IBIS__REQUEST_KIND__REQUEST_PUT_DOCUMENT},
    {"GET", "/v1/document/status", IBIS__REQUEST_KIND__REQUEST_DOCUMENT_STATUS},
    {"GET", "/v1/document/sections/*", IBIS__REQUEST_KIND__REQUEST_SECTION},
    {"PUT", "/v1/document/sections/*", IBIS__REQUEST_KIND__REQUEST_PUT_SECTION},
    {"GET", "/v1/availability-zones", IBIS__REQUEST_KIND__REQUEST_ZONES},
    {"POST", "/v1/availability-zones/*/out",
	IBIS__REQUEST_KIND__REQUEST_ZONE_OUT},
    {"POST", "/v1/availability-zones/*/in",
	IBIS__REQUEST_KIND__REQUEST_ZONE_IN},
    {"GET", "/v1/endpoints", IBIS__REQUEST_KIND__REQUEST_ENDPOINTS},
    {"GET", "/v1/instances", IBIS__REQUEST_KIND__REQUEST_INSTANCES},
    {"GET", "/v1/status", IBIS__REQUEST_KIND__REQUEST_STATUS},
    {"GET", "/v1/report/slo-burn", IBIS__REQUEST_KIND__REQUEST_SLO_BURN},
    {"GET", "/metrics", IBIS__REQUEST_KIND__REQUEST_METRICS},
    {"GET", "/livez", IBIS__REQUEST_KIND__REQUEST_LIVE},
    {"GET", "/readyz", IBIS__REQUEST_KIND__REQUEST_READY},
};

/*
 * Returns whether a path matches a pattern. Copies the segment matched by "*",
 * or "" when the pattern has none.
 */
static bool
path_matches(
    const char *pattern, const char *path, char name[PATH_SEGMENT_BYTES])
{
	size_t length;

	name[0] = '\0';
	while (*pattern != '\0') {
		if (*pattern != '*') {
			if (*pattern++ != *path++)
				return false;
			continue;
		}
		pattern++;
		length = strcspn(path, "/");
		if (length == 0 || length >= PATH_SEGMENT_BYTES)
			return false;
		(void)string_copy_part(name, PATH_SEGMENT_BYTES, path, length);
		path += length;
	}
	return *path == '\0';
}

/*
 * Finds the operation for a method and path. On failure returns NULL; when only
 * the method is wrong, status lists the methods that the path accepts.
 */
static const struct operation *
find_operation(const struct api_input *input, char name[PATH_SEGMENT_BYTES],
    struct ibis_status *status)
{
	CLEANUP(buffer_free) struct buffer methods = {0};

	for (size_t i = 0; i < COUNT_OF(operations); i++) {
		const struct operation *operation = &operations[i];

		if (!path_matches(operation->pattern, input->path, name))
			continue;
		if (strcmp(operation->method, input->method) == 0)
			return operation;
		buffer_printf(&methods, "%s%s",
		    methods.length > 0 ? " or " : "", operation->method);
	}
	if (methods.length > 0)
		(void)ibis_status_set(status, IBIS_INVALID, REQUEST_STEP, NULL,
		    "method %.16s on %.100s; expected %s", input->method,
		    input->path, buffer_string(&methods));
	else
		(void)ibis_status_set(status, IBIS_NOT_FOUND, REQUEST_STEP,
		    NULL, "no such path: %.160s", input->path);
	return NULL;
}

/* Parses an unsigned decimal number; NULL leaves *number unchanged. */
static enum ibis_code
parse_number(const char *field, const char *text, uint64_t *number,
    struct ibis_status *status)
{
	if (text == NULL)
		return IBIS_OK;
	errno = 0;
	if (*text != '\0' && strspn(text, "0123456789") == strlen(text) &&
	    strlen(text) <= MAX_NUMBER_DIGITS) {
		*number = strtoull(text, NULL, 10);
		if (errno == 0)
			return IBIS_OK;
	}
	return ibis_status_set(status, IBIS_INVALID, REQUEST_STEP, NULL,
	    "%s: \"%.*s\"; expected a whole number of 0 or more", field,
	    MAX_QUOTED_BYTES, text);
}

static enum ibis_code
parse_wait(const struct api_input *input, Ibis__Request *request,
    struct ibis_status *status)
{
	uint64_t wait_ms = 0;
	enum ibis_code code;

	code = parse_number("wait_ms", input->wait_ms, &wait_ms, status);
	if (wait_ms > (uint64_t)input->max_wait_ms)
		wait_ms = (uint64_t)input->max_wait_ms;
	request->wait_ms = (int64_t)wait_ms;
	return code;
}

/* Parses If-Match, a number with or without the quotes of an entity tag. */
static enum ibis_code
parse_if_match(const struct api_input *input, Ibis__Request *request,
    struct ibis_status *status)
{
	CLEANUP(mem_free_string) char *text = mem_strdup(input->if_match);
	const char *number = text;
	size_t length;

	if (text == NULL)
		return IBIS_OK;
	length = strlen(text);
	if (length >= 2 && text[0] == '"' && text[length - 1] == '"') {
		text[length - 1] = '\0';
		number = text + 1;
	}
	return parse_number("If-Match", number, &request->if_match, status);
}

static enum ibis_code
parse_dry_run(const struct api_input *input, Ibis__Request *request,
    struct ibis_status *status)
{
	const char *text = input->dry_run;

	if (text == NULL || strcmp(text, "0") == 0)
		return IBIS_OK;
	request->dry_run = true;
	if (strcmp(text, "1") == 0)
		return IBIS_OK;
	return ibis_status_set(status, IBIS_INVALID, REQUEST_STEP, NULL,
	    "dry_run: \"%.*s\"; expected 0 or 1", MAX_QUOTED_BYTES, text);
}

enum field_type {
	FIELD_TEXT,
	FIELD_COUNT, /* uint32_t */
	FIELD_TIME,  /* int64_t, in milliseconds */
	FIELD_BOOL,
	FIELD_ADJACENCY
};

/* A key of a submission's JSON object and its member in Ibis__JobSpec. */
struct field {
	const char *key;
	enum field_type type;
	bool required;
	size_t offset;
};

#define SPEC_FIELD(key, type, required, member)                            \
	{                                                                  \
		(key), (type), (required), offsetof(Ibis__JobSpec, member) \
	}

static const struct field fields[] = {
    SPEC_FIELD("workspace", FIELD_TEXT, true, workspace),
    SPEC_FIELD("class", FIELD_TEXT, true, request_class),
    SPEC_FIELD("tasks", FIELD_COUNT, true, tasks),
    SPEC_FIELD(
	"accelerators_per_task", FIELD_COUNT, true, accelerators_per_task),
    SPEC_FIELD("run_time_ms", FIELD_TIME, true, run_time_ms),
    SPEC_FIELD("adjacency", FIELD_ADJACENCY, false, adjacency),
    SPEC_FIELD("deadline_ms", FIELD_TIME, false, deadline_ms),
    SPEC_FIELD("idempotent", FIELD_BOOL, false, idempotent),
    SPEC_FIELD("checkpointable", FIELD_BOOL, false, checkpointable),
    SPEC_FIELD("payload", FIELD_TEXT, false, payload),
};

static enum ibis_code
set_value_error(const struct field *field, struct json_object *value,
    const char *expected, struct ibis_status *status)
{
	return ibis_status_set(status, IBIS_INVALID, SUBMIT_STEP, NULL,
	    "%s: %.*s; expected %s", field->key, MAX_QUOTED_BYTES,
	    json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN),
	    expected);
}

static enum ibis_code
read_text(const struct field *field, struct json_object *value, char **target,
    struct ibis_status *status)
{
	const char *text = json_object_get_string(value);

	if (!json_object_is_type(value, json_type_string))
		return set_value_error(field, value, "a string", status);
	if (strlen(text) != (size_t)json_object_get_string_len(value))
		return ibis_status_set(status, IBIS_INVALID, SUBMIT_STEP, NULL,
		    "%s: contains a NUL character at byte %zu; expected text "
		    "without NUL",
		    field->key, strlen(text));
	proto_set_string(target, text);
	return IBIS_OK;
}

static enum ibis_code
read_count(const struct field *field, struct json_object *value,
    uint32_t *target, struct ibis_status *status)
{
	int64_t number = json_object_get_int64(value);

	if (!json_object_is_type(value, json_type_int) || number < 1 ||
	    number > UINT32_MAX)
		return set_value_error(
		    field, value, "a whole number of 1 or more", status);
	*target = (uint32_t)number;
	return IBIS_OK;
}

static enum ibis_code
read_time(const struct field *field, struct json_object *value, int64_t *target,
    struct ibis_status *status)
{
	if (!json_object_is_type(value, json_type_int))
		return set_value_error(
		    field, value, "a whole number of milliseconds", status);
	*target = json_object_get_int64(value);
	return IBIS_OK;
}

static enum ibis_code
read_adjacency(const struct field *field, struct json_object *value,
    Ibis__Adjacency *target, struct ibis_status *status)
{
	const Ibis__Adjacency all[] = {
	    IBIS__ADJACENCY__ADJACENCY_ANY,
	    IBIS__ADJACENCY__ADJACENCY_ZONE,
	    IBIS__ADJACENCY__ADJACENCY_RACK,
	    IBIS__ADJACENCY__ADJACENCY_WORKER,
	};

	for (size_t i = 0; i < COUNT_OF(all); i++) {
		if (json_object_is_type(value, json_type_string) &&
		    strcmp(json_object_get_string(value),
			job_adjacency_name(all[i])) == 0) {
			*target = all[i];
			return IBIS_OK;
		}
	}
	return set_value_error(
	    field, value, "\"any\", \"zone\", \"rack\" or \"worker\"", status);
}

static enum ibis_code
read_field(const struct field *field, struct json_object *value,
    Ibis__JobSpec *spec, struct ibis_status *status)
{
	void *target = (char *)spec + field->offset;

	switch (field->type) {
	case FIELD_TEXT:
		return read_text(field, value, target, status);
	case FIELD_COUNT:
		return read_count(field, value, target, status);
	case FIELD_TIME:
		return read_time(field, value, target, status);
	case FIELD_ADJACENCY:
		return read_adjacency(field, value, target, status);
	case FIELD_BOOL:
		if (!json_object_is_type(value, json_type_boolean))
			return set_value_error(
			    field, value, "true or false", status);
		*(protobuf_c_boolean *)target = json_object_get_boolean(value);
		return IBIS_OK;
	}
	return IBIS_INTERNAL;
}

/* Refuses unknown keys, so that a misspelt optional one is not ignored. */
static enum ibis_code
check_keys(struct json_object *body, struct ibis_status *status)
{
	CLEANUP(buffer_free) struct buffer known_keys = {0};

	for (size_t i = 0; i < COUNT_OF(fields); i++)
		buffer_printf(
		    &known_keys, "%s%s", i > 0 ? ", " : "", fields[i].key);
	json_object_object_foreach(body, key, value)
	{
		bool found = false;

		(void)value;
		for (size_t i = 0; i < COUNT_OF(fields); i++)
			found = found || strcmp(fields[i].key, key) == 0;
		if (!found)
			return ibis_status_set(status, IBIS_INVALID,
			    SUBMIT_STEP, NULL,
			    "unknown key \"%.*s\"; expected one of %s",
			    MAX_QUOTED_BYTES, key, buffer_string(&known_keys));
	}
	return IBIS_OK;
}

static enum ibis_code
read_spec(
    struct json_object *body, Ibis__JobSpec *spec, struct ibis_status *status)
{
	enum ibis_code code = check_keys(body, status);

	for (size_t i = 0; code == IBIS_OK && i < COUNT_OF(fields); i++) {
		struct json_object *value;

		if (json_object_object_get_ex(body, fields[i].key, &value))
			code = read_field(&fields[i], value, spec, status);
		else if (fields[i].required)
			code = ibis_status_set(status, IBIS_INVALID,
			    SUBMIT_STEP, NULL, "%s: missing; it is required",
			    fields[i].key);
	}
	return code;
}

static void
release_object(struct json_object **object)
{
	(void)json_object_put(*object);
}

static void
free_tokener(struct json_tokener **tokener)
{
	json_tokener_free(*tokener);
}

static enum ibis_code
set_body_error(const char *problem, size_t position, size_t length,
    struct ibis_status *status)
{
	return ibis_status_set(status, IBIS_INVALID, SUBMIT_STEP, NULL,
	    "body: %s at byte %zu of %zu; expected one JSON object", problem,
	    position, length);
}

/*
 * Parses a body that is exactly one JSON object. Returns NULL and fills status
 * otherwise; the caller releases the object.
 */
static struct json_object *
parse_object(const char *text, size_t length, struct ibis_status *status)
{
	CLEANUP(free_tokener)
	struct json_tokener *tokener = json_tokener_new_ex(MAX_JSON_DEPTH);
	struct json_object *object;
	enum json_tokener_error error;
	const char *problem;
	size_t end;

	if (!json_limits_allow(text, length)) {
		(void)set_body_error("a single quote, a comment or too many "
				     "values",
		    length, length, status);
		return NULL;
	}
	json_tokener_set_flags(tokener, JSON_PARSE_FLAGS);
	object = json_tokener_parse_ex(tokener, text, (int)length);
	error = json_tokener_get_error(tokener);
	end = json_tokener_get_parse_end(tokener);
	while (object != NULL && end < length &&
	    strchr(" \t\r\n", text[end]) != NULL && text[end] != '\0')
		end++;
	if (json_object_is_type(object, json_type_object) && end == length)
		return object;
	(void)json_object_put(object);
	if (error == json_tokener_success)
		problem = "unexpected text";
	else if (error == json_tokener_continue)
		problem = "unexpected end";
	else
		problem = json_tokener_error_desc(error);
	(void)set_body_error(problem, end, length, status);
	return NULL;
}

/* Sets a random key that no other submission uses. */
static void
generate_idempotency_key(char **key)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	unsigned char bytes[IDEMPOTENCY_KEY_RANDOM_BYTES];

	if (getentropy(bytes, sizeof(bytes)) != 0)
		abort();
	for (size_t i = 0; i < sizeof(bytes); i++)
		buffer_printf(&text, "%02x", bytes[i]);
	proto_set_string(key, buffer_string(&text));
}

static enum ibis_code
parse_submission(const struct api_input *input, Ibis__Request *request,
    struct ibis_status *status)
{
	CLEANUP(release_object) struct json_object *body = NULL;
	enum ibis_code code;

	body = parse_object(
	    input->body == NULL ? "" : input->body, input->body_length, status);
	if (body == NULL)
		return IBIS_INVALID;
	request->spec = mem_calloc(1, sizeof(*request->spec));
	ibis__job_spec__init(request->spec);
	code = read_spec(body, request->spec, status);
	if (code != IBIS_OK)
		return code;
	if (input->idempotency_key != NULL)
		proto_set_string(
		    &request->spec->idempotency_key, input->idempotency_key);
	else
		generate_idempotency_key(&request->spec->idempotency_key);
	return job_spec_check(request->spec, status);
}

static enum ibis_code
parse_job_id(
    const char *text, Ibis__Request *request, struct ibis_status *status)
{
	struct job_id id;

	if (!job_id_parse(text, &id))
		return ibis_status_set(status, IBIS_INVALID, REQUEST_STEP, NULL,
		    "job id \"%.*s\"; expected 32 hexadecimal digits in lower "
		    "case",
		    MAX_QUOTED_BYTES, text);
	proto_set_string(&request->job, text);
	return IBIS_OK;
}

static enum ibis_code
parse_text_body(const struct api_input *input, Ibis__Request *request,
    struct ibis_status *status)
{
	CLEANUP(mem_free_string) char *body = NULL;

	if (input->body_length == 0)
		return ibis_status_set(status, IBIS_INVALID, REQUEST_STEP, NULL,
		    "body: missing; expected JSON text");
	body = mem_strndup(input->body, input->body_length);
	if (strlen(body) != input->body_length)
		return ibis_status_set(status, IBIS_INVALID, REQUEST_STEP, NULL,
		    "body: contains a NUL at byte %zu; expected JSON text",
		    strlen(body));
	proto_set_string(&request->body, body);
	return IBIS_OK;
}

/* Parses the parameters and body of a change to the document or a section. */
static enum ibis_code
parse_document_edit(const struct api_input *input, Ibis__Request *request,
    struct ibis_status *status)
{
	enum ibis_code code = parse_if_match(input, request, status);

	if (code == IBIS_OK)
		code = parse_dry_run(input, request, status);
	if (code == IBIS_OK)
		code = parse_text_body(input, request, status);
	return code;
}

static enum ibis_code
parse_name(const char *text, Ibis__Request *request, struct ibis_status *status)
{
	if (strlen(text) >= JOB_NAME_BYTES)
		return ibis_status_set(status, IBIS_INVALID, REQUEST_STEP, NULL,
		    "name \"%.*s...\"; expected at most %d bytes",
		    MAX_QUOTED_BYTES, text, JOB_NAME_BYTES - 1);
	proto_set_string(&request->name, text);
	return IBIS_OK;
}

/* Parses the parameters and body that the request's kind takes. */
static enum ibis_code
parse_content(const struct api_input *input, const char *name,
    Ibis__Request *request, struct ibis_status *status)
{
	enum ibis_code code = parse_wait(input, request, status);

	if (code != IBIS_OK)
		return code;
	switch (request->kind) {
	case IBIS__REQUEST_KIND__REQUEST_SUBMIT:
		return parse_submission(input, request, status);
	case IBIS__REQUEST_KIND__REQUEST_JOB:
	case IBIS__REQUEST_KIND__REQUEST_ANSWER:
	case IBIS__REQUEST_KIND__REQUEST_CANCEL:
		return parse_job_id(name, request, status);
	case IBIS__REQUEST_KIND__REQUEST_PUT_SECTION:
		code = parse_name(name, request, status);
		return code == IBIS_OK
		    ? parse_document_edit(input, request, status)
		    : code;
	case IBIS__REQUEST_KIND__REQUEST_PUT_DOCUMENT:
		return parse_document_edit(input, request, status);
	case IBIS__REQUEST_KIND__REQUEST_SECTION:
	case IBIS__REQUEST_KIND__REQUEST_ZONE_OUT:
	case IBIS__REQUEST_KIND__REQUEST_ZONE_IN:
		return parse_name(name, request, status);
	default:
		return IBIS_OK;
	}
}

Ibis__Request *
api_parse(const struct api_input *input, struct ibis_status *status)
{
	const struct operation *operation;
	Ibis__Request *request;
	char name[PATH_SEGMENT_BYTES];

	operation = find_operation(input, name, status);
	if (operation == NULL)
		return NULL;
	request = mem_calloc(1, sizeof(*request));
	ibis__request__init(request);
	request->kind = operation->kind;
	if (parse_content(input, name, request, status) == IBIS_OK)
		return request;
	ibis__request__free_unpacked(request, proto_allocator());
	return NULL;
}
