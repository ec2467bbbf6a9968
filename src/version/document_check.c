#include <inttypes.h>

#include "process/alloc.h"
#include "version/document_check.h"
#include "version/shapes.h"

uint64_t
document_zone_accelerators(const struct document *document, uint32_t zone)
{
	uint64_t accelerators = 0;

	for (size_t i = 0; i < document->racks_count; i++) {
		const struct document_rack *rack = &document->racks[i];

		if (rack->zone == zone)
			accelerators += (uint64_t)rack->workers_count *
			    rack->accelerators_per_worker;
	}
	return accelerators;
}

static void
free_shapes(struct shape **shapes)
{
	mem_free(*shapes);
}

uint64_t
document_guarantee_accelerators(const struct document_guarantee *guarantee)
{
	return (uint64_t)guarantee->count * guarantee->racks *
	    guarantee->workers_per_rack * guarantee->accelerators_per_worker;
}

/* Returns the number of accelerators guaranteed in a zone. */
static uint64_t
guaranteed_accelerators(const struct document *document, uint32_t zone)
{
	uint64_t accelerators = 0;

	for (size_t i = 0; i < document->guarantees_count; i++) {
		if (document->guarantees[i].zone == zone)
			accelerators += document_guarantee_accelerators(
			    &document->guarantees[i]);
	}
	return accelerators;
}

/* Appends the guaranteed shapes of one workspace. */
static struct shape *
append_shapes(const struct document *document, uint32_t workspace,
    struct shape *shapes, size_t *count, size_t *capacity)
{
	const struct document_workspace *owner =
	    &document->workspaces[workspace];

	for (uint32_t i = 0; i < owner->guarantees_count; i++) {
		const struct document_guarantee *guarantee =
		    &document->guarantees[owner->first_guarantee + i];

		shapes = mem_grow(shapes, capacity, *count + guarantee->count,
		    sizeof(*shapes));
		for (uint32_t j = 0; j < guarantee->count; j++)
			shapes[(*count)++] = (struct shape){
			    .zone = guarantee->zone,
			    .racks = guarantee->racks,
			    .workers_per_rack = guarantee->workers_per_rack,
			    .accelerators_per_worker =
				guarantee->accelerators_per_worker,
			    .workspace = workspace,
			};
	}
	return shapes;
}

/* Returns the guaranteed shapes of all workspaces; the caller frees them. */
static struct shape *
all_shapes(const struct document *document, size_t *count)
{
	struct shape *shapes = NULL;
	size_t capacity = 0;

	*count = 0;
	for (uint32_t i = 0; i < document->workspaces_count; i++)
		shapes = append_shapes(document, i, shapes, count, &capacity);
	return shapes;
}

/* Copies the shapes of one zone; returns their count. */
static size_t
select_zone(const struct shape *shapes, size_t count, uint32_t zone,
    struct shape *selected)
{
	size_t selected_count = 0;

	for (size_t i = 0; i < count; i++) {
		if (shapes[i].zone == zone)
			selected[selected_count++] = shapes[i];
	}
	return selected_count;
}

bool
document_guarantees_fit(
    const struct document *document, struct document_unplaced *unplaced)
{
	size_t count = 0;
	CLEANUP(free_shapes)
	struct shape *shapes = all_shapes(document, &count);
	CLEANUP(free_shapes)
	struct shape *selected = mem_calloc(count, sizeof(*selected));

	for (uint32_t zone = 0; zone < document->zones_count; zone++) {
		size_t selected_count =
		    select_zone(shapes, count, zone, selected);
		size_t failed = 0;

		if (shapes_fit(document, selected, selected_count,
			SHAPES_ANY_ZONE, &failed))
			continue;
		*unplaced = (struct document_unplaced){
		    .workspace = selected[failed].workspace,
		    .zone = zone,
		    .required_accelerators =
			guaranteed_accelerators(document, zone),
		    .available_accelerators =
			document_zone_accelerators(document, zone),
		};
		return false;
	}
	return true;
}

/* Returns the index of the zone with the most accelerators. */
static uint32_t
largest_zone(const struct document *document)
{
	uint64_t highest = 0;
	uint32_t largest = 0;

	for (uint32_t i = 0; i < document->zones_count; i++) {
		uint64_t accelerators = document_zone_accelerators(document, i);

		if (accelerators > highest) {
			highest = accelerators;
			largest = i;
		}
	}
	return largest;
}

void
document_warn_largest_zone(
    const struct document *document, struct buffer *warnings)
{
	size_t count = 0;
	CLEANUP(free_shapes)
	struct shape *shapes = all_shapes(document, &count);
	uint64_t required = 0;
	uint64_t available = 0;
	size_t failed = 0;
	uint32_t largest;

	if (warnings == NULL || document->zones_count < 2)
		return;
	largest = largest_zone(document);
	for (size_t i = 0; i < count; i++) {
		if (shapes[i].zone == largest)
			shapes[i].zone = SHAPES_ANY_ZONE;
	}
	if (shapes_fit(document, shapes, count, largest, &failed))
		return;
	for (uint32_t i = 0; i < document->zones_count; i++) {
		required += guaranteed_accelerators(document, i);
		if (i != largest)
			available += document_zone_accelerators(document, i);
	}
	buffer_printf(warnings,
	    "workspace %s: with availability zone %s out, the guarantees can't "
	    "all be placed in the other zones: needed %" PRIu64
	    " accelerators, present %" PRIu64 "\n",
	    document->workspaces[shapes[failed].workspace].name,
	    document->zones[largest].name, required, available);
}
