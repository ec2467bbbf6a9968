/*
 * Injected faults of one worker: how it handles connections and what it
 * reports, for how many calls, and which command triggers a fault. The caller
 * holds the pool's lock for all calls.
 */
#ifndef IBIS_FAKE_WORKER_FAULT_H
#define IBIS_FAKE_WORKER_FAULT_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/fake_server.h"
#include "workers/sync.h"
#include "workers/worker.h"

enum {
	FAULT_MODE_BYTES = 24
};

/* How a worker handles its connections. */
enum link_fault {
	LINK_OK,
	LINK_HANG_EXISTING,   /* as LINK_HANG_ALL, but only on connections
				 accepted before the fault began */
	LINK_HANG_ALL,	      /* does not execute and never replies */
	LINK_DROP_ANSWER,     /* executes, then closes the connection */
	LINK_WITHHOLD_ANSWER, /* executes, then never replies */
	LINK_DELAY_ANSWER     /* executes, then replies delay_ms later */
};

/* A fault that begins when a command with the given verb arrives. */
struct trigger {
	bool armed;
	bool after; /* begin after the command was executed, not before */
	enum worker_verb verb;
	char mode[FAULT_MODE_BYTES];
};

/* A worker and the faults injected into it. */
struct pool_worker {
	struct fake_worker model;
	enum link_fault link;
	enum report_fault report;
	int64_t link_fault_since_ms; /* when the link fault began */
	int64_t delay_ms;	     /* for LINK_DELAY_ANSWER */
	int64_t count; /* sync calls left for link and report; 0: no limit */
	struct trigger trigger;
};

/* The faults that apply to one request. Only hang and cut apply to
 * requests for an answer. */
struct request_faults {
	bool hang;	      /* do not execute, never reply */
	bool cut;	      /* close the connection without executing */
	bool drop_answer;     /* execute, then close the connection */
	bool withhold_answer; /* execute, then never reply */
	int64_t delay_ms;     /* wait after executing, before the reply */
	enum report_fault report;
};

/*
 * Applies the fault mode at once or, if the body has a verb in "on", arms it
 * for the next command with that verb. The body's optional fields: delay_ms,
 * count, on, after. Returns false when the mode or the verb is unknown; the
 * mode of an armed fault is not checked.
 */
bool worker_fault_set(
    struct pool_worker *worker, struct json_object *body, const char *mode);

/* Applies the armed fault if one of the commands has its verb. after says
 * whether the commands have been executed already. */
void worker_fault_trigger(struct pool_worker *worker,
    const struct worker_command *commands, size_t count, bool after);

/* Returns the faults that apply to the request. */
struct request_faults worker_fault_for_request(
    const struct pool_worker *worker, const struct fake_request *request);

/* Counts a sync call against the link or report fault; ends the fault when its
 * count is used up. */
void worker_fault_count_sync(struct pool_worker *worker);

#endif
