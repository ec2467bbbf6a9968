/* Parses the sections of a document and resolves the names in them. */
#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "process/alloc.h"
#include "process/jsonc.h"
#include "version/document.h"
#include "version/document_check.h"
#include "version/document_fields.h"

#define STEP	       "document"
#define MAX_SECTIONS   256
#define MAX_ZONES      64
#define MAX_RACKS      4096
#define MAX_WORKERS    16384
#define MAX_WORKSPACES 1024
#define MAX_GUARANTEES 64 /* per workspace */
#define MAX_CLASSES    256
#define SOURCE_BYTES   (JOB_NAME_BYTES + 16) /* "section NAME" */

enum item_kind {
	KIND_ZONE,
	KIND_RACK,
	KIND_WORKSPACE,
	KIND_CLASS,
	KIND_WORKER, /* listed in the racks, not in a group */
	KIND_COUNT
};

#define GROUPS_COUNT KIND_WORKER /* the kinds before it are groups */

static const char *const kind_names[KIND_COUNT] = {
    [KIND_ZONE] = "availability zone",
    [KIND_RACK] = "rack",
    [KIND_WORKSPACE] = "workspace",
    [KIND_CLASS] = "request class",
    [KIND_WORKER] = "worker",
};

static const struct jsonc_field group_fields[GROUPS_COUNT] = {
    [KIND_ZONE] = {.key = "availability_zones", .type = JSONC_CUSTOM},
    [KIND_RACK] = {.key = "endpoints", .type = JSONC_CUSTOM},
    [KIND_WORKSPACE] = {.key = "workspaces", .type = JSONC_CUSTOM},
    [KIND_CLASS] = {.key = "request_classes", .type = JSONC_CUSTOM},
};

struct parsed_section {
	struct jsonc json;
	char source[SOURCE_BYTES]; /* its name in error messages */
};

struct parser {
	struct parsed_section *sections;
	size_t sections_count;
	struct document *document;
	size_t zones_capacity;
	size_t racks_capacity;
	size_t workers_capacity;
	size_t guarantees_capacity;
	size_t workspaces_capacity;
	size_t classes_capacity;
	uint64_t rack_parts; /* racks x count of the guarantees read */
	/* by kind: maps a name to the index of the section that defines it */
	struct json_object *names[KIND_COUNT];
	struct ibis_status *status;
};

/* Records that a section defines a name. Fails if the name is malformed or
 * already defined. */
static enum ibis_code
define_name(struct parser *parser, enum item_kind kind, size_t section,
    const char *name, const struct jsonc_node *node)
{
	struct json_object *first;
	enum ibis_code code =
	    jsonc_check_name(node, name, JOB_NAME_BYTES, parser->status);

	if (code != IBIS_OK)
		return code;
	if (json_object_object_get_ex(parser->names[kind], name, &first)) {
		size_t other = (size_t)json_object_get_int64(first);

		return jsonc_error(node, parser->status,
		    "%s %s is defined twice: in %s and in %s", kind_names[kind],
		    name, parser->sections[other].source,
		    parser->sections[section].source);
	}
	json_object_object_add(
	    parser->names[kind], name, json_object_new_int64((int64_t)section));
	return IBIS_OK;
}

/* Fails if one more item of the kind would exceed its limit. */
static enum ibis_code
check_limit(const struct parser *parser, enum item_kind kind, size_t count,
    size_t limit, const struct jsonc_node *node)
{
	if (count < limit)
		return IBIS_OK;
	return jsonc_error(node, parser->status,
	    "more than %zu items of kind %s", limit, kind_names[kind]);
}

/* Looks up the zone that an item's availability_zone names. */
static enum ibis_code
resolve_zone(const struct parser *parser, const char *name,
    const struct jsonc_node *node, uint32_t *zone)
{
	int index = document_find_zone(parser->document, name);
	struct jsonc_node member;

	if (index >= 0) {
		*zone = (uint32_t)index;
		return IBIS_OK;
	}
	(void)jsonc_member(node, "availability_zone", &member);
	return jsonc_error(&member, parser->status,
	    "no section defines availability zone %s", name);
}

static enum ibis_code
read_zone(
    struct parser *parser, const char *name, const struct jsonc_node *node)
{
	struct document *document = parser->document;
	struct document_zone zone;
	enum ibis_code code = check_limit(
	    parser, KIND_ZONE, document->zones_count, MAX_ZONES, node);

	if (code == IBIS_OK)
		code = document_read_zone(node, &zone, parser->status);
	if (code != IBIS_OK)
		return code;
	STRING_COPY(zone.name, name);
	document->zones = mem_grow(document->zones, &parser->zones_capacity,
	    document->zones_count + 1, sizeof(zone));
	document->zones[document->zones_count++] = zone;
	return IBIS_OK;
}

