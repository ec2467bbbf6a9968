/* Carries changes of the head into the store, one at a time. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "process/alloc.h"
#include "process/log.h"
#include "version/spread_parts.h"

#define ADOPT_JITTER_MS 2000

void
spread_writer_clear(struct spread *spread)
{
	struct spread_writer *writer = &spread->writer;

	head_free(writer->base);
	head_free(writer->next);
	*writer = (struct spread_writer){
	    .next_ms = spread->now_ms,
	    .retry_ms = writer->retry_ms,
	};
}

/* Gives up this attempt; the next one begins with a read of the head. */
static void
retry_later(struct spread *spread)
{
	spread_writer_clear(spread);
	spread->writer.next_ms =
	    spread->now_ms + spread_back_off(&spread->writer.retry_ms);
}

static void
finish(struct spread *spread)
{
	spread_writer_clear(spread);
	spread->writer.retry_ms = SPREAD_RETRY_MS;
}

/* Tells whether this instance gave an order itself. */
static bool
is_own_order(const struct spread *spread, const char *order)
{
	char prefix[HEAD_ORDER_BYTES];

	(void)snprintf(prefix, sizeof(prefix), "%.60s.%" PRIx64 ".",
	    spread->name, spread->incarnation);
	return strncmp(order, prefix, strlen(prefix)) == 0;
}

/* Tells whether this instance should write a hold into the head by now. The
 * originator does at once, the others one after the other. */
static bool
is_due(const struct spread *spread, const struct hold *hold)
{
	int64_t wait_ms = SPREAD_ADOPT_MS +
	    (int64_t)(XXH3_64bits(spread->name, strlen(spread->name)) %
		ADOPT_JITTER_MS);

	if (hold->settled_version != 0)
		return false;
	return is_own_order(spread, hold->order) ||
	    spread->now_ms - hold->since_ms >= wait_ms;
}

static bool
holds_due(const struct spread *spread)
{
	for (size_t i = 0; i < spread->holds.count; i++) {
		if (is_due(spread, &spread->holds.items[i]))
			return true;
	}
	return false;
}

static struct spread_op *
find_writable(const struct spread *spread)
{
	for (size_t i = 0; i < spread->ops_count; i++) {
		struct spread_op *op = spread->ops[i];

		if (op->kind != OP_ZONE_OUT && op->accepted_version == 0)
			return op;
	}
	return NULL;
}

static void
begin(struct spread *spread)
{
	struct spread_writer *writer = &spread->writer;

	writer->settling = holds_due(spread);
	writer->op = writer->settling ? NULL : find_writable(spread);
	if (!writer->settling && writer->op == NULL)
		return;
	writer->step = WRITER_READ;
	writer->token =
	    spread_call_store(spread, STORE_GET, SPREAD_HEAD_KEY, NULL, 0, 0);
}

static uint64_t
base_version(const struct spread_writer *writer)
{
	return writer->base == NULL ? 0 : writer->base->version;
}

static void
swap(struct spread *spread, struct head *next)
{
	struct spread_writer *writer = &spread->writer;
	struct buffer text = {0};

	next->version = base_version(writer) + 1;
	writer->next = next;
	writer->step = WRITER_SWAP;
	head_write(next, &text);
	writer->token = spread_call_store(spread, STORE_SWAP, SPREAD_HEAD_KEY,
	    &text, writer->base_revision, 0);
}

/* Adds all unsettled holds to a copy of the base; those that the base knows
 * already become settled. Returns NULL when there is nothing to write. */
static struct head *
settled_head(struct spread *spread)
{
	const struct head *base = spread->writer.base;
	struct head *next = head_copy(base);
	bool changed = false;

	for (size_t i = 0; i < spread->holds.count; i++) {
		struct hold *hold = &spread->holds.items[i];

		if (hold->settled_version != 0)
			continue;
		if (head_knows_order(base, hold->zone, hold->order)) {
			hold->settled_version = base->version;
			continue;
		}
		head_zone_out(next, hold->zone, hold->order);
		changed = true;
	}
	if (changed)
		return next;
	head_free(next);
	return NULL;
}

