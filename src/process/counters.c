#include <inttypes.h>
#include <string.h>

#include "process/alloc.h"
#include "process/counters.h"

#define SHARD_COUNT	 16
#define CACHE_LINE_BYTES 64

/* One time series. Series with the same name are adjacent in their table, and
 * the first of them has the help text. */
struct metric {
	const char *name;
	const char *labels; /* empty, or like status="2xx" */
	const char *help;   /* NULL after the first series of a name */
};

static const struct metric counter_metrics[COUNTER_COUNT] = {
    [COUNTER_ANSWERS_2XX] = {"ibis_answers_total", "status=\"2xx\"",
	"Answers to callers and operators by HTTP status."},
    [COUNTER_ANSWERS_4XX] = {"ibis_answers_total", "status=\"4xx\"", NULL},
    [COUNTER_ANSWERS_429] = {"ibis_answers_total", "status=\"429\"", NULL},
    [COUNTER_ANSWERS_5XX] = {"ibis_answers_total", "status=\"5xx\"", NULL},
    [COUNTER_CALLERS_REFUSED] = {"ibis_callers_refused_total", "",
	"Requests refused because there were too many connections."},
    [COUNTER_FORWARDED] = {"ibis_requests_forwarded_total", "",
	"Requests forwarded to the lead."},
    [COUNTER_JOBS_ACCEPTED] = {"ibis_jobs_accepted_total", "",
	"Jobs whose record was stored."},
    [COUNTER_JOBS_REPEATED] = {"ibis_jobs_repeated_total", "",
	"Submissions that met the job of an earlier one."},
    [COUNTER_JOBS_REFUSED_LIMIT] = {"ibis_jobs_refused_total",
	"reason=\"limit\"", "Submissions refused as not run, by reason."},
    [COUNTER_JOBS_REFUSED_INVALID] = {"ibis_jobs_refused_total",
	"reason=\"invalid\"", NULL},
    [COUNTER_JOBS_REFUSED_UNAVAILABLE] = {"ibis_jobs_refused_total",
	"reason=\"unavailable\"", NULL},
    [COUNTER_JOBS_FINISHED] = {"ibis_jobs_ended_total", "outcome=\"finished\"",
	"Jobs that ended, by outcome."},
    [COUNTER_JOBS_FAILED] = {"ibis_jobs_ended_total", "outcome=\"failed\"",
	NULL},
    [COUNTER_JOBS_CANCELLED] = {"ibis_jobs_ended_total",
	"outcome=\"cancelled\"", NULL},
    [COUNTER_JOBS_NOT_RUN] = {"ibis_jobs_ended_total", "outcome=\"not_run\"",
	NULL},
    [COUNTER_JOBS_UNKNOWN] = {"ibis_jobs_ended_total", "outcome=\"unknown\"",
	NULL},
    [COUNTER_ATTEMPTS_BEGUN] = {"ibis_attempts_total", "state=\"begun\"",
	"Attempts to run a job: begun, running on all workers, or failed "
	"before that."},
    [COUNTER_ATTEMPTS_RUNNING] = {"ibis_attempts_total", "state=\"running\"",
	NULL},
    [COUNTER_ATTEMPTS_FAILED] = {"ibis_attempts_total", "state=\"failed\"",
	NULL},
    [COUNTER_EVICTIONS_CHECKPOINT] = {"ibis_evictions_total",
	"manner=\"checkpoint\"", "Evictions of running jobs."},
    [COUNTER_EVICTIONS_STOP] = {"ibis_evictions_total", "manner=\"stop\"",
	NULL},
    [COUNTER_THROTTLES] = {"ibis_throttles_total", "",
	"Jobs slowed down because they overran."},
    [COUNTER_WORKERS_LOST] = {"ibis_workers_lost_total", "",
	"Workers that went silent."},
    [COUNTER_STORE_OK] = {"ibis_store_calls_total", "result=\"ok\"",
	"Calls to the platform's store by result."},
    [COUNTER_STORE_CONFLICT] = {"ibis_store_calls_total", "result=\"conflict\"",
	NULL},
    [COUNTER_STORE_UNAVAILABLE] = {"ibis_store_calls_total",
	"result=\"unavailable\"", NULL},
    [COUNTER_STORE_UNKNOWN] = {"ibis_store_calls_total", "result=\"unknown\"",
	NULL},
    [COUNTER_WORKER_CALLS_OK] = {"ibis_worker_calls_total", "result=\"ok\"",
	"Calls to workers by result."},
    [COUNTER_WORKER_CALLS_UNAVAILABLE] = {"ibis_worker_calls_total",
	"result=\"unavailable\"", NULL},
    [COUNTER_WORKER_CALLS_UNKNOWN] = {"ibis_worker_calls_total",
	"result=\"unknown\"", NULL},
    [COUNTER_LINKS_UP] = {"ibis_links_up_total", "",
	"Times that a link to a peer came up."},
    [COUNTER_LINKS_SILENT] = {"ibis_links_silent_total", "",
	"Links closed because the peer did not answer in time."},
    [COUNTER_FRAMES_REFUSED] = {"ibis_frames_refused_total", "",
	"Frames of peers that could not be read."},
    [COUNTER_PEER_SENT_BYTES] = {"ibis_peer_bytes_total", "direction=\"sent\"",
	"Bytes over the links to peers."},
    [COUNTER_PEER_RECEIVED_BYTES] = {"ibis_peer_bytes_total",
	"direction=\"received\"", NULL},
    [COUNTER_LEADS_TAKEN] = {"ibis_leads_taken_total", "",
	"Times that this instance became the pool's lead."},
    [COUNTER_LEADS_LOST] = {"ibis_leads_lost_total", "",
	"Times that it lost the lead without handing it over."},
    [COUNTER_HINTS_LOST] = {"ibis_hints_lost_total", "",
	"Hints of accepted jobs that the lead did not take."},
    [COUNTER_PRESUMED_ENDS_NOT_REPORTED] = {"ibis_runs_presumed_ended_total",
	"reason=\"not_reported\"",
	"Runs considered ended without their worker's word, by reason."},
    [COUNTER_PRESUMED_ENDS_NEW_INCARNATION] = {"ibis_runs_presumed_ended_total",
	"reason=\"new_incarnation\"", NULL},
    [COUNTER_PRESUMED_ENDS_WORKER_REPLACED] = {"ibis_runs_presumed_ended_total",
	"reason=\"worker_replaced\"", NULL},
    [COUNTER_PRESUMED_ENDS_LEASE_EXPIRED] = {"ibis_runs_presumed_ended_total",
	"reason=\"lease_expired\"", NULL},
    [COUNTER_WORKER_RESTARTS] = {"ibis_worker_restarts_total", "",
	"New incarnations of workers that this lead knew."},
    [COUNTER_UNKNOWN_RUNS] = {"ibis_unknown_runs_total", "",
	"Runs that workers list and the lead does not expect there, counted "
	"again with each stop."},
    [COUNTER_UNANSWERED_STARTS_SENT] = {"ibis_unanswered_starts_total",
	"state=\"sent\"",
	"Starts without an answer: sent, and of them those whose run was "
	"listed later, or ended unlisted."},
    [COUNTER_UNANSWERED_STARTS_LISTED] = {"ibis_unanswered_starts_total",
	"state=\"listed\"", NULL},
    [COUNTER_UNANSWERED_STARTS_ENDED] = {"ibis_unanswered_starts_total",
	"state=\"ended\"", NULL},
    [COUNTER_OVER_CAPACITY] = {"ibis_over_capacity_total", "",
	"Times that a worker began to list runs that need more than it has."},
    [COUNTER_CAPACITY_CHANGES] = {"ibis_capacity_changes_total", "",
	"Times that a worker's resources changed while it went on."},
    [COUNTER_CHARGED_LOSSES] = {"ibis_charged_losses_total", "",
	"Losses of workers that were charged to runs that had just begun."},
    [COUNTER_JOBS_GIVEN_UP] = {"ibis_jobs_given_up_total", "",
	"Jobs given up because a task of theirs crashes its workers."},
    [COUNTER_DOUBLE_RUNS] = {"ibis_double_runs_total", "",
	"Times that a task began to be listed twice by workers' last reports."},
    [COUNTER_RECORD_CONFLICTS_SAME] = {"ibis_record_conflicts_total",
	"value=\"same\"",
	"Records not written as another revision was stored, with the value "
	"to be written or another one."},
    [COUNTER_RECORD_CONFLICTS_OTHER] = {"ibis_record_conflicts_total",
	"value=\"other\"", NULL},
    [COUNTER_STORE_READS_CUT] = {"ibis_store_reads_failed_total",
	"answer=\"begun\"",
	"Listings and watches without a complete answer: some of it had "
	"arrived, or none."},
    [COUNTER_STORE_READS_UNANSWERED] = {"ibis_store_reads_failed_total",
	"answer=\"none\"", NULL},
    [COUNTER_CONFIG_UNCONFIRMED] = {"ibis_config_unconfirmed_total", "",
	"Times that this instance no longer knew whether its configuration "
	"is current."},
    [COUNTER_CONNECTIONS_CLOSED_LIMIT] = {"ibis_callers_limited_total",
	"reason=\"connections\"",
	"Callers' connections closed as there were too many or as stalled "
	"bodies held the budget, and requests refused as it had no room."},
    [COUNTER_CONNECTIONS_CLOSED_BYTES] = {"ibis_callers_limited_total",
	"reason=\"stalled\"", NULL},
    [COUNTER_REQUESTS_REFUSED_BYTES] = {"ibis_callers_limited_total",
	"reason=\"refused\"", NULL},
    [COUNTER_LOG_LINES_DROPPED] = {"ibis_log_lines_total",
	"outcome=\"dropped\"",
	"Log lines not written: the reader was behind, or the limit a second "
	"of their event was reached."},
    [COUNTER_LOG_LINES_LEFT_OUT] = {"ibis_log_lines_total",
	"outcome=\"left_out\"", NULL},
};

