#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/alloc.h"
#include "process/jsonc.h"
#include "process/settings.h"

#define STEP		 "settings"
#define MAX_PORT	 65535
#define READ_BLOCK_BYTES 4096
#define HOUR_MS		 3600000
#define DAY_MS		 (24 * HOUR_MS)

/* Bound on the time from the order to take a zone out of service to the last
 * start of a task there. */
#define MAX_ZONE_OUT_DELAY_MS 3000

/* One key with its default value and its description. */
struct settings_key {
	struct jsonc_field field;
	const char *default_json; /* an example if the key is required */
	const char *description;
	bool is_address; /* the value must be IP:PORT */
};

#define TEXT_KEY(member, text_type, mandatory, json, explanation, address) \
	{                                                                  \
		.field = {.key = #member,                                  \
		    .type = (text_type),                                   \
		    .required = (mandatory),                               \
		    .offset = offsetof(struct ibis_settings, member),      \
		    .bytes = SETTINGS_TEXT_BYTES},                         \
		.default_json = (json), .description = (explanation),      \
		.is_address = (address)                                    \
	}

#define CHOICE_KEY(member, list, json, explanation)                   \
	{                                                             \
		.field = {.key = #member,                             \
		    .type = JSONC_CHOICE,                             \
		    .offset = offsetof(struct ibis_settings, member), \
		    .choices = (list)},                               \
		.default_json = (json), .description = (explanation)  \
	}

#define NUMBER_KEY(member, minimum, maximum, number_unit, json, explanation) \
	{                                                                    \
		.field = {.key = #member,                                    \
		    .type = JSONC_INT32,                                     \
		    .offset = offsetof(struct ibis_settings, member),        \
		    .lowest = (minimum),                                     \
		    .highest = (maximum),                                    \
		    .unit = (number_unit)},                                  \
		.default_json = (json), .description = (explanation)         \
	}

static const char *const log_levels[] = {
    [LOG_DEBUG] = "debug",
    [LOG_INFO] = "info",
    [LOG_WARN] = "warn",
    [LOG_ERROR] = "error",
    NULL,
};

static const char *const policies[] = {
    [POLICY_GUARANTEED] = "guaranteed",
    [POLICY_FIRST_FIT] = "first-fit",
    NULL,
};

