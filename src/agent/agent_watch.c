#include <string.h>

#include "agent/agent_watch.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"

#define RETRY_MS 100
/* Wait of the first call after a failure or a change, or while changes during a
 * listing are missing: an immediate answer shows that the store is back or that
 * there are no others. */
#define RECOVERY_WAIT_MS 1
/* Shortly before the store compacts the history that a watch needs, the watch
 * may skip changes. So without events, a watch advances only to a revision that
 * was current this long ago, and skipped changes are still reported. */
#define RESUME_LAG_MS 3000
/* Changes that take this much more to read than all items, in percent and in
 * bytes, are not read: a listing shows their result. */
#define CHANGES_SHARE_PERCENT 50
#define CHANGES_SLACK_BYTES   65536
#define PERCENT		      100
/* More than this is not read either: it takes several times as much memory to
 * decode. */
#define MAX_CHANGES_BYTES (4U << 20)
/* An item in an answer: its value as base64, and the rest of it. */
#define ENCODED_PER_3_BYTES 4
#define ITEM_OVERHEAD_BYTES 160

/* An item that has been reported and not deleted since. */
struct watched_key {
	uint64_t revision;
	uint64_t listing; /* number of the last one that contained it */
	size_t value_length;
	char key[];
};

/* Context of the call in flight, which may outlive the watch. */
struct watch_call {
	struct agent_watch *watch; /* NULL once the watch is freed */
};

struct agent_watch {
	struct agent_watch_config config;
	const struct platform_store *store;
	struct name_index keys;
	struct watch_call *call; /* in flight, or NULL */
	bool listing;		 /* in progress, or due */
	bool loaded;		 /* listed completely at least once */
	char *page_after;	 /* owned; last key of the last page, or NULL */
	uint64_t listing_number;
	size_t values_length; /* of all keys */
	/* The store's revision at the last page of a listing, and the one up to
	 * which all changes have been reported. Pages are read at different
	 * times, so changes between them are reported only by a watch. */
	uint64_t listed_revision;
	uint64_t reported_revision;
	uint64_t resume_revision;      /* the next watch reports later ones */
	uint64_t next_resume_revision; /* used once it is old enough */
	int64_t next_resume_seen_ms;   /* when it was current */
	int64_t next_ms;
	int64_t answered_ms;
	int64_t listing_sent_ms; /* first call of the last listing */
	int64_t current_ms;	 /* as returned by agent_watch_current_ms */
	int64_t confirmed_ms;	 /* as returned by agent_watch_confirmed_ms */
	int32_t wait_ms;	 /* of the watch in flight */
	bool changed;		 /* the last answer to a watch had changes */
	bool failing;
	struct agent_watch_read last_read;
};

struct agent_watch *
agent_watch_new(
    const struct agent_watch_config *config, const struct platform_store *store)
{
	struct agent_watch *watch = mem_calloc(1, sizeof(*watch));

	watch->config = *config;
	watch->store = store;
	watch->listing = true;
	watch->listing_number = 1;
	return watch;
}

void
agent_watch_free(struct agent_watch *watch)
{
	if (watch == NULL)
		return;
	if (watch->call != NULL)
		watch->call->watch = NULL;
	for (size_t i = 0; i < watch->keys.count; i++)
		mem_free(watch->keys.items[i].item);
	name_index_free(&watch->keys);
	mem_free(watch->page_after);
	mem_free(watch);
}

void
agent_watch_set_pause(struct agent_watch *watch, int32_t pause_ms)
{
	watch->config.pause_ms = pause_ms;
	if (pause_ms == 0)
		watch->next_ms = 0;
}

bool
agent_watch_loaded(const struct agent_watch *watch)
{
	return watch->loaded;
}

bool
agent_watch_complete(const struct agent_watch *watch)
{
	return watch->loaded && !watch->listing &&
	    watch->reported_revision >= watch->listed_revision;
}

