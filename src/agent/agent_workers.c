/* Speaks to the workers for the fleet: looks, renewals, starts and stops. */
#include <string.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"

#define WORKER_WATCH_WAIT_MS  800
#define WORKER_WATCH_PAUSE_MS 200
/* A look at a worker with work waits so long for an end. */
#define LOOK_WAIT_MS	 700
#define LOOK_TIMEOUT_MS	 300
#define LOOK_RETRY_MS	 300
#define ORDER_TIMEOUT_MS 250

/* Context of one call to a worker; it may outlive the lead's time. */
struct worker_call {
	struct agent *agent;
	uint64_t term;
	char worker[FLEET_NAME_BYTES];
	struct fleet_task_id task;
	uint64_t run;
	int64_t sent_ms;
	uint64_t recorded_ends; /* told to a look */
	bool extra;
	bool was_unknown;
};

static struct worker_call *
new_call(struct agent *agent, const char *worker)
{
	struct worker_call *call = mem_calloc(1, sizeof(*call));

	call->agent = agent;
	call->term = agent->lead.term;
	call->sent_ms = clock_now_ms();
	STRING_COPY(call->worker, worker);
	return call;
}

/* The worker of an answer, or NULL when this instance leads no more. */
static struct fleet_worker *
worker_of(const struct worker_call *call)
{
	struct agent *agent = call->agent;

	if (agent->fleet == NULL || agent->lead.term != call->term)
		return NULL;
	return fleet_find_worker(agent->fleet, call->worker);
}

static struct agent_worker *
link_of(struct agent *agent, const char *id)
{
	struct agent_worker *link = name_index_get(&agent->workers, id);

	if (link != NULL)
		return link;
	link = mem_calloc(1, sizeof(*link));
	STRING_COPY(link->id, id);
	(void)name_index_add(&agent->workers, link->id, link);
	return link;
}

static void
fenced(struct agent *agent)
{
	agent_lead_step_down(agent, "a worker has seen a later epoch");
}

static void
look_unanswered(const struct worker_call *call, struct fleet_worker *worker,
    enum platform_order_outcome outcome, int64_t now_ms)
{
	struct agent *agent = call->agent;
	bool doubted = fleet_worker_doubtful(worker);

	if (fleet_look_unanswered(agent->fleet, worker,
		outcome == PLATFORM_ORDER_REFUSED, now_ms)) {
		counter_add(COUNTER_WORKERS_LOST, 1);
		log_event(LOG_WARN, "worker_silent", "worker", call->worker,
		    "took_ms", log_number(now_ms - call->sent_ms), "epoch",
		    log_number((int64_t)agent->lead.epoch), NULL);
	}
	link_of(agent, call->worker)->next_look_ms =
	    doubted || !fleet_worker_answers(worker) ? now_ms + LOOK_RETRY_MS
						     : now_ms;
}

static void
look_done(void *context, enum platform_order_outcome outcome,
    const struct fleet_report *report)
{
	struct worker_call *call = context;
	struct agent *agent = call->agent;
	struct fleet_worker *worker = worker_of(call);
	int64_t now_ms = clock_now_ms();
	bool answered_before;

	if (worker == NULL) {
		mem_free(call);
		return;
	}
	answered_before = fleet_worker_answers(worker);
	if (call->extra)
		link_of(agent, call->worker)->looking_extra = false;
	else
		link_of(agent, call->worker)->looking = false;
	if (outcome == PLATFORM_ORDER_DONE) {
		fleet_worker_forgot_ends(worker, call->recorded_ends);
		fleet_report(agent->fleet, worker, report, now_ms);
		if (!answered_before)
			log_event(LOG_INFO, "worker_answers", "worker",
			    call->worker, "runs",
			    log_number((int64_t)report->runs_count), "ends",
			    log_number((int64_t)report->ends_count), NULL);
	} else if (outcome == PLATFORM_ORDER_FENCED) {
		fenced(agent);
	} else {
		look_unanswered(call, worker, outcome, now_ms);
	}
	mem_free(call);
}

static void
look(struct agent *agent, struct fleet_worker *worker, bool extra,
    int64_t now_ms)
{
	const struct fleet_worker_entry *entry = fleet_worker_entry(worker);
	struct worker_call *call = new_call(agent, entry->id);
	bool wait = !extra && fleet_worker_answers(worker) &&
	    !fleet_worker_doubtful(worker) &&
	    !fleet_worker_has_unrecorded_ends(agent->fleet, worker);
	struct platform_look look = {
	    .worker = entry,
	    .epoch = agent->lead.epoch,
	    .recorded_ends = fleet_worker_recorded_ends(agent->fleet, worker),
	    .wait_ms = wait ? LOOK_WAIT_MS : 0,
	    .timeout_ms = LOOK_TIMEOUT_MS + (wait ? LOOK_WAIT_MS : 0),
	};

	if (fleet_worker_busy(worker))
		look.lease_clock_ms = fleet_grant_lease(agent->fleet, worker,
		    agent_lead_grant_from(agent, now_ms), now_ms);
	call->recorded_ends = look.recorded_ends;
	call->extra = extra;
	platform_look(agent->pool, &look, look_done, call);
}

