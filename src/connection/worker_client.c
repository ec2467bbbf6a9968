#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "connection/call_pool.h"
#include "connection/http_client.h"
#include "connection/worker_client.h"
#include "connection/worker_codec.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/log.h"

#define ADDRESS_BYTES	 192
#define PATH_BYTES	 (ADDRESS_BYTES + TASK_ID_BYTES + 32)
#define MAX_POOL_THREADS 32
#define HTTP_OK		 200

/* Calls in flight and outcome of the last call, for one worker. */
struct worker_health {
	char name[JOB_NAME_BYTES];
	uint32_t in_flight;
	bool failing; /* the last call returned no report */
};

/* Shared with the calls, since a blocked call may outlive the client. */
struct health_table {
	pthread_mutex_t lock;
	uint32_t references;
	struct worker_health *workers;
	size_t count;
	size_t capacity;
};

/*
 * Calls to a worker whose last call failed, or that has one in flight, use
 * failing_pool, so that they can't occupy the threads of healthy workers.
 */
struct worker_client {
	int32_t timeout_ms;
	struct call_pool *pool;
	struct call_pool *failing_pool;
	struct health_table *health;
};

struct worker_call {
	char worker[JOB_NAME_BYTES];
	char address[ADDRESS_BYTES]; /* IP:PORT/PATH */
	uint64_t token;
	int32_t timeout_ms;
	struct worker_command *commands;
	size_t count;
	struct health_table *health;
};

void
worker_result_free(struct worker_result *result)
{
	if (result == NULL)
		return;
	worker_report_clear(&result->report);
	mem_free(result);
}

static void
release_health(struct health_table *table)
{
	bool unused;

	(void)pthread_mutex_lock(&table->lock);
	unused = --table->references == 0;
	(void)pthread_mutex_unlock(&table->lock);
	if (!unused)
		return;
	(void)pthread_mutex_destroy(&table->lock);
	mem_free(table->workers);
	mem_free(table);
}

/* Returns the worker's entry, adding it if new. The caller holds the lock. */
static struct worker_health *
find_health(struct health_table *table, const char *worker)
{
	for (size_t i = 0; i < table->count; i++) {
		if (strcmp(table->workers[i].name, worker) == 0)
			return &table->workers[i];
	}
	table->workers = mem_grow(table->workers, &table->capacity,
	    table->count + 1, sizeof(*table->workers));
	STRING_COPY(table->workers[table->count].name, worker);
	return &table->workers[table->count++];
}

/* Records the start of a call; returns true if it must use failing_pool. */
static bool
begin_call(struct health_table *table, const char *worker)
{
	struct worker_health *health;
	bool use_failing_pool;

	(void)pthread_mutex_lock(&table->lock);
	health = find_health(table, worker);
	use_failing_pool = health->failing || health->in_flight > 0;
	health->in_flight++;
	table->references++;
	(void)pthread_mutex_unlock(&table->lock);
	return use_failing_pool;
}

static void
end_call(struct health_table *table, const char *worker, bool failed)
{
	struct worker_health *health;

	(void)pthread_mutex_lock(&table->lock);
	health = find_health(table, worker);
	health->in_flight--;
	health->failing = failed;
	(void)pthread_mutex_unlock(&table->lock);
	release_health(table);
}

static struct http_client *
new_http_client(const struct worker_call *call)
{
	char host[ADDRESS_BYTES];

	(void)string_copy_part(
	    host, sizeof(host), call->address, strcspn(call->address, "/"));
	return http_client_new(host, call->timeout_ms);
}

static void
format_path(
    const struct worker_call *call, const char *suffix, char path[PATH_BYTES])
{
	const char *base = call->address + strcspn(call->address, "/");

	(void)snprintf(path, PATH_BYTES, "%s/%s", base, suffix);
}

/* Fetches one answer by task id; returns true if it matches its digest. */
static bool
fetch_answer(const struct worker_call *call, struct worker_task *task,
    const struct answer_digest *digest)
{
	struct http_client *http = new_http_client(call);
	char suffix[TASK_ID_BYTES + 16];
	char path[PATH_BYTES];
	struct http_request request = {.method = "GET", .path = path};
	struct http_response response;
	bool valid;

	(void)snprintf(suffix, sizeof(suffix), "tasks/%s/answer", task->id);
	format_path(call, suffix, path);
	valid = http_client_call(http, &request, &response, NULL) == IBIS_OK &&
	    response.status == HTTP_OK &&
	    answer_matches_digest(
		digest, buffer_string(&response.body), response.body.length);
	if (valid)
		worker_codec_set_answer(
		    task, buffer_string(&response.body), response.body.length);
	buffer_free(&response.body);
	http_client_free(http);
	return valid;
}

/*
 * Fetches the answers that failed verification one by one and begins no fetch
 * after timeout_ms. Answers not fetched are fetched after a later report.
 */
