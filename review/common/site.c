/* A small deployment: starts its stand-ins and instances, and calls it. */
#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <fcntl.h>
#include <unistd.h>

#include "process/alloc.h"
#include "site.h"

#define CALLER_PORT	  8521
#define READY_PORT	  8523
#define CONTROL_PORT	  8526
#define INTERNAL_PORT	  7000
#define LAST_INTERNAL	  7015
#define STORE_PORT	  8524
#define WORKER_PORT	  8080
#define FIRST_WORKER_HOST 100
#define STORE_HOST	  90
#define NETWORKS	  200
#define PART_VALUES	  256
#define READY_WAIT_MS	  15000
#define CALL_WAIT_MS	  3000
#define RESTART_DELAY_MS  1000
#define RETRY_MS	  20
#define BYTES_PER_READ	  4096
#define HEADER_BYTES	  1024
#define LOG_MODE	  0600
#define EXIT_NO_EXEC	  127
#define DECIMAL		  10
#define DAEMON_PATH	  "target/ibistrestled"
#define HOST_NAME	  "nony24.example"
#define API_KEY		  "d4a3hwrr6x73d3zji9n7"

/* Returns whether nothing listens at a loopback address. */
static bool
is_free(const char *ip, uint16_t port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_port = htons(port),
	};
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool bound;

	(void)inet_pton(AF_INET, ip, &address.sin_addr);
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	bound = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    listen(fd, 1) == 0;
	(void)close(fd);
	return bound;
}

/* Picks a network in 127.0.0.0/8 whose ports are free. */
static bool
pick_network(struct site *site)
{
	unsigned int number = (unsigned int)getpid();

	for (int try = 0; try < NETWORKS; try++, number += 7) {
		char ip[SITE_TEXT_BYTES * 2];

		(void)snprintf(site->network, sizeof(site->network),
		    "127.%u.%u", 10 + number / PART_VALUES % NETWORKS,
		    number % PART_VALUES);
		(void)snprintf(
		    ip, sizeof(ip), "%s.%d", site->network, STORE_HOST);
		if (!is_free(ip, STORE_PORT))
			continue;
		(void)snprintf(ip, sizeof(ip), "%s.1", site->network);
		if (is_free(ip, CALLER_PORT) && is_free(ip, READY_PORT) &&
		    is_free(ip, INTERNAL_PORT))
			return true;
	}
	return false;
}

static void
write_config(struct site *site)
{
	store_put(site->store, "op/config",
	    "{\"Version\":7,\"Routes\":[{\"Name\":\"r-ce7ejsm\","
	    "\"Host\":\"" HOST_NAME "\",\"Prefix\":\"" SITE_PREFIX "\","
	    "\"Kind\":\"non_idempotent\",\"TimeoutMs\":3000,"
	    "\"TargetLatencyMs\":1000,\"Priority\":1,"
	    "\"Service\":\"huvo11a\",\"Attempts\":4,\"Stretch\":3.0,"
	    "\"Public\":false}],\"Services\":[{\"Name\":\"huvo11a\","
	    "\"HealthPath\":\"/health\",\"MaxConnections\":64,"
	    "\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,"
	    "\"ColdPerS\":0.0,\"AdmissionCheck\":false,\"Standby\":false}],"
	    "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,"
	    "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
	    "\"Tenants\":[{\"Name\":\"kaje80\",\"ApiKeys\":[\"" API_KEY "\"],"
	    "\"Priority\":1,\"Guaranteed\":{\"Gpus\":0}}]}");
}

/* Writes the settings file of an instance, with the fields and bounds of the
 * users' pages. */
