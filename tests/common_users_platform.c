#include <inttypes.h>
#include <json-c/json.h>
#include <ne_string.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/fake_json.h"
#include "common/fake_server.h"
#include "common_http.h"
#include "common_users_platform.h"
#include "process/alloc.h"
#include "process/clock.h"

#define ITEMS	       512
#define EVENTS	       4096
#define LEASES	       64
#define RUNS	       64
#define ENDS	       512
#define KEY_BYTES      128
#define TASK_BYTES     64
#define STEP_MS	       5
#define READY_MS       8000
#define CALL_MS	       4000
#define CALLER_PORT    8521
#define READY_PORT     8523
#define INTERNAL_PORT  7000
#define MAX_LEASE_MS   10000
#define CAPACITY_UNITS 8
#define LEAD_KEY       "ibis/lead"

struct item {
	bool used;
	char key[KEY_BYTES];
	char *value; /* base64 */
	uint64_t revision;
	uint64_t lease;
};

struct change {
	char key[KEY_BYTES];
	char *value; /* NULL: deleted */
	uint64_t revision;
	uint64_t lease;
};

struct lease {
	uint64_t id; /* 0: unused */
	int64_t ttl_ms;
	int64_t until_ms;
};

struct run {
	bool used;
	char task[TASK_BYTES];
	int64_t number;
	int64_t ends_ms;
};

struct end {
	int64_t number;
	char task[TASK_BYTES];
	int64_t run;
	const char *how;
};

struct worker {
	struct users_platform *platform;
	uint32_t index;
	struct fake_server *server;
	int64_t fence;
	int64_t lease_until_ms;
	int64_t acked;
	int64_t next_end;
	struct run runs[RUNS];
	struct end ends[ENDS];
	size_t ends_count;
};

struct store_port {
	struct users_platform *platform;
	struct fake_server *server;
	bool away;
	bool blind;
};

struct instance {
	struct process process;
	char ip[32];
	char settings_path[80];
	char log_path[80];
};

struct users_platform {
	pthread_mutex_t lock;
	struct item items[ITEMS];
	struct change changes[EVENTS];
	size_t changes_count;
	struct lease leases[LEASES];
	uint64_t revision;
	uint64_t next_lease;
	bool silent;
	struct store_port ports[USERS_INSTANCES];
	struct worker workers[USERS_WORKERS];
	struct instance instances[USERS_INSTANCES];
	int64_t run_ms;
	uint32_t starts;
	uint32_t doubled;
	uint32_t lead_gaps;
	char folder[64];
};

/*
 * Store.
 */

static struct item *
find_item(struct users_platform *platform, const char *key)
{
	for (size_t i = 0; i < ITEMS; i++) {
		if (platform->items[i].used &&
		    strcmp(platform->items[i].key, key) == 0)
			return &platform->items[i];
	}
	return NULL;
}

static void
note_change(
    struct users_platform *platform, const struct item *item, bool deleted)
{
	struct change *change;

	if (platform->changes_count == EVENTS)
		return;
	change = &platform->changes[platform->changes_count++];
	*change = (struct change){
	    .revision = platform->revision, .lease = item->lease};
	STRING_COPY(change->key, item->key);
	change->value = deleted ? NULL : mem_strdup(item->value);
	if (deleted && strcmp(item->key, LEAD_KEY) == 0)
		platform->lead_gaps++;
}

static void
put_item(struct users_platform *platform, const char *key, const char *value,
    uint64_t lease)
{
	struct item *item = find_item(platform, key);

	for (size_t i = 0; item == NULL && i < ITEMS; i++) {
		if (!platform->items[i].used)
			item = &platform->items[i];
	}
	if (item == NULL)
		return;
	mem_free(item->value);
	*item = (struct item){.used = true,
	    .value = mem_strdup(value),
	    .revision = platform->revision,
	    .lease = lease};
	STRING_COPY(item->key, key);
	note_change(platform, item, false);
}

static void
remove_item(struct users_platform *platform, const char *key)
{
	struct item *item = find_item(platform, key);

	if (item == NULL)
		return;
	note_change(platform, item, true);
	mem_free(item->value);
	*item = (struct item){0};
}

