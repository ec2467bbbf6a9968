#include <inttypes.h>
#include <ne_string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common_http.h"
#include "common_users_state.h"
#include "process/alloc.h"
#include "process/clock.h"

#define READY_MS	    8000
#define CONFIG_APPLY_MS	    3000
#define CALL_MS		    4000
#define CALLER_PORT	    8521
#define READY_PORT	    8523
#define INTERNAL_PORT	    7000
#define WORKER_ACCELERATORS 8

static void
put_text(struct users_platform *platform, const char *key, const char *text)
{
	char *value = ne_base64((const unsigned char *)text, strlen(text));

	platform->revision++;
	users_put_item(platform, key, value, 0);
	ne_free(value);
}

void
users_put_worker(
    struct users_platform *platform, const struct users_worker *worker)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	char id[USERS_KEY_BYTES / 2];
	char key[USERS_KEY_BYTES];

	users_worker_id(worker, id, sizeof(id));
	(void)snprintf(key, sizeof(key), "servers/%s", id);
	buffer_printf(&text,
	    "{\"Service\":\"s\",\"Address\":\"%s\",\"Zone\":\"z\",\"State\":"
	    "\"%s\",\"Capacity\":{\"Cpu\":8000,\"MemMb\":8000,\"Gpus\":%" PRIu32
	    "},"
	    "\"Labels\":[\"a\",\"r%" PRIu32 "\"],\"born\":%" PRId64 "}",
	    fake_server_address(worker->server),
	    worker->draining ? "draining" : "ready", worker->accelerators,
	    worker->index / 2, worker->incarnation);
	put_text(platform, key, buffer_string(&text));
}

void
users_put_entry(struct users_platform *platform, const char *key,
    const void *value, size_t length)
{
	char *text = ne_base64(value, length);

	(void)pthread_mutex_lock(&platform->lock);
	platform->revision++;
	users_put_item(platform, key, text, 0);
	(void)pthread_mutex_unlock(&platform->lock);
	ne_free(text);
}

void
users_set_odd_rows(
    struct users_platform *platform, const char *runs, const char *ends)
{
	(void)pthread_mutex_lock(&platform->lock);
	platform->odd_runs = runs;
	platform->odd_ends = ends;
	(void)pthread_mutex_unlock(&platform->lock);
}

/* Appends the routes that a large configuration has besides the usual ones. */
static void
append_extra_routes(const struct users_config *config, struct buffer *text)
{
	for (uint32_t i = 0; i < config->extra_routes; i++)
		buffer_printf(text,
		    ",{\"Name\":\"x%" PRIu32 "\",\"Host\":\"large.example\","
		    "\"Prefix\":\"/large-%" PRIu32 "/\","
		    "\"Kind\":\"non_idempotent\",\"TimeoutMs\":3000,"
		    "\"TargetLatencyMs\":3000,\"Priority\":2,"
		    "\"Service\":\"s\",\"Attempts\":4,\"Stretch\":3.0,"
		    "\"Public\":false}",
		    i, i);
}

void
users_set_config(
    struct users_platform *platform, const struct users_config *config)
{
	CLEANUP(buffer_free) struct buffer text = {0};

	buffer_printf(&text,
	    "{\"Version\":%" PRIu32
	    ",\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\","
	    "\"Prefix\":\"/q/\",\"Service\":\"%s\",\"Priority\":1,"
	    "\"Attempts\":3,\"Stretch\":3.0,\"TargetLatencyMs\":1000},"
	    "{\"Name\":\"version\",\"Host\":\"h\",\"Prefix\":\"/v%" PRIu32
	    "/\",\"Service\":\"s\"},"
	    "{\"Name\":\"advised\",\"Host\":\"h\",\"Prefix\":\"/advised/\","
	    "\"Service\":\"s\",\"Priority\":1,\"Attempts\":3,"
	    "\"Advice\":{\"DecisionMs\":5,\"PerWorkerMs\":1,"
	    "\"ValidMs\":9000}}",
	    config->version, config->service, config->version);
	append_extra_routes(config, &text);
	buffer_puts(
	    &text, "],\"Tenants\":[{\"Name\":\"w\",\"ApiKeys\":[\"k\"]}]}");
	(void)pthread_mutex_lock(&platform->lock);
	put_text(platform, "op/config", buffer_string(&text));
	(void)pthread_mutex_unlock(&platform->lock);
}

