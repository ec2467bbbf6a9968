/*
 * A histogram of durations with fixed buckets, written in the text form of
 * Prometheus. Observing is safe from every thread.
 */
#ifndef IBIS_HISTOGRAM_H
#define IBIS_HISTOGRAM_H

#include <stdint.h>

#include "process/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	HISTOGRAM_BOUNDS = 20 /* from 1 ms to 12 hours */
};

/* Zero-initialised is empty. Read and written with atomic operations only. */
struct histogram {
	uint64_t counts[HISTOGRAM_BOUNDS + 1]; /* the last is unbounded */
	uint64_t sum_ms;
};

void histogram_observe(struct histogram *histogram, int64_t duration_ms);

/*
 * Writes the buckets, sum and count, in seconds. labels is empty or like
 * class="a"; HELP and TYPE are the caller's.
 */
void histogram_write(const struct histogram *histogram, const char *name,
    const char *labels, struct buffer *text);

#ifdef __cplusplus
}
#endif

#endif
