/*
 * The control thread: starts an instance, runs its steps, handles signals and
 * stops it.
 */
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>

#include "agent/agent.h"
#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"

/* Longest time between two steps without an event. */
#define MAX_IDLE_MS 1000
/* The settings file may change without a signal. */
#define SETTINGS_CHECK_INTERVAL_MS 1000
/* A turn of the control thread this long is logged. */
#define LONG_TURN_MS 200
/* After SIGTERM, callers are served for at least this long, because the
 * balancer needs two failed readiness checks to stop sending requests. */
#define MIN_DRAIN_MS 2600
/* The process exits at least this long before the grace period ends. */
#define EXIT_MARGIN_MS 1200
#define REFUSE_WAIT_MS 5
/* Callers may hold this many connections and bytes of requests. Where the
 * settings say what the process may use: at most half of the descriptors, and
 * for each of the two an eighth of the memory. */
#define MAX_CALLER_CONNECTIONS 2000
#define MAX_PROBE_CONNECTIONS  64
#define MAX_BODIES_BYTES       (INT64_C(64) << 20)
#define MEMORY_PART	       8
#define CONNECTION_BYTES       (24 << 10) /* what one takes */
#define BYTES_PER_MB	       (INT64_C(1) << 20)

static atomic_bool stop_requested;
static atomic_bool reload_requested;
static struct event_queue *signal_queue;

static void
on_signal(int number)
{
	if (number == SIGHUP)
		atomic_store(&reload_requested, true);
	else
		atomic_store(&stop_requested, true);
	event_queue_wake(signal_queue);
}

void
agent_wake_at(struct agent *agent, int64_t at_ms)
{
	if (at_ms < agent->next_step_ms)
		agent->next_step_ms = at_ms;
}

/* xorshift64*; good enough for jitter. */
uint32_t
agent_random(struct agent *agent, uint32_t below)
{
	uint64_t x = agent->random_state;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	agent->random_state = x;
	return (uint32_t)((x * 2685821657736338717ULL) >> 32) % below;
}

static void
install_signal_handlers(struct event_queue *events)
{
	struct sigaction action = {.sa_handler = on_signal};

	signal_queue = events;
	(void)sigaction(SIGTERM, &action, NULL);
	(void)sigaction(SIGINT, &action, NULL);
	(void)sigaction(SIGHUP, &action, NULL);
	action.sa_handler = SIG_IGN;
	(void)sigaction(SIGPIPE, &action, NULL);
}

/* Returns the time at which the settings file was last changed; zero when it
 * can't be told. */
static struct timespec
settings_time(const struct agent *agent)
{
	struct stat file;

	return stat(agent->settings_path, &file) == 0 ? file.st_mtim
						      : (struct timespec){0};
}

static bool
is_same_time(const struct timespec *left, const struct timespec *right)
{
	return left->tv_sec == right->tv_sec && left->tv_nsec == right->tv_nsec;
}

static void
reload_settings(struct agent *agent)
{
	struct ibis_status status = {0};
	struct platform_settings new_settings;

	agent->settings_changed = settings_time(agent);
	if (platform_settings_read(
		agent->settings_path, &new_settings, &status) != IBIS_OK) {
		log_event(LOG_ERROR, "reload_refused", "message",
		    status.message, NULL);
		return;
	}
	/* Addresses are not reloaded: the listeners stay as they are. */
	agent->settings.grace_ms = new_settings.grace_ms;
	agent->settings.retention_ms = new_settings.retention_ms;
	agent->settings.max_lease_ms = new_settings.max_lease_ms;
	agent->settings.config_apply_ms = new_settings.config_apply_ms;
	agent->settings.drain_notice_ms = new_settings.drain_notice_ms;
	agent->settings.stop_timeout_ms = new_settings.stop_timeout_ms;
	agent->settings.remote_factor = new_settings.remote_factor;
	agent->settings.cpu_milli = new_settings.cpu_milli;
	agent->settings.memory_mb = new_settings.memory_mb;
	agent->settings.max_open_files = new_settings.max_open_files;
	agent->settings.link_kbit = new_settings.link_kbit;
	log_event(LOG_INFO, "reloaded", NULL);
}

/* Reloads the settings when their file has changed. One that is read while it
 * is being written is refused, and read again after the writer's next change.
 */
static void
check_settings(struct agent *agent, int64_t now_ms)
{
	struct timespec changed;

	if (now_ms < agent->next_settings_check_ms)
		return;
	agent->next_settings_check_ms = now_ms + SETTINGS_CHECK_INTERVAL_MS;
	changed = settings_time(agent);
	if (!is_same_time(&changed, &agent->settings_changed))
		reload_settings(agent);
}

