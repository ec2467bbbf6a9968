#include <string.h>

#include "process/alloc.h"
#include "process/freshness.h"

void
freshness_confirm_at(struct freshness *freshness, int64_t asked_ms)
{
	if (asked_ms > freshness->confirmed_ms)
		freshness->confirmed_ms = asked_ms;
}

uint64_t
freshness_begin_round(
    struct freshness *freshness, uint32_t instances, int64_t now_ms)
{
	freshness->round++;
	freshness->round_start_ms = now_ms;
	freshness->confirmed_peers_count = 0;
	/* With this instance, these are more than half. */
	freshness->peers_needed = instances / 2;
	if (freshness->peers_needed == 0)
		freshness_confirm_at(freshness, now_ms);
	return freshness->round;
}

void
freshness_add_confirmation(
    struct freshness *freshness, uint64_t round, const char *peer)
{
	if (round != freshness->round ||
	    freshness->confirmed_peers_count >= FRESHNESS_MAX_PEERS)
		return;
	for (uint32_t i = 0; i < freshness->confirmed_peers_count; i++) {
		if (strcmp(freshness->confirmed_peers[i], peer) == 0)
			return;
	}
	STRING_COPY(
	    freshness->confirmed_peers[freshness->confirmed_peers_count], peer);
	freshness->confirmed_peers_count++;
	if (freshness->confirmed_peers_count >= freshness->peers_needed)
		freshness_confirm_at(freshness, freshness->round_start_ms);
}

bool
freshness_is_confirmed(const struct freshness *freshness, int64_t now_ms)
{
	return freshness->confirmed_ms > 0 &&
	    now_ms - freshness->confirmed_ms <= freshness->limit_ms;
}