static void
fetch_unverified_answers(
    const struct worker_call *call, struct decoded_report *decoded)
{
	int64_t end_ms = clock_now_ms() + call->timeout_ms;

	for (size_t i = 0;
	     i < decoded->unverified_count && clock_now_ms() < end_ms; i++) {
		const struct unverified_answer *unverified =
		    &decoded->unverified[i];
		struct worker_task *task =
		    &decoded->report.tasks[unverified->task];
		bool valid = fetch_answer(call, task, &unverified->digest);

		log_event(LOG_WARN, "answer_mismatch", "worker", call->worker,
		    "task", task->id, "fetched", valid ? "true" : "false",
		    NULL);
	}
}

static enum ibis_code
handle_response(const struct worker_call *call,
    const struct http_response *response, struct worker_result *result)
{
	struct decoded_report decoded;
	enum ibis_code code;

	if (response->status != HTTP_OK)
		return ibis_status_set(&result->status, IBIS_UNKNOWN, "sync",
		    call->worker, "HTTP status %" PRId32, response->status);
	code = worker_codec_decode(buffer_string(&response->body),
	    response->body.length, call->worker, &decoded, &result->status);
	if (code != IBIS_OK) {
		decoded_report_free(&decoded);
		return IBIS_UNKNOWN;
	}
	fetch_unverified_answers(call, &decoded);
	result->report = decoded.report;
	mem_free(decoded.unverified);
	return IBIS_OK;
}

static void
send_call(const struct worker_call *call, struct worker_result *result)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	struct http_header type = {"Content-Type", "application/json"};
	struct http_client *http = new_http_client(call);
	struct http_response response;
	struct http_request request;
	char path[PATH_BYTES];

	worker_codec_encode(call->commands, call->count, &body);
	format_path(call, "sync", path);
	request = (struct http_request){
	    .method = "POST",
	    .path = path,
	    .headers = &type,
	    .headers_count = 1,
	    .body = body.data,
	    .body_length = body.length,
	};
	result->code =
	    http_client_call(http, &request, &response, &result->status);
	if (result->code == IBIS_OK)
		result->code = handle_response(call, &response, result);
	buffer_free(&response.body);
	http_client_free(http);
}

static void
free_call(struct worker_call *call)
{
	for (size_t i = 0; i < call->count; i++)
		worker_command_clear(&call->commands[i]);
	mem_free(call->commands);
	mem_free(call);
}

static bool
S_run_call(void *context, bool cancelled, struct event *event)
{
	struct worker_call *call = context;
	struct worker_result *result = mem_calloc(1, sizeof(*result));

	STRING_COPY(result->worker, call->worker);
	result->token = call->token;
	result->sent_ms = clock_now_ms();
	if (cancelled)
		result->code =
		    ibis_status_set(&result->status, IBIS_UNAVAILABLE, "sync",
			call->worker, "the client has stopped");
	else
		send_call(call, result);
	result->received_ms = clock_now_ms();
	end_call(call->health, call->worker, result->code != IBIS_OK);
	free_call(call);
	event->kind = EVENT_WORKER;
	event->worker = result;
	return true;
}

static void
S_drop_result(struct event *event)
{
	worker_result_free(event->worker);
}

struct worker_client *
worker_client_start(
    int32_t timeout_ms, struct event_queue *events, struct ibis_status *status)
{
	struct call_pool_config config = {
	    .max_threads = MAX_POOL_THREADS,
	    .events = events,
	    .run = S_run_call,
	    .drop = S_drop_result,
	};
	struct worker_client *client;

	if (timeout_ms <= 0) {
		(void)ibis_status_set(status, IBIS_INVALID, "worker_start", "",
		    "timeout_ms must be positive");
		return NULL;
	}
	client = mem_calloc(1, sizeof(*client));
	client->timeout_ms = timeout_ms;
	client->health = mem_calloc(1, sizeof(*client->health));
	client->health->references = 1;
	(void)pthread_mutex_init(&client->health->lock, NULL);
	client->pool = call_pool_new(&config);
	client->failing_pool = call_pool_new(&config);
	return client;
}

void
worker_client_call(struct worker_client *client, const char *worker,
    const char *address, uint64_t token, struct worker_command *commands,
    size_t count)
{
	struct worker_call *call = mem_calloc(1, sizeof(*call));
	bool use_failing_pool = begin_call(client->health, worker);

	STRING_COPY(call->worker, worker);
	STRING_COPY(call->address, address);
	call->token = token;
	call->timeout_ms = client->timeout_ms;
	call->commands = commands;
	call->count = count;
	call->health = client->health;
	call_pool_add(
	    use_failing_pool ? client->failing_pool : client->pool, call);
}

void
worker_client_stop(struct worker_client *client)
{
	if (client == NULL)
		return;
	call_pool_stop(client->pool);
	call_pool_stop(client->failing_pool);
	release_health(client->health);
	mem_free(client);
}
