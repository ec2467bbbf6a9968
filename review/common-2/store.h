/*
 * A stand-in for the platform's metadata store, as PROTOCOL.md tells it: keys
 * with revisions, pages, watches, transactions and leases. It answers at once
 * and forgets nothing.
 */
#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct store;

struct store *store_start(const char *ip);
void store_stop(struct store *store);
uint16_t store_port(const struct store *store);

/* Delays all answers. */
void store_set_delay(struct store *store, int64_t delay_ms);

/* Writes or removes a key as the operator and the workers do. */
void store_put(struct store *store, const char *key, const char *text);
void store_remove(struct store *store, const char *key);

/* Copies a key's value; empty if absent. */
void store_get(struct store *store, const char *key, char *text, size_t bytes);

#endif
