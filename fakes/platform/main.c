/*
 * fake-platform: test stand-in for the platform's key-value service and its
 * list of instances and workers. Faults are injected over HTTP.
 */
#include <getopt.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/fake_json.h"
#include "common/fake_log.h"
#include "common/fake_server.h"
#include "platform/directory.h"
#include "platform/store.h"
#include "process/alloc.h"

#define KEY_PATH	    "/v1/kv/"
#define INSTANCE_PATH	    "/admin/instances/"
#define WORKER_PATH	    "/admin/workers/"
#define MAX_VALUE_BYTES	    (1024UL * 1024)
#define MAX_HANG_MS	    60000
#define DEFAULT_LIST_LAG_MS 1000
#define KEY_PREFIX_BYTES    128
#define DECIMAL		    10

enum fault_mode {
	FAULT_NONE,
	FAULT_DOWN,	    /* replies 503 without executing */
	FAULT_REFUSE,	    /* closes the connection without executing */
	FAULT_HANG,	    /* never replies and does not execute */
	FAULT_SLOW,	    /* waits delay_ms before executing */
	FAULT_LOSE_ANSWERS, /* executes writes, then closes the connection */
	FAULT_MODE_COUNT
};

static const char *const fault_names[FAULT_MODE_COUNT] = {
    [FAULT_NONE] = "none",
    [FAULT_DOWN] = "down",
    [FAULT_REFUSE] = "refuse",
    [FAULT_HANG] = "hang",
    [FAULT_SLOW] = "slow",
    [FAULT_LOSE_ANSWERS] = "lose_answers",
};

struct fault {
	enum fault_mode mode;
	int64_t delay_ms;
	int64_t count; /* matching requests left; 0: no limit */
	char key_prefix[KEY_PREFIX_BYTES]; /* "" matches all requests */
};

enum call_kind {
	CALL_GET,
	CALL_WATCH,
	CALL_SWAP,
	CALL_DELETE,
	CALL_LIST,
	CALL_KIND_COUNT
};

static const char *const call_names[CALL_KIND_COUNT] = {
    [CALL_GET] = "get",
    [CALL_WATCH] = "watch",
    [CALL_SWAP] = "swap",
    [CALL_DELETE] = "delete",
    [CALL_LIST] = "list",
};

struct platform {
	struct fake_store *store;
	struct directory *directory;
	pthread_mutex_t lock; /* protects fault and calls */
	struct fault fault;
	uint64_t calls[CALL_KIND_COUNT]; /* requests since the start */
	atomic_bool stopping;
};

static bool
parse_mode(const char *name, enum fault_mode *mode)
{
	for (size_t i = 0; i < FAULT_MODE_COUNT; i++) {
		if (strcmp(name, fault_names[i]) == 0) {
			*mode = (enum fault_mode)i;
			return true;
		}
	}
	return false;
}

/* "lose_next" is "lose_answers" for one request unless a count is given. */
static bool
parse_fault(struct json_object *body, struct fault *fault)
{
	const char *name = fake_json_text(body, "mode", "");

	*fault = (struct fault){
	    .delay_ms = fake_json_number(body, "delay_ms", 0),
	    .count = fake_json_number(body, "count", 0),
	};
	STRING_COPY(fault->key_prefix, fake_json_text(body, "key_prefix", ""));
	if (strcmp(name, "lose_next") != 0)
		return parse_mode(name, &fault->mode);
	fault->mode = FAULT_LOSE_ANSWERS;
	if (fault->count == 0)
		fault->count = 1;
	return true;
}

static void
handle_fault(struct platform *platform, const struct fake_request *request,
    struct fake_reply *reply)
{
	struct json_object *body = json_tokener_parse(request->body);
	struct fault fault;

	if (!parse_fault(body, &fault)) {
		fake_reply_error(reply, 400, "unknown fault mode");
	} else {
		(void)pthread_mutex_lock(&platform->lock);
		platform->fault = fault;
		(void)pthread_mutex_unlock(&platform->lock);
		fake_log("event=fault mode=%s count=%" PRId64
			 " delay_ms=%" PRId64 " key_prefix=%s",
		    fault_names[fault.mode], fault.count, fault.delay_ms,
		    fault.key_prefix);
	}
	json_object_put(body);
}

