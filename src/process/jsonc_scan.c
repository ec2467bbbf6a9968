#include <string.h>

#include <json-c/json.h>

#include "process/alloc.h"
#include "process/jsonc_scan.h"

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

/* Blanks the comment at *at, leaving *at behind it. */
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
jsonc_scan_blank(char *text, size_t *at)
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

struct jsonc_place
jsonc_scan_place(const char *text, size_t offset)
{
	struct jsonc_place place = {.line = 1, .column = 1};

	for (size_t i = 0; i < offset && text[i] != '\0'; i++) {
		if (text[i] == '\n') {
			place.line++;
			place.column = 1;
		} else {
			place.column++;
		}
	}
	return place;
}

size_t
jsonc_scan_space(const char *text, size_t offset)
{
	return offset + strspn(text + offset, " \t\r\n");
}

size_t
jsonc_scan_value(const char *text, size_t offset)
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

/* A member of an object as it stands in the text. */
struct member {
	size_t key;    /* offset of the key's quote */
	size_t length; /* of the key without quotes */
	size_t value;
};

/* Reads the member at *at, or the next one behind a comma, and leaves *at
 * where its value starts. */
static bool
next_member(const char *text, size_t *at, struct member *member)
{
	*at = jsonc_scan_space(text, *at);
	if (text[*at] == ',')
		*at = jsonc_scan_space(text, *at + 1);
	if (text[*at] != '"')
		return false;
	member->key = *at;
	*at = skip_string(text, *at);
	if (*at < member->key + 2)
		return false;
	member->length = *at - member->key - 2;
	*at = jsonc_scan_space(text, *at);
	if (text[*at] != ':')
		return false;
	*at = jsonc_scan_space(text, *at + 1);
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
		at = jsonc_scan_value(text, member.value);
	}
	return false;
}

/* Steps over the separators before the next element; false at the end. */
static bool
next_element(const char *text, size_t *at)
{
	*at = jsonc_scan_space(text, *at);
	if (text[*at] == ',')
		*at = jsonc_scan_space(text, *at + 1);
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
		size_t end = jsonc_scan_value(text, at);

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

static enum jsonc_key_fault
scan_object_keys(const char *text, size_t *offset)
{
	CLEANUP(put_object)
	struct json_object *seen = json_object_new_object();
	enum jsonc_key_fault fault;
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
		fault = jsonc_scan_keys(text, offset);
		if (fault != JSONC_KEY_GOOD)
			return fault;
		at = jsonc_scan_value(text, member.value);
	}
	return JSONC_KEY_GOOD;
}

static enum jsonc_key_fault
scan_array_keys(const char *text, size_t *offset)
{
	enum jsonc_key_fault fault;
	size_t at = *offset + 1;

	while (next_element(text, &at)) {
		size_t end = jsonc_scan_value(text, at);

		*offset = at;
		fault = jsonc_scan_keys(text, offset);
		if (fault != JSONC_KEY_GOOD)
			return fault;
		if (end == at)
			break;
		at = end;
	}
	return JSONC_KEY_GOOD;
}

enum jsonc_key_fault
jsonc_scan_keys(const char *text, size_t *offset)
{
	if (text[*offset] == '{')
		return scan_object_keys(text, offset);
	if (text[*offset] == '[')
		return scan_array_keys(text, offset);
	return JSONC_KEY_GOOD;
}
