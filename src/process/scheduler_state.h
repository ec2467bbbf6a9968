/* State shared by the parts of the scheduler. Private to it. */
#ifndef IBIS_SCHEDULER_STATE_H
#define IBIS_SCHEDULER_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/action_list.h"
#include "process/admission.h"
#include "process/cluster.h"
#include "process/draining.h"
#include "process/estimate.h"
#include "process/eviction.h"
#include "process/guarantee.h"
#include "process/job_entry.h"
#include "process/job_queue.h"
#include "process/placement.h"
#include "process/quarantine.h"
#include "process/reservation.h"
#include "process/scheduler.h"
#include "version/document.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Workers are kept for a job this long while others leave them. */
#define SCHEDULER_RECLAIM_WAIT_MS 6000

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
	struct estimate_table estimates;
	struct guarantee_table guarantees;
	struct quarantine quarantine;
	struct reservation_table reservations;
	struct placement placement;
	struct draining_plan draining;
	struct eviction_planner planner;
	struct eviction_budget budget;
	struct job_table table;
	struct job_queue queue;
	struct job_entry **active; /* jobs that hold workers */
	size_t active_count;
	size_t active_capacity;
	struct job_entry **evicting; /* those of them told to leave */
	size_t evicting_count;
	size_t evicting_capacity;
	struct job_id *overusing; /* to be throttled */
	size_t overusing_count;
	size_t overusing_capacity;
	struct action_list actions;
	uint32_t urgent_used; /* accelerators that urgent jobs hold */
	double urgent_peak;   /* the most of late, fading */
	int64_t urgent_peak_ms;
	uint64_t sequence;
	int64_t next_ms; /* of a decision without an event */
	int64_t next_expiry_ms;
	int64_t next_move_ms;
	int64_t next_compact_ms;
	bool changed; /* since the last decision */
	bool claims_changed;
	size_t claims_short; /* guaranteed shapes that have no place */
};

/* Class of an entry, or NULL when the document no longer has it. */
const struct document_class *scheduler_class_of(
    const struct scheduler *scheduler, const struct job_entry *entry);
bool scheduler_is_urgent(
    const struct scheduler *scheduler, const struct job_entry *entry);

/* Corrected run time that no checkpoint has kept. */
int64_t scheduler_remaining_ms(const struct scheduler *scheduler,
    const struct job_entry *entry, enum estimate_quantile quantile);

/* A checkpoint that takes longer is followed by a stop, so that the claimant
 * starts within the reclaim bound. */
int64_t scheduler_grace_ms(const struct scheduler *scheduler);

/* Asks for a decision at a time, beside the times asked for already. */
void scheduler_wake_at(struct scheduler *scheduler, int64_t at_ms);

/* Tells whether starting the entry keeps its workspace's quota. */
bool scheduler_quota_allows(
    const struct scheduler *scheduler, const struct job_entry *entry);

/* Puts an entry into the queue and takes it out. */
void scheduler_enqueue(
    struct scheduler *scheduler, struct job_entry *entry, int64_t now_ms);
void scheduler_dequeue(
    struct scheduler *scheduler, struct job_entry *entry, int64_t now_ms);

/* Counts an entry that has its workers set as holding them, and takes them
 * away from it. */
void scheduler_hold(struct scheduler *scheduler, struct job_entry *entry);
void scheduler_release(
    struct scheduler *scheduler, struct job_entry *entry, int64_t now_ms);

/* Starts a queued entry on workers, one for each of its tasks. */
void scheduler_start(struct scheduler *scheduler, struct job_entry *entry,
    const uint32_t *workers, int64_t now_ms);

/* Tells an entry that holds workers to leave them. */
void scheduler_evict(struct scheduler *scheduler, struct job_entry *entry,
    const char *reason, int64_t now_ms);

/* Ends a queued entry as not run and forgets it. */
void scheduler_give_up(struct scheduler *scheduler, struct job_entry *entry,
    const char *reason, int64_t now_ms);

/* Stops what has not checkpointed in time, gives up what has waited too long
 * or failed too often, and throttles what uses more than it holds. */
void scheduler_stop_overdue(struct scheduler *scheduler, int64_t now_ms);
void scheduler_expire(struct scheduler *scheduler, int64_t now_ms);
void scheduler_throttle(struct scheduler *scheduler);

/* The decisions of each policy. */
void policy_first_fit_decide(struct scheduler *scheduler, int64_t now_ms);
void policy_guaranteed_decide(struct scheduler *scheduler, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
