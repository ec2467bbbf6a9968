#include <string.h>

#include "process/alloc.h"
#include "process/freshness.h"

void
freshness_confirm_from(struct freshness *freshness, int64_t asked_ms)
{
	if (asked_ms > freshness->confirmed_ms)
		freshness->confirmed_ms = asked_ms;
}

uint64_t
freshness_begin_round(
    struct freshness *freshness, uint32_t instances, int64_t now_ms)
{
	freshness->round++;
	freshness->round_ms = now_ms;
	freshness->confirmed_count = 0;
	/* This instance counts as one of the more than half. */
	freshness->needed = instances / 2;
	if (freshness->needed == 0)
		freshness_confirm_from(freshness, now_ms);
	return freshness->round;
}

void
freshness_confirm(struct freshness *freshness, uint64_t round, const char *peer)
{
	if (round != freshness->round ||
	    freshness->confirmed_count >= FRESHNESS_MAX_PEERS)
		return;
	for (uint32_t i = 0; i < freshness->confirmed_count; i++) {
		if (strcmp(freshness->confirmed[i], peer) == 0)
			return;
	}
	STRING_COPY(freshness->confirmed[freshness->confirmed_count], peer);
	freshness->confirmed_count++;
	if (freshness->confirmed_count >= freshness->needed)
		freshness_confirm_from(freshness, freshness->round_ms);
}

bool
freshness_holds(const struct freshness *freshness, int64_t now_ms)
{
	return freshness->confirmed_ms > 0 &&
	    now_ms - freshness->confirmed_ms <= freshness->limit_ms;
}
