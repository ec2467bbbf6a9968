/*
 * The document's head: the single value whose swap makes a version the
 * accepted one. It names each section's revision and carries the zones that
 * operators have taken out. Pure.
 */
#ifndef IBIS_HEAD_H
#define IBIS_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "process/buffer.h"
#include "request/job.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	HEAD_ORDER_BYTES = 96,
	HEAD_CLEARED_ORDERS = 16 /* remembered of each zone */
};

struct head_section {
	char name[JOB_NAME_BYTES];
	uint64_t revision; /* the section's text is under its own key */
};

struct head_zone {
	char name[JOB_NAME_BYTES];
	bool out;
	char order[HEAD_ORDER_BYTES]; /* the order that set it last */
	/* orders that a later one has replaced or ended, newest first */
	char cleared[HEAD_CLEARED_ORDERS][HEAD_ORDER_BYTES];
};

struct head {
	uint64_t version;
	uint64_t sections_version; /* that last changed a section */
	struct head_section *sections;
	size_t sections_count;
	struct head_zone *zones;
	size_t zones_count;
};

/* Reads a head's JSON value; NULL with status filled on error. */
struct head *head_parse(
    const char *text, size_t length, struct ibis_status *status);
void head_write(const struct head *head, struct buffer *text);
struct head *head_copy(const struct head *head);
void head_free(struct head *head);

/* Returns a section's revision, 0 when there is none. */
uint64_t head_section_revision(const struct head *head, const char *name);

/*
 * Sets a section's revision to new_revision, 0 to remove it, when expected is
 * its present one; otherwise IBIS_CONFLICT, whose message names the revision
 * that stands. As below, raising the versions is left to the caller.
 */
enum ibis_code head_set_section(struct head *head, const char *name,
    uint64_t expected, uint64_t new_revision, struct ibis_status *status);

/* Takes a zone out by an order; nothing changes when the order is known. */
void head_zone_out(struct head *head, const char *zone, const char *order);

/* Returns a zone to service by an order, ending the one in force and those
 * named in cleared. Nothing changes when the order is known. */
void head_zone_in(struct head *head, const char *zone, const char *order,
    const char *const *cleared, size_t count);

bool head_zone_is_out(const struct head *head, const char *zone);

/* Returns the order that took a zone out, owned by the head; NULL when the
 * zone is in service. */
const char *head_zone_order(const struct head *head, const char *zone);

/* Tells whether the head knows of an order: in force, replaced or ended. */
bool head_knows_order(
    const struct head *head, const char *zone, const char *order);

#ifdef __cplusplus
}
#endif

#endif
