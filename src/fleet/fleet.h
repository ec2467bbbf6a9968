/*
 * Decides which tasks of which step jobs run on which workers. The module is
 * deterministic: it receives events and the current time and returns orders
 * and records; it reads no clock, starts no thread and does no I/O.
 *
 * A task's placement is recorded in the store before its start is ordered, so
 * that a new lead knows where the task may run. The end of a run is recorded
 * before the worker may discard it.
 *
 * Times in _ms are of one monotonic clock, except _wall_ms (time of day) and
 * _clock_ms (the worker's own clock).
 */
#ifndef IBIS_FLEET_H
#define IBIS_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "ibistrestle.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	FLEET_ID_BYTES = 17, /* of a job: 16 hexadecimal digits and NUL */
	/* Of the id of a worker or the name of an instance, each of which ends
	 * a key of the store, of at most 200 bytes. */
	FLEET_NAME_BYTES = 201,
	/* Of a job. */
	FLEET_MAX_STEPS = 256,
	FLEET_MAX_TASKS = 65536, /* of one occurrence, over all steps */
	FLEET_MAX_OCCURRENCES = 100000,
	/* Of a task in its job's record of progress, with the usual lengths of
	 * names and checkpoints. */
	FLEET_TASK_RECORD_BYTES = 64
};

/* Largest amount of one resource of a worker or task. Sums and products of
 * valid amounts don't overflow. */
#define FLEET_MAX_AMOUNT (INT64_C(1) << 32)
/* Latest time of day, longest duration and highest reading of a clock. */
#define FLEET_MAX_TIME_MS (INT64_C(1) << 43)
/* Highest number of a run or of the end of a run. */
#define FLEET_MAX_NUMBER (UINT64_C(1) << 53)

struct fleet;
struct fleet_job;
struct fleet_worker;

struct fleet_config {
	int32_t lease_ms;     /* length of the leases granted to workers */
	int32_t max_lease_ms; /* longest lease that a worker accepts */
	/* A previous lead may continue to renew leases for this time after a
	 * new lead has taken over. */
	int32_t previous_lead_renew_ms;
	int32_t
	    stop_timeout_ms; /* longest time that a stop takes; 0: unknown */
	/* Run time outside the rack of the data or the gang, relative to the
	 * run time inside. */
	double remote_factor;
	/* Tasks of one job's open occurrences, at most, unless one occurrence
	 * has more; 0: FLEET_MAX_TASKS. */
	uint32_t max_open_tasks;
};

/* Resources of a worker, or those that a task needs. */
struct fleet_resources {
	int64_t cpu_milli; /* thousandths of a core */
	int64_t memory_mb;
	int64_t accelerators;
};

struct fleet_task_id {
	char job[FLEET_ID_BYTES];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index; /* within the step */
};

/* A worker's entry in the store, which the worker writes itself. Its texts have
 * any length, but for the id; NULL is taken for an empty one. */
struct fleet_worker_entry {
	const char *id; /* shorter than FLEET_NAME_BYTES */
	const char *service;
	const char *address; /* IP:PORT */
	const char *zone;
	const char *rack;
	const char *const *labels;
	uint32_t labels_count;
	struct fleet_resources resources; /* in total */
	int64_t incarnation_wall_ms; /* start of this incarnation; 0: unknown */
	bool draining;
	/* Least time until it leaves, when the entry was written; 0 or less:
	 * unknown. */
	int64_t remaining_ms;
};

/* How a run ended. */
enum fleet_end {
	FLEET_END_DONE,
	FLEET_END_FAILED,
	FLEET_END_STOPPED,
	FLEET_END_LEASE_EXPIRED, /* the worker's lease expired */
	FLEET_END_GANG_ENDED,	 /* another member of its gang ended */
	FLEET_END_GANG_TIMEOUT	 /* its gang was not complete in time */
};

/* A run that a worker reports as present. */
struct fleet_reported_run {
	struct fleet_task_id task;
	uint64_t run;
	const char *checkpoint; /* owned by the report */
	int32_t percent;	/* of the work done */
};

