/* JSON bodies of a spread's answers. */
#include <string.h>

#include <json-c/json.h>

#include "process/alloc.h"
#include "version/spread_parts.h"

static bool
has_reached(const struct spread_op *op, const struct spread_peer *peer)
{
	if (op->accepted_version != 0 && peer->version >= op->accepted_version)
		return true;
	for (size_t i = 0; i < op->acks_count; i++) {
		if (strcmp(op->acks[i], peer->name) == 0)
			return true;
	}
	return false;
}

bool
spread_reached_all(const struct spread *spread, const struct spread_op *op)
{
	for (size_t i = 0; i < spread->peers_count; i++) {
		if (!has_reached(op, &spread->peers[i]))
			return false;
	}
	return true;
}

/* Tells whether an operation is in force on this instance. */
static bool
has_reached_self(const struct spread *spread, const struct spread_op *op)
{
	return op->kind == OP_ZONE_OUT ||
	    spread_version(spread) >= op->accepted_version;
}

static void
add_reached(const struct spread *spread, const struct spread_op *op,
    struct json_object *root)
{
	struct json_object *reached = json_object_new_array();
	struct json_object *missing = json_object_new_array();

	json_object_array_add(has_reached_self(spread, op) ? reached : missing,
	    json_object_new_string(spread->name));
	for (size_t i = 0; i < spread->peers_count; i++) {
		const struct spread_peer *peer = &spread->peers[i];

		json_object_array_add(has_reached(op, peer) ? reached : missing,
		    json_object_new_string(peer->name));
	}
	json_object_object_add(root, "reached", reached);
	json_object_object_add(root, "missing", missing);
}

static void
finish(struct json_object *root, struct buffer *json)
{
	buffer_puts(json,
	    json_object_to_json_string_ext(root, JSON_C_TO_STRING_SPACED));
	json_object_put(root);
}

void
spread_report_zone(const struct spread *spread, const struct spread_op *op,
    struct buffer *json)
{
	struct json_object *root = json_object_new_object();
	bool durable = op->accepted_version != 0;

	json_object_object_add(root, "zone", json_object_new_string(op->zone));
	json_object_object_add(
	    root, "order", json_object_new_string(op->order));
	json_object_object_add(
	    root, "durable", json_object_new_boolean(durable));
	json_object_object_add(root, "version",
	    json_object_new_uint64(
		durable ? op->accepted_version : spread_version(spread)));
	add_reached(spread, op, root);
	finish(root, json);
}

/* Returns an array of the lines of a text. */
static struct json_object *
lines_of(const struct buffer *text)
{
	struct json_object *lines = json_object_new_array();
	const char *line = buffer_string(text);

	while (*line != '\0') {
		size_t length = strcspn(line, "\n");

		json_object_array_add(
		    lines, json_object_new_string_len(line, (int)length));
		line += length;
		if (*line == '\n')
			line++;
	}
	return lines;
}

void
spread_report_edit(const struct spread *spread, const struct spread_op *op,
    struct buffer *json)
{
	struct json_object *root = json_object_new_object();

	json_object_object_add(
	    root, "dry_run", json_object_new_boolean(op->dry_run));
	json_object_object_add(root, "version",
	    json_object_new_uint64(
		op->dry_run ? spread_version(spread) : op->accepted_version));
	json_object_object_add(root, "warnings", lines_of(&op->warnings));
	json_object_object_add(root, "difference", lines_of(&op->difference));
	if (!op->dry_run)
		add_reached(spread, op, root);
	finish(root, json);
}

static struct json_object *
zones_out(const struct spread *spread)
{
	struct json_object *zones = json_object_new_array();
	const struct document *document = spread->force.document;

	for (size_t i = 0; document != NULL && i < document->zones_count; i++) {
		if (!spread_zone_open(spread, document->zones[i].name))
			json_object_array_add(zones,
			    json_object_new_string(document->zones[i].name));
	}
	return zones;
}

void
spread_report_document(const struct spread *spread, struct buffer *json)
{
	struct json_object *root = json_object_new_object();
	struct json_object *sections = json_object_new_object();

	for (size_t i = 0; i < spread->force.sections_count; i++) {
		const struct document_source *source =
		    &spread->force.sections[i];
		struct json_object *section = json_object_new_object();

		json_object_object_add(section, "revision",
		    json_object_new_uint64(source->revision));
		json_object_object_add(
		    section, "text", json_object_new_string(source->text));
		json_object_object_add(sections, source->name, section);
	}
	json_object_object_add(
	    root, "version", json_object_new_uint64(spread_version(spread)));
	json_object_object_add(root, "sections", sections);
	json_object_object_add(root, "zones_out", zones_out(spread));
	finish(root, json);
}

static void
add_instance(struct json_object *list, const char *name, uint64_t version)
{
	struct json_object *instance = json_object_new_object();

	json_object_object_add(instance, "name", json_object_new_string(name));
	json_object_object_add(
	    instance, "version", json_object_new_uint64(version));
	json_object_array_add(list, instance);
}

void
spread_report_status(const struct spread *spread, struct buffer *json)
{
	struct json_object *root = json_object_new_object();
	struct json_object *instances = json_object_new_array();
	uint64_t version = spread_version(spread);
	bool everywhere = version != 0;

	add_instance(instances, spread->name, version);
	for (size_t i = 0; i < spread->peers_count; i++) {
		const struct spread_peer *peer = &spread->peers[i];

		everywhere = everywhere && peer->version == version;
		add_instance(instances, peer->name, peer->version);
	}
	json_object_object_add(
	    root, "version", json_object_new_uint64(version));
	json_object_object_add(
	    root, "in_force_everywhere", json_object_new_boolean(everywhere));
	json_object_object_add(root, "instances", instances);
	finish(root, json);
}
