#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include "process/alloc.h"
#include "process/control.h"
#include "process/log.h"

#define HEAD_KEY       "document/head"
#define POLL_MS	       400
#define RETRY_AFTER_MS 2000

/* An operator's change on its way into the store. */
struct edit {
	struct cds_list_head node;
	struct origin origin;
	Ibis__RequestKind kind;
	char zone[JOB_NAME_BYTES];
	char order[HEAD_ORDER_BYTES];
	struct document_source *sources;
	size_t sources_count;
	size_t to_write;
	struct head *next;
	bool swapping;
};

struct document_part {
	struct head *head; /* of the version in force */
	uint64_t head_revision;
	struct document *document;
	struct document_source *sources;
	size_t sources_count;
	/* a newer version that is being fetched */
	struct head *coming;
	uint64_t coming_revision;
	struct document_source *fetched;
	size_t to_fetch;
	bool polling;
	int64_t poll_sent_ms;
	int64_t next_poll_ms;
	struct cds_list_head edits;
	uint64_t next_order;
};

void
control_document_start(struct control *control)
{
	control->documents = mem_calloc(1, sizeof(*control->documents));
	CDS_INIT_LIST_HEAD(&control->documents->edits);
}

void
control_document_free(struct control *control)
{
	struct document_part *part = control->documents;

	head_free(part->head);
	head_free(part->coming);
	document_free(part->document);
	mem_free(part);
}

uint64_t
control_document_version(const struct control *control)
{
	const struct head *head = control->documents->head;

	return head == NULL ? 0 : head->version;
}

bool
control_zone_open(const struct control *control, const char *zone)
{
	const struct document_part *part = control->documents;
	int at;

	if (part->document == NULL)
		return false;
	at = document_find_zone(part->document, zone);
	return at >= 0 && part->document->zones[at].in_service &&
	    !head_zone_is_out(part->head, zone);
}

static void
apply(struct control *control)
{
	struct document_part *part = control->documents;
	struct ibis_status status = {0};
	struct document *document = document_parse(
	    part->fetched, part->coming->sections_count, NULL, &status);

	if (document == NULL) {
		log_event(LOG_ERROR, "document_rejected", "reason",
		    status.message, NULL);
		return;
	}
	document->version = part->coming->version;
	document_free(part->document);
	head_free(part->head);
	if (part->sources != NULL)
		document_sources_free(part->sources, part->sources_count);
	part->document = document;
	part->head = part->coming;
	part->head_revision = part->coming_revision;
	part->sources = part->fetched;
	part->sources_count = part->head->sections_count;
	part->coming = NULL;
	part->fetched = NULL;
	control->document = document;
	control->decide_due = true;
	log_event(LOG_INFO, "document_in_force", "version",
	    log_number((int64_t)part->head->version), NULL);
	if (!control_leading(control))
		return;
	scheduler_set_document(control->scheduler, document, control->now_ms);
	for (size_t i = 0; i < document->zones_count; i++)
		scheduler_set_zone(control->scheduler, document->zones[i].name,
		    control_zone_open(control, document->zones[i].name),
		    control->now_ms);
}

static void
get_key(struct control *control, const char *key, uint64_t token)
{
	struct store_call call = {
	    .op = STORE_GET,
	    .owner = OWNER_DOCUMENT,
	    .token = token,
	};

	STRING_COPY(call.key, key);
	store_client_call(control->store, &call);
}

static void
section_key(const char *name, uint64_t revision, char key[STORE_KEY_BYTES])
{
	(void)snprintf(key, STORE_KEY_BYTES, "document/sections/%s/%" PRIu64,
	    name, revision);
}