static struct lease *
find_lease(struct users_platform *platform, uint64_t id)
{
	for (size_t i = 0; i < LEASES; i++) {
		if (id != 0 && platform->leases[i].id == id)
			return &platform->leases[i];
	}
	return NULL;
}

static void
end_lease(struct users_platform *platform, struct lease *lease)
{
	for (size_t i = 0; i < ITEMS; i++) {
		if (!platform->items[i].used ||
		    platform->items[i].lease != lease->id)
			continue;
		platform->revision++;
		remove_item(platform, platform->items[i].key);
	}
	lease->id = 0;
}

static void
expire_leases(struct users_platform *platform)
{
	for (size_t i = 0; i < LEASES; i++) {
		struct lease *lease = &platform->leases[i];

		if (lease->id != 0 && clock_now_ms() > lease->until_ms)
			end_lease(platform, lease);
	}
}

static struct json_object *
item_json(const char *key, const char *value, uint64_t revision, uint64_t lease)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "Key", json_object_new_string(key));
	json_object_object_add(
	    json, "Revision", json_object_new_int64((int64_t)revision));
	if (value == NULL) {
		json_object_object_add(
		    json, "Deleted", json_object_new_boolean(true));
		return json;
	}
	json_object_object_add(json, "Value", json_object_new_string(value));
	json_object_object_add(
	    json, "Lease", json_object_new_int64((int64_t)lease));
	return json;
}

static void
answer_list(struct users_platform *platform, const char *prefix,
    struct fake_reply *reply)
{
	struct json_object *body = json_object_new_object();
	struct json_object *items = json_object_new_array();

	for (size_t i = 0; i < ITEMS; i++) {
		const struct item *item = &platform->items[i];

		if (item->used &&
		    strncmp(item->key, prefix, strlen(prefix)) == 0)
			json_object_array_add(items,
			    item_json(item->key, item->value, item->revision,
				item->lease));
	}
	json_object_object_add(body, "items", items);
	json_object_object_add(body, "HasMore", json_object_new_boolean(false));
	json_object_object_add(
	    body, "At", json_object_new_int64((int64_t)platform->revision));
	fake_json_append(&reply->body, body);
}

static size_t
add_events(struct users_platform *platform, const char *prefix, uint64_t after,
    struct json_object *events)
{
	size_t count = 0;

	for (size_t i = 0; i < platform->changes_count; i++) {
		const struct change *change = &platform->changes[i];

		if (change->revision <= after ||
		    strncmp(change->key, prefix, strlen(prefix)) != 0)
			continue;
		json_object_array_add(events,
		    item_json(change->key, change->value, change->revision,
			change->lease));
		count++;
	}
	return count;
}

static void
answer_watch(struct users_platform *platform, const struct store_port *port,
    const struct fake_request *request, struct fake_reply *reply)
{
	const char *prefix = fake_request_query(request, "Prefix");
	uint64_t after = (uint64_t)fake_request_number(request, "After", 0);
	int64_t until_ms =
	    clock_now_ms() + fake_request_number(request, "WaitMs", 0);
	struct json_object *body = json_object_new_object();
	struct json_object *events = json_object_new_array();

	while (
	    (port->blind || add_events(platform, prefix, after, events) == 0) &&
	    clock_now_ms() < until_ms) {
		(void)pthread_mutex_unlock(&platform->lock);
		process_pause(STEP_MS);
		(void)pthread_mutex_lock(&platform->lock);
		expire_leases(platform);
	}
	json_object_object_add(body, "events", events);
	json_object_object_add(body, "At",
	    json_object_new_int64(
		(int64_t)(port->blind ? after : platform->revision)));
	fake_json_append(&reply->body, body);
}

static bool
conditions_hold(struct users_platform *platform, struct json_object *rows,
    struct json_object *present)
{
	bool hold = true;

	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);
		const char *key = fake_json_text(row, "Key", "");
		struct item *item = find_item(platform, key);
		uint64_t revision = item == NULL ? 0 : item->revision;

		if (revision != (uint64_t)fake_json_number(row, "Revision", 0))
			hold = false;
		if (item == NULL)
			continue;
		json_object_array_add(present,
		    item_json(key, item->value, item->revision, item->lease));
	}
	return hold;
}

