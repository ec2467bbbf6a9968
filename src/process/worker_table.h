/*
 * The workers as the lead sees them: one session each, with the commands that
 * wait for its next call, what is in flight and when it last reported. Pure
 * but for the sink that sends a call.
 */
#ifndef IBIS_WORKER_TABLE_H
#define IBIS_WORKER_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/worker_client.h"
#include "process/scheduler.h"
#include "request/job.h"

/* A worker without work, or with work that has run for long, is asked this
 * many times more seldom than one with news to come. */
enum {
	IDLE_POLL_FACTOR = 4
};

/* A gang's member that is on a worker. */
struct worker_member {
	struct job_id job;
	uint32_t index;
};

struct worker_session {
	char name[JOB_NAME_BYTES];
	char address[SETTINGS_TEXT_BYTES]; /* empty: not in the list */
	bool listed_leaving;		   /* the platform says so */
	bool reported_leaving;		   /* the worker says so */
	bool reported; /* since this instance took the lead */
	uint64_t incarnation;
	uint64_t next_token; /* of the next call */
	uint64_t in_flight;  /* token of the running call; 0: none */
	uint64_t answered;   /* newest token with a report */
	uint32_t abandoned;  /* calls past their deadline, not yet back */
	int64_t sent_ms;
	int64_t last_report_ms;
	int64_t next_poll_ms;
	uint32_t failures; /* calls failed in a row */
	uint32_t free_accelerators;
	enum worker_condition condition; /* as last told to the scheduler */
	bool lost; /* silent for so long that its work counts as lost */
	struct worker_command *commands;
	size_t commands_count;
	size_t commands_capacity;
	struct worker_member *members;
	size_t members_count;
	size_t members_capacity;
};

struct worker_table {
	struct worker_session *sessions;
	size_t count;
	size_t capacity;
	int32_t poll_ms;
	int32_t timeout_ms;
	int32_t lost_ms;
};

/* Returns a worker's session, or NULL. */
struct worker_session *worker_table_find(
    struct worker_table *table, const char *name);

/* Returns a worker's session, made if need be. */
struct worker_session *worker_table_add(
    struct worker_table *table, const char *name, int64_t now_ms);

/* Forgets all that was in flight and reported, as when the lead changes. */
void worker_table_reset(struct worker_table *table, int64_t now_ms);

/* Adds a command to the next call; returns that call's token. */
uint64_t worker_session_command(
    struct worker_session *session, struct worker_command *command);

void worker_session_add_member(
    struct worker_session *session, struct job_id job, uint32_t index);
void worker_session_remove_member(
    struct worker_session *session, struct job_id job, uint32_t index);

/* Sends what is due to a worker; at most one call is in flight, and one more
 * after the first has passed its deadline. */
void worker_session_flush(struct worker_session *session,
    const struct worker_table *table, struct worker_client *client,
    int64_t now_ms);

/*
 * Takes in the end of a call. Returns true when its report is the newest and
 * is to be used.
 */
bool worker_session_result(struct worker_session *session,
    const struct worker_table *table, const struct worker_result *result,
    int64_t now_ms);

/* What the scheduler should know of the worker now. */
enum worker_condition worker_session_condition(
    const struct worker_session *session);

/* Lower-case name, as in the API and the log. */
const char *worker_condition_name(enum worker_condition condition);

/* Tells whether the worker has been silent for the time after which its work
 * counts as lost. */
bool worker_session_is_lost(const struct worker_session *session,
    const struct worker_table *table, int64_t now_ms);

void worker_table_free(struct worker_table *table);

#endif
