/* Room kept free for urgent jobs. */
#include <string.h>

#include "fleet/fleet_headroom.h"

/* The highest need of urgent jobs counts for this long. */
#define PEAK_WINDOW_MS 10000
/* A stop matters if it takes more than this part of an urgent job's slack. */
#define STOP_PART_OF_SLACK 0.25
/* Weight of a new job in the moving average of the slack. */
#define SLACK_WEIGHT 0.2
/* At most this part of the workers is kept, and only while more than the other
 * part is in use. */
#define MAX_KEPT_PART	   0.25
#define MIN_USED_PART	   0.5
#define UPDATE_INTERVAL_MS 500

static bool
is_in_service(const struct fleet_worker *worker)
{
	return worker->listed && !worker->entry.draining &&
	    !worker->zone_out_of_service && fleet_worker_answers(worker);
}

/* The workers in service and their use. */
struct totals {
	uint32_t workers;
	struct fleet_resources all;
	struct fleet_resources used;
};

static struct totals
add_up_workers(const struct fleet *fleet)
{
	struct totals totals = {0};

	for (size_t i = 0; i < fleet->workers.count; i++) {
		const struct fleet_worker *worker =
		    fleet->workers.items[i].item;

		if (!is_in_service(worker))
			continue;
		totals.workers++;
		fleet_resources_add(&totals.all, &worker->resources);
		fleet_resources_add(&totals.used, &worker->committed);
	}
	return totals;
}

/* Returns the workers that the unfinished tasks of an urgent job's steps take
 * that are ready. */
static double
workers_needed(
    const struct fleet_job *job, const struct fleet_resources *worker)
{
	double needed = 0;

	for (size_t i = 0; i < job->occurrences_count; i++) {
		const struct fleet_occurrence *occurrence = job->occurrences[i];

		for (uint32_t j = 0; j < job->tasks_count; j++) {
			const struct fleet_task *task = &occurrence->tasks[j];
			struct fleet_resources need;

			if (task->state == TASK_DONE ||
			    !fleet_step_ready(occurrence, task->step))
				continue;
			need = fleet_task_need(task);
			needed += fleet_resources_part(&need, worker);
		}
	}
	return needed;
}

/* Takes the slack of urgent jobs that are new into the average, and returns the
 * workers that all urgent jobs need. */
static double
urgent_need(struct fleet *fleet, const struct fleet_resources *worker)
{
	struct fleet_headroom *headroom = &fleet->headroom;
	struct fleet_job *job;
	double needed = 0;

	cds_list_for_each_entry (job, &fleet->active, active) {
		double slack_ms;

		if (job->spec->priority != 0 || job->cancelled ||
		    fleet_job_final(job))
			continue;
		needed += workers_needed(job, worker);
		if (job->slack_counted)
			continue;
		job->slack_counted = true;
		slack_ms = (double)(job->objective_ms - job->longest_ms);
		headroom->slack_ms = headroom->slack_ms == 0
		    ? slack_ms
		    : headroom->slack_ms * (1 - SLACK_WEIGHT) +
			slack_ms * SLACK_WEIGHT;
	}
	return needed;
}

static void
update_peak(struct fleet_headroom *headroom, double needed, int64_t now_ms)
{
	if (needed >= headroom->peak_workers ||
	    now_ms - headroom->peak_ms > PEAK_WINDOW_MS) {
		headroom->peak_workers = needed;
		headroom->peak_ms = now_ms;
	}
}

/* Returns how many workers are to be kept. */
static uint32_t
workers_to_keep(const struct fleet *fleet, const struct totals *totals)
{
	const struct fleet_headroom *headroom = &fleet->headroom;
	uint32_t most = (uint32_t)(MAX_KEPT_PART * totals->workers);
	uint32_t wanted = (uint32_t)(headroom->peak_workers + 1);

	if (headroom->slack_ms <= 0 || headroom->peak_workers <= 0 ||
	    fleet->config.stop_timeout_ms <
		headroom->slack_ms * STOP_PART_OF_SLACK ||
	    fleet_resources_part(&totals->used, &totals->all) < MIN_USED_PART)
		return 0;
	return wanted < most ? wanted : most;
}

