/* Logs and counts the fleet's events. */
#include <string.h>

#include "agent/agent_state.h"
#include "process/counters.h"
#include "process/log.h"

static const char *
event_name(enum fleet_event_kind kind)
{
	switch (kind) {
	case FLEET_EVENT_PLACED:
		return "placed";
	case FLEET_EVENT_RUN_ENDED:
		return "run_ended";
	case FLEET_EVENT_JOB_ENDED:
		return "job_settled";
	case FLEET_EVENT_WORKER_PAUSED:
		return "worker_paused";
	case FLEET_EVENT_RUN_PRESUMED_ENDED:
	case FLEET_EVENT_WORKER_RESTARTED:
	case FLEET_EVENT_UNKNOWN_RUN:
	case FLEET_EVENT_START_RESOLVED:
	case FLEET_EVENT_OVER_CAPACITY:
	case FLEET_EVENT_DOUBLE_RUN:
	case FLEET_EVENT_CAPACITY_CHANGED:
	case FLEET_EVENT_LOSS_CHARGED:
	case FLEET_EVENT_GIVEN_UP:
		break; /* have log lines of their own */
	}
	return "note";
}

/* Failures are warnings, for which the log's rate limit is higher. */
static enum log_level
event_log_level(const struct fleet_event *event)
{
	return strcmp(event->outcome, "failed") == 0 ||
		strcmp(event->outcome, "lost with worker") == 0
	    ? LOG_WARN
	    : LOG_INFO;
}

static void
log_decision(const struct fleet_event *event, uint64_t epoch)
{
	log_event(event_log_level(event), event_name(event->kind), "job",
	    event->task.job, "occurrence", log_number(event->task.occurrence),
	    "step", log_number(event->task.step), "index",
	    log_number(event->task.index), "run",
	    log_number((int64_t)event->run), "tasks", log_number(event->tasks),
	    "priority", log_number(event->priority), "worker", event->worker,
	    "outcome", event->outcome, "after_ms", log_number(event->after_ms),
	    "look_age_ms", log_number(event->poll_age_ms), "epoch",
	    log_number((int64_t)epoch), NULL);
}

static const char *
presumption_name(enum fleet_presumption presumption)
{
	switch (presumption) {
	case FLEET_NOT_REPORTED:
		return "not reported";
	case FLEET_NEW_INCARNATION:
		return "new incarnation";
	case FLEET_WORKER_REPLACED:
		return "worker replaced";
	case FLEET_LEASE_EXPIRED:
		return "lease expired";
	}
	return "";
}

static enum counter
presumption_counter(enum fleet_presumption presumption)
{
	switch (presumption) {
	case FLEET_NEW_INCARNATION:
		return COUNTER_PRESUMED_ENDS_NEW_INCARNATION;
	case FLEET_WORKER_REPLACED:
		return COUNTER_PRESUMED_ENDS_WORKER_REPLACED;
	case FLEET_LEASE_EXPIRED:
		return COUNTER_PRESUMED_ENDS_LEASE_EXPIRED;
	case FLEET_NOT_REPORTED:
		break;
	}
	return COUNTER_PRESUMED_ENDS_NOT_REPORTED;
}

static void
log_presumed_end(const struct fleet_event *event, uint64_t epoch)
{
	const struct fleet_presumed_end *end = &event->presumed_end;

	counter_add(presumption_counter(end->presumption), 1);
	log_event(LOG_WARN, "run_presumed_ended", "job", event->task.job,
	    "occurrence", log_number(event->task.occurrence), "step",
	    log_number(event->task.step), "index",
	    log_number(event->task.index), "run",
	    log_number((int64_t)event->run), "worker", event->worker, "reason",
	    presumption_name(end->presumption), "state", end->state, "listed",
	    end->listed ? "true" : "false", "lease_left_ms",
	    log_number(end->lease_left_ms), "grant_age_ms",
	    log_number(end->grant_age_ms), "report_age_ms",
	    log_number(end->report_age_ms), "start_age_ms",
	    log_number(end->start_age_ms), "incarnation",
	    log_number(end->incarnation_wall_ms), "reported_incarnation",
	    log_number(end->reported_incarnation_wall_ms), "epoch",
	    log_number((int64_t)epoch), NULL);
}

