/*
 * One attempt to run a job's tasks together, in three steps: reserve all,
 * stage all, go to all. Pure: reports of the workers, permissions and the
 * present time go in; commands come out.
 *
 * No member is told to go before all are staged, and no lease is renewed
 * before all have confirmed that they run. When one member fails or stays
 * silent, the others are stopped; a member that can't be reached stops by
 * itself when its first lease runs out.
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

enum gang_phase {
	GANG_RESERVE, /* waits for every reservation */
	GANG_STAGE,   /* waits for every task to reach the barrier */
	GANG_INTENT,  /* waits for gang_permit */
	GANG_GO,      /* waits for every task to run */
	GANG_RUN,
	GANG_STOP, /* waits for every member to end */
	GANG_OVER
};

enum gang_result {
	GANG_NONE,
	GANG_FINISHED,	  /* every member has its answer */
	GANG_NOT_STARTED, /* ended and no member ever started */
	GANG_FAILED,	  /* a task itself failed */
	GANG_EVICTED,	  /* stopped from outside; may be resumed */
	GANG_CANCELLED,	  /* stopped from outside for good */
	GANG_LOST	  /* a member stopped or fell silent once started */
};

enum member_phase {
	MEMBER_IDLE,
	MEMBER_RESERVING,
	MEMBER_RESERVED,
	MEMBER_STAGING,
	MEMBER_STAGED,
	MEMBER_GOING,
	MEMBER_RUNNING,
	MEMBER_DONE,
	MEMBER_FAILED,
	MEMBER_STOPPED,
	MEMBER_CHECKPOINTED,
	MEMBER_LAPSED, /* reservation or lease ran out, or the worker forgot */
	MEMBER_SILENT  /* the worker can't be reached; its leases are over */
};

struct gang_member {
	char worker[JOB_NAME_BYTES];
	char task[TASK_ID_BYTES];
	enum member_phase phase;
	bool started; /* the worker has shown that it went */
	bool known;   /* a report has shown its end or that it is unused */
	bool stop_sent;
	uint64_t expect_token; /* a report of this call or a later one tells */
	int64_t hold_until_ms; /* the worker may hold capacity until then */
	int64_t run_ms;
	double used_share;
	char *answer;
	char *checkpoint;
};

struct gang_config {
	int32_t reservation_ms;
	int32_t first_lease_ms;
	int32_t task_lease_ms;
	int32_t checkpoint_grace_ms;
};

struct gang {
	struct job_id job;
	uint32_t attempt;
	enum gang_phase phase;
	enum gang_result result; /* of GANG_OVER; of GANG_STOP so far */
	struct gang_config config;
	const Ibis__JobRecord *record; /* outlives the gang */
	struct gang_member *members;
	uint32_t count;
	int64_t phase_since_ms;
	int64_t started_ms; /* reserve was first sent */
	int64_t last_renew_ms;
	int64_t stop_deadline_ms; /* a checkpoint turns into a stop */
	bool checkpointing;
	bool throttled;
	bool adopted;
	bool go_sent; /* some member may have been told to start */
	char culprit[JOB_NAME_BYTES]; /* worker to blame; may be empty */
	char reason[IBIS_MESSAGE_BYTES];
};

/*
 * Receives one command for a member's worker. The command's strings become the
 * receiver's. Returns the token of the call that will carry it.
 */
struct gang_sink {
	uint64_t (*command)(
	    void *context, const char *worker, struct worker_command *command);
	void *context;
};

/* workers names each task's worker; its count is record->spec->tasks. */
struct gang *gang_new(struct job_id job, const Ibis__JobRecord *record,
    uint32_t attempt, const char *const *workers,
    const struct gang_config *config);
void gang_free(struct gang *gang);

/* Sends the reservations. */
void gang_start(
    struct gang *gang, const struct gang_sink *sink, int64_t now_ms);

/*
 * Takes over an attempt that another lead made, in an unknown phase: waits for
 * the workers' reports, then goes on if all run, else stops what is there.
 * Sends nothing by itself: a partly started gang must not be kept alive.
 */
void gang_adopt(struct gang *gang, int64_t now_ms);

/*
 * A worker's report on the member at index. task is NULL when its inventory
 * does not hold it. token is that of the call that the report answers.
 */
void gang_observe(struct gang *gang, uint32_t index,
    const struct worker_task *task, uint64_t token,
    const struct gang_sink *sink, int64_t now_ms);

/* The worker can't be reached any more. */
void gang_worker_lost(struct gang *gang, const char *worker,
    const struct gang_sink *sink, int64_t now_ms);

/* Tells whether members wait at the barrier for gang_permit. */
bool gang_wants_permit(const struct gang *gang);

/*
 * Starts the members that wait. The intent must be durable where it has to
 * be, and starting in the zones must be allowed now.
 */
void gang_permit(
    struct gang *gang, const struct gang_sink *sink, int64_t now_ms);

/*
 * Ends the attempt from outside: result is GANG_EVICTED, GANG_CANCELLED or
 * GANG_NOT_STARTED. checkpoint asks the workers to save the tasks' state.
 */
void gang_stop(struct gang *gang, enum gang_result result, bool checkpoint,
    const char *reason, const struct gang_sink *sink, int64_t now_ms);

void gang_throttle(
    struct gang *gang, const struct gang_sink *sink, int64_t now_ms);

/* Moves on with time: time-outs, renewals, members that are over. */
void gang_tick(struct gang *gang, const struct gang_sink *sink, int64_t now_ms);

/* Tells whether any member is known to have started, or may have. */
bool gang_may_have_started(const struct gang *gang);

/* Tells whether some member's end is not known for certain. */
bool gang_uncertain(const struct gang *gang);

/* Parses JOB.ATTEMPT.TASK. */
bool gang_parse_task(
    const char *text, struct job_id *job, uint32_t *attempt, uint32_t *index);

#ifdef __cplusplus
}
#endif

#endif