void
users_evacuate(struct users_platform *platform, const char *zone)
{
	char key[USERS_KEY_BYTES];

	(void)snprintf(key, sizeof(key), "op/evacuate/%s", zone);
	(void)pthread_mutex_lock(&platform->lock);
	put_text(platform, key, "{}");
	(void)pthread_mutex_unlock(&platform->lock);
}

struct users_platform *
users_platform_start(void)
{
	struct users_platform *platform = mem_calloc(1, sizeof(*platform));

	(void)pthread_mutex_init(&platform->lock, NULL);
	platform->run_ms = 300;
	platform->odd_runs = "";
	platform->odd_ends = "";
	platform->revision = 10;
	STRING_COPY(platform->folder, "/tmp/ibis-users-XXXXXX");
	if (mkdtemp(platform->folder) == NULL)
		return NULL;
	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		platform->instances[i].config_apply_ms = CONFIG_APPLY_MS;
		platform->listeners[i].platform = platform;
		fake_link_init(&platform->listeners[i].link);
		platform->listeners[i].server = fake_server_start("127.0.0.1:0",
		    users_store_handler, &platform->listeners[i]);
	}
	for (uint32_t i = 0; i < USERS_WORKERS; i++) {
		struct users_worker *worker = &platform->workers[i];

		worker->platform = platform;
		worker->index = i;
		worker->incarnation = 1;
		worker->accelerators = WORKER_ACCELERATORS;
		worker->server = fake_server_start(
		    "127.0.0.1:0", users_worker_handler, worker);
		users_put_worker(platform, worker);
	}
	users_set_config(
	    platform, &(struct users_config){.version = 1, .service = "s"});
	return platform;
}

void
users_shrink_workers(struct users_platform *platform, uint32_t accelerators)
{
	(void)pthread_mutex_lock(&platform->lock);
	platform->reports_capacity = true;
	for (uint32_t i = 0; i < USERS_WORKERS; i++) {
		platform->workers[i].accelerators = accelerators;
		users_put_worker(platform, &platform->workers[i]);
	}
	(void)pthread_mutex_unlock(&platform->lock);
}

uint32_t
users_over_capacity_starts(struct users_platform *platform)
{
	uint32_t count;

	(void)pthread_mutex_lock(&platform->lock);
	count = platform->over_capacity_starts;
	(void)pthread_mutex_unlock(&platform->lock);
	return count;
}

void
users_drain_workers(struct users_platform *platform)
{
	(void)pthread_mutex_lock(&platform->lock);
	for (uint32_t i = 0; i < USERS_WORKERS; i++) {
		platform->workers[i].draining = true;
		users_put_worker(platform, &platform->workers[i]);
	}
	(void)pthread_mutex_unlock(&platform->lock);
}

void
users_restart_workers(struct users_platform *platform)
{
	(void)pthread_mutex_lock(&platform->lock);
	for (uint32_t i = 0; i < USERS_WORKERS; i++) {
		users_reset_worker(&platform->workers[i]);
		users_put_worker(platform, &platform->workers[i]);
	}
	(void)pthread_mutex_unlock(&platform->lock);
}

bool
users_workers_fenced(struct users_platform *platform)
{
	const struct users_item *lead;
	bool fenced = true;

	(void)pthread_mutex_lock(&platform->lock);
	lead = users_find_item(platform, "ibis/lead");
	for (uint32_t i = 0; i < USERS_WORKERS; i++)
		fenced = fenced && lead != NULL &&
		    platform->workers[i].fencing_token >
			(int64_t)lead->revision;
	(void)pthread_mutex_unlock(&platform->lock);
	return fenced;
}

void
users_platform_stop(struct users_platform *platform)
{
	for (uint32_t i = 0; i < USERS_INSTANCES; i++)
		process_kill(&platform->instances[i].process);
	platform->hanging = false;
	platform->hanging_prefix = NULL;
	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		fake_server_stop(platform->listeners[i].server);
		fake_link_destroy(&platform->listeners[i].link);
		if (platform->instances[i].settings_path[0] != '\0')
			(void)unlink(platform->instances[i].settings_path);
		if (platform->instances[i].log_path[0] != '\0')
			(void)unlink(platform->instances[i].log_path);
	}
	for (uint32_t i = 0; i < USERS_WORKERS; i++)
		fake_server_stop(platform->workers[i].server);
	for (size_t i = 0; i < USERS_MAX_ITEMS; i++)
		mem_free(platform->items[i].value);
	for (size_t i = 0; i < platform->changes_count; i++)
		mem_free(platform->changes[i].value);
	(void)rmdir(platform->folder);
	mem_free(platform);
}

