#include <string.h>

#include "process/alloc.h"
#include "process/reservation.h"

/* Returns a free slot, or NO_INDEX. */
static uint32_t
find_slot(const struct reservation_table *table)
{
	for (uint32_t i = 0; i < RESERVATION_SLOTS; i++) {
		if (table->slots[i].kind == RESERVATION_NONE)
			return i;
	}
	return NO_INDEX;
}

static void
reserve_workers(struct cluster *cluster, const struct reservation *reservation,
    uint32_t slot)
{
	uint32_t amount = reservation->entry->job.accelerators_per_task;

	for (uint32_t i = 0; i < reservation->workers_count; i++) {
		struct cluster_worker *worker =
		    &cluster->workers[reservation->workers[i]];

		if (reservation->kind == RESERVATION_EXCLUSIVE)
			worker->exclusively_reserved += amount;
		else if (worker->draining_slot == NO_INDEX)
			worker->draining_slot = slot;
	}
}

static void
unreserve_workers(struct cluster *cluster,
    const struct reservation *reservation, uint32_t slot)
{
	uint32_t amount = reservation->entry->job.accelerators_per_task;

	for (uint32_t i = 0; i < reservation->workers_count; i++) {
		struct cluster_worker *worker =
		    &cluster->workers[reservation->workers[i]];

		if (reservation->kind == RESERVATION_EXCLUSIVE)
			worker->exclusively_reserved -= amount;
		else if (worker->draining_slot == slot)
			worker->draining_slot = NO_INDEX;
	}
}

static uint32_t *
counter_of(struct reservation_table *table, enum reservation_kind kind)
{
	return kind == RESERVATION_EXCLUSIVE ? &table->exclusive
					     : &table->draining;
}

void
reservation_make(struct reservation_table *table, struct cluster *cluster,
    struct job_entry *entry, enum reservation_kind kind,
    const uint32_t *workers, uint32_t workers_count, int64_t ready_ms)
{
	struct reservation *reservation;
	uint32_t slot;

	reservation_drop(table, cluster, entry);
	slot = find_slot(table);
	if (slot == NO_INDEX)
		return;
	reservation = &table->slots[slot];
	*reservation = (struct reservation){
	    .kind = kind,
	    .entry = entry,
	    .workers = mem_calloc(workers_count, sizeof(*workers)),
	    .workers_count = workers_count,
	    .ready_ms = ready_ms,
	};
	memcpy(reservation->workers, workers, workers_count * sizeof(*workers));
	entry->reservation = slot;
	(*counter_of(table, kind))++;
	reserve_workers(cluster, reservation, slot);
}

static void
free_slot(struct reservation_table *table, uint32_t slot)
{
	struct reservation *reservation = &table->slots[slot];

	(*counter_of(table, reservation->kind))--;
	reservation->entry->reservation = NO_INDEX;
	mem_free(reservation->workers);
	*reservation = (struct reservation){0};
}

void
reservation_drop(struct reservation_table *table, struct cluster *cluster,
    struct job_entry *entry)
{
	if (entry->reservation == NO_INDEX)
		return;
	unreserve_workers(
	    cluster, &table->slots[entry->reservation], entry->reservation);
	free_slot(table, entry->reservation);
}

void
reservation_reset(struct reservation_table *table)
{
	for (uint32_t i = 0; i < RESERVATION_SLOTS; i++) {
		if (table->slots[i].kind != RESERVATION_NONE)
			free_slot(table, i);
	}
}

const struct reservation *
reservation_find(
    const struct reservation_table *table, const struct job_entry *entry)
{
	if (entry->reservation == NO_INDEX)
		return NULL;
	return &table->slots[entry->reservation];
}
