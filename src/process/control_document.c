#include <string.h>

#include <json-c/json.h>

#include "process/alloc.h"
#include "process/control.h"
#include "process/proto_memory.h"
#include "version/document_check.h"
#include "version/spread.h"

#define WATCHES_IN_FRESHNESS 4 /* so that one lost watch does no harm */
#define RETRY_AFTER_MS	     2000

/* An operator's request on its way through the spread. */
struct open_request {
	uint64_t call;
	struct origin origin;
};

struct document_part {
	struct spread *spread;
	struct open_request *requests;
	size_t requests_count;
	size_t requests_capacity;
	uint64_t last_call;
};

void
control_document_start(struct control *control)
{
	const struct spread_config config = {
	    .name = control->settings->name,
	    .incarnation = control->incarnation,
	    .watch_ms = control->settings->freshness_ms / WATCHES_IN_FRESHNESS,
	};

	control->documents = mem_calloc(1, sizeof(*control->documents));
	control->documents->spread = spread_new(&config, control->now_ms);
}

void
control_document_free(struct control *control)
{
	spread_free(control->documents->spread);
	mem_free(control->documents->requests);
	mem_free(control->documents);
}

uint64_t
control_document_version(const struct control *control)
{
	return spread_version(control->documents->spread);
}

bool
control_zone_open(const struct control *control, const char *zone)
{
	return spread_zone_open(control->documents->spread, zone);
}

/* ---- Actions ----------------------------------------------------------- */

static bool
take_request(struct control *control, uint64_t call, struct origin *origin)
{
	struct document_part *part = control->documents;

	for (size_t i = 0; i < part->requests_count; i++) {
		if (part->requests[i].call != call)
			continue;
		*origin = part->requests[i].origin;
		part->requests[i] = part->requests[--part->requests_count];
		return true;
	}
	return false;
}

static void
answer(struct control *control, const struct spread_action *action)
{
	const struct ibis_status *status = &action->answer.status;
	Ibis__Reply reply = IBIS__REPLY__INIT;
	CLEANUP(mem_free_string) char *json = NULL;
	struct origin origin;

	if (!take_request(control, action->answer.call, &origin))
		return;
	if (status->code != IBIS_OK) {
		control_refuse(control, &origin, status->code, status->step,
		    status->message, status->code != IBIS_UNKNOWN,
		    status->code == IBIS_UNAVAILABLE ? RETRY_AFTER_MS : 0);
		return;
	}
	json = mem_strdup(buffer_string(&action->answer.json));
	reply.json = json;
	reply.revision = action->answer.revision;
	control_reply(control, &origin, &reply);
}

static void
set_zones(struct control *control)
{
	const struct document *document = control->document;

	control->decide_due = true;
	if (document == NULL || !control_leading(control))
		return;
	for (size_t i = 0; i < document->zones_count; i++)
		scheduler_set_zone(control->scheduler, document->zones[i].name,
		    control_zone_open(control, document->zones[i].name),
		    control->now_ms);
}

static void
set_document(struct control *control)
{
	control->decide_due = true;
	if (control_leading(control))
		scheduler_set_document(
		    control->scheduler, control->document, control->now_ms);
}

static void
carry_out(struct control *control, struct spread_action *action)
{
	switch (action->kind) {
	case SPREAD_STORE:
		action->store.owner = OWNER_DOCUMENT;
		store_client_call(control->store, &action->store);
		action->store.value = (struct buffer){0};
		break;
	case SPREAD_SEND:
		(void)peer_links_send(
		    control->links, action->send.peer, action->send.frame);
		break;
	case SPREAD_VERSION:
		set_document(control);
		break;
	case SPREAD_ZONES:
		set_zones(control);
		break;
	case SPREAD_ANSWER:
		answer(control, action);
		break;
	}
}

/* Carries out what the spread wants after an event. */
static void
take_actions(struct control *control)
{
	struct spread *spread = control->documents->spread;
	struct spread_action action;

	/* The one before is gone already. */
	control->document = spread_document(spread);
	freshness_store(&control->freshness, spread_confirmed_ms(spread));
	while (spread_next(spread, &action)) {
		carry_out(control, &action);
		spread_action_free(&action);
	}
}

/* ---- Events ------------------------------------------------------------ */

