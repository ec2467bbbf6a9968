/* What workers report and answer, applied to the tasks. */
#include "fleet/fleet_model.h"
#include "process/alloc.h"

/* Failed runs of different jobs in a row before a worker is left alone. */
#define FAILURES_BEFORE_PAUSE 2
#define PAUSE_MS	      2500
#define REFUSED_PAUSE_MS      500
/* An order to it was left unanswered and not carried out. */
#define UNANSWERED_PAUSE_MS 1500
/* The members of a gang end within so long of each other. */
#define GANG_END_MS 1000

/* A worker that fails what it is given is left alone for a while. */
static void
blame(struct fleet *fleet, struct fleet_worker *worker, int64_t now_ms)
{
	int64_t pause_ms;

	worker->failures++;
	if (worker->failures < FAILURES_BEFORE_PAUSE)
		return;
	pause_ms = (int64_t)PAUSE_MS * worker->failures;
	worker->avoid_until_ms = now_ms + pause_ms;
	fleet_note_pause(fleet, worker, pause_ms);
}

static void
apply_end(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_seen_end *end, int64_t now_ms)
{
	struct fleet_task *task = fleet_find_task(fleet, &end->task);

	if (task == NULL || task->run != end->run || task->state == TASK_DONE ||
	    task->state == TASK_PLACED)
		return;
	if (task->worker != NULL && task->worker != worker)
		return;
	/* A run that holds no room has been accounted for: by an earlier lead,
	 * or as lost. Only its work may still count. */
	if (!fleet_task_holds_room(task->state) && end->how != FLEET_END_DONE)
		return;
	switch (end->how) {
	case FLEET_END_DONE:
		worker->failures = 0;
		fleet_task_done(fleet, task, now_ms);
		break;
	case FLEET_END_FAILED:
		blame(fleet, worker, now_ms);
		fleet_task_failed(fleet, task, now_ms);
		break;
	case FLEET_END_STOPPED:
		fleet_task_lost(
		    fleet, task, "stopped", end->checkpoint, now_ms);
		break;
	case FLEET_END_LAPSED:
		fleet_task_lost(fleet, task, "lapsed", end->checkpoint, now_ms);
		break;
	case FLEET_END_BROKEN:
		fleet_task_lost(fleet, task, "broken", end->checkpoint, now_ms);
		break;
	case FLEET_END_ALONE:
		fleet_task_lost(fleet, task, "alone", end->checkpoint, now_ms);
		break;
	}
}

/* Tells whether its stop was ordered a short while ago. */
static bool
is_known_stray(const struct fleet *fleet, const struct fleet_worker *worker,
    const struct fleet_seen_run *run)
{
	for (size_t i = 0; i < fleet->strays_count; i++) {
		const struct fleet_stray *stray = &fleet->strays[i];

		if (stray->worker == worker && stray->run == run->run &&
		    fleet_same_task(&stray->task, &run->task))
			return true;
	}
	return false;
}

static void
add_stray(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_seen_run *run)
{
	if (is_known_stray(fleet, worker, run))
		return;
	fleet->strays = mem_grow(fleet->strays, &fleet->strays_capacity,
	    fleet->strays_count + 1, sizeof(*fleet->strays));
	fleet->strays[fleet->strays_count++] = (struct fleet_stray){
	    .worker = worker, .task = run->task, .run = run->run};
}

/* One end of a gang stands for all: its members on other workers, or later in
 * the same report, end by themselves a moment later. */
static bool
ends_by_itself(const struct fleet_task *task, uint64_t run, int64_t now_ms)
{
	return task != NULL && task->state == TASK_DONE && task->run == run &&
	    fleet_step_of(task)->gang && now_ms - task->ended_ms < GANG_END_MS;
}

static void
apply_run(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_seen_run *run, int64_t now_ms)
{
	struct fleet_task *task = fleet_find_task(fleet, &run->task);

	if (task == NULL || task->run != run->run || task->worker != worker ||
	    !fleet_task_holds_room(task->state)) {
		if (!ends_by_itself(task, run->run, now_ms))
			add_stray(fleet, worker, run);
		return;
	}
	task->seen_look = fleet->looks;
	fleet_set_checkpoint(task, run->checkpoint);
	if (task->state == TASK_SENT) {
		fleet_set_state(task, TASK_RUNNING);
		task->started_ms = now_ms;
		task->known_ms = now_ms;
	}
	fleet_check_progress(fleet, task, run->percent, now_ms);
}

