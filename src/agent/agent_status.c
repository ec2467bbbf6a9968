/* Operators' queries at an instance's internal address: the instance's state,
 * and what a job's tasks wait for. */
#include <string.h>

#include <json-c/json.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/clock.h"

#define STATUS_PATH  "/v1/status"
#define JOB_PREFIX   "/v1/jobs/"
#define WAITS_SUFFIX "/waits"
/* Rows of one answer. */
#define MAX_WAITS	 64
#define STATUS_OK	 200
#define STATUS_NOT_FOUND 404

static void
json_free(struct json_object **object)
{
	(void)json_object_put(*object);
}

static void
add_text(struct json_object *object, const char *key, const char *text)
{
	(void)json_object_object_add(object, key, json_object_new_string(text));
}

static void
add_number(struct json_object *object, const char *key, int64_t number)
{
	(void)json_object_object_add(
	    object, key, json_object_new_int64(number));
}

static void
add_flag(struct json_object *object, const char *key, bool flag)
{
	(void)json_object_object_add(
	    object, key, json_object_new_boolean(flag));
}

/* Returns the age of an event, or -1 when it has never happened. */
static int64_t
age_ms(int64_t at_ms, int64_t now_ms)
{
	return at_ms == 0 ? -1 : now_ms - at_ms;
}

static const char *
store_health_name(enum store_health health)
{
	switch (health) {
	case STORE_HEALTHY:
		return "answers";
	case STORE_SUSPECT:
		return "doubtful";
	case STORE_UNREACHABLE:
		return "lost";
	}
	return "lost";
}

/* Returns the address at which the lead answers operators; "" when unknown. */
static const char *
lead_address(const struct agent *agent)
{
	const struct agent_peer *peer;

	if (!agent->lead_key.present)
		return "";
	if (strcmp(agent->lead_key.holder, agent->settings.name) == 0)
		return agent->internal_address;
	peer = name_index_get(&agent->peers.index, agent->lead_key.holder);
	return peer == NULL ? "" : peer->address;
}

static void
add_lead(const struct agent *agent, struct json_object *object)
{
	add_text(object, "lead", agent->lead_key.holder);
	add_text(object, "lead_address", lead_address(agent));
	add_number(object, "epoch", (int64_t)agent->lead_key.revision);
	add_flag(object, "leading", agent->lead.state == AGENT_LEADING);
}

static void
add_dependencies(
    const struct agent *agent, struct json_object *object, int64_t now_ms)
{
	add_text(object, "store",
	    store_health_name(agent_relay_health(agent, now_ms)));
	add_flag(object, "store_by_peer", agent->relay.via_peer);
	add_number(object, "store_answer_age_ms",
	    age_ms(agent->relay.answered_ms, now_ms));
	add_number(object, "records_age_ms",
	    age_ms(agent_watch_answered_ms(agent->records_watch), now_ms));
	add_number(object, "operators_age_ms",
	    age_ms(agent_watch_answered_ms(agent->config.watch), now_ms));
	add_number(object, "config_version", agent_config_version(agent));
	add_number(object, "config_age_ms", agent_config_age_ms(agent, now_ms));
	add_flag(
	    object, "config_confirmed", agent_config_confirmed(agent, now_ms));
	add_number(object, "config_limit_ms", agent->settings.config_apply_ms);
	add_number(object, "peers", (int64_t)agent->peers.index.count);
}

/* Adds what only the lead knows. */
static void
add_fleet(const struct agent *agent, struct json_object *object, int64_t now_ms)
{
	struct fleet_usage usage;

	if (agent->fleet == NULL)
		return;
	fleet_usage(agent->fleet, &usage);
	add_number(object, "workers_age_ms",
	    age_ms(agent_watch_answered_ms(agent->worker_watch), now_ms));
	add_number(
	    object, "lead_lease_age_ms", now_ms - agent->lead.renewed_ms);
	add_number(object, "jobs_pending", (int64_t)usage.jobs_pending);
	add_number(object, "jobs_running", (int64_t)usage.jobs_running);
	add_number(object, "tasks_waiting", (int64_t)usage.waiting_tasks);
	add_number(object, "tasks_placed", (int64_t)usage.placed_tasks);
	add_number(object, "tasks_running", (int64_t)usage.running_tasks);
	add_number(object, "workers", (int64_t)usage.workers);
	add_number(object, "workers_silent", (int64_t)usage.silent_workers);
	add_number(object, "accelerators", usage.accelerators);
	add_number(object, "accelerators_free", usage.free_accelerators);
}

static void
add_resources(struct json_object *object, const char *name,
    const struct fleet_resources *resources)
{
	struct json_object *row = json_object_new_object();

	add_number(row, "cpu_milli", resources->cpu_milli);
	add_number(row, "memory_mb", resources->memory_mb);
	add_number(row, "accelerators", resources->accelerators);
	json_object_object_add(object, name, row);
}

/* Adds what each workspace has running beside its cap; 0 of a resource is no
 * cap. */
