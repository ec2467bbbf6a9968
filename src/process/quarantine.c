#include <string.h>

#include "process/alloc.h"
#include "process/quarantine.h"

#define START_POINTS	  2
#define WORK_POINTS	  1
#define QUARANTINE_POINTS 6
#define SUSPECT_POINTS	  4
#define FIRST_TERM_MS	  INT64_C(30000)
#define MAX_DOUBLINGS	  5
/* When more fail than one in this many, the workers are not at fault. */
#define MAX_SHARE_DIVISOR 4

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
	if (quarantine->workers[index].until_ms < quarantine->next_ms)
		quarantine->next_ms = quarantine->workers[index].until_ms;
}

void
quarantine_build(struct quarantine *quarantine, const struct cluster *cluster,
    const struct quarantine *old, const struct cluster *old_cluster)
{
	*quarantine = (struct quarantine){
	    .workers_count = cluster->workers_count,
	    .next_ms = INT64_MAX,
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
	*quarantine = (struct quarantine){.next_ms = INT64_MAX};
}

static void
shut_out(struct quarantine *quarantine, struct cluster *cluster, uint32_t index,
    int64_t now_ms)
{
	struct quarantine_worker *worker = &quarantine->workers[index];
	uint32_t doublings =
	    worker->rounds < MAX_DOUBLINGS ? worker->rounds : MAX_DOUBLINGS;

	if (worker->until_ms != INT64_MAX ||
	    (quarantine->quarantined + 1) * MAX_SHARE_DIVISOR >
		quarantine->workers_count)
		return;
	worker->until_ms = now_ms + FIRST_TERM_MS * (INT64_C(1) << doublings);
	worker->rounds++;
	quarantine->quarantined++;
	if (worker->until_ms < quarantine->next_ms)
		quarantine->next_ms = worker->until_ms;
	cluster->workers[index].on_probation = false;
	cluster_set_quarantined(cluster, index, true);
}

bool
quarantine_failure(struct quarantine *quarantine, struct cluster *cluster,
    uint32_t index, struct job_id job, enum quarantine_fault fault,
    int64_t now_ms)
{
	struct quarantine_worker *worker = &quarantine->workers[index];
	bool trial = cluster->workers[index].on_probation;

	if (worker->points > 0 && !job_id_equal(worker->last, job))
		worker->many_jobs = true;
	worker->last = job;
	worker->points += fault == FAULT_START ? START_POINTS : WORK_POINTS;
	if (trial || (worker->many_jobs && worker->points >= QUARANTINE_POINTS))
		shut_out(quarantine, cluster, index, now_ms);
	return worker->many_jobs && worker->points >= SUSPECT_POINTS;
}

void
quarantine_success(
    struct quarantine *quarantine, struct cluster *cluster, uint32_t index)
{
	struct quarantine_worker *worker = &quarantine->workers[index];

	worker->points = 0;
	worker->many_jobs = false;
	if (worker->until_ms != INT64_MAX)
		return;
	worker->rounds = 0;
	cluster->workers[index].on_probation = false;
}

size_t
quarantine_release(
    struct quarantine *quarantine, struct cluster *cluster, int64_t now_ms)
{
	size_t released = 0;

	if (now_ms < quarantine->next_ms)
		return 0;
	quarantine->next_ms = INT64_MAX;
	for (uint32_t i = 0; i < quarantine->workers_count; i++) {
		struct quarantine_worker *worker = &quarantine->workers[i];

		if (worker->until_ms > now_ms) {
			if (worker->until_ms < quarantine->next_ms)
				quarantine->next_ms = worker->until_ms;
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
