/* Workers: their entries, polls and leases, and the loss of their runs. */
#include <string.h>

#include "fleet/fleet_model.h"
#include "process/alloc.h"

/* A worker is silent after this many polls in a row without an answer. */
#define SILENT_AFTER_POLLS 2

/* A worker takes at least this long to restart. A process that is started again
 * at once may be back after a tenth of a second. */
#define RESTART_MIN_MS 60

/* A run that began less than this ago counts as recent in the log. */
#define RECENT_START_MS 1000

/* Added to the expected end of a worker's lease to allow for rounding. */
#define LEASE_MARGIN_MS 30

struct fleet *
fleet_new(const struct fleet_config *config, int64_t now_ms)
{
	struct fleet *fleet = mem_calloc(1, sizeof(*fleet));

	fleet->config = *config;
	fleet->lead_since_ms = now_ms;
	fleet->next_wakeup_ms = now_ms;
	fleet->next_placement_ms = INT64_MAX;
	CDS_INIT_LIST_HEAD(&fleet->unrecorded);
	CDS_INIT_LIST_HEAD(&fleet->active);
	return fleet;
}

static char *
copy_text(const char *text)
{
	return mem_strdup(text == NULL ? "" : text);
}

void
fleet_copy_worker_entry(
    struct fleet_worker_entry *copy, const struct fleet_worker_entry *entry)
{
	const char **labels =
	    mem_calloc(entry->labels_count + 1, sizeof(*labels));

	for (uint32_t i = 0; i < entry->labels_count; i++)
		labels[i] = copy_text(entry->labels[i]);
	*copy = *entry;
	copy->id = copy_text(entry->id);
	copy->service = copy_text(entry->service);
	copy->address = copy_text(entry->address);
	copy->zone = copy_text(entry->zone);
	copy->rack = copy_text(entry->rack);
	copy->labels = labels;
}

void
fleet_free_worker_entry(struct fleet_worker_entry *entry)
{
	for (uint32_t i = 0; i < entry->labels_count; i++)
		mem_free((char *)entry->labels[i]);
	mem_free((const char **)entry->labels);
	mem_free((char *)entry->id);
	mem_free((char *)entry->service);
	mem_free((char *)entry->address);
	mem_free((char *)entry->zone);
	mem_free((char *)entry->rack);
	*entry = (struct fleet_worker_entry){0};
}

static void
free_worker(struct fleet_worker *worker)
{
	fleet_free_worker_entry(&worker->entry);
	mem_free(worker);
}

void
fleet_free(struct fleet *fleet)
{
	if (fleet == NULL)
		return;
	while (fleet->writing_count > 0)
		fleet_record_stored(fleet, fleet->writing[0], 0);
	while (fleet->jobs.count > 0)
		fleet_remove_job(fleet, fleet->jobs.items[0].item);
	for (size_t i = 0; i < fleet->workers.count; i++)
		free_worker(fleet->workers.items[i].item);
	name_index_free(&fleet->jobs);
	name_index_free(&fleet->workers);
	for (size_t i = 0; i < fleet->zones_out_of_service.count; i++)
		mem_free(fleet->zones_out_of_service.items[i].item);
	name_index_free(&fleet->zones_out_of_service);
	for (size_t i = 0; i < fleet->workspaces_count; i++) {
		mem_free(fleet->workspaces[i]->name);
		mem_free(fleet->workspaces[i]);
	}
	mem_free(fleet->workspaces);
	mem_free(fleet->preempt_plan.victims);
	mem_free(fleet->candidates);
	mem_free(fleet->orphans);
	mem_free(fleet->orders);
	mem_free(fleet->events);
	mem_free(fleet);
}

struct fleet_worker *
fleet_find_worker(const struct fleet *fleet, const char *id)
{
	return name_index_get(&fleet->workers, id);
}

size_t
fleet_workers_count(const struct fleet *fleet)
{
	return fleet->workers.count;
}

