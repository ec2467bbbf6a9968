/* Requests of operators, from their receipt to their answer. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "process/alloc.h"
#include "process/jsonc.h"
#include "version/spread_parts.h"

static struct spread_op *
add_op(struct spread *spread, uint64_t call, enum spread_op_kind kind)
{
	struct spread_op *op = mem_calloc(1, sizeof(*op));

	op->call = call;
	op->kind = kind;
	op->since_ms = spread->now_ms;
	spread->ops = mem_grow(spread->ops, &spread->ops_capacity,
	    spread->ops_count + 1, sizeof(struct spread_op *));
	spread->ops[spread->ops_count++] = op;
	return op;
}

void
spread_op_free(struct spread_op *op)
{
	for (size_t i = 0; i < op->sections_count; i++)
		mem_free(op->sections[i].text);
	mem_free(op->sections);
	mem_free(op->acks);
	mem_free(op->ended);
	buffer_free(&op->warnings);
	buffer_free(&op->difference);
	mem_free(op);
}

static void
remove_op(struct spread *spread, struct spread_op *op)
{
	size_t kept = 0;

	for (size_t i = 0; i < spread->ops_count; i++) {
		if (spread->ops[i] != op)
			spread->ops[kept++] = spread->ops[i];
	}
	spread->ops_count = kept;
	if (spread->writer.op == op)
		spread->writer.op = NULL;
	spread_op_free(op);
}

static void
act_answer(struct spread *spread, uint64_t call,
    const struct ibis_status *status, struct buffer *json, uint64_t revision)
{
	struct spread_action *action = spread_act(spread, SPREAD_ANSWER);

	action->answer.call = call;
	action->answer.status = *status;
	action->answer.revision = revision;
	if (json != NULL)
		action->answer.json = *json;
}

void
spread_answer(struct spread *spread, struct spread_op *op,
    const struct ibis_status *status, struct buffer *json, uint64_t revision)
{
	act_answer(spread, op->call, status, json, revision);
	remove_op(spread, op);
}

static void
refuse(struct spread *spread, uint64_t call, enum ibis_code code,
    const char *format, const char *name)
{
	struct ibis_status status;

	/* The format is one of this file's. */
	(void)ibis_status_set(
	    &status, code, SPREAD_STEP, NULL, "%s %s", format, name);
	act_answer(spread, call, &status, NULL, 0);
}

void
spread_accepted(struct spread *spread, struct spread_op *op, uint64_t version)
{
	op->accepted_version = version;
	op->accepted_ms = spread->now_ms;
}

void
spread_ops_enforced(struct spread *spread)
{
	for (size_t i = 0; i < spread->ops_count; i++) {
		struct spread_op *op = spread->ops[i];

		if (op->kind != OP_EDIT && op->accepted_version == 0 &&
		    head_knows_order(spread->force.head, op->zone, op->order))
			spread_accepted(spread, op, spread_version(spread));
	}
}

/* ---- Answers ----------------------------------------------------------- */

static uint64_t
edited_revision(const struct spread *spread, const struct spread_op *op)
{
	if (op->whole)
		return op->accepted_version;
	if (op->sections[0].stored)
		return op->sections[0].own_revision;
	return head_section_revision(spread->force.head, op->sections[0].name);
}

static void
answer_done(struct spread *spread, struct spread_op *op)
{
	struct ibis_status status = {0};
	struct buffer json = {0};
	uint64_t revision = op->accepted_version;

	if (op->kind == OP_EDIT) {
		spread_report_edit(spread, op, &json);
		revision = edited_revision(spread, op);
	} else {
		spread_report_zone(spread, op, &json);
	}
	spread_answer(spread, op, &status, &json, revision);
}

static void
answer_late(struct spread *spread, struct spread_op *op)
{
	struct ibis_status status;
	bool swapping =
	    spread->writer.op == op && spread->writer.step == WRITER_SWAP;

	if (op->kind == OP_ZONE_OUT) {
		answer_done(spread, op);
		return;
	}
	if (op->doubt || swapping)
		(void)ibis_status_set(&status, IBIS_UNKNOWN, SPREAD_STEP, NULL,
		    "no answer from the store; the change may be accepted");
	else
		(void)ibis_status_set(&status, IBIS_UNAVAILABLE, SPREAD_STEP,
		    NULL, "the store can't be reached; nothing was changed");
	spread_answer(spread, op, &status, NULL, 0);
}

static int64_t
longest_ms(const struct spread_op *op)
{
	return op->kind == OP_EDIT ? SPREAD_EDIT_ANSWER_MS
				   : SPREAD_ZONE_ANSWER_MS;
}

static bool
is_done(const struct spread *spread, const struct spread_op *op)
{
	int64_t waited_ms = spread->now_ms - op->accepted_ms;

	if (op->accepted_version == 0)
		return false;
	if (spread_version(spread) >= op->accepted_version &&
	    spread_reached_all(spread, op))
		return true;
	return waited_ms >= SPREAD_REACH_MS;
}

static void
step_op(struct spread *spread, struct spread_op *op)
{
	bool late = spread->now_ms - op->since_ms >= longest_ms(op);

	if (is_done(spread, op) ||
	    (late && op->accepted_version != 0 && op->kind != OP_EDIT))
		answer_done(spread, op);
	else if (late && op->accepted_version == 0)
		answer_late(spread, op);
	else if (op->kind == OP_ZONE_OUT &&
	    spread->now_ms - op->sent_ms >= SPREAD_RESEND_MS)
		spread_send_hold(spread, op);
}

