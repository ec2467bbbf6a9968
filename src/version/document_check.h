/*
 * Checks that the guarantees of a document can all be placed at once on its
 * racks. Depends on the document only: no I/O, no clock.
 */
#ifndef IBIS_DOCUMENT_CHECK_H
#define IBIS_DOCUMENT_CHECK_H

#include <stdbool.h>
#include <stdint.h>

#include "process/buffer.h"
#include "version/document.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	/* limit of the sum of racks x count over all guarantees; bounds the
	 * recursion depth of shapes_fit */
	DOCUMENT_MAX_RACK_PARTS = 2048
};

/* A guarantee that couldn't be placed, and the accelerators of its zone. */
struct document_unplaced {
	uint32_t workspace; /* index into the document's workspaces */
	uint32_t zone;	    /* index into the document's zones */
	uint64_t required_accelerators;	 /* of all guarantees in the zone */
	uint64_t available_accelerators; /* of all workers in the zone */
};

/* Returns whether shapes_fit finds a placement of all guarantees at once, with
 * every zone in service. Fills *unplaced when it returns false. */
bool document_guarantees_fit(
    const struct document *document, struct document_unplaced *unplaced);

/*
 * Appends a warning line if the other zones couldn't hold the guarantees of the
 * zone with the most accelerators in addition to their own, as they would have
 * to while that zone is out. warnings may be NULL: nothing is checked then.
 */
void document_warn_largest_zone(
    const struct document *document, struct buffer *warnings);

/* Returns the number of accelerators of all shapes of a guarantee. */
uint64_t document_guarantee_accelerators(
    const struct document_guarantee *guarantee);

/* Returns the number of accelerators of all workers of a zone, in service or
 * not. */
uint64_t document_zone_accelerators(
    const struct document *document, uint32_t zone);

#ifdef __cplusplus
}
#endif

#endif
