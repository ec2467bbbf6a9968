/* A stand-in for the platform's metadata store. */
#include "store.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"

enum {
	KEY_BYTES = 201,
	MAX_LEASES = 256,
	PAGE_ITEMS = 500,
	WATCH_POLL_MS = 4,
	MIN_TTL_MS = 1000,
	NUMBER_BYTES = 32
};

struct item {
	char key[KEY_BYTES];
	char *value; /* base64; NULL in the history: deleted */
	uint64_t revision;
	uint64_t created;
	uint64_t lease;
};

struct lease {
	uint64_t id; /* 0: free */
	int64_t ttl_ms;
	int64_t ends_ms;
};

struct store {
	pthread_mutex_t lock;
	struct http_server *server;
	struct item *items; /* sorted by key */
	size_t items_count;
	size_t items_capacity;
	struct item *history; /* changes in order */
	size_t history_count;
	size_t history_capacity;
	struct lease leases[MAX_LEASES];
	uint64_t last_lease;
	uint64_t revision;
	_Atomic int64_t delay_ms;
};

static char *
copy_text(const char *text)
{
	size_t bytes = strlen(text) + 1;
	char *copy = malloc(bytes);

	if (copy == NULL)
		abort();
	memcpy(copy, text, bytes);
	return copy;
}

static char *
encode(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t length = strlen(text);
	char *encoded = calloc(1, (length + 2) / 3 * 4 + 1);
	char *out = encoded;

	if (encoded == NULL)
		abort();
	for (size_t i = 0; i < length; i += 3) {
		uint32_t left = (uint32_t)(length - i);
		uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

		if (left > 1)
			bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (left > 2)
			bits |= (uint32_t)(unsigned char)text[i + 2];
		*out++ = digits[bits >> 18];
		*out++ = digits[bits >> 12 & 63];
		*out++ = '=';
		*out++ = '=';
		if (left > 1)
			out[-2] = digits[bits >> 6 & 63];
		if (left > 2)
			out[-1] = digits[bits & 63];
	}
	return encoded;
}

static int
digit_of(char c)
{
	if (c >= 'A' && c <= 'Z')
		return c - 'A';
	if (c >= 'a' && c <= 'z')
		return c - 'a' + 26;
	if (c >= '0' && c <= '9')
		return c - '0' + 52;
	if (c == '+')
		return 62;
	return c == '/' ? 63 : -1;
}

static void
decode(const char *encoded, char *text, size_t bytes)
{
	uint32_t bits = 0;
	int count = 0;
	size_t used = 0;

	for (; *encoded != '\0' && digit_of(*encoded) >= 0; encoded++) {
		bits = bits << 6 | (uint32_t)digit_of(*encoded);
		count += 6;
		if (count < 8)
			continue;
		count -= 8;
		if (used + 1 < bytes)
			text[used++] = (char)(bits >> count & 255);
	}
	text[used] = '\0';
}

static void *
grow(void *array, size_t *capacity, size_t needed, size_t bytes)
{
	if (needed <= *capacity)
		return array;
	*capacity = needed * 2;
	array = realloc(array, *capacity * bytes);
	if (array == NULL)
		abort();
	return array;
}

