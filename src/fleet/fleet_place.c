/* Finds workers for the waiting tasks of one step. */
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_model.h"
#include "process/alloc.h"

/* A worker that could take tasks of the step. */
struct candidate {
	struct fleet_worker *worker;
	uint32_t fits;
	uint32_t speed_rank; /* by how well its speed suits; 0 is best */
	int64_t left; /* accelerators and cores that stay free, weighed */
};

struct search {
	struct fleet *fleet;
	const struct fleet_job *job;
	const Ibis__JobStep *step;
	struct fleet_room need;
	struct fleet_task *const *tasks;
	size_t wanted;
	struct candidate *candidates; /* owned */
	size_t count;
	int64_t now_ms;
};

/* From here on a worker is slower than it ought to be. */
#define SOMEWHAT_SLOW 1.15
#define VERY_SLOW     2.0
/* One accelerator weighs as much as this many cores. */
#define CORES_PER_ACCELERATOR 16
#define MILLI_PER_CORE	      1000

static void
free_search(struct search *search)
{
	mem_free(search->candidates);
}

/* Tasks of the same step and occurrence that a worker has already. */
static uint32_t
same_step_on(const struct search *search, const struct fleet_worker *worker)
{
	struct fleet_occurrence *occurrence = search->tasks[0]->occurrence;
	uint32_t count = 0;
	struct fleet_task *task;

	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		if (task->occurrence == occurrence &&
		    task->step == search->tasks[0]->step)
			count++;
	}
	return count;
}

static uint32_t
limit_per_worker(const struct search *search, const struct fleet_worker *worker)
{
	uint32_t limit = (uint32_t)search->wanted;
	uint32_t present;

	if (search->step->max_per_worker == 0)
		return limit;
	present = same_step_on(search, worker);
	if (present >= search->step->max_per_worker)
		return 0;
	return search->step->max_per_worker - present < limit
	    ? search->step->max_per_worker - present
	    : limit;
}

static int64_t
weigh(const struct fleet_room *room)
{
	return room->accelerators * CORES_PER_ACCELERATOR +
	    room->cpu_milli / MILLI_PER_CORE;
}

/* Urgent work goes to the fastest; other work leaves these to it. */
static uint32_t
speed_rank(const struct search *search, const struct fleet_worker *worker)
{
	double slowness = fleet_slowness(worker, search->now_ms);

	if (slowness >= VERY_SLOW)
		return 2;
	if (search->job->spec->priority == 0)
		return slowness >= SOMEWHAT_SLOW;
	return 0;
}

static int
compare_left(const void *left, const void *right)
{
	const struct candidate *a = left;
	const struct candidate *b = right;

	if (a->speed_rank != b->speed_rank)
		return a->speed_rank < b->speed_rank ? -1 : 1;
	if (a->left != b->left)
		return a->left < b->left ? -1 : 1;
	return strcmp(a->worker->entry.id, b->worker->entry.id);
}

static void
sort_candidates(struct search *search)
{
	if (search->candidates != NULL)
		qsort(search->candidates, search->count,
		    sizeof(*search->candidates), compare_left);
}

static void
open_search(struct search *search)
{
	struct fleet *fleet = search->fleet;

	search->candidates =
	    mem_calloc(fleet->workers.count + 1, sizeof(*search->candidates));
	search->need = fleet_need(search->step);
	for (size_t i = 0; i < fleet->workers.count; i++) {
		struct fleet_worker *worker = fleet->workers.items[i].item;
		struct fleet_room left;
		uint32_t fits;

		if (!fleet_worker_usable(
			worker, search->job, search->step, search->now_ms)) {
			if (worker->avoid_until_ms > search->now_ms)
				fleet_place_at(fleet, worker->avoid_until_ms);
			continue;
		}
		left = fleet_free_room(worker);
		fits = fleet_room_fits(
		    &left, &search->need, limit_per_worker(search, worker));
		if (fits == 0)
			continue;
		search->candidates[search->count++] = (struct candidate){
		    .worker = worker,
		    .fits = fits,
		    .speed_rank = speed_rank(search, worker),
		    .left = weigh(&left),
		};
	}
	sort_candidates(search);
}

static bool
in_rack(const struct fleet_worker *worker, const char *rack)
{
	if (rack == NULL)
		return true;
	return worker != NULL && strcmp(worker->entry.rack, rack) == 0;
}

static uint32_t
fits_in_rack(const struct search *search, const char *rack)
{
	uint32_t fits = 0;

	for (size_t i = 0; i < search->count; i++) {
		if (in_rack(search->candidates[i].worker, rack))
			fits += search->candidates[i].fits;
	}
	return fits;
}

/* Fills the fullest workers first. NULL is any rack. */
static size_t
fill(const struct search *search, const char *rack,
    struct fleet_worker **targets)
{
	size_t found = 0;