/* An ended run that a worker reports until the end is acknowledged. */
struct fleet_reported_end {
	uint64_t number; /* rises within one incarnation of the worker */
	struct fleet_task_id task;
	uint64_t run;
	enum fleet_end outcome;
	const char *checkpoint; /* owned by the report */
};

/* What a poll told the worker; needed when its answer arrives. */
struct fleet_poll {
	uint64_t fence;	    /* fleet_worker_fence when it was sent */
	uint64_t acked_end; /* number up to which it acknowledged ends */
};

/* A worker's answer to a poll. */
struct fleet_report {
	int64_t sent_ms;	     /* when the poll was sent */
	int64_t received_ms;	     /* when the answer arrived */
	int64_t clock_ms;	     /* the worker's clock when it answered */
	int64_t incarnation_wall_ms; /* start of the worker's incarnation */
	struct fleet_reported_run *runs;
	size_t runs_count;
	struct fleet_reported_end *ends;
	size_t ends_count;
	bool more_ends; /* the worker may have ends that it did not list */
	bool has_resources;
	struct fleet_resources resources; /* in total, when it answered */
};

enum fleet_start_answer {
	FLEET_STARTED,
	FLEET_START_REFUSED, /* not started, and will not be */
	FLEET_START_INVALID, /* the same, for what was to be started */
	/* Refused: the run, or a later one of the task, has ended there. A
	 * report contains the end. */
	FLEET_START_ALREADY_ENDED,
	FLEET_START_UNKNOWN /* no answer: may start, now or later */
};

enum fleet_order_kind {
	FLEET_START,
	FLEET_STOP
};

/* A call to be sent to a worker. */
struct fleet_order {
	enum fleet_order_kind kind;
	struct fleet_worker *worker;
	struct fleet_task_id task;
	uint64_t run;
	/* The pointers below are owned by the fleet and valid until it is
	 * called again. */
	const ProtobufCBinaryData *payload; /* FLEET_START only */
	const char *checkpoint; /* FLEET_START only; empty: from the start */
	const char *reason;	/* FLEET_STOP only */
};

/* Returns a fleet without jobs and workers for an instance that has become the
 * lead at now_ms; config is copied. Free with fleet_free. */
struct fleet *fleet_new(const struct fleet_config *config, int64_t now_ms);

/* Frees the fleet with its jobs and workers; NULL is allowed. */
void fleet_free(struct fleet *fleet);

/*
 * Jobs group. Records are packed StepJob and JobProgress messages.
 */

/* Return whether values from outside are within the limits above, so that they
 * may be added up. */
bool fleet_amounts_valid(const struct fleet_resources *resources);
bool fleet_time_valid(int64_t value_ms);

/*
 * Check records that may come from another writer. Return IBIS_OK, or
 * IBIS_INVALID with the field at fault in status. A record of progress is
 * checked against its job's; NULL: as far as it can be without.
 */
enum ibis_code fleet_check_job(
    const Ibis__StepJob *spec, struct ibis_status *status);
enum ibis_code fleet_check_progress(const Ibis__StepJob *spec,
    const Ibis__JobProgress *progress, struct ibis_status *status);

/* Returns the tasks of one occurrence of a job. */
uint64_t fleet_count_tasks(const Ibis__StepJob *spec);

/*
 * Adds a job and takes ownership of spec, both of which have passed their
 * check. progress is the job's last record
 * with revision progress_revision; NULL for a job without one. It stays the
 * caller's. Returns NULL, and leaves spec to the caller, when a job with this
 * id exists.
 */
struct fleet_job *fleet_add_job(struct fleet *fleet, const char *id,
    Ibis__StepJob *spec, const Ibis__JobProgress *progress,
    uint64_t progress_revision, int64_t now_ms);

/* Returns NULL when there is no job with this id. */
struct fleet_job *fleet_find_job(const struct fleet *fleet, const char *id);