static void
fetch_sections(struct control *control)
{
	struct document_part *part = control->documents;
	char key[STORE_KEY_BYTES];

	part->fetched =
	    mem_calloc(part->coming->sections_count, sizeof(*part->fetched));
	part->to_fetch = part->coming->sections_count;
	for (size_t i = 0; i < part->coming->sections_count; i++) {
		const struct head_section *section = &part->coming->sections[i];

		STRING_COPY(part->fetched[i].name, section->name);
		part->fetched[i].revision = section->revision;
		section_key(section->name, section->revision, key);
		get_key(control, key, i + 1);
	}
}

static void
head_read(struct control *control, struct store_result *result)
{
	struct document_part *part = control->documents;
	struct ibis_status status = {0};

	part->polling = false;
	part->next_poll_ms = control->now_ms + POLL_MS;
	if (result->code == IBIS_OK && part->head != NULL &&
	    result->revision == part->head_revision)
		freshness_store(&control->freshness, result->sent_ms);
	if (result->code != IBIS_OK || part->coming != NULL ||
	    result->revision <= part->head_revision)
		return;
	part->coming =
	    head_parse(result->value.data, result->value.length, &status);
	if (part->coming == NULL) {
		log_event(LOG_ERROR, "head_malformed", "reason", status.message,
		    NULL);
		return;
	}
	part->coming_revision = result->revision;
	part->next_poll_ms = control->now_ms;
	fetch_sections(control);
}

static void
section_read(struct control *control, struct store_result *result)
{
	struct document_part *part = control->documents;
	size_t index = result->token - 1;

	if (part->coming == NULL || index >= part->coming->sections_count)
		return;
	if (result->code != IBIS_OK) {
		get_key(control, result->key, result->token);
		return;
	}
	part->fetched[index].text = mem_strdup(buffer_string(&result->value));
	if (--part->to_fetch == 0)
		apply(control);
}

/* ---- Edits ----------------------------------------------------------- */

static void
free_edit(struct edit *edit)
{
	cds_list_del(&edit->node);
	head_free(edit->next);
	if (edit->sources != NULL)
		document_sources_free(edit->sources, edit->sources_count);
	mem_free(edit);
}

static void
swap_head(struct control *control, struct edit *edit)
{
	struct document_part *part = control->documents;
	struct store_call call = {
	    .op = STORE_SWAP,
	    .owner = OWNER_DOCUMENT,
	    .expected_revision = part->head_revision,
	};

	edit->next = part->head == NULL ? mem_calloc(1, sizeof(*edit->next))
					: head_copy(part->head);
	edit->next->version = control_document_version(control) + 1;
	if (edit->kind == IBIS__REQUEST_KIND__REQUEST_ZONE_OUT)
		head_zone_out(edit->next, edit->zone, edit->order);
	else if (edit->kind == IBIS__REQUEST_KIND__REQUEST_ZONE_IN)
		head_zone_in(edit->next, edit->zone, edit->order, NULL, 0);
	for (size_t i = 0; i < edit->sources_count; i++)
		(void)head_set_section(edit->next, edit->sources[i].name,
		    head_section_revision(edit->next, edit->sources[i].name),
		    edit->sources[i].revision, NULL);
	edit->swapping = true;
	STRING_COPY(call.key, HEAD_KEY);
	head_write(edit->next, &call.value);
	store_client_call(control->store, &call);
}

static void
head_swapped(struct control *control, struct store_result *result)
{
	struct document_part *part = control->documents;
	CLEANUP(buffer_free) struct buffer json = {0};
	struct edit *edit = NULL;
	struct edit *each;

	cds_list_for_each_entry (each, &part->edits, node) {
		if (each->swapping)
			edit = each;
	}
	if (edit == NULL)
		return;
	part->next_poll_ms = control->now_ms;
	if (result->code == IBIS_OK) {
		buffer_printf(&json,
		    "{\"zone\": \"%s\", \"order\": \"%s\", \"durable\": true, "
		    "\"version\": %" PRIu64
		    ", \"reached\": [], \"missing\": []}",
		    edit->zone, edit->order, edit->next->version);
		control_reply_json(
		    control, &edit->origin, buffer_string(&json));
	} else {
		control_refuse(control, &edit->origin, result->code, "accept",
		    "the head could not be swapped", false, RETRY_AFTER_MS);
	}
	free_edit(edit);
}

