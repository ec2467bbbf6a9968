#include <inttypes.h>
#include <string.h>

#include "process/alloc.h"
#include "process/job_shape.h"
#include "process/scheduler_state.h"

#define STATUS_STEP	"admit"
#define FIRST_FIT_LANES 2 /* urgent and all others */
/* A job is throttled when its smoothed usage reaches OVERUSE_SHARE of what it
 * holds, after at least OVERUSE_REPORTS samples. */
#define OVERUSE_SHARE	  1.2
#define OVERUSE_REPORTS	  3
#define OVERUSE_SMOOTHING 0.3 /* weight of a new sample */
#define LOWEST_PRECEDENCE UINT32_MAX

/* Sets one lane for each class and one for unknown classes. */
static void
set_class_lanes(struct scheduler *scheduler)
{
	size_t count = scheduler->classes_count;

	job_queue_set_lanes(&scheduler->queue, count + 1);
	for (size_t i = 0; i < count; i++) {
		scheduler->queue.lanes[i].urgent = scheduler->classes[i].urgent;
		scheduler->queue.lanes[i].precedence =
		    scheduler->classes[i].precedence;
	}
	scheduler->queue.lanes[count].precedence = LOWEST_PRECEDENCE;
}

static void
set_lanes(struct scheduler *scheduler)
{
	if (scheduler->config.policy == POLICY_GUARANTEED) {
		set_class_lanes(scheduler);
		return;
	}
	job_queue_set_lanes(&scheduler->queue, FIRST_FIT_LANES);
	scheduler->queue.lanes[0].urgent = true;
}

struct scheduler *
scheduler_new(const struct scheduler_config *config)
{
	struct scheduler *scheduler = mem_calloc(1, sizeof(*scheduler));

	scheduler->config = *config;
	scheduler->next_decision_ms = INT64_MAX;
	scheduler->next_expiry_ms = INT64_MAX;
	scheduler->quarantine.next_release_ms = INT64_MAX;
	set_lanes(scheduler);
	admission_init(
	    &scheduler->admission, config->max_queued_jobs, config->seed);
	return scheduler;
}

void
scheduler_free(struct scheduler *scheduler)
{
	if (scheduler == NULL)
		return;
	reservation_reset(&scheduler->reservations);
	cluster_clear(&scheduler->cluster);
	admission_clear(&scheduler->admission);
	job_table_clear(&scheduler->table);
	job_queue_clear(&scheduler->queue);
	action_list_free(&scheduler->actions);
	estimate_clear(&scheduler->estimates);
	guarantee_clear(&scheduler->guarantees);
	quarantine_clear(&scheduler->quarantine);
	placement_clear(&scheduler->placement);
	draining_clear(&scheduler->draining);
	eviction_clear(&scheduler->planner);
	mem_free(scheduler->evicting);
	mem_free(scheduler->overusing);
	mem_free(scheduler->workspaces);
	mem_free(scheduler->classes);
	mem_free(scheduler->zones_on_hold);
	mem_free(scheduler->active);
	mem_free(scheduler);
}

static uint32_t
find_workspace(const struct scheduler *scheduler, const char *name)
{
	for (size_t i = 0; i < scheduler->workspaces_count; i++) {
		if (strcmp(scheduler->workspaces[i].name, name) == 0)
			return (uint32_t)i;
	}
	return NO_INDEX;
}

static uint32_t
find_class(const struct scheduler *scheduler, const char *name)
{
	for (size_t i = 0; i < scheduler->classes_count; i++) {
		if (strcmp(scheduler->classes[i].name, name) == 0)
			return (uint32_t)i;
	}
	return NO_INDEX;
}

/* Copies the document's workspaces and classes with their limits. */
static void
copy_limits(struct scheduler *scheduler, const struct document *document)
{
	mem_free(scheduler->workspaces);
	mem_free(scheduler->classes);
	scheduler->workspaces_count = document->workspaces_count;
	scheduler->workspaces = mem_calloc(
	    document->workspaces_count, sizeof(*scheduler->workspaces));
	for (size_t i = 0; i < document->workspaces_count; i++) {
		STRING_COPY(scheduler->workspaces[i].name,
		    document->workspaces[i].name);
		scheduler->workspaces[i].max_accelerators =
		    document->workspaces[i].max_accelerators;
	}
	scheduler->classes_count = document->classes_count;
	scheduler->classes =
	    mem_calloc(document->classes_count, sizeof(*scheduler->classes));
	if (document->classes_count > 0)
		memcpy(scheduler->classes, document->classes,
		    document->classes_count * sizeof(*scheduler->classes));
	admission_set_document(&scheduler->admission, document);
	estimate_set_document(&scheduler->estimates, document);
}

