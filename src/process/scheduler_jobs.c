/* Changes of a job's state: queued, started, evicted, given up. */
#include <string.h>

#include "process/alloc.h"
#include "process/scheduler_state.h"

#define EXPIRY_INTERVAL_MS 50 /* least time between scans of the queue */
/* Jobs without a deadline are ordered by a soft one: the objective of their
 * class or else SOFT_DEADLINE_MS after acceptance, but at least
 * SOFT_DEADLINE_RUNS of their run times. */
#define SOFT_DEADLINE_MS   600000
#define SOFT_DEADLINE_RUNS 4
/* Remaining run time is at least the estimate divided by this. */
#define MIN_REMAINING_DIVISOR 10

const struct document_class *
scheduler_class_of(
    const struct scheduler *scheduler, const struct job_entry *entry)
{
	if (entry->request_class >= scheduler->classes_count)
		return NULL;
	return &scheduler->classes[entry->request_class];
}

bool
scheduler_is_urgent(
    const struct scheduler *scheduler, const struct job_entry *entry)
{
	const struct document_class *class =
	    scheduler_class_of(scheduler, entry);

	return class != NULL && class->urgent;
}

int64_t
scheduler_remaining_ms(const struct scheduler *scheduler,
    const struct job_entry *entry, enum estimate_quantile quantile)
{
	int64_t run_ms =
	    estimate_run_ms(&scheduler->estimates, entry->workspace,
		entry->request_class, entry->job.run_time_ms, quantile);
	int64_t min_ms = run_ms / MIN_REMAINING_DIVISOR;

	if (run_ms - entry->saved_run_ms < min_ms)
		return min_ms;
	return run_ms - entry->saved_run_ms;
}

int64_t
scheduler_checkpoint_timeout_ms(const struct scheduler *scheduler)
{
	return scheduler->config.reclaim_bound_ms / 2;
}

void
scheduler_wake_at(struct scheduler *scheduler, int64_t at_ms)
{
	if (at_ms < scheduler->next_decision_ms)
		scheduler->next_decision_ms = at_ms;
}

bool
scheduler_quota_allows(
    const struct scheduler *scheduler, const struct job_entry *entry)
{
	const struct scheduler_workspace *workspace;

	if (entry->workspace >= scheduler->workspaces_count)
		return true;
	workspace = &scheduler->workspaces[entry->workspace];
	return workspace->max_accelerators == 0 ||
	    workspace->used + job_entry_accelerators(entry) <=
	    workspace->max_accelerators;
}

static void
add_active(struct scheduler *scheduler, struct job_entry *entry)
{
	scheduler->active =
	    mem_grow(scheduler->active, &scheduler->active_capacity,
		scheduler->active_count + 1, sizeof(struct job_entry *));
	entry->active_index = scheduler->active_count;
	scheduler->active[scheduler->active_count++] = entry;
}

void
scheduler_allocate(struct scheduler *scheduler, struct job_entry *entry)
{
	for (uint32_t i = 0; i < entry->job.tasks; i++) {
		if (entry->workers[i] != NO_INDEX)
			cluster_allocate_task(
			    &scheduler->cluster, entry->workers[i], entry);
	}
	if (entry->workspace < scheduler->workspaces_count)
		scheduler->workspaces[entry->workspace].used +=
		    job_entry_accelerators(entry);
	entry->counted_urgent = scheduler_is_urgent(scheduler, entry);
	if (entry->counted_urgent)
		scheduler->urgent_used += job_entry_accelerators(entry);
	add_active(scheduler, entry);
}

static void
remove_evicting(struct scheduler *scheduler, const struct job_entry *entry)
{
	for (size_t i = 0; i < scheduler->evicting_count; i++) {
		if (scheduler->evicting[i] != entry)
			continue;
		scheduler->evicting[i] =
		    scheduler->evicting[--scheduler->evicting_count];
		return;
	}
}

static void
remove_active(struct scheduler *scheduler, const struct job_entry *entry)
{
	struct job_entry *last = scheduler->active[--scheduler->active_count];

	scheduler->active[entry->active_index] = last;
	last->active_index = entry->active_index;
}

void
scheduler_release(
    struct scheduler *scheduler, struct job_entry *entry, int64_t now_ms)
{
	if (entry->state == ENTRY_EVICTING)
		remove_evicting(scheduler, entry);
	remove_active(scheduler, entry);
	for (uint32_t i = 0; i < entry->job.tasks; i++) {
		if (entry->workers[i] != NO_INDEX)
			cluster_release_task(&scheduler->cluster,
			    entry->workers[i], entry, now_ms);
	}
	if (entry->workspace < scheduler->workspaces_count)
		scheduler->workspaces[entry->workspace].used -=
		    job_entry_accelerators(entry);
	if (entry->counted_urgent)
		scheduler->urgent_used -= job_entry_accelerators(entry);
	mem_free(entry->workers);
	entry->workers = NULL;
	scheduler->changed = true;
	/* A non-preemptible job may have held capacity that an unplaced
	 * guarantee needs. */
	if (scheduler->unplaced_guarantees > 0 &&
	    job_entry_is_non_preemptible(entry))
		scheduler->claims_outdated = true;
}

