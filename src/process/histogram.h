/*
 * A histogram of durations with fixed buckets, written in the Prometheus text
 * exposition format. Both functions are thread-safe.
 */
#ifndef IBIS_HISTOGRAM_H
#define IBIS_HISTOGRAM_H

#include <stdint.h>

#include "process/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	HISTOGRAM_BOUND_COUNT = 20 /* 1 ms to 12 hours */
};

/* A zero-initialised histogram is empty. The fields are accessed with atomic
 * operations only. */
struct histogram {
	uint64_t counts[HISTOGRAM_BOUND_COUNT + 1]; /* the last: unbounded */
	uint64_t sum_ms;
};

/* Adds a duration; a negative one counts as 0. */
void histogram_observe(struct histogram *histogram, int64_t duration_ms);

/*
 * Appends the cumulative buckets, the sum and the count to text, with durations
 * in seconds. labels is empty, or like class="a". The caller writes the HELP
 * and TYPE lines.
 */
void histogram_write(const struct histogram *histogram, const char *name,
    const char *labels, struct buffer *text);

#ifdef __cplusplus
}
#endif

#endif
