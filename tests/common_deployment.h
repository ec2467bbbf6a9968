/*
 * A whole site as processes on loopback: the stand-ins for the platform and
 * the workers, and instances. Ends only what it has started.
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
	double time_scale; /* of the workers; 0: 1 */
	uint32_t seed;
	int32_t list_lag_ms;			       /* 0: 200 */
	const char *settings[DEPLOYMENT_MAX_SETTINGS]; /* KEY=VALUE */
};

struct deployment_instance {
	char name[JOB_NAME_BYTES];
	char zone[JOB_NAME_BYTES];
	char caller[DEPLOYMENT_ADDRESS_BYTES];
	char peer[DEPLOYMENT_ADDRESS_BYTES];
	char log[DEPLOYMENT_PATH_BYTES];
	struct process process;
};

struct deployment {
	struct deployment_config config;
	char folder[DEPLOYMENT_PATH_BYTES];
	char platform_log[DEPLOYMENT_PATH_BYTES];
	char workers_log[DEPLOYMENT_PATH_BYTES];
	char platform_address[DEPLOYMENT_ADDRESS_BYTES];
	char workers_address[DEPLOYMENT_ADDRESS_BYTES];
	struct process platform;
	struct process workers;
	struct deployment_instance instances[DEPLOYMENT_MAX_INSTANCES];
	uint32_t count;
};

/* Reads and checks a document's file; the caller frees the result. */
struct document *deployment_read_document(
    const char *path, struct ibis_status *status);

/*
 * Starts a site, accepts its document and waits until an instance leads and
 * all serve. False with messages on standard error; stop it even then.
 */
bool deployment_start(
    struct deployment *deployment, const struct deployment_config *config);

/* Kills what still runs. Logs are kept when keep is set; its folder is then
 * printed. */
void deployment_stop(struct deployment *deployment, bool keep);

/* Kills an instance, starts it again under the same name. */
void deployment_kill(struct deployment *deployment, uint32_t instance);
bool deployment_restart(struct deployment *deployment, uint32_t instance);

/* Makes the platform's list name another peer address of an instance. */
bool deployment_list_peer(
    struct deployment *deployment, uint32_t instance, const char *peer);

/* The instance that the running ones take for the lead; -1 for none. */
int deployment_lead(struct deployment *deployment);

/* As deployment_lead, but waits for one that is not `not` and runs. */
int deployment_wait_lead(
    struct deployment *deployment, int not, int32_t timeout_ms);

/*
 * Sends one request to an instance, at most once. The answer is the caller's;
 * its http_status is 0 when there was none.
 */
enum ibis_code deployment_send(struct deployment *deployment, uint32_t instance,
    const struct client_call *call, struct client_answer *answer,
    struct ibis_status *status);
enum ibis_code deployment_get(struct deployment *deployment, uint32_t instance,
    const char *path, struct client_answer *answer);

/* Takes a zone out or back; order is "out" or "in". *answer is the caller's. */
enum ibis_code deployment_zone(struct deployment *deployment, uint32_t instance,
    const char *zone, const char *order, struct client_answer *answer);

/* Sets a fault of the platform or of a worker ("*": all), given as the body's
 * JSON. */
bool deployment_fault_platform(struct deployment *deployment, const char *body);
bool deployment_fault_worker(
    struct deployment *deployment, const char *worker, const char *body);

/* Asks until the condition holds; false when it does not within the time. */
typedef bool deployment_condition(void *context);
bool deployment_wait(
    deployment_condition *condition, void *context, int32_t timeout_ms);

/* Waits until a log has count events of a name. */
bool deployment_wait_events(
    const char *log_path, const char *event, size_t count, int32_t timeout_ms);

/* Path of a file in the source tree; static, until the next call. */
const char *deployment_source_path(const char *file);

#endif
