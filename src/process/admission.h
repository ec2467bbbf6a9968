/*
 * Admission control: limits on queued jobs and on the rate of new ones, the
 * wait recommended to refused callers, and the backoff after failed attempts.
 * One thread; times are of one monotonic clock.
 */
#ifndef IBIS_ADMISSION_H
#define IBIS_ADMISSION_H

#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "version/document.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Limits of one workspace, its queued jobs and its token bucket. */
struct admission_workspace {
	char name[JOB_NAME_BYTES];
	uint32_t max_queued_jobs; /* 0: no limit */
	double max_jobs_per_s;	  /* 0: no limit */
	uint32_t burst_jobs;	  /* bucket size; 0: derived from the rate */
	uint32_t queued;
	double tokens;		/* each admits one job */
	int64_t last_refill_ms; /* INT64_MIN before the first refill */
};

/* Limits of one request class and its queued jobs. */
struct admission_class {
	uint32_t max_queued_jobs; /* 0: no limit */
	uint32_t queued;
	double queue_share; /* part of the queue limit it may fill, in (0, 1] */
};

struct admission {
	struct admission_workspace *workspaces; /* by document index */
	size_t workspaces_count;
	struct admission_class *classes; /* by document index */
	size_t classes_count;
	uint32_t max_queued_jobs;   /* over all workspaces; 0: no limit */
	uint32_t queued;	    /* over all workspaces */
	uint64_t random_state;	    /* of the jitter; never 0 */
	double dequeues_per_s;	    /* smoothed over measuring windows */
	uint32_t dequeued;	    /* in this window */
	uint32_t refused_in_window; /* because a queue was full */
	int64_t window_start_ms;    /* INT64_MIN before the first dequeue */
	double retry_tokens;	    /* retry budget; each pays for one retry */
};

/* Starts with no workspaces and classes; free with admission_clear.
 * max_queued_jobs limits the whole queue, 0 for no limit; seed is of the
 * jitter. */
void admission_init(
    struct admission *admission, uint32_t max_queued_jobs, uint64_t seed);
void admission_clear(struct admission *admission);

/*
 * Applies a document's limits and keeps no reference to it. Known workspaces
 * keep their tokens. The counts of queued jobs are reset to zero: the caller
 * counts each queued job again with admission_enqueued.
 */
void admission_set_document(
    struct admission *admission, const struct document *document);

/*
 * Takes one of the workspace's tokens for a new job. Returns IBIS_LIMIT when
 * the queue, the class or the workspace is full or the workspace exceeds its
 * rate; then status says which and *retry_after_ms is the recommended wait.
 * workspace and request_class must be valid indices into the document.
 */
enum ibis_code admission_check(struct admission *admission, uint32_t workspace,
    uint32_t request_class, int64_t now_ms, int64_t *retry_after_ms,
    struct ibis_status *status);

/* Count a job that enters or leaves the queue. workspace and request_class are
 * indices into the document, or NO_INDEX when it does not have them. */
void admission_enqueued(
    struct admission *admission, uint32_t workspace, uint32_t request_class);
void admission_dequeued(struct admission *admission, uint32_t workspace,
    uint32_t request_class, int64_t now_ms);

/* Counts the first start of a job, which adds to the retry budget. */
void admission_started(struct admission *admission);

/* Takes a token from the retry budget and returns the backoff before a job's
 * next attempt: exponential with jitter, longer when the budget is empty. */
int64_t admission_retry_delay_ms(
    struct admission *admission, uint32_t failed_attempts);

#ifdef __cplusplus
}
#endif

#endif