static void
apply_change(struct users_platform *platform, struct json_object *puts,
    struct json_object *removals)
{
	platform->revision++;
	for (size_t i = 0; i < json_object_array_length(puts); i++) {
		struct json_object *row = json_object_array_get_idx(puts, i);

		put_item(platform, fake_json_text(row, "Key", ""),
		    fake_json_text(row, "Value", ""),
		    (uint64_t)fake_json_number(row, "Lease", 0));
	}
	for (size_t i = 0; i < json_object_array_length(removals); i++)
		remove_item(platform,
		    json_object_get_string(
			json_object_array_get_idx(removals, i)));
}

static void
answer_change(
    struct users_platform *platform, const char *text, struct fake_reply *reply)
{
	struct json_object *body = json_tokener_parse(text);
	struct json_object *answer = json_object_new_object();
	struct json_object *present = json_object_new_array();
	struct json_object *conditions =
	    json_object_object_get(body, "Precondition");

	if (conditions_hold(platform, conditions, present)) {
		apply_change(platform, json_object_object_get(body, "Puts"),
		    json_object_object_get(body, "Remove"));
		json_object_object_add(answer, "Revision",
		    json_object_new_int64((int64_t)platform->revision));
		json_object_put(present);
	} else {
		reply->status = 412;
		json_object_object_add(answer, "items", present);
	}
	fake_json_append(&reply->body, answer);
	json_object_put(body);
}

static void
answer_lease(
    struct users_platform *platform, const char *text, struct fake_reply *reply)
{
	struct json_object *body = json_tokener_parse(text);
	int64_t ttl_ms = fake_json_number(body, "TtlMs", 1000);

	json_object_put(body);
	for (size_t i = 0; i < LEASES; i++) {
		struct lease *lease = &platform->leases[i];

		if (lease->id != 0)
			continue;
		*lease = (struct lease){.id = ++platform->next_lease,
		    .ttl_ms = ttl_ms,
		    .until_ms = clock_now_ms() + ttl_ms};
		buffer_printf(&reply->body,
		    "{\"Lease\":%" PRIu64 ",\"TtlMs\":%" PRId64 "}", lease->id,
		    ttl_ms);
		return;
	}
	reply->status = 429;
}

static void
answer_keep(struct users_platform *platform, uint64_t id, bool end,
    struct fake_reply *reply)
{
	struct lease *lease = find_lease(platform, id);

	if (lease == NULL) {
		reply->status = 404;
		return;
	}
	buffer_printf(&reply->body, "{\"TtlMs\":%" PRId64 "}", lease->ttl_ms);
	if (end)
		end_lease(platform, lease);
	else
		lease->until_ms = clock_now_ms() + lease->ttl_ms;
}

static bool
starts_with(const char *text, const char *prefix, const char **rest)
{
	size_t length = strlen(prefix);

	*rest = text + length;
	return strncmp(text, prefix, length) == 0;
}

static void
store_call(struct users_platform *platform, const struct store_port *port,
    const struct fake_request *request, struct fake_reply *reply)
{
	const char *path = request->path;
	const char *rest;

	expire_leases(platform);
	if (strcmp(path, "/ibistrestle/kv-range") == 0) {
		answer_list(
		    platform, fake_request_query(request, "Prefix"), reply);
	} else if (strcmp(path, "/ibistrestle/kv-watch") == 0) {
		answer_watch(platform, port, request, reply);
	} else if (strcmp(path, "/ibistrestle/kv-txn") == 0) {
		answer_change(platform, request->body, reply);
	} else if (strcmp(path, "/ibistrestle/kv-lease") == 0) {
		answer_lease(platform, request->body, reply);
	} else if (starts_with(path, "/ibistrestle/kv-keep/", &rest)) {
		answer_keep(platform, strtoull(rest, NULL, 10), false, reply);
	} else if (starts_with(path, "/ibistrestle/kv-lease-end/", &rest)) {
		answer_keep(platform, strtoull(rest, NULL, 10), true, reply);
	} else if (strcmp(path, "/ibistrestle/kv-key") == 0) {
		struct item *item =
		    find_item(platform, fake_request_query(request, "Key"));

		reply->status = item == NULL ? 404 : 200;
		if (item != NULL)
			fake_json_append(&reply->body,
			    item_json(item->key, item->value, item->revision,
				item->lease));
	} else {
		reply->status = 404;
	}
}

