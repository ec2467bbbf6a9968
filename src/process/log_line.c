#include <stdlib.h>
#include <string.h>

#include "process/log_line.h"

#define FIRST_KEY    "t_ms="
#define DECIMAL	     10
#define HEXADECIMAL  16
#define ESCAPE_BYTES 4 /* \xNN */

/* Returns the byte at *from, unescaped, and advances *from past it. */
static char
unescape(const char **from)
{
	const char *at = *from;
	char digits[3] = "";
	char *end;
	long byte;

	if (at[0] != '\\' || at[1] == '\0') {
		(*from)++;
		return at[0];
	}
	if (at[1] == 'x' && at[2] != '\0' && at[3] != '\0') {
		memcpy(digits, at + 2, 2);
		byte = strtol(digits, &end, HEXADECIMAL);
		if (*end == '\0') {
			*from += ESCAPE_BYTES;
			return (char)byte;
		}
	}
	*from += 2;
	return at[1];
}

/* Unquotes the value at text in place and terminates it with a NUL. Returns the
 * text after it. */
static char *
parse_value(char *text, const char **value)
{
	const char *from = text + 1;
	char *to = text;

	*value = text;
	if (*text != '"') {
		text += strcspn(text, " ");
		if (*text != '\0')
			*text++ = '\0';
		return text;
	}
	while (*from != '\0' && *from != '"')
		*to++ = unescape(&from);
	if (*from == '"')
		from++;
	text += from - text;
	*to = '\0';
	return text;
}

static void
add_pair(struct log_line *line, const char *key, const char *value)
{
	if (strcmp(key, "t_ms") == 0)
		line->t_ms = strtoll(value, NULL, DECIMAL);
	else if (strcmp(key, "wall_ms") == 0)
		line->wall_ms = strtoll(value, NULL, DECIMAL);
	else if (strcmp(key, "event") == 0)
		line->event = value;
	else if (strcmp(key, "instance") == 0)
		line->instance = value;
	else if (line->count < LOG_LINE_MAX_PAIRS)
		line->pairs[line->count++] =
		    (struct log_pair){.key = key, .value = value};
}

bool
log_line_parse(char *text, struct log_line *line)
{
	char *at = strstr(text, FIRST_KEY);

	*line = (struct log_line){.event = "", .instance = ""};
	while (at != NULL && *at != '\0') {
		const char *value;
		const char *key;

		at += strspn(at, " ");
		key = at;
		at += strcspn(at, "= ");
		if (*at != '=')
			break;
		*at++ = '\0';
		at = parse_value(at, &value);
		add_pair(line, key, value);
	}
	return *line->event != '\0';
}

const char *
log_line_value(const struct log_line *line, const char *key)
{
	for (size_t i = 0; i < line->count; i++) {
		if (strcmp(line->pairs[i].key, key) == 0)
			return line->pairs[i].value;
	}
	return NULL;
}
