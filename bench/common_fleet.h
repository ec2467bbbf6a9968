/* Builds documents that describe a fleet of a given size, for benchmarks. */
#ifndef IBIS_COMMON_FLEET_H
#define IBIS_COMMON_FLEET_H

#include "version/document.h"

/* Dimensions of a uniform fleet. */
struct fleet_size {
	const char *name; /* prefix of the printed metrics */
	uint32_t zones;
	uint32_t racks_per_zone;
	uint32_t workers_per_rack;
	uint32_t accelerators_per_worker;
};

/* Request classes, in order of precedence. */
enum fleet_class {
	FLEET_URGENT,
	FLEET_PLAN,
	FLEET_BATCH,
	FLEET_IDLE,
	FLEET_CLASSES
};

/* Workspaces of each document and their guarantees. */
enum fleet_workspace {
	FLEET_LARGE,  /* guaranteed two thirds of a rack in the first zone */
	FLEET_DESK,   /* guaranteed two whole workers in the second zone */
	FLEET_TENANT, /* guaranteed two workers of a rack in the third zone */
	FLEET_GUEST,  /* no guarantee */
	FLEET_WORKSPACES
};

/*
 * Builds a document with the classes and workspaces above. The size needs at
 * least three zones, since each guarantee is in a different zone. The caller
 * frees the result with document_free.
 */
struct document *fleet_document(const struct fleet_size *size);

/* Returns the number of accelerators in the whole fleet. */
uint32_t fleet_accelerators(const struct fleet_size *size);

#endif
