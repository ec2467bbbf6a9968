/*
 * Follows one prefix of the platform's store: lists its items, then watches
 * for changes, and lists them again when the store has compacted the history
 * that the watch needs. Each change is reported once, in the order of revisions
 * for each key.
 */
#ifndef IBIS_AGENT_WATCH_H
#define IBIS_AGENT_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/name_index.h"
#include "platform.h"

struct agent_watch;

/* Reports an item that is new, changed or deleted. A deleted item has no
 * value. The item is valid during the call. */
typedef void agent_watch_item(
    void *context, const struct platform_store_item *item);

struct agent_watch_config {
	const char *prefix; /* not copied; has to outlive the watch */
	/* Time that the store may wait for a change before it answers a
	 * call. While the store answers, agent_watch_answered_ms is updated
	 * at intervals of about wait_ms + pause_ms or less. */
	int32_t wait_ms;
	int32_t pause_ms; /* between two calls, to batch changes */
	/* After a change, ask at once for further ones, without a wait. Keeps
	 * agent_watch_confirmed_ms recent for one call more a change. */
	bool confirm_changes;
	agent_watch_item *item;
	void *context;
};

/* The store has to outlive the watch; config is copied. */
struct agent_watch *agent_watch_new(const struct agent_watch_config *config,
    const struct platform_store *store);

/* Frees the watch, which may be NULL. The answer to a call in flight is
 * dropped. */
void agent_watch_free(struct agent_watch *watch);

/* Sets the pause between two calls. With 0, the next call is due at once. */
void agent_watch_set_pause(struct agent_watch *watch, int32_t pause_ms);

/* Sends the next call if it is due and none is in flight. Returns when to call
 * this function again; INT64_MAX: after the answer to the call in flight. */
int64_t agent_watch_step(struct agent_watch *watch, int64_t now_ms);

/* Lists all items again and reports those that were missed. The answer to a
 * call in flight is dropped. */
void agent_watch_reload(struct agent_watch *watch);

/* Reports an item that is known to be stored before a call of the watch
 * returns it. The item is not reported again when a call does. */
void agent_watch_apply(
    struct agent_watch *watch, const struct platform_store_item *item);

/* The last read: a call that has ended, complete or not. */
struct agent_watch_read {
	size_t bytes; /* of the answer's body */
	int64_t sent_ms;
	int64_t first_byte_ms; /* 0: none arrived */
	int64_t received_ms;
};

/* Returns the last read. While the watch reports items, it is the one that
 * brought them. */
const struct agent_watch_read *agent_watch_last_read(
    const struct agent_watch *watch);

/* Returns the rest of a key after a prefix, or NULL when it has another one. */
const char *agent_watch_key_suffix(const char *key, const char *prefix);

/* Logs an item whose value can't be used. */
void agent_watch_log_unreadable(
    const struct platform_store_item *item, const char *message);

/* Returns whether the prefix has been listed completely at least once. */
bool agent_watch_loaded(const struct agent_watch *watch);

/* Returns whether the prefix has been listed, no new listing is in progress,
 * and the changes during the last one have been reported. Until then, only some
 * of the items may have been reported. */
bool agent_watch_complete(const struct agent_watch *watch);

/* Returns when the store last answered a call of this watch, as a monotonic
 * time in milliseconds; 0: never. */
int64_t agent_watch_answered_ms(const struct agent_watch *watch);

/* Returns a time up to which all changes have been reported, as a monotonic
 * time in milliseconds; 0: none. */
int64_t agent_watch_current_ms(const struct agent_watch *watch);

/* Like agent_watch_current_ms, but relies on the store to wait as long as it is
 * asked to: an answer without changes shows that there were none until the end
 * of the wait. */
int64_t agent_watch_confirmed_ms(const struct agent_watch *watch);

#endif
