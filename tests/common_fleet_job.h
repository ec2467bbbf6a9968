/*
 * A fleet with a job of one step, whose tasks run on a worker each, and whose
 * workers report what a test says.
 */
#ifndef IBIS_COMMON_FLEET_JOB_H
#define IBIS_COMMON_FLEET_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet.h"

enum {
	FLEET_JOB_WORKERS = 3,
	FLEET_JOB_ESTIMATE_MS = 10000 /* of each task */
};

#define FLEET_JOB_ID	      "00000000000000aa"
#define FLEET_JOB_INCARNATION 1 /* of the workers */

struct fleet_job_fixture {
	struct fleet *fleet;
	int64_t now_ms;
	uint64_t revision;
	uint32_t attempts;    /* of the job; 1 at first */
	int64_t accelerators; /* of each task; all of a worker's at first */
	struct fleet_worker_entry entries[FLEET_JOB_WORKERS];
};

/* Opens a fixture with idle workers. End it with fleet_job_close. */
void fleet_job_open(struct fleet_job_fixture *fixture);
void fleet_job_close(struct fleet_job_fixture *fixture);

/* Starts the job. By default there is a task on each of the first workers. */
void fleet_job_start(
    struct fleet_job_fixture *fixture, uint32_t tasks, bool gang);

/* Passes a worker's report to the fleet. It lists the run of the job's task
 * there with this progress, or none if percent is below 0. */
void fleet_job_report(
    struct fleet_job_fixture *fixture, size_t worker_index, int32_t percent);

/* Does the same for count tasks from the first on that are all on the worker.
 */
void fleet_job_report_tasks(struct fleet_job_fixture *fixture,
    size_t worker_index, uint32_t first, uint32_t count, int32_t percent);

/* Passes a report of a worker without runs that lists ends of the job's tasks,
 * as done in run 1: of the first task with the first number, and so on. */
void fleet_job_report_ends(struct fleet_job_fixture *fixture,
    size_t worker_index, const uint64_t *numbers, uint32_t count);

/* Lets time pass, and the first workers report the same progress. */
void fleet_job_run(struct fleet_job_fixture *fixture, int64_t ms,
    uint32_t tasks, int32_t percent);

/* Stores all records, decides, and answers the starts. Returns the number of
 * orders of a kind. */
size_t fleet_job_decide(
    struct fleet_job_fixture *fixture, enum fleet_order_kind kind);

#endif
