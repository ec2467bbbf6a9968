/*
 * State machine of one attempt to run all tasks of a job together, in three
 * steps: reserve all, stage all, start all. It does no I/O: its inputs are the
 * workers' reports, permission to start and the current time; its output is
 * commands for the workers.
 *
 * No member gets the go command before all are staged, and no lease is renewed
 * before all have confirmed that they run. When one member fails or stops
 * reporting, the others are stopped; a member that can't be reached is stopped
 * by its worker when its lease expires.
 *
 * Times are of the caller's monotonic clock, in milliseconds.
 */
#ifndef IBIS_GANG_H
#define IBIS_GANG_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/worker_client.h"
#include "request/job.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	/* Longest time from passing a command to the sink to its delivery. */
	GANG_MAX_COMMAND_DELAY_MS = 1500
};

enum gang_phase {
	GANG_RESERVE, /* waits for every reservation */
	GANG_STAGE,   /* waits for every task to reach the barrier */
	GANG_INTENT,  /* waits for gang_permit */
	GANG_GO,      /* waits for every task to run */
	GANG_RUN,     /* renews leases; waits for every task to end */
	GANG_STOP,    /* stops all; waits for every member to end */
	GANG_OVER     /* the result is final */
};

enum gang_result {
	GANG_NONE,	  /* not ended yet */
	GANG_FINISHED,	  /* every member has its answer */
	GANG_NOT_STARTED, /* ended, and no member has started */
	GANG_FAILED,	  /* a task reported failure after its start */
	GANG_EVICTED,	  /* stopped by gang_stop; may be resumed */
	GANG_CANCELLED,	  /* stopped by gang_stop; not resumed */
	GANG_LOST	  /* a member stopped or became unreachable after go */
};

enum member_phase {
	MEMBER_IDLE, /* no command sent yet */
	MEMBER_RESERVING,
	MEMBER_RESERVED,
	MEMBER_STAGING,
	MEMBER_STAGED,
	MEMBER_GOING,
	MEMBER_RUNNING,
	MEMBER_DONE, /* this and all later phases are final */
	MEMBER_FAILED,
	MEMBER_STOPPED,
	MEMBER_CHECKPOINTED,
	MEMBER_LAPSED, /* lease expired, or task unknown to its worker */
	MEMBER_SILENT  /* worker unreachable, or no report until expiry */
};

/* One task of the gang and its worker. */
struct gang_member {
	char worker[JOB_NAME_BYTES];
	char task[TASK_ID_BYTES];
	enum member_phase phase;
	bool started;	/* the worker has reported a start */
	bool end_known; /* its end, or that it never started, is certain */
	bool stop_sent;
	/* Reports of calls with a smaller token predate the last command. */
	uint64_t min_report_token;
	/* The worker may have the task's resources in use until then. */
	int64_t occupied_until_ms;
	int64_t run_ms;	   /* run time as last reported */
	double used_share; /* as last reported */
	char *answer;	   /* NULL until reported; owned */
	char *checkpoint;  /* NULL until reported; owned */
};

struct gang_config {
	int32_t reservation_ms;	     /* term of reservations; limit until go */
	int32_t first_lease_ms;	     /* term of the lease granted with go */
	int32_t task_lease_ms;	     /* term of each renewed lease */
	int32_t checkpoint_grace_ms; /* time to save state before a stop */
};

struct gang {
	struct job_id job;
	uint64_t attempt;
	enum gang_phase phase;
	enum gang_result result; /* provisional until GANG_OVER */
	struct gang_config config;
	const Ibis__JobRecord *record; /* borrowed; must outlive the gang */
	struct gang_member *members;
	uint32_t count; /* of members */
	int64_t phase_since_ms;
	int64_t started_ms; /* start or adoption of the attempt */
	int64_t last_renew_ms;
	int64_t checkpoint_deadline_ms; /* members are then stopped */
	bool checkpointing; /* waits for the members to save their state */
	bool throttled;	    /* the throttle command has been sent */
	bool adopted;	    /* taken over from an earlier lead */
	bool evicted;	    /* gang_stop was called with GANG_EVICTED */
	bool go_sent;	    /* some member may have got the go command */
	char failed_worker[JOB_NAME_BYTES]; /* worker that caused a stop, or ""
					     */
	char reason[IBIS_MESSAGE_BYTES];
};

