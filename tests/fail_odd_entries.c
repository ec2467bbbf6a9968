/*
 * Runs real instances on the fake platform beside entries that another writer
 * has left in the store, or that workers list: nested deeply, with numbers that
 * are too large or of which the sum is, or with ports out of range. They are
 * read in a listing, by watch, and by the next lead. No instance may end, and
 * the good entries count.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent/agent_state.h"
#include "common_cunit.h"
#include "common_users_platform.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define START_MS    8000
#define TAKEOVER_MS 6000
#define FINISH_MS   20000
/* Longer than the lead's watches wait and pause, and its gauges. */
#define SEEN_MS	     1500
#define JOBS	     4
#define TASKS	     3
#define NESTED_LISTS 100000
#define LONG_NAME                                                         \
	"n23456789-123456789-123456789-123456789-123456789-123456789-123" \
	"456789-123456789"
#define WORKER(address, rest)                                            \
	"{\"Service\":\"s\",\"Address\":\"" address "\",\"Zone\":\"z\"," \
	"\"State\":\"ready\",\"Capacity\":{\"Cpu\":8000,\"MemMb\":8000," \
	"\"Gpus\":8},\"Labels\":[\"a\",\"r0\"]" rest "}"
#define CAPACITY(cpu, memory, accelerators)                                   \
	"{\"Service\":\"s\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"z\","      \
	"\"State\":\"ready\",\"Capacity\":{\"Cpu\":" cpu ",\"MemMb\":" memory \
	",\"Gpus\":" accelerators "},\"born\":1}"
#define LARGEST "9223372036854775807"

static struct users_platform *platform;

struct odd_entry {
	const char *key;
	const char *text;
};

static const struct odd_entry odd_workers[] = {
    {"servers/sum-1", CAPACITY(LARGEST, LARGEST, LARGEST)},
    {"servers/sum-2", CAPACITY(LARGEST, LARGEST, LARGEST)},
    {"servers/half-1", CAPACITY("1", "1", "4611686018427387904")},
    {"servers/half-2", CAPACITY("1", "1", "4611686018427387904")},
    {"servers/least", CAPACITY("-9223372036854775809", "1", "1")},
    {"servers/digits", CAPACITY("1", "999999999999999999999999", "1")},
    {"servers/exponent", CAPACITY("1e999", "1e18", "1")},
    {"servers/not-a-number", CAPACITY("NaN", "-Infinity", "1")},
    {"servers/port-high", WORKER("127.0.0.1:65536", "")},
    {"servers/port-higher", WORKER("127.0.0.1:99999999999999999999", "")},
    {"servers/port-zero", WORKER("127.0.0.1:0", "")},
    {"servers/port-sign", WORKER("127.0.0.1:-1", "")},
    {"servers/port-space", WORKER("127.0.0.1: 80", "")},
    {"servers/port-none", WORKER("127.0.0.1", "")},
    {"servers/name", WORKER("example.org:80", "")},
    {"servers/born-large", WORKER("127.0.0.1:1", ",\"born\":" LARGEST)},
    {"servers/born-negative", WORKER("127.0.0.1:1", ",\"born\":-1")},
    {"servers/remaining", WORKER("127.0.0.1:1", ",\"RemainingMs\":1e300")},
    {"servers/" LONG_NAME, WORKER("127.0.0.1:1", "")},
    {"servers/", WORKER("127.0.0.1:1", "")},
    {"servers/empty", ""},
    {"servers/list", "[1,2,3]"},
    {"servers/cut", "{\"Service\":\"s\",\"Address\":\"127."},
    {"servers/bytes", "\xff\xfe\x01{\"Service\":\"\xff\"}"},
};

static const struct odd_entry odd_instances[] = {
    {"ibis/instance/port-high", "127.0.0.1:65536"},
    {"ibis/instance/port-zero", "127.0.0.1:0"},
    {"ibis/instance/name", "example.org:7000"},
    {"ibis/instance/bytes", "\xff\xfe\x01"},
    {"ibis/instance/empty", ""},
    {"ibis/instance/" LONG_NAME, "127.0.0.1:1"},
    {"ibis/instance/" LONG_NAME "2", "127.0.0.1:2"},
    {"ibis/instance/", "127.0.0.1:1"},
    {"ibis/capacity/port-high", "999999999999999"},
    {"ibis/capacity/large", "99999999999999999999999999"},
    {"ibis/capacity/sign", "-1"},
    {"ibis/capacity/" LONG_NAME, "5"},
    {"ibis/capacity/" LONG_NAME "2", "5"},
    {"ibis/other/a", "x"},
    {"ibis/", "x"},
};

static void
put_all(const struct odd_entry *entries, size_t count)
{
	for (size_t i = 0; i < count; i++)
		users_put_entry(platform, entries[i].key, entries[i].text,
		    strlen(entries[i].text));
}

