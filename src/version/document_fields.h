/*
 * Keys, ranges and defaults of the items of a document: what an item says by
 * itself, before names are resolved.
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

/* A rack but for its list of workers. */
struct rack_fields {
	char zone[JOB_NAME_BYTES];
	uint32_t accelerators;
};

struct guarantee_fields {
	char zone[JOB_NAME_BYTES];
	struct document_guarantee guarantee; /* but for its zone */
};

/* Each sets the defaults, then reads the keys; names stay empty. */
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
