/*
 * The lead's calls to workers: polls, which fetch reports and renew the leases
 * of runs, and the fleet's start and stop orders.
 */
#include <string.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"

#define WORKER_WATCH_WAIT_MS  800
#define WORKER_WATCH_PAUSE_MS 200
/* A worker delays its answer to a poll by up to this time, until a run ends. */
#define POLL_WAIT_MS 700
/* Timeout of a poll, in addition to its wait. */
#define POLL_TIMEOUT_MS 300
#define POLL_RETRY_MS	300
/* An idle worker is polled at this interval, since the estimate of its clock
 * gets worse with the time since its last answer. */
#define IDLE_POLL_INTERVAL_MS 30000
#define ORDER_TIMEOUT_MS      250

/* The gauges take a walk over all tasks. */
#define GAUGES_INTERVAL_MS 250

/* Shortest time between two reloads because of reports. */
#define RELOAD_INTERVAL_MS 30000

/* Context of one call to a worker; may be answered after this instance has
 * stopped leading. */
struct worker_call {
	struct agent *agent;
	uint64_t generation; /* of the lead that made the call */
	char worker[FLEET_NAME_BYTES];
	struct fleet_task_id task;
	uint64_t run;
	int64_t sent_ms;
	struct fleet_poll poll;	 /* a poll's, or for an order its fence */
	bool extra;		 /* an extra poll */
	bool poll_when_answered; /* the answer requests an extra poll */
};

static struct worker_call *
new_worker_call(struct agent *agent, const struct fleet_worker *worker)
{
	struct worker_call *call = mem_calloc(1, sizeof(*call));

	call->agent = agent;
	call->generation = agent->lead.generation;
	call->sent_ms = clock_now_ms();
	call->poll.fence = fleet_worker_fence(worker);
	STRING_COPY(call->worker, fleet_worker_entry(worker)->id);
	return call;
}

static uint64_t
fencing_token(const struct agent *agent, const struct fleet_worker *worker)
{
	return agent->lead.epoch + fleet_worker_fence(worker);
}

/* Returns whether the worker's fence has been raised since the call was sent,
 * so that the worker may have refused it for a later call of this lead. */
static bool
has_old_fence(const struct worker_call *call, const struct fleet_worker *worker)
{
	return call->poll.fence != fleet_worker_fence(worker);
}

/* Returns the worker that a call was made to, or NULL when the lead that made
 * the call has stepped down. */
static struct fleet_worker *
find_current_worker(const struct worker_call *call)
{
	struct agent *agent = call->agent;

	if (agent->fleet == NULL || agent->lead.generation != call->generation)
		return NULL;
	return fleet_find_worker(agent->fleet, call->worker);
}

static struct agent_worker *
get_worker_state(struct agent *agent, const char *id)
{
	struct agent_worker *state = name_index_get(&agent->workers, id);

	if (state != NULL)
		return state;
	state = mem_calloc(1, sizeof(*state));
	STRING_COPY(state->id, id);
	(void)name_index_add(&agent->workers, state->id, state);
	return state;
}

/* Steps down when a worker has rejected this lead's epoch. */
static void
handle_fenced(const struct worker_call *call, const struct fleet_worker *worker)
{
	if (!has_old_fence(call, worker))
		agent_lead_step_down(
		    call->agent, "a worker has seen a later epoch");
}

/* Names the run that began last: a run may be the reason why its worker has
 * become silent. */
static void
log_silent_worker(const struct worker_call *call,
    const struct fleet_worker *worker, int64_t now_ms)
{
	struct fleet_worker_runs runs;

	fleet_count_runs(worker, now_ms, &runs);
	log_event(LOG_WARN, "worker_silent", "worker", call->worker, "took_ms",
	    log_number(now_ms - call->sent_ms), "runs", log_number(runs.runs),
	    "recent_runs", log_number(runs.recent), "newest_job",
	    runs.newest.job, "newest_occurrence",
	    log_number(runs.newest.occurrence), "newest_step",
	    log_number(runs.newest.step), "newest_index",
	    log_number(runs.newest.index), "newest_run",
	    log_number((int64_t)runs.newest_run), "newest_age_ms",
	    log_number(runs.newest_age_ms), "epoch",
	    log_number((int64_t)call->agent->lead.epoch), NULL);
}

