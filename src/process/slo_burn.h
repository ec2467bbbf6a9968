/*
 * Service-level burn by request class: how fast the share of bad jobs eats up
 * what the class's objective allows. Counts good and bad jobs over a short and
 * a long window, here and on the other instances. Pure; one thread.
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

enum slo_verdict {
	SLO_GOOD,
	SLO_BAD,
	SLO_IGNORED /* says nothing about the service */
};

enum slo_alert {
	SLO_QUIET,
	SLO_SLOW_BURN, /* look at it today */
	SLO_FAST_BURN  /* look at it now */
};

struct slo_counts {
	uint64_t good_short;
	uint64_t bad_short;
	uint64_t good_long;
	uint64_t bad_long;
};

struct slo_burn;

struct slo_burn *slo_burn_new(void);
void slo_burn_free(struct slo_burn *burn);

/* Judges a job that has ended: good when it finished within the objective.
 * What the caller cancelled is ignored. */
enum slo_verdict slo_burn_judge(
    Ibis__JobState state, int64_t completion_ms, int32_t objective_ms);

/* Counts a job of a class that ended now and observes its completion time. */
void slo_burn_record(struct slo_burn *burn, const char *request_class,
    enum slo_verdict verdict, int64_t completion_ms, int64_t now_ms);

/* Counts of the whole site over both windows. */
struct slo_counts slo_burn_counts(
    struct slo_burn *burn, const char *request_class, int64_t now_ms);

/* Bad share divided by the share that target allows; 0 without jobs. */
double slo_burn_rate(uint64_t good, uint64_t bad, double target);

/* Alerts only when both windows burn: the long one shows that it matters, the
 * short one that it still goes on. */
enum slo_alert slo_burn_alert(const struct slo_counts *counts, double target);

/* Puts this instance's own counts into a heartbeat, whose burn field must be
 * empty, and frees them again. */
void slo_burn_fill_heartbeat(
    struct slo_burn *burn, Ibis__Heartbeat *heartbeat, int64_t now_ms);
void slo_burn_clear_heartbeat(Ibis__Heartbeat *heartbeat);

/* Takes in the counts of another instance; they replace its earlier ones and
 * are kept for a minute. */
void slo_burn_merge(
    struct slo_burn *burn, const Ibis__Heartbeat *heartbeat, int64_t now_ms);

/* Writes the report for the classes of a document as JSON. */
void slo_burn_json(struct slo_burn *burn, const struct document *document,
    int64_t now_ms, struct buffer *json);

/* Writes the completion times by class as a Prometheus histogram. */
void slo_burn_write_metrics(const struct slo_burn *burn, struct buffer *text);

#ifdef __cplusplus
}
#endif

#endif
