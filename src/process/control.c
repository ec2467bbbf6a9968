/* Event loop of the control thread, health of the store, planned stop. */
#include <string.h>
#include <time.h>

#include "process/alloc.h"
#include "process/clock.h"
#include "process/control.h"
#include "process/log.h"
#include "process/proto_memory.h"

#define TICK_MS 20
/* Bounds the delay of a tick under load. */
#define MAX_EVENTS_PER_ROUND 512
/* Failures for this long mean an outage; shorter ones are retried. */
#define STORE_DOWN_TIMEOUT_MS 600
#define LEAD_POLL_MS	      500
/* Spreads the instances' attempts to take a free lease. */
#define LEAD_MAX_JITTER_MS 150
/* Shortest planned stop. Callers with an idle connection can send one more
 * request in this time; the reply closes the connection. */
#define MIN_LEAVING_MS 1000
/* A lease that can't be deleted for this long is left to expire. */
#define RELEASE_TIMEOUT_MS    3000
#define MAX_MISSED_HEARTBEATS 8

uint32_t
control_random(struct control *control, uint32_t bound)
{
	/* splitmix64 */
	uint64_t z = control->random_state += 0x9e3779b97f4a7c15U;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
	return (uint32_t)((z ^ (z >> 31)) % bound);
}

bool
control_leading(const struct control *control)
{
	return control->lease.role == LEAD_LEADING;
}

bool
control_accepts_work(const struct control *control)
{
	return control_leading(control) &&
	    control->state != IBIS__INSTANCE_STATE__INSTANCE_LEAVING;
}

static void
init_pool(struct control *control)
{
	const struct ibis_settings *settings = control->settings;
	struct scheduler_config config = {
	    .policy = settings->policy,
	    .max_queued_jobs = (uint32_t)settings->max_queued_jobs,
	    .max_attempts = (uint32_t)settings->max_attempts,
	};

	control->segments_count = (uint32_t)settings->segments;
	control->segments =
	    mem_calloc(control->segments_count, sizeof(*control->segments));
	control->jobs = job_map_new(control->segments_count);
	control->scheduler = scheduler_new(&config);
	control->lease = (struct lead_lease){
	    .incarnation = control->incarnation,
	    .lease_ms = settings->lead_lease_ms,
	    .poll_ms = LEAD_POLL_MS,
	    .jitter_ms = control_random(control, LEAD_MAX_JITTER_MS),
	};
	STRING_COPY(control->lease.name, settings->name);
	control->workers.poll_ms = settings->worker_poll_ms;
	control->workers.timeout_ms = settings->worker_timeout_ms;
	control->workers.lost_ms = settings->worker_lost_ms;
	control->freshness.limit_ms = settings->freshness_ms;
}

struct control *
control_new(const struct ibis_settings *settings, struct event_queue *events,
    uint64_t incarnation)
{
	struct control *control = mem_calloc(1, sizeof(*control));

	control->settings = settings;
	control->events = events;
	control->incarnation = incarnation;
	control->random_state = incarnation;
	control->members = membership_new(settings->name,
	    settings->heartbeat_interval_ms * MAX_MISSED_HEARTBEATS);
	control->burn = slo_burn_new();
	control->now_ms = clock_now_ms();
	CDS_INIT_LIST_HEAD(&control->forwards);
	CDS_INIT_LIST_HEAD(&control->waiters);
	CDS_INIT_LIST_HEAD(&control->active_jobs);
	init_pool(control);
	control_document_start(control);
	return control;
}

void
control_free(struct control *control)
{
	control_waiters_refuse_all(control);
	control_document_free(control);
	job_map_free(control->jobs);
	scheduler_free(control->scheduler);
	worker_table_free(&control->workers);
	for (uint32_t i = 0; i < control->segments_count; i++)
		segment_free(&control->segments[i]);
	mem_free(control->segments);
	membership_free(control->members);
	slo_burn_free(control->burn);
	mem_free(control);
}

/* ---- Health of the store ---------------------------------------------- */

static void
set_store_down(struct control *control, bool down)
{
	if (control->store_down == down)
		return;
	control->store_down = down;
	control->decide_due = true;
	log_event(LOG_WARN, down ? "store_down" : "store_up", NULL);
	if (down && control_leading(control))
		control_job_handle_store_down(control);
}

static void
update_store_health(struct control *control, const struct store_result *result)
{
	bool failed =
	    result->code == IBIS_UNAVAILABLE || result->code == IBIS_UNKNOWN;

	if (result->op == STORE_WATCH)
		return;
	if (!failed) {
		control->store_ok_ms = control->now_ms;
		set_store_down(control, false);
		return;
	}
	control->store_failed_ms = control->now_ms;
	if (control->now_ms - control->store_ok_ms >= STORE_DOWN_TIMEOUT_MS)
		set_store_down(control, true);
}

static void
handle_store(struct control *control, struct store_result *result)
{
	update_store_health(control, result);
	control_metrics_record_store_call(result);
	switch ((enum store_owner)result->owner) {
	case OWNER_LEAD:
	case OWNER_SEGMENT:
	case OWNER_RECOVERY:
		control_pool_handle_store_result(control, result);
		break;
	case OWNER_ANSWER_PUT:
	case OWNER_ANSWER_GET:
	case OWNER_ANSWER_DELETE:
		control_answer_handle_store_result(control, result);
		break;
	case OWNER_DOCUMENT:
		control_document_handle_store_result(control, result);
		break;
	case OWNER_LIST:
		control_peers_handle_list(control, result);
		break;
	}
	store_result_free(result);
}

