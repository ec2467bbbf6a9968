#include <inttypes.h>
#include <json-c/json.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "common/fake_json.h"
#include "common/fake_log.h"
#include "connection/http_client.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "workers/worker_pool.h"
#include "workers/worker_fault.h"
#include "workers/sync.h"
#include "workers/worker.h"

#define ADMIN_PATH	    "/admin/workers/"
#define WORKER_PATH	    "/workers/"
#define ANSWER_SUFFIX	    "/answer"
#define ADVANCE_INTERVAL_MS 5
#define MAX_HANG_MS	    60000
#define REGISTER_TIMEOUT_MS 2000
#define INCARNATION_BITS    30
#define FROZEN_POLL_MS	    5

struct worker_pool {
	struct worker_pool_config config;
	pthread_mutex_t lock;
	pthread_t advance_thread;
	bool thread_started;
	atomic_bool stopping;
	struct pool_worker *workers;
	size_t count;
	size_t capacity;
};

struct worker_pool *
worker_pool_new(const struct worker_pool_config *config)
{
	struct worker_pool *pool = mem_calloc(1, sizeof(*pool));

	pool->config = *config;
	(void)pthread_mutex_init(&pool->lock, NULL);
	return pool;
}

void
worker_pool_free(struct worker_pool *pool)
{
	for (size_t i = 0; i < pool->count; i++)
		fake_worker_free_tasks(&pool->workers[i].model);
	mem_free(pool->workers);
	(void)pthread_mutex_destroy(&pool->lock);
	mem_free(pool);
}

void
worker_pool_add(struct worker_pool *pool, const char *name,
    const char *availability_zone, const char *rack, uint32_t accelerators)
{
	struct fake_worker *model;

	pool->workers = mem_grow(pool->workers, &pool->capacity,
	    pool->count + 1, sizeof(*pool->workers));
	model = &pool->workers[pool->count++].model;
	STRING_COPY(model->name, name);
	STRING_COPY(model->availability_zone, availability_zone);
	STRING_COPY(model->rack, rack);
	model->accelerators = accelerators;
	model->time_scale = pool->config.time_scale;
	model->checkpoint_ms = pool->config.checkpoint_ms;
	model->incarnation = 1 +
	    (XXH64(name, strlen(name), pool->config.seed) >>
		(64 - INCARNATION_BITS));
}

bool
worker_pool_read_layout(struct worker_pool *pool, const char *path)
{
	struct json_object *list = json_object_from_file(path);
	bool usable = json_object_is_type(list, json_type_array);

	for (size_t i = 0; usable && i < json_object_array_length(list); i++) {
		struct json_object *entry = json_object_array_get_idx(list, i);

		worker_pool_add(pool, fake_json_text(entry, "name", ""),
		    fake_json_text(entry, "availability_zone", ""),
		    fake_json_text(entry, "rack", ""),
		    (uint32_t)fake_json_number(entry, "accelerators", 0));
	}
	if (!usable)
		(void)fprintf(
		    stderr, "%s: not a JSON array of workers\n", path);
	json_object_put(list);
	return usable;
}

static void *
S_advance_workers(void *context)
{
	struct worker_pool *pool = context;

	while (!pool->stopping) {
		(void)pthread_mutex_lock(&pool->lock);
		for (size_t i = 0; i < pool->count; i++)
			fake_worker_advance(
			    &pool->workers[i].model, clock_now_ms());
		(void)pthread_mutex_unlock(&pool->lock);
		fake_sleep(ADVANCE_INTERVAL_MS, &pool->stopping);
	}
	return NULL;
}

bool
worker_pool_start(struct worker_pool *pool)
{
	pool->thread_started = pthread_create(&pool->advance_thread, NULL,
				   S_advance_workers, pool) == 0;
	return pool->thread_started;
}

void
worker_pool_stop(struct worker_pool *pool)
{
	pool->stopping = true;
	if (pool->thread_started)
		(void)pthread_join(pool->advance_thread, NULL);
}

static bool
register_worker(struct http_client *http, const char *address, const char *name)
{
	CLEANUP(buffer_free) struct buffer path = {0};
	CLEANUP(buffer_free) struct buffer body = {0};
	struct http_response response;
	struct http_request request;
	bool registered;

	buffer_printf(&path, "%s%s", ADMIN_PATH, name);
	buffer_printf(&body, "{\"address\": \"%s%s%s\", \"state\": \"live\"}",
	    address, WORKER_PATH, name);
	request = (struct http_request){
	    .method = "PUT",
	    .path = path.data,
	    .body = body.data,
	    .body_length = body.length,
	};
	registered =
	    http_client_call(http, &request, &response, NULL) == IBIS_OK &&
	    response.status == 200;
	buffer_free(&response.body);
	return registered;
}

