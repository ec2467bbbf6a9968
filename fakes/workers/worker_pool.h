/* All workers of one fake-workers process, and the HTTP interface that runs
 * commands on them and injects faults. */
#ifndef IBIS_FAKE_WORKER_POOL_H
#define IBIS_FAKE_WORKER_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "common/fake_server.h"

struct worker_pool;

struct worker_pool_config {
	double time_scale;     /* run times are divided by it */
	int64_t checkpoint_ms; /* how long a task takes to save a checkpoint */
	uint64_t seed;	       /* of the first incarnation numbers */
};

/* Creates an empty pool. Release it with worker_pool_free. */
struct worker_pool *worker_pool_new(const struct worker_pool_config *config);
void worker_pool_free(struct worker_pool *pool);

/* Adds a worker; call it before worker_pool_start. */
void worker_pool_add(struct worker_pool *pool, const char *name,
    const char *availability_zone, const char *rack, uint32_t accelerators);

/* Adds the workers of a layout file, a JSON array. Returns false, with a
 * message on stderr, when the file cannot be read or is not an array. */
bool worker_pool_read_layout(struct worker_pool *pool, const char *path);

/* Starts the thread that advances all tasks with the clock. Returns false when
 * the thread cannot be created. */
bool worker_pool_start(struct worker_pool *pool);

/* Stops that thread and makes all blocked requests return. */
void worker_pool_stop(struct worker_pool *pool);

/* Registers all workers with the platform at IP:PORT, under the address of this
 * process's server. Returns false when a call fails. */
bool worker_pool_register(
    struct worker_pool *pool, const char *platform, const char *address);

/* Handler for fake_server_start; context is the pool. */
void worker_pool_handle(void *context, const struct fake_request *request,
    struct fake_reply *reply);

#endif
