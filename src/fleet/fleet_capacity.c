/* Workers whose resources change while they run. */
#include "fleet/fleet_model.h"

static int64_t
lower(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static struct fleet_resources
lower_of(const struct fleet_resources *a, const struct fleet_resources *b)
{
	return (struct fleet_resources){
	    .cpu_milli = lower(a->cpu_milli, b->cpu_milli),
	    .memory_mb = lower(a->memory_mb, b->memory_mb),
	    .accelerators = lower(a->accelerators, b->accelerators),
	};
}

static bool
is_equal(const struct fleet_resources *a, const struct fleet_resources *b)
{
	return a->cpu_milli == b->cpu_milli && a->memory_mb == b->memory_mb &&
	    a->accelerators == b->accelerators;
}

/* Changes a worker's resources. Placed tasks that have no room any more are
 * placed anew; what runs goes on. */
static void
set_resources(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_resources *resources, bool reported, int64_t now_ms)
{
	struct fleet_resources before = worker->resources;
	struct fleet_resources left;

	if (is_equal(&before, resources))
		return;
	worker->resources = *resources;
	fleet_add_capacity_event(fleet, worker, &before, reported);
	left = fleet_worker_free_capacity(worker);
	if (fleet_resources_exceeded(&left))
		fleet_withdraw_placed(fleet, worker, now_ms);
	fleet->changed = true;
	fleet_wake_at(fleet, now_ms);
}

void
fleet_note_listed_resources(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_resources *listed, bool same_incarnation, int64_t now_ms)
{
	struct fleet_resources resources = *listed;

	if (!same_incarnation) {
		worker->resources = *listed;
		return;
	}
	if (is_equal(listed, &worker->entry.resources))
		return;
	if (worker->reports_resources) {
		resources = lower_of(listed, &worker->resources);
		worker->resources_unconfirmed = true;
	}
	set_resources(fleet, worker, &resources, false, now_ms);
}

void
fleet_note_reported_resources(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_resources *reported, int64_t now_ms)
{
	worker->reports_resources = true;
	worker->resources_unconfirmed = false;
	set_resources(fleet, worker, reported, true, now_ms);
}
