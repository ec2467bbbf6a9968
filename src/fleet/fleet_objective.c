/* What a job's callers need. */
#include "fleet/fleet_objective.h"

#define MILLI_PER_UNIT 1000

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
fleet_objective_chain_ms(const Ibis__StepJob *spec, uint32_t step)
{
	int64_t rest_ms[FLEET_MAX_STEPS] = {0};
	int64_t longest_ms = 0;

	/* Steps wait for earlier ones only. */
	for (uint32_t i = (uint32_t)spec->n_steps; i-- > step;) {
		for (uint32_t j = i + 1; j < spec->n_steps; j++) {
			if (follows(spec->steps[j], i) &&
			    rest_ms[j] > rest_ms[i])
				rest_ms[i] = rest_ms[j];
		}
		rest_ms[i] += spec->steps[i]->estimate_ms;
		if (rest_ms[i] > longest_ms)
			longest_ms = rest_ms[i];
	}
	return step == 0 ? longest_ms : rest_ms[step];
}

int64_t
fleet_objective_ms(const Ibis__StepJob *spec)
{
	return fleet_objective_chain_ms(spec, 0) * spec->stretch_milli /
	    MILLI_PER_UNIT +
	    spec->target_ms;
}

int64_t
fleet_objective_slack_ms(const Ibis__StepJob *spec)
{
	return fleet_objective_ms(spec) - fleet_objective_chain_ms(spec, 0);
}
