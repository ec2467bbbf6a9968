/*
 * What this instance knows of the other instances. The platform's list, which
 * lags behind, says which instances exist; heartbeats say which are alive and
 * their state. Does no I/O; one thread. Times are of one monotonic clock.
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
	char address[JOB_NAME_BYTES];	     /* for peers */
	char caller_address[JOB_NAME_BYTES]; /* for callers */
	char zone[JOB_NAME_BYTES];
};

/* Another instance. */
struct member {
	char name[JOB_NAME_BYTES];
	char address[JOB_NAME_BYTES];	     /* for peers */
	char caller_address[JOB_NAME_BYTES]; /* for callers */
	char zone[JOB_NAME_BYTES];
	bool listed; /* in the platform's last list */
	bool linked; /* the peer link is up */
	/* The fields below are those of its last heartbeat. */
	uint64_t incarnation;
	int64_t last_heartbeat_ms; /* when it was received; 0: never */
	Ibis__InstanceState state;
	uint64_t document_version;
	bool store_reachable;
	bool leading;
	uint64_t lead_epoch;
	char lead[JOB_NAME_BYTES]; /* the instance that it considers the lead */
};

/* This instance, as membership_write_json shows it. */
struct membership_self {
	char caller_address[JOB_NAME_BYTES];
	char peer_address[JOB_NAME_BYTES];
	char zone[JOB_NAME_BYTES];
	Ibis__InstanceState state;
	uint64_t document_version;
	bool leading;
};

struct membership;

/* Creates a membership without members. A member is alive until timeout_ms
 * after its last heartbeat. Free with membership_free, which accepts NULL. */
struct membership *membership_new(const char *own_name, int32_t timeout_ms);
void membership_free(struct membership *membership);

/*
 * Applies a list that was read from the platform; an empty one is ignored.
 * Members that are no longer listed are dropped, unless they are alive or
 * linked.
 */
void membership_set_list(struct membership *membership,
    const struct membership_entry *entries, size_t count, int64_t now_ms);

/*
 * Applies a heartbeat. Returns false and changes nothing when it is this
 * instance's own or of an earlier incarnation than the one known.
 */
bool membership_handle_heartbeat(struct membership *membership,
    const Ibis__Heartbeat *heartbeat, int64_t now_ms);

/* Records that the link to a member went up or down. A member whose link went
 * down doesn't count as lead until its next heartbeat says so. */
void membership_set_linked(
    struct membership *membership, const char *name, bool up);

/* Tells whether a heartbeat of the member was received within the timeout. */
bool membership_alive(
    const struct membership *membership, const char *name, int64_t now_ms);

/* Returns a member, or NULL when it is unknown; valid until the next change. */
const struct member *membership_find(
    const struct membership *membership, const char *name);

/* Give access to all members, alive or not, in no particular order; a member is
 * valid until the next change. index is below the count. */
size_t membership_count(const struct membership *membership);
const struct member *membership_at(
    const struct membership *membership, size_t index);

/* Returns the number of members that are alive, without this instance. */
size_t membership_alive_count(
    const struct membership *membership, int64_t now_ms);

/*
 * Returns the number of instances in the last list that was not empty, with
 * this one included even if it was not listed; 0 before the first list. A
 * majority is more than half of these.
 */
uint32_t membership_listed_count(const struct membership *membership);

/* Returns the leading member with the highest epoch among those that are linked
 * and alive, or NULL; valid until the next change. */
const struct member *membership_lead(
    const struct membership *membership, int64_t now_ms);

/* Returns the lower-case name of a state, as in the API; a static string. */
const char *membership_state_name(Ibis__InstanceState state);

/* Appends the body of GET /v1/instances to json. */
void membership_write_json(const struct membership *membership,
    const struct membership_self *self, int64_t now_ms, struct buffer *json);

#ifdef __cplusplus
}
#endif

#endif
