/* The store of the fake platform: items, leases, transactions and watches. */
#include <inttypes.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "common/fake_json.h"
#include "common_users_state.h"
#include "process/alloc.h"
#include "process/clock.h"

struct users_item *
users_find_item(struct users_platform *platform, const char *key)
{
	for (size_t i = 0; i < USERS_MAX_ITEMS; i++) {
		if (platform->items[i].used &&
		    strcmp(platform->items[i].key, key) == 0)
			return &platform->items[i];
	}
	return NULL;
}

static void
record_change(struct users_platform *platform, const struct users_item *item,
    bool deleted)
{
	struct users_change *change;

	if (platform->changes_count == USERS_MAX_CHANGES)
		return;
	change = &platform->changes[platform->changes_count++];
	*change = (struct users_change){
	    .revision = platform->revision, .lease = item->lease};
	STRING_COPY(change->key, item->key);
	change->value = deleted ? NULL : mem_strdup(item->value);
	if (deleted && strcmp(item->key, USERS_LEAD_KEY) == 0)
		platform->lead_key_deletions++;
}

void
users_put_item(struct users_platform *platform, const char *key,
    const char *value, uint64_t lease)
{
	struct users_item *item = users_find_item(platform, key);

	for (size_t i = 0; item == NULL && i < USERS_MAX_ITEMS; i++) {
		if (!platform->items[i].used)
			item = &platform->items[i];
	}
	if (item == NULL)
		return;
	mem_free(item->value);
	*item = (struct users_item){.used = true,
	    .value = mem_strdup(value),
	    .revision = platform->revision,
	    .lease = lease};
	STRING_COPY(item->key, key);
	record_change(platform, item, false);
}

static void
remove_item(struct users_platform *platform, const char *key)
{
	struct users_item *item = users_find_item(platform, key);

	if (item == NULL)
		return;
	record_change(platform, item, true);
	mem_free(item->value);
	*item = (struct users_item){0};
}

struct users_lease *
users_find_lease(struct users_platform *platform, uint64_t id)
{
	for (size_t i = 0; i < USERS_MAX_LEASES; i++) {
		if (id != 0 && platform->leases[i].id == id)
			return &platform->leases[i];
	}
	return NULL;
}

void
users_end_lease(struct users_platform *platform, struct users_lease *lease)
{
	for (size_t i = 0; i < USERS_MAX_ITEMS; i++) {
		if (!platform->items[i].used ||
		    platform->items[i].lease != lease->id)
			continue;
		platform->revision++;
		remove_item(platform, platform->items[i].key);
	}
	lease->id = 0;
}

void
users_expire_leases(struct users_platform *platform)
{
	for (size_t i = 0; i < USERS_MAX_LEASES; i++) {
		struct users_lease *lease = &platform->leases[i];

		if (lease->id != 0 && clock_now_ms() > lease->expires_ms)
			users_end_lease(platform, lease);
	}
}

static struct json_object *
item_json(const char *key, const char *value, uint64_t revision, uint64_t lease)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "Key", json_object_new_string(key));
	json_object_object_add(
	    json, "Revision", json_object_new_int64((int64_t)revision));
	if (value == NULL) {
		json_object_object_add(
		    json, "Deleted", json_object_new_boolean(true));
		return json;
	}
	json_object_object_add(json, "Value", json_object_new_string(value));
	json_object_object_add(
	    json, "Lease", json_object_new_int64((int64_t)lease));
	return json;
}

static void
answer_list(struct users_platform *platform, const char *prefix,
    struct fake_reply *reply)
{
	struct json_object *body = json_object_new_object();
	struct json_object *items = json_object_new_array();

	for (size_t i = 0; i < USERS_MAX_ITEMS; i++) {
		const struct users_item *item = &platform->items[i];

		if (item->used &&
		    strncmp(item->key, prefix, strlen(prefix)) == 0)
			json_object_array_add(items,
			    item_json(item->key, item->value, item->revision,
				item->lease));
	}
	json_object_object_add(body, "items", items);
	json_object_object_add(body, "HasMore", json_object_new_boolean(false));
	json_object_object_add(
	    body, "At", json_object_new_int64((int64_t)platform->revision));
	fake_json_append(&reply->body, body);
}

static size_t
add_events(struct users_platform *platform, const char *prefix, uint64_t after,
    struct json_object *events)
{
	size_t count = 0;

	for (size_t i = 0; i < platform->changes_count; i++) {
		const struct users_change *change = &platform->changes[i];

		if (change->revision <= after ||
		    strncmp(change->key, prefix, strlen(prefix)) != 0)
			continue;
		json_object_array_add(events,
		    item_json(change->key, change->value, change->revision,
			change->lease));
		count++;
	}
	return count;
}