static bool
write_settings(struct site *site, struct instance *instance)
{
	FILE *file = fopen(instance->settings_path, "we");

	if (file == NULL)
		return false;
	(void)fprintf(file,
	    "{\"NodeName\":\"%s\",\"Role\":\"entry\","
	    "\"MachineClass\":\"edge\",\"Serves\":[\"edge\"],\"Ip\":\"%s\","
	    "\"Zone\":\"sound-north\",\"Region\":\"pnw-sound\","
	    "\"Zones\":{\"sound-north\":\"pnw-sound\"},"
	    "\"ListenAddresses\":{\"Frontend\":\"%s:%d\","
	    "\"Readiness\":\"%s:%d\",\"ControlPlane\":\"%s:%d\"},"
	    "\"InternalPortRange\":[%d,%d],\"Seeds\":[],\"Bootstrap\":true,"
	    "\"LossCounts\":false,\"Limits\":{\"CpuFraction\":0.25,"
	    "\"Cores\":1,\"MemoryMb\":260,\"MaxOpenFiles\":4100,"
	    "\"LinkMbps\":1000.0,\"DiskMb\":0},\"DataDir\":null,"
	    "\"Discovery\":\"platform\",\"Entry\":\"vip\","
	    "\"HeartbeatMs\":1500,",
	    instance->name, instance->ip, instance->ip, CALLER_PORT,
	    instance->ip, READY_PORT, instance->ip, CONTROL_PORT, INTERNAL_PORT,
	    LAST_INTERNAL);
	(void)fprintf(file,
	    "\"FaultTolerance\":{\"Machines\":1,\"Zones\":1,\"Regions\":0},"
	    "\"Bounds\":{\"StableWindowMs\":3000,\"AckTimeoutMs\":4000,"
	    "\"DrainMs\":2000,\"GraceS\":6,\"LossSlackMs\":200,"
	    "\"ConfigApplyMs\":2000,\"RollbackSlackMs\":250,"
	    "\"MaxStretchMs\":5000,\"EvacuateMs\":5000,\"RecoveryS\":12,"
	    "\"MaxHoldMs\":10000,\"StopTimeoutMs\":200,"
	    "\"GangTimeoutMs\":3000,\"cancel_ms\":3000,\"visible_ms\":3000,"
	    "\"early_ms\":250,\"finish_s\":14,\"status_s\":%" PRId32
	    ",\"RemotePenalty\":3,\"CheckpointS\":0.5,\"RestoreMs\":600,"
	    "\"NoticeMs\":4500,\"EnforceFencing\":false,\"LeaseMs\":3000},"
	    "\"ControlMode\":\"rpc\",\"platform\":{\"Address\":\"%s.%d:%d\","
	    "\"form\":\"kv\",\"WritesPerS\":400,\"ReadsPerS\":2000,"
	    "\"RetentionS\":20,\"ValueBytes\":1048576,\"MinTtlMs\":1000}}",
	    site->retention_s, site->network, STORE_HOST, STORE_PORT);
	return fclose(file) == 0;
}

/* Runs in the child, which has the path of its settings in its environment. */
static void
run_instance(int log)
{
	char *arguments[] = {DAEMON_PATH, "--platform", NULL};

	(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (dup2(log, STDOUT_FILENO) >= 0 && dup2(log, STDERR_FILENO) >= 0)
		(void)execv(DAEMON_PATH, arguments);
	_exit(EXIT_NO_EXEC);
}

static bool
start_instance(struct site *site, struct instance *instance)
{
	int log = open(instance->log_path,
	    O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LOG_MODE);

	if (log < 0 || !write_settings(site, instance) ||
	    setenv("IBISTRESTLE_CONFIG", instance->settings_path, 1) != 0)
		return false;
	instance->pid = fork();
	if (instance->pid == 0)
		run_instance(log);
	(void)close(log);
	record_line("%s: started", instance->name);
	return instance->pid > 0;
}

void
site_watch_instances(struct site *site)
{
	for (uint32_t i = 0; i < SITE_INSTANCES; i++) {
		struct instance *instance = &site->instances[i];
		int status = 0;

		if (instance->pid > 0 &&
		    waitpid(instance->pid, &status, WNOHANG) == instance->pid) {
			record_line("%s: ENDS BY ITSELF, %s %d", instance->name,
			    WIFSIGNALED(status) ? "signal" : "exit code",
			    WIFSIGNALED(status) ? WTERMSIG(status)
						: WEXITSTATUS(status));
			instance->pid = 0;
			instance->own_ends++;
			instance->ended_ms = record_ms();
		}
		if (instance->pid == 0 &&
		    record_ms() - instance->ended_ms >= RESTART_DELAY_MS)
			(void)start_instance(site, instance);
	}
}

static int
connect_to(const char *ip, uint16_t port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_port = htons(port),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	(void)inet_pton(AF_INET, ip, &address.sin_addr);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	(void)close(fd);
	return -1;
}

/* Reads until the peer closes the channel or the time is over. */
static void
read_answer(int fd, struct buffer *answer)
{
	int64_t until_ms = record_ms() + CALL_WAIT_MS;
	struct pollfd events = {.fd = fd, .events = POLLIN};
	char bytes[BYTES_PER_READ];
	ssize_t length;

	while (record_ms() < until_ms &&
	    poll(&events, 1, (int)(until_ms - record_ms())) > 0) {
		length = read(fd, bytes, sizeof(bytes));
		if (length <= 0)
			return;
		buffer_append(answer, bytes, (size_t)length);
	}
}

/* Sends a request on a new channel; returns the status, 0 without a whole
 * answer. body is set to the answer's body. */
static int
send_request(const char *ip, uint16_t port, const char *request,
    struct buffer *answer, const char **body)
{
	int fd = connect_to(ip, port);
	size_t length = strlen(request);
	const char *end;

	*body = "";
	if (fd < 0)
		return 0;
	if (send(fd, request, length, MSG_NOSIGNAL) == (ssize_t)length)
		read_answer(fd, answer);
	(void)close(fd);
	end = strstr(buffer_string(answer), "\r\n\r\n");
	if (end == NULL)
		return 0;
	*body = end + strlen("\r\n\r\n");
	return (int)strtol(
	    buffer_string(answer) + strlen("HTTP/1.1 "), NULL, DECIMAL);
}

static bool
is_ready(const struct instance *instance)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	const char *body;

	return send_request(instance->ip, READY_PORT,
		   "GET /ibistrestle/ready HTTP/1.1\r\nHost: x\r\n"
		   "Connection: close\r\n\r\n",
		   &answer, &body) == 200;
}