int64_t
agent_watch_answered_ms(const struct agent_watch *watch)
{
	return watch->answered_ms;
}

int64_t
agent_watch_current_ms(const struct agent_watch *watch)
{
	return watch->current_ms;
}

const struct agent_watch_read *
agent_watch_last_read(const struct agent_watch *watch)
{
	return &watch->last_read;
}

const char *
agent_watch_key_suffix(const char *key, const char *prefix)
{
	size_t length = strlen(prefix);

	return strncmp(key, prefix, length) == 0 ? key + length : NULL;
}

void
agent_watch_log_unreadable(
    const struct platform_store_item *item, const char *message)
{
	log_event(LOG_ERROR, "record_unreadable", "key", item->key, "revision",
	    log_number((int64_t)item->revision), "message", message, NULL);
}

int64_t
agent_watch_confirmed_ms(const struct agent_watch *watch)
{
	return watch->confirmed_ms;
}

static void
forget_key(struct agent_watch *watch, struct watched_key *known)
{
	watch->values_length -= known->value_length;
	(void)name_index_remove(&watch->keys, known->key);
	mem_free(known);
}

static struct watched_key *
add_key(struct agent_watch *watch, const char *key)
{
	size_t bytes = strlen(key) + 1;
	struct watched_key *known = mem_calloc(1, sizeof(*known) + bytes);

	memcpy(known->key, key, bytes);
	known->listing = watch->listing_number;
	(void)name_index_add(&watch->keys, known->key, known);
	return known;
}

static void
apply_item(struct agent_watch *watch, const struct platform_store_item *item)
{
	struct watched_key *known = name_index_get(&watch->keys, item->key);

	if (known != NULL)
		known->listing = watch->listing_number;
	if (known != NULL && known->revision >= item->revision)
		return;
	if (item->deleted) {
		if (known == NULL)
			return;
		forget_key(watch, known);
	} else {
		if (known == NULL)
			known = add_key(watch, item->key);
		known->revision = item->revision;
		watch->values_length += item->value_length;
		watch->values_length -= known->value_length;
		known->value_length = item->value_length;
	}
	watch->config.item(watch->config.context, item);
}

void
agent_watch_apply(
    struct agent_watch *watch, const struct platform_store_item *item)
{
	apply_item(watch, item);
}

/* Reports the keys that a complete listing did not contain as deleted. */
static void
report_deleted_keys(struct agent_watch *watch)
{
	size_t i = 0;

	while (i < watch->keys.count) {
		struct watched_key *known = watch->keys.items[i].item;
		struct platform_store_item deleted_item = {
		    .key = known->key, .deleted = true};

		if (known->listing == watch->listing_number) {
			i++;
			continue;
		}
		watch->config.item(watch->config.context, &deleted_item);
		forget_key(watch, known);
	}
}

static void
note_confirmed(struct agent_watch *watch, int64_t at_ms)
{
	if (at_ms > watch->confirmed_ms)
		watch->confirmed_ms = at_ms;
}

/* Returns when the store looked for changes last before it answered. */
static int64_t
checked_ms(
    const struct agent_watch *watch, const struct platform_store_answer *answer)
{
	int64_t wait_ends_ms = answer->sent_ms + watch->wait_ms;

	return answer->items_count == 0 && answer->received_ms >= wait_ends_ms
	    ? wait_ends_ms
	    : answer->sent_ms;
}

/* Sets where the next page begins; NULL: with the first key. */
static void
set_page_after(struct agent_watch *watch, const char *key)
{
	mem_free(watch->page_after);
	watch->page_after = mem_strdup(key);
}

