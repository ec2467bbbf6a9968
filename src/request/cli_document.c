/* Commands on the document: check, diff, accept, edit, get and status. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "process/alloc.h"
#include "request/cli.h"
#include "version/document.h"

#define DOCUMENT_PATH "/v1/document"

static const struct cli_option accept_options[] = {
    {"if-version", "N",
	"version that was edited; default the one in force now"},
    {"dry-run", NULL, "check and show the difference only"},
};

static const struct cli_option edit_options[] = {
    {"if-revision", "N",
	"revision that was edited, 0 for a new section; default the one now"},
    {"dry-run", NULL, "check and show the difference only"},
};

/* Source sections of a document and the parsed document. */
struct parsed_document {
	struct document_source *sources;
	int count;
	struct document *document;
};

static void
parsed_document_free(struct parsed_document *parsed)
{
	if (parsed->document != NULL)
		document_free(parsed->document);
	if (parsed->sources != NULL)
		document_sources_free(parsed->sources, (size_t)parsed->count);
	*parsed = (struct parsed_document){0};
}

/* Reads and checks a document file; prints warnings to standard error. */
static enum ibis_code
parse_file(const char *path, struct buffer *text,
    struct parsed_document *parsed, struct ibis_status *status)
{
	CLEANUP(buffer_free) struct buffer warnings = {0};
	enum ibis_code code =
	    cli_read_nonempty_file(path, CLI_INPUT_BYTES, text, status);

	if (code != IBIS_OK)
		return code;
	parsed->count = document_split(text->data, &parsed->sources, status);
	if (parsed->count < 0)
		return status->code;
	parsed->document = document_parse(
	    parsed->sources, (size_t)parsed->count, &warnings, status);
	if (parsed->document == NULL)
		return status->code;
	if (warnings.length > 0)
		(void)fprintf(stderr, "warning: %s", buffer_string(&warnings));
	return IBIS_OK;
}

/* Parses the document in an instance's answer. */
static enum ibis_code
parse_answer(struct json_object *answer, struct parsed_document *parsed,
    struct ibis_status *status)
{
	struct json_object *sections;
	size_t count;
	size_t next = 0;

	if (!json_object_object_get_ex(answer, "sections", &sections) ||
	    !json_object_is_type(sections, json_type_object))
		return ibis_status_set(status, IBIS_INTERNAL, "read document",
		    NULL, "the answer has no sections");
	count = (size_t)json_object_object_length(sections);
	parsed->sources = mem_calloc(count, sizeof(*parsed->sources));
	parsed->count = (int)count;
	json_object_object_foreach(sections, name, section)
	{
		struct document_source *source = &parsed->sources[next++];

		STRING_COPY(source->name, name);
		source->text = mem_strdup(client_string(section, "text", ""));
		source->revision =
		    (uint64_t)client_integer(section, "revision", 0);
	}
	parsed->document = document_parse(parsed->sources, count, NULL, status);
	return parsed->document == NULL ? status->code : IBIS_OK;
}

/*
 * Fetches the accepted document. *version gets its version, or 0 and parsed
 * stays empty when none has been accepted yet.
 */
static enum ibis_code
get_accepted(struct cli *cli, struct parsed_document *parsed, uint64_t *version,
    struct ibis_status *status)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	enum ibis_code code;

	*version = 0;
	code = client_get(cli->client, DOCUMENT_PATH, &answer, status);
	if (code == IBIS_NOT_FOUND)
		return IBIS_OK;
	if (code != IBIS_OK)
		return code;
	*version = (uint64_t)client_integer(answer.json, "version", 0);
	if (*version == 0)
		return IBIS_OK;
	return parse_answer(answer.json, parsed, status);
}

static void
print_difference(
    const struct parsed_document *from, const struct parsed_document *to)
{
	CLEANUP(buffer_free) struct buffer lines = {0};
	const struct document empty = {0};

	document_diff(from->document == NULL ? &empty : from->document,
	    to->document, &lines);
	if (lines.length == 0)
		buffer_puts(&lines, "no difference\n");
	(void)fputs(buffer_string(&lines), stdout);
}

static int
run_check(struct cli *cli)
{
	CLEANUP(parsed_document_free) struct parsed_document parsed = {0};
	CLEANUP(buffer_free) struct buffer text = {0};
	struct ibis_status status = {0};
	enum ibis_code code;

	code = parse_file(cli->arguments[0], &text, &parsed, &status);
	if (code != IBIS_OK)
		return cli_fail(code, &status);
	(void)printf("%s: correct; %zu availability zones, %zu workers, "
		     "%zu workspaces, %zu request classes\n",
	    cli->arguments[0], parsed.document->zones_count,
	    parsed.document->workers_count, parsed.document->workspaces_count,
	    parsed.document->classes_count);
	return CLI_OK;
}

/* The document in a file and the accepted document that it would replace. */
struct change {
	struct buffer text;
	struct parsed_document edited;
	struct parsed_document accepted;
	uint64_t version; /* of the accepted one */
};

static void
change_free(struct change *change)
{
	buffer_free(&change->text);
	parsed_document_free(&change->edited);
	parsed_document_free(&change->accepted);
}

static enum ibis_code
read_change(struct cli *cli, struct change *change, struct ibis_status *status)
{
	enum ibis_code code;

	code = parse_file(
	    cli->arguments[0], &change->text, &change->edited, status);
	if (code != IBIS_OK)
		return code;
	return get_accepted(cli, &change->accepted, &change->version, status);
}