void
spread_ops_tick(struct spread *spread)
{
	size_t i = 0;

	while (i < spread->ops_count) {
		struct spread_op *op = spread->ops[i];

		step_op(spread, op);
		/* An answered one is gone, and the next stands in its place. */
		if (i < spread->ops_count && spread->ops[i] == op)
			i++;
	}
}

/* ---- Requests ---------------------------------------------------------- */

static void
add_section(struct spread_op *op, const char *name, const char *text)
{
	struct spread_edit_section *section;

	op->sections = mem_realloc(
	    op->sections, (op->sections_count + 1) * sizeof(*op->sections));
	section = &op->sections[op->sections_count++];
	*section = (struct spread_edit_section){.text = mem_strdup(text)};
	STRING_COPY(section->name, name);
}

static void
request_document(
    struct spread *spread, uint64_t call, const Ibis__Request *request)
{
	struct document_source *sources = NULL;
	struct ibis_status status = {0};
	struct spread_op *op;
	int count = document_split(request->body, &sources, &status);

	if (count < 0) {
		act_answer(spread, call, &status, NULL, 0);
		return;
	}
	op = add_op(spread, call, OP_EDIT);
	op->whole = true;
	op->dry_run = request->dry_run;
	op->if_match = request->if_match;
	for (int i = 0; i < count; i++)
		add_section(op, sources[i].name, sources[i].text);
	document_sources_free(sources, (size_t)count);
}

static void
request_section(
    struct spread *spread, uint64_t call, const Ibis__Request *request)
{
	struct spread_op *op;

	if (!jsonc_is_name(request->name, JOB_NAME_BYTES)) {
		refuse(spread, call, IBIS_INVALID,
		    "expected letters, digits and ._- in the section's name:",
		    request->name);
		return;
	}
	op = add_op(spread, call, OP_EDIT);
	op->dry_run = request->dry_run;
	op->if_match = request->if_match;
	add_section(op, request->name, request->body);
}

static void
add_ended(struct spread_op *op, const char *order)
{
	STRING_COPY(op->ended[op->ended_count], order);
	op->ended_count++;
}

/* Notes the orders that keep a zone out, as far as known here. */
static void
note_ended(const struct spread *spread, struct spread_op *op)
{
	const struct holds *holds = &spread->holds;
	const char *out = head_zone_order(spread->force.head, op->zone);

	op->ended = mem_calloc(holds->count + 1, sizeof(*op->ended));
	if (out != NULL)
		add_ended(op, out);
	for (size_t i = 0; i < holds->count; i++) {
		if (strcmp(holds->items[i].zone, op->zone) == 0)
			add_ended(op, holds->items[i].order);
	}
}

static void
request_zone(struct spread *spread, uint64_t call, enum spread_op_kind kind,
    const char *zone)
{
	struct spread_op *op;

	if (spread->force.document == NULL) {
		refuse(spread, call, IBIS_UNAVAILABLE,
		    "no document is in force here; can't find zone", zone);
		return;
	}
	if (document_find_zone(spread->force.document, zone) < 0) {
		refuse(
		    spread, call, IBIS_NOT_FOUND, "no availability zone", zone);
		return;
	}
	op = add_op(spread, call, kind);
	STRING_COPY(op->zone, zone);
	(void)snprintf(op->order, sizeof(op->order),
	    "%.60s.%" PRIx64 ".%" PRIu64, spread->name, spread->incarnation,
	    ++spread->last_order);
	if (kind == OP_ZONE_IN) {
		note_ended(spread, op);
		return;
	}
	spread_hold(spread, zone, op->order, 0);
	spread_send_hold(spread, op);
}

static void
read_document(struct spread *spread, uint64_t call)
{
	struct ibis_status status = {0};
	struct buffer json = {0};

	spread_report_document(spread, &json);
	act_answer(spread, call, &status, &json, spread_version(spread));
}

static void
read_status(struct spread *spread, uint64_t call)
{
	struct ibis_status status = {0};
	struct buffer json = {0};

	spread_report_status(spread, &json);
	act_answer(spread, call, &status, &json, spread_version(spread));
}

static void
read_section(struct spread *spread, uint64_t call, const char *name)
{
	struct ibis_status status = {0};
	struct buffer text = {0};
	uint64_t revision = 0;

	if (spread->force.head != NULL)
		revision = head_section_revision(spread->force.head, name);
	if (revision == 0) {
		refuse(spread, call, IBIS_NOT_FOUND, "no section", name);
		return;
	}
	buffer_puts(&text, spread_section_text(&spread->force, name, revision));
	act_answer(spread, call, &status, &text, revision);
}

bool
spread_request(struct spread *spread, uint64_t call,
    const Ibis__Request *request, int64_t now_ms)
{
	spread->now_ms = now_ms;
	switch (request->kind) {
	case IBIS__REQUEST_KIND__REQUEST_PUT_DOCUMENT:
		request_document(spread, call, request);
		break;
	case IBIS__REQUEST_KIND__REQUEST_PUT_SECTION:
		request_section(spread, call, request);
		break;
	case IBIS__REQUEST_KIND__REQUEST_ZONE_OUT:
		request_zone(spread, call, OP_ZONE_OUT, request->name);
		break;
	case IBIS__REQUEST_KIND__REQUEST_ZONE_IN:
		request_zone(spread, call, OP_ZONE_IN, request->name);
		break;
	case IBIS__REQUEST_KIND__REQUEST_DOCUMENT:
		read_document(spread, call);
		break;
	case IBIS__REQUEST_KIND__REQUEST_SECTION:
		read_section(spread, call, request->name);
		break;
	case IBIS__REQUEST_KIND__REQUEST_DOCUMENT_STATUS:
		read_status(spread, call);
		break;
	default:
		return false;
	}
	spread_writer_tick(spread);
	return true;
}
