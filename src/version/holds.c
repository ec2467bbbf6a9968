/* The set of zone holds. */
#include <string.h>

#include "process/alloc.h"
#include "version/holds.h"

static struct hold *
find_hold(const struct holds *holds, const char *zone, const char *order)
{
	for (size_t i = 0; i < holds->count; i++) {
		struct hold *hold = &holds->items[i];

		if (strcmp(hold->order, order) == 0 &&
		    strcmp(hold->zone, zone) == 0)
			return hold;
	}
	return NULL;
}

bool
holds_add(struct holds *holds, const char *zone, const char *order,
    uint64_t settled_version, int64_t now_ms)
{
	struct hold *hold = find_hold(holds, zone, order);

	if (!STRING_FITS(hold->zone, zone) || !STRING_FITS(hold->order, order))
		return false;

	if (hold != NULL) {
		if (settled_version <= hold->settled_version)
			return false;
		hold->settled_version = settled_version;
		return true;
	}
	holds->items = mem_grow(holds->items, &holds->capacity,
	    holds->count + 1, sizeof(*holds->items));
	hold = &holds->items[holds->count++];
	*hold = (struct hold){
	    .settled_version = settled_version,
	    .since_ms = now_ms,
	};
	STRING_COPY(hold->zone, zone);
	STRING_COPY(hold->order, order);
	return true;
}

/* Returns whether a head makes a hold unnecessary. */
static bool
is_replaced(const struct hold *hold, const struct head *head)
{
	if (hold->settled_version != 0 &&
	    head->version >= hold->settled_version)
		return true;
	return head_contains_order(head, hold->zone, hold->order);
}

void
holds_apply_head(struct holds *holds, const struct head *head)
{
	size_t remaining = 0;

	for (size_t i = 0; i < holds->count; i++) {
		if (!is_replaced(&holds->items[i], head))
			holds->items[remaining++] = holds->items[i];
	}
	holds->count = remaining;
}

bool
holds_forbid(const struct holds *holds, const char *zone)
{
	for (size_t i = 0; i < holds->count; i++) {
		if (strcmp(holds->items[i].zone, zone) == 0)
			return true;
	}
	return false;
}

void
holds_free(struct holds *holds)
{
	mem_free(holds->items);
	*holds = (struct holds){0};
}