/* The process id selects the loopback addresses, so that test processes that
 * run at the same time use different ones. */
static void
write_settings(struct users_platform *platform, uint32_t index)
{
	struct users_instance_state *instance = &platform->instances[index];
	unsigned int number = (unsigned int)getpid();
	char limits[64] = "";
	FILE *file;

	(void)snprintf(instance->ip, sizeof(instance->ip), "127.%u.%u.%u",
	    10 + (number >> 8) % 200, number % 256, index + 1);
	(void)snprintf(instance->settings_path, sizeof(instance->settings_path),
	    "%s/%u", platform->folder, (unsigned int)index);
	file = fopen(instance->settings_path, "we");
	if (file == NULL)
		return;
	if (instance->memory_mb > 0)
		(void)snprintf(limits, sizeof(limits),
		    "\"Limits\":{\"MemoryMb\":%d,\"MaxOpenFiles\":%d},",
		    (int)instance->memory_mb, (int)instance->descriptors);
	(void)fprintf(file,
	    "{%s\"NodeName\":\"i%u\",\"Zone\":\"z\",\"Ip\":\"%s\","
	    "\"ListenAddresses\":{\"Frontend\":\"%s:%d\","
	    "\"Readiness\":\"%s:%d\"},\"InternalPortRange\":[%d,%d],"
	    "\"Bounds\":{\"GraceS\":6,\"ConfigApplyMs\":%d},"
	    "\"platform\":{\"Address\":\"%s\"}}",
	    limits, (unsigned int)index, instance->ip, instance->ip,
	    CALLER_PORT, instance->ip, READY_PORT, INTERNAL_PORT,
	    INTERNAL_PORT + 1, (int)instance->config_apply_ms,
	    fake_server_address(platform->listeners[index].server));
	(void)fclose(file);
}

/* Writes an instance's settings and passes their path on by the environment. */
static void
prepare_instance(struct users_platform *platform, uint32_t index)
{
	struct users_instance_state *instance = &platform->instances[index];

	(void)snprintf(instance->log_path, sizeof(instance->log_path),
	    "%s/%u.log", platform->folder, (unsigned int)index);
	write_settings(platform, index);
	(void)setenv("IBISTRESTLE_CONFIG", instance->settings_path, 1);
}

bool
users_start_instance(struct users_platform *platform, uint32_t index)
{
	struct users_instance_state *instance = &platform->instances[index];
	const char *const arguments[] = {"--platform", NULL};

	prepare_instance(platform, index);
	return process_start(&instance->process, "ibistrestled", arguments,
	    instance->log_path, READY_MS);
}

bool
users_start_no_wait(struct users_platform *platform, uint32_t index)
{
	struct users_instance_state *instance = &platform->instances[index];
	const char *const arguments[] = {"--platform", NULL};

	prepare_instance(platform, index);
	return process_start_no_wait(&instance->process, "ibistrestled",
	    arguments, instance->log_path, -1);
}

void
users_change_settings(
    struct users_platform *platform, uint32_t instance, int32_t config_apply_ms)
{
	platform->instances[instance].config_apply_ms = config_apply_ms;
	write_settings(platform, instance);
}

void
users_set_limits(
    struct users_platform *platform, int32_t memory_mb, int32_t descriptors)
{
	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		platform->instances[i].memory_mb = memory_mb;
		platform->instances[i].descriptors = descriptors;
	}
}

const char *
users_log_path(const struct users_platform *platform, uint32_t instance)
{
	return platform->instances[instance].log_path;
}

bool
users_start_with_output(
    struct users_platform *platform, uint32_t index, int output)
{
	struct users_instance_state *instance = &platform->instances[index];
	const char *const arguments[] = {
	    "--platform", "--log-level", "debug", NULL};

	prepare_instance(platform, index);
	return process_start_no_wait(
	    &instance->process, "ibistrestled", arguments, "/dev/null", output);
}

bool
users_start_all(struct users_platform *platform)
{
	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		if (!users_start_no_wait(platform, i))
			return false;
	}
	return users_wait_ready(platform, READY_MS) &&
	    users_wait_lead(platform, -1, READY_MS);
}

