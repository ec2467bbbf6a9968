#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common_deployment.h"
#include "process/alloc.h"
#include "process/buffer.h"
#include "process/clock.h"
#include "request/cli.h"
#include "version/document.h"

#define READY_TIMEOUT_MS   5000
#define SERVING_TIMEOUT_MS 15000
#define CALL_TIMEOUT_MS	   8000
#define LIST_LAG_MS	   200
#define POLL_INTERVAL_MS   5
#define SOURCE_VARIABLE	   "IBIS_SOURCE"
#define TEXT_BYTES	   32
#define ANY_PORT	   "127.0.0.1:0"

static bool
print_error(const char *operation, const struct ibis_status *status)
{
	(void)fprintf(stderr, "site: %s: %s %s: %s\n", operation, status->step,
	    status->peer, status->message);
	return false;
}

bool
deployment_wait(
    deployment_condition *condition, void *context, int32_t timeout_ms)
{
	int64_t end_ms = clock_now_ms() + timeout_ms;

	while (!condition(context)) {
		if (clock_now_ms() >= end_ms)
			return false;
		process_sleep(POLL_INTERVAL_MS);
	}
	return true;
}

/* Context of S_has_events. */
struct events_wait {
	const char *path;
	const char *event;
	size_t count;
};

static bool
S_has_events(void *context)
{
	CLEANUP(log_free) struct log log = {0};
	const struct events_wait *wait = context;
	size_t count = 0;

	if (!log_read(&log, wait->path))
		return false;
	for (size_t i = 0; i < log.count; i++) {
		if (strcmp(log.records[i].event, wait->event) == 0)
			count++;
	}
	return count >= wait->count;
}

bool
deployment_wait_events(
    const char *log_path, const char *event, size_t count, int32_t timeout_ms)
{
	struct events_wait wait = {
	    .path = log_path,
	    .event = event,
	    .count = count,
	};

	return deployment_wait(S_has_events, &wait, timeout_ms);
}

const char *
deployment_source_path(const char *file)
{
	static char path[DEPLOYMENT_PATH_BYTES];
	const char *directory = getenv(SOURCE_VARIABLE);

	(void)snprintf(path, sizeof(path), "%.160s/%.80s",
	    directory == NULL ? "." : directory, file);
	return path;
}

/* Sends one request to an address, without retries. */
static enum ibis_code
send_to(const char *address, const struct client_call *call,
    struct client_answer *answer, struct ibis_status *status)
{
	struct client_config config = {
	    .servers = &address,
	    .servers_count = 1,
	    .call_timeout_ms = CALL_TIMEOUT_MS,
	};
	struct client *client = client_new(&config);
	enum ibis_code code = client_send(client, call, answer, status);

	client_free(client);
	return code;
}

enum ibis_code
deployment_send(struct deployment *deployment, uint32_t instance,
    const struct client_call *call, struct client_answer *answer,
    struct ibis_status *status)
{
	return send_to(
	    deployment->instances[instance].caller, call, answer, status);
}

enum ibis_code
deployment_get(struct deployment *deployment, uint32_t instance,
    const char *path, struct client_answer *answer)
{
	struct client_call call = {.method = "GET", .path = path};
	struct ibis_status status = {0};

	return deployment_send(deployment, instance, &call, answer, &status);
}

enum ibis_code
deployment_send_zone_command(struct deployment *deployment, uint32_t instance,
    const char *zone, const char *command, struct client_answer *answer)
{
	CLEANUP(buffer_free) struct buffer path = {0};
	struct client_call call = {.method = "POST"};
	struct ibis_status status = {0};

	buffer_printf(&path, "/v1/availability-zones/%s/%s", zone, command);
	call.path = path.data;
	return deployment_send(deployment, instance, &call, answer, &status);
}

/* Sends an admin request to a fake. */
static bool
send_admin(
    const char *address, const char *method, const char *path, const char *body)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	struct client_call call = {
	    .method = method,
	    .path = path,
	    .body = body,
	};
	struct ibis_status status = {0};

	if (send_to(address, &call, &answer, &status) == IBIS_OK)
		return true;
	return print_error(path, &status);
}