static void
handle_stats(struct platform *platform, struct fake_reply *reply)
{
	struct json_object *root = json_object_new_object();
	uint64_t total = 0;

	(void)pthread_mutex_lock(&platform->lock);
	for (size_t i = 0; i < CALL_KIND_COUNT; i++) {
		total += platform->calls[i];
		json_object_object_add(root, call_names[i],
		    json_object_new_uint64(platform->calls[i]));
	}
	(void)pthread_mutex_unlock(&platform->lock);
	json_object_object_add(root, "total", json_object_new_uint64(total));
	fake_json_append(&reply->body, root);
}

static bool
handle_directory_entry(struct platform *platform,
    const struct fake_request *request, const char *prefix,
    enum directory_kind kind, struct fake_reply *reply)
{
	size_t length = strlen(prefix);
	bool is_put = strcmp(request->method, "PUT") == 0;

	if (strncmp(request->path, prefix, length) != 0)
		return false;
	if (!is_put && strcmp(request->method, "DELETE") != 0)
		return false;
	if (!directory_put(platform->directory, kind, request->path + length,
		is_put ? request->body : NULL))
		fake_reply_error(reply, 400, "the body is not a JSON object");
	return true;
}

static void
handle_admin(struct platform *platform, const struct fake_request *request,
    struct fake_reply *reply)
{
	const char *prefix = fake_request_query(request, "prefix");

	if (strcmp(request->path, "/admin/fault") == 0)
		handle_fault(platform, request, reply);
	else if (strcmp(request->path, "/admin/stats") == 0)
		handle_stats(platform, reply);
	else if (strcmp(request->path, "/admin/dump") == 0)
		fake_store_dump(platform->store, prefix == NULL ? "" : prefix,
		    &reply->body);
	else if (!handle_directory_entry(platform, request, INSTANCE_PATH,
		     DIRECTORY_INSTANCE, reply) &&
	    !handle_directory_entry(
		platform, request, WORKER_PATH, DIRECTORY_WORKER, reply))
		fake_reply_error(reply, 404, "no such path");
}

static bool
parse_call_kind(const struct fake_request *request, enum call_kind *kind)
{
	bool is_get = strcmp(request->method, "GET") == 0;

	if (strcmp(request->path, "/v1/list") == 0) {
		*kind = CALL_LIST;
		return is_get;
	}
	if (strncmp(request->path, KEY_PATH, strlen(KEY_PATH)) != 0)
		return false;
	if (strcmp(request->method, "PUT") == 0)
		*kind = CALL_SWAP;
	else if (strcmp(request->method, "DELETE") == 0)
		*kind = CALL_DELETE;
	else
		*kind = fake_request_query(request, "watch") == NULL
		    ? CALL_GET
		    : CALL_WATCH;
	return is_get || *kind == CALL_SWAP || *kind == CALL_DELETE;
}

/* Counts a call and returns the fault that applies to it, FAULT_NONE if none.
 */
static struct fault
record_call(struct platform *platform, enum call_kind kind, const char *key)
{
	bool is_write = kind == CALL_SWAP || kind == CALL_DELETE;
	struct fault fault;

	(void)pthread_mutex_lock(&platform->lock);
	platform->calls[kind]++;
	fault = platform->fault;
	if (strncmp(key, fault.key_prefix, strlen(fault.key_prefix)) != 0 ||
	    (fault.mode == FAULT_LOSE_ANSWERS && !is_write))
		fault.mode = FAULT_NONE;
	if (fault.mode != FAULT_NONE && platform->fault.count > 0 &&
	    --platform->fault.count == 0)
		platform->fault.mode = FAULT_NONE;
	(void)pthread_mutex_unlock(&platform->lock);
	return fault;
}

static int32_t
outcome_to_http_status(enum store_outcome outcome)
{
	switch (outcome) {
	case STORE_DONE:
		return 200;
	case STORE_ABSENT:
		return 404;
	case STORE_MISMATCH:
		return 412;
	}
	return 500;
}

static enum store_outcome
write_key(struct platform *platform, enum call_kind kind, const char *key,
    const struct fake_request *request, uint64_t expected,
    struct fake_reply *reply)
{
	if (kind == CALL_DELETE)
		return fake_store_delete(
		    platform->store, key, expected, &reply->etag, &reply->body);
	return fake_store_swap(platform->store, key, expected, request->body,
	    request->body_length, fake_request_number(request, "lease_ms", 0),
	    &reply->etag, &reply->body);
}

