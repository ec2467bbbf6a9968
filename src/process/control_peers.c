/* Communication with the other instances: the platform's list, heartbeats and,
 * during an outage of the store, confirmations. */
#include <inttypes.h>
#include <string.h>

#include <json-c/json.h>

#include "process/alloc.h"
#include "process/control.h"
#include "process/log.h"
#include "process/proto_memory.h"

#define LIST_INTERVAL_MS    1000
#define CONFIRM_INTERVAL_MS 300

const char *
control_lead_name(const struct control *control)
{
	const struct member *lead;

	if (control_leading(control))
		return control->settings->name;
	lead = membership_lead(control->members, control->now_ms);
	return lead == NULL ? NULL : lead->name;
}

/* ---- List of instances and workers ----------------------------------- */

static const char *
json_text(struct json_object *object, const char *key)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value))
		return "";
	return json_object_get_string(value);
}

static void
update_link_addresses(struct control *control)
{
	size_t known = membership_count(control->members);
	struct peer_address *addresses = mem_calloc(known, sizeof(*addresses));
	size_t count = 0;

	for (size_t i = 0; i < known; i++) {
		const struct member *member =
		    membership_at(control->members, i);

		if (!member->listed)
			continue;
		STRING_COPY(addresses[count].name, member->name);
		STRING_COPY(addresses[count].address, member->address);
		count++;
	}
	peer_links_set_peers(control->links, addresses, count);
	mem_free(addresses);
}

/* Reads an entry of the platform's list. Returns false when a text of it is too
 * long to be held. */
static bool
read_instance(struct json_object *item, struct membership_entry *entry)
{
	return STRING_COPY(entry->name, json_text(item, "name")) &&
	    STRING_COPY(entry->address, json_text(item, "peer")) &&
	    STRING_COPY(entry->caller_address, json_text(item, "caller")) &&
	    STRING_COPY(entry->zone, json_text(item, "availability_zone"));
}

static void
log_unusable(const char *list, const char *name)
{
	log_event(LOG_ERROR, "list_entry_unusable", "list", list, "name", name,
	    "message", "a text is too long", NULL);
}

static void
update_instances(struct control *control, struct json_object *list)
{
	size_t listed = json_object_array_length(list);
	struct membership_entry *entries = mem_calloc(listed, sizeof(*entries));
	size_t count = 0;

	for (size_t i = 0; i < listed; i++) {
		struct json_object *item = json_object_array_get_idx(list, i);

		if (read_instance(item, &entries[count]))
			count++;
		else
			log_unusable("instances", json_text(item, "name"));
	}
	membership_set_list(control->members, entries, count, control->now_ms);
	mem_free(entries);
	update_link_addresses(control);
}

static void
update_workers(struct control *control, struct json_object *list)
{
	size_t count = json_object_array_length(list);

	for (size_t i = 0; i < control->workers.count; i++)
		control->workers.sessions[i].listed_leaving = true;
	for (size_t i = 0; i < count; i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		const char *name = json_text(item, "name");
		const char *address = json_text(item, "address");
		struct worker_session *session;

		if (!STRING_FITS(session->name, name) ||
		    !STRING_FITS(session->address, address)) {
			log_unusable("workers", name);
			continue;
		}
		session =
		    worker_table_add(&control->workers, name, control->now_ms);
		session->listed_leaving =
		    strcmp(json_text(item, "state"), "leaving") == 0;
		STRING_COPY(session->address, address);
	}
}

void
control_peers_handle_list(struct control *control, struct store_result *result)
{
	struct json_object *root;
	struct json_object *list;

	control->list_in_flight = false;
	if (result->code != IBIS_OK)
		return;
	root = json_tokener_parse(buffer_string(&result->value));
	if (root == NULL) {
		log_event(LOG_WARN, "list_malformed", NULL);
		return;
	}
	control->list_read_ms = control->now_ms;
	if (json_object_object_get_ex(root, "instances", &list) &&
	    json_object_is_type(list, json_type_array))
		update_instances(control, list);
	if (json_object_object_get_ex(root, "workers", &list) &&
	    json_object_is_type(list, json_type_array))
		update_workers(control, list);
	json_object_put(root);
}

static void
request_list(struct control *control)
{
	struct store_call call = {.op = STORE_LIST, .owner = OWNER_LIST};

	if (control->list_in_flight || control->now_ms < control->next_list_ms)
		return;
	control->list_in_flight = true;
	control->next_list_ms = control->now_ms + LIST_INTERVAL_MS;
	store_client_call(control->store, &call);
}

/* ---- Frames ---------------------------------------------------------- */

void
control_peers_broadcast(struct control *control, const Ibis__Frame *frame)
{
	for (size_t i = 0; i < membership_count(control->members); i++) {
		const struct member *member =
		    membership_at(control->members, i);

		if (member->linked)
			(void)peer_links_send(
			    control->links, member->name, frame);
	}
}