bool
worker_pool_register(
    struct worker_pool *pool, const char *platform, const char *address)
{
	struct http_client *http =
	    http_client_new(platform, REGISTER_TIMEOUT_MS);
	bool registered = true;

	for (size_t i = 0; registered && i < pool->count; i++)
		registered =
		    register_worker(http, address, pool->workers[i].model.name);
	http_client_free(http);
	return registered;
}

/* Returns the worker named by the first segment of the path, or NULL. *rest is
 * the remaining path. */
static struct pool_worker *
find_worker_by_path(
    struct worker_pool *pool, const char *path, const char **rest)
{
	size_t length = strcspn(path, "/");

	*rest = path + length;
	for (size_t i = 0; i < pool->count; i++) {
		const char *name = pool->workers[i].model.name;

		if (strlen(name) == length && strncmp(name, path, length) == 0)
			return &pool->workers[i];
	}
	return NULL;
}

static bool
apply_fault(struct worker_pool *pool, struct pool_worker *worker,
    struct json_object *body, const char *mode)
{
	bool all_known = true;

	(void)pthread_mutex_lock(&pool->lock);
	for (size_t i = 0; i < pool->count; i++) {
		struct pool_worker *candidate = &pool->workers[i];

		if (worker == NULL || worker == candidate)
			all_known = worker_fault_set(candidate, body, mode) &&
			    all_known;
	}
	(void)pthread_mutex_unlock(&pool->lock);
	return all_known;
}

static void
handle_fault(struct worker_pool *pool, struct pool_worker *worker,
    const struct fake_request *request, struct fake_reply *reply)
{
	struct json_object *body = json_tokener_parse(request->body);

	if (!apply_fault(pool, worker, body, fake_json_text(body, "mode", "")))
		fake_reply_error(reply, 400, "unknown fault mode or verb");
	json_object_put(body);
}

static void
handle_admin(struct worker_pool *pool, const char *path,
    const struct fake_request *request, struct fake_reply *reply)
{
	bool all = strncmp(path, "*/", 2) == 0;
	const char *rest = path + 1;
	struct pool_worker *worker =
	    all ? NULL : find_worker_by_path(pool, path, &rest);

	if (worker == NULL && !all) {
		fake_reply_error(reply, 404, "no such worker");
		return;
	}
	if (strcmp(rest, "/fault") == 0) {
		handle_fault(pool, worker, request, reply);
		return;
	}
	if (worker == NULL || *rest != '\0') {
		fake_reply_error(reply, 404, "no such path");
		return;
	}
	(void)pthread_mutex_lock(&pool->lock);
	sync_append_report(
	    &worker->model, REPORT_OK, clock_now_ms(), &reply->body);
	(void)pthread_mutex_unlock(&pool->lock);
}

static bool
is_frozen(struct worker_pool *pool, const struct pool_worker *worker)
{
	bool frozen;

	(void)pthread_mutex_lock(&pool->lock);
	frozen = worker->model.condition == WORKER_FROZEN;
	(void)pthread_mutex_unlock(&pool->lock);
	return frozen;
}

static void
wait_while_frozen(struct worker_pool *pool, const struct pool_worker *worker)
{
	while (!pool->stopping && is_frozen(pool, worker))
		fake_sleep(FROZEN_POLL_MS, &pool->stopping);
}

/* Blocks until the pool stops or MAX_HANG_MS have passed, then closes the
 * connection without a reply. */
static void
hang_until_stop(const struct worker_pool *pool, struct fake_reply *reply)
{
	fake_sleep(MAX_HANG_MS, &pool->stopping);
	reply->cut = true;
}

/* Executes the commands and writes the report. The caller holds the lock. */
static void
execute_commands(struct pool_worker *worker,
    const struct worker_command *commands, size_t count,
    enum report_fault fault, struct fake_reply *reply)
{
	int64_t now_ms = clock_now_ms();
	size_t answers;

