#include <inttypes.h>
#include <string.h>

#include "process/alloc.h"
#include "process/scheduler_state.h"

#define STEP		    "admit"
#define CHECKPOINT_GRACE_MS 2000
#define LANES		    2 /* urgent and all others */

struct scheduler *
scheduler_new(const struct scheduler_config *config)
{
	struct scheduler *scheduler = mem_calloc(1, sizeof(*scheduler));

	scheduler->config = *config;
	scheduler->next_ms = INT64_MAX;
	job_queue_set_lanes(&scheduler->queue, LANES);
	admission_init(
	    &scheduler->admission, config->max_queued_jobs, config->seed);
	return scheduler;
}

void
scheduler_free(struct scheduler *scheduler)
{
	if (scheduler == NULL)
		return;
	cluster_clear(&scheduler->cluster);
	admission_clear(&scheduler->admission);
	job_table_clear(&scheduler->table);
	job_queue_clear(&scheduler->queue);
	action_list_clear(&scheduler->actions);
	mem_free(scheduler->workspaces);
	mem_free(scheduler->classes);
	mem_free(scheduler->zones_held);
	mem_free(scheduler->active);
	mem_free(scheduler);
}

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

void
scheduler_wake_at(struct scheduler *scheduler, int64_t at_ms)
{
	if (at_ms < scheduler->next_ms)
		scheduler->next_ms = at_ms;
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

/* Holds the entry's workers and counts them. */
static void
hold_workers(
    struct scheduler *scheduler, struct job_entry *entry, int64_t now_ms)
{
	for (uint32_t i = 0; i < entry->job.tasks; i++) {
		if (entry->workers[i] != NO_INDEX)
			cluster_take(&scheduler->cluster, entry->workers[i],
			    entry, now_ms);
	}
	if (entry->workspace < scheduler->workspaces_count)
		scheduler->workspaces[entry->workspace].used +=
		    job_entry_accelerators(entry);
}

static void
release_workers(
    struct scheduler *scheduler, struct job_entry *entry, int64_t now_ms)
{
	for (uint32_t i = 0; i < entry->job.tasks; i++) {
		if (entry->workers[i] != NO_INDEX)
			cluster_release(&scheduler->cluster, entry->workers[i],
			    entry, now_ms);
	}
	if (entry->workspace < scheduler->workspaces_count)
		scheduler->workspaces[entry->workspace].used -=
		    job_entry_accelerators(entry);
	mem_free(entry->workers);
	entry->workers = NULL;
	scheduler->capacity_freed = true;
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

static void
remove_active(struct scheduler *scheduler, struct job_entry *entry)
{
	struct job_entry *last = scheduler->active[--scheduler->active_count];

	scheduler->active[entry->active_index] = last;
	last->active_index = entry->active_index;
}

static void
enqueue(struct scheduler *scheduler, struct job_entry *entry, int64_t now_ms)
{
	const struct document_class *class =
	    scheduler_class_of(scheduler, entry);
	int64_t expires_ms = INT64_MAX;

	entry->state = ENTRY_QUEUED;
	entry->queued_ms = now_ms;
	if (class != NULL && class->max_wait_ms > 0 && !entry->started)
		expires_ms = entry->job.accepted_ms + class->max_wait_ms;
	entry->lane = scheduler_is_urgent(scheduler, entry) ? 0 : 1;
	job_queue_add(
	    &scheduler->queue, entry, (int64_t)entry->sequence, expires_ms);
	admission_enqueued(
	    &scheduler->admission, entry->workspace, entry->request_class);
	scheduler_wake_at(scheduler, expires_ms);
	scheduler->queue_grew = true;
}

static void
dequeue(struct scheduler *scheduler, struct job_entry *entry, int64_t now_ms)
{
	job_queue_remove(&scheduler->queue, entry);
	admission_dequeued(&scheduler->admission, entry->workspace,
	    entry->request_class, now_ms);
}

void
scheduler_start(struct scheduler *scheduler, struct job_entry *entry,
    const uint32_t *workers, int64_t now_ms)
{
	uint32_t tasks = entry->job.tasks;

	dequeue(scheduler, entry, now_ms);
	if (!entry->started)
		admission_started(&scheduler->admission);
	entry->workers = mem_calloc(tasks, sizeof(*workers));
	memcpy(entry->workers, workers, tasks * sizeof(*workers));
	entry->state = ENTRY_STARTING;
	entry->started = true;
	entry->started_ms = now_ms;
	entry->expected_end_ms = now_ms + entry->job.run_time_ms;
	hold_workers(scheduler, entry, now_ms);
	add_active(scheduler, entry);
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
	if (manner == EVICT_CHECKPOINT) {
		entry->evict_by_ms = now_ms + CHECKPOINT_GRACE_MS;
		scheduler_wake_at(scheduler, entry->evict_by_ms);
	}
	action_list_evict(&scheduler->actions, entry, manner, reason);
}

void
scheduler_give_up(struct scheduler *scheduler, struct job_entry *entry,
    const char *reason, int64_t now_ms)
{
	dequeue(scheduler, entry, now_ms);
	action_list_give_up(&scheduler->actions, entry, reason);
	job_table_remove(&scheduler->table, entry);
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
}

/* Carries the zones' state over from the cluster of the last version. */
static void
carry_zones(struct scheduler *scheduler, const struct cluster *old,
    const bool *old_held)
{
	struct cluster *cluster = &scheduler->cluster;

	for (size_t i = 0; i < cluster->zones_count; i++) {
		struct cluster_zone *zone = &cluster->zones[i];
		uint32_t from = cluster_find_zone(old, zone->name);

		if (from == NO_INDEX)
			continue;
		zone->left_ms = old->zones[from].left_ms;
		zone->returned_ms = old->zones[from].returned_ms;
		scheduler->zones_held[i] = old_held[from];
		if (old_held[from])
			zone->in_service = false;
	}
}

static void
note_zone_change(
    struct scheduler *scheduler, uint32_t index, bool was, int64_t now_ms)
{
	struct cluster_zone *zone = &scheduler->cluster.zones[index];

	if (zone->in_service == was)
		return;
	if (zone->in_service)
		zone->returned_ms = now_ms;
	else
		zone->left_ms = now_ms;
	scheduler->capacity_freed = true;
}

static void
note_zone_changes(
    struct scheduler *scheduler, const struct cluster *old, int64_t now_ms)
{
	for (size_t i = 0; i < scheduler->cluster.zones_count; i++) {
		uint32_t from =
		    cluster_find_zone(old, scheduler->cluster.zones[i].name);

		if (from != NO_INDEX)
			note_zone_change(scheduler, (uint32_t)i,
			    old->zones[from].in_service, now_ms);
	}
}

static void
carry_workers(struct scheduler *scheduler, const struct cluster *old)
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
	}
}