static int64_t
lower(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* Shares the process's memory and descriptors out to callers. What is left is
 * for jobs, other instances, workers and the store. */
static void
set_caller_limits(
    const struct platform_settings *settings, struct gateway_config *gateway)
{
	int64_t connections = MAX_CALLER_CONNECTIONS;
	int64_t bytes = MAX_BODIES_BYTES;

	if (settings->max_open_files > 0)
		connections = lower(connections, settings->max_open_files / 2);
	if (settings->memory_mb > 0) {
		int64_t part = settings->memory_mb * BYTES_PER_MB / MEMORY_PART;

		connections = lower(connections, part / CONNECTION_BYTES);
		bytes = lower(bytes, part);
	}
	gateway->max_connections = (uint32_t)connections;
	gateway->max_probe_connections =
	    (uint32_t)lower(connections, MAX_PROBE_CONNECTIONS);
	gateway->max_bodies_bytes = (size_t)bytes;
}

static enum ibis_code
open_listeners(struct agent *agent, struct ibis_status *status)
{
	if (gateway_listen(agent->gateway, agent->settings.caller_address,
		GATEWAY_CALLERS, status) != IBIS_OK ||
	    gateway_listen(agent->gateway, agent->settings.ready_address,
		GATEWAY_PROBES, status) != IBIS_OK)
		return status->code;
	if (agent->settings.internal_port == 0)
		return IBIS_OK;
	(void)snprintf(agent->internal_address, sizeof(agent->internal_address),
	    "%s:%d", agent->settings.ip, (int)agent->settings.internal_port);
	return gateway_listen(
	    agent->gateway, agent->internal_address, GATEWAY_INTERNAL, status);
}

static enum ibis_code
start(struct agent *agent, const struct agent_options *options,
    struct ibis_status *status)
{
	struct gateway_config gateway = {
	    .ready_path = PLATFORM_READY_PATH,
	    .metrics_path = PLATFORM_METRICS_PATH,
	    .deadline_header = PLATFORM_DEADLINE_HEADER,
	    .max_body_bytes = 1 << 20,
	    .default_deadline_ms = 3000,
	    .idle_timeout_s = 30,
	};

	agent->settings_path = getenv(PLATFORM_SETTINGS_ENV);
	if (agent->settings_path == NULL)
		return ibis_status_set(status, IBIS_INVALID, "settings", NULL,
		    "the environment variable %s is not set",
		    PLATFORM_SETTINGS_ENV);
	CDS_INIT_LIST_HEAD(&agent->pending_requests);
	CDS_INIT_LIST_HEAD(&agent->relay.peer_calls);
	CDS_INIT_LIST_HEAD(&agent->relay.short_calls);
	agent->settings_changed = settings_time(agent);
	if (platform_settings_read(
		agent->settings_path, &agent->settings, status) != IBIS_OK)
		return status->code;
	log_configure(&(struct log_config){
	    .lowest = options->log_level,
	    .name = agent->settings.name,
	    .event_lines_per_s = options->log_event_lines_per_s,
	    .to_stdout = true,
	});
	agent->random_state =
	    (uint64_t)clock_wall_ms() * 2654435761U + (uint64_t)clock_now_us();
	for (const char *c = agent->settings.name; *c != '\0'; c++)
		agent->random_state = agent->random_state * 31 + (uint64_t)*c;
	agent->random_state |= 1;
	agent->events = event_queue_new();
	agent->pool = http_pool_new(status);
	if (agent->events == NULL || agent->pool == NULL)
		return ibis_status_set(status, IBIS_INTERNAL, "start", NULL,
		    "can't create the event queue or the HTTP client");
	http_pool_watch(agent->pool, event_queue_fd(agent->events));
	install_signal_handlers(agent->events);
	agent->store = (struct platform_store){
	    .send = agent_relay_call,
	    .send_context = agent,
	    .address = agent->settings.store_address,
	    .timeout_ms = STORE_TIMEOUT_MS,
	};
	gauge_set(GAUGE_LEAD_CAPACITY, agent_fitness_capacity(agent));
	agent_config_start(agent);
	agent_view_start(agent);
	set_caller_limits(&agent->settings, &gateway);
	agent->gateway = gateway_new(&gateway, agent->events);
	return open_listeners(agent, status);
}

static void
dispatch_events(struct agent *agent, int64_t now_ms)
{
	struct event event;

	while (event_queue_take(agent->events, 0, &event)) {
		if (event.kind != EVENT_GATEWAY)
			continue;
		if (!event.gateway->internal)
			agent_callers_request(agent, event.gateway, now_ms);
		else if (!agent_hint_request(agent, event.gateway) &&
		    !agent_handover_request(agent, event.gateway) &&
		    !agent_peers_request(agent, event.gateway) &&
		    !agent_status_request(agent, event.gateway))
			agent_relay_request(agent, event.gateway);
	}
}

static void
update_ready(struct agent *agent, int64_t now_ms)
{
	bool ready = !agent->stopping && agent_view_fresh(agent, now_ms);

	gateway_set_ready(agent->gateway, ready);
	if (ready == agent->ready)
		return;
	agent->ready = ready;
	gauge_set(GAUGE_STORE_REACHABLE, ready);
	log_event(LOG_INFO, ready ? "ready" : "not_ready", "view_age_ms",
	    log_number(now_ms - agent_watch_answered_ms(agent->records_watch)),
	    "config", log_number(agent_config_version(agent)), "config_age_ms",
	    log_number(agent_config_age_ms(agent, now_ms)), NULL);
}

static void
begin_stop(struct agent *agent, int64_t now_ms)
{
	agent->stopping = true;
	agent->stopping_since_ms = now_ms;
	log_event(LOG_INFO, "stopping", "open_requests",
	    log_number(gateway_open_requests(agent->gateway)), NULL);
	gateway_drain(agent->gateway);
	agent_handover_start(agent, now_ms);
}

/* Returns whether the process may exit: the planned stop is complete, or the
 * grace period is nearly over. */
static bool
stop_is_complete(struct agent *agent, int64_t now_ms)
{
	int64_t since_ms = now_ms - agent->stopping_since_ms;

	if (!agent->stopping)
		return false;
	if (since_ms >= agent->settings.grace_ms - EXIT_MARGIN_MS)
		return true;
	agent_wake_at(agent, now_ms + 50);
	return since_ms >= MIN_DRAIN_MS && agent->lead.state != AGENT_LEADING &&
	    agent->pending_request_count == 0 &&
	    gateway_open_requests(agent->gateway) == 0;
}

static bool
step(struct agent *agent)
{
	int64_t now_ms = clock_now_ms();

	agent->next_step_ms = now_ms + MAX_IDLE_MS;
	if (atomic_exchange(&reload_requested, false))
		reload_settings(agent);
	check_settings(agent, now_ms);
	if (atomic_load(&stop_requested) && !agent->stopping)
		begin_stop(agent, now_ms);
	dispatch_events(agent, now_ms);
	agent_config_step(agent, now_ms);
	/* A narrow link carries the configuration first. */
	if (agent_config_routes(agent) != NULL)
		agent_view_step(agent, now_ms);
	agent_relay_step(agent, now_ms);
	agent_peers_step(agent, now_ms);
	agent_lead_step(agent, now_ms);
	agent_workers_decide(agent, now_ms);
	agent_records_step(agent, now_ms);
	agent_workers_step(agent, now_ms);
	agent_pending_step(agent, now_ms);
	update_ready(agent, now_ms);
	return !stop_is_complete(agent, now_ms);
}

/* Logs a turn of the control thread that has delayed everything else. */
static void
note_turn(int64_t events_ms, int64_t step_ms)
{
	duration_observe(HISTOGRAM_TURN, events_ms + step_ms);
	if (events_ms + step_ms >= LONG_TURN_MS)
		log_event(LOG_WARN, "control_busy", "events_ms",
		    log_number(events_ms), "step_ms", log_number(step_ms),
		    NULL);
}

/* Runs one turn: waits for events, handles them and takes a step. Returns
 * whether to go on. */
static bool
run_turn(struct agent *agent)
{
	int64_t events_ms =
	    http_pool_wait(agent->pool, agent->next_step_ms - clock_now_ms());
	int64_t begun_ms = clock_now_ms();
	bool running = step(agent);

	note_turn(events_ms, clock_now_ms() - begun_ms);
	agent_load_update(
	    &agent->load, clock_now_us(), http_pool_waited_us(agent->pool));
	return running;
}

/* Answers all requests that have been read: nobody takes further ones, and the
 * HTTP library doesn't stop while one waits. */
static void
refuse_requests(struct agent *agent)
{
	struct event event;

	gateway_refuse(agent->gateway);
	agent_pending_end(agent);
	agent_relay_end(agent);
	while (gateway_posted_requests(agent->gateway) > 0) {
		if (event_queue_take(agent->events, REFUSE_WAIT_MS, &event) &&
		    event.kind == EVENT_GATEWAY)
			gateway_reply_refused(agent->gateway, event.gateway);
	}
}

static void
free_agent(struct agent *agent)
{
	refuse_requests(agent);
	agent_peers_free(agent);
	gateway_stop(agent->gateway);
	agent_lead_step_down(agent, "stopped");
	http_pool_free(agent->pool);
	agent_view_free(agent);
	agent_config_free(agent);
	event_queue_free(agent->events);
}

int
agent_run(const struct agent_options *options, struct ibis_status *status)
{
	struct agent agent = {0};

	if (start(&agent, options, status) != IBIS_OK)
		return 1;
	log_event(LOG_INFO, "started", "zone", agent.settings.zone, "callers",
	    agent.settings.caller_address, "store",
	    agent.settings.store_address, NULL);
	while (run_turn(&agent))
		;
	log_event(LOG_INFO, "stopped", "open_requests",
	    log_number(gateway_open_requests(agent.gateway)), NULL);
	free_agent(&agent);
	return 0;
}

enum ibis_code
agent_check_settings(const char *path, struct ibis_status *status)
{
	struct platform_settings settings;

	return platform_settings_read(path, &settings, status);
}

bool
agent_settings_recognise(const char *path)
{
	return platform_settings_detect_file(path);
}
