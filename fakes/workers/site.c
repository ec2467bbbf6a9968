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
#include "workers/site.h"
#include "workers/site_fault.h"
#include "workers/sync.h"
#include "workers/worker.h"

#define ADMIN_PATH	    "/admin/workers/"
#define WORKER_PATH	    "/workers/"
#define ANSWER_SUFFIX	    "/answer"
#define TICK_MS		    5
#define HANG_MS		    60000
#define REGISTER_TIMEOUT_MS 2000
#define INCARNATION_BITS    30
#define FROZEN_STEP_MS	    5

struct site {
	struct site_config config;
	pthread_mutex_t lock;
	pthread_t ticker;
	bool ticking;
	atomic_bool ending;
	struct site_worker *workers;
	size_t count;
	size_t capacity;
};

struct site *
site_new(const struct site_config *config)
{
	struct site *site = mem_calloc(1, sizeof(*site));

	site->config = *config;
	(void)pthread_mutex_init(&site->lock, NULL);
	return site;
}

void
site_free(struct site *site)
{
	for (size_t i = 0; i < site->count; i++)
		fake_worker_clear(&site->workers[i].model);
	mem_free(site->workers);
	(void)pthread_mutex_destroy(&site->lock);
	mem_free(site);
}

void
site_add_worker(struct site *site, const char *name,
    const char *availability_zone, const char *rack, uint32_t accelerators)
{
	struct fake_worker *model;

	site->workers = mem_grow(site->workers, &site->capacity,
	    site->count + 1, sizeof(*site->workers));
	model = &site->workers[site->count++].model;
	STRING_COPY(model->name, name);
	STRING_COPY(model->availability_zone, availability_zone);
	STRING_COPY(model->rack, rack);
	model->accelerators = accelerators;
	model->time_scale = site->config.time_scale;
	model->checkpoint_ms = site->config.checkpoint_ms;
	model->incarnation = 1 +
	    (XXH64(name, strlen(name), site->config.seed) >>
		(64 - INCARNATION_BITS));
}

bool
site_read_layout(struct site *site, const char *path)
{
	struct json_object *list = json_object_from_file(path);
	bool usable = json_object_is_type(list, json_type_array);

	for (size_t i = 0; usable && i < json_object_array_length(list); i++) {
		struct json_object *entry = json_object_array_get_idx(list, i);

		site_add_worker(site, fake_json_text(entry, "name", ""),
		    fake_json_text(entry, "availability_zone", ""),
		    fake_json_text(entry, "rack", ""),
		    (uint32_t)fake_json_number(entry, "accelerators", 0));
	}
	if (!usable)
		(void)fprintf(stderr, "%s: no JSON list of workers\n", path);
	json_object_put(list);
	return usable;
}

static void *
S_tick(void *context)
{
	struct site *site = context;

	while (!site->ending) {
		(void)pthread_mutex_lock(&site->lock);
		for (size_t i = 0; i < site->count; i++)
			fake_worker_advance(
			    &site->workers[i].model, clock_now_ms());
		(void)pthread_mutex_unlock(&site->lock);
		fake_sleep(TICK_MS, &site->ending);
	}
	return NULL;
}

bool
site_start(struct site *site)
{
	site->ticking = pthread_create(&site->ticker, NULL, S_tick, site) == 0;
	return site->ticking;
}

