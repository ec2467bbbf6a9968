/*
 * The operators' configuration and the zones that are out of service, from a
 * change in the store to what requests and the fleet see of it. Knows the
 * version in force, and up to when it is known that there is no later one.
 */
#include <string.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"

#define AGE_NEVER_CONFIRMED (-1)

const struct routes *
agent_config_routes(const struct agent *agent)
{
	return agent->config.routes;
}

int64_t
agent_config_version(const struct agent *agent)
{
	return agent->config.routes == NULL
	    ? -1
	    : (int64_t)agent->config.routes->version;
}

int64_t
agent_config_age_ms(const struct agent *agent, int64_t now_ms)
{
	int64_t confirmed_ms = agent_watch_confirmed_ms(agent->config.watch);

	return confirmed_ms == 0 ? AGE_NEVER_CONFIRMED : now_ms - confirmed_ms;
}

bool
agent_config_confirmed(const struct agent *agent, int64_t now_ms)
{
	int64_t age_ms = agent_config_age_ms(agent, now_ms);

	return age_ms != AGE_NEVER_CONFIRMED &&
	    age_ms <= agent->settings.config_apply_ms;
}

bool
agent_config_usable(const struct agent *agent, int64_t now_ms)
{
	return agent_config_confirmed(agent, now_ms) ||
	    agent_relay_health(agent, now_ms) == STORE_UNREACHABLE;
}

const char *
agent_config_service(const struct agent *agent, const char *route_name)
{
	const struct routes *routes = agent->config.routes;
	const struct route *route =
	    routes == NULL ? NULL : routes_find(routes, route_name);

	return route == NULL ? NULL : route->service;
}

static const char *
find_service(void *context, const char *route)
{
	return agent_config_service(context, route);
}

static void
pass_workspace_to_fleet(
    struct agent *agent, const struct routes_workspace *workspace)
{
	struct fleet_quota quota = {
	    .cap =
		{
		    .cpu_milli = workspace->cap_cpu_milli,
		    .memory_mb = workspace->cap_memory_mb,
		    .accelerators = workspace->cap_accelerators,
		},
	    .weight_milli = workspace->weight_milli,
	};

	fleet_set_guarantee(
	    agent->fleet, workspace->name, workspace->guaranteed_accelerators);
	fleet_set_quota(agent->fleet, workspace->name, &quota);
}

/* Replaces what the fleet has of an earlier version. */
static void
pass_config_to_fleet(struct agent *agent)
{
	const struct routes *routes = agent->config.routes;

	if (agent->fleet == NULL || routes == NULL)
		return;
	fleet_move_jobs(agent->fleet, find_service, agent);
	fleet_clear_limits(agent->fleet);
	for (size_t i = 0; i < routes->workspaces_count; i++)
		pass_workspace_to_fleet(agent, &routes->workspaces[i]);
}

/* Logs a version that has come in force. It was stored after the last time at
 * which the previous one was known to be current. */
static void
log_version(const struct agent *agent, int64_t decode_ms)
{
	const struct agent_watch_read *read =
	    agent_watch_last_read(agent->config.watch);
	const struct routes *routes = agent->config.routes;
	int64_t now_ms = clock_now_ms();
	int64_t delay_ms = agent_config_age_ms(agent, now_ms);

	gauge_set(GAUGE_DOCUMENT_VERSION, (int64_t)routes->version);
	if (delay_ms != AGE_NEVER_CONFIRMED)
		duration_observe(HISTOGRAM_CONFIG_DELAY, delay_ms);
	log_event(LOG_INFO, "config_in_force", "version",
	    log_number((int64_t)routes->version), "revision",
	    log_number((int64_t)agent->config.revision), "routes",
	    log_number((int64_t)routes->routes_count), "delay_max_ms",
	    log_number(delay_ms), "bytes", log_number((int64_t)read->bytes),
	    "asked_ms", log_number(now_ms - read->sent_ms), "transfer_ms",
	    log_number(read->received_ms - read->first_byte_ms), "apply_ms",
	    log_number(now_ms - read->received_ms), "decode_ms",
	    log_number(decode_ms), NULL);
}