/* Returns whether nothing, or another worker, is at the worker's address. */
static bool
is_absent(enum platform_order_outcome outcome)
{
	return outcome == PLATFORM_ORDER_REFUSED ||
	    outcome == PLATFORM_ORDER_INVALID ||
	    outcome == PLATFORM_ORDER_REPLACED;
}

/* Handles a failed poll: the first failure is retried at once, later ones
 * after POLL_RETRY_MS. */
static void
poll_failed(const struct worker_call *call, struct fleet_worker *worker,
    enum platform_order_outcome outcome, int64_t now_ms)
{
	struct agent *agent = call->agent;
	bool was_retry = fleet_worker_missed_poll(worker);

	if (fleet_handle_unanswered_poll(
		agent->fleet, worker, is_absent(outcome), now_ms)) {
		counter_add(COUNTER_WORKERS_LOST, 1);
		log_silent_worker(call, worker, now_ms);
	}
	get_worker_state(agent, call->worker)->next_poll_ms =
	    was_retry || !fleet_worker_answers(worker) ? now_ms + POLL_RETRY_MS
						       : now_ms;
}

/* Allows the next poll, also of a worker that the fleet has removed: its entry
 * may return. */
static void
mark_poll_ended(const struct worker_call *call)
{
	struct agent *agent = call->agent;
	struct agent_worker *state;

	if (agent->lead.generation != call->generation)
		return;
	state = get_worker_state(agent, call->worker);
	if (call->extra)
		state->extra_poll_in_flight = false;
	else
		state->poll_in_flight = false;
}

/* Returns whether a report shows that this lead has missed a record. The lead
 * then reads the records again instead of applying the report. If that doesn't
 * help, reports are applied, so that there is a lead. */
static bool
reload_if_outdated(struct agent *agent, const struct worker_call *call,
    const struct fleet_report *report, int64_t now_ms)
{
	if (now_ms < agent->lead.next_reload_ms ||
	    !fleet_report_has_unrecorded_run(agent->fleet, report))
		return false;
	agent->lead.next_reload_ms = now_ms + RELOAD_INTERVAL_MS;
	log_event(LOG_ERROR, "run_unrecorded", "worker", call->worker, "epoch",
	    log_number((int64_t)agent->lead.epoch), NULL);
	agent_lead_reload(agent, "a worker has a run without a record");
	return true;
}

/* Logs why a poll of a worker had no report, unless the one before failed for
 * the same reason. */
static void
log_failed_poll(const struct worker_call *call, const char *reason)
{
	struct agent *agent = call->agent;
	struct agent_worker *state = get_worker_state(agent, call->worker);

	if (strncmp(state->poll_failure, reason,
		sizeof(state->poll_failure) - 1) == 0)
		return;
	STRING_SHORTEN(state->poll_failure, reason);
	log_event(LOG_INFO, "poll_failed", "worker", call->worker, "reason",
	    reason, "took_ms", log_number(clock_now_ms() - call->sent_ms),
	    "epoch", log_number((int64_t)agent->lead.epoch), NULL);
}

