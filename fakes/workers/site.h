/* All workers of one fake-workers process, and their faults over HTTP. */
#ifndef IBIS_FAKE_SITE_H
#define IBIS_FAKE_SITE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/fake_server.h"

struct site;

struct site_config {
	double time_scale;
	int64_t checkpoint_ms;
	uint64_t seed; /* of the incarnations */
};

struct site *site_new(const struct site_config *config);
void site_free(struct site *site);

void site_add_worker(struct site *site, const char *name,
    const char *availability_zone, const char *rack, uint32_t accelerators);

/* Adds the workers of a layout file; false with a message on stderr. */
bool site_read_layout(struct site *site, const char *path);

/* Starts the thread that moves time on. */
bool site_start(struct site *site);

/* Ends that thread and all waiting requests. */
void site_end(struct site *site);

/* Registers all workers with a platform; false if it can't be reached. */
bool site_register(
    struct site *site, const char *platform, const char *address);

/* Handler of the HTTP server; context is the site. */
void site_handle(void *context, const struct fake_request *request,
    struct fake_reply *reply);

#endif
