/* A small site of this review. */
#include "site.h"

#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "http.h"
#include "record.h"

enum {
	MAX_WORKERS = 32,
	CALLER_PORT = 8521,
	READY_PORT = 8523,
	CONTROL_PORT = 8526,
	FIRST_INTERNAL_PORT = 7000,
	IP_BYTES = 32,
	PATH_BYTES = 128,
	ADDRESS_TRIES = 200,
	READY_MS = 15000,
	CALL_MS = 3000,
	TICK_MS = 5
};

struct instance {
	char ip[IP_BYTES];
	char settings[PATH_BYTES];
	char log[PATH_BYTES];
	pid_t pid; /* 0: not running */
};

struct site {
	struct store *store;
	struct worker *workers[MAX_WORKERS];
	size_t workers_count;
	struct instance instances[SITE_INSTANCES];
	char folder[PATH_BYTES / 2];
	char ip[IP_BYTES];
	pthread_mutex_t lock; /* of the list of workers */
	pthread_t ticker;
	atomic_bool stopping;
};

bool
site_has_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return trouble == NULL || strcmp(trouble, "0") != 0;
}

static void *
run_ticker(void *context)
{
	struct site *site = context;

	while (!atomic_load(&site->stopping)) {
		(void)pthread_mutex_lock(&site->lock);
		for (size_t i = 0; i < site->workers_count; i++)
			worker_advance(site->workers[i]);
		(void)pthread_mutex_unlock(&site->lock);
		sleep_ms(TICK_MS);
	}
	return NULL;
}

static void
refuse(
    void *context, const struct http_request *request, struct http_reply *reply)
{
	(void)context;
	(void)request;
	reply->cut = true;
}

/* Returns whether nobody listens on the ports of an address. */
static bool
is_free(const char *ip)
{
	static const uint16_t ports[] = {
	    CALLER_PORT, READY_PORT, CONTROL_PORT, FIRST_INTERNAL_PORT};
	bool all = true;

	for (size_t i = 0; i < sizeof(ports) / sizeof(*ports) && all; i++) {
		struct http_server *server =
		    http_server_start(ip, ports[i], refuse, NULL);

		all = server != NULL;
		http_server_stop(server);
	}
	return all;
}

/* Chooses free loopback addresses for the instances. */
static bool
choose_addresses(struct site *site)
{
	unsigned int number = (unsigned int)getpid();
	int found = 0;

	for (int i = 0; i < ADDRESS_TRIES && found < SITE_INSTANCES; i++) {
		char *ip = site->instances[found].ip;

		(void)snprintf(ip, IP_BYTES, "127.%u.%u.%d",
		    20 + (number >> 8) % 200, number % 256, i + 1);
		found += is_free(ip);
	}
	return found == SITE_INSTANCES;
}

struct site *
site_start(void)
{
	struct site *site = calloc(1, sizeof(*site));

	if (site == NULL)
		return NULL;
	(void)signal(SIGPIPE, SIG_IGN);
	(void)pthread_mutex_init(&site->lock, NULL);
	(void)snprintf(site->ip, sizeof(site->ip), "127.0.0.1");
	(void)snprintf(
	    site->folder, sizeof(site->folder), "/tmp/ibis-review-XXXXXX");
	if (mkdtemp(site->folder) == NULL || !choose_addresses(site) ||
	    (site->store = store_start(site->ip)) == NULL ||
	    pthread_create(&site->ticker, NULL, run_ticker, site) != 0) {
		free(site);
		return NULL;
	}
	return site;
}

static void
stop_instance(struct instance *instance)
{
	if (instance->pid > 0) {
		(void)kill(instance->pid, SIGKILL);
		(void)waitpid(instance->pid, NULL, 0);
	}
	(void)unlink(instance->settings);
	if (getenv("KEEP") == NULL)
		(void)unlink(instance->log);
}