static const struct metric gauge_metrics[GAUGE_COUNT] = {
    [GAUGE_LEADING] = {"ibis_leading", "",
	"1 while this instance leads its pool."},
    [GAUGE_LEAVING] = {"ibis_leaving", "", "1 once a planned stop has begun."},
    [GAUGE_STORE_REACHABLE] = {"ibis_store_reachable", "",
	"1 while the platform's store answers."},
    [GAUGE_DOCUMENT_VERSION] = {"ibis_document_version", "",
	"Version of the document in force here."},
    [GAUGE_PEERS_ALIVE] = {"ibis_peers_alive", "",
	"Other instances heard of within the timeout."},
    [GAUGE_OPEN_REQUESTS] = {"ibis_open_requests", "",
	"Requests not yet answered whole."},
    [GAUGE_JOBS_QUEUED] = {"ibis_jobs", "state=\"queued\"",
	"Jobs of the pool; on the lead only."},
    [GAUGE_JOBS_RUNNING] = {"ibis_jobs", "state=\"running\"", NULL},
    [GAUGE_ACCELERATORS] = {"ibis_accelerators", "",
	"Accelerators in service; on the lead only."},
    [GAUGE_ACCELERATORS_FREE] = {"ibis_accelerators_free", "",
	"Accelerators in service and free; on the lead only."},
    [GAUGE_ACCELERATORS_UNUSABLE_GUARANTEE] = {"ibis_accelerators_unusable",
	"shape=\"guarantee\"",
	"Free accelerators that the largest guaranteed shape, or a whole "
	"rack, can't use; on the lead only."},
    [GAUGE_ACCELERATORS_UNUSABLE_RACK] = {"ibis_accelerators_unusable",
	"shape=\"rack\"", NULL},
    [GAUGE_WORKERS_QUARANTINED] = {"ibis_workers_quarantined", "",
	"Workers kept out of use because they fail more than others; on the "
	"lead only."},
    [GAUGE_WORKERS_SILENT] = {"ibis_workers_silent", "",
	"Workers that do not answer the lead; on the lead only."},
    [GAUGE_TASKS_WAITING_QUOTA] = {"ibis_tasks_waiting_quota", "",
	"Tasks that wait for their workspace's cap; on the lead only."},
    [GAUGE_EPOCH] = {"ibis_lead_epoch", "",
	"Epoch of the lead that this instance has seen last."},
    [GAUGE_CONFIG_AGE_MS] = {"ibis_config_age_milliseconds", "",
	"Time since the configuration was last known to be current; -1: "
	"never."},
    [GAUGE_CONFIG_CONFIRMED] = {"ibis_config_confirmed", "",
	"1 while that time is within the limit for changes to be in force."},
    [GAUGE_CONTROL_BUSY] = {"ibis_control_busy_permille", "",
	"Share of its time that the control thread is busy, in thousandths."},
    [GAUGE_LEAD_CAPACITY] = {"ibis_lead_capacity_millicores", "",
	"Processor time that this instance can spend as a lead; 0: unknown."},
};

