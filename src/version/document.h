/*
 * The operators' document: parsed, checked and immutable. A document is a set
 * of named sections; each section may hold any of the four groups
 * availability_zones, endpoints, workspaces and request_classes. A name may be
 * defined in one section only.
 */
#ifndef IBIS_DOCUMENT_H
#define IBIS_DOCUMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "process/buffer.h"
#include "request/job.h"

#ifdef __cplusplus
extern "C" {
#endif

struct document_zone {
	char name[JOB_NAME_BYTES];
	bool in_service;	   /* as the section says */
	int32_t leave_deadline_ms; /* to move running work when taken out */
};

/* Workers of one rack. */
struct document_rack {
	char name[JOB_NAME_BYTES];
	uint32_t zone; /* index into zones */
	uint32_t accelerators_per_worker;
	uint32_t first_worker; /* index into workers */
	uint32_t workers_count;
};

struct document_worker {
	char name[JOB_NAME_BYTES];
	uint32_t rack; /* index into racks */
};

/* count whole shapes, each of racks x workers x accelerators in one zone. */
struct document_guarantee {
	uint32_t zone; /* index into zones */
	uint32_t count;
	uint32_t racks;
	uint32_t workers_per_rack;
	uint32_t accelerators_per_worker;
};

struct document_workspace {
	char name[JOB_NAME_BYTES];
	uint32_t first_guarantee; /* index into guarantees */
	uint32_t guarantees_count;
	uint32_t max_queued_jobs;
	uint32_t max_accelerators; /* quota over all its jobs; 0: no quota */
	double max_jobs_per_s;	   /* sustained; 0: no limit */
	uint32_t burst_jobs;
};

struct document_class {
	char name[JOB_NAME_BYTES];
	uint32_t precedence;	 /* 0 goes first */
	bool urgent;		 /* reclaims and evicts at once */
	int32_t start_within_ms; /* 0: no bound */
	int32_t objective_ms;	 /* completion time that counts as good */
	double objective_target; /* share of jobs that must be good */
	int32_t max_wait_ms; /* queued longer: given up as not run; 0: never */
	uint32_t max_queued_jobs; /* 0: no bound */
};

struct document {
	uint64_t version; /* of the head that it was read under; 0 unknown */
	struct document_zone *zones;
	size_t zones_count;
	struct document_rack *racks;
	size_t racks_count;
	struct document_worker *workers;
	size_t workers_count;
	struct document_guarantee *guarantees;
	size_t guarantees_count;
	struct document_workspace *workspaces;
	size_t workspaces_count;
	struct document_class *classes;
	size_t classes_count;
};

/* Source text of one section. */
struct document_source {
	char name[JOB_NAME_BYTES];
	char *text; /* JSON with comments */
	uint64_t revision;
};

/*
 * Parses and checks a document. On error returns NULL; the status names the
 * section, line, column, key and what was expected. Warnings, one a line, are
 * added to warnings, which may be NULL. The caller frees the result.
 */
struct document *document_parse(const struct document_source *sections,
    size_t count, struct buffer *warnings, struct ibis_status *status);

/*
 * Splits the text of a whole document {"sections": {NAME: {...}}} into the
 * texts of its sections. Returns the count, or -1 with status filled. The
 * caller frees with document_sources_free.
 */
int document_split(const char *text, struct document_source **sections,
    struct ibis_status *status);
void document_sources_free(struct document_source *sections, size_t count);

void document_free(struct document *document);

/* Return an index, or -1. */
int document_find_zone(const struct document *document, const char *name);
int document_find_worker(const struct document *document, const char *name);
int document_find_workspace(const struct document *document, const char *name);
int document_find_class(const struct document *document, const char *name);

/* Writes the workers as a JSON array of objects with the keys name,
 * availability_zone, rack and accelerators. */
void document_layout_json(const struct document *document, struct buffer *text);

/* Writes the difference between two documents, a line a change. */
void document_diff(const struct document *from, const struct document *to,
    struct buffer *lines);

#ifdef __cplusplus
}
#endif

#endif
