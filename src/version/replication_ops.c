/* Operators' requests, from receipt to answer. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "process/alloc.h"
#include "process/jsonc.h"
#include "version/replication_internal.h"

static struct replication_op *
add_op(struct replication *replication, uint64_t call,
    enum replication_op_kind kind)
{
	struct replication_op *op = mem_calloc(1, sizeof(*op));

	op->call = call;
	op->kind = kind;
	op->received_ms = replication->now_ms;
	replication->ops =
	    mem_grow(replication->ops, &replication->ops_capacity,
		replication->ops_count + 1, sizeof(struct replication_op *));
	replication->ops[replication->ops_count++] = op;
	return op;
}

void
replication_op_free(struct replication_op *op)
{
	for (size_t i = 0; i < op->sections_count; i++)
		mem_free(op->sections[i].text);
	mem_free(op->sections);
	mem_free(op->acked_peers);
	mem_free(op->cleared_orders);
	buffer_free(&op->warnings);
	buffer_free(&op->difference);
	mem_free(op);
}

static void
remove_op(struct replication *replication, struct replication_op *op)
{
	size_t remaining = 0;

	for (size_t i = 0; i < replication->ops_count; i++) {
		if (replication->ops[i] != op)
			replication->ops[remaining++] = replication->ops[i];
	}
	replication->ops_count = remaining;
	if (replication->writer.op == op)
		replication->writer.op = NULL;
	replication_op_free(op);
}

static void
queue_answer(struct replication *replication, uint64_t call,
    const struct ibis_status *status, struct buffer *json, uint64_t revision)
{
	struct replication_action *action =
	    replication_add_action(replication, REPLICATION_ANSWER);

	action->answer.call = call;
	action->answer.status = *status;
	action->answer.revision = revision;
	if (json != NULL)
		action->answer.json = *json;
}

void
replication_answer_op(struct replication *replication,
    struct replication_op *op, const struct ibis_status *status,
    struct buffer *json, uint64_t revision)
{
	queue_answer(replication, op->call, status, json, revision);
	remove_op(replication, op);
}

static void
reject(struct replication *replication, uint64_t call, enum ibis_code code,
    const char *text, const char *name)
{
	struct ibis_status status;

	(void)ibis_status_set(
	    &status, code, REPLICATION_STEP, NULL, "%s %s", text, name);
	queue_answer(replication, call, &status, NULL, 0);
}

void
replication_record_accepted(struct replication *replication,
    struct replication_op *op, uint64_t version)
{
	op->accepted_version = version;
	op->accepted_ms = replication->now_ms;
}

void
replication_ops_check_head(struct replication *replication)
{
	for (size_t i = 0; i < replication->ops_count; i++) {
		struct replication_op *op = replication->ops[i];

		if (op->kind != OP_EDIT && op->accepted_version == 0 &&
		    head_contains_order(
			replication->in_force.head, op->zone, op->order))
			replication_record_accepted(
			    replication, op, replication_version(replication));
	}
}

/* ---- Answers ----------------------------------------------------------- */

static uint64_t
revision_after_edit(
    const struct replication *replication, const struct replication_op *op)
{
	if (op->replaces_all)
		return op->accepted_version;
	if (op->sections[0].stored)
		return op->sections[0].own_revision;
	return head_section_revision(
	    replication->in_force.head, op->sections[0].name);
}

static void
answer_success(struct replication *replication, struct replication_op *op)
{
	struct ibis_status status = {0};
	struct buffer json = {0};
	uint64_t revision = op->accepted_version;

	if (op->kind == OP_EDIT) {
		replication_report_edit(replication, op, &json);
		revision = revision_after_edit(replication, op);
	} else {
		replication_report_zone(replication, op, &json);
	}
	replication_answer_op(replication, op, &status, &json, revision);
}

