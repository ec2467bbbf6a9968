#include <stdlib.h>
#include <string.h>

#include "process/alloc.h"
#include "process/guarantee.h"

static uint32_t
shape_workers_count(const struct guaranteed_shape *shape)
{
	return shape->racks * shape->workers_per_rack;
}

/* Orders largest first, since small shapes fit between large ones but not the
 * reverse. */
static int
compare_shapes(const void *left, const void *right)
{
	const struct guaranteed_shape *left_shape = left;
	const struct guaranteed_shape *right_shape = right;
	uint32_t left_size =
	    shape_workers_count(left_shape) * left_shape->accelerators;
	uint32_t right_size =
	    shape_workers_count(right_shape) * right_shape->accelerators;

	if (left_size != right_size)
		return left_size > right_size ? -1 : 1;
	if (left_shape->workspace != right_shape->workspace)
		return left_shape->workspace < right_shape->workspace ? -1 : 1;
	return 0;
}

/* Adds the shapes of one guarantee, which may promise several of the same. */
static void
add_shapes(struct guarantee_table *table, uint32_t workspace,
    const struct document_guarantee *guarantee)
{
	for (uint32_t i = 0; i < guarantee->count; i++) {
		struct guaranteed_shape *shape =
		    &table->guaranteed_shapes[table->count++];

		*shape = (struct guaranteed_shape){
		    .workspace = workspace,
		    .zone = guarantee->zone,
		    .racks = guarantee->racks,
		    .workers_per_rack = guarantee->workers_per_rack,
		    .accelerators = guarantee->accelerators_per_worker,
		};
		shape->workers = mem_calloc(
		    shape_workers_count(shape), sizeof(*shape->workers));
	}
}

void
guarantee_build(struct guarantee_table *table, const struct document *document)
{
	size_t count = 0;

	for (size_t i = 0; i < document->guarantees_count; i++)
		count += document->guarantees[i].count;
	table->guaranteed_shapes =
	    mem_calloc(count, sizeof(*table->guaranteed_shapes));
	table->count = 0;
	for (uint32_t i = 0; i < document->workspaces_count; i++) {
		const struct document_workspace *workspace =
		    &document->workspaces[i];

		for (uint32_t j = 0; j < workspace->guarantees_count; j++)
			add_shapes(table, i,
			    &document
				 ->guarantees[workspace->first_guarantee + j]);
	}
	if (table->count > 0)
		qsort(table->guaranteed_shapes, table->count,
		    sizeof(*table->guaranteed_shapes), compare_shapes);
}

void
guarantee_clear(struct guarantee_table *table)
{
	for (size_t i = 0; i < table->count; i++)
		mem_free(table->guaranteed_shapes[i].workers);
	mem_free(table->guaranteed_shapes);
	*table = (struct guarantee_table){0};
}

/* Tells whether a worker serves and isn't quarantined. */
static bool
is_worker_available(const struct cluster *cluster, uint32_t index)
{
	const struct cluster_worker *worker = &cluster->workers[index];

	return worker->condition == WORKER_SERVING && !worker->quarantined;
}

/* Returns the accelerators that the shape's claim would newly commit on a
 * worker, where the workspace's non-preemptible jobs don't already, or NO_INDEX
 * when it does not fit. */
static uint32_t
claim_cost(const struct cluster *cluster, uint32_t index,
    const struct guaranteed_shape *shape, bool available_only)
{
	const struct cluster_worker *worker = &cluster->workers[index];
	const struct cluster_share *share =
	    cluster_share(cluster, index, shape->workspace);
	uint32_t before = share->claim > share->non_preemptible
	    ? share->claim
	    : share->non_preemptible;
	uint32_t claim = share->claim + shape->accelerators;
	uint32_t after =
	    claim > share->non_preemptible ? claim : share->non_preemptible;

	if (available_only && !is_worker_available(cluster, index))
		return NO_INDEX;
	if (worker->committed - before + after > worker->capacity)
		return NO_INDEX;
	return after - before;
}

/* How well a rack fits one rack of a shape. */
struct rack_fit {
	uint32_t cost;	   /* accelerators newly committed */
	uint32_t eligible; /* workers on which a claim fits */
};

/* Fills workers with those of the rack that newly commit least. */
static struct rack_fit
fit_rack(const struct cluster *cluster, const struct guaranteed_shape *shape,
    const struct cluster_rack *rack, bool available_only, uint32_t *workers)
{
	struct rack_fit fit = {0};
	uint32_t filled = 0;

	for (uint32_t cost = 0; cost <= shape->accelerators; cost++) {
		for (uint32_t i = 0; i < rack->workers_count; i++) {
			uint32_t worker = rack->first_worker + i;

			if (claim_cost(
				cluster, worker, shape, available_only) != cost)
				continue;
			fit.eligible++;
			if (filled == shape->workers_per_rack)
				continue;
			workers[filled++] = worker;
			fit.cost += cost;
		}
	}
	return fit;
}

