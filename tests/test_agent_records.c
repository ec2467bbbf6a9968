/* Tests of the lead's writes of records, with a simulated store. */
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "agent/agent_state.h"
#include "common_agent.h"
#include "common_cunit.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/proto_memory.h"

#define JOBS	    60
#define LARGE_JOBS  15
#define LARGE_TASKS 8000
/* What a link of 10 Mbit/s, the slowest of the grown sites, carries within
 * STORE_TIMEOUT_MS. */
#define SLOW_LINK_BYTES 750000
/* What the store accepts in a transaction. */
#define TRANSACTION_ROWS 32
#define RETENTION_MS	 20000
/* Longer than the lead waits between two rounds of removal. */
#define ROUND_MS 60000
/* Jobs that callers submit on the largest site. */
#define JOBS_A_SECOND 15
#define MS_PER_SECOND 1000
#define STEP_MS	      100

/* Makes the instance lead a store with jobs that ended long ago. Of each four,
 * the first ones were cancelled. */
static void
lead_ended_jobs(struct agent_fixture *fixture, size_t cancelled_of_4)
{
	CLEANUP(buffer_free) struct buffer items = {0};
	CLEANUP(buffer_free) struct buffer listing = {0};
	Ibis__JobProgress progress = IBIS__JOB_PROGRESS__INIT;

	open_agent_fixture(fixture);
	fixture->agent.settings.retention_ms = RETENTION_MS;
	progress.phase = IBIS__STEP_JOB_PHASE__PHASE_COMPLETED;
	progress.ended_wall_ms = 1;
	append_store_item(&items, AGENT_LEAD_KEY, AGENT_FIXTURE_NAME,
	    strlen(AGENT_FIXTURE_NAME), AGENT_FIXTURE_EPOCH,
	    AGENT_FIXTURE_LEASE);
	for (unsigned int i = 0; i < JOBS; i++) {
		char id[FLEET_ID_BYTES];
		char key[PLATFORM_KEY_BYTES];

		(void)snprintf(id, sizeof(id), "%016x", i);
		append_store_job(&items, id, 40);
		(void)snprintf(
		    key, sizeof(key), "%s%s", AGENT_PROGRESS_PREFIX, id);
		append_store_message(&items, key, &progress.base, 41);
		if (i % 4 >= cancelled_of_4)
			continue;
		(void)snprintf(
		    key, sizeof(key), "%s%s", AGENT_CANCEL_PREFIX, id);
		append_store_item(&items, key, "", 0, 42, 0);
	}
	buffer_printf(&listing, "{\"items\":[%s],\"HasMore\":false,\"At\":60}",
	    buffer_string(&items));
	become_lead(fixture, buffer_string(&listing));
}

static void
put_object(struct json_object **object)
{
	(void)json_object_put(*object);
}

/* Deletes the keys that the newest transaction removes from the instance's
 * copy, as the watch would, and answers it. Returns their number. */
static size_t
apply_removal(struct agent_fixture *fixture)
{
	CLEANUP(put_object)
	struct json_object *body =
	    json_tokener_parse(fixture->calls[fixture->count - 1].body);
	struct json_object *keys = json_object_object_get(body, "Remove");
	struct json_object *conditions =
	    json_object_object_get(body, "Precondition");
	size_t count = json_object_array_length(keys);

	CU_ASSERT_TRUE(
	    count + json_object_array_length(conditions) <= TRANSACTION_ROWS);
	for (size_t i = 0; i < count; i++) {
		struct platform_store_item item = {
		    .key = json_object_get_string(
			json_object_array_get_idx(keys, i)),
		    .revision = 70,
		    .deleted = true,
		};

		agent_watch_apply(fixture->agent.records_watch, &item);
	}
	answer_store(fixture, "kv-txn", "{\"Revision\":70}");
	return count;
}

/* Runs rounds of removal, at this interval, until none is sent. Returns the
 * number of keys removed. */
static size_t
remove_all(struct agent_fixture *fixture, int64_t interval_ms, int64_t limit_ms)
{
	int64_t now_ms = clock_now_ms();
	int64_t until_ms = now_ms + limit_ms;
	size_t removed = 0;

	for (; now_ms < until_ms; now_ms += interval_ms) {
		agent_records_step(&fixture->agent, now_ms);
		if (count_unanswered(fixture, "kv-txn") > 0)
			removed += apply_removal(fixture);
	}
	return removed;
}

/* Guards against a removal that overruns its arrays and ends the process: a
 * cancelled job has three keys, others have two, and the loop only left room
 * for two. Each lead ended, one after the other, and accepted jobs never began.
 */
static void
test_removal_of_cancelled_jobs_fits_a_transaction(void)
{
	for (size_t cancelled = 0; cancelled <= 4; cancelled++) {
		CLEANUP(close_agent_fixture) struct agent_fixture fixture;

		lead_ended_jobs(&fixture, cancelled);
		CU_ASSERT_EQUAL(fixture.agent.jobs.count, JOBS);
		CU_ASSERT_EQUAL(
		    remove_all(&fixture, ROUND_MS, INT64_C(20) * ROUND_MS),
		    (size_t)JOBS * 2 + JOBS / 4 * cancelled);
		CU_ASSERT_EQUAL(fixture.agent.jobs.count, 0);
		CU_ASSERT_EQUAL(fixture.agent.lead.state, AGENT_LEADING);
	}
}

/* Guards against records that pile up: a transaction removed 8 to 12 jobs each
 * 5 s, so that above two jobs a second every instance's copy and the store grew
 * without end. */
