#include <string.h>

#include "process/alloc.h"
#include "process/job_queue.h"

/* Waiting time that raises a lane by one step of precedence. */
#define AGEING_STEP_MS INT64_C(600000)

void
job_queue_set_lanes(struct job_queue *queue, size_t lanes_count)
{
	job_queue_clear(queue);
	queue->lanes = mem_calloc(lanes_count, sizeof(*queue->lanes));
	queue->lanes_count = lanes_count;
}

void
job_queue_clear(struct job_queue *queue)
{
	for (size_t i = 0; i < queue->lanes_count; i++)
		mem_free(queue->lanes[i].items);
	mem_free(queue->lanes);
	*queue = (struct job_queue){0};
}

static bool
precedes(const struct job_queue_item *item, int64_t key_ms, uint64_t sequence)
{
	if (item->key_ms != key_ms)
		return item->key_ms < key_ms;
	return item->sequence < sequence;
}

/* Returns the position of the first item that doesn't precede the key. */
static size_t
lower_bound(
    const struct job_queue_lane *lane, int64_t key_ms, uint64_t sequence)
{
	size_t low = 0;
	size_t high = lane->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (precedes(&lane->items[middle], key_ms, sequence))
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

void
job_queue_add(struct job_queue *queue, struct job_entry *entry, int64_t key_ms,
    int64_t expires_ms)
{
	struct job_queue_lane *lane = &queue->lanes[entry->lane];
	size_t position = lower_bound(lane, key_ms, entry->sequence);

	lane->items = mem_grow(lane->items, &lane->capacity, lane->count + 1,
	    sizeof(*lane->items));
	memmove(&lane->items[position + 1], &lane->items[position],
	    (lane->count - position) * sizeof(*lane->items));
	lane->items[position] = (struct job_queue_item){
	    .key_ms = key_ms,
	    .sequence = entry->sequence,
	    .expires_ms = expires_ms,
	    .entry = entry,
	};
	entry->lane_key_ms = key_ms;
	lane->count++;
	queue->count++;
}

void
job_queue_remove(struct job_queue *queue, struct job_entry *entry)
{
	struct job_queue_lane *lane = &queue->lanes[entry->lane];
	size_t position =
	    lower_bound(lane, entry->lane_key_ms, entry->sequence);

	if (position >= lane->count || lane->items[position].entry != entry)
		return;
	lane->count--;
	queue->count--;
	memmove(&lane->items[position], &lane->items[position + 1],
	    (lane->count - position) * sizeof(*lane->items));
}

struct job_queue_walk
job_queue_walk_start(const struct job_queue *queue, bool overdue,
    size_t lane_limit, int64_t now_ms)
{
	struct job_queue_walk walk = {
	    .queue = queue,
	    .positions = mem_calloc(queue->lanes_count, sizeof(size_t)),
	    .ends = mem_calloc(queue->lanes_count, sizeof(size_t)),
	    .now_ms = now_ms,
	};

	for (size_t i = 0; i < queue->lanes_count; i++) {
		const struct job_queue_lane *lane = &queue->lanes[i];
		size_t split = lane->urgent ? 0 : lower_bound(lane, now_ms, 0);

		walk.positions[i] = overdue ? 0 : split;
		walk.ends[i] = overdue ? split : lane->count;
		if (walk.ends[i] - walk.positions[i] > lane_limit)
			walk.ends[i] = walk.positions[i] + lane_limit;
	}
	return walk;
}

/* Returns a lane's precedence after ageing; lower is served first. */
static int64_t
effective_precedence(const struct job_queue_lane *lane, int64_t now_ms)
{
	int64_t waited_ms = now_ms - lane->items[0].entry->queued_ms;

	return (int64_t)lane->precedence - waited_ms / AGEING_STEP_MS;
}

static bool
lane_precedes(const struct job_queue_walk *walk, size_t left, size_t right)
{
	const struct job_queue_lane *one = &walk->queue->lanes[left];
	const struct job_queue_lane *other = &walk->queue->lanes[right];
	int64_t one_rank;
	int64_t other_rank;

	if (one->urgent != other->urgent)
		return one->urgent;
	one_rank = effective_precedence(one, walk->now_ms);
	other_rank = effective_precedence(other, walk->now_ms);
	if (one_rank != other_rank)
		return one_rank < other_rank;
	return one->items[walk->positions[left]].key_ms <
	    other->items[walk->positions[right]].key_ms;
}

struct job_entry *
job_queue_walk_next(struct job_queue_walk *walk)
{
	size_t best = SIZE_MAX;

	for (size_t i = 0; i < walk->queue->lanes_count; i++) {
		if (walk->positions[i] >= walk->ends[i])
			continue;
		if (best == SIZE_MAX || lane_precedes(walk, i, best))
			best = i;
	}
	if (best == SIZE_MAX)
		return NULL;
	return walk->queue->lanes[best].items[walk->positions[best]++].entry;
}

void
job_queue_walk_end(struct job_queue_walk *walk)
{
	mem_free(walk->positions);
	mem_free(walk->ends);
	walk->positions = NULL;
	walk->ends = NULL;
}
