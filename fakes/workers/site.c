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
#include "workers/sync.h"
#include "workers/worker.h"

#define ADMIN_PATH	    "/admin/workers/"
#define WORKER_PATH	    "/workers/"
#define ANSWER_SUFFIX	    "/answer"
#define TICK_MS		    5
#define HANG_MS		    60000
#define LATE_MS		    1500
#define REGISTER_TIMEOUT_MS 2000
#define INCARNATION_BITS    30
#define MODE_BYTES	    24
#define FROZEN_STEP_MS	    5

/* How a worker treats its connections. */
enum link_fault {
	LINK_SOUND,
	LINK_SILENT,  /* requests on connections of before get no answer */
	LINK_MUTE,    /* requests are not carried out and get no answer */
	LINK_LOSE,    /* carried out, then the connection is cut */
	LINK_SWALLOW, /* carried out, then there is no answer */
	LINK_LATE     /* carried out, answered delay_ms later */
};

/* A fault that begins once a command of a kind comes. */
struct trigger {
	bool armed;
	bool after; /* the command has been carried out */
	enum worker_verb verb;
	char mode[MODE_BYTES];
};

/* A fault lasts for count sync calls; 0: until it is changed. */
struct site_worker {
	struct fake_worker model;
	enum link_fault link;
	enum report_fault report;
	int64_t silenced_ms; /* when the connections of before went silent */
	int64_t delay_ms;
	int64_t count;
	struct trigger trigger;
};

struct site {
	struct site_config config;
	pthread_mutex_t lock;
	pthread_t ticker;
	bool ticking;
	volatile bool ending;
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

static void
clear_faults(struct site_worker *worker, int64_t now_ms)
{
	worker->link = LINK_SOUND;
	worker->report = REPORT_SOUND;
	worker->count = 0;
	worker->trigger.armed = false;
	worker->model.leaving = false;
	fake_worker_set_condition(&worker->model, WORKER_SOUND, now_ms);
}

struct condition_mode {
	const char *name;
	enum worker_condition_fault condition;
};

struct link_mode {
	const char *name;
	enum link_fault link;
};

struct report_mode {
	const char *name;
	enum report_fault report;
};

static const struct condition_mode condition_modes[] = {
    {"fail_reserve", WORKER_FAIL_RESERVE},
    {"fail_stage", WORKER_FAIL_STAGE},
    {"fail_all", WORKER_FAIL_ALL},
    {"frozen", WORKER_FROZEN},
    {"dead", WORKER_DEAD},
};

static const struct link_mode link_modes[] = {
    {"silent", LINK_SILENT},
    {"mute", LINK_MUTE},
    {"lose_answers", LINK_LOSE},
    {"swallow_answers", LINK_SWALLOW},
    {"late", LINK_LATE},
};

static const struct report_mode report_modes[] = {
    {"truncate", REPORT_TRUNCATE},
    {"corrupt", REPORT_CORRUPT},
    {"crossed", REPORT_CROSSED},
    {"doubled", REPORT_DOUBLED},
};

static bool
set_condition(struct site_worker *worker, const char *mode, int64_t now_ms)
{
	for (size_t i = 0; i < COUNT_OF(condition_modes); i++) {
		if (strcmp(mode, condition_modes[i].name) != 0)
			continue;
		fake_worker_set_condition(
		    &worker->model, condition_modes[i].condition, now_ms);
		return true;
	}
	return false;
}

static bool
set_link(struct site_worker *worker, const char *mode, int64_t now_ms)
{
	for (size_t i = 0; i < COUNT_OF(link_modes); i++) {
		if (strcmp(mode, link_modes[i].name) != 0)
			continue;
		worker->link = link_modes[i].link;
		worker->silenced_ms = now_ms;
		return true;
	}
	return false;
}

static bool
set_report(struct site_worker *worker, const char *mode)
{
	for (size_t i = 0; i < COUNT_OF(report_modes); i++) {
		if (strcmp(mode, report_modes[i].name) != 0)
			continue;
		worker->report = report_modes[i].report;
		return true;
	}
	return false;
}

/* Switches on the named fault; false if the name is unknown. */
static bool
set_fault(struct site_worker *worker, const char *mode, int64_t now_ms)
{
	if (strcmp(mode, "none") == 0)
		clear_faults(worker, now_ms);
	else if (strcmp(mode, "restart") == 0)
		fake_worker_restart(&worker->model, now_ms);
	else if (strcmp(mode, "leaving") == 0)
		worker->model.leaving = true;
	else
		return set_condition(worker, mode, now_ms) ||
		    set_link(worker, mode, now_ms) || set_report(worker, mode);
	return true;
}

static void
log_fault(const struct site_worker *worker, const char *mode)
{
	fake_log("event=fault worker=%s mode=%s count=%" PRId64,
	    worker->model.name, mode, worker->count);
}

/* Arms the fault for a verb, or begins it at once. */
static bool
begin_fault(
    struct site_worker *worker, struct json_object *body, const char *mode)
{
	const char *verb = fake_json_text(body, "on", NULL);
	struct trigger *trigger = &worker->trigger;