/* Copies the zones' holds and service times from the old cluster. */
static void
copy_zone_states(struct scheduler *scheduler, const struct cluster *old,
    const bool *old_on_hold)
{
	struct cluster *cluster = &scheduler->cluster;

	for (size_t i = 0; i < cluster->zones_count; i++) {
		struct cluster_zone *zone = &cluster->zones[i];
		uint32_t from = cluster_find_zone(old, zone->name);

		if (from == NO_INDEX)
			continue;
		zone->left_ms = old->zones[from].left_ms;
		zone->returned_ms = old->zones[from].returned_ms;
		scheduler->zones_on_hold[i] = old_on_hold[from];
		if (old_on_hold[from])
			zone->in_service = false;
	}
}

/* Records when a zone went out of service or returned, if it did. */
static void
record_zone_change(struct scheduler *scheduler, uint32_t index,
    bool was_in_service, int64_t now_ms)
{
	struct cluster_zone *zone = &scheduler->cluster.zones[index];

	if (zone->in_service == was_in_service)
		return;
	if (zone->in_service)
		zone->returned_ms = now_ms;
	else
		zone->left_ms = now_ms;
	scheduler->changed = true;
}

/* Records changes of service that the new document makes. */
static void
record_zone_changes(
    struct scheduler *scheduler, const struct cluster *old, int64_t now_ms)
{
	for (size_t i = 0; i < scheduler->cluster.zones_count; i++) {
		uint32_t from =
		    cluster_find_zone(old, scheduler->cluster.zones[i].name);

		if (from != NO_INDEX)
			record_zone_change(scheduler, (uint32_t)i,
			    old->zones[from].in_service, now_ms);
	}
}

static void
copy_worker_states(struct scheduler *scheduler, const struct cluster *old)
{
	struct cluster *cluster = &scheduler->cluster;

	for (size_t i = 0; i < cluster->workers_count; i++) {
		uint32_t from = cluster_find_worker(old, cluster->names[i]);

		if (from == NO_INDEX)
			continue;
		cluster_set_condition(
		    cluster, (uint32_t)i, old->workers[from].condition);
		cluster_set_quarantined(
		    cluster, (uint32_t)i, old->workers[from].quarantined);
		cluster->workers[i].on_probation =
		    old->workers[from].on_probation;
	}
}

/* Looks up the entry's names in the new document and cluster. */
static void
resolve_names(struct scheduler *scheduler, const struct cluster *old,
    struct job_entry *entry)
{
	entry->workspace = find_workspace(scheduler, entry->job.workspace);
	entry->request_class = find_class(scheduler, entry->job.request_class);
	entry->avoided_count = 0;
	if (entry->workers == NULL)
		return;
	for (uint32_t i = 0; i < entry->job.tasks; i++) {
		if (entry->workers[i] != NO_INDEX)
			entry->workers[i] = cluster_find_worker(
			    &scheduler->cluster, old->names[entry->workers[i]]);
	}
}

/* Adds all jobs to the new cluster and the emptied queue. */
static void
recount_jobs(
    struct scheduler *scheduler, const struct cluster *old, int64_t now_ms)
{
	struct job_entry *entry;

	scheduler->active_count = 0;
	scheduler->urgent_used = 0;
	set_lanes(scheduler);
	for (size_t i = 0; i < scheduler->table.buckets_count; i++) {
		for (entry = scheduler->table.buckets[i]; entry != NULL;
		     entry = entry->next) {
			int64_t queued_ms = entry->queued_ms;

			resolve_names(scheduler, old, entry);
			if (entry->state != ENTRY_QUEUED) {
				scheduler_allocate(scheduler, entry);
				continue;
			}
			scheduler_enqueue(scheduler, entry, now_ms);
			entry->queued_ms = queued_ms;
		}
	}
}

static void
rebuild_quarantine(struct scheduler *scheduler, const struct cluster *old)
{
	struct quarantine before = scheduler->quarantine;

	quarantine_build(
	    &scheduler->quarantine, &scheduler->cluster, &before, old);
	quarantine_clear(&before);
}

/* Places the guarantees. Jobs must have been added to the cluster before, so
 * that claims avoid capacity held by non-preemptible jobs. */
static void
set_guarantees(struct scheduler *scheduler, const struct document *document)
{
	guarantee_clear(&scheduler->guarantees);
	guarantee_build(&scheduler->guarantees, document);
	if (scheduler->config.policy != POLICY_GUARANTEED)
		return;
	(void)guarantee_place(&scheduler->guarantees, &scheduler->cluster);
	scheduler->claims_outdated = true;
}