/* Cancels a job: stops what may run and starts nothing more. Does nothing
 * when the job has already ended. */
void fleet_cancel_job(
    struct fleet *fleet, struct fleet_job *job, int64_t now_ms);

/* Removes a job whose records have been deleted from the store. The job is
 * freed, at once or when the write of its record has ended. */
void fleet_remove_job(struct fleet *fleet, struct fleet_job *job);

/* The id is the job's. */
const char *fleet_job_id(const struct fleet_job *job);
Ibis__StepJobPhase fleet_job_phase(const struct fleet_job *job);

/*
 * Records group: jobs whose progress has to be written to the store.
 */

/*
 * Returns the job that has waited longest for its record to be written, or
 * NULL when there is none or too many writes are under way. The write is
 * under way until fleet_record_stored or fleet_record_failed is called.
 */
struct fleet_job *fleet_take_unrecorded(struct fleet *fleet);

/* Returns whether at least count jobs wait for their record to be written. */
bool fleet_has_unrecorded(const struct fleet *fleet, size_t count);

/* Appends the packed progress record to a buffer; wall_ms becomes the end time
 * of a job that has just ended. */
struct buffer;
void fleet_pack_progress(
    const struct fleet_job *job, int64_t wall_ms, struct buffer *packed);

/* Revision of the record as last written; 0: none. */
uint64_t fleet_progress_revision(const struct fleet_job *job);

/* The record as last packed has been stored under this revision. Frees a job
 * that was removed during the write. */
void fleet_record_stored(
    struct fleet *fleet, struct fleet_job *job, uint64_t revision);

/*
 * The write has failed, or its outcome is unknown; revision is the stored
 * record's current one. The job is the next to be written again. Frees a job
 * that was removed during the write.
 */
void fleet_record_failed(
    struct fleet *fleet, struct fleet_job *job, uint64_t revision);

/*
 * Workers group.
 */

/* Copies an entry with its texts; free the copy with fleet_free_worker_entry.
 * An empty entry may be freed too. */
void fleet_copy_worker_entry(
    struct fleet_worker_entry *copy, const struct fleet_worker_entry *entry);
void fleet_free_worker_entry(struct fleet_worker_entry *entry);

/* Adds a worker, or updates it when its entry in the store has changed. The
 * entry is copied with its texts. */
struct fleet_worker *fleet_set_worker(struct fleet *fleet,
    const struct fleet_worker_entry *entry, int64_t now_ms);

/* A worker's entry is no longer in the store. The worker is removed as soon as
 * nothing can run on it any more. */
void fleet_unlist_worker(struct fleet *fleet, const char *id, int64_t now_ms);

/* Returns NULL when there is no worker with this id. */
struct fleet_worker *fleet_find_worker(
    const struct fleet *fleet, const char *id);
size_t fleet_workers_count(const struct fleet *fleet);

/* Workers are sorted by id; index is less than fleet_workers_count. */
struct fleet_worker *fleet_worker_at(const struct fleet *fleet, size_t index);

/* The entry is the worker's and changes with fleet_set_worker. */
const struct fleet_worker_entry *fleet_worker_entry(
    const struct fleet_worker *worker);

/* Returns whether the worker has answered a poll of this lead that was sent
 * with its current fence, and is not silent. */
bool fleet_worker_answers(const struct fleet_worker *worker);

/* Returns whether the worker has to be polled: a task is assigned to it, a run
 * may be on it, it has ends to acknowledge, it does not answer, or its entry is
 * of another incarnation than its last answer. False while its address is
 * unknown. */
bool fleet_worker_needs_poll(const struct fleet_worker *worker);

/* Returns whether any task is assigned to the worker. */
bool fleet_worker_busy(const struct fleet_worker *worker);

