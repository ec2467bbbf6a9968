/*
 * A small site of this review: the store, workers, and the project's instances
 * as processes, each on a loopback address of its own.
 */
#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "store.h"
#include "worker.h"

enum {
	SITE_INSTANCES = 3,
	SITE_ANSWER_BYTES = 4096,
	/* What a case ends with. */
	CASE_HELD = 0,
	CASE_BROKEN = 1,
	CASE_NOT_RUN = 2
};

struct site;

/* Starts the store. NULL: not possible. */
struct site *site_start(void);

/* Ends all processes, and removes the temporary folder. */
void site_stop(struct site *site);

struct store *site_store(struct site *site);

/* Writes op/config as the operator does. */
void site_configure(struct site *site, const char *config);

/* Adds a worker of the service "s" in the zone "z". The texts aren't copied. */
struct worker *site_add_worker(struct site *site, const char *id,
    const char *kind, const char *rack, int accelerators);

/* Adds a worker of another service. */
struct worker *site_add_worker_of(struct site *site, const char *id,
    const char *service, const char *kind, const char *rack, int accelerators);

/* Starts the instances. Returns whether all become ready and one leads. */
bool site_start_instances(struct site *site);

/* Sends a consumer's request to an instance, to the host "h". Returns the
 * status; 0: no answer. */
int site_call(struct site *site, int instance, const char *method,
    const char *path, const char *key, const char *body,
    char answer[SITE_ANSWER_BYTES]);

/* Adds up what all workers have seen of a job. */
struct worker_job site_job(struct site *site, const char *job);

/* Returns how many tasks run on all workers. */
int site_running(struct site *site);

/* Returns whether the case is to have its disruption. */
bool site_has_trouble(void);

#endif