static enum ibis_code
read_worker(
    struct parser *parser, size_t section, const struct jsonc_node *node)
{
	struct document *document = parser->document;
	struct document_worker worker = {
	    .rack = (uint32_t)document->racks_count,
	};
	const struct jsonc_field field = {
	    .type = JSONC_NAME,
	    .bytes = sizeof(worker.name),
	};
	enum ibis_code code = check_limit(
	    parser, KIND_WORKER, document->workers_count, MAX_WORKERS, node);

	if (code == IBIS_OK)
		code =
		    jsonc_read_value(node, &field, worker.name, parser->status);
	if (code == IBIS_OK)
		code = define_name(
		    parser, KIND_WORKER, section, worker.name, node);
	if (code != IBIS_OK)
		return code;
	document->workers =
	    mem_grow(document->workers, &parser->workers_capacity,
		document->workers_count + 1, sizeof(worker));
	document->workers[document->workers_count++] = worker;
	return IBIS_OK;
}

static enum ibis_code
read_workers(struct parser *parser, size_t section,
    const struct jsonc_node *rack, uint32_t *count)
{
	struct jsonc_node list;
	enum ibis_code code;

	(void)jsonc_member(rack, "workers", &list);
	code = jsonc_require_array(
	    &list, 1, DOCUMENT_MAX_RACK_WORKERS, parser->status);
	if (code != IBIS_OK)
		return code;
	*count = (uint32_t)json_object_array_length(list.value);
	for (uint32_t i = 0; i < *count && code == IBIS_OK; i++) {
		struct jsonc_node worker = jsonc_element(&list, i);

		code = read_worker(parser, section, &worker);
	}
	return code;
}

static enum ibis_code
read_rack(struct parser *parser, size_t section, const char *name,
    const struct jsonc_node *node)
{
	struct document *document = parser->document;
	struct rack_fields read;
	struct document_rack rack = {
	    .first_worker = (uint32_t)document->workers_count,
	};
	enum ibis_code code = check_limit(
	    parser, KIND_RACK, document->racks_count, MAX_RACKS, node);

	if (code == IBIS_OK)
		code = document_read_rack(node, &read, parser->status);
	if (code == IBIS_OK)
		code = resolve_zone(parser, read.zone, node, &rack.zone);
	if (code == IBIS_OK)
		code = read_workers(parser, section, node, &rack.workers_count);
	if (code != IBIS_OK)
		return code;
	STRING_COPY(rack.name, name);
	rack.accelerators_per_worker = read.accelerators;
	document->racks = mem_grow(document->racks, &parser->racks_capacity,
	    document->racks_count + 1, sizeof(rack));
	document->racks[document->racks_count++] = rack;
	return IBIS_OK;
}

static enum ibis_code
read_guarantee(struct parser *parser, const struct jsonc_node *node)
{
	struct document *document = parser->document;
	struct guarantee_fields read;
	struct document_guarantee *guarantee = &read.guarantee;
	enum ibis_code code =
	    document_read_guarantee(node, &read, parser->status);

	if (code == IBIS_OK)
		code = resolve_zone(parser, read.zone, node, &guarantee->zone);
	if (code != IBIS_OK)
		return code;
	parser->rack_parts += (uint64_t)guarantee->count * guarantee->racks;
	if (parser->rack_parts > DOCUMENT_MAX_RACK_PARTS)
		return jsonc_error(node, parser->status,
		    "the sum of racks x count of all guarantees exceeds %d",
		    DOCUMENT_MAX_RACK_PARTS);
	document->guarantees =
	    mem_grow(document->guarantees, &parser->guarantees_capacity,
		document->guarantees_count + 1, sizeof(*guarantee));
	document->guarantees[document->guarantees_count++] = *guarantee;
	return IBIS_OK;
}

static enum ibis_code
read_guarantees(
    struct parser *parser, const struct jsonc_node *workspace, uint32_t *count)
{
	struct jsonc_node list;
	enum ibis_code code;

	if (!jsonc_member(workspace, "guarantees", &list))
		return IBIS_OK;
	code = jsonc_require_array(&list, 0, MAX_GUARANTEES, parser->status);
	if (code != IBIS_OK)
		return code;
	*count = (uint32_t)json_object_array_length(list.value);
	for (uint32_t i = 0; i < *count && code == IBIS_OK; i++) {
		struct jsonc_node guarantee = jsonc_element(&list, i);

		code = read_guarantee(parser, &guarantee);
	}
	return code;
}

