/* Backtracking search for a placement of shapes, rack by rack. */
#include <stdlib.h>
#include <string.h>

#include "process/alloc.h"
#include "version/shapes.h"

#define MAX_SEARCH_STEPS 50000 /* racks tried in one search */

struct search {
	const struct document *document;
	const struct shape *shapes;
	size_t count;
	uint32_t excluded;
	uint32_t *free;	      /* free accelerators by worker */
	uint32_t steps;	      /* racks tried so far */
	size_t deepest_index; /* highest index of a shape that was tried */
};

/* Sorts shapes that are harder to place first: those bound to a zone, then
 * those with more accelerators, workers and racks. */
static int
compare_shapes(const void *left, const void *right)
{
	const struct shape *a = left;
	const struct shape *b = right;

	if ((a->zone == SHAPES_ANY_ZONE) != (b->zone == SHAPES_ANY_ZONE))
		return a->zone == SHAPES_ANY_ZONE ? 1 : -1;
	if (a->accelerators_per_worker != b->accelerators_per_worker)
		return a->accelerators_per_worker < b->accelerators_per_worker
		    ? 1
		    : -1;
	if (a->workers_per_rack != b->workers_per_rack)
		return a->workers_per_rack < b->workers_per_rack ? 1 : -1;
	if (a->racks != b->racks)
		return a->racks < b->racks ? 1 : -1;
	return 0;
}

/* Returns the worker of a rack with the fewest free accelerators that are still
 * enough, except those marked in selected; UINT32_MAX if there is none. */
static uint32_t
best_fitting_worker(const struct search *search,
    const struct document_rack *rack, uint32_t needed, const bool *selected)
{
	uint32_t best = UINT32_MAX;

	for (uint32_t i = 0; i < rack->workers_count; i++) {
		uint32_t worker = rack->first_worker + i;

		if (selected[i] || search->free[worker] < needed)
			continue;
		if (best == UINT32_MAX ||
		    search->free[worker] < search->free[best])
			best = worker;
	}
	return best;
}

/* Reserves one rack's part of a shape and writes the indices of its workers to
 * workers. Returns false and reserves nothing if the rack can't hold it. */
static bool
reserve_on_rack(struct search *search, const struct document_rack *rack,
    const struct shape *shape, uint32_t *workers)
{
	bool *selected = mem_calloc(rack->workers_count, sizeof(*selected));
	uint32_t count = 0;

	while (count < shape->workers_per_rack) {
		uint32_t worker = best_fitting_worker(
		    search, rack, shape->accelerators_per_worker, selected);

		if (worker == UINT32_MAX)
			break;
		selected[worker - rack->first_worker] = true;
		workers[count++] = worker;
	}
	mem_free(selected);
	if (count < shape->workers_per_rack)
		return false;
	for (uint32_t i = 0; i < count; i++)
		search->free[workers[i]] -= shape->accelerators_per_worker;
	return true;
}

/* Undoes reserve_on_rack. */
static void
release_on_rack(
    struct search *search, const struct shape *shape, const uint32_t *workers)
{
	for (uint32_t i = 0; i < shape->workers_per_rack; i++)
		search->free[workers[i]] += shape->accelerators_per_worker;
}

/* Returns whether two racks of a zone have the same free accelerators: where
 * the first one failed, the second one would fail too. */
static bool
racks_equivalent(const struct search *search, const struct document_rack *left,
    const struct document_rack *right)
{
	return left->zone == right->zone &&
	    left->workers_count == right->workers_count &&
	    memcmp(&search->free[left->first_worker],
		&search->free[right->first_worker],
		left->workers_count * sizeof(*search->free)) == 0;
}

static bool place_shapes_from(struct search *search, size_t index);

/* Places the parts of a shape from index part on, one per rack, on racks of one
 * zone from first_rack on, then all later shapes. Returns false and reserves
 * nothing if that fails. */
static bool
place_parts_from(struct search *search, size_t index, uint32_t part,
    uint32_t zone, uint32_t first_rack)
{
	const struct document *document = search->document;
	const struct shape *shape = &search->shapes[index];
	const struct document_rack *failed = NULL;
	bool placed = false;
	uint32_t *workers;

	if (part == shape->racks)
		return place_shapes_from(search, index + 1);
	workers = mem_calloc(shape->workers_per_rack, sizeof(*workers));
	for (uint32_t i = first_rack; i < document->racks_count && !placed;
	     i++) {
		const struct document_rack *rack = &document->racks[i];

		if (rack->zone != zone)
			continue;
		if (failed != NULL && racks_equivalent(search, failed, rack))
			continue;
		if (search->steps >= MAX_SEARCH_STEPS)
			break;
		search->steps++;
		if (!reserve_on_rack(search, rack, shape, workers))
			continue;
		placed = place_parts_from(search, index, part + 1, zone, i + 1);
		if (!placed)
			release_on_rack(search, shape, workers);
		failed = rack;
	}
	mem_free(workers);
	return placed;
}

/* Places the shapes from index on. Returns false and reserves nothing if that
 * fails. */
static bool
place_shapes_from(struct search *search, size_t index)
{
	uint32_t zones = (uint32_t)search->document->zones_count;
	uint32_t zone;

	if (index == search->count)
		return true;
	if (index > search->deepest_index)
		search->deepest_index = index;
	zone = search->shapes[index].zone;
	if (zone != SHAPES_ANY_ZONE)
		return place_parts_from(search, index, 0, zone, 0);
	for (zone = 0; zone < zones; zone++) {
		if (zone != search->excluded &&
		    place_parts_from(search, index, 0, zone, 0))
			return true;
	}
	return false;
}

bool
shapes_fit(const struct document *document, struct shape *shapes, size_t count,
    uint32_t excluded, size_t *failed)
{
	struct search search = {
	    .document = document,
	    .shapes = shapes,
	    .count = count,
	    .excluded = excluded,
	};
	bool fit;

	if (count == 0)
		return true;
	qsort(shapes, count, sizeof(*shapes), compare_shapes);
	search.free = mem_calloc(document->workers_count, sizeof(*search.free));
	for (size_t i = 0; i < document->workers_count; i++)
		search.free[i] = document->racks[document->workers[i].rack]
				     .accelerators_per_worker;
	fit = place_shapes_from(&search, 0);
	mem_free(search.free);
	*failed = search.deepest_index;
	return fit;
}
