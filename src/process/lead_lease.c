#include <string.h>

#include "ibistrestle.pb-c.h"
#include "process/alloc.h"
#include "process/lead_lease.h"
#include "process/proto_memory.h"

#define RENEWALS_PER_LEASE 4
#define RETRY_MS	   150 /* wait after a failed call */

enum lead_action
lead_next_action(struct lead_lease *lease, int64_t now_ms)
{
	if (lease->call_in_flight || now_ms < lease->next_ms)
		return LEAD_NOTHING;
	switch (lease->role) {
	case LEAD_FOLLOWER:
		lease->call_in_flight = true;
		if (lease->renew_first ||
		    (lease->revision == 0 && *lease->holder == '\0' &&
			lease->key_absent))
			return LEAD_SWAP;
		return LEAD_READ;
	case LEAD_RECOVERING:
	case LEAD_LEADING:
		lease->call_in_flight = true;
		return lease->swap_outcome_unknown ? LEAD_READ : LEAD_SWAP;
	case LEAD_RELEASING:
		if (lead_released(lease))
			return LEAD_NOTHING;
		lease->call_in_flight = true;
		lease->delete_in_flight = !lease->swap_outcome_unknown;
		return lease->swap_outcome_unknown ? LEAD_READ : LEAD_DELETE;
	}
	return LEAD_NOTHING;
}

void
lead_encode_value(const struct lead_lease *lease, struct buffer *value)
{
	Ibis__LeadLease message = IBIS__LEAD_LEASE__INIT;
	char name[JOB_NAME_BYTES];

	STRING_COPY(name, lease->name);
	message.holder = name;
	message.incarnation = lease->incarnation;
	message.epoch = lease->epoch;
	proto_pack(&message.base, value);
}

/* Records the holder from the key's value; returns true when it is us. */
static bool
update_holder(
    struct lead_lease *lease, uint64_t revision, const struct buffer *value)
{
	Ibis__LeadLease *message = (Ibis__LeadLease *)proto_unpack(
	    &ibis__lead_lease__descriptor, value->data, value->length);
	bool ours;

	lease->revision = revision;
	lease->key_absent = false;
	/* An invalid value counts as no holder; it is overwritten. */
	if (message == NULL) {
		lease->holder[0] = '\0';
		return false;
	}
	if (!STRING_COPY(lease->holder, message->holder)) {
		proto_free(&message->base);
		return false;
	}
	lease->holder_epoch = message->epoch;
	ours = strcmp(message->holder, lease->name) == 0 &&
	    message->incarnation == lease->incarnation;
	proto_free(&message->base);
	return ours;
}

static void
become_follower(struct lead_lease *lease, int64_t now_ms)
{
	lease->role = LEAD_FOLLOWER;
	lease->valid_until_ms = 0;
	lease->next_ms = now_ms + lease->poll_ms;
}

/* Records that the key is absent, so that it is taken after the jitter. */
static void
handle_absent_key(struct lead_lease *lease, int64_t now_ms)
{
	lease->revision = 0;
	lease->holder[0] = '\0';
	lease->key_absent = true;
	lease->next_ms = now_ms + lease->jitter_ms;
}

static bool
handle_follower_read(struct lead_lease *lease, enum ibis_code code,
    uint64_t revision, const struct buffer *value, int64_t now_ms)
{
	if (code == IBIS_NOT_FOUND) {
		handle_absent_key(lease, now_ms);
		return false;
	}
	lease->next_ms = now_ms + lease->poll_ms;
	if (code != IBIS_OK || !update_holder(lease, revision, value))
		return false;
	if (revision == lease->epoch) {
		lease->renew_first = true;
		lease->next_ms = now_ms;
		return false;
	}
	/* A swap of ours whose reply was lost has succeeded. */
	lease->role = LEAD_RECOVERING;
	lease->epoch = revision;
	lease->next_ms = now_ms;
	return true;
}

/* Handles a read while releasing. A key is only deleted if it is ours. */
static void
handle_releasing_read(struct lead_lease *lease, enum ibis_code code,
    uint64_t revision, const struct buffer *value, int64_t now_ms)
{
	lease->next_ms = now_ms + RETRY_MS;
	if (code != IBIS_OK && code != IBIS_NOT_FOUND)
		return;
	lease->swap_outcome_unknown = false;
	lease->next_ms = now_ms;
	if (code == IBIS_NOT_FOUND || !update_holder(lease, revision, value))
		lease->revision = 0;
}

