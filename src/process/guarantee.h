/*
 * Assigns each guaranteed shape to workers, where it becomes a claim of its
 * workspace. Non-preemptible jobs of other workspaces must leave every claim
 * free (cluster_non_preemptible_capacity), so that evicting preemptible jobs
 * always frees enough capacity for a guaranteed shape.
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

/* One guaranteed shape: racks x workers x accelerators in one zone. */
struct guaranteed_shape {
	uint32_t workspace; /* index into the document */
	uint32_t zone;	    /* index into the document */
	uint32_t racks;
	uint32_t workers_per_rack;
	uint32_t accelerators; /* on each worker */
	bool placed;
	uint32_t *workers; /* by rack, then worker; valid when placed */
};

struct guarantee_table {
	struct guaranteed_shape *guaranteed_shapes; /* largest first */
	size_t count;
};

/* Fills the table with the guarantees of a document, none of them placed. Keeps
 * no reference to the document. Free with guarantee_clear. */
void guarantee_build(
    struct guarantee_table *table, const struct document *document);
void guarantee_clear(struct guarantee_table *table);

/*
 * Places shapes that are not placed, and moves those with a worker that doesn't
 * serve or is quarantined if other workers can hold them; adjusts the claims in
 * the cluster. Returns how many shapes are still not placed on available
 * workers only.
 */
size_t guarantee_place(struct guarantee_table *table, struct cluster *cluster);

/* Returns the largest guaranteed shape, owned by the table, or NULL when there
 * is none. */
const struct guaranteed_shape *guarantee_largest(
    const struct guarantee_table *table);

#ifdef __cplusplus
}
#endif

#endif