static const struct settings_key keys[] = {
    TEXT_KEY(name, JSONC_NAME, true, "\"entry-1\"",
	"Name of this instance, as in the platform's list", false),
    TEXT_KEY(availability_zone, JSONC_NAME, true, "\"zone-a\"",
	"Availability zone that this instance runs in", false),
    TEXT_KEY(pool, JSONC_NAME, false, "\"main\"",
	"Pool of endpoints that this instance serves", false),
    TEXT_KEY(caller_address, JSONC_TEXT, true, "\"127.0.0.1:7400\"",
	"IP:PORT for callers and operators; port 0 takes any", true),
    TEXT_KEY(peer_address, JSONC_TEXT, true, "\"127.0.0.1:7401\"",
	"IP:PORT for the other instances; port 0 takes any", true),
    TEXT_KEY(store_address, JSONC_TEXT, true, "\"127.0.0.1:7300\"",
	"IP:PORT of the platform's key-value service", true),
    CHOICE_KEY(log_level, log_levels, "\"info\"", "Lowest level logged"),
    NUMBER_KEY(log_event_lines_per_s, 1, 100000, "lines", "50",
	"Lines of one event a second; 20 times as many of warnings"),
    CHOICE_KEY(policy, policies, "\"guaranteed\"",
	"Placement policy; first-fit is a baseline for measurements"),
    NUMBER_KEY(segments, 1, 256, "keys", "16",
	"Store keys that share the job records; the same on all instances"),
    NUMBER_KEY(lead_lease_ms, 500, 60000, "ms", "3000",
	"Lease of the pool's lead; another instance takes over after it"),
    NUMBER_KEY(heartbeat_interval_ms, 20, 10000, "ms", "250",
	"Between heartbeats on a peer link"),
    NUMBER_KEY(peer_timeout_ms, 50, 60000, "ms", "1000",
	"Silence after which a peer link is replaced"),
    NUMBER_KEY(store_timeout_ms, 50, 60000, "ms", "1000",
	"Longest wait for an answer of the key-value service"),
    NUMBER_KEY(freshness_ms, 100, MAX_ZONE_OUT_DELAY_MS, "ms", "1500",
	"Age of the last confirmation up to which tasks are started"),
    NUMBER_KEY(reservation_ms, 100, MAX_ZONE_OUT_DELAY_MS, "ms", "1200",
	"Life of a reservation on a worker"),
    NUMBER_KEY(first_lease_ms, 100, 60000, "ms", "2000",
	"First lease of a task, until all of its gang have confirmed"),
    NUMBER_KEY(
	task_lease_ms, 500, HOUR_MS, "ms", "10000", "Lease of a running task"),
    NUMBER_KEY(worker_poll_ms, 20, 10000, "ms", "200",
	"Between calls to a worker with nothing else to say"),
    NUMBER_KEY(worker_timeout_ms, 50, 60000, "ms", "700",
	"Longest wait for an answer of a worker"),
    NUMBER_KEY(worker_lost_ms, 100, HOUR_MS, "ms", "5000",
	"Silence after which a worker counts as lost"),
    NUMBER_KEY(drain_ms, 0, DAY_MS, "ms", "30000",
	"Longest wait for open requests at a planned stop"),
    NUMBER_KEY(tombstone_retention_ms, 60000, 7 * DAY_MS, "ms", "86400000",
	"How long an ended job is kept for repeated submissions"),
    NUMBER_KEY(max_wait_ms, 0, HOUR_MS, "ms", "120000",
	"Longest wait that a caller may ask for"),
    NUMBER_KEY(max_body_bytes, 1024, 1048576, "bytes", "262144",
	"Largest body of a request"),
    NUMBER_KEY(max_bodies_bytes, 2097152, 1073741824, "bytes", "67108864",
	"All bodies that are being received; more are refused as not run"),
    NUMBER_KEY(max_answer_bytes, 1024, 1048576, "bytes", "524288",
	"Largest answer of a job"),
    NUMBER_KEY(max_connections, 8, 100000, "connections", "4000",
	"Open connections of callers"),
    NUMBER_KEY(max_queued_jobs, 1, 1000000, "jobs", "20000",
	"Queued jobs of all workspaces; more are refused as not run"),
    NUMBER_KEY(reclaim_bound_ms, 100, 600000, "ms", "4200",
	"Within it, capacity on loan is back with its owner"),
    NUMBER_KEY(zone_return_ramp_ms, 0, HOUR_MS, "ms", "10000",
	"From a zone's return to its full use"),
    NUMBER_KEY(
	max_attempts, 1, 100, "attempts", "5", "Attempts to start one job"),
};

/* Pairs of numeric keys; the first value must be below the second. */
static const struct {
	const char *lower;
	const char *higher;
} ordered_pairs[] = {
    {"first_lease_ms", "task_lease_ms"},
    {"heartbeat_interval_ms", "peer_timeout_ms"},
    {"heartbeat_interval_ms", "freshness_ms"},
    {"store_timeout_ms", "lead_lease_ms"},
    {"worker_poll_ms", "worker_lost_ms"},
    {"worker_timeout_ms", "worker_lost_ms"},
    {"worker_timeout_ms", "first_lease_ms"},
};

static const struct settings_key *
find_key(const char *name)
{
	for (size_t i = 0; i < COUNT_OF(keys); i++) {
		if (strcmp(keys[i].field.key, name) == 0)
			return &keys[i];
	}
	return NULL;
}

/* Copies the fields of all keys as optional ones, since a required key may be
 * missing from the file and given as an override. */
static void
copy_optional_fields(struct jsonc_field fields[COUNT_OF(keys)])
{
	for (size_t i = 0; i < COUNT_OF(keys); i++) {
		fields[i] = keys[i].field;
		fields[i].required = false;
	}
}

static enum ibis_code
read_text(struct ibis_settings *settings, const char *text, const char *source,
    struct ibis_status *status)
{
	CLEANUP(jsonc_free) struct jsonc json = {0};
	struct jsonc_field fields[COUNT_OF(keys)];
	struct jsonc_node root;

	if (!jsonc_parse(&json, text, STEP, source, status))
		return IBIS_INVALID;
	copy_optional_fields(fields);
	root = jsonc_root(&json);
	return jsonc_read_fields(
	    &root, fields, COUNT_OF(fields), settings, status);
}

