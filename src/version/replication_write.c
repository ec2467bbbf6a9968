/* Writes changes of the head to the store, one at a time. Each reads the head,
 * builds the next one from it and replaces it with a compare-and-swap. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "process/alloc.h"
#include "process/log.h"
#include "version/replication_internal.h"

/* Upper bound of what an instance adds to REPLICATION_TAKEOVER_MS. */
#define TAKEOVER_JITTER_MS 2000

void
replication_writer_clear(struct replication *replication)
{
	struct replication_writer *writer = &replication->writer;

	head_free(writer->base);
	head_free(writer->next);
	*writer = (struct replication_writer){
	    .next_ms = replication->now_ms,
	    .retry_ms = writer->retry_ms,
	};
}

/* Abandons this attempt. The next one starts with a read of the head. */
static void
retry_later(struct replication *replication)
{
	replication_writer_clear(replication);
	replication->writer.next_ms = replication->now_ms +
	    replication_next_backoff_ms(&replication->writer.retry_ms);
}

static void
finish_change(struct replication *replication)
{
	replication_writer_clear(replication);
	replication->writer.retry_ms = REPLICATION_RETRY_MIN_MS;
}

/* Returns whether this process created an order. */
static bool
is_own_order(const struct replication *replication, const char *order)
{
	char prefix[HEAD_ORDER_BYTES];

	(void)snprintf(prefix, sizeof(prefix), "%.60s.%" PRIx64 ".",
	    replication->name, replication->incarnation);
	return strncmp(order, prefix, strlen(prefix)) == 0;
}

/* Returns whether this instance should settle a hold now. The instance that
 * created it does so at once; the others wait, each for a different time
 * derived from its name, so that they don't all write at once. */
static bool
is_hold_due(const struct replication *replication, const struct hold *hold)
{
	int64_t wait_ms = REPLICATION_TAKEOVER_MS +
	    (int64_t)(XXH3_64bits(
			  replication->name, strlen(replication->name)) %
		TAKEOVER_JITTER_MS);

	if (hold->settled_version != 0)
		return false;
	return is_own_order(replication, hold->order) ||
	    replication->now_ms - hold->since_ms >= wait_ms;
}

static bool
any_hold_due(const struct replication *replication)
{
	for (size_t i = 0; i < replication->holds.count; i++) {
		if (is_hold_due(replication, &replication->holds.items[i]))
			return true;
	}
	return false;
}

/* Returns an operation that the store has not accepted. Zone-out orders are
 * left out, as they are stored by settling their holds. */
static struct replication_op *
find_pending_op(const struct replication *replication)
{
	for (size_t i = 0; i < replication->ops_count; i++) {
		struct replication_op *op = replication->ops[i];

		if (op->kind != OP_ZONE_OUT && op->accepted_version == 0)
			return op;
	}
	return NULL;
}

/* Starts with due holds, then the oldest pending operation. */
static void
start_change(struct replication *replication)
{
	struct replication_writer *writer = &replication->writer;

	writer->settling_holds = any_hold_due(replication);
	writer->op =
	    writer->settling_holds ? NULL : find_pending_op(replication);
	if (!writer->settling_holds && writer->op == NULL)
		return;
	writer->step = WRITER_READ;
	writer->token = replication_call_store(
	    replication, STORE_GET, REPLICATION_HEAD_KEY, NULL, 0, 0);
}

static uint64_t
base_version(const struct replication_writer *writer)
{
	return writer->base == NULL ? 0 : writer->base->version;
}

static void
swap_head(struct replication *replication, struct head *next)
{
	struct replication_writer *writer = &replication->writer;
	struct buffer text = {0};

	next->version = base_version(writer) + 1;
	writer->next = next;
	writer->step = WRITER_SWAP;
	head_write(next, &text);
	writer->token = replication_call_store(replication, STORE_SWAP,
	    REPLICATION_HEAD_KEY, &text, writer->base_revision, 0);
}

/* Returns a copy of the base with the orders of all unsettled holds added; NULL
 * when there are none to add. Marks holds that the base already contains as
 * settled. */
static struct head *
build_head_with_holds(struct replication *replication)
{
	const struct head *base = replication->writer.base;
	struct head *next = head_copy(base);
	bool changed = false;

	for (size_t i = 0; i < replication->holds.count; i++) {
		struct hold *hold = &replication->holds.items[i];

		if (hold->settled_version != 0)
			continue;
		if (head_contains_order(base, hold->zone, hold->order)) {
			hold->settled_version = base->version;
			continue;
		}
		head_take_zone_out(next, hold->zone, hold->order);
		changed = true;
	}
	if (changed)
		return next;
	head_free(next);
	return NULL;
}