struct process *
users_instance(struct users_platform *platform, uint32_t index)
{
	return &platform->instances[index].process;
}

void
users_store_reject(
    struct users_platform *platform, uint32_t index, bool rejecting)
{
	platform->listeners[index].rejecting = rejecting;
}

void
users_store_hang(struct users_platform *platform, bool hanging)
{
	platform->hanging = hanging;
}

void
users_store_hang_reads(struct users_platform *platform, const char *prefix)
{
	platform->hanging_prefix = prefix;
}

void
users_store_limit_rate(struct users_platform *platform, int64_t bytes_per_s)
{
	for (uint32_t i = 0; i < USERS_INSTANCES; i++)
		fake_link_set_rate(&platform->listeners[i].link, bytes_per_s);
}

void
users_store_delay(struct users_platform *platform, int64_t delay_ms)
{
	platform->delay_ms = delay_ms;
}

void
users_store_compact(struct users_platform *platform)
{
	(void)pthread_mutex_lock(&platform->lock);
	platform->compacted_revision = platform->revision;
	(void)pthread_mutex_unlock(&platform->lock);
}

void
users_suppress_events(
    struct users_platform *platform, uint32_t index, bool events_suppressed)
{
	platform->listeners[index].events_suppressed = events_suppressed;
}

void
users_revoke_lead_lease(struct users_platform *platform)
{
	struct users_item *item;

	(void)pthread_mutex_lock(&platform->lock);
	item = users_find_item(platform, USERS_LEAD_KEY);
	if (item != NULL && users_find_lease(platform, item->lease) != NULL)
		users_end_lease(
		    platform, users_find_lease(platform, item->lease));
	(void)pthread_mutex_unlock(&platform->lock);
}

static bool
is_ready(const struct users_instance_state *instance)
{
	char address[64];

	(void)snprintf(
	    address, sizeof(address), "%s:%d", instance->ip, READY_PORT);
	return http_request_status(
		   address, "GET /ibistrestle/ready", CALL_MS) == 200;
}

bool
users_wait_ready(struct users_platform *platform, int32_t timeout_ms)
{
	int64_t until_ms = clock_now_ms() + timeout_ms;

	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		if (platform->instances[i].process.pid == 0)
			continue;
		while (!is_ready(&platform->instances[i])) {
			if (clock_now_ms() > until_ms)
				return false;
			process_sleep(USERS_POLL_INTERVAL_MS * 4);
		}
	}
	return true;
}

int
users_lead_index(struct users_platform *platform)
{
	int lead = -1;
	struct users_item *item;

	(void)pthread_mutex_lock(&platform->lock);
	users_expire_leases(platform);
	item = users_find_item(platform, USERS_LEAD_KEY);
	if (item != NULL) {
		unsigned char *name = NULL;
		size_t length = ne_unbase64(item->value, &name);

		if (length == 2)
			lead = name[1] - '0';
		ne_free(name);
	}
	(void)pthread_mutex_unlock(&platform->lock);
	return lead;
}

bool
users_wait_lead(
    struct users_platform *platform, int excluded, int32_t timeout_ms)
{
	int64_t until_ms = clock_now_ms() + timeout_ms;

	while (users_lead_index(platform) < 0 ||
	    users_lead_index(platform) == excluded) {
		if (clock_now_ms() > until_ms)
			return false;
		process_sleep(USERS_POLL_INTERVAL_MS);
	}
	return true;
}

static const struct users_caller usual_caller = {.host = "h", .key = "k"};

/* Sends a request to an instance's port; the status, 0 without an answer. */
static int
call_port(const struct users_instance_state *instance, int port,
    const struct users_caller *caller, const char *method, const char *path,
    const char *body, struct buffer *answer)
{
	CLEANUP(buffer_free) struct buffer request = {0};
	char address[64];
	int status = 0;
	int fd;

	(void)snprintf(address, sizeof(address), "%s:%d", instance->ip, port);
	fd = http_connect(address);
	if (fd < 0)
		return 0;
	buffer_printf(&request,
	    "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n"
	    "Deadline-Ms: 3000\r\nContent-Length: %zu\r\n"
	    "Connection: close\r\n\r\n%s",
	    method, path, caller->host, caller->key, strlen(body), body);
	buffer_clear(answer);
	if (http_write(fd, buffer_string(&request)) &&
	    http_read(fd, answer, CALL_MS) == HTTP_COMPLETE)
		status = http_status(answer);
	(void)close(fd);
	return status;
}

