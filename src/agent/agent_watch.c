#include <string.h>

#include "agent/agent_watch.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/log.h"

#define RETRY_MS 100
/* A watch that has failed asks shortly first, to learn that it is back. */
#define BACK_WAIT_MS 1
/* A watch may skip changes shortly before its history is dropped, so it
 * starts again from a revision that was current this long ago. */
#define SETTLE_MS 3000

struct watched_key {
	uint64_t revision;
	uint64_t listing; /* last one that showed it */
	char key[PLATFORM_KEY_BYTES];
};

/* Shared with the call on its way, which outlives the watch at a stop. */
struct watch_call {
	struct agent_watch *watch; /* NULL once the watch is freed */
};

struct agent_watch {
	struct agent_watch_config config;
	const struct platform_store *store;
	struct name_index keys;
	struct watch_call *call; /* on its way, or NULL */
	bool listing;
	bool loaded;
	char page_after[PLATFORM_KEY_BYTES];
	uint64_t listings;
	uint64_t after;	   /* revision to watch from */
	uint64_t settling; /* becomes after once it is old enough */
	int64_t settling_ms;
	int64_t next_ms;
	int64_t confirmed_ms;
	bool failing;
};

struct agent_watch *
agent_watch_new(
    const struct agent_watch_config *config, const struct platform_store *store)
{
	struct agent_watch *watch = mem_calloc(1, sizeof(*watch));

	watch->config = *config;
	watch->store = store;
	watch->listing = true;
	watch->listings = 1;
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
agent_watch_whole(const struct agent_watch *watch)
{
	return watch->loaded && !watch->listing;
}

int64_t
agent_watch_confirmed_ms(const struct agent_watch *watch)
{
	return watch->confirmed_ms;
}

static void
forget_key(struct agent_watch *watch, const char *key)
{
	mem_free(name_index_remove(&watch->keys, key));
}

static void
apply(struct agent_watch *watch, const struct platform_item *item)
{
	struct watched_key *known = name_index_get(&watch->keys, item->key);

	if (known != NULL)
		known->listing = watch->listings;
	if (known != NULL && known->revision >= item->revision)
		return;
	if (item->deleted) {
		if (known == NULL)
			return;
		forget_key(watch, item->key);
	} else if (known != NULL) {
		known->revision = item->revision;
	} else {
		known = mem_calloc(1, sizeof(*known));
		STRING_COPY(known->key, item->key);
		known->revision = item->revision;
		known->listing = watch->listings;
		(void)name_index_add(&watch->keys, known->key, known);
	}
	watch->config.item(watch->config.context, item);
}

void
agent_watch_tell(struct agent_watch *watch, const struct platform_item *item)
{
	apply(watch, item);
}

/* What a whole listing did not show has been deleted. */
static void
sweep(struct agent_watch *watch)
{
	size_t i = 0;

	while (i < watch->keys.count) {
		struct watched_key *known = watch->keys.items[i].item;
		struct platform_item gone = {
		    .key = known->key, .deleted = true};

		if (known->listing == watch->listings) {
			i++;
			continue;
		}
		(void)name_index_remove(&watch->keys, known->key);
		watch->config.item(watch->config.context, &gone);
		mem_free(known);
	}
}

static void
listed(struct agent_watch *watch, const struct platform_store_answer *answer)
{
	if (watch->page_after[0] == '\0') {
		watch->after = answer->at;
		watch->settling = answer->at;
		watch->settling_ms = answer->received_ms;
	}
	for (size_t i = 0; i < answer->items_count; i++)
		apply(watch, &answer->items[i]);
	if (answer->more && answer->items_count > 0) {
		STRING_COPY(watch->page_after,
		    answer->items[answer->items_count - 1].key);
		return;
	}
	sweep(watch);
	watch->listing = false;
	watch->loaded = true;
}

static void
watched(struct agent_watch *watch, const struct platform_store_answer *answer)
{
	for (size_t i = 0; i < answer->items_count; i++) {
		apply(watch, &answer->items[i]);
		if (answer->items[i].revision > watch->after)
			watch->after = answer->items[i].revision;
	}
	if (answer->received_ms - watch->settling_ms >= SETTLE_MS) {
		if (watch->settling > watch->after)
			watch->after = watch->settling;
		watch->settling = answer->at;
		watch->settling_ms = answer->received_ms;
	}
}

static void
list_again(struct agent_watch *watch)
{
	watch->listing = true;
	watch->listings++;
	watch->page_after[0] = '\0';
}

static void
note_state(struct agent_watch *watch, bool failing)
{
	if (watch->failing == failing)
		return;
	watch->failing = failing;
	log_event(failing ? LOG_WARN : LOG_INFO,
	    failing ? "store_watch_lost" : "store_watch_back", "prefix",
	    watch->config.prefix, "after", log_number((int64_t)watch->after),
	    NULL);
}

static void
answered(void *context, const struct platform_store_answer *answer)
{
	struct watch_call *call = context;
	struct agent_watch *watch = call->watch;

	mem_free(call);
	if (watch == NULL)
		return;
	watch->call = NULL;
	watch->next_ms = answer->received_ms;
	switch (answer->outcome) {
	case STORE_DONE:
		watch->confirmed_ms = answer->received_ms;
		note_state(watch, false);
		if (watch->listing) {
			listed(watch, answer);
		} else {
			watched(watch, answer);
			watch->next_ms += watch->config.pause_ms;
		}
		break;
	case STORE_COMPACTED:
		log_event(LOG_INFO, "store_history_gone", "prefix",
		    watch->config.prefix, NULL);
		list_again(watch);
		break;
	case STORE_CONFLICT:
	case STORE_MISSING:
	case STORE_REFUSED:
	case STORE_NOT_SENT:
	case STORE_UNKNOWN:
		note_state(watch, true);
		watch->next_ms += RETRY_MS;
		break;
	}
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
		    watch->page_after, answered, watch->call);
	else
		platform_store_watch(watch->store, watch->config.prefix,
		    watch->after,
		    watch->failing ? BACK_WAIT_MS : watch->config.wait_ms,
		    answered, watch->call);
	return INT64_MAX;
}