bool
deployment_set_platform_fault(struct deployment *deployment, const char *body)
{
	return send_admin(
	    deployment->platform_address, "POST", "/admin/fault", body);
}

bool
deployment_set_worker_fault(
    struct deployment *deployment, const char *worker, const char *body)
{
	CLEANUP(buffer_free) struct buffer path = {0};

	buffer_printf(&path, "/admin/workers/%s/fault", worker);
	return send_admin(deployment->workers_address, "POST", path.data, body);
}

static void
format_path(const struct deployment *deployment, const char *name,
    char path[DEPLOYMENT_PATH_BYTES])
{
	(void)snprintf(path, DEPLOYMENT_PATH_BYTES, "%.200s/%.48s",
	    deployment->directory, name);
}

static bool
write_file(const char *path, const char *text)
{
	FILE *file = fopen(path, "we");

	if (file == NULL)
		return false;
	(void)fputs(text, file);
	return fclose(file) == 0;
}

struct document *
deployment_read_document(const char *path, struct ibis_status *status)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	struct document_source *sources;
	struct document *document;
	int count;

	if (cli_read_nonempty_file(path, CLI_INPUT_BYTES, &text, status) !=
	    IBIS_OK)
		return NULL;
	count = document_split(text.data, &sources, status);
	if (count < 0)
		return NULL;
	document = document_parse(sources, (size_t)count, NULL, status);
	document_sources_free(sources, (size_t)count);
	return document;
}

/* Writes the workers' layout file, and names the instances and assigns them to
 * the zones in turn. */
static bool
write_layout(struct deployment *deployment, const char *layout_path)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	struct ibis_status status = {0};
	struct document *document =
	    deployment_read_document(deployment->config.document_path, &status);
	bool written;

	if (document == NULL)
		return print_error(deployment->config.document_path, &status);
	document_layout_json(document, &text);
	for (uint32_t i = 0; i < deployment->count; i++) {
		const struct document_zone *zone =
		    &document->zones[i % document->zones_count];

		(void)snprintf(deployment->instances[i].name,
		    sizeof(deployment->instances[i].name), "entry-%" PRIu32,
		    i + 1);
		STRING_COPY(deployment->instances[i].zone, zone->name);
	}
	document_free(document);
	written = write_file(layout_path, text.data);
	return written;
}

static bool
start_platform(struct deployment *deployment)
{
	char lag[TEXT_BYTES];
	char errors[DEPLOYMENT_PATH_BYTES];
	const char *arguments[] = {"--listen", ANY_PORT, "--log",
	    deployment->platform_log, "--list-lag-ms", lag, NULL};

	format_path(deployment, "platform.err", errors);
	(void)snprintf(lag, sizeof(lag), "%" PRId32,
	    deployment->config.list_lag_ms > 0 ? deployment->config.list_lag_ms
					       : LIST_LAG_MS);
	return process_start(&deployment->platform, "fake-platform", arguments,
		   errors, READY_TIMEOUT_MS) &&
	    process_ready_value(&deployment->platform, "address",
		deployment->platform_address,
		sizeof(deployment->platform_address));
}

static bool
start_workers(struct deployment *deployment, const char *layout)
{
	char scale[TEXT_BYTES];
	char seed[TEXT_BYTES];
	char errors[DEPLOYMENT_PATH_BYTES];
	const char *arguments[] = {"--listen", ANY_PORT, "--log",
	    deployment->workers_log, "--layout", layout, "--platform",
	    deployment->platform_address, "--time-scale", scale, "--seed", seed,
	    NULL};

	format_path(deployment, "workers.err", errors);
	(void)snprintf(scale, sizeof(scale), "%g",
	    deployment->config.time_scale > 0 ? deployment->config.time_scale
					      : 1);
	(void)snprintf(seed, sizeof(seed), "%" PRIu32, deployment->config.seed);
	return process_start(&deployment->workers, "fake-workers", arguments,
		   errors, READY_TIMEOUT_MS) &&
	    process_ready_value(&deployment->workers, "address",
		deployment->workers_address,
		sizeof(deployment->workers_address));
}

/* Adds an instance to the platform's instance list, or updates it there. */
static bool
register_instance(
    struct deployment *deployment, const struct deployment_instance *instance)
{
	CLEANUP(buffer_free) struct buffer path = {0};
	CLEANUP(buffer_free) struct buffer body = {0};