void
scheduler_set_document(struct scheduler *scheduler,
    const struct document *document, int64_t now_ms)
{
	struct cluster old = scheduler->cluster;
	bool *old_on_hold = scheduler->zones_on_hold;

	reservation_reset(&scheduler->reservations);
	copy_limits(scheduler, document);
	cluster_build(&scheduler->cluster, document);
	scheduler->zones_on_hold =
	    mem_calloc(document->zones_count, sizeof(bool));
	copy_zone_states(scheduler, &old, old_on_hold);
	record_zone_changes(scheduler, &old, now_ms);
	copy_worker_states(scheduler, &old);
	rebuild_quarantine(scheduler, &old);
	recount_jobs(scheduler, &old, now_ms);
	set_guarantees(scheduler, document);
	scheduler->changed = true;
	cluster_clear(&old);
	mem_free(old_on_hold);
}

void
scheduler_set_zone(struct scheduler *scheduler, const char *zone,
    bool in_service, int64_t now_ms)
{
	uint32_t index = cluster_find_zone(&scheduler->cluster, zone);
	bool was_in_service;

	if (index == NO_INDEX)
		return;
	was_in_service = scheduler->cluster.zones[index].in_service;
	scheduler->zones_on_hold[index] = !in_service;
	cluster_set_zone(&scheduler->cluster, index, in_service);
	record_zone_change(scheduler, index, was_in_service, now_ms);
}

void
scheduler_set_worker(struct scheduler *scheduler, const char *worker,
    enum worker_condition condition, int64_t now_ms)
{
	uint32_t index = cluster_find_worker(&scheduler->cluster, worker);

	(void)now_ms;
	if (index == NO_INDEX ||
	    scheduler->cluster.workers[index].condition == condition)
		return;
	cluster_set_condition(&scheduler->cluster, index, condition);
	scheduler->claims_outdated = true;
	scheduler->changed = true;
}

/* Refuses a job that could not run even on an idle cluster. */
static enum ibis_code
check_shape(const struct scheduler *scheduler, const struct scheduler_job *job,
    uint32_t workspace, struct ibis_status *status)
{
	uint64_t accelerators =
	    (uint64_t)job->tasks * job->accelerators_per_task;
	uint64_t quota = scheduler->workspaces[workspace].max_accelerators;
	uint64_t max_tasks;

	if (job->tasks == 0 || job->accelerators_per_task == 0)
		return ibis_status_set(status, IBIS_INVALID, STATUS_STEP, NULL,
		    "tasks, accelerators_per_task: 0; must be at least 1");
	if (quota > 0 && accelerators > quota)
		return ibis_status_set(status, IBIS_INVALID, STATUS_STEP, NULL,
		    "accelerators: %" PRIu64 " in total exceed the quota of "
		    "workspace %s, %" PRIu64,
		    accelerators, job->workspace, quota);
	max_tasks = job_shape_max_tasks(&scheduler->cluster, job, workspace);
	if (job->tasks > max_tasks)
		return ibis_status_set(status, IBIS_INVALID, STATUS_STEP, NULL,
		    "tasks: %" PRIu32 " of %" PRIu32 " accelerators, adjacency "
		    "%s; at most %" PRIu64 " fit on the idle cluster",
		    job->tasks, job->accelerators_per_task,
		    job_adjacency_name(job->adjacency), max_tasks);
	return IBIS_OK;
}

static enum ibis_code
check_job(const struct scheduler *scheduler, const struct scheduler_job *job,
    uint32_t workspace, uint32_t request_class, struct ibis_status *status)
{
	if (job_table_find(&scheduler->table, job->id) != NULL)
		return ibis_status_set(status, IBIS_CONFLICT, STATUS_STEP, NULL,
		    "id: a job with this id exists already");
	if (workspace == NO_INDEX)
		return ibis_status_set(status, IBIS_INVALID, STATUS_STEP, NULL,
		    "workspace: \"%s\" is not in the document", job->workspace);
	if (request_class == NO_INDEX)
		return ibis_status_set(status, IBIS_INVALID, STATUS_STEP, NULL,
		    "class: \"%s\" is not in the document", job->request_class);
	return check_shape(scheduler, job, workspace, status);
}

static struct job_entry *
add_entry(struct scheduler *scheduler, const struct scheduler_job *job)
{
	struct job_entry *entry = job_table_add(&scheduler->table, job);

	entry->sequence = ++scheduler->sequence;
	entry->workspace = find_workspace(scheduler, job->workspace);
	entry->request_class = find_class(scheduler, job->request_class);
	return entry;
}

