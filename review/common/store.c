/*
 * Stand-in for the platform's store: items, one revision counter, conditional
 * writes, leases, listings in pages, and watches over the whole history.
 */
#include <inttypes.h>
#include <json-c/json.h>
#include <ne_string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/fake_json.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "site.h"

#define MAX_ITEMS	 4096
#define MAX_CHANGES	 60000
#define MAX_LEASES	 256
#define PAGE_ITEMS	 500
#define FIRST_REVISION	 10
#define MIN_LEASE_MS	 1000
#define POLL_INTERVAL_MS 3
#define ANSWER_MS	 4
#define DECIMAL		 10
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT	 412
#define STATUS_BUSY	 429

struct item {
	char key[SITE_KEY_BYTES];
	char *value; /* base64; owned */
	uint64_t revision;
	uint64_t created;
	uint64_t lease;
};

struct change {
	char key[SITE_KEY_BYTES];
	char *value; /* NULL: deleted; owned */
	uint64_t revision;
	uint64_t created;
	uint64_t lease;
};

struct lease {
	uint64_t id; /* 0: unused */
	int64_t ttl_ms;
	int64_t expires_ms;
};

struct store {
	pthread_mutex_t lock;
	struct fake_server *server;
	struct item *items; /* sorted by key */
	size_t items_count;
	struct change *changes;
	size_t changes_count;
	struct lease leases[MAX_LEASES];
	uint64_t revision;
	uint64_t last_lease;
	bool stopping;
};

static struct item *
find_item(struct store *store, const char *key)
{
	for (size_t i = 0; i < store->items_count; i++) {
		if (strcmp(store->items[i].key, key) == 0)
			return &store->items[i];
	}
	return NULL;
}

static void
add_change(struct store *store, const struct item *item, bool deleted)
{
	struct change *change;

	if (store->changes_count == MAX_CHANGES)
		abort();
	change = &store->changes[store->changes_count++];
	*change = (struct change){
	    .value = deleted ? NULL : mem_strdup(item->value),
	    .revision = store->revision,
	    .created = item->created,
	    .lease = item->lease,
	};
	STRING_COPY(change->key, item->key);
}

/* Makes room for a new item in the order of the keys. */
static struct item *
insert_item(struct store *store, const char *key)
{
	size_t position = 0;
	struct item *item;

	if (store->items_count == MAX_ITEMS)
		abort();
	while (position < store->items_count &&
	    strcmp(store->items[position].key, key) < 0)
		position++;
	item = &store->items[position];
	memmove(item + 1, item,
	    (store->items_count - position) * sizeof(struct item));
	store->items_count++;
	*item = (struct item){.created = store->revision};
	STRING_COPY(item->key, key);
	return item;
}

/* The caller has raised the revision. */
static void
put_item(
    struct store *store, const char *key, const char *value, uint64_t lease)
{
	struct item *item = find_item(store, key);

	if (item == NULL)
		item = insert_item(store, key);
	mem_free(item->value);
	item->value = mem_strdup(value);
	item->revision = store->revision;
	item->lease = lease;
	add_change(store, item, false);
}

static void
remove_item(struct store *store, const char *key)
{
	struct item *item = find_item(store, key);
	size_t after;

	if (item == NULL)
		return;
	add_change(store, item, true);
	mem_free(item->value);
	after = store->items_count - (size_t)(item - store->items) - 1;
	memmove(item, item + 1, after * sizeof(struct item));
	store->items_count--;
}

static struct lease *
find_lease(struct store *store, uint64_t id)
{
	for (size_t i = 0; id != 0 && i < MAX_LEASES; i++) {
		if (store->leases[i].id == id)
			return &store->leases[i];
	}
	return NULL;
}

static void
end_lease(struct store *store, struct lease *lease)
{
	size_t i = 0;

	while (i < store->items_count) {
		char key[SITE_KEY_BYTES];

		if (store->items[i].lease != lease->id) {
			i++;
			continue;
		}
		STRING_COPY(key, store->items[i].key);
		store->revision++;
		remove_item(store, key);
	}
	lease->id = 0;
}

