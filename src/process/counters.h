/*
 * Counters, gauges and histograms of the process, written in the Prometheus
 * text exposition format. All functions are thread-safe. A counter is the sum
 * of several shards, and each thread updates one shard, so that threads rarely
 * contend for a cache line. docs/METRICS.md documents each metric.
 */
#ifndef IBIS_COUNTERS_H
#define IBIS_COUNTERS_H

#include <stdint.h>

#include "process/buffer.h"
#include "process/histogram.h"

#ifdef __cplusplus
extern "C" {
#endif

enum counter {
	COUNTER_ANSWERS_2XX,
	COUNTER_ANSWERS_4XX,
	COUNTER_ANSWERS_429,
	COUNTER_ANSWERS_5XX,
	COUNTER_CALLERS_REFUSED,
	COUNTER_FORWARDED,
	COUNTER_JOBS_ACCEPTED,
	COUNTER_JOBS_REPEATED,
	COUNTER_JOBS_REFUSED_LIMIT,
	COUNTER_JOBS_REFUSED_INVALID,
	COUNTER_JOBS_REFUSED_UNAVAILABLE,
	COUNTER_JOBS_FINISHED,
	COUNTER_JOBS_FAILED,
	COUNTER_JOBS_CANCELLED,
	COUNTER_JOBS_NOT_RUN,
	COUNTER_JOBS_UNKNOWN,
	COUNTER_ATTEMPTS_BEGUN,
	COUNTER_ATTEMPTS_RUNNING,
	COUNTER_ATTEMPTS_FAILED,
	COUNTER_EVICTIONS_CHECKPOINT,
	COUNTER_EVICTIONS_STOP,
	COUNTER_THROTTLES,
	COUNTER_WORKERS_LOST,
	COUNTER_STORE_OK,
	COUNTER_STORE_CONFLICT,
	COUNTER_STORE_UNAVAILABLE,
	COUNTER_STORE_UNKNOWN,
	COUNTER_WORKER_CALLS_OK,
	COUNTER_WORKER_CALLS_UNAVAILABLE,
	COUNTER_WORKER_CALLS_UNKNOWN,
	COUNTER_LINKS_UP,
	COUNTER_LINKS_SILENT,
	COUNTER_FRAMES_REFUSED,
	COUNTER_PEER_SENT_BYTES,
	COUNTER_PEER_RECEIVED_BYTES,
	COUNTER_LEADS_TAKEN,
	COUNTER_LEADS_LOST,
	COUNTER_HINTS_LOST,
	COUNTER_PRESUMED_ENDS_NOT_REPORTED,
	COUNTER_PRESUMED_ENDS_NEW_INCARNATION,
	COUNTER_PRESUMED_ENDS_LEASE_EXPIRED,
	COUNTER_WORKER_RESTARTS,
	COUNTER_UNKNOWN_RUNS,
	COUNTER_UNANSWERED_STARTS_SENT,
	COUNTER_UNANSWERED_STARTS_LISTED,
	COUNTER_UNANSWERED_STARTS_ENDED,
	COUNTER_OVER_CAPACITY,
	COUNTER_DOUBLE_RUNS,
	COUNTER_RECORD_CONFLICTS_SAME,
	COUNTER_RECORD_CONFLICTS_OTHER,
	COUNTER_LOG_LINES_DROPPED,  /* the pipe was full */
	COUNTER_LOG_LINES_LEFT_OUT, /* the event was over its limit */
	COUNTER_COUNT
};

enum gauge {
	GAUGE_LEADING,
	GAUGE_LEAVING,
	GAUGE_STORE_REACHABLE,
	GAUGE_DOCUMENT_VERSION,
	GAUGE_PEERS_ALIVE,
	GAUGE_OPEN_REQUESTS,
	GAUGE_JOBS_QUEUED,
	GAUGE_JOBS_RUNNING,
	GAUGE_ACCELERATORS,
	GAUGE_ACCELERATORS_FREE,
	GAUGE_ACCELERATORS_UNUSABLE_GUARANTEE,
	GAUGE_ACCELERATORS_UNUSABLE_RACK,
	GAUGE_WORKERS_QUARANTINED,
	GAUGE_WORKERS_SILENT,
	GAUGE_EPOCH,
	GAUGE_COUNT
};

enum histogram_kind {
	HISTOGRAM_REQUEST,
	HISTOGRAM_STORE_CALL,
	HISTOGRAM_WORKER_CALL,
	HISTOGRAM_DECISION,
	HISTOGRAM_COUNT
};

void counter_add(enum counter counter, uint64_t amount);

/* Returns the sum of a counter over all shards. */
uint64_t counter_value(enum counter counter);

/* Sets a counter to a total that another module counts. It replaces only the
 * calling thread's shard, so set a counter from one thread, and don't add to
 * it. */
void counter_set(enum counter counter, uint64_t value);

void gauge_set(enum gauge gauge, int64_t value);

/* Adds a duration to a histogram; a negative one counts as 0. */
void duration_observe(enum histogram_kind kind, int64_t duration_ms);

/* Appends all metrics to text, with their HELP and TYPE lines. */
void counters_write(struct buffer *text);

#ifdef __cplusplus
}
#endif

#endif