static const struct metric histogram_metrics[HISTOGRAM_COUNT] = {
    [HISTOGRAM_REQUEST] = {"ibis_request_seconds", "",
	"Time from a request's arrival to its answer."},
    [HISTOGRAM_STORE_CALL] = {"ibis_store_call_seconds", "",
	"Time of calls to the platform's store, watches left out."},
    [HISTOGRAM_WORKER_CALL] = {"ibis_worker_call_seconds", "",
	"Time of calls to workers."},
    [HISTOGRAM_DECISION] = {"ibis_decision_seconds", "",
	"Time of the scheduler's decisions."},
    [HISTOGRAM_CONFIG_DELAY] = {"ibis_config_delay_seconds", "",
	"Longest time that a version can have been stored before it came in "
	"force here."},
    [HISTOGRAM_TURN] = {"ibis_control_turn_seconds", "",
	"Time in which the control thread handled events and took one step."},
};

struct shard {
	_Alignas(CACHE_LINE_BYTES) uint64_t values[COUNTER_COUNT];
};

static struct shard shards[SHARD_COUNT];
static int64_t gauges[GAUGE_COUNT];
static struct histogram histograms[HISTOGRAM_COUNT];

/* Returns the calling thread's shard. Shards are assigned round-robin, so
 * threads share them when there are more threads than shards. */
