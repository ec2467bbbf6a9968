#include "process/job_shape.h"

static uint32_t
claims_of_others(
    const struct cluster *cluster, uint32_t worker, uint32_t workspace)
{
	uint32_t claims = 0;

	for (uint32_t i = 0; i < cluster->shares_per_worker; i++) {
		if (i != workspace)
			claims += cluster_share(cluster, worker, i)->claim;
	}
	return claims;
}

static uint64_t
tasks_on_worker(const struct cluster *cluster, const struct scheduler_job *job,
    uint32_t workspace, uint32_t worker)
{
	uint32_t capacity = cluster->workers[worker].capacity;

	if (!job->idempotent && !job->checkpointable)
		capacity -= claims_of_others(cluster, worker, workspace);
	return capacity / job->accelerators_per_task;
}

static uint64_t
tasks_in_rack(const struct cluster *cluster, const struct scheduler_job *job,
    uint32_t workspace, const struct cluster_rack *rack)
{
	uint64_t tasks = 0;

	for (uint32_t i = 0; i < rack->workers_count; i++)
		tasks += tasks_on_worker(
		    cluster, job, workspace, rack->first_worker + i);
	return tasks;
}

static uint64_t
max_tasks_in_zone(const struct cluster *cluster,
    const struct scheduler_job *job, uint32_t workspace)
{
	uint64_t max_tasks = 0;

	for (uint32_t zone = 0; zone < cluster->zones_count; zone++) {
		uint64_t tasks = 0;

		for (size_t i = 0; i < cluster->racks_count; i++) {
			if (cluster->racks[i].zone == zone)
				tasks += tasks_in_rack(cluster, job, workspace,
				    &cluster->racks[i]);
		}
		max_tasks = tasks > max_tasks ? tasks : max_tasks;
	}
	return max_tasks;
}

uint64_t
job_shape_max_tasks(const struct cluster *cluster,
    const struct scheduler_job *job, uint32_t workspace)
{
	uint64_t max_tasks = 0;
	uint64_t sum = 0;

	if (job->adjacency == IBIS__ADJACENCY__ADJACENCY_ZONE)
		return max_tasks_in_zone(cluster, job, workspace);
	if (job->adjacency == IBIS__ADJACENCY__ADJACENCY_WORKER) {
		for (uint32_t i = 0; i < cluster->workers_count; i++) {
			sum = tasks_on_worker(cluster, job, workspace, i);
			max_tasks = sum > max_tasks ? sum : max_tasks;
		}
		return max_tasks;
	}
	for (size_t i = 0; i < cluster->racks_count; i++) {
		uint64_t tasks =
		    tasks_in_rack(cluster, job, workspace, &cluster->racks[i]);

		sum += tasks;
		max_tasks = tasks > max_tasks ? tasks : max_tasks;
	}
	return job->adjacency == IBIS__ADJACENCY__ADJACENCY_RACK ? max_tasks
								 : sum;
}