static bool
attempts_exhausted(
    const struct scheduler *scheduler, const struct job_entry *entry)
{
	return scheduler->config.max_attempts > 0 &&
	    entry->failed_attempts >= scheduler->config.max_attempts;
}

/* Returns when a queued entry is given up. A job that has been started waits
 * without limit, as it can no longer be reported as not run; only failed
 * attempts end it. */
static int64_t
expires_ms(const struct scheduler *scheduler, const struct job_entry *entry)
{
	const struct document_class *class =
	    scheduler_class_of(scheduler, entry);
	int64_t earliest_ms = INT64_MAX;
	int64_t latest_start_ms;

	if (attempts_exhausted(scheduler, entry))
		return INT64_MIN;
	if (entry->started)
		return INT64_MAX;
	if (class != NULL && class->max_wait_ms > 0)
		earliest_ms = entry->job.accepted_ms + class->max_wait_ms;
	if (entry->job.deadline_ms == 0)
		return earliest_ms;
	latest_start_ms = entry->job.deadline_ms -
	    scheduler_remaining_ms(scheduler, entry, ESTIMATE_LOW);
	return latest_start_ms < earliest_ms ? latest_start_ms : earliest_ms;
}

/* Returns the key by which a lane is ordered: the latest start that can still
 * meet the entry's deadline or soft deadline. */
static int64_t
queue_key_ms(const struct scheduler *scheduler, const struct job_entry *entry)
{
	const struct document_class *class =
	    scheduler_class_of(scheduler, entry);
	int64_t run_ms =
	    scheduler_remaining_ms(scheduler, entry, ESTIMATE_HIGH);
	int64_t soft_ms = SOFT_DEADLINE_MS;

	/* One key for all jobs: order of admission, and none is ever late. */
	if (scheduler->config.policy == POLICY_FIRST_FIT)
		return INT64_MAX;
	if (entry->job.deadline_ms > 0)
		return entry->job.deadline_ms - run_ms;
	if (class != NULL && class->objective_ms > 0)
		soft_ms = class->objective_ms;
	if (soft_ms < SOFT_DEADLINE_RUNS * run_ms)
		soft_ms = SOFT_DEADLINE_RUNS * run_ms;
	return entry->job.accepted_ms + soft_ms - run_ms;
}

static uint32_t
lane_of(const struct scheduler *scheduler, const struct job_entry *entry)
{
	uint32_t last = (uint32_t)scheduler->queue.lanes_count - 1;

	if (scheduler->config.policy == POLICY_FIRST_FIT)
		return scheduler_is_urgent(scheduler, entry) ? 0 : last;
	return entry->request_class < last ? entry->request_class : last;
}

/* Returns the entry's class rank: urgent ones first, then by precedence. */
static uint32_t
rank_of(const struct scheduler *scheduler, const struct job_entry *entry)
{
	const struct document_class *class =
	    scheduler_class_of(scheduler, entry);

	if (class == NULL)
		return UINT32_MAX;
	return class->urgent ? 0 : class->precedence + 1;
}

void
scheduler_enqueue(
    struct scheduler *scheduler, struct job_entry *entry, int64_t now_ms)
{
	int64_t until_ms = expires_ms(scheduler, entry);

	entry->state = ENTRY_QUEUED;
	entry->queued_ms = now_ms;
	entry->lane = lane_of(scheduler, entry);
	entry->rank = rank_of(scheduler, entry);
	job_queue_add(
	    &scheduler->queue, entry, queue_key_ms(scheduler, entry), until_ms);
	admission_enqueued(
	    &scheduler->admission, entry->workspace, entry->request_class);
	if (until_ms < scheduler->next_expiry_ms)
		scheduler->next_expiry_ms = until_ms;
	scheduler->changed = true;
}

void
scheduler_dequeue(
    struct scheduler *scheduler, struct job_entry *entry, int64_t now_ms)
{
	job_queue_remove(&scheduler->queue, entry);
	reservation_drop(&scheduler->reservations, &scheduler->cluster, entry);
	admission_dequeued(&scheduler->admission, entry->workspace,
	    entry->request_class, now_ms);
}

