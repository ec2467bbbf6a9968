#include <inttypes.h>
#include <string.h>

#include <json-c/json.h>

#include "process/alloc.h"
#include "process/control.h"
#include "process/log.h"
#include "process/proto_memory.h"

#define LIST_INTERVAL_MS    1000
#define CONFIRM_INTERVAL_MS 300
#define SILENT_HEARTBEATS   8

struct peer *
control_peer_find(struct control *control, const char *name)
{
	for (size_t i = 0; i < control->peers_count; i++) {
		if (strcmp(control->peers[i].name, name) == 0)
			return &control->peers[i];
	}
	return NULL;
}

static struct peer *
add_peer(struct control *control, const char *name)
{
	struct peer *peer = control_peer_find(control, name);

	if (peer != NULL)
		return peer;
	control->peers = mem_grow(control->peers, &control->peers_capacity,
	    control->peers_count + 1, sizeof(*control->peers));
	peer = &control->peers[control->peers_count++];
	*peer = (struct peer){0};
	STRING_COPY(peer->name, name);
	return peer;
}

static bool
is_heard(const struct control *control, const struct peer *peer)
{
	return peer->heard_ms > 0 &&
	    control->now_ms - peer->heard_ms <
	    (int64_t)control->settings->heartbeat_interval_ms *
		SILENT_HEARTBEATS;
}

const char *
control_lead_name(const struct control *control)
{
	const struct peer *best = NULL;

	if (control_leading(control))
		return control->settings->name;
	for (size_t i = 0; i < control->peers_count; i++) {
		const struct peer *peer = &control->peers[i];

		if (!peer->leading || !peer->linked || !is_heard(control, peer))
			continue;
		if (best == NULL || peer->lead_epoch > best->lead_epoch)
			best = peer;
	}
	return best == NULL ? NULL : best->name;
}

/* ---- The platform's list --------------------------------------------- */

static const char *
text_of(struct json_object *object, const char *key)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value))
		return "";
	return json_object_get_string(value);
}

static void
dial_listed(struct control *control)
{
	struct peer_address *addresses =
	    mem_calloc(control->peers_count, sizeof(*addresses));
	size_t count = 0;

	for (size_t i = 0; i < control->peers_count; i++) {
		if (!control->peers[i].listed)
			continue;
		STRING_COPY(addresses[count].name, control->peers[i].name);
		STRING_COPY(
		    addresses[count].address, control->peers[i].address);
		count++;
	}
	peer_links_set_peers(control->links, addresses, count);
	mem_free(addresses);
}

static void
take_in_instance(struct control *control, struct json_object *item)
{
	const char *name = text_of(item, "name");
	struct peer *peer;

	control->instances_listed++;
	if (strcmp(name, control->settings->name) == 0)
		return;
	peer = add_peer(control, name);
	peer->listed = true;
	STRING_COPY(peer->address, text_of(item, "peer"));
	STRING_COPY(peer->caller_address, text_of(item, "caller"));
	STRING_COPY(peer->zone, text_of(item, "availability_zone"));
}

static void
take_in_instances(struct control *control, struct json_object *list)
{
	size_t count = json_object_array_length(list);

	for (size_t i = 0; i < control->peers_count; i++)
		control->peers[i].listed = false;
	control->instances_listed = 0;
	for (size_t i = 0; i < count; i++)
		take_in_instance(control, json_object_array_get_idx(list, i));
	if (control->instances_listed == 0)
		control->instances_listed = 1;
	dial_listed(control);
}

static void
take_in_workers(struct control *control, struct json_object *list)
{
	size_t count = json_object_array_length(list);

	for (size_t i = 0; i < control->workers.count; i++)
		control->workers.sessions[i].listed_leaving = true;
	for (size_t i = 0; i < count; i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		struct worker_session *session = worker_table_add(
		    &control->workers, text_of(item, "name"), control->now_ms);

		session->listed_leaving =
		    strcmp(text_of(item, "state"), "leaving") == 0;
		STRING_COPY(session->address, text_of(item, "address"));
	}
}

void
control_peers_list(struct control *control, struct store_result *result)
{
	struct json_object *root;
	struct json_object *list;

	control->listing = false;
	if (result->code != IBIS_OK)
		return;
	root = json_tokener_parse(buffer_string(&result->value));
	if (root == NULL) {
		log_event(LOG_WARN, "list_malformed", NULL);
		return;
	}
	control->listed_ms = control->now_ms;
	if (json_object_object_get_ex(root, "instances", &list) &&
	    json_object_is_type(list, json_type_array))
		take_in_instances(control, list);
	if (json_object_object_get_ex(root, "workers", &list) &&
	    json_object_is_type(list, json_type_array))
		take_in_workers(control, list);
	json_object_put(root);
}

