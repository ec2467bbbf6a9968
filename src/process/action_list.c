#include "process/action_list.h"
#include "process/alloc.h"

void
action_list_reset(struct action_list *list)
{
	list->count = 0;
	list->names_count = 0;
}

void
action_list_free(struct action_list *list)
{
	mem_free(list->actions);
	mem_free(list->names);
	*list = (struct action_list){0};
}

static struct scheduler_action *
add_action(struct action_list *list, enum scheduler_action_kind kind,
    const struct job_entry *entry)
{
	struct scheduler_action *action;

	list->actions = mem_grow(list->actions, &list->capacity,
	    list->count + 1, sizeof(*list->actions));
	action = &list->actions[list->count++];
	*action = (struct scheduler_action){
	    .kind = kind,
	    .job = entry->job.id,
	};
	return action;
}

void
action_list_start(struct action_list *list, const struct cluster *cluster,
    const struct job_entry *entry)
{
	uint32_t tasks = entry->job.tasks;

	add_action(list, ACTION_START, entry)->start.tasks = tasks;
	list->names = mem_grow(list->names, &list->names_capacity,
	    list->names_count + tasks, sizeof(const char *));
	for (uint32_t i = 0; i < tasks; i++)
		list->names[list->names_count++] =
		    cluster->names[entry->workers[i]];
}

void
action_list_evict(struct action_list *list, const struct job_entry *entry,
    enum eviction_manner manner, const char *reason)
{
	struct scheduler_action *action = add_action(list, ACTION_EVICT, entry);

	action->evict.manner = manner;
	action->evict.reason = reason;
}

void
action_list_give_up(
    struct action_list *list, const struct job_entry *entry, const char *reason)
{
	add_action(list, ACTION_GIVE_UP, entry)->give_up.reason = reason;
}

void
action_list_throttle(struct action_list *list, const struct job_entry *entry)
{
	(void)add_action(list, ACTION_THROTTLE, entry);
}

void
action_list_finish(struct action_list *list)
{
	size_t offset = 0;

	/* The array of names may move each time it grows, so pointers into it
	 * are set only after the last addition. */
	for (size_t i = 0; i < list->count; i++) {
		struct scheduler_action *action = &list->actions[i];

		if (action->kind != ACTION_START)
			continue;
		action->start.workers = &list->names[offset];
		offset += action->start.tasks;
	}
}