static bool
wait_ready(struct site *site)
{
	char lead[SITE_TEXT_BYTES] = "";

	for (uint32_t i = 0; i < SITE_INSTANCES; i++) {
		while (!is_ready(&site->instances[i])) {
			if (record_ms() > READY_WAIT_MS)
				return false;
			sleep_ms(RETRY_MS);
		}
	}
	while (*lead == '\0') {
		if (record_ms() > READY_WAIT_MS)
			return false;
		sleep_ms(RETRY_MS);
		store_lead(site->store, lead, sizeof(lead));
	}
	return true;
}

static void
start_workers(struct site *site, uint32_t count, const char *last_kind)
{
	char address[SITE_TEXT_BYTES * 2];

	site->workers_count = count;
	for (uint32_t i = 0; i < count; i++) {
		(void)snprintf(address, sizeof(address), "%s.%" PRIu32 ":%d",
		    site->network, FIRST_WORKER_HOST + i, WORKER_PORT);
		worker_start(&site->workers[i], site->store, i, address,
		    i + 1 == count ? last_kind : "a");
	}
}

static void
prepare_instance(struct site *site, uint32_t index)
{
	struct instance *instance = &site->instances[index];

	instance->index = index;
	(void)snprintf(instance->name, sizeof(instance->name),
	    "edge-sound-north-%" PRIu32, index + 1);
	(void)snprintf(instance->ip, sizeof(instance->ip), "%.60s.%" PRIu32,
	    site->network, index + 1);
	(void)snprintf(instance->settings_path, sizeof(instance->settings_path),
	    "%.60s/%" PRIu32 ".json", site->folder, index);
	(void)snprintf(instance->log_path, sizeof(instance->log_path),
	    "%.60s/%" PRIu32 ".log", site->folder, index);
}

bool
site_start(struct site *site, uint32_t workers_count, const char *last_kind,
    int32_t retention_s)
{
	char address[SITE_TEXT_BYTES * 2];

	site->retention_s = retention_s;
	STRING_COPY(site->folder, "/tmp/ibis-review-XXXXXX");
	if (access(DAEMON_PATH, X_OK) != 0 || mkdtemp(site->folder) == NULL ||
	    !pick_network(site))
		return false;
	(void)snprintf(address, sizeof(address), "%s.%d:%d", site->network,
	    STORE_HOST, STORE_PORT);
	site->store = store_start(address);
	if (site->store == NULL)
		return false;
	write_config(site);
	start_workers(site, workers_count, last_kind);
	for (uint32_t i = 0; i < SITE_INSTANCES; i++) {
		prepare_instance(site, i);
		if (!start_instance(site, &site->instances[i]))
			return false;
	}
	if (!wait_ready(site))
		return false;
	record_line("all instances are ready");
	return true;
}