/* Fails if a workspace's quota is below its guarantees. */
static enum ibis_code
check_quota(const struct parser *parser,
    const struct document_workspace *workspace, const struct jsonc_node *node)
{
	uint64_t guaranteed = 0;

	for (uint32_t i = 0; i < workspace->guarantees_count; i++)
		guaranteed += document_guarantee_accelerators(
		    &parser->document
			 ->guarantees[workspace->first_guarantee + i]);
	if (workspace->max_accelerators == 0 ||
	    workspace->max_accelerators >= guaranteed)
		return IBIS_OK;
	return jsonc_error(node, parser->status,
	    "max_accelerators is %" PRIu32 ", below the %" PRIu64
	    " accelerators guaranteed",
	    workspace->max_accelerators, guaranteed);
}

static enum ibis_code
read_workspace(
    struct parser *parser, const char *name, const struct jsonc_node *node)
{
	struct document *document = parser->document;
	struct document_workspace workspace;
	enum ibis_code code = check_limit(parser, KIND_WORKSPACE,
	    document->workspaces_count, MAX_WORKSPACES, node);

	if (code == IBIS_OK)
		code =
		    document_read_workspace(node, &workspace, parser->status);
	if (code != IBIS_OK)
		return code;
	STRING_COPY(workspace.name, name);
	workspace.first_guarantee = (uint32_t)document->guarantees_count;

	code = read_guarantees(parser, node, &workspace.guarantees_count);
	if (code == IBIS_OK)
		code = check_quota(parser, &workspace, node);
	if (code != IBIS_OK)
		return code;
	document->workspaces =
	    mem_grow(document->workspaces, &parser->workspaces_capacity,
		document->workspaces_count + 1, sizeof(workspace));
	document->workspaces[document->workspaces_count++] = workspace;
	return IBIS_OK;
}

static enum ibis_code
read_class(
    struct parser *parser, const char *name, const struct jsonc_node *node)
{
	struct document *document = parser->document;
	struct document_class class;
	enum ibis_code code = check_limit(
	    parser, KIND_CLASS, document->classes_count, MAX_CLASSES, node);

	if (code == IBIS_OK)
		code = document_read_class(node, &class, parser->status);
	if (code != IBIS_OK)
		return code;
	STRING_COPY(class.name, name);
	document->classes =
	    mem_grow(document->classes, &parser->classes_capacity,
		document->classes_count + 1, sizeof(class));
	document->classes[document->classes_count++] = class;
	return IBIS_OK;
}

static enum ibis_code
read_item(struct parser *parser, enum item_kind kind, size_t section,
    const char *name, const struct jsonc_node *node)
{
	enum ibis_code code = define_name(parser, kind, section, name, node);

	if (code != IBIS_OK)
		return code;
	switch (kind) {
	case KIND_ZONE:
		return read_zone(parser, name, node);
	case KIND_RACK:
		return read_rack(parser, section, name, node);
	case KIND_WORKSPACE:
		return read_workspace(parser, name, node);
	case KIND_CLASS:
		return read_class(parser, name, node);
	case KIND_WORKER:
	case KIND_COUNT:
		break;
	}
	return IBIS_INTERNAL;
}

/* Reads the items of one kind from one section. */
static enum ibis_code
read_group(struct parser *parser, enum item_kind kind, size_t section)
{
	struct jsonc_node root = jsonc_root(&parser->sections[section].json);
	struct json_object_iter iterator;
	struct jsonc_node group;
	enum ibis_code code;

	if (!jsonc_member(&root, group_fields[kind].key, &group))
		return IBIS_OK;
	code = jsonc_require_object(&group, parser->status);
	if (code != IBIS_OK)
		return code;
	json_object_object_foreachC(group.value, iterator)
	{
		struct jsonc_node item;

		(void)jsonc_member(&group, iterator.key, &item);
		code = read_item(parser, kind, section, iterator.key, &item);
		if (code != IBIS_OK)
			return code;
	}
	return IBIS_OK;
}

/* Reads one kind after the other from all sections: a rack or a guarantee may
 * refer to a zone that a later section defines. */
static enum ibis_code
read_groups(struct parser *parser)
{
	enum ibis_code code = IBIS_OK;

	for (enum item_kind kind = 0; kind < GROUPS_COUNT; kind++) {
		for (size_t i = 0; i < parser->sections_count; i++) {
			code = read_group(parser, kind, i);
			if (code != IBIS_OK)
				return code;
		}
	}
	return code;
}

static enum ibis_code
parse_section(
    struct parser *parser, const struct document_source *source, size_t index)
{
	struct parsed_section *section = &parser->sections[index];
	struct jsonc_node root;
	char unused;