static void
answer_timeout(struct replication *replication, struct replication_op *op)
{
	struct ibis_status status;
	bool swapping = replication->writer.op == op &&
	    replication->writer.step == WRITER_SWAP;

	if (op->kind == OP_ZONE_OUT) {
		/* The hold is in force here even if it is not stored. */
		answer_success(replication, op);
		return;
	}
	if (op->unknown_outcome || swapping)
		(void)ibis_status_set(&status, IBIS_UNKNOWN, REPLICATION_STEP,
		    NULL,
		    "no answer from the store; the change may have been "
		    "accepted");
	else
		(void)ibis_status_set(&status, IBIS_UNAVAILABLE,
		    REPLICATION_STEP, NULL,
		    "the store can't be reached; nothing was changed");
	replication_answer_op(replication, op, &status, NULL, 0);
}

static int64_t
timeout_ms(const struct replication_op *op)
{
	return op->kind == OP_EDIT ? REPLICATION_EDIT_TIMEOUT_MS
				   : REPLICATION_ZONE_TIMEOUT_MS;
}

static bool
is_done(const struct replication *replication, const struct replication_op *op)
{
	int64_t waited_ms = replication->now_ms - op->accepted_ms;

	if (op->accepted_version == 0)
		return false;
	if (replication_version(replication) >= op->accepted_version &&
	    replication_reached_all_peers(replication, op))
		return true;
	return waited_ms >= REPLICATION_PEERS_TIMEOUT_MS;
}

static void
update_op(struct replication *replication, struct replication_op *op)
{
	bool timed_out =
	    replication->now_ms - op->received_ms >= timeout_ms(op);

	if (is_done(replication, op) ||
	    (timed_out && op->accepted_version != 0 && op->kind != OP_EDIT))
		answer_success(replication, op);
	else if (timed_out && op->accepted_version == 0)
		answer_timeout(replication, op);
	else if (op->kind == OP_ZONE_OUT &&
	    replication->now_ms - op->sent_ms >= REPLICATION_HOLD_RESEND_MS)
		replication_send_hold(replication, op);
}

void
replication_ops_tick(struct replication *replication)
{
	size_t i = 0;

	while (i < replication->ops_count) {
		struct replication_op *op = replication->ops[i];

		update_op(replication, op);
		/* An operation that was answered has been removed, so the next
		 * one now has its index. */
		if (i < replication->ops_count && replication->ops[i] == op)
			i++;
	}
}

/* ---- Requests ---------------------------------------------------------- */

static void
add_section(struct replication_op *op, const char *name, const char *text)
{
	struct replication_edit_section *section;

	op->sections = mem_realloc(
	    op->sections, (op->sections_count + 1) * sizeof(*op->sections));
	section = &op->sections[op->sections_count++];
	*section = (struct replication_edit_section){.text = mem_strdup(text)};
	STRING_COPY(section->name, name);
}

static void
start_document_edit(struct replication *replication, uint64_t call,
    const Ibis__Request *request)
{
	struct document_source *sources = NULL;
	struct ibis_status status = {0};
	struct replication_op *op;
	int count = document_split(request->body, &sources, &status);

	if (count < 0) {
		queue_answer(replication, call, &status, NULL, 0);
		return;
	}
	op = add_op(replication, call, OP_EDIT);
	op->replaces_all = true;
	op->dry_run = request->dry_run;
	op->if_match = request->if_match;
	for (int i = 0; i < count; i++)
		add_section(op, sources[i].name, sources[i].text);
	document_sources_free(sources, (size_t)count);
}

static void
start_section_edit(struct replication *replication, uint64_t call,
    const Ibis__Request *request)
{
	struct replication_op *op;

	if (!jsonc_is_name(request->name, JOB_NAME_BYTES)) {
		reject(replication, call, IBIS_INVALID,
		    "expected letters, digits and ._- in the name of section",
		    request->name);
		return;
	}
	op = add_op(replication, call, OP_EDIT);
	op->dry_run = request->dry_run;
	op->if_match = request->if_match;
	add_section(op, request->name, request->body);
}

static void
add_cleared_order(struct replication_op *op, const char *order)
{
	STRING_COPY(op->cleared_orders[op->cleared_orders_count], order);
	op->cleared_orders_count++;
}

