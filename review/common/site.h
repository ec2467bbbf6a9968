/*
 * Stand-ins for a small deployment on the users' platform, for the cases of the
 * review: the store, workers, callers, and instances as separate processes.
 * Everything runs on loopback addresses and on the real clock.
 *
 * The store and the workers follow the platform's protocol page. A lock guards
 * both; callers and instances are used by the main thread only.
 */
#ifndef IBIS_REVIEW_SITE_H
#define IBIS_REVIEW_SITE_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "common/fake_server.h"

enum {
	SITE_INSTANCES = 3,
	SITE_MAX_WORKERS = 24,
	SITE_WORKER_CPU_MILLI = 64000,
	SITE_WORKER_MEMORY_MB = 262144,
	SITE_WORKER_ACCELERATORS = 8,
	SITE_TEXT_BYTES = 96,
	SITE_KEY_BYTES = 201,
	SITE_ID_BYTES = 17,
	SITE_MAX_RUNS = 64,
	SITE_MAX_ENDS = 4096
};

/* Bounds of the deployment, in the units of the settings. */
#define SITE_VISIBLE_MS 3000
#define SITE_FINISH_S	14

#define SITE_PREFIX "/lohu930/"

/*
 * Record of a case: what was sent, answered and run.
 */

/* Opens FILE and starts the clock of the record. */
bool record_open(const char *path);
/* Milliseconds since the record was opened. */
int64_t record_ms(void);
/* Writes a line with the time. Any thread. */
void record_line(const char *format, ...) __attribute__((format(printf, 1, 2)));

void sleep_ms(int64_t pause_ms);
/* Sleeps until this time of the record. */
void sleep_until(int64_t at_ms);

/* Returns whether the disruption is wanted: TROUBLE is not 0. */
bool trouble_wanted(void);

/*
 * Store.
 */

struct store;

struct store *store_start(const char *address);
void store_stop(struct store *store);
/* Writes an item as an operator or a worker does; value is plain text. */
void store_put(struct store *store, const char *key, const char *value);
/* Copies the name that the lead key holds; empty when there is none. */
void store_lead(struct store *store, char *name, size_t bytes);

/*
 * Workers.
 */

enum run_outcome {
	RUN_RUNNING,
	RUN_DONE,
	RUN_STOPPED,
	RUN_LAPSED,
	RUN_CRASHED /* lost with its worker */
};

struct worker_run {
	char task[SITE_TEXT_BYTES];
	int64_t number;
	int64_t started_ms; /* of the record */
	int64_t ended_ms;
	int64_t work_ms;
	int64_t end_number; /* 0: not listed */
	int64_t noted_ms;   /* when AckSeq had reached the end; 0: not yet */
	enum run_outcome outcome;
};

struct worker {
	struct store *store;
	struct fake_server *server; /* NULL: down */
	pthread_mutex_t lock;
	uint32_t index;
	char id[SITE_TEXT_BYTES];
	char address[SITE_TEXT_BYTES];
	char kind[SITE_TEXT_BYTES];
	int64_t born_wall_ms;
	int64_t born_ms; /* its clock starts then */
	bool down;
	/* The next start is not answered, and is carried out at this time of
	 * the record; 0: starts are answered. */
	int64_t late_start_ms;
	bool refuses_starts; /* unhealthy: answers 503 */
	int64_t token;
	int64_t lease_until_ms; /* on its clock */
	int64_t acked_end;	/* highest AckSeq of this incarnation */
	int64_t last_end;
	/* All runs of all incarnations; those before first are of earlier
	 * ones. */
	struct worker_run runs[SITE_MAX_ENDS];
	size_t runs_count;
	size_t first;
	/* Stops of runs that were not there. */
	struct worker_run stops[SITE_MAX_RUNS];
	size_t stops_count;
};

/* A worker at an address; kind is its first label. Writes its entry. */
void worker_start(struct worker *worker, struct store *store, uint32_t index,
    const char *address, const char *kind);
void worker_stop(struct worker *worker);
/* Crashes the worker: what runs there is lost, and nothing listens. */
void worker_crash(struct worker *worker);
/* Starts a crashed worker again under its id, and writes its entry this long
 * after that: workers write theirs about every HeartbeatMs. */
void worker_restart(struct worker *worker, int64_t entry_after_ms);
/* Counts the runs of a job on the worker, in all its incarnations. */
size_t worker_count_runs(struct worker *worker, const char *job_id);

/*
 * Instances and callers.
 */

struct instance {
	pid_t pid; /* 0: not running */
	uint32_t index;
	uint32_t own_ends; /* how often it has ended by itself */
	int64_t ended_ms;
	char name[SITE_TEXT_BYTES];
	char ip[SITE_TEXT_BYTES];
	char settings_path[SITE_TEXT_BYTES];
	char log_path[SITE_TEXT_BYTES];
};

struct site {
	struct store *store;
	struct worker workers[SITE_MAX_WORKERS];
	uint32_t workers_count;
	struct instance instances[SITE_INSTANCES];
	char network[SITE_TEXT_BYTES]; /* first three parts of the addresses */
	char folder[SITE_TEXT_BYTES];
	int32_t retention_s; /* status_s of the settings */
};

/* Starts the store, the workers (all of kind "a", the last one of last_kind)
 * and the instances, and waits until these are ready. Returns false when the
 * case can't run. */
bool site_start(struct site *site, uint32_t workers_count,
    const char *last_kind, int32_t retention_s);
/* Ends all processes that the site has started. */
void site_stop(struct site *site);
/* Notes instances that have ended by themselves, and starts each again a second
 * later, as the platform does. */
void site_watch_instances(struct site *site);

/* Sends a caller's request; returns the status, 0 without an answer. answer may
 * be NULL. The record gets a line unless quiet. */
struct call {
	uint32_t instance;
	const char *method;
	const char *path; /* after SITE_PREFIX */
	const char *body; /* NULL: none */
	char *answer;
	size_t answer_bytes;
	bool quiet;
};

int site_call(struct site *site, const struct call *call);

/* A job of one step. */
struct job {
	const char *id;
	uint32_t tasks;
	uint32_t accelerators; /* of a task */
	int64_t work_ms;
	const char *requires; /* label; NULL: none */
};

/* Submits a job; returns the status. */
int site_submit(struct site *site, uint32_t instance, const struct job *job);
/* Asks for a job's state; "none" without an answer of 200. */
void site_state(struct site *site, uint32_t instance, const char *id,
    char *state, size_t bytes);
/* Asks for the number of the queue's pending jobs; -1 without an answer. */
int64_t site_pending_jobs(struct site *site, uint32_t instance);
/* Counts the runs of a job on all workers. */
size_t site_count_runs(struct site *site, const char *id);

#endif
