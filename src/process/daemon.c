/* Lifecycle of an instance: starts its threads, waits for their end and frees
 * its state. */
#include <pthread.h>
#include <stdlib.h>

#include "ibistrestle.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/control.h"
#include "process/log.h"
#include "process/proto_memory.h"

#define MAX_FRAME_BYTES	  (4 * 1024 * 1024)
#define REFUSE_TIMEOUT_MS 1000
#define REFUSE_POLL_MS	  10

struct ibis_daemon {
	struct event_queue *events;
	struct control *control;
	pthread_t thread;
};

/* Starts the I/O threads. On an error those already started keep running. */
static enum ibis_code
start_io_threads(struct control *control, struct event_queue *events,
    struct ibis_status *status)
{
	const struct ibis_settings *settings = control->settings;
	struct peer_links_config links = {
	    .listen_address = settings->peer_address,
	    .name = settings->name,
	    .incarnation = control->incarnation,
	    .heartbeat_interval_ms = settings->heartbeat_interval_ms,
	    .timeout_ms = settings->peer_timeout_ms,
	    .max_frame_bytes = MAX_FRAME_BYTES,
	};
	struct caller_server_config callers = {
	    .address = settings->caller_address,
	    .max_body_bytes = settings->max_body_bytes,
	    .max_bodies_bytes = settings->max_bodies_bytes,
	    .max_connections = settings->max_connections,
	    .max_wait_ms = settings->max_wait_ms,
	};

	control->store = store_client_start(settings->store_address,
	    settings->store_timeout_ms, events, status);
	if (control->store == NULL)
		return status->code;
	control->worker_client =
	    worker_client_start(settings->worker_timeout_ms, events, status);
	if (control->worker_client == NULL)
		return status->code;
	control->links = peer_links_start(&links, events, status);
	if (control->links == NULL)
		return status->code;
	control->callers = caller_server_start(&callers, events, status);
	return control->callers == NULL ? status->code : IBIS_OK;
}

static void
stop_io_threads(struct control *control)
{
	if (control->callers != NULL)
		caller_server_stop(control->callers);
	if (control->links != NULL)
		peer_links_stop(control->links);
	if (control->worker_client != NULL)
		worker_client_stop(control->worker_client);
	if (control->store != NULL)
		store_client_stop(control->store);
}

static void
free_event(struct event *event)
{
	if (event->kind == EVENT_STORE)
		store_result_free(event->store);
	else if (event->kind == EVENT_WORKER)
		worker_result_free(event->worker);
	else if (event->kind == EVENT_PEER_FRAME)
		proto_free(&event->frame.frame->base);
}

/* Frees the events posted after the control thread ended. */
static void
drain_events(struct event_queue *events)
{
	struct event event;

	while (event_queue_take(events, 0, &event))
		free_event(&event);
}

/* Refuses the requests posted after the control thread ended. */
static void
refuse_callers(struct ibis_daemon *daemon)
{
	struct control *control = daemon->control;
	int64_t deadline_ms = clock_now_ms() + REFUSE_TIMEOUT_MS;
	struct event event;

	if (control->callers == NULL)
		return;
	caller_server_refuse(control->callers);
	while (caller_server_open_requests(control->callers) > 0 &&
	    clock_now_ms() < deadline_ms) {
		struct origin origin = {0};

		if (!event_queue_take(daemon->events, REFUSE_POLL_MS, &event))
			continue;
		origin.caller = event.caller;
		if (event.kind == EVENT_CALLER)
			control_refuse(control, &origin, IBIS_UNAVAILABLE,
			    "stop", "the instance is stopping", true, 0);
		else
			free_event(&event);
	}
}

static void
daemon_free(struct ibis_daemon *daemon)
{
	refuse_callers(daemon);
	stop_io_threads(daemon->control);
	drain_events(daemon->events);
	control_free(daemon->control);
	event_queue_free(daemon->events);
	mem_free(daemon);
}

struct ibis_daemon *
ibis_daemon_start(
    const struct ibis_settings *settings, struct ibis_status *status)
{
	struct ibis_daemon *daemon = mem_calloc(1, sizeof(*daemon));

	log_configure(&(struct log_config){
	    .lowest = settings->log_level,
	    .name = settings->name,
	    .event_lines_per_s = settings->log_event_lines_per_s,
	    .to_stdout = true,
	});
	daemon->events = event_queue_new();
	if (daemon->events == NULL) {
		ibis_status_set(status, IBIS_INTERNAL, "start", NULL,
		    "no file descriptor for the event queue");
		mem_free(daemon);
		return NULL;
	}
	daemon->control =
	    control_new(settings, daemon->events, (uint64_t)clock_wall_ms());
	if (start_io_threads(daemon->control, daemon->events, status) !=
		IBIS_OK ||
	    pthread_create(
		&daemon->thread, NULL, control_run, daemon->control) != 0) {
		daemon_free(daemon);
		return NULL;
	}
	log_event(LOG_INFO, "started", "caller_address",
	    caller_server_address(daemon->control->callers), "peer_address",
	    peer_links_address(daemon->control->links), NULL);
	return daemon;
}

const char *
ibis_daemon_caller_address(const struct ibis_daemon *daemon)
{
	return caller_server_address(daemon->control->callers);
}

const char *
ibis_daemon_peer_address(const struct ibis_daemon *daemon)
{
	return peer_links_address(daemon->control->links);
}

void
ibis_daemon_stop(struct ibis_daemon *daemon)
{
	atomic_store(&daemon->control->stop_requested, true);
	event_queue_wake(daemon->events);
}

void
ibis_daemon_join(struct ibis_daemon *daemon)
{
	(void)pthread_join(daemon->thread, NULL);
	daemon_free(daemon);
}