static void
handle_listing(
    struct agent_watch *watch, const struct platform_store_answer *answer)
{
	if (watch->page_after == NULL) {
		watch->reported_revision = answer->store_revision;
		watch->resume_revision = answer->store_revision;
		watch->next_resume_revision = answer->store_revision;
		watch->next_resume_seen_ms = answer->received_ms;
		watch->listing_sent_ms = answer->sent_ms;
	}
	watch->listed_revision = answer->store_revision;
	for (size_t i = 0; i < answer->items_count; i++)
		apply_item(watch, &answer->items[i]);
	if (answer->more && answer->items_count > 0) {
		set_page_after(
		    watch, answer->items[answer->items_count - 1].key);
		return;
	}
	report_deleted_keys(watch);
	watch->listing = false;
	watch->loaded = true;
	if (agent_watch_complete(watch))
		watch->current_ms = watch->listing_sent_ms;
	note_confirmed(watch, watch->current_ms);
}

static void
handle_events(
    struct agent_watch *watch, const struct platform_store_answer *answer)
{
	for (size_t i = 0; i < answer->items_count; i++) {
		apply_item(watch, &answer->items[i]);
		if (answer->items[i].revision > watch->resume_revision)
			watch->resume_revision = answer->items[i].revision;
	}
	watch->changed = answer->items_count > 0;
	if (answer->store_revision > watch->reported_revision)
		watch->reported_revision = answer->store_revision;
	if (agent_watch_complete(watch)) {
		watch->current_ms = answer->sent_ms;
		note_confirmed(watch, checked_ms(watch, answer));
	}
	if (answer->received_ms - watch->next_resume_seen_ms >= RESUME_LAG_MS) {
		if (watch->next_resume_revision > watch->resume_revision)
			watch->resume_revision = watch->next_resume_revision;
		watch->next_resume_revision = answer->store_revision;
		watch->next_resume_seen_ms = answer->received_ms;
	}
}

static void
restart_listing(struct agent_watch *watch)
{
	watch->listing = true;
	watch->listing_number++;
	set_page_after(watch, NULL);
}

void
agent_watch_reload(struct agent_watch *watch)
{
	if (watch->call != NULL)
		watch->call->watch = NULL; /* its answer is dropped */
	watch->call = NULL;
	watch->next_ms = 0;
	restart_listing(watch);
}

static void
set_failing(struct agent_watch *watch, bool failing)
{
	if (watch->failing == failing)
		return;
	watch->failing = failing;
	log_event(failing ? LOG_WARN : LOG_INFO,
	    failing ? "store_watch_lost" : "store_watch_back", "prefix",
	    watch->config.prefix, "after",
	    log_number((int64_t)watch->resume_revision), NULL);
}

/* An answer to a listing or a watch always has the store's revision, which is
 * above 0. Without it, the absence of an item means nothing. */
static bool
is_complete_answer(const struct platform_store_answer *answer)
{
	return answer->store_revision > 0;
}

/* Returns the longest answer to a watch that is worth reading. */
static size_t
max_changes_bytes(const struct agent_watch *watch)
{
	size_t listing_bytes = watch->values_length / 3 * ENCODED_PER_3_BYTES +
	    watch->keys.count * ITEM_OVERHEAD_BYTES;
	size_t limit_bytes = listing_bytes +
	    listing_bytes * CHANGES_SHARE_PERCENT / PERCENT +
	    CHANGES_SLACK_BYTES;

	return limit_bytes < MAX_CHANGES_BYTES ? limit_bytes
					       : MAX_CHANGES_BYTES;
}

static const char *
outcome_name(enum platform_store_outcome outcome)
{
	switch (outcome) {
	case STORE_DONE:
		return "incomplete answer";
	case STORE_CONFLICT:
	case STORE_MISSING:
	case STORE_COMPACTED:
	case STORE_REFUSED:
		return "refused";
	case STORE_TOO_LONG:
		return "too long";
	case STORE_NOT_SENT:
		return "not sent";
	case STORE_UNKNOWN:
		break;
	}
	return "no complete answer";
}

