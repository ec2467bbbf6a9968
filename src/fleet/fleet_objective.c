/* What a job's callers need. */
#include "fleet/fleet_objective.h"

#define MILLI_PER_UNIT 1000.0

static bool
follows(const Ibis__JobStep *step, uint32_t earlier)
{
	for (size_t i = 0; i < step->n_after; i++) {
		if (step->after[i] == earlier)
			return true;
	}
	return false;
}

int64_t
fleet_objective_chains(const Ibis__StepJob *spec, int64_t *chain_ms)
{
	int64_t longest_ms = 0;

	/* Steps wait for earlier ones only. */
	for (uint32_t i = (uint32_t)spec->n_steps; i-- > 0;) {
		chain_ms[i] = 0;
		for (uint32_t j = i + 1; j < spec->n_steps; j++) {
			if (follows(spec->steps[j], i) &&
			    chain_ms[j] > chain_ms[i])
				chain_ms[i] = chain_ms[j];
		}
		chain_ms[i] += spec->steps[i]->estimate_ms;
		if (chain_ms[i] > longest_ms)
			longest_ms = chain_ms[i];
	}
	return longest_ms;
}

int64_t
fleet_objective_ms(const Ibis__StepJob *spec, int64_t longest_ms)
{
	return (int64_t)((double)longest_ms * spec->stretch_milli /
		   MILLI_PER_UNIT) +
	    spec->target_ms;
}
