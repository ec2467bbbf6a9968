/* Checks of a document's guarantees against its racks. Pure. */
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
	DOCUMENT_MAX_SHAPE_PARTS = 2048 /* racks x count over all guarantees */
};

/* The guarantee that found no room, and the sums of its zone. */
struct document_misfit {
	uint32_t workspace;
	uint32_t zone;
	uint64_t needed_accelerators;
	uint64_t present_accelerators;
};

/* Tells whether the guarantees of every zone can all be formed at once. */
bool document_guarantees_fit(
    const struct document *document, struct document_misfit *misfit);

/* Adds a warning when the guarantees of the largest zone could not be formed
 * in the other zones beside theirs. */
void document_warn_largest_zone(
    const struct document *document, struct buffer *warnings);

/* Accelerators of all shapes of a guarantee. */
uint64_t document_guarantee_accelerators(
    const struct document_guarantee *guarantee);

/* Accelerators of all workers of a zone. */
uint64_t document_zone_accelerators(
    const struct document *document, uint32_t zone);

#ifdef __cplusplus
}
#endif

#endif