static void
poll_done(void *context, enum platform_order_outcome outcome,
    const char *reason, const struct fleet_report *report)
{
	struct worker_call *call = context;
	struct agent *agent = call->agent;
	struct fleet_worker *worker = find_current_worker(call);
	int64_t now_ms = clock_now_ms();
	bool was_answering;

	mark_poll_ended(call);
	if (worker == NULL) {
		mem_free(call);
		return;
	}
	was_answering = fleet_worker_answers(worker);
	if (outcome == PLATFORM_ORDER_DONE &&
	    reload_if_outdated(agent, call, report, now_ms)) {
		mem_free(call);
		return;
	}
	if (outcome == PLATFORM_ORDER_DONE) {
		*get_worker_state(agent, call->worker)->poll_failure = '\0';
		fleet_apply_report(
		    agent->fleet, worker, &call->poll, report, now_ms);
		if (!was_answering)
			log_event(LOG_INFO, "worker_answers", "worker",
			    call->worker, "runs",
			    log_number((int64_t)report->runs_count), "ends",
			    log_number((int64_t)report->ends_count), NULL);
	} else if (outcome == PLATFORM_ORDER_FENCED) {
		handle_fenced(call, worker);
	} else if (!has_old_fence(call, worker)) {
		log_failed_poll(call, reason);
		poll_failed(call, worker, outcome, now_ms);
		if (outcome == PLATFORM_ORDER_REPLACED)
			fleet_handle_replaced_worker(
			    agent->fleet, worker, now_ms);
	}
	mem_free(call);
}

static void
send_poll(struct agent *agent, struct fleet_worker *worker, bool extra,
    int64_t now_ms)
{
	struct worker_call *call = new_worker_call(agent, worker);
	uint64_t acked_ends =
	    fleet_worker_ends_to_ack(agent->fleet, worker, now_ms);
	/* The worker answers at once when it has ends that can't be
	 * acknowledged yet, or when it is not known whether it still answers.
	 */
	bool wait = !extra && fleet_worker_answers(worker) &&
	    !fleet_worker_missed_poll(worker) &&
	    (acked_ends > 0 || !fleet_worker_has_unacked_ends(worker));
	struct platform_poll poll = {
	    .worker = fleet_worker_entry(worker),
	    .fencing_token = fencing_token(agent, worker),
	    .acked_ends = acked_ends,
	    .wait_ms = wait ? POLL_WAIT_MS : 0,
	    .timeout_ms = POLL_TIMEOUT_MS + (wait ? POLL_WAIT_MS : 0),
	};

	if (fleet_worker_busy(worker))
		poll.lease_clock_ms = fleet_grant_lease(agent->fleet, worker,
		    agent_lead_grant_start_ms(agent, now_ms), now_ms);
	call->poll.acked_end = poll.acked_ends;
	call->extra = extra;
	platform_poll(agent->pool, &poll, poll_done, call);
}

static bool
needs_poll(const struct agent_worker *state, const struct fleet_worker *worker,
    int64_t now_ms)
{
	return fleet_worker_needs_poll(worker) ||
	    (fleet_worker_answers(worker) &&
		now_ms - state->poll_sent_ms >= IDLE_POLL_INTERVAL_MS);
}

static void
poll_if_due(struct agent *agent, struct fleet_worker *worker,
    struct agent_worker *state, int64_t now_ms)
{
	if (state->extra_poll_wanted && !state->extra_poll_in_flight &&
	    fleet_worker_answers(worker)) {
		state->extra_poll_wanted = false;
		state->extra_poll_in_flight = true;
		send_poll(agent, worker, true, now_ms);
	}
	if (state->poll_in_flight || !needs_poll(state, worker, now_ms))
		return;
	if (now_ms < state->next_poll_ms) {
		agent_wake_at(agent, state->next_poll_ms);
		return;
	}
	/* A poll while reported ends are still being recorded would return the
	 * same ends again. */
	if (fleet_worker_answers(worker) &&
	    fleet_worker_has_unrecorded_ends(agent->fleet, worker) &&
	    now_ms < state->poll_sent_ms + POLL_WAIT_MS) {
		agent_wake_at(agent, state->poll_sent_ms + POLL_WAIT_MS);
		return;
	}
	state->poll_in_flight = true;
	state->poll_sent_ms = now_ms;
	send_poll(agent, worker, false, now_ms);
}

static enum fleet_start_answer
start_answer_from_outcome(enum platform_order_outcome outcome)
{
	switch (outcome) {
	case PLATFORM_ORDER_DONE:
		return FLEET_STARTED;
	case PLATFORM_ORDER_OLD:
		return FLEET_START_ALREADY_ENDED;
	case PLATFORM_ORDER_UNKNOWN:
		return FLEET_START_UNKNOWN;
	case PLATFORM_ORDER_INVALID:
		return FLEET_START_INVALID;
	case PLATFORM_ORDER_REFUSED:
	case PLATFORM_ORDER_REPLACED:
	case PLATFORM_ORDER_FENCED:
		break;
	}
	return FLEET_START_REFUSED;
}

