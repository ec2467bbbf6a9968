/*
 * One version of the operators' configuration as the instances use it: routes
 * to queues, the services that run them, and the workspaces with their keys.
 */
#ifndef IBIS_ROUTES_H
#define IBIS_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum {
	ROUTES_NAME_BYTES = 64,
	ROUTES_HOST_BYTES = 128,
	ROUTES_PREFIX_BYTES = 256,
	ROUTES_KEY_BYTES = 128
};

struct route_advice {
	bool needed; /* a start needs a ticket of the advice service */
	int64_t decision_ms;
	int64_t per_worker_ms;
	int64_t valid_ms;
};

struct route {
	char name[ROUTES_NAME_BYTES];
	char host[ROUTES_HOST_BYTES];
	char prefix[ROUTES_PREFIX_BYTES];
	char service[ROUTES_NAME_BYTES]; /* whose workers run it */
	uint32_t priority;		 /* 0 comes first */
	uint32_t attempts;		 /* failed runs that end a job */
	uint32_t stretch_milli; /* objective over the work, thousandths */
	int64_t target_ms;	/* the objective's fixed part */
	bool open;		/* no key needed */
	struct route_advice advice;
};

struct routes_key {
	char key[ROUTES_KEY_BYTES];
	size_t workspace; /* index */
};

struct routes_workspace {
	char name[ROUTES_NAME_BYTES];
	int64_t guaranteed_accelerators;
};

struct routes {
	uint64_t version;
	struct route *routes;
	size_t routes_count;
	struct routes_workspace *workspaces;
	size_t workspaces_count;
	struct routes_key *keys;
	size_t keys_count;
};

struct routes *routes_new(
    size_t routes_count, size_t workspaces_count, size_t keys_count);
void routes_free(struct routes *routes);

/* The route with the longest prefix of the path, or NULL. *rest gets the path
 * behind the prefix. */
const struct route *routes_match(const struct routes *routes, const char *host,
    const char *path, const char **rest);

/* The workspace of a key, or NULL. */
const struct routes_workspace *routes_workspace_of(
    const struct routes *routes, const char *key);

#ifdef __cplusplus
}
#endif

#endif