static void
expire_leases(struct store *store)
{
	for (size_t i = 0; i < MAX_LEASES; i++) {
		struct lease *lease = &store->leases[i];

		if (lease->id != 0 && clock_now_ms() > lease->expires_ms)
			end_lease(store, lease);
	}
}

static void
add_number(struct json_object *json, const char *name, int64_t number)
{
	(void)json_object_object_add(json, name, json_object_new_int64(number));
}

static struct json_object *
change_json(const struct change *change)
{
	struct json_object *json = json_object_new_object();

	(void)json_object_object_add(
	    json, "Key", json_object_new_string(change->key));
	add_number(json, "Revision", (int64_t)change->revision);
	if (change->value == NULL) {
		(void)json_object_object_add(
		    json, "Deleted", json_object_new_boolean(true));
		return json;
	}
	(void)json_object_object_add(
	    json, "Value", json_object_new_string(change->value));
	add_number(json, "Created", (int64_t)change->created);
	add_number(json, "Lease", (int64_t)change->lease);
	return json;
}

static struct json_object *
item_json(const struct item *item)
{
	struct change change = {
	    .value = item->value,
	    .revision = item->revision,
	    .created = item->created,
	    .lease = item->lease,
	};

	STRING_COPY(change.key, item->key);
	return change_json(&change);
}

static bool
has_prefix(const char *key, const char *prefix)
{
	return strncmp(key, prefix, strlen(prefix)) == 0;
}

static const char *
query_text(const struct fake_request *request, const char *name)
{
	const char *text = fake_request_query(request, name);

	return text == NULL ? "" : text;
}

static void
answer_list(struct store *store, const struct fake_request *request,
    struct fake_reply *reply)
{
	const char *prefix = query_text(request, "Prefix");
	const char *after = query_text(request, "After");
	struct json_object *body = json_object_new_object();
	struct json_object *items = json_object_new_array();
	bool more = false;

	for (size_t i = 0; i < store->items_count; i++) {
		const struct item *item = &store->items[i];

		if (!has_prefix(item->key, prefix) ||
		    strcmp(item->key, after) <= 0)
			continue;
		if (json_object_array_length(items) == PAGE_ITEMS) {
			more = true;
			break;
		}
		(void)json_object_array_add(items, item_json(item));
	}
	(void)json_object_object_add(body, "items", items);
	(void)json_object_object_add(
	    body, "HasMore", json_object_new_boolean(more));
	add_number(body, "At", (int64_t)store->revision);
	fake_json_append(&reply->body, body);
}

static size_t
add_events(struct store *store, const char *prefix, uint64_t after,
    struct json_object *events)
{
	size_t first = store->changes_count;

	while (first > 0 && store->changes[first - 1].revision > after)
		first--;
	for (size_t i = first; i < store->changes_count; i++) {
		if (has_prefix(store->changes[i].key, prefix))
			(void)json_object_array_add(
			    events, change_json(&store->changes[i]));
	}
	return json_object_array_length(events);
}

/* Waits with the store unlocked. */
static void
wait_unlocked(struct store *store, int64_t pause_ms)
{
	(void)pthread_mutex_unlock(&store->lock);
	sleep_ms(pause_ms);
	(void)pthread_mutex_lock(&store->lock);
	expire_leases(store);
}

static void
answer_watch(struct store *store, const struct fake_request *request,
    struct fake_reply *reply)
{
	const char *prefix = query_text(request, "Prefix");
	uint64_t after = (uint64_t)fake_request_number(request, "After", 0);
	int64_t until_ms =
	    clock_now_ms() + fake_request_number(request, "WaitMs", 0);
	struct json_object *body = json_object_new_object();
	struct json_object *events = json_object_new_array();

