/* Search for workers; internal to placement and reclaim. */
#ifndef IBIS_FLEET_SEARCH_H
#define IBIS_FLEET_SEARCH_H

#include "fleet/fleet_model.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A worker that could run tasks of the step. */
struct fleet_candidate {
	struct fleet_worker *worker;
	uint32_t fits; /* tasks */ /* Of a plan of preemptions: tasks that may
				      be there, and that are. */
	uint32_t limit;
	uint32_t taken;
	uint32_t speed_rank; /* see fleet_search_speed_rank */
	/* Lowest first: for placement the weight of the worker's free capacity,
	 * for reclaim the cost of the tasks to stop. */
	int64_t cost;
};

struct fleet_search {
	struct fleet *fleet;
	const struct fleet_job *job;
	const Ibis__JobStep *step;
	struct fleet_resources need; /* of one task */
	struct fleet_task *const *tasks;
	size_t wanted;			    /* number of tasks */
	struct fleet_candidate *candidates; /* the fleet's */
	size_t count;			    /* of candidates */
	int64_t now_ms;
	bool suspect; /* the tasks are a suspect's */
	/* A worker was left out that other jobs may use. */
	bool paused_for_job;
	/* Urgent jobs over their workspace's guarantee may be preempted too. */
	bool guaranteed;
};

/* Returns a search without candidates for count waiting tasks of one step. It
 * ends the previous one, whose candidates it overwrites. */
struct fleet_search fleet_search_begin(struct fleet *fleet,
    struct fleet_task *const *tasks, size_t count, int64_t now_ms);

/* Sorts the candidates by speed rank and cost, best first. */
void fleet_search_sort(struct fleet_search *search);

/* Returns whether tasks may be placed on a worker now, whatever its capacity:
 * it is usable, and no suspect is isolated there. */
bool fleet_search_allows(
    const struct fleet_search *search, const struct fleet_worker *worker);

/* The worker is not allowed. If it is paused, schedules a placement for the end
 * of that time. */
void fleet_search_note_pause(
    struct fleet_search *search, const struct fleet_worker *worker);

/* Returns how many more tasks of the step a worker may have, whatever its
 * capacity. */
uint32_t fleet_search_limit(
    const struct fleet_search *search, const struct fleet_worker *worker);

/* Ranks how well a worker's speed suits the job; 0 is best. */
uint32_t fleet_search_speed_rank(
    const struct fleet_search *search, const struct fleet_worker *worker);

/* Returns whether a worker is in the rack; NULL is any rack. */
bool fleet_search_in_rack(const struct fleet_worker *worker, const char *rack);

/* Returns how many tasks fit on the candidates in a rack; NULL is any rack. */
uint32_t fleet_search_fits(const struct fleet_search *search, const char *rack);

/* Returns whether all wanted tasks would fit in some rack if it were empty. */
bool fleet_search_fits_empty_rack(const struct fleet_search *search);

/* Returns whether the tasks may still wait for the rack that they prefer, and
 * then schedules a placement for the end of that time. */
bool fleet_search_may_wait(const struct fleet_search *search);

#ifdef __cplusplus
}
#endif

#endif
