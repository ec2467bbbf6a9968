/*
 * Client of the workers. One call a worker is in flight at a time; it carries
 * any number of commands and brings back the worker's whole inventory. Each
 * ends in EVENT_WORKER. This file and its header are the only place that
 * knows the workers' form.
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
	VERB_RESERVE,	 /* holds accelerators for ttl_ms */
	VERB_STAGE,	 /* loads the task behind a barrier */
	VERB_GO,	 /* starts it, under a lease of ttl_ms */
	VERB_RENEW,	 /* makes the lease end ttl_ms from now */
	VERB_CHECKPOINT, /* saves its state, then stops it */
	VERB_THROTTLE,
	VERB_STOP,  /* stops a task or gives a reservation back */
	VERB_FORGET /* drops a task that has ended */
};

/* A task's id is JOB.ATTEMPT.TASK; a worker runs an id at most once. */
struct worker_command {
	enum worker_verb verb;
	char task[TASK_ID_BYTES];
	uint32_t accelerators; /* RESERVE */
	int32_t ttl_ms;	       /* RESERVE, GO, RENEW */
	/* STAGE: */
	int64_t run_time_ms;
	uint32_t index;	  /* of the task in its job */
	uint32_t tasks;	  /* of its job */
	char *payload;	  /* owned by the command */
	char *checkpoint; /* to resume from; owned by the command; or NULL */
};

/* Frees what a command owns. */
void worker_command_clear(struct worker_command *command);

enum task_state {
	TASK_RESERVED,
	TASK_STAGED,
	TASK_RUNNING,
	TASK_DONE,
	TASK_FAILED,
	TASK_STOPPED,	   /* stopped before its end */
	TASK_CHECKPOINTED, /* stopped with its state saved */
	TASK_LAPSED	   /* its reservation or lease ran out */
};

struct worker_task {
	char id[TASK_ID_BYTES];
	enum task_state state;
	bool started; /* it went past the barrier */
	int64_t run_ms;
	double used_share; /* reported usage; lags */
	char *answer;	   /* DONE; length and hash have been checked. A done
			    * task whose answer can't be had whole is shown as
			    * RUNNING until a later report brings it. */
	char *checkpoint;  /* CHECKPOINTED */
	char *message;	   /* FAILED, or why a command was refused */
};

/* What a worker reported. */
struct worker_report {
	uint64_t incarnation; /* changes when the worker restarts */
	bool leaving;
	uint32_t accelerators;
	uint32_t free_accelerators;
	struct worker_task *tasks;
	size_t tasks_count;
};

/* code OK: the report is there. UNAVAILABLE: not sent. UNKNOWN: the commands
 * may have been carried out, the next report tells. */
struct worker_result {
	char worker[JOB_NAME_BYTES];
	uint64_t token;
	enum ibis_code code;
	int64_t sent_ms;
	int64_t received_ms;
	struct worker_report report;
	struct ibis_status status;
};

struct worker_client;

struct worker_client *worker_client_start(
    int32_t timeout_ms, struct event_queue *events, struct ibis_status *status);

/*
 * Sends commands, in order, to a worker at address (IP:PORT/PATH). The
 * array, from mem_calloc, and what it owns are taken over. The control thread
 * must not call again for the worker before the result, but for one call after
 * its own deadline, which then goes over a new connection.
 */
void worker_client_call(struct worker_client *client, const char *worker,
    const char *address, uint64_t token, struct worker_command *commands,
    size_t count);

/* Returns soon; calls not yet sent end as UNAVAILABLE. Results of calls in
 * flight may be dropped. */
void worker_client_stop(struct worker_client *client);

void worker_result_free(struct worker_result *result);

#endif
