/*
 * Runs a whole site as child processes on loopback: the fake platform, the fake
 * workers and the instances. Only processes that it started are ended. Start
 * and restart from the main thread only, see process_start.
 */
#ifndef IBIS_COMMON_DEPLOYMENT_H
#define IBIS_COMMON_DEPLOYMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common_log.h"
#include "common_process.h"
#include "request/client.h"
#include "request/job.h"
#include "version/document.h"

enum {
	DEPLOYMENT_MAX_INSTANCES = 8,
	DEPLOYMENT_MAX_SETTINGS = 16,
	DEPLOYMENT_ADDRESS_BYTES = 64,
	DEPLOYMENT_PATH_BYTES = 256
};

struct deployment_config {
	const char *document_path;
	uint32_t instances;
	double time_scale; /* divides the workers' run times; 0: 1 */
	uint32_t seed;
	int32_t list_lag_ms; /* delay of the platform's instance list; 0: 200 */
	/* KEY=VALUE, the same for all instances; NULL after the last. */
	const char *settings[DEPLOYMENT_MAX_SETTINGS];
};

struct deployment_instance {
	char name[JOB_NAME_BYTES];
	char zone[JOB_NAME_BYTES];
	char caller[DEPLOYMENT_ADDRESS_BYTES]; /* IP:PORT for callers */
	char peer[DEPLOYMENT_ADDRESS_BYTES];   /* IP:PORT for other instances */
	char log[DEPLOYMENT_PATH_BYTES];       /* path */
	struct process process;
};

struct deployment {
	struct deployment_config config;
	char directory[DEPLOYMENT_PATH_BYTES];	  /* of logs and settings */
	char platform_log[DEPLOYMENT_PATH_BYTES]; /* path */
	char workers_log[DEPLOYMENT_PATH_BYTES];  /* path */
	char platform_address[DEPLOYMENT_ADDRESS_BYTES];
	char workers_address[DEPLOYMENT_ADDRESS_BYTES];
	struct process platform;
	struct process workers;
	struct deployment_instance instances[DEPLOYMENT_MAX_INSTANCES];
	uint32_t count; /* of instances */
};

/* Reads and validates a document file. The caller frees the result with
 * document_free; NULL with *status set when it is unreadable or invalid. */
struct document *deployment_read_document(
    const char *path, struct ibis_status *status);

/*
 * Starts a site, submits its document and waits until there is a lead and all
 * instances are ready. config's strings must outlive the deployment. False on
 * failure; the caller has to call deployment_stop then, too.
 */
bool deployment_start(
    struct deployment *deployment, const struct deployment_config *config);

/* Kills all remaining processes and removes the logs; with keep, leaves the
 * logs and prints their directory to standard error. */
void deployment_stop(struct deployment *deployment, bool keep);

/* Kills an instance with SIGKILL. */
void deployment_kill(struct deployment *deployment, uint32_t instance);

/* Starts an instance that is not running, under its old name and on new ports,
 * and registers it with the platform. False when it doesn't become ready. */
bool deployment_restart(struct deployment *deployment, uint32_t instance);

/* Replaces the peer address of an instance in the platform's instance list;
 * false when the platform refuses or doesn't answer. */
bool deployment_set_listed_peer(
    struct deployment *deployment, uint32_t instance, const char *peer);

/* Index of the lead as the first running instance that answers reports it; -1
 * when there is none. */
int deployment_lead(struct deployment *deployment);

/* Waits for a running lead other than the excluded instance (-1: any) and
 * returns its index; -1 on timeout. */
int deployment_wait_lead(
    struct deployment *deployment, int excluded, int32_t timeout_ms);

/*
 * Sends one request to an instance, without retries. *status describes a
 * failure. The caller frees *answer with client_answer_free; its http_status is
 * 0 when there was no response.
 */
enum ibis_code deployment_send(struct deployment *deployment, uint32_t instance,
    const struct client_call *call, struct client_answer *answer,
    struct ibis_status *status);

/* Sends a GET request like deployment_send. */
enum ibis_code deployment_get(struct deployment *deployment, uint32_t instance,
    const char *path, struct client_answer *answer);

/* Takes a zone out of service or returns it; command is "out" or "in". The
 * caller frees *answer with client_answer_free. */
enum ibis_code deployment_send_zone_command(struct deployment *deployment,
    uint32_t instance, const char *zone, const char *command,
    struct client_answer *answer);

/* Injects a fault, given as a JSON body, into the fake platform or a worker
 * (all workers: "*"). False when the fake refuses or doesn't answer. */
bool deployment_set_platform_fault(
    struct deployment *deployment, const char *body);
bool deployment_set_worker_fault(
    struct deployment *deployment, const char *worker, const char *body);

/* Calls a condition until it returns true; false on timeout. */
typedef bool deployment_condition(void *context);
bool deployment_wait(
    deployment_condition *condition, void *context, int32_t timeout_ms);

/* Waits until a log contains at least count events of a name; false on
 * timeout. */
bool deployment_wait_events(
    const char *log_path, const char *event, size_t count, int32_t timeout_ms);

/* Returns the path of a file in the source tree (IBIS_SOURCE, default: the
 * working directory) in a static buffer that the next call overwrites. */
const char *deployment_source_path(const char *file);

#endif
