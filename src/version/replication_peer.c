/* Frames to and from peers: holds and their acks, versions, and copies of the
 * document. */
#include <string.h>

#include "process/alloc.h"
#include "process/log.h"
#include "process/proto_memory.h"
#include "version/replication_internal.h"

static void
send_frame(
    struct replication *replication, const char *peer, const Ibis__Frame *frame)
{
	struct replication_action *action =
	    replication_add_action(replication, REPLICATION_SEND_FRAME);

	STRING_COPY(action->send.peer, peer);
	action->send.frame = (Ibis__Frame *)proto_copy(&frame->base);
}

static bool
has_acked(const struct replication_op *op, const char *peer)
{
	for (size_t i = 0; i < op->acked_peers_count; i++) {
		if (strcmp(op->acked_peers[i], peer) == 0)
			return true;
	}
	return false;
}

void
replication_send_hold(
    struct replication *replication, const struct replication_op *op)
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
	for (size_t i = 0; i < replication->peers_count; i++) {
		if (!has_acked(op, replication->peers[i].name))
			send_frame(
			    replication, replication->peers[i].name, &frame);
	}
}

static void
send_ack(struct replication *replication, const char *peer, char *order)
{
	Ibis__Frame frame = IBIS__FRAME__INIT;
	Ibis__HoldAck body = IBIS__HOLD_ACK__INIT;

	body.order = order;
	body.name = replication->name;
	frame.body_case = IBIS__FRAME__BODY_HOLD_ACK;
	frame.hold_ack = &body;
	send_frame(replication, peer, &frame);
}

/* Sends the version in force to one peer. */
static void
send_copy(struct replication *replication, const char *peer)
{
	const struct loaded_version *in_force = &replication->in_force;
	CLEANUP(buffer_free) struct buffer head = {0};
	Ibis__Frame frame = IBIS__FRAME__INIT;
	Ibis__DocumentCopy copy = IBIS__DOCUMENT_COPY__INIT;
	Ibis__SectionCopy *sections =
	    mem_calloc(in_force->sections_count, sizeof(*sections));
	Ibis__SectionCopy **list =
	    mem_calloc(in_force->sections_count, sizeof(Ibis__SectionCopy *));

	for (size_t i = 0; i < in_force->sections_count; i++) {
		ibis__section_copy__init(&sections[i]);
		sections[i].name = in_force->sections[i].name;
		sections[i].revision = in_force->sections[i].revision;
		sections[i].text = in_force->sections[i].text;
		list[i] = &sections[i];
	}
	head_write(in_force->head, &head);
	copy.version = in_force->head->version;
	copy.head = head.data;
	copy.n_sections = in_force->sections_count;
	copy.sections = list;
	frame.body_case = IBIS__FRAME__BODY_DOCUMENT_COPY;
	frame.document_copy = &copy;
	send_frame(replication, peer, &frame);
	mem_free(sections);
	mem_free(list);
}

void
replication_send_copies(struct replication *replication)
{
	for (size_t i = 0; i < replication->peers_count; i++)
		send_copy(replication, replication->peers[i].name);
}

static void
send_fetch(struct replication *replication, const char *peer)
{
	Ibis__Frame frame = IBIS__FRAME__INIT;
	Ibis__DocumentFetch fetch = IBIS__DOCUMENT_FETCH__INIT;

	if (replication->now_ms < replication->next_fetch_ms)
		return;
	replication->next_fetch_ms =
	    replication->now_ms + REPLICATION_FETCH_INTERVAL_MS;
	fetch.version = replication_version(replication);
	frame.body_case = IBIS__FRAME__BODY_DOCUMENT_FETCH;
	frame.document_fetch = &fetch;
	send_frame(replication, peer, &frame);
}

static struct replication_peer *
find_peer(struct replication *replication, const char *name)
{
	for (size_t i = 0; i < replication->peers_count; i++) {
		if (strcmp(replication->peers[i].name, name) == 0)
			return &replication->peers[i];
	}
	return NULL;
}

void
replication_set_peers(
    struct replication *replication, const char *const *names, size_t count)
{
	struct replication_peer *peers = mem_calloc(count, sizeof(*peers));

	for (size_t i = 0; i < count; i++) {
		const struct replication_peer *known =
		    find_peer(replication, names[i]);

		STRING_COPY(peers[i].name, names[i]);
		peers[i].version = known == NULL ? 0 : known->version;
	}
	mem_free(replication->peers);
	replication->peers = peers;
	replication->peers_count = count;
}

