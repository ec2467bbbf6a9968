/*
 * What this instance knows of the others: the platform's lagging list says who
 * exists, heartbeats say who is alive and in what state. Pure; one thread.
 * Times are of one monotonic clock.
 */
#ifndef IBIS_MEMBERSHIP_H
#define IBIS_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.pb-c.h"
#include "process/buffer.h"
#include "request/job.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One entry of the platform's list. */
struct membership_entry {
	char name[JOB_NAME_BYTES];
	char address[JOB_NAME_BYTES]; /* of its peer link */
	char caller_address[JOB_NAME_BYTES];
	char zone[JOB_NAME_BYTES];
};

/* Another instance. What follows incarnation is from its last heartbeat. */
struct member {
	char name[JOB_NAME_BYTES];
	char address[JOB_NAME_BYTES];
	char caller_address[JOB_NAME_BYTES];
	char zone[JOB_NAME_BYTES];
	bool listed; /* by the platform, when last read */
	bool linked; /* frames can be sent to it */
	uint64_t incarnation;
	int64_t heard_ms; /* 0: never */
	Ibis__InstanceState state;
	uint64_t document_version;
	bool store_reachable;
	bool leading;
	uint64_t lead_epoch;
	char lead[JOB_NAME_BYTES]; /* that it takes for the lead */
};

/* How this instance shows itself in the view. */
struct membership_self {
	char caller_address[JOB_NAME_BYTES];
	char peer_address[JOB_NAME_BYTES];
	char zone[JOB_NAME_BYTES];
	Ibis__InstanceState state;
	uint64_t document_version;
	bool leading;
};

struct membership;

/* timeout_ms: a member not heard of for so long counts as silent. */
struct membership *membership_new(const char *own_name, int32_t timeout_ms);
void membership_free(struct membership *membership);

/*
 * Takes in a list that was read from the platform. An empty one changes
 * nothing. Members that are no longer listed stay known while they are alive.
 */
void membership_set_list(struct membership *membership,
    const struct membership_entry *entries, size_t count, int64_t now_ms);

/*
 * Takes in a heartbeat. Returns false and changes nothing when it is this
 * instance's own or of an earlier incarnation than the one known.
 */
bool membership_heartbeat(struct membership *membership,
    const Ibis__Heartbeat *heartbeat, int64_t now_ms);

/* The link to a member went up or down. A member whose link went down is not
 * taken for the lead until it says so again. */
void membership_link(struct membership *membership, const char *name, bool up);

/* Tells whether a member was heard of within the timeout. */
bool membership_alive(
    const struct membership *membership, const char *name, int64_t now_ms);

/* Returns a member, NULL when unknown; valid until the next change. */
const struct member *membership_find(
    const struct membership *membership, const char *name);

/* Members in no particular order; valid until the next change. */
size_t membership_count(const struct membership *membership);
const struct member *membership_at(
    const struct membership *membership, size_t index);

/* Members alive now, this instance left out. */
size_t membership_alive_count(
    const struct membership *membership, int64_t now_ms);

/*
 * How many instances the last list that was not empty had, this one included
 * even if it was not listed; 0 before the first list. More than half of these
 * make a majority.
 */
uint32_t membership_listed_count(const struct membership *membership);

/* The member that leads with the highest epoch, among those linked and alive;
 * NULL when there is none. */
const struct member *membership_lead(
    const struct membership *membership, int64_t now_ms);

/* Lower-case name of a state, as in the API. */
const char *membership_state_name(Ibis__InstanceState state);

/* Writes the body of GET /v1/instances. */
void membership_json(const struct membership *membership,
    const struct membership_self *self, int64_t now_ms, struct buffer *json);

#ifdef __cplusplus
}
#endif

#endif
