#include <string.h>

#include <xxhash.h>

#include "process/alloc.h"
#include "process/cluster.h"
#include "process/job_entry.h"

static uint32_t
max_u32(uint32_t left, uint32_t right)
{
	return left > right ? left : right;
}

/* Returns the slot that holds the name, or the empty one where it belongs. */
static size_t
find_name_slot(const struct cluster *cluster, const char *name)
{
	size_t mask = cluster->name_index_count - 1;
	size_t slot = XXH3_64bits(name, strlen(name)) & mask;

	while (cluster->name_index[slot] != NO_INDEX &&
	    strcmp(cluster->names[cluster->name_index[slot]], name) != 0)
		slot = (slot + 1) & mask;
	return slot;
}

static void
build_name_index(struct cluster *cluster)
{
	cluster->name_index_count = 16;
	while (cluster->name_index_count < cluster->workers_count * 2)
		cluster->name_index_count *= 2;
	cluster->name_index =
	    mem_calloc(cluster->name_index_count, sizeof(*cluster->name_index));
	for (size_t i = 0; i < cluster->name_index_count; i++)
		cluster->name_index[i] = NO_INDEX;
	for (size_t i = 0; i < cluster->workers_count; i++)
		cluster
		    ->name_index[find_name_slot(cluster, cluster->names[i])] =
		    (uint32_t)i;
}

static void
build_zones(struct cluster *cluster, const struct document *document)
{
	cluster->zones_count = document->zones_count;
	cluster->zones =
	    mem_calloc(cluster->zones_count, sizeof(*cluster->zones));
	for (size_t i = 0; i < cluster->zones_count; i++) {
		struct cluster_zone *zone = &cluster->zones[i];

		STRING_COPY(zone->name, document->zones[i].name);
		zone->in_service = document->zones[i].in_service;
		zone->leave_deadline_ms = document->zones[i].leave_deadline_ms;
		zone->left_ms = INT64_MIN;
		zone->returned_ms = INT64_MIN;
	}
}

static void
build_racks(struct cluster *cluster, const struct document *document)
{
	cluster->racks_count = document->racks_count;
	cluster->racks =
	    mem_calloc(cluster->racks_count, sizeof(*cluster->racks));
	for (size_t i = 0; i < cluster->racks_count; i++) {
		const struct document_rack *from = &document->racks[i];
		struct cluster_rack *rack = &cluster->racks[i];

		STRING_COPY(rack->name, from->name);
		rack->zone = from->zone;
		rack->first_worker = from->first_worker;
		rack->workers_count = from->workers_count;
		rack->accelerators_per_worker = from->accelerators_per_worker;
	}
}

static void
build_workers(struct cluster *cluster, const struct document *document)
{
	cluster->workers_count = document->workers_count;
	cluster->workers =
	    mem_calloc(cluster->workers_count, sizeof(*cluster->workers));
	cluster->names =
	    mem_calloc(cluster->workers_count, sizeof(*cluster->names));
	for (size_t i = 0; i < cluster->workers_count; i++) {
		struct cluster_worker *worker = &cluster->workers[i];
		uint32_t rack = document->workers[i].rack;

		worker->rack = rack;
		worker->zone = document->racks[rack].zone;
		worker->capacity =
		    document->racks[rack].accelerators_per_worker;
		worker->condition = WORKER_LOST;
		worker->draining_slot = NO_INDEX;
		STRING_COPY(cluster->names[i], document->workers[i].name);
	}
}

void
cluster_build(struct cluster *cluster, const struct document *document)
{
	*cluster = (struct cluster){0};
	build_zones(cluster, document);
	build_racks(cluster, document);
	build_workers(cluster, document);
	cluster->shares_per_worker = document->workspaces_count + 1;
	cluster->shares =
	    mem_calloc(cluster->workers_count * cluster->shares_per_worker,
		sizeof(*cluster->shares));
	build_name_index(cluster);
}