struct fleet_worker *
fleet_worker_at(const struct fleet *fleet, size_t index)
{
	return fleet->workers.items[index].item;
}

const struct fleet_worker_entry *
fleet_worker_entry(const struct fleet_worker *worker)
{
	return &worker->entry;
}

static bool
zone_is_out_of_service(const struct fleet *fleet, const char *zone)
{
	return name_index_get(&fleet->zones_out_of_service, zone) != NULL;
}

/* Returns the time by which the longest lease that a worker accepts has expired
 * on a slow clock. */
static int64_t
longest_lease_ms(const struct fleet *fleet)
{
	return (int64_t)(fleet->config.max_lease_ms * FLEET_MAX_CLOCK_DRIFT);
}

/* Returns the end of the longest lease that the worker can have accepted from
 * this lead. */
static int64_t
longest_lease_end_ms(
    const struct fleet *fleet, const struct fleet_worker *worker)
{
	return worker->granted_ms + longest_lease_ms(fleet);
}

/*
 * Returns whether a run that no poll has shown may continue after the
 * expected end of the worker's lease. The worker may have restarted before
 * the run's start reached it. Its new incarnation then compares
 * the lease's end, which was computed for the clock of the old one, with its
 * own clock, and may accept a lease of up to max_lease_ms.
 */
static bool
may_outlive_lease(
    const struct fleet *fleet, const struct fleet_task *task, int64_t now_ms)
{
	return task->last_poll == 0 && task->worker->granted_ms != 0 &&
	    now_ms < longest_lease_end_ms(fleet, task->worker);
}

/* Returns a task whose run is lost with its worker, or NULL. One that may
 * outlive the lease of a silent worker is not. */
static struct fleet_task *
next_lost_task(const struct fleet *fleet, const struct fleet_worker *worker,
    enum fleet_loss loss, int64_t now_ms)
{
	struct fleet_task *task;

	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		if (fleet_task_holds_resources(task->state) &&
		    (loss == FLEET_LOSS_REPLACED ||
			!may_outlive_lease(fleet, task, now_ms)))
			return task;
	}
	return NULL;
}

/* Requeues the tasks whose runs are lost with the worker. */
static void
mark_lost_tasks(struct fleet *fleet, struct fleet_worker *worker,
    enum fleet_loss loss, int64_t now_ms)
{
	enum fleet_presumption presumption = loss == FLEET_LOSS_REPLACED
	    ? FLEET_WORKER_REPLACED
	    : FLEET_LEASE_EXPIRED;
	struct fleet_task *task = next_lost_task(fleet, worker, loss, now_ms);

	if (task == NULL)
		return;
	fleet->changed = true;
	fleet_charge_loss(fleet, worker, loss, now_ms);
	/* Requeueing a member of a gang may remove others from the worker. */
	for (; task != NULL;
	     task = next_lost_task(fleet, worker, loss, now_ms)) {
		fleet_add_presumed_end_event(fleet, task, presumption, now_ms);
		fleet_requeue_task(
		    fleet, task, "lost with worker", NULL, now_ms);
	}
}

void
fleet_withdraw_placed(
    struct fleet *fleet, struct fleet_worker *worker, int64_t now_ms)
{
	struct fleet_task *task;
	bool more = true;

	while (more) {
		more = false;
		cds_list_for_each_entry (task, &worker->tasks, on_worker) {
			if (task->state != TASK_PLACED)
				continue;
			fleet_stop_gang_or_task(fleet, task, "worker", now_ms);
			more = true;
			break;
		}
	}
}

bool
fleet_began_on_earlier_incarnation(
    const struct fleet *fleet, const struct fleet_task *task)
{
	return task->last_poll != fleet->polls &&
	    task->placed_incarnation_wall_ms != 0 &&
	    task->placed_incarnation_wall_ms !=
	    task->worker->incarnation_wall_ms;
}

