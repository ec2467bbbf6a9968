/*
 * The document's head: the value under one store key that defines the accepted
 * version of the document. It lists the revision of each section and the zones
 * that operators have taken out, so that one compare-and-swap of the key
 * accepts a change as a whole. This module only reads, edits and writes the
 * value; its callers access the store.
 *
 * An order is an operator's command to take a zone out of service or to put it
 * back into service. It is identified by a unique text, so that applying it
 * again changes nothing.
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
	HEAD_ORDER_BYTES = 96, /* with the NUL */
	/* earlier orders kept per zone, to recognise them when repeated */
	HEAD_MAX_CLEARED_ORDERS = 16
};

/* A section of the accepted document. */
struct head_section {
	char name[JOB_NAME_BYTES];
	uint64_t revision; /* number in the store key of the section's text */
};

/* A zone that has had an order; the others have no entry. */
struct head_zone {
	char name[JOB_NAME_BYTES];
	bool out;		      /* out of service by order */
	char order[HEAD_ORDER_BYTES]; /* the latest order applied */
	/* orders replaced or ended by a later one, newest first; "": none */
	char cleared[HEAD_MAX_CLEARED_ORDERS][HEAD_ORDER_BYTES];
};

/* A parsed head; owns its arrays. */
struct head {
	uint64_t version;	   /* raised by each accepted change */
	uint64_t sections_version; /* the version that last changed a section */
	struct head_section *sections;
	size_t sections_count;
	struct head_zone *zones;
	size_t zones_count;
};

/* Parses a head from the JSON text of its store key. Returns it, for the caller
 * to free with head_free, or NULL with IBIS_INVALID in status, which may be
 * NULL. */
struct head *head_parse(
    const char *text, size_t length, struct ibis_status *status);

/* Appends a head as JSON to text, in the form that head_parse reads. */
void head_write(const struct head *head, struct buffer *text);

/* Returns an independent copy, for the caller to free with head_free. */
struct head *head_copy(const struct head *head);

/* Frees a head; NULL does nothing. */
void head_free(struct head *head);

/* Returns a section's revision, 0 if the head has no such section. */
uint64_t head_section_revision(const struct head *head, const char *name);

/*
 * Sets a section's revision to new_revision if its current one is expected.
 * Revision 0 stands for a section that doesn't exist: as expected to add it, as
 * new_revision to remove it. Otherwise changes nothing, returns IBIS_CONFLICT
 * and fills status with a message that has the current revision; status may be
 * NULL. The caller raises the versions, here and for the functions below.
 */
enum ibis_code head_set_section(struct head *head, const char *name,
    uint64_t expected, uint64_t new_revision, struct ibis_status *status);

/* Takes a zone out of service by an order. Does nothing if the head already
 * contains the order. */
void head_take_zone_out(struct head *head, const char *zone, const char *order);

/*
 * Puts a zone back into service by an order, and records the order in force and
 * the count orders in cleared as ended, so that they can't take the zone out
 * again. Does nothing if the head already contains order.
 */
void head_put_zone_in_service(struct head *head, const char *zone,
    const char *order, const char *const *cleared, size_t count);

/* Returns whether an order has taken a zone out of service. */
bool head_zone_is_out(const struct head *head, const char *zone);

/* Returns the order that has taken a zone out of service, owned by the head;
 * NULL if the zone is not out by order. */
const char *head_zone_out_order(const struct head *head, const char *zone);

/* Returns whether the head contains an order of a zone: as the last one or
 * among the HEAD_MAX_CLEARED_ORDERS kept ones that were replaced or ended. */
bool head_contains_order(
    const struct head *head, const char *zone, const char *order);

#ifdef __cplusplus
}
#endif

#endif