/* Returns the position of the first key that is not lower. */
static size_t
find_position(const struct store *store, const char *key)
{
	size_t low = 0;
	size_t high = store->items_count;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (strcmp(store->items[middle].key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static struct item *
find_item(struct store *store, const char *key)
{
	size_t position = find_position(store, key);

	return position < store->items_count &&
		strcmp(store->items[position].key, key) == 0
	    ? &store->items[position]
	    : NULL;
}

static void
note_change(struct store *store, const struct item *item, bool deleted)
{
	struct item *change;

	store->history = grow(store->history, &store->history_capacity,
	    store->history_count + 1, sizeof(*store->history));
	change = &store->history[store->history_count++];
	*change = *item;
	change->revision = store->revision;
	change->value = deleted ? NULL : copy_text(item->value);
}

/* Writes a key at the current revision. */
static void
put_item(
    struct store *store, const char *key, const char *value, uint64_t lease)
{
	struct item *item = find_item(store, key);

	if (item == NULL) {
		size_t position = find_position(store, key);

		store->items = grow(store->items, &store->items_capacity,
		    store->items_count + 1, sizeof(*store->items));
		item = &store->items[position];
		memmove(item + 1, item,
		    (store->items_count - position) * sizeof(*item));
		store->items_count++;
		*item = (struct item){.created = store->revision};
		(void)snprintf(item->key, sizeof(item->key), "%s", key);
	}
	free(item->value);
	item->value = copy_text(value);
	item->revision = store->revision;
	item->lease = lease;
	note_change(store, item, false);
}

static void
remove_item(struct store *store, const char *key)
{
	struct item *item = find_item(store, key);
	size_t position;

	if (item == NULL)
		return;
	note_change(store, item, true);
	free(item->value);
	position = (size_t)(item - store->items);
	store->items_count--;
	memmove(
	    item, item + 1, (store->items_count - position) * sizeof(*item));
}

static struct lease *
find_lease(struct store *store, uint64_t id)
{
	for (size_t i = 0; i < MAX_LEASES; i++) {
		if (id != 0 && store->leases[i].id == id)
			return &store->leases[i];
	}
	return NULL;
}

static void
end_lease(struct store *store, struct lease *lease)
{
	for (size_t i = store->items_count; i-- > 0;) {
		if (store->items[i].lease != lease->id)
			continue;
		store->revision++;
		remove_item(store, store->items[i].key);
	}
	lease->id = 0;
}

static void
expire_leases(struct store *store)
{
	for (size_t i = 0; i < MAX_LEASES; i++) {
		if (store->leases[i].id != 0 &&
		    now_ms() > store->leases[i].ends_ms)
			end_lease(store, &store->leases[i]);
	}
}

static void
add_number(struct json_object *json, const char *name, uint64_t number)
{
	(void)json_object_object_add(
	    json, name, json_object_new_int64((int64_t)number));
}

static struct json_object *
render_item(const struct item *item)
{
	struct json_object *json = json_object_new_object();

	(void)json_object_object_add(
	    json, "Key", json_object_new_string(item->key));
	add_number(json, "Revision", item->revision);
	if (item->value == NULL) {
		(void)json_object_object_add(
		    json, "Deleted", json_object_new_boolean(1));
		return json;
	}
	(void)json_object_object_add(
	    json, "Value", json_object_new_string(item->value));
	add_number(json, "Created", item->created);
	add_number(json, "Lease", item->lease);
	return json;
}

/* Replies with a JSON object, which is freed. */
static void
reply_json(struct http_reply *reply, int status, struct json_object *json)
{
	reply->status = status;
	reply->body = copy_text(json_object_to_json_string(json));
	(void)json_object_put(json);
}

static void
answer_key(struct store *store, const struct http_request *request,
    struct http_reply *reply)
{
	char key[KEY_BYTES];
	struct item *item;
	struct json_object *json;

	http_query(request, "Key", key, sizeof(key));
	item = find_item(store, key);
	reply->status = 404;
	if (item == NULL)
		return;
	json = render_item(item);
	add_number(json, "At", store->revision);
	reply_json(reply, 200, json);
}

static void
answer_range(struct store *store, const struct http_request *request,
    struct http_reply *reply)
{
	struct json_object *json = json_object_new_object();
	struct json_object *items = json_object_new_array();
	char prefix[KEY_BYTES];
	char after[KEY_BYTES];
	size_t count = 0;
	bool more = false;

	http_query(request, "Prefix", prefix, sizeof(prefix));
	http_query(request, "After", after, sizeof(after));
	for (size_t i = 0; i < store->items_count && !more; i++) {
		const struct item *item = &store->items[i];

		if (strncmp(item->key, prefix, strlen(prefix)) != 0 ||
		    (*after != '\0' && strcmp(item->key, after) <= 0))
			continue;
		more = count == PAGE_ITEMS;
		if (!more)
			(void)json_object_array_add(items, render_item(item));
		count++;
	}
	(void)json_object_object_add(json, "items", items);
	(void)json_object_object_add(
	    json, "HasMore", json_object_new_boolean(more));
	add_number(json, "At", store->revision);
	reply_json(reply, 200, json);
}

/* Returns the changes after a revision under a prefix. */
static struct json_object *
list_changes(struct store *store, const char *prefix, uint64_t after)
{
	struct json_object *events = json_object_new_array();

	for (size_t i = 0; i < store->history_count; i++) {
		const struct item *change = &store->history[i];

		if (change->revision > after &&
		    strncmp(change->key, prefix, strlen(prefix)) == 0)
			(void)json_object_array_add(
			    events, render_item(change));
	}
	return events;
}

/* Called with the lock, which is released while it waits. */
static void
answer_watch(struct store *store, const struct http_request *request,
    struct http_reply *reply)
{
	struct json_object *json = json_object_new_object();
	struct json_object *events;
	char prefix[KEY_BYTES];
	char number[NUMBER_BYTES];
	uint64_t after;
	int64_t until_ms;

	http_query(request, "Prefix", prefix, sizeof(prefix));
	http_query(request, "After", number, sizeof(number));
	after = strtoull(number, NULL, 10);
	http_query(request, "WaitMs", number, sizeof(number));
	until_ms = now_ms() + (int64_t)strtoull(number, NULL, 10);
	events = list_changes(store, prefix, after);
	while (json_object_array_length(events) == 0 && now_ms() < until_ms &&
	    !atomic_load(request->stopping)) {
		(void)json_object_put(events);
		(void)pthread_mutex_unlock(&store->lock);
		sleep_ms(WATCH_POLL_MS);
		(void)pthread_mutex_lock(&store->lock);
		expire_leases(store);
		events = list_changes(store, prefix, after);
	}
	(void)json_object_object_add(json, "events", events);
	add_number(json, "At", store->revision);
	reply_json(reply, 200, json);
}

static uint64_t
number_of(struct json_object *json, const char *name)
{
	struct json_object *member = NULL;

	return json_object_object_get_ex(json, name, &member)
	    ? (uint64_t)json_object_get_int64(member)
	    : 0;
}

static const char *
text_of(struct json_object *json, const char *name)
{
	struct json_object *member = NULL;

	return json_object_object_get_ex(json, name, &member)
	    ? json_object_get_string(member)
	    : "";
}

static struct json_object *
rows_of(struct json_object *json, const char *name)
{
	struct json_object *member = NULL;

	(void)json_object_object_get_ex(json, name, &member);
	return json_object_is_type(member, json_type_array) ? member : NULL;
}

static size_t
count_rows(struct json_object *rows)
{
	return rows == NULL ? 0 : json_object_array_length(rows);
}

/* Returns whether a key may be written by the system. */
static bool
is_writable(const char *key)
{
	return strncmp(key, "op/", 3) != 0 && strncmp(key, "servers/", 8) != 0;
}

/* Returns 200, or why a transaction isn't carried out. Adds the items of its
 * conditions to present. */
static int
check_transaction(struct store *store, struct json_object *conditions,
    struct json_object *puts, struct json_object *present)
{
	int status = 200;

	for (size_t i = 0; i < count_rows(conditions); i++) {
		struct json_object *row =
		    json_object_array_get_idx(conditions, i);
		const struct item *item = find_item(store, text_of(row, "Key"));
		uint64_t revision = item == NULL ? 0 : item->revision;

		if (revision != number_of(row, "Revision"))
			status = 412;
		if (item != NULL)
			(void)json_object_array_add(present, render_item(item));
	}
	for (size_t i = 0; i < count_rows(puts) && status == 200; i++) {
		struct json_object *row = json_object_array_get_idx(puts, i);
		uint64_t lease = number_of(row, "Lease");

		if (!is_writable(text_of(row, "Key")))
			status = 403;
		else if (lease != 0 && find_lease(store, lease) == NULL)
			status = 404;
	}
	return status;
}

static void
answer_transaction(struct store *store, const struct http_request *request,
    struct http_reply *reply)
{
	struct json_object *body = json_tokener_parse(request->body);
	struct json_object *conditions = rows_of(body, "Precondition");
	struct json_object *puts = rows_of(body, "Puts");
	struct json_object *removals = rows_of(body, "Remove");
	struct json_object *json = json_object_new_object();
	struct json_object *present = json_object_new_array();
	int status = check_transaction(store, conditions, puts, present);

	if (status != 200) {
		(void)json_object_object_add(json, "items", present);
		reply_json(reply, status, json);
		(void)json_object_put(body);
		return;
	}
	(void)json_object_put(present);
	store->revision++;
	for (size_t i = 0; i < count_rows(puts); i++) {
		struct json_object *row = json_object_array_get_idx(puts, i);

		put_item(store, text_of(row, "Key"), text_of(row, "Value"),
		    number_of(row, "Lease"));
	}
	for (size_t i = 0; i < count_rows(removals); i++)
		remove_item(store,
		    json_object_get_string(
			json_object_array_get_idx(removals, i)));
	add_number(json, "Revision", store->revision);
	reply_json(reply, 200, json);
	(void)json_object_put(body);
}

static void
answer_grant(struct store *store, const struct http_request *request,
    struct http_reply *reply)
{
	struct json_object *body = json_tokener_parse(request->body);
	struct json_object *json = json_object_new_object();
	int64_t ttl_ms = (int64_t)number_of(body, "TtlMs");

	(void)json_object_put(body);
	if (ttl_ms < MIN_TTL_MS)
		ttl_ms = MIN_TTL_MS;
	for (size_t i = 0; i < MAX_LEASES; i++) {
		if (store->leases[i].id != 0)
			continue;
		store->leases[i] = (struct lease){.id = ++store->last_lease,
		    .ttl_ms = ttl_ms,
		    .ends_ms = now_ms() + ttl_ms};
		break;
	}
	add_number(json, "Lease", store->last_lease);
	add_number(json, "TtlMs", (uint64_t)ttl_ms);
	reply_json(reply, 200, json);
}

static void
answer_lease(
    struct store *store, uint64_t id, bool ends, struct http_reply *reply)
{
	struct lease *lease = find_lease(store, id);
	struct json_object *json;

	reply->status = 404;
	if (lease == NULL)
		return;
	json = json_object_new_object();
	add_number(json, "TtlMs", (uint64_t)lease->ttl_ms);
	lease->ends_ms = now_ms() + lease->ttl_ms;
	if (ends)
		end_lease(store, lease);
	reply_json(reply, 200, json);
}

static const char *
rest_of(const char *path, const char *start)
{
	size_t length = strlen(start);

	return strncmp(path, start, length) == 0 ? path + length : NULL;
}

static void
handle(
    void *context, const struct http_request *request, struct http_reply *reply)
{
	struct store *store = context;
	const char *call = rest_of(request->path, "/ibistrestle/kv-");
	const char *rest;

	sleep_ms(store->delay_ms);
	(void)pthread_mutex_lock(&store->lock);
	expire_leases(store);
	reply->status = 404;
	if (call == NULL)
		call = "";
	if (strcmp(call, "key") == 0)
		answer_key(store, request, reply);
	else if (strcmp(call, "range") == 0)
		answer_range(store, request, reply);
	else if (strcmp(call, "watch") == 0)
		answer_watch(store, request, reply);
	else if (strcmp(call, "txn") == 0)
		answer_transaction(store, request, reply);
	else if (strcmp(call, "lease") == 0)
		answer_grant(store, request, reply);
	else if ((rest = rest_of(call, "keep/")) != NULL)
		answer_lease(store, strtoull(rest, NULL, 10), false, reply);
	else if ((rest = rest_of(call, "lease-end/")) != NULL)
		answer_lease(store, strtoull(rest, NULL, 10), true, reply);
	(void)pthread_mutex_unlock(&store->lock);
}

struct store *
store_start(const char *ip)
{
	struct store *store = calloc(1, sizeof(*store));

	if (store == NULL)
		return NULL;
	(void)pthread_mutex_init(&store->lock, NULL);
	store->revision = 10;
	store->server = http_server_start(ip, 0, handle, store);
	if (store->server != NULL)
		return store;
	free(store);
	return NULL;
}

void
store_stop(struct store *store)
{
	if (store == NULL)
		return;
	http_server_stop(store->server);
	for (size_t i = 0; i < store->items_count; i++)
		free(store->items[i].value);
	for (size_t i = 0; i < store->history_count; i++)
		free(store->history[i].value);
	free(store->items);
	free(store->history);
	(void)pthread_mutex_destroy(&store->lock);
	free(store);
}

uint16_t
store_port(const struct store *store)
{
	return http_server_port(store->server);
}

void
store_set_delay(struct store *store, int64_t delay_ms)
{
	store->delay_ms = delay_ms;
}

void
store_put(struct store *store, const char *key, const char *text)
{
	char *value = encode(text);

	(void)pthread_mutex_lock(&store->lock);
	store->revision++;
	put_item(store, key, value, 0);
	(void)pthread_mutex_unlock(&store->lock);
	free(value);
}

void
store_remove(struct store *store, const char *key)
{
	(void)pthread_mutex_lock(&store->lock);
	store->revision++;
	remove_item(store, key);
	(void)pthread_mutex_unlock(&store->lock);
}

void
store_get(struct store *store, const char *key, char *text, size_t bytes)
{
	const struct item *item;

	*text = '\0';
	(void)pthread_mutex_lock(&store->lock);
	expire_leases(store);
	item = find_item(store, key);
	if (item != NULL)
		decode(item->value, text, bytes);
	(void)pthread_mutex_unlock(&store->lock);
}
