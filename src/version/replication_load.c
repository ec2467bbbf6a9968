/* Reads the head's key in the store, and loads the sections of newer heads. */
#include <string.h>

#include "process/alloc.h"
#include "process/log.h"
#include "version/replication_internal.h"

void
replication_reader_tick(struct replication *replication)
{
	struct replication_reader *reader = &replication->reader;

	if (reader->token != 0 || replication->now_ms < reader->next_ms)
		return;
	/* A watch returns early only when the key changes, so the head is read
	 * until a version has been confirmed. */
	if (reader->watching && replication->confirmed_ms != INT64_MIN)
		reader->token = replication_call_store(replication, STORE_WATCH,
		    REPLICATION_HEAD_KEY, NULL, reader->seen_revision,
		    replication->watch_timeout_ms);
	else
		reader->token = replication_call_store(
		    replication, STORE_GET, REPLICATION_HEAD_KEY, NULL, 0, 0);
}

static void
handle_head_value(
    struct replication *replication, const struct store_result *result)
{
	struct ibis_status status = {0};
	struct head *head;

	replication->reader.seen_revision = result->revision;
	if (replication->in_force.store_revision == result->revision) {
		replication_update_confirmed(replication, result->sent_ms);
		return;
	}
	head = head_parse(result->value.data, result->value.length, &status);
	if (head == NULL)
		log_event(LOG_ERROR, "head_malformed", "reason", status.message,
		    NULL);
	else
		replication_load_head(
		    replication, head, result->revision, result->sent_ms);
}

void
replication_reader_result(
    struct replication *replication, const struct store_result *result)
{
	struct replication_reader *reader = &replication->reader;

	reader->token = 0;
	if (result->code != IBIS_OK && result->code != IBIS_NOT_FOUND) {
		reader->next_ms = replication->now_ms +
		    replication_next_backoff_ms(&reader->retry_ms);
		return;
	}
	reader->retry_ms = REPLICATION_RETRY_MIN_MS;
	reader->next_ms = replication->now_ms +
	    (reader->watching ? REPLICATION_RETRY_MIN_MS
			      : REPLICATION_READ_INTERVAL_MS);
	if (result->code == IBIS_OK) {
		handle_head_value(replication, result);
		if (reader->watching && replication->confirmed_ms != INT64_MIN)
			reader->next_ms = replication->now_ms;
	} else if (replication->in_force.head != NULL) {
		log_event(LOG_ERROR, "head_gone", "version",
		    log_number((int64_t)replication_version(replication)),
		    NULL);
	}
}

void
replication_loader_clear(struct replication_loader *loader)
{
	if (loader->head == NULL)
		return;
	document_sources_free(loader->sections, loader->head->sections_count);
	head_free(loader->head);
	*loader = (struct replication_loader){0};
}

/* Returns a section's text from an edit of this instance that has already
 * stored it; NULL when there is none. */
static const char *
find_stored_edit_text(
    const struct replication *replication, const char *name, uint64_t revision)
{
	for (size_t i = 0; i < replication->ops_count; i++) {
		const struct replication_op *op = replication->ops[i];

		for (size_t j = 0; j < op->sections_count; j++) {
			const struct replication_edit_section *section =
			    &op->sections[j];

			if (section->stored &&
			    section->own_revision == revision &&
			    strcmp(section->name, name) == 0)
				return section->text;
		}
	}
	return NULL;
}

static char *
copy_known_text(
    const struct replication *replication, const struct head_section *section)
{
	const char *text = replication_section_text(
	    &replication->in_force, section->name, section->revision);

	if (text == NULL)
		text = find_stored_edit_text(
		    replication, section->name, section->revision);
	return mem_strdup(text);
}

static void
begin_load(struct replication *replication, struct head *head,
    uint64_t store_revision, int64_t sent_ms)
{
	struct replication_loader *loader = &replication->loader;

	replication_loader_clear(loader);
	*loader = (struct replication_loader){
	    .head = head,
	    .store_revision = store_revision,
	    .sent_ms = sent_ms,
	    .next_ms = replication->now_ms,
	};
	loader->sections =
	    mem_calloc(head->sections_count, sizeof(*loader->sections));
	for (size_t i = 0; i < head->sections_count; i++) {
		STRING_COPY(loader->sections[i].name, head->sections[i].name);
		loader->sections[i].revision = head->sections[i].revision;
		loader->sections[i].text =
		    copy_known_text(replication, &head->sections[i]);
	}
	replication_loader_tick(replication);
}

