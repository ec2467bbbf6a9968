/* Burn rates: windows, alerts, counts of other instances and the report. */
#include <string.h>

#include "common_cunit.h"
#include "process/alloc.h"
#include "process/slo_burn.h"

#define START_MS  INT64_C(1000000000)
#define MINUTE_MS INT64_C(60000)

static void
record(
    struct slo_burn *burn, enum slo_outcome outcome, int count, int64_t now_ms)
{
	for (int i = 0; i < count; i++)
		slo_burn_record(burn, "reshuffle", outcome, 5, now_ms);
}

static void
test_outcomes(void)
{
	CU_ASSERT_EQUAL(
	    slo_burn_classify(IBIS__JOB_STATE__JOB_FINISHED, 10, 10), SLO_GOOD);
	CU_ASSERT_EQUAL(
	    slo_burn_classify(IBIS__JOB_STATE__JOB_FINISHED, 11, 10), SLO_BAD);
	CU_ASSERT_EQUAL(
	    slo_burn_classify(IBIS__JOB_STATE__JOB_NOT_RUN, 1, 10), SLO_BAD);
	CU_ASSERT_EQUAL(
	    slo_burn_classify(IBIS__JOB_STATE__JOB_CANCELLED, 1, 10),
	    SLO_IGNORED);
}

static void
test_windows_slide(void)
{
	struct slo_burn *burn = slo_burn_new();
	struct slo_counts counts;

	record(burn, SLO_BAD, 2, START_MS);
	record(burn, SLO_GOOD, 3, START_MS + 4 * MINUTE_MS);
	record(burn, SLO_IGNORED, 9, START_MS + 4 * MINUTE_MS);
	counts = slo_burn_counts(burn, "reshuffle", START_MS + 4 * MINUTE_MS);
	CU_ASSERT_EQUAL(counts.bad_short, 2);
	CU_ASSERT_EQUAL(counts.good_short, 3);
	counts = slo_burn_counts(burn, "reshuffle", START_MS + 6 * MINUTE_MS);
	CU_ASSERT_EQUAL(counts.bad_short, 0);
	CU_ASSERT_EQUAL(counts.bad_long, 2);
	CU_ASSERT_EQUAL(counts.good_short, 3);
	counts = slo_burn_counts(burn, "reshuffle", START_MS + 65 * MINUTE_MS);
	CU_ASSERT_EQUAL(counts.bad_long + counts.good_long, 0);
	slo_burn_free(burn);
}

static void
test_alert_needs_both_windows(void)
{
	struct slo_counts counts = {
	    .good_short = 80,
	    .bad_short = 20,
	    .good_long = 10000,
	    .bad_long = 20,
	};

	CU_ASSERT_EQUAL(slo_burn_alert(&counts, 0.99), SLO_NO_ALERT);
	counts.good_long = 80;
	CU_ASSERT_EQUAL(slo_burn_alert(&counts, 0.99), SLO_FAST_BURN);
	counts.good_long = 200;
	CU_ASSERT_EQUAL(slo_burn_alert(&counts, 0.99), SLO_SLOW_BURN);
	counts.bad_short = 0;
	CU_ASSERT_EQUAL(slo_burn_alert(&counts, 0.99), SLO_NO_ALERT);
}

static void
test_peer_counts_are_replaced_and_expire(void)
{
	struct slo_burn *local = slo_burn_new();
	struct slo_burn *remote = slo_burn_new();
	Ibis__Heartbeat heartbeat = IBIS__HEARTBEAT__INIT;
	char name[] = "entry-2";
	struct slo_counts counts;

	heartbeat.name = name;
	record(local, SLO_GOOD, 1, START_MS);
	record(remote, SLO_BAD, 4, START_MS);
	slo_burn_fill_heartbeat(remote, &heartbeat, START_MS);
	slo_burn_update_peer(local, &heartbeat, START_MS);
	slo_burn_update_peer(local, &heartbeat, START_MS);
	slo_burn_clear_heartbeat(&heartbeat);
	counts = slo_burn_counts(local, "reshuffle", START_MS);
	CU_ASSERT_EQUAL(counts.good_short, 1);
	CU_ASSERT_EQUAL(counts.bad_long, 4);
	counts = slo_burn_counts(local, "reshuffle", START_MS + 2 * MINUTE_MS);
	CU_ASSERT_EQUAL(counts.bad_long, 0);
	slo_burn_free(local);
	slo_burn_free(remote);
}

static void
test_report_names_worst_class(void)
{
	struct document_class classes[] = {
	    {.name = "summary", .objective_target = 0.9},
	    {.name = "reshuffle", .objective_target = 0.99},
	};
	struct document document = {.classes = classes, .classes_count = 2};
	CLEANUP(buffer_free) struct buffer without_jobs = {0};
	CLEANUP(buffer_free) struct buffer with_bad_job = {0};
	struct slo_burn *burn = slo_burn_new();

	slo_burn_json(burn, &document, START_MS, &without_jobs);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(without_jobs.data, "\"look_at\":\"nothing: no class"));
	record(burn, SLO_BAD, 1, START_MS);
	record(burn, SLO_GOOD, 4, START_MS);
	slo_burn_json(burn, &document, START_MS, &with_bad_job);
	CU_ASSERT_PTR_NOT_NULL(strstr(with_bad_job.data,
	    "\"look_at\":\"class reshuffle: 1 of 5 jobs bad in the last 5 "
	    "min, 20.0 times"));
	CU_ASSERT_PTR_NOT_NULL(strstr(with_bad_job.data,
	    "\"short\":{\"good\":4,\"bad\":1,\"burn_rate\":20.00},\"long\":"
	    "{\"good\":4,\"bad\":1,\"burn_rate\":20.00},\"alert\":\"fast\""));
	slo_burn_free(burn);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"outcomes", test_outcomes},
	    {"windows slide", test_windows_slide},
	    {"alert needs both windows", test_alert_needs_both_windows},
	    {"peer counts are replaced and expire",
		test_peer_counts_are_replaced_and_expire},
	    {"report names worst class", test_report_names_worst_class},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("slo_burn", tests);
}
