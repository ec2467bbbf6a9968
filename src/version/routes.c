/* Allocation of routes and their look-up by path and by API key. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "process/alloc.h"
#include "version/routes.h"

struct routes *
routes_new(size_t routes_count, size_t workspaces_count, size_t keys_count)
{
	struct routes *routes = mem_calloc(1, sizeof(*routes));

	routes->routes = mem_calloc(routes_count + 1, sizeof(struct route));
	routes->workspaces =
	    mem_calloc(workspaces_count + 1, sizeof(struct routes_workspace));
	routes->keys = mem_calloc(keys_count + 1, sizeof(struct routes_key));
	return routes;
}

static void
free_route(struct route *route)
{
	mem_free(route->name);
	mem_free(route->host);
	mem_free(route->prefix);
	mem_free(route->service);
}

void
routes_free(struct routes *routes)
{
	if (routes == NULL)
		return;
	for (size_t i = 0; i < routes->routes_count; i++)
		free_route(&routes->routes[i]);
	mem_free(routes->routes);
	for (size_t i = 0; i < routes->workspaces_count; i++)
		mem_free(routes->workspaces[i].name);
	mem_free(routes->workspaces);
	for (size_t i = 0; i < routes->keys_count; i++)
		mem_free(routes->keys[i].key);
	mem_free(routes->keys);
	mem_free(routes->by_name);
	mem_free(routes);
}

const struct route *
routes_match(const struct routes *routes, const char *host, const char *path,
    const char **rest)
{
	const struct route *best = NULL;
	size_t best_length = 0;

	for (size_t i = 0; i < routes->routes_count; i++) {
		const struct route *route = &routes->routes[i];
		size_t length = strlen(route->prefix);

		if (strcasecmp(route->host, host) != 0 ||
		    strncmp(route->prefix, path, length) != 0)
			continue;
		if (best == NULL || length > best_length) {
			best = route;
			best_length = length;
		}
	}
	*rest = path + best_length;
	return best;
}

static int
compare_names(const void *left, const void *right)
{
	const struct route *const *left_route = left;
	const struct route *const *right_route = right;

	return strcmp((*left_route)->name, (*right_route)->name);
}

void
routes_index(struct routes *routes)
{
	routes->by_name =
	    mem_calloc(routes->routes_count + 1, sizeof(*routes->by_name));
	for (size_t i = 0; i < routes->routes_count; i++)
		routes->by_name[i] = &routes->routes[i];
	qsort(routes->by_name, routes->routes_count, sizeof(*routes->by_name),
	    compare_names);
}

static int
compare_to_name(const void *name, const void *route)
{
	return strcmp(name, (*(const struct route *const *)route)->name);
}

const struct route *
routes_find(const struct routes *routes, const char *name)
{
	const struct route *const *found = bsearch(name, routes->by_name,
	    routes->routes_count, sizeof(*routes->by_name), compare_to_name);

	return found == NULL ? NULL : *found;
}

const struct routes_workspace *
routes_find_workspace(const struct routes *routes, const char *key)
{
	if (*key == '\0')
		return NULL;
	for (size_t i = 0; i < routes->keys_count; i++) {
		if (strcmp(routes->keys[i].key, key) == 0)
			return &routes->workspaces[routes->keys[i].workspace];
	}
	return NULL;
}
