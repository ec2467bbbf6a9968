#include <string.h>

#include <json-c/json.h>

#include "process/alloc.h"
#include "process/jsonc_scan.h"

/* Returns the offset after the string at offset at, or at if none starts
 * there. */
static size_t
skip_string(const char *text, size_t at)
{
	if (text[at] != '"')
		return at;
	at++;
	while (text[at] != '\0' && text[at] != '"') {
		if (text[at] == '\\' && text[at + 1] != '\0')
			at++;
		at++;
	}
	return text[at] == '"' ? at + 1 : at;
}

/* Blanks the comment at *at and advances *at past it. Returns false, with *at
 * unchanged, if a block comment is not closed. */
static bool
blank_comment(char *text, size_t *at)
{
	bool block = text[*at + 1] == '*';
	size_t i = *at + 2;

	while (text[i] != '\0') {
		if (!block && text[i] == '\n')
			break;
		if (block && text[i] == '*' && text[i + 1] == '/') {
			i += 2;
			break;
		}
		i++;
	}
	if (block && text[i] == '\0' &&
	    (i < *at + 4 || text[i - 1] != '/' || text[i - 2] != '*'))
		return false;
	for (; *at < i; (*at)++) {
		if (text[*at] != '\n')
			text[*at] = ' ';
	}
	return true;
}

bool
jsonc_scan_blank_comments(char *text, size_t *at)
{
	*at = 0;
	while (text[*at] != '\0') {
		if (text[*at] == '"') {
			*at = skip_string(text, *at);
		} else if (text[*at] == '/' &&
		    (text[*at + 1] == '/' || text[*at + 1] == '*')) {
			if (!blank_comment(text, at))
				return false;
		} else {
			(*at)++;
		}
	}
	return true;
}

struct jsonc_position
jsonc_scan_position(const char *text, size_t offset)
{
	struct jsonc_position position = {.line = 1, .column = 1};

	for (size_t i = 0; i < offset && text[i] != '\0'; i++) {
		if (text[i] == '\n') {
			position.line++;
			position.column = 1;
		} else {
			position.column++;
		}
	}
	return position;
}

size_t
jsonc_scan_skip_space(const char *text, size_t offset)
{
	return offset + strspn(text + offset, " \t\r\n");
}

size_t
jsonc_scan_skip_value(const char *text, size_t offset)
{
	size_t at = offset;
	size_t depth = 0;

	if (text[at] == '"')
		return skip_string(text, at);
	if (text[at] != '{' && text[at] != '[')
		return at + strcspn(text + at, ",]} \t\r\n");
	while (text[at] != '\0') {
		if (text[at] == '"') {
			at = skip_string(text, at);
			continue;
		}
		if (text[at] == '{' || text[at] == '[')
			depth++;
		if (text[at] == '}' || text[at] == ']')
			depth--;
		at++;
		if (depth == 0)
			break;
	}
	return at;
}

/* A member of an object, as offsets in the text. */
struct member {
	size_t key;    /* of the quote that opens the key */
	size_t length; /* bytes of the key without quotes */
	size_t value;
};

/* Reads the member at *at, after an optional comma, and advances *at to its
 * value. Returns false if no member follows. */
static bool
next_member(const char *text, size_t *at, struct member *member)
{
	*at = jsonc_scan_skip_space(text, *at);
	if (text[*at] == ',')
		*at = jsonc_scan_skip_space(text, *at + 1);
	if (text[*at] != '"')
		return false;
	member->key = *at;
	*at = skip_string(text, *at);
	if (*at < member->key + 2)
		return false;
	member->length = *at - member->key - 2;
	*at = jsonc_scan_skip_space(text, *at);
	if (text[*at] != ':')
		return false;
	*at = jsonc_scan_skip_space(text, *at + 1);
	member->value = *at;
	return true;
}

bool
jsonc_scan_member(const char *text, size_t offset, const char *key,
    size_t *key_offset, size_t *value_offset)
{
	size_t length = strlen(key);
	struct member member;
	size_t at = offset + 1;

	if (text[offset] != '{')
		return false;
	while (next_member(text, &at, &member)) {
		if (member.length == length &&
		    memcmp(text + member.key + 1, key, length) == 0) {
			*key_offset = member.key;
			*value_offset = member.value;
			return true;
		}
		at = jsonc_scan_skip_value(text, member.value);
	}
	return false;
}

/* Advances *at to the next element. Returns false at the end of the array. */
static bool
next_element(const char *text, size_t *at)
{
	*at = jsonc_scan_skip_space(text, *at);
	if (text[*at] == ',')
		*at = jsonc_scan_skip_space(text, *at + 1);
	return text[*at] != ']' && text[*at] != '\0';
}

bool
jsonc_scan_element(
    const char *text, size_t offset, size_t index, size_t *value_offset)
{
	size_t at = offset + 1;

	if (text[offset] != '[')
		return false;
	for (size_t i = 0; next_element(text, &at); i++) {
		size_t end = jsonc_scan_skip_value(text, at);

		if (i == index) {
			*value_offset = at;
			return true;
		}
		if (end == at)
			return false;
		at = end;
	}
	return false;
}

static void
put_object(struct json_object **object)
{
	json_object_put(*object);
}

static enum jsonc_key_error
check_object_keys(const char *text, size_t *offset)
{
	CLEANUP(put_object)
	struct json_object *seen = json_object_new_object();
	enum jsonc_key_error error;
	struct member member;
	size_t at = *offset + 1;

	while (next_member(text, &at, &member)) {
		CLEANUP(mem_free_string)
		char *key = mem_strndup(text + member.key + 1, member.length);

		*offset = member.key;
		if (strchr(key, '\\') != NULL)
			return JSONC_KEY_ESCAPED;
		if (json_object_object_get_ex(seen, key, NULL))
			return JSONC_KEY_REPEATED;
		json_object_object_add(seen, key, NULL);
		*offset = member.value;
		error = jsonc_scan_check_keys(text, offset);
		if (error != JSONC_KEY_VALID)
			return error;
		at = jsonc_scan_skip_value(text, member.value);
	}
	return JSONC_KEY_VALID;
}

static enum jsonc_key_error
check_array_keys(const char *text, size_t *offset)
{
	enum jsonc_key_error error;
	size_t at = *offset + 1;

	while (next_element(text, &at)) {
		size_t end = jsonc_scan_skip_value(text, at);

		*offset = at;
		error = jsonc_scan_check_keys(text, offset);
		if (error != JSONC_KEY_VALID)
			return error;
		if (end == at)
			break;
		at = end;
	}
	return JSONC_KEY_VALID;
}

enum jsonc_key_error
jsonc_scan_check_keys(const char *text, size_t *offset)
{
	if (text[*offset] == '{')
		return check_object_keys(text, offset);
	if (text[*offset] == '[')
		return check_array_keys(text, offset);
	return JSONC_KEY_VALID;
}
