/* What the scheduler keeps of one job, and the table of all jobs by id. */
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
	ENTRY_STARTING, /* holds its workers; not yet confirmed */
	ENTRY_RUNNING,
	ENTRY_EVICTING /* told to leave; still holds its workers */
};

struct job_entry {
	struct scheduler_job job;
	enum job_entry_state state;
	uint32_t workspace;	/* index into the document, or NO_INDEX */
	uint32_t request_class; /* index into the document, or NO_INDEX */
	uint32_t *workers;	/* by task, NO_INDEX for one that is gone */
	bool has_run;		/* some attempt was running */
	bool started;		/* some attempt was started */
	bool throttled;
	bool counted_urgent;	  /* its accelerators count as urgent use */
	bool chosen;		  /* mark of one eviction or zone plan */
	uint32_t attempts;	  /* that failed, for whatever reason */
	uint32_t failed_attempts; /* of them, those blamed on the job */
	uint32_t evictions;
	/* Workers that the job failed on, latest first. */
	uint32_t avoided[ENTRY_AVOIDED_WORKERS];
	uint32_t avoided_count;
	int64_t queued_ms;	 /* since when it waits this time */
	int64_t not_before_ms;	 /* after a failed attempt */
	int64_t started_ms;	 /* of the present attempt */
	int64_t expected_end_ms; /* of the present attempt */
	int64_t evict_by_ms; /* a checkpoint must be done by then; 0: none */
	const char *evict_reason;
	int64_t kept_ms; /* run time that checkpoints have kept */
	double overuse;	 /* smoothed share of its accelerators that it uses */
	int64_t lane_key_ms; /* place in its queue lane */
	uint32_t lane;
	uint32_t rank; /* 0 urgent, then by precedence */
	uint32_t usage_reports;
	uint32_t reservation;	/* slot, or NO_INDEX */
	size_t active_index;	/* place among the jobs that hold workers */
	struct job_entry *next; /* in its bucket of the table */
	uint64_t sequence;	/* order of admission */
};

struct job_table {
	struct job_entry **buckets;
	size_t buckets_count;
	size_t count;
};

/* Tells whether evicting the job would lose it. */
bool job_entry_is_firm(const struct job_entry *entry);

/* Accelerators over all tasks. */
uint32_t job_entry_accelerators(const struct job_entry *entry);

/* Adds a new entry for the job. The table owns it. */
struct job_entry *job_table_add(
    struct job_table *table, const struct scheduler_job *job);
struct job_entry *job_table_find(
    const struct job_table *table, struct job_id id);
void job_table_remove(struct job_table *table, struct job_entry *entry);
void job_table_clear(struct job_table *table);

#ifdef __cplusplus
}
#endif

#endif
