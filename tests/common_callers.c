#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common_callers.h"
#include "common_http.h"
#include "process/alloc.h"
#include "process/buffer.h"
#include "process/clock.h"

#define DOCUMENT	    "examples/hoofline/document.jsonc"
#define HEALTH_INTERVAL_MS  50
#define HEALTH_TIMEOUT_MS   500
#define RESPONSE_TIMEOUT_MS 15000 /* in addition to wait_ms */
#define REFUSED_BACKOFF_MS  50
#define PAYLOAD_BYTES	    64

/* State of one instance as seen by the balancer. */
struct balancer_target {
	char address[DEPLOYMENT_ADDRESS_BYTES];
	bool ready;
};

/* The result of one job as reported to its caller. */
struct callers_job {
	char id[JOB_ID_BYTES];
	bool idempotent;
	bool finished;
	bool not_run;
};

struct callers {
	struct callers_config config;
	uint32_t instances;
	/* Protects targets, count, jobs and results_recorded. */
	pthread_mutex_t lock;
	struct balancer_target targets[DEPLOYMENT_MAX_INSTANCES];
	struct callers_count count;
	struct callers_job *jobs;
	size_t jobs_count;
	size_t jobs_capacity;
	uint64_t results_recorded;
	atomic_bool stopping;
	pthread_t health_thread;
	struct caller *threads;
};

struct caller {
	struct callers *callers;
	pthread_t thread;
	uint32_t index;
	uint32_t requests;
	uint32_t random;
	int fd; /* -1: not connected */
	uint32_t instance;
	int64_t sent_ms;
};

static uint32_t
next_random(struct caller *caller)
{
	caller->random ^= caller->random << 13;
	caller->random ^= caller->random >> 17;
	caller->random ^= caller->random << 5;
	return caller->random;
}

/* ---- Balancer -------------------------------------------------------- */

static void
check_health(struct callers *callers, uint32_t instance)
{
	struct balancer_target target;
	bool ready;

	(void)pthread_mutex_lock(&callers->lock);
	target = callers->targets[instance];
	(void)pthread_mutex_unlock(&callers->lock);
	ready = target.address[0] != '\0' &&
	    http_request_status(
		target.address, "GET /readyz", HEALTH_TIMEOUT_MS) == 200;
	(void)pthread_mutex_lock(&callers->lock);
	if (strcmp(target.address, callers->targets[instance].address) == 0)
		callers->targets[instance].ready = ready;
	(void)pthread_mutex_unlock(&callers->lock);
}

static void *
run_health_checks(void *argument)
{
	struct callers *callers = argument;

	while (!atomic_load(&callers->stopping)) {
		for (uint32_t i = 0; i < callers->instances; i++)
			check_health(callers, i);
		(void)poll(NULL, 0, HEALTH_INTERVAL_MS);
	}
	return NULL;
}

/* Connects to the first ready instance, starting at a random index. */
static bool
connect_caller(struct caller *caller)
{
	struct callers *callers = caller->callers;
	uint32_t first = next_random(caller) % callers->instances;

	for (uint32_t i = 0; i < callers->instances; i++) {
		uint32_t instance = (first + i) % callers->instances;
		struct balancer_target target;

		(void)pthread_mutex_lock(&callers->lock);
		target = callers->targets[instance];
		(void)pthread_mutex_unlock(&callers->lock);
		if (!target.ready)
			continue;
		caller->fd = http_connect(target.address);
		caller->instance = instance;
		if (caller->fd >= 0)
			return true;
	}
	return false;
}

static void
disconnect(struct caller *caller)
{
	if (caller->fd >= 0)
		(void)close(caller->fd);
	caller->fd = -1;
}

/* ---- Requests -------------------------------------------------------- */

static bool
is_idempotent(const struct caller *caller)
{
	return caller->index % 2 == 0;
}

static void
write_request(const struct caller *caller, char payload[PAYLOAD_BYTES],
    struct buffer *request)
{
	const struct callers_config *config = &caller->callers->config;
	CLEANUP(buffer_free) struct buffer body = {0};

	(void)snprintf(payload, PAYLOAD_BYTES,
	    "s%" PRIu32 "-c%" PRIu32 "-r%" PRIu32, config->seed, caller->index,
	    caller->requests);
	buffer_printf(&body,
	    "{\"workspace\":\"%s\",\"class\":\"%s\",\"tasks\":1,"
	    "\"accelerators_per_task\":1,\"run_time_ms\":%" PRId32
	    ",\"idempotent\":%s,\"payload\":\"%s\"}",
	    config->workspace, config->request_class, config->run_time_ms,
	    is_idempotent(caller) ? "true" : "false", payload);
	buffer_printf(request,
	    "POST /v1/jobs?wait_ms=%" PRId32 " HTTP/1.1\r\nHost: x\r\n"
	    "Idempotency-Key: %s\r\nContent-Length: %zu\r\n\r\n%s",
	    config->wait_ms, payload, body.length, body.data);
}

/* True when a response says that the job was not run. */
static bool
says_not_run(const char *text)
{
	return strstr(text, "\"not_run\":true") != NULL;
}