static void
count_call(const struct worker_call *call, enum platform_order_outcome outcome)
{
	enum counter counter = COUNTER_WORKER_CALLS_OK;

	if (outcome == PLATFORM_ORDER_UNKNOWN)
		counter = COUNTER_WORKER_CALLS_UNKNOWN;
	else if (is_absent(outcome))
		counter = COUNTER_WORKER_CALLS_UNAVAILABLE;
	counter_add(counter, 1);
	duration_observe(HISTOGRAM_WORKER_CALL, clock_now_ms() - call->sent_ms);
}

static void
log_order(
    const char *event, const struct worker_call *call, const char *outcome)
{
	/* The placement is logged for all tasks of a step; an order is logged
	 * above debug level only when it has failed. */
	log_event(*outcome == '\0' ? LOG_DEBUG : LOG_INFO, event, "job",
	    call->task.job, "occurrence", log_number(call->task.occurrence),
	    "step", log_number(call->task.step), "index",
	    log_number(call->task.index), "run", log_number((int64_t)call->run),
	    "worker", call->worker, "outcome",
	    *outcome == '\0' ? "done" : outcome, "took_ms",
	    log_number(clock_now_ms() - call->sent_ms), "epoch",
	    log_number((int64_t)call->agent->lead.epoch), NULL);
}

/* Counts and logs the answer to an order. Returns the worker, or NULL when the
 * lead that made the call has stepped down. */
static struct fleet_worker *
handle_order_answer(const struct worker_call *call, const char *event,
    enum platform_order_outcome outcome, const char *reason)
{
	struct fleet_worker *worker = find_current_worker(call);

	count_call(call, outcome);
	if (worker != NULL)
		log_order(event, call, reason);
	return worker;
}

static void
start_done(
    void *context, enum platform_order_outcome outcome, const char *reason)
{
	struct worker_call *call = context;
	struct agent *agent = call->agent;
	struct fleet_worker *worker =
	    handle_order_answer(call, "start", outcome, reason);

	if (worker != NULL) {
		counter_add(outcome == PLATFORM_ORDER_DONE
			? COUNTER_ATTEMPTS_RUNNING
			: COUNTER_ATTEMPTS_FAILED,
		    1);
		if (outcome == PLATFORM_ORDER_UNKNOWN)
			counter_add(COUNTER_UNANSWERED_STARTS_SENT, 1);
		fleet_handle_start_answer(agent->fleet, worker, &call->task,
		    call->run, start_answer_from_outcome(outcome),
		    clock_now_ms());
		if (outcome == PLATFORM_ORDER_FENCED)
			handle_fenced(call, worker);
		else if (outcome == PLATFORM_ORDER_OLD ||
		    outcome == PLATFORM_ORDER_UNKNOWN)
			get_worker_state(agent, call->worker)
			    ->extra_poll_wanted = true;
	}
	mem_free(call);
}

static void
stop_done(
    void *context, enum platform_order_outcome outcome, const char *reason)
{
	struct worker_call *call = context;
	struct agent *agent = call->agent;
	struct fleet_worker *worker =
	    handle_order_answer(call, "stop", outcome, reason);

	if (worker != NULL) {
		fleet_handle_stop_answer(agent->fleet, worker, &call->task,
		    call->run,
		    outcome == PLATFORM_ORDER_DONE ||
			outcome == PLATFORM_ORDER_OLD,
		    clock_now_ms());
		if (outcome == PLATFORM_ORDER_FENCED)
			handle_fenced(call, worker);
		else if (call->poll_when_answered)
			get_worker_state(agent, call->worker)
			    ->extra_poll_wanted = true;
	}
	mem_free(call);
}

