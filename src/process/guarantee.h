/*
 * Guaranteed shapes, each pinned to workers as claims. Firm work of others
 * must leave every claim free (cluster_firm_room), so that a guaranteed shape
 * can always be had by evicting what may be evicted.
 */
#ifndef IBIS_GUARANTEE_H
#define IBIS_GUARANTEE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/cluster.h"
#include "version/document.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One whole shape. */
struct guarantee_pin {
	uint32_t workspace;
	uint32_t zone;
	uint32_t racks;
	uint32_t workers_per_rack;
	uint32_t accelerators; /* of each worker */
	bool placed;
	uint32_t *workers; /* by rack, then worker; valid when placed */
};

struct guarantee_table {
	struct guarantee_pin *pins;
	size_t count;
};

/* Takes in a document's guarantees; none is placed yet. */
void guarantee_build(
    struct guarantee_table *table, const struct document *document);
void guarantee_clear(struct guarantee_table *table);

/*
 * Places what has no place, and moves shapes that stand on a worker that does
 * not serve or is quarantined if other workers can hold them. Returns how many
 * shapes lack a place on workers that serve.
 */
size_t guarantee_place(struct guarantee_table *table, struct cluster *cluster);

/* The largest guaranteed shape, or NULL when there is none. */
const struct guarantee_pin *guarantee_largest(
    const struct guarantee_table *table);

#ifdef __cplusplus
}
#endif

#endif
