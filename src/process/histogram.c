#include <inttypes.h>

#include "process/alloc.h"
#include "process/histogram.h"

#define MS_PER_S 1000

static const int64_t upper_bounds_ms[HISTOGRAM_BOUND_COUNT] = {1, 2, 5, 10, 20,
    50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000, 60000, 300000, 1800000,
    7200000, 21600000, 43200000};

void
histogram_observe(struct histogram *histogram, int64_t duration_ms)
{
	int bucket = 0;

	if (duration_ms < 0)
		duration_ms = 0;
	while (bucket < HISTOGRAM_BOUND_COUNT &&
	    duration_ms > upper_bounds_ms[bucket])
		bucket++;
	(void)__atomic_fetch_add(
	    &histogram->counts[bucket], 1, __ATOMIC_RELAXED);
	(void)__atomic_fetch_add(
	    &histogram->sum_ms, (uint64_t)duration_ms, __ATOMIC_RELAXED);
}

/* Writes milliseconds as seconds with three decimals. */
static void
write_seconds(struct buffer *text, uint64_t ms)
{
	buffer_printf(
	    text, "%" PRIu64 ".%03" PRIu64, ms / MS_PER_S, ms % MS_PER_S);
}

void
histogram_write(const struct histogram *histogram, const char *name,
    const char *labels, struct buffer *text)
{
	const char *comma = labels[0] == '\0' ? "" : ",";
	const char *open_brace = labels[0] == '\0' ? "" : "{";
	const char *close_brace = labels[0] == '\0' ? "" : "}";
	uint64_t count = 0;

	for (int i = 0; i <= HISTOGRAM_BOUND_COUNT; i++) {
		count +=
		    __atomic_load_n(&histogram->counts[i], __ATOMIC_RELAXED);
		buffer_printf(text, "%s_bucket{%s%sle=\"", name, labels, comma);
		if (i < HISTOGRAM_BOUND_COUNT)
			write_seconds(text, (uint64_t)upper_bounds_ms[i]);
		else
			buffer_puts(text, "+Inf");
		buffer_printf(text, "\"} %" PRIu64 "\n", count);
	}
	buffer_printf(
	    text, "%s_sum%s%s%s ", name, open_brace, labels, close_brace);
	write_seconds(
	    text, __atomic_load_n(&histogram->sum_ms, __ATOMIC_RELAXED));
	buffer_printf(text, "\n%s_count%s%s%s %" PRIu64 "\n", name, open_brace,
	    labels, close_brace, count);
}
