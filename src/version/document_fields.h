/*
 * Readers of the items of a document: their keys, ranges and defaults. Names
 * that refer to other items are returned as text; document.c resolves them.
 */
#ifndef IBIS_DOCUMENT_FIELDS_H
#define IBIS_DOCUMENT_FIELDS_H

#include "process/jsonc.h"
#include "version/document.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	DOCUMENT_MAX_RACK_WORKERS = 64
};

/* The keys of a rack, except its list of workers. */
struct rack_fields {
	char zone[JOB_NAME_BYTES];
	uint32_t accelerators; /* per worker */
};

/* The keys of a guarantee. */
struct guarantee_fields {
	char zone[JOB_NAME_BYTES];
	struct document_guarantee guarantee; /* its zone index is not set */
};

/*
 * Each fills an item with its defaults, then with the keys of the JSON object
 * node. The item's own name stays empty: it is the object's key. Returns
 * IBIS_INVALID and fills status on an unknown or missing key or a value that is
 * out of range; status may be NULL.
 */
enum ibis_code document_read_zone(const struct jsonc_node *node,
    struct document_zone *zone, struct ibis_status *status);
enum ibis_code document_read_rack(const struct jsonc_node *node,
    struct rack_fields *rack, struct ibis_status *status);
enum ibis_code document_read_guarantee(const struct jsonc_node *node,
    struct guarantee_fields *guarantee, struct ibis_status *status);
enum ibis_code document_read_workspace(const struct jsonc_node *node,
    struct document_workspace *workspace, struct ibis_status *status);
enum ibis_code document_read_class(const struct jsonc_node *node,
    struct document_class *class_item, struct ibis_status *status);

#ifdef __cplusplus
}
#endif

#endif
