/*
 * Workers reserved for queued jobs. A draining reservation reserves whole
 * workers for a job near the head of the queue; other jobs may use them if they
 * are expected to end before it starts. An exclusive reservation reserves
 * accelerators for which running jobs are evicted; no other job may use them.
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
	RESERVATION_EXCLUSIVE
};

struct reservation {
	enum reservation_kind kind;
	struct job_entry *entry;
	uint32_t *workers; /* exclusive: one per task; draining: distinct */
	uint32_t workers_count;
	/* Draining: when the job is expected to start there. Exclusive: when
	 * the reservation lapses. */
	int64_t ready_ms;
};

struct reservation_table {
	struct reservation slots[RESERVATION_SLOTS];
	uint32_t draining;  /* number of draining reservations */
	uint32_t exclusive; /* number of exclusive reservations */
};

/* Reserves workers for the entry in place of its current reservation, if any;
 * copies workers. A draining reservation doesn't get workers that another one
 * has already. When all slots are taken, the entry gets no reservation. */
void reservation_make(struct reservation_table *table, struct cluster *cluster,
    struct job_entry *entry, enum reservation_kind kind,
    const uint32_t *workers, uint32_t workers_count, int64_t ready_ms);

/* Drops the entry's reservation, if it has one. */
void reservation_drop(struct reservation_table *table, struct cluster *cluster,
    struct job_entry *entry);

/* Drops all reservations without updating the cluster, which the caller is
 * about to replace. */
void reservation_reset(struct reservation_table *table);

/* Returns the entry's reservation, owned by the table, or NULL. */
const struct reservation *reservation_find(
    const struct reservation_table *table, const struct job_entry *entry);

#ifdef __cplusplus
}
#endif

#endif
