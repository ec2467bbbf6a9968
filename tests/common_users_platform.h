/*
 * Fake of the platform that ibistrestle is deployed on, in the test's process:
 * a key-value store with watches, leases and conditional transactions, and
 * workers that run tasks under leases. It speaks the platform's protocols,
 * starts the instances under test and counts duplicate starts.
 */
#ifndef IBIS_COMMON_USERS_PLATFORM_H
#define IBIS_COMMON_USERS_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common_process.h"
#include "process/buffer.h"

enum {
	USERS_INSTANCES = 3,
	USERS_WORKERS = 4
};

struct users_platform;

/* Starts the store and the workers with a valid configuration: host "h", prefix
 * "/q/", API key "k", service "s". NULL without a folder for the files; end
 * with users_platform_stop, which also kills the instances. */
struct users_platform *users_platform_start(void);
void users_platform_stop(struct users_platform *platform);

/* A configuration. Besides the usual routes it has one with the prefix
 * "/vVERSION/", and extra routes on another host. */
struct users_config {
	uint32_t version;
	const char *service; /* of the route "/q/" */
	uint32_t extra_routes;
};

/* Stores a configuration as operators do. */
void users_set_config(
    struct users_platform *platform, const struct users_config *config);

/* Takes a zone out of service as operators do. The workers are in zone "z". */
void users_evacuate(struct users_platform *platform, const char *zone);

/* Writes a key of the store as some other writer does. */
void users_put_entry(struct users_platform *platform, const char *key,
    const void *value, size_t length);

/* Lets all workers put rows, each followed by a comma, before the first row of
 * their lists of runs and of ends. They are not copied. */
void users_set_odd_rows(
    struct users_platform *platform, const char *runs, const char *ends);

/* Starts an instance; false with a message when it doesn't become ready. */
bool users_start_instance(struct users_platform *platform, uint32_t index);
/* Starts an instance without waiting until it is ready. */
bool users_start_no_wait(struct users_platform *platform, uint32_t index);
/* Starts an instance with its log written to a descriptor, without waiting. */
bool users_start_with_output(
    struct users_platform *platform, uint32_t index, int output);
/* Starts all instances and waits until they are ready and one leads. */
bool users_start_all(struct users_platform *platform);
struct process *users_instance(struct users_platform *platform, uint32_t index);

/* Sets whether the store answers 503 to this instance. */
void users_store_reject(
    struct users_platform *platform, uint32_t index, bool rejecting);
/* Sets whether the store accepts calls of all instances without answering. */
void users_store_hang(struct users_platform *platform, bool hanging);
/* Lets reads of this prefix get no answer, while the store answers other calls;
 * NULL: none. prefix is not copied. */
void users_store_hang_reads(
    struct users_platform *platform, const char *prefix);
/* Lets writes of jobs' records get no answer. They are carried out when they
 * are released, if their conditions hold then. */
void users_store_hold_submissions(struct users_platform *platform);
void users_store_release_submissions(struct users_platform *platform);
/* Delays all answers of the store. */
void users_store_delay(struct users_platform *platform, int64_t delay_ms);
/* Forgets the history: a watch after an earlier revision gets 410. */
void users_store_compact(struct users_platform *platform);
/* Limits the rate of the store's answers to each instance; 0: no limit. */
void users_store_limit_rate(
    struct users_platform *platform, int64_t bytes_per_s);

/* Sets whether this instance's watches return no events. */
void users_suppress_events(
    struct users_platform *platform, uint32_t index, bool events_suppressed);
/* Revokes the lease of the lead's key. */
void users_revoke_lead_lease(struct users_platform *platform);

/* Waits until all running instances are ready. */
bool users_wait_ready(struct users_platform *platform, int32_t timeout_ms);

/* Returns the index of the instance that holds the lead's key, or -1. */
int users_lead_index(struct users_platform *platform);
/* Waits until an instance other than excluded leads; -1 excludes none. */
bool users_wait_lead(
    struct users_platform *platform, int excluded, int32_t timeout_ms);

