/* Stand-in of the platform's store. */
#include <inttypes.h>
#include <ne_string.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include "common/fake_json.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "site.h"

#define STATUS_BAD_REQUEST 400
#define STATUS_FORBIDDEN   403
#define STATUS_NOT_FOUND   404
#define STATUS_GONE	   410
#define STATUS_NOT_MET	   412
#define STATUS_TOO_MANY	   429
#define MAX_ROWS	   32
#define PAGE_ITEMS	   500
#define PAGE_BYTES	   1000000
#define WATCH_STEP_MS	   2
#define BASE64_CHARS	   4
#define BASE64_BYTES	   3
#define DECIMAL		   10

static struct site_item *
find_item(struct site_store *store, const char *key)
{
	for (size_t i = 0; i < store->items_count; i++) {
		if (strcmp(store->items[i].key, key) == 0)
			return &store->items[i];
	}
	return NULL;
}

static void
add_change(struct site_store *store, const struct site_item *item, bool deleted)
{
	struct site_item *change;

	if (store->changes_count == SITE_MAX_CHANGES)
		return;
	change = &store->changes[store->changes_count++];
	*change = *item;
	change->key = mem_strdup(item->key);
	change->value = deleted ? NULL : mem_strdup(item->value);
	change->revision = store->revision;
}

/* Keeps the items in the order of their keys, as pages need it. */
static struct site_item *
insert_item(struct site_store *store, const char *key)
{
	size_t at = 0;

	if (store->items_count == SITE_MAX_ITEMS)
		return NULL;
	while (at < store->items_count && strcmp(store->items[at].key, key) < 0)
		at++;
	memmove(&store->items[at + 1], &store->items[at],
	    (store->items_count - at) * sizeof(store->items[0]));
	store->items_count++;
	store->items[at] = (struct site_item){
	    .key = mem_strdup(key), .created = store->revision};
	return &store->items[at];
}

static void
put_item(struct site_store *store, const char *key, const char *value,
    uint64_t lease)
{
	struct site_item *item = find_item(store, key);

	if (item == NULL)
		item = insert_item(store, key);
	if (item == NULL)
		return;
	mem_free(item->value);
	item->value = mem_strdup(value);
	item->revision = store->revision;
	item->lease = lease;
	add_change(store, item, false);
}

static void
remove_item(struct site_store *store, const char *key)
{
	struct site_item *item = find_item(store, key);
	size_t at;

	if (item == NULL)
		return;
	add_change(store, item, true);
	mem_free(item->key);
	mem_free(item->value);
	at = (size_t)(item - store->items);
	memmove(item, item + 1,
	    (store->items_count - at - 1) * sizeof(store->items[0]));
	store->items_count--;
}

void
site_put(struct site *site, const char *key, const char *text)
{
	char *value = ne_base64((const unsigned char *)text, strlen(text));

	site->store.revision++;
	put_item(&site->store, key, value, 0);
	ne_free(value);
}

const char *
site_value(struct site *site, const char *key)
{
	const struct site_item *item = find_item(&site->store, key);

	return item == NULL ? NULL : item->value;
}

void
site_remove(struct site *site, const char *key)
{
	site->store.revision++;
	remove_item(&site->store, key);
}

static void
end_lease(struct site_store *store, struct site_lease *lease)
{
	for (size_t i = store->items_count; i-- > 0;) {
		if (store->items[i].lease != lease->id)
			continue;
		store->revision++;
		remove_item(store, store->items[i].key);
	}
	lease->id = 0;
}

void
site_expire_leases(struct site *site)
{
	for (size_t i = 0; i < SITE_MAX_LEASES; i++) {
		struct site_lease *lease = &site->store.leases[i];

		if (lease->id != 0 && clock_now_ms() > lease->ends_ms)
			end_lease(&site->store, lease);
	}
}

static struct json_object *
item_json(const struct site_item *item)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "Key", json_object_new_string(item->key));
	json_object_object_add(
	    json, "Revision", json_object_new_int64((int64_t)item->revision));
	if (item->value == NULL) {
		json_object_object_add(
		    json, "Deleted", json_object_new_boolean(1));
		return json;
	}
	json_object_object_add(
	    json, "Value", json_object_new_string(item->value));
	json_object_object_add(
	    json, "Created", json_object_new_int64((int64_t)item->created));
	json_object_object_add(
	    json, "Lease", json_object_new_int64((int64_t)item->lease));
	return json;
}

static bool
has_prefix(const char *key, const char *prefix)
{
	return strncmp(key, prefix, strlen(prefix)) == 0;
}

static void
add_revision(struct site_store *store, struct json_object *body)
{
	json_object_object_add(
	    body, "At", json_object_new_int64((int64_t)store->revision));
}

