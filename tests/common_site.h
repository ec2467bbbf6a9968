/* Builds a small document and scheduler for unit tests, without the document
 * parser. */
#ifndef IBIS_COMMON_SITE_H
#define IBIS_COMMON_SITE_H

#include "process/scheduler.h"
#include "version/document.h"

enum {
	SITE_ZONES = 2,
	SITE_RACKS = 4,
	SITE_RACK_WORKERS = 4,
	SITE_WORKERS = SITE_RACKS * SITE_RACK_WORKERS,
	SITE_ACCELERATORS = 8,
	SITE_LEAVE_DEADLINE_MS = 20000,
	SITE_RECLAIM_BOUND_MS = 4200
};

/*
 * Two zones "z0" and "z1" of two racks, each of four workers "w0" to "w15" of
 * eight accelerators. Workspace "large" is guaranteed one shape of one rack by
 * two whole workers in z0; "small" has no guarantee. Classes "urgent", "plan"
 * and "idle". Returns a static document that tests may modify;
 * the next call resets it.
 */
struct document *site_document(void);

/* Creates a scheduler over site_document() with all workers serving. The
 * caller frees it with scheduler_free. */
struct scheduler *site_scheduler(enum settings_policy policy);

/* Returns an idempotent, checkpointable job of 60 s without a deadline. */
struct scheduler_job site_job(uint64_t id, const char *workspace,
    const char *request_class, uint32_t tasks, uint32_t accelerators);

/* Submits a job and asserts that the scheduler admits it. */
void site_submit(struct scheduler *scheduler, const struct scheduler_job *job,
    int64_t now_ms);

/* Runs one scheduling pass and copies the first action on the job with this
 * id. False, with *action unchanged, when there is none. */
bool site_decide(struct scheduler *scheduler, uint64_t id, int64_t now_ms,
    struct scheduler_action *action);

#endif
