#include <string.h>
#include <time.h>

#include "process/alloc.h"
#include "process/clock.h"
#include "process/control.h"
#include "process/log.h"
#include "process/proto_memory.h"

#define TICK_MS		  20
#define EVENTS_PER_ROUND  512
#define STORE_DOWN_MS	  600
#define LEAD_POLL_MS	  500
#define LEAD_JITTER_MS	  150
#define LINGER_MS	  1000
#define RELEASE_GRACE_MS  3000
#define SILENT_HEARTBEATS 8

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
control_taking(const struct control *control)
{
	return control_leading(control) &&
	    control->state != IBIS__INSTANCE_STATE__INSTANCE_LEAVING;
}

static void
set_up_pool(struct control *control)
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
	    .jitter_ms = control_random(control, LEAD_JITTER_MS),
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
	    settings->heartbeat_interval_ms * SILENT_HEARTBEATS);
	control->burn = slo_burn_new();
	control->now_ms = clock_now_ms();
	CDS_INIT_LIST_HEAD(&control->forwards);
	CDS_INIT_LIST_HEAD(&control->waiters);
	CDS_INIT_LIST_HEAD(&control->active);
	set_up_pool(control);
	control_document_start(control);
	return control;
}

void
control_free(struct control *control)
{
	control_waiters_drop(control);
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

/* ---- The store's health ---------------------------------------------- */

static void
set_store_down(struct control *control, bool down)
{
	if (control->store_down == down)
		return;
	control->store_down = down;
	control->decide_due = true;
	log_event(LOG_WARN, down ? "store_down" : "store_up", NULL);
	if (down && control_leading(control))
		control_job_store_down(control);
}

static void
note_store_result(struct control *control, const struct store_result *result)
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
	if (control->now_ms - control->store_ok_ms >= STORE_DOWN_MS)
		set_store_down(control, true);
}

static void
handle_store(struct control *control, struct store_result *result)
{
	note_store_result(control, result);
	control_metrics_store_call(result);
	switch ((enum store_owner)result->owner) {
	case OWNER_LEAD:
	case OWNER_SEGMENT:
	case OWNER_RECOVERY:
		control_pool_store_result(control, result);
		break;
	case OWNER_ANSWER_PUT:
	case OWNER_ANSWER_GET:
	case OWNER_ANSWER_DROP:
		control_answer_store_result(control, result);
		break;
	case OWNER_DOCUMENT:
		control_document_store_result(control, result);
		break;
	case OWNER_LIST:
		control_peers_list(control, result);
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
		control_caller_request(control, event->caller);
		break;
	case EVENT_PEER_FRAME:
		control_peers_frame(
		    control, event->frame.peer, event->frame.frame);
		proto_free(&event->frame.frame->base);
		break;
	case EVENT_PEER_STATE:
		control_peers_link(control, event->link.peer, event->link.up);
		break;
	case EVENT_PEER_DIALLED:
		/* Replies that it has sent before may be lost. */
		control_forward_peer_down(control, event->link.peer);
		break;
	case EVENT_STORE:
		handle_store(control, event->store);
		break;
	case EVENT_WORKER:
		control_worker_result(control, event->worker);
		worker_result_free(event->worker);
		break;
	case EVENT_GATEWAY: /* the agent's; none comes here */
	case EVENT_STOP:
		atomic_store(&control->stop_requested, true);
		break;
	}
}

/* ---- A planned stop -------------------------------------------------- */

/* Tells whether the instance has nothing left to do for anybody. */
static bool
may_exit(struct control *control)
{
	int64_t leaving_ms = control->now_ms - control->leaving_since_ms;

	if (control->state != IBIS__INSTANCE_STATE__INSTANCE_LEAVING)
		return false;
	if (leaving_ms >= control->settings->drain_ms)
		return true;
	/* Connections kept by callers end with their next answer. */
	if (leaving_ms < LINGER_MS)
		return false;
	if (control_forwards_open(control) ||
	    caller_server_open_requests(control->callers) > 0)
		return false;
	return lead_released(&control->lease) ||
	    (control->lease.role == LEAD_RELEASING &&
		leaving_ms > RELEASE_GRACE_MS);
}

static void
stop_tick(struct control *control)
{
	Ibis__HandOver hand_over = IBIS__HAND_OVER__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;

	if (atomic_load(&control->stop_requested))
		begin_leaving(control);
	if (control->state != IBIS__INSTANCE_STATE__INSTANCE_LEAVING)
		return;
	control_pool_release(control);
	if (control->handed_over || !lead_released(&control->lease))
		return;
	/* The key is gone: the others need not wait for it to lapse. */
	control->handed_over = true;
	hand_over.epoch = control->lease.epoch;
	frame.body_case = IBIS__FRAME__BODY_HAND_OVER;
	frame.hand_over = &hand_over;
	control_peers_broadcast(control, &frame);
}

static void
tick(struct control *control)
{
	stop_tick(control);
	if (control->state == IBIS__INSTANCE_STATE__INSTANCE_STARTING &&
	    control->document != NULL && control->listed_ms > 0)
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

/* What many events of one round lead to is done once. */
static void
finish_round(struct control *control)
{
	if (control_leading(control)) {
		control_decide(control);
		control_pool_tick(control);
	}
	if (control->lease.role == LEAD_LEADING ||
	    control->lease.role == LEAD_RECOVERING)
		control_workers_flush(control);
}

void *
control_run(void *argument)
{
	struct control *control = argument;
	int64_t next_tick_ms = 0;

	while (!may_exit(control)) {
		struct event event;
		int32_t wait_ms = TICK_MS;

		control->now_ms = clock_now_ms();
		for (int i = 0; i < EVENTS_PER_ROUND; i++) {
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