void
site_stop(struct site *site)
{
	if (site == NULL)
		return;
	for (int i = 0; i < SITE_INSTANCES; i++)
		stop_instance(&site->instances[i]);
	atomic_store(&site->stopping, true);
	(void)pthread_join(site->ticker, NULL);
	for (size_t i = 0; i < site->workers_count; i++)
		worker_stop(site->workers[i]);
	store_stop(site->store);
	(void)rmdir(site->folder);
	(void)pthread_mutex_destroy(&site->lock);
	free(site);
}

struct store *
site_store(struct site *site)
{
	return site->store;
}

void
site_configure(struct site *site, const char *config)
{
	store_put(site->store, "op/config", config);
	record("operator: op/config %s", config);
}

struct worker *
site_add_worker_of(struct site *site, const char *id, const char *service,
    const char *kind, const char *rack, int accelerators)
{
	struct worker_config config = {
	    .id = id,
	    .ip = site->ip,
	    .zone = "z",
	    .service = service,
	    .kind = kind,
	    .rack = rack,
	    .accelerators = accelerators,
	};
	struct worker *worker = worker_start(&config, site->store);

	if (worker == NULL || site->workers_count == MAX_WORKERS)
		return NULL;
	(void)pthread_mutex_lock(&site->lock);
	site->workers[site->workers_count++] = worker;
	(void)pthread_mutex_unlock(&site->lock);
	return worker;
}

struct worker *
site_add_worker(struct site *site, const char *id, const char *kind,
    const char *rack, int accelerators)
{
	return site_add_worker_of(site, id, "s", kind, rack, accelerators);
}

/* Writes an instance's settings, with the figures of a small site. */
static bool
write_settings(struct site *site, int index)
{
	struct instance *instance = &site->instances[index];
	FILE *file;

	(void)snprintf(instance->settings, sizeof(instance->settings),
	    "%s/boot-%d.json", site->folder, index);
	(void)snprintf(instance->log, sizeof(instance->log), "%s/log-%d",
	    site->folder, index);
	file = fopen(instance->settings, "we");
	if (file == NULL)
		return false;
	(void)fprintf(file,
	    "{\"NodeName\":\"edge-%d\",\"Role\":\"entry\","
	    "\"MachineClass\":\"edge\",\"Serves\":[\"edge\"],"
	    "\"Ip\":\"%s\",\"Zone\":\"z\",\"Region\":\"g\","
	    "\"Zones\":{\"z\":\"g\"},\"ListenAddresses\":{"
	    "\"Frontend\":\"%s:%d\",\"Readiness\":\"%s:%d\","
	    "\"ControlPlane\":\"%s:%d\"},\"InternalPortRange\":[%d,%d],"
	    "\"Seeds\":[],\"Bootstrap\":true,\"LossCounts\":false,"
	    "\"Limits\":{\"CpuFraction\":0.25,\"Cores\":1,\"MemoryMb\":260,"
	    "\"MaxOpenFiles\":4100,\"LinkMbps\":1000.0,\"DiskMb\":0},"
	    "\"DataDir\":null,\"Discovery\":\"platform\",\"Entry\":\"vip\","
	    "\"HeartbeatMs\":1500,\"Bounds\":{\"StableWindowMs\":3000,"
	    "\"AckTimeoutMs\":4000,\"DrainMs\":2000,\"GraceS\":6,"
	    "\"LossSlackMs\":200,\"ConfigApplyMs\":2000,"
	    "\"EvacuateMs\":5000,\"RecoveryS\":12,\"MaxHoldMs\":10000,"
	    "\"StopTimeoutMs\":200,\"GangTimeoutMs\":3000,"
	    "\"cancel_ms\":3000,\"visible_ms\":3000,\"early_ms\":250,"
	    "\"finish_s\":14,\"status_s\":120,\"RemotePenalty\":3,"
	    "\"CheckpointS\":2,\"RestoreMs\":100},\"ControlMode\":\"rpc\","
	    "\"platform\":{\"Address\":\"%s:%u\",\"form\":\"kv\","
	    "\"WritesPerS\":400,\"ReadsPerS\":2000,\"RetentionS\":20,"
	    "\"ValueBytes\":1048576,\"MinTtlMs\":1000}}",
	    index, instance->ip, instance->ip, CALLER_PORT, instance->ip,
	    READY_PORT, instance->ip, CONTROL_PORT, FIRST_INTERNAL_PORT,
	    FIRST_INTERNAL_PORT + 15, site->ip, store_port(site->store));
	return fclose(file) == 0;
}