static void
plan_settling(struct spread *spread)
{
	struct head *next =
	    spread->writer.base == NULL ? NULL : settled_head(spread);

	if (next != NULL)
		swap(spread, next);
	else if (spread->writer.base == NULL)
		retry_later(spread);
	else
		finish(spread);
}

static void
refuse(struct spread *spread, struct spread_op *op, struct ibis_status *status)
{
	/* An earlier swap may have been in force in between. */
	if (status->code == IBIS_CONFLICT && op->doubt)
		status->code = IBIS_UNKNOWN;
	spread_answer(spread, op, status, NULL, 0);
	finish(spread);
}

static bool
ends_order(const struct spread_op *op, const char *order)
{
	for (size_t i = 0; i < op->ended_count; i++) {
		if (strcmp(op->ended[i], order) == 0)
			return true;
	}
	return false;
}

static struct head *
returned_head(const struct spread *spread, const struct spread_op *op)
{
	struct head *next = head_copy(spread->writer.base);
	const char **orders = mem_calloc(op->ended_count, sizeof(*orders));

	for (size_t i = 0; i < op->ended_count; i++)
		orders[i] = op->ended[i];
	head_zone_in(next, op->zone, op->order, orders, op->ended_count);
	mem_free(orders);
	return next;
}

/* An order out that came after the return was given goes before it. */
static void
refuse_return(struct spread *spread, struct spread_op *op, const char *order)
{
	struct ibis_status status;

	(void)ibis_status_set(&status, IBIS_CONFLICT, SPREAD_STEP, NULL,
	    "availability zone %s was taken out meanwhile by order %s",
	    op->zone, order);
	refuse(spread, op, &status);
}

static void
plan_return(struct spread *spread, struct spread_op *op)
{
	const struct head *base = spread->writer.base;
	const char *out;

	if (base == NULL) {
		retry_later(spread);
		return;
	}
	out = head_zone_order(base, op->zone);
	if (head_knows_order(base, op->zone, op->order)) {
		spread_accepted(spread, op, base->version);
		finish(spread);
	} else if (out != NULL && !ends_order(op, out)) {
		refuse_return(spread, op, out);
	} else {
		swap(spread, returned_head(spread, op));
	}
}

static void
store_section(struct spread *spread, struct spread_op *op, size_t index)
{
	struct spread_edit_section *section = &op->sections[index];
	struct spread_writer *writer = &spread->writer;
	char key[STORE_KEY_BYTES];
	struct buffer text = {0};

	buffer_puts(&text, section->text);
	spread_section_key(section->name, section->own_revision, key);
	writer->step = WRITER_SECTION;
	writer->section = index;
	writer->token = spread_call_store(spread, STORE_SWAP, key, &text, 0, 0);
}

static void
answer_dry_run(struct spread *spread, struct spread_op *op)
{
	struct ibis_status status = {0};
	struct buffer json = {0};

	spread_report_edit(spread, op, &json);
	spread_answer(spread, op, &status, &json, 0);
	finish(spread);
}

static void
plan_edit(struct spread *spread, struct spread_op *op)
{
	struct spread_writer *writer = &spread->writer;
	struct ibis_status status = {0};
	struct head *next = NULL;
	size_t section = 0;

	if (spread_version(spread) != base_version(writer)) {
		writer->step = WRITER_LOAD;
		return;
	}
	switch (spread_plan_edit(spread, op, &section, &next, &status)) {
	case EDIT_SECTION:
		store_section(spread, op, section);
		break;
	case EDIT_READY:
		/* The head has moved on without it. */
		if (writer->base_revision != op->doubt_revision)
			op->doubt = false;
		swap(spread, next);
		break;
	case EDIT_ACCEPTED:
		spread_accepted(spread, op, base_version(writer));
		finish(spread);
		break;
	case EDIT_CHECKED:
		answer_dry_run(spread, op);
		break;
	case EDIT_REFUSED:
		refuse(spread, op, &status);
		break;
	}
}

