/*
 * A stand-in for a worker, as PROTOCOL.md tells it: runs under a lease, their
 * ends, fencing tokens and incarnations. It starts whatever it is instructed to
 * start, and does no gangs.
 *
 * The text of a job says what its tasks do: "work MS" ends done after that
 * time, "fail MS" ends failed, "serve" never ends.
 */
#ifndef REVIEW_WORKER_H
#define REVIEW_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "store.h"

enum {
	WORKER_TEXT_BYTES = 64
};

struct worker_config {
	const char *id; /* of its first life */
	const char *ip;
	const char *zone;
	const char *service;
	const char *kind; /* its labels */
	const char *rack;
	int accelerators;
};

struct worker;

/* Starts a worker and registers it in the store. */
struct worker *worker_start(
    const struct worker_config *config, struct store *store);
void worker_stop(struct worker *worker);

/* It dies at once; all that it runs is lost. */
void worker_crash(struct worker *worker);

/* It starts again at its address, under the id that it had or under a new one.
 */
void worker_return(struct worker *worker, bool new_id);

/* It answers 503 to starts and does nothing. */
void worker_set_unhealthy(struct worker *worker, bool unhealthy);

/* Does what has become due: ends of runs, and pings. Call it often. */
void worker_advance(struct worker *worker);

/* What the worker knows of a job's tasks. */
struct worker_job {
	int running;
	int started; /* in all its lives */
	int done;
	int failed;
	int64_t last_running_ms; /* when one ran last; 0: never */
};

/* A run that a worker has had. */
struct worker_run {
	char task[WORKER_TEXT_BYTES];
	int64_t begun_ms;
	bool done;  /* it has ended so */
	bool noted; /* and AckSeq has reached that end */
};

/* Copies the runs of all the worker's lives, at most a number of them, and
 * returns how many. */
size_t worker_list_runs(
    struct worker *worker, struct worker_run *runs, size_t most);

/* Returns when the worker last answered with ends that AckSeq had not reached;
 * 0: never. */
int64_t worker_listed_ends_ms(struct worker *worker);

/* Adds up what the worker has seen of a job. */
void worker_add_job(
    struct worker *worker, const char *job, struct worker_job *sum);

/* Returns how many tasks run. */
int worker_running(struct worker *worker);

/* Returns when the last run that still runs was started; 0: nothing runs. */
int64_t worker_last_start_ms(struct worker *worker);

const char *worker_id(const struct worker *worker);

#endif