uint64_t
fleet_worker_fence(const struct fleet_worker *worker)
{
	return worker->fence;
}

void
fleet_raise_fence(
    struct fleet *fleet, struct fleet_worker *worker, int64_t now_ms)
{
	worker->fence++;
	worker->reported = false;
	if (worker->missed_ms == 0)
		worker->missed_ms = now_ms;
	fleet->changed = true;
	fleet_withdraw_placed(fleet, worker, now_ms);
	fleet_wake_at(fleet, now_ms);
}

void
fleet_handle_replaced_worker(
    struct fleet *fleet, struct fleet_worker *worker, int64_t now_ms)
{
	mark_lost_tasks(fleet, worker, FLEET_LOSS_REPLACED, now_ms);
	fleet_release_lost_orphans(fleet, worker, true);
	worker->lease_until_ms = now_ms;
	worker->granted_ms = 0;
	/* Answers that this worker gave before are out of date. */
	if (worker->reported)
		fleet_raise_fence(fleet, worker, now_ms);
}

void
fleet_confirm_worker(struct fleet *fleet, struct fleet_worker *worker,
    int64_t incarnation_wall_ms, int64_t now_ms)
{
	worker->reported = true;
	worker->lease_until_ms = now_ms + longest_lease_ms(fleet);
	fleet->changed = true;
	fleet_wake_at(fleet, now_ms);
	if (worker->incarnation_wall_ms == incarnation_wall_ms)
		return;
	if (worker->incarnation_wall_ms != 0)
		fleet_add_restart_event(fleet, worker, now_ms);
	fleet_release_lost_orphans(fleet, worker, false);
	worker->incarnation_wall_ms = incarnation_wall_ms;
	worker->last_reported_end = 0;
	worker->last_acked_end = 0;
	worker->reported_generation = 0;
	fleet_end_pauses(worker);
	worker->reports_resources = false;
	worker->resources_unconfirmed = false;
}

/* Returns whether the entry shows that the worker has restarted. An entry may
 * be older than the worker's last report, so only a change counts. */
static bool
shows_restart(
    const struct fleet_worker *worker, const struct fleet_worker_entry *entry)
{
	return entry->incarnation_wall_ms != 0 &&
	    entry->incarnation_wall_ms != worker->entry.incarnation_wall_ms &&
	    worker->incarnation_wall_ms != 0 &&
	    entry->incarnation_wall_ms != worker->incarnation_wall_ms;
}

static struct fleet_worker *
add_worker(
    struct fleet *fleet, const struct fleet_worker_entry *entry, int64_t now_ms)
{
	struct fleet_worker *worker = mem_calloc(1, sizeof(*worker));

	fleet_copy_worker_entry(&worker->entry, entry);
	worker->resources = entry->resources;
	worker->fence = fleet->first_fence;
	CDS_INIT_LIST_HEAD(&worker->tasks);
	(void)name_index_add(&fleet->workers, worker->entry.id, worker);
	/* A previous lead may continue to renew the worker's lease for
	 * previous_lead_renew_ms. */
	worker->lease_until_ms = now_ms + fleet->config.previous_lead_renew_ms +
	    (int64_t)(fleet->config.lease_ms * FLEET_MAX_CLOCK_DRIFT);
	fleet->changed = true;
	return worker;
}

/* Replaces a worker's entry by a copy of another one with the same id, which is
 * kept as the index refers to it. */
static void
replace_entry(
    struct fleet_worker *worker, const struct fleet_worker_entry *entry)
{
	struct fleet_worker_entry old = worker->entry;

	fleet_copy_worker_entry(&worker->entry, entry);
	mem_free((char *)worker->entry.id);
	worker->entry.id = old.id;
	old.id = NULL;
	fleet_free_worker_entry(&old);
}

struct fleet_worker *
fleet_set_worker(
    struct fleet *fleet, const struct fleet_worker_entry *entry, int64_t now_ms)
{
	struct fleet_worker *worker = fleet_find_worker(fleet, entry->id);
	bool restarted;

