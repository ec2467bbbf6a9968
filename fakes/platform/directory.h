/* The platform's list of instances and workers; changes become visible to
 * readers after a delay. Calls are thread-safe. */
#ifndef IBIS_FAKE_DIRECTORY_H
#define IBIS_FAKE_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "process/buffer.h"

enum directory_kind {
	DIRECTORY_INSTANCE,
	DIRECTORY_WORKER
};

struct directory;

/* Creates an empty list whose changes become visible after lag_ms. Release it
 * with directory_free. */
struct directory *directory_new(int64_t lag_ms);
void directory_free(struct directory *directory);

/*
 * Adds or replaces the entry name with the JSON object in json, or removes the
 * entry when json is NULL. Returns false when json is not an object.
 */
bool directory_put(struct directory *directory, enum directory_kind kind,
    const char *name, const char *json);

/* Appends {"instances": [...], "workers": [...]} as they were lag_ms ago. */
void directory_list(struct directory *directory, struct buffer *body);

#endif
