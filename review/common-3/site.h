/*
 * A small deployment for the cases of this review: a stand-in of the platform's
 * store, of its workers and of callers, and real instances of ibistrestle as
 * separate processes on loopback addresses.
 */
#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include "common/fake_server.h"
#include "process/buffer.h"

enum {
	SITE_INSTANCES = 2,
	SITE_MAX_WORKERS = 16,
	SITE_MAX_ITEMS = 4096,
	SITE_MAX_CHANGES = 65536,
	SITE_MAX_LEASES = 256,
	SITE_MAX_RUNS = 8192,
	SITE_MAX_LATE = 16,
	SITE_TASK_BYTES = 64
};

/* A key of the store. */
struct site_item {
	char *key;
	char *value; /* base64; NULL: deleted, in a change only */
	uint64_t revision;
	uint64_t created;
	uint64_t lease;
};

struct site_lease {
	uint64_t id; /* 0: unused */
	int64_t ttl_ms;
	int64_t ends_ms;
};

struct site_store {
	struct fake_server *server;
	struct site_item items[SITE_MAX_ITEMS];
	size_t items_count;
	struct site_item changes[SITE_MAX_CHANGES];
	size_t changes_count;
	struct site_lease leases[SITE_MAX_LEASES];
	uint64_t revision;
	uint64_t next_lease;
	size_t max_value_bytes;
	uint32_t too_long; /* puts refused for their length */
};

/* One run of a task on a worker, kept after its end. */
struct site_run {
	struct site_worker *worker;
	char task[SITE_TASK_BYTES];
	int64_t run;
	int64_t incarnation; /* of the worker */
	int64_t began_ms;
	int64_t work_ends_ms; /* if nothing ends it before */
	int64_t ended_ms;     /* 0: it runs */
	int64_t end_number;   /* 0: not listed as ended */
	const char *how;
	bool saved; /* it has a checkpoint */
};

/* A start that was received and not answered, and is carried out later. */
struct site_late {
	char *body; /* NULL: unused */
	int64_t due_ms;
};

struct site_worker {
	struct site *site;
	uint32_t index;
	char id[48];
	const char *kind;
	char rack[8];
	struct fake_server *server;
	int64_t born_wall_ms;
	int64_t clock_zero_ms; /* when its clock showed 0 */
	int64_t incarnation;
	int64_t fence;
	int64_t lease_until; /* on its clock */
	int64_t last_end;
	int64_t acked;
	int64_t next_beat_ms;
	int64_t sequence;
	bool down;	      /* crashed, not back yet */
	bool cut;	      /* from the system's machines */
	bool unhealthy;	      /* answers starts with 503 */
	bool failing;	      /* fails all that it starts */
	int64_t leaves_ms;    /* when it leaves; 0: it stays */
	bool next_start_late; /* the next start gets no answer */
	int64_t late_ms;      /* and is carried out after this time */
	struct site_late late[SITE_MAX_LATE];
};

struct site_instance {
	pid_t pid;
	char ip[32];
	char settings[96];
	char log[96];
};

/* What a case asks of its deployment. */
struct site_options {
	uint32_t workers;
	const char *id_prefix;	 /* of workers */
	const char *last_kind;	 /* of the last worker; the others are "a" */
	int64_t run_ms;		 /* run time of a task */
	int64_t spread_ms;	 /* some tasks run for up to this much longer */
	size_t checkpoint_bytes; /* of a task's checkpoint; 0: it has none */
};

struct site {
	pthread_mutex_t lock;
	struct site_options options;
	struct site_store store;
	struct site_worker workers[SITE_MAX_WORKERS];
	struct site_run runs[SITE_MAX_RUNS];
	size_t runs_count;
	struct site_instance instances[SITE_INSTANCES];
	char folder[64];
	FILE *record;
	int64_t began_ms;
	volatile bool stopping;
	pthread_t ticker;
	/* Starts of a task that ran elsewhere at that time, on a worker that
	 * was up. */
	uint32_t twice;
	uint32_t refused_starts;
	char *checkpoint; /* of each run that has one */
	uint32_t asked;	  /* the instance that is asked for states */
};

/* Starts the store, the workers and the instances, and waits until these are
 * ready. NULL: that has failed. */
struct site *site_start(const struct site_options *options);

/* Ends all processes and servers. */
void site_stop(struct site *site);

/* Writes a line to the record. The caller holds no lock. */
void site_note(struct site *site, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Sends a caller's request to an instance and records it. Returns the status,
 * 0 without an answer. answer may be NULL. */
int site_call(struct site *site, uint32_t instance, const char *method,
    const char *path, const char *body, struct buffer *answer);

/* Returns the instance that holds the lead's key, or -1. */
int site_lead(struct site *site);

/* Ends an instance by SIGKILL. */
void site_kill(struct site *site, uint32_t instance);

/* Returns whether the state of a job is as given. */
bool site_state_is(struct site *site, const char *id, const char *state);

/* Returns the worker on which a task runs, or NULL. */
struct site_worker *site_running_on(struct site *site, const char *task);

/* Returns how many runs of a task have begun, and of these how many have ended
 * in a way; NULL: any. */
uint32_t site_count_runs(struct site *site, const char *task, const char *how);

/* A worker stops at once; what ran there is gone. It comes back under its id,
 * with nothing of before. */
void site_crash(struct site *site, struct site_worker *worker);
void site_restart(struct site *site, struct site_worker *worker);

/* A worker says that it leaves, and leaves after this time. */
void site_drain(struct site *site, struct site_worker *worker, int64_t left_ms);

/* Functions of the store and the workers. The caller holds the lock. */
void site_put(struct site *site, const char *key, const char *text);
void site_remove(struct site *site, const char *key);
const char *site_value(struct site *site, const char *key); /* base64 */
void site_expire_leases(struct site *site);
void site_advance(struct site_worker *worker);
void site_beat(struct site_worker *worker);
void site_store_handler(void *context, const struct fake_request *request,
    struct fake_reply *reply);
void site_worker_handler(void *context, const struct fake_request *request,
    struct fake_reply *reply);

#endif