void
cluster_clear(struct cluster *cluster)
{
	for (size_t i = 0; i < cluster->workers_count; i++)
		mem_free(cluster->workers[i].jobs);
	mem_free(cluster->zones);
	mem_free(cluster->racks);
	mem_free(cluster->workers);
	mem_free(cluster->names);
	mem_free(cluster->shares);
	mem_free(cluster->name_index);
	*cluster = (struct cluster){0};
}

uint32_t
cluster_find_worker(const struct cluster *cluster, const char *name)
{
	if (cluster->name_index_count == 0)
		return NO_INDEX;
	return cluster->name_index[find_name_slot(cluster, name)];
}

uint32_t
cluster_find_zone(const struct cluster *cluster, const char *name)
{
	for (size_t i = 0; i < cluster->zones_count; i++) {
		if (strcmp(cluster->zones[i].name, name) == 0)
			return (uint32_t)i;
	}
	return NO_INDEX;
}

/* Recomputes a rack's sums after one of its workers has changed. */
static void
update_rack_sums(struct cluster *cluster, uint32_t index)
{
	struct cluster_rack *rack = &cluster->racks[index];

	rack->free = 0;
	rack->max_free = 0;
	for (uint32_t i = 0; i < rack->workers_count; i++) {
		uint32_t free = cluster_free(cluster, rack->first_worker + i);

		rack->free += free;
		rack->max_free = max_u32(rack->max_free, free);
	}
}

/* Recomputes whether a worker is usable, and the sums that depend on it. */
static void
update_usable(struct cluster *cluster, uint32_t index)
{
	struct cluster_worker *worker = &cluster->workers[index];
	struct cluster_zone *zone = &cluster->zones[worker->zone];
	bool usable = worker->condition == WORKER_SERVING &&
	    !worker->quarantined && zone->in_service;

	if (usable == worker->usable)
		return;
	worker->usable = usable;
	if (usable) {
		zone->usable_accelerators += worker->capacity;
		zone->used += worker->used;
	} else {
		zone->usable_accelerators -= worker->capacity;
		zone->used -= worker->used;
	}
	update_rack_sums(cluster, worker->rack);
}

void
cluster_set_condition(
    struct cluster *cluster, uint32_t worker, enum worker_condition condition)
{
	cluster->workers[worker].condition = condition;
	update_usable(cluster, worker);
}

void
cluster_set_quarantined(
    struct cluster *cluster, uint32_t worker, bool quarantined)
{
	cluster->workers[worker].quarantined = quarantined;
	update_usable(cluster, worker);
}

void
cluster_set_zone(struct cluster *cluster, uint32_t zone, bool in_service)
{
	cluster->zones[zone].in_service = in_service;
	for (size_t i = 0; i < cluster->workers_count; i++) {
		if (cluster->workers[i].zone == zone)
			update_usable(cluster, (uint32_t)i);
	}
}

struct cluster_share *
cluster_share(
    const struct cluster *cluster, uint32_t worker, uint32_t workspace)
{
	size_t last = cluster->shares_per_worker - 1;
	size_t column = workspace < last ? workspace : last;

	return &cluster->shares[worker * cluster->shares_per_worker + column];
}

/* Replaces one share and updates the worker's sums over its shares. */
static void
update_share(struct cluster *cluster, uint32_t index, uint32_t workspace,
    struct cluster_share new_share)
{
	struct cluster_worker *worker = &cluster->workers[index];
	struct cluster_share *share = cluster_share(cluster, index, workspace);

	worker->committed -= max_u32(share->claim, share->non_preemptible);
	worker->claimed_or_used -= max_u32(share->claim, share->used);
	*share = new_share;
	worker->committed += max_u32(share->claim, share->non_preemptible);
	worker->claimed_or_used += max_u32(share->claim, share->used);
}

void
cluster_allocate_task(
    struct cluster *cluster, uint32_t index, struct job_entry *entry)
{
	struct cluster_worker *worker = &cluster->workers[index];
	uint32_t amount = entry->job.accelerators_per_task;
	struct cluster_share share =
	    *cluster_share(cluster, index, entry->workspace);