/*
 * Returns the number up to which the next poll acknowledges the worker's ends,
 * which are recorded and which the worker may then discard; 0: none. Each end
 * is acknowledged until the worker has answered such a poll, and not again: a
 * worker that has restarted numbers its ends anew and would discard ends that
 * it has not reported. So a worker that may have restarted since its last
 * answer is polled without an acknowledgement first.
 */
uint64_t fleet_worker_ends_to_ack(const struct fleet *fleet,
    const struct fleet_worker *worker, int64_t now_ms);

/* Returns whether the worker lists ends that have not been acknowledged, so
 * that it has to answer the next poll at once. */
bool fleet_worker_has_unacked_ends(const struct fleet_worker *worker);

/*
 * Returns the number to be added to the lead's epoch in the fencing token of
 * each call to the worker. It rises when the worker may have restarted: the new
 * incarnation then refuses all earlier calls as soon as it has received one
 * with the higher token.
 */
uint64_t fleet_worker_fence(const struct fleet_worker *worker);

/* Returns whether the worker has reported ends that are not recorded yet. */
bool fleet_worker_has_unrecorded_ends(
    const struct fleet *fleet, const struct fleet_worker *worker);

/*
 * Grants a lease of config.lease_ms that starts at from_ms, which is now_ms or
 * earlier, and remembers until when the worker may use it. Returns the lease's
 * end on the worker's clock, or 0 when the worker does not answer and its
 * clock is therefore unknown.
 */
int64_t fleet_grant_lease(struct fleet *fleet, struct fleet_worker *worker,
    int64_t from_ms, int64_t now_ms);

/* Returns whether a report contains a run that is later than all recorded runs
 * of its task. Placements are recorded before their starts, so this lead has
 * missed a record. */
bool fleet_report_has_unrecorded_run(
    const struct fleet *fleet, const struct fleet_report *report);

/* Applies a worker's answer to a poll. The report stays the caller's. It is
 * ignored when the fence has been raised since the poll was sent. */
void fleet_apply_report(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_poll *poll, const struct fleet_report *report,
    int64_t now_ms);

/*
 * A poll had no answer in time, or nothing accepted the connection
 * (unreachable). Single answers can be lost, so a worker that has answered
 * this lead becomes silent only when it is unreachable or two polls in a row
 * had no answer. Returns whether such a worker has become silent with this
 * call.
 */
bool fleet_handle_unanswered_poll(struct fleet *fleet,
    struct fleet_worker *worker, bool unreachable, int64_t now_ms);

/*
 * Another worker has answered at the address of this one, which it has replaced
 * there. The runs of this worker have ended with it; a start that is under way
 * to the address is refused there.
 */
void fleet_handle_replaced_worker(
    struct fleet *fleet, struct fleet_worker *worker, int64_t now_ms);

/* The runs that may be on a worker. */
struct fleet_worker_runs {
	uint32_t runs;
	uint32_t recent; /* of them, begun less than a second ago */
	/* The one begun last by this lead; its age is -1 if there is none. */
	struct fleet_task_id newest;
	uint64_t newest_run;
	int64_t newest_age_ms;
};

void fleet_count_runs(const struct fleet_worker *worker, int64_t now_ms,
    struct fleet_worker_runs *runs);

/* Returns whether the last poll had no answer; the next one should then not
 * wait for an end on the worker. */
bool fleet_worker_missed_poll(const struct fleet_worker *worker);

/* A start order has been answered, or has failed. Ignored when the run is no
 * longer assigned to the worker. */
void fleet_handle_start_answer(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_task_id *id, uint64_t run,
    enum fleet_start_answer answer, int64_t now_ms);

/* A stop order has been answered (done), or has to be sent again. Ignored when
 * the run is not being stopped on the worker. */
void fleet_handle_stop_answer(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_task_id *id, uint64_t run, bool done, int64_t now_ms);

/*
 * Configuration group.
 */

/* Nothing is placed in a zone that is out of service. All zones are in service
 * at first. */
void fleet_set_zone(struct fleet *fleet, const char *zone, bool in_service);

/* Removes the guarantees and quotas of all workspaces. */
void fleet_clear_limits(struct fleet *fleet);

