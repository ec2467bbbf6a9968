/* The order of waiting work. */
#include "fleet/fleet_rank.h"

/* Results are of some use until this multiple of the objective. */
#define USEFUL_OBJECTIVES 3
/* A job may be passed for this many times the time that the whole fleet would
 * work on it, and for this long at most. */
#define PASS_FACTOR 1
#define MAX_PASS_MS 5000
/* A workspace that uses twice its share joins later by this time, one that uses
 * three times its share by twice that, and so on up to the most. */
#define OVERUSE_MS     500
#define MAX_OVERUSE_MS 3000
#define DEFAULT_WEIGHT 1000

static uint32_t
weight_of(const struct fleet_workspace *workspace)
{
	return workspace->quota.weight_milli == 0
	    ? DEFAULT_WEIGHT
	    : workspace->quota.weight_milli;
}

/* Returns the sum of the weights of workspaces with unfinished jobs. */
static uint64_t
add_up_weights(struct fleet *fleet)
{
	struct fleet_job *job;
	uint64_t weights = 0;

	for (size_t i = 0; i < fleet->workspaces_count; i++)
		fleet->workspaces[i]->has_jobs = false;
	cds_list_for_each_entry (job, &fleet->active, active) {
		if (job->workspace->has_jobs || fleet_job_final(job))
			continue;
		job->workspace->has_jobs = true;
		weights += weight_of(job->workspace);
	}
	return weights;
}

/* Returns the time that the whole fleet would work on a step. */
static double
fleet_time_ms(const struct fleet *fleet, const Ibis__JobStep *step)
{
	struct fleet_resources need = fleet_step_need(step);

	return fleet_resources_part(&need, &fleet->capacity) *
	    (double)step->tasks * (double)step->estimate_ms;
}

static int64_t
pass_ms(const struct fleet *fleet, const Ibis__StepJob *spec)
{
	double work_ms = 0;

	for (size_t i = 0; i < spec->n_steps; i++)
		work_ms += fleet_time_ms(fleet, spec->steps[i]);
	work_ms *= PASS_FACTOR;
	return work_ms < MAX_PASS_MS ? (int64_t)work_ms : MAX_PASS_MS;
}

void
fleet_rank_begin_round(struct fleet *fleet)
{
	uint64_t weights = add_up_weights(fleet);
	struct fleet_job *job;

	fleet->capacity = (struct fleet_resources){0};
	for (size_t i = 0; i < fleet->workers.count; i++) {
		const struct fleet_worker *worker =
		    fleet->workers.items[i].item;

		if (worker->listed)
			fleet_resources_add(
			    &fleet->capacity, &worker->resources);
	}
	for (size_t i = 0; i < fleet->workspaces_count; i++) {
		struct fleet_workspace *workspace = fleet->workspaces[i];
		double used = fleet_resources_part(
		    &workspace->committed, &fleet->capacity);

		workspace->overuse = weights == 0
		    ? 0
		    : used * (double)weights / weight_of(workspace) - 1;
	}
	cds_list_for_each_entry (job, &fleet->active, active)
		job->pass_ms = pass_ms(fleet, job->spec);
}

static int64_t
overuse_ms(const struct fleet_workspace *workspace)
{
	double late_ms = workspace->overuse * OVERUSE_MS;

	if (late_ms <= 0)
		return 0;
	return late_ms < MAX_OVERUSE_MS ? (int64_t)late_ms : MAX_OVERUSE_MS;
}

/* Returns when the occurrence joins by what is left of its objective. */
static int64_t
objective_joins_ms(
    const struct fleet_occurrence *occurrence, uint32_t step, int64_t now_ms)
{
	const struct fleet_job *job = occurrence->job;
	int64_t objective_ms = job->objective_ms;
	int64_t in_time_ms =
	    occurrence->ready_ms + objective_ms - job->chain_ms[step];
	int64_t useful_ms = in_time_ms + (USEFUL_OBJECTIVES - 1) * objective_ms;

	if (now_ms <= in_time_ms || in_time_ms < occurrence->ready_ms)
		return occurrence->ready_ms;
	return now_ms <= useful_ms ? in_time_ms : useful_ms;
}

int64_t
fleet_rank_joins_ms(
    const struct fleet_occurrence *occurrence, uint32_t step, int64_t now_ms)
{
	return objective_joins_ms(occurrence, step, now_ms) +
	    occurrence->job->pass_ms + overuse_ms(occurrence->job->workspace);
}
