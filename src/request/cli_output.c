/* Output of commands: errors, key-value lines, tables and input files. */
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "process/alloc.h"
#include "request/cli.h"

#define MAX_COLUMNS	      16
#define COLUMN_GAP	      2
#define READ_BYTES	      65536
#define NESTED_SEPARATOR      ","
#define MAX_INLINE_LIST_BYTES 64
#define NAME_BYTES	      64

void
cli_command_name(const struct cli_command *command, char *text, size_t bytes)
{
	(void)snprintf(text, bytes, "%s%s%s%s%s", program_invocation_short_name,
	    command->group == NULL ? "" : " ",
	    command->group == NULL ? "" : command->group,
	    command->name == NULL ? "" : " ",
	    command->name == NULL ? "" : command->name);
}

int
cli_fail(enum ibis_code code, const struct ibis_status *status)
{
	(void)fprintf(stderr, "%s: %s: %s%s%s: %s\n",
	    program_invocation_short_name, ibis_code_name(code), status->step,
	    *status->peer == '\0' ? "" : " with ", status->peer,
	    status->message);
	switch (code) {
	case IBIS_OK:
		return CLI_OK;
	case IBIS_INVALID:
		return CLI_USAGE;
	case IBIS_CONFLICT:
		return CLI_CONFLICT;
	case IBIS_NOT_FOUND:
		return CLI_NOT_FOUND;
	case IBIS_LIMIT:
		return CLI_REFUSED;
	case IBIS_UNAVAILABLE:
		return CLI_UNREACHABLE;
	case IBIS_UNKNOWN:
		return CLI_UNKNOWN;
	case IBIS_NO_MEMORY:
	case IBIS_INTERNAL:
		break;
	}
	return CLI_INTERNAL;
}

int
cli_usage_error(const struct cli *cli, const char *format, ...)
{
	char command_name[NAME_BYTES];
	va_list arguments;

	cli_command_name(cli->command, command_name, sizeof(command_name));
	(void)fprintf(stderr, "%s: ", command_name);
	va_start(arguments, format);
	(void)vfprintf(stderr, format, arguments);
	va_end(arguments);
	(void)fputs("; --help lists the options\n", stderr);
	return CLI_USAGE;
}

static void append_value(struct buffer *text, struct json_object *value);

static void
append_array(struct buffer *text, struct json_object *array)
{
	size_t count = json_object_array_length(array);

	if (count == 0)
		buffer_puts(text, "-");
	for (size_t i = 0; i < count; i++) {
		if (i > 0)
			buffer_puts(text, NESTED_SEPARATOR);
		append_value(text, json_object_array_get_idx(array, i));
	}
}

static void
append_object(struct buffer *text, struct json_object *object)
{
	const char *separator = "";

	json_object_object_foreach(object, key, member)
	{
		buffer_printf(text, "%s%s=", separator, key);
		append_value(text, member);
		separator = NESTED_SEPARATOR;
	}
}

/* Appends a JSON value as one line of text. */
static void
append_value(struct buffer *text, struct json_object *value)
{
	switch (json_object_get_type(value)) {
	case json_type_null:
		buffer_puts(text, "-");
		break;
	case json_type_array:
		append_array(text, value);
		break;
	case json_type_object:
		append_object(text, value);
		break;
	case json_type_double:
		buffer_printf(text, "%g", json_object_get_double(value));
		break;
	default:
		buffer_puts(text, json_object_get_string(value));
	}
}

/* A table's columns: the keys of its first row and their widths. */
struct columns {
	const char *keys[MAX_COLUMNS];
	size_t widths[MAX_COLUMNS];
	size_t count;
};

/* Formats one cell of a table; replaces text. */
static void
format_cell(struct json_object *row, const char *key, struct buffer *text)
{
	struct json_object *value = NULL;

	buffer_clear(text);
	(void)json_object_object_get_ex(row, key, &value);
	append_value(text, value);
}

static void
find_columns(struct json_object *rows, struct columns *columns)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	struct json_object *first = json_object_array_get_idx(rows, 0);

	json_object_object_foreach(first, key, value)
	{
		(void)value;
		if (columns->count == MAX_COLUMNS)
			break;
		columns->keys[columns->count] = key;
		columns->widths[columns->count++] = strlen(key);
	}
	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		for (size_t j = 0; j < columns->count; j++) {
			format_cell(row, columns->keys[j], &text);
			if (text.length > columns->widths[j])
				columns->widths[j] = text.length;
		}
	}
}