static void
add_workspaces(const struct agent *agent, struct json_object *object)
{
	struct json_object *rows;

	if (agent->fleet == NULL)
		return;
	rows = json_object_new_array();
	for (size_t i = 0; i < fleet_workspaces_count(agent->fleet); i++) {
		struct json_object *row = json_object_new_object();
		struct fleet_workspace_usage usage;

		fleet_workspace_usage(agent->fleet, i, &usage);
		add_text(row, "workspace", usage.name);
		add_resources(row, "running", &usage.running);
		add_resources(row, "cap", &usage.cap);
		add_number(
		    row, "tasks_waiting_quota", (int64_t)usage.waiting_tasks);
		json_object_array_add(rows, row);
	}
	json_object_object_add(object, "workspaces", rows);
}

static void
reply(struct agent *agent, struct gateway_request *request, int32_t status,
    struct json_object *object)
{
	gateway_reply(agent->gateway, request, status,
	    json_object_to_json_string(object), 0);
}

static void
reply_status(struct agent *agent, struct gateway_request *request)
{
	CLEANUP(json_free)
	struct json_object *object = json_object_new_object();
	int64_t now_ms = clock_now_ms();

	add_text(object, "instance", agent->settings.name);
	add_text(object, "availability_zone", agent->settings.zone);
	add_flag(object, "ready", agent->ready);
	add_flag(object, "stopping", agent->stopping);
	add_number(object, "requests_waiting", agent->pending_request_count);
	add_number(object, "jobs_known", (int64_t)agent->jobs.count);
	add_lead(agent, object);
	add_dependencies(agent, object, now_ms);
	add_fleet(agent, object, now_ms);
	add_workspaces(agent, object);
	reply(agent, request, STATUS_OK, object);
}

static struct json_object *
render_wait(const struct fleet_wait *wait)
{
	struct json_object *row = json_object_new_object();

	add_number(row, "occurrence", wait->occurrence);
	add_number(row, "step", wait->step);
	add_number(row, "tasks", wait->tasks);
	add_text(row, "waits_for", fleet_wait_name(wait->cause));
	add_number(row, "wait_ms", wait->wait_ms);
	add_number(row, "ahead", wait->ahead);
	add_number(row, "workers", wait->listed);
	add_number(row, "usable", wait->usable);
	add_number(row, "fitting", wait->fitting);
	add_number(row, "oldest_look_ms", wait->oldest_poll_ms);
	return row;
}

static void
add_waits(const struct agent *agent, const char *id, struct json_object *object)
{
	const struct fleet_job *job =
	    agent->fleet == NULL ? NULL : fleet_find_job(agent->fleet, id);
	struct json_object *rows = json_object_new_array();
	struct fleet_wait waits[MAX_WAITS];
	size_t count = 0;

	if (job != NULL)
		count = fleet_explain(agent->fleet, job, clock_now_ms(),
		    clock_wall_ms(), waits, MAX_WAITS);
	for (size_t i = 0; i < count; i++)
		(void)json_object_array_add(rows, render_wait(&waits[i]));
	(void)json_object_object_add(object, "waits", rows);
}

static const char *
phase_name(const struct view_job *job)
{
	if (job->spec == NULL)
		return "record not seen";
	if (job->cancelled)
		return "cancelled";
	switch (job->phase) {
	case IBIS__STEP_JOB_PHASE__PHASE_RUNNING:
		return "running";
	case IBIS__STEP_JOB_PHASE__PHASE_COMPLETED:
		return "completed";
	case IBIS__STEP_JOB_PHASE__PHASE_FAILED:
		return "failed";
	case IBIS__STEP_JOB_PHASE__PHASE_CANCELLED:
		return "cancelled";
	default:
		return "pending";
	}
}

static void
reply_waits(
    struct agent *agent, struct gateway_request *request, const char *id)
{
	CLEANUP(json_free)
	struct json_object *object = json_object_new_object();
	const struct view_job *job = agent_view_job(agent, id);

	if (job == NULL) {
		add_text(object, "error", "not_found");
		add_text(object, "message",
		    "no such job here: it was removed after its retention "
		    "time, was never accepted, or its record has not arrived "
		    "yet");
		add_number(object, "records_age_ms",
		    age_ms(agent_watch_answered_ms(agent->records_watch),
			clock_now_ms()));
		reply(agent, request, STATUS_NOT_FOUND, object);
		return;
	}
	add_text(object, "job", id);
	add_text(object, "phase", phase_name(job));
	add_lead(agent, object);
	add_waits(agent, id, object);
	reply(agent, request, STATUS_OK, object);
}

/* Copies the job's id from a path of the form JOB_PREFIX ID WAITS_SUFFIX.
 * Returns false for any other path. */
static bool
parse_job_id(const char *path, char id[FLEET_ID_BYTES])
{
	size_t prefix = strlen(JOB_PREFIX);

	if (strncmp(path, JOB_PREFIX, prefix) != 0 ||
	    strlen(path) != prefix + FLEET_ID_BYTES - 1 + strlen(WAITS_SUFFIX))
		return false;
	memcpy(id, path + prefix, FLEET_ID_BYTES - 1);
	id[FLEET_ID_BYTES - 1] = '\0';
	return strcmp(path + prefix + FLEET_ID_BYTES - 1, WAITS_SUFFIX) == 0;
}

bool
agent_status_request(struct agent *agent, struct gateway_request *request)
{
	char id[FLEET_ID_BYTES];

	if (request->method != GATEWAY_GET)
		return false;
	if (strcmp(request->path, STATUS_PATH) == 0) {
		reply_status(agent, request);
		return true;
	}
	if (!parse_job_id(request->path, id))
		return false;
	reply_waits(agent, request, id);
	return true;
}
