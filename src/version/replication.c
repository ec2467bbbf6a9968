/* Entry points of the replication, its queue of actions, and the version in
 * force. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "process/alloc.h"
#include "process/jsonc.h"
#include "process/log.h"
#include "process/proto_memory.h"
#include "version/replication_internal.h"

struct replication *
replication_new(const struct replication_config *config, int64_t now_ms)
{
	struct replication *replication = mem_calloc(1, sizeof(*replication));

	STRING_COPY(replication->name, config->name);
	replication->incarnation = config->incarnation;
	replication->watch_timeout_ms = config->watch_timeout_ms;
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
replication_action_free(struct replication_action *action)
{
	switch (action->kind) {
	case REPLICATION_STORE_CALL:
		buffer_free(&action->store.value);
		break;
	case REPLICATION_SEND_FRAME:
		if (action->send.frame != NULL)
			proto_free(&action->send.frame->base);
		break;
	case REPLICATION_ANSWER:
		buffer_free(&action->answer.json);
		break;
	case REPLICATION_VERSION_CHANGED:
	case REPLICATION_ZONES_CHANGED:
		break;
	}
	/* A kind that owns nothing, so that a second call is harmless. */
	*action =
	    (struct replication_action){.kind = REPLICATION_ZONES_CHANGED};
}

void
replication_free(struct replication *replication)
{
	struct replication_action action;

	if (replication == NULL)
		return;
	while (replication_next_action(replication, &action))
		replication_action_free(&action);
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

struct replication_action *
replication_add_action(
    struct replication *replication, enum replication_action_kind kind)
{
	struct replication_action *action;

	replication->actions =
	    mem_grow(replication->actions, &replication->actions_capacity,
		replication->actions_count + 1, sizeof(*replication->actions));
	action = &replication->actions[replication->actions_count++];
	*action = (struct replication_action){.kind = kind};
	return action;
}

bool
replication_next_action(
    struct replication *replication, struct replication_action *action)
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
replication_call_store(struct replication *replication, enum store_op op,
    const char *key, struct buffer *value, uint64_t expected_revision,
    int32_t wait_ms)
{
	struct replication_action *action =
	    replication_add_action(replication, REPLICATION_STORE_CALL);

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
replication_add_hold(struct replication *replication, const char *zone,
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
		(void)replication_add_action(
		    replication, REPLICATION_ZONES_CHANGED);
}

void
replication_update_confirmed(struct replication *replication, int64_t sent_ms)
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
    struct replication *replication, struct loaded_version *version)
{
	if (version->head->version <= replication_version(replication)) {
		free_version(version);
		return;
	}
	free_version(&replication->in_force);
	replication->in_force = *version;
	*version = (struct loaded_version){0};
	replication->in_force.document->version =
	    replication->in_force.head->version;
	holds_apply_head(&replication->holds, replication->in_force.head);
	(void)replication_add_action(replication, REPLICATION_VERSION_CHANGED);
	(void)replication_add_action(replication, REPLICATION_ZONES_CHANGED);
	replication_ops_check_head(replication);
}

/* Continues all work that an event may have unblocked. */
static void
advance(struct replication *replication)
{
	replication_loader_tick(replication);
	replication_writer_tick(replication);
	replication_reader_tick(replication);
	replication_ops_tick(replication);
}

void
replication_tick(struct replication *replication, int64_t now_ms)
{
	replication->now_ms = now_ms;
	advance(replication);
}

void
replication_handle_store_result(struct replication *replication,
    const struct store_result *result, int64_t now_ms)
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
replication_set_watching(struct replication *replication, bool watching)
{
	if (watching && !replication->reader.watching)
		replication->reader.next_ms = replication->now_ms;
	replication->reader.watching = watching;
}

const struct document *
replication_document(const struct replication *replication)
{
	return replication->in_force.document;
}

const struct head *
replication_head(const struct replication *replication)
{
	return replication->in_force.head;
}

uint64_t
replication_version(const struct replication *replication)
{
	return replication->in_force.head == NULL
	    ? 0
	    : replication->in_force.head->version;
}

bool
replication_zone_open(const struct replication *replication, const char *zone)
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
replication_confirmed_ms(const struct replication *replication)
{
	return replication->confirmed_ms;
}

const struct holds *
replication_holds(const struct replication *replication)
{
	return &replication->holds;
}
