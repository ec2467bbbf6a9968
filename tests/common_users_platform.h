/*
 * Stand-in for the users' platform, in the test's own process: the store with
 * watches, leases and conditions, and workers that run tasks under leases. It
 * speaks the platform's protocol and judges what it sees.
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

/* Starts store and workers with a valid configuration: host "h", prefix "/q/",
 * key "k", service "s". */
struct users_platform *users_platform_start(void);
void users_platform_stop(struct users_platform *platform);

/* Starts an instance; false with a message when it does not get ready. */
bool users_start_instance(struct users_platform *platform, uint32_t index);
/* The same with a log that goes to a descriptor, and without waiting. */
bool users_start_unread(
    struct users_platform *platform, uint32_t index, int output);
struct process *users_instance(struct users_platform *platform, uint32_t index);

/* From now on the store answers 503 to this instance. */
void users_turn_away(
    struct users_platform *platform, uint32_t index, bool away);
/* From now on nobody gets an answer of the store. */
void users_store_silent(struct users_platform *platform, bool silent);

/* From now on watches of this instance hear nothing. */
void users_blind(struct users_platform *platform, uint32_t index, bool blind);
/* The lead's lease ends before its time. */
void users_drop_lead(struct users_platform *platform);

/* Waits until all running instances are ready. */
bool users_wait_ready(struct users_platform *platform, int32_t timeout_ms);

/* The index of the instance that holds the lead's key, or -1. */
int users_lead(struct users_platform *platform);
bool users_wait_lead(
    struct users_platform *platform, int not_this, int32_t timeout_ms);

/* One call of a caller; the status, or 0 without an answer. */
int users_call(struct users_platform *platform, uint32_t instance,
    const char *method, const char *path, const char *body,
    struct buffer *answer);

/* Address that operators and other instances call. */
void users_internal_address(const struct users_platform *platform,
    uint32_t instance, char *address, size_t bytes);

/* One question of an operator at the internal address. */
int users_ask(struct users_platform *platform, uint32_t instance,
    const char *path, struct buffer *answer);

/* One call at the internal address, as from another instance. */
int users_tell(struct users_platform *platform, uint32_t instance,
    const char *path, const char *body, struct buffer *answer);

/* Hands in a job of one step; the task runs so long. Returns the status. */
int users_submit(struct users_platform *platform, uint32_t instance,
    uint32_t number, uint32_t tasks);
/* Waits until it is shown as completed. */
bool users_wait_completed(struct users_platform *platform, uint32_t instance,
    uint32_t number, int32_t timeout_ms);

/* Run time of the tasks that start from now on. */
void users_set_run_ms(struct users_platform *platform, int64_t run_ms);

/* How often the lead's key was gone. */
uint32_t users_lead_gaps(struct users_platform *platform);

uint32_t users_starts(struct users_platform *platform);
/* Tasks that ran twice at a time, or again after their end was noted. */
uint32_t users_doubled(struct users_platform *platform);

#endif
