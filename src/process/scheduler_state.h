/* State shared by the parts of the scheduler. Private to it. */
#ifndef IBIS_SCHEDULER_STATE_H
#define IBIS_SCHEDULER_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/action_list.h"
#include "process/admission.h"
#include "process/cluster.h"
#include "process/job_entry.h"
#include "process/job_queue.h"
#include "process/scheduler.h"
#include "version/document.h"

#ifdef __cplusplus
extern "C" {
#endif

struct scheduler_workspace {
	char name[JOB_NAME_BYTES];
	uint32_t max_accelerators; /* 0: no quota */
	uint32_t used;		   /* accelerators that its jobs hold */
};

struct scheduler {
	struct scheduler_config config;
	struct cluster cluster;
	struct scheduler_workspace *workspaces;
	size_t workspaces_count;
	struct document_class *classes;
	size_t classes_count;
	bool *zones_held; /* by zone: taken out by scheduler_set_zone */
	struct admission admission;
	struct job_table table;
	struct job_queue queue;
	struct job_entry **active; /* jobs that hold workers */
	size_t active_count;
	size_t active_capacity;
	struct action_list actions;
	uint64_t sequence;
	int64_t next_ms;
	/* What has changed since the last decision. */
	bool capacity_freed;
	bool queue_grew;
};

/* Class of an entry, or NULL when the document no longer has it. */
const struct document_class *scheduler_class_of(
    const struct scheduler *scheduler, const struct job_entry *entry);
bool scheduler_is_urgent(
    const struct scheduler *scheduler, const struct job_entry *entry);

/* Asks for a decision at a time, beside the times asked for already. */
void scheduler_wake_at(struct scheduler *scheduler, int64_t at_ms);

/* Tells whether starting the entry keeps its workspace's quota. */
bool scheduler_quota_allows(
    const struct scheduler *scheduler, const struct job_entry *entry);

/* Starts a queued entry on workers, one for each of its tasks. */
void scheduler_start(struct scheduler *scheduler, struct job_entry *entry,
    const uint32_t *workers, int64_t now_ms);

/* Tells an entry that holds workers to leave them. */
void scheduler_evict(struct scheduler *scheduler, struct job_entry *entry,
    const char *reason, int64_t now_ms);

/* Ends a queued entry as not run and forgets it. */
void scheduler_give_up(struct scheduler *scheduler, struct job_entry *entry,
    const char *reason, int64_t now_ms);

/* The decisions of each policy. */
void policy_first_fit_decide(struct scheduler *scheduler, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
