/*
 * The document: the configuration that operators edit, parsed and validated.
 * It is a set of named sections; each may hold any of the four groups
 * availability_zones, endpoints (the racks with their workers), workspaces and
 * request_classes. Each zone, rack, worker, workspace and class is defined in
 * exactly one section. A parsed document doesn't change, except that its owner
 * sets the version. Zone orders and zone holds are not part of it: see head.h
 * and holds.h.
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

/* An availability zone. */
struct document_zone {
	char name[JOB_NAME_BYTES];
	bool in_service; /* set in its section, unaffected by orders */
	/* time for running work to move when the zone is taken out */
	int32_t leave_deadline_ms;
};

/* A rack; its workers are contiguous in the document's workers. */
struct document_rack {
	char name[JOB_NAME_BYTES];
	uint32_t zone; /* index into zones */
	uint32_t accelerators_per_worker;
	uint32_t first_worker; /* index into workers */
	uint32_t workers_count;
};

/* A worker, also called an endpoint. */
struct document_worker {
	char name[JOB_NAME_BYTES];
	uint32_t rack; /* index into racks */
};

/* A guarantee of a workspace: equal shapes that can all be placed at once. Each
 * shape takes workers on different racks of one zone. */
struct document_guarantee {
	uint32_t zone;	/* index into zones */
	uint32_t count; /* shapes */
	uint32_t racks; /* per shape */
	uint32_t workers_per_rack;
	uint32_t accelerators_per_worker;
};

/* A workspace; its guarantees are contiguous in the document's guarantees. */
struct document_workspace {
	char name[JOB_NAME_BYTES];
	uint32_t first_guarantee; /* index into guarantees */
	uint32_t guarantees_count;
	uint32_t max_queued_jobs;
	uint32_t max_accelerators; /* quota over all its jobs; 0: no quota */
	double max_jobs_per_s;	   /* sustained rate of submits; 0: no limit */
	uint32_t burst_jobs;	   /* size of the token bucket for submits */
};

/* A request class. */
struct document_class {
	char name[JOB_NAME_BYTES];
	uint32_t precedence;	 /* 0 is placed first */
	bool urgent;		 /* reclaims and evicts without waiting */
	int32_t start_within_ms; /* target, not enforced; 0: none */
	int32_t objective_ms;	 /* a job completed within it is good */
	double objective_target; /* share of jobs that must be good, 0 to 1 */
	int32_t max_wait_ms; /* queued longer, a job ends as not_run; 0: none */
	uint32_t max_queued_jobs; /* 0: no limit */
};

/* A parsed document; owns its arrays. */
struct document {
	uint64_t version; /* of the head it was loaded for; 0: not known */
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

/* The source text of one section. */
struct document_source {
	char name[JOB_NAME_BYTES];
	char *text;	   /* JSON with comments */
	uint64_t revision; /* in the head; 0 from document_split */
};

/*
 * Parses and validates a document. Returns it, for the caller to free with
 * document_free. On error returns NULL and fills status with IBIS_INVALID, the
 * section, line, column and key, and what was expected there. Appends warnings,
 * one per line, to warnings. warnings and status may be NULL. Keeps no
 * reference to sections.
 */
struct document *document_parse(const struct document_source *sections,
    size_t count, struct buffer *warnings, struct ibis_status *status);

/*
 * Splits the text of a whole document {"sections": {NAME: {...}}} into the
 * source texts of its sections, comments included. Sets *sections to an array,
 * for the caller to free with document_sources_free, and returns its length.
 * On error returns -1, sets *sections to NULL and fills status. The sections'
 * content is not validated.
 */
int document_split(const char *text, struct document_source **sections,
    struct ibis_status *status);

/* Frees count sources, their texts and the array. sections may be NULL when
 * count is 0. */
void document_sources_free(struct document_source *sections, size_t count);

/* Frees a document; NULL does nothing. */
void document_free(struct document *document);

/* Each returns the index of the item with this name, or -1 if there is none. */
int document_find_zone(const struct document *document, const char *name);
int document_find_worker(const struct document *document, const char *name);
int document_find_workspace(const struct document *document, const char *name);
int document_find_class(const struct document *document, const char *name);

/* Appends the workers to text as a JSON array of objects with the keys name,
 * availability_zone, rack and accelerators. */
void document_layout_json(const struct document *document, struct buffer *text);

/*
 * Appends the differences between two documents to lines, as lines of the form
 * "- KIND NAME KEY=VALUE ..." for an item of from and "+ KIND NAME ..." for one
 * of to; a changed item has both. Appends nothing when the items are equal.
 */
void document_diff(const struct document *from, const struct document *to,
    struct buffer *lines);

#ifdef __cplusplus
}
#endif

#endif
