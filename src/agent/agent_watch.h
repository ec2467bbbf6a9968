/*
 * Follows one prefix of the platform's store: lists it, then watches it, and
 * lists it anew when the history has gone. Each change is told once, in the
 * order of revisions for each key.
 */
#ifndef IBIS_AGENT_WATCH_H
#define IBIS_AGENT_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/name_index.h"
#include "platform.h"

struct agent_watch;

/* An item is new or has changed, or was deleted: then it has no value. */
typedef void agent_watch_item(void *context, const struct platform_item *item);

struct agent_watch_config {
	const char *prefix;
	int32_t wait_ms;  /* of one call; also the bound of its age */
	int32_t pause_ms; /* between two calls, to take changes together */
	agent_watch_item *item;
	void *context;
};

struct agent_watch *agent_watch_new(const struct agent_watch_config *config,
    const struct platform_store *store);

/* Frees it; an answer on its way is dropped. */
void agent_watch_free(struct agent_watch *watch);

void agent_watch_set_pause(struct agent_watch *watch, int32_t pause_ms);

/* Sends the next call if it is due. Returns when to call again. */
int64_t agent_watch_step(struct agent_watch *watch, int64_t now_ms);

/* Takes in an item that has been written, before the store tells of it. */
void agent_watch_tell(
    struct agent_watch *watch, const struct platform_item *item);

/* Tells whether the prefix has been listed whole once. */
bool agent_watch_loaded(const struct agent_watch *watch);

/* Tells whether no listing is under way: what was told is as of one time. */
bool agent_watch_whole(const struct agent_watch *watch);

/* When the store last answered; 0: never. */
int64_t agent_watch_confirmed_ms(const struct agent_watch *watch);

#endif
