/* Entry points of the replication, its queue of actions, and the version in
 * force. */
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
	struct spread *replication = mem_calloc(1, sizeof(*replication));

	STRING_COPY(replication->name, config->name);
	replication->incarnation = config->incarnation;
	replication->watch_ms = config->watch_ms;
	replication->now_ms = now_ms;
	replication->confirmed_ms = INT64_MIN;
	replication->reader.next_ms = now_ms;
	replication->reader.retry_ms = REPLICATION_RETRY_MIN_MS;
	replication->writer.next_ms = now_ms;
	replication->writer.retry_ms = REPLICATION_RETRY_MIN_MS;
	replication->next_fetch_ms = now_ms;
	return replication;
}

static void
free_version(struct loaded_version *version)
{
	head_free(version->head);
	document_free(version->document);
	document_sources_free(version->sections, version->sections_count);
	*version = (struct loaded_version){0};
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
spread_free(struct spread *replication)
{
	struct spread_action action;

	if (replication == NULL)
		return;
	while (spread_next(replication, &action))
		spread_action_free(&action);
	mem_free(replication->actions);
	for (size_t i = 0; i < replication->ops_count; i++)
		replication_op_free(replication->ops[i]);
	mem_free(replication->ops);
	mem_free(replication->peers);
	holds_free(&replication->holds);
	replication_loader_clear(&replication->loader);
	replication_writer_clear(replication);
	free_version(&replication->in_force);
	mem_free(replication);
}

struct spread_action *
replication_add_action(
    struct spread *replication, enum replication_action_kind kind)
{
	struct spread_action *action;

	replication->actions =
	    mem_grow(replication->actions, &replication->actions_capacity,
		replication->actions_count + 1, sizeof(*replication->actions));
	action = &replication->actions[replication->actions_count++];
	*action = (struct spread_action){.kind = kind};
	return action;
}

bool
spread_next(struct spread *replication, struct spread_action *action)
{
	if (replication->actions_taken == replication->actions_count) {
		replication->actions_taken = 0;
		replication->actions_count = 0;
		return false;
	}
	*action = replication->actions[replication->actions_taken++];
	return true;
}

uint64_t
replication_call_store(struct spread *replication, enum store_op op,
    const char *key, struct buffer *value, uint64_t expected_revision,
    int32_t wait_ms)
{
	struct spread_action *action =
	    replication_add_action(replication, SPREAD_STORE);

	action->store = (struct store_call){
	    .op = op,
	    .expected_revision = expected_revision,
	    .wait_ms = wait_ms,
	    .token = ++replication->last_token,
	};
	STRING_COPY(action->store.key, key);
	if (value != NULL) {
		action->store.value = *value;
		*value = (struct buffer){0};
	}
	return replication->last_token;
}

void
replication_section_key(
    const char *name, uint64_t revision, char key[STORE_KEY_BYTES])
{
	(void)snprintf(key, STORE_KEY_BYTES, "document/sections/%s/%" PRIu64,
	    name, revision);
}

int32_t
replication_next_backoff_ms(int32_t *retry_ms)
{
	int32_t wait_ms = *retry_ms;

	*retry_ms *= 2;
	if (*retry_ms > REPLICATION_RETRY_MAX_MS)
		*retry_ms = REPLICATION_RETRY_MAX_MS;
	return wait_ms;
}

void
replication_add_hold(struct spread *replication, const char *zone,
    const char *order, uint64_t settled_version)
{
	bool was_forbidden = holds_forbid(&replication->holds, zone);

	/* Both are written into the head, which every instance must be able to
	 * parse. */
	if (!jsonc_is_name(zone, JOB_NAME_BYTES) ||
	    !jsonc_is_name(order, HEAD_ORDER_BYTES)) {
		log_event(LOG_WARN, "hold_malformed", "zone", zone, "order",
		    order, NULL);
		return;
	}
	(void)holds_add(&replication->holds, zone, order, settled_version,
	    replication->now_ms);
	if (replication->in_force.head != NULL)
		holds_apply_head(
		    &replication->holds, replication->in_force.head);
	if (holds_forbid(&replication->holds, zone) != was_forbidden)
		(void)replication_add_action(replication, SPREAD_ZONES);
}

void
replication_update_confirmed(struct spread *replication, int64_t sent_ms)
{
	if (sent_ms > replication->confirmed_ms)
		replication->confirmed_ms = sent_ms;
}

const char *
replication_section_text(
    const struct loaded_version *version, const char *name, uint64_t revision)
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
replication_put_in_force(
    struct spread *replication, struct loaded_version *version)
{
	if (version->head->version <= spread_version(replication)) {
		free_version(version);
		return;
	}
	free_version(&replication->in_force);
	replication->in_force = *version;
	*version = (struct loaded_version){0};
	replication->in_force.document->version =
	    replication->in_force.head->version;
	holds_apply_head(&replication->holds, replication->in_force.head);
	(void)replication_add_action(replication, SPREAD_VERSION);
	(void)replication_add_action(replication, SPREAD_ZONES);
	replication_ops_check_head(replication);
}

/* Continues all work that an event may have unblocked. */
static void
advance(struct spread *replication)
{
	replication_loader_tick(replication);
	replication_writer_tick(replication);
	replication_reader_tick(replication);
	replication_ops_tick(replication);
}

void
spread_tick(struct spread *replication, int64_t now_ms)
{
	replication->now_ms = now_ms;
	advance(replication);
}

void
spread_store(struct spread *replication, const struct store_result *result,
    int64_t now_ms)
{
	replication->now_ms = now_ms;
	if (result->token == replication->reader.token)
		replication_reader_result(replication, result);
	else if (result->token == replication->loader.token)
		replication_loader_result(replication, result);
	else if (result->token == replication->writer.token)
		replication_writer_result(replication, result);
	advance(replication);
}

void
spread_set_watching(struct spread *replication, bool watching)
{
	if (watching && !replication->reader.watching)
		replication->reader.next_ms = replication->now_ms;
	replication->reader.watching = watching;
}

const struct document *
spread_document(const struct spread *replication)
{
	return replication->in_force.document;
}

const struct head *
spread_head(const struct spread *replication)
{
	return replication->in_force.head;
}

uint64_t
spread_version(const struct spread *replication)
{
	return replication->in_force.head == NULL
	    ? 0
	    : replication->in_force.head->version;
}

bool
spread_zone_open(const struct spread *replication, const char *zone)
{
	const struct document *document = replication->in_force.document;
	int index;

	if (document == NULL)
		return false;
	index = document_find_zone(document, zone);
	return index >= 0 && document->zones[index].in_service &&
	    !head_zone_is_out(replication->in_force.head, zone) &&
	    !holds_forbid(&replication->holds, zone);
}

int64_t
spread_confirmed_ms(const struct spread *replication)
{
	return replication->confirmed_ms;
}

const struct holds *
spread_holds(const struct spread *replication)
{
	return &replication->holds;
}