static void
ask_for_list(struct control *control)
{
	struct store_call call = {.op = STORE_LIST, .owner = OWNER_LIST};

	if (control->listing || control->now_ms < control->next_list_ms)
		return;
	control->listing = true;
	control->next_list_ms = control->now_ms + LIST_INTERVAL_MS;
	store_client_call(control->store, &call);
}

/* ---- Frames ---------------------------------------------------------- */

void
control_peers_broadcast(struct control *control, const Ibis__Frame *frame)
{
	for (size_t i = 0; i < control->peers_count; i++) {
		if (control->peers[i].linked)
			(void)peer_links_send(
			    control->links, control->peers[i].name, frame);
	}
}

static void
send_heartbeats(struct control *control)
{
	Ibis__Heartbeat heartbeat = IBIS__HEARTBEAT__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;
	const char *lead = control_lead_name(control);
	CLEANUP(mem_free_string)
	char *lead_copy = mem_strdup(lead == NULL ? "" : lead);
	CLEANUP(mem_free_string)
	char *name = mem_strdup(control->settings->name);
	CLEANUP(mem_free_string)
	char *zone = mem_strdup(control->settings->availability_zone);
	CLEANUP(mem_free_string)
	char *address = mem_strdup(caller_server_address(control->callers));

	if (control->now_ms < control->next_heartbeat_ms)
		return;
	control->next_heartbeat_ms =
	    control->now_ms + control->settings->heartbeat_interval_ms;
	heartbeat.name = name;
	heartbeat.incarnation = control->incarnation;
	heartbeat.state = control->state;
	heartbeat.document_version = control_document_version(control);
	heartbeat.store_reachable = !control->store_down;
	heartbeat.lead = lead_copy;
	heartbeat.leading = control_leading(control);
	heartbeat.lead_epoch = control->lease.epoch;
	heartbeat.caller_address = address;
	heartbeat.zone = zone;
	control_document_fill_heartbeat(control, &heartbeat);
	frame.body_case = IBIS__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &heartbeat;
	control_peers_broadcast(control, &frame);
	control_document_clear_heartbeat(&heartbeat);
}

static void
take_in_heartbeat(
    struct control *control, const char *name, const Ibis__Heartbeat *heartbeat)
{
	struct peer *peer = add_peer(control, name);

	if (heartbeat->incarnation < peer->incarnation)
		return;
	peer->incarnation = heartbeat->incarnation;
	peer->heard_ms = control->now_ms;
	peer->state = heartbeat->state;
	peer->document_version = heartbeat->document_version;
	peer->store_reachable = heartbeat->store_reachable;
	peer->leading = heartbeat->leading;
	peer->lead_epoch = heartbeat->lead_epoch;
	STRING_COPY(peer->caller_address, heartbeat->caller_address);
	STRING_COPY(peer->zone, heartbeat->zone);
	control_document_heartbeat(control, heartbeat);
	/* A later lead has taken over while this one could not know. */
	if (heartbeat->leading && control_leading(control) &&
	    heartbeat->lead_epoch > control->lease.epoch)
		control_pool_lost(control, "a later lead has been heard");
}

/* ---- Confirming during an outage ------------------------------------- */

static void
answer_confirm(struct control *control, const char *peer,
    const Ibis__ConfirmFresh *confirm)
{
	Ibis__Confirmation answer = IBIS__CONFIRMATION__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;
	Ibis__Heartbeat holds = IBIS__HEARTBEAT__INIT;

	answer.sequence = confirm->sequence;
	answer.document_version = control_document_version(control);
	answer.store_reachable = !control->store_down;
	control_document_fill_heartbeat(control, &holds);
	answer.n_holds = holds.n_holds;
	answer.holds = holds.holds;
	frame.body_case = IBIS__FRAME__BODY_CONFIRMATION;
	frame.confirmation = &answer;
	(void)peer_links_send(control->links, peer, &frame);
	control_document_clear_heartbeat(&holds);
}

static void
take_in_confirmation(struct control *control, const char *peer,
    const Ibis__Confirmation *confirmation)
{
	Ibis__Heartbeat heartbeat = IBIS__HEARTBEAT__INIT;

	heartbeat.document_version = confirmation->document_version;
	heartbeat.n_holds = confirmation->n_holds;
	heartbeat.holds = confirmation->holds;
	heartbeat.name = (char *)peer;
	control_document_heartbeat(control, &heartbeat);
	/* One that reaches the store may know of what this one can't. */
	if (confirmation->store_reachable ||
	    confirmation->document_version > control_document_version(control))
		return;
	freshness_confirm(&control->freshness, confirmation->sequence, peer);
}

