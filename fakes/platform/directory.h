/* The platform's lagging list of instances and workers. */
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

struct directory *directory_new(int64_t lag_ms);
void directory_free(struct directory *directory);

/*
 * Puts an entry from a JSON object's text, or removes it when json is NULL.
 * Returns false when the text is not an object.
 */
bool directory_put(struct directory *directory, enum directory_kind kind,
    const char *name, const char *json);

/* Appends the list as it stood lag_ms ago. */
void directory_list(struct directory *directory, struct buffer *body);

#endif