/* A start without an answer may still be carried out late: the stop of the
 * same run forbids that. */
static void
lose_unseen_task(struct fleet *fleet, struct fleet_task *task, int64_t now_ms)
{
	if (task->state == TASK_SENT) {
		task->worker->avoid_until_ms = now_ms + UNANSWERED_PAUSE_MS;
		fleet_stop_unit(fleet, task, "no answer to the start", now_ms);
	} else {
		fleet_task_lost(fleet, task, "not there", NULL, now_ms);
	}
}

/* What a look that was sent late enough did not show is not there. */
static void
lose_unseen(struct fleet *fleet, struct fleet_worker *worker, int64_t sent_ms,
    int64_t now_ms)
{
	struct fleet_task *task;
	bool more = true;

	while (more) {
		more = false;
		cds_list_for_each_entry (task, &worker->tasks, on_worker) {
			if (!fleet_task_holds_room(task->state) ||
			    task->seen_look == fleet->looks ||
			    task->known_ms >= sent_ms)
				continue;
			lose_unseen_task(fleet, task, now_ms);
			more = true;
			break;
		}
	}
}

void
fleet_report(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_report *report, int64_t now_ms)
{
	fleet->looks++;
	if (worker->born_wall_ms != report->born_wall_ms) {
		if (worker->born_wall_ms != 0 && worker->reported)
			fleet_forget_incarnation(fleet, worker, now_ms);
		worker->born_wall_ms = report->born_wall_ms;
	}
	if (!fleet_worker_answers(worker))
		fleet->changed = true;
	if (!worker->reported) {
		worker->reported = true;
		/* Earlier leads are shut out now, but what is listed may hold
		 * the longest lease: they may have misread its clock. */
		if (worker->granted_ms == 0)
			worker->lease_until_ms = now_ms +
			    (int64_t)(fleet->config.max_lease_ms *
				FLEET_CLOCK_SLOW);
	}
	worker->silent = false;
	worker->unanswered = 0;
	worker->clock_ms = report->clock_ms;
	worker->clock_at_ms = report->received_ms;
	for (size_t i = 0; i < report->ends_count; i++) {
		if (report->ends[i].number <= worker->seen_end)
			continue;
		worker->seen_end = report->ends[i].number;
		apply_end(fleet, worker, &report->ends[i], now_ms);
		worker->seen_generation = fleet->generation;
	}
	for (size_t i = 0; i < report->runs_count; i++)
		apply_run(fleet, worker, &report->runs[i], now_ms);
	lose_unseen(fleet, worker, report->sent_ms, now_ms);
	fleet_wake_at(fleet, now_ms);
}

void
fleet_start_answered(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_task_id *id, uint64_t run,
    enum fleet_start_answer answer, int64_t now_ms)
{
	struct fleet_task *task = fleet_find_task(fleet, id);

	if (task == NULL || task->run != run || task->worker != worker ||
	    !fleet_task_holds_room(task->state))
		return;
	switch (answer) {
	case FLEET_STARTED:
	case FLEET_START_OLD:
		if (task->state == TASK_SENT) {
			fleet_set_state(task, TASK_RUNNING);
			task->started_ms = now_ms;
			task->known_ms = now_ms;
		}
		break;
	case FLEET_START_REFUSED:
		worker->avoid_until_ms = now_ms + REFUSED_PAUSE_MS;
		if (task->state == TASK_SENT || task->state == TASK_STOPPING)
			fleet_task_lost(fleet, task, "refused", NULL, now_ms);
		break;
	case FLEET_START_UNKNOWN:
		if (task->state == TASK_SENT)
			task->known_ms = now_ms;
		break;
	}
	fleet_wake_at(fleet, now_ms);
}

void
fleet_stop_answered(struct fleet *fleet, struct fleet_worker *worker,
    const struct fleet_task_id *id, uint64_t run, bool done, int64_t now_ms)
{
	struct fleet_task *task = fleet_find_task(fleet, id);

	if (task == NULL || task->run != run || task->worker != worker ||
	    task->state != TASK_STOPPING)
		return;
	if (done)
		task->known_ms = now_ms;
	else
		task->stop_sent_ms = 0;
	fleet_wake_at(fleet, now_ms);
}