static void
send_start(struct agent *agent, const struct fleet_order *order, int64_t now_ms)
{
	struct worker_call *call = new_worker_call(agent, order->worker);
	struct platform_start_run start = {
	    .order = order,
	    .fencing_token = fencing_token(agent, order->worker),
	    .lease_clock_ms = fleet_grant_lease(agent->fleet, order->worker,
		agent_lead_grant_start_ms(agent, now_ms), now_ms),
	    .timeout_ms = ORDER_TIMEOUT_MS,
	};

	call->task = order->task;
	call->run = order->run;
	counter_add(COUNTER_ATTEMPTS_BEGUN, 1);
	platform_start_run(agent->pool, &start, start_done, call);
}

static void
send_stop(struct agent *agent, const struct fleet_order *order)
{
	struct worker_call *call = new_worker_call(agent, order->worker);

	call->task = order->task;
	call->run = order->run;
	call->poll_when_answered = true;
	log_event(LOG_INFO, "stop_ordered", "job", order->task.job,
	    "occurrence", log_number(order->task.occurrence), "step",
	    log_number(order->task.step), "index",
	    log_number(order->task.index), "run",
	    log_number((int64_t)order->run), "worker", call->worker, "reason",
	    order->reason == NULL ? "" : order->reason, "epoch",
	    log_number((int64_t)agent->lead.epoch), NULL);
	platform_stop_run(agent->pool, order,
	    fencing_token(agent, order->worker), ORDER_TIMEOUT_MS, stop_done,
	    call);
}

static void
set_gauges(const struct agent *agent)
{
	struct fleet_usage usage;

	fleet_usage(agent->fleet, &usage);
	gauge_set(GAUGE_JOBS_QUEUED, (int64_t)usage.jobs_pending);
	gauge_set(GAUGE_JOBS_RUNNING, (int64_t)usage.jobs_running);
	gauge_set(GAUGE_WORKERS_SILENT, (int64_t)usage.silent_workers);
	gauge_set(
	    GAUGE_TASKS_WAITING_QUOTA, (int64_t)usage.quota_waiting_tasks);
	gauge_set(GAUGE_ACCELERATORS, usage.accelerators);
	gauge_set(GAUGE_ACCELERATORS_FREE, usage.free_accelerators);
	gauge_set(GAUGE_PEERS_ALIVE, (int64_t)agent->peers.index.count);
}

/* Returns the time since the list of workers was last known to be current; -1:
 * never. */
static int64_t
worker_list_age_ms(const struct agent *agent, int64_t now_ms)
{
	int64_t confirmed_ms = agent_watch_confirmed_ms(agent->worker_watch);

	return confirmed_ms == 0 ? -1 : now_ms - confirmed_ms;
}

/* Returns whether the list of workers may be acted on: a worker that has said
 * long enough ago that it leaves is known to leave. */
static bool
worker_list_usable(const struct agent *agent, int64_t now_ms)
{
	int64_t age_ms = worker_list_age_ms(agent, now_ms);

	return (age_ms >= 0 && age_ms <= agent->settings.drain_notice_ms) ||
	    agent_relay_health(agent, now_ms) == STORE_UNREACHABLE;
}

static void
log_hold(const struct agent *agent, bool hold, int64_t now_ms)
{
	log_event(hold ? LOG_WARN : LOG_INFO,
	    hold ? "placements_held" : "placements_resumed", "config",
	    log_number(agent_config_version(agent)), "config_age_ms",
	    log_number(agent_config_age_ms(agent, now_ms)), "workers_age_ms",
	    log_number(worker_list_age_ms(agent, now_ms)), NULL);
}

/* Holds placements back while what they depend on may be out of date. */
static void
hold_placements(struct agent *agent, int64_t now_ms)
{
	bool hold = !agent_config_usable(agent, now_ms) ||
	    !worker_list_usable(agent, now_ms);

	fleet_hold_placements(agent->fleet, hold);
	if (agent->placements_held != hold &&
	    agent_watch_loaded(agent->worker_watch))
		log_hold(agent, hold, now_ms);
	agent->placements_held = hold;
}

