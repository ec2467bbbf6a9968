/*
 * One version of the operators' configuration as the instances use it: the
 * routes from a request's host and path to the service that runs the job, and
 * the workspaces with the API keys that identify them.
 */
#ifndef IBIS_ROUTES_H
#define IBIS_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A route's use of the advice service. Only needed is used so far; the times
 * are DecisionMs, PerWorkerMs and ValidMs of the configuration. */
struct route_advice {
	bool needed; /* a start needs a ticket from the advice service */
	int64_t decision_ms;
	int64_t per_worker_ms;
	int64_t valid_ms;
};

/* A route; the jobs submitted through it get its priority, attempts and
 * objective. It owns its texts, which have any length. */
struct route {
	char *name;
	char *host;
	char *prefix;
	char *service;		/* whose workers run the jobs */
	uint32_t priority;	/* 0 comes first */
	uint32_t attempts;	/* failed runs of a task that end its job */
	uint32_t stretch_milli; /* ratio of objective to work, in thousandths */
	int64_t target_ms;	/* the objective's fixed part */
	bool open;		/* requests need no API key */
	struct route_advice advice;
};

/* An API key and the workspace it identifies. */
struct routes_key {
	char *key;	  /* owned; of any length */
	size_t workspace; /* index into workspaces */
};

/* A workspace of the configuration. */
struct routes_workspace {
	char *name; /* owned */
	int64_t guaranteed_accelerators;
	/* Most that its jobs may have running; 0: no limit. */
	int64_t cap_cpu_milli;
	int64_t cap_memory_mb;
	int64_t cap_accelerators;
	uint32_t weight_milli; /* its share when all is full; 0: as others */
};

/* The configuration; owns its arrays and what their elements own. */
struct routes {
	uint64_t version; /* of the configuration */
	struct route *routes;
	size_t routes_count;
	struct routes_workspace *workspaces;
	size_t workspaces_count;
	struct routes_key *keys;
	size_t keys_count;
	size_t unusable; /* entries of the configuration that were left out */
	const struct route **by_name; /* NULL before routes_index */
};

/* Returns routes with zeroed arrays of the given sizes. All counts are 0; the
 * caller fills the arrays, sets the counts and frees with routes_free. */
struct routes *routes_new(
    size_t routes_count, size_t workspaces_count, size_t keys_count);

/* Frees routes; NULL does nothing. */
void routes_free(struct routes *routes);

/* Returns the route of a host with the longest prefix of path, or NULL if none
 * matches. Case of the host is ignored. *rest points to the part of path after
 * the prefix, the whole of path if none matches. */
const struct route *routes_match(const struct routes *routes, const char *host,
    const char *path, const char **rest);

/* Prepares routes_find; called once all routes are filled in. */
void routes_index(struct routes *routes);

/* Returns the route with a name, or NULL when there is none. */
const struct route *routes_find(const struct routes *routes, const char *name);

/* Returns the workspace that an API key identifies, NULL if the key is unknown
 * or empty. */
const struct routes_workspace *routes_find_workspace(
    const struct routes *routes, const char *key);

#ifdef __cplusplus
}
#endif

#endif