static void
print_cell(const struct columns *columns, size_t column, const char *text)
{
	if (column + 1 == columns->count)
		(void)printf("%s\n", text);
	else
		(void)printf(
		    "%-*s", (int)columns->widths[column] + COLUMN_GAP, text);
}

static void
print_table(struct json_object *rows)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	struct columns columns = {0};

	find_columns(rows, &columns);
	for (size_t j = 0; j < columns.count; j++)
		print_cell(&columns, j, columns.keys[j]);
	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		for (size_t j = 0; j < columns.count; j++) {
			format_cell(row, columns.keys[j], &text);
			print_cell(&columns, j, buffer_string(&text));
		}
	}
}

static bool
is_table(struct json_object *value)
{
	return json_object_is_type(value, json_type_array) &&
	    json_object_array_length(value) > 0 &&
	    json_object_is_type(
		json_object_array_get_idx(value, 0), json_type_object);
}

/* Returns whether a value is a list too long to print on one line. inline_text
 * is its one-line form. */
static bool
is_long_list(struct json_object *value, const struct buffer *inline_text)
{
	return json_object_is_type(value, json_type_array) &&
	    inline_text->length > MAX_INLINE_LIST_BYTES;
}

static void
print_list(struct json_object *list)
{
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		CLEANUP(buffer_free) struct buffer text = {0};

		append_value(&text, json_object_array_get_idx(list, i));
		(void)printf("  %s\n", buffer_string(&text));
	}
}

static void
print_member(const char *key, struct json_object *value)
{
	CLEANUP(buffer_free) struct buffer text = {0};

	append_value(&text, value);
	if (!is_long_list(value, &text)) {
		(void)printf("%s: %s\n", key, buffer_string(&text));
		return;
	}
	(void)printf("%s:\n", key);
	print_list(value);
}

static void
print_object(struct json_object *object)
{
	json_object_object_foreach(object, key, value)
	{
		if (!is_table(value))
			print_member(key, value);
	}
	json_object_object_foreach(object, table, rows)
	{
		if (!is_table(rows))
			continue;
		(void)printf("%s:\n", table);
		print_table(rows);
	}
}

void
cli_print(const struct cli *cli, struct json_object *json)
{
	if (cli->json)
		(void)printf("%s\n",
		    json_object_to_json_string_ext(
			json, JSON_C_TO_STRING_PRETTY));
	else if (is_table(json))
		print_table(json);
	else if (json_object_is_type(json, json_type_object))
		print_object(json);
	else if (!json_object_is_type(json, json_type_array))
		(void)printf("%s\n", json_object_get_string(json));
}

int
cli_call(struct cli *cli, const struct client_call *call)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	struct ibis_status status = {0};
	enum ibis_code code;

	code = client_send(cli->client, call, &answer, &status);
	if (code != IBIS_OK)
		return cli_fail(code, &status);
	if (answer.json != NULL)
		cli_print(cli, answer.json);
	else
		(void)printf("%s\n", buffer_string(&answer.body));
	return CLI_OK;
}

int
cli_show(struct cli *cli)
{
	struct client_call call = {
	    .method = "GET",
	    .path = cli->command->path,
	    .repeatable = true,
	};

	return cli_call(cli, &call);
}

static void
close_file(FILE **file)
{
	if (*file != NULL && *file != stdin)
		(void)fclose(*file);
}

enum ibis_code
cli_read_input(const char *path, size_t max_bytes, struct buffer *text,
    struct ibis_status *status)
{
	CLEANUP(close_file) FILE *file = NULL;
	CLEANUP(mem_free_string) char *chunk = mem_calloc(READ_BYTES, 1);
	size_t length;

	file = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
	if (file == NULL)
		return ibis_status_set(status, IBIS_INVALID, "read", NULL,
		    "%s: %s", path, strerror(errno));
	while ((length = fread(chunk, 1, READ_BYTES, file)) > 0) {
		buffer_append(text, chunk, length);
		if (text->length > max_bytes)
			return ibis_status_set(status, IBIS_INVALID, "read",
			    NULL, "%s: larger than %zu bytes", path, max_bytes);
	}
	if (ferror(file) != 0)
		return ibis_status_set(status, IBIS_INVALID, "read", NULL,
		    "%s: %s", path, strerror(errno));
	return IBIS_OK;
}

enum ibis_code
cli_read_nonempty_file(const char *path, size_t max_bytes, struct buffer *text,
    struct ibis_status *status)
{
	if (cli_read_input(path, max_bytes, text, status) != IBIS_OK)
		return status->code;
	if (text->length == 0)
		return ibis_status_set(
		    status, IBIS_INVALID, "read", NULL, "%s: empty", path);
	return IBIS_OK;
}
