/* State and functions shared by the scheduler's source files and private to
 * them. Times are milliseconds of the caller's monotonic clock. */
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

/* An exclusive reservation lapses when the evicted jobs have not left their
 * workers by then. */
#define SCHEDULER_RECLAIM_TIMEOUT_MS 6000

struct scheduler_workspace {
	char name[JOB_NAME_BYTES];
	uint32_t max_accelerators; /* quota; 0: none */
	uint32_t used;		   /* accelerators that its jobs hold */
};

struct scheduler {
	struct scheduler_config config;
	struct cluster cluster;
	struct scheduler_workspace *workspaces;
	size_t workspaces_count;
	struct document_class *classes;
	size_t classes_count;
	bool *zones_on_hold; /* by zone: out of service by scheduler_set_zone */
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
	struct job_entry **evicting; /* of these, the ones being evicted */
	size_t evicting_count;
	size_t evicting_capacity;
	struct job_id *overusing; /* jobs to throttle in the next decision */
	size_t overusing_count;
	size_t overusing_capacity;
	struct action_list actions;
	uint32_t urgent_used;	  /* accelerators that urgent jobs hold */
	double urgent_peak;	  /* recent maximum of it, decaying with time */
	int64_t urgent_peak_ms;	  /* when urgent_peak was updated */
	uint64_t sequence;	  /* of the last admitted job */
	int64_t next_decision_ms; /* when to decide without a new event */
	int64_t next_expiry_ms;	  /* when to scan the queue for expired jobs */
	int64_t next_evacuation_ms; /* earliest time of early evacuations */
	int64_t next_compaction_ms; /* earliest time of a compaction */
	bool changed;		    /* an event since the last decision */
	bool claims_outdated;	    /* guarantees must be placed anew */
	size_t unplaced_guarantees; /* guaranteed shapes without workers */
};

/* Returns the entry's class, or NULL when the document no longer has it. The
 * scheduler owns the result. */
const struct document_class *scheduler_class_of(
    const struct scheduler *scheduler, const struct job_entry *entry);

/* Tells whether the entry's class is urgent; false for an unknown class. */
bool scheduler_is_urgent(
    const struct scheduler *scheduler, const struct job_entry *entry);

/* Returns the estimated run time still to do: the declared one, corrected by
 * observed run times, less what checkpoints have saved. */
int64_t scheduler_remaining_ms(const struct scheduler *scheduler,
    const struct job_entry *entry, enum estimate_quantile quantile);

/* Returns how long an evicted job may take to checkpoint before it is stopped.
 * It is half of the reclaim bound, so that the job that waits for its workers
 * can still start within the bound. */
int64_t scheduler_checkpoint_timeout_ms(const struct scheduler *scheduler);

/* Requests a decision at at_ms at the latest; earlier requests stay. */
void scheduler_wake_at(struct scheduler *scheduler, int64_t at_ms);

/* Tells whether the entry can start within its workspace's quota. */
bool scheduler_quota_allows(
    const struct scheduler *scheduler, const struct job_entry *entry);

/* Adds an entry to the queue. */
void scheduler_enqueue(
    struct scheduler *scheduler, struct job_entry *entry, int64_t now_ms);

/* Removes an entry from the queue and drops its reservation. */
void scheduler_dequeue(
    struct scheduler *scheduler, struct job_entry *entry, int64_t now_ms);

/* Allocates the accelerators of the workers in entry->workers to the entry;
 * tasks whose worker is NO_INDEX get none. */
void scheduler_allocate(struct scheduler *scheduler, struct job_entry *entry);

/* Releases what scheduler_allocate took, and frees entry->workers. */
void scheduler_release(
    struct scheduler *scheduler, struct job_entry *entry, int64_t now_ms);

/* Starts a queued entry on workers, one for each of its tasks, and emits the
 * action. workers is copied. */
void scheduler_start(struct scheduler *scheduler, struct job_entry *entry,
    const uint32_t *workers, int64_t now_ms);

/* Evicts an entry that holds workers: with a checkpoint where it can write
 * one, else with a stop. reason must be a static string. */
void scheduler_evict(struct scheduler *scheduler, struct job_entry *entry,
    const char *reason, int64_t now_ms);

/* Ends a queued entry as not run, and frees it. reason must be static. */
void scheduler_give_up(struct scheduler *scheduler, struct job_entry *entry,
    const char *reason, int64_t now_ms);

/* Stops evicted jobs that have not checkpointed in time. */
void scheduler_stop_overdue(struct scheduler *scheduler, int64_t now_ms);

/* Gives up queued jobs that have waited too long or failed too often. */
void scheduler_expire_queued(struct scheduler *scheduler, int64_t now_ms);

/* Emits a throttle action for each job in scheduler->overusing. */
void scheduler_throttle(struct scheduler *scheduler);

/* Make one decision under the configured policy. */
void policy_first_fit_decide(struct scheduler *scheduler, int64_t now_ms);
void policy_guaranteed_decide(struct scheduler *scheduler, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
