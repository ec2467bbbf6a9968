/*
 * List of the actions of one scheduling decision, with the worker names that
 * its start actions point to. A list that is all zero is empty.
 */
#ifndef IBIS_ACTION_LIST_H
#define IBIS_ACTION_LIST_H

#include <stddef.h>
#include <stdint.h>

#include "process/cluster.h"
#include "process/job_entry.h"
#include "process/scheduler.h"

#ifdef __cplusplus
extern "C" {
#endif

struct action_list {
	struct scheduler_action *actions;
	size_t count;
	size_t capacity;
	const char **names; /* of all start actions, concatenated; the names
			     * themselves belong to the cluster */
	size_t names_count;
	size_t names_capacity;
};

/* Empties the list but keeps its memory for reuse. */
void action_list_reset(struct action_list *list);

/* Frees the list's memory and empties it. */
void action_list_free(struct action_list *list);

/* Adds a start of the entry's job on the workers of its tasks. The names are
 * the cluster's and must outlive the list. */
void action_list_start(struct action_list *list, const struct cluster *cluster,
    const struct job_entry *entry);

/* Each adds one action for the entry's job. reason is not copied. */
void action_list_evict(struct action_list *list, const struct job_entry *entry,
    enum eviction_manner manner, const char *reason);
void action_list_give_up(struct action_list *list,
    const struct job_entry *entry, const char *reason);
void action_list_throttle(
    struct action_list *list, const struct job_entry *entry);

/* Sets the workers of the start actions. Call it once, after the last action
 * was added and before the list is read. */
void action_list_finish(struct action_list *list);

#ifdef __cplusplus
}
#endif

#endif
