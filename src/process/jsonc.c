#include <errno.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "process/alloc.h"
#include "process/jsonc.h"
#include "process/jsonc_scan.h"

#define NAME_CHARACTERS \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"
/* Of a key with its NUL; longer keys are not compared. */
#define MAX_SUGGESTION_BYTES 48
/* Largest edit distance from the misspelt key to a suggested one. */
#define MAX_SUGGESTION_EDITS 4

static enum ibis_code
error_at(const struct jsonc *json, size_t offset, struct ibis_status *status,
    const char *message)
{
	struct jsonc_position position =
	    jsonc_scan_position(json->text, offset);

	return ibis_status_set(status, IBIS_INVALID, json->step, NULL,
	    "%s, line %zu, column %zu: %s", json->source, position.line,
	    position.column, message);
}

static bool
parse_text(struct jsonc *json, struct ibis_status *status)
{
	struct json_tokener *tokener = json_tokener_new_ex(JSONC_MAX_DEPTH);
	size_t length = strlen(json->text);
	enum json_tokener_error error;
	size_t end;

	if (tokener == NULL) {
		ibis_status_set(status, IBIS_NO_MEMORY, json->step, NULL,
		    "%s: no memory", json->source);
		return false;
	}
	json_tokener_set_flags(
	    tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
	/* Including the NUL, which tells json-c that the text is complete. */
	json->root =
	    json_tokener_parse_ex(tokener, json->text, (int)length + 1);
	error = json_tokener_get_error(tokener);
	end = json_tokener_get_parse_end(tokener);
	json_tokener_free(tokener);
	if (error == json_tokener_continue)
		error = json_tokener_error_parse_eof;
	if (error == json_tokener_success)
		return true;
	error_at(json, end, status, json_tokener_error_desc(error));
	return false;
}

static bool
check_keys(const struct jsonc *json, struct ibis_status *status)
{
	size_t offset = jsonc_scan_skip_space(json->text, 0);

	switch (jsonc_scan_check_keys(json->text, &offset)) {
	case JSONC_KEY_VALID:
		return true;
	case JSONC_KEY_REPEATED:
		error_at(json, offset, status,
		    "key repeated; expected each key once");
		return false;
	case JSONC_KEY_ESCAPED:
		error_at(json, offset, status,
		    "key with an escape; expected plain characters");
		return false;
	}
	return false;
}

bool
jsonc_parse(struct jsonc *json, const char *text, const char *step,
    const char *source, struct ibis_status *status)
{
	size_t at;

	*json = (struct jsonc){.step = step, .source = source};
	if (strnlen(text, JSONC_MAX_BYTES + 1) > JSONC_MAX_BYTES) {
		ibis_status_set(status, IBIS_INVALID, step, NULL,
		    "%s: longer than %d bytes", source, JSONC_MAX_BYTES);
		return false;
	}
	json->text = mem_strdup(text);
	if (!jsonc_scan_blank_comments(json->text, &at)) {
		error_at(json, at, status, "comment without an end");
		return false;
	}
	return parse_text(json, status) && check_keys(json, status);
}

void
jsonc_free(struct jsonc *json)
{
	json_object_put(json->root);
	mem_free(json->text);
	*json = (struct jsonc){0};
}

struct jsonc_node
jsonc_root(const struct jsonc *json)
{
	return (struct jsonc_node){.json = json, .value = json->root};
}

bool
jsonc_member(
    const struct jsonc_node *object, const char *key, struct jsonc_node *member)
{
	*member = (struct jsonc_node){
	    .json = object->json,
	    .parent = object,
	    .key = key,
	};
	return json_object_object_get_ex(object->value, key, &member->value);
}

struct jsonc_node
jsonc_element(const struct jsonc_node *array, size_t index)
{
	return (struct jsonc_node){
	    .json = array->json,
	    .parent = array,
	    .index = index,
	    .value = json_object_array_get_idx(array->value, index),
	};
}

/* Finds the offsets of a node's value and key. An array element and the root
 * have no key; *key is then the offset of the value. */
static bool
locate_node(const struct jsonc_node *node, size_t *key, size_t *value)
{
	size_t parent_key;
	size_t parent;

	if (node->parent == NULL) {
		*value = jsonc_scan_skip_space(node->json->text, 0);
		*key = *value;
		return true;
	}
	if (!locate_node(node->parent, &parent_key, &parent))
		return false;
	if (node->key != NULL)
		return jsonc_scan_member(
		    node->json->text, parent, node->key, key, value);
	if (!jsonc_scan_element(node->json->text, parent, node->index, value))
		return false;
	*key = *value;
	return true;
}

bool
jsonc_extent(const struct jsonc_node *node, size_t *first, size_t *length)
{
	size_t key;

	if (!locate_node(node, &key, first))
		return false;
	*length = jsonc_scan_skip_value(node->json->text, *first) - *first;
	return true;
}

/* Appends the path of a node from the root, like "workers[2].name". */
static void
append_path(const struct jsonc_node *node, struct buffer *path)
{
	if (node->parent == NULL)
		return;
	append_path(node->parent, path);
	if (node->key == NULL)
		buffer_printf(path, "[%zu]", node->index);
	else
		buffer_printf(
		    path, "%s%s", path->length > 0 ? "." : "", node->key);
}

enum ibis_code
jsonc_error(const struct jsonc_node *node, struct ibis_status *status,
    const char *format, ...)
{
	CLEANUP(buffer_free) struct buffer message = {0};
	char text[IBIS_MESSAGE_BYTES];
	va_list arguments;
	size_t value = 0;
	size_t key = 0;

	va_start(arguments, format);
	(void)vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	append_path(node, &message);
	if (message.length > 0)
		buffer_puts(&message, ": ");
	buffer_puts(&message, text);
	(void)locate_node(node, &key, &value);
	return error_at(node->json, key, status, buffer_string(&message));
}

enum ibis_code
jsonc_require_object(const struct jsonc_node *node, struct ibis_status *status)
{
	if (json_object_is_type(node->value, json_type_object))
		return IBIS_OK;
	return jsonc_error(node, status, "expected an object");
}

enum ibis_code
jsonc_require_array(const struct jsonc_node *node, size_t lowest,
    size_t highest, struct ibis_status *status)
{
	size_t length;

	if (!json_object_is_type(node->value, json_type_array))
		return jsonc_error(node, status, "expected an array");
	length = json_object_array_length(node->value);
	if (length >= lowest && length <= highest)
		return IBIS_OK;
	return jsonc_error(node, status, "%zu elements; expected %zu to %zu",
	    length, lowest, highest);
}

bool
jsonc_is_name(const char *name, size_t bytes)
{
	size_t length = strnlen(name, bytes);

	return length > 0 && length < bytes &&
	    strspn(name, NAME_CHARACTERS) == length;
}

enum ibis_code
jsonc_check_name(const struct jsonc_node *node, const char *name, size_t bytes,
    struct ibis_status *status)
{
	size_t length = strlen(name);

	if (length == 0 || length >= bytes)
		return jsonc_error(node, status,
		    "a name of %zu bytes; expected 1 to %zu", length,
		    bytes - 1);
	if (strspn(name, NAME_CHARACTERS) != length)
		return jsonc_error(
		    node, status, "expected letters, digits and ._- only");
	return IBIS_OK;
}

static enum ibis_code
read_number(const struct jsonc_node *node, const struct jsonc_field *field,
    double *number, struct ibis_status *status)
{
	bool is_integer = field->type != JSONC_DOUBLE;
	const char *kind = is_integer ? "a whole number" : "a number";
	const char *unit = field->unit != NULL ? field->unit : "";
	const char *space = *unit != '\0' ? " " : "";

	if (!json_object_is_type(node->value, json_type_int) &&
	    (is_integer || !json_object_is_type(node->value, json_type_double)))
		return jsonc_error(node, status,
		    "expected %s from %.10g to %.10g%s%s", kind, field->lowest,
		    field->highest, space, unit);
	*number = json_object_get_double(node->value);
	if (isfinite(*number) && *number >= field->lowest &&
	    *number <= field->highest)
		return IBIS_OK;
	return jsonc_error(node, status,
	    "%.10g%s%s; expected %s from %.10g to %.10g%s%s", *number, space,
	    unit, kind, field->lowest, field->highest, space, unit);
}

static enum ibis_code
read_text(const struct jsonc_node *node, const struct jsonc_field *field,
    char *target, struct ibis_status *status)
{
	enum ibis_code code = IBIS_OK;
	const char *text;
	size_t length;

	if (!json_object_is_type(node->value, json_type_string))
		return jsonc_error(node, status, "expected a string");
	text = json_object_get_string(node->value);
	length = (size_t)json_object_get_string_len(node->value);
	if (strlen(text) != length)
		return jsonc_error(node, status, "holds a NUL character");
	if (length >= field->bytes)
		return jsonc_error(node, status,
		    "%zu bytes; expected at most %zu", length,
		    field->bytes - 1);
	if (field->type == JSONC_NAME)
		code = jsonc_check_name(node, text, field->bytes, status);
	if (code == IBIS_OK)
		string_copy(target, field->bytes, text);
	return code;
}

static enum ibis_code
read_choice(const struct jsonc_node *node, const struct jsonc_field *field,
    int *target, struct ibis_status *status)
{
	CLEANUP(buffer_free) struct buffer list = {0};
	const char *text = json_object_is_type(node->value, json_type_string)
	    ? json_object_get_string(node->value)
	    : "";

	for (int i = 0; field->choices[i] != NULL; i++) {
		if (strcmp(text, field->choices[i]) == 0) {
			*target = i;
			return IBIS_OK;
		}
		buffer_printf(
		    &list, "%s\"%s\"", i > 0 ? ", " : "", field->choices[i]);
	}
	return jsonc_error(
	    node, status, "expected one of %s", buffer_string(&list));
}

enum ibis_code
jsonc_read_value(const struct jsonc_node *node, const struct jsonc_field *field,
    void *target, struct ibis_status *status)
{
	enum ibis_code code;
	double number = 0;

	switch (field->type) {
	case JSONC_BOOL:
		if (!json_object_is_type(node->value, json_type_boolean))
			return jsonc_error(
			    node, status, "expected true or false");
		*(bool *)target = json_object_get_boolean(node->value);
		return IBIS_OK;
	case JSONC_INT32:
		code = read_number(node, field, &number, status);
		if (code == IBIS_OK)
			*(int32_t *)target = (int32_t)number;
		return code;
	case JSONC_UINT32:
		code = read_number(node, field, &number, status);
		if (code == IBIS_OK)
			*(uint32_t *)target = (uint32_t)number;
		return code;
	case JSONC_DOUBLE:
		code = read_number(node, field, &number, status);
		if (code == IBIS_OK)
			*(double *)target = number;
		return code;
	case JSONC_NAME:
	case JSONC_TEXT:
		return read_text(node, field, target, status);
	case JSONC_CHOICE:
		return read_choice(node, field, target, status);
	case JSONC_CUSTOM:
		return IBIS_OK;
	}
	return IBIS_INTERNAL;
}

/* Returns the Levenshtein distance of two strings, both shorter than
 * MAX_SUGGESTION_BYTES. */
static size_t
edit_distance(const char *from, const char *to)
{
	size_t row[MAX_SUGGESTION_BYTES + 1];
	size_t columns = strlen(to);

	for (size_t j = 0; j <= columns; j++)
		row[j] = j;
	for (size_t i = 0; from[i] != '\0'; i++) {
		size_t diagonal = row[0];

		row[0] = i + 1;
		for (size_t j = 0; j < columns; j++) {
			size_t best = diagonal + (from[i] != to[j]);

			diagonal = row[j + 1];
			if (row[j + 1] + 1 < best)
				best = row[j + 1] + 1;
			if (row[j] + 1 < best)
				best = row[j] + 1;
			row[j + 1] = best;
		}
	}
	return row[columns];
}

const char *
jsonc_nearest_key(
    const char *key, const struct jsonc_field *fields, size_t count)
{
	size_t nearest_edits = MAX_SUGGESTION_EDITS + 1;
	const char *suggestion = NULL;

	if (strlen(key) >= MAX_SUGGESTION_BYTES)
		return NULL;
	for (size_t i = 0; i < count; i++) {
		size_t distance;

		if (strlen(fields[i].key) >= MAX_SUGGESTION_BYTES)
			continue;
		distance = edit_distance(key, fields[i].key);
		if (distance < nearest_edits &&
		    distance < strlen(fields[i].key)) {
			nearest_edits = distance;
			suggestion = fields[i].key;
		}
	}
	return suggestion;
}

static enum ibis_code
check_key_known(const struct jsonc_node *object, const char *key,
    const struct jsonc_field *fields, size_t count, struct ibis_status *status)
{
	struct jsonc_node member;
	const char *suggestion;

	for (size_t i = 0; i < count; i++) {
		if (strcmp(fields[i].key, key) == 0)
			return IBIS_OK;
	}
	(void)jsonc_member(object, key, &member);
	suggestion = jsonc_nearest_key(key, fields, count);
	if (suggestion == NULL)
		return jsonc_error(&member, status, "unknown key");
	return jsonc_error(
	    &member, status, "unknown key; the nearest is \"%s\"", suggestion);
}

enum ibis_code
jsonc_read_fields(const struct jsonc_node *object,
    const struct jsonc_field *fields, size_t count, void *target,
    struct ibis_status *status)
{
	enum ibis_code code = jsonc_require_object(object, status);
	struct json_object_iter iterator;
	struct jsonc_node member;

	if (code != IBIS_OK)
		return code;
	json_object_object_foreachC(object->value, iterator)
	{
		code = check_key_known(
		    object, iterator.key, fields, count, status);
		if (code != IBIS_OK)
			return code;
	}
	for (size_t i = 0; i < count && code == IBIS_OK; i++) {
		if (jsonc_member(object, fields[i].key, &member))
			code = jsonc_read_value(&member, &fields[i],
			    (char *)target + fields[i].offset, status);
		else if (fields[i].required)
			code = jsonc_error(
			    object, status, "lacks \"%s\"", fields[i].key);
	}
	return code;
}