void
site_end(struct site *site)
{
	site->ending = true;
	if (site->ticking)
		(void)pthread_join(site->ticker, NULL);
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
site_register(struct site *site, const char *platform, const char *address)
{
	struct http_client *http =
	    http_client_new(platform, REGISTER_TIMEOUT_MS);
	bool registered = true;

	for (size_t i = 0; registered && i < site->count; i++)
		registered =
		    register_worker(http, address, site->workers[i].model.name);
	http_client_free(http);
	return registered;
}

/* Returns a worker by the first part of a path; *rest is what follows. */
static struct site_worker *
find_worker(struct site *site, const char *path, const char **rest)
{
	size_t length = strcspn(path, "/");

	*rest = path + length;
	for (size_t i = 0; i < site->count; i++) {
		const char *name = site->workers[i].model.name;

		if (strlen(name) == length && strncmp(name, path, length) == 0)
			return &site->workers[i];
	}
	return NULL;
}

static bool
apply_fault(struct site *site, struct site_worker *worker,
    struct json_object *body, const char *mode)
{
	bool known = true;

	(void)pthread_mutex_lock(&site->lock);
	for (size_t i = 0; i < site->count; i++) {
		struct site_worker *each = &site->workers[i];

		if (worker == NULL || worker == each)
			known = site_fault_begin(each, body, mode) && known;
	}
	(void)pthread_mutex_unlock(&site->lock);
	return known;
}

static void
handle_fault(struct site *site, struct site_worker *worker,
    const struct fake_request *request, struct fake_reply *reply)
{
	struct json_object *body = json_tokener_parse(request->body);

	if (!apply_fault(site, worker, body, fake_json_text(body, "mode", "")))
		fake_reply_error(reply, 400, "mode is unknown");
	json_object_put(body);
}

static void
handle_admin(struct site *site, const char *path,
    const struct fake_request *request, struct fake_reply *reply)
{
	bool all = strncmp(path, "*/", 2) == 0;
	const char *rest = path + 1;
	struct site_worker *worker =
	    all ? NULL : find_worker(site, path, &rest);

	if (worker == NULL && !all) {
		fake_reply_error(reply, 404, "no such worker");
		return;
	}
	if (strcmp(rest, "/fault") == 0) {
		handle_fault(site, worker, request, reply);
		return;
	}
	if (worker == NULL || *rest != '\0') {
		fake_reply_error(reply, 404, "no such path");
		return;
	}
	(void)pthread_mutex_lock(&site->lock);
	sync_report(&worker->model, REPORT_SOUND, clock_now_ms(), &reply->body);
	(void)pthread_mutex_unlock(&site->lock);
}

static bool
is_frozen(struct site *site, const struct site_worker *worker)
{
	bool frozen;

	(void)pthread_mutex_lock(&site->lock);
	frozen = worker->model.condition == WORKER_FROZEN;
	(void)pthread_mutex_unlock(&site->lock);
	return frozen;
}

/* Waits until a frozen worker is woken. */
static void
wait_while_frozen(struct site *site, const struct site_worker *worker)
{
	while (!site->ending && is_frozen(site, worker))
		fake_sleep(FROZEN_STEP_MS, &site->ending);
}

/* Never answers. */
static void
hang(const struct site *site, struct fake_reply *reply)
{
	fake_sleep(HANG_MS, &site->ending);
	reply->cut = true;
}

/* With the lock held. */
static void
carry_out(struct site_worker *worker, const struct worker_command *commands,
    size_t count, enum report_fault fault, struct fake_reply *reply)
{
	int64_t now_ms = clock_now_ms();
	size_t answers;

	fake_worker_advance(&worker->model, now_ms);
	for (size_t i = 0; i < count; i++)
		fake_worker_command(&worker->model, &commands[i], now_ms);
	site_fault_trigger(worker, commands, count, true);
	answers = sync_report(&worker->model, fault, now_ms, &reply->body);
	if (fault != REPORT_SOUND)
		fake_log("event=spoil worker=%s answers=%zu",
		    worker->model.name, answers);
	reply->cut = worker->model.condition == WORKER_DEAD;
}

static void
sync_commands(struct site *site, struct site_worker *worker,
    const struct fake_request *request, const struct worker_command *commands,
    size_t count, struct fake_reply *reply)
{
	struct meeting meeting;

	(void)pthread_mutex_lock(&site->lock);
	site_fault_trigger(worker, commands, count, false);
	meeting = site_fault_meet(worker, request);
	site_fault_count(worker);
	(void)pthread_mutex_unlock(&site->lock);
	reply->cut = meeting.cut;
	if (meeting.mute)
		hang(site, reply);
	if (reply->cut)
		return;
	wait_while_frozen(site, worker);
	(void)pthread_mutex_lock(&site->lock);
	carry_out(worker, commands, count, meeting.report, reply);
	(void)pthread_mutex_unlock(&site->lock);
	fake_sleep(meeting.delay_ms, &site->ending);
	reply->cut = reply->cut || meeting.lose;
	if (meeting.swallow)
		hang(site, reply);
}

static void
sync_worker(struct site *site, struct site_worker *worker,
    const struct fake_request *request, struct fake_reply *reply)
{
	struct worker_command *commands;
	size_t count;
	const char *wrong = sync_parse(request->body, &commands, &count);

	if (wrong == NULL)
		sync_commands(site, worker, request, commands, count, reply);
	else
		fake_reply_error(reply, 400, wrong);
	sync_free_commands(commands, count);
}

static void
fetch_answer(struct site *site, struct site_worker *worker, const char *path,
    const struct fake_request *request, struct fake_reply *reply)
{
	char id[TASK_ID_BYTES] = "";
	size_t length = strcspn(path, "/");
	const struct fake_task *task = NULL;
	struct meeting meeting;

	if (length < sizeof(id) && strcmp(path + length, ANSWER_SUFFIX) == 0)
		string_copy(id, length + 1, path);
	(void)pthread_mutex_lock(&site->lock);
	meeting = site_fault_meet(worker, request);
	task = fake_worker_find(&worker->model, id);
	if (task == NULL || task->forgotten || task->state != TASK_DONE) {
		fake_reply_error(reply, 404, "no such answer");
	} else {
		buffer_append(
		    &reply->body, task->answer.data, task->answer.length);
		(void)snprintf(reply->answer_hash, sizeof(reply->answer_hash),
		    "%016" PRIx64,
		    (uint64_t)XXH64(
			buffer_string(&reply->body), reply->body.length, 0));
	}
	(void)pthread_mutex_unlock(&site->lock);
	reply->cut = meeting.cut;
	if (meeting.mute)
		hang(site, reply);
}

static void
handle_worker(struct site *site, const char *path,
    const struct fake_request *request, struct fake_reply *reply)
{
	const char *rest;
	struct site_worker *worker = find_worker(site, path, &rest);

	if (worker == NULL)
		fake_reply_error(reply, 404, "no such worker");
	else if (strcmp(rest, "/sync") == 0)
		sync_worker(site, worker, request, reply);
	else if (strncmp(rest, "/tasks/", strlen("/tasks/")) == 0)
		fetch_answer(
		    site, worker, rest + strlen("/tasks/"), request, reply);
	else
		fake_reply_error(reply, 404, "no such path");
}

void
site_handle(
    void *context, const struct fake_request *request, struct fake_reply *reply)
{
	struct site *site = context;
	size_t admin_length = strlen(ADMIN_PATH);
	size_t worker_length = strlen(WORKER_PATH);

	if (strncmp(request->path, ADMIN_PATH, admin_length) == 0)
		handle_admin(
		    site, request->path + admin_length, request, reply);
	else if (strncmp(request->path, WORKER_PATH, worker_length) == 0)
		handle_worker(
		    site, request->path + worker_length, request, reply);
	else
		fake_reply_error(reply, 404, "no such path");
}