/* Sets how many accelerators a workspace's urgent jobs are guaranteed. */
void fleet_set_guarantee(
    struct fleet *fleet, const char *workspace, int64_t accelerators);

/* What a workspace may have, beside its guarantee. */
struct fleet_quota {
	/* Most that it may have running over all workers; 0 of a resource: no
	 * limit. */
	struct fleet_resources cap;
	uint32_t weight_milli; /* its share when all is full; 0: as others */
};

/* Sets a workspace's quota. Under a lower cap, what runs goes on. */
void fleet_set_quota(struct fleet *fleet, const char *workspace,
    const struct fleet_quota *quota);

/* Holds back further placements, or allows them again. Held back while the
 * zones and routes given here may be out of date. */
void fleet_hold_placements(struct fleet *fleet, bool hold);

/* Returns the service of a route; NULL: the route is unknown. */
typedef const char *fleet_find_service(void *context, const char *route);

/* Moves each job to the service of its route. Jobs of unknown routes stay. */
void fleet_move_jobs(
    struct fleet *fleet, fleet_find_service *find, void *context);

/*
 * Decision group.
 */

/* Places waiting tasks where possible. Sets *orders to the orders to send now,
 * which are valid until the next call, and returns their number. */
size_t fleet_decide(struct fleet *fleet, int64_t now_ms, int64_t wall_ms,
    const struct fleet_order **orders);

/* Time at which fleet_decide has to be called if nothing happens before. */
int64_t fleet_next_wakeup_ms(const struct fleet *fleet);

/* Decisions and changes of state that are written to the log. */
enum fleet_event_kind {
	FLEET_EVENT_PLACED,    /* tasks of a step were assigned to workers */
	FLEET_EVENT_RUN_ENDED, /* a run has ended, or is considered lost */
	FLEET_EVENT_JOB_ENDED, /* a job has reached its final phase */
	FLEET_EVENT_WORKER_PAUSED, /* a worker gets no tasks for a while */
	/* A run is considered ended although its worker has not said so. */
	FLEET_EVENT_RUN_PRESUMED_ENDED,
	FLEET_EVENT_WORKER_RESTARTED, /* a worker has a new incarnation */
	/* A worker lists a run that the lead does not expect there. */
	FLEET_EVENT_UNKNOWN_RUN,
	/* What became of a start that had no answer. */
	FLEET_EVENT_START_RESOLVED,
	/* A worker lists runs that need more than it has. */
	FLEET_EVENT_OVER_CAPACITY,
	/* The last reports of two workers list the same task, or one report
	 * lists it twice. */
	FLEET_EVENT_DOUBLE_RUN,
	FLEET_EVENT_CAPACITY_CHANGED, /* of a worker that goes on */
	/* The loss of a worker is charged to runs that had just begun. */
	FLEET_EVENT_LOSS_CHARGED,
	/* A job is given up, as a task of it crashes its workers. */
	FLEET_EVENT_GIVEN_UP
};

/* How a worker was lost with its runs. */
enum fleet_loss {
	FLEET_LOSS_RESTARTED,	 /* a new incarnation answers under its id */
	FLEET_LOSS_REPLACED,	 /* another worker answers at its address */
	FLEET_LOSS_LEASE_EXPIRED /* it is silent; it may have been cut off */
};

/* Why a run is considered ended without its worker's word. */
enum fleet_presumption {
	FLEET_NOT_REPORTED,    /* a report that should list it does not */
	FLEET_NEW_INCARNATION, /* it began on an earlier incarnation */
	FLEET_WORKER_REPLACED, /* another worker is at the worker's address */
	FLEET_LEASE_EXPIRED
};

