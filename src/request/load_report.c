#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/alloc.h"
#include "request/load_report.h"

#define MEDIAN_PERCENT 50
#define TAIL_PERCENT   99
#define ALL_PERCENT    100

static int
compare_times(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left;
	int64_t b = *(const int64_t *)right;

	return (a > b) - (a < b);
}

/* Nearest-rank percentile of sorted times. */
static int64_t
percentile(const int64_t *completion_times, size_t count, size_t percent)
{
	size_t rank;

	if (count == 0)
		return 0;
	rank = (count * percent + ALL_PERCENT - 1) / ALL_PERCENT;
	return completion_times[rank == 0 ? 0 : rank - 1];
}

static void
add_result(struct load_summary *summary, const struct load_job *job,
    const struct load_result *result)
{
	summary->jobs++;
	summary->by_outcome[result->outcome]++;
	if (result->wrong_answer)
		summary->wrong_answers++;
	if (result->outcome == LOAD_FINISHED)
		summary->work_ms += (int64_t)job->run_time_ms * job->tasks *
		    job->kind->accelerators_per_task;
}

void
load_summarize(struct load_summary *summary, const char *request_class,
    const struct load_job *jobs, const struct load_result *results,
    size_t count)
{
	int64_t *completion_times =
	    mem_calloc(count, sizeof(*completion_times));
	size_t finished_count = 0;

	*summary = (struct load_summary){.request_class = request_class};
	for (size_t i = 0; i < count; i++) {
		if (request_class != NULL &&
		    strcmp(jobs[i].kind->request_class, request_class) != 0)
			continue;
		add_result(summary, &jobs[i], &results[i]);
		if (results[i].outcome == LOAD_FINISHED)
			completion_times[finished_count++] =
			    results[i].completion_ms;
	}
	qsort(completion_times, finished_count, sizeof(*completion_times),
	    compare_times);
	summary->p50_ms =
	    percentile(completion_times, finished_count, MEDIAN_PERCENT);
	summary->p99_ms =
	    percentile(completion_times, finished_count, TAIL_PERCENT);
	mem_free(completion_times);
}

void
load_summary_print(const struct load_summary *summary)
{
	(void)printf("class=%s jobs=%" PRIu64,
	    summary->request_class == NULL ? "all" : summary->request_class,
	    summary->jobs);
	for (int i = 0; i < LOAD_OUTCOMES; i++)
		(void)printf(" %s=%" PRIu64, load_outcome_name(i),
		    summary->by_outcome[i]);
	(void)printf(" wrong_answers=%" PRIu64 " p50_ms=%" PRId64
		     " p99_ms=%" PRId64 " work_accelerator_ms=%" PRId64 "\n",
	    summary->wrong_answers, summary->p50_ms, summary->p99_ms,
	    summary->work_ms);
}
