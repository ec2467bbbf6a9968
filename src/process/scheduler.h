/*
 * Decides which jobs start on which workers, which are evicted and which are
 * given up. Free of side effects: the caller passes in events and the current
 * time and carries out the returned actions; there is no clock, thread or I/O
 * inside. All times are milliseconds of one monotonic clock. Not thread-safe.
 */
#ifndef IBIS_SCHEDULER_H
#define IBIS_SCHEDULER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "process/settings.h"
#include "request/job.h"
#include "version/document.h"

#ifdef __cplusplus
extern "C" {
#endif

struct scheduler;

struct scheduler_config {
	enum settings_policy policy;
	/* Urgent work within its guarantee starts at the latest after this. */
	int32_t reclaim_bound_ms;
	/* Time over which a zone that returned to service is filled again. */
	int32_t zone_return_ramp_ms;
	uint32_t max_queued_jobs; /* over all workspaces; 0: no limit */
	uint32_t max_attempts;	  /* failed ones of a job; 0: no limit */
	uint64_t seed;		  /* of the jitter of retry delays */
};

enum worker_condition {
	WORKER_SERVING,
	WORKER_LEAVING, /* gets no new work; running work may finish */
	WORKER_LOST	/* doesn't answer, or has not reported yet */
};

struct scheduler_job {
	struct job_id id;
	char workspace[JOB_NAME_BYTES];
	char request_class[JOB_NAME_BYTES];
	uint32_t tasks;
	uint32_t accelerators_per_task;
	Ibis__Adjacency adjacency;
	bool idempotent;
	bool checkpointable;
	int64_t run_time_ms; /* as declared by the caller */
	int64_t accepted_ms;
	int64_t deadline_ms; /* on the same clock; 0: none */
};

enum scheduler_action_kind {
	ACTION_START,	/* start an attempt on the named workers */
	ACTION_EVICT,	/* checkpoint or stop a started job */
	ACTION_GIVE_UP, /* end a queued job as not run */
	ACTION_THROTTLE /* slow down a job that uses more than allocated */
};

enum eviction_manner {
	EVICT_CHECKPOINT, /* write a checkpoint, then stop */
	EVICT_STOP	  /* stop at once */
};

struct scheduler_action {
	enum scheduler_action_kind kind;
	struct job_id job;
	union {
		struct {
			/* Name of each task's worker; owned by the scheduler,
			 * valid until its next call. */
			const char *const *workers;
			uint32_t tasks;
		} start;
		struct {
			enum eviction_manner manner;
			/* reclaim, urgent, deadline, compaction or
			 * zone_out; a static string */
			const char *reason;
		} evict;
		struct {
			/* deadline, max_wait or attempts; static */
			const char *reason;
		} give_up;
	};
};

/* Why a job left its workers or the queue. */
enum scheduler_end {
	END_FINISHED,
	END_FAILED,	    /* the job's own work failed */
	END_ATTEMPT_FAILED, /* the attempt did not start; queued again */
	END_EVICTED,	    /* evicted; queued again */
	END_LOST,	    /* a worker was lost; queued again */
	END_CLOSED	    /* ended otherwise, e.g. cancelled; not queued */
};

struct scheduler_usage {
	uint64_t accelerators;	    /* on usable workers */
	uint64_t free_accelerators; /* of these, those that no job holds */
	/* Free accelerators lost to fragmentation: too scattered for one more
	 * shape like the largest guaranteed one; 0 without guarantees. */
	uint64_t unusable_for_guarantee;
	/* The same for a job that needs a whole rack. */
	uint64_t unusable_for_rack;
	uint64_t queued_jobs;
	uint64_t running_jobs; /* jobs that hold workers, also starting ones */
	uint64_t quarantined_workers;
};

/* Creates a scheduler without workers, never NULL. Copies the config. Free it
 * with scheduler_free. */
struct scheduler *scheduler_new(const struct scheduler_config *config);

/* Frees the scheduler; NULL is allowed. */
void scheduler_free(struct scheduler *scheduler);

/* Applies a new version of the document and keeps no reference to it. Known
 * workers keep their condition and known zones their hold; a new worker counts
 * as lost until scheduler_set_worker says otherwise. */
void scheduler_set_document(struct scheduler *scheduler,
    const struct document *document, int64_t now_ms);

/* Puts a zone into or out of service. No job starts in a zone out of service,
 * and its running work is evicted by the zone's leave deadline. An unknown zone
 * is ignored. A zone that it takes out of service stays out under a new
 * document. */
void scheduler_set_zone(struct scheduler *scheduler, const char *zone,
    bool in_service, int64_t now_ms);

/* Sets a worker's condition; an unknown worker is ignored. A job on a lost
 * worker stays there until scheduler_end. */
void scheduler_set_worker(struct scheduler *scheduler, const char *worker,
    enum worker_condition condition, int64_t now_ms);

/*
 * Admits a new job to the queue and copies it. On an error nothing is queued
 * and status holds the message: IBIS_CONFLICT when the id is known,
 * IBIS_INVALID when the job can never run, IBIS_LIMIT when a limit on queued
 * jobs or submission rate is exceeded. Only IBIS_LIMIT sets *retry_after_ms,
 * the time after which the caller should submit again.
 */
enum ibis_code scheduler_submit(struct scheduler *scheduler,
    const struct scheduler_job *job, int64_t now_ms, int64_t *retry_after_ms,
    struct ibis_status *status);

/*
 * Adds a job that an earlier lead accepted; no limit applies. workers names the
 * worker of each task and the job counts as running there, or is NULL for a
 * queued job. Workers that are not in the document are skipped. A known job is
 * ignored. job and workers are copied.
 */
void scheduler_restore(struct scheduler *scheduler,
    const struct scheduler_job *job, const char *const *workers,
    int64_t now_ms);

/* Marks a started job as running, once all of its gang's members have
 * confirmed. Other jobs are ignored. */
void scheduler_set_running(
    struct scheduler *scheduler, struct job_id id, int64_t now_ms);

/*
 * Records that a job has left its workers or the queue; an unknown job is
 * ignored. For END_ATTEMPT_FAILED and END_LOST failed_worker names the worker
 * that failed, or is NULL when none did. run_ms is how long the attempt ran.
 */
void scheduler_end(struct scheduler *scheduler, struct job_id id,
    enum scheduler_end end, const char *failed_worker, int64_t run_ms,
    int64_t now_ms);

/* Records a usage sample of a running job; other jobs are ignored. used_share
 * is the accelerators that it uses divided by those that it holds. */
void scheduler_report_usage(struct scheduler *scheduler, struct job_id id,
    double used_share, int64_t now_ms);

/*
 * Decides what to do now. Returns the number of actions and sets *actions to
 * them; the scheduler owns them, and they are valid until the next call. A
 * started job holds its capacity from now on, an evicted one until
 * scheduler_end. A job that is given up is removed from the scheduler.
 */
size_t scheduler_decide(struct scheduler *scheduler, int64_t now_ms,
    const struct scheduler_action **actions);

/* Returns when scheduler_decide must be called next if no event comes before;
 * INT64_MAX when it need not be. */
int64_t scheduler_next_ms(const struct scheduler *scheduler);

/* Counts jobs and accelerators; walks over all racks and workers. */
void scheduler_usage(
    const struct scheduler *scheduler, struct scheduler_usage *usage);

#ifdef __cplusplus
}
#endif

#endif
