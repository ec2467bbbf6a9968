/* Placement: finds workers with free capacity for the waiting tasks of one
 * step. */
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_headroom.h"
#include "fleet/fleet_search.h"
#include "process/alloc.h"

/* Slowness from which a worker counts as slow or very slow. */
#define SLOW_THRESHOLD	    1.15
#define VERY_SLOW_THRESHOLD 2.0
/* An accelerator has the weight of this many cores. */
#define CORES_PER_ACCELERATOR 16
#define MILLI_PER_CORE	      1000
/* Longest wait for the preferred rack while other workers are mostly idle. */
#define IDLE_RACK_WAIT_MS 2000

struct fleet_search
fleet_search_begin(struct fleet *fleet, struct fleet_task *const *tasks,
    size_t count, int64_t now_ms)
{
	const Ibis__JobStep *step = fleet_step_of(tasks[0]);

	fleet->searches++;
	fleet->visits += fleet->workers.count;
	fleet->candidates =
	    mem_grow(fleet->candidates, &fleet->candidates_capacity,
		fleet->workers.count + 1, sizeof(struct fleet_candidate));
	return (struct fleet_search){
	    .fleet = fleet,
	    .job = tasks[0]->occurrence->job,
	    .step = step,
	    .need = fleet_step_need(step),
	    .tasks = tasks,
	    .wanted = count,
	    .suspect = fleet_is_suspect(tasks[0]),
	    .candidates = fleet->candidates,
	    .now_ms = now_ms,
	};
}

/* Counts the tasks of the same step and occurrence on a worker. */
static uint32_t
count_same_step(
    const struct fleet_search *search, const struct fleet_worker *worker)
{
	struct fleet_occurrence *occurrence = search->tasks[0]->occurrence;
	uint32_t count = 0;
	struct fleet_task *task;

	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		search->fleet->visits++;
		if (task->occurrence == occurrence &&
		    task->step == search->tasks[0]->step)
			count++;
	}
	return count;
}

uint32_t
fleet_search_limit(
    const struct fleet_search *search, const struct fleet_worker *worker)
{
	uint32_t limit = (uint32_t)search->wanted;
	uint32_t present;

	if (search->step->max_per_worker == 0)
		return limit;
	present = count_same_step(search, worker);
	if (present >= search->step->max_per_worker)
		return 0;
	return search->step->max_per_worker - present < limit
	    ? search->step->max_per_worker - present
	    : limit;
}

int64_t
fleet_resources_weight(const struct fleet_resources *resources)
{
	return resources->accelerators * CORES_PER_ACCELERATOR +
	    resources->cpu_milli / MILLI_PER_CORE;
}

/* Very slow workers are the last choice for all jobs. Urgent jobs also rank
 * slow workers lower; other jobs do not, which leaves the faster ones to urgent
 * jobs. */
uint32_t
fleet_search_speed_rank(
    const struct fleet_search *search, const struct fleet_worker *worker)
{
	double slowness = fleet_slowness(worker, search->now_ms);

	if (slowness >= VERY_SLOW_THRESHOLD)
		return 2;
	if (search->job->spec->priority == 0)
		return slowness >= SLOW_THRESHOLD;
	return 0;
}

static int
compare_candidates(const void *left, const void *right)
{
	const struct fleet_candidate *a = left;
	const struct fleet_candidate *b = right;

	if (a->speed_rank != b->speed_rank)
		return a->speed_rank < b->speed_rank ? -1 : 1;
	if (a->cost != b->cost)
		return a->cost < b->cost ? -1 : 1;
	return strcmp(a->worker->entry.id, b->worker->entry.id);
}

void
fleet_search_sort(struct fleet_search *search)
{
	if (search->candidates != NULL)
		qsort(search->candidates, search->count,
		    sizeof(*search->candidates), compare_candidates);
}

bool
fleet_search_allows(
    const struct fleet_search *search, const struct fleet_worker *worker)
{
	return worker->isolated_tasks == 0 &&
	    fleet_headroom_allows(worker, search->job, search->step) &&
	    fleet_worker_usable(
		worker, search->job, search->step, search->now_ms);
}

/* Returns the cost of a worker for placement. Most tasks go where the least
 * capacity is left. A suspect goes where it harms few: to an idle worker, and
 * rather where nothing has just begun, as its start has to wait for that. */
static int64_t
placement_cost(const struct fleet_search *search,
    const struct fleet_worker *worker, const struct fleet_resources *left)
{
	int64_t weight = fleet_resources_weight(left);

	if (!search->suspect)
		return weight;
	if (fleet_worker_has_unsettled(worker, NULL))
		return INT32_MAX - weight;
	return -weight;
}

void
fleet_search_note_pause(
    struct fleet_search *search, const struct fleet_worker *worker)
{
	int64_t until_ms = fleet_worker_paused_until_ms(worker, search->job);

	if (until_ms <= search->now_ms)
		return;
	search->paused_for_job |=
	    !fleet_worker_paused_for_all(worker, search->now_ms);
	fleet_schedule_placement(search->fleet, until_ms);
}

