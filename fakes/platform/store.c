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

#define BUCKET_COUNT  4096
#define MS_PER_SECOND 1000
#define NS_PER_MS     1000000L

struct entry {
	struct entry *next;
	char *key;
	struct buffer value;
	uint64_t revision;
	int64_t expires_ms; /* end of the lease; 0: no lease */
};

struct fake_store {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	uint64_t last_revision;
	bool closed;
	struct entry *buckets[BUCKET_COUNT];
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
remove_entry(struct entry **link)
{
	struct entry *entry = *link;

	*link = entry->next;
	buffer_free(&entry->value);
	mem_free(entry->key);
	mem_free(entry);
}

void
fake_store_free(struct fake_store *store)
{
	for (size_t i = 0; i < BUCKET_COUNT; i++) {
		while (store->buckets[i] != NULL)
			remove_entry(&store->buckets[i]);
	}
	(void)pthread_cond_destroy(&store->changed);
	(void)pthread_mutex_destroy(&store->lock);
	mem_free(store);
}

/*
 * Returns the link that points to the key's entry, or the NULL link where it
 * would be inserted. Removes the entry first if its lease has expired. The
 * caller holds the lock.
 */
static struct entry **
find_link(struct fake_store *store, const char *key)
{
	uint64_t bucket = XXH64(key, strlen(key), 0) % BUCKET_COUNT;
	struct entry **link = &store->buckets[bucket];

	while (*link != NULL && strcmp((*link)->key, key) != 0)
		link = &(*link)->next;
	if (*link == NULL || (*link)->expires_ms == 0 ||
	    (*link)->expires_ms > clock_now_ms())
		return link;
	fake_log(
	    "event=key_lapse key=%s revision=%" PRIu64, key, (*link)->revision);
	remove_entry(link);
	(void)pthread_cond_broadcast(&store->changed);
	return find_link(store, key);
}

static enum store_outcome
copy_entry(const struct entry *entry, uint64_t *revision, struct buffer *value)
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
	outcome = copy_entry(*find_link(store, key), revision, value);
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
fake_store_watch(struct fake_store *store, const char *key,
    uint64_t known_revision, int64_t wait_ms, uint64_t *revision,
    struct buffer *value)
{
	int64_t deadline_ms = clock_now_ms() + wait_ms;
	enum store_outcome outcome;
	struct entry *entry;

	(void)pthread_mutex_lock(&store->lock);
	for (;;) {
		int64_t wake_ms = deadline_ms;
		struct timespec wake_time;

		entry = *find_link(store, key);
		if ((entry == NULL ? 0 : entry->revision) != known_revision ||
		    clock_now_ms() >= deadline_ms || store->closed)
			break;
		if (entry != NULL && entry->expires_ms > 0 &&
		    entry->expires_ms < wake_ms)
			wake_ms = entry->expires_ms;
		wake_time = to_timespec(wake_ms);
		(void)pthread_cond_timedwait(
		    &store->changed, &store->lock, &wake_time);
	}
	outcome = copy_entry(entry, revision, value);
	(void)pthread_mutex_unlock(&store->lock);
	return outcome;
}

static struct entry *
put_entry(struct fake_store *store, struct entry **link, const char *key,
    const char *bytes, size_t length, int64_t lease_ms)
{
	if (*link == NULL) {
		*link = mem_calloc(1, sizeof(**link));
		(*link)->key = mem_strdup(key);
	}
	buffer_clear(&(*link)->value);
	buffer_append(&(*link)->value, bytes, length);
	(*link)->revision = ++store->last_revision;
	(*link)->expires_ms = lease_ms > 0 ? clock_now_ms() + lease_ms : 0;
	(void)pthread_cond_broadcast(&store->changed);
	return *link;
}

enum store_outcome
fake_store_swap(struct fake_store *store, const char *key, uint64_t expected,
    const char *bytes, size_t length, int64_t lease_ms, uint64_t *revision,
    struct buffer *current)
{
	struct entry **link;
	bool revision_matches;

	(void)pthread_mutex_lock(&store->lock);
	link = find_link(store, key);
	revision_matches = (*link == NULL ? 0 : (*link)->revision) == expected;
	if (revision_matches)
		*revision = put_entry(store, link, key, bytes, length, lease_ms)
				->revision;
	else
		(void)copy_entry(*link, revision, current);
	fake_log("event=swap key=%s revision=%" PRIu64 " expected=%" PRIu64
		 " bytes=%zu lease_ms=%" PRId64 " ok=%s",
	    key, *revision, expected, length, lease_ms,
	    revision_matches ? "true" : "false");
	(void)pthread_mutex_unlock(&store->lock);
	return revision_matches ? STORE_DONE : STORE_MISMATCH;
}

enum store_outcome
fake_store_delete(struct fake_store *store, const char *key, uint64_t expected,
    uint64_t *revision, struct buffer *current)
{
	enum store_outcome outcome = STORE_ABSENT;
	struct entry **link;

	(void)pthread_mutex_lock(&store->lock);
	link = find_link(store, key);
	*revision = 0;
	if (*link != NULL && (*link)->revision == expected) {
		remove_entry(link);
		(void)pthread_cond_broadcast(&store->changed);
		outcome = STORE_DONE;
	} else if (*link != NULL) {
		(void)copy_entry(*link, revision, current);
		outcome = STORE_MISMATCH;
	}
	fake_log("event=delete key=%s expected=%" PRIu64 " ok=%s", key,
	    expected, outcome == STORE_DONE ? "true" : "false");
	(void)pthread_mutex_unlock(&store->lock);
	return outcome;
}

static struct json_object *
entry_to_json(const struct entry *entry)
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
	for (size_t i = 0; i < BUCKET_COUNT; i++) {
		for (const struct entry *entry = store->buckets[i];
		     entry != NULL; entry = entry->next) {
			bool expired = entry->expires_ms > 0 &&
			    entry->expires_ms <= now_ms;

			if (!expired &&
			    strncmp(entry->key, prefix, strlen(prefix)) == 0)
				json_object_array_add(
				    keys, entry_to_json(entry));
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