void
scheduler_start(struct scheduler *scheduler, struct job_entry *entry,
    const uint32_t *workers, int64_t now_ms)
{
	uint32_t tasks = entry->job.tasks;

	scheduler_dequeue(scheduler, entry, now_ms);
	if (!entry->started)
		admission_started(&scheduler->admission);
	entry->workers = mem_calloc(tasks, sizeof(*workers));
	memcpy(entry->workers, workers, tasks * sizeof(*workers));
	entry->state = ENTRY_STARTING;
	entry->started = true;
	entry->started_ms = now_ms;
	entry->expected_end_ms =
	    now_ms + scheduler_remaining_ms(scheduler, entry, ESTIMATE_MEDIAN);
	scheduler_allocate(scheduler, entry);
	action_list_start(&scheduler->actions, &scheduler->cluster, entry);
}

void
scheduler_evict(struct scheduler *scheduler, struct job_entry *entry,
    const char *reason, int64_t now_ms)
{
	enum eviction_manner manner =
	    entry->job.checkpointable ? EVICT_CHECKPOINT : EVICT_STOP;

	entry->state = ENTRY_EVICTING;
	entry->evict_reason = reason;
	entry->evict_by_ms = manner == EVICT_CHECKPOINT
	    ? now_ms + scheduler_checkpoint_timeout_ms(scheduler)
	    : INT64_MAX;
	scheduler_wake_at(scheduler, entry->evict_by_ms);
	scheduler->evicting =
	    mem_grow(scheduler->evicting, &scheduler->evicting_capacity,
		scheduler->evicting_count + 1, sizeof(struct job_entry *));
	scheduler->evicting[scheduler->evicting_count++] = entry;
	action_list_evict(&scheduler->actions, entry, manner, reason);
}

void
scheduler_give_up(struct scheduler *scheduler, struct job_entry *entry,
    const char *reason, int64_t now_ms)
{
	scheduler_dequeue(scheduler, entry, now_ms);
	action_list_give_up(&scheduler->actions, entry, reason);
	job_table_remove(&scheduler->table, entry);
}

void
scheduler_stop_overdue(struct scheduler *scheduler, int64_t now_ms)
{
	for (size_t i = 0; i < scheduler->evicting_count; i++) {
		struct job_entry *entry = scheduler->evicting[i];

		if (entry->evict_by_ms > now_ms) {
			scheduler_wake_at(scheduler, entry->evict_by_ms);
			continue;
		}
		entry->evict_by_ms = INT64_MAX;
		action_list_evict(&scheduler->actions, entry, EVICT_STOP,
		    entry->evict_reason);
	}
}

/* Returns why an expired entry is given up; a static string. */
static const char *
expiry_reason(const struct scheduler *scheduler, const struct job_entry *entry,
    int64_t now_ms)
{
	const struct document_class *class =
	    scheduler_class_of(scheduler, entry);

	if (attempts_exhausted(scheduler, entry))
		return "attempts";
	if (class != NULL && class->max_wait_ms > 0 &&
	    entry->job.accepted_ms + class->max_wait_ms <= now_ms)
		return "max_wait";
	return "deadline";
}

/* Gives up the expired entries of a lane; returns when the next one expires. */
static int64_t
expire_lane(struct scheduler *scheduler, const struct job_queue_lane *lane,
    int64_t now_ms)
{
	int64_t next_ms = INT64_MAX;

	for (size_t i = lane->count; i-- > 0;) {
		struct job_entry *entry = lane->items[i].entry;

		if (lane->items[i].expires_ms <= now_ms)
			scheduler_give_up(scheduler, entry,
			    expiry_reason(scheduler, entry, now_ms), now_ms);
		else if (lane->items[i].expires_ms < next_ms)
			next_ms = lane->items[i].expires_ms;
	}
	return next_ms;
}

void
scheduler_expire_queued(struct scheduler *scheduler, int64_t now_ms)
{
	int64_t next_ms = INT64_MAX;

	if (now_ms >= scheduler->next_expiry_ms) {
		for (size_t i = 0; i < scheduler->queue.lanes_count; i++) {
			int64_t lane_ms = expire_lane(
			    scheduler, &scheduler->queue.lanes[i], now_ms);

			next_ms = lane_ms < next_ms ? lane_ms : next_ms;
		}
		if (next_ms < now_ms + EXPIRY_INTERVAL_MS)
			next_ms = now_ms + EXPIRY_INTERVAL_MS;
		scheduler->next_expiry_ms = next_ms;
	}
	scheduler_wake_at(scheduler, scheduler->next_expiry_ms);
}

void
scheduler_throttle(struct scheduler *scheduler)
{
	for (size_t i = 0; i < scheduler->overusing_count; i++) {
		struct job_entry *entry =
		    job_table_find(&scheduler->table, scheduler->overusing[i]);

		if (entry != NULL && entry->state == ENTRY_RUNNING)
			action_list_throttle(&scheduler->actions, entry);
	}
	scheduler->overusing_count = 0;
}
