/* State shared by the parts of the fleet. Private to them. */
#ifndef IBIS_FLEET_MODEL_H
#define IBIS_FLEET_MODEL_H

#include <urcu/list.h>

#include "fleet/fleet.h"
#include "fleet/name_index.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A worker's clock may run this much slower than ours. */
#define FLEET_CLOCK_SLOW 1.025

enum fleet_task_state {
	TASK_WAITING,
	TASK_PLACED,   /* on a worker by decision; nothing sent */
	TASK_SENT,     /* start sent, no answer yet */
	TASK_RUNNING,  /* or believed to */
	TASK_STOPPING, /* may run until the worker says otherwise */
	TASK_DONE
};

struct fleet_task {
	struct cds_list_head on_worker; /* in worker->tasks, if worker */
	struct fleet_occurrence *occurrence;
	struct fleet_worker *worker; /* NULL: nowhere */
	struct fleet_worker *failed_on;
	char *checkpoint; /* NULL: none */
	uint64_t run;	  /* highest ever placed */
	uint64_t placed_generation;
	int64_t placed_ms;
	int64_t waits_since_ms; /* 0: from the start */
	int64_t started_ms;
	int64_t ended_ms; /* when its work was done */
	int64_t known_ms; /* a look sent from then on shows it if it is there */
	int64_t stop_sent_ms; /* 0: to be sent */
	uint64_t seen_look;   /* last look that showed it */
	const char *stop_reason;
	uint32_t number; /* over all steps */
	uint32_t step;
	uint32_t index;
	uint32_t failures;
	int32_t percent;
	int32_t mark_percent; /* when the rate was last measured */
	int64_t mark_ms;
	double rate; /* percent a millisecond; 0: not known */
	double best_rate;
	uint32_t moves; /* because of slow workers */
	enum fleet_task_state state;
};

struct fleet_occurrence {
	struct fleet_job *job;
	uint32_t number;
	int64_t ready_ms;
	struct fleet_task *tasks;
	uint32_t tasks_count;
	uint32_t done;
};

struct fleet_job {
	struct cds_list_head unrecorded; /* in fleet->unrecorded, if dirty */
	char id[FLEET_ID_BYTES];
	Ibis__StepJob *spec;
	uint32_t *first_task; /* of each step */
	uint32_t tasks_count; /* of one occurrence */
	struct fleet_occurrence **occurrences;
	size_t occurrences_count;
	size_t occurrences_capacity;
	uint32_t next_occurrence;
	uint32_t finished; /* occurrences, from the first on */
	Ibis__StepJobPhase phase;
	bool cancelled;
	bool borrows; /* urgent, beyond its workspace's guarantee */
	bool dirty;
	bool writing;
	bool removed; /* while its record was being written */
	uint64_t dirty_generation;
	uint64_t writing_generation; /* of the dirt being written */
	uint64_t packed_generation;  /* state of the record being written */
	uint64_t recorded_generation;
	uint64_t revision;
	int64_t accepted_ms;
	int64_t ended_wall_ms;
};

struct fleet_worker {
	struct fleet_worker_entry entry;
	struct cds_list_head tasks;
	bool listed;
	bool reported; /* to this lead, in this incarnation */
	bool silent;
	uint32_t unanswered; /* looks, since the last answer */
	int64_t born_wall_ms;
	int64_t clock_ms; /* sample of its clock, taken at clock_at_ms */
	int64_t clock_at_ms;
	int64_t lease_until_ms; /* on our clock, at the latest */
	int64_t granted_ms;	/* when the last lease was granted */
	uint64_t seen_end;
	uint64_t seen_generation;
	uint64_t acked_end;
	struct fleet_room committed; /* placed there to stay */
	struct fleet_room occupied;  /* may run there now */
	double slowness; /* run time over that of a sound worker; 0: unknown */
	int64_t slowness_ms; /* when that was last seen */
	uint32_t failures;   /* in a row, of different tasks */
	int64_t avoid_until_ms;
	bool evacuated;
};

struct fleet_stray {
	struct fleet_worker *worker;
	struct fleet_task_id task;
	uint64_t run;
	int64_t ordered_ms; /* when its stop was ordered; 0: not yet */
};

struct fleet_guarantee {
	char workspace[FLEET_NAME_BYTES];
	int64_t accelerators;
};

struct fleet {
	struct fleet_config config;
	struct name_index jobs;
	struct name_index workers;
	struct cds_list_head unrecorded;
	struct fleet_job *writing[32];
	size_t writing_count;
	uint64_t generation;
	uint64_t looks;
	int64_t lead_since_ms;
	int64_t now_ms; /* of the last decision */
	bool changed;	/* since the last placing */
	int64_t next_ms;
	int64_t place_ms; /* of a placing without a change */
	char (*zones_out)[FLEET_NAME_BYTES];
	size_t zones_out_count;
	size_t zones_out_capacity;
	struct fleet_guarantee *guarantees;
	size_t guarantees_count;
	size_t guarantees_capacity;
	struct fleet_stray *strays;
	size_t strays_count;
	size_t strays_capacity;
	struct fleet_order *orders;
	size_t orders_count;
	size_t orders_capacity;
	struct fleet_note *notes;
	size_t notes_count;
	size_t notes_capacity;
	bool notes_taken;
};