static void
apply_config_item(struct agent *agent, const struct platform_store_item *item)
{
	struct agent_config *config = &agent->config;
	struct ibis_status status = {0};
	int64_t begun_ms = clock_now_ms();
	struct routes *routes;

	if (item->deleted)
		return;
	routes =
	    platform_config_parse(item->value, item->value_length, &status);
	if (routes == NULL) {
		agent_watch_log_unreadable(item, status.message);
		return;
	}
	if (config->routes != NULL &&
	    routes->version < config->routes->version) {
		log_event(LOG_WARN, "config_older", "version",
		    log_number((int64_t)routes->version), "in_force",
		    log_number((int64_t)config->routes->version), NULL);
		routes_free(routes);
		return;
	}
	routes_free(config->routes);
	config->routes = routes;
	config->revision = item->revision;
	if (routes->unusable > 0)
		log_event(LOG_ERROR, "config_entries_unusable", "version",
		    log_number((int64_t)routes->version), "entries",
		    log_number((int64_t)routes->unusable), "first",
		    status.message, NULL);
	pass_config_to_fleet(agent);
	log_version(agent, clock_now_ms() - begun_ms);
}

static void
apply_zone_item(struct agent *agent, const char *zone,
    const struct platform_store_item *item)
{
	struct name_index *zones = &agent->config.zones_out_of_service;
	char *known = name_index_get(zones, zone);

	if (item->deleted && known != NULL) {
		mem_free(name_index_remove(zones, zone));
	} else if (!item->deleted && known == NULL) {
		known = mem_strdup(zone);
		(void)name_index_add(zones, known, known);
	}
	log_event(LOG_INFO, item->deleted ? "zone_in" : "zone_out", "zone",
	    zone, "revision", log_number((int64_t)item->revision),
	    "delay_max_ms",
	    log_number(agent_config_age_ms(agent, clock_now_ms())), NULL);
	if (agent->fleet != NULL)
		fleet_set_zone(agent->fleet, zone, item->deleted);
}

static void
apply_item(void *context, const struct platform_store_item *item)
{
	struct agent *agent = context;
	const char *zone =
	    agent_watch_key_suffix(item->key, PLATFORM_EVACUATED_ZONE_PREFIX);

	if (strcmp(item->key, PLATFORM_CONFIG_KEY) == 0)
		apply_config_item(agent, item);
	else if (zone != NULL)
		apply_zone_item(agent, zone, item);
}

void
agent_config_start(struct agent *agent)
{
	struct agent_watch_config config = {
	    .prefix = PLATFORM_OPERATOR_PREFIX,
	    .wait_ms = STORE_WATCH_WAIT_MS,
	    .confirm_changes = true,
	    .item = apply_item,
	    .context = agent,
	};

	agent->config.watch = agent_watch_new(&config, &agent->store);
	agent->config.unconfirmed_since_ms = clock_now_ms();
}

void
agent_config_free(struct agent *agent)
{
	struct name_index *zones = &agent->config.zones_out_of_service;

	agent_watch_free(agent->config.watch);
	for (size_t i = 0; i < zones->count; i++)
		mem_free(zones->items[i].item);
	name_index_free(zones);
	routes_free(agent->config.routes);
}

void
agent_config_prepare_fleet(struct agent *agent)
{
	const struct name_index *zones = &agent->config.zones_out_of_service;

	for (size_t i = 0; i < zones->count; i++)
		fleet_set_zone(agent->fleet, zones->items[i].name, false);
	pass_config_to_fleet(agent);
}

/* Logs when it becomes unknown, and when it is known again, whether the
 * configuration is current. */
static void
note_confirmation(struct agent *agent, int64_t now_ms)
{
	struct agent_config *config = &agent->config;
	bool confirmed = agent_config_confirmed(agent, now_ms);
	int64_t age_ms = agent_config_age_ms(agent, now_ms);

	gauge_set(GAUGE_CONFIG_AGE_MS, age_ms);
	gauge_set(GAUGE_CONFIG_CONFIRMED, confirmed);
	if (confirmed == config->confirmed)
		return;
	config->confirmed = confirmed;
	if (confirmed) {
		log_event(LOG_INFO, "config_confirmed", "version",
		    log_number(agent_config_version(agent)), "age_ms",
		    log_number(age_ms), "unconfirmed_ms",
		    log_number(now_ms - config->unconfirmed_since_ms), NULL);
		return;
	}
	config->unconfirmed_since_ms = now_ms;
	counter_add(COUNTER_CONFIG_UNCONFIRMED, 1);
	log_event(LOG_WARN, "config_unconfirmed", "version",
	    log_number(agent_config_version(agent)), "age_ms",
	    log_number(age_ms), "limit_ms",
	    log_number(agent->settings.config_apply_ms), "store_answer_age_ms",
	    log_number(now_ms - agent->relay.answered_ms), NULL);
}

void
agent_config_step(struct agent *agent, int64_t now_ms)
{
	agent_wake_at(agent, agent_watch_step(agent->config.watch, now_ms));
	note_confirmation(agent, now_ms);
	if (agent->config.confirmed)
		agent_wake_at(agent,
		    agent_watch_confirmed_ms(agent->config.watch) +
			agent->settings.config_apply_ms + 1);
}
