/*
 * A bounded search for a placement of all guaranteed shapes at once on the
 * racks of a document. Depends on its arguments only: no I/O, no clock.
 */
#ifndef IBIS_SHAPES_H
#define IBIS_SHAPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "version/document.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	SHAPES_ANY_ZONE = UINT32_MAX
};

/* A shape to place: workers on different racks of one zone. */
struct shape {
	uint32_t zone; /* index into the document's zones, or SHAPES_ANY_ZONE */
	uint32_t racks;
	uint32_t workers_per_rack;
	uint32_t accelerators_per_worker;
	uint32_t workspace; /* index into the document's workspaces */
};

/*
 * Searches for a placement of all shapes on empty workers. Shapes whose zone is
 * SHAPES_ANY_ZONE are not placed in the excluded zone; excluded may be
 * SHAPES_ANY_ZONE to exclude none. Sorts the shapes. Returns true if it found a
 * placement. Otherwise sets *failed to the index, in the sorted shapes, of the
 * first one that couldn't be placed.
 *
 * The result true is exact; false may be wrong: the search tries only the
 * best-fitting workers of a rack, which may miss a placement of shapes that
 * need parts of workers, and it stops after a fixed number of steps.
 */
bool shapes_fit(const struct document *document, struct shape *shapes,
    size_t count, uint32_t excluded, size_t *failed);

#ifdef __cplusplus
}
#endif

#endif
