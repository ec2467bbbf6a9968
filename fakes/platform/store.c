#include <inttypes.h>
#include <pthread.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#include "common/fake_json.h"
#include "common/fake_log.h"
#include "platform/store.h"
#include "process/alloc.h"
#include "process/clock.h"

#define SLOTS	      4096
#define MS_PER_SECOND 1000
#define NS_PER_MS     1000000L

struct entry {
	struct entry *next;
	char *key;
	struct buffer value;
	uint64_t revision;
	int64_t lapses_ms; /* 0: never */
};

struct fake_store {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	uint64_t last_revision;
	bool closed;
	struct entry *slots[SLOTS];
};

struct fake_store *
fake_store_new(void)
{
	struct fake_store *store = mem_calloc(1, sizeof(*store));
	pthread_condattr_t attributes;

	(void)pthread_mutex_init(&store->lock, NULL);
	(void)pthread_condattr_init(&attributes);
	(void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	(void)pthread_cond_init(&store->changed, &attributes);
	(void)pthread_condattr_destroy(&attributes);
	return store;
}

static void
remove_entry(struct entry **place)
{
	struct entry *entry = *place;

	*place = entry->next;
	buffer_free(&entry->value);
	mem_free(entry->key);
	mem_free(entry);
}

void
fake_store_free(struct fake_store *store)
{
	for (size_t i = 0; i < SLOTS; i++) {
		while (store->slots[i] != NULL)
			remove_entry(&store->slots[i]);
	}
	(void)pthread_cond_destroy(&store->changed);
	(void)pthread_mutex_destroy(&store->lock);
	mem_free(store);
}

/* Returns where a key's entry hangs, or would; lapsed ones are removed. */
static struct entry **
find(struct fake_store *store, const char *key)
{
	uint64_t slot = XXH64(key, strlen(key), 0) % SLOTS;
	struct entry **place = &store->slots[slot];

	while (*place != NULL && strcmp((*place)->key, key) != 0)
		place = &(*place)->next;
	if (*place == NULL || (*place)->lapses_ms == 0 ||
	    (*place)->lapses_ms > clock_now_ms())
		return place;
	fake_log("event=key_lapse key=%s revision=%" PRIu64, key,
	    (*place)->revision);
	remove_entry(place);
	(void)pthread_cond_broadcast(&store->changed);
	return find(store, key);
}

static enum store_outcome
read_entry(const struct entry *entry, uint64_t *revision, struct buffer *value)
{
	*revision = entry == NULL ? 0 : entry->revision;
	if (entry == NULL)
		return STORE_ABSENT;
	buffer_append(value, entry->value.data, entry->value.length);
	return STORE_DONE;
}

enum store_outcome
fake_store_get(struct fake_store *store, const char *key, uint64_t *revision,
    struct buffer *value)
{
	enum store_outcome outcome;

	(void)pthread_mutex_lock(&store->lock);
	outcome = read_entry(*find(store, key), revision, value);
	(void)pthread_mutex_unlock(&store->lock);
	return outcome;
}

static struct timespec
to_timespec(int64_t time_ms)
{
	return (struct timespec){
	    .tv_sec = time_ms / MS_PER_SECOND,
	    .tv_nsec = time_ms % MS_PER_SECOND * NS_PER_MS,
	};
}

enum store_outcome
fake_store_watch(struct fake_store *store, const char *key, uint64_t known,
    int64_t wait_ms, uint64_t *revision, struct buffer *value)
{
	int64_t end_ms = clock_now_ms() + wait_ms;
	enum store_outcome outcome;
	struct entry *entry;

	(void)pthread_mutex_lock(&store->lock);
	for (;;) {
		int64_t until_ms = end_ms;
		struct timespec until;

		entry = *find(store, key);
		if ((entry == NULL ? 0 : entry->revision) != known ||
		    clock_now_ms() >= end_ms || store->closed)
			break;
		if (entry != NULL && entry->lapses_ms > 0 &&
		    entry->lapses_ms < until_ms)
			until_ms = entry->lapses_ms;
		until = to_timespec(until_ms);
		(void)pthread_cond_timedwait(
		    &store->changed, &store->lock, &until);
	}
	outcome = read_entry(entry, revision, value);
	(void)pthread_mutex_unlock(&store->lock);
	return outcome;
}

static struct entry *
put_entry(struct fake_store *store, struct entry **place, const char *key,
    const char *bytes, size_t length, int64_t lease_ms)
{
	if (*place == NULL) {
		*place = mem_calloc(1, sizeof(**place));
		(*place)->key = mem_strdup(key);
	}
	buffer_clear(&(*place)->value);
	buffer_append(&(*place)->value, bytes, length);
	(*place)->revision = ++store->last_revision;
	(*place)->lapses_ms = lease_ms > 0 ? clock_now_ms() + lease_ms : 0;
	(void)pthread_cond_broadcast(&store->changed);
	return *place;
}

enum store_outcome
fake_store_swap(struct fake_store *store, const char *key, uint64_t expected,
    const char *bytes, size_t length, int64_t lease_ms, uint64_t *revision,
    struct buffer *standing)
{
	struct entry **place;
	bool matches;

	(void)pthread_mutex_lock(&store->lock);
	place = find(store, key);
	matches = (*place == NULL ? 0 : (*place)->revision) == expected;
	if (matches)
		*revision =
		    put_entry(store, place, key, bytes, length, lease_ms)
			->revision;
	else
		(void)read_entry(*place, revision, standing);
	fake_log("event=swap key=%s revision=%" PRIu64 " expected=%" PRIu64
		 " bytes=%zu lease_ms=%" PRId64 " ok=%s",
	    key, *revision, expected, length, lease_ms,
	    matches ? "true" : "false");
	(void)pthread_mutex_unlock(&store->lock);
	return matches ? STORE_DONE : STORE_MISMATCH;
}

enum store_outcome
fake_store_delete(struct fake_store *store, const char *key, uint64_t expected,
    uint64_t *revision, struct buffer *standing)
{
	enum store_outcome outcome = STORE_ABSENT;
	struct entry **place;

	(void)pthread_mutex_lock(&store->lock);
	place = find(store, key);
	*revision = 0;
	if (*place != NULL && (*place)->revision == expected) {
		remove_entry(place);
		(void)pthread_cond_broadcast(&store->changed);
		outcome = STORE_DONE;
	} else if (*place != NULL) {
		(void)read_entry(*place, revision, standing);
		outcome = STORE_MISMATCH;
	}
	fake_log("event=delete key=%s expected=%" PRIu64 " ok=%s", key,
	    expected, outcome == STORE_DONE ? "true" : "false");
	(void)pthread_mutex_unlock(&store->lock);
	return outcome;
}

static struct json_object *
describe(const struct entry *entry)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(
	    object, "key", json_object_new_string(entry->key));
	json_object_object_add(
	    object, "revision", json_object_new_uint64(entry->revision));
	json_object_object_add(
	    object, "bytes", json_object_new_uint64(entry->value.length));
	return object;
}

void
fake_store_dump(
    struct fake_store *store, const char *prefix, struct buffer *body)
{
	struct json_object *root = json_object_new_object();
	struct json_object *keys = json_object_new_array();
	int64_t now_ms = clock_now_ms();

	(void)pthread_mutex_lock(&store->lock);
	for (size_t i = 0; i < SLOTS; i++) {
		for (const struct entry *entry = store->slots[i]; entry != NULL;
		     entry = entry->next) {
			bool lapsed =
			    entry->lapses_ms > 0 && entry->lapses_ms <= now_ms;

			if (!lapsed &&
			    strncmp(entry->key, prefix, strlen(prefix)) == 0)
				json_object_array_add(keys, describe(entry));
		}
	}
	(void)pthread_mutex_unlock(&store->lock);
	json_object_object_add(root, "keys", keys);
	fake_json_append(body, root);
}

void
fake_store_close(struct fake_store *store)
{
	(void)pthread_mutex_lock(&store->lock);
	store->closed = true;
	(void)pthread_cond_broadcast(&store->changed);
	(void)pthread_mutex_unlock(&store->lock);
}