/* Records the orders known to this instance that keep the zone out. */
static void
record_cleared_orders(
    const struct replication *replication, struct replication_op *op)
{
	const struct holds *holds = &replication->holds;
	const char *out_order =
	    head_zone_out_order(replication->in_force.head, op->zone);

	op->cleared_orders =
	    mem_calloc(holds->count + 1, sizeof(*op->cleared_orders));
	if (out_order != NULL)
		add_cleared_order(op, out_order);
	for (size_t i = 0; i < holds->count; i++) {
		if (strcmp(holds->items[i].zone, op->zone) == 0)
			add_cleared_order(op, holds->items[i].order);
	}
}

static void
start_zone_order(struct replication *replication, uint64_t call,
    enum replication_op_kind kind, const char *zone)
{
	struct replication_op *op;

	if (replication->in_force.document == NULL) {
		reject(replication, call, IBIS_UNAVAILABLE,
		    "no document is in force on this instance; can't find "
		    "availability zone",
		    zone);
		return;
	}
	if (document_find_zone(replication->in_force.document, zone) < 0) {
		reject(replication, call, IBIS_NOT_FOUND,
		    "no availability zone", zone);
		return;
	}
	op = add_op(replication, call, kind);
	STRING_COPY(op->zone, zone);
	(void)snprintf(op->order, sizeof(op->order),
	    "%.60s.%" PRIx64 ".%" PRIu64, replication->name,
	    replication->incarnation, ++replication->last_order);
	if (kind == OP_ZONE_IN) {
		record_cleared_orders(replication, op);
		return;
	}
	replication_add_hold(replication, zone, op->order, 0);
	replication_send_hold(replication, op);
}

static void
answer_document(struct replication *replication, uint64_t call)
{
	struct ibis_status status = {0};
	struct buffer json = {0};

	replication_report_document(replication, &json);
	queue_answer(replication, call, &status, &json,
	    replication_version(replication));
}

static void
answer_status(struct replication *replication, uint64_t call)
{
	struct ibis_status status = {0};
	struct buffer json = {0};

	replication_report_status(replication, &json);
	queue_answer(replication, call, &status, &json,
	    replication_version(replication));
}

static void
answer_section(struct replication *replication, uint64_t call, const char *name)
{
	struct ibis_status status = {0};
	struct buffer text = {0};
	uint64_t revision = 0;

	if (replication->in_force.head != NULL)
		revision =
		    head_section_revision(replication->in_force.head, name);
	if (revision == 0) {
		reject(replication, call, IBIS_NOT_FOUND, "no section", name);
		return;
	}
	buffer_puts(&text,
	    replication_section_text(&replication->in_force, name, revision));
	queue_answer(replication, call, &status, &text, revision);
}

bool
replication_handle_request(struct replication *replication, uint64_t call,
    const Ibis__Request *request, int64_t now_ms)
{
	replication->now_ms = now_ms;
	switch (request->kind) {
	case IBIS__REQUEST_KIND__REQUEST_PUT_DOCUMENT:
		start_document_edit(replication, call, request);
		break;
	case IBIS__REQUEST_KIND__REQUEST_PUT_SECTION:
		start_section_edit(replication, call, request);
		break;
	case IBIS__REQUEST_KIND__REQUEST_ZONE_OUT:
		start_zone_order(replication, call, OP_ZONE_OUT, request->name);
		break;
	case IBIS__REQUEST_KIND__REQUEST_ZONE_IN:
		start_zone_order(replication, call, OP_ZONE_IN, request->name);
		break;
	case IBIS__REQUEST_KIND__REQUEST_DOCUMENT:
		answer_document(replication, call);
		break;
	case IBIS__REQUEST_KIND__REQUEST_SECTION:
		answer_section(replication, call, request->name);
		break;
	case IBIS__REQUEST_KIND__REQUEST_DOCUMENT_STATUS:
		answer_status(replication, call);
		break;
	default:
		return false;
	}
	replication_writer_tick(replication);
	return true;
}