/* What a run was considered ended from. Ages are -1 when there is none. */
struct fleet_presumed_end {
	enum fleet_presumption presumption;
	const char *state;     /* static; the task's, until now */
	bool listed;	       /* a report has listed the run */
	int64_t lease_left_ms; /* as this lead reckons; below 0: expired */
	int64_t grant_age_ms;  /* of the last lease granted */
	int64_t report_age_ms; /* of the worker's last report */
	int64_t start_age_ms;  /* of the start order */
	int64_t incarnation_wall_ms; /* that the start was sent to */
	int64_t reported_incarnation_wall_ms;
};

/* A worker's new incarnation, and what the earlier one was sent. */
struct fleet_restart {
	int64_t incarnation_wall_ms; /* the earlier one */
	int64_t reported_incarnation_wall_ms;
	int64_t listed_incarnation_wall_ms; /* in the store */
	uint32_t runs;			    /* assigned and not ended */
	uint32_t starts_in_flight; /* of them, not seen to have begun */
	uint32_t unanswered_orders;
	int64_t oldest_order_age_ms; /* of these; -1: none */
};

/* What the lead believes of the task of a run that it does not expect. */
struct fleet_unknown_run {
	const char *state;   /* static, the task's; "no such task" */
	uint64_t latest_run; /* the task's last one */
	char latest_worker[FLEET_NAME_BYTES]; /* it is on; empty: none */
	int64_t start_age_ms; /* of its start order; -1: not by this lead */
	int64_t start_incarnation_wall_ms; /* that it was sent to; 0: none */
	int64_t incarnation_wall_ms; /* of the worker that lists the run */
};

/* A start that had no answer, of a run that is now listed or has ended. */
struct fleet_resolved_start {
	const char *state;		   /* static; the task's, until now */
	int64_t start_incarnation_wall_ms; /* that it was sent to */
	int64_t reported_incarnation_wall_ms;
};

/* The runs that a worker lists, beside its capacity. */
struct fleet_over_capacity {
	struct fleet_resources listed; /* needed by the runs */
	struct fleet_resources capacity;
	uint32_t runs;
	uint32_t unknown_runs;	 /* of them, not expected there */
	uint32_t uncounted_runs; /* of unknown jobs; not in listed */
	int64_t incarnation_wall_ms;
};

/* The other run of a task that is listed twice. */
struct fleet_double_run {
	char other_worker[FLEET_NAME_BYTES];
	uint64_t other_run;
	int64_t other_report_age_ms;
	int64_t incarnation_wall_ms; /* of the event's worker */
	int64_t other_incarnation_wall_ms;
	const char *state; /* static; the task's */
	uint64_t latest_run;
	int64_t start_age_ms; /* of the latest start; -1: not by this lead */
};

/* A worker's resources. */
struct fleet_capacity_change {
	struct fleet_resources before;
	struct fleet_resources after;
	struct fleet_resources committed; /* to tasks there */
	bool reported; /* by the worker's answer; else by its entry */
};

/* The loss of a worker, charged to the event's task and others. */
struct fleet_charged_loss {
	enum fleet_loss loss;
	uint32_t runs;	       /* on the worker */
	uint32_t charged_runs; /* of them */
	int64_t newest_age_ms; /* of the last start; -1: not by this lead */
	int64_t incarnation_wall_ms;
};

/* Why a job is given up: the counts of the event's task. */
struct fleet_given_up {
	uint32_t early_losses;
	uint32_t crashes;
	uint32_t sole_crashes;
};

struct fleet_event {
	enum fleet_event_kind kind;
	struct fleet_task_id task; /* the first one of a step's tasks */
	uint64_t run;
	char worker[FLEET_NAME_BYTES]; /* of the first task; may be empty */
	const char *outcome;	       /* static */
	uint32_t tasks;		       /* that the event applies to */
	uint32_t priority;
	int64_t after_ms;    /* time waited, run or, for a worker, to pause */
	int64_t poll_age_ms; /* since the worker's last answer to a poll */
	union {		     /* of the kind that has the name */
		struct fleet_presumed_end presumed_end;
		struct fleet_restart restart;
		struct fleet_unknown_run unknown_run;
		struct fleet_resolved_start resolved_start;
		struct fleet_over_capacity over_capacity;
		struct fleet_double_run double_run;
		struct fleet_capacity_change capacity_change;
		struct fleet_charged_loss charged_loss;
		struct fleet_given_up given_up;
	};
};