/* Handles the version and holds in a peer's heartbeat or confirmation. */
static void
handle_peer_state(struct replication *replication, const char *name,
    uint64_t version, Ibis__Hold *const *holds, size_t count)
{
	struct replication_peer *peer = find_peer(replication, name);

	/* May be lower than before: a restarted peer has no version until it
	 * has loaded one. */
	if (peer != NULL)
		peer->version = version;
	for (size_t i = 0; i < count; i++)
		replication_add_hold(replication, holds[i]->zone,
		    holds[i]->order, holds[i]->settled_version);
	if (version > replication_version(replication))
		send_fetch(replication, name);
}

static void
handle_hold_ack(
    struct replication *replication, const char *peer, const char *order)
{
	for (size_t i = 0; i < replication->ops_count; i++) {
		struct replication_op *op = replication->ops[i];

		if (op->kind != OP_ZONE_OUT || strcmp(op->order, order) != 0 ||
		    has_acked(op, peer))
			continue;
		op->acked_peers =
		    mem_grow(op->acked_peers, &op->acked_peers_capacity,
			op->acked_peers_count + 1, sizeof(*op->acked_peers));
		STRING_COPY(op->acked_peers[op->acked_peers_count], peer);
		op->acked_peers_count++;
	}
}

static const char *
find_copied_text(
    const Ibis__DocumentCopy *copy, const struct head_section *section)
{
	for (size_t i = 0; i < copy->n_sections; i++) {
		if (copy->sections[i]->revision == section->revision &&
		    strcmp(copy->sections[i]->name, section->name) == 0)
			return copy->sections[i]->text;
	}
	return NULL;
}

/* Parses a copy of the document into version. Returns false with status filled
 * when it is malformed or a section is missing; the caller then frees the head
 * and sections. */
static bool
parse_copy(const Ibis__DocumentCopy *copy, struct loaded_version *version,
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
		const char *text = find_copied_text(copy, &head->sections[i]);

		if (text == NULL) {
			(void)ibis_status_set(status, IBIS_INVALID,
			    REPLICATION_STEP, NULL,
			    "the copy has no text for section %s",
			    head->sections[i].name);
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
handle_copy(struct replication *replication, const char *peer,
    const Ibis__DocumentCopy *copy)
{
	struct loaded_version version = {0};
	struct ibis_status status = {0};

	if (copy->version <= replication_version(replication))
		return;
	if (parse_copy(copy, &version, &status)) {
		replication_put_in_force(replication, &version);
		return;
	}
	log_event(LOG_WARN, "document_copy_malformed", "peer", peer, "reason",
	    status.message, NULL);
	document_sources_free(version.sections, version.sections_count);
	head_free(version.head);
}

void
replication_handle_frame(struct replication *replication, const char *peer,
    const Ibis__Frame *frame, int64_t now_ms)
{
	const Ibis__Hold *hold;

	replication->now_ms = now_ms;
	switch (frame->body_case) {
	case IBIS__FRAME__BODY_HEARTBEAT:
		handle_peer_state(replication, peer,
		    frame->heartbeat->document_version, frame->heartbeat->holds,
		    frame->heartbeat->n_holds);
		break;
	case IBIS__FRAME__BODY_CONFIRMATION:
		handle_peer_state(replication, peer,
		    frame->confirmation->document_version,
		    frame->confirmation->holds, frame->confirmation->n_holds);
		break;
	case IBIS__FRAME__BODY_HOLD:
		hold = frame->hold->hold;
		if (hold == NULL)
			break;
		replication_add_hold(replication, hold->zone, hold->order,
		    hold->settled_version);
		send_ack(replication, peer, hold->order);
		break;
	case IBIS__FRAME__BODY_HOLD_ACK:
		handle_hold_ack(replication, peer, frame->hold_ack->order);
		break;
	case IBIS__FRAME__BODY_DOCUMENT_FETCH:
		if (replication_version(replication) >
		    frame->document_fetch->version)
			send_copy(replication, peer);
		break;
	case IBIS__FRAME__BODY_DOCUMENT_COPY:
		handle_copy(replication, peer, frame->document_copy);
		break;
	default:
		break;
	}
	replication_ops_tick(replication);
}

void
replication_fill_heartbeat(
    const struct replication *replication, Ibis__Heartbeat *heartbeat)
{
	const struct holds *holds = &replication->holds;

	heartbeat->document_version = replication_version(replication);
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
replication_clear_heartbeat(Ibis__Heartbeat *heartbeat)
{
	for (size_t i = 0; i < heartbeat->n_holds; i++)
		proto_free(&heartbeat->holds[i]->base);
	mem_free(heartbeat->holds);
	heartbeat->holds = NULL;
	heartbeat->n_holds = 0;
}
