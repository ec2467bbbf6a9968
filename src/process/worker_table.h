/*
 * The lead's sessions with the workers. A session holds the commands for the
 * worker's next call, the call in flight and the time of its last report. The
 * worker client sends the calls; nothing else here does I/O.
 */
#ifndef IBIS_WORKER_TABLE_H
#define IBIS_WORKER_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/worker_client.h"
#include "process/scheduler.h"
#include "request/job.h"

/* A worker without work, or with work that has run for long, is polled this
 * many times less often than others. */
enum {
	IDLE_POLL_FACTOR = 4
};

/* A member of a job's gang that is on a worker. */
struct worker_member {
	struct job_id job;
	uint32_t index; /* of the task */
};

struct worker_session {
	char name[JOB_NAME_BYTES];
	char address[SETTINGS_TEXT_BYTES]; /* empty: not listed */
	bool listed_leaving;   /* by the platform's list of workers */
	bool reported_leaving; /* by the worker itself */
	bool reported;	       /* since this instance became lead */
	bool no_orphans;      /* by its last report, see control_orphans_over */
	uint64_t incarnation; /* changes when the worker restarts */
	uint64_t next_token;  /* of the next call */
	uint64_t in_flight_token;     /* of the call in flight; 0: none */
	uint64_t last_answered_token; /* newest one with a report */
	uint32_t abandoned_calls;     /* timed out, result still to come */
	int64_t sent_ms;	      /* when the call in flight was sent */
	int64_t last_report_ms;
	int64_t next_poll_ms;
	uint32_t failures;		 /* failed calls in a row */
	uint32_t free_accelerators;	 /* as reported */
	enum worker_condition condition; /* as last set in the scheduler */
	bool lost; /* its work was given up after lost_ms without a report */
	struct worker_command *commands;
	size_t commands_count;
	size_t commands_capacity;
	struct worker_member *members;
	size_t members_count;
	size_t members_capacity;
};

struct worker_table {
	struct worker_session *sessions; /* ordered by name */
	size_t count;
	size_t capacity;
	int32_t poll_ms;    /* interval of calls to a worker with work */
	int32_t timeout_ms; /* of one call */
	int32_t lost_ms;    /* without a report until its work is lost */
};

/* Returns a worker's session, or NULL. The table owns it; adding a worker
 * invalidates the pointer. */
struct worker_session *worker_table_find(
    struct worker_table *table, const char *name);

/* Returns a worker's session, creating it if there is none. */
struct worker_session *worker_table_add(
    struct worker_table *table, const char *name, int64_t now_ms);

/* Drops all commands, members and reports, when this instance becomes lead.
 * Results of calls already in flight will be ignored. */
void worker_table_reset(struct worker_table *table, int64_t now_ms);

/* Adds a command to the next call and returns that call's token. Takes the
 * command's content and leaves it empty. */
uint64_t worker_session_add_command(
    struct worker_session *session, struct worker_command *command);

/* Add and remove a member of a gang; removing an unknown one does nothing. */
void worker_session_add_member(
    struct worker_session *session, struct job_id job, uint32_t index);
void worker_session_remove_member(
    struct worker_session *session, struct job_id job, uint32_t index);

/* Sends the worker's next call if one is due: there are commands, or it is
 * time to poll. Forget commands go with the next call and make none due. At
 * most one call is in flight, and one more after the first has timed out. */
void worker_session_send_due(struct worker_session *session,
    const struct worker_table *table, struct worker_client *client,
    int64_t now_ms);

/* Handles the result of a call. Returns true when it carries a report newer
 * than all earlier ones; the caller should then apply it. */
bool worker_session_handle_result(struct worker_session *session,
    const struct worker_table *table, const struct worker_result *result,
    int64_t now_ms);

/* Returns the worker's condition according to its calls, its reports and the
 * platform's list. */
enum worker_condition worker_session_condition(
    const struct worker_session *session);

/* Returns the condition's lower-case name, as in the API and the log. */
const char *worker_condition_name(enum worker_condition condition);

/* Tells whether the worker has not reported for lost_ms, after which its work
 * counts as lost. */
bool worker_session_is_lost(const struct worker_session *session,
    const struct worker_table *table, int64_t now_ms);

/* Frees the sessions and their commands, not the table itself. */
void worker_table_free(struct worker_table *table);

#endif