/* Writes a worker's entry with lists nested in its labels. */
static void
put_nested_worker(void)
{
	CLEANUP(buffer_free) struct buffer text = {0};

	buffer_puts(&text, "{\"Service\":\"s\",\"Labels\":");
	for (int i = 0; i < NESTED_LISTS; i++)
		buffer_puts(&text, "[");
	for (int i = 0; i < NESTED_LISTS; i++)
		buffer_puts(&text, "]");
	buffer_puts(&text, "}");
	users_put_entry(platform, "servers/nested", text.data, text.length);
}

static void
open_platform(void)
{
	(void)setenv("UBSAN_OPTIONS", "halt_on_error=1", 1);
	platform = users_platform_start();
	CU_ASSERT_PTR_NOT_NULL_FATAL(platform);
}

static void
start_all(void)
{
	CU_ASSERT_TRUE(users_start_all(platform));
}

static void
expect_jobs_complete(uint32_t first, uint32_t instance)
{
	for (uint32_t i = 0; i < JOBS; i++)
		CU_ASSERT_EQUAL(
		    users_submit(platform, instance, first + i, TASKS), 200);
	for (uint32_t i = 0; i < JOBS; i++)
		CU_ASSERT_TRUE(users_wait_completed(
		    platform, instance, first + i, FINISH_MS));
}

static void
expect_all_run(void)
{
	for (uint32_t i = 0; i < USERS_INSTANCES; i++)
		CU_ASSERT_FALSE(process_has_ended(users_instance(platform, i)));
}

/* The lead is killed and starts again, so that all entries are read anew. */
static void
restart_lead(void)
{
	int lead = users_lead_index(platform);

	CU_ASSERT_TRUE(lead >= 0);
	if (lead < 0)
		return;
	process_kill(users_instance(platform, (uint32_t)lead));
	CU_ASSERT_TRUE(users_wait_lead(platform, lead, TAKEOVER_MS));
	CU_ASSERT_TRUE(users_start_no_wait(platform, (uint32_t)lead));
	CU_ASSERT_TRUE(users_wait_ready(platform, START_MS));
}

static void
close_platform(void)
{
	expect_all_run();
	CU_ASSERT_EQUAL(users_duplicate_starts(platform), 0);
	users_platform_stop(platform);
}

/* Guards against odd entries among the workers' in the listing that a lead
 * reads, also after a restart: instances that end, or that don't use the good
 * workers. */
static void
test_odd_workers_in_a_listing(void)
{
	open_platform();
	put_nested_worker();
	put_all(odd_workers, COUNT_OF(odd_workers));
	start_all();
	expect_jobs_complete(1, 0);
	process_sleep(SEEN_MS);
	restart_lead();
	expect_jobs_complete(100, 1);
	close_platform();
}

/* Guards against the same entries when a lead's watch shows them. */
static void
test_odd_workers_by_watch(void)
{
	open_platform();
	start_all();
	put_nested_worker();
	put_all(odd_workers, COUNT_OF(odd_workers));
	process_sleep(SEEN_MS);
	expect_jobs_complete(1, 0);
	close_platform();
}

/* Guards against odd entries of instances, which peers call. */
static void
test_odd_instances(void)
{
	open_platform();
	put_all(odd_instances, COUNT_OF(odd_instances) / 2);
	start_all();
	put_all(odd_instances, COUNT_OF(odd_instances));
	process_sleep(SEEN_MS);
	expect_jobs_complete(1, 0);
	restart_lead();
	expect_jobs_complete(100, 1);
	close_platform();
}

/* Guards against a lead's key that no instance holds and that never expires: no
 * instance led from then on. */
static void
test_odd_lead_key(void)
{
	open_platform();
	users_put_entry(platform, AGENT_LEAD_KEY, "\xff", 1);
	start_all();
	expect_jobs_complete(1, 0);
	users_put_entry(platform, AGENT_LEAD_KEY, "", 0);
	expect_jobs_complete(100, 1);
	users_put_entry(platform, AGENT_LEAD_KEY, "i0", 2);
	expect_jobs_complete(200, 2);
	close_platform();
}

static void
put_message(const char *prefix, const char *id, const ProtobufCMessage *message)
{
	CLEANUP(buffer_free) struct buffer packed = {0};
	char key[PLATFORM_KEY_BYTES];

	(void)snprintf(key, sizeof(key), "%s%s", prefix, id);
	proto_pack(message, &packed);
	users_put_entry(platform, key, packed.data, packed.length);
}

/* Writes a job with one step. */
static void
put_job(const char *id, const Ibis__JobStep *step)
{
	Ibis__JobStep copy = *step;
	Ibis__JobStep *steps[] = {&copy};
	Ibis__StepJob job = IBIS__STEP_JOB__INIT;

	job.service = "s";
	job.route = "r";
	job.steps = steps;
	job.n_steps = 1;
	put_message(AGENT_JOB_PREFIX, id, &job.base);
}