/* Sets *events to the events since the last call and returns their number.
 * They are the fleet's and valid until the next call that changes it. */
size_t fleet_take_events(
    struct fleet *fleet, const struct fleet_event **events);

/*
 * Explanation group.
 */

/* What a step's tasks wait for. */
enum fleet_wait_cause {
	FLEET_WAITS_DUE,       /* the next occurrence's time */
	FLEET_WAITS_STEPS,     /* the steps before it */
	FLEET_WAITS_HOLD,      /* placements are held back */
	FLEET_WAITS_SERVICE,   /* no worker of its service is listed */
	FLEET_WAITS_LABEL,     /* none of the service's has the label */
	FLEET_WAITS_WORKERS,   /* none of those with the label is usable now */
	FLEET_WAITS_SIZE,      /* does not fit even on empty workers */
	FLEET_WAITS_RESOURCES, /* too few are free */
	FLEET_WAITS_QUOTA,     /* the workspace's cap leaves too little */
	FLEET_WAITS_RACK,      /* enough are free, but outside the rack */
	FLEET_WAITS_RETRY,     /* the job's runs fail; it is tried again soon */
	FLEET_WAITS_RECORD,    /* placed; the record is being written */
	FLEET_WAITS_STOPS,     /* placed; earlier runs are being stopped */
	FLEET_WAITS_ISOLATION  /* placed; a suspect, begins alone */
};

struct fleet_wait {
	uint32_t occurrence;
	uint32_t step;
	uint32_t tasks; /* number that wait */
	enum fleet_wait_cause cause;
	int64_t wait_ms;  /* so far; for FLEET_WAITS_DUE until the time */
	uint32_t listed;  /* workers of the service with the label */
	uint32_t usable;  /* those of them that may be used now */
	uint32_t fitting; /* tasks that would fit on these now */
	uint32_t ahead;	  /* waiting tasks of jobs that are served first */
	/* Longest time since a listed worker's last answer to a poll. */
	int64_t oldest_poll_ms;
};

/* Explains what the job's steps wait for; fills at most capacity rows and
 * returns how many it has filled. */
size_t fleet_explain(const struct fleet *fleet, const struct fleet_job *job,
    int64_t now_ms, int64_t wall_ms, struct fleet_wait *waits, size_t capacity);

/* Returns a static text for answers to operators. */
const char *fleet_wait_name(enum fleet_wait_cause cause);

struct fleet_usage {
	uint64_t jobs; /* all known ones */
	uint64_t jobs_pending;
	uint64_t jobs_running;
	uint64_t waiting_tasks;
	uint64_t quota_waiting_tasks; /* of them, for their workspace's cap */
	uint64_t placed_tasks;	      /* not started yet */
	uint64_t running_tasks; /* including those being started or stopped */
	uint64_t workers;	/* listed ones */
	uint64_t silent_workers;
	int64_t free_accelerators;
	int64_t accelerators;
	uint64_t searches; /* for workers with room, since fleet_new */
};

struct fleet_workspace_usage {
	const char *name;	    /* the fleet's; valid until it is freed */
	struct fleet_resources cap; /* 0 of a resource: no limit */
	struct fleet_resources running;
	uint64_t waiting_tasks; /* for the cap, in the last placement */
};

/* Workspaces that have jobs or limits; index is less than the count. */
size_t fleet_workspaces_count(const struct fleet *fleet);
void fleet_workspace_usage(const struct fleet *fleet, size_t index,
    struct fleet_workspace_usage *usage);

/* Fills usage with the current totals. Jobs that have ended are counted in jobs
 * only. */
void fleet_usage(const struct fleet *fleet, struct fleet_usage *usage);

#ifdef __cplusplus
}
#endif

#endif
