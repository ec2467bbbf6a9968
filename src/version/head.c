/* Reads, edits and writes the JSON value of the head. */
#include <inttypes.h>
#include <string.h>

#include "process/alloc.h"
#include "process/jsonc.h"
#include "version/head.h"

#define STEP "head"

static enum ibis_code
read_uint64(
    const struct jsonc_node *node, uint64_t *number, struct ibis_status *status)
{
	if (!json_object_is_type(node->value, json_type_int) ||
	    json_object_get_int64(node->value) < 0)
		return jsonc_error(
		    node, status, "expected a whole number of at least 0");
	*number = json_object_get_uint64(node->value);
	return IBIS_OK;
}

static enum ibis_code
read_sections(const struct jsonc_node *sections, struct head *head,
    struct ibis_status *status)
{
	struct json_object_iter iterator;
	enum ibis_code code = jsonc_require_object(sections, status);

	if (code != IBIS_OK)
		return code;
	head->sections =
	    mem_calloc((size_t)json_object_object_length(sections->value),
		sizeof(*head->sections));
	json_object_object_foreachC(sections->value, iterator)
	{
		struct head_section *section =
		    &head->sections[head->sections_count];
		struct jsonc_node node;

		(void)jsonc_member(sections, iterator.key, &node);
		code = jsonc_check_name(
		    &node, iterator.key, sizeof(section->name), status);
		if (code == IBIS_OK)
			code = read_uint64(&node, &section->revision, status);
		if (code != IBIS_OK)
			return code;
		STRING_COPY(section->name, iterator.key);
		head->sections_count++;
	}
	return IBIS_OK;
}

static enum ibis_code
read_cleared(const struct jsonc_node *zone_node, struct head_zone *zone,
    struct ibis_status *status)
{
	const struct jsonc_field field = {
	    .type = JSONC_TEXT,
	    .bytes = HEAD_ORDER_BYTES,
	};
	struct jsonc_node list;
	enum ibis_code code;

	if (!jsonc_member(zone_node, "cleared", &list))
		return IBIS_OK;
	code = jsonc_require_array(&list, 0, HEAD_MAX_CLEARED_ORDERS, status);
	if (code != IBIS_OK)
		return code;
	for (size_t i = 0; i < json_object_array_length(list.value); i++) {
		struct jsonc_node order = jsonc_element(&list, i);

		code =
		    jsonc_read_value(&order, &field, zone->cleared[i], status);
		if (code != IBIS_OK)
			return code;
	}
	return IBIS_OK;
}

static const struct jsonc_field zone_fields[] = {
    {
	.key = "out",
	.type = JSONC_BOOL,
	.required = true,
	.offset = offsetof(struct head_zone, out),
    },
    {
	.key = "order",
	.type = JSONC_TEXT,
	.required = true,
	.offset = offsetof(struct head_zone, order),
	.bytes = HEAD_ORDER_BYTES,
    },
    {.key = "cleared", .type = JSONC_CUSTOM},
};

static enum ibis_code
read_zones(const struct jsonc_node *zones, struct head *head,
    struct ibis_status *status)
{
	struct json_object_iter iterator;
	enum ibis_code code = jsonc_require_object(zones, status);

	if (code != IBIS_OK)
		return code;
	head->zones =
	    mem_calloc((size_t)json_object_object_length(zones->value),
		sizeof(*head->zones));
	json_object_object_foreachC(zones->value, iterator)
	{
		struct head_zone *zone = &head->zones[head->zones_count];
		struct jsonc_node node;

		(void)jsonc_member(zones, iterator.key, &node);
		code = jsonc_check_name(
		    &node, iterator.key, sizeof(zone->name), status);
		if (code == IBIS_OK)
			code = jsonc_read_fields(&node, zone_fields,
			    COUNT_OF(zone_fields), zone, status);
		if (code == IBIS_OK)
			code = read_cleared(&node, zone, status);
		if (code != IBIS_OK)
			return code;
		STRING_COPY(zone->name, iterator.key);
		head->zones_count++;
	}
	return IBIS_OK;
}

static const struct jsonc_field head_fields[] = {
    {.key = "version", .type = JSONC_CUSTOM, .required = true},
    {.key = "sections_version", .type = JSONC_CUSTOM, .required = true},
    {.key = "sections", .type = JSONC_CUSTOM, .required = true},
    {.key = "zones", .type = JSONC_CUSTOM, .required = true},
};