/* Handles the result of a swap or a delete while releasing. */
static void
handle_releasing_write(struct lead_lease *lease, enum ibis_code code,
    uint64_t revision, const struct buffer *value, int64_t now_ms)
{
	bool deleted = lease->delete_in_flight;

	lease->delete_in_flight = false;
	if (code == IBIS_NOT_FOUND || (deleted && code == IBIS_OK)) {
		lease->revision = 0;
	} else if (code == IBIS_OK) {
		lease->revision = revision;
		lease->next_ms = now_ms;
	} else if (code == IBIS_CONFLICT) {
		if (!update_holder(lease, revision, value))
			lease->revision = 0;
	} else if (code == IBIS_UNKNOWN && !deleted) {
		lease->swap_outcome_unknown = true;
	}
}

bool
lead_read_result(struct lead_lease *lease, enum ibis_code code,
    uint64_t revision, const struct buffer *value, int64_t now_ms)
{
	lease->call_in_flight = false;
	if (lease->role == LEAD_FOLLOWER)
		return handle_follower_read(
		    lease, code, revision, value, now_ms);
	if (lease->role == LEAD_RELEASING) {
		handle_releasing_read(lease, code, revision, value, now_ms);
		return false;
	}
	lease->next_ms = now_ms + RETRY_MS;
	if (code == IBIS_NOT_FOUND) {
		/* The lease expired and nobody has taken it: take it again. */
		lease->swap_outcome_unknown = false;
		lease->revision = 0;
		lease->next_ms = now_ms;
		return false;
	}
	if (code != IBIS_OK)
		return false;
	lease->swap_outcome_unknown = false;
	lease->next_ms = now_ms;
	if (update_holder(lease, revision, value))
		return false;
	become_follower(lease, now_ms);
	return true;
}

static bool
handle_swap_success(
    struct lead_lease *lease, uint64_t revision, int64_t sent_ms)
{
	lease->revision = revision;
	lease->valid_until_ms = sent_ms + lease->lease_ms;
	lease->next_ms = sent_ms + lease->lease_ms / RENEWALS_PER_LEASE;
	STRING_COPY(lease->holder, lease->name);
	if (lease->role != LEAD_FOLLOWER)
		return false;
	lease->role = LEAD_RECOVERING;
	lease->epoch = revision;
	lease->holder_epoch = revision;
	return true;
}

bool
lead_swap_result(struct lead_lease *lease, enum ibis_code code,
    uint64_t revision, const struct buffer *value, int64_t sent_ms,
    int64_t now_ms)
{
	lease->call_in_flight = false;
	lease->renew_first = false;
	lease->next_ms = now_ms + RETRY_MS;
	if (lease->role == LEAD_RELEASING) {
		handle_releasing_write(lease, code, revision, value, now_ms);
		return false;
	}
	switch (code) {
	case IBIS_OK:
		return handle_swap_success(lease, revision, sent_ms);
	case IBIS_CONFLICT:
		if (revision == 0) {
			handle_absent_key(lease, now_ms);
			return false;
		}
		if (update_holder(lease, revision, value)) {
			lease->next_ms = now_ms;
			if (lease->role != LEAD_FOLLOWER)
				return false;
			return handle_follower_read(
			    lease, IBIS_OK, revision, value, now_ms);
		}
		if (lease->role == LEAD_FOLLOWER) {
			lease->next_ms = now_ms + lease->poll_ms;
			return false;
		}
		become_follower(lease, now_ms);
		return true;
	case IBIS_UNKNOWN:
		lease->swap_outcome_unknown = lease->role != LEAD_FOLLOWER;
		lease->key_absent = false;
		return false;
	default:
		return false;
	}
}

void
lead_recovered(struct lead_lease *lease)
{
	if (lease->role == LEAD_RECOVERING)
		lease->role = LEAD_LEADING;
}

void
lead_step_down(struct lead_lease *lease, int64_t now_ms)
{
	if (lease->role == LEAD_RELEASING)
		return;
	become_follower(lease, now_ms);
	lease->holder[0] = '\0';
	lease->key_absent = false;
	lease->next_ms = now_ms;
}

void
lead_release(struct lead_lease *lease, int64_t now_ms)
{
	bool held =
	    lease->role == LEAD_LEADING || lease->role == LEAD_RECOVERING;

	if (lease->role == LEAD_RELEASING)
		return;
	lease->role = LEAD_RELEASING;
	lease->valid_until_ms = 0;
	lease->next_ms = now_ms;
	if (!held)
		lease->revision = 0;
}

bool
lead_released(const struct lead_lease *lease)
{
	return lease->role == LEAD_RELEASING && !lease->call_in_flight &&
	    !lease->swap_outcome_unknown && lease->revision == 0;
}

void
lead_schedule_read(struct lead_lease *lease, int64_t now_ms)
{
	if (lease->role != LEAD_FOLLOWER)
		return;
	lease->key_absent = false;
	lease->next_ms = now_ms;
}

bool
lead_valid(const struct lead_lease *lease, int64_t now_ms)
{
	return (lease->role == LEAD_LEADING ||
		   lease->role == LEAD_RECOVERING) &&
	    now_ms < lease->valid_until_ms;
}