static void
log_restart(const struct fleet_event *event, uint64_t epoch)
{
	const struct fleet_restart *restart = &event->restart;

	counter_add(COUNTER_WORKER_RESTARTS, 1);
	log_event(LOG_WARN, "worker_restarted", "worker", event->worker,
	    "incarnation", log_number(restart->incarnation_wall_ms),
	    "reported_incarnation",
	    log_number(restart->reported_incarnation_wall_ms),
	    "listed_incarnation",
	    log_number(restart->listed_incarnation_wall_ms), "runs",
	    log_number(restart->runs), "starts_in_flight",
	    log_number(restart->starts_in_flight), "unanswered_orders",
	    log_number(restart->unanswered_orders), "oldest_order_age_ms",
	    log_number(restart->oldest_order_age_ms), "epoch",
	    log_number((int64_t)epoch), NULL);
}

static void
log_unknown_run(const struct fleet_event *event, uint64_t epoch)
{
	const struct fleet_unknown_run *unknown = &event->unknown_run;

	counter_add(COUNTER_UNKNOWN_RUNS, 1);
	log_event(LOG_WARN, "unknown_run", "job", event->task.job, "occurrence",
	    log_number(event->task.occurrence), "step",
	    log_number(event->task.step), "index",
	    log_number(event->task.index), "run",
	    log_number((int64_t)event->run), "worker", event->worker,
	    "incarnation", log_number(unknown->incarnation_wall_ms), "state",
	    unknown->state, "latest_run",
	    log_number((int64_t)unknown->latest_run), "latest_worker",
	    unknown->latest_worker, "start_age_ms",
	    log_number(unknown->start_age_ms), "start_incarnation",
	    log_number(unknown->start_incarnation_wall_ms), "epoch",
	    log_number((int64_t)epoch), NULL);
}

static void
log_resolved_start(const struct fleet_event *event, uint64_t epoch)
{
	const struct fleet_resolved_start *start = &event->resolved_start;

	counter_add(strcmp(event->outcome, "listed") == 0
		? COUNTER_UNANSWERED_STARTS_LISTED
		: COUNTER_UNANSWERED_STARTS_ENDED,
	    1);
	log_event(LOG_INFO, "start_resolved", "job", event->task.job,
	    "occurrence", log_number(event->task.occurrence), "step",
	    log_number(event->task.step), "index",
	    log_number(event->task.index), "run",
	    log_number((int64_t)event->run), "worker", event->worker, "outcome",
	    event->outcome, "after_ms", log_number(event->after_ms), "state",
	    start->state, "start_incarnation",
	    log_number(start->start_incarnation_wall_ms),
	    "reported_incarnation",
	    log_number(start->reported_incarnation_wall_ms), "epoch",
	    log_number((int64_t)epoch), NULL);
}

static void
log_over_capacity(const struct fleet_event *event, uint64_t epoch)
{
	const struct fleet_over_capacity *load = &event->over_capacity;

	counter_add(COUNTER_OVER_CAPACITY, 1);
	log_event(LOG_WARN, "worker_over_capacity", "worker", event->worker,
	    "incarnation", log_number(load->incarnation_wall_ms), "runs",
	    log_number(load->runs), "unknown_runs",
	    log_number(load->unknown_runs), "uncounted_runs",
	    log_number(load->uncounted_runs), "cpu_milli",
	    log_number(load->listed.cpu_milli), "cpu_milli_capacity",
	    log_number(load->capacity.cpu_milli), "memory_mb",
	    log_number(load->listed.memory_mb), "memory_mb_capacity",
	    log_number(load->capacity.memory_mb), "accelerators",
	    log_number(load->listed.accelerators), "accelerators_capacity",
	    log_number(load->capacity.accelerators), "job", event->task.job,
	    "epoch", log_number((int64_t)epoch), NULL);
}

static void
log_double_run(const struct fleet_event *event, uint64_t epoch)
{
	const struct fleet_double_run *other = &event->double_run;

	counter_add(COUNTER_DOUBLE_RUNS, 1);
	log_event(LOG_WARN, "double_run", "job", event->task.job, "occurrence",
	    log_number(event->task.occurrence), "step",
	    log_number(event->task.step), "index",
	    log_number(event->task.index), "run",
	    log_number((int64_t)event->run), "worker", event->worker,
	    "incarnation", log_number(other->incarnation_wall_ms), "other_run",
	    log_number((int64_t)other->other_run), "other_worker",
	    other->other_worker, "other_incarnation",
	    log_number(other->other_incarnation_wall_ms), "other_report_age_ms",
	    log_number(other->other_report_age_ms), "state", other->state,
	    "latest_run", log_number((int64_t)other->latest_run),
	    "start_age_ms", log_number(other->start_age_ms), "epoch",
	    log_number((int64_t)epoch), NULL);
}

