/* What a spread says to its peers, and what it takes in from them. */
#include <string.h>

#include "process/alloc.h"
#include "process/log.h"
#include "process/proto_memory.h"
#include "version/spread_parts.h"

static void
send_frame(struct spread *spread, const char *peer, const Ibis__Frame *frame)
{
	struct spread_action *action = spread_act(spread, SPREAD_SEND);

	STRING_COPY(action->send.peer, peer);
	action->send.frame = (Ibis__Frame *)proto_copy(&frame->base);
}

static bool
has_acked(const struct spread_op *op, const char *peer)
{
	for (size_t i = 0; i < op->acks_count; i++) {
		if (strcmp(op->acks[i], peer) == 0)
			return true;
	}
	return false;
}

void
spread_send_hold(struct spread *spread, const struct spread_op *op)
{
	Ibis__Frame frame = IBIS__FRAME__INIT;
	Ibis__HoldOrder body = IBIS__HOLD_ORDER__INIT;
	Ibis__Hold hold = IBIS__HOLD__INIT;

	hold.zone = (char *)op->zone;
	hold.order = (char *)op->order;
	hold.settled_version = op->accepted_version;
	body.hold = &hold;
	frame.body_case = IBIS__FRAME__BODY_HOLD;
	frame.hold = &body;
	for (size_t i = 0; i < spread->peers_count; i++) {
		if (!has_acked(op, spread->peers[i].name))
			send_frame(spread, spread->peers[i].name, &frame);
	}
}

static void
send_ack(struct spread *spread, const char *peer, char *order)
{
	Ibis__Frame frame = IBIS__FRAME__INIT;
	Ibis__HoldAck body = IBIS__HOLD_ACK__INIT;

	body.order = order;
	body.name = spread->name;
	frame.body_case = IBIS__FRAME__BODY_HOLD_ACK;
	frame.hold_ack = &body;
	send_frame(spread, peer, &frame);
}

/* Sends the version in force to one peer. */
static void
send_copy(struct spread *spread, const char *peer)
{
	const struct spread_version *force = &spread->force;
	CLEANUP(buffer_free) struct buffer head = {0};
	Ibis__Frame frame = IBIS__FRAME__INIT;
	Ibis__DocumentCopy copy = IBIS__DOCUMENT_COPY__INIT;
	Ibis__SectionCopy *sections =
	    mem_calloc(force->sections_count, sizeof(*sections));
	Ibis__SectionCopy **list =
	    mem_calloc(force->sections_count, sizeof(Ibis__SectionCopy *));

	for (size_t i = 0; i < force->sections_count; i++) {
		ibis__section_copy__init(&sections[i]);
		sections[i].name = force->sections[i].name;
		sections[i].revision = force->sections[i].revision;
		sections[i].text = force->sections[i].text;
		list[i] = &sections[i];
	}
	head_write(force->head, &head);
	copy.version = force->head->version;
	copy.head = head.data;
	copy.n_sections = force->sections_count;
	copy.sections = list;
	frame.body_case = IBIS__FRAME__BODY_DOCUMENT_COPY;
	frame.document_copy = &copy;
	send_frame(spread, peer, &frame);
	mem_free(sections);
	mem_free(list);
}

void
spread_send_copies(struct spread *spread)
{
	for (size_t i = 0; i < spread->peers_count; i++)
		send_copy(spread, spread->peers[i].name);
}

static void
send_fetch(struct spread *spread, const char *peer)
{
	Ibis__Frame frame = IBIS__FRAME__INIT;
	Ibis__DocumentFetch fetch = IBIS__DOCUMENT_FETCH__INIT;

	if (spread->now_ms < spread->next_fetch_ms)
		return;
	spread->next_fetch_ms = spread->now_ms + SPREAD_FETCH_MS;
	fetch.version = spread_version(spread);
	frame.body_case = IBIS__FRAME__BODY_DOCUMENT_FETCH;
	frame.document_fetch = &fetch;
	send_frame(spread, peer, &frame);
}

static struct spread_peer *
find_peer(struct spread *spread, const char *name)
{
	for (size_t i = 0; i < spread->peers_count; i++) {
		if (strcmp(spread->peers[i].name, name) == 0)
			return &spread->peers[i];
	}
	return NULL;
}

void
spread_set_peers(struct spread *spread, const char *const *names, size_t count)
{
	struct spread_peer *peers = mem_calloc(count, sizeof(*peers));

	for (size_t i = 0; i < count; i++) {
		const struct spread_peer *known = find_peer(spread, names[i]);

		STRING_COPY(peers[i].name, names[i]);
		peers[i].version = known == NULL ? 0 : known->version;
	}
	mem_free(spread->peers);
	spread->peers = peers;
	spread->peers_count = count;
}

/* Takes in a peer's version and holds, from a heartbeat or confirmation. */
static void
take_in_state(struct spread *spread, const char *name, uint64_t version,
    Ibis__Hold *const *holds, size_t count)
{
	struct spread_peer *peer = find_peer(spread, name);

	/* A restarted peer may have a lower one for a while. */
	if (peer != NULL)
		peer->version = version;
	for (size_t i = 0; i < count; i++)
		spread_hold(spread, holds[i]->zone, holds[i]->order,
		    holds[i]->settled_version);
	if (version > spread_version(spread))
		send_fetch(spread, name);
}

