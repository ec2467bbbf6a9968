/*
 * Decides which tasks of which step jobs run on which workers. Pure: events
 * and the present time go in, orders and records come out; there is no clock,
 * thread or I/O inside.
 *
 * A task's placement is recorded before its start is ordered, so that another
 * lead knows where it may run; an end is recorded before the worker may forget
 * it. Times in _ms are of one monotonic clock but for _wall_ms (time of day)
 * and _clock_ms (the worker's own).
 */
#ifndef IBIS_FLEET_H
#define IBIS_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	FLEET_ID_BYTES = 17, /* of a job: 16 hexadecimal digits */
	FLEET_NAME_BYTES = 64,
	FLEET_LABELS = 8 /* of one worker; more are left out */
};

struct fleet;
struct fleet_job;
struct fleet_worker;

struct fleet_config {
	int32_t lease_ms;     /* of what runs on a worker */
	int32_t max_lease_ms; /* that a worker grants at most */
	int32_t old_lead_ms;  /* an earlier lead may renew leases so long */
	double remote_factor; /* run time away from the data or rack */
};

struct fleet_room {
	int64_t cpu_milli; /* thousandths of a core */
	int64_t memory_mb;
	int64_t accelerators;
};

struct fleet_task_id {
	char job[FLEET_ID_BYTES];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

/* What a worker says of itself. */
struct fleet_worker_entry {
	char id[FLEET_NAME_BYTES];
	char service[FLEET_NAME_BYTES];
	char address[FLEET_NAME_BYTES]; /* IP:PORT */
	char zone[FLEET_NAME_BYTES];
	char rack[FLEET_NAME_BYTES];
	char labels[FLEET_LABELS][FLEET_NAME_BYTES];
	uint32_t labels_count;
	struct fleet_room room;
	int64_t born_wall_ms; /* start of this incarnation; 0: not told */
	bool draining;
};

enum fleet_end {
	FLEET_END_DONE,
	FLEET_END_FAILED,
	FLEET_END_STOPPED,
	FLEET_END_LAPSED, /* its lease ran out */
	FLEET_END_BROKEN, /* another member of its gang ended */
	FLEET_END_ALONE	  /* it waited in vain for its gang */
};

struct fleet_seen_run {
	struct fleet_task_id task;
	uint64_t run;
	const char *checkpoint; /* the report's */
	int32_t percent;	/* of the work done */
};

struct fleet_seen_end {
	uint64_t number; /* of the end, rising in one incarnation */
	struct fleet_task_id task;
	uint64_t run;
	enum fleet_end how;
	const char *checkpoint; /* the report's */
};

/* What a worker has answered to a look at its runs. */
struct fleet_report {
	int64_t sent_ms;     /* when it was asked */
	int64_t received_ms; /* when it answered */
	int64_t clock_ms;    /* the worker's, when it answered */
	int64_t born_wall_ms;
	struct fleet_seen_run *runs;
	size_t runs_count;
	struct fleet_seen_end *ends;
	size_t ends_count;
};

enum fleet_start_answer {
	FLEET_STARTED,
	FLEET_START_REFUSED, /* surely not started, and will not be */
	FLEET_START_OLD,     /* refused as ended there; the reports tell */
	FLEET_START_UNKNOWN  /* no answer */
};

enum fleet_order_kind {
	FLEET_START,
	FLEET_STOP
};

struct fleet_order {
	enum fleet_order_kind kind;
	struct fleet_worker *worker;
	struct fleet_task_id task;
	uint64_t run;
	/* For a start; the fleet's, valid until its next call. */
	const ProtobufCBinaryData *payload;
	const char *checkpoint; /* empty: from the beginning */
	const char *reason;	/* for a stop */
};

struct fleet *fleet_new(const struct fleet_config *config, int64_t now_ms);
void fleet_free(struct fleet *fleet);

/*
 * Jobs group. Records are packed StepJob and JobProgress messages.
 */

/* Takes a job over. progress may be NULL. Returns NULL when it is known. */
struct fleet_job *fleet_add_job(struct fleet *fleet, const char *id,
    Ibis__StepJob *spec, const Ibis__JobProgress *progress,
    uint64_t progress_revision, int64_t now_ms);
struct fleet_job *fleet_find_job(const struct fleet *fleet, const char *id);

/* A caller has cancelled it: nothing of it starts any more. */
void fleet_cancel_job(
    struct fleet *fleet, struct fleet_job *job, int64_t now_ms);

/* Forgets a job whose records have been removed. */
void fleet_remove_job(struct fleet *fleet, struct fleet_job *job);

const char *fleet_job_id(const struct fleet_job *job);
Ibis__StepJobPhase fleet_job_phase(const struct fleet_job *job);

/*
 * Records group: jobs whose progress has to be written.
 */

/* Takes the job that has waited longest for its record; NULL when none. It
 * counts as being written until one of the two calls below. */
struct fleet_job *fleet_take_unrecorded(struct fleet *fleet);

/* Packs the progress; free with mem_free via buffer. */
struct buffer;
void fleet_pack_progress(
    const struct fleet_job *job, int64_t wall_ms, struct buffer *packed);

/* Revision of the record as last written; 0: none. */
uint64_t fleet_progress_revision(const struct fleet_job *job);

/* The record as last packed is in the store. */
void fleet_recorded(
    struct fleet *fleet, struct fleet_job *job, uint64_t revision);

/* It is not, or nobody knows; revision is the present one. */
void fleet_record_failed(
    struct fleet *fleet, struct fleet_job *job, uint64_t revision);

/*
 * Workers group.
 */

/* A worker is listed, or its entry has changed. */
struct fleet_worker *fleet_set_worker(struct fleet *fleet,
    const struct fleet_worker_entry *entry, int64_t now_ms);

/* A worker is no longer listed. */
void fleet_unlist_worker(struct fleet *fleet, const char *id, int64_t now_ms);

struct fleet_worker *fleet_find_worker(
    const struct fleet *fleet, const char *id);
size_t fleet_workers_count(const struct fleet *fleet);
struct fleet_worker *fleet_worker_at(const struct fleet *fleet, size_t index);
const struct fleet_worker_entry *fleet_worker_entry(
    const struct fleet_worker *worker);

/* Tells whether it has answered this lead and does so still. */
bool fleet_worker_answers(const struct fleet_worker *worker);

/* Tells whether it should be looked at: something runs there, an end is to be
 * acknowledged, or it has not answered yet. */
bool fleet_worker_wants_look(const struct fleet_worker *worker);

/* Tells whether something may run there. */
bool fleet_worker_busy(const struct fleet_worker *worker);

/* Ends up to this number are recorded; the worker may forget them. */
uint64_t fleet_worker_recorded_ends(
    const struct fleet *fleet, const struct fleet_worker *worker);

/* A look that told it so has been answered. */
void fleet_worker_forgot_ends(struct fleet_worker *worker, uint64_t end);

/* Tells whether it listed ends that are not recorded yet. */
bool fleet_worker_has_unrecorded_ends(
    const struct fleet *fleet, const struct fleet_worker *worker);

/*
 * Grants a lease that runs from a time on, now or earlier, and notes it.
 * Returns its end on the worker's clock, or 0 when that clock is not known or
 * the worker does not answer.
 */
int64_t fleet_grant_lease(struct fleet *fleet, struct fleet_worker *worker,
    int64_t from_ms, int64_t now_ms);

void fleet_report(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_report *report, int64_t now_ms);

/*
 * A look got no answer in time, or found nobody there (unreached). Answers get
 * lost: a worker counts as silent when it is unreached or two looks on end had
 * no answer. Returns whether it has become silent now.
 */
bool fleet_look_unanswered(struct fleet *fleet, struct fleet_worker *worker,
    bool unreached, int64_t now_ms);

/* Tells whether the last look had no answer, and the next is to ask at once. */
bool fleet_worker_doubtful(const struct fleet_worker *worker);

void fleet_start_answered(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_task_id *id, uint64_t run,
    enum fleet_start_answer answer, int64_t now_ms);

/* done: the worker has taken the stop; else it is to be sent again. */
void fleet_stop_answered(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_task_id *id, uint64_t run, bool done, int64_t now_ms);

/*
 * Configuration group.
 */

void fleet_set_zone(struct fleet *fleet, const char *zone, bool in_service);
void fleet_set_guarantee(
    struct fleet *fleet, const char *workspace, int64_t accelerators);

/* Moves the jobs of a route to another service. */
void fleet_set_route(
    struct fleet *fleet, const char *route, const char *service);

/*
 * Decision group.
 */

/* Places what can be placed and returns the orders to send now, which are
 * valid until the next call. */
size_t fleet_decide(struct fleet *fleet, int64_t now_ms, int64_t wall_ms,
    const struct fleet_order **orders);

/* When fleet_decide has something to do without an event. */
int64_t fleet_next_ms(const struct fleet *fleet);

/* What the fleet decided or came to believe, for the log. */
enum fleet_note_kind {
	FLEET_NOTE_PLACED,  /* tasks of a step got their workers */
	FLEET_NOTE_ENDED,   /* a run has ended, or is believed to have */
	FLEET_NOTE_SETTLED, /* a job has reached its last phase */
	FLEET_NOTE_PAUSED   /* a worker is left alone for a while */
};

struct fleet_note {
	enum fleet_note_kind kind;
	struct fleet_task_id task; /* the first of several of one step */
	uint64_t run;
	char worker[FLEET_NAME_BYTES]; /* the first's */
	const char *outcome;
	uint32_t tasks; /* that it tells of */
	uint32_t priority;
	int64_t after_ms;    /* waited, ran or paused for so long */
	int64_t look_age_ms; /* of what is known of the worker */
};

/* Hands out the notes since the last call; valid until the next call that
 * changes the fleet. */
size_t fleet_take_notes(struct fleet *fleet, const struct fleet_note **notes);

/*
 * Explanation group.
 */

/* What a step's tasks wait for. */
enum fleet_wait_cause {
	FLEET_WAITS_DUE,     /* the next occurrence's time */
	FLEET_WAITS_STEPS,   /* the steps before it */
	FLEET_WAITS_SERVICE, /* no worker of its service is listed */
	FLEET_WAITS_LABEL,   /* none of them has the label */
	FLEET_WAITS_WORKERS, /* none of these may be used now */
	FLEET_WAITS_SIZE,    /* it would not fit on them if they were empty */
	FLEET_WAITS_ROOM,
	FLEET_WAITS_RACK,   /* there is room, but not where it wants it */
	FLEET_WAITS_RECORD, /* placed; the record is being written */
	FLEET_WAITS_STOPS   /* placed; what is there is being stopped */
};

struct fleet_wait {
	uint32_t occurrence;
	uint32_t step;
	uint32_t tasks; /* that wait */
	enum fleet_wait_cause cause;
	int64_t wait_ms;	/* since its time had come; DUE: until then */
	uint32_t listed;	/* workers of the service with the label */
	uint32_t usable;	/* those that may be used now */
	uint32_t fitting;	/* tasks that would fit on these now */
	uint32_t ahead;		/* tasks of jobs that come first */
	int64_t oldest_look_ms; /* age of the oldest look at these workers */
};

/* Tells what the job's steps wait for; at most capacity rows. Returns how many
 * there are. */
size_t fleet_explain(const struct fleet *fleet, const struct fleet_job *job,
    int64_t now_ms, int64_t wall_ms, struct fleet_wait *waits, size_t capacity);

const char *fleet_wait_name(enum fleet_wait_cause cause);

struct fleet_usage {
	uint64_t jobs;
	uint64_t jobs_pending;
	uint64_t jobs_running;
	uint64_t waiting_tasks;
	uint64_t placed_tasks;
	uint64_t running_tasks;
	uint64_t workers;
	uint64_t silent_workers;
	int64_t free_accelerators;
	int64_t accelerators;
};

void fleet_usage(const struct fleet *fleet, struct fleet_usage *usage);

#ifdef __cplusplus
}
#endif

#endif
