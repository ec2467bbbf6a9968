#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "process/alloc.h"
#include "process/jsonc.h"
#include "process/log.h"
#include "process/proto_memory.h"
#include "version/spread_parts.h"

struct spread *
spread_new(const struct spread_config *config, int64_t now_ms)
{
	struct spread *spread = mem_calloc(1, sizeof(*spread));

	STRING_COPY(spread->name, config->name);
	spread->incarnation = config->incarnation;
	spread->watch_ms = config->watch_ms;
	spread->now_ms = now_ms;
	spread->confirmed_ms = INT64_MIN;
	spread->reader.next_ms = now_ms;
	spread->reader.retry_ms = SPREAD_RETRY_MS;
	spread->writer.next_ms = now_ms;
	spread->writer.retry_ms = SPREAD_RETRY_MS;
	spread->next_fetch_ms = now_ms;
	return spread;
}

static void
free_version(struct spread_version *version)
{
	head_free(version->head);
	document_free(version->document);
	document_sources_free(version->sections, version->sections_count);
	*version = (struct spread_version){0};
}

void
spread_action_free(struct spread_action *action)
{
	switch (action->kind) {
	case SPREAD_STORE:
		buffer_free(&action->store.value);
		break;
	case SPREAD_SEND:
		if (action->send.frame != NULL)
			proto_free(&action->send.frame->base);
		break;
	case SPREAD_ANSWER:
		buffer_free(&action->answer.json);
		break;
	case SPREAD_VERSION:
	case SPREAD_ZONES:
		break;
	}
	*action = (struct spread_action){.kind = SPREAD_ZONES};
}

void
spread_free(struct spread *spread)
{
	struct spread_action action;

	if (spread == NULL)
		return;
	while (spread_next(spread, &action))
		spread_action_free(&action);
	mem_free(spread->actions);
	for (size_t i = 0; i < spread->ops_count; i++)
		spread_op_free(spread->ops[i]);
	mem_free(spread->ops);
	mem_free(spread->peers);
	holds_free(&spread->holds);
	spread_loader_clear(&spread->loader);
	spread_writer_clear(spread);
	free_version(&spread->force);
	mem_free(spread);
}

struct spread_action *
spread_act(struct spread *spread, enum spread_action_kind kind)
{
	struct spread_action *action;

	spread->actions = mem_grow(spread->actions, &spread->actions_capacity,
	    spread->actions_count + 1, sizeof(*spread->actions));
	action = &spread->actions[spread->actions_count++];
	*action = (struct spread_action){.kind = kind};
	return action;
}

bool
spread_next(struct spread *spread, struct spread_action *action)
{
	if (spread->actions_taken == spread->actions_count) {
		spread->actions_taken = 0;
		spread->actions_count = 0;
		return false;
	}
	*action = spread->actions[spread->actions_taken++];
	return true;
}

uint64_t
spread_call_store(struct spread *spread, enum store_op op, const char *key,
    struct buffer *value, uint64_t expected_revision, int32_t wait_ms)
{
	struct spread_action *action = spread_act(spread, SPREAD_STORE);

	action->store = (struct store_call){
	    .op = op,
	    .expected_revision = expected_revision,
	    .wait_ms = wait_ms,
	    .token = ++spread->last_token,
	};
	STRING_COPY(action->store.key, key);
	if (value != NULL) {
		action->store.value = *value;
		*value = (struct buffer){0};
	}
	return spread->last_token;
}

void
spread_section_key(
    const char *name, uint64_t revision, char key[STORE_KEY_BYTES])
{
	(void)snprintf(key, STORE_KEY_BYTES, "document/sections/%s/%" PRIu64,
	    name, revision);
}

int32_t
spread_back_off(int32_t *retry_ms)
{
	int32_t wait_ms = *retry_ms;

	*retry_ms *= 2;
	if (*retry_ms > SPREAD_RETRY_MAX_MS)
		*retry_ms = SPREAD_RETRY_MAX_MS;
	return wait_ms;
}

void
spread_hold(struct spread *spread, const char *zone, const char *order,
    uint64_t settled_version)
{
	bool forbidden = holds_forbid(&spread->holds, zone);

	/* The names go into the head, which everyone must be able to read. */
	if (!jsonc_is_name(zone, JOB_NAME_BYTES) ||
	    !jsonc_is_name(order, HEAD_ORDER_BYTES)) {
		log_event(LOG_WARN, "hold_malformed", "zone", zone, "order",
		    order, NULL);
		return;
	}
	(void)holds_add(
	    &spread->holds, zone, order, settled_version, spread->now_ms);
	if (spread->force.head != NULL)
		holds_apply_head(&spread->holds, spread->force.head);
	if (holds_forbid(&spread->holds, zone) != forbidden)
		(void)spread_act(spread, SPREAD_ZONES);
}

void
spread_confirm(struct spread *spread, int64_t sent_ms)
{
	if (sent_ms > spread->confirmed_ms)
		spread->confirmed_ms = sent_ms;
}

const char *
spread_section_text(
    const struct spread_version *version, const char *name, uint64_t revision)
{
	for (size_t i = 0; i < version->sections_count; i++) {
		const struct document_source *section = &version->sections[i];

		if (section->revision == revision &&
		    strcmp(section->name, name) == 0)
			return section->text;
	}
	return NULL;
}

void
spread_enforce(struct spread *spread, struct spread_version *version)
{
	if (version->head->version <= spread_version(spread)) {
		free_version(version);
		return;
	}
	free_version(&spread->force);
	spread->force = *version;
	*version = (struct spread_version){0};
	spread->force.document->version = spread->force.head->version;
	holds_apply_head(&spread->holds, spread->force.head);
	(void)spread_act(spread, SPREAD_VERSION);
	(void)spread_act(spread, SPREAD_ZONES);
	spread_ops_enforced(spread);
}

/* Lets every part do what an event has made possible. */
static void
advance(struct spread *spread)
{
	spread_loader_tick(spread);
	spread_writer_tick(spread);
	spread_reader_tick(spread);
	spread_ops_tick(spread);
}

void
spread_tick(struct spread *spread, int64_t now_ms)
{
	spread->now_ms = now_ms;
	advance(spread);
}

void
spread_store(
    struct spread *spread, const struct store_result *result, int64_t now_ms)
{
	spread->now_ms = now_ms;
	if (result->token == spread->reader.token)
		spread_reader_result(spread, result);
	else if (result->token == spread->loader.token)
		spread_loader_result(spread, result);
	else if (result->token == spread->writer.token)
		spread_writer_result(spread, result);
	advance(spread);
}

void
spread_set_watching(struct spread *spread, bool watching)
{
	if (watching && !spread->reader.watching)
		spread->reader.next_ms = spread->now_ms;
	spread->reader.watching = watching;
}

const struct document *
spread_document(const struct spread *spread)
{
	return spread->force.document;
}

const struct head *
spread_head(const struct spread *spread)
{
	return spread->force.head;
}

uint64_t
spread_version(const struct spread *spread)
{
	return spread->force.head == NULL ? 0 : spread->force.head->version;
}

bool
spread_zone_open(const struct spread *spread, const char *zone)
{
	const struct document *document = spread->force.document;
	int index;

	if (document == NULL)
		return false;
	index = document_find_zone(document, zone);
	return index >= 0 && document->zones[index].in_service &&
	    !head_zone_is_out(spread->force.head, zone) &&
	    !holds_forbid(&spread->holds, zone);
}

int64_t
spread_confirmed_ms(const struct spread *spread)
{
	return spread->confirmed_ms;
}

const struct holds *
spread_holds(const struct spread *spread)
{
	return &spread->holds;
}