static void
store_handler(
    void *context, const struct fake_request *request, struct fake_reply *reply)
{
	struct store_port *port = context;
	struct users_platform *platform = port->platform;

	reply->status = 200;
	while (platform->silent)
		process_pause(STEP_MS);
	if (port->away) {
		reply->status = 503;
		return;
	}
	(void)pthread_mutex_lock(&platform->lock);
	store_call(platform, port, request, reply);
	(void)pthread_mutex_unlock(&platform->lock);
}

/*
 * Workers.
 */

static void
list_end(struct worker *worker, struct run *run, const char *how)
{
	struct end *end = &worker->ends[worker->ends_count];

	run->used = false;
	if (worker->ends_count == ENDS)
		return;
	worker->ends_count++;
	*end = (struct end){
	    .number = ++worker->next_end, .run = run->number, .how = how};
	STRING_COPY(end->task, run->task);
}

static void
pass_time(struct worker *worker)
{
	int64_t now_ms = clock_now_ms();

	for (size_t i = 0; i < RUNS; i++) {
		struct run *run = &worker->runs[i];

		if (run->used && now_ms >= run->ends_ms)
			list_end(worker, run, "done");
		else if (run->used && now_ms >= worker->lease_until_ms)
			list_end(worker, run, "lapsed");
	}
}

/* Tells whether a task runs anywhere, or its end has been noted. */
static bool
is_doubled(struct users_platform *platform, const char *task)
{
	for (size_t i = 0; i < USERS_WORKERS; i++) {
		const struct worker *worker = &platform->workers[i];

		for (size_t j = 0; j < RUNS; j++) {
			if (worker->runs[j].used &&
			    strcmp(worker->runs[j].task, task) == 0)
				return true;
		}
		for (size_t j = 0; j < worker->ends_count; j++) {
			const struct end *end = &worker->ends[j];

			if (strcmp(end->task, task) == 0 &&
			    end->number <= worker->acked &&
			    strcmp(end->how, "done") == 0)
				return true;
		}
	}
	return false;
}

static const char *
start_run(struct worker *worker, const char *task, int64_t number)
{
	struct users_platform *platform = worker->platform;

	for (size_t i = 0; i < RUNS; i++) {
		if (worker->runs[i].used && worker->runs[i].number == number &&
		    strcmp(worker->runs[i].task, task) == 0)
			return NULL;
	}
	for (size_t i = 0; i < worker->ends_count; i++) {
		if (worker->ends[i].run >= number &&
		    strcmp(worker->ends[i].task, task) == 0)
			return "old";
	}
	platform->starts++;
	platform->doubled += is_doubled(platform, task);
	for (size_t i = 0; i < RUNS; i++) {
		if (worker->runs[i].used)
			continue;
		worker->runs[i] = (struct run){.used = true,
		    .number = number,
		    .ends_ms = clock_now_ms() + platform->run_ms};
		STRING_COPY(worker->runs[i].task, task);
		return NULL;
	}
	return "room";
}

static void
stop_run(struct worker *worker, const char *task, int64_t number)
{
	struct run absent = {.number = number};

	for (size_t i = 0; i < RUNS; i++) {
		struct run *run = &worker->runs[i];

		if (run->used && run->number == number &&
		    strcmp(run->task, task) == 0) {
			list_end(worker, run, "stopped");
			return;
		}
	}
	STRING_COPY(absent.task, task);
	list_end(worker, &absent, "stopped");
}

static void
extend_lease(struct worker *worker, struct json_object *body)
{
	int64_t until_ms = fake_json_number(body, "HoldUntilMs", 0);
	int64_t latest_ms = clock_now_ms() + MAX_LEASE_MS;

	if (until_ms > latest_ms)
		until_ms = latest_ms;
	if (until_ms > worker->lease_until_ms)
		worker->lease_until_ms = until_ms;
}