static void
execute_call(struct platform *platform, enum call_kind kind, const char *key,
    const struct fake_request *request, struct fake_reply *reply)
{
	enum store_outcome outcome = STORE_DONE;
	uint64_t expected;

	switch (kind) {
	case CALL_LIST:
		directory_list(platform->directory, &reply->body);
		return;
	case CALL_GET:
		outcome = fake_store_get(
		    platform->store, key, &reply->etag, &reply->body);
		break;
	case CALL_WATCH:
		outcome = fake_store_watch(platform->store, key,
		    (uint64_t)fake_request_number(request, "watch", 0),
		    fake_request_number(request, "wait_ms", 0), &reply->etag,
		    &reply->body);
		break;
	case CALL_SWAP:
	case CALL_DELETE:
		if (!fake_request_if_match(request, &expected)) {
			fake_reply_error(reply, 400,
			    "the If-Match header is missing or invalid");
			return;
		}
		if (request->body_length > MAX_VALUE_BYTES) {
			fake_reply_error(reply, 413, "the value exceeds 1 MiB");
			return;
		}
		outcome =
		    write_key(platform, kind, key, request, expected, reply);
		break;
	case CALL_KIND_COUNT:
		break;
	}
	reply->status = outcome_to_http_status(outcome);
	reply->has_etag = outcome != STORE_ABSENT && kind != CALL_LIST;
}

static void
S_handle(
    void *context, const struct fake_request *request, struct fake_reply *reply)
{
	struct platform *platform = context;
	struct fault fault;
	enum call_kind kind;
	const char *key;

	if (strncmp(request->path, "/admin/", strlen("/admin/")) == 0) {
		handle_admin(platform, request, reply);
		return;
	}
	if (!parse_call_kind(request, &kind)) {
		fake_reply_error(reply, 404, "no such path");
		return;
	}
	key = kind == CALL_LIST ? "" : request->path + strlen(KEY_PATH);
	fault = record_call(platform, kind, key);
	if (fault.mode == FAULT_DOWN) {
		fake_reply_error(
		    reply, 503, "injected fault: the service is down");
		return;
	}
	if (fault.mode == FAULT_HANG)
		fake_sleep(MAX_HANG_MS, &platform->stopping);
	if (fault.mode == FAULT_SLOW)
		fake_sleep(fault.delay_ms, &platform->stopping);
	reply->cut = fault.mode == FAULT_HANG || fault.mode == FAULT_REFUSE ||
	    fault.mode == FAULT_LOSE_ANSWERS;
	if (reply->cut && fault.mode != FAULT_LOSE_ANSWERS)
		return;
	execute_call(platform, kind, key, request, reply);
}

static int
usage(void)
{
	(void)fputs("usage: fake-platform [--listen IP:PORT] [--log FILE] "
		    "[--list-lag-ms N]\n",
	    stderr);
	return 2;
}

int
main(int argc, char **argv)
{
	static const struct option options[] = {
	    {"listen", required_argument, NULL, 'l'},
	    {"log", required_argument, NULL, 'o'},
	    {"list-lag-ms", required_argument, NULL, 'g'},
	    {NULL, 0, NULL, 0},
	};
	struct platform platform = {.lock = PTHREAD_MUTEX_INITIALIZER};
	const char *listen = "127.0.0.1:0";
	const char *log_path = NULL;
	int64_t lag_ms = DEFAULT_LIST_LAG_MS;
	struct fake_server *server;
	int option;

	while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (option == 'l')
			listen = optarg;
		else if (option == 'o')
			log_path = optarg;
		else if (option == 'g')
			lag_ms = strtoll(optarg, NULL, DECIMAL);
		else
			return usage();
	}
	if (!fake_log_open(log_path))
		return EXIT_FAILURE;
	fake_block_signals();
	platform.store = fake_store_new();
	platform.directory = directory_new(lag_ms);
	server = fake_server_start(listen, S_handle, &platform);
	if (server == NULL)
		return EXIT_FAILURE;
	fake_wait_for_signal(server);
	platform.stopping = true;
	fake_store_close(platform.store);
	fake_server_stop(server);
	directory_free(platform.directory);
	fake_store_free(platform.store);
	return EXIT_SUCCESS;
}
