/* Room kept free for urgent jobs. */
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_headroom.h"
#include "process/alloc.h"

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

/* Returns the workers that the unfinished tasks of a step take. */
static double
workers_for_step(const struct fleet_occurrence *occurrence, uint32_t step,
    const struct fleet_resources *worker)
{
	const Ibis__JobStep *spec = occurrence->job->spec->steps[step];
	const struct fleet_task *tasks = fleet_step_tasks(occurrence, step);
	struct fleet_resources need = fleet_step_need(spec);
	uint32_t unfinished = 0;

	for (uint32_t i = 0; i < spec->tasks; i++)
		unfinished += tasks[i].state != TASK_DONE;
	return unfinished * fleet_resources_part(&need, worker);
}

/* Returns the workers that an urgent job's steps take that are ready. */
static double
workers_for_job(
    const struct fleet_job *job, const struct fleet_resources *worker)
{
	double workers = 0;

	for (size_t i = 0; i < job->occurrences_count; i++) {
		const struct fleet_occurrence *occurrence = job->occurrences[i];

		for (uint32_t step = 0; step < job->spec->n_steps; step++) {
			if (fleet_step_ready(occurrence, step))
				workers +=
				    workers_for_step(occurrence, step, worker);
		}
	}
	return workers;
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
		needed += workers_for_job(job, worker);
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

/* The workers of a rack that are in service. */
struct rack {
	const char *name;
	uint32_t workers;
	int64_t cost; /* of keeping them */
	bool kept;    /* before */
};

/* Sorts racks that were kept first, then by the cost of a worker. */
static int
compare_racks(const void *left, const void *right)
{
	const struct rack *a = left;
	const struct rack *b = right;
	double cost_a = (double)a->cost / a->workers;
	double cost_b = (double)b->cost / b->workers;

	if (a->kept != b->kept)
		return a->kept ? -1 : 1;
	if (cost_a != cost_b)
		return cost_a < cost_b ? -1 : 1;
	return strcmp(a->name, b->name);
}

/* Returns the rack with this name, which is added if needed. */
static struct rack *
find_rack(struct rack *racks, size_t *count, const char *name)
{
	for (size_t i = 0; i < *count; i++) {
		if (strcmp(racks[i].name, name) == 0)
			return &racks[i];
	}
	racks[*count] = (struct rack){.name = name};
	return &racks[(*count)++];
}

/* Fills racks, which has an element for each worker, with those of the workers
 * in service, best to keep first. Returns their number. */
static size_t
collect_racks(const struct fleet *fleet, struct rack *racks)
{
	size_t count = 0;

	for (size_t i = 0; i < fleet->workers.count; i++) {
		const struct fleet_worker *worker =
		    fleet->workers.items[i].item;
		struct rack *rack;

		if (!is_in_service(worker))
			continue;
		rack = find_rack(racks, &count, worker->entry.rack);
		rack->workers++;
		rack->cost += cost_of_keeping(worker);
		rack->kept |= worker->kept;
	}
	qsort(racks, count, sizeof(*racks), compare_racks);
	return count;
}

/* Keeps whole racks until enough workers are kept. Returns how many are. */
static uint32_t
keep_racks(struct fleet *fleet, uint32_t wanted)
{
	struct rack *racks = mem_calloc(fleet->workers.count, sizeof(*racks));
	size_t all = collect_racks(fleet, racks);
	size_t chosen = 0;
	uint32_t kept = 0;

	while (chosen < all && kept < wanted)
		kept += racks[chosen++].workers;
	for (size_t i = 0; i < fleet->workers.count; i++) {
		struct fleet_worker *worker = fleet->workers.items[i].item;

		worker->kept = false;
		for (size_t j = 0; j < chosen && is_in_service(worker); j++)
			worker->kept |=
			    strcmp(racks[j].name, worker->entry.rack) == 0;
	}
	mem_free(racks);
	return kept;
}

/* Chooses the workers that are kept. Returns how many there are. */
static uint32_t
choose_kept(struct fleet *fleet, int64_t now_ms)
{
	struct fleet_headroom *headroom = &fleet->headroom;
	struct fleet_resources average;
	struct totals totals = add_up_workers(fleet);

	if (totals.workers == 0)
		return 0;
	average = (struct fleet_resources){
	    .cpu_milli = totals.all.cpu_milli / totals.workers,
	    .memory_mb = totals.all.memory_mb / totals.workers,
	    .accelerators = totals.all.accelerators / totals.workers,
	};
	update_peak(headroom, urgent_need(fleet, &average), now_ms);
	return keep_racks(fleet, workers_to_keep(fleet, &totals));
}

void
fleet_headroom_update(struct fleet *fleet, int64_t now_ms)
{
	struct fleet_headroom *headroom = &fleet->headroom;

	if (fleet->config.stop_timeout_ms == 0)
		return;
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