static void
append_rows(struct worker *worker, struct buffer *body)
{
	const char *comma = "";

	buffer_printf(body, "{\"ClockMs\":%" PRId64 ",\"born\":1,\"Running\":[",
	    clock_now_ms());
	for (size_t i = 0; i < RUNS; i++) {
		if (!worker->runs[i].used)
			continue;
		buffer_printf(body, "%s[\"%s\",%" PRId64 ",\"\",50,0]", comma,
		    worker->runs[i].task, worker->runs[i].number);
		comma = ",";
	}
	buffer_puts(body, "],\"EndedRuns\":[");
	comma = "";
	for (size_t i = 0; i < worker->ends_count; i++) {
		const struct end *end = &worker->ends[i];

		if (end->number <= worker->acked)
			continue;
		buffer_printf(body,
		    "%s[%" PRId64 ",\"%s\",%" PRId64 ",\"%s\",\"\"]", comma,
		    end->number, end->task, end->run, end->how);
		comma = ",";
	}
	buffer_puts(body, "]}");
}

static void
answer_look(
    struct worker *worker, struct json_object *body, struct fake_reply *reply)
{
	int64_t until_ms = clock_now_ms() + fake_json_number(body, "WaitMs", 0);
	int64_t acked = fake_json_number(body, "AckSeq", 0);

	if (acked > worker->acked)
		worker->acked = acked;
	extend_lease(worker, body);
	while (worker->next_end <= worker->acked && clock_now_ms() < until_ms) {
		(void)pthread_mutex_unlock(&worker->platform->lock);
		process_pause(STEP_MS);
		(void)pthread_mutex_lock(&worker->platform->lock);
		pass_time(worker);
	}
	append_rows(worker, &reply->body);
}

static void
worker_call(struct worker *worker, const struct fake_request *request,
    struct json_object *body, struct fake_reply *reply)
{
	int64_t fence = fake_json_number(body, "FencingToken", 0);
	const char *task = fake_json_text(body, "Task", "");
	int64_t run = fake_json_number(body, "Run", 0);
	const char *reason = NULL;

	pass_time(worker);
	if (fence < worker->fence) {
		reason = "fence";
	} else if (strcmp(request->path, "/ibistrestle/hold") == 0) {
		worker->fence = fence;
		answer_look(worker, body, reply);
		return;
	} else if (strcmp(request->path, "/ibistrestle/run-start") == 0) {
		worker->fence = fence;
		extend_lease(worker, body);
		reason = start_run(worker, task, run);
	} else {
		worker->fence = fence;
		stop_run(worker, task, run);
	}
	if (reason != NULL)
		reply->status = 409;
	buffer_printf(&reply->body,
	    "{\"ClockMs\":%" PRId64 ",\"Reason\":\"%s\"}", clock_now_ms(),
	    reason == NULL ? "" : reason);
}

static void
worker_handler(
    void *context, const struct fake_request *request, struct fake_reply *reply)
{
	struct worker *worker = context;
	struct json_object *body = json_tokener_parse(request->body);

	reply->status = 200;
	(void)pthread_mutex_lock(&worker->platform->lock);
	worker_call(worker, request, body, reply);
	(void)pthread_mutex_unlock(&worker->platform->lock);
	json_object_put(body);
}

/*
 * Set-up.
 */

static void
put_text(struct users_platform *platform, const char *key, const char *text)
{
	char *value = ne_base64((const unsigned char *)text, strlen(text));

	platform->revision++;
	put_item(platform, key, value, 0);
	ne_free(value);
}

static void
put_worker(struct users_platform *platform, const struct worker *worker)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	char key[KEY_BYTES];

	(void)snprintf(key, sizeof(key), "servers/w%" PRIu32, worker->index);
	buffer_printf(&text,
	    "{\"Service\":\"s\",\"Address\":\"%s\",\"Zone\":\"z\",\"State\":"
	    "\"ready\",\"Capacity\":{\"Cpu\":8000,\"MemMb\":8000,\"Gpus\":%d},"
	    "\"Labels\":[\"a\",\"r%" PRIu32 "\"],\"born\":1}",
	    fake_server_address(worker->server), CAPACITY_UNITS,
	    worker->index / 2);
	put_text(platform, key, buffer_string(&text));
}