static enum ibis_code
read_head(
    const struct jsonc *json, struct head *head, struct ibis_status *status)
{
	struct jsonc_node root = jsonc_root(json);
	struct jsonc_node member;
	enum ibis_code code;
	char unused;

	code = jsonc_read_fields(
	    &root, head_fields, COUNT_OF(head_fields), &unused, status);
	if (code != IBIS_OK)
		return code;
	(void)jsonc_member(&root, "version", &member);
	code = read_uint64(&member, &head->version, status);
	if (code != IBIS_OK)
		return code;
	(void)jsonc_member(&root, "sections_version", &member);
	code = read_uint64(&member, &head->sections_version, status);
	if (code != IBIS_OK)
		return code;
	(void)jsonc_member(&root, "sections", &member);
	code = read_sections(&member, head, status);
	if (code != IBIS_OK)
		return code;
	(void)jsonc_member(&root, "zones", &member);
	return read_zones(&member, head, status);
}

struct head *
head_parse(const char *text, size_t length, struct ibis_status *status)
{
	CLEANUP(mem_free_string) char *copy = mem_strndup(text, length);
	CLEANUP(jsonc_free) struct jsonc json = {0};
	struct head *head;

	if (strlen(copy) != length) {
		ibis_status_set(
		    status, IBIS_INVALID, STEP, NULL, "contains a NUL byte");
		return NULL;
	}
	if (!jsonc_parse(&json, copy, STEP, "head", status))
		return NULL;
	head = mem_calloc(1, sizeof(*head));
	if (read_head(&json, head, status) == IBIS_OK)
		return head;
	head_free(head);
	return NULL;
}

static struct json_object *
write_zone(const struct head_zone *zone)
{
	struct json_object *object = json_object_new_object();
	struct json_object *cleared = json_object_new_array();

	json_object_object_add(
	    object, "out", json_object_new_boolean(zone->out));
	json_object_object_add(
	    object, "order", json_object_new_string(zone->order));
	for (size_t i = 0; i < HEAD_MAX_CLEARED_ORDERS; i++) {
		if (zone->cleared[i][0] != '\0')
			json_object_array_add(
			    cleared, json_object_new_string(zone->cleared[i]));
	}
	json_object_object_add(object, "cleared", cleared);
	return object;
}

