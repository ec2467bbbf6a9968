/* Updates counters and gauges, and serves metrics and the report on SLO burn
 * rates. */
#include "process/alloc.h"
#include "process/control.h"
#include "process/counters.h"

static enum counter
store_counter(enum ibis_code code)
{
	switch (code) {
	case IBIS_CONFLICT:
		return COUNTER_STORE_CONFLICT;
	case IBIS_UNAVAILABLE:
		return COUNTER_STORE_UNAVAILABLE;
	case IBIS_UNKNOWN:
		return COUNTER_STORE_UNKNOWN;
	default:
		return COUNTER_STORE_OK;
	}
}

static enum counter
worker_counter(enum ibis_code code)
{
	switch (code) {
	case IBIS_UNAVAILABLE:
		return COUNTER_WORKER_CALLS_UNAVAILABLE;
	case IBIS_UNKNOWN:
		return COUNTER_WORKER_CALLS_UNKNOWN;
	default:
		return COUNTER_WORKER_CALLS_OK;
	}
}

void
control_metrics_record_store_call(const struct store_result *result)
{
	counter_add(store_counter(result->code), 1);
	if (result->op != STORE_WATCH)
		duration_observe(HISTOGRAM_STORE_CALL,
		    result->received_ms - result->sent_ms);
}

void
control_metrics_record_worker_call(const struct worker_result *result)
{
	counter_add(worker_counter(result->code), 1);
	duration_observe(
	    HISTOGRAM_WORKER_CALL, result->received_ms - result->sent_ms);
}

void
control_metrics_record_refusal(enum ibis_code code)
{
	if (code == IBIS_LIMIT)
		counter_add(COUNTER_JOBS_REFUSED_LIMIT, 1);
	else if (code == IBIS_INVALID)
		counter_add(COUNTER_JOBS_REFUSED_INVALID, 1);
	else
		counter_add(COUNTER_JOBS_REFUSED_UNAVAILABLE, 1);
}

static enum counter
outcome_counter(Ibis__JobState state)
{
	switch (state) {
	case IBIS__JOB_STATE__JOB_FINISHED:
		return COUNTER_JOBS_FINISHED;
	case IBIS__JOB_STATE__JOB_FAILED:
		return COUNTER_JOBS_FAILED;
	case IBIS__JOB_STATE__JOB_CANCELLED:
		return COUNTER_JOBS_CANCELLED;
	case IBIS__JOB_STATE__JOB_NOT_RUN:
		return COUNTER_JOBS_NOT_RUN;
	default:
		return COUNTER_JOBS_UNKNOWN;
	}
}

void
control_metrics_record_job_end(struct control *control, const struct job *job)
{
	const Ibis__JobRecord *record = job->record;
	const char *request_class = record->spec->request_class;
	int64_t completion_ms = record->ended_at_ms - record->accepted_at_ms;
	int32_t objective_ms = 0;
	int index = -1;

	if (control->document != NULL)
		index = document_find_class(control->document, request_class);
	if (index >= 0)
		objective_ms = control->document->classes[index].objective_ms;
	counter_add(outcome_counter(record->state), 1);
	slo_burn_record(control->burn, request_class,
	    slo_burn_classify(record->state, completion_ms, objective_ms),
	    completion_ms, control->now_ms);
}

static void
set_lead_gauges(const struct control *control)
{
	struct scheduler_usage usage = {0};

	if (control_leading(control))
		scheduler_usage(control->scheduler, &usage);
	gauge_set(GAUGE_JOBS_QUEUED, (int64_t)usage.queued_jobs);
	gauge_set(GAUGE_JOBS_RUNNING, (int64_t)usage.running_jobs);
	gauge_set(GAUGE_ACCELERATORS, (int64_t)usage.accelerators);
	gauge_set(GAUGE_ACCELERATORS_FREE, (int64_t)usage.free_accelerators);
	gauge_set(GAUGE_ACCELERATORS_UNUSABLE_GUARANTEE,
	    (int64_t)usage.unusable_for_guarantee);
	gauge_set(
	    GAUGE_ACCELERATORS_UNUSABLE_RACK, (int64_t)usage.unusable_for_rack);
	gauge_set(
	    GAUGE_WORKERS_QUARANTINED, (int64_t)usage.quarantined_workers);
}

static void
set_gauges(const struct control *control)
{
	bool leaving = control->state == IBIS__INSTANCE_STATE__INSTANCE_LEAVING;

	gauge_set(GAUGE_LEADING, control_leading(control) ? 1 : 0);
	gauge_set(GAUGE_LEAVING, leaving ? 1 : 0);
	gauge_set(GAUGE_STORE_REACHABLE, control->store_down ? 0 : 1);
	gauge_set(
	    GAUGE_DOCUMENT_VERSION, (int64_t)control_document_version(control));
	gauge_set(GAUGE_PEERS_ALIVE,
	    (int64_t)membership_alive_count(control->members, control->now_ms));
	gauge_set(
	    GAUGE_OPEN_REQUESTS, caller_server_open_requests(control->callers));
	set_lead_gauges(control);
}

static void
write_metrics(struct control *control, struct buffer *text)
{
	uint64_t sent_bytes;
	uint64_t received_bytes;

	peer_links_traffic(control->links, &sent_bytes, &received_bytes);
	counter_set(COUNTER_PEER_SENT_BYTES, sent_bytes);
	counter_set(COUNTER_PEER_RECEIVED_BYTES, received_bytes);
	set_gauges(control);
	counters_write(text);
	slo_burn_write_metrics(control->burn, text);
}

void
control_metrics_handle_request(struct control *control,
    const struct origin *origin, const Ibis__Request *request)
{
	CLEANUP(buffer_free) struct buffer text = {0};

	if (request->kind == IBIS__REQUEST_KIND__REQUEST_METRICS)
		write_metrics(control, &text);
	else
		slo_burn_json(
		    control->burn, control->document, control->now_ms, &text);
	control_reply_json(control, origin, buffer_string(&text));
}
