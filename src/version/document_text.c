/*
 * Text forms of a document: splits its source into sections, lists its workers
 * as JSON and writes the differences between two documents.
 */
#include <inttypes.h>
#include <string.h>

#include "process/alloc.h"
#include "process/jsonc.h"
#include "version/document.h"

#define STEP	     "document"
#define MAX_SECTIONS 256

static const struct jsonc_field top_fields[] = {
    {.key = "sections", .type = JSONC_CUSTOM, .required = true},
};

/* Copies one section's text, with its comments, from the document's source. */
static enum ibis_code
copy_section(const char *text, const struct jsonc_node *section,
    struct document_source *source, struct ibis_status *status)
{
	enum ibis_code code = jsonc_check_name(
	    section, section->key, sizeof(source->name), status);
	size_t length = 0;
	size_t first = 0;

	if (code == IBIS_OK)
		code = jsonc_require_object(section, status);
	if (code != IBIS_OK)
		return code;
	if (!jsonc_extent(section, &first, &length))
		return jsonc_error(section, status,
		    "the position of the section in the text is unknown");
	STRING_COPY(source->name, section->key);
	source->text = mem_strndup(text + first, length);
	return IBIS_OK;
}

static enum ibis_code
copy_sections(const struct jsonc *json, const char *text,
    struct document_source **sources, size_t *count, struct ibis_status *status)
{
	struct jsonc_node root = jsonc_root(json);
	struct json_object_iter iterator;
	struct jsonc_node sections;
	enum ibis_code code;
	char unused;

	code = jsonc_read_fields(
	    &root, top_fields, COUNT_OF(top_fields), &unused, status);
	if (code != IBIS_OK)
		return code;
	(void)jsonc_member(&root, "sections", &sections);
	code = jsonc_require_object(&sections, status);
	if (code != IBIS_OK)
		return code;
	if (json_object_object_length(sections.value) > MAX_SECTIONS)
		return jsonc_error(&sections, status,
		    "%d sections; expected at most %d",
		    json_object_object_length(sections.value), MAX_SECTIONS);
	*sources = mem_calloc((size_t)json_object_object_length(sections.value),
	    sizeof(**sources));
	json_object_object_foreachC(sections.value, iterator)
	{
		struct jsonc_node section;

		(void)jsonc_member(&sections, iterator.key, &section);
		code =
		    copy_section(text, &section, &(*sources)[*count], status);
		if (code != IBIS_OK)
			return code;
		(*count)++;
	}
	return IBIS_OK;
}

int
document_split(const char *text, struct document_source **sections,
    struct ibis_status *status)
{
	CLEANUP(jsonc_free) struct jsonc json = {0};
	size_t count = 0;

	*sections = NULL;
	if (jsonc_parse(&json, text, STEP, "document", status) &&
	    copy_sections(&json, text, sections, &count, status) == IBIS_OK)
		return (int)count;
	document_sources_free(*sections, count);
	*sections = NULL;
	return -1;
}

void
document_sources_free(struct document_source *sections, size_t count)
{
	for (size_t i = 0; i < count; i++)
		mem_free(sections[i].text);
	mem_free(sections);
}

void
document_layout_json(const struct document *document, struct buffer *text)
{
	buffer_puts(text, "[");
	for (size_t i = 0; i < document->workers_count; i++) {
		const struct document_worker *worker = &document->workers[i];
		const struct document_rack *rack =
		    &document->racks[worker->rack];

		/* Names need no escapes: their characters are restricted. */
		buffer_printf(text,
		    "%s\n {\"name\": \"%s\", \"availability_zone\": \"%s\", "
		    "\"rack\": \"%s\", \"accelerators\": %" PRIu32 "}",
		    i > 0 ? "," : "", worker->name,
		    document->zones[rack->zone].name, rack->name,
		    rack->accelerators_per_worker);
	}
	buffer_puts(text, "\n]\n");
}

/* How to list and describe the items of one kind. */
struct diff_kind {
	const char *name;
	size_t (*count)(const struct document *document);
	/* Appends "NAME KEY=VALUE ..." with every key of the item. */
	void (*describe)(
	    const struct document *document, size_t index, struct buffer *text);
};

static size_t
count_zones(const struct document *document)
{
	return document->zones_count;
}

static void
describe_zone(
    const struct document *document, size_t index, struct buffer *text)
{
	const struct document_zone *zone = &document->zones[index];

	buffer_printf(text, "%s in_service=%s leave_deadline_ms=%" PRId32,
	    zone->name, zone->in_service ? "true" : "false",
	    zone->leave_deadline_ms);
}

static size_t
count_racks(const struct document *document)
{
	return document->racks_count;
}