	worker->delay_ms = fake_json_number(body, "delay_ms", LATE_MS);
	worker->count = fake_json_number(body, "count", 0);
	if (verb == NULL) {
		log_fault(worker, mode);
		return set_fault(worker, mode, clock_now_ms());
	}
	trigger->after = fake_json_number(body, "after", 0) != 0;
	STRING_COPY(trigger->mode, mode);
	trigger->armed = sync_parse_verb(verb, &trigger->verb);
	return trigger->armed;
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
			known = begin_fault(each, body, mode) && known;
	}
	(void)pthread_mutex_unlock(&site->lock);
	return known;
}

/* Begins an armed fault if its command is there. With the lock held. */
static void
pull_trigger(struct site_worker *worker, const struct worker_command *commands,
    size_t count, bool after)
{
	struct trigger *trigger = &worker->trigger;

	for (size_t i = 0; i < count && trigger->armed; i++) {
		if (trigger->after != after ||
		    commands[i].verb != trigger->verb)
			continue;
		trigger->armed = false;
		log_fault(worker, trigger->mode);
		(void)set_fault(worker, trigger->mode, clock_now_ms());
	}
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

/* What a request meets. */
struct meeting {
	bool mute;
	bool cut;
	bool lose;
	bool swallow;
	int64_t delay_ms;
	enum report_fault report;
};

/* With the lock held. */
static struct meeting
meet_fault(const struct site_worker *worker, const struct fake_request *request)
{
	return (struct meeting){
	    .cut = worker->model.condition == WORKER_DEAD,
	    .mute = worker->link == LINK_MUTE ||
		(worker->link == LINK_SILENT &&
		    request->connected_ms <= worker->silenced_ms),
	    .lose = worker->link == LINK_LOSE,
	    .swallow = worker->link == LINK_SWALLOW,
	    .delay_ms = worker->link == LINK_LATE ? worker->delay_ms : 0,
	    .report = worker->report,
	};
}

/* Counts a sync call against the fault. With the lock held. */
static void
count_fault(struct site_worker *worker)
{
	bool faulty =
	    worker->link != LINK_SOUND || worker->report != REPORT_SOUND;

	if (!faulty || worker->count == 0 || --worker->count > 0)
		return;
	worker->link = LINK_SOUND;
	worker->report = REPORT_SOUND;
}

/* Waits until a frozen worker is woken. */
static void
wait_while_frozen(const struct site *site, const struct site_worker *worker)
{
	const volatile enum worker_condition_fault *condition =
	    &worker->model.condition;

	while (*condition == WORKER_FROZEN && !site->ending)
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
	pull_trigger(worker, commands, count, true);
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
	pull_trigger(worker, commands, count, false);
	meeting = meet_fault(worker, request);
	count_fault(worker);
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
	meeting = meet_fault(worker, request);
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