	while (add_events(store, prefix, after, events) == 0 &&
	    clock_now_ms() < until_ms && !store->stopping)
		wait_unlocked(store, POLL_INTERVAL_MS);
	(void)json_object_object_add(body, "events", events);
	add_number(body, "At", (int64_t)store->revision);
	fake_json_append(&reply->body, body);
}

static void
answer_get(struct store *store, const struct fake_request *request,
    struct fake_reply *reply)
{
	const struct item *item = find_item(store, query_text(request, "Key"));
	struct json_object *body;

	if (item == NULL) {
		reply->status = STATUS_NOT_FOUND;
		return;
	}
	body = item_json(item);
	add_number(body, "At", (int64_t)store->revision);
	fake_json_append(&reply->body, body);
}

/* Checks all conditions, and adds the items of their keys to present. */
static bool
conditions_hold(
    struct store *store, struct json_object *rows, struct json_object *present)
{
	bool hold = true;

	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);
		const struct item *item =
		    find_item(store, fake_json_text(row, "Key", ""));
		int64_t revision = item == NULL ? 0 : (int64_t)item->revision;

		hold = hold && revision == fake_json_number(row, "Revision", 0);
		if (item != NULL)
			(void)json_object_array_add(present, item_json(item));
	}
	return hold;
}

static bool
leases_exist(struct store *store, struct json_object *puts)
{
	for (size_t i = 0; i < json_object_array_length(puts); i++) {
		uint64_t lease = (uint64_t)fake_json_number(
		    json_object_array_get_idx(puts, i), "Lease", 0);

		if (lease != 0 && find_lease(store, lease) == NULL)
			return false;
	}
	return true;
}

static void
apply_write(
    struct store *store, struct json_object *puts, struct json_object *removals)
{
	store->revision++;
	for (size_t i = 0; i < json_object_array_length(puts); i++) {
		struct json_object *row = json_object_array_get_idx(puts, i);

		put_item(store, fake_json_text(row, "Key", ""),
		    fake_json_text(row, "Value", ""),
		    (uint64_t)fake_json_number(row, "Lease", 0));
	}
	for (size_t i = 0; i < json_object_array_length(removals); i++)
		remove_item(store,
		    json_object_get_string(
			json_object_array_get_idx(removals, i)));
}

static void
answer_write(struct store *store, const char *text, struct fake_reply *reply)
{
	struct json_object *body = json_tokener_parse(text);
	struct json_object *answer = json_object_new_object();
	struct json_object *present = json_object_new_array();
	struct json_object *puts = json_object_object_get(body, "Puts");

	if (!conditions_hold(
		store, json_object_object_get(body, "Precondition"), present)) {
		reply->status = STATUS_CONFLICT;
	} else if (!leases_exist(store, puts)) {
		reply->status = STATUS_NOT_FOUND;
	} else {
		apply_write(
		    store, puts, json_object_object_get(body, "Remove"));
		add_number(answer, "Revision", (int64_t)store->revision);
	}
	if (reply->status == STATUS_CONFLICT)
		(void)json_object_object_add(answer, "items", present);
	else
		json_object_put(present);
	fake_json_append(&reply->body, answer);
	json_object_put(body);
}

static void
answer_lease(struct store *store, const char *text, struct fake_reply *reply)
{
	struct json_object *body = json_tokener_parse(text);
	int64_t ttl_ms = fake_json_number(body, "TtlMs", MIN_LEASE_MS);

	json_object_put(body);
	if (ttl_ms < MIN_LEASE_MS)
		ttl_ms = MIN_LEASE_MS;
	for (size_t i = 0; i < MAX_LEASES; i++) {
		struct lease *lease = &store->leases[i];

		if (lease->id != 0)
			continue;
		*lease = (struct lease){
		    .id = ++store->last_lease,
		    .ttl_ms = ttl_ms,
		    .expires_ms = clock_now_ms() + ttl_ms,
		};
		buffer_printf(&reply->body,
		    "{\"Lease\":%" PRIu64 ",\"TtlMs\":%" PRId64 "}", lease->id,
		    ttl_ms);
		return;
	}
	reply->status = STATUS_BUSY;
}

