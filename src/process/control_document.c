/* Connects the control thread to the replication of document versions and zone
 * holds (version/): passes events to it and performs the actions it returns. */
#include <string.h>

#include "process/alloc.h"
#include "process/control.h"
#include "process/log.h"
#include "version/replication.h"

#define WATCH_TIMEOUT_MS	   400
#define NO_DOCUMENT_RETRY_AFTER_MS 1000

/* An operator's request that waits for its reply. */
struct pending_request {
	struct cds_list_head node;
	uint64_t call;
	struct origin origin;
};

struct document_state {
	struct replication *replication;
	struct cds_list_head pending; /* of struct pending_request */
	uint64_t next_call;
	uint64_t logged_version;
	bool watching; /* this instance watches the document's head */
};

void
control_document_start(struct control *control)
{
	struct replication_config config = {
	    .name = control->settings->name,
	    .incarnation = control->incarnation,
	    .watch_timeout_ms = WATCH_TIMEOUT_MS,
	};

	control->document_state =
	    mem_calloc(1, sizeof(*control->document_state));
	control->document_state->replication =
	    replication_new(&config, control->now_ms);
	CDS_INIT_LIST_HEAD(&control->document_state->pending);
}

void
control_document_free(struct control *control)
{
	struct pending_request *pending;
	struct pending_request *next;

	cds_list_for_each_entry_safe (
	    pending, next, &control->document_state->pending, node) {
		control_refuse(control, &pending->origin, IBIS_UNKNOWN,
		    "document", "the instance has stopped", false, 0);
		mem_free(pending);
	}
	replication_free(control->document_state->replication);
	mem_free(control->document_state);
}

uint64_t
control_document_version(const struct control *control)
{
	return replication_version(control->document_state->replication);
}

bool
control_zone_allows_starts(const struct control *control, const char *zone)
{
	return replication_zone_open(
	    control->document_state->replication, zone);
}

bool
control_has_pending_document_requests(const struct control *control)
{
	return !cds_list_empty(&control->document_state->pending);
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
		    control_zone_allows_starts(
			control, document->zones[i].name),
		    control->now_ms);
	control->decide_due = true;
}

static void
apply_version(struct control *control)
{
	if (control->document_state->logged_version !=
	    control_document_version(control))
		log_event(LOG_INFO, "document_in_force", "version",
		    log_number((int64_t)control_document_version(control)),
		    NULL);
	control->document_state->logged_version =
	    control_document_version(control);
	if (control_leading(control))
		scheduler_set_document(
		    control->scheduler, control->document, control->now_ms);
	/* Tell the peers now instead of at the next heartbeat. */
	control->next_heartbeat_ms = control->now_ms;
	update_zones(control);
}

static struct pending_request *
find_pending(struct control *control, uint64_t call)
{
	struct pending_request *pending;

	cds_list_for_each_entry (
	    pending, &control->document_state->pending, node) {
		if (pending->call == call)
			return pending;
	}
	return NULL;
}

static void
reply_to_operator(
    struct control *control, const struct replication_action *action)
{
	struct pending_request *pending =
	    find_pending(control, action->answer.call);
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
apply_action(struct control *control, struct replication_action *action)
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
		reply_to_operator(control, action);
		break;
	}
}

/* Performs the actions that the last event has caused. */
static void
apply_actions(struct control *control)
{
	struct replication *replication = control->document_state->replication;
	struct replication_action action;

	/* The event may have freed the previous document, and actions before
	 * REPLICATION_VERSION_CHANGED may read control->document. */
	control->document = replication_document(replication);
	while (replication_next_action(replication, &action)) {
		apply_action(control, &action);
		replication_action_free(&action);
	}
	if (replication_confirmed_ms(replication) > 0)
		freshness_confirm_at(
		    &control->freshness, replication_confirmed_ms(replication));
}

/* ---- Events ---------------------------------------------------------- */

void
control_document_handle_store_result(
    struct control *control, struct store_result *result)
{
	replication_handle_store_result(
	    control->document_state->replication, result, control->now_ms);
	apply_actions(control);
}

static void
append_zone_json(const struct control *control,
    const struct document_zone *zone, struct buffer *json)
{
	const struct replication *replication =
	    control->document_state->replication;

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
serve_zones(struct control *control, const struct origin *origin)
{
	const struct document *document = control->document;
	CLEANUP(buffer_free) struct buffer json = {0};

	buffer_puts(&json, "{\"availability_zones\": [");
	for (size_t i = 0; document != NULL && i < document->zones_count; i++) {
		if (i > 0)
			buffer_puts(&json, ", ");
		append_zone_json(control, &document->zones[i], &json);
	}
	buffer_puts(&json, "]}");
	control_reply_json(control, origin, buffer_string(&json));
}

static bool
reads_document(const Ibis__Request *request)
{
	return request->kind == IBIS__REQUEST_KIND__REQUEST_DOCUMENT ||
	    request->kind == IBIS__REQUEST_KIND__REQUEST_SECTION;
}

void
control_document_handle_request(struct control *control,
    const struct origin *origin, const Ibis__Request *request)
{
	struct document_state *state = control->document_state;
	struct pending_request *pending;

	if (request->kind == IBIS__REQUEST_KIND__REQUEST_ZONES) {
		serve_zones(control, origin);
		return;
	}
	if (reads_document(request) &&
	    replication_version(state->replication) == 0 &&
	    replication_confirmed_ms(state->replication) < 0) {
		control_refuse(control, origin, IBIS_UNAVAILABLE, "document",
		    "the instance has just started and has not read the "
		    "document yet",
		    true, NO_DOCUMENT_RETRY_AFTER_MS);
		return;
	}
	pending = mem_calloc(1, sizeof(*pending));
	pending->call = ++state->next_call;
	pending->origin = *origin;
	cds_list_add_tail(&pending->node, &state->pending);
	if (!replication_handle_request(
		state->replication, pending->call, request, control->now_ms)) {
		cds_list_del(&pending->node);
		mem_free(pending);
		control_refuse(control, origin, IBIS_NOT_FOUND, "request",
		    "no such request", true, 0);
	}
	apply_actions(control);
}

void
control_document_handle_frame(
    struct control *control, const char *peer, const Ibis__Frame *frame)
{
	replication_handle_frame(
	    control->document_state->replication, peer, frame, control->now_ms);
	apply_actions(control);
}

/* Sets the peers of the replication: the instances that are in the platform's
 * list or alive. */
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
	replication_set_peers(
	    control->document_state->replication, names, live);
	mem_free((void *)names);
}

void
control_document_tick(struct control *control)
{
	struct document_state *state = control->document_state;
	bool watching = control->lease.role != LEAD_FOLLOWER ||
	    control_lead_name(control) == NULL;

	if (watching != state->watching) {
		state->watching = watching;
		replication_set_watching(state->replication, watching);
	}
	update_peers(control);
	replication_tick(state->replication, control->now_ms);
	apply_actions(control);
}

void
control_document_fill_heartbeat(
    struct control *control, Ibis__Heartbeat *heartbeat)
{
	replication_fill_heartbeat(
	    control->document_state->replication, heartbeat);
}

void
control_document_clear_heartbeat(Ibis__Heartbeat *heartbeat)
{
	replication_clear_heartbeat(heartbeat);
}