/* Rewrites an instance's settings file with another ConfigApplyMs, and sends no
 * signal. */
void users_change_settings(struct users_platform *platform, uint32_t instance,
    int32_t config_apply_ms);

/* Limits what instances that start later may use. */
void users_set_limits(
    struct users_platform *platform, int32_t memory_mb, int32_t descriptors);

/* Returns the path of an instance's log. */
const char *users_log_path(
    const struct users_platform *platform, uint32_t instance);

/* Sends a caller's request; returns the status, 0 without an answer. */
int users_call(struct users_platform *platform, uint32_t instance,
    const char *method, const char *path, const char *body,
    struct buffer *answer);

/* What a caller's requests carry. */
struct users_caller {
	const char *host;
	const char *key;
};

/* As users_call, of another caller than the usual one. */
int users_call_as(struct users_platform *platform, uint32_t instance,
    const struct users_caller *caller, const char *method, const char *path,
    const char *body, struct buffer *answer);

/* Formats the address that callers connect to. */
void users_caller_address(const struct users_platform *platform,
    uint32_t instance, char *address, size_t bytes);

/* Formats the address that the balancer probes. */
void users_ready_address(const struct users_platform *platform,
    uint32_t instance, char *address, size_t bytes);

/* Formats the address that operators and other instances call. */
void users_internal_address(const struct users_platform *platform,
    uint32_t instance, char *address, size_t bytes);

/* Sends a GET to the internal address, as an operator does. */
int users_get_internal(struct users_platform *platform, uint32_t instance,
    const char *path, struct buffer *answer);

/* Sends a POST to the internal address, as another instance does. */
int users_post_internal(struct users_platform *platform, uint32_t instance,
    const char *path, const char *body, struct buffer *answer);

/* Submits a job of one step with a number of tasks; number is the job's id.
 * Returns the status, 0 without an answer. */
int users_submit(struct users_platform *platform, uint32_t instance,
    uint32_t number, uint32_t tasks);
/* Waits until an instance reports the job as completed. */
bool users_wait_completed(struct users_platform *platform, uint32_t instance,
    uint32_t number, int32_t timeout_ms);

/* Waits until an instance's answer about a job contains a text. */
bool users_wait_state(struct users_platform *platform, uint32_t instance,
    uint32_t number, const char *state, int32_t timeout_ms);

/* Lets the first task of a job crash each worker that starts it. The worker is
 * back at its address a second later, under another id. Its former entry stays.
 */
void users_crash_workers(struct users_platform *platform, uint32_t number);

/* Returns how many workers have crashed. */
uint32_t users_worker_crashes(struct users_platform *platform);

/* Restarts all workers under their ids. They lose their runs and ends and have
 * seen no fencing token; their entries in the store change. */
void users_restart_workers(struct users_platform *platform);

/* Leaves all workers this many accelerators, as their reports and entries say
 * from now on. What runs goes on. */
void users_shrink_workers(
    struct users_platform *platform, uint32_t accelerators);

/* Returns how many starts have brought a worker over its accelerators, of which
 * each task takes one. */
uint32_t users_over_capacity_starts(struct users_platform *platform);

/* Lets all workers say in the store that they leave. They go on. */
void users_drain_workers(struct users_platform *platform);

/* Returns whether all workers have seen a token above the lead's epoch. */
bool users_workers_fenced(struct users_platform *platform);

/* Sets the run time of tasks that start later. */
void users_set_run_ms(struct users_platform *platform, int64_t run_ms);

/* Returns how often the lead's key was deleted. */
uint32_t users_lead_key_deletions(struct users_platform *platform);

/* Returns how many runs the workers have started. */
uint32_t users_started_runs(struct users_platform *platform);
/* Returns how many starts were of a task that was running already, or whose end
 * the lead had acknowledged. */
uint32_t users_duplicate_starts(struct users_platform *platform);

#endif
