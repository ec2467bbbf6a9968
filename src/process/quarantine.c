#include <string.h>

#include "process/alloc.h"
#include "process/quarantine.h"

/* A task that did not start is stronger evidence against the worker than work
 * that failed. */
#define START_FAILURE_POINTS 2
#define WORK_FAILURE_POINTS  1
#define QUARANTINE_POINTS    6 /* failure points that start a quarantine */
#define SUSPECT_POINTS	     4 /* the worker, not the job, is likely at fault */
#define INITIAL_PERIOD_MS    INT64_C(30000)
#define MAX_PERIOD_DOUBLINGS 5
/* At most one in this many workers is quarantined: when more fail, the cause is
 * probably not the workers. */
#define MAX_QUARANTINED_DIVISOR 4

/* Copies a worker's state from the old quarantine, if it has one. */
static void
build_worker(struct quarantine *quarantine, const struct cluster *cluster,
    const struct quarantine *old, const struct cluster *old_cluster,
    uint32_t index)
{
	uint32_t from = cluster_find_worker(old_cluster, cluster->names[index]);

	quarantine->workers[index].until_ms = INT64_MAX;
	if (from == NO_INDEX || from >= old->workers_count)
		return;
	quarantine->workers[index] = old->workers[from];
	if (quarantine->workers[index].until_ms == INT64_MAX)
		return;
	quarantine->quarantined++;
	if (quarantine->workers[index].until_ms < quarantine->next_release_ms)
		quarantine->next_release_ms =
		    quarantine->workers[index].until_ms;
}

void
quarantine_build(struct quarantine *quarantine, const struct cluster *cluster,
    const struct quarantine *old, const struct cluster *old_cluster)
{
	*quarantine = (struct quarantine){
	    .workers_count = cluster->workers_count,
	    .next_release_ms = INT64_MAX,
	};
	quarantine->workers =
	    mem_calloc(cluster->workers_count, sizeof(*quarantine->workers));
	for (uint32_t i = 0; i < cluster->workers_count; i++)
		build_worker(quarantine, cluster, old, old_cluster, i);
}

void
quarantine_clear(struct quarantine *quarantine)
{
	mem_free(quarantine->workers);
	*quarantine = (struct quarantine){.next_release_ms = INT64_MAX};
}

/* Quarantines a worker unless it is already or too many are. The period doubles
 * each time. */
static void
begin_quarantine(struct quarantine *quarantine, struct cluster *cluster,
    uint32_t index, int64_t now_ms)
{
	struct quarantine_worker *worker = &quarantine->workers[index];
	uint32_t doublings = worker->periods < MAX_PERIOD_DOUBLINGS
	    ? worker->periods
	    : MAX_PERIOD_DOUBLINGS;

	if (worker->until_ms != INT64_MAX ||
	    (quarantine->quarantined + 1) * MAX_QUARANTINED_DIVISOR >
		quarantine->workers_count)
		return;
	worker->until_ms =
	    now_ms + INITIAL_PERIOD_MS * (INT64_C(1) << doublings);
	worker->periods++;
	quarantine->quarantined++;
	if (worker->until_ms < quarantine->next_release_ms)
		quarantine->next_release_ms = worker->until_ms;
	cluster->workers[index].on_probation = false;
	cluster_set_quarantined(cluster, index, true);
}

bool
quarantine_record_failure(struct quarantine *quarantine,
    struct cluster *cluster, uint32_t index, struct job_id job,
    enum quarantine_fault fault, int64_t now_ms)
{
	struct quarantine_worker *worker = &quarantine->workers[index];
	bool on_probation = cluster->workers[index].on_probation;

	if (worker->failure_points > 0 &&
	    !job_id_equal(worker->last_failed_job, job))
		worker->several_jobs_failed = true;
	worker->last_failed_job = job;
	worker->failure_points +=
	    fault == FAULT_START ? START_FAILURE_POINTS : WORK_FAILURE_POINTS;
	if (on_probation ||
	    (worker->several_jobs_failed &&
		worker->failure_points >= QUARANTINE_POINTS))
		begin_quarantine(quarantine, cluster, index, now_ms);
	return worker->several_jobs_failed &&
	    worker->failure_points >= SUSPECT_POINTS;
}

void
quarantine_record_success(
    struct quarantine *quarantine, struct cluster *cluster, uint32_t index)
{
	struct quarantine_worker *worker = &quarantine->workers[index];

	worker->failure_points = 0;
	worker->several_jobs_failed = false;
	if (worker->until_ms != INT64_MAX)
		return;
	worker->periods = 0;
	cluster->workers[index].on_probation = false;
}

size_t
quarantine_release(
    struct quarantine *quarantine, struct cluster *cluster, int64_t now_ms)
{
	size_t released = 0;

	if (now_ms < quarantine->next_release_ms)
		return 0;
	quarantine->next_release_ms = INT64_MAX;
	for (uint32_t i = 0; i < quarantine->workers_count; i++) {
		struct quarantine_worker *worker = &quarantine->workers[i];

		if (worker->until_ms > now_ms) {
			if (worker->until_ms < quarantine->next_release_ms)
				quarantine->next_release_ms = worker->until_ms;
			continue;
		}
		worker->until_ms = INT64_MAX;
		quarantine->quarantined--;
		cluster->workers[i].on_probation = true;
		cluster_set_quarantined(cluster, i, false);
		released++;
	}
	return released;
}