	buffer_printf(&path, "/admin/instances/%s", instance->name);
	buffer_printf(&body,
	    "{\"peer\": \"%s\", \"caller\": \"%s\", "
	    "\"availability_zone\": \"%s\", \"state\": \"live\"}",
	    instance->peer, instance->caller, instance->zone);
	return send_admin(
	    deployment->platform_address, "PUT", path.data, body.data);
}

bool
deployment_restart(struct deployment *deployment, uint32_t index)
{
	struct deployment_instance *instance = &deployment->instances[index];
	const char *arguments[PROCESS_MAX_ARGUMENTS] = {0};
	char settings[DEPLOYMENT_PATH_BYTES];
	char pairs[3][DEPLOYMENT_PATH_BYTES];
	size_t count = 0;

	format_path(deployment, "settings.jsonc", settings);
	(void)snprintf(
	    pairs[0], DEPLOYMENT_PATH_BYTES, "name=%s", instance->name);
	(void)snprintf(pairs[1], DEPLOYMENT_PATH_BYTES, "availability_zone=%s",
	    instance->zone);
	(void)snprintf(pairs[2], DEPLOYMENT_PATH_BYTES, "store_address=%s",
	    deployment->platform_address);
	arguments[count++] = "--settings";
	arguments[count++] = settings;
	for (size_t i = 0; i < COUNT_OF(pairs); i++) {
		arguments[count++] = "--set";
		arguments[count++] = pairs[i];
	}
	for (size_t i = 0; i < DEPLOYMENT_MAX_SETTINGS &&
	     deployment->config.settings[i] != NULL;
	     i++) {
		arguments[count++] = "--set";
		arguments[count++] = deployment->config.settings[i];
	}
	return process_start(&instance->process, "ibistrestled", arguments,
		   instance->log, READY_TIMEOUT_MS) &&
	    process_ready_value(&instance->process, "caller", instance->caller,
		sizeof(instance->caller)) &&
	    process_ready_value(&instance->process, "peer", instance->peer,
		sizeof(instance->peer)) &&
	    register_instance(deployment, instance);
}

bool
deployment_set_listed_peer(
    struct deployment *deployment, uint32_t index, const char *peer)
{
	struct deployment_instance listed = deployment->instances[index];

	STRING_COPY(listed.peer, peer);
	return register_instance(deployment, &listed);
}

static bool
start_instances(struct deployment *deployment)
{
	char settings[DEPLOYMENT_PATH_BYTES];

	format_path(deployment, "settings.jsonc", settings);
	if (!write_file(settings,
		"{\"caller_address\": \"" ANY_PORT
		"\", \"peer_address\": \"" ANY_PORT "\"}\n"))
		return false;
	for (uint32_t i = 0; i < deployment->count; i++) {
		char name[JOB_NAME_BYTES + TEXT_BYTES];

		(void)snprintf(name, sizeof(name), "%s.log",
		    deployment->instances[i].name);
		format_path(deployment, name, deployment->instances[i].log);
		if (!deployment_restart(deployment, i))
			return false;
	}
	return true;
}

/* Submits the document to the first instance. */
static bool
submit_document(struct deployment *deployment)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	struct ibis_status status = {0};
	struct client_call call = {
	    .method = "PUT",
	    .path = "/v1/document",
	    .has_if_match = true,
	};

	if (cli_read_nonempty_file(deployment->config.document_path,
		CLI_INPUT_BYTES, &text, &status) != IBIS_OK)
		return print_error("read document", &status);
	call.body = text.data;
	if (deployment_send(deployment, 0, &call, &answer, &status) == IBIS_OK)
		return true;
	return print_error("accept document", &status);
}

static bool
is_ready(struct deployment *deployment, uint32_t index)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};

	return deployment_get(deployment, index, "/readyz", &answer) == IBIS_OK;
}

static bool
S_all_ready(void *context)
{
	struct deployment *deployment = context;

	for (uint32_t i = 0; i < deployment->count; i++) {
		if (!is_ready(deployment, i))
			return false;
	}
	return true;
}

static bool
S_document_accepted(void *context)
{
	return submit_document(context);
}