enum ibis_code
scheduler_submit(struct scheduler *scheduler, const struct scheduler_job *job,
    int64_t now_ms, int64_t *retry_after_ms, struct ibis_status *status)
{
	uint32_t workspace = find_workspace(scheduler, job->workspace);
	uint32_t request_class = find_class(scheduler, job->request_class);
	enum ibis_code code;

	code = check_job(scheduler, job, workspace, request_class, status);
	if (code == IBIS_OK)
		code = admission_check(&scheduler->admission, workspace,
		    request_class, now_ms, retry_after_ms, status);
	if (code != IBIS_OK)
		return code;
	scheduler_enqueue(scheduler, add_entry(scheduler, job), now_ms);
	return IBIS_OK;
}

void
scheduler_restore(struct scheduler *scheduler, const struct scheduler_job *job,
    const char *const *workers, int64_t now_ms)
{
	struct job_entry *entry;

	if (job_table_find(&scheduler->table, job->id) != NULL)
		return;
	entry = add_entry(scheduler, job);
	if (workers == NULL) {
		scheduler_enqueue(scheduler, entry, now_ms);
		return;
	}
	entry->workers = mem_calloc(job->tasks, sizeof(*entry->workers));
	for (uint32_t i = 0; i < job->tasks; i++)
		entry->workers[i] =
		    cluster_find_worker(&scheduler->cluster, workers[i]);
	entry->state = ENTRY_RUNNING;
	entry->started = true;
	entry->started_ms = now_ms;
	entry->expected_end_ms =
	    now_ms + scheduler_remaining_ms(scheduler, entry, ESTIMATE_MEDIAN);
	scheduler_allocate(scheduler, entry);
}

void
scheduler_set_running(
    struct scheduler *scheduler, struct job_id id, int64_t now_ms)
{
	struct job_entry *entry = job_table_find(&scheduler->table, id);

	(void)now_ms;
	if (entry != NULL && entry->state == ENTRY_STARTING)
		entry->state = ENTRY_RUNNING;
}

/* Records a failed attempt and counts it against the worker, the job or both.
 */
static void
record_failed_attempt(struct scheduler *scheduler, struct job_entry *entry,
    enum scheduler_end end, const char *failed_worker, int64_t now_ms)
{
	uint32_t worker = NO_INDEX;
	bool suspect = false;

	if (failed_worker != NULL)
		worker =
		    cluster_find_worker(&scheduler->cluster, failed_worker);
	if (worker != NO_INDEX) {
		memmove(&entry->avoided[1], &entry->avoided[0],
		    (ENTRY_AVOIDED_WORKERS - 1) * sizeof(entry->avoided[0]));
		entry->avoided[0] = worker;
		if (entry->avoided_count < ENTRY_AVOIDED_WORKERS)
			entry->avoided_count++;
	}
	if (worker != NO_INDEX &&
	    scheduler->config.policy == POLICY_GUARANTEED) {
		suspect = quarantine_record_failure(&scheduler->quarantine,
		    &scheduler->cluster, worker, entry->job.id,
		    end == END_LOST ? FAULT_WORK : FAULT_START, now_ms);
		scheduler->claims_outdated = true;
	}
	/* Losing a worker is seldom the job's fault: it counts against the job
	 * only when an odd number of attempts has failed before. */
	if (end == END_LOST && entry->attempts % 2 == 0)
		suspect = true;
	entry->attempts++;
	/* Without a failed_worker the attempt was not allowed to start, which
	 * is not a failure of the job. */
	if (!suspect && failed_worker != NULL)
		entry->failed_attempts++;
}

/* Puts an entry that has left its workers back into the queue. */
static void
requeue(struct scheduler *scheduler, struct job_entry *entry,
    enum scheduler_end end, const char *failed_worker, int64_t run_ms,
    int64_t now_ms)
{
	bool checkpointed =
	    entry->job.checkpointable && entry->evict_by_ms != INT64_MAX;

	/* An eviction that came before the start is not a failed attempt. */
	if (end == END_ATTEMPT_FAILED && entry->evict_reason != NULL)
		end = END_EVICTED;
	entry->evict_reason = NULL;
	entry->not_before_ms = now_ms;
	if (end == END_EVICTED) {
		entry->evictions++;
		if (checkpointed)
			entry->saved_run_ms += run_ms;
	} else {
		record_failed_attempt(
		    scheduler, entry, end, failed_worker, now_ms);
		entry->not_before_ms += admission_retry_delay_ms(
		    &scheduler->admission, entry->attempts);
	}
	entry->evict_by_ms = 0;
	scheduler_enqueue(scheduler, entry, now_ms);
}

