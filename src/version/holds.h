/*
 * Zone holds: orders to start nothing in a zone that are in force before the
 * document carries them. A hold only ever forbids, so it needs no agreement.
 * Pure.
 */
#ifndef IBIS_HOLDS_H
#define IBIS_HOLDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "version/head.h"

#ifdef __cplusplus
extern "C" {
#endif

struct hold {
	char zone[JOB_NAME_BYTES];
	char order[HEAD_ORDER_BYTES];
	uint64_t settled_version; /* 0 until the document carries it */
	int64_t since_ms;
};

struct holds {
	struct hold *items;
	size_t count;
	size_t capacity;
};

/* Adds a hold or raises the settled version of a known one. Returns true when
 * anything changed. */
bool holds_add(struct holds *holds, const char *zone, const char *order,
    uint64_t settled_version, int64_t now_ms);

/* Drops the holds that a head accounts for: their order is known to it, or
 * they were settled by a version that is not newer. */
void holds_apply_head(struct holds *holds, const struct head *head);

/* Tells whether a hold forbids starts in a zone. */
bool holds_forbid(const struct holds *holds, const char *zone);

void holds_free(struct holds *holds);

#ifdef __cplusplus
}
#endif

#endif
