#include <stdlib.h>
#include <string.h>

#include "process/alloc.h"
#include "process/guarantee.h"

static uint32_t
pin_workers(const struct guarantee_pin *pin)
{
	return pin->racks * pin->workers_per_rack;
}

/* Largest first: small shapes fit between large ones, not the reverse. */
static int
compare_pins(const void *left, const void *right)
{
	const struct guarantee_pin *one = left;
	const struct guarantee_pin *other = right;
	uint32_t one_size = pin_workers(one) * one->accelerators;
	uint32_t other_size = pin_workers(other) * other->accelerators;

	if (one_size != other_size)
		return one_size > other_size ? -1 : 1;
	if (one->workspace != other->workspace)
		return one->workspace < other->workspace ? -1 : 1;
	return 0;
}

static void
add_pins(struct guarantee_table *table, uint32_t workspace,
    const struct document_guarantee *guarantee)
{
	for (uint32_t i = 0; i < guarantee->count; i++) {
		struct guarantee_pin *pin = &table->pins[table->count++];

		*pin = (struct guarantee_pin){
		    .workspace = workspace,
		    .zone = guarantee->zone,
		    .racks = guarantee->racks,
		    .workers_per_rack = guarantee->workers_per_rack,
		    .accelerators = guarantee->accelerators_per_worker,
		};
		pin->workers =
		    mem_calloc(pin_workers(pin), sizeof(*pin->workers));
	}
}

void
guarantee_build(struct guarantee_table *table, const struct document *document)
{
	size_t count = 0;

	for (size_t i = 0; i < document->guarantees_count; i++)
		count += document->guarantees[i].count;
	table->pins = mem_calloc(count, sizeof(*table->pins));
	table->count = 0;
	for (uint32_t i = 0; i < document->workspaces_count; i++) {
		const struct document_workspace *workspace =
		    &document->workspaces[i];

		for (uint32_t j = 0; j < workspace->guarantees_count; j++)
			add_pins(table, i,
			    &document
				 ->guarantees[workspace->first_guarantee + j]);
	}
	if (table->count > 0)
		qsort(table->pins, table->count, sizeof(*table->pins),
		    compare_pins);
}

void
guarantee_clear(struct guarantee_table *table)
{
	for (size_t i = 0; i < table->count; i++)
		mem_free(table->pins[i].workers);
	mem_free(table->pins);
	*table = (struct guarantee_table){0};
}

static bool
worker_serves(const struct cluster *cluster, uint32_t index)
{
	const struct cluster_worker *worker = &cluster->workers[index];

	return worker->condition == WORKER_SERVING && !worker->quarantined;
}

/* Accelerators that a claim would commit on a worker, beyond firm work of its
 * workspace there, or NO_INDEX when it does not fit. */
static uint32_t
claim_cost(const struct cluster *cluster, uint32_t index,
    const struct guarantee_pin *pin, bool serving_only)
{
	const struct cluster_worker *worker = &cluster->workers[index];
	const struct cluster_share *share =
	    cluster_share(cluster, index, pin->workspace);
	uint32_t before =
	    share->claim > share->firm ? share->claim : share->firm;
	uint32_t claim = share->claim + pin->accelerators;
	uint32_t after = claim > share->firm ? claim : share->firm;

	if (serving_only && !worker_serves(cluster, index))
		return NO_INDEX;
	if (worker->committed - before + after > worker->capacity)
		return NO_INDEX;
	return after - before;
}

/* How well a rack holds its part of a shape. */
struct rack_fit {
	uint32_t cost;	   /* accelerators committed */
	uint32_t eligible; /* workers */
};

/* Fills workers with those of the rack that commit least. */
static struct rack_fit
fit_rack(const struct cluster *cluster, const struct guarantee_pin *pin,
    const struct cluster_rack *rack, bool serving_only, uint32_t *workers)
{
	struct rack_fit fit = {0};
	uint32_t filled = 0;

	for (uint32_t cost = 0; cost <= pin->accelerators; cost++) {
		for (uint32_t i = 0; i < rack->workers_count; i++) {
			uint32_t worker = rack->first_worker + i;

			if (claim_cost(cluster, worker, pin, serving_only) !=
			    cost)
				continue;
			fit.eligible++;
			if (filled == pin->workers_per_rack)
				continue;
			workers[filled++] = worker;
			fit.cost += cost;
		}
	}
	return fit;
}

/* Tells whether one of the first racks of the pin is this one. */
static bool
rack_taken(const struct cluster *cluster, const struct guarantee_pin *pin,
    uint32_t racks_done, size_t rack)
{
	for (uint32_t i = 0; i < racks_done; i++) {
		uint32_t worker =
		    pin->workers[(size_t)i * pin->workers_per_rack];

		if (cluster->workers[worker].rack == rack)
			return true;
	}
	return false;
}