static bool
has_string_value(const struct settings_key *key)
{
	return key->field.type == JSONC_TEXT || key->field.type == JSONC_NAME ||
	    key->field.type == JSONC_CHOICE;
}

/* Returns whether a text has none of the characters that separate or enclose
 * JSON values, so that an override can't add another key. */
static bool
is_bare_token(const char *text)
{
	return text[strcspn(text, ",:\"{}[] \t\r\n")] == '\0';
}

static void
append_json_string(struct buffer *text, const char *string)
{
	struct json_object *value = json_object_new_string(string);

	buffer_puts(text,
	    json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN));
	json_object_put(value);
}

/* Parses an override KEY=VALUE as the text {"KEY": VALUE}. An unknown key gets
 * a placeholder value, and jsonc reports it. */
static enum ibis_code
read_override(struct ibis_settings *settings, const char *override,
    struct ibis_status *status)
{
	CLEANUP(buffer_free) struct buffer source = {0};
	CLEANUP(buffer_free) struct buffer text = {0};
	CLEANUP(mem_free_string) char *name = NULL;
	const char *equals = strchr(override, '=');
	const struct settings_key *key;

	if (equals == NULL)
		return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
		    "override %s: expected KEY=VALUE", override);
	name = mem_strndup(override, (size_t)(equals - override));
	key = find_key(name);
	buffer_printf(&source, "override %s", override);
	buffer_puts(&text, "{");
	append_json_string(&text, name);
	buffer_puts(&text, ": ");
	if (key == NULL)
		buffer_puts(&text, "0");
	else if (has_string_value(key) || !is_bare_token(equals + 1))
		append_json_string(&text, equals + 1);
	else
		buffer_puts(&text, equals + 1);
	buffer_puts(&text, "}");
	return read_text(
	    settings, buffer_string(&text), buffer_string(&source), status);
}

static void
read_defaults(struct ibis_settings *settings)
{
	CLEANUP(buffer_free) struct buffer text = {0};

	buffer_puts(&text, "{");
	for (size_t i = 0; i < COUNT_OF(keys); i++) {
		if (!keys[i].field.required)
			buffer_printf(&text, "%s\"%s\": %s",
			    text.length > 1 ? "," : "", keys[i].field.key,
			    keys[i].default_json);
	}
	buffer_puts(&text, "}");
	(void)read_text(settings, buffer_string(&text), "defaults", NULL);
}

static const char *
key_text(const struct ibis_settings *settings, const struct settings_key *key)
{
	return (const char *)settings + key->field.offset;
}

static int32_t
key_number(const struct ibis_settings *settings, const char *name)
{
	const struct settings_key *key = find_key(name);

	return *(const int32_t *)((const char *)settings + key->field.offset);
}

static bool
is_port(const char *text)
{
	size_t digits = strspn(text, "0123456789");

	return digits > 0 && digits <= 5 && text[digits] == '\0' &&
	    strtol(text, NULL, 10) <= MAX_PORT;
}

/* Returns whether a text is IPv4:PORT or [IPv6]:PORT. */
static bool
is_ip_port(const char *text)
{
	char host[SETTINGS_TEXT_BYTES];
	struct in6_addr binary;
	const char *colon = strrchr(text, ':');
	size_t length;

	if (colon == NULL || !is_port(colon + 1))
		return false;
	length = (size_t)(colon - text);
	if (!string_copy_part(host, sizeof(host), text, length))
		return false;
	if (host[0] != '[')
		return inet_pton(AF_INET, host, &binary) == 1;
	if (length < 2 || host[length - 1] != ']')
		return false;
	host[length - 1] = '\0';
	return inet_pton(AF_INET6, host + 1, &binary) == 1;
}

static enum ibis_code
check_text_values(
    const struct ibis_settings *settings, struct ibis_status *status)
{
	for (size_t i = 0; i < COUNT_OF(keys); i++) {
		const struct settings_key *key = &keys[i];

		if (key->field.required && *key_text(settings, key) == '\0')
			return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
			    "%s: missing; it has no default", key->field.key);
		if (key->is_address && !is_ip_port(key_text(settings, key)))
			return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
			    "%s: \"%s\"; expected IP:PORT", key->field.key,
			    key_text(settings, key));
	}
	return IBIS_OK;
}