static void
carry_entry(struct scheduler *scheduler, const struct cluster *old,
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

/* Resolves the names of all jobs anew and counts them in again. */
static void
carry_jobs(
    struct scheduler *scheduler, const struct cluster *old, int64_t now_ms)
{
	struct job_entry *entry;

	job_queue_clear(&scheduler->queue);
	job_queue_set_lanes(&scheduler->queue, LANES);
	for (size_t i = 0; i < scheduler->table.buckets_count; i++) {
		for (entry = scheduler->table.buckets[i]; entry != NULL;
		     entry = entry->next) {
			int64_t queued_ms = entry->queued_ms;

			carry_entry(scheduler, old, entry);
			if (entry->state != ENTRY_QUEUED) {
				hold_workers(scheduler, entry, now_ms);
				continue;
			}
			enqueue(scheduler, entry, now_ms);
			entry->queued_ms = queued_ms;
		}
	}
}

void
scheduler_set_document(struct scheduler *scheduler,
    const struct document *document, int64_t now_ms)
{
	struct cluster old = scheduler->cluster;
	bool *old_held = scheduler->zones_held;

	copy_limits(scheduler, document);
	cluster_build(&scheduler->cluster, document);
	scheduler->zones_held = mem_calloc(document->zones_count, sizeof(bool));
	carry_zones(scheduler, &old, old_held);
	note_zone_changes(scheduler, &old, now_ms);
	carry_workers(scheduler, &old);
	carry_jobs(scheduler, &old, now_ms);
	scheduler->capacity_freed = true;
	cluster_clear(&old);
	mem_free(old_held);
}

void
scheduler_set_zone(struct scheduler *scheduler, const char *zone,
    bool in_service, int64_t now_ms)
{
	uint32_t index = cluster_find_zone(&scheduler->cluster, zone);
	bool was;

	if (index == NO_INDEX)
		return;
	was = scheduler->cluster.zones[index].in_service;
	scheduler->zones_held[index] = !in_service;
	cluster_set_zone(&scheduler->cluster, index, in_service);
	note_zone_change(scheduler, index, was, now_ms);
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
	scheduler->capacity_freed = true;
}

/* Tasks that a range of idle workers would hold. */
static uint64_t
tasks_on_idle(const struct cluster *cluster, const struct scheduler_job *job,
    uint32_t first, uint32_t count)
{
	uint64_t tasks = 0;

	for (uint32_t i = first; i < first + count; i++)
		tasks +=
		    cluster->workers[i].capacity / job->accelerators_per_task;
	return tasks;
}

static uint64_t
tasks_on_idle_zone(const struct cluster *cluster,
    const struct scheduler_job *job, uint32_t zone)
{
	uint64_t tasks = 0;

	for (size_t i = 0; i < cluster->racks_count; i++) {
		const struct cluster_rack *rack = &cluster->racks[i];

		if (rack->zone == zone)
			tasks += tasks_on_idle(cluster, job, rack->first_worker,
			    rack->workers_count);
	}
	return tasks;
}

/* The most tasks that one unit of the job's adjacency could ever hold. */
static uint64_t
most_tasks(const struct cluster *cluster, const struct scheduler_job *job)
{
	uint64_t most = 0;
	uint64_t sum = 0;

	switch (job->adjacency) {
	case IBIS__ADJACENCY__ADJACENCY_WORKER:
		for (uint32_t i = 0; i < cluster->workers_count; i++) {
			sum = tasks_on_idle(cluster, job, i, 1);
			most = sum > most ? sum : most;
		}
		return most;
	case IBIS__ADJACENCY__ADJACENCY_RACK:
		for (size_t i = 0; i < cluster->racks_count; i++) {
			sum = tasks_on_idle(cluster, job,
			    cluster->racks[i].first_worker,
			    cluster->racks[i].workers_count);
			most = sum > most ? sum : most;
		}
		return most;
	case IBIS__ADJACENCY__ADJACENCY_ZONE:
		for (uint32_t i = 0; i < cluster->zones_count; i++) {
			sum = tasks_on_idle_zone(cluster, job, i);
			most = sum > most ? sum : most;
		}
		return most;
	default:
		return tasks_on_idle(
		    cluster, job, 0, (uint32_t)cluster->workers_count);
	}
}

/* Refuses what can never run, whatever else ends. */
static enum ibis_code
check_shape(const struct scheduler *scheduler, const struct scheduler_job *job,
    uint32_t workspace, struct ibis_status *status)
{
	uint64_t accelerators =
	    (uint64_t)job->tasks * job->accelerators_per_task;
	uint64_t quota = scheduler->workspaces[workspace].max_accelerators;
	uint64_t most;

	if (job->tasks == 0 || job->accelerators_per_task == 0)
		return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
		    "tasks, accelerators_per_task: 0; expected at least 1");
	if (quota > 0 && accelerators > quota)
		return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
		    "accelerators: %" PRIu64 " in all; workspace %s may hold "
		    "%" PRIu64,
		    accelerators, job->workspace, quota);
	most = most_tasks(&scheduler->cluster, job);
	if (job->tasks > most)
		return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
		    "tasks: %" PRIu32 " of %" PRIu32 " accelerators, adjacency "
		    "%s; at most %" PRIu64 " fit even when all is free",
		    job->tasks, job->accelerators_per_task,
		    job_adjacency_name(job->adjacency), most);
	return IBIS_OK;
}