/* ---- Events ---------------------------------------------------------- */

static void
begin_leaving(struct control *control)
{
	if (control->state == IBIS__INSTANCE_STATE__INSTANCE_LEAVING)
		return;
	log_event(LOG_INFO, "leaving", NULL);
	control->state = IBIS__INSTANCE_STATE__INSTANCE_LEAVING;
	control->leaving_since_ms = control->now_ms;
	control->next_heartbeat_ms = control->now_ms;
	caller_server_drain(control->callers);
}

static void
handle_event(struct control *control, struct event *event)
{
	switch (event->kind) {
	case EVENT_CALLER:
		control_handle_caller_request(control, event->caller);
		break;
	case EVENT_PEER_FRAME:
		control_peers_handle_frame(
		    control, event->frame.peer, event->frame.frame);
		proto_free(&event->frame.frame->base);
		break;
	case EVENT_PEER_LINK_CHANGED:
		control_peers_handle_link(
		    control, event->link.peer, event->link.up);
		break;
	case EVENT_PEER_LINK_ACCEPTED:
		/* Replies on its earlier connection may be lost. */
		control_forward_handle_peer_down(control, event->link.peer);
		break;
	case EVENT_STORE:
		handle_store(control, event->store);
		break;
	case EVENT_WORKER:
		control_workers_handle_result(control, event->worker);
		worker_result_free(event->worker);
		break;
	case EVENT_GATEWAY: /* occurs only in the agent process */
	case EVENT_STOP:
		atomic_store(&control->stop_requested, true);
		break;
	}
}

/* ---- Planned stop ---------------------------------------------------- */

/* Tells whether a leaving instance may exit: when it has no open requests and
 * has released the lead lease, or when its drain time is over. */
static bool
can_exit(struct control *control)
{
	int64_t leaving_ms = control->now_ms - control->leaving_since_ms;

	if (control->state != IBIS__INSTANCE_STATE__INSTANCE_LEAVING)
		return false;
	if (leaving_ms >= control->settings->drain_ms)
		return true;
	/* See MIN_LEAVING_MS. */
	if (leaving_ms < MIN_LEAVING_MS)
		return false;
	if (control_has_open_forwards(control) ||
	    caller_server_open_requests(control->callers) > 0)
		return false;
	return lead_released(&control->lease) ||
	    (control->lease.role == LEAD_RELEASING &&
		leaving_ms > RELEASE_TIMEOUT_MS);
}

static void
leaving_tick(struct control *control)
{
	Ibis__HandOver hand_over = IBIS__HAND_OVER__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;

	if (atomic_load(&control->stop_requested))
		begin_leaving(control);
	if (control->state != IBIS__INSTANCE_STATE__INSTANCE_LEAVING)
		return;
	control_pool_release_lead(control);
	if (control->hand_over_sent || !lead_released(&control->lease))
		return;
	/* The lease is deleted; peers need not wait until it expires. */
	control->hand_over_sent = true;
	hand_over.epoch = control->lease.epoch;
	frame.body_case = IBIS__FRAME__BODY_HAND_OVER;
	frame.hand_over = &hand_over;
	control_peers_broadcast(control, &frame);
}

static void
tick(struct control *control)
{
	leaving_tick(control);
	if (control->state == IBIS__INSTANCE_STATE__INSTANCE_STARTING &&
	    control->document != NULL && control->list_read_ms > 0)
		control->state = IBIS__INSTANCE_STATE__INSTANCE_SERVING;
	control_document_tick(control);
	control_peers_tick(control);
	control_pool_tick(control);
	if (control_leading(control)) {
		control_workers_tick(control);
		control_gangs_tick(control);
		control_waiters_tick(control);
		control_job_sweep(control);
	}
	control_forward_tick(control);
}

/* Runs the scheduler, commits changed records and sends worker commands, once
 * for all events of a round. */
static void
finish_round(struct control *control)
{
	if (control_leading(control)) {
		control_decide(control);
		control_pool_tick(control);
	}
	if (control->lease.role == LEAD_LEADING ||
	    control->lease.role == LEAD_RECOVERING)
		control_workers_send_due(control);
}

void *
control_run(void *argument)
{
	struct control *control = argument;
	int64_t next_tick_ms = 0;

	while (!can_exit(control)) {
		struct event event;
		int32_t wait_ms = TICK_MS;

		control->now_ms = clock_now_ms();
		for (int i = 0; i < MAX_EVENTS_PER_ROUND; i++) {
			if (!event_queue_take(control->events, wait_ms, &event))
				break;
			wait_ms = 0;
			control->now_ms = clock_now_ms();
			handle_event(control, &event);
		}
		control->now_ms = clock_now_ms();
		if (control->now_ms >= next_tick_ms) {
			next_tick_ms = control->now_ms + TICK_MS;
			tick(control);
		}
		finish_round(control);
	}
	log_event(LOG_INFO, "stopped", NULL);
	return NULL;
}