static void
count_response(struct callers_count *count, const char *payload,
    const struct buffer *response)
{
	const char *text = buffer_string(response);
	char expected[PAYLOAD_BYTES + 32];
	int status = http_status(response);

	(void)snprintf(
	    expected, sizeof(expected), "\"answers\":[\"0:%s\"]", payload);
	if (status == 200 && strstr(text, "\"state\":\"finished\"") != NULL) {
		if (strstr(text, expected) != NULL)
			count->finished++;
		else
			count->wrong_answer++;
	} else if (status == 202) {
		count->pending++;
	} else if ((status == 503 || status == 429) && says_not_run(text)) {
		count->refused++;
	} else if (status == 504) {
		count->unknown++;
	} else {
		count->other++;
	}
}

/* Number of requests that were finished or refused, the expected results. */
static uint64_t
count_expected(const struct callers_count *count)
{
	return count->finished + count->refused;
}

static void
record_first_unexpected(struct caller *caller, const struct buffer *response)
{
	struct callers_count *count = &caller->callers->count;
	const char *body = strstr(buffer_string(response), "\r\n\r\n");

	if (count->first_unexpected[0] == '\0')
		(void)snprintf(count->first_unexpected,
		    sizeof(count->first_unexpected),
		    "caller %" PRIu32 " request %" PRIu32 " instance %" PRIu32
		    " sent at %" PRId64 " after %" PRId64 " ms: %.130s",
		    caller->index, caller->requests, caller->instance + 1,
		    caller->sent_ms, clock_now_ms() - caller->sent_ms,
		    body == NULL ? "no answer" : body + 4);
}

static void
record_job(struct caller *caller, const char *payload,
    const struct buffer *response, bool finished)
{
	struct callers *callers = caller->callers;
	struct callers_job *job;

	callers->jobs = mem_grow(callers->jobs, &callers->jobs_capacity,
	    callers->jobs_count + 1, sizeof(*callers->jobs));
	job = &callers->jobs[callers->jobs_count++];
	job_id_format(
	    job_id_from_key(callers->config.workspace, payload), job->id);
	job->idempotent = is_idempotent(caller);
	job->finished = finished;
	job->not_run = says_not_run(buffer_string(response));
}

/* Records the result of a request; true when it was refused. */
static bool
record_result(struct caller *caller, enum http_read_result result,
    const char *payload, const struct buffer *response)
{
	struct callers *callers = caller->callers;
	struct callers_count *count = &callers->count;
	struct callers_count before;
	bool refused;

	(void)pthread_mutex_lock(&callers->lock);
	callers->results_recorded++;
	before = *count;
	if (result == HTTP_COMPLETE)
		count_response(count, payload, response);
	else if (result == HTTP_CLOSED)
		count->closed++;
	else
		count->timed_out++;
	refused = count->refused > before.refused;
	if (count_expected(count) == count_expected(&before))
		record_first_unexpected(caller, response);
	record_job(
	    caller, payload, response, count->finished > before.finished);
	(void)pthread_mutex_unlock(&callers->lock);
	return refused;
}

static void
send_one(struct caller *caller)
{
	struct callers *callers = caller->callers;
	CLEANUP(buffer_free) struct buffer request = {0};
	CLEANUP(buffer_free) struct buffer response = {0};
	char payload[PAYLOAD_BYTES];
	enum http_read_result result = HTTP_CLOSED;

	write_request(caller, payload, &request);
	(void)pthread_mutex_lock(&callers->lock);
	callers->count.sent++;
	(void)pthread_mutex_unlock(&callers->lock);
	caller->sent_ms = clock_now_ms();
	if (http_write(caller->fd, request.data))
		result = http_read(caller->fd, &response,
		    callers->config.wait_ms + RESPONSE_TIMEOUT_MS);
	if (record_result(caller, result, payload, &response))
		(void)poll(NULL, 0, REFUSED_BACKOFF_MS);
	if (result != HTTP_COMPLETE || http_has_connection_close(&response))
		disconnect(caller);
	caller->requests++;
}

static void *
run_caller(void *argument)
{
	struct caller *caller = argument;
	const struct callers_config *config = &caller->callers->config;

	while (!atomic_load(&caller->callers->stopping)) {
		uint32_t think_ms = 2 * (uint32_t)config->think_ms + 1;

		if (config->requests_each > 0 &&
		    caller->requests >= config->requests_each)
			break;
		if (caller->fd >= 0 || connect_caller(caller))
			send_one(caller);
		(void)poll(NULL, 0, (int)(next_random(caller) % think_ms));
	}
	disconnect(caller);
	return NULL;
}

/* ---- Start and progress ---------------------------------------------- */

struct callers *
callers_start(
    struct deployment *deployment, const struct callers_config *config)
{
	struct callers *callers = mem_calloc(1, sizeof(*callers));

