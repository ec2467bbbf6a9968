#include <string.h>

#include <json-c/json.h>

#include "process/alloc.h"
#include "process/membership.h"

struct membership {
	char own_name[JOB_NAME_BYTES];
	int32_t timeout_ms;
	uint32_t listed_count;
	struct member *members;
	size_t count;
	size_t capacity;
};

struct membership *
membership_new(const char *own_name, int32_t timeout_ms)
{
	struct membership *membership = mem_calloc(1, sizeof(*membership));

	STRING_COPY(membership->own_name, own_name);
	membership->timeout_ms = timeout_ms;
	return membership;
}

void
membership_free(struct membership *membership)
{
	if (membership == NULL)
		return;
	mem_free(membership->members);
	mem_free(membership);
}

static struct member *
find_member(const struct membership *membership, const char *name)
{
	for (size_t i = 0; i < membership->count; i++) {
		if (strcmp(membership->members[i].name, name) == 0)
			return &membership->members[i];
	}
	return NULL;
}

/* Returns the member with this name, added if it is unknown. */
static struct member *
add_member(struct membership *membership, const char *name)
{
	struct member *member = find_member(membership, name);

	if (member != NULL)
		return member;
	membership->members =
	    mem_grow(membership->members, &membership->capacity,
		membership->count + 1, sizeof(*membership->members));
	member = &membership->members[membership->count++];
	*member = (struct member){0};
	STRING_COPY(member->name, name);
	return member;
}

static bool
is_alive(const struct membership *membership, const struct member *member,
    int64_t now_ms)
{
	return member->last_heartbeat_ms > 0 &&
	    now_ms - member->last_heartbeat_ms < membership->timeout_ms;
}

static void
apply_list_entry(
    struct membership *membership, const struct membership_entry *entry)
{
	struct member *member = add_member(membership, entry->name);

	member->listed = true;
	STRING_COPY(member->address, entry->address);
	STRING_COPY(member->caller_address, entry->caller_address);
	STRING_COPY(member->zone, entry->zone);
}

/* Drops members that are neither listed nor linked nor alive. */
static void
drop_departed(struct membership *membership, int64_t now_ms)
{
	size_t kept = 0;

	for (size_t i = 0; i < membership->count; i++) {
		const struct member *member = &membership->members[i];

		if (member->listed || member->linked ||
		    is_alive(membership, member, now_ms))
			membership->members[kept++] = *member;
	}
	membership->count = kept;
}

void
membership_set_list(struct membership *membership,
    const struct membership_entry *entries, size_t count, int64_t now_ms)
{
	uint32_t others = 0;

	if (count == 0)
		return;
	for (size_t i = 0; i < membership->count; i++)
		membership->members[i].listed = false;
	for (size_t i = 0; i < count; i++) {
		if (strcmp(entries[i].name, membership->own_name) == 0)
			continue;
		apply_list_entry(membership, &entries[i]);
	}
	for (size_t i = 0; i < membership->count; i++)
		others += membership->members[i].listed ? 1 : 0;
	membership->listed_count = others + 1;
	drop_departed(membership, now_ms);
}

bool
membership_handle_heartbeat(struct membership *membership,
    const Ibis__Heartbeat *heartbeat, int64_t now_ms)
{
	struct member *member;

	if (strcmp(heartbeat->name, membership->own_name) == 0 ||
	    !STRING_FITS(member->name, heartbeat->name) ||
	    !STRING_FITS(member->lead, heartbeat->lead) ||
	    !STRING_FITS(member->caller_address, heartbeat->caller_address) ||
	    !STRING_FITS(member->zone, heartbeat->zone))
		return false;
	member = add_member(membership, heartbeat->name);
	if (heartbeat->incarnation < member->incarnation)
		return false;
	member->incarnation = heartbeat->incarnation;
	member->last_heartbeat_ms = now_ms;
	member->state = heartbeat->state;
	member->document_version = heartbeat->document_version;
	member->store_reachable = heartbeat->store_reachable;
	member->leading = heartbeat->leading;
	member->lead_epoch = heartbeat->lead_epoch;
	STRING_COPY(member->lead, heartbeat->lead);
	STRING_COPY(member->caller_address, heartbeat->caller_address);
	STRING_COPY(member->zone, heartbeat->zone);
	return true;
}

