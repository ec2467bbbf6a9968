/* The scheduler's state of each job, and the table of all jobs by id. One
 * thread. */
#ifndef IBIS_JOB_ENTRY_H
#define IBIS_JOB_ENTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/scheduler.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	ENTRY_AVOIDED_WORKERS = 3
};

enum job_entry_state {
	ENTRY_QUEUED,
	ENTRY_STARTING, /* holds its workers; start not yet confirmed */
	ENTRY_RUNNING,
	ENTRY_EVICTING /* told to stop; still holds its workers */
};

struct job_entry {
	struct scheduler_job job;
	enum job_entry_state state;
	uint32_t workspace;	/* index into the document, or NO_INDEX */
	uint32_t request_class; /* index into the document, or NO_INDEX */
	uint32_t *workers;	/* index by task; NO_INDEX: worker is gone */
	bool has_run;		/* some attempt was running */
	bool started;		/* some attempt was started */
	bool throttled;
	bool counted_urgent;	  /* its accelerators count as urgent use */
	bool selected_victim;	  /* scratch flag of eviction_plan */
	uint32_t attempts;	  /* failed ones, whatever the cause */
	uint32_t failed_attempts; /* failed ones that the job caused */
	uint32_t evictions;
	/* Workers on which the job failed, latest first. */
	uint32_t avoided[ENTRY_AVOIDED_WORKERS];
	uint32_t avoided_count;
	int64_t queued_ms;	 /* when it was last put into the queue */
	int64_t not_before_ms;	 /* end of the backoff after a failed attempt */
	int64_t started_ms;	 /* of the current attempt */
	int64_t expected_end_ms; /* of the current attempt */
	/* When an evicted job is stopped if its checkpoint isn't done: 0 when
	 * it is not evicted, INT64_MAX when it is stopped without a checkpoint.
	 */
	int64_t evict_by_ms;
	const char *evict_reason; /* static string, or NULL */
	int64_t saved_run_ms;	  /* run time that checkpoints have saved */
	double overuse;	     /* smoothed ratio of used to allocated resources */
	int64_t lane_key_ms; /* key in its queue lane */
	uint32_t lane;	     /* index of its queue lane */
	uint32_t rank;	     /* 0: urgent, then by precedence */
	uint32_t usage_reports; /* number received */
	uint32_t reservation;	/* slot, or NO_INDEX */
	size_t active_index;	/* in the scheduler's list of active jobs */
	struct job_entry *next; /* in its bucket of the table */
	uint64_t sequence;	/* order of admission */
};

/* Hash table of jobs by id. A zeroed table is valid and empty. */
struct job_table {
	struct job_entry **buckets;
	size_t buckets_count; /* a power of two, or 0 */
	size_t count;
};

/* Tells whether evicting the job would lose it: it can neither be run again nor
 * continue from a checkpoint. */
bool job_entry_is_non_preemptible(const struct job_entry *entry);

/* Returns the number of accelerators over all tasks. */
uint32_t job_entry_accelerators(const struct job_entry *entry);

/* Adds a zeroed entry with a copy of the job and returns it. The table owns it;
 * the id must not be in the table yet. */
struct job_entry *job_table_add(
    struct job_table *table, const struct scheduler_job *job);

/* Returns the entry with this id, or NULL. */
struct job_entry *job_table_find(
    const struct job_table *table, struct job_id id);

/* Removes and frees the entry, which must be in the table. */
void job_table_remove(struct job_table *table, struct job_entry *entry);

/* Removes and frees all entries. */
void job_table_clear(struct job_table *table);

#ifdef __cplusplus
}
#endif

#endif
