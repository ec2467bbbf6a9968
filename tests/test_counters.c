/* Counters under concurrency, and the Prometheus text format. */
#include <pthread.h>
#include <string.h>

#include "common_cunit.h"
#include "process/alloc.h"
#include "process/counters.h"

#define THREAD_COUNT	  20 /* more than shards, so some share one */
#define COUNTS_PER_THREAD 10000UL

static void *
count_in_thread(void *argument)
{
	(void)argument;
	for (uint64_t i = 0; i < COUNTS_PER_THREAD; i++)
		counter_add(COUNTER_FORWARDED, 1);
	return NULL;
}

static void
test_concurrent_counts(void)
{
	pthread_t threads[THREAD_COUNT];

	for (int i = 0; i < THREAD_COUNT; i++)
		CU_ASSERT_EQUAL_FATAL(
		    pthread_create(&threads[i], NULL, count_in_thread, NULL),
		    0);
	for (int i = 0; i < THREAD_COUNT; i++)
		(void)pthread_join(threads[i], NULL);
	CU_ASSERT_EQUAL(
	    counter_value(COUNTER_FORWARDED), THREAD_COUNT * COUNTS_PER_THREAD);
}

static void
test_text_format(void)
{
	CLEANUP(buffer_free) struct buffer text = {0};

	counter_add(COUNTER_JOBS_FINISHED, 3);
	gauge_set(GAUGE_DOCUMENT_VERSION, 9);
	duration_observe(HISTOGRAM_STORE_CALL, 1);
	duration_observe(HISTOGRAM_STORE_CALL, 7);
	duration_observe(HISTOGRAM_STORE_CALL, INT64_C(100000000));
	counters_write(&text);
	CU_ASSERT_PTR_NOT_NULL(strstr(text.data,
	    "# TYPE ibis_jobs_ended_total counter\n"
	    "ibis_jobs_ended_total{outcome=\"finished\"} 3\n"
	    "ibis_jobs_ended_total{outcome=\"failed\"} 0\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text.data,
	    "# TYPE ibis_document_version gauge\nibis_document_version 9\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(
	    text.data, "ibis_store_call_seconds_bucket{le=\"0.001\"} 1\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(
	    text.data, "ibis_store_call_seconds_bucket{le=\"0.010\"} 2\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text.data,
	    "ibis_store_call_seconds_bucket{le=\"+Inf\"} 3\n"
	    "ibis_store_call_seconds_sum 100000.008\n"
	    "ibis_store_call_seconds_count 3\n"));
}

/* Each name has one HELP line, before its first value. */
static void
test_one_help_line_per_name(void)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	const char *help;

	counters_write(&text);
	help = strstr(text.data, "# HELP ibis_answers_total ");
	CU_ASSERT_PTR_NOT_NULL(help);
	if (help == NULL)
		return;
	CU_ASSERT_PTR_NULL(strstr(help + 1, "# HELP ibis_answers_total "));
	CU_ASSERT_PTR_NULL(strstr(text.data, "(null)"));
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"concurrent counts", test_concurrent_counts},
	    {"text format", test_text_format},
	    {"one help line per name", test_one_help_line_per_name},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("counters", tests);
}