static void
log_capacity_change(const struct fleet_event *event, uint64_t epoch)
{
	const struct fleet_capacity_change *change = &event->capacity_change;

	counter_add(COUNTER_CAPACITY_CHANGES, 1);
	log_event(LOG_INFO, "capacity_changed", "worker", event->worker,
	    "source", change->reported ? "report" : "entry", "cpu_milli_before",
	    log_number(change->before.cpu_milli), "cpu_milli",
	    log_number(change->after.cpu_milli), "cpu_milli_committed",
	    log_number(change->committed.cpu_milli), "memory_mb_before",
	    log_number(change->before.memory_mb), "memory_mb",
	    log_number(change->after.memory_mb), "memory_mb_committed",
	    log_number(change->committed.memory_mb), "accelerators_before",
	    log_number(change->before.accelerators), "accelerators",
	    log_number(change->after.accelerators), "accelerators_committed",
	    log_number(change->committed.accelerators), "epoch",
	    log_number((int64_t)epoch), NULL);
}

static const char *
loss_name(enum fleet_loss loss)
{
	switch (loss) {
	case FLEET_LOSS_RESTARTED:
		return "restarted";
	case FLEET_LOSS_REPLACED:
		return "replaced";
	case FLEET_LOSS_LEASE_EXPIRED:
		return "lease expired";
	}
	return "";
}

static void
log_charged_loss(const struct fleet_event *event, uint64_t epoch)
{
	const struct fleet_charged_loss *loss = &event->charged_loss;

	counter_add(COUNTER_CHARGED_LOSSES, 1);
	log_event(LOG_WARN, "loss_charged", "worker", event->worker, "loss",
	    loss_name(loss->loss), "incarnation",
	    log_number(loss->incarnation_wall_ms), "runs",
	    log_number(loss->runs), "charged_runs",
	    log_number(loss->charged_runs), "newest_age_ms",
	    log_number(loss->newest_age_ms), "job", event->task.job,
	    "occurrence", log_number(event->task.occurrence), "step",
	    log_number(event->task.step), "index",
	    log_number(event->task.index), "run",
	    log_number((int64_t)event->run), "epoch",
	    log_number((int64_t)epoch), NULL);
}

static void
log_given_up(const struct fleet_event *event, uint64_t epoch)
{
	const struct fleet_given_up *given_up = &event->given_up;

	counter_add(COUNTER_JOBS_GIVEN_UP, 1);
	log_event(LOG_WARN, "job_given_up", "job", event->task.job,
	    "occurrence", log_number(event->task.occurrence), "step",
	    log_number(event->task.step), "index",
	    log_number(event->task.index), "run",
	    log_number((int64_t)event->run), "worker", event->worker,
	    "early_losses", log_number(given_up->early_losses), "crashes",
	    log_number(given_up->crashes), "sole_crashes",
	    log_number(given_up->sole_crashes), "epoch",
	    log_number((int64_t)epoch), NULL);
}

static void
log_fleet_event(const struct fleet_event *event, uint64_t epoch)
{
	switch (event->kind) {
	case FLEET_EVENT_PLACED:
	case FLEET_EVENT_RUN_ENDED:
	case FLEET_EVENT_JOB_ENDED:
	case FLEET_EVENT_WORKER_PAUSED:
		log_decision(event, epoch);
		break;
	case FLEET_EVENT_RUN_PRESUMED_ENDED:
		log_presumed_end(event, epoch);
		break;
	case FLEET_EVENT_WORKER_RESTARTED:
		log_restart(event, epoch);
		break;
	case FLEET_EVENT_UNKNOWN_RUN:
		log_unknown_run(event, epoch);
		break;
	case FLEET_EVENT_START_RESOLVED:
		log_resolved_start(event, epoch);
		break;
	case FLEET_EVENT_OVER_CAPACITY:
		log_over_capacity(event, epoch);
		break;
	case FLEET_EVENT_DOUBLE_RUN:
		log_double_run(event, epoch);
		break;
	case FLEET_EVENT_CAPACITY_CHANGED:
		log_capacity_change(event, epoch);
		break;
	case FLEET_EVENT_LOSS_CHARGED:
		log_charged_loss(event, epoch);
		break;
	case FLEET_EVENT_GIVEN_UP:
		log_given_up(event, epoch);
		break;
	}
}

void
agent_fleet_log(struct agent *agent)
{
	const struct fleet_event *events;
	size_t count = fleet_take_events(agent->fleet, &events);

	for (size_t i = 0; i < count; i++)
		log_fleet_event(&events[i], agent->lead.epoch);
}