static void
look_if_due(struct agent *agent, struct fleet_worker *worker, int64_t now_ms)
{
	struct agent_worker *link =
	    link_of(agent, fleet_worker_entry(worker)->id);

	if (link->wants_extra && !link->looking_extra &&
	    fleet_worker_answers(worker)) {
		link->wants_extra = false;
		link->looking_extra = true;
		look(agent, worker, true, now_ms);
	}
	if (link->looking || !fleet_worker_wants_look(worker))
		return;
	if (now_ms < link->next_look_ms) {
		agent_wake_at(agent, link->next_look_ms);
		return;
	}
	/* Ends that are being recorded would be listed once more. */
	if (fleet_worker_answers(worker) &&
	    fleet_worker_has_unrecorded_ends(agent->fleet, worker) &&
	    now_ms < link->look_sent_ms + LOOK_WAIT_MS) {
		agent_wake_at(agent, link->look_sent_ms + LOOK_WAIT_MS);
		return;
	}
	link->looking = true;
	link->look_sent_ms = now_ms;
	look(agent, worker, false, now_ms);
}

static enum fleet_start_answer
start_answer_of(enum platform_order_outcome outcome)
{
	switch (outcome) {
	case PLATFORM_ORDER_DONE:
		return FLEET_STARTED;
	case PLATFORM_ORDER_OLD:
		return FLEET_START_OLD;
	case PLATFORM_ORDER_UNKNOWN:
		return FLEET_START_UNKNOWN;
	case PLATFORM_ORDER_REFUSED:
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
	else if (outcome == PLATFORM_ORDER_REFUSED)
		counter = COUNTER_WORKER_CALLS_UNAVAILABLE;
	counter_add(counter, 1);
	duration_observe(HISTOGRAM_WORKER_CALL, clock_now_ms() - call->sent_ms);
}

static void
log_order(
    const char *event, const struct worker_call *call, const char *outcome)
{
	/* The placing has told of all tasks; here only what went wrong. */
	log_event(*outcome == '\0' ? LOG_DEBUG : LOG_INFO, event, "job",
	    call->task.job, "occurrence", log_number(call->task.occurrence),
	    "step", log_number(call->task.step), "index",
	    log_number(call->task.index), "run", log_number((int64_t)call->run),
	    "worker", call->worker, "outcome",
	    *outcome == '\0' ? "done" : outcome, NULL);
}

/* What any order's answer means. Returns the worker, or NULL when this instance
 * leads no more. */
static struct fleet_worker *
take_answer(const struct worker_call *call, const char *event,
    enum platform_order_outcome outcome, const char *reason)
{
	struct fleet_worker *worker = worker_of(call);

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
	    take_answer(call, "start", outcome, reason);

	if (worker != NULL) {
		counter_add(outcome == PLATFORM_ORDER_DONE
			? COUNTER_ATTEMPTS_RUNNING
			: COUNTER_ATTEMPTS_FAILED,
		    1);
		fleet_start_answered(agent->fleet, worker, &call->task,
		    call->run, start_answer_of(outcome), clock_now_ms());
		if (outcome == PLATFORM_ORDER_FENCED)
			fenced(agent);
		else if (outcome == PLATFORM_ORDER_OLD ||
		    outcome == PLATFORM_ORDER_UNKNOWN)
			link_of(agent, call->worker)->wants_extra = true;
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
	    take_answer(call, "stop", outcome, reason);

	if (worker != NULL) {
		fleet_stop_answered(agent->fleet, worker, &call->task,
		    call->run,
		    outcome == PLATFORM_ORDER_DONE ||
			outcome == PLATFORM_ORDER_OLD,
		    clock_now_ms());
		if (outcome == PLATFORM_ORDER_FENCED)
			fenced(agent);
		else if (call->was_unknown)
			link_of(agent, call->worker)->wants_extra = true;
	}
	mem_free(call);
}

static void
send_start(struct agent *agent, const struct fleet_order *order, int64_t now_ms)
{
	struct worker_call *call =
	    new_call(agent, fleet_worker_entry(order->worker)->id);
	struct platform_start start = {
	    .order = order,
	    .epoch = agent->lead.epoch,
	    .lease_clock_ms = fleet_grant_lease(agent->fleet, order->worker,
		agent_lead_grant_from(agent, now_ms), now_ms),
	    .timeout_ms = ORDER_TIMEOUT_MS,
	};

	call->task = order->task;
	call->run = order->run;
	counter_add(COUNTER_ATTEMPTS_BEGUN, 1);
	platform_start(agent->pool, &start, start_done, call);
}

static void
send_stop(struct agent *agent, const struct fleet_order *order)
{
	struct worker_call *call =
	    new_call(agent, fleet_worker_entry(order->worker)->id);

	call->task = order->task;
	call->run = order->run;
	call->was_unknown = true;
	log_event(LOG_INFO, "stop_ordered", "job", order->task.job, "run",
	    log_number((int64_t)order->run), "worker", call->worker, "reason",
	    order->reason == NULL ? "" : order->reason, NULL);
	platform_stop(agent->pool, order, agent->lead.epoch, ORDER_TIMEOUT_MS,
	    stop_done, call);
}

static void
set_gauges(const struct agent *agent)
{
	struct fleet_usage usage;

	fleet_usage(agent->fleet, &usage);
	gauge_set(GAUGE_JOBS_QUEUED, (int64_t)usage.jobs_pending);
	gauge_set(GAUGE_JOBS_RUNNING, (int64_t)usage.jobs_running);
	gauge_set(GAUGE_WORKERS_SILENT, (int64_t)usage.silent_workers);
	gauge_set(GAUGE_ACCELERATORS, usage.accelerators);
	gauge_set(GAUGE_ACCELERATORS_FREE, usage.free_accelerators);
	gauge_set(GAUGE_PEERS_ALIVE, (int64_t)agent->peers.index.count);
}

static const char *
note_event(enum fleet_note_kind kind)
{
	switch (kind) {
	case FLEET_NOTE_PLACED:
		return "placed";
	case FLEET_NOTE_ENDED:
		return "run_ended";
	case FLEET_NOTE_SETTLED:
		return "job_settled";
	case FLEET_NOTE_PAUSED:
		return "worker_paused";
	}
	return "note";
}

/* Lines of what went wrong for a job have the wider bound. */
static enum log_level
note_level(const struct fleet_note *note)
{
	return strcmp(note->outcome, "failed") == 0 ||
		strcmp(note->outcome, "lost with worker") == 0
	    ? LOG_WARN
	    : LOG_INFO;
}

static void
log_notes(struct agent *agent)
{
	const struct fleet_note *notes;
	size_t count = fleet_take_notes(agent->fleet, &notes);

	for (size_t i = 0; i < count; i++) {
		const struct fleet_note *note = &notes[i];

		log_event(note_level(note), note_event(note->kind), "job",
		    note->task.job, "occurrence",
		    log_number(note->task.occurrence), "step",
		    log_number(note->task.step), "index",
		    log_number(note->task.index), "run",
		    log_number((int64_t)note->run), "tasks",
		    log_number(note->tasks), "priority",
		    log_number(note->priority), "worker", note->worker,
		    "outcome", note->outcome, "after_ms",
		    log_number(note->after_ms), "look_age_ms",
		    log_number(note->look_age_ms), "epoch",
		    log_number((int64_t)agent->lead.epoch), NULL);
	}
}

void
agent_workers_decide(struct agent *agent, int64_t now_ms)
{
	const struct fleet_order *orders;
	size_t count;

	if (agent->fleet == NULL)
		return;
	if (now_ms < fleet_next_ms(agent->fleet)) {
		agent_wake_at(agent, fleet_next_ms(agent->fleet));
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
	log_notes(agent);
	set_gauges(agent);
	duration_observe(HISTOGRAM_DECISION, clock_now_ms() - now_ms);
	agent_wake_at(agent, fleet_next_ms(agent->fleet));
}

static void
worker_item(void *context, const struct platform_item *item)
{
	struct agent *agent = context;
	const char *id = item->key + strlen(PLATFORM_WORKERS_PREFIX);
	struct ibis_status status = {0};
	struct fleet_worker_entry entry;
	int64_t now_ms = clock_now_ms();

	if (item->deleted) {
		log_event(LOG_INFO, "worker_unlisted", "worker", id, NULL);
		fleet_unlist_worker(agent->fleet, id, now_ms);
		return;
	}
	if (platform_worker_parse(
		id, item->value, item->value_length, &entry, &status)) {
		(void)fleet_set_worker(agent->fleet, &entry, now_ms);
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
	    .item = worker_item,
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

void
agent_workers_step(struct agent *agent, int64_t now_ms)
{
	if (agent->fleet == NULL)
		return;
	agent_wake_at(agent, agent_watch_step(agent->worker_watch, now_ms));
	for (size_t i = 0; i < fleet_workers_count(agent->fleet); i++)
		look_if_due(agent, fleet_worker_at(agent->fleet, i), now_ms);
}