void
membership_set_linked(struct membership *membership, const char *name, bool up)
{
	struct member *member = add_member(membership, name);

	member->linked = up;
	if (!up)
		member->leading = false;
}

bool
membership_alive(
    const struct membership *membership, const char *name, int64_t now_ms)
{
	const struct member *member = find_member(membership, name);

	return member != NULL && is_alive(membership, member, now_ms);
}

const struct member *
membership_find(const struct membership *membership, const char *name)
{
	return find_member(membership, name);
}

size_t
membership_count(const struct membership *membership)
{
	return membership->count;
}

const struct member *
membership_at(const struct membership *membership, size_t index)
{
	return &membership->members[index];
}

size_t
membership_alive_count(const struct membership *membership, int64_t now_ms)
{
	size_t alive = 0;

	for (size_t i = 0; i < membership->count; i++)
		alive += is_alive(membership, &membership->members[i], now_ms)
		    ? 1
		    : 0;
	return alive;
}

uint32_t
membership_listed_count(const struct membership *membership)
{
	return membership->listed_count;
}

const struct member *
membership_lead(const struct membership *membership, int64_t now_ms)
{
	const struct member *best = NULL;

	for (size_t i = 0; i < membership->count; i++) {
		const struct member *member = &membership->members[i];

		if (!member->leading || !member->linked ||
		    !is_alive(membership, member, now_ms))
			continue;
		if (best == NULL || member->lead_epoch > best->lead_epoch)
			best = member;
	}
	return best;
}

const char *
membership_state_name(Ibis__InstanceState state)
{
	switch (state) {
	case IBIS__INSTANCE_STATE__INSTANCE_SERVING:
		return "serving";
	case IBIS__INSTANCE_STATE__INSTANCE_LEAVING:
		return "leaving";
	default:
		return "starting";
	}
}

static struct json_object *
instance_json(const struct membership_entry *entry, const char *state,
    uint64_t document_version, bool leading)
{
	struct json_object *item = json_object_new_object();

	(void)json_object_object_add(
	    item, "name", json_object_new_string(entry->name));
	(void)json_object_object_add(
	    item, "availability_zone", json_object_new_string(entry->zone));
	(void)json_object_object_add(item, "caller_address",
	    json_object_new_string(entry->caller_address));
	(void)json_object_object_add(
	    item, "peer_address", json_object_new_string(entry->address));
	(void)json_object_object_add(
	    item, "state", json_object_new_string(state));
	(void)json_object_object_add(item, "document_version",
	    json_object_new_int64((int64_t)document_version));
	(void)json_object_object_add(
	    item, "leading", json_object_new_boolean(leading));
	return item;
}

static struct json_object *
member_json(const struct membership *membership, const struct member *member,
    int64_t now_ms)
{
	struct membership_entry entry = {0};

	STRING_COPY(entry.name, member->name);
	STRING_COPY(entry.address, member->address);
	STRING_COPY(entry.caller_address, member->caller_address);
	STRING_COPY(entry.zone, member->zone);
	return instance_json(&entry,
	    is_alive(membership, member, now_ms)
		? membership_state_name(member->state)
		: "silent",
	    member->document_version, member->leading);
}

static struct json_object *
self_json(
    const struct membership *membership, const struct membership_self *self)
{
	struct membership_entry entry = {0};

	STRING_COPY(entry.name, membership->own_name);
	STRING_COPY(entry.address, self->peer_address);
	STRING_COPY(entry.caller_address, self->caller_address);
	STRING_COPY(entry.zone, self->zone);
	return instance_json(&entry, membership_state_name(self->state),
	    self->document_version, self->leading);
}

void
membership_write_json(const struct membership *membership,
    const struct membership_self *self, int64_t now_ms, struct buffer *json)
{
	struct json_object *body = json_object_new_object();
	struct json_object *items = json_object_new_array();

	(void)json_object_array_add(items, self_json(membership, self));
	for (size_t i = 0; i < membership->count; i++)
		(void)json_object_array_add(items,
		    member_json(membership, &membership->members[i], now_ms));
	(void)json_object_object_add(body, "instances", items);
	buffer_puts(json,
	    json_object_to_json_string_ext(
		body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	(void)json_object_put(body);
}