/* Runs the command of the deploy file in the child. */
static void
run_instance(const struct instance *instance)
{
	char setting[PATH_BYTES * 2];
	char program[] = "target/ibistrestled";
	char argument[] = "--platform";
	char *arguments[] = {program, argument, NULL};
	char path[] = "PATH=/usr/local/bin:/usr/bin:/bin";
	char *environment[] = {setting, path, NULL};
	int log = open(
	    instance->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

	(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
	(void)snprintf(setting, sizeof(setting), "IBISTRESTLE_CONFIG=%s",
	    instance->settings);
	(void)dup2(log, STDOUT_FILENO);
	(void)dup2(log, STDERR_FILENO);
	(void)execve(program, arguments, environment);
	_exit(127);
}

static bool
start_instance(struct site *site, int index)
{
	struct instance *instance = &site->instances[index];

	if (!write_settings(site, index))
		return false;
	instance->pid = fork();
	if (instance->pid == 0)
		run_instance(instance);
	record("instance %d: started at %s", index, instance->ip);
	return instance->pid > 0;
}

static bool
is_ready(const struct instance *instance)
{
	char address[HTTP_ADDRESS_BYTES];
	char answer[SITE_ANSWER_BYTES];
	struct http_call call = {
	    .address = address,
	    .method = "GET",
	    .path = "/ibistrestle/ready",
	    .host = "h",
	    .timeout_ms = CALL_MS,
	};

	(void)snprintf(
	    address, sizeof(address), "%s:%d", instance->ip, READY_PORT);
	return http_send(&call, answer, sizeof(answer)) == 200;
}

bool
site_start_instances(struct site *site)
{
	int64_t until_ms = now_ms() + READY_MS;
	char lead[SITE_ANSWER_BYTES] = "";
	int ready = 0;

	for (int i = 0; i < SITE_INSTANCES; i++) {
		if (!start_instance(site, i))
			return false;
	}
	while (
	    now_ms() < until_ms && (ready < SITE_INSTANCES || *lead == '\0')) {
		sleep_ms(50);
		ready = 0;
		for (int i = 0; i < SITE_INSTANCES; i++)
			ready += is_ready(&site->instances[i]);
		store_get(site->store, "ibis/lead", lead, sizeof(lead));
	}
	record("%d instances are ready, lead: %s", ready, lead);
	return ready == SITE_INSTANCES && *lead != '\0';
}

int
site_call(struct site *site, int instance, const char *method, const char *path,
    const char *key, const char *body, char answer[SITE_ANSWER_BYTES])
{
	char address[HTTP_ADDRESS_BYTES];
	struct http_call call = {
	    .address = address,
	    .method = method,
	    .path = path,
	    .host = "h",
	    .key = key,
	    .body = body,
	    .timeout_ms = CALL_MS,
	};
	int status;

	(void)snprintf(address, sizeof(address), "%s:%d",
	    site->instances[instance].ip, CALLER_PORT);
	status = http_send(&call, answer, SITE_ANSWER_BYTES);
	record("consumer: instance %d, key %s: %s %s %s -> %d %s", instance,
	    key == NULL ? "none" : key, method, path, body == NULL ? "" : body,
	    status, answer);
	return status;
}

struct worker_job
site_job(struct site *site, const char *job)
{
	struct worker_job sum = {0};

	(void)pthread_mutex_lock(&site->lock);
	for (size_t i = 0; i < site->workers_count; i++)
		worker_add_job(site->workers[i], job, &sum);
	(void)pthread_mutex_unlock(&site->lock);
	return sum;
}

int
site_running(struct site *site)
{
	int count = 0;

	(void)pthread_mutex_lock(&site->lock);
	for (size_t i = 0; i < site->workers_count; i++)
		count += worker_running(site->workers[i]);
	(void)pthread_mutex_unlock(&site->lock);
	return count;
}
