/* Builds a document section by section from the dimensions of a fleet. */
#include <stdio.h>

#include "common_fleet.h"
#include "process/alloc.h"

#define ZONE_LEAVE_DEADLINE_MS 60000

static const char *const class_names[FLEET_CLASSES] = {
    "urgent", "plan", "batch", "idle"};
static const char *const workspace_names[FLEET_WORKSPACES] = {
    "large", "desk", "tenant", "guest"};

uint32_t
fleet_accelerators(const struct fleet_size *size)
{
	return size->zones * size->racks_per_zone * size->workers_per_rack *
	    size->accelerators_per_worker;
}

static void
add_zones(struct document *document, const struct fleet_size *size)
{
	document->zones_count = size->zones;
	document->zones = mem_calloc(size->zones, sizeof(*document->zones));
	for (uint32_t i = 0; i < size->zones; i++) {
		document->zones[i].in_service = true;
		document->zones[i].leave_deadline_ms = ZONE_LEAVE_DEADLINE_MS;
		(void)snprintf(
		    document->zones[i].name, JOB_NAME_BYTES, "z%u", i);
	}
}

static void
add_racks(struct document *document, const struct fleet_size *size)
{
	document->racks_count = (size_t)size->zones * size->racks_per_zone;
	document->racks =
	    mem_calloc(document->racks_count, sizeof(*document->racks));
	for (uint32_t i = 0; i < document->racks_count; i++) {
		document->racks[i] = (struct document_rack){
		    .zone = i / size->racks_per_zone,
		    .accelerators_per_worker = size->accelerators_per_worker,
		    .first_worker = i * size->workers_per_rack,
		    .workers_count = size->workers_per_rack,
		};
		(void)snprintf(
		    document->racks[i].name, JOB_NAME_BYTES, "r%u", i);
	}
}

static void
add_workers(struct document *document, const struct fleet_size *size)
{
	document->workers_count =
	    document->racks_count * size->workers_per_rack;
	document->workers =
	    mem_calloc(document->workers_count, sizeof(*document->workers));
	for (uint32_t i = 0; i < document->workers_count; i++) {
		document->workers[i].rack = i / size->workers_per_rack;
		(void)snprintf(
		    document->workers[i].name, JOB_NAME_BYTES, "w%u", i);
	}
}

static void
add_workspaces(struct document *document, const struct fleet_size *size)
{
	struct document_guarantee guarantees[] = {
	    {.zone = 0,
		.count = 1,
		.racks = 1,
		.workers_per_rack = size->workers_per_rack * 2 / 3},
	    {.zone = 1, .count = 2, .racks = 1, .workers_per_rack = 1},
	    {.zone = 2, .count = 1, .racks = 1, .workers_per_rack = 2},
	};

	document->guarantees_count = COUNT_OF(guarantees);
	document->guarantees =
	    mem_calloc(COUNT_OF(guarantees), sizeof(*document->guarantees));
	for (size_t i = 0; i < COUNT_OF(guarantees); i++) {
		document->guarantees[i] = guarantees[i];
		document->guarantees[i].accelerators_per_worker =
		    size->accelerators_per_worker;
	}
	document->workspaces_count = FLEET_WORKSPACES;
	document->workspaces =
	    mem_calloc(FLEET_WORKSPACES, sizeof(*document->workspaces));
	for (uint32_t i = 0; i < FLEET_WORKSPACES; i++) {
		STRING_COPY(document->workspaces[i].name, workspace_names[i]);
		document->workspaces[i].first_guarantee = i;
		document->workspaces[i].guarantees_count =
		    i < COUNT_OF(guarantees) ? 1 : 0;
	}
}

static void
add_classes(struct document *document)
{
	document->classes_count = FLEET_CLASSES;
	document->classes =
	    mem_calloc(FLEET_CLASSES, sizeof(*document->classes));
	for (uint32_t i = 0; i < FLEET_CLASSES; i++) {
		STRING_COPY(document->classes[i].name, class_names[i]);
		document->classes[i].precedence = i;
		document->classes[i].urgent = i == FLEET_URGENT;
	}
}

struct document *
fleet_document(const struct fleet_size *size)
{
	struct document *document = mem_calloc(1, sizeof(*document));

	add_zones(document, size);
	add_racks(document, size);
	add_workers(document, size);
	add_workspaces(document, size);
	add_classes(document);
	return document;
}
