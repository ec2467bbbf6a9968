/* Documents of a given size for benchmarks. */
#ifndef IBIS_COMMON_FLEET_H
#define IBIS_COMMON_FLEET_H

#include "version/document.h"

struct fleet_size {
	const char *name;
	uint32_t zones;
	uint32_t racks_per_zone;
	uint32_t workers_per_rack;
	uint32_t accelerators_per_worker;
};

enum fleet_class {
	FLEET_URGENT,
	FLEET_PLAN,
	FLEET_BATCH,
	FLEET_IDLE,
	FLEET_CLASSES
};

enum fleet_workspace {
	FLEET_LARGE,  /* guaranteed two thirds of a rack in the first zone */
	FLEET_DESK,   /* guaranteed two whole workers in the second zone */
	FLEET_TENANT, /* guaranteed two workers of a rack in the third zone */
	FLEET_GUEST,  /* no guarantee */
	FLEET_WORKSPACES
};

/* Builds a document with four classes and four workspaces. Free it with
 * document_free. */
struct document *fleet_document(const struct fleet_size *size);

/* Accelerators of the whole fleet. */
uint32_t fleet_accelerators(const struct fleet_size *size);

#endif
