/* Bounds and rates on new jobs, and when a refused caller may come back. */
#ifndef IBIS_ADMISSION_H
#define IBIS_ADMISSION_H

#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "version/document.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Limits and present load of one workspace. */
struct admission_workspace {
	char name[JOB_NAME_BYTES];
	uint32_t max_queued_jobs; /* 0: no bound */
	double max_jobs_per_s;	  /* 0: no limit */
	uint32_t burst_jobs;
	uint32_t queued;
	double tokens;
	int64_t refilled_ms;
};

struct admission_class {
	uint32_t max_queued_jobs; /* 0: no bound */
	uint32_t queued;
	double queue_share; /* of the whole queue, from which it is shed */
};

struct admission {
	struct admission_workspace *workspaces;
	size_t workspaces_count;
	struct admission_class *classes;
	size_t classes_count;
	uint32_t max_queued_jobs; /* over all; 0: no bound */
	uint32_t queued;
	uint64_t random;
	/* Rate at which queued jobs leave the queue. */
	double drain_per_s;
	uint32_t drained;
	uint32_t refused; /* since drain_from_ms */
	int64_t drain_from_ms;
	double retry_tokens;
};

void admission_init(
    struct admission *admission, uint32_t max_queued_jobs, uint64_t seed);
void admission_clear(struct admission *admission);

/* Takes in a document. The tokens of known workspaces stay; the counts of
 * queued jobs start at zero and are to be counted in again. */
void admission_set_document(
    struct admission *admission, const struct document *document);

/*
 * Takes a token for one job, or refuses with IBIS_LIMIT and sets
 * *retry_after_ms. Indices are those of the document.
 */
enum ibis_code admission_check(struct admission *admission, uint32_t workspace,
    uint32_t request_class, int64_t now_ms, int64_t *retry_after_ms,
    struct ibis_status *status);

/* Counts a job into and out of the queue. NO_INDEX stands for unknown. */
void admission_enqueued(
    struct admission *admission, uint32_t workspace, uint32_t request_class);
void admission_dequeued(struct admission *admission, uint32_t workspace,
    uint32_t request_class, int64_t now_ms);

/* A first attempt has started; it earns a part of a retry. */
void admission_started(struct admission *admission);

/* How long a job waits after its nth failed attempt; longer while retries
 * exceed their share of all starts. */
int64_t admission_retry_delay_ms(
    struct admission *admission, uint32_t failed_attempts);

#ifdef __cplusplus
}
#endif

#endif
