/*
 * Decides which jobs start where, which are evicted and which are given up.
 * Pure: events and the present time go in, actions come out; there is no
 * clock, thread or I/O inside. All times are of one monotonic clock.
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
	int32_t reclaim_bound_ms;    /* urgent guaranteed work starts within */
	int32_t zone_return_ramp_ms; /* to full use of a returned zone */
	uint32_t max_queued_jobs;
	uint32_t max_attempts; /* of one job before it is given up */
	uint64_t seed;	       /* for jitter */
};

enum worker_condition {
	WORKER_SERVING,
	WORKER_LEAVING, /* no new work; what runs there may finish */
	WORKER_LOST	/* silent */
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
	int64_t run_time_ms; /* declared; corrected inside */
	int64_t accepted_ms;
	int64_t deadline_ms; /* absolute; 0 when there is none */
};

enum scheduler_action_kind {
	ACTION_START,	/* start an attempt on the named workers */
	ACTION_EVICT,	/* checkpoint or stop a started job */
	ACTION_GIVE_UP, /* a queued job ends as not run, for reason */
	ACTION_THROTTLE /* a running job has overrun; slow it down */
};

enum eviction_manner {
	EVICT_CHECKPOINT,
	EVICT_STOP
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
			const char *reason; /* reclaim, zone_out, compaction */
		} evict;
		struct {
			const char *reason; /* deadline, max_wait, attempts */
		} give_up;
	};
};

/* How a job left its workers, or the queue. */
enum scheduler_end {
	END_FINISHED,
	END_FAILED,	    /* the work itself failed */
	END_ATTEMPT_FAILED, /* it did not start; queued again */
	END_EVICTED,	    /* evicted; queued again */
	END_LOST,	    /* a worker died; queued again */
	END_CLOSED	    /* final for any other reason; not queued again */
};

struct scheduler_usage {
	uint64_t accelerators;	    /* in service */
	uint64_t free_accelerators; /* in service and free */
	/* of the free ones, those that the largest guaranteed shape, and a
	 * whole rack, can't use */
	uint64_t unusable_for_guarantee;
	uint64_t unusable_for_rack;
	uint64_t queued_jobs;
	uint64_t running_jobs;
	uint64_t quarantined_workers;
};

struct scheduler *scheduler_new(const struct scheduler_config *config);
void scheduler_free(struct scheduler *scheduler);

/* Takes in a new version; the scheduler keeps no reference to it. Workers keep
 * their condition; new ones start out as lost until they report. */
void scheduler_set_document(struct scheduler *scheduler,
    const struct document *document, int64_t now_ms);

/* Sets whether a zone takes starts; false makes its work be moved. A zone is in
 * service when both the document and the last call say so. */
void scheduler_set_zone(struct scheduler *scheduler, const char *zone,
    bool in_service, int64_t now_ms);

void scheduler_set_worker(struct scheduler *scheduler, const char *worker,
    enum worker_condition condition, int64_t now_ms);

/*
 * Admits a new job. IBIS_INVALID: it can never run, the message says why.
 * IBIS_LIMIT: it is shed; *retry_after_ms says when to come back.
 */
enum ibis_code scheduler_submit(struct scheduler *scheduler,
    const struct scheduler_job *job, int64_t now_ms, int64_t *retry_after_ms,
    struct ibis_status *status);

/*
 * Puts back a job that was accepted earlier, at takeover; it passes no limits.
 * workers names each task's worker when it holds capacity, else NULL. A worker
 * that the document no longer has is passed over.
 */
void scheduler_restore(struct scheduler *scheduler,
    const struct scheduler_job *job, const char *const *workers,
    int64_t now_ms);

/* All members of a started job have confirmed. */
void scheduler_running(
    struct scheduler *scheduler, struct job_id id, int64_t now_ms);

/*
 * A job has left its workers or the queue. culprit names the worker to blame
 * when END_ATTEMPT_FAILED or END_LOST, else NULL. run_ms is how long it ran.
 */
void scheduler_end(struct scheduler *scheduler, struct job_id id,
    enum scheduler_end end, const char *culprit, int64_t run_ms,
    int64_t now_ms);

/* How much an accelerator-second sample of a running job shows; lags. */
void scheduler_usage_report(struct scheduler *scheduler, struct job_id id,
    double used_share, int64_t now_ms);

/*
 * Decides. Returns the number of actions, held in *actions, which the
 * scheduler owns until its next call. A started job holds its capacity at
 * once; an evicted one until scheduler_end. Jobs given up are forgotten.
 */
size_t scheduler_decide(struct scheduler *scheduler, int64_t now_ms,
    const struct scheduler_action **actions);

/* When scheduler_decide next has something to do without a new event;
 * INT64_MAX when never. */
int64_t scheduler_next_ms(const struct scheduler *scheduler);

void scheduler_usage(
    const struct scheduler *scheduler, struct scheduler_usage *usage);

#ifdef __cplusplus
}
#endif

#endif