/* Updates run time estimates and quarantine with the result of an attempt,
 * before the entry's workers are released. */
static void
record_run_result(struct scheduler *scheduler, const struct job_entry *entry,
    enum scheduler_end end, int64_t run_ms, int64_t now_ms)
{
	if (scheduler->config.policy != POLICY_GUARANTEED)
		return;
	if (end == END_FINISHED)
		estimate_observe(&scheduler->estimates, entry->workspace,
		    entry->request_class, entry->job.run_time_ms,
		    entry->saved_run_ms + run_ms);
	for (uint32_t i = 0; i < entry->job.tasks; i++) {
		uint32_t worker = entry->workers[i];

		if (worker == NO_INDEX)
			continue;
		if (end == END_FINISHED)
			quarantine_record_success(&scheduler->quarantine,
			    &scheduler->cluster, worker);
		else if (end == END_FAILED && entry->job.tasks == 1)
			(void)quarantine_record_failure(&scheduler->quarantine,
			    &scheduler->cluster, worker, entry->job.id,
			    FAULT_WORK, now_ms);
	}
}

void
scheduler_end(struct scheduler *scheduler, struct job_id id,
    enum scheduler_end end, const char *failed_worker, int64_t run_ms,
    int64_t now_ms)
{
	struct job_entry *entry = job_table_find(&scheduler->table, id);
	bool final =
	    end == END_FINISHED || end == END_FAILED || end == END_CLOSED;

	if (entry == NULL)
		return;
	if (entry->state != ENTRY_QUEUED) {
		record_run_result(scheduler, entry, end, run_ms, now_ms);
		scheduler_release(scheduler, entry, now_ms);
	} else if (final) {
		scheduler_dequeue(scheduler, entry, now_ms);
	} else {
		return;
	}
	if (!final) {
		requeue(scheduler, entry, end, failed_worker, run_ms, now_ms);
		return;
	}
	reservation_drop(&scheduler->reservations, &scheduler->cluster, entry);
	job_table_remove(&scheduler->table, entry);
}

void
scheduler_report_usage(struct scheduler *scheduler, struct job_id id,
    double used_share, int64_t now_ms)
{
	struct job_entry *entry = job_table_find(&scheduler->table, id);

	if (entry == NULL || entry->state != ENTRY_RUNNING || entry->throttled)
		return;
	entry->usage_reports++;
	entry->overuse += OVERUSE_SMOOTHING * (used_share - entry->overuse);
	if (entry->usage_reports < OVERUSE_REPORTS ||
	    entry->overuse < OVERUSE_SHARE)
		return;
	entry->throttled = true;
	scheduler->overusing =
	    mem_grow(scheduler->overusing, &scheduler->overusing_capacity,
		scheduler->overusing_count + 1, sizeof(id));
	scheduler->overusing[scheduler->overusing_count++] = id;
	scheduler_wake_at(scheduler, now_ms);
}

/* Ends quarantines that are over and requests a decision for the next one. */
static void
release_quarantined(struct scheduler *scheduler, int64_t now_ms)
{
	if (quarantine_release(
		&scheduler->quarantine, &scheduler->cluster, now_ms) > 0)
		scheduler->claims_outdated = true;
	scheduler_wake_at(scheduler, scheduler->quarantine.next_release_ms);
}

size_t
scheduler_decide(struct scheduler *scheduler, int64_t now_ms,
    const struct scheduler_action **actions)
{
	action_list_reset(&scheduler->actions);
	*actions = NULL;
	if (!scheduler->changed && now_ms < scheduler->next_decision_ms)
		return 0;
	scheduler->next_decision_ms = INT64_MAX;
	scheduler->changed = false;
	scheduler_stop_overdue(scheduler, now_ms);
	scheduler_expire_queued(scheduler, now_ms);
	scheduler_throttle(scheduler);
	release_quarantined(scheduler, now_ms);
	switch (scheduler->config.policy) {
	case POLICY_GUARANTEED:
		policy_guaranteed_decide(scheduler, now_ms);
		break;
	case POLICY_FIRST_FIT:
		policy_first_fit_decide(scheduler, now_ms);
		break;
	}
	action_list_finish(&scheduler->actions);
	*actions = scheduler->actions.actions;
	return scheduler->actions.count;
}

int64_t
scheduler_next_ms(const struct scheduler *scheduler)
{
	return scheduler->next_decision_ms;
}
