/*
 * Burn rate of the error budget by request class: the share of bad jobs divided
 * by the share that the class's objective allows. Counts good and bad jobs over
 * a short and a long window, on this and the other instances. Does no I/O and
 * reads no clock. Not thread-safe.
 */
#ifndef IBIS_SLO_BURN_H
#define IBIS_SLO_BURN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.pb-c.h"
#include "process/buffer.h"
#include "version/document.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	SLO_SHORT_WINDOW_MS = 300000,
	SLO_LONG_WINDOW_MS = 3600000,
	SLO_BUCKET_MS = 10000
};

enum slo_outcome {
	SLO_GOOD,
	SLO_BAD,
	SLO_IGNORED /* not counted */
};

enum slo_alert {
	SLO_NO_ALERT,
	SLO_SLOW_BURN, /* needs attention within a day */
	SLO_FAST_BURN  /* needs attention at once */
};

/* Jobs that ended within the short and the long window. */
struct slo_counts {
	uint64_t good_short;
	uint64_t bad_short;
	uint64_t good_long;
	uint64_t bad_long;
};

struct slo_burn;

/* Returns empty counts. Free with slo_burn_free. */
struct slo_burn *slo_burn_new(void);

/* Frees the counts; NULL is allowed. */
void slo_burn_free(struct slo_burn *burn);

/* Classifies a job that has ended: good if it finished within the objective,
 * where 0 is no limit, ignored if the caller cancelled it, otherwise bad. */
enum slo_outcome slo_burn_classify(
    Ibis__JobState state, int64_t completion_ms, int32_t objective_ms);

/* Counts a job of a class that ended now and adds its completion time to the
 * histogram. An ignored job changes nothing. */
void slo_burn_record(struct slo_burn *burn, const char *request_class,
    enum slo_outcome outcome, int64_t completion_ms, int64_t now_ms);

/* Returns the counts of a class over both windows, summed over this instance
 * and the others whose counts have not expired. */
struct slo_counts slo_burn_counts(
    struct slo_burn *burn, const char *request_class, int64_t now_ms);

/* Returns the share of bad jobs divided by the share that target, from 0 to 1,
 * allows; 0 without bad jobs. */
double slo_burn_rate(uint64_t good, uint64_t bad, double target);

/* Returns the alert whose burn rate both windows reach. The long window shows
 * that the loss is significant, the short one that it continues. */
enum slo_alert slo_burn_alert(const struct slo_counts *counts, double target);

/* Adds this instance's own counts to a heartbeat, whose burn field must be
 * empty. Free them with slo_burn_clear_heartbeat. */
void slo_burn_fill_heartbeat(
    struct slo_burn *burn, Ibis__Heartbeat *heartbeat, int64_t now_ms);

/* Frees the counts in a heartbeat and empties its burn field. */
void slo_burn_clear_heartbeat(Ibis__Heartbeat *heartbeat);

/* Replaces the counts of the instance that sent a heartbeat. They expire after
 * a minute. */
void slo_burn_update_peer(
    struct slo_burn *burn, const Ibis__Heartbeat *heartbeat, int64_t now_ms);

/* Appends the report on all classes of a document to json. document may be
 * NULL, for no classes. */
void slo_burn_json(struct slo_burn *burn, const struct document *document,
    int64_t now_ms, struct buffer *json);

/* Appends the completion times of the jobs recorded here to text, as one
 * Prometheus histogram with a label for the class. */
void slo_burn_write_metrics(const struct slo_burn *burn, struct buffer *text);

#ifdef __cplusplus
}
#endif

#endif
