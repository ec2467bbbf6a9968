/* Starts and ends a deployment, and sends callers' requests to it. */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <ne_string.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "process/alloc.h"
#include "process/clock.h"
#include "site.h"

#define PROGRAM	       "target/ibistrestled"
#define CALLER_PORT    8521
#define READY_PORT     8523
#define INTERNAL_PORT  7000
#define READY_MS       15000
#define CALL_MS	       3000
#define TICK_MS	       5
#define UPTIME_MS      300000 /* of the workers when a case begins */
#define FIRST_REVISION 10
#define VALUE_BYTES    1048576
#define STATUS_OK      200
#define URL_BYTES      160
#define WORKERS_A_RACK 6
#define ADDRESS_TRIES  50
#define MS_A_SECOND    1000.0

void
site_note(struct site *site, const char *format, ...)
{
	char text[512];
	va_list arguments;

	va_start(arguments, format);
	(void)vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	(void)fprintf(site->record, "%8.3f  %s\n",
	    (double)(clock_now_ms() - site->began_ms) / MS_A_SECOND, text);
	(void)fflush(site->record);
}

static void *
tick(void *context)
{
	struct site *site = context;

	while (!site->stopping) {
		(void)pthread_mutex_lock(&site->lock);
		site_expire_leases(site);
		for (uint32_t i = 0; i < site->options.workers; i++) {
			site_advance(&site->workers[i]);
			site_beat(&site->workers[i]);
		}
		(void)pthread_mutex_unlock(&site->lock);
		(void)poll(NULL, 0, TICK_MS);
	}
	return NULL;
}

static void
put_config(struct site *site)
{
	site_put(site, "op/config",
	    "{\"Version\":7,\"Routes\":[{\"Name\":\"r\",\"Host\":"
	    "\"h.example\",\"Prefix\":\"/q/\",\"Kind\":\"non_idempotent\","
	    "\"TimeoutMs\":3000,\"TargetLatencyMs\":1000,\"Priority\":1,"
	    "\"Service\":\"s\",\"Attempts\":3,\"Stretch\":3.0,"
	    "\"Public\":false}],\"Services\":[{\"Name\":\"s\","
	    "\"HealthPath\":\"/health\",\"MaxConnections\":64,"
	    "\"AdmissionCheck\":false,\"Standby\":false}],\"Limits\":"
	    "{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,"
	    "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":"
	    "[{\"Name\":\"t\",\"ApiKeys\":[\"k1\"],\"Priority\":1,"
	    "\"Guaranteed\":{\"Gpus\":8}}]}");
}

static bool
start_workers(struct site *site)
{
	for (uint32_t i = 0; i < site->options.workers; i++) {
		struct site_worker *worker = &site->workers[i];

		worker->site = site;
		worker->index = i;
		worker->kind = i + 1 == site->options.workers &&
			site->options.last_kind != NULL
		    ? site->options.last_kind
		    : "a";
		(void)snprintf(worker->id, sizeof(worker->id), "%s%u",
		    site->options.id_prefix, (unsigned int)i);
		(void)snprintf(worker->rack, sizeof(worker->rack), "r1-%u",
		    (unsigned int)(i / WORKERS_A_RACK));
		worker->incarnation = 1;
		worker->born_wall_ms = clock_wall_ms() - UPTIME_MS;
		worker->clock_zero_ms = clock_now_ms() - UPTIME_MS;
		worker->server = fake_server_start(
		    "127.0.0.1:0", site_worker_handler, worker);
		if (worker->server == NULL)
			return false;
	}
	return true;
}

/* Returns whether nobody listens on the instance's ports. */
static bool
is_free(const char *ip)
{
	static const uint16_t ports[] = {
	    CALLER_PORT, READY_PORT, INTERNAL_PORT};
	bool all_free = true;

	for (size_t i = 0; i < COUNT_OF(ports); i++) {
		struct sockaddr_in address = {
		    .sin_family = AF_INET,
		    .sin_port = htons(ports[i]),
		};
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		(void)inet_pton(AF_INET, ip, &address.sin_addr);
		all_free &=
		    bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
		(void)close(fd);
	}
	return all_free;
}

static void
choose_address(struct site_instance *instance, uint32_t index)
{
	unsigned int number = (unsigned int)getpid();

	for (uint32_t i = 0; i < ADDRESS_TRIES; i++, number += 7) {
		(void)snprintf(instance->ip, sizeof(instance->ip),
		    "127.%u.%u.%u", 10 + (number >> 8) % 200, number % 250,
		    (unsigned int)index + 1);
		if (is_free(instance->ip))
			return;
	}
}

