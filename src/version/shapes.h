/*
 * Tells whether guaranteed shapes can all be formed at once over the racks of
 * a site. Pure.
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

/* One whole shape: in one zone, on racks different racks. */
struct shape {
	uint32_t zone; /* index into the document's zones, or ANY_ZONE */
	uint32_t racks;
	uint32_t workers_per_rack;
	uint32_t accelerators_per_worker;
	uint32_t workspace; /* index into the document's workspaces */
};

/*
 * Looks for a placement of all shapes on empty workers, with the zone
 * excluded left out (SHAPES_ANY_ZONE: none). Reorders the shapes. Returns
 * true when one was found. Else *failed is the index of the first shape that
 * found no room. The search is bounded, so a placement of oddly mixed shapes
 * may go unfound; one that was found always exists.
 */
bool shapes_fit(const struct document *document, struct shape *shapes,
    size_t count, uint32_t excluded, size_t *failed);

#ifdef __cplusplus
}
#endif

#endif