static void
collect_candidates(struct fleet_search *search)
{
	struct fleet *fleet = search->fleet;

	for (size_t i = 0; i < fleet->workers.count; i++) {
		struct fleet_worker *worker = fleet->workers.items[i].item;
		struct fleet_resources left =
		    fleet_worker_free_capacity(worker);
		uint32_t fits;

		/* Most workers are full when many jobs wait, so this is checked
		 * first. */
		if (fleet_resources_fit(&left, &search->need, 1) == 0)
			continue;
		if (!fleet_search_allows(search, worker)) {
			fleet_search_note_pause(search, worker);
			continue;
		}
		fits = fleet_resources_fit(
		    &left, &search->need, fleet_search_limit(search, worker));
		if (fits == 0)
			continue;
		search->candidates[search->count++] = (struct fleet_candidate){
		    .worker = worker,
		    .fits = fits,
		    .speed_rank = fleet_search_speed_rank(search, worker),
		    .cost = placement_cost(search, worker, &left),
		};
	}
	fleet_search_sort(search);
}

bool
fleet_search_in_rack(const struct fleet_worker *worker, const char *rack)
{
	if (rack == NULL)
		return true;
	return worker != NULL && strcmp(worker->entry.rack, rack) == 0;
}

uint32_t
fleet_search_fits(const struct fleet_search *search, const char *rack)
{
	uint32_t fits = 0;

	for (size_t i = 0; i < search->count; i++) {
		if (fleet_search_in_rack(search->candidates[i].worker, rack))
			fits += search->candidates[i].fits;
	}
	return fits;
}

/* Assigns the wanted tasks to candidates in a rack, those with the least free
 * capacity first. NULL is any rack. Returns how many were assigned. */
static size_t
fill_targets(const struct fleet_search *search, const char *rack,
    struct fleet_worker **targets)
{
	size_t found = 0;

	for (size_t i = 0; i < search->count && found < search->wanted; i++) {
		const struct fleet_candidate *candidate =
		    &search->candidates[i];

		if (!fleet_search_in_rack(candidate->worker, rack))
			continue;
		for (uint32_t j = 0;
		     j < candidate->fits && found < search->wanted; j++)
			targets[found++] = candidate->worker;
	}
	return found;
}

/* What fits in a rack. */
struct rack_room {
	const char *rack;
	size_t first; /* index of the first worker that counts */
	uint64_t fits;
};

static int
compare_rooms(const void *left, const void *right)
{
	const struct rack_room *a = left;
	const struct rack_room *b = right;
	int order = strcmp(a->rack, b->rack);

	if (order != 0)
		return order;
	return a->first < b->first ? -1 : a->first > b->first;
}

/* Sorts what fits on single workers by rack, and adds up each rack's. Returns
 * the number of racks. */
static size_t
add_up_racks(struct rack_room *rooms, size_t count)
{
	size_t racks = 0;

	if (count == 0)
		return 0;
	qsort(rooms, count, sizeof(*rooms), compare_rooms);
	for (size_t i = 1; i < count; i++) {
		if (strcmp(rooms[i].rack, rooms[racks].rack) == 0)
			rooms[racks].fits += rooms[i].fits;
		else
			rooms[++racks] = rooms[i];
	}
	return racks + 1;
}

/* Returns the rack that fits all wanted tasks and has the least capacity beyond
 * them, or NULL. */
static const char *
best_fit_rack(const struct fleet_search *search)
{
	struct rack_room *rooms = mem_calloc(search->count, sizeof(*rooms));
	const struct rack_room *best = NULL;
	const char *rack = NULL;
	size_t racks;

	for (size_t i = 0; i < search->count; i++)
		rooms[i] = (struct rack_room){
		    .rack = search->candidates[i].worker->entry.rack,
		    .first = i,
		    .fits = search->candidates[i].fits,
		};
	racks = add_up_racks(rooms, search->count);
	for (size_t i = 0; i < racks; i++) {
		if (rooms[i].fits < search->wanted)
			continue;
		if (best == NULL || rooms[i].fits < best->fits ||
		    (rooms[i].fits == best->fits &&
			rooms[i].first < best->first))
			best = &rooms[i];
	}
	if (best != NULL)
		rack = best->rack;
	mem_free(rooms);
	return rack;
}

/* Returns whether count tasks of the step would fit in an empty rack. */
static bool
empty_rack_fits(
    const struct fleet_search *search, const char *rack, uint32_t count)
{
	struct fleet *fleet = search->fleet;
	uint64_t fits = 0;

	fleet->visits += fleet->workers.count;
	for (size_t i = 0; i < fleet->workers.count; i++) {
		struct fleet_worker *worker = fleet->workers.items[i].item;

		if (fleet_search_in_rack(worker, rack) &&
		    fleet_worker_usable(
			worker, search->job, search->step, search->now_ms))
			fits += fleet_resources_fit(
			    &worker->resources, &search->need, count);
	}
	return fits >= count;
}