static void
plan(struct spread *spread)
{
	struct spread_writer *writer = &spread->writer;

	if (base_version(writer) < spread_version(spread)) {
		/* A read from before the version in force, or a store that
		 * has lost it: nothing is built on it. */
		log_event(LOG_WARN, "document_older_refused", "version",
		    log_number((int64_t)base_version(writer)), "in_force",
		    log_number((int64_t)spread_version(spread)), NULL);
		retry_later(spread);
	} else if (writer->settling) {
		plan_settling(spread);
	} else if (writer->op == NULL) {
		finish(spread);
	} else if (writer->op->kind == OP_ZONE_IN) {
		plan_return(spread, writer->op);
	} else {
		plan_edit(spread, writer->op);
	}
}

/* Takes a head as the base, then plans. */
static void
take_base(struct spread *spread, const struct store_result *result)
{
	struct spread_writer *writer = &spread->writer;
	struct ibis_status status = {0};

	head_free(writer->base);
	writer->base =
	    head_parse(result->value.data, result->value.length, &status);
	writer->base_revision = result->revision;
	if (writer->base == NULL) {
		log_event(LOG_ERROR, "head_malformed", "reason", status.message,
		    NULL);
		retry_later(spread);
		return;
	}
	spread_offer(
	    spread, head_copy(writer->base), result->revision, result->sent_ms);
	plan(spread);
}

static void
head_read(struct spread *spread, const struct store_result *result)
{
	if (result->code == IBIS_OK)
		take_base(spread, result);
	else if (result->code == IBIS_NOT_FOUND)
		plan(spread);
	else
		retry_later(spread);
}

static void
section_written(struct spread *spread, const struct store_result *result)
{
	struct spread_writer *writer = &spread->writer;
	struct spread_edit_section *section;

	if (writer->op == NULL) {
		finish(spread);
		return;
	}
	section = &writer->op->sections[writer->section];
	if (result->code == IBIS_OK) {
		section->stored = true;
	} else if (result->code == IBIS_CONFLICT) {
		/* An earlier attempt whose answer was lost, or another edit. */
		if (strcmp(buffer_string(&result->value), section->text) == 0)
			section->stored = true;
		else
			section->own_revision++;
	} else {
		retry_later(spread);
		return;
	}
	plan(spread);
}

static void
swapped(struct spread *spread, const struct store_result *result)
{
	struct spread_writer *writer = &spread->writer;
	uint64_t version = writer->next->version;
	struct spread_op *op = writer->op;

	spread_offer(spread, writer->next, result->revision, result->sent_ms);
	writer->next = NULL;
	if (op != NULL)
		spread_accepted(spread, op, version);
	if (spread_version(spread) == version)
		spread_send_copies(spread);
	finish(spread);
}

static void
head_swapped(struct spread *spread, const struct store_result *result)
{
	struct spread_writer *writer = &spread->writer;

	if (result->code == IBIS_OK) {
		swapped(spread, result);
		return;
	}
	head_free(writer->next);
	writer->next = NULL;
	if (result->code == IBIS_CONFLICT && result->value.length > 0) {
		take_base(spread, result);
		return;
	}
	if (result->code == IBIS_UNKNOWN && writer->op != NULL) {
		writer->op->doubt = true;
		writer->op->doubt_revision = writer->base_revision;
	}
	retry_later(spread);
}

void
spread_writer_result(struct spread *spread, const struct store_result *result)
{
	struct spread_writer *writer = &spread->writer;

	writer->token = 0;
	switch (writer->step) {
	case WRITER_READ:
		head_read(spread, result);
		break;
	case WRITER_SECTION:
		section_written(spread, result);
		break;
	case WRITER_SWAP:
		head_swapped(spread, result);
		break;
	case WRITER_IDLE:
	case WRITER_LOAD:
		break;
	}
}

void
spread_writer_tick(struct spread *spread)
{
	struct spread_writer *writer = &spread->writer;

	if (writer->step == WRITER_LOAD) {
		if (writer->op == NULL)
			finish(spread);
		else if (spread_version(spread) >= base_version(writer))
			plan(spread);
		else if (holds_due(spread))
			finish(spread);
	}
	if (writer->step == WRITER_IDLE && spread->now_ms >= writer->next_ms)
		begin(spread);
}