	if (worker == NULL)
		worker = add_worker(fleet, entry, now_ms);
	restarted =
	    worker->entry.incarnation_wall_ms != entry->incarnation_wall_ms;
	if (!worker->listed || restarted ||
	    worker->entry.draining != entry->draining ||
	    strcmp(worker->entry.address,
		entry->address == NULL ? "" : entry->address) != 0) {
		fleet->changed = true;
		fleet_wake_at(fleet, now_ms);
	}
	if (shows_restart(worker, entry))
		fleet_raise_fence(fleet, worker, now_ms);
	fleet_note_leaving(fleet, worker, entry, now_ms);
	fleet_note_listed_resources(
	    fleet, worker, &entry->resources, !restarted, now_ms);
	replace_entry(worker, entry);
	worker->listed = true;
	worker->zone_out_of_service =
	    zone_is_out_of_service(fleet, worker->entry.zone);
	if (entry->draining || restarted)
		fleet_withdraw_placed(fleet, worker, now_ms);
	return worker;
}

/* Removes workers that are gone from the listings of tasks. */
static void
forget_listings(struct fleet *fleet)
{
	for (size_t i = 0; i < fleet->jobs.count; i++) {
		struct fleet_job *job = fleet->jobs.items[i].item;

		for (size_t j = 0; j < job->occurrences_count; j++) {
			for (uint32_t k = 0; k < job->tasks_count; k++) {
				struct fleet_listing *listing =
				    &job->occurrences[j]->tasks[k].listing;

				if (listing->worker != NULL &&
				    listing->worker->gone)
					listing->worker = NULL;
			}
		}
	}
}

static void
remove_worker(struct fleet *fleet, struct fleet_worker *worker)
{
	if (worker->fence >= fleet->first_fence)
		fleet->first_fence = worker->fence + 1;
	(void)name_index_remove(&fleet->workers, worker->entry.id);
	free_worker(worker);
}

/* Removes the workers that are gone: neither tasks nor orphans are on them. */
static void
remove_gone_workers(struct fleet *fleet)
{
	forget_listings(fleet);
	for (size_t i = fleet->workers.count; i-- > 0;) {
		struct fleet_worker *worker = fleet->workers.items[i].item;

		if (worker->gone)
			remove_worker(fleet, worker);
	}
}

void
fleet_unlist_worker(struct fleet *fleet, const char *id, int64_t now_ms)
{
	struct fleet_worker *worker = fleet_find_worker(fleet, id);

	if (worker == NULL)
		return;
	worker->listed = false;
	fleet->changed = true;
	fleet_withdraw_placed(fleet, worker, now_ms);
	fleet_wake_at(fleet, now_ms);
}

bool
fleet_worker_answers(const struct fleet_worker *worker)
{
	return worker->reported && !worker->silent;
}

bool
fleet_worker_busy(const struct fleet_worker *worker)
{
	return worker->tasks.next != &worker->tasks;
}

/* Returns whether the entry and the last report are of the same incarnation. A
 * new one may have other resources, labels and service. Unknown ones match. */
static bool
entry_is_current(const struct fleet_worker *worker)
{
	return worker->entry.incarnation_wall_ms == 0 ||
	    worker->incarnation_wall_ms == 0 ||
	    worker->entry.incarnation_wall_ms == worker->incarnation_wall_ms;
}

bool
fleet_worker_has_unacked_ends(const struct fleet_worker *worker)
{
	return worker->last_reported_end > worker->last_acked_end;
}

bool
fleet_worker_needs_poll(const struct fleet_worker *worker)
{
	if (*worker->entry.address == '\0')
		return false;
	return !worker->reported || worker->silent ||
	    !entry_is_current(worker) || worker->resources_unconfirmed ||
	    fleet_worker_has_unacked_ends(worker) || worker->orphans > 0 ||
	    fleet_worker_busy(worker);
}

