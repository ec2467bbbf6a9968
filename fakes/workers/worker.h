/*
 * Simulation of one worker: reservations, leases and tasks with scaled run
 * times. Calls are not thread-safe; the caller passes the time as now_ms, from
 * clock_now_ms().
 *
 * Words in the payload control a task: actual_ms=N sets its actual run time,
 * fail makes it fail at the end of its run, ignore_checkpoint makes it ignore
 * checkpoint commands; answer_bytes=N is described at task_answer.
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

/* How a worker handles its tasks. */
enum fake_worker_condition {
	WORKER_HEALTHY,
	WORKER_FAIL_RESERVE, /* refuses every reservation */
	WORKER_FAIL_STAGE,   /* every task fails when staged */
	WORKER_FAIL_ALL,     /* every task fails soon after its start */
	WORKER_FROZEN,	     /* no task progresses, no lease expires */
	WORKER_DEAD	     /* has lost all its tasks */
};

struct fake_task {
	char id[TASK_ID_BYTES];
	enum task_state state;
	bool started;
	bool discarded; /* answer freed; kept so that its id is not run again */
	bool throttled;
	bool renewed; /* its lease has been renewed */
	uint32_t accelerators;
	uint32_t index;
	int64_t expires_ms;	     /* end of the reservation or lease */
	int64_t run_time_ms;	     /* actual run time, unscaled */
	int64_t progress_ms;	     /* run time so far, unscaled */
	int64_t progress_updated_ms; /* when progress_ms was last updated */
	int64_t started_ms;	     /* 0 before the start */
	int64_t checkpoint_due_ms;   /* end of the save; 0: none requested */
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
	enum fake_worker_condition condition;
	double time_scale;     /* run times are divided by it */
	int64_t checkpoint_ms; /* how long saving a checkpoint takes */
	struct fake_task **tasks;
	size_t tasks_count;
	size_t tasks_capacity;
};

/* Executes one command. A command for an unknown task or one that does not fit
 * the state of its task is ignored. */
void fake_worker_execute(struct fake_worker *worker,
    const struct worker_command *command, int64_t now_ms);

/* Updates all tasks to now_ms: progress, checkpoints, ends and expired leases.
 * Does nothing while the worker is frozen. */
void fake_worker_advance(struct fake_worker *worker, int64_t now_ms);

/* Sets the condition. Entering WORKER_DEAD drops all tasks and increments the
 * incarnation, so that leaving it looks like a restart. */
void fake_worker_set_condition(struct fake_worker *worker,
    enum fake_worker_condition condition, int64_t now_ms);

/* Drops all tasks and increments the incarnation. */
void fake_worker_restart(struct fake_worker *worker, int64_t now_ms);

/* Returns the number of accelerators that no task reserves or uses. */
uint32_t fake_worker_free_accelerators(const struct fake_worker *worker);

/* Returns the share (0 to 1) of the task's accelerators that is reported as
 * used; 0 in the first second of the run, as real usage figures lag. */
double fake_task_used_share(const struct fake_task *task, int64_t now_ms);

/* Returns the task with this id, discarded or not, or NULL. The worker owns it.
 */
struct fake_task *fake_worker_find(
    const struct fake_worker *worker, const char *id);

/* Frees all tasks without log events. */
void fake_worker_free_tasks(struct fake_worker *worker);

#endif