void
head_write(const struct head *head, struct buffer *text)
{
	struct json_object *root = json_object_new_object();
	struct json_object *sections = json_object_new_object();
	struct json_object *zones = json_object_new_object();

	for (size_t i = 0; i < head->sections_count; i++)
		json_object_object_add(sections, head->sections[i].name,
		    json_object_new_uint64(head->sections[i].revision));
	for (size_t i = 0; i < head->zones_count; i++)
		json_object_object_add(
		    zones, head->zones[i].name, write_zone(&head->zones[i]));
	json_object_object_add(
	    root, "version", json_object_new_uint64(head->version));
	json_object_object_add(root, "sections_version",
	    json_object_new_uint64(head->sections_version));
	json_object_object_add(root, "sections", sections);
	json_object_object_add(root, "zones", zones);
	buffer_puts(
	    text, json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
}

struct head *
head_copy(const struct head *head)
{
	struct head *copy = mem_calloc(1, sizeof(*copy));

	*copy = *head;
	copy->sections =
	    mem_calloc(head->sections_count, sizeof(*copy->sections));
	if (head->sections_count > 0)
		memcpy(copy->sections, head->sections,
		    head->sections_count * sizeof(*copy->sections));
	copy->zones = mem_calloc(head->zones_count, sizeof(*copy->zones));
	if (head->zones_count > 0)
		memcpy(copy->zones, head->zones,
		    head->zones_count * sizeof(*copy->zones));
	return copy;
}

void
head_free(struct head *head)
{
	if (head == NULL)
		return;
	mem_free(head->sections);
	mem_free(head->zones);
	mem_free(head);
}

static struct head_section *
find_section(const struct head *head, const char *name)
{
	for (size_t i = 0; i < head->sections_count; i++) {
		if (strcmp(head->sections[i].name, name) == 0)
			return &head->sections[i];
	}
	return NULL;
}

uint64_t
head_section_revision(const struct head *head, const char *name)
{
	const struct head_section *section = find_section(head, name);

	return section == NULL ? 0 : section->revision;
}

static void
add_section(struct head *head, const char *name, uint64_t revision)
{
	struct head_section *section;

	head->sections = mem_realloc(head->sections,
	    (head->sections_count + 1) * sizeof(*head->sections));
	section = &head->sections[head->sections_count++];
	*section = (struct head_section){.revision = revision};
	STRING_COPY(section->name, name);
}

static void
remove_section(struct head *head, struct head_section *section)
{
	head->sections_count--;
	*section = head->sections[head->sections_count];
}

enum ibis_code
head_set_section(struct head *head, const char *name, uint64_t expected,
    uint64_t new_revision, struct ibis_status *status)
{
	struct head_section *section = find_section(head, name);
	uint64_t current = section == NULL ? 0 : section->revision;

	if (current != expected)
		return ibis_status_set(status, IBIS_CONFLICT, STEP, NULL,
		    "section %s: the current revision is %" PRIu64
		    "; the edit is based on revision %" PRIu64,
		    name, current, expected);
	if (section == NULL && new_revision != 0)
		add_section(head, name, new_revision);
	else if (section != NULL && new_revision == 0)
		remove_section(head, section);
	else if (section != NULL)
		section->revision = new_revision;
	return IBIS_OK;
}

static struct head_zone *
find_zone(const struct head *head, const char *name)
{
	for (size_t i = 0; i < head->zones_count; i++) {
		if (strcmp(head->zones[i].name, name) == 0)
			return &head->zones[i];
	}
	return NULL;
}

static struct head_zone *
find_or_add_zone(struct head *head, const char *name)
{
	struct head_zone *zone = find_zone(head, name);

	if (zone != NULL)
		return zone;
	head->zones = mem_realloc(
	    head->zones, (head->zones_count + 1) * sizeof(*head->zones));
	zone = &head->zones[head->zones_count++];
	*zone = (struct head_zone){0};
	STRING_COPY(zone->name, name);
	return zone;
}

static bool
zone_contains_order(const struct head_zone *zone, const char *order)
{
	if (*order == '\0')
		return false;
	if (strcmp(zone->order, order) == 0)
		return true;
	for (size_t i = 0; i < HEAD_MAX_CLEARED_ORDERS; i++) {
		if (strcmp(zone->cleared[i], order) == 0)
			return true;
	}
	return false;
}

/* Adds an order to the cleared ones; drops the oldest when there are too
 * many. */
static void
add_cleared_order(struct head_zone *zone, const char *order)
{
	if (*order == '\0')
		return;
	memmove(zone->cleared[1], zone->cleared[0],
	    sizeof(zone->cleared) - sizeof(zone->cleared[0]));
	STRING_COPY(zone->cleared[0], order);
}

/* Sets a zone's last order and moves the previous one to the cleared ones. */
static void
replace_order(struct head_zone *zone, const char *order)
{
	add_cleared_order(zone, zone->order);
	STRING_COPY(zone->order, order);
}

void
head_take_zone_out(struct head *head, const char *zone, const char *order)
{
	struct head_zone *entry = find_or_add_zone(head, zone);

	if (zone_contains_order(entry, order))
		return;
	replace_order(entry, order);
	entry->out = true;
}

void
head_put_zone_in_service(struct head *head, const char *zone, const char *order,
    const char *const *cleared, size_t count)
{
	struct head_zone *entry = find_or_add_zone(head, zone);

	if (zone_contains_order(entry, order))
		return;
	for (size_t i = 0; i < count; i++) {
		if (!zone_contains_order(entry, cleared[i]))
			add_cleared_order(entry, cleared[i]);
	}
	replace_order(entry, order);
	entry->out = false;
}

bool
head_zone_is_out(const struct head *head, const char *zone)
{
	const struct head_zone *entry = find_zone(head, zone);

	return entry != NULL && entry->out;
}

const char *
head_zone_out_order(const struct head *head, const char *zone)
{
	const struct head_zone *entry = find_zone(head, zone);

	return entry != NULL && entry->out ? entry->order : NULL;
}

bool
head_contains_order(
    const struct head *head, const char *zone, const char *order)
{
	const struct head_zone *entry = find_zone(head, zone);

	return entry != NULL && zone_contains_order(entry, order);
}