static bool
write_settings(struct site *site, struct site_instance *instance, uint32_t i)
{
	FILE *file = fopen(instance->settings, "we");

	if (file == NULL)
		return false;
	(void)fprintf(file,
	    "{\"NodeName\":\"edge-z-%u\",\"Role\":\"entry\",\"MachineClass\":"
	    "\"edge\",\"Serves\":[\"edge\"],\"Ip\":\"%s\",\"Zone\":\"z\","
	    "\"Region\":\"g\",\"Zones\":{\"z\":\"g\"},\"ListenAddresses\":"
	    "{\"Frontend\":\"%s:%d\",\"Readiness\":\"%s:%d\"},"
	    "\"InternalPortRange\":[%d,%d],\"Bootstrap\":true,\"Limits\":"
	    "{\"CpuFraction\":0.25,\"Cores\":1,\"MemoryMb\":260,"
	    "\"MaxOpenFiles\":4100,\"LinkMbps\":1000.0,\"DiskMb\":0},"
	    "\"DataDir\":null,\"HeartbeatMs\":1500,\"Bounds\":"
	    "{\"StableWindowMs\":3000,\"AckTimeoutMs\":4000,\"DrainMs\":2000,"
	    "\"GraceS\":6,\"ConfigApplyMs\":2000,\"MaxHoldMs\":10000,"
	    "\"StopTimeoutMs\":200,\"GangTimeoutMs\":3000,\"status_s\":120,"
	    "\"RemotePenalty\":3,\"LeaseMs\":3000},\"ControlMode\":\"rpc\","
	    "\"platform\":{\"Address\":\"%s\",\"form\":\"kv\","
	    "\"WritesPerS\":400,\"ReadsPerS\":2000,\"RetentionS\":20,"
	    "\"ValueBytes\":%d,\"MinTtlMs\":1000}}",
	    (unsigned int)i, instance->ip, instance->ip, CALLER_PORT,
	    instance->ip, READY_PORT, INTERNAL_PORT, INTERNAL_PORT + 15,
	    fake_server_address(site->store.server), VALUE_BYTES);
	return fclose(file) == 0;
}

/* Starts an instance with the command of the deploy file. */
static bool
start_instance(struct site *site, uint32_t i)
{
	struct site_instance *instance = &site->instances[i];

	choose_address(instance, i);
	(void)snprintf(instance->settings, sizeof(instance->settings),
	    "%s/boot-%u.json", site->folder, (unsigned int)i);
	(void)snprintf(instance->log, sizeof(instance->log), "%s/log-%u",
	    site->folder, (unsigned int)i);
	if (!write_settings(site, instance, i))
		return false;
	instance->pid = fork();
	if (instance->pid == 0) {
		(void)setenv("IBISTRESTLE_CONFIG", instance->settings, 1);
		if (freopen(instance->log, "w", stdout) == NULL ||
		    dup2(STDOUT_FILENO, STDERR_FILENO) < 0)
			_exit(1);
		(void)execl(PROGRAM, PROGRAM, "--platform", (char *)NULL);
		_exit(1);
	}
	return instance->pid > 0;
}

static size_t
on_answer(char *bytes, size_t size, size_t count, void *context)
{
	buffer_append(context, bytes, size * count);
	return size * count;
}

static int
send_call(const char *address, const char *method, const char *path,
    const char *body, struct buffer *answer)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *headers = NULL;
	char url[URL_BYTES];
	long status = 0;

	(void)snprintf(url, sizeof(url), "http://%s%s", address, path);
	headers = curl_slist_append(headers, "Host: h.example");
	headers = curl_slist_append(headers, "Authorization: Bearer k1");
	headers = curl_slist_append(headers, "Deadline-Ms: 3000");
	headers = curl_slist_append(headers, "Content-Type: application/json");
	headers = curl_slist_append(headers, "Expect:");
	(void)curl_easy_setopt(easy, CURLOPT_URL, url);
	(void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	(void)curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	(void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)CALL_MS);
	(void)curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_answer);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	if (body != NULL)
		(void)curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	(void)curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	if (curl_easy_perform(easy) == CURLE_OK)
		(void)curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	return (int)status;
}

static bool
is_ready(const struct site_instance *instance)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	char address[64];

	(void)snprintf(
	    address, sizeof(address), "%s:%d", instance->ip, READY_PORT);
	return send_call(address, "GET", "/ibistrestle/ready", NULL, &answer) ==
	    STATUS_OK;
}

static bool
wait_ready(struct site *site)
{
	int64_t until_ms = clock_now_ms() + READY_MS;

	for (uint32_t i = 0; i < SITE_INSTANCES; i++) {
		while (!is_ready(&site->instances[i])) {
			if (clock_now_ms() > until_ms)
				return false;
			(void)poll(NULL, 0, 100);
		}
	}
	return true;
}

