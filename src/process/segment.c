#include <string.h>

#include "process/alloc.h"
#include "process/segment.h"

#define INITIAL_RETRY_MS    50
#define MAX_RETRY_MS	    1000
#define MAX_RETRY_DOUBLINGS 5

void
segment_add_change(struct segment *segment, struct job_id job,
    enum segment_step step, uint64_t attempt)
{
	segment->dirty = true;
	if (step == STEP_NONE)
		return;
	segment->waiting =
	    mem_grow(segment->waiting, &segment->waiting_capacity,
		segment->waiting_count + 1, sizeof(*segment->waiting));
	segment->waiting[segment->waiting_count++] = (struct segment_entry){
	    .job = job,
	    .step = step,
	    .attempt = attempt,
	};
}

enum segment_action
segment_next(struct segment *segment, int64_t now_ms)
{
	switch (segment->state) {
	case SEGMENT_IDLE:
		return segment->dirty ? SEGMENT_BUILD_SWAP : SEGMENT_NOTHING;
	case SEGMENT_WAITING:
		if (now_ms < segment->retry_ms)
			return SEGMENT_NOTHING;
		if (segment->unsent) {
			segment->state = SEGMENT_SWAPPING;
			return SEGMENT_SEND_SWAP;
		}
		segment->state = SEGMENT_READING;
		return SEGMENT_SEND_READ;
	case SEGMENT_SWAPPING:
	case SEGMENT_READING:
	case SEGMENT_LOST:
		break;
	}
	return SEGMENT_NOTHING;
}

void
segment_begin_swap(struct segment *segment, struct buffer *value)
{
	struct segment_entry *unused = segment->committing;
	size_t capacity = segment->committing_capacity;

	buffer_free(&segment->in_flight);
	segment->in_flight = *value;
	segment->size_bytes = value->length;
	*value = (struct buffer){0};
	segment->committing = segment->waiting;
	segment->committing_count = segment->waiting_count;
	segment->committing_capacity = segment->waiting_capacity;
	segment->waiting = unused;
	segment->waiting_count = 0;
	segment->waiting_capacity = capacity;
	segment->dirty = false;
	segment->unsent = true;
	segment->may_land = false;
	segment->state = SEGMENT_SWAPPING;
}

/* Records that the swap has been applied; returns true. */
static bool
complete_swap(struct segment *segment, uint64_t revision)
{
	segment->revision = revision;
	segment->state = SEGMENT_IDLE;
	segment->failures = 0;
	return true;
}

/* Schedules a retry with exponential backoff. */
static void
retry_later(struct segment *segment, int64_t now_ms)
{
	uint32_t doublings = segment->failures;
	int64_t delay_ms;

	if (doublings > MAX_RETRY_DOUBLINGS)
		doublings = MAX_RETRY_DOUBLINGS;
	delay_ms = (int64_t)INITIAL_RETRY_MS << doublings;
	if (delay_ms > MAX_RETRY_MS)
		delay_ms = MAX_RETRY_MS;
	segment->failures++;
	segment->retry_ms = now_ms + delay_ms;
	segment->state = SEGMENT_WAITING;
}

bool
segment_handle_swap_result(struct segment *segment, enum ibis_code code,
    uint64_t revision, int64_t now_ms)
{
	if (segment->state != SEGMENT_SWAPPING)
		return false;
	switch (code) {
	case IBIS_OK:
		return complete_swap(segment, revision);
	case IBIS_CONFLICT:
		/* An earlier send of the same bytes may have been applied. */
		segment->unsent = false;
		segment->retry_ms = now_ms;
		segment->state = SEGMENT_WAITING;
		return false;
	case IBIS_UNAVAILABLE:
		retry_later(segment, now_ms);
		return false;
	default:
		segment->unsent = false;
		segment->may_land = true;
		retry_later(segment, now_ms);
		return false;
	}
}

static bool
same_bytes(const struct buffer *left, const struct buffer *right)
{
	return left->length == right->length &&
	    (left->length == 0 ||
		memcmp(left->data, right->data, left->length) == 0);
}

bool
segment_handle_read_result(struct segment *segment, enum ibis_code code,
    uint64_t revision, const struct buffer *value, int64_t now_ms)
{
	if (segment->state != SEGMENT_READING)
		return false;
	if (code == IBIS_NOT_FOUND)
		revision = 0;
	else if (code != IBIS_OK) {
		retry_later(segment, now_ms);
		return false;
	}
	if (revision == segment->revision) {
		/* Not applied yet; the identical bytes are sent again. An
		 * earlier sending may still be on its way. */
		segment->unsent = true;
		segment->retry_ms = now_ms;
		segment->state = SEGMENT_WAITING;
		return false;
	}
	if (revision != 0 && same_bytes(value, &segment->in_flight))
		return complete_swap(segment, revision);
	segment->state = SEGMENT_LOST;
	return false;
}

void
segment_finish_swap(struct segment *segment)
{
	segment->committing_count = 0;
	buffer_free(&segment->in_flight);
}

bool
segment_can_cancel_swap(const struct segment *segment)
{
	return segment->state == SEGMENT_WAITING && segment->unsent &&
	    !segment->may_land;
}

void
segment_cancel_swap(struct segment *segment)
{
	size_t total = segment->committing_count + segment->waiting_count;

	segment->committing = mem_grow(segment->committing,
	    &segment->committing_capacity, total, sizeof(*segment->committing));
	if (segment->waiting_count > 0)
		memcpy(&segment->committing[segment->committing_count],
		    segment->waiting,
		    segment->waiting_count * sizeof(*segment->waiting));
	mem_free(segment->waiting);
	segment->waiting = segment->committing;
	segment->waiting_count = total;
	segment->waiting_capacity = segment->committing_capacity;
	segment->committing = NULL;
	segment->committing_count = 0;
	segment->committing_capacity = 0;
	buffer_free(&segment->in_flight);
	segment->dirty = true;
	segment->state = SEGMENT_IDLE;
}

void
segment_reset(struct segment *segment, uint64_t revision, uint64_t sequence)
{
	buffer_free(&segment->in_flight);
	segment->state = SEGMENT_IDLE;
	segment->revision = revision;
	segment->sequence = sequence;
	segment->dirty = false;
	segment->waiting_count = 0;
	segment->committing_count = 0;
	segment->failures = 0;
}

void
segment_free(struct segment *segment)
{
	buffer_free(&segment->in_flight);
	mem_free(segment->waiting);
	mem_free(segment->committing);
	*segment = (struct segment){0};
}