struct users_platform *
users_platform_start(void)
{
	struct users_platform *platform = mem_calloc(1, sizeof(*platform));

	(void)pthread_mutex_init(&platform->lock, NULL);
	platform->run_ms = 300;
	platform->revision = 10;
	STRING_COPY(platform->folder, "/tmp/ibis-users-XXXXXX");
	if (mkdtemp(platform->folder) == NULL)
		return NULL;
	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		platform->ports[i].platform = platform;
		platform->ports[i].server = fake_server_start(
		    "127.0.0.1:0", store_handler, &platform->ports[i]);
	}
	for (uint32_t i = 0; i < USERS_WORKERS; i++) {
		struct worker *worker = &platform->workers[i];

		worker->platform = platform;
		worker->index = i;
		worker->server =
		    fake_server_start("127.0.0.1:0", worker_handler, worker);
		put_worker(platform, worker);
	}
	put_text(platform, "op/config",
	    "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\","
	    "\"Prefix\":\"/q/\",\"Service\":\"s\",\"Priority\":1,"
	    "\"Attempts\":3,\"Stretch\":3.0,\"TargetLatencyMs\":1000}],"
	    "\"Tenants\":[{\"Name\":\"w\",\"ApiKeys\":[\"k\"]}]}");
	return platform;
}

void
users_platform_stop(struct users_platform *platform)
{
	for (uint32_t i = 0; i < USERS_INSTANCES; i++)
		process_kill(&platform->instances[i].process);
	platform->silent = false;
	for (uint32_t i = 0; i < USERS_INSTANCES; i++) {
		fake_server_stop(platform->ports[i].server);
		if (platform->instances[i].settings_path[0] != '\0')
			(void)unlink(platform->instances[i].settings_path);
		if (platform->instances[i].log_path[0] != '\0')
			(void)unlink(platform->instances[i].log_path);
	}
	for (uint32_t i = 0; i < USERS_WORKERS; i++)
		fake_server_stop(platform->workers[i].server);
	for (size_t i = 0; i < ITEMS; i++)
		mem_free(platform->items[i].value);
	for (size_t i = 0; i < platform->changes_count; i++)
		mem_free(platform->changes[i].value);
	(void)rmdir(platform->folder);
	mem_free(platform);
}

/* Each test process has loopback addresses of its own. */
static void
write_settings(struct users_platform *platform, uint32_t index)
{
	struct instance *instance = &platform->instances[index];
	unsigned int number = (unsigned int)getpid();
	FILE *file;

	(void)snprintf(instance->ip, sizeof(instance->ip), "127.%u.%u.%u",
	    10 + (number >> 8) % 200, number % 256, index + 1);
	(void)snprintf(instance->settings_path, sizeof(instance->settings_path),
	    "%s/%u", platform->folder, (unsigned int)index);
	file = fopen(instance->settings_path, "we");
	if (file == NULL)
		return;
	(void)fprintf(file,
	    "{\"NodeName\":\"i%u\",\"Zone\":\"z\",\"Ip\":\"%s\","
	    "\"ListenAddresses\":{\"Frontend\":\"%s:%d\","
	    "\"Readiness\":\"%s:%d\"},\"InternalPortRange\":[%d,%d],"
	    "\"Bounds\":{\"GraceS\":6},\"platform\":{\"Address\":\"%s\"}}",
	    (unsigned int)index, instance->ip, instance->ip, CALLER_PORT,
	    instance->ip, READY_PORT, INTERNAL_PORT, INTERNAL_PORT + 1,
	    fake_server_address(platform->ports[index].server));
	(void)fclose(file);
}

bool
users_start_instance(struct users_platform *platform, uint32_t index)
{
	struct instance *instance = &platform->instances[index];
	const char *const arguments[] = {"--platform", NULL};

	(void)snprintf(instance->log_path, sizeof(instance->log_path),
	    "%s/%u.log", platform->folder, (unsigned int)index);
	write_settings(platform, index);
	(void)setenv("IBISTRESTLE_CONFIG", instance->settings_path, 1);
	return process_start(&instance->process, "ibistrestled", arguments,
	    instance->log_path, READY_MS);
}