	callers->config = *config;
	callers->instances = deployment->count;
	(void)pthread_mutex_init(&callers->lock, NULL);
	for (uint32_t i = 0; i < deployment->count; i++) {
		callers_set_address(
		    callers, i, deployment->instances[i].caller);
		callers->targets[i].ready = true;
	}
	(void)pthread_create(
	    &callers->health_thread, NULL, run_health_checks, callers);
	callers->threads =
	    mem_calloc(config->callers, sizeof(*callers->threads));
	for (uint32_t i = 0; i < config->callers; i++) {
		callers->threads[i] = (struct caller){
		    .callers = callers,
		    .index = i,
		    .random = config->seed * 2654435761U + i + 1,
		    .fd = -1,
		};
		(void)pthread_create(&callers->threads[i].thread, NULL,
		    run_caller, &callers->threads[i]);
	}
	return callers;
}

void
callers_set_address(
    struct callers *callers, uint32_t instance, const char *address)
{
	(void)pthread_mutex_lock(&callers->lock);
	STRING_COPY(callers->targets[instance].address, address);
	callers->targets[instance].ready = false;
	(void)pthread_mutex_unlock(&callers->lock);
}

struct callers_count
callers_count(struct callers *callers)
{
	struct callers_count count;

	(void)pthread_mutex_lock(&callers->lock);
	count = callers->count;
	(void)pthread_mutex_unlock(&callers->lock);
	return count;
}

uint64_t
callers_unanswered(struct callers *callers)
{
	uint64_t waiting;

	(void)pthread_mutex_lock(&callers->lock);
	waiting = callers->count.sent - callers->results_recorded;
	(void)pthread_mutex_unlock(&callers->lock);
	return waiting;
}

/* Context of S_finished. */
struct finished_wait {
	struct callers *callers;
	uint64_t until;
};

static bool
S_finished(void *context)
{
	struct finished_wait *wait = context;

	return callers_count(wait->callers).finished >= wait->until;
}

bool
callers_wait_finished(
    struct callers *callers, uint64_t more, int32_t timeout_ms)
{
	struct finished_wait wait = {
	    .callers = callers,
	    .until = callers_count(callers).finished + more,
	};

	return deployment_wait(S_finished, &wait, timeout_ms);
}

/* ---- Stop and checks ------------------------------------------------- */

static void
join_threads(struct callers *callers)
{
	if (callers->config.requests_each == 0)
		atomic_store(&callers->stopping, true);
	for (uint32_t i = 0; i < callers->config.callers; i++)
		(void)pthread_join(callers->threads[i].thread, NULL);
	atomic_store(&callers->stopping, true);
	(void)pthread_join(callers->health_thread, NULL);
}

static void
print_count(const char *name, const struct callers_count *count)
{
	(void)printf("\n%s: sent=%" PRIu64 " finished=%" PRIu64
		     " refused=%" PRIu64 " pending=%" PRIu64 " unknown=%" PRIu64
		     " other=%" PRIu64 " wrong=%" PRIu64 " cut=%" PRIu64
		     " late=%" PRIu64 "\n",
	    name, count->sent, count->finished, count->refused, count->pending,
	    count->unknown, count->other, count->wrong_answer, count->closed,
	    count->timed_out);
	if (count->first_unexpected[0] != '\0')
		(void)printf("first unexpected: %s\n", count->first_unexpected);
}

/* True when the workers' log contradicts the answer for a job. */
static bool
contradicts_log(const struct callers_job *job, const struct log *log)
{
	size_t starts = log_starts(log, job->id);

	return (job->not_run && starts > 0) || (job->finished && starts == 0) ||
	    (!job->idempotent && log_runs(log, job->id) > 1);
}

static size_t
count_contradicted_jobs(const struct callers *callers, const char *log_path)
{
	CLEANUP(log_free) struct log log = {0};
	size_t contradicted = 0;

	if (!log_read(&log, log_path))
		return SIZE_MAX;
	for (size_t i = 0; i < callers->jobs_count; i++) {
		if (!contradicts_log(&callers->jobs[i], &log))
			continue;
		contradicted++;
		(void)printf("job %s: answer contradicts the workers' log\n",
		    callers->jobs[i].id);
	}
	return contradicted;
}

struct callers_count
callers_join_and_check(
    struct callers *callers, const char *name, const char *workers_log)
{
	struct callers_count count;

	join_threads(callers);
	count = callers->count;
	print_count(name, &count);
	CU_ASSERT_EQUAL(count.closed, 0);
	CU_ASSERT_EQUAL(count.timed_out, 0);
	CU_ASSERT_EQUAL(count.wrong_answer, 0);
	CU_ASSERT_EQUAL(count_contradicted_jobs(callers, workers_log), 0);
	(void)pthread_mutex_destroy(&callers->lock);
	mem_free(callers->jobs);
	mem_free(callers->threads);
	mem_free(callers);
	return count;
}

int
callers_run_suite(const char *name, CU_TestInfo *tests,
    struct deployment *deployment, uint32_t instances, uint32_t seed)
{
	struct deployment_config config = {
	    .document_path = deployment_source_path(DOCUMENT),
	    .instances = instances,
	    .seed = seed,
	};
	int result = EXIT_FAILURE;

	if (deployment_start(deployment, &config))
		result = run_suite(name, tests);
	deployment_stop(deployment, result != EXIT_SUCCESS);
	return result;
}