static void
take_in_ack(struct spread *spread, const char *peer, const char *order)
{
	for (size_t i = 0; i < spread->ops_count; i++) {
		struct spread_op *op = spread->ops[i];

		if (op->kind != OP_ZONE_OUT || strcmp(op->order, order) != 0 ||
		    has_acked(op, peer))
			continue;
		op->acks = mem_grow(op->acks, &op->acks_capacity,
		    op->acks_count + 1, sizeof(*op->acks));
		STRING_COPY(op->acks[op->acks_count], peer);
		op->acks_count++;
	}
}

static const char *
copied_text(const Ibis__DocumentCopy *copy, const struct head_section *section)
{
	for (size_t i = 0; i < copy->n_sections; i++) {
		if (copy->sections[i]->revision == section->revision &&
		    strcmp(copy->sections[i]->name, section->name) == 0)
			return copy->sections[i]->text;
	}
	return NULL;
}

/* Builds a version of a copy; false when the copy lacks anything. */
static bool
read_copy(const Ibis__DocumentCopy *copy, struct spread_version *version,
    struct ibis_status *status)
{
	struct head *head = head_parse(copy->head, strlen(copy->head), status);

	if (head == NULL)
		return false;
	version->head = head;
	version->sections_count = head->sections_count;
	version->sections =
	    mem_calloc(head->sections_count, sizeof(*version->sections));
	for (size_t i = 0; i < head->sections_count; i++) {
		const char *text = copied_text(copy, &head->sections[i]);

		if (text == NULL) {
			(void)ibis_status_set(status, IBIS_INVALID, SPREAD_STEP,
			    NULL, "lacks section %s", head->sections[i].name);
			return false;
		}
		STRING_COPY(version->sections[i].name, head->sections[i].name);
		version->sections[i].revision = head->sections[i].revision;
		version->sections[i].text = mem_strdup(text);
	}
	version->document = document_parse(
	    version->sections, version->sections_count, NULL, status);
	return version->document != NULL;
}

static void
take_in_copy(
    struct spread *spread, const char *peer, const Ibis__DocumentCopy *copy)
{
	struct spread_version version = {0};
	struct ibis_status status = {0};

	if (copy->version <= spread_version(spread))
		return;
	if (read_copy(copy, &version, &status)) {
		spread_enforce(spread, &version);
		return;
	}
	log_event(LOG_WARN, "document_copy_malformed", "peer", peer, "reason",
	    status.message, NULL);
	document_sources_free(version.sections, version.sections_count);
	head_free(version.head);
}

void
spread_frame(struct spread *spread, const char *peer, const Ibis__Frame *frame,
    int64_t now_ms)
{
	const Ibis__Hold *hold;

	spread->now_ms = now_ms;
	switch (frame->body_case) {
	case IBIS__FRAME__BODY_HEARTBEAT:
		take_in_state(spread, peer, frame->heartbeat->document_version,
		    frame->heartbeat->holds, frame->heartbeat->n_holds);
		break;
	case IBIS__FRAME__BODY_CONFIRMATION:
		take_in_state(spread, peer,
		    frame->confirmation->document_version,
		    frame->confirmation->holds, frame->confirmation->n_holds);
		break;
	case IBIS__FRAME__BODY_HOLD:
		hold = frame->hold->hold;
		if (hold == NULL)
			break;
		spread_hold(
		    spread, hold->zone, hold->order, hold->settled_version);
		send_ack(spread, peer, hold->order);
		break;
	case IBIS__FRAME__BODY_HOLD_ACK:
		take_in_ack(spread, peer, frame->hold_ack->order);
		break;
	case IBIS__FRAME__BODY_DOCUMENT_FETCH:
		if (spread_version(spread) > frame->document_fetch->version)
			send_copy(spread, peer);
		break;
	case IBIS__FRAME__BODY_DOCUMENT_COPY:
		take_in_copy(spread, peer, frame->document_copy);
		break;
	default:
		break;
	}
	spread_ops_tick(spread);
}

void
spread_fill_heartbeat(const struct spread *spread, Ibis__Heartbeat *heartbeat)
{
	const struct holds *holds = &spread->holds;

	heartbeat->document_version = spread_version(spread);
	heartbeat->n_holds = holds->count;
	heartbeat->holds = mem_calloc(holds->count, sizeof(Ibis__Hold *));
	for (size_t i = 0; i < holds->count; i++) {
		Ibis__Hold *hold = mem_calloc(1, sizeof(*hold));

		ibis__hold__init(hold);
		hold->zone = mem_strdup(holds->items[i].zone);
		hold->order = mem_strdup(holds->items[i].order);
		hold->settled_version = holds->items[i].settled_version;
		heartbeat->holds[i] = hold;
	}
}

void
spread_clear_heartbeat(Ibis__Heartbeat *heartbeat)
{
	for (size_t i = 0; i < heartbeat->n_holds; i++)
		proto_free(&heartbeat->holds[i]->base);
	mem_free(heartbeat->holds);
	heartbeat->holds = NULL;
	heartbeat->n_holds = 0;
}
