/*
 * State of the fake platform: the store, the workers and the instances under
 * test. Private to the files of the fake. The lock guards the store and the
 * workers.
 */
#ifndef IBIS_COMMON_USERS_STATE_H
#define IBIS_COMMON_USERS_STATE_H

#include <pthread.h>

#include "common/fake_server.h"
#include "common_users_platform.h"

#define USERS_MAX_ITEMS	       512
#define USERS_MAX_CHANGES      4096
#define USERS_MAX_LEASES       64
#define USERS_MAX_HELD	       128
#define USERS_MAX_RUNS	       64
#define USERS_MAX_ENDS	       512
#define USERS_KEY_BYTES	       128
#define USERS_TASK_BYTES       64
#define USERS_POLL_INTERVAL_MS 5
#define USERS_LEAD_KEY	       "ibis/lead"

struct users_item {
	bool used;
	char key[USERS_KEY_BYTES];
	char *value; /* base64 */
	uint64_t revision;
	uint64_t lease;
};

/* An entry of the store's history, for watches. */
struct users_change {
	char key[USERS_KEY_BYTES];
	char *value; /* NULL: deleted */
	uint64_t revision;
	uint64_t lease;
};

struct users_lease {
	uint64_t id; /* 0: unused */
	int64_t ttl_ms;
	int64_t expires_ms;
};

struct users_run {
	bool used;
	char task[USERS_TASK_BYTES];
	int64_t number;
	int64_t ends_ms;
};

/* The end of a run, reported until its number is acknowledged. */
struct users_end {
	int64_t number; /* increases with each end on a worker */
	char task[USERS_TASK_BYTES];
	int64_t run;
	const char *outcome; /* "done", "lapsed" or "stopped" */
};

struct users_worker {
	struct users_platform *platform;
	uint32_t index;
	struct fake_server *server;
	int64_t incarnation; /* its "born" value */
	uint32_t crashes;    /* it has another id after each */
	int64_t back_ms;     /* end of the time after a crash; 0: it is up */
	bool draining;
	uint32_t accelerators;
	int64_t fencing_token; /* highest seen */
	int64_t lease_expires_ms;
	int64_t acked_end; /* ends up to this number are acknowledged */
	int64_t last_end;  /* number of the last end */
	struct users_run runs[USERS_MAX_RUNS];
	struct users_end ends[USERS_MAX_ENDS];
	size_t ends_count;
};

/* The store's address for one instance. */
struct users_listener {
	struct users_platform *platform;
	struct fake_server *server;
	bool rejecting;		/* answers 503 */
	bool events_suppressed; /* watches return no events */
	struct fake_link link;	/* carries the answers */
};

struct users_instance_state {
	int32_t config_apply_ms;
	int32_t memory_mb; /* 0: not in its settings */
	int32_t descriptors;
	struct process process;
	char ip[32];
	char settings_path[80];
	char log_path[80];
};

struct users_platform {
	pthread_mutex_t lock;
	struct users_item items[USERS_MAX_ITEMS];
	struct users_change changes[USERS_MAX_CHANGES];
	size_t changes_count;
	struct users_lease leases[USERS_MAX_LEASES];
	uint64_t revision;
	uint64_t next_lease;
	bool hanging; /* the store doesn't answer */
	bool holding_submissions;
	char *held[USERS_MAX_HELD]; /* bodies of transactions */
	size_t held_count;
	int64_t delay_ms;	     /* of the store's answers */
	uint64_t compacted_revision; /* changes up to this are forgotten */
	/* Reads of this prefix are not answered, others are; NULL: none. */
	const char *_Atomic hanging_prefix;
	struct users_listener listeners[USERS_INSTANCES];
	struct users_worker workers[USERS_WORKERS];
	struct users_instance_state instances[USERS_INSTANCES];
	int64_t run_ms;
	/* Put before the rows of workers' reports. */
	const char *odd_runs;
	const char *odd_ends;
	/* A task whose start crashes the worker; empty: none. */
	char crashing_task[USERS_TASK_BYTES];
	uint32_t worker_crashes;
	uint32_t started_runs;
	uint32_t duplicate_starts;
	uint32_t over_capacity_starts;
	bool reports_capacity; /* do workers, besides their entries */
	uint32_t lead_key_deletions;
	char folder[64];
};

/* Functions of the store. The caller holds the lock. */
struct users_item *users_find_item(
    struct users_platform *platform, const char *key);
/* Creates or overwrites an item. value is base64, and copied. */
void users_put_item(struct users_platform *platform, const char *key,
    const char *value, uint64_t lease);
struct users_lease *users_find_lease(
    struct users_platform *platform, uint64_t id);
/* Ends a lease and deletes its keys. */
void users_end_lease(
    struct users_platform *platform, struct users_lease *lease);
void users_expire_leases(struct users_platform *platform);

/* Writes a worker's entry. */
void users_put_worker(
    struct users_platform *platform, const struct users_worker *worker);

/* Begins a new incarnation of a worker, which has seen and done nothing. */
void users_reset_worker(struct users_worker *worker);

/* Formats the id that a worker has now. */
void users_worker_id(const struct users_worker *worker, char *id, size_t bytes);

/* HTTP handlers; the context is a listener of the store or a worker. */
void users_store_handler(void *context, const struct fake_request *request,
    struct fake_reply *reply);
void users_worker_handler(void *context, const struct fake_request *request,
    struct fake_reply *reply);

#endif
