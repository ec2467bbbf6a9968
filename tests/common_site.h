/* A small site for scheduler tests, built without the parser. */
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
 * and "idle". The document is static; tests may change it.
 */
struct document *site_document(void);

/* A scheduler over the site with all workers serving. */
struct scheduler *site_scheduler(enum settings_policy policy);

/* An idempotent, checkpointable one-minute job without a deadline. */
struct scheduler_job site_job(uint64_t id, const char *workspace,
    const char *request_class, uint32_t tasks, uint32_t accelerators);

/* Submits and expects it to be admitted. */
void site_submit(struct scheduler *scheduler, const struct scheduler_job *job,
    int64_t now_ms);

/* Decides, and copies the action on a job, if there is one. */
bool site_decide(struct scheduler *scheduler, uint64_t id, int64_t now_ms,
    struct scheduler_action *action);

#endif