	share.used = (uint16_t)(share.used + amount);
	if (job_entry_is_non_preemptible(entry))
		share.non_preemptible =
		    (uint16_t)(share.non_preemptible + amount);
	update_share(cluster, index, entry->workspace, share);
	worker->jobs = mem_grow(worker->jobs, &worker->jobs_capacity,
	    worker->jobs_count + 1, sizeof(struct job_entry *));
	worker->jobs[worker->jobs_count++] = entry;
	worker->used += amount;
	if (worker->usable)
		cluster->zones[worker->zone].used += amount;
	if (entry->expected_end_ms > worker->drained_ms)
		worker->drained_ms = entry->expected_end_ms;
	update_rack_sums(cluster, worker->rack);
}

static void
remove_task(struct cluster_worker *worker, const struct job_entry *entry)
{
	for (size_t i = 0; i < worker->jobs_count; i++) {
		if (worker->jobs[i] != entry)
			continue;
		worker->jobs[i] = worker->jobs[--worker->jobs_count];
		return;
	}
}

static void
update_drained_ms(struct cluster_worker *worker, int64_t now_ms)
{
	worker->drained_ms = now_ms;
	for (size_t i = 0; i < worker->jobs_count; i++) {
		if (worker->jobs[i]->expected_end_ms > worker->drained_ms)
			worker->drained_ms = worker->jobs[i]->expected_end_ms;
	}
}

void
cluster_release_task(struct cluster *cluster, uint32_t index,
    struct job_entry *entry, int64_t now_ms)
{
	struct cluster_worker *worker = &cluster->workers[index];
	uint32_t amount = entry->job.accelerators_per_task;
	struct cluster_share share =
	    *cluster_share(cluster, index, entry->workspace);

	share.used = (uint16_t)(share.used - amount);
	if (job_entry_is_non_preemptible(entry))
		share.non_preemptible =
		    (uint16_t)(share.non_preemptible - amount);
	update_share(cluster, index, entry->workspace, share);
	remove_task(worker, entry);
	worker->used -= amount;
	if (worker->usable)
		cluster->zones[worker->zone].used -= amount;
	update_drained_ms(worker, now_ms);
	update_rack_sums(cluster, worker->rack);
}

void
cluster_adjust_claim(struct cluster *cluster, uint32_t worker,
    uint32_t workspace, int32_t accelerators)
{
	struct cluster_share share = *cluster_share(cluster, worker, workspace);

	share.claim = (uint16_t)(share.claim + accelerators);
	update_share(cluster, worker, workspace, share);
}

uint32_t
cluster_free(const struct cluster *cluster, uint32_t index)
{
	const struct cluster_worker *worker = &cluster->workers[index];

	if (!worker->usable || worker->used >= worker->capacity)
		return 0;
	return worker->capacity - worker->used;
}

/* Returns the capacity left for a workspace after the shares of the others and
 * what it uses itself. */
static uint32_t
remaining_capacity(uint32_t capacity, uint32_t all_shares, uint32_t own_share,
    uint32_t own_used)
{
	uint32_t others = all_shares - own_share;

	if (others + own_used >= capacity)
		return 0;
	return capacity - others - own_used;
}

uint32_t
cluster_non_preemptible_capacity(
    const struct cluster *cluster, uint32_t index, uint32_t workspace)
{
	const struct cluster_worker *worker = &cluster->workers[index];
	const struct cluster_share *share =
	    cluster_share(cluster, index, workspace);

	return remaining_capacity(worker->capacity, worker->committed,
	    max_u32(share->claim, share->non_preemptible),
	    share->non_preemptible);
}

uint32_t
cluster_unborrowed_capacity(
    const struct cluster *cluster, uint32_t index, uint32_t workspace)
{
	const struct cluster_worker *worker = &cluster->workers[index];
	const struct cluster_share *share =
	    cluster_share(cluster, index, workspace);

	return remaining_capacity(worker->capacity, worker->claimed_or_used,
	    max_u32(share->claim, share->used), share->used);
}