static void
ask_for_confirmations(struct control *control)
{
	Ibis__ConfirmFresh confirm = IBIS__CONFIRM_FRESH__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;

	if (!control->store_down || !control_leading(control) ||
	    control->now_ms < control->next_round_ms)
		return;
	control->next_round_ms = control->now_ms + CONFIRM_INTERVAL_MS;
	confirm.sequence = freshness_begin_round(
	    &control->freshness, control->instances_listed, control->now_ms);
	confirm.document_version = control_document_version(control);
	frame.body_case = IBIS__FRAME__BODY_CONFIRM;
	frame.confirm = &confirm;
	control_peers_broadcast(control, &frame);
}

void
control_peers_frame(
    struct control *control, const char *peer, Ibis__Frame *frame)
{
	if (control_document_frame(control, peer, frame))
		return;
	switch (frame->body_case) {
	case IBIS__FRAME__BODY_HEARTBEAT:
		take_in_heartbeat(control, peer, frame->heartbeat);
		break;
	case IBIS__FRAME__BODY_REQUEST:
		control_forwarded_request(control, peer, frame->request);
		break;
	case IBIS__FRAME__BODY_REPLY:
		control_forward_reply(control, peer, frame->reply);
		break;
	case IBIS__FRAME__BODY_HAND_OVER:
		lead_hint(&control->lease, control->now_ms);
		break;
	case IBIS__FRAME__BODY_CONFIRM:
		answer_confirm(control, peer, frame->confirm);
		break;
	case IBIS__FRAME__BODY_CONFIRMATION:
		take_in_confirmation(control, peer, frame->confirmation);
		break;
	default:
		break;
	}
}

void
control_peers_link(struct control *control, const char *name, bool up)
{
	struct peer *peer = add_peer(control, name);

	log_event(LOG_INFO, up ? "peer_up" : "peer_down", "peer", name, NULL);
	peer->linked = up;
	if (up) {
		control->next_heartbeat_ms = control->now_ms;
		return;
	}
	control_forward_peer_down(control, name);
	if (peer->leading)
		lead_hint(&control->lease, control->now_ms);
	peer->leading = false;
}

void
control_peers_tick(struct control *control)
{
	ask_for_list(control);
	send_heartbeats(control);
	ask_for_confirmations(control);
}

/* ---- Views ----------------------------------------------------------- */

static const char *
state_name(Ibis__InstanceState state)
{
	switch (state) {
	case IBIS__INSTANCE_STATE__INSTANCE_SERVING:
		return "serving";
	case IBIS__INSTANCE_STATE__INSTANCE_LEAVING:
		return "leaving";
	default:
		return "starting";
	}
}

static void
peer_json(
    const struct control *control, const struct peer *peer, struct buffer *json)
{
	buffer_printf(json,
	    ", {\"name\": \"%s\", \"availability_zone\": \"%s\", "
	    "\"caller_address\": \"%s\", \"peer_address\": \"%s\", "
	    "\"state\": \"%s\", \"document_version\": %" PRIu64
	    ", \"leading\": %s}",
	    peer->name, peer->zone, peer->caller_address, peer->address,
	    is_heard(control, peer) ? state_name(peer->state) : "silent",
	    peer->document_version, peer->leading ? "true" : "false");
}

void
control_peers_json(const struct control *control, struct buffer *json)
{
	buffer_printf(json,
	    "{\"instances\": [{\"name\": \"%s\", "
	    "\"availability_zone\": \"%s\", \"caller_address\": \"%s\", "
	    "\"peer_address\": \"%s\", \"state\": \"%s\", "
	    "\"document_version\": %" PRIu64 ", \"leading\": %s}",
	    control->settings->name, control->settings->availability_zone,
	    caller_server_address(control->callers),
	    peer_links_address(control->links), state_name(control->state),
	    control_document_version(control),
	    control_leading(control) ? "true" : "false");
	for (size_t i = 0; i < control->peers_count; i++) {
		if (control->peers[i].listed)
			peer_json(control, &control->peers[i], json);
	}
	buffer_puts(json, "]}");
}

void
control_status_json(struct control *control, struct buffer *json)
{
	const char *lead = control_lead_name(control);
	struct scheduler_usage usage = {0};

	if (control_leading(control))
		scheduler_usage(control->scheduler, &usage);
	buffer_printf(json,
	    "{\"name\": \"%s\", \"state\": \"%s\", \"lead\": \"%s\", "
	    "\"leading\": %s, \"document_version\": %" PRIu64
	    ", \"store_reachable\": %s, \"fresh\": %s, "
	    "\"queued_jobs\": %" PRIu64 ", \"running_jobs\": %" PRIu64
	    ", \"accelerators\": %" PRIu64 ", \"free_accelerators\": %" PRIu64
	    "}",
	    control->settings->name, state_name(control->state),
	    lead == NULL ? "" : lead,
	    control_leading(control) ? "true" : "false",
	    control_document_version(control),
	    control->store_down ? "false" : "true",
	    freshness_holds(&control->freshness, control->now_ms) ? "true"
								  : "false",
	    usage.queued_jobs, usage.running_jobs, usage.accelerators,
	    usage.free_accelerators);
}