/* Returns the lowest generation that is not stored yet. */
static uint64_t
oldest_unrecorded(const struct fleet *fleet)
{
	uint64_t oldest = fleet->generation + 1;
	struct fleet_job *job;

	cds_list_for_each_entry (job, &fleet->unrecorded, unrecorded) {
		if (job->dirty_generation < oldest)
			oldest = job->dirty_generation;
	}
	for (size_t i = 0; i < fleet->writing_count; i++) {
		if (fleet->writing[i]->writing_generation < oldest)
			oldest = fleet->writing[i]->writing_generation;
	}
	return oldest;
}

bool
fleet_worker_has_unrecorded_ends(
    const struct fleet *fleet, const struct fleet_worker *worker)
{
	return fleet_worker_has_unacked_ends(worker) &&
	    worker->reported_generation >= oldest_unrecorded(fleet);
}

/* Returns whether a poll sent now can't reach a later incarnation than the one
 * that answered last. */
static bool
has_just_answered(const struct fleet_worker *worker, int64_t now_ms)
{
	return worker->missed_ms == 0 &&
	    now_ms - worker->clock_at_ms <= RESTART_MIN_MS;
}

uint64_t
fleet_worker_ends_to_ack(const struct fleet *fleet,
    const struct fleet_worker *worker, int64_t now_ms)
{
	if (!worker->reported || !fleet_worker_has_unacked_ends(worker) ||
	    fleet_worker_has_unrecorded_ends(fleet, worker) ||
	    !has_just_answered(worker, now_ms))
		return 0;
	return worker->last_reported_end;
}

/* Converts a time of the worker's clock to the latest time that it can be on
 * this instance's clock. */
static int64_t
to_local_clock(const struct fleet_worker *worker, int64_t clock_ms)
{
	return worker->clock_at_ms +
	    (int64_t)((double)(clock_ms - worker->clock_ms) *
		FLEET_MAX_CLOCK_DRIFT) +
	    LEASE_MARGIN_MS;
}

/* Converts a time of this instance's clock to the earliest time that the
 * worker's clock can show then. */
static int64_t
to_worker_clock(const struct fleet_worker *worker, int64_t at_ms)
{
	int64_t since_ms = at_ms - worker->clock_at_ms;

	if (since_ms > 0)
		since_ms = (int64_t)((double)since_ms / FLEET_MAX_CLOCK_DRIFT);
	return worker->clock_ms + since_ms;
}

int64_t
fleet_grant_lease(struct fleet *fleet, struct fleet_worker *worker,
    int64_t from_ms, int64_t now_ms)
{
	int64_t until_ms;

	if (!fleet_worker_answers(worker))
		return 0;
	until_ms = to_worker_clock(worker, from_ms) + fleet->config.lease_ms;
	worker->granted_ms = now_ms;
	if (to_local_clock(worker, until_ms) > worker->lease_until_ms)
		worker->lease_until_ms = to_local_clock(worker, until_ms);
	return until_ms;
}

bool
fleet_handle_unanswered_poll(struct fleet *fleet, struct fleet_worker *worker,
    bool unreachable, int64_t now_ms)
{
	bool before = worker->silent;

	worker->unanswered_polls++;
	if (worker->missed_ms == 0)
		worker->missed_ms = now_ms;
	if (unreachable && worker->refused_ms == 0)
		worker->refused_ms = now_ms;
	if (worker->reported && !before && !unreachable &&
	    worker->unanswered_polls < SILENT_AFTER_POLLS)
		return false;
	if (worker->reported && !before)
		fleet_note_silence(fleet, worker, now_ms);
	worker->silent = true;
	fleet->changed |= !before;
	fleet_withdraw_placed(fleet, worker, now_ms);
	fleet_wake_at(fleet, worker->lease_until_ms);
	return worker->reported && !before;
}

