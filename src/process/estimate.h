/*
 * Run times corrected by what was observed. For each workspace and class a
 * histogram holds the ratios of real to declared run time.
 */
#ifndef IBIS_ESTIMATE_H
#define IBIS_ESTIMATE_H

#include <stddef.h>
#include <stdint.h>

#include "version/document.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	ESTIMATE_BUCKETS = 33
};

enum estimate_quantile {
	ESTIMATE_LOW,	 /* few jobs run shorter */
	ESTIMATE_MIDDLE, /* half of the jobs run shorter */
	ESTIMATE_HIGH,	 /* most jobs run shorter */
	ESTIMATE_QUANTILES
};

/* Ratios seen for one workspace and class. */
struct estimate_cell {
	double counts[ESTIMATE_BUCKETS];
	double total;
	double ratios[ESTIMATE_QUANTILES];
};

struct estimate_table {
	struct estimate_cell *cells; /* by workspace, then class */
	char (*workspaces)[JOB_NAME_BYTES];
	size_t workspaces_count;
	char (*classes)[JOB_NAME_BYTES];
	size_t classes_count;
};

/* Takes in the names of a document; what was seen under a name stays. */
void estimate_set_document(
    struct estimate_table *table, const struct document *document);
void estimate_clear(struct estimate_table *table);

/* Notes a finished job. Indices are those of the document. */
void estimate_observe(struct estimate_table *table, uint32_t workspace,
    uint32_t request_class, int64_t declared_ms, int64_t actual_ms);

/* Corrects a declared run time. */
int64_t estimate_run_ms(const struct estimate_table *table, uint32_t workspace,
    uint32_t request_class, int64_t declared_ms,
    enum estimate_quantile quantile);

#ifdef __cplusplus
}
#endif

#endif