static void
send_heartbeats(struct control *control)
{
	Ibis__Heartbeat heartbeat = IBIS__HEARTBEAT__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;
	char lead[JOB_NAME_BYTES];
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
	heartbeat.store_reachable = !control->store_down;
	STRING_COPY(lead, control_lead_name(control));
	heartbeat.lead = lead;
	heartbeat.leading = control_leading(control);
	heartbeat.lead_epoch = control->lease.epoch;
	heartbeat.caller_address = address;
	heartbeat.zone = zone;
	control_document_fill_heartbeat(control, &heartbeat);
	slo_burn_fill_heartbeat(control->burn, &heartbeat, control->now_ms);
	frame.body_case = IBIS__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &heartbeat;
	control_peers_broadcast(control, &frame);
	control_document_clear_heartbeat(&heartbeat);
	slo_burn_clear_heartbeat(&heartbeat);
}

static void
handle_heartbeat(
    struct control *control, const char *name, const Ibis__Heartbeat *heartbeat)
{
	/* Only the peer itself may send its heartbeat. */
	if (strcmp(heartbeat->name, name) != 0 ||
	    !membership_handle_heartbeat(
		control->members, heartbeat, control->now_ms))
		return;
	slo_burn_update_peer(control->burn, heartbeat, control->now_ms);
	/* Another instance has taken the lead in a later epoch. */
	if (heartbeat->leading && control_leading(control) &&
	    heartbeat->lead_epoch > control->lease.epoch)
		control_pool_step_down(
		    control, "a peer leads in a later epoch");
}

/* ---- Confirmations during an outage ---------------------------------- */

static void
send_confirmation(struct control *control, const char *peer,
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
handle_confirmation(struct control *control, const char *peer,
    const Ibis__Confirmation *confirmation)
{
	/* A peer that reaches the store may learn of a newer version, and one
	 * with a newer version shows that this instance's is outdated. */
	if (confirmation->store_reachable ||
	    confirmation->document_version > control_document_version(control))
		return;
	freshness_add_confirmation(
	    &control->freshness, confirmation->sequence, peer);
}

static void
request_confirmations(struct control *control)
{
	Ibis__ConfirmFresh confirm = IBIS__CONFIRM_FRESH__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;
	uint32_t instances = membership_listed_count(control->members);

	if (instances == 0 || !control->store_down ||
	    !control_leading(control) ||
	    control->now_ms < control->next_confirm_ms)
		return;
	control->next_confirm_ms = control->now_ms + CONFIRM_INTERVAL_MS;
	confirm.sequence = freshness_begin_round(
	    &control->freshness, instances, control->now_ms);
	confirm.document_version = control_document_version(control);
	frame.body_case = IBIS__FRAME__BODY_CONFIRM;
	frame.confirm = &confirm;
	control_peers_broadcast(control, &frame);
}

void
control_peers_handle_frame(
    struct control *control, const char *peer, Ibis__Frame *frame)
{
	/* First: the version and holds in a confirmation must be in force here
	 * before the confirmation counts. */
	control_document_handle_frame(control, peer, frame);
	switch (frame->body_case) {
	case IBIS__FRAME__BODY_HEARTBEAT:
		handle_heartbeat(control, peer, frame->heartbeat);
		break;
	case IBIS__FRAME__BODY_REQUEST:
		control_handle_forwarded_request(control, peer, frame->request);
		break;
	case IBIS__FRAME__BODY_REPLY:
		control_handle_forward_reply(control, peer, frame->reply);
		break;
	case IBIS__FRAME__BODY_HAND_OVER:
		lead_schedule_read(&control->lease, control->now_ms);
		break;
	case IBIS__FRAME__BODY_CONFIRM:
		send_confirmation(control, peer, frame->confirm);
		break;
	case IBIS__FRAME__BODY_CONFIRMATION:
		handle_confirmation(control, peer, frame->confirmation);
		break;
	default:
		break;
	}
}

void
control_peers_handle_link(struct control *control, const char *name, bool up)
{
	const struct member *member = membership_find(control->members, name);
	bool was_lead = member != NULL && member->leading;

	log_event(LOG_INFO, up ? "peer_up" : "peer_down", "peer", name, NULL);
	membership_set_linked(control->members, name, up);
	if (up) {
		control->next_heartbeat_ms = control->now_ms;
		return;
	}
	control_forward_handle_peer_down(control, name);
	if (was_lead)
		lead_schedule_read(&control->lease, control->now_ms);
}

void
control_peers_tick(struct control *control)
{
	request_list(control);
	send_heartbeats(control);
	request_confirmations(control);
}

/* ---- JSON bodies ----------------------------------------------------- */

void
control_write_instances_json(const struct control *control, struct buffer *json)
{
	struct membership_self self = {
	    .state = control->state,
	    .document_version = control_document_version(control),
	    .leading = control_leading(control),
	};

	STRING_COPY(
	    self.caller_address, caller_server_address(control->callers));
	STRING_COPY(self.peer_address, peer_links_address(control->links));
	STRING_COPY(self.zone, control->settings->availability_zone);
	membership_write_json(control->members, &self, control->now_ms, json);
}

void
control_write_status_json(struct control *control, struct buffer *json)
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
	    control->settings->name, membership_state_name(control->state),
	    lead == NULL ? "" : lead,
	    control_leading(control) ? "true" : "false",
	    control_document_version(control),
	    control->store_down ? "false" : "true",
	    freshness_is_confirmed(&control->freshness, control->now_ms)
		? "true"
		: "false",
	    usage.queued_jobs, usage.running_jobs, usage.accelerators,
	    usage.free_accelerators);
}