static void
set_peers(struct control *control)
{
	const struct membership *members = control->members;
	const char **names =
	    mem_calloc(membership_count(members), sizeof(const char *));
	size_t count = 0;

	for (size_t i = 0; i < membership_count(members); i++) {
		const struct member *member = membership_at(members, i);

		if (member->listed ||
		    membership_alive(members, member->name, control->now_ms))
			names[count++] = member->name;
	}
	spread_set_peers(control->documents->spread, names, count);
	mem_free(names);
}

void
control_document_tick(struct control *control)
{
	struct spread *spread = control->documents->spread;

	set_peers(control);
	/* The lead starts tasks, so it needs the freshest view. */
	spread_set_watching(spread,
	    control->lease.role == LEAD_LEADING ||
		control->lease.role == LEAD_RECOVERING);
	spread_tick(spread, control->now_ms);
	take_actions(control);
}

void
control_document_store_result(
    struct control *control, struct store_result *result)
{
	spread_store(control->documents->spread, result, control->now_ms);
	take_actions(control);
}

void
control_document_heartbeat(
    struct control *control, const Ibis__Heartbeat *heartbeat)
{
	Ibis__Frame frame = IBIS__FRAME__INIT;

	frame.body_case = IBIS__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = (Ibis__Heartbeat *)heartbeat;
	spread_frame(control->documents->spread, heartbeat->name, &frame,
	    control->now_ms);
	take_actions(control);
}

bool
control_document_frame(
    struct control *control, const char *peer, const Ibis__Frame *frame)
{
	switch (frame->body_case) {
	case IBIS__FRAME__BODY_HOLD:
	case IBIS__FRAME__BODY_HOLD_ACK:
	case IBIS__FRAME__BODY_DOCUMENT_FETCH:
	case IBIS__FRAME__BODY_DOCUMENT_COPY:
		spread_frame(
		    control->documents->spread, peer, frame, control->now_ms);
		take_actions(control);
		return true;
	default:
		return false;
	}
}

void
control_document_fill_heartbeat(
    struct control *control, Ibis__Heartbeat *heartbeat)
{
	spread_fill_heartbeat(control->documents->spread, heartbeat);
}

void
control_document_clear_heartbeat(Ibis__Heartbeat *heartbeat)
{
	spread_clear_heartbeat(heartbeat);
}

/* ---- Requests ---------------------------------------------------------- */

static struct json_object *
zone_json(const struct control *control, uint32_t index)
{
	const struct spread *spread = control->documents->spread;
	const struct document_zone *zone = &control->document->zones[index];
	struct json_object *object = json_object_new_object();
	bool open = spread_zone_open(spread, zone->name);
	bool held = holds_forbid(spread_holds(spread), zone->name);

	json_object_object_add(
	    object, "name", json_object_new_string(zone->name));
	json_object_object_add(
	    object, "in_service", json_object_new_boolean(open));
	json_object_object_add(object, "held", json_object_new_boolean(held));
	json_object_object_add(object, "accelerators",
	    json_object_new_uint64(
		document_zone_accelerators(control->document, index)));
	return object;
}

static void
request_zones(struct control *control, const struct origin *origin)
{
	struct json_object *root = json_object_new_object();
	struct json_object *zones = json_object_new_array();
	size_t count =
	    control->document == NULL ? 0 : control->document->zones_count;

	for (uint32_t i = 0; i < count; i++)
		json_object_array_add(zones, zone_json(control, i));
	json_object_object_add(root, "availability_zones", zones);
	control_reply_json(control, origin,
	    json_object_to_json_string_ext(root, JSON_C_TO_STRING_SPACED));
	json_object_put(root);
}

void
control_document_request(struct control *control, const struct origin *origin,
    const Ibis__Request *request)
{
	struct document_part *part = control->documents;

	if (request->kind == IBIS__REQUEST_KIND__REQUEST_ZONES) {
		request_zones(control, origin);
		return;
	}
	part->requests = mem_grow(part->requests, &part->requests_capacity,
	    part->requests_count + 1, sizeof(*part->requests));
	part->requests[part->requests_count++] = (struct open_request){
	    .call = ++part->last_call,
	    .origin = *origin,
	};
	if (!spread_request(
		part->spread, part->last_call, request, control->now_ms)) {
		part->requests_count--;
		control_refuse(control, origin, IBIS_INVALID, "document",
		    "no such request", true, 0);
		return;
	}
	take_actions(control);
}