static void
put_odd_jobs(void)
{
	Ibis__StepJob no_steps = IBIS__STEP_JOB__INIT;
	Ibis__JobStep step = IBIS__JOB_STEP__INIT;
	uint32_t later_steps[] = {1000000};

	put_message(AGENT_JOB_PREFIX, "a000000000000001", &no_steps.base);
	put_job("a000000000000002", &step); /* no tasks */
	step.tasks = UINT32_MAX;
	put_job("a000000000000003", &step);
	step.tasks = 2;
	step.accelerators = INT64_MAX;
	step.cpu_milli = INT64_MAX;
	put_job("a000000000000004", &step);
	put_job("a000000000000005", &step);
	step.cpu_milli = -1;
	put_job("a000000000000006", &step);
	step.accelerators = 1;
	step.cpu_milli = 100;
	step.after = later_steps;
	step.n_after = 1;
	put_job("a000000000000007", &step);
	users_put_entry(
	    platform, AGENT_JOB_PREFIX "a000000000000008", "\xff\xff\xff", 3);
	users_put_entry(platform, AGENT_JOB_PREFIX "not.a.job", "\x0a\x01r", 3);
	users_put_entry(platform, AGENT_JOB_PREFIX LONG_NAME, "", 0);
	users_put_entry(platform, AGENT_CANCEL_PREFIX LONG_NAME, "", 0);
	users_put_entry(platform, AGENT_CANCEL_PREFIX "x", "", 0);
}

/* Writes the progress of a job of one task: its occurrences and tasks are
 * listed twice. */
static void
put_doubled_progress(const char *id, uint32_t occurrence_number,
    uint32_t task_number, const char *worker)
{
	Ibis__TaskProgress task = IBIS__TASK_PROGRESS__INIT;
	Ibis__TaskProgress *tasks[] = {&task, &task};
	Ibis__OccurrenceProgress occurrence = IBIS__OCCURRENCE_PROGRESS__INIT;
	Ibis__OccurrenceProgress *occurrences[] = {&occurrence, &occurrence};
	Ibis__JobProgress progress = IBIS__JOB_PROGRESS__INIT;
	Ibis__JobStep step = IBIS__JOB_STEP__INIT;

	step.tasks = 1;
	step.accelerators = 1;
	put_job(id, &step);
	task.number = task_number;
	task.run = UINT64_MAX;
	task.worker = (char *)worker;
	task.incarnation_wall_ms = INT64_MAX;
	occurrence.number = occurrence_number;
	occurrence.tasks = tasks;
	occurrence.n_tasks = 2;
	progress.phase = IBIS__STEP_JOB_PHASE__PHASE_RUNNING;
	progress.occurrences = occurrences;
	progress.n_occurrences = 2;
	put_message(AGENT_PROGRESS_PREFIX, id, &progress.base);
}

static void
put_odd_progress(void)
{
	Ibis__JobProgress progress = IBIS__JOB_PROGRESS__INIT;

	put_doubled_progress("b000000000000001", 0, 0, "w0");
	put_doubled_progress("b000000000000002", UINT32_MAX, 0, "w1");
	put_doubled_progress("b000000000000003", 0, UINT32_MAX, LONG_NAME);
	progress.phase = (Ibis__StepJobPhase)1000;
	progress.finished = UINT32_MAX;
	progress.ended_wall_ms = INT64_MIN;
	put_message(AGENT_PROGRESS_PREFIX, "b000000000000004", &progress.base);
}

/* Guards against odd records of jobs and of their progress: each lead ended, or
 * tasks were started twice. */
static void
test_odd_jobs(void)
{
	open_platform();
	put_odd_jobs();
	start_all();
	expect_jobs_complete(1, 0);
	put_odd_progress();
	process_sleep(SEEN_MS);
	expect_jobs_complete(100, 0);
	restart_lead();
	expect_jobs_complete(200, 1);
	close_platform();
}

/* Guards against odd rows in the reports of workers: an end with a number that
 * is too large hid all later ends, so that tasks that were done ran again. */
static void
test_odd_rows_of_reports(void)
{
	open_platform();
	users_set_odd_rows(platform,
	    "[\"0000000000000001.0.0.0\"," LARGEST ",\"\"," LARGEST ",0],"
	    "[\"x.4294967296.0.0\",1,\"\",0,0],[[[[[[[[[[1]]]]]]]]]],7,"
	    "[\"0000000000000001.0.0.99999\",-1,\"\",-" LARGEST ",0],",
	    "[" LARGEST ",\"0000000000000001.0.0.1\"," LARGEST
	    ",\"done\",\"\"],[99999999999999999999,\"x.0.0.0\",1,\"done\",\"\"]"
	    ",[-5,\"0000000000000001.0.0.2\",1,\"done\",\"\"],[],");
	start_all();
	expect_jobs_complete(1, 0);
	restart_lead();
	expect_jobs_complete(100, 1);
	close_platform();
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"odd workers in a listing", test_odd_workers_in_a_listing},
	    {"odd workers by watch", test_odd_workers_by_watch},
	    {"odd instances", test_odd_instances},
	    {"odd lead key", test_odd_lead_key},
	    {"odd jobs", test_odd_jobs},
	    {"odd rows of reports", test_odd_rows_of_reports},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("odd entries", tests);
}