	(void)snprintf(section->source, sizeof(section->source), "section %s",
	    source->name);
	if (!jsonc_parse(&section->json, source->text, STEP, section->source,
		parser->status))
		return IBIS_INVALID;
	root = jsonc_root(&section->json);
	return jsonc_read_fields(
	    &root, group_fields, GROUPS_COUNT, &unused, parser->status);
}

static enum ibis_code
parse_sections(struct parser *parser, const struct document_source *sources)
{
	enum ibis_code code = IBIS_OK;

	if (parser->sections_count > MAX_SECTIONS)
		return ibis_status_set(parser->status, IBIS_INVALID, STEP, NULL,
		    "%zu sections; expected at most %d", parser->sections_count,
		    MAX_SECTIONS);
	parser->sections =
	    mem_calloc(parser->sections_count, sizeof(*parser->sections));
	for (size_t i = 0; i < parser->sections_count && code == IBIS_OK; i++)
		code = parse_section(parser, &sources[i], i);
	return code;
}

/* Fails if the guarantees can't all be placed at once; the error points at the
 * workspace of the first shape that couldn't be placed. */
static enum ibis_code
check_guarantees(const struct parser *parser)
{
	const struct document *document = parser->document;
	struct document_unplaced unplaced;
	struct json_object *section;
	struct jsonc_node workspace;
	struct jsonc_node group;
	struct jsonc_node root;
	const char *name;

	if (document_guarantees_fit(document, &unplaced))
		return IBIS_OK;
	name = document->workspaces[unplaced.workspace].name;
	(void)json_object_object_get_ex(
	    parser->names[KIND_WORKSPACE], name, &section);
	root =
	    jsonc_root(&parser->sections[json_object_get_int64(section)].json);
	(void)jsonc_member(&root, group_fields[KIND_WORKSPACE].key, &group);
	(void)jsonc_member(&group, name, &workspace);
	return jsonc_error(&workspace, parser->status,
	    "the guarantees in availability zone %s can't all be placed at "
	    "once: needed %" PRIu64 " accelerators, present %" PRIu64,
	    document->zones[unplaced.zone].name, unplaced.required_accelerators,
	    unplaced.available_accelerators);
}

static void
free_parser(struct parser *parser)
{
	for (size_t i = 0;
	     parser->sections != NULL && i < parser->sections_count; i++)
		jsonc_free(&parser->sections[i].json);
	mem_free(parser->sections);
	for (size_t i = 0; i < KIND_COUNT; i++)
		json_object_put(parser->names[i]);
	document_free(parser->document);
}

struct document *
document_parse(const struct document_source *sections, size_t count,
    struct buffer *warnings, struct ibis_status *status)
{
	CLEANUP(free_parser)
	struct parser parser = {
	    .sections_count = count,
	    .status = status,
	};
	struct document *document;

	parser.document = mem_calloc(1, sizeof(*parser.document));
	for (size_t i = 0; i < KIND_COUNT; i++)
		parser.names[i] = json_object_new_object();
	if (parse_sections(&parser, sections) != IBIS_OK ||
	    read_groups(&parser) != IBIS_OK ||
	    check_guarantees(&parser) != IBIS_OK)
		return NULL;
	document_warn_largest_zone(parser.document, warnings);
	document = parser.document;
	parser.document = NULL;
	return document;
}

void
document_free(struct document *document)
{
	if (document == NULL)
		return;
	mem_free(document->zones);
	mem_free(document->racks);
	mem_free(document->workers);
	mem_free(document->guarantees);
	mem_free(document->workspaces);
	mem_free(document->classes);
	mem_free(document);
}

int
document_find_zone(const struct document *document, const char *name)
{
	for (size_t i = 0; i < document->zones_count; i++) {
		if (strcmp(document->zones[i].name, name) == 0)
			return (int)i;
	}
	return -1;
}

int
document_find_worker(const struct document *document, const char *name)
{
	for (size_t i = 0; i < document->workers_count; i++) {
		if (strcmp(document->workers[i].name, name) == 0)
			return (int)i;
	}
	return -1;
}

int
document_find_workspace(const struct document *document, const char *name)
{
	for (size_t i = 0; i < document->workspaces_count; i++) {
		if (strcmp(document->workspaces[i].name, name) == 0)
			return (int)i;
	}
	return -1;
}

int
document_find_class(const struct document *document, const char *name)
{
	for (size_t i = 0; i < document->classes_count; i++) {
		if (strcmp(document->classes[i].name, name) == 0)
			return (int)i;
	}
	return -1;
}
