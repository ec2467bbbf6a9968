/* Callers' requests: which are refused, and what is known to answer them. */
#include <inttypes.h>
#include <string.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/json_limits.h"
#include "process/log.h"
#include "process/proto_memory.h"

/* Retry-After of a 503. */
#define RETRY_AFTER_MS		   1000
#define UNCONFIRMED_RETRY_AFTER_MS 2000
/* Further requests get 503. */
#define MAX_PENDING_REQUESTS 2000

enum http_status {
	STATUS_OK = 200,
	STATUS_BAD_REQUEST = 400,
	STATUS_UNAUTHORIZED = 401,
	STATUS_NOT_FOUND = 404,
	STATUS_METHOD_NOT_ALLOWED = 405,
	STATUS_UNAVAILABLE = 503
};

static void
reply(struct agent *agent, struct gateway_request *request, int32_t status,
    const char *body, int64_t retry_after_ms)
{
	gateway_reply(agent->gateway, request, status, body, retry_after_ms);
}

void
agent_log_answer(const struct agent *agent, enum log_level level,
    const char *event, const char *id, const char *outcome, int64_t received_ms)
{
	int64_t now_ms = clock_now_ms();

	log_event(level, event, "job", id, "outcome", outcome, "took_ms",
	    log_number(now_ms - received_ms), "config",
	    log_number(agent_config_version(agent)), "config_age_ms",
	    log_number(agent_config_age_ms(agent, now_ms)), "view_age_ms",
	    log_number(now_ms - agent_watch_answered_ms(agent->records_watch)),
	    "store_answer_age_ms",
	    log_number(now_ms - agent->relay.answered_ms), NULL);
}

/* Answers a submission of a job that has been accepted already. Returns false,
 * with the request untouched, when no record of the job has been seen. */
static bool
answer_repeated(
    struct agent *agent, struct gateway_request *request, const char *id)
{
	const struct view_job *known = agent_view_job(agent, id);

	if (known == NULL || known->spec == NULL)
		return false;
	counter_add(COUNTER_JOBS_REPEATED, 1);
	agent_log_answer(
	    agent, LOG_INFO, "submit", id, "repeated", request->received_ms);
	reply(agent, request, STATUS_OK, NULL, 0);
	return true;
}

/* Reads a submitted job. Returns NULL with status filled when it is invalid, or
 * has more tasks than the record of its progress could hold. */
static Ibis__StepJob *
parse_job(const struct agent *agent, const struct gateway_request *request,
    struct ibis_status *status)
{
	const char *text = buffer_string(&request->body);
	uint32_t max_tasks = agent_max_tasks(agent);
	Ibis__StepJob *spec;

	if (!json_limits_allow(text, request->body.length)) {
		(void)ibis_status_set(status, IBIS_INVALID, "job", NULL,
		    "expected JSON of at most %d objects and lists and %d "
		    "values",
		    JSON_MAX_CONTAINERS, JSON_MAX_VALUES);
		return NULL;
	}
	spec = platform_job_parse(text, request->body.length, status);
	if (spec == NULL || fleet_count_tasks(spec) <= max_tasks)
		return spec;
	ibis__step_job__free_unpacked(spec, proto_allocator());
	(void)ibis_status_set(status, IBIS_INVALID, "job", NULL,
	    "tasks of all steps: expected at most %" PRIu32, max_tasks);
	return NULL;
}

static void
submit(struct agent *agent, struct gateway_request *request,
    const struct route *route, const struct routes_workspace *workspace,
    const char *id, int64_t now_ms)
{
	struct ibis_status status = {0};
	Ibis__StepJob *spec;

	if (answer_repeated(agent, request, id))
		return;
	if (route->advice.needed) {
		/* Starts on this route need tickets of the advice service,
		 * which the lead doesn't request yet: the job would never
		 * run. */
		counter_add(COUNTER_JOBS_REFUSED_UNAVAILABLE, 1);
		agent_log_answer(agent, LOG_WARN, "submit_refused", id,
		    "queue needs advice", request->received_ms);
		reply(agent, request, STATUS_UNAVAILABLE, NULL, 0);
		return;
	}
	spec = parse_job(agent, request, &status);
	if (spec == NULL) {
		counter_add(COUNTER_JOBS_REFUSED_INVALID, 1);
		agent_log_answer(agent, LOG_WARN, "submit_invalid", id,
		    status.message, request->received_ms);
		reply(agent, request, STATUS_BAD_REQUEST, NULL, 0);
		return;
	}
	proto_set_string(&spec->route, route->name);
	proto_set_string(&spec->service, route->service);
	proto_set_string(
	    &spec->workspace, workspace == NULL ? "" : workspace->name);
	spec->accepted_wall_ms = clock_wall_ms();
	spec->priority = route->priority;
	spec->attempts = route->attempts;
	spec->stretch_milli = route->stretch_milli;
	spec->target_ms = route->target_ms;
	agent_pending_submit(agent, request, id, spec, now_ms);
	ibis__step_job__free_unpacked(spec, proto_allocator());
}

static void
read_job(struct agent *agent, struct gateway_request *request, const char *id)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	struct view_job *job = agent_view_job(agent, id);

	if (job != NULL && job->spec != NULL) {
		agent_view_render_phase(job, &body);
		reply(agent, request, STATUS_OK, buffer_string(&body), 0);
		return;
	}
	agent_pending_read(agent, request, id);
}

