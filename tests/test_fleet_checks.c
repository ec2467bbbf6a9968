/* Tests of the checks of records that may come from another writer. */
#include <string.h>

#include "common_cunit.h"
#include "fleet/fleet.h"
#include "process/alloc.h"

#define FIFTY_BYTES "123456789-123456789-123456789-123456789-123456789-"
/* As long as a name can be, as it ends a key of the store, and longer. */
#define LONGEST_NAME FIFTY_BYTES FIFTY_BYTES FIFTY_BYTES FIFTY_BYTES
#define LONG_NAME    LONGEST_NAME "x"

/* A job of two steps with three tasks each, which is done three times, and its
 * progress in two occurrences. */
struct records {
	Ibis__JobStep steps[2];
	Ibis__JobStep *step_list[2];
	uint32_t after[1];
	Ibis__StepJob job;
	Ibis__TaskProgress tasks[2];
	Ibis__TaskProgress *task_list[2];
	Ibis__OccurrenceProgress occurrences[2];
	Ibis__OccurrenceProgress *occurrence_list[2];
	Ibis__JobProgress progress;
};

static void
init_records(struct records *records)
{
	*records = (struct records){0};
	ibis__step_job__init(&records->job);
	ibis__job_progress__init(&records->progress);
	for (uint32_t i = 0; i < 2; i++) {
		ibis__job_step__init(&records->steps[i]);
		ibis__task_progress__init(&records->tasks[i]);
		ibis__occurrence_progress__init(&records->occurrences[i]);
		records->step_list[i] = &records->steps[i];
		records->task_list[i] = &records->tasks[i];
		records->occurrence_list[i] = &records->occurrences[i];
		records->steps[i].tasks = 3;
		records->tasks[i].number = 4 + i;
		records->occurrences[i].number = 1 + i;
		records->occurrences[i].tasks = records->task_list;
		records->occurrences[i].n_tasks = 2;
	}
	records->steps[1].after = records->after;
	records->steps[1].n_after = 1;
	records->job.steps = records->step_list;
	records->job.n_steps = 2;
	records->job.times = 3;
	records->progress.finished = 1;
	records->progress.occurrences = records->occurrence_list;
	records->progress.n_occurrences = 2;
}

static void
expect_job(const struct records *records, enum ibis_code expected)
{
	struct ibis_status status = {0};

	CU_ASSERT_EQUAL(fleet_check_job(&records->job, &status), expected);
	CU_ASSERT_EQUAL(status.message[0] == '\0', expected == IBIS_OK);
}

static void
expect_progress(const struct records *records, enum ibis_code expected)
{
	struct ibis_status status = {0};

	CU_ASSERT_EQUAL(
	    fleet_check_progress(&records->job, &records->progress, &status),
	    expected);
	CU_ASSERT_EQUAL(status.message[0] == '\0', expected == IBIS_OK);
}

/* Makes the records, sets one field, and checks the job or its progress. */
#define EXPECT(check, field, value, expected)       \
	do {                                        \
		struct records records;             \
                                                    \
		init_records(&records);             \
		records.field = (value);            \
		expect_##check(&records, expected); \
	} while (0)

/* Guards against records of jobs that crash each lead: steps without tasks or
 * with more than there is memory for, steps that wait for steps that don't
 * exist, and numbers of which the sum overflows. */
static void
test_odd_jobs_are_invalid(void)
{
	EXPECT(job, job.times, FLEET_MAX_OCCURRENCES, IBIS_OK);
	EXPECT(job, job.times, FLEET_MAX_OCCURRENCES + 1, IBIS_INVALID);
	EXPECT(job, job.n_steps, 0, IBIS_INVALID);
	EXPECT(job, steps[1].tasks, 0, IBIS_INVALID);
	EXPECT(job, steps[1].tasks, FLEET_MAX_TASKS - 3, IBIS_OK);
	EXPECT(job, steps[1].tasks, FLEET_MAX_TASKS - 2, IBIS_INVALID);
	EXPECT(job, steps[1].tasks, UINT32_MAX, IBIS_INVALID);
	EXPECT(job, after[0], 1, IBIS_INVALID);
	EXPECT(job, after[0], UINT32_MAX, IBIS_INVALID);
	EXPECT(job, steps[0].cpu_milli, FLEET_MAX_AMOUNT, IBIS_OK);
	EXPECT(job, steps[0].cpu_milli, FLEET_MAX_AMOUNT + 1, IBIS_INVALID);
	EXPECT(job, steps[0].memory_mb, -1, IBIS_INVALID);
	EXPECT(job, steps[0].accelerators, INT64_MAX, IBIS_INVALID);
	EXPECT(job, steps[0].estimate_ms, INT64_MAX, IBIS_INVALID);
	EXPECT(job, steps[0].tail_target_ms, -1, IBIS_INVALID);
	EXPECT(job, job.first_wall_ms, INT64_MAX, IBIS_INVALID);
	EXPECT(job, job.interval_ms, INT64_MAX, IBIS_INVALID);
	EXPECT(job, job.interval_ms, -1, IBIS_INVALID);
	EXPECT(job, job.target_ms, FLEET_MAX_TIME_MS + 1, IBIS_INVALID);
}

/* Guards against records of progress that crash each lead: a task or occurrence
 * that is listed twice or that the job doesn't have, and a worker's name that
 * is cut to another one. */
static void
test_odd_progress_is_invalid(void)
{
	EXPECT(progress, progress.finished, 0, IBIS_OK);
	EXPECT(progress, progress.finished, 2, IBIS_INVALID);
	EXPECT(progress, progress.finished, UINT32_MAX, IBIS_INVALID);
	EXPECT(progress, occurrences[0].number, 2, IBIS_INVALID);
	EXPECT(progress, occurrences[0].number, 0, IBIS_INVALID);
	EXPECT(progress, occurrences[1].number, 3, IBIS_INVALID);
	EXPECT(progress, occurrences[1].number, UINT32_MAX, IBIS_INVALID);
	EXPECT(progress, tasks[0].number, 5, IBIS_INVALID);
	EXPECT(progress, tasks[1].number, 6, IBIS_INVALID);
	EXPECT(progress, tasks[1].run, FLEET_MAX_NUMBER, IBIS_OK);
	EXPECT(progress, tasks[1].run, UINT64_MAX, IBIS_INVALID);
	EXPECT(progress, tasks[1].worker, (char *)LONGEST_NAME, IBIS_OK);
	EXPECT(progress, tasks[1].worker, (char *)LONG_NAME, IBIS_INVALID);
	EXPECT(progress, tasks[1].incarnation_wall_ms, -1, IBIS_INVALID);
	EXPECT(progress, progress.phase, (Ibis__StepJobPhase)5, IBIS_INVALID);
	EXPECT(progress, progress.ended_wall_ms, INT64_MIN, IBIS_INVALID);
}

/* Guards against progress that is read before its job. */
static void
test_progress_without_a_job(void)
{
	struct ibis_status status = {0};
	struct records records;

	init_records(&records);
	CU_ASSERT_EQUAL(
	    fleet_check_progress(NULL, &records.progress, &status), IBIS_OK);
	records.tasks[0].number = 5;
	CU_ASSERT_EQUAL(fleet_check_progress(NULL, &records.progress, &status),
	    IBIS_INVALID);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"odd jobs are invalid", test_odd_jobs_are_invalid},
	    {"odd progress is invalid", test_odd_progress_is_invalid},
	    {"progress without a job", test_progress_without_a_job},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("fleet_checks", tests);
}
