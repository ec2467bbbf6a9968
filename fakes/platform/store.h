/* The key-value store of fake-platform: compare-and-swap, leases, watches. */
#ifndef IBIS_FAKE_STORE_H
#define IBIS_FAKE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/buffer.h"

enum store_outcome {
	STORE_DONE,
	STORE_ABSENT,
	STORE_MISMATCH
};

struct fake_store;

struct fake_store *fake_store_new(void);
void fake_store_free(struct fake_store *store);

/* Reads a key; *revision is 0 when it is absent. The value is appended. */
enum store_outcome fake_store_get(struct fake_store *store, const char *key,
    uint64_t *revision, struct buffer *value);

/* As fake_store_get, once the revision differs from known or wait_ms is over.
 */
enum store_outcome fake_store_watch(struct fake_store *store, const char *key,
    uint64_t known, int64_t wait_ms, uint64_t *revision, struct buffer *value);

/* Compare-and-swap; on a mismatch, *revision and standing tell what stands. */
enum store_outcome fake_store_swap(struct fake_store *store, const char *key,
    uint64_t expected, const char *bytes, size_t length, int64_t lease_ms,
    uint64_t *revision, struct buffer *standing);

enum store_outcome fake_store_delete(struct fake_store *store, const char *key,
    uint64_t expected, uint64_t *revision, struct buffer *standing);

/* Appends {"keys": [{"key", "revision", "bytes"}]} of keys with a prefix. */
void fake_store_dump(
    struct fake_store *store, const char *prefix, struct buffer *body);

/* Ends all watches. */
void fake_store_close(struct fake_store *store);

#endif
