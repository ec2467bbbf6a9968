/* The key-value store of fake-platform: compare-and-swap, leases, watches. */
#ifndef IBIS_FAKE_STORE_H
#define IBIS_FAKE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/buffer.h"

/* Result of a call on one key. */
enum store_outcome {
	STORE_DONE,
	STORE_ABSENT,
	STORE_MISMATCH /* the revision is not the expected one */
};

struct fake_store;

/* Creates an empty store. Calls are thread-safe; release it with
 * fake_store_free, once no call is running. */
struct fake_store *fake_store_new(void);
void fake_store_free(struct fake_store *store);

/*
 * Reads a key: sets *revision and appends the value. Returns STORE_ABSENT, with
 * *revision 0, when the key does not exist.
 */
enum store_outcome fake_store_get(struct fake_store *store, const char *key,
    uint64_t *revision, struct buffer *value);

/*
 * Waits until the key's revision differs from known_revision (0: absent),
 * wait_ms have passed or the store is closed, then does fake_store_get.
 */
enum store_outcome fake_store_watch(struct fake_store *store, const char *key,
    uint64_t known_revision, int64_t wait_ms, uint64_t *revision,
    struct buffer *value);

/*
 * Compare-and-swap: writes the key if its revision equals expected (0: absent)
 * and sets *revision to the new revision. With lease_ms above 0 the key expires
 * after that time. If the revision differs, returns STORE_MISMATCH, sets
 * *revision to the actual revision and appends the actual value to current.
 */
enum store_outcome fake_store_swap(struct fake_store *store, const char *key,
    uint64_t expected, const char *bytes, size_t length, int64_t lease_ms,
    uint64_t *revision, struct buffer *current);

/* Deletes the key if its revision equals expected. Returns STORE_ABSENT when it
 * does not exist; a mismatch is reported as by fake_store_swap. */
enum store_outcome fake_store_delete(struct fake_store *store, const char *key,
    uint64_t expected, uint64_t *revision, struct buffer *current);

/* Appends {"keys": [{"key", "revision", "bytes"}]} with all keys that start
 * with prefix. */
void fake_store_dump(
    struct fake_store *store, const char *prefix, struct buffer *body);

/* Makes all running and later watches return at once. */
void fake_store_close(struct fake_store *store);

#endif
