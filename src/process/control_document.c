#include <string.h>

#include "process/alloc.h"
#include "process/control.h"
#include "process/log.h"
#include "version/replication.h"

#define WATCH_MS       400
#define RETRY_AFTER_MS 1000

/* An operator's request that waits for its answer. */
struct pending {
	struct cds_list_head node;
	uint64_t call;
	struct origin origin;
};

struct document_part {
	struct replication *replication;
	struct cds_list_head pending;
	uint64_t next_call;
	uint64_t logged_version;
	bool watching;
};

void
control_document_start(struct control *control)
{
	struct replication_config config = {
	    .name = control->settings->name,
	    .incarnation = control->incarnation,
	    .watch_timeout_ms = WATCH_MS,
	};

	control->documents = mem_calloc(1, sizeof(*control->documents));
	control->documents->replication =
	    replication_new(&config, control->now_ms);
	CDS_INIT_LIST_HEAD(&control->documents->pending);
}

void
control_document_free(struct control *control)
{
	struct pending *pending;
	struct pending *next;

	cds_list_for_each_entry_safe (
	    pending, next, &control->documents->pending, node) {
		control_refuse(control, &pending->origin, IBIS_UNKNOWN,
		    "document", "the instance has stopped", false, 0);
		mem_free(pending);
	}
	replication_free(control->documents->replication);
	mem_free(control->documents);
}

uint64_t
control_document_version(const struct control *control)
{
	return replication_version(control->documents->replication);
}

bool
control_zone_open(const struct control *control, const char *zone)
{
	return replication_zone_open(control->documents->replication, zone);
}

bool
control_documents_open(const struct control *control)
{
	return !cds_list_empty(&control->documents->pending);
}

/* ---- Actions --------------------------------------------------------- */

static void
update_zones(struct control *control)
{
	const struct document *document = control->document;

	if (document == NULL || !control_leading(control))
		return;
	for (size_t i = 0; i < document->zones_count; i++)
		scheduler_set_zone(control->scheduler, document->zones[i].name,
		    control_zone_open(control, document->zones[i].name),
		    control->now_ms);
	control->decide_due = true;
}

static void
apply_version(struct control *control)
{
	if (control->documents->logged_version !=
	    control_document_version(control))
		log_event(LOG_INFO, "document_in_force", "version",
		    log_number((int64_t)control_document_version(control)),
		    NULL);
	control->documents->logged_version = control_document_version(control);
	if (control_leading(control))
		scheduler_set_document(
		    control->scheduler, control->document, control->now_ms);
	/* Spread to the peers without waiting for the next beat. */
	control->next_heartbeat_ms = control->now_ms;
	update_zones(control);
}

static struct pending *
find_pending(struct control *control, uint64_t call)
{
	struct pending *pending;

	cds_list_for_each_entry (pending, &control->documents->pending, node) {
		if (pending->call == call)
			return pending;
	}
	return NULL;
}

static void
answer_operator(
    struct control *control, const struct replication_action *action)
{
	struct pending *pending = find_pending(control, action->answer.call);
	const struct ibis_status *status = &action->answer.status;
	Ibis__Reply reply = IBIS__REPLY__INIT;
	CLEANUP(mem_free_string)
	char *json = mem_strdup(buffer_string(&action->answer.json));

	if (pending == NULL)
		return;
	if (status->code == IBIS_OK) {
		reply.json = json;
		reply.revision = action->answer.revision;
		control_reply(control, &pending->origin, &reply);
	} else {
		control_refuse(control, &pending->origin, status->code,
		    status->step, status->message, status->code != IBIS_UNKNOWN,
		    0);
	}
	cds_list_del(&pending->node);
	mem_free(pending);
}

static void
perform(struct control *control, struct replication_action *action)
{
	switch (action->kind) {
	case REPLICATION_STORE_CALL:
		action->store.owner = OWNER_DOCUMENT;
		store_client_call(control->store, &action->store);
		break;
	case REPLICATION_SEND_FRAME:
		(void)peer_links_send(
		    control->links, action->send.peer, action->send.frame);
		break;
	case REPLICATION_VERSION_CHANGED:
		apply_version(control);
		break;
	case REPLICATION_ZONES_CHANGED:
		update_zones(control);
		break;
	case REPLICATION_ANSWER:
		answer_operator(control, action);
		break;
	}
}