bool
fleet_search_fits_empty_rack(const struct fleet_search *search)
{
	struct fleet *fleet = search->fleet;
	struct rack_room *rooms =
	    mem_calloc(fleet->workers.count, sizeof(*rooms));
	size_t count = 0;
	size_t racks;
	bool fits = false;

	fleet->visits += fleet->workers.count;
	for (size_t i = 0; i < fleet->workers.count; i++) {
		struct fleet_worker *worker = fleet->workers.items[i].item;

		if (fleet_worker_usable(
			worker, search->job, search->step, search->now_ms))
			rooms[count++] = (struct rack_room){
			    .rack = worker->entry.rack,
			    .first = i,
			    .fits = fleet_resources_fit(&worker->resources,
				&search->need, (uint32_t)search->wanted),
			};
	}
	racks = add_up_racks(rooms, count);
	for (size_t i = 0; i < racks; i++)
		fits |= rooms[i].fits >= search->wanted;
	mem_free(rooms);
	return fits;
}

/* Returns whether most of the usable workers' capacity is free. */
static bool
is_mostly_idle(const struct fleet_search *search)
{
	struct fleet *fleet = search->fleet;
	int64_t all = 0;
	int64_t used = 0;

	for (size_t i = 0; i < fleet->workers.count; i++) {
		struct fleet_worker *worker = fleet->workers.items[i].item;

		if (!fleet_worker_usable(
			worker, search->job, search->step, search->now_ms))
			continue;
		all += fleet_resources_weight(&worker->resources);
		used += fleet_resources_weight(&worker->committed);
	}
	return used * 2 < all;
}

/* Returns how long a step may wait for the rack it prefers: at most the run
 * time that it would lose in another one. */
static int64_t
rack_wait_limit_ms(const struct fleet_search *search)
{
	int64_t limit_ms = (int64_t)((search->fleet->config.remote_factor - 1) *
	    (double)search->step->estimate_ms);

	if (limit_ms > IDLE_RACK_WAIT_MS && is_mostly_idle(search))
		return IDLE_RACK_WAIT_MS;
	return limit_ms;
}

bool
fleet_search_may_wait(const struct fleet_search *search)
{
	int64_t since_ms = search->tasks[0]->waiting_since_ms;
	int64_t until_ms;

	if (since_ms == 0)
		since_ms = search->tasks[0]->occurrence->ready_ms;
	until_ms = since_ms + rack_wait_limit_ms(search);

	if (search->now_ms >= until_ms)
		return false;
	fleet_schedule_placement(search->fleet, until_ms);
	return true;
}

/* Returns whether a gang may wait for a rack that would fit it if empty. */
static bool
gang_may_wait(const struct fleet_search *search)
{
	const char *rack = search->step->data_rack;

	if (search->step->same_rack)
		return fleet_search_fits_empty_rack(search) &&
		    fleet_search_may_wait(search);
	return *rack != '\0' &&
	    empty_rack_fits(search, rack, (uint32_t)search->wanted) &&
	    fleet_search_may_wait(search);
}

static size_t
find_for_gang(const struct fleet_search *search, struct fleet_worker **targets)
{
	const char *rack =
	    *search->step->data_rack == '\0' ? NULL : search->step->data_rack;

	if (rack != NULL && fleet_search_fits(search, rack) >= search->wanted)
		return fill_targets(search, rack, targets);
	rack = search->step->same_rack ? best_fit_rack(search) : NULL;
	if (rack != NULL)
		return fill_targets(search, rack, targets);
	if (gang_may_wait(search))
		return 0;
	return fill_targets(search, NULL, targets);
}

static size_t
find_for_single_tasks(
    const struct fleet_search *search, struct fleet_worker **targets)
{
	const char *rack = search->step->data_rack;

	if (*rack == '\0')
		return fill_targets(search, NULL, targets);
	if (fleet_search_fits(search, rack) > 0)
		return fill_targets(search, rack, targets);
	if (empty_rack_fits(search, rack, 1) && fleet_search_may_wait(search))
		return 0;
	return fill_targets(search, NULL, targets);
}

size_t
fleet_find_targets(struct fleet *fleet, struct fleet_task *const *tasks,
    size_t count, struct fleet_worker **targets, int64_t now_ms)
{
	const struct fleet_job *job = tasks[0]->occurrence->job;
	const Ibis__JobStep *step = fleet_step_of(tasks[0]);
	struct fleet_search search;
	size_t wanted = step->gang ? count : 1;
	uint32_t fits;

	if (!fleet_headroom_exempts(fleet, step) &&
	    fleet_unmet_covers(fleet, FLEET_SEARCH_FREE, job, step, wanted))
		return 0;
	search = fleet_search_begin(fleet, tasks, count, now_ms);
	collect_candidates(&search);
	fits = fleet_search_fits(&search, NULL);
	if (fits < wanted) {
		if (!search.paused_for_job)
			fleet_unmet_add(
			    fleet, FLEET_SEARCH_FREE, job, step, fits);
		return 0;
	}
	return step->gang ? find_for_gang(&search, targets)
			  : find_for_single_tasks(&search, targets);
}