	for (size_t i = 0; i < search->count && found < search->wanted; i++) {
		const struct candidate *candidate = &search->candidates[i];

		if (!in_rack(candidate->worker, rack))
			continue;
		for (uint32_t j = 0;
		     j < candidate->fits && found < search->wanted; j++)
			targets[found++] = candidate->worker;
	}
	return found;
}

/* The rack that fits all and is left with the least, or NULL. */
static const char *
tightest_rack(const struct search *search)
{
	const char *best = NULL;
	uint32_t best_fits = 0;

	for (size_t i = 0; i < search->count; i++) {
		const char *rack = search->candidates[i].worker->entry.rack;
		uint32_t fits = fits_in_rack(search, rack);

		if (fits < search->wanted)
			continue;
		if (best == NULL || fits < best_fits) {
			best = rack;
			best_fits = fits;
		}
	}
	return best;
}

/* Tells whether a rack could take all of the step if it were empty. */
static bool
rack_could_ever(const struct search *search)
{
	struct fleet *fleet = search->fleet;

	for (size_t i = 0; i < fleet->workers.count; i++) {
		struct fleet_worker *worker = fleet->workers.items[i].item;
		uint64_t fits = 0;

		for (size_t j = 0; j < fleet->workers.count; j++) {
			struct fleet_worker *other =
			    fleet->workers.items[j].item;

			if (in_rack(other, worker->entry.rack) &&
			    fleet_worker_usable(other, search->job,
				search->step, search->now_ms))
				fits += fleet_room_fits(&other->entry.room,
				    &search->need, (uint32_t)search->wanted);
		}
		if (fits >= search->wanted)
			return true;
	}
	return false;
}

/* How long a step may wait for the rack it wants. */
static int64_t
patience_ms(const struct search *search)
{
	return (int64_t)((search->fleet->config.remote_factor - 1) *
	    (double)search->step->estimate_ms);
}

static bool
still_patient(const struct search *search)
{
	int64_t since_ms = search->tasks[0]->waits_since_ms;
	int64_t until_ms;

	if (since_ms == 0)
		since_ms = search->tasks[0]->occurrence->ready_ms;
	until_ms = since_ms + patience_ms(search);

	if (search->now_ms >= until_ms)
		return false;
	fleet_place_at(search->fleet, until_ms);
	return true;
}

static size_t
find_gang(const struct search *search, struct fleet_worker **targets)
{
	const char *rack =
	    *search->step->data_rack == '\0' ? NULL : search->step->data_rack;

	if (rack != NULL && fits_in_rack(search, rack) >= search->wanted)
		return fill(search, rack, targets);
	if (search->step->same_rack || rack != NULL) {
		rack = search->step->same_rack ? tightest_rack(search) : NULL;
		if (rack != NULL)
			return fill(search, rack, targets);
		if (rack_could_ever(search) && still_patient(search))
			return 0;
	}
	if (fits_in_rack(search, NULL) < search->wanted)
		return 0;
	return fill(search, NULL, targets);
}

static size_t
find_single(const struct search *search, struct fleet_worker **targets)
{
	const char *rack = search->step->data_rack;

	if (*rack == '\0')
		return fill(search, NULL, targets);
	if (fits_in_rack(search, rack) > 0)
		return fill(search, rack, targets);
	if (still_patient(search))
		return 0;
	return fill(search, NULL, targets);
}

size_t
fleet_find_places(struct fleet *fleet, struct fleet_task *const *tasks,
    size_t count, struct fleet_worker **targets, int64_t now_ms)
{
	CLEANUP(free_search)
	struct search search = {
	    .fleet = fleet,
	    .job = tasks[0]->occurrence->job,
	    .step = fleet_step_of(tasks[0]),
	    .tasks = tasks,
	    .wanted = count,
	    .now_ms = now_ms,
	};

	open_search(&search);
	if (search.count == 0)
		return 0;
	return search.step->gang ? find_gang(&search, targets)
				 : find_single(&search, targets);
}

/*
 * Reclaiming: work of lower priority leaves until the tasks fit.
 */

/* Room on a worker if all work of lower priority left. */
static struct fleet_room
room_without_lower(const struct fleet_worker *worker, uint32_t priority)
{
	struct fleet_room room = fleet_free_room(worker);
	struct fleet_task *task;

	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		struct fleet_room need = fleet_task_need(task);

		if (task->occurrence->job->spec->priority > priority &&
		    task->state != TASK_STOPPING)
			fleet_room_add(&room, &need);
	}
	return room;
}

static uint32_t
fits_without_lower(
    const struct search *search, const struct fleet_worker *worker)
{
	struct fleet_room room =
	    room_without_lower(worker, search->job->spec->priority);

	return fleet_room_fits(
	    &room, &search->need, limit_per_worker(search, worker));
}