/* Tells whether the shape's first racks_done racks include this one. */
static bool
is_rack_used(const struct cluster *cluster,
    const struct guaranteed_shape *shape, uint32_t racks_done, size_t rack)
{
	for (uint32_t i = 0; i < racks_done; i++) {
		uint32_t worker =
		    shape->workers[(size_t)i * shape->workers_per_rack];

		if (cluster->workers[worker].rack == rack)
			return true;
	}
	return false;
}

/* Assigns one more rack of the shape to the rack that newly commits least, and
 * among equals to the one with the fewest eligible workers. Returns false when
 * it fits nowhere. */
static bool
choose_rack(const struct cluster *cluster, const struct guaranteed_shape *shape,
    uint32_t racks_done, bool available_only)
{
	uint32_t *workers =
	    &shape->workers[(size_t)racks_done * shape->workers_per_rack];
	struct rack_fit best = {.cost = UINT32_MAX};
	size_t best_rack = SIZE_MAX;

	for (size_t i = 0; i < cluster->racks_count; i++) {
		struct rack_fit fit;

		if (cluster->racks[i].zone != shape->zone ||
		    is_rack_used(cluster, shape, racks_done, i))
			continue;
		fit = fit_rack(cluster, shape, &cluster->racks[i],
		    available_only, workers);
		if (fit.eligible < shape->workers_per_rack ||
		    fit.cost > best.cost ||
		    (fit.cost == best.cost && fit.eligible >= best.eligible))
			continue;
		best = fit;
		best_rack = i;
	}
	if (best_rack == SIZE_MAX)
		return false;
	(void)fit_rack(cluster, shape, &cluster->racks[best_rack],
	    available_only, workers);
	return true;
}

static bool
choose_workers(const struct cluster *cluster,
    const struct guaranteed_shape *shape, bool available_only)
{
	for (uint32_t i = 0; i < shape->racks; i++) {
		if (!choose_rack(cluster, shape, i, available_only))
			return false;
	}
	return true;
}

static void
adjust_claims(struct cluster *cluster, const struct guaranteed_shape *shape,
    int32_t amount)
{
	for (uint32_t i = 0; i < shape_workers_count(shape); i++)
		cluster_adjust_claim(
		    cluster, shape->workers[i], shape->workspace, amount);
}

/* Places a shape, preferably on available workers. */
static void
place_shape(struct cluster *cluster, struct guaranteed_shape *shape)
{
	shape->placed = choose_workers(cluster, shape, true) ||
	    choose_workers(cluster, shape, false);
	if (shape->placed)
		adjust_claims(cluster, shape, (int32_t)shape->accelerators);
}

static bool
all_workers_available(
    const struct cluster *cluster, const struct guaranteed_shape *shape)
{
	for (uint32_t i = 0; i < shape_workers_count(shape); i++) {
		if (!is_worker_available(cluster, shape->workers[i]))
			return false;
	}
	return true;
}

/* Moves a shape to available workers, or leaves it where it is. */
static void
move_shape(struct cluster *cluster, struct guaranteed_shape *shape)
{
	size_t bytes = shape_workers_count(shape) * sizeof(*shape->workers);
	uint32_t *before = mem_calloc(bytes, 1);

	memcpy(before, shape->workers, bytes);
	adjust_claims(cluster, shape, -(int32_t)shape->accelerators);
	if (!choose_workers(cluster, shape, true))
		memcpy(shape->workers, before, bytes);
	adjust_claims(cluster, shape, (int32_t)shape->accelerators);
	mem_free(before);
}

/* Counts the shapes that are not placed on available workers only. */
static size_t
count_unsatisfied(
    const struct guarantee_table *table, const struct cluster *cluster)
{
	size_t count = 0;

	for (size_t i = 0; i < table->count; i++) {
		const struct guaranteed_shape *shape =
		    &table->guaranteed_shapes[i];

		count +=
		    !shape->placed || !all_workers_available(cluster, shape);
	}
	return count;
}

/* Removes all shapes and places them again, largest first. Needed when a small
 * shape occupies workers to which a large one must move. */
static void
place_all_again(struct guarantee_table *table, struct cluster *cluster)
{
	for (size_t i = 0; i < table->count; i++) {
		struct guaranteed_shape *shape = &table->guaranteed_shapes[i];

		if (shape->placed)
			adjust_claims(
			    cluster, shape, -(int32_t)shape->accelerators);
		shape->placed = false;
	}
	for (size_t i = 0; i < table->count; i++)
		place_shape(cluster, &table->guaranteed_shapes[i]);
}

size_t
guarantee_place(struct guarantee_table *table, struct cluster *cluster)
{
	for (size_t i = 0; i < table->count; i++) {
		struct guaranteed_shape *shape = &table->guaranteed_shapes[i];

		if (!shape->placed)
			place_shape(cluster, shape);
		else if (!all_workers_available(cluster, shape))
			move_shape(cluster, shape);
	}
	if (count_unsatisfied(table, cluster) == 0)
		return 0;
	place_all_again(table, cluster);
	return count_unsatisfied(table, cluster);
}

const struct guaranteed_shape *
guarantee_largest(const struct guarantee_table *table)
{
	return table->count > 0 ? &table->guaranteed_shapes[0] : NULL;
}