static bool
start_all(struct deployment *deployment)
{
	char layout[DEPLOYMENT_PATH_BYTES];

	format_path(deployment, "layout.json", layout);
	return write_layout(deployment, layout) && start_platform(deployment) &&
	    start_workers(deployment, layout) && start_instances(deployment);
}

bool
deployment_start(
    struct deployment *deployment, const struct deployment_config *config)
{
	const char *temporary = getenv("TMPDIR");

	*deployment =
	    (struct deployment){.config = *config, .count = config->instances};
	if (deployment->count > DEPLOYMENT_MAX_INSTANCES)
		return false;
	(void)snprintf(deployment->directory, sizeof(deployment->directory),
	    "%.180s/ibis.XXXXXX", temporary == NULL ? "/tmp" : temporary);
	if (mkdtemp(deployment->directory) == NULL)
		return false;
	format_path(deployment, "platform.log", deployment->platform_log);
	format_path(deployment, "workers.log", deployment->workers_log);
	if (!start_all(deployment))
		return false;
	if (!deployment_wait(
		S_document_accepted, deployment, SERVING_TIMEOUT_MS))
		return false;
	if (!deployment_wait(S_all_ready, deployment, SERVING_TIMEOUT_MS) ||
	    deployment_wait_lead(deployment, -1, SERVING_TIMEOUT_MS) < 0) {
		(void)fputs("site: an instance is not ready, or there is no "
			    "lead\n",
		    stderr);
		return false;
	}
	return true;
}

void
deployment_kill(struct deployment *deployment, uint32_t instance)
{
	process_kill(&deployment->instances[instance].process);
}

static int
find_instance(const struct deployment *deployment, const char *name)
{
	for (uint32_t i = 0; i < deployment->count; i++) {
		if (strcmp(deployment->instances[i].name, name) == 0)
			return (int)i;
	}
	return -1;
}

int
deployment_lead(struct deployment *deployment)
{
	for (uint32_t i = 0; i < deployment->count; i++) {
		CLEANUP(client_answer_free) struct client_answer answer = {0};
		const struct process *process =
		    &deployment->instances[i].process;

		if (process->pid == 0 || process->frozen)
			continue;
		if (deployment_get(deployment, i, "/v1/status", &answer) ==
		    IBIS_OK)
			return find_instance(
			    deployment, client_string(answer.json, "lead", ""));
	}
	return -1;
}

/* Context of S_has_lead. */
struct lead_wait {
	struct deployment *deployment;
	int excluded;
	int lead;
};

static bool
S_has_lead(void *context)
{
	struct lead_wait *wait = context;
	const struct process *process;

	wait->lead = deployment_lead(wait->deployment);
	if (wait->lead < 0 || wait->lead == wait->excluded)
		return false;
	process = &wait->deployment->instances[wait->lead].process;
	return process->pid > 0 && !process->frozen;
}

int
deployment_wait_lead(
    struct deployment *deployment, int excluded, int32_t timeout_ms)
{
	struct lead_wait wait = {
	    .deployment = deployment, .excluded = excluded};

	return deployment_wait(S_has_lead, &wait, timeout_ms) ? wait.lead : -1;
}

/* Removes the files and the directory of a deployment. */
static void
remove_files(const struct deployment *deployment)
{
	static const char *const names[] = {"platform.log", "platform.err",
	    "workers.log", "workers.err", "layout.json", "settings.jsonc"};
	char path[DEPLOYMENT_PATH_BYTES];

	for (size_t i = 0; i < COUNT_OF(names); i++) {
		format_path(deployment, names[i], path);
		(void)unlink(path);
	}
	for (uint32_t i = 0; i < deployment->count; i++)
		(void)unlink(deployment->instances[i].log);
	(void)rmdir(deployment->directory);
}

void
deployment_stop(struct deployment *deployment, bool keep)
{
	for (uint32_t i = 0; i < deployment->count; i++)
		process_kill(&deployment->instances[i].process);
	process_kill(&deployment->workers);
	process_kill(&deployment->platform);
	if (keep)
		(void)fprintf(
		    stderr, "site: logs kept in %s\n", deployment->directory);
	else
		remove_files(deployment);
}