static void
plan_holds(struct replication *replication)
{
	struct head *next = replication->writer.base == NULL
	    ? NULL
	    : build_head_with_holds(replication);

	if (next != NULL)
		swap_head(replication, next);
	else if (replication->writer.base == NULL)
		/* No head to add the orders to; an edit creates the first. */
		retry_later(replication);
	else
		finish_change(replication);
}

static void
reject(struct replication *replication, struct replication_op *op,
    struct ibis_status *status)
{
	/* An earlier swap of unknown outcome may have been accepted and then
	 * replaced by a later change. */
	if (status->code == IBIS_CONFLICT && op->unknown_outcome)
		status->code = IBIS_UNKNOWN;
	replication_answer_op(replication, op, status, NULL, 0);
	finish_change(replication);
}

static bool
clears_order(const struct replication_op *op, const char *order)
{
	for (size_t i = 0; i < op->cleared_orders_count; i++) {
		if (strcmp(op->cleared_orders[i], order) == 0)
			return true;
	}
	return false;
}

static struct head *
build_head_with_zone_in(
    const struct replication *replication, const struct replication_op *op)
{
	struct head *next = head_copy(replication->writer.base);
	const char **orders =
	    mem_calloc(op->cleared_orders_count, sizeof(*orders));

	for (size_t i = 0; i < op->cleared_orders_count; i++)
		orders[i] = op->cleared_orders[i];
	head_put_zone_in_service(
	    next, op->zone, op->order, orders, op->cleared_orders_count);
	mem_free(orders);
	return next;
}

/* Rejects an order to return a zone to service when another order took the zone
 * out after it was received: that order wins. */
static void
reject_zone_in(struct replication *replication, struct replication_op *op,
    const char *order)
{
	struct ibis_status status;

	(void)ibis_status_set(&status, IBIS_CONFLICT, REPLICATION_STEP, NULL,
	    "availability zone %s was taken out meanwhile by order %s",
	    op->zone, order);
	reject(replication, op, &status);
}

static void
plan_zone_in(struct replication *replication, struct replication_op *op)
{
	const struct head *base = replication->writer.base;
	const char *out_order;

	if (base == NULL) {
		retry_later(replication);
		return;
	}
	out_order = head_zone_out_order(base, op->zone);
	if (head_contains_order(base, op->zone, op->order)) {
		replication_record_accepted(replication, op, base->version);
		finish_change(replication);
	} else if (out_order != NULL && !clears_order(op, out_order)) {
		reject_zone_in(replication, op, out_order);
	} else {
		swap_head(
		    replication, build_head_with_zone_in(replication, op));
	}
}

static void
store_section(
    struct replication *replication, struct replication_op *op, size_t index)
{
	struct replication_edit_section *section = &op->sections[index];
	struct replication_writer *writer = &replication->writer;
	char key[STORE_KEY_BYTES];
	struct buffer text = {0};

	buffer_puts(&text, section->text);
	replication_section_key(section->name, section->own_revision, key);
	writer->step = WRITER_SECTION;
	writer->section = index;
	writer->token =
	    replication_call_store(replication, STORE_SWAP, key, &text, 0, 0);
}

static void
answer_dry_run(struct replication *replication, struct replication_op *op)
{
	struct ibis_status status = {0};
	struct buffer json = {0};

	replication_report_edit(replication, op, &json);
	replication_answer_op(replication, op, &status, &json, 0);
	finish_change(replication);
}

static void
plan_edit(struct replication *replication, struct replication_op *op)
{
	struct replication_writer *writer = &replication->writer;
	struct ibis_status status = {0};
	struct head *next = NULL;
	size_t section = 0;

	if (replication_version(replication) != base_version(writer)) {
		writer->step = WRITER_LOAD;
		return;
	}
	switch (
	    replication_plan_edit(replication, op, &section, &next, &status)) {
	case EDIT_STORE_SECTION:
		store_section(replication, op, section);
		break;
	case EDIT_SWAP_HEAD:
		/* Another change has replaced the head that the swap of unknown
		 * outcome expected, and the edit isn't in it: the swap failed.
		 */
		if (writer->base_revision != op->unknown_outcome_revision)
			op->unknown_outcome = false;
		swap_head(replication, next);
		break;
	case EDIT_ACCEPTED:
		replication_record_accepted(
		    replication, op, base_version(writer));
		finish_change(replication);
		break;
	case EDIT_DRY_RUN_DONE:
		answer_dry_run(replication, op);
		break;
	case EDIT_REJECTED:
		reject(replication, op, &status);
		break;
	}
}