static void
cancel(struct agent *agent, struct gateway_request *request, const char *id)
{
	struct view_job *job = agent_view_job(agent, id);

	if (job != NULL && job->cancelled && job->spec != NULL) {
		reply(agent, request, STATUS_OK, NULL, 0);
		return;
	}
	agent_pending_cancel(
	    agent, request, id, job != NULL && job->spec != NULL);
}

/* Replies with the number of the route's pending jobs, without jobs that have
 * scheduled occurrences. */
static void
count_pending(struct agent *agent, struct gateway_request *request,
    const struct route *route)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	uint64_t count = 0;

	for (size_t i = 0; i < agent->jobs.count; i++) {
		const struct view_job *job = agent->jobs.items[i].item;

		if (job->spec != NULL && !job->cancelled &&
		    job->spec->times == 0 &&
		    job->phase == IBIS__STEP_JOB_PHASE__PHASE_PENDING &&
		    strcmp(job->spec->route, route->name) == 0)
			count++;
	}
	platform_render_pending(count, &body);
	agent_log_answer(agent, LOG_INFO, "count_pending", request->path,
	    "counted", request->received_ms);
	reply(agent, request, STATUS_OK, buffer_string(&body), 0);
}

static void
serve_job(struct agent *agent, struct gateway_request *request,
    const struct route *route, const struct routes_workspace *workspace,
    const char *id)
{
	switch (request->method) {
	case GATEWAY_POST:
		submit(agent, request, route, workspace, id, clock_now_ms());
		break;
	case GATEWAY_GET:
		read_job(agent, request, id);
		break;
	case GATEWAY_DELETE:
		cancel(agent, request, id);
		break;
	case GATEWAY_OTHER:
		reply(agent, request, STATUS_METHOD_NOT_ALLOWED, NULL, 0);
		break;
	}
}

/* Refuses a request that has not run for the time being. */
static void
refuse_for_now(struct agent *agent, struct gateway_request *request,
    const char *reason, int64_t retry_after_ms)
{
	agent_log_answer(agent, LOG_WARN, "request_refused", request->path,
	    reason, request->received_ms);
	reply(agent, request, STATUS_UNAVAILABLE, NULL, retry_after_ms);
}

/* Answers a request for which no configuration can be used. An accepted job is
 * not refused, as a 503 says that it never runs. */
static void
answer_without_config(
    struct agent *agent, struct gateway_request *request, const char *reason)
{
	const char *last = strrchr(request->path, '/');
	const char *id = last == NULL ? "" : last + 1;

	if (request->method == GATEWAY_POST && platform_is_job_id(id) &&
	    answer_repeated(agent, request, id))
		return;
	refuse_for_now(agent, request, reason, RETRY_AFTER_MS);
}

/* Refuses a request that the configuration does not allow. Whether the current
 * one does is unknown unless it is confirmed. */
static void
refuse_by_config(struct agent *agent, struct gateway_request *request,
    int32_t status, const char *reason)
{
	if (!agent_config_confirmed(agent, clock_now_ms())) {
		refuse_for_now(agent, request, "configuration not confirmed",
		    UNCONFIRMED_RETRY_AFTER_MS);
		return;
	}
	agent_log_answer(agent, LOG_WARN, "request_refused", request->path,
	    reason, request->received_ms);
	reply(agent, request, status, NULL, 0);
}

/* Returns why no request can be answered now; NULL: it can. */
static const char *
reason_not_to_answer(const struct agent *agent, int64_t now_ms)
{
	if (agent_config_routes(agent) == NULL ||
	    !agent_watch_loaded(agent->records_watch) ||
	    agent->pending_request_count >= MAX_PENDING_REQUESTS)
		return "not ready";
	return agent_config_usable(agent, now_ms)
	    ? NULL
	    : "configuration not confirmed";
}

static void
serve_route(struct agent *agent, struct gateway_request *request,
    const struct route *route, const struct routes_workspace *workspace,
    const char *path_suffix)
{
	if (*path_suffix == '\0' && request->method == GATEWAY_GET)
		count_pending(agent, request, route);
	else if (platform_is_job_id(path_suffix))
		serve_job(agent, request, route, workspace, path_suffix);
	else
		reply(agent, request, STATUS_NOT_FOUND, NULL, 0);
}

void
agent_callers_request(
    struct agent *agent, struct gateway_request *request, int64_t now_ms)
{
	const char *reason = reason_not_to_answer(agent, now_ms);
	const struct routes *routes = agent_config_routes(agent);
	const struct routes_workspace *workspace;
	const struct route *route;
	const char *path_suffix;

	if (reason != NULL) {
		answer_without_config(agent, request, reason);
		return;
	}
	route =
	    routes_match(routes, request->host, request->path, &path_suffix);
	if (route == NULL) {
		refuse_by_config(agent, request, STATUS_NOT_FOUND, "no route");
		return;
	}
	workspace = routes_find_workspace(routes, request->key);
	if (workspace == NULL && !route->open)
		refuse_by_config(
		    agent, request, STATUS_UNAUTHORIZED, "unknown key");
	else
		serve_route(agent, request, route, workspace, path_suffix);
}