static void
test_removal_keeps_up_with_submissions(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;

	lead_ended_jobs(&fixture, 4);
	(void)remove_all(
	    &fixture, STEP_MS, (int64_t)JOBS * MS_PER_SECOND / JOBS_A_SECOND);
	CU_ASSERT_EQUAL(fixture.agent.jobs.count, 0);
}

/* Guards against cancellations of jobs that were never stored, which would pile
 * up in the store, and against their removal while a write of the job may still
 * be carried out. */
static void
test_lone_cancellation_is_removed(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;
	struct platform_store_item cancel = {
	    .key = AGENT_CANCEL_PREFIX "00000000000000ff",
	    .value = "",
	    .revision = 65,
	};

	lead_ended_jobs(&fixture, 4);
	CU_ASSERT_EQUAL(remove_all(&fixture, STEP_MS, (int64_t)JOBS * STEP_MS),
	    (size_t)JOBS * 3);
	agent_watch_apply(fixture.agent.records_watch, &cancel);
	CU_ASSERT_EQUAL(fixture.agent.jobs.count, 1);
	CU_ASSERT_EQUAL(remove_all(&fixture, STEP_MS, RETENTION_MS), 0);
	CU_ASSERT_EQUAL(
	    remove_all(&fixture, ROUND_MS, INT64_C(4) * ROUND_MS), 1);
	CU_ASSERT_EQUAL(fixture.agent.jobs.count, 0);
}

/* Adds a cancelled job whose record of progress is large. */
static void
add_large_job(struct agent_fixture *fixture, const char *id)
{
	Ibis__StepJob job = IBIS__STEP_JOB__INIT;
	Ibis__JobStep step = IBIS__JOB_STEP__INIT;
	Ibis__JobStep *steps[] = {&step};
	Ibis__TaskProgress *tasks = mem_calloc(LARGE_TASKS, sizeof(*tasks));
	Ibis__TaskProgress **list = mem_calloc(LARGE_TASKS, sizeof(*list));
	Ibis__OccurrenceProgress occurrence = IBIS__OCCURRENCE_PROGRESS__INIT;
	Ibis__OccurrenceProgress *occurrences[] = {&occurrence};
	Ibis__JobProgress progress = IBIS__JOB_PROGRESS__INIT;
	CLEANUP(buffer_free) struct buffer packed_job = {0};
	CLEANUP(buffer_free) struct buffer packed_progress = {0};
	char key[PLATFORM_KEY_BYTES];
	struct platform_store_item item = {.key = key, .revision = 60};

	step.tasks = LARGE_TASKS;
	job.steps = steps;
	job.n_steps = 1;
	for (uint32_t i = 0; i < LARGE_TASKS; i++) {
		ibis__task_progress__init(&tasks[i]);
		tasks[i].number = i;
		tasks[i].run = 1;
		list[i] = &tasks[i];
	}
	occurrence.tasks = list;
	occurrence.n_tasks = LARGE_TASKS;
	progress.occurrences = occurrences;
	progress.n_occurrences = 1;
	proto_pack(&job.base, &packed_job);
	proto_pack(&progress.base, &packed_progress);
	(void)snprintf(key, sizeof(key), "%s%s", AGENT_PROGRESS_PREFIX, id);
	item.value = packed_progress.data;
	item.value_length = packed_progress.length;
	agent_watch_apply(fixture->agent.records_watch, &item);
	agent_view_add_job(
	    &fixture->agent, id, 60, packed_job.data, packed_job.length);
	fleet_cancel_job(fixture->agent.fleet,
	    fleet_find_job(fixture->agent.fleet, id), clock_now_ms());
	mem_free(list);
	mem_free(tasks);
}

/* Guards against a write of records that can't reach the store in time on a
 * slow link, and is repeated for good: only the number of jobs was bounded. */
static void
test_large_records_are_written_in_parts(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;
	CLEANUP(buffer_free) struct buffer items = {0};
	CLEANUP(buffer_free) struct buffer listing = {0};
	size_t bytes;

	open_agent_fixture(&fixture);
	append_store_item(&items, AGENT_LEAD_KEY, AGENT_FIXTURE_NAME,
	    strlen(AGENT_FIXTURE_NAME), AGENT_FIXTURE_EPOCH,
	    AGENT_FIXTURE_LEASE);
	buffer_printf(&listing, "{\"items\":[%s],\"HasMore\":false,\"At\":60}",
	    buffer_string(&items));
	become_lead(&fixture, buffer_string(&listing));
	for (unsigned int i = 0; i < LARGE_JOBS; i++) {
		char id[FLEET_ID_BYTES];

		(void)snprintf(id, sizeof(id), "%016x", i);
		add_large_job(&fixture, id);
	}
	agent_records_step(&fixture.agent, clock_now_ms());
	CU_ASSERT_EQUAL_FATAL(count_unanswered(&fixture, "kv-txn"), 1);
	bytes = strlen(fixture.calls[fixture.count - 1].body);
	CU_ASSERT_TRUE(bytes <= SLOW_LINK_BYTES);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"removal of cancelled jobs fits a transaction",
		test_removal_of_cancelled_jobs_fits_a_transaction},
	    {"removal keeps up with submissions",
		test_removal_keeps_up_with_submissions},
	    {"lone cancellation is removed", test_lone_cancellation_is_removed},
	    {"large records are written in parts",
		test_large_records_are_written_in_parts},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("agent_records", tests);
}