/* Returns the cost of keeping a worker, by what else it runs. */
static int64_t
cost_of_keeping(const struct fleet_worker *worker)
{
	const struct fleet_task *task;
	int64_t cost = 0;

	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		struct fleet_resources need = fleet_task_need(task);

		if (task->occurrence->job->spec->priority > 0 &&
		    fleet_task_is_committed(task->state))
			cost += fleet_resources_weight(&need);
	}
	return cost;
}

/* Returns the rack whose workers aren't kept yet and cost least to keep, by
 * worker; one that was kept before is preferred. NULL: all are kept. */
static const char *
cheapest_rack(const struct fleet *fleet)
{
	const char *best = NULL;
	double best_cost = 0;

	for (size_t i = 0; i < fleet->workers.count; i++) {
		const struct fleet_worker *first = fleet->workers.items[i].item;
		const char *rack = first->entry.rack;
		int64_t cost = 0;
		uint32_t workers = 0;
		bool before = false;

		if (first->kept || !is_in_service(first))
			continue;
		for (size_t j = 0; j < fleet->workers.count; j++) {
			const struct fleet_worker *worker =
			    fleet->workers.items[j].item;

			if (strcmp(worker->entry.rack, rack) != 0 ||
			    !is_in_service(worker))
				continue;
			workers++;
			before |= worker->was_kept;
			cost += cost_of_keeping(worker);
		}
		if (before)
			return rack;
		if (best == NULL || (double)cost / workers < best_cost) {
			best = rack;
			best_cost = (double)cost / workers;
		}
	}
	return best;
}

static uint32_t
keep_rack(struct fleet *fleet, const char *rack)
{
	uint32_t kept = 0;

	for (size_t i = 0; i < fleet->workers.count; i++) {
		struct fleet_worker *worker = fleet->workers.items[i].item;

		if (strcmp(worker->entry.rack, rack) == 0 &&
		    is_in_service(worker)) {
			worker->kept = true;
			kept++;
		}
	}
	return kept;
}

/* Chooses the workers that are kept. Returns how many there are. */
static uint32_t
choose_kept(struct fleet *fleet, int64_t now_ms)
{
	struct fleet_headroom *headroom = &fleet->headroom;
	struct fleet_resources average;
	struct totals totals;
	uint32_t wanted;
	uint32_t kept = 0;

	totals = add_up_workers(fleet);
	if (totals.workers == 0)
		return 0;
	average = (struct fleet_resources){
	    .cpu_milli = totals.all.cpu_milli / totals.workers,
	    .memory_mb = totals.all.memory_mb / totals.workers,
	    .accelerators = totals.all.accelerators / totals.workers,
	};
	update_peak(headroom, urgent_need(fleet, &average), now_ms);
	wanted = workers_to_keep(fleet, &totals);
	for (size_t i = 0; i < fleet->workers.count; i++) {
		struct fleet_worker *worker = fleet->workers.items[i].item;

		worker->was_kept = worker->kept;
		worker->kept = false;
	}
	while (kept < wanted) {
		const char *rack = cheapest_rack(fleet);

		if (rack == NULL)
			break;
		kept += keep_rack(fleet, rack);
	}
	return kept;
}

void
fleet_headroom_update(struct fleet *fleet, int64_t now_ms)
{
	struct fleet_headroom *headroom = &fleet->headroom;

	if (now_ms >= headroom->next_update_ms) {
		headroom->next_update_ms = now_ms + UPDATE_INTERVAL_MS;
		headroom->kept = choose_kept(fleet, now_ms);
	}
	/* What is kept has to be given back even if nothing else changes. */
	if (headroom->kept > 0)
		fleet_schedule_placement(fleet, headroom->next_update_ms);
}

bool
fleet_headroom_allows(const struct fleet_worker *worker,
    const struct fleet_job *job, const Ibis__JobStep *step)
{
	if (!worker->kept || job->spec->priority == 0)
		return true;
	/* Work that belongs there, or may have no other place. */
	return step->lasting || *step->label != '\0' ||
	    strcmp(step->data_rack, worker->entry.rack) == 0;
}

bool
fleet_headroom_exempts(const struct fleet *fleet, const Ibis__JobStep *step)
{
	return fleet->headroom.kept > 0 &&
	    (step->lasting || *step->label != '\0' || *step->data_rack != '\0');
}
