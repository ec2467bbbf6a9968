/* JSON bodies of the answers to operators' requests. */
#include <string.h>

#include <json-c/json.h>

#include "process/alloc.h"
#include "version/replication_internal.h"

static bool
has_peer_applied(
    const struct replication_op *op, const struct replication_peer *peer)
{
	if (op->accepted_version != 0 && peer->version >= op->accepted_version)
		return true;
	for (size_t i = 0; i < op->acked_peers_count; i++) {
		if (strcmp(op->acked_peers[i], peer->name) == 0)
			return true;
	}
	return false;
}

bool
replication_reached_all_peers(
    const struct replication *replication, const struct replication_op *op)
{
	for (size_t i = 0; i < replication->peers_count; i++) {
		if (!has_peer_applied(op, &replication->peers[i]))
			return false;
	}
	return true;
}

/* Returns whether this instance applies an operation; a hold applies at once.
 */
static bool
is_applied_here(
    const struct replication *replication, const struct replication_op *op)
{
	return op->kind == OP_ZONE_OUT ||
	    replication_version(replication) >= op->accepted_version;
}

static void
add_reached(const struct replication *replication,
    const struct replication_op *op, struct json_object *root)
{
	struct json_object *reached = json_object_new_array();
	struct json_object *missing = json_object_new_array();

	json_object_array_add(
	    is_applied_here(replication, op) ? reached : missing,
	    json_object_new_string(replication->name));
	for (size_t i = 0; i < replication->peers_count; i++) {
		const struct replication_peer *peer = &replication->peers[i];

		json_object_array_add(
		    has_peer_applied(op, peer) ? reached : missing,
		    json_object_new_string(peer->name));
	}
	json_object_object_add(root, "reached", reached);
	json_object_object_add(root, "missing", missing);
}

static void
write_json(struct json_object *root, struct buffer *json)
{
	buffer_puts(json,
	    json_object_to_json_string_ext(root, JSON_C_TO_STRING_SPACED));
	json_object_put(root);
}

void
replication_report_zone(const struct replication *replication,
    const struct replication_op *op, struct buffer *json)
{
	struct json_object *root = json_object_new_object();
	bool stored = op->accepted_version != 0;

	json_object_object_add(root, "zone", json_object_new_string(op->zone));
	json_object_object_add(
	    root, "order", json_object_new_string(op->order));
	json_object_object_add(
	    root, "durable", json_object_new_boolean(stored));
	json_object_object_add(root, "version",
	    json_object_new_uint64(stored ? op->accepted_version
					  : replication_version(replication)));
	add_reached(replication, op, root);
	write_json(root, json);
}

/* Returns the lines of a text as a JSON array. */
static struct json_object *
split_lines(const struct buffer *text)
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
replication_report_edit(const struct replication *replication,
    const struct replication_op *op, struct buffer *json)
{
	struct json_object *root = json_object_new_object();

	json_object_object_add(
	    root, "dry_run", json_object_new_boolean(op->dry_run));
	json_object_object_add(root, "version",
	    json_object_new_uint64(op->dry_run
		    ? replication_version(replication)
		    : op->accepted_version));
	json_object_object_add(root, "warnings", split_lines(&op->warnings));
	json_object_object_add(
	    root, "difference", split_lines(&op->difference));
	if (!op->dry_run)
		add_reached(replication, op, root);
	write_json(root, json);
}

static struct json_object *
list_closed_zones(const struct replication *replication)
{
	struct json_object *zones = json_object_new_array();
	const struct document *document = replication->in_force.document;

	for (size_t i = 0; document != NULL && i < document->zones_count; i++) {
		if (!replication_zone_open(
			replication, document->zones[i].name))
			json_object_array_add(zones,
			    json_object_new_string(document->zones[i].name));
	}
	return zones;
}

void
replication_report_document(
    const struct replication *replication, struct buffer *json)
{
	struct json_object *root = json_object_new_object();
	struct json_object *sections = json_object_new_object();

	for (size_t i = 0; i < replication->in_force.sections_count; i++) {
		const struct document_source *source =
		    &replication->in_force.sections[i];
		struct json_object *section = json_object_new_object();

		json_object_object_add(section, "revision",
		    json_object_new_uint64(source->revision));
		json_object_object_add(
		    section, "text", json_object_new_string(source->text));
		json_object_object_add(sections, source->name, section);
	}
	json_object_object_add(root, "version",
	    json_object_new_uint64(replication_version(replication)));
	json_object_object_add(root, "sections", sections);
	json_object_object_add(
	    root, "zones_out", list_closed_zones(replication));
	write_json(root, json);
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
replication_report_status(
    const struct replication *replication, struct buffer *json)
{
	struct json_object *root = json_object_new_object();
	struct json_object *instances = json_object_new_array();
	uint64_t version = replication_version(replication);
	bool everywhere = version != 0;

	add_instance(instances, replication->name, version);
	for (size_t i = 0; i < replication->peers_count; i++) {
		const struct replication_peer *peer = &replication->peers[i];

		everywhere = everywhere && peer->version == version;
		add_instance(instances, peer->name, peer->version);
	}
	json_object_object_add(
	    root, "version", json_object_new_uint64(version));
	json_object_object_add(
	    root, "in_force_everywhere", json_object_new_boolean(everywhere));
	json_object_object_add(root, "instances", instances);
	write_json(root, json);
}