static void
answer_range(struct site_store *store, const struct fake_request *request,
    struct fake_reply *reply)
{
	const char *prefix = fake_request_query(request, "Prefix");
	const char *after = fake_request_query(request, "After");
	struct json_object *body = json_object_new_object();
	struct json_object *items = json_object_new_array();
	size_t bytes = 0;
	bool more = false;

	for (size_t i = 0; i < store->items_count; i++) {
		const struct site_item *item = &store->items[i];

		if (!has_prefix(item->key, prefix == NULL ? "" : prefix) ||
		    (after != NULL && strcmp(item->key, after) <= 0))
			continue;
		more = json_object_array_length(items) == PAGE_ITEMS ||
		    bytes > PAGE_BYTES;
		if (more)
			break;
		bytes += strlen(item->value);
		json_object_array_add(items, item_json(item));
	}
	json_object_object_add(body, "items", items);
	json_object_object_add(body, "HasMore", json_object_new_boolean(more));
	add_revision(store, body);
	fake_json_append(&reply->body, body);
}

static struct json_object *
changes_after(struct site_store *store, const char *prefix, uint64_t after)
{
	struct json_object *events = json_object_new_array();

	for (size_t i = 0; i < store->changes_count; i++) {
		const struct site_item *change = &store->changes[i];

		if (change->revision > after && has_prefix(change->key, prefix))
			json_object_array_add(events, item_json(change));
	}
	return events;
}

static void
answer_watch(struct site *site, const struct fake_request *request,
    struct fake_reply *reply)
{
	const char *prefix = fake_request_query(request, "Prefix");
	uint64_t after = (uint64_t)fake_request_number(request, "After", 0);
	int64_t until_ms =
	    clock_now_ms() + fake_request_number(request, "WaitMs", 0);
	struct json_object *body = json_object_new_object();
	struct json_object *events = changes_after(&site->store, prefix, after);

	while (json_object_array_length(events) == 0 && !site->stopping &&
	    clock_now_ms() < until_ms) {
		(void)pthread_mutex_unlock(&site->lock);
		(void)poll(NULL, 0, WATCH_STEP_MS);
		(void)pthread_mutex_lock(&site->lock);
		json_object_put(events);
		events = changes_after(&site->store, prefix, after);
	}
	json_object_object_add(body, "events", events);
	add_revision(&site->store, body);
	fake_json_append(&reply->body, body);
}

static struct json_object *
rows_of(struct json_object *body, const char *name)
{
	struct json_object *rows = json_object_object_get(body, name);

	return json_object_is_type(rows, json_type_array) ? rows : NULL;
}

static size_t
count_rows(struct json_object *rows)
{
	return rows == NULL ? 0 : json_object_array_length(rows);
}

/* Checks the conditions; items gets their keys as they are now. */
static bool
conditions_hold(struct site_store *store, struct json_object *rows,
    struct json_object *items)
{
	bool hold = true;

	for (size_t i = 0; i < count_rows(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);
		const char *key = fake_json_text(row, "Key", "");
		const struct site_item *item = find_item(store, key);
		uint64_t revision = item == NULL ? 0 : item->revision;

		hold &=
		    revision == (uint64_t)fake_json_number(row, "Revision", 0);
		if (item != NULL)
			json_object_array_add(items, item_json(item));
	}
	return hold;
}

/* Returns the status of a transaction that may not be carried out, or 0. */
static int32_t
check_puts(struct site_store *store, struct json_object *puts)
{
	for (size_t i = 0; i < count_rows(puts); i++) {
		struct json_object *row = json_object_array_get_idx(puts, i);
		const char *key = fake_json_text(row, "Key", "");
		size_t bytes = strlen(fake_json_text(row, "Value", "")) /
		    BASE64_CHARS * BASE64_BYTES;
		uint64_t lease = (uint64_t)fake_json_number(row, "Lease", 0);
		bool known = lease == 0;

		if (has_prefix(key, "op/") || has_prefix(key, "servers/"))
			return STATUS_FORBIDDEN;
		if (bytes > store->max_value_bytes) {
			store->too_long++;
			return STATUS_BAD_REQUEST;
		}
		for (size_t j = 0; j < SITE_MAX_LEASES; j++)
			known |= store->leases[j].id == lease;
		if (!known)
			return STATUS_NOT_FOUND;
	}
	return 0;
}

static void
answer_transaction(struct site_store *store, struct json_object *body,
    struct fake_reply *reply)
{
	struct json_object *conditions = rows_of(body, "Precondition");
	struct json_object *puts = rows_of(body, "Puts");
	struct json_object *removals = rows_of(body, "Remove");
	struct json_object *items = json_object_new_array();
	struct json_object *answer = json_object_new_object();
	int32_t status = check_puts(store, puts);