static void
section_written(struct control *control)
{
	struct edit *edit;

	cds_list_for_each_entry (edit, &control->documents->edits, node) {
		if (edit->to_write > 0 && --edit->to_write == 0) {
			swap_head(control, edit);
			return;
		}
	}
}

static void
write_sections(struct control *control, struct edit *edit)
{
	for (size_t i = 0; i < edit->sources_count; i++) {
		struct store_call call = {
		    .op = STORE_SWAP,
		    .owner = OWNER_DOCUMENT,
		    .token = 1,
		};

		edit->sources[i].revision = (uint64_t)control_wall_ms() + i;
		section_key(
		    edit->sources[i].name, edit->sources[i].revision, call.key);
		buffer_puts(&call.value, edit->sources[i].text);
		store_client_call(control->store, &call);
	}
	edit->to_write = edit->sources_count;
}

void
control_document_request(struct control *control, const struct origin *origin,
    const Ibis__Request *request)
{
	struct document_part *part = control->documents;
	struct ibis_status status = {0};
	struct edit *edit;
	struct document *checked;
	int count;

	if (request->kind != IBIS__REQUEST_KIND__REQUEST_ZONE_OUT &&
	    request->kind != IBIS__REQUEST_KIND__REQUEST_ZONE_IN &&
	    request->kind != IBIS__REQUEST_KIND__REQUEST_PUT_DOCUMENT) {
		control_reply_json(control, origin, "{}");
		return;
	}
	edit = mem_calloc(1, sizeof(*edit));
	edit->origin = *origin;
	edit->kind = request->kind;
	STRING_COPY(edit->zone, request->name);
	(void)snprintf(edit->order, sizeof(edit->order), "%.64s-%" PRIu64,
	    control->settings->name, ++part->next_order);
	cds_list_add_tail(&edit->node, &part->edits);
	if (request->kind != IBIS__REQUEST_KIND__REQUEST_PUT_DOCUMENT) {
		swap_head(control, edit);
		return;
	}
	count = document_split(request->body, &edit->sources, &status);
	edit->sources_count = count < 0 ? 0 : (size_t)count;
	checked = count < 0
	    ? NULL
	    : document_parse(edit->sources, edit->sources_count, NULL, &status);
	if (checked == NULL) {
		control_refuse(control, origin, IBIS_INVALID, "check",
		    status.message, false, 0);
		free_edit(edit);
		return;
	}
	document_free(checked);
	write_sections(control, edit);
}

void
control_document_store_result(
    struct control *control, struct store_result *result)
{
	if (strcmp(result->key, HEAD_KEY) == 0) {
		if (result->op == STORE_GET)
			head_read(control, result);
		else
			head_swapped(control, result);
	} else if (result->op == STORE_GET) {
		section_read(control, result);
	} else {
		section_written(control);
	}
}

void
control_document_tick(struct control *control)
{
	struct document_part *part = control->documents;

	if (part->polling || control->now_ms < part->next_poll_ms)
		return;
	part->polling = true;
	get_key(control, HEAD_KEY, 0);
}

void
control_document_heartbeat(
    struct control *control, const Ibis__Heartbeat *heartbeat)
{
	(void)control;
	(void)heartbeat;
}

bool
control_document_frame(
    struct control *control, const char *peer, const Ibis__Frame *frame)
{
	(void)control;
	(void)peer;
	(void)frame;
	return false;
}

void
control_document_fill_heartbeat(
    struct control *control, Ibis__Heartbeat *heartbeat)
{
	(void)control;
	(void)heartbeat;
}

void
control_document_clear_heartbeat(Ibis__Heartbeat *heartbeat)
{
	(void)heartbeat;
}