void
fleet_count_runs(const struct fleet_worker *worker, int64_t now_ms,
    struct fleet_worker_runs *runs)
{
	const struct fleet_task *task;

	*runs = (struct fleet_worker_runs){.newest_age_ms = -1};
	cds_list_for_each_entry (task, &worker->tasks, on_worker) {
		int64_t age_ms = now_ms - task->start_sent_ms;

		if (!fleet_task_holds_resources(task->state))
			continue;
		runs->runs++;
		if (task->start_sent_ms == 0)
			continue;
		runs->recent += age_ms < RECENT_START_MS;
		if (runs->newest_age_ms >= 0 && age_ms >= runs->newest_age_ms)
			continue;
		fleet_task_id(task, &runs->newest);
		runs->newest_run = task->run;
		runs->newest_age_ms = age_ms;
	}
}

bool
fleet_worker_missed_poll(const struct fleet_worker *worker)
{
	return worker->unanswered_polls > 0;
}

void
fleet_expire_leases(struct fleet *fleet, int64_t now_ms)
{
	bool some_gone = false;

	for (size_t i = fleet->workers.count; i-- > 0;) {
		struct fleet_worker *worker = fleet->workers.items[i].item;

		if (fleet_worker_answers(worker) && worker->listed)
			continue;
		if (now_ms < worker->lease_until_ms) {
			if (fleet_worker_busy(worker))
				fleet_wake_at(fleet, worker->lease_until_ms);
			continue;
		}
		if (!fleet_worker_answers(worker)) {
			mark_lost_tasks(
			    fleet, worker, FLEET_LOSS_LEASE_EXPIRED, now_ms);
			fleet_release_lost_orphans(fleet, worker,
			    now_ms >= longest_lease_end_ms(fleet, worker));
		}
		worker->gone = !worker->listed && !fleet_worker_busy(worker) &&
		    worker->orphans == 0;
		some_gone |= worker->gone;
	}
	if (some_gone)
		remove_gone_workers(fleet);
}

void
fleet_set_zone(struct fleet *fleet, const char *zone, bool in_service)
{
	struct name_index *zones = &fleet->zones_out_of_service;

	if (in_service) {
		mem_free(name_index_remove(zones, zone));
	} else if (name_index_get(zones, zone) == NULL) {
		char *name = mem_strdup(zone);

		(void)name_index_add(zones, name, name);
	}
	for (size_t i = 0; i < fleet->workers.count; i++) {
		struct fleet_worker *worker = fleet->workers.items[i].item;

		worker->zone_out_of_service =
		    zone_is_out_of_service(fleet, worker->entry.zone);
	}
	fleet->changed = true;
	fleet_wake_at(fleet, 0);
}

struct fleet_resources
fleet_worker_free_capacity(const struct fleet_worker *worker)
{
	return fleet_resources_remaining(
	    &worker->resources, &worker->committed);
}

struct fleet_resources
fleet_worker_unoccupied(const struct fleet_worker *worker)
{
	if (worker->orphans_of_unknown_need > 0)
		return (struct fleet_resources){0};
	return fleet_resources_remaining(&worker->resources, &worker->occupied);
}

bool
fleet_worker_has_label(const struct fleet_worker *worker, const char *label)
{
	if (*label == '\0')
		return true;
	for (uint32_t i = 0; i < worker->entry.labels_count; i++) {
		if (strcmp(worker->entry.labels[i], label) == 0)
			return true;
	}
	return false;
}

bool
fleet_worker_usable(const struct fleet_worker *worker,
    const struct fleet_job *job, const Ibis__JobStep *step, int64_t now_ms)
{
	return worker->listed && fleet_worker_answers(worker) &&
	    entry_is_current(worker) && !worker->entry.draining &&
	    !worker->zone_out_of_service &&
	    now_ms >= fleet_worker_paused_until_ms(worker, job) &&
	    strcmp(worker->entry.service, job->spec->service) == 0 &&
	    fleet_worker_has_label(worker, step->label);
}