struct site *
site_start(const struct site_options *options)
{
	struct site *site = mem_calloc(1, sizeof(*site));
	bool started = true;

	site->options = *options;
	site->checkpoint = mem_calloc(options->checkpoint_bytes + 1, 1);
	memset(site->checkpoint, 'c', options->checkpoint_bytes);
	site->began_ms = clock_now_ms();
	site->record = fopen(getenv("RECORD"), "we");
	if (site->record == NULL)
		return NULL;
	(void)pthread_mutex_init(&site->lock, NULL);
	(void)curl_global_init(CURL_GLOBAL_ALL);
	STRING_COPY(site->folder, "/tmp/review-3-XXXXXX");
	site->store.revision = FIRST_REVISION;
	site->store.max_value_bytes = VALUE_BYTES;
	site->store.server =
	    fake_server_start("127.0.0.1:0", site_store_handler, site);
	if (mkdtemp(site->folder) == NULL || site->store.server == NULL ||
	    !start_workers(site))
		return NULL;
	put_config(site);
	(void)pthread_create(&site->ticker, NULL, tick, site);
	for (uint32_t i = 0; i < SITE_INSTANCES; i++)
		started = start_instance(site, i) && started;
	if (started && wait_ready(site))
		return site;
	site_note(site, "the instances are not ready");
	site_stop(site);
	return NULL;
}

static void
stop_instance(struct site_instance *instance)
{
	if (instance->pid <= 0)
		return;
	(void)kill(instance->pid, SIGKILL);
	(void)waitpid(instance->pid, NULL, 0);
	if (getenv("KEEP_LOGS") == NULL) {
		(void)unlink(instance->log);
		(void)unlink(instance->settings);
	}
}

void
site_stop(struct site *site)
{
	for (uint32_t i = 0; i < SITE_INSTANCES; i++)
		stop_instance(&site->instances[i]);
	site->stopping = true;
	(void)pthread_join(site->ticker, NULL);
	for (uint32_t i = 0; i < site->options.workers; i++)
		fake_server_stop(site->workers[i].server);
	fake_server_stop(site->store.server);
	(void)rmdir(site->folder);
	(void)fclose(site->record);
}

int
site_call(struct site *site, uint32_t instance, const char *method,
    const char *path, const char *body, struct buffer *answer)
{
	CLEANUP(buffer_free) struct buffer own = {0};
	char address[64];
	int status;

	if (answer == NULL)
		answer = &own;
	buffer_clear(answer);
	(void)snprintf(address, sizeof(address), "%s:%d",
	    site->instances[instance].ip, CALLER_PORT);
	status = send_call(address, method, path, body, answer);
	site_note(site, "caller: %s %s%s%.200s to instance %u -> %d %.200s",
	    method, path, body == NULL ? "" : " ", body == NULL ? "" : body,
	    (unsigned int)instance, status, buffer_string(answer));
	return status;
}

int
site_lead(struct site *site)
{
	unsigned char *name = NULL;
	size_t length = 0;
	const char *value;
	int lead = -1;

	(void)pthread_mutex_lock(&site->lock);
	value = site_value(site, "ibis/lead");
	if (value != NULL)
		length = ne_unbase64(value, &name);
	(void)pthread_mutex_unlock(&site->lock);
	if (length > 0)
		lead = name[length - 1] - '0';
	ne_free(name);
	return lead;
}

void
site_kill(struct site *site, uint32_t instance)
{
	site_note(site, "instance %u is killed", (unsigned int)instance);
	(void)kill(site->instances[instance].pid, SIGKILL);
}

bool
site_state_is(struct site *site, const char *id, const char *state)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	char path[64];
	char wanted[64];

	(void)snprintf(path, sizeof(path), "/q/%s", id);
	(void)snprintf(wanted, sizeof(wanted), "{\"State\":\"%s\"}", state);
	return site_call(site, site->asked, "GET", path, NULL, &answer) ==
	    STATUS_OK &&
	    strcmp(buffer_string(&answer), wanted) == 0;
}

struct site_worker *
site_running_on(struct site *site, const char *task)
{
	struct site_worker *worker = NULL;

	(void)pthread_mutex_lock(&site->lock);
	for (size_t i = 0; i < site->runs_count; i++) {
		const struct site_run *run = &site->runs[i];

		if (run->began_ms != 0 && run->ended_ms == 0 &&
		    strcmp(run->task, task) == 0)
			worker = run->worker;
	}
	(void)pthread_mutex_unlock(&site->lock);
	return worker;
}

uint32_t
site_count_runs(struct site *site, const char *task, const char *how)
{
	uint32_t count = 0;

	(void)pthread_mutex_lock(&site->lock);
	for (size_t i = 0; i < site->runs_count; i++) {
		const struct site_run *run = &site->runs[i];

		count += run->began_ms != 0 && strcmp(run->task, task) == 0 &&
		    (how == NULL ||
			(run->how != NULL && strcmp(run->how, how) == 0));
	}
	(void)pthread_mutex_unlock(&site->lock);
	return count;
}