/* Closes the zones that a newer head takes out, without waiting for its
 * sections. */
static void
add_holds_of_head(struct replication *replication, const struct head *head)
{
	for (size_t i = 0; i < head->zones_count; i++) {
		const struct head_zone *zone = &head->zones[i];

		if (zone->out)
			replication_add_hold(replication, zone->name,
			    zone->order, head->version);
	}
}

void
replication_load_head(struct replication *replication, struct head *head,
    uint64_t store_revision, int64_t sent_ms)
{
	struct replication_loader *loader = &replication->loader;

	if (head->version < replication_version(replication)) {
		log_event(LOG_WARN, "document_older_refused", "version",
		    log_number((int64_t)head->version), "in_force",
		    log_number((int64_t)replication_version(replication)),
		    NULL);
		head_free(head);
		return;
	}
	if (head->version == replication_version(replication)) {
		replication->in_force.store_revision = store_revision;
		replication_update_confirmed(replication, sent_ms);
		head_free(head);
		return;
	}
	if (loader->head != NULL && loader->head->version >= head->version) {
		head_free(head);
		return;
	}
	add_holds_of_head(replication, head);
	begin_load(replication, head, store_revision, sent_ms);
}

static void
finish_load(struct replication *replication)
{
	struct replication_loader *loader = &replication->loader;
	struct loaded_version version = {
	    .head = loader->head,
	    .store_revision = loader->store_revision,
	    .sections = loader->sections,
	    .sections_count = loader->head->sections_count,
	};
	int64_t sent_ms = loader->sent_ms;
	struct ibis_status status = {0};

	version.document = document_parse(
	    version.sections, version.sections_count, NULL, &status);
	if (version.document == NULL) {
		log_event(LOG_ERROR, "document_malformed", "version",
		    log_number((int64_t)loader->head->version), "reason",
		    status.message, NULL);
		replication_loader_clear(loader);
		return;
	}
	*loader = (struct replication_loader){0};
	replication_put_in_force(replication, &version);
	replication_update_confirmed(replication, sent_ms);
}

void
replication_loader_tick(struct replication *replication)
{
	struct replication_loader *loader = &replication->loader;
	char key[STORE_KEY_BYTES];

	if (loader->head == NULL || loader->token != 0)
		return;
	if (loader->head->version <= replication_version(replication)) {
		replication_loader_clear(loader);
		return;
	}
	for (size_t i = 0; i < loader->head->sections_count; i++) {
		const struct document_source *section = &loader->sections[i];

		if (section->text != NULL)
			continue;
		if (replication->now_ms < loader->next_ms)
			return;
		replication_section_key(section->name, section->revision, key);
		loader->token = replication_call_store(
		    replication, STORE_GET, key, NULL, 0, 0);
		return;
	}
	finish_load(replication);
}

void
replication_loader_result(
    struct replication *replication, const struct store_result *result)
{
	struct replication_loader *loader = &replication->loader;
	char key[STORE_KEY_BYTES];

	loader->token = 0;
	if (result->code == IBIS_NOT_FOUND) {
		/* Stored sections that a head names are never removed, so
		 * another read would not find it. */
		log_event(
		    LOG_ERROR, "section_missing", "key", result->key, NULL);
		replication_loader_clear(loader);
		return;
	}
	if (result->code != IBIS_OK) {
		loader->next_ms =
		    replication->now_ms + REPLICATION_RETRY_MIN_MS;
		return;
	}
	for (size_t i = 0; i < loader->head->sections_count; i++) {
		struct document_source *section = &loader->sections[i];

		replication_section_key(section->name, section->revision, key);
		if (section->text == NULL && strcmp(key, result->key) == 0)
			section->text =
			    mem_strdup(buffer_string(&result->value));
	}
}
