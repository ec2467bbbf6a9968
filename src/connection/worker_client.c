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

#define ADDRESS_BYTES 192
#define PATH_BYTES    (ADDRESS_BYTES + TASK_ID_BYTES + 32)
#define LANE_THREADS  32
#define HTTP_OK	      200

/* What is known of a worker's last calls. */
struct worker_health {
	char name[JOB_NAME_BYTES];
	uint32_t in_flight;
	bool failing; /* its last call brought no report */
};

/* Outlives the client while a call is blocked. */
struct health_table {
	pthread_mutex_t lock;
	uint32_t references;
	struct worker_health *workers;
	size_t count;
	size_t capacity;
};

/* A worker that failed its last call, or still has one in flight, is served
 * by the second lane, so that it takes no thread from the others. */
struct worker_client {
	int32_t timeout_ms;
	struct call_pool *lane;
	struct call_pool *failing_lane;
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

/* With the lock held. */
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

/* Notes a call's begin; tells whether the worker has to be set apart. */
static bool
begin_call(struct health_table *table, const char *worker)
{
	struct worker_health *health;
	bool apart;

	(void)pthread_mutex_lock(&table->lock);
	health = find_health(table, worker);
	apart = health->failing || health->in_flight > 0;
	health->in_flight++;
	table->references++;
	(void)pthread_mutex_unlock(&table->lock);
	return apart;
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
connect_worker(const struct worker_call *call)
{
	char host[ADDRESS_BYTES];

	STRING_COPY(host, call->address);
	host[strcspn(host, "/")] = '\0';
	return http_client_new(host, call->timeout_ms);
}

static void
format_path(
    const struct worker_call *call, const char *suffix, char path[PATH_BYTES])
{
	const char *base = call->address + strcspn(call->address, "/");

	(void)snprintf(path, PATH_BYTES, "%s/%s", base, suffix);
}

/* Asks for one answer by its task's id; true if it came whole. */
static bool
fetch_answer(const struct worker_call *call, struct worker_task *task,
    const struct answer_check *check)
{
	struct http_client *http = connect_worker(call);
	char suffix[TASK_ID_BYTES + 16];
	char path[PATH_BYTES];
	struct http_request request = {.method = "GET", .path = path};
	struct http_response response;
	bool whole;

	(void)snprintf(suffix, sizeof(suffix), "tasks/%s/answer", task->id);
	format_path(call, suffix, path);
	whole = http_client_call(http, &request, &response, NULL) == IBIS_OK &&
	    response.status == HTTP_OK &&
	    answer_check_passes(
		check, buffer_string(&response.body), response.body.length);
	if (whole)
		worker_codec_accept_answer(
		    task, buffer_string(&response.body), response.body.length);
	buffer_free(&response.body);
	http_client_free(http);
	return whole;
}

/* Fetches wrong answers for no longer than a call may take; what is left comes
 * with a later report. */
static void
fetch_unverified(const struct worker_call *call, struct decoded_report *decoded)
{
	int64_t end_ms = clock_now_ms() + call->timeout_ms;

	for (size_t i = 0;
	     i < decoded->unverified_count && clock_now_ms() < end_ms; i++) {
		const struct unverified_answer *wrong = &decoded->unverified[i];
		struct worker_task *task = &decoded->report.tasks[wrong->task];
		bool whole = fetch_answer(call, task, &wrong->check);

		log_event(LOG_WARN, "answer_mismatch", "worker", call->worker,
		    "task", task->id, "fetched", whole ? "true" : "false",
		    NULL);
	}
}

static enum ibis_code
use_response(const struct worker_call *call,
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
	fetch_unverified(call, &decoded);
	result->report = decoded.report;
	mem_free(decoded.unverified);
	return IBIS_OK;
}

static void
carry_out(const struct worker_call *call, struct worker_result *result)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	struct http_header type = {"Content-Type", "application/json"};
	struct http_client *http = connect_worker(call);
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
		result->code = use_response(call, &response, result);
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
		carry_out(call, result);
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
	    .max_threads = LANE_THREADS,
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
	client->lane = call_pool_new(&config);
	client->failing_lane = call_pool_new(&config);
	return client;
}

void
worker_client_call(struct worker_client *client, const char *worker,
    const char *address, uint64_t token, struct worker_command *commands,
    size_t count)
{
	struct worker_call *call = mem_calloc(1, sizeof(*call));
	bool apart = begin_call(client->health, worker);

	STRING_COPY(call->worker, worker);
	STRING_COPY(call->address, address);
	call->token = token;
	call->timeout_ms = client->timeout_ms;
	call->commands = commands;
	call->count = count;
	call->health = client->health;
	call_pool_add(apart ? client->failing_lane : client->lane, call);
}

void
worker_client_stop(struct worker_client *client)
{
	if (client == NULL)
		return;
	call_pool_stop(client->lane);
	call_pool_stop(client->failing_lane);
	release_health(client->health);
	mem_free(client);
}