static void
plan_change(struct replication *replication)
{
	struct replication_writer *writer = &replication->writer;

	if (base_version(writer) < replication_version(replication)) {
		/* The read predates the version in force, or the store has lost
		 * that version. A change based on this head would undo newer
		 * versions. */
		log_event(LOG_WARN, "document_older_refused", "version",
		    log_number((int64_t)base_version(writer)), "in_force",
		    log_number((int64_t)replication_version(replication)),
		    NULL);
		retry_later(replication);
	} else if (writer->settling_holds) {
		plan_holds(replication);
	} else if (writer->op == NULL) {
		finish_change(replication);
	} else if (writer->op->kind == OP_ZONE_IN) {
		plan_zone_in(replication, writer->op);
	} else {
		plan_edit(replication, writer->op);
	}
}

/* Makes the head in a store result the base, then plans the change. */
static void
set_base(struct replication *replication, const struct store_result *result)
{
	struct replication_writer *writer = &replication->writer;
	struct ibis_status status = {0};

	head_free(writer->base);
	writer->base =
	    head_parse(result->value.data, result->value.length, &status);
	writer->base_revision = result->revision;
	if (writer->base == NULL) {
		log_event(LOG_ERROR, "head_malformed", "reason", status.message,
		    NULL);
		retry_later(replication);
		return;
	}
	replication_load_head(replication, head_copy(writer->base),
	    result->revision, result->sent_ms);
	plan_change(replication);
}

static void
handle_head_read(
    struct replication *replication, const struct store_result *result)
{
	if (result->code == IBIS_OK)
		set_base(replication, result);
	else if (result->code == IBIS_NOT_FOUND)
		plan_change(replication);
	else
		retry_later(replication);
}

static void
handle_section_written(
    struct replication *replication, const struct store_result *result)
{
	struct replication_writer *writer = &replication->writer;
	struct replication_edit_section *section;

	if (writer->op == NULL) {
		finish_change(replication);
		return;
	}
	section = &writer->op->sections[writer->section];
	if (result->code == IBIS_OK) {
		section->stored = true;
	} else if (result->code == IBIS_CONFLICT) {
		/* The key was written by an earlier attempt whose answer was
		 * lost, or by another edit. */
		if (strcmp(buffer_string(&result->value), section->text) == 0)
			section->stored = true;
		else
			section->own_revision++;
	} else {
		retry_later(replication);
		return;
	}
	plan_change(replication);
}

static void
handle_swap_accepted(
    struct replication *replication, const struct store_result *result)
{
	struct replication_writer *writer = &replication->writer;
	uint64_t version = writer->next->version;
	struct replication_op *op = writer->op;

	replication_load_head(
	    replication, writer->next, result->revision, result->sent_ms);
	writer->next = NULL;
	if (op != NULL)
		replication_record_accepted(replication, op, version);
	if (replication_version(replication) == version)
		replication_send_copies(replication);
	finish_change(replication);
}

static void
handle_head_swap(
    struct replication *replication, const struct store_result *result)
{
	struct replication_writer *writer = &replication->writer;

	if (result->code == IBIS_OK) {
		handle_swap_accepted(replication, result);
		return;
	}
	head_free(writer->next);
	writer->next = NULL;
	if (result->code == IBIS_CONFLICT && result->value.length > 0) {
		set_base(replication, result);
		return;
	}
	if (result->code == IBIS_UNKNOWN && writer->op != NULL) {
		writer->op->unknown_outcome = true;
		writer->op->unknown_outcome_revision = writer->base_revision;
	}
	retry_later(replication);
}

void
replication_writer_result(
    struct replication *replication, const struct store_result *result)
{
	struct replication_writer *writer = &replication->writer;

	writer->token = 0;
	switch (writer->step) {
	case WRITER_READ:
		handle_head_read(replication, result);
		break;
	case WRITER_SECTION:
		handle_section_written(replication, result);
		break;
	case WRITER_SWAP:
		handle_head_swap(replication, result);
		break;
	case WRITER_IDLE:
	case WRITER_LOAD:
		break;
	}
}

void
replication_writer_tick(struct replication *replication)
{
	struct replication_writer *writer = &replication->writer;

	if (writer->step == WRITER_LOAD) {
		if (writer->op == NULL)
			finish_change(replication);
		else if (replication_version(replication) >=
		    base_version(writer))
			plan_change(replication);
		else if (any_hold_due(replication))
			/* Holds can be settled without the base's sections. */
			finish_change(replication);
	}
	if (writer->step == WRITER_IDLE &&
	    replication->now_ms >= writer->next_ms)
		start_change(replication);
}