/* Fills the shape's part in one more rack: where it commits least, then where
 * the fewest workers are left over. */
static bool
choose_rack(const struct cluster *cluster, const struct guarantee_pin *pin,
    uint32_t racks_done, bool serving_only)
{
	uint32_t *workers =
	    &pin->workers[(size_t)racks_done * pin->workers_per_rack];
	struct rack_fit best = {.cost = UINT32_MAX};
	size_t best_rack = SIZE_MAX;

	for (size_t i = 0; i < cluster->racks_count; i++) {
		struct rack_fit fit;

		if (cluster->racks[i].zone != pin->zone ||
		    rack_taken(cluster, pin, racks_done, i))
			continue;
		fit = fit_rack(
		    cluster, pin, &cluster->racks[i], serving_only, workers);
		if (fit.eligible < pin->workers_per_rack ||
		    fit.cost > best.cost ||
		    (fit.cost == best.cost && fit.eligible >= best.eligible))
			continue;
		best = fit;
		best_rack = i;
	}
	if (best_rack == SIZE_MAX)
		return false;
	(void)fit_rack(
	    cluster, pin, &cluster->racks[best_rack], serving_only, workers);
	return true;
}

static bool
choose_workers(const struct cluster *cluster, const struct guarantee_pin *pin,
    bool serving_only)
{
	for (uint32_t i = 0; i < pin->racks; i++) {
		if (!choose_rack(cluster, pin, i, serving_only))
			return false;
	}
	return true;
}

static void
change_claims(
    struct cluster *cluster, const struct guarantee_pin *pin, int32_t amount)
{
	for (uint32_t i = 0; i < pin_workers(pin); i++)
		cluster_claim(cluster, pin->workers[i], pin->workspace, amount);
}

static void
place(struct cluster *cluster, struct guarantee_pin *pin)
{
	pin->placed = choose_workers(cluster, pin, true) ||
	    choose_workers(cluster, pin, false);
	if (pin->placed)
		change_claims(cluster, pin, (int32_t)pin->accelerators);
}

static bool
all_serve(const struct cluster *cluster, const struct guarantee_pin *pin)
{
	for (uint32_t i = 0; i < pin_workers(pin); i++) {
		if (!worker_serves(cluster, pin->workers[i]))
			return false;
	}
	return true;
}

/* Moves a shape to workers that serve, or leaves it where it is. */
static void
move(struct cluster *cluster, struct guarantee_pin *pin)
{
	size_t bytes = pin_workers(pin) * sizeof(*pin->workers);
	uint32_t *before = mem_calloc(bytes, 1);

	memcpy(before, pin->workers, bytes);
	change_claims(cluster, pin, -(int32_t)pin->accelerators);
	if (!choose_workers(cluster, pin, true))
		memcpy(pin->workers, before, bytes);
	change_claims(cluster, pin, (int32_t)pin->accelerators);
	mem_free(before);
}

/* Counts the shapes that do not stand on workers that serve. */
static size_t
count_short(const struct guarantee_table *table, const struct cluster *cluster)
{
	size_t count = 0;

	for (size_t i = 0; i < table->count; i++) {
		const struct guarantee_pin *pin = &table->pins[i];

		count += !pin->placed || !all_serve(cluster, pin);
	}
	return count;
}

/* Places all anew, the largest first, where a small one may be in the way of
 * a large one that has to move. */
static void
place_all_anew(struct guarantee_table *table, struct cluster *cluster)
{
	for (size_t i = 0; i < table->count; i++) {
		struct guarantee_pin *pin = &table->pins[i];

		if (pin->placed)
			change_claims(
			    cluster, pin, -(int32_t)pin->accelerators);
		pin->placed = false;
	}
	for (size_t i = 0; i < table->count; i++)
		place(cluster, &table->pins[i]);
}

size_t
guarantee_place(struct guarantee_table *table, struct cluster *cluster)
{
	for (size_t i = 0; i < table->count; i++) {
		struct guarantee_pin *pin = &table->pins[i];

		if (!pin->placed)
			place(cluster, pin);
		else if (!all_serve(cluster, pin))
			move(cluster, pin);
	}
	if (count_short(table, cluster) == 0)
		return 0;
	place_all_anew(table, cluster);
	return count_short(table, cluster);
}

const struct guarantee_pin *
guarantee_largest(const struct guarantee_table *table)
{
	return table->count > 0 ? &table->pins[0] : NULL;
}
