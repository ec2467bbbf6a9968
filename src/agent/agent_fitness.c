/*
 * Which instance is fit to lead: the lead capacity of this instance and its
 * peers, and how busy the control thread is.
 */
#include "agent/agent_state.h"
#include "process/counters.h"

/* A lead exchanges up to this much with workers and the store a second while it
 * spends a thousandth of a core. */
#define LINK_KBIT_PER_CPU_MILLI 64
/* A lead that spends this much of a core needs a megabyte for its jobs. */
#define CPU_MILLI_PER_MB 2
/* An instance without any free lead capacity leaves an absent lead key to
 * fitter peers for this long. They need a few store calls to take it. */
#define MAX_YIELD_MS   400
#define LOAD_WINDOW_US 500000
/* Above this load the control thread falls behind with any further work. */
#define HIGH_LOAD_PERMILLE 850
#define FULL_LOAD_PERMILLE 1000

/* Returns the lower of two limits, of which 0 means unknown. */
static int64_t
lower_limit(int64_t left, int64_t right)
{
	if (left == 0 || right == 0)
		return left + right;
	return left < right ? left : right;
}

int64_t
agent_fitness_capacity(const struct agent *agent)
{
	const struct platform_settings *settings = &agent->settings;
	int64_t capacity = settings->cpu_milli;

	capacity = lower_limit(
	    capacity, settings->link_kbit / LINK_KBIT_PER_CPU_MILLI);
	return lower_limit(capacity, settings->memory_mb * CPU_MILLI_PER_MB);
}

int64_t
agent_fitness_of_peer(const struct agent *agent, const char *name)
{
	const struct agent_capacity *capacity =
	    name_index_get(&agent->peers.capacities, name);

	return capacity == NULL ? 0 : capacity->value;
}

int64_t
agent_fitness_best_peer(const struct agent *agent)
{
	const struct name_index *peers = &agent->peers.index;
	int64_t best = 0;

	for (size_t i = 0; i < peers->count; i++) {
		int64_t capacity =
		    agent_fitness_of_peer(agent, peers->items[i].name);

		if (capacity > best)
			best = capacity;
	}
	return best;
}

int64_t
agent_fitness_yield_ms(const struct agent *agent)
{
	int64_t best = agent_fitness_best_peer(agent);
	int64_t free_permille = FULL_LOAD_PERMILLE - agent->load.busy_permille;
	int64_t own =
	    agent_fitness_capacity(agent) * free_permille / FULL_LOAD_PERMILLE;

	if (agent->relay.via_peer)
		own = 0;
	if (best == 0 || own >= best)
		return 0;
	return MAX_YIELD_MS * (best - own) / best;
}

void
agent_load_update(struct agent_load *load, int64_t now_us, int64_t waited_us)
{
	int64_t window_us = now_us - load->window_began_us;
	int64_t busy_us = window_us - (waited_us - load->window_waited_us);
	int32_t busy_permille;

	if (load->window_began_us != 0) {
		if (window_us < LOAD_WINDOW_US)
			return;
		busy_permille =
		    (int32_t)(busy_us * FULL_LOAD_PERMILLE / window_us);
		load->busy_permille = (load->busy_permille + busy_permille) / 2;
		gauge_set(GAUGE_CONTROL_BUSY, load->busy_permille);
	}
	load->window_began_us = now_us;
	load->window_waited_us = waited_us;
}

bool
agent_load_is_high(const struct agent_load *load)
{
	return load->busy_permille >= HIGH_LOAD_PERMILLE;
}
