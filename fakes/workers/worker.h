/*
 * Model of one worker: reservations, leases, tasks of scaled run time. The
 * caller serialises all calls; now_ms is an argument throughout.
 */
#ifndef IBIS_FAKE_WORKER_H
#define IBIS_FAKE_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/worker_client.h"
#include "process/buffer.h"

enum {
	WORKER_NAME_BYTES = 64
};

/* How a worker treats its tasks. */
enum worker_condition_fault {
	WORKER_SOUND,
	WORKER_FAIL_RESERVE, /* refuses every reservation */
	WORKER_FAIL_STAGE,   /* every task fails when staged */
	WORKER_FAIL_ALL,     /* every task fails soon after its start */
	WORKER_FROZEN,	     /* nothing goes on, nothing lapses */
	WORKER_DEAD	     /* its tasks have vanished */
};

struct fake_task {
	char id[TASK_ID_BYTES];
	enum task_state state;
	bool started;
	bool forgotten; /* kept, so that the id never runs again */
	bool throttled;
	uint32_t accelerators;
	uint32_t index;
	int64_t lapses_ms;	 /* of the reservation or lease */
	int64_t run_time_ms;	 /* true one, unscaled */
	int64_t progress_ms;	 /* unscaled */
	int64_t progressed_ms;	 /* when progress_ms was brought up to date */
	int64_t started_ms;	 /* 0 before the start */
	int64_t checkpointed_ms; /* when a checkpoint will be there; 0 none */
	int64_t ended_ms;
	char *payload;
	char *checkpoint;
	const char *message;
	struct buffer answer;
};

struct fake_worker {
	char name[WORKER_NAME_BYTES];
	char availability_zone[WORKER_NAME_BYTES];
	char rack[WORKER_NAME_BYTES];
	uint32_t accelerators;
	uint64_t incarnation;
	bool leaving;
	enum worker_condition_fault condition;
	double time_scale; /* run times are divided by it */
	int64_t checkpoint_ms;
	struct fake_task **tasks;
	size_t tasks_count;
	size_t tasks_capacity;
};

/* Carries out one command. */
void fake_worker_command(struct fake_worker *worker,
    const struct worker_command *command, int64_t now_ms);

/* Brings all tasks up to date. */
void fake_worker_advance(struct fake_worker *worker, int64_t now_ms);

/* Sets the condition; death makes the tasks vanish, and the return from it is
 * a restart. */
void fake_worker_set_condition(struct fake_worker *worker,
    enum worker_condition_fault condition, int64_t now_ms);

/* Makes all tasks vanish and gives the worker its next incarnation. */
void fake_worker_restart(struct fake_worker *worker, int64_t now_ms);

uint32_t fake_worker_free(const struct fake_worker *worker);

/* Share of its accelerators that a task is reported to use; lags. */
double fake_task_used_share(const struct fake_task *task, int64_t now_ms);

/* Returns a task or NULL; forgotten ones too. */
struct fake_task *fake_worker_find(
    const struct fake_worker *worker, const char *id);

void fake_worker_clear(struct fake_worker *worker);

#endif