static void
answer_lease_change(
    struct store *store, uint64_t id, bool ends, struct fake_reply *reply)
{
	struct lease *lease = find_lease(store, id);

	if (lease == NULL) {
		reply->status = STATUS_NOT_FOUND;
		return;
	}
	buffer_printf(&reply->body, "{\"TtlMs\":%" PRId64 "}", lease->ttl_ms);
	if (ends)
		end_lease(store, lease);
	else
		lease->expires_ms = clock_now_ms() + lease->ttl_ms;
}

static const char *
after_prefix(const char *text, const char *prefix)
{
	return has_prefix(text, prefix) ? text + strlen(prefix) : NULL;
}

static void
answer_call(struct store *store, const struct fake_request *request,
    struct fake_reply *reply)
{
	const char *path = request->path;
	const char *id;

	expire_leases(store);
	if (strcmp(path, "/ibistrestle/kv-key") == 0)
		answer_get(store, request, reply);
	else if (strcmp(path, "/ibistrestle/kv-range") == 0)
		answer_list(store, request, reply);
	else if (strcmp(path, "/ibistrestle/kv-watch") == 0)
		answer_watch(store, request, reply);
	else if (strcmp(path, "/ibistrestle/kv-txn") == 0)
		answer_write(store, request->body, reply);
	else if (strcmp(path, "/ibistrestle/kv-lease") == 0)
		answer_lease(store, request->body, reply);
	else if ((id = after_prefix(path, "/ibistrestle/kv-keep/")) != NULL)
		answer_lease_change(
		    store, strtoull(id, NULL, DECIMAL), false, reply);
	else if ((id = after_prefix(path, "/ibistrestle/kv-lease-end/")) !=
	    NULL)
		answer_lease_change(
		    store, strtoull(id, NULL, DECIMAL), true, reply);
	else
		reply->status = STATUS_NOT_FOUND;
}

static void
handle_request(
    void *context, const struct fake_request *request, struct fake_reply *reply)
{
	struct store *store = context;

	sleep_ms(ANSWER_MS);
	(void)pthread_mutex_lock(&store->lock);
	answer_call(store, request, reply);
	(void)pthread_mutex_unlock(&store->lock);
}

struct store *
store_start(const char *address)
{
	struct store *store = mem_calloc(1, sizeof(*store));

	(void)pthread_mutex_init(&store->lock, NULL);
	store->items = mem_calloc(MAX_ITEMS + 1, sizeof(struct item));
	store->changes = mem_calloc(MAX_CHANGES, sizeof(struct change));
	store->revision = FIRST_REVISION;
	store->server = fake_server_start(address, handle_request, store);
	return store->server == NULL ? NULL : store;
}

/* The memory of the store is left to the end of the process. */
void
store_stop(struct store *store)
{
	if (store == NULL)
		return;
	store->stopping = true;
	fake_server_stop(store->server);
}

void
store_put(struct store *store, const char *key, const char *value)
{
	char *encoded = ne_base64((const unsigned char *)value, strlen(value));

	(void)pthread_mutex_lock(&store->lock);
	store->revision++;
	put_item(store, key, encoded, 0);
	(void)pthread_mutex_unlock(&store->lock);
	ne_free(encoded);
}

void
store_lead(struct store *store, char *name, size_t bytes)
{
	const struct item *item;
	unsigned char *value = NULL;
	size_t length = 0;

	*name = '\0';
	(void)pthread_mutex_lock(&store->lock);
	expire_leases(store);
	item = find_item(store, "ibis/lead");
	if (item != NULL)
		length = ne_unbase64(item->value, &value);
	(void)pthread_mutex_unlock(&store->lock);
	if (value != NULL && length < bytes) {
		memcpy(name, value, length);
		name[length] = '\0';
	}
	ne_free(value);
}
