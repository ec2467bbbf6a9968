/* Reads the head's key and loads the sections of newer heads. */
#include <string.h>

#include "process/alloc.h"
#include "process/log.h"
#include "version/spread_parts.h"

void
spread_reader_tick(struct spread *spread)
{
	struct spread_reader *reader = &spread->reader;

	if (reader->token != 0 || spread->now_ms < reader->next_ms)
		return;
	if (reader->watching && spread->confirmed_ms != INT64_MIN)
		reader->token =
		    spread_call_store(spread, STORE_WATCH, SPREAD_HEAD_KEY,
			NULL, reader->seen_revision, spread->watch_ms);
	else
		reader->token = spread_call_store(
		    spread, STORE_GET, SPREAD_HEAD_KEY, NULL, 0, 0);
}

static void
take_in_head(struct spread *spread, const struct store_result *result)
{
	struct ibis_status status = {0};
	struct head *head;

	spread->reader.seen_revision = result->revision;
	if (spread->force.store_revision == result->revision) {
		spread_confirm(spread, result->sent_ms);
		return;
	}
	head = head_parse(result->value.data, result->value.length, &status);
	if (head == NULL)
		log_event(LOG_ERROR, "head_malformed", "reason", status.message,
		    NULL);
	else
		spread_offer(spread, head, result->revision, result->sent_ms);
}

void
spread_reader_result(struct spread *spread, const struct store_result *result)
{
	struct spread_reader *reader = &spread->reader;

	reader->token = 0;
	if (result->code != IBIS_OK && result->code != IBIS_NOT_FOUND) {
		reader->next_ms =
		    spread->now_ms + spread_back_off(&reader->retry_ms);
		return;
	}
	reader->retry_ms = SPREAD_RETRY_MS;
	reader->next_ms = spread->now_ms +
	    (reader->watching ? SPREAD_RETRY_MS : SPREAD_READ_MS);
	if (result->code == IBIS_OK) {
		take_in_head(spread, result);
		if (reader->watching && spread->confirmed_ms != INT64_MIN)
			reader->next_ms = spread->now_ms;
	} else if (spread->force.head != NULL) {
		log_event(LOG_ERROR, "head_gone", "version",
		    log_number((int64_t)spread_version(spread)), NULL);
	}
}

void
spread_loader_clear(struct spread_loader *loader)
{
	if (loader->head == NULL)
		return;
	document_sources_free(loader->sections, loader->head->sections_count);
	head_free(loader->head);
	*loader = (struct spread_loader){0};
}

/* Finds a section's text among those that this instance is writing. */
static const char *
edited_text(const struct spread *spread, const char *name, uint64_t revision)
{
	for (size_t i = 0; i < spread->ops_count; i++) {
		const struct spread_op *op = spread->ops[i];

		for (size_t j = 0; j < op->sections_count; j++) {
			const struct spread_edit_section *section =
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
known_text(const struct spread *spread, const struct head_section *section)
{
	const char *text = spread_section_text(
	    &spread->force, section->name, section->revision);

	if (text == NULL)
		text = edited_text(spread, section->name, section->revision);
	return mem_strdup(text);
}

static void
begin_load(struct spread *spread, struct head *head, uint64_t store_revision,
    int64_t sent_ms)
{
	struct spread_loader *loader = &spread->loader;

	spread_loader_clear(loader);
	*loader = (struct spread_loader){
	    .head = head,
	    .store_revision = store_revision,
	    .sent_ms = sent_ms,
	    .next_ms = spread->now_ms,
	};
	loader->sections =
	    mem_calloc(head->sections_count, sizeof(*loader->sections));
	for (size_t i = 0; i < head->sections_count; i++) {
		STRING_COPY(loader->sections[i].name, head->sections[i].name);
		loader->sections[i].revision = head->sections[i].revision;
		loader->sections[i].text =
		    known_text(spread, &head->sections[i]);
	}
	spread_loader_tick(spread);
}

/* A zone that a newer head takes out is closed before its sections are
 * there. */
static void
hold_zones(struct spread *spread, const struct head *head)
{
	for (size_t i = 0; i < head->zones_count; i++) {
		const struct head_zone *zone = &head->zones[i];

		if (zone->out)
			spread_hold(
			    spread, zone->name, zone->order, head->version);
	}
}

void
spread_offer(struct spread *spread, struct head *head, uint64_t store_revision,
    int64_t sent_ms)
{
	struct spread_loader *loader = &spread->loader;

	if (head->version < spread_version(spread)) {
		log_event(LOG_WARN, "document_older_refused", "version",
		    log_number((int64_t)head->version), "in_force",
		    log_number((int64_t)spread_version(spread)), NULL);
		head_free(head);
		return;
	}
	if (head->version == spread_version(spread)) {
		spread->force.store_revision = store_revision;
		spread_confirm(spread, sent_ms);
		head_free(head);
		return;
	}
	if (loader->head != NULL && loader->head->version >= head->version) {
		head_free(head);
		return;
	}
	hold_zones(spread, head);
	begin_load(spread, head, store_revision, sent_ms);
}

static void
finish_load(struct spread *spread)
{
	struct spread_loader *loader = &spread->loader;
	struct spread_version version = {
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
		spread_loader_clear(loader);
		return;
	}
	*loader = (struct spread_loader){0};
	spread_enforce(spread, &version);
	spread_confirm(spread, sent_ms);
}

void
spread_loader_tick(struct spread *spread)
{
	struct spread_loader *loader = &spread->loader;
	char key[STORE_KEY_BYTES];

	if (loader->head == NULL || loader->token != 0)
		return;
	if (loader->head->version <= spread_version(spread)) {
		spread_loader_clear(loader);
		return;
	}
	for (size_t i = 0; i < loader->head->sections_count; i++) {
		const struct document_source *section = &loader->sections[i];

		if (section->text != NULL)
			continue;
		if (spread->now_ms < loader->next_ms)
			return;
		spread_section_key(section->name, section->revision, key);
		loader->token =
		    spread_call_store(spread, STORE_GET, key, NULL, 0, 0);
		return;
	}
	finish_load(spread);
}

void
spread_loader_result(struct spread *spread, const struct store_result *result)
{
	struct spread_loader *loader = &spread->loader;
	char key[STORE_KEY_BYTES];

	loader->token = 0;
	if (result->code == IBIS_NOT_FOUND) {
		/* Nobody removes a section that a head names. */
		log_event(
		    LOG_ERROR, "section_missing", "key", result->key, NULL);
		spread_loader_clear(loader);
		return;
	}
	if (result->code != IBIS_OK) {
		loader->next_ms = spread->now_ms + SPREAD_RETRY_MS;
		return;
	}
	for (size_t i = 0; i < loader->head->sections_count; i++) {
		struct document_source *section = &loader->sections[i];

		spread_section_key(section->name, section->revision, key);
		if (section->text == NULL && strcmp(key, result->key) == 0)
			section->text =
			    mem_strdup(buffer_string(&result->value));
	}
}