static int
run_diff(struct cli *cli)
{
	CLEANUP(change_free) struct change change = {0};
	struct ibis_status status = {0};

	if (read_change(cli, &change, &status) != IBIS_OK)
		return cli_fail(status.code, &status);
	print_difference(&change.accepted, &change.edited);
	return CLI_OK;
}

/* Sends a conditional PUT of text and prints the answer. Returns the exit
 * code. */
static int
put_text(struct cli *cli, const char *path, const char *text, uint64_t if_match)
{
	CLEANUP(buffer_free) struct buffer full_path = {0};
	/* Not repeatable: if the first attempt took effect, a second one
	 * would be reported as a conflict. */
	struct client_call call = {
	    .method = "PUT",
	    .body = text,
	    .if_match = if_match,
	    .has_if_match = true,
	    .repeatable = false,
	};

	buffer_puts(&full_path, path);
	if (cli_value(cli, "dry-run") != NULL)
		buffer_puts(&full_path, "?dry_run=1");
	call.path = full_path.data;
	return cli_call(cli, &call);
}

static int
run_accept(struct cli *cli)
{
	CLEANUP(change_free) struct change change = {0};
	struct ibis_status status = {0};
	int64_t if_version;

	if (read_change(cli, &change, &status) != IBIS_OK)
		return cli_fail(status.code, &status);
	if_version = (int64_t)change.version;
	if (!cli_number(cli, "if-version", 0, INT64_MAX, &if_version))
		return CLI_USAGE;
	return put_text(
	    cli, DOCUMENT_PATH, change.text.data, (uint64_t)if_version);
}

static void
append_section_path(struct buffer *path, const char *section)
{
	buffer_puts(path, DOCUMENT_PATH "/sections/");
	client_escape(path, section);
}

static int
run_edit(struct cli *cli)
{
	CLEANUP(client_answer_free) struct client_answer current = {0};
	CLEANUP(buffer_free) struct buffer path = {0};
	CLEANUP(buffer_free) struct buffer text = {0};
	struct ibis_status status = {0};
	int64_t revision = -1;
	enum ibis_code code;

	if (!cli_number(cli, "if-revision", 0, INT64_MAX, &revision))
		return CLI_USAGE;
	append_section_path(&path, cli->arguments[0]);
	code = cli_read_nonempty_file(
	    cli->arguments[1], CLI_INPUT_BYTES, &text, &status);
	if (code == IBIS_OK && revision < 0) {
		code = client_get(cli->client, path.data, &current, &status);
		if (code == IBIS_NOT_FOUND)
			code = IBIS_OK;
		revision = (int64_t)current.etag;
	}
	if (code != IBIS_OK)
		return cli_fail(code, &status);
	return put_text(cli, path.data, text.data, (uint64_t)revision);
}

static int
print_section(struct cli *cli)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	CLEANUP(buffer_free) struct buffer path = {0};
	struct ibis_status status = {0};
	enum ibis_code code;

	append_section_path(&path, cli->arguments[0]);
	code = client_get(cli->client, path.data, &answer, &status);
	if (code != IBIS_OK)
		return cli_fail(code, &status);
	(void)fwrite(
	    buffer_string(&answer.body), 1, answer.body.length, stdout);
	(void)fprintf(stderr, "revision %" PRIu64 "\n", answer.etag);
	return CLI_OK;
}

/* Prints the document without the sections' texts. */
static int
list_sections(struct cli *cli)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	struct ibis_status status = {0};
	struct json_object *sections;
	enum ibis_code code;

	code = client_get(cli->client, DOCUMENT_PATH, &answer, &status);
	if (code != IBIS_OK)
		return cli_fail(code, &status);
	if (json_object_object_get_ex(answer.json, "sections", &sections)) {
		json_object_object_foreach(sections, name, section)
		{
			(void)name;
			json_object_object_del(section, "text");
		}
	}
	cli_print(cli, answer.json);
	return CLI_OK;
}

static int
run_get(struct cli *cli)
{
	if (cli->arguments_count > 0)
		return print_section(cli);
	return cli->json ? cli_show(cli) : list_sections(cli);
}

const struct cli_command cli_document_commands[] = {
    {.group = "document",
	.name = "check",
	.arguments = "FILE",
	.summary = "Checks a document's file without any instance.",
	.min_arguments = 1,
	.max_arguments = 1,
	.run = run_check},
    {.group = "document",
	.name = "diff",
	.arguments = "FILE",
	.summary = "Shows what a file would change.",
	.min_arguments = 1,
	.max_arguments = 1,
	.run = run_diff},
    {.group = "document",
	.name = "accept",
	.arguments = "FILE",
	.summary = "Checks a file, shows the difference, accepts it.",
	.min_arguments = 1,
	.max_arguments = 1,
	.options = accept_options,
	.options_count = COUNT_OF(accept_options),
	.run = run_accept},
    {.group = "document",
	.name = "edit",
	.arguments = "SECTION FILE",
	.summary = "Replaces one section.",
	.min_arguments = 2,
	.max_arguments = 2,
	.options = edit_options,
	.options_count = COUNT_OF(edit_options),
	.run = run_edit},
    {.group = "document",
	.name = "get",
	.arguments = "[SECTION]",
	.summary = "Lists the accepted sections, or shows one; --json: all.",
	.max_arguments = 1,
	.run = run_get,
	.path = DOCUMENT_PATH},
    {.group = "document",
	.name = "status",
	.arguments = "",
	.summary = "Shows where which version is in force.",
	.run = cli_show,
	.path = DOCUMENT_PATH "/status"},
};
const size_t cli_document_commands_count = COUNT_OF(cli_document_commands);
