/*
 * Zone holds: orders to take a zone out that an instance applies before the
 * head contains them. While a hold exists, nothing starts in its zone. A hold
 * only forbids starts, so instances apply it without agreement among them.
 * Works in memory only; callers replicate the holds.
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

/* A hold on a zone by one order. */
struct hold {
	char zone[JOB_NAME_BYTES];
	char order[HEAD_ORDER_BYTES];
	uint64_t settled_version; /* first version known to contain the order;
				   * 0: none yet */
	int64_t since_ms;	  /* when it was added, on the caller's clock */
};

/* The holds of an instance; all zeroes is an empty set. */
struct holds {
	struct hold *items;
	size_t count;
	size_t capacity;
};

/* Adds a hold, or raises the settled version of the hold with the same zone and
 * order. Returns whether anything changed. */
bool holds_add(struct holds *holds, const char *zone, const char *order,
    uint64_t settled_version, int64_t now_ms);

/* Drops the holds that a head replaces: it contains their order, or its version
 * is at least their settled version. */
void holds_apply_head(struct holds *holds, const struct head *head);

/* Returns whether a hold forbids starts in a zone. */
bool holds_forbid(const struct holds *holds, const char *zone);

/* Frees the holds and empties the set. */
void holds_free(struct holds *holds);

#ifdef __cplusplus
}
#endif

#endif