/* Keeps an instance's log when KEEP_LOGS names a folder. */
static void
keep_log(const struct instance *instance)
{
	const char *folder = getenv("KEEP_LOGS");
	char path[SITE_TEXT_BYTES * 3];

	if (folder == NULL) {
		(void)unlink(instance->log_path);
		return;
	}
	(void)snprintf(
	    path, sizeof(path), "%.180s/%s.log", folder, instance->name);
	(void)rename(instance->log_path, path);
}

void
site_stop(struct site *site)
{
	for (uint32_t i = 0; i < SITE_INSTANCES; i++) {
		struct instance *instance = &site->instances[i];

		if (instance->pid > 0) {
			(void)kill(instance->pid, SIGKILL);
			(void)waitpid(instance->pid, NULL, 0);
		}
		instance->pid = 0;
		if (*instance->settings_path == '\0')
			continue;
		(void)unlink(instance->settings_path);
		keep_log(instance);
	}
	for (uint32_t i = 0; i < site->workers_count; i++)
		worker_stop(&site->workers[i]);
	store_stop(site->store);
	(void)rmdir(site->folder);
}

int
site_call(struct site *site, const struct call *call)
{
	CLEANUP(buffer_free) struct buffer request = {0};
	CLEANUP(buffer_free) struct buffer answer = {0};
	const struct instance *instance = &site->instances[call->instance];
	const char *body = call->body == NULL ? "" : call->body;
	const char *answer_body;
	int64_t sent_ms = record_ms();
	int status;

	buffer_printf(&request,
	    "%s " SITE_PREFIX "%s HTTP/1.1\r\nHost: " HOST_NAME "\r\n"
	    "Authorization: Bearer " API_KEY "\r\nDeadline-Ms: %d\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n"
	    "Connection: close\r\n\r\n%s",
	    call->method, call->path, CALL_WAIT_MS, strlen(body), body);
	status = send_request(instance->ip, CALLER_PORT,
	    buffer_string(&request), &answer, &answer_body);
	if (!call->quiet)
		record_line("caller -> %s: %s %s%s -> %d %s (%" PRId64 " ms)",
		    instance->name, call->method, SITE_PREFIX, call->path,
		    status, answer_body, record_ms() - sent_ms);
	if (call->answer != NULL)
		string_copy(call->answer, call->answer_bytes, answer_body);
	return status;
}

int
site_submit(struct site *site, uint32_t instance, const struct job *job)
{
	CLEANUP(buffer_free) struct buffer body = {0};
	struct call call = {
	    .instance = instance,
	    .method = "POST",
	    .path = job->id,
	};

	buffer_printf(&body,
	    "{\"Spec\":\"work_ms=%" PRId64 "\",\"Steps\":[{\"Count\":%" PRIu32
	    ",\"Cpu\":4000,\"MemMb\":1024,\"Gpus\":%" PRIu32
	    ",\"EstimateMs\":%" PRId64,
	    job->work_ms, job->tasks, job->accelerators, job->work_ms);
	if (job->requires != NULL)
		buffer_printf(&body, ",\"Requires\":\"%s\"", job->requires);
	buffer_puts(&body, "}]}");
	call.body = buffer_string(&body);
	return site_call(site, &call);
}

void
site_state(struct site *site, uint32_t instance, const char *id, char *state,
    size_t bytes)
{
	char answer[HEADER_BYTES] = "";
	struct call call = {
	    .instance = instance,
	    .method = "GET",
	    .path = id,
	    .answer = answer,
	    .answer_bytes = sizeof(answer),
	};
	int status = site_call(site, &call);
	const char *value = strstr(answer, "\"State\":\"");

	string_copy(state, bytes, "none");
	if (status != 200 || value == NULL)
		return;
	string_copy(state, bytes, value + strlen("\"State\":\""));
	state[strcspn(state, "\"")] = '\0';
}

int64_t
site_pending_jobs(struct site *site, uint32_t instance)
{
	char answer[HEADER_BYTES] = "";
	struct call call = {
	    .instance = instance,
	    .method = "GET",
	    .path = "",
	    .answer = answer,
	    .answer_bytes = sizeof(answer),
	};
	int status = site_call(site, &call);
	const char *value = strstr(answer, "\"PendingJobs\":");

	if (status != 200 || value == NULL)
		return -1;
	return strtoll(value + strlen("\"PendingJobs\":"), NULL, DECIMAL);
}

size_t
site_count_runs(struct site *site, const char *id)
{
	size_t count = 0;

	for (uint32_t i = 0; i < site->workers_count; i++)
		count += worker_count_runs(&site->workers[i], id);
	return count;
}