/* What stopping a task would lose, in weighed room times run time. */
static int64_t
loss_of(const struct fleet_task *task, int64_t now_ms)
{
	struct fleet_room need = fleet_task_need(task);
	int64_t ran_ms = now_ms - task->started_ms;

	if (task->state == TASK_PLACED || task->state == TASK_SENT)
		ran_ms = 0;
	if (fleet_step_of(task)->checkpoints && ran_ms > 1000)
		ran_ms = 1000;
	if (fleet_step_of(task)->gang)
		ran_ms *= fleet_step_of(task)->tasks;
	return weigh(&need) * (ran_ms + 200);
}

/* Cost of freeing a worker for fits tasks: the work of lower priority on it,
 * in the share that has to leave. */
static int64_t
cost_of_worker(const struct search *search, const struct fleet_worker *worker)
{
	struct fleet_room left = fleet_free_room(worker);
	int64_t cost = 0;
	struct fleet_task *task;

	if (fleet_room_fits(&left, &search->need, 1) > 0)
		return 0;
	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		if (task->occurrence->job->spec->priority >
			search->job->spec->priority &&
		    task->state != TASK_STOPPING)
			cost += loss_of(task, search->now_ms);
	}
	return cost;
}

static void
open_reclaim(struct search *search)
{
	struct fleet *fleet = search->fleet;

	search->candidates =
	    mem_calloc(fleet->workers.count + 1, sizeof(*search->candidates));
	search->need = fleet_need(search->step);
	for (size_t i = 0; i < fleet->workers.count; i++) {
		struct fleet_worker *worker = fleet->workers.items[i].item;
		uint32_t fits;

		if (!fleet_worker_usable(
			worker, search->job, search->step, search->now_ms))
			continue;
		fits = fits_without_lower(search, worker);
		if (fits == 0)
			continue;
		search->candidates[search->count++] =
		    (struct candidate){.worker = worker,
			.fits = fits,
			.left = cost_of_worker(search, worker)};
	}
	sort_candidates(search);
}

/* The rack whose cheapest workers take all at the lowest cost, or NULL. */
static const char *
cheapest_rack(const struct search *search)
{
	const char *best = NULL;
	int64_t best_cost = 0;

	for (size_t i = 0; i < search->count; i++) {
		const char *rack = search->candidates[i].worker->entry.rack;
		uint32_t fits = 0;
		int64_t cost = 0;

		for (size_t j = 0; j < search->count && fits < search->wanted;
		     j++) {
			if (!in_rack(search->candidates[j].worker, rack))
				continue;
			fits += search->candidates[j].fits;
			cost += search->candidates[j].left;
		}
		if (fits < search->wanted)
			continue;
		if (best == NULL || cost < best_cost) {
			best = rack;
			best_cost = cost;
		}
	}
	return best;
}

static struct fleet_task *
cheapest_victim(const struct search *search, const struct fleet_worker *worker)
{
	struct fleet_task *best = NULL;
	struct fleet_task *task;

	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		if (task->occurrence->job->spec->priority <=
			search->job->spec->priority ||
		    task->state == TASK_STOPPING)
			continue;
		if (best == NULL ||
		    loss_of(task, search->now_ms) <
			loss_of(best, search->now_ms))
			best = task;
	}
	return best;
}

/* Stops work of lower priority on a worker until count tasks fit. */
static void
make_room(
    const struct search *search, struct fleet_worker *worker, uint32_t count)
{
	struct fleet_room left = fleet_free_room(worker);
	struct fleet_task *victim;

	while (fleet_room_fits(&left, &search->need, count) < count &&
	    (victim = cheapest_victim(search, worker)) != NULL) {
		fleet_stop_unit(
		    search->fleet, victim, "reclaimed", search->now_ms);
		left = fleet_free_room(worker);
	}
}

static size_t
take_places(const struct search *search, const char *rack,
    struct fleet_worker **targets)
{
	size_t found = 0;

	for (size_t i = 0; i < search->count && found < search->wanted; i++) {
		const struct candidate *candidate = &search->candidates[i];
		uint32_t taken = 0;

		if (!in_rack(candidate->worker, rack))
			continue;
		while (taken < candidate->fits && found < search->wanted) {
			targets[found++] = candidate->worker;
			taken++;
		}
		make_room(search, candidate->worker, taken);
	}
	return found;
}

size_t
fleet_reclaim_places(struct fleet *fleet, struct fleet_task *const *tasks,
    size_t count, struct fleet_worker **targets, int64_t now_ms)
{
	CLEANUP(free_search)
	struct search search = {
	    .fleet = fleet,
	    .job = tasks[0]->occurrence->job,
	    .step = fleet_step_of(tasks[0]),
	    .tasks = tasks,
	    .wanted = count,
	    .now_ms = now_ms,
	};
	const char *rack = NULL;

	open_reclaim(&search);
	if (fits_in_rack(&search, NULL) < count)
		return 0;
	if (search.step->same_rack) {
		rack = cheapest_rack(&search);
		if (rack == NULL && rack_could_ever(&search) &&
		    still_patient(&search))
			return 0;
	}
	return take_places(&search, rack, targets);
}