/* Carries out whatever the last event has led to. */
static void
perform_all(struct control *control)
{
	struct replication *replication = control->documents->replication;
	struct replication_action action;

	/* First of all: the document before it is gone, and an action ahead of
	 * REPLICATION_VERSION_CHANGED may look at the present one. */
	control->document = replication_document(replication);
	while (replication_next_action(replication, &action)) {
		perform(control, &action);
		replication_action_free(&action);
	}
	if (replication_confirmed_ms(replication) > 0)
		freshness_confirm_at(
		    &control->freshness, replication_confirmed_ms(replication));
}

/* ---- Events ---------------------------------------------------------- */

void
control_document_store_result(
    struct control *control, struct store_result *result)
{
	replication_handle_store_result(
	    control->documents->replication, result, control->now_ms);
	perform_all(control);
}

static void
zone_json(const struct control *control, const struct document_zone *zone,
    struct buffer *json)
{
	const struct replication *replication = control->documents->replication;

	buffer_printf(json,
	    "{\"name\": \"%s\", \"in_service\": %s, \"out\": %s, "
	    "\"held\": %s}",
	    zone->name,
	    replication_zone_open(replication, zone->name) ? "true" : "false",
	    head_zone_is_out(replication_head(replication), zone->name)
		? "true"
		: "false",
	    holds_forbid(replication_holds(replication), zone->name) ? "true"
								     : "false");
}

static void
request_zones(struct control *control, const struct origin *origin)
{
	const struct document *document = control->document;
	CLEANUP(buffer_free) struct buffer json = {0};

	buffer_puts(&json, "{\"availability_zones\": [");
	for (size_t i = 0; document != NULL && i < document->zones_count; i++) {
		if (i > 0)
			buffer_puts(&json, ", ");
		zone_json(control, &document->zones[i], &json);
	}
	buffer_puts(&json, "]}");
	control_reply_json(control, origin, buffer_string(&json));
}

static bool
is_read(const Ibis__Request *request)
{
	return request->kind == IBIS__REQUEST_KIND__REQUEST_DOCUMENT ||
	    request->kind == IBIS__REQUEST_KIND__REQUEST_SECTION;
}

void
control_document_request(struct control *control, const struct origin *origin,
    const Ibis__Request *request)
{
	struct document_part *part = control->documents;
	struct pending *pending;

	if (request->kind == IBIS__REQUEST_KIND__REQUEST_ZONES) {
		request_zones(control, origin);
		return;
	}
	if (is_read(request) && replication_version(part->replication) == 0 &&
	    replication_confirmed_ms(part->replication) < 0) {
		control_refuse(control, origin, IBIS_UNAVAILABLE, "document",
		    "the instance has just started and has not read the "
		    "document yet",
		    true, RETRY_AFTER_MS);
		return;
	}
	pending = mem_calloc(1, sizeof(*pending));
	pending->call = ++part->next_call;
	pending->origin = *origin;
	cds_list_add_tail(&pending->node, &part->pending);
	if (!replication_handle_request(
		part->replication, pending->call, request, control->now_ms)) {
		cds_list_del(&pending->node);
		mem_free(pending);
		control_refuse(control, origin, IBIS_NOT_FOUND, "request",
		    "no such request", true, 0);
	}
	perform_all(control);
}

void
control_document_frame(
    struct control *control, const char *peer, const Ibis__Frame *frame)
{
	replication_handle_frame(
	    control->documents->replication, peer, frame, control->now_ms);
	perform_all(control);
}

/* Tells which instances hold and edit together with this one. */
static void
update_peers(struct control *control)
{
	size_t count = membership_count(control->members);
	const char **names = mem_calloc(count, sizeof(*names));
	size_t live = 0;

	for (size_t i = 0; i < count; i++) {
		const struct member *member =
		    membership_at(control->members, i);

		if (member->listed ||
		    membership_alive(
			control->members, member->name, control->now_ms))
			names[live++] = member->name;
	}
	replication_set_peers(control->documents->replication, names, live);
	mem_free((void *)names);
}

void
control_document_tick(struct control *control)
{
	struct document_part *part = control->documents;
	bool watching = control->lease.role != LEAD_FOLLOWER ||
	    control_lead_name(control) == NULL;

	if (watching != part->watching) {
		part->watching = watching;
		replication_set_watching(part->replication, watching);
	}
	update_peers(control);
	replication_tick(part->replication, control->now_ms);
	perform_all(control);
}

void
control_document_fill_heartbeat(
    struct control *control, Ibis__Heartbeat *heartbeat)
{
	replication_fill_heartbeat(control->documents->replication, heartbeat);
}

void
control_document_clear_heartbeat(Ibis__Heartbeat *heartbeat)
{
	replication_clear_heartbeat(heartbeat);
}