static void
log_failure(
    const struct agent_watch *watch, const struct platform_store_answer *answer)
{
	log_event(LOG_WARN, "store_read_failed", "prefix", watch->config.prefix,
	    "call", watch->listing ? "list" : "watch", "outcome",
	    outcome_name(answer->outcome), "bytes",
	    log_number((int64_t)answer->bytes), "took_ms",
	    log_number(answer->received_ms - answer->sent_ms), NULL);
}

static void
handle_failure(
    struct agent_watch *watch, const struct platform_store_answer *answer)
{
	counter_add(answer->bytes > 0 ? COUNTER_STORE_READS_CUT
				      : COUNTER_STORE_READS_UNANSWERED,
	    1);
	/* Of a series of refusals, one line is enough. */
	if (!watch->failing || answer->outcome == STORE_UNKNOWN)
		log_failure(watch, answer);
	set_failing(watch, true);
	watch->next_ms += RETRY_MS;
	/* The next answer would be as long, or longer. */
	if (!watch->listing && answer->outcome == STORE_UNKNOWN &&
	    answer->bytes > 0)
		restart_listing(watch);
}

static void
handle_answer(void *context, const struct platform_store_answer *answer)
{
	struct watch_call *call = context;
	struct agent_watch *watch = call->watch;

	mem_free(call);
	if (watch == NULL)
		return;
	watch->call = NULL;
	watch->last_read = (struct agent_watch_read){
	    .bytes = answer->bytes,
	    .sent_ms = answer->sent_ms,
	    .first_byte_ms = answer->first_byte_ms,
	    .received_ms = answer->received_ms,
	};
	watch->next_ms = answer->received_ms;
	switch (answer->outcome) {
	case STORE_DONE:
		if (!is_complete_answer(answer)) {
			handle_failure(watch, answer);
			break;
		}
		watch->answered_ms = answer->received_ms;
		set_failing(watch, false);
		if (watch->listing) {
			handle_listing(watch, answer);
		} else {
			handle_events(watch, answer);
			watch->next_ms += watch->config.pause_ms;
		}
		break;
	case STORE_COMPACTED:
		log_event(LOG_INFO, "store_history_gone", "prefix",
		    watch->config.prefix, NULL);
		restart_listing(watch);
		break;
	case STORE_TOO_LONG:
		if (watch->listing) {
			handle_failure(watch, answer);
			break;
		}
		log_event(LOG_INFO, "store_changes_skipped", "prefix",
		    watch->config.prefix, "after",
		    log_number((int64_t)watch->resume_revision), "limit_bytes",
		    log_number((int64_t)max_changes_bytes(watch)), NULL);
		restart_listing(watch);
		break;
	case STORE_CONFLICT:
	case STORE_MISSING:
	case STORE_REFUSED:
	case STORE_NOT_SENT:
	case STORE_UNKNOWN:
		handle_failure(watch, answer);
		break;
	}
}

static void
send_watch(struct agent_watch *watch)
{
	bool catching_up = watch->failing || !agent_watch_complete(watch) ||
	    (watch->changed && watch->config.confirm_changes);
	struct platform_store_changes changes = {
	    .prefix = watch->config.prefix,
	    .after = watch->resume_revision,
	    .wait_ms = catching_up ? RECOVERY_WAIT_MS : watch->config.wait_ms,
	    .max_bytes = max_changes_bytes(watch),
	};

	watch->wait_ms = changes.wait_ms;
	platform_store_watch(
	    watch->store, &changes, handle_answer, watch->call);
}

int64_t
agent_watch_step(struct agent_watch *watch, int64_t now_ms)
{
	if (watch->call != NULL)
		return INT64_MAX;
	if (now_ms < watch->next_ms)
		return watch->next_ms;
	watch->call = mem_calloc(1, sizeof(*watch->call));
	watch->call->watch = watch;
	if (watch->listing)
		platform_store_list(watch->store, watch->config.prefix,
		    watch->page_after == NULL ? "" : watch->page_after,
		    handle_answer, watch->call);
	else
		send_watch(watch);
	return INT64_MAX;
}
