/*
 * Pauses of workers whose runs fail. A failed run may be the fault of its
 * worker or of its job, so a pause reaches as far as the failures do: it is for
 * one job, for the jobs of one workspace, or for all jobs once those of several
 * workspaces have failed there. All jobs are kept from half of a service's
 * workers at most, and a job that fails wherever it runs pauses no worker.
 */
#include <string.h>

#include "fleet/fleet_model.h"
#include "process/alloc.h"

/* A worker with at least this many failed runs in a row is paused, for
 * FAILURE_PAUSE_MS times their number and MAX_PAUSE_MS at most. Where most
 * workers are paused for a job, it is FAILURE_PAUSE_MS. */
#define FAILURES_BEFORE_PAUSE 2
#define FAILURE_PAUSE_MS      2500
#define MAX_PAUSE_MS	      20000
/* Failures are in a row if each follows the one before within this time. */
#define FAILURE_ROW_MS 30000
/* A job with this many failed runs in a row, and one for every other worker,
 * fails wherever it runs. Its tasks are tried again after FAILING_RETRY_MS. */
#define FAILING_JOB_RUNS 8
#define FAILING_RETRY_MS 2000

static void
extend(int64_t *until_ms, int64_t later_ms)
{
	if (later_ms > *until_ms)
		*until_ms = later_ms;
}

void
fleet_pause_worker(struct fleet_worker *worker, int64_t until_ms)
{
	extend(&worker->pause.all_until_ms, until_ms);
}

void
fleet_pause_worker_for_job(
    struct fleet_worker *worker, const struct fleet_job *job, int64_t until_ms)
{
	struct fleet_pause *pause = &worker->pause;

	if (strcmp(pause->job, job->id) != 0) {
		STRING_COPY(pause->job, job->id);
		pause->job_until_ms = 0;
	}
	extend(&pause->job_until_ms, until_ms);
}

static void
pause_for_workspace(struct fleet_worker *worker,
    const struct fleet_workspace *workspace, int64_t until_ms)
{
	struct fleet_pause *pause = &worker->pause;

	if (pause->workspace != workspace)
		pause->workspace_until_ms = 0;
	pause->workspace = workspace;
	extend(&pause->workspace_until_ms, until_ms);
}

int64_t
fleet_worker_paused_until_ms(
    const struct fleet_worker *worker, const struct fleet_job *job)
{
	const struct fleet_pause *pause = &worker->pause;
	int64_t until_ms = pause->all_until_ms;

	if (pause->workspace == job->workspace)
		extend(&until_ms, pause->workspace_until_ms);
	if (strcmp(pause->job, job->id) == 0)
		extend(&until_ms, pause->job_until_ms);
	return until_ms;
}

bool
fleet_worker_paused_for_all(const struct fleet_worker *worker, int64_t now_ms)
{
	return worker->pause.all_until_ms > now_ms;
}

void
fleet_end_pauses(struct fleet_worker *worker)
{
	worker->pause = (struct fleet_pause){0};
	worker->failed = (struct fleet_failures){0};
}

/* Counts a failed run of a job. */
static void
count_job_failure(struct fleet_job *job, int64_t now_ms)
{
	if (now_ms - job->failed_ms > FAILURE_ROW_MS)
		job->failed_runs = 0;
	job->failed_runs++;
	job->failed_ms = now_ms;
}

bool
fleet_job_fails_everywhere(
    const struct fleet *fleet, const struct fleet_job *job)
{
	return job->failed_runs >= FAILING_JOB_RUNS &&
	    (size_t)job->failed_runs * 2 >= fleet->workers.count;
}

int64_t
fleet_retry_ms(const struct fleet *fleet, const struct fleet_task *task)
{
	if (!fleet_job_fails_everywhere(fleet, task->occurrence->job))
		return 0;
	return task->waiting_since_ms + FAILING_RETRY_MS;
}

/* Counts a failed run on a worker, and notes whose jobs have failed there. */
static void
count_worker_failure(
    struct fleet_worker *worker, const struct fleet_job *job, int64_t now_ms)
{
	struct fleet_failures *failed = &worker->failed;

	if (now_ms - failed->last_ms > FAILURE_ROW_MS)
		*failed = (struct fleet_failures){0};
	if (failed->runs == 0) {
		STRING_COPY(failed->job, job->id);
		failed->workspace = job->workspace;
		failed->scope = FLEET_FAILED_JOB;
	} else if (failed->workspace != job->workspace) {
		failed->scope = FLEET_FAILED_WORKSPACES;
	} else if (failed->scope == FLEET_FAILED_JOB &&
	    strcmp(failed->job, job->id) != 0) {
		failed->scope = FLEET_FAILED_WORKSPACE;
	}
	failed->runs++;
	failed->last_ms = now_ms;
}

/* Returns whether one more pause leaves at least half of the workers of a
 * worker's service, of those that answer. Counted are the pauses for all jobs
 * or, with a job, those for it. */
static bool
leaves_half(const struct fleet *fleet, const struct fleet_worker *worker,
    const struct fleet_job *job, int64_t now_ms)
{
	size_t all = 0;
	size_t paused = 1;

	for (size_t i = 0; i < fleet->workers.count; i++) {
		const struct fleet_worker *other = fleet->workers.items[i].item;

		if (!other->listed || !fleet_worker_answers(other) ||
		    strcmp(other->entry.service, worker->entry.service) != 0)
			continue;
		all++;
		if (other == worker)
			continue;
		paused += job == NULL
		    ? fleet_worker_paused_for_all(other, now_ms)
		    : fleet_worker_paused_until_ms(other, job) > now_ms;
	}
	return paused * 2 <= all;
}

static int64_t
pause_ms(const struct fleet *fleet, const struct fleet_worker *worker,
    const struct fleet_job *job, int64_t now_ms)
{
	int64_t by_failures_ms =
	    (int64_t)FAILURE_PAUSE_MS * worker->failed.runs;

	if (!leaves_half(fleet, worker, job, now_ms))
		return FAILURE_PAUSE_MS;
	return by_failures_ms < MAX_PAUSE_MS ? by_failures_ms : MAX_PAUSE_MS;
}

void
fleet_note_failed_run(struct fleet *fleet, struct fleet_worker *worker,
    struct fleet_job *job, int64_t now_ms)
{
	enum fleet_failed_scope scope;
	int64_t length_ms;

	count_job_failure(job, now_ms);
	if (fleet_job_fails_everywhere(fleet, job))
		return;
	count_worker_failure(worker, job, now_ms);
	if (worker->failed.runs < FAILURES_BEFORE_PAUSE)
		return;
	scope = worker->failed.scope;
	if (scope == FLEET_FAILED_WORKSPACES &&
	    !leaves_half(fleet, worker, NULL, now_ms))
		scope = FLEET_FAILED_WORKSPACE;
	length_ms = pause_ms(fleet, worker, job, now_ms);
	switch (scope) {
	case FLEET_FAILED_JOB:
		fleet_pause_worker_for_job(worker, job, now_ms + length_ms);
		break;
	case FLEET_FAILED_WORKSPACE:
		pause_for_workspace(worker, job->workspace, now_ms + length_ms);
		break;
	case FLEET_FAILED_WORKSPACES:
		fleet_pause_worker(worker, now_ms + length_ms);
		break;
	}
	fleet_add_pause_event(fleet, worker, job, scope, length_ms);
}

void
fleet_note_done_run(struct fleet_worker *worker, struct fleet_job *job)
{
	worker->failed = (struct fleet_failures){0};
	job->failed_runs = 0;
}