	if (count_rows(conditions) + count_rows(puts) + count_rows(removals) >
	    MAX_ROWS)
		status = STATUS_BAD_REQUEST;
	if (status == 0 && !conditions_hold(store, conditions, items))
		status = STATUS_NOT_MET;
	if (status != 0) {
		reply->status = status;
		json_object_object_add(answer, "items", items);
		fake_json_append(&reply->body, answer);
		return;
	}
	json_object_put(items);
	store->revision++;
	for (size_t i = 0; i < count_rows(puts); i++) {
		struct json_object *row = json_object_array_get_idx(puts, i);

		put_item(store, fake_json_text(row, "Key", ""),
		    fake_json_text(row, "Value", ""),
		    (uint64_t)fake_json_number(row, "Lease", 0));
	}
	for (size_t i = 0; i < count_rows(removals); i++)
		remove_item(store,
		    json_object_get_string(
			json_object_array_get_idx(removals, i)));
	json_object_object_add(answer, "Revision",
	    json_object_new_int64((int64_t)store->revision));
	fake_json_append(&reply->body, answer);
}

static void
answer_grant(struct site_store *store, struct json_object *body,
    struct fake_reply *reply)
{
	int64_t ttl_ms = fake_json_number(body, "TtlMs", 0);

	for (size_t i = 0; i < SITE_MAX_LEASES; i++) {
		struct site_lease *lease = &store->leases[i];

		if (lease->id != 0)
			continue;
		*lease = (struct site_lease){.id = ++store->next_lease,
		    .ttl_ms = ttl_ms,
		    .ends_ms = clock_now_ms() + ttl_ms};
		buffer_printf(&reply->body,
		    "{\"Lease\":%" PRIu64 ",\"TtlMs\":%" PRId64 "}", lease->id,
		    ttl_ms);
		return;
	}
	reply->status = STATUS_TOO_MANY;
}

/* Renews a lease, or ends it. */
static void
answer_lease(struct site_store *store, const char *id, bool ends,
    struct fake_reply *reply)
{
	uint64_t number = strtoull(id, NULL, DECIMAL);

	for (size_t i = 0; i < SITE_MAX_LEASES; i++) {
		struct site_lease *lease = &store->leases[i];

		if (lease->id == 0 || lease->id != number)
			continue;
		buffer_printf(
		    &reply->body, "{\"TtlMs\":%" PRId64 "}", lease->ttl_ms);
		if (ends)
			end_lease(store, lease);
		else
			lease->ends_ms = clock_now_ms() + lease->ttl_ms;
		return;
	}
	reply->status = STATUS_NOT_FOUND;
}

static void
answer_key(struct site_store *store, const struct fake_request *request,
    struct fake_reply *reply)
{
	const char *key = fake_request_query(request, "Key");
	const struct site_item *item = find_item(store, key == NULL ? "" : key);

	if (item == NULL)
		reply->status = STATUS_NOT_FOUND;
	else
		fake_json_append(&reply->body, item_json(item));
}

static const char *
rest_of(const char *path, const char *prefix)
{
	return has_prefix(path, prefix) ? path + strlen(prefix) : NULL;
}

void
site_store_handler(
    void *context, const struct fake_request *request, struct fake_reply *reply)
{
	struct site *site = context;
	struct json_object *body = json_tokener_parse(request->body);
	const char *call = rest_of(request->path, "/ibistrestle/");
	const char *lease;

	(void)pthread_mutex_lock(&site->lock);
	site_expire_leases(site);
	if (call == NULL)
		reply->status = STATUS_NOT_FOUND;
	else if (strcmp(call, "kv-key") == 0)
		answer_key(&site->store, request, reply);
	else if (strcmp(call, "kv-range") == 0)
		answer_range(&site->store, request, reply);
	else if (strcmp(call, "kv-watch") == 0)
		answer_watch(site, request, reply);
	else if (strcmp(call, "kv-txn") == 0)
		answer_transaction(&site->store, body, reply);
	else if (strcmp(call, "kv-lease") == 0)
		answer_grant(&site->store, body, reply);
	else if ((lease = rest_of(call, "kv-keep/")) != NULL)
		answer_lease(&site->store, lease, false, reply);
	else if ((lease = rest_of(call, "kv-lease-end/")) != NULL)
		answer_lease(&site->store, lease, true, reply);
	else
		reply->status = STATUS_NOT_FOUND;
	(void)pthread_mutex_unlock(&site->lock);
	json_object_put(body);
}