static enum ibis_code
check_job(const struct scheduler *scheduler, const struct scheduler_job *job,
    uint32_t workspace, uint32_t request_class, struct ibis_status *status)
{
	if (job_table_find(&scheduler->table, job->id) != NULL)
		return ibis_status_set(status, IBIS_CONFLICT, STEP, NULL,
		    "id: a job with it is known already");
	if (workspace == NO_INDEX)
		return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
		    "workspace: \"%s\" is not in the document", job->workspace);
	if (request_class == NO_INDEX)
		return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
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
	enqueue(scheduler, add_entry(scheduler, job), now_ms);
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
		enqueue(scheduler, entry, now_ms);
		return;
	}
	entry->workers = mem_calloc(job->tasks, sizeof(*entry->workers));
	for (uint32_t i = 0; i < job->tasks; i++)
		entry->workers[i] =
		    cluster_find_worker(&scheduler->cluster, workers[i]);
	entry->state = ENTRY_RUNNING;
	entry->started = true;
	entry->started_ms = now_ms;
	entry->expected_end_ms = now_ms + job->run_time_ms;
	hold_workers(scheduler, entry, now_ms);
	add_active(scheduler, entry);
}

void
scheduler_running(struct scheduler *scheduler, struct job_id id, int64_t now_ms)
{
	struct job_entry *entry = job_table_find(&scheduler->table, id);

	(void)now_ms;
	if (entry != NULL && entry->state == ENTRY_STARTING)
		entry->state = ENTRY_RUNNING;
}

static void
avoid_worker(
    struct scheduler *scheduler, struct job_entry *entry, const char *culprit)
{
	uint32_t worker;

	if (culprit == NULL)
		return;
	worker = cluster_find_worker(&scheduler->cluster, culprit);
	if (worker == NO_INDEX)
		return;
	memmove(&entry->avoided[1], &entry->avoided[0],
	    (ENTRY_AVOIDED_WORKERS - 1) * sizeof(entry->avoided[0]));
	entry->avoided[0] = worker;
	if (entry->avoided_count < ENTRY_AVOIDED_WORKERS)
		entry->avoided_count++;
}

