/*
 * State of the stand-in for the users' platform, shared by its parts: the
 * store, the workers and the instances under test. Private to them; the lock
 * guards store and workers.
 */
#ifndef IBIS_COMMON_USERS_STATE_H
#define IBIS_COMMON_USERS_STATE_H

#include <pthread.h>

#include "common/fake_server.h"
#include "common_users_platform.h"

#define USERS_ITEMS	 512
#define USERS_EVENTS	 4096
#define USERS_LEASES	 64
#define USERS_RUNS	 64
#define USERS_ENDS	 512
#define USERS_KEY_BYTES	 128
#define USERS_TASK_BYTES 64
#define USERS_STEP_MS	 5
#define USERS_LEAD_KEY	 "ibis/lead"

struct users_item {
	bool used;
	char key[USERS_KEY_BYTES];
	char *value; /* base64 */
	uint64_t revision;
	uint64_t lease;
};

struct users_change {
	char key[USERS_KEY_BYTES];
	char *value; /* NULL: deleted */
	uint64_t revision;
	uint64_t lease;
};

struct users_lease {
	uint64_t id; /* 0: unused */
	int64_t ttl_ms;
	int64_t until_ms;
};

struct users_run {
	bool used;
	char task[USERS_TASK_BYTES];
	int64_t number;
	int64_t ends_ms;
};

struct users_end {
	int64_t number;
	char task[USERS_TASK_BYTES];
	int64_t run;
	const char *how;
};

struct users_worker {
	struct users_platform *platform;
	uint32_t index;
	struct fake_server *server;
	int64_t fence;
	int64_t lease_until_ms;
	int64_t acked;
	int64_t next_end;
	struct users_run runs[USERS_RUNS];
	struct users_end ends[USERS_ENDS];
	size_t ends_count;
};

struct users_port {
	struct users_platform *platform;
	struct fake_server *server;
	bool away;
	bool blind;
};

struct users_instance_state {
	struct process process;
	char ip[32];
	char settings_path[80];
	char log_path[80];
};

struct users_platform {
	pthread_mutex_t lock;
	struct users_item items[USERS_ITEMS];
	struct users_change changes[USERS_EVENTS];
	size_t changes_count;
	struct users_lease leases[USERS_LEASES];
	uint64_t revision;
	uint64_t next_lease;
	bool silent;
	struct users_port ports[USERS_INSTANCES];
	struct users_worker workers[USERS_WORKERS];
	struct users_instance_state instances[USERS_INSTANCES];
	int64_t run_ms;
	uint32_t starts;
	uint32_t doubled;
	uint32_t lead_gaps;
	char folder[64];
};

/* Store group: with the lock held. */
struct users_item *users_find_item(
    struct users_platform *platform, const char *key);
/* The value is base64, and copied. */
void users_put_item(struct users_platform *platform, const char *key,
    const char *value, uint64_t lease);
struct users_lease *users_find_lease(
    struct users_platform *platform, uint64_t id);
/* Removes its keys. */
void users_end_lease(
    struct users_platform *platform, struct users_lease *lease);
void users_expire_leases(struct users_platform *platform);

/* Handlers of the servers: a port of the store, a worker. */
void users_store_handler(void *context, const struct fake_request *request,
    struct fake_reply *reply);
void users_worker_handler(void *context, const struct fake_request *request,
    struct fake_reply *reply);

#endif