bool
users_start_unread(struct users_platform *platform, uint32_t index, int output)
{
	struct instance *instance = &platform->instances[index];
	const char *const arguments[] = {
	    "--platform", "--log-level", "debug", NULL};

	write_settings(platform, index);
	(void)setenv("IBISTRESTLE_CONFIG", instance->settings_path, 1);
	return process_start_unread(
	    &instance->process, "ibistrestled", arguments, "/dev/null", output);
}

struct process *
users_instance(struct users_platform *platform, uint32_t index)
{
	return &platform->instances[index].process;
}

void
users_turn_away(struct users_platform *platform, uint32_t index, bool away)
{
	platform->ports[index].away = away;
}

void
users_store_silent(struct users_platform *platform, bool silent)
{
	platform->silent = silent;
}

void
users_blind(struct users_platform *platform, uint32_t index, bool blind)
{
	platform->ports[index].blind = blind;
}

void
users_drop_lead(struct users_platform *platform)
{
	struct item *item;

	(void)pthread_mutex_lock(&platform->lock);
	item = find_item(platform, LEAD_KEY);
	if (item != NULL && find_lease(platform, item->lease) != NULL)
		end_lease(platform, find_lease(platform, item->lease));
	(void)pthread_mutex_unlock(&platform->lock);
}

static bool
is_ready(const struct instance *instance)
{
	char address[64];

	(void)snprintf(
	    address, sizeof(address), "%s:%d", instance->ip, READY_PORT);
	return http_ask(address, "GET /ibistrestle/ready", CALL_MS) == 200;
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
			process_pause(STEP_MS * 4);
		}
	}
	return true;
}

int
users_lead(struct users_platform *platform)
{
	int lead = -1;
	struct item *item;

	(void)pthread_mutex_lock(&platform->lock);
	expire_leases(platform);
	item = find_item(platform, LEAD_KEY);
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
    struct users_platform *platform, int not_this, int32_t timeout_ms)
{
	int64_t until_ms = clock_now_ms() + timeout_ms;

	while (users_lead(platform) < 0 || users_lead(platform) == not_this) {
		if (clock_now_ms() > until_ms)
			return false;
		process_pause(STEP_MS);
	}
	return true;
}

/* One call to an instance's port; the status, or 0 without an answer. */
static int
call_port(const struct instance *instance, int port, const char *method,
    const char *path, const char *body, struct buffer *answer)
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
	    "%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n"
	    "Deadline-Ms: 3000\r\nContent-Length: %zu\r\n"
	    "Connection: close\r\n\r\n%s",
	    method, path, strlen(body), body);
	buffer_clear(answer);
	if (http_write(fd, buffer_string(&request)) &&
	    http_read(fd, answer, CALL_MS) == HTTP_WHOLE)
		status = http_status(answer);
	(void)close(fd);
	return status;
}

int
users_call(struct users_platform *platform, uint32_t instance,
    const char *method, const char *path, const char *body,
    struct buffer *answer)
{
	return call_port(&platform->instances[instance], CALLER_PORT, method,
	    path, body, answer);
}

int
users_ask(struct users_platform *platform, uint32_t instance, const char *path,
    struct buffer *answer)
{
	return call_port(&platform->instances[instance], INTERNAL_PORT, "GET",
	    path, "", answer);
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
users_wait_completed(struct users_platform *platform, uint32_t instance,
    uint32_t number, int32_t timeout_ms)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	int64_t until_ms = clock_now_ms() + timeout_ms;
	char path[64];

	(void)snprintf(path, sizeof(path), "/q/%016" PRIx32, number);
	while (clock_now_ms() < until_ms) {
		if (users_call(platform, instance, "GET", path, "", &answer) ==
			200 &&
		    strstr(buffer_string(&answer), "\"completed\"") != NULL)
			return true;
		process_pause(STEP_MS * 4);
	}
	return false;
}

void
users_set_run_ms(struct users_platform *platform, int64_t run_ms)
{
	platform->run_ms = run_ms;
}

uint32_t
users_lead_gaps(struct users_platform *platform)
{
	return platform->lead_gaps;
}

uint32_t
users_starts(struct users_platform *platform)
{
	return platform->starts;
}

uint32_t
users_doubled(struct users_platform *platform)
{
	return platform->doubled;
}
