/*
 * Workers kept for queued jobs. A draining reservation keeps whole workers for
 * a job at the head of the queue; others may use them if they end before it is
 * expected to start. A firm reservation keeps accelerators that are being
 * evicted for the job; nobody else may use them.
 */
#ifndef IBIS_RESERVATION_H
#define IBIS_RESERVATION_H

#include <stddef.h>
#include <stdint.h>

#include "process/cluster.h"
#include "process/job_entry.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	RESERVATION_SLOTS = 256
};

enum reservation_kind {
	RESERVATION_NONE,
	RESERVATION_DRAINING,
	RESERVATION_FIRM
};

struct reservation {
	enum reservation_kind kind;
	struct job_entry *entry;
	uint32_t *workers; /* firm: by task; draining: each once */
	uint32_t workers_count;
	int64_t ready_ms; /* when the job is expected to start there */
};

struct reservation_table {
	struct reservation slots[RESERVATION_SLOTS];
	uint32_t draining;
	uint32_t firm;
};

/* Makes a reservation in place of the entry's present one. Draining takes over
 * no worker that another one drains. Does nothing when all slots are taken. */
void reservation_make(struct reservation_table *table, struct cluster *cluster,
    struct job_entry *entry, enum reservation_kind kind,
    const uint32_t *workers, uint32_t workers_count, int64_t ready_ms);

/* Drops the entry's reservation, if there is one. */
void reservation_drop(struct reservation_table *table, struct cluster *cluster,
    struct job_entry *entry);

/* Drops all without touching the cluster that they were made in. */
void reservation_reset(struct reservation_table *table);

/* The entry's reservation, or NULL. */
const struct reservation *reservation_of(
    const struct reservation_table *table, const struct job_entry *entry);

#ifdef __cplusplus
}
#endif

#endif
