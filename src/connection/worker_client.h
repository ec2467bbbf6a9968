/*
 * Client of the workers. Each worker has one call in flight at a time; a call
 * sends any number of commands and returns a report of all the worker's tasks,
 * posted as EVENT_WORKER. Only this module and worker_codec know the workers'
 * HTTP interface.
 */
#ifndef IBIS_WORKER_CLIENT_H
#define IBIS_WORKER_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "process/buffer.h"
#include "process/event.h"
#include "request/job.h"

enum {
	TASK_ID_BYTES = 64
};

enum worker_verb {
	VERB_RESERVE,	 /* reserves accelerators for ttl_ms */
	VERB_STAGE,	 /* loads the task, which waits at a barrier */
	VERB_GO,	 /* starts the task under a lease of ttl_ms */
	VERB_RENEW,	 /* extends the lease to ttl_ms from now */
	VERB_CHECKPOINT, /* saves the task's state, then stops it */
	VERB_THROTTLE,
	VERB_STOP,  /* stops a task or releases a reservation */
	VERB_FORGET /* discards a task that has ended */
};

/*
 * A command for one task. A task id is JOB.ATTEMPT.TASK; a worker runs each id
 * at most once. Fields apply to the named verbs, else to all.
 */
struct worker_command {
	enum worker_verb verb;
	char task[TASK_ID_BYTES];
	uint32_t accelerators; /* RESERVE */
	int32_t ttl_ms;	       /* RESERVE, GO, RENEW */
	/* STAGE: */
	int64_t run_time_ms;
	uint32_t index;	  /* of the task within its job */
	uint32_t tasks;	  /* number of tasks in the job */
	char *payload;	  /* owned by the command */
	char *checkpoint; /* to resume from; owned by the command; or NULL */
};

/* Frees payload and checkpoint and sets them to NULL. */
void worker_command_clear(struct worker_command *command);

enum task_state {
	TASK_RESERVED,
	TASK_STAGED,
	TASK_RUNNING,
	TASK_DONE,
	TASK_FAILED,
	TASK_STOPPED,	   /* stopped before completion */
	TASK_CHECKPOINTED, /* stopped with its state saved */
	TASK_LAPSED	   /* its reservation or lease expired */
};

/* A task as the worker reported it. Optional strings may be NULL. */
struct worker_task {
	char id[TASK_ID_BYTES];
	enum task_state state;
	bool started;	   /* passed the barrier */
	int64_t run_ms;	   /* time run so far */
	double used_share; /* reported usage, a fraction; may be out of date */
	char *answer;	   /* DONE; matches its length and hash. A done task
			    * without a valid answer is shown as RUNNING until
			    * a later report has one. */
	char *checkpoint;  /* CHECKPOINTED */
	char *message;	   /* FAILED, or why a command was refused */
};

/* A worker's report; free with worker_report_clear. */
struct worker_report {
	uint64_t incarnation; /* changes when the worker restarts */
	bool leaving;	      /* the worker is draining */
	uint32_t accelerators;
	uint32_t free_accelerators;
	struct worker_task *tasks;
	size_t tasks_count;
};

/*
 * Result of a call. code is IBIS_OK (report is valid), IBIS_UNAVAILABLE (the
 * commands were not sent) or IBIS_UNKNOWN (the commands may have been executed;
 * the next report shows it). The receiver frees it with worker_result_free.
 */
struct worker_result {
	char worker[JOB_NAME_BYTES];
	uint64_t token; /* as passed to worker_client_call */
	enum ibis_code code;
	int64_t sent_ms;     /* clock_now_ms() before the request */
	int64_t received_ms; /* clock_now_ms() after the response */
	struct worker_report report;
	struct ibis_status status;
};

struct worker_client;

/*
 * Makes a client of all workers. timeout_ms is the timeout of each HTTP request
 * (see http_client_new). Answers that the report lacks or that fail
 * verification are then fetched one by one; no fetch begins later than
 * timeout_ms after the report was received. Results are posted to events.
 * Returns NULL and fills status when timeout_ms is not positive. Ended by
 * worker_client_stop.
 */
struct worker_client *worker_client_start(
    int32_t timeout_ms, struct event_queue *events, struct ibis_status *status);

/*
 * Queues a call that sends commands, in order, to the worker at address
 * (IP:PORT/PATH). Takes ownership of the commands array, allocated with
 * mem_calloc, and of what it owns; the strings are copied. The control thread
 * must not call a worker again before the result is posted, except once when
 * its own deadline for the call has passed; that call uses a new connection.
 */
void worker_client_call(struct worker_client *client, const char *worker,
    const char *address, uint64_t token, struct worker_command *commands,
    size_t count);

/*
 * Stops and frees the client; waits only briefly for blocked calls. Calls not
 * yet sent end with IBIS_UNAVAILABLE; results of calls in flight may be
 * dropped. NULL is allowed.
 */
void worker_client_stop(struct worker_client *client);

/* Frees a result with its report; NULL is allowed. */
void worker_result_free(struct worker_result *result);

#endif