/* Puts an entry that has left its workers back into the queue. */
static void
requeue(struct scheduler *scheduler, struct job_entry *entry,
    enum scheduler_end end, const char *culprit, int64_t now_ms)
{
	entry->evict_by_ms = 0;
	entry->evict_reason = NULL;
	entry->not_before_ms = now_ms;
	if (end == END_EVICTED) {
		entry->evictions++;
	} else {
		avoid_worker(scheduler, entry, culprit);
		entry->failed_attempts++;
		entry->not_before_ms += admission_retry_delay_ms(
		    &scheduler->admission, entry->failed_attempts);
		scheduler_wake_at(scheduler, entry->not_before_ms);
	}
	enqueue(scheduler, entry, now_ms);
}

void
scheduler_end(struct scheduler *scheduler, struct job_id id,
    enum scheduler_end end, const char *culprit, int64_t run_ms, int64_t now_ms)
{
	struct job_entry *entry = job_table_find(&scheduler->table, id);
	bool final =
	    end == END_FINISHED || end == END_FAILED || end == END_CLOSED;

	(void)run_ms;
	if (entry == NULL)
		return;
	if (entry->state != ENTRY_QUEUED) {
		remove_active(scheduler, entry);
		release_workers(scheduler, entry, now_ms);
	} else if (final) {
		dequeue(scheduler, entry, now_ms);
	} else {
		return;
	}
	if (final)
		job_table_remove(&scheduler->table, entry);
	else
		requeue(scheduler, entry, end, culprit, now_ms);
}

void
scheduler_usage_report(struct scheduler *scheduler, struct job_id id,
    double used_share, int64_t now_ms)
{
	(void)scheduler;
	(void)id;
	(void)used_share;
	(void)now_ms;
}

/* Stops what has not checkpointed in time. */
static void
stop_overdue(struct scheduler *scheduler, int64_t now_ms)
{
	for (size_t i = 0; i < scheduler->active_count; i++) {
		struct job_entry *entry = scheduler->active[i];

		if (entry->state != ENTRY_EVICTING || entry->evict_by_ms == 0)
			continue;
		if (entry->evict_by_ms > now_ms) {
			scheduler_wake_at(scheduler, entry->evict_by_ms);
			continue;
		}
		entry->evict_by_ms = 0;
		action_list_evict(&scheduler->actions, entry, EVICT_STOP,
		    entry->evict_reason);
	}
}

/* Gives up what has waited too long or failed too often. */
static void
give_up_expired(struct scheduler *scheduler, int64_t now_ms)
{
	for (size_t i = 0; i < scheduler->queue.lanes_count; i++) {
		struct job_queue_lane *lane = &scheduler->queue.lanes[i];

		for (size_t at = lane->count; at-- > 0;) {
			struct job_queue_item item = lane->items[at];

			if (item.expires_ms <= now_ms)
				scheduler_give_up(
				    scheduler, item.entry, "max_wait", now_ms);
			else if (scheduler->config.max_attempts > 0 &&
			    item.entry->failed_attempts >=
				scheduler->config.max_attempts)
				scheduler_give_up(
				    scheduler, item.entry, "attempts", now_ms);
			else
				scheduler_wake_at(scheduler, item.expires_ms);
		}
	}
}

size_t
scheduler_decide(struct scheduler *scheduler, int64_t now_ms,
    const struct scheduler_action **actions)
{
	action_list_reset(&scheduler->actions);
	scheduler->next_ms = INT64_MAX;
	stop_overdue(scheduler, now_ms);
	give_up_expired(scheduler, now_ms);
	policy_first_fit_decide(scheduler, now_ms);
	scheduler->capacity_freed = false;
	scheduler->queue_grew = false;
	action_list_finish(&scheduler->actions);
	*actions = scheduler->actions.actions;
	return scheduler->actions.count;
}

int64_t
scheduler_next_ms(const struct scheduler *scheduler)
{
	return scheduler->next_ms;
}

void
scheduler_usage(
    const struct scheduler *scheduler, struct scheduler_usage *usage)
{
	const struct cluster *cluster = &scheduler->cluster;

	*usage = (struct scheduler_usage){
	    .queued_jobs = scheduler->queue.count,
	    .running_jobs = scheduler->active_count,
	};
	for (uint32_t i = 0; i < cluster->workers_count; i++) {
		if (cluster->workers[i].quarantined)
			usage->quarantined_workers++;
		if (!cluster->workers[i].usable)
			continue;
		usage->accelerators += cluster->workers[i].capacity;
		usage->free_accelerators += cluster_free(cluster, i);
	}
}