	fake_worker_advance(&worker->model, now_ms);
	for (size_t i = 0; i < count; i++)
		fake_worker_execute(&worker->model, &commands[i], now_ms);
	worker_fault_trigger(worker, commands, count, true);
	answers =
	    sync_append_report(&worker->model, fault, now_ms, &reply->body);
	if (fault != REPORT_OK)
		fake_log("event=spoil worker=%s answers=%zu",
		    worker->model.name, answers);
	reply->cut = worker->model.condition == WORKER_DEAD;
}

static void
sync_commands(struct worker_pool *pool, struct pool_worker *worker,
    const struct fake_request *request, const struct worker_command *commands,
    size_t count, struct fake_reply *reply)
{
	struct request_faults faults;

	(void)pthread_mutex_lock(&pool->lock);
	worker_fault_trigger(worker, commands, count, false);
	faults = worker_fault_for_request(worker, request);
	worker_fault_count_sync(worker);
	(void)pthread_mutex_unlock(&pool->lock);
	reply->cut = faults.cut;
	if (faults.hang)
		hang_until_stop(pool, reply);
	if (reply->cut)
		return;
	wait_while_frozen(pool, worker);
	(void)pthread_mutex_lock(&pool->lock);
	execute_commands(worker, commands, count, faults.report, reply);
	(void)pthread_mutex_unlock(&pool->lock);
	fake_sleep(faults.delay_ms, &pool->stopping);
	reply->cut = reply->cut || faults.drop_answer;
	if (faults.withhold_answer)
		hang_until_stop(pool, reply);
}

static void
sync_worker(struct worker_pool *pool, struct pool_worker *worker,
    const struct fake_request *request, struct fake_reply *reply)
{
	struct worker_command *commands;
	size_t count;
	const char *error =
	    sync_parse_commands(request->body, &commands, &count);

	if (error == NULL)
		sync_commands(pool, worker, request, commands, count, reply);
	else
		fake_reply_error(reply, 400, error);
	sync_free_commands(commands, count);
}

static void
fetch_answer(struct worker_pool *pool, struct pool_worker *worker,
    const char *path, const struct fake_request *request,
    struct fake_reply *reply)
{
	char id[TASK_ID_BYTES] = "";
	size_t length = strcspn(path, "/");
	const struct fake_task *task = NULL;
	struct request_faults faults;

	if (length < sizeof(id) && strcmp(path + length, ANSWER_SUFFIX) == 0)
		(void)string_copy_part(id, sizeof(id), path, length);
	(void)pthread_mutex_lock(&pool->lock);
	faults = worker_fault_for_request(worker, request);
	task = fake_worker_find(&worker->model, id);
	if (task == NULL || task->discarded || task->state != TASK_DONE) {
		fake_reply_error(reply, 404, "no such answer");
	} else {
		buffer_append(
		    &reply->body, task->answer.data, task->answer.length);
		(void)snprintf(reply->answer_hash, sizeof(reply->answer_hash),
		    "%016" PRIx64,
		    (uint64_t)XXH64(
			buffer_string(&reply->body), reply->body.length, 0));
	}
	(void)pthread_mutex_unlock(&pool->lock);
	reply->cut = faults.cut;
	if (faults.hang)
		hang_until_stop(pool, reply);
}

static void
handle_worker(struct worker_pool *pool, const char *path,
    const struct fake_request *request, struct fake_reply *reply)
{
	const char *rest;
	struct pool_worker *worker = find_worker_by_path(pool, path, &rest);

	if (worker == NULL)
		fake_reply_error(reply, 404, "no such worker");
	else if (strcmp(rest, "/sync") == 0)
		sync_worker(pool, worker, request, reply);
	else if (strncmp(rest, "/tasks/", strlen("/tasks/")) == 0)
		fetch_answer(
		    pool, worker, rest + strlen("/tasks/"), request, reply);
	else
		fake_reply_error(reply, 404, "no such path");
}

void
worker_pool_handle(
    void *context, const struct fake_request *request, struct fake_reply *reply)
{
	struct worker_pool *pool = context;
	size_t admin_length = strlen(ADMIN_PATH);
	size_t worker_length = strlen(WORKER_PATH);

	if (strncmp(request->path, ADMIN_PATH, admin_length) == 0)
		handle_admin(
		    pool, request->path + admin_length, request, reply);
	else if (strncmp(request->path, WORKER_PATH, worker_length) == 0)
		handle_worker(
		    pool, request->path + worker_length, request, reply);
	else
		fake_reply_error(reply, 404, "no such path");
}