static struct shard *
thread_shard(void)
{
	static uint32_t thread_count;
	static _Thread_local struct shard *assigned;

	if (assigned == NULL)
		assigned = &shards[__atomic_fetch_add(
				       &thread_count, 1, __ATOMIC_RELAXED) %
		    SHARD_COUNT];
	return assigned;
}

void
counter_add(enum counter counter, uint64_t amount)
{
	(void)__atomic_fetch_add(
	    &thread_shard()->values[counter], amount, __ATOMIC_RELAXED);
}

uint64_t
counter_value(enum counter counter)
{
	uint64_t value = 0;

	for (size_t i = 0; i < SHARD_COUNT; i++)
		value += __atomic_load_n(
		    &shards[i].values[counter], __ATOMIC_RELAXED);
	return value;
}

void
counter_set(enum counter counter, uint64_t value)
{
	__atomic_store_n(
	    &thread_shard()->values[counter], value, __ATOMIC_RELAXED);
}

void
gauge_set(enum gauge gauge, int64_t value)
{
	__atomic_store_n(&gauges[gauge], value, __ATOMIC_RELAXED);
}

void
duration_observe(enum histogram_kind kind, int64_t duration_ms)
{
	histogram_observe(&histograms[kind], duration_ms);
}

static void
write_header(const struct metric *metric, const char *type, struct buffer *text)
{
	if (metric->help != NULL)
		buffer_printf(text, "# HELP %s %s\n# TYPE %s %s\n",
		    metric->name, metric->help, metric->name, type);
}

static void
write_name_and_labels(const struct metric *metric, struct buffer *text)
{
	buffer_puts(text, metric->name);
	if (metric->labels[0] != '\0')
		buffer_printf(text, "{%s}", metric->labels);
}

void
counters_write(struct buffer *text)
{
	for (int i = 0; i < COUNTER_COUNT; i++) {
		write_header(&counter_metrics[i], "counter", text);
		write_name_and_labels(&counter_metrics[i], text);
		buffer_printf(
		    text, " %" PRIu64 "\n", counter_value((enum counter)i));
	}
	for (int i = 0; i < GAUGE_COUNT; i++) {
		write_header(&gauge_metrics[i], "gauge", text);
		write_name_and_labels(&gauge_metrics[i], text);
		buffer_printf(text, " %" PRId64 "\n",
		    __atomic_load_n(&gauges[i], __ATOMIC_RELAXED));
	}
	for (int i = 0; i < HISTOGRAM_COUNT; i++) {
		write_header(&histogram_metrics[i], "histogram", text);
		histogram_write(
		    &histograms[i], histogram_metrics[i].name, "", text);
	}
}
