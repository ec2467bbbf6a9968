/* The actions of one decision and the worker names that they refer to. */
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
	const char **names; /* of all start actions, one after the other */
	size_t names_count;
	size_t names_capacity;
};

void action_list_reset(struct action_list *list);
void action_list_clear(struct action_list *list);

/* Adds the start of an entry on its workers. */
void action_list_start(struct action_list *list, const struct cluster *cluster,
    const struct job_entry *entry);
void action_list_evict(struct action_list *list, const struct job_entry *entry,
    enum eviction_manner manner, const char *reason);
void action_list_give_up(struct action_list *list,
    const struct job_entry *entry, const char *reason);
void action_list_throttle(
    struct action_list *list, const struct job_entry *entry);

/* Makes the start actions refer to their names. Call it once, at the end. */
void action_list_finish(struct action_list *list);

#ifdef __cplusplus
}
#endif

#endif