/*
 * Receiver of commands. command takes one command for a worker and ownership of
 * its strings. It returns the token of the call that will carry the command;
 * tokens of a worker's calls increase.
 */
struct gang_sink {
	uint64_t (*command)(
	    void *context, const char *worker, struct worker_command *command);
	void *context;
};

/* Creates an attempt in GANG_RESERVE, without sending anything. workers names
 * the worker of each of the record->spec->tasks tasks and is copied, as is
 * config. Free the result with gang_free. */
struct gang *gang_new(struct job_id job, const Ibis__JobRecord *record,
    uint64_t attempt, const char *const *workers,
    const struct gang_config *config);

/* Frees a gang, which may be NULL. Sends nothing. */
void gang_free(struct gang *gang);

/* Starts the attempt: sends the reservations. */
void gang_start(
    struct gang *gang, const struct gang_sink *sink, int64_t now_ms);

/*
 * Takes over an attempt of an earlier lead whose phase is unknown. Later
 * reports decide: if all members run, the attempt continues, otherwise it is
 * stopped. Sends nothing, since renewing leases would keep a partly started
 * gang alive.
 */
void gang_adopt(struct gang *gang, int64_t now_ms);

/*
 * Handles a worker's report on the member at index. task is NULL when the
 * report does not list the member's task. token is that of the call that the
 * report answers.
 */
void gang_handle_report(struct gang *gang, uint32_t index,
    const struct worker_task *task, uint64_t token,
    const struct gang_sink *sink, int64_t now_ms);

/* Stops the attempt if members of an unreachable worker have not ended. These
 * may run on until their leases expire, and count as silent only then. */
void gang_worker_lost(struct gang *gang, const char *worker,
    const struct gang_sink *sink, int64_t now_ms);

/* Returns whether staged members wait for gang_permit. */
bool gang_wants_permit(const struct gang *gang);

/*
 * Sends the go command to the members that wait. The caller must have stored
 * the intent to start where the job requires it, and starting tasks in the
 * members' zones must currently be allowed. Does nothing if no members wait.
 */
void gang_permit(
    struct gang *gang, const struct gang_sink *sink, int64_t now_ms);

/*
 * Stops the attempt. result is GANG_EVICTED, GANG_CANCELLED or
 * GANG_NOT_STARTED. With checkpoint, workers of a running gang first save the
 * tasks' state, for up to checkpoint_grace_ms. Does nothing if the attempt is
 * stopping already or over.
 */
void gang_stop(struct gang *gang, enum gang_result result, bool checkpoint,
    const char *reason, const struct gang_sink *sink, int64_t now_ms);

/* Sends the throttle command to the members of a running gang, once. */
void gang_throttle(
    struct gang *gang, const struct gang_sink *sink, int64_t now_ms);

/* Handles timeouts, lease renewals and members whose lease has expired. Call
 * regularly. */
void gang_tick(struct gang *gang, const struct gang_sink *sink, int64_t now_ms);

/* Returns whether any member has started or may have started. */
bool gang_may_have_started(const struct gang *gang);

/* Returns whether go was sent and some member's end is not certain. */
bool gang_outcome_unknown(const struct gang *gang);

/* Parses a task id JOB.ATTEMPT.TASK. Returns false when it is malformed. */
bool gang_parse_task(
    const char *text, struct job_id *job, uint64_t *attempt, uint32_t *index);

/*
 * Returns the number of a job's next attempt. last is the job's last number, 0
 * if none, and epoch that of the lead. A lead may have sent numbers to workers
 * that no record shows, so those of two leads must differ: each epoch has
 * numbers of its own, which exceed those of earlier ones.
 */
uint64_t gang_next_attempt(uint64_t last, uint64_t epoch);

#ifdef __cplusplus
}
#endif

#endif