/* Returns whether a call gets no answer for the time being. */
static bool
is_hanging(
    const struct users_platform *platform, const struct fake_request *request)
{
	const char *prefix = fake_request_query(request, "Prefix");
	const char *hanging_prefix = platform->hanging_prefix;

	return platform->hanging ||
	    (prefix != NULL && hanging_prefix != NULL &&
		strcmp(prefix, hanging_prefix) == 0);
}

static void
answer_watch(struct users_platform *platform,
    const struct users_listener *listener, const struct fake_request *request,
    struct fake_reply *reply)
{
	const char *prefix = fake_request_query(request, "Prefix");
	uint64_t after = (uint64_t)fake_request_number(request, "After", 0);
	int64_t until_ms =
	    clock_now_ms() + fake_request_number(request, "WaitMs", 0);
	struct json_object *body = json_object_new_object();
	struct json_object *events = json_object_new_array();

	if (after < platform->compacted_revision) {
		reply->status = 410;
		json_object_put(body);
		json_object_put(events);
		return;
	}
	while (is_hanging(platform, request) ||
	    ((listener->events_suppressed ||
		 add_events(platform, prefix, after, events) == 0) &&
		clock_now_ms() < until_ms)) {
		(void)pthread_mutex_unlock(&platform->lock);
		process_sleep(USERS_POLL_INTERVAL_MS);
		(void)pthread_mutex_lock(&platform->lock);
		users_expire_leases(platform);
	}
	json_object_object_add(body, "events", events);
	json_object_object_add(body, "At",
	    json_object_new_int64(
		(int64_t)(listener->events_suppressed ? after
						      : platform->revision)));
	fake_json_append(&reply->body, body);
}

/* Checks all conditions, and adds their keys that exist to present. */
static bool
conditions_met(struct users_platform *platform, struct json_object *rows,
    struct json_object *present)
{
	bool met = true;

	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);
		const char *key = fake_json_text(row, "Key", "");
		struct users_item *item = users_find_item(platform, key);
		uint64_t revision = item == NULL ? 0 : item->revision;

		if (revision != (uint64_t)fake_json_number(row, "Revision", 0))
			met = false;
		if (item == NULL)
			continue;
		json_object_array_add(present,
		    item_json(key, item->value, item->revision, item->lease));
	}
	return met;
}

static void
apply_transaction(struct users_platform *platform, struct json_object *puts,
    struct json_object *removals)
{
	platform->revision++;
	for (size_t i = 0; i < json_object_array_length(puts); i++) {
		struct json_object *row = json_object_array_get_idx(puts, i);

		users_put_item(platform, fake_json_text(row, "Key", ""),
		    fake_json_text(row, "Value", ""),
		    (uint64_t)fake_json_number(row, "Lease", 0));
	}
	for (size_t i = 0; i < json_object_array_length(removals); i++)
		remove_item(platform,
		    json_object_get_string(
			json_object_array_get_idx(removals, i)));
}

static void
answer_transaction(
    struct users_platform *platform, const char *text, struct fake_reply *reply)
{
	struct json_object *body = json_tokener_parse(text);
	struct json_object *answer = json_object_new_object();
	struct json_object *present = json_object_new_array();
	struct json_object *conditions =
	    json_object_object_get(body, "Precondition");

	if (conditions_met(platform, conditions, present)) {
		apply_transaction(platform,
		    json_object_object_get(body, "Puts"),
		    json_object_object_get(body, "Remove"));
		json_object_object_add(answer, "Revision",
		    json_object_new_int64((int64_t)platform->revision));
		json_object_put(present);
	} else {
		reply->status = 412;
		json_object_object_add(answer, "items", present);
	}
	fake_json_append(&reply->body, answer);
	json_object_put(body);
}

static bool
starts_with(const char *text, const char *prefix, const char **rest)
{
	size_t length = strlen(prefix);

	*rest = text + length;
	return strncmp(text, prefix, length) == 0;
}

/* Returns whether a transaction writes a job's record. */
static bool
is_submission(const char *text)
{
	struct json_object *body = json_tokener_parse(text);
	struct json_object *put =
	    json_object_array_get_idx(json_object_object_get(body, "Puts"), 0);
	const char *rest;
	bool found =
	    starts_with(fake_json_text(put, "Key", ""), "ibis/job/", &rest);

	json_object_put(body);
	return found;
}

/* Keeps a write of a job's record for later, if such writes are held. Returns
 * whether it is. */
