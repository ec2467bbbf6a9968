/* Needs that no workers can meet in the current round of placement. */
#include <string.h>

#include "fleet/fleet_model.h"
#include "process/alloc.h"

void
fleet_unmet_clear(struct fleet *fleet, enum fleet_search_kind kind)
{
	size_t kept = 0;

	for (size_t i = 0; i < fleet->unmet_count; i++) {
		if (fleet->unmet[i].kind != kind)
			fleet->unmet[kept++] = fleet->unmet[i];
	}
	fleet->unmet_count = kept;
}

static bool
is_at_least(
    const struct fleet_resources *need, const struct fleet_resources *other)
{
	return need->cpu_milli >= other->cpu_milli &&
	    need->memory_mb >= other->memory_mb &&
	    need->accelerators >= other->accelerators;
}

/* Returns whether the workers that a step may use are among those that could
 * not meet the need. */
static bool
uses_same_workers(const struct fleet_unmet *unmet, const struct fleet_job *job,
    const Ibis__JobStep *step)
{
	return strcmp(unmet->service, job->spec->service) == 0 &&
	    (*unmet->label == '\0' || strcmp(unmet->label, step->label) == 0);
}

bool
fleet_unmet_covers(const struct fleet *fleet, enum fleet_search_kind kind,
    const struct fleet_job *job, const Ibis__JobStep *step, size_t count)
{
	struct fleet_resources need = fleet_step_need(step);

	for (size_t i = 0; i < fleet->unmet_count; i++) {
		const struct fleet_unmet *unmet = &fleet->unmet[i];

		if (unmet->kind == kind && count > unmet->fits &&
		    is_at_least(&need, &unmet->need) &&
		    uses_same_workers(unmet, job, step))
			return true;
	}
	return false;
}

void
fleet_unmet_add(struct fleet *fleet, enum fleet_search_kind kind,
    const struct fleet_job *job, const Ibis__JobStep *step, uint32_t fits)
{
	/* With a limit for each worker, steps without one may fit. */
	if (step->max_per_worker > 0 ||
	    fleet->unmet_count == COUNT_OF(fleet->unmet))
		return;
	fleet->unmet[fleet->unmet_count++] = (struct fleet_unmet){
	    .kind = kind,
	    .service = job->spec->service,
	    .label = step->label,
	    .need = fleet_step_need(step),
	    .fits = fits,
	};
}
