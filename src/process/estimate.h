/*
 * Corrects the declared run times of jobs by the run times observed before. For
 * each workspace and request class a histogram holds the ratios of actual to
 * declared run time. One thread.
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
	ESTIMATE_LOW,	 /* few jobs are shorter */
	ESTIMATE_MEDIAN, /* half of the jobs are shorter */
	ESTIMATE_HIGH,	 /* most jobs are shorter */
	ESTIMATE_QUANTILES
};

/* Observed ratios of one workspace and request class. */
struct estimate_histogram {
	double counts[ESTIMATE_BUCKETS]; /* by ratio, logarithmic */
	double total;			 /* sum of counts */
	double quantile_ratios[ESTIMATE_QUANTILES];
};

/* A zeroed table is valid and empty. */
struct estimate_table {
	struct estimate_histogram *histograms; /* by workspace, then class */
	char (*workspaces)[JOB_NAME_BYTES];
	size_t workspaces_count;
	char (*classes)[JOB_NAME_BYTES];
	size_t classes_count;
};

/* Applies the workspaces and classes of a document and keeps no reference to
 * it. Histograms of names that were known before are retained. Free with
 * estimate_clear. */
void estimate_set_document(
    struct estimate_table *table, const struct document *document);
void estimate_clear(struct estimate_table *table);

/* Adds the run time of a finished job. workspace and request_class are indices
 * into the document. Ignored when one of them is unknown (NO_INDEX) or a time
 * is not positive. */
void estimate_observe(struct estimate_table *table, uint32_t workspace,
    uint32_t request_class, int64_t declared_ms, int64_t actual_ms);

/* Returns the expected run time, at least 1 ms, at a quantile of the observed
 * ratios. Fixed ratios are used for an unknown workspace or class and until
 * there are enough observations. */
int64_t estimate_run_ms(const struct estimate_table *table, uint32_t workspace,
    uint32_t request_class, int64_t declared_ms,
    enum estimate_quantile quantile);

#ifdef __cplusplus
}
#endif

#endif
