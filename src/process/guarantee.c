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

/* Tells whether a claim fits beside all other claims and firm work. */
static bool
claim_fits(const struct cluster *cluster, uint32_t index,
    const struct guarantee_pin *pin)
{
	const struct cluster_worker *worker = &cluster->workers[index];
	const struct cluster_share *share =
	    cluster_share(cluster, index, pin->workspace);
	uint32_t before =
	    share->claim > share->firm ? share->claim : share->firm;
	uint32_t claim = share->claim + pin->accelerators;
	uint32_t after = claim > share->firm ? claim : share->firm;

	return worker->committed - before + after <= worker->capacity;
}

static bool
worker_eligible(const struct cluster *cluster, uint32_t index,
    const struct guarantee_pin *pin, bool serving_only)
{
	if (serving_only && !worker_serves(cluster, index))
		return false;
	return claim_fits(cluster, index, pin);
}

static uint32_t
eligible_in_rack(const struct cluster *cluster, const struct cluster_rack *rack,
    const struct guarantee_pin *pin, bool serving_only)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < rack->workers_count; i++) {
		if (worker_eligible(
			cluster, rack->first_worker + i, pin, serving_only))
			count++;
	}
	return count;
}

/* Tells whether one of the first racks of the pin is this one. */
static bool
rack_taken(const struct cluster *cluster, const struct guarantee_pin *pin,
    uint32_t racks_done, size_t rack)
{
	for (uint32_t i = 0; i < racks_done; i++) {
		uint32_t worker = pin->workers[i * pin->workers_per_rack];

		if (cluster->workers[worker].rack == rack)
			return true;
	}
	return false;
}

/* The rack that just holds its part of the shape, or SIZE_MAX. */
static size_t
tightest_rack(const struct cluster *cluster, const struct guarantee_pin *pin,
    uint32_t racks_done, bool serving_only)
{
	size_t best = SIZE_MAX;
	uint32_t best_count = UINT32_MAX;

	for (size_t i = 0; i < cluster->racks_count; i++) {
		uint32_t count;

		if (cluster->racks[i].zone != pin->zone ||
		    rack_taken(cluster, pin, racks_done, i))
			continue;
		count = eligible_in_rack(
		    cluster, &cluster->racks[i], pin, serving_only);
		if (count < pin->workers_per_rack || count >= best_count)
			continue;
		best = i;
		best_count = count;
	}
	return best;
}

static void
fill_rack(const struct cluster *cluster, const struct guarantee_pin *pin,
    uint32_t racks_done, size_t rack_index, bool serving_only)
{
	const struct cluster_rack *rack = &cluster->racks[rack_index];
	uint32_t *workers = &pin->workers[racks_done * pin->workers_per_rack];
	uint32_t filled = 0;

	for (uint32_t i = 0; filled < pin->workers_per_rack; i++) {
		uint32_t worker = rack->first_worker + i;

		if (worker_eligible(cluster, worker, pin, serving_only))
			workers[filled++] = worker;
	}
}

static bool
choose_workers(const struct cluster *cluster, const struct guarantee_pin *pin,
    bool serving_only)
{
	for (uint32_t i = 0; i < pin->racks; i++) {
		size_t rack = tightest_rack(cluster, pin, i, serving_only);

		if (rack == SIZE_MAX)
			return false;
		fill_rack(cluster, pin, i, rack, serving_only);
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

size_t
guarantee_place(struct guarantee_table *table, struct cluster *cluster)
{
	size_t unplaced = 0;

	for (size_t i = 0; i < table->count; i++) {
		struct guarantee_pin *pin = &table->pins[i];

		if (!pin->placed)
			place(cluster, pin);
		else if (!all_serve(cluster, pin))
			move(cluster, pin);
		if (!pin->placed)
			unplaced++;
	}
	return unplaced;
}

const struct guarantee_pin *
guarantee_largest(const struct guarantee_table *table)
{
	return table->count > 0 ? &table->pins[0] : NULL;
}