/* Room group. */
struct fleet_room fleet_need(const Ibis__JobStep *step);
void fleet_room_add(struct fleet_room *room, const struct fleet_room *more);
void fleet_room_take(struct fleet_room *room, const struct fleet_room *less);
struct fleet_room fleet_room_left(
    const struct fleet_room *all, const struct fleet_room *used);
/* Tasks of a need that fit, at most limit. */
uint32_t fleet_room_fits(const struct fleet_room *left,
    const struct fleet_room *need, uint32_t limit);

/* Task group. */
const Ibis__JobStep *fleet_step_of(const struct fleet_task *task);
struct fleet_room fleet_task_need(const struct fleet_task *task);
struct fleet_task *fleet_step_tasks(
    const struct fleet_occurrence *occurrence, uint32_t step);
bool fleet_same_task(
    const struct fleet_task_id *a, const struct fleet_task_id *b);
void fleet_task_id(const struct fleet_task *task, struct fleet_task_id *id);
struct fleet_task *fleet_find_task(
    const struct fleet *fleet, const struct fleet_task_id *id);
bool fleet_task_holds_room(enum fleet_task_state state);

/* Moves a task between states, keeping the workers' sums; a task that leaves
 * its worker has worker set to NULL. */
void fleet_place_task(struct fleet *fleet, struct fleet_task *task,
    struct fleet_worker *worker, int64_t now_ms);
void fleet_set_state(struct fleet_task *task, enum fleet_task_state state);
void fleet_take_off(struct fleet_task *task, enum fleet_task_state state);

/* Asks for a stop of what may run, or takes a placed task back. */
void fleet_stop_task(struct fleet *fleet, struct fleet_task *task,
    const char *reason, int64_t now_ms);
/* The same for all members of its gang, or the task alone. */
void fleet_stop_unit(struct fleet *fleet, struct fleet_task *task,
    const char *reason, int64_t now_ms);
void fleet_set_checkpoint(struct fleet_task *task, const char *checkpoint);
const char *fleet_checkpoint(const struct fleet_task *task);

/* Note group. */
void fleet_note_task(struct fleet *fleet, const struct fleet_task *task,
    enum fleet_note_kind kind, const char *outcome, int64_t since_ms,
    int64_t now_ms);
void fleet_note_job(struct fleet *fleet, const struct fleet_job *job,
    const char *outcome, int64_t now_ms);
void fleet_note_pause(
    struct fleet *fleet, const struct fleet_worker *worker, int64_t pause_ms);

/* Job group. */
void fleet_touch(struct fleet *fleet, struct fleet_job *job);
void fleet_open_due(struct fleet *fleet, int64_t now_ms, int64_t wall_ms);
void fleet_task_done(
    struct fleet *fleet, struct fleet_task *task, int64_t now_ms);
void fleet_task_failed(
    struct fleet *fleet, struct fleet_task *task, int64_t now_ms);
/* It runs no more, and waits again. checkpoint may be NULL. */
void fleet_task_lost(struct fleet *fleet, struct fleet_task *task,
    const char *outcome, const char *checkpoint, int64_t now_ms);
bool fleet_step_open(const struct fleet_occurrence *occurrence, uint32_t step);
bool fleet_job_final(const struct fleet_job *job);

/* Worker group. */
struct fleet_room fleet_free_room(const struct fleet_worker *worker);
bool fleet_worker_usable(const struct fleet_worker *worker,
    const struct fleet_job *job, const Ibis__JobStep *step, int64_t now_ms);
/* Tells whether a worker has a label; any has an empty one. */
bool fleet_worker_has_label(
    const struct fleet_worker *worker, const char *label);
/* Another incarnation has been seen under the worker's id. */
void fleet_forget_incarnation(
    struct fleet *fleet, struct fleet_worker *worker, int64_t now_ms);
void fleet_expire_leases(struct fleet *fleet, int64_t now_ms);

/* Progress group. */
double fleet_slowness(const struct fleet_worker *worker, int64_t now_ms);
/* Takes in what a look showed of a task, and moves it if that is better. */
void fleet_check_progress(struct fleet *fleet, struct fleet_task *task,
    int32_t percent, int64_t now_ms);

/* Order group. */
/* Tells whether an occurrence's tasks are placed before another's. */
bool fleet_comes_first(
    const struct fleet_occurrence *a, const struct fleet_occurrence *b);
uint32_t fleet_waiting_tasks(const struct fleet_occurrence *occurrence);

/* Placement group: tasks is the first of count tasks of one step that wait;
 * targets gets a worker for each. Returns how many were found. */
size_t fleet_find_places(struct fleet *fleet, struct fleet_task *const *tasks,
    size_t count, struct fleet_worker **targets, int64_t now_ms);
/* Frees places for a gang or tasks of an urgent job by stopping others. */
size_t fleet_reclaim_places(struct fleet *fleet,
    struct fleet_task *const *tasks, size_t count,
    struct fleet_worker **targets, int64_t now_ms);

void fleet_wake_at(struct fleet *fleet, int64_t at_ms);
/* Asks for another search for places at a time. */
void fleet_place_at(struct fleet *fleet, int64_t at_ms);

#ifdef __cplusplus
}
#endif

#endif
