/* A search for workers, shared by placing and reclaiming. Private to them. */
#ifndef IBIS_FLEET_SEARCH_H
#define IBIS_FLEET_SEARCH_H

#include "fleet/fleet_model.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A worker that could take tasks of the step. */
struct fleet_candidate {
	struct fleet_worker *worker;
	uint32_t fits;
	uint32_t speed_rank; /* by how well its speed suits; 0 is best */
	int64_t left; /* accelerators and cores that stay free, weighed */
};

struct fleet_search {
	struct fleet *fleet;
	const struct fleet_job *job;
	const Ibis__JobStep *step;
	struct fleet_room need;
	struct fleet_task *const *tasks;
	size_t wanted;
	struct fleet_candidate *candidates; /* owned */
	size_t count;
	int64_t now_ms;
	bool guaranteed; /* the job is within its workspace's guarantee */
};

/* Begins a search for count waiting tasks of one step; free it. */
struct fleet_search fleet_search_begin(struct fleet *fleet,
    struct fleet_task *const *tasks, size_t count, int64_t now_ms);
void fleet_search_free(struct fleet_search *search);

/* Best candidates first. */
void fleet_search_sort(struct fleet_search *search);

/* Tasks of the step that a worker may have at most, beside those it has. */
uint32_t fleet_search_limit(
    const struct fleet_search *search, const struct fleet_worker *worker);

/* How well a worker's speed suits the job; 0 is best. */
uint32_t fleet_search_speed(
    const struct fleet_search *search, const struct fleet_worker *worker);

/* NULL is any rack. */
bool fleet_search_in_rack(const struct fleet_worker *worker, const char *rack);
uint32_t fleet_search_fits(const struct fleet_search *search, const char *rack);

/* Tells whether some rack could take all of the step if it were empty. */
bool fleet_search_could_ever(const struct fleet_search *search);

/* Tells whether the step may still wait for the rack it wants. */
bool fleet_search_patient(const struct fleet_search *search);

/* One figure for room: cores, with accelerators counted as some. */
int64_t fleet_weigh(const struct fleet_room *room);

#ifdef __cplusplus
}
#endif

#endif
