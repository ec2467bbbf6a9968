#include <stdlib.h>

#include "process/alloc.h"
#include "process/zone_evacuation.h"

#define EVICT_REASON		   "zone_out"
#define MAX_EARLY_EVICTIONS	   16 /* per interval */
#define EARLY_EVICTION_INTERVAL_MS 500

/* Returns when work must have left the zone; INT64_MIN when the zone has been
 * out of service since the first document. */
static int64_t
leave_by_ms(const struct cluster_zone *zone)
{
	if (zone->left_ms == INT64_MIN)
		return INT64_MIN;
	return zone->left_ms + zone->leave_deadline_ms;
}

static bool
is_movable(const struct job_entry *entry)
{
	return (entry->state == ENTRY_RUNNING ||
		   entry->state == ENTRY_STARTING) &&
	    !job_entry_is_non_preemptible(entry);
}

/* Returns the earliest time by which the entry must leave one of its zones;
 * INT64_MAX when all are in service. */
static int64_t
entry_leave_by_ms(
    const struct scheduler *scheduler, const struct job_entry *entry)
{
	const struct cluster *cluster = &scheduler->cluster;
	int64_t earliest_ms = INT64_MAX;

	for (uint32_t i = 0; i < entry->job.tasks; i++) {
		const struct cluster_zone *zone;

		if (entry->workers[i] == NO_INDEX)
			continue;
		zone =
		    &cluster->zones[cluster->workers[entry->workers[i]].zone];
		if (!zone->in_service && leave_by_ms(zone) < earliest_ms)
			earliest_ms = leave_by_ms(zone);
	}
	return earliest_ms;
}

static bool
some_zone_is_out(const struct scheduler *scheduler)
{
	for (size_t i = 0; i < scheduler->cluster.zones_count; i++) {
		if (!scheduler->cluster.zones[i].in_service)
			return true;
	}
	return false;
}

void
zone_evacuate_at_deadline(struct scheduler *scheduler, int64_t now_ms)
{
	if (!some_zone_is_out(scheduler))
		return;
	for (size_t i = 0; i < scheduler->active_count; i++) {
		struct job_entry *entry = scheduler->active[i];
		int64_t leave_ms = entry_leave_by_ms(scheduler, entry);
		int64_t evict_ms = leave_ms;

		if (leave_ms == INT64_MAX || !is_movable(entry))
			continue;
		if (entry->expected_end_ms > leave_ms)
			evict_ms -= scheduler_checkpoint_timeout_ms(scheduler);
		if (now_ms >= evict_ms)
			scheduler_evict(scheduler, entry, EVICT_REASON, now_ms);
		else
			scheduler_wake_at(scheduler, evict_ms);
	}
}

static int
compare_entries(const void *left, const void *right)
{
	const struct job_entry *one = *(const struct job_entry *const *)left;
	const struct job_entry *other = *(const struct job_entry *const *)right;

	if (one->rank != other->rank)
		return one->rank < other->rank ? -1 : 1;
	if (one->job.deadline_ms != other->job.deadline_ms)
		return one->job.deadline_ms < other->job.deadline_ms ? -1 : 1;
	if (one->sequence != other->sequence)
		return one->sequence < other->sequence ? -1 : 1;
	return 0;
}

/* Fills entries with the checkpointable jobs that are not expected to end
 * before they must leave, in order of class and deadline. */
static size_t
collect_entries(const struct scheduler *scheduler, struct job_entry **entries)
{
	size_t count = 0;

	for (size_t i = 0; i < scheduler->active_count; i++) {
		struct job_entry *entry = scheduler->active[i];
		int64_t leave_ms = entry_leave_by_ms(scheduler, entry);

		if (leave_ms == INT64_MAX || !is_movable(entry) ||
		    !entry->job.checkpointable ||
		    entry->expected_end_ms <= leave_ms)
			continue;
		entries[count++] = entry;
	}
	if (count > 0)
		qsort(entries, count, sizeof(struct job_entry *),
		    compare_entries);
	return count;
}

/* Evicts one entry and reserves workers for it elsewhere; returns false when
 * none fit. */
static bool
move_entry(struct scheduler *scheduler, struct job_entry *entry, int64_t now_ms)
{
	struct placement_request request = {
	    .entry = entry,
	    .urgent = scheduler_is_urgent(scheduler, entry),
	    .ends_ms = now_ms +
		scheduler_remaining_ms(scheduler, entry, ESTIMATE_HIGH),
	};
	uint32_t *workers = mem_calloc(entry->job.tasks, sizeof(*workers));
	bool fits = placement_find(&scheduler->placement, &request, workers);

	if (fits) {
		reservation_make(&scheduler->reservations, &scheduler->cluster,
		    entry, RESERVATION_EXCLUSIVE, workers, entry->job.tasks,
		    now_ms + SCHEDULER_RECLAIM_TIMEOUT_MS);
		scheduler_evict(scheduler, entry, EVICT_REASON, now_ms);
	}
	mem_free(workers);
	return fits;
}

void
zone_evacuate_early(struct scheduler *scheduler, int64_t now_ms)
{
	struct job_entry **entries;
	size_t count;
	size_t moved = 0;

	if (!some_zone_is_out(scheduler) ||
	    now_ms < scheduler->next_evacuation_ms)
		return;
	scheduler->next_evacuation_ms = now_ms + EARLY_EVICTION_INTERVAL_MS;
	entries =
	    mem_calloc(scheduler->active_count, sizeof(struct job_entry *));
	count = collect_entries(scheduler, entries);
	for (size_t i = 0; i < count && moved < MAX_EARLY_EVICTIONS; i++) {
		if (move_entry(scheduler, entries[i], now_ms))
			moved++;
	}
	if (count > 0)
		scheduler_wake_at(scheduler, scheduler->next_evacuation_ms);
	mem_free(entries);
}