static void
describe_rack(
    const struct document *document, size_t index, struct buffer *text)
{
	const struct document_rack *rack = &document->racks[index];

	buffer_printf(text,
	    "%s availability_zone=%s accelerators=%" PRIu32 " workers=",
	    rack->name, document->zones[rack->zone].name,
	    rack->accelerators_per_worker);
	for (uint32_t i = 0; i < rack->workers_count; i++)
		buffer_printf(text, "%s%s", i > 0 ? "," : "",
		    document->workers[rack->first_worker + i].name);
}

static size_t
count_workspaces(const struct document *document)
{
	return document->workspaces_count;
}

static void
describe_workspace(
    const struct document *document, size_t index, struct buffer *text)
{
	const struct document_workspace *workspace =
	    &document->workspaces[index];

	buffer_printf(text,
	    "%s max_queued_jobs=%" PRIu32 " max_accelerators=%" PRIu32
	    " max_jobs_per_s=%g burst_jobs=%" PRIu32 " guarantees=",
	    workspace->name, workspace->max_queued_jobs,
	    workspace->max_accelerators, workspace->max_jobs_per_s,
	    workspace->burst_jobs);
	for (uint32_t i = 0; i < workspace->guarantees_count; i++) {
		const struct document_guarantee *guarantee =
		    &document->guarantees[workspace->first_guarantee + i];

		buffer_printf(text,
		    "%s%s:%" PRIu32 "x%" PRIu32 "x%" PRIu32 "x%" PRIu32,
		    i > 0 ? "," : "", document->zones[guarantee->zone].name,
		    guarantee->count, guarantee->racks,
		    guarantee->workers_per_rack,
		    guarantee->accelerators_per_worker);
	}
}

static size_t
count_classes(const struct document *document)
{
	return document->classes_count;
}

static void
describe_class(
    const struct document *document, size_t index, struct buffer *text)
{
	const struct document_class *class = &document->classes[index];

	buffer_printf(text,
	    "%s precedence=%" PRIu32 " urgent=%s start_within_ms=%" PRId32
	    " objective_ms=%" PRId32 " objective_target=%g max_wait_ms=%" PRId32
	    " max_queued_jobs=%" PRIu32,
	    class->name, class->precedence, class->urgent ? "true" : "false",
	    class->start_within_ms, class->objective_ms,
	    class->objective_target, class->max_wait_ms,
	    class->max_queued_jobs);
}

static const struct diff_kind diff_kinds[] = {
    {
	.name = "availability_zone",
	.count = count_zones,
	.describe = describe_zone,
    },
    {.name = "rack", .count = count_racks, .describe = describe_rack},
    {
	.name = "workspace",
	.count = count_workspaces,
	.describe = describe_workspace,
    },
    {
	.name = "request_class",
	.count = count_classes,
	.describe = describe_class,
    },
};

static void
release_object(struct json_object **object)
{
	json_object_put(*object);
}

/* Returns an object that maps the name of each item of a kind to its keys and
 * values; the caller releases it. */
static struct json_object *
describe_all(const struct document *document, const struct diff_kind *kind)
{
	struct json_object *items = json_object_new_object();

	for (size_t i = 0; i < kind->count(document); i++) {
		CLEANUP(buffer_free) struct buffer text = {0};
		char *description;

		kind->describe(document, i, &text);
		description = strchr(text.data, ' ');
		*description = '\0';
		json_object_object_add(
		    items, text.data, json_object_new_string(description + 1));
	}
	return items;
}

/* Appends a line for each of items that others lacks or describes
 * differently. */
static void
diff_items(const char *sign, const struct diff_kind *kind,
    struct json_object *items, struct json_object *others, struct buffer *lines)
{
	struct json_object_iter iterator;

	json_object_object_foreachC(items, iterator)
	{
		const char *text = json_object_get_string(iterator.val);
		struct json_object *other;

		if (json_object_object_get_ex(others, iterator.key, &other) &&
		    strcmp(json_object_get_string(other), text) == 0)
			continue;
		buffer_printf(lines, "%s %s %s %s\n", sign, kind->name,
		    iterator.key, text);
	}
}

void
document_diff(const struct document *from, const struct document *to,
    struct buffer *lines)
{
	for (size_t i = 0; i < COUNT_OF(diff_kinds); i++) {
		CLEANUP(release_object)
		struct json_object *old_items =
		    describe_all(from, &diff_kinds[i]);
		CLEANUP(release_object)
		struct json_object *new_items =
		    describe_all(to, &diff_kinds[i]);

		diff_items("-", &diff_kinds[i], old_items, new_items, lines);
		diff_items("+", &diff_kinds[i], new_items, old_items, lines);
	}
}