int
users_call(struct users_platform *platform, uint32_t instance,
    const char *method, const char *path, const char *body,
    struct buffer *answer)
{
	return users_call_as(
	    platform, instance, &usual_caller, method, path, body, answer);
}

int
users_call_as(struct users_platform *platform, uint32_t instance,
    const struct users_caller *caller, const char *method, const char *path,
    const char *body, struct buffer *answer)
{
	return call_port(&platform->instances[instance], CALLER_PORT, caller,
	    method, path, body, answer);
}

void
users_caller_address(const struct users_platform *platform, uint32_t instance,
    char *address, size_t bytes)
{
	(void)snprintf(address, bytes, "%s:%d",
	    platform->instances[instance].ip, CALLER_PORT);
}

void
users_ready_address(const struct users_platform *platform, uint32_t instance,
    char *address, size_t bytes)
{
	(void)snprintf(address, bytes, "%s:%d",
	    platform->instances[instance].ip, READY_PORT);
}

void
users_internal_address(const struct users_platform *platform, uint32_t instance,
    char *address, size_t bytes)
{
	(void)snprintf(address, bytes, "%s:%d",
	    platform->instances[instance].ip, INTERNAL_PORT);
}

int
users_get_internal(struct users_platform *platform, uint32_t instance,
    const char *path, struct buffer *answer)
{
	return call_port(&platform->instances[instance], INTERNAL_PORT,
	    &usual_caller, "GET", path, "", answer);
}

int
users_post_internal(struct users_platform *platform, uint32_t instance,
    const char *path, const char *body, struct buffer *answer)
{
	return call_port(&platform->instances[instance], INTERNAL_PORT,
	    &usual_caller, "POST", path, body, answer);
}

int
users_submit(struct users_platform *platform, uint32_t instance,
    uint32_t number, uint32_t tasks)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	CLEANUP(buffer_free) struct buffer body = {0};
	char path[64];

	(void)snprintf(path, sizeof(path), "/q/%016" PRIx32, number);
	buffer_printf(&body,
	    "{\"Spec\":\"x\",\"Steps\":[{\"Count\":%" PRIu32
	    ",\"Cpu\":100,\"Gpus\":1,\"EstimateMs\":300}]}",
	    tasks);
	return users_call(
	    platform, instance, "POST", path, buffer_string(&body), &answer);
}

bool
users_wait_state(struct users_platform *platform, uint32_t instance,
    uint32_t number, const char *state, int32_t timeout_ms)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	int64_t until_ms = clock_now_ms() + timeout_ms;
	char path[64];

	(void)snprintf(path, sizeof(path), "/q/%016" PRIx32, number);
	while (clock_now_ms() < until_ms) {
		if (users_call(platform, instance, "GET", path, "", &answer) ==
			200 &&
		    strstr(buffer_string(&answer), state) != NULL)
			return true;
		process_sleep(USERS_POLL_INTERVAL_MS * 4);
	}
	return false;
}

bool
users_wait_completed(struct users_platform *platform, uint32_t instance,
    uint32_t number, int32_t timeout_ms)
{
	return users_wait_state(
	    platform, instance, number, "\"completed\"", timeout_ms);
}

void
users_crash_workers(struct users_platform *platform, uint32_t number)
{
	(void)pthread_mutex_lock(&platform->lock);
	(void)snprintf(platform->crashing_task, sizeof(platform->crashing_task),
	    "%016" PRIx32 ".0.0.0", number);
	(void)pthread_mutex_unlock(&platform->lock);
}

uint32_t
users_worker_crashes(struct users_platform *platform)
{
	uint32_t crashes;

	(void)pthread_mutex_lock(&platform->lock);
	crashes = platform->worker_crashes;
	(void)pthread_mutex_unlock(&platform->lock);
	return crashes;
}

void
users_set_run_ms(struct users_platform *platform, int64_t run_ms)
{
	platform->run_ms = run_ms;
}

uint32_t
users_lead_key_deletions(struct users_platform *platform)
{
	return platform->lead_key_deletions;
}

uint32_t
users_started_runs(struct users_platform *platform)
{
	return platform->started_runs;
}

uint32_t
users_duplicate_starts(struct users_platform *platform)
{
	return platform->duplicate_starts;
}