static enum ibis_code
check_combinations(
    const struct ibis_settings *settings, struct ibis_status *status)
{
	int32_t delay_ms = settings->freshness_ms + settings->reservation_ms;

	if (delay_ms > MAX_ZONE_OUT_DELAY_MS)
		return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
		    "freshness_ms + reservation_ms: %" PRId32
		    "; expected at most %d",
		    delay_ms, MAX_ZONE_OUT_DELAY_MS);
	for (size_t i = 0; i < COUNT_OF(ordered_pairs); i++) {
		int32_t lower = key_number(settings, ordered_pairs[i].lower);
		int32_t higher = key_number(settings, ordered_pairs[i].higher);

		if (lower >= higher)
			return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
			    "%s: %" PRId32 "; expected below %s, %" PRId32,
			    ordered_pairs[i].lower, lower,
			    ordered_pairs[i].higher, higher);
	}
	return IBIS_OK;
}

static enum ibis_code
read_and_check(struct ibis_settings *settings, const char *text,
    const char *source, const char *const *overrides, size_t count,
    struct ibis_status *status)
{
	enum ibis_code code = read_text(settings, text, source, status);

	for (size_t i = 0; i < count && code == IBIS_OK; i++)
		code = read_override(settings, overrides[i], status);
	if (code == IBIS_OK)
		code = check_text_values(settings, status);
	if (code == IBIS_OK)
		code = check_combinations(settings, status);
	return code;
}

struct ibis_settings *
settings_parse(const char *text, const char *source,
    const char *const *overrides, size_t count, struct ibis_status *status)
{
	struct ibis_settings *settings = mem_calloc(1, sizeof(*settings));

	read_defaults(settings);
	if (read_and_check(settings, text, source, overrides, count, status) ==
	    IBIS_OK)
		return settings;
	mem_free(settings);
	return NULL;
}

static void
close_file(FILE **file)
{
	if (*file != NULL)
		(void)fclose(*file);
}

static enum ibis_code
read_file(const char *path, struct buffer *text, struct ibis_status *status)
{
	CLEANUP(close_file) FILE *file = fopen(path, "re");
	char block[READ_BLOCK_BYTES];
	size_t length;

	if (file == NULL)
		return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
		    "%s: %s", path, strerror(errno));
	while ((length = fread(block, 1, sizeof(block), file)) > 0 &&
	    text->length <= JSONC_MAX_BYTES)
		buffer_append(text, block, length);
	if (ferror(file) != 0)
		return ibis_status_set(
		    status, IBIS_INVALID, STEP, NULL, "%s: read error", path);
	if (strlen(buffer_string(text)) != text->length)
		return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
		    "%s: holds a NUL character", path);
	return IBIS_OK;
}

struct ibis_settings *
ibis_settings_read(const char *path, const char *const *overrides, size_t count,
    struct ibis_status *status)
{
	CLEANUP(buffer_free) struct buffer text = {0};

	if (read_file(path, &text, status) != IBIS_OK)
		return NULL;
	return settings_parse(
	    buffer_string(&text), path, overrides, count, status);
}

void
ibis_settings_free(struct ibis_settings *settings)
{
	mem_free(settings);
}

static void
append_range(struct buffer *text, const struct jsonc_field *field)
{
	if (field->type == JSONC_INT32)
		buffer_printf(text, "; %.10g to %.10g %s", field->lowest,
		    field->highest, field->unit);
	for (size_t i = 0; field->choices != NULL && field->choices[i] != NULL;
	     i++)
		buffer_printf(
		    text, "%s%s", i > 0 ? ", " : "; ", field->choices[i]);
	if (field->required)
		buffer_puts(text, "; no default");
}

void
settings_write_defaults(struct buffer *text)
{
	buffer_puts(text, "{\n");
	for (size_t i = 0; i < COUNT_OF(keys); i++) {
		buffer_printf(text, "  // %s", keys[i].description);
		append_range(text, &keys[i].field);
		buffer_printf(text, ".\n  \"%s\": %s%s\n", keys[i].field.key,
		    keys[i].default_json, i + 1 < COUNT_OF(keys) ? "," : "");
	}
	buffer_puts(text, "}\n");
}

void
ibis_settings_print_defaults(void)
{
	CLEANUP(buffer_free) struct buffer text = {0};

	settings_write_defaults(&text);
	(void)fputs(buffer_string(&text), stdout);
}