void
agent_workers_decide(struct agent *agent, int64_t now_ms)
{
	const struct fleet_order *orders;
	size_t count;

	if (agent->fleet == NULL)
		return;
	hold_placements(agent, now_ms);
	if (now_ms < fleet_next_wakeup_ms(agent->fleet)) {
		agent_wake_at(agent, fleet_next_wakeup_ms(agent->fleet));
		return;
	}
	count = fleet_decide(agent->fleet, now_ms, clock_wall_ms(), &orders);
	for (size_t i = 0; i < count; i++) {
		switch (orders[i].kind) {
		case FLEET_START:
			send_start(agent, &orders[i], now_ms);
			break;
		case FLEET_STOP:
			send_stop(agent, &orders[i]);
			break;
		}
	}
	agent_fleet_log(agent);
	if (now_ms >= agent->next_gauges_ms) {
		agent->next_gauges_ms = now_ms + GAUGES_INTERVAL_MS;
		set_gauges(agent);
	}
	duration_observe(HISTOGRAM_DECISION, clock_now_ms() - now_ms);
	agent_wake_at(agent, fleet_next_wakeup_ms(agent->fleet));
}

static void
apply_worker_item(void *context, const struct platform_store_item *item)
{
	struct agent *agent = context;
	const char *id =
	    agent_watch_key_suffix(item->key, PLATFORM_WORKERS_PREFIX);
	struct ibis_status status = {0};
	struct fleet_worker_entry entry;
	int64_t now_ms = clock_now_ms();

	if (id == NULL)
		return;
	if (item->deleted) {
		log_event(LOG_INFO, "worker_unlisted", "worker", id, NULL);
		fleet_unlist_worker(agent->fleet, id, now_ms);
		return;
	}
	if (platform_worker_parse(
		id, item->value, item->value_length, &entry, &status)) {
		(void)fleet_set_worker(agent->fleet, &entry, now_ms);
		fleet_free_worker_entry(&entry);
		return;
	}
	log_event(LOG_WARN, "worker_entry_unusable", "worker", id, "message",
	    status.message, NULL);
	fleet_unlist_worker(agent->fleet, id, now_ms);
}

void
agent_workers_start(struct agent *agent)
{
	struct agent_watch_config config = {
	    .prefix = PLATFORM_WORKERS_PREFIX,
	    .wait_ms = WORKER_WATCH_WAIT_MS,
	    .pause_ms = WORKER_WATCH_PAUSE_MS,
	    .confirm_changes = true,
	    .item = apply_worker_item,
	    .context = agent,
	};

	agent->worker_watch = agent_watch_new(&config, &agent->store);
}

void
agent_workers_stop(struct agent *agent)
{
	agent_watch_free(agent->worker_watch);
	agent->worker_watch = NULL;
	for (size_t i = 0; i < agent->workers.count; i++)
		mem_free(agent->workers.items[i].item);
	name_index_free(&agent->workers);
}

/* Returns the state of a worker during a walk over all workers in the order of
 * their ids. The states have the same order, so that a search is needed only
 * where one is missing. */
static struct agent_worker *
next_worker_state(struct agent *agent, const char *id, size_t *position)
{
	const struct name_index *states = &agent->workers;

	while (*position < states->count &&
	    strcmp(states->items[*position].name, id) < 0)
		(*position)++;
	if (*position < states->count &&
	    strcmp(states->items[*position].name, id) == 0)
		return states->items[(*position)++].item;
	return get_worker_state(agent, id);
}

void
agent_workers_step(struct agent *agent, int64_t now_ms)
{
	size_t position = 0;

	if (agent->fleet == NULL)
		return;
	agent_wake_at(agent, agent_watch_step(agent->worker_watch, now_ms));
	for (size_t i = 0; i < fleet_workers_count(agent->fleet); i++) {
		struct fleet_worker *worker = fleet_worker_at(agent->fleet, i);

		poll_if_due(agent, worker,
		    next_worker_state(
			agent, fleet_worker_entry(worker)->id, &position),
		    now_ms);
	}
}