static bool
hold_submission(struct users_platform *platform, const char *text)
{
	if (!platform->holding_submissions || !is_submission(text))
		return false;
	if (platform->held_count < USERS_MAX_HELD)
		platform->held[platform->held_count++] = mem_strdup(text);
	return true;
}

void
users_store_hold_submissions(struct users_platform *platform)
{
	(void)pthread_mutex_lock(&platform->lock);
	platform->holding_submissions = true;
	(void)pthread_mutex_unlock(&platform->lock);
}

void
users_store_release_submissions(struct users_platform *platform)
{
	(void)pthread_mutex_lock(&platform->lock);
	platform->holding_submissions = false;
	for (size_t i = 0; i < platform->held_count; i++) {
		struct fake_reply unread = {0};

		answer_transaction(platform, platform->held[i], &unread);
		buffer_free(&unread.body);
		mem_free(platform->held[i]);
	}
	platform->held_count = 0;
	(void)pthread_mutex_unlock(&platform->lock);
}

static void
answer_lease(
    struct users_platform *platform, const char *text, struct fake_reply *reply)
{
	struct json_object *body = json_tokener_parse(text);
	int64_t ttl_ms = fake_json_number(body, "TtlMs", 1000);

	json_object_put(body);
	for (size_t i = 0; i < USERS_MAX_LEASES; i++) {
		struct users_lease *lease = &platform->leases[i];

		if (lease->id != 0)
			continue;
		*lease = (struct users_lease){.id = ++platform->next_lease,
		    .ttl_ms = ttl_ms,
		    .expires_ms = clock_now_ms() + ttl_ms};
		buffer_printf(&reply->body,
		    "{\"Lease\":%" PRIu64 ",\"TtlMs\":%" PRId64 "}", lease->id,
		    ttl_ms);
		return;
	}
	reply->status = 429;
}

static void
answer_renew_or_revoke(struct users_platform *platform, uint64_t id,
    bool revoke, struct fake_reply *reply)
{
	struct users_lease *lease = users_find_lease(platform, id);

	if (lease == NULL) {
		reply->status = 404;
		return;
	}
	buffer_printf(&reply->body, "{\"TtlMs\":%" PRId64 "}", lease->ttl_ms);
	if (revoke)
		users_end_lease(platform, lease);
	else
		lease->expires_ms = clock_now_ms() + lease->ttl_ms;
}

static void
answer_store_call(struct users_platform *platform,
    const struct users_listener *listener, const struct fake_request *request,
    struct fake_reply *reply)
{
	const char *path = request->path;
	const char *rest;

	users_expire_leases(platform);
	if (strcmp(path, "/ibistrestle/kv-range") == 0) {
		answer_list(
		    platform, fake_request_query(request, "Prefix"), reply);
	} else if (strcmp(path, "/ibistrestle/kv-watch") == 0) {
		answer_watch(platform, listener, request, reply);
	} else if (strcmp(path, "/ibistrestle/kv-txn") == 0) {
		reply->cut = hold_submission(platform, request->body);
		if (!reply->cut)
			answer_transaction(platform, request->body, reply);
	} else if (strcmp(path, "/ibistrestle/kv-lease") == 0) {
		answer_lease(platform, request->body, reply);
	} else if (starts_with(path, "/ibistrestle/kv-keep/", &rest)) {
		answer_renew_or_revoke(
		    platform, strtoull(rest, NULL, 10), false, reply);
	} else if (starts_with(path, "/ibistrestle/kv-lease-end/", &rest)) {
		answer_renew_or_revoke(
		    platform, strtoull(rest, NULL, 10), true, reply);
	} else if (strcmp(path, "/ibistrestle/kv-key") == 0) {
		struct users_item *item = users_find_item(
		    platform, fake_request_query(request, "Key"));

		reply->status = item == NULL ? 404 : 200;
		if (item != NULL)
			fake_json_append(&reply->body,
			    item_json(item->key, item->value, item->revision,
				item->lease));
	} else {
		reply->status = 404;
	}
}

void
users_store_handler(
    void *context, const struct fake_request *request, struct fake_reply *reply)
{
	struct users_listener *listener = context;
	struct users_platform *platform = listener->platform;

	reply->status = 200;
	reply->link = &listener->link;
	while (is_hanging(platform, request))
		process_sleep(USERS_POLL_INTERVAL_MS);
	if (platform->delay_ms > 0)
		process_sleep((int32_t)platform->delay_ms);
	if (listener->rejecting) {
		reply->status = 503;
		return;
	}
	(void)pthread_mutex_lock(&platform->lock);
	answer_store_call(platform, listener, request, reply);
	(void)pthread_mutex_unlock(&platform->lock);
}
