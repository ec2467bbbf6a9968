/* The JSON report of the burn rates, see slo_burn_json in slo_burn.h. */
#include <inttypes.h>
#include <stdio.h>

#include <json-c/json.h>

#include "process/alloc.h"
#include "process/slo_burn.h"

#define LOOK_AT_BYTES 512
#define MS_PER_MIN    60000

/* The class with the most severe alert, then the highest burn rate in the short
 * window; "look_at" of the report is about it. */
struct worst_class {
	const struct document_class *request_class;
	enum slo_alert alert;
	double rate;
	struct slo_counts counts;
};

static const char *
alert_name(enum slo_alert alert)
{
	switch (alert) {
	case SLO_NO_ALERT:
		return "none";
	case SLO_SLOW_BURN:
		return "slow";
	case SLO_FAST_BURN:
		return "fast";
	}
	return "none";
}

static struct json_object *
window_json(uint64_t good, uint64_t bad, double target)
{
	struct json_object *window = json_object_new_object();
	char rate[32];

	(void)snprintf(
	    rate, sizeof(rate), "%.2f", slo_burn_rate(good, bad, target));
	(void)json_object_object_add(
	    window, "good", json_object_new_int64((int64_t)good));
	(void)json_object_object_add(
	    window, "bad", json_object_new_int64((int64_t)bad));
	(void)json_object_object_add(window, "burn_rate",
	    json_object_new_double_s(slo_burn_rate(good, bad, target), rate));
	return window;
}

static struct json_object *
class_json(
    const struct document_class *request_class, const struct slo_counts *counts)
{
	struct json_object *object = json_object_new_object();
	double target = request_class->objective_target;

	(void)json_object_object_add(
	    object, "class", json_object_new_string(request_class->name));
	(void)json_object_object_add(object, "objective_ms",
	    json_object_new_int(request_class->objective_ms));
	(void)json_object_object_add(
	    object, "target", json_object_new_double(target));
	(void)json_object_object_add(object, "short",
	    window_json(counts->good_short, counts->bad_short, target));
	(void)json_object_object_add(object, "long",
	    window_json(counts->good_long, counts->bad_long, target));
	(void)json_object_object_add(object, "alert",
	    json_object_new_string(alert_name(slo_burn_alert(counts, target))));
	return object;
}

static void
update_worst(struct worst_class *worst,
    const struct document_class *request_class, const struct slo_counts *counts)
{
	double target = request_class->objective_target;
	enum slo_alert alert = slo_burn_alert(counts, target);
	double rate =
	    slo_burn_rate(counts->good_short, counts->bad_short, target);

	if (rate == 0.0 || alert < worst->alert ||
	    (alert == worst->alert && rate <= worst->rate))
		return;
	*worst = (struct worst_class){request_class, alert, rate, *counts};
}

static void
write_look_at(const struct worst_class *worst, char text[LOOK_AT_BYTES])
{
	if (worst->request_class == NULL) {
		(void)snprintf(text, LOOK_AT_BYTES,
		    "nothing: no class had a bad job in the last %d min",
		    SLO_SHORT_WINDOW_MS / MS_PER_MIN);
		return;
	}
	(void)snprintf(text, LOOK_AT_BYTES,
	    "class %s: %" PRIu64 " of %" PRIu64
	    " jobs bad in the last %d min, %.1f times what its target allows "
	    "(alert: %s); look at its jobs (GET /v1/jobs), zones out of "
	    "service (GET /v1/availability-zones) and endpoints that are "
	    "lost or quarantined (GET /v1/endpoints)",
	    worst->request_class->name, worst->counts.bad_short,
	    worst->counts.good_short + worst->counts.bad_short,
	    SLO_SHORT_WINDOW_MS / MS_PER_MIN, worst->rate,
	    alert_name(worst->alert));
}

void
slo_burn_json(struct slo_burn *burn, const struct document *document,
    int64_t now_ms, struct buffer *json)
{
	struct json_object *report = json_object_new_object();
	struct json_object *classes = json_object_new_array();
	struct worst_class worst = {0};
	char look_at[LOOK_AT_BYTES];

	for (size_t i = 0; document != NULL && i < document->classes_count;
	     i++) {
		const struct document_class *request_class =
		    &document->classes[i];
		struct slo_counts counts =
		    slo_burn_counts(burn, request_class->name, now_ms);

		update_worst(&worst, request_class, &counts);
		(void)json_object_array_add(
		    classes, class_json(request_class, &counts));
	}
	write_look_at(&worst, look_at);
	(void)json_object_object_add(
	    report, "look_at", json_object_new_string(look_at));
	(void)json_object_object_add(report, "short_window_ms",
	    json_object_new_int(SLO_SHORT_WINDOW_MS));
	(void)json_object_object_add(
	    report, "long_window_ms", json_object_new_int(SLO_LONG_WINDOW_MS));
	(void)json_object_object_add(report, "classes", classes);
	buffer_puts(json,
	    json_object_to_json_string_ext(report,
		JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	(void)json_object_put(report);
}
