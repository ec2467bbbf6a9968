/* Tests of taking over the lead, with a simulated store. */
#include <ne_string.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "agent/agent_state.h"
#include "common_agent.h"
#include "common_cunit.h"
#include "connection/address.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/proto_memory.h"

#define STATUS_OK		   200
#define STATUS_PRECONDITION_FAILED 412
#define JOB_ID			   "0123456789abcdef"
#define NEW_JOB_ID		   "0123456789abcd00"
/* Longer than a lead grants leases and leads without an answer of the store. */
#define STUCK_WATCH_MS 20000
/* Longer than a worker's lease, the pause between two watches of workers, and
 * the timeout of a poll. */
#define LEASE_END_MS	20000
#define WORKER_PAUSE_MS 500
/* Longer than the pause before the next attempt to lead. */
#define RETRY_MS    500
#define POLL_END_MS 1200
/* Times after which an idle worker is not polled yet, and polled again. */
#define OFTEN_MS  20000
#define RARELY_MS 60000
#define IDLE_REPORT \
	"{\"ClockMs\":1000,\"born\":1,\"Running\":[],\"EndedRuns\":[]}"
/* The listing has run 1 of this task. */
#define UNRECORDED_END_REPORT                                \
	"{\"ClockMs\":1000,\"born\":1,\"Running\":[],"       \
	"\"EndedRuns\":[[1,\"" JOB_ID ".0.0.0\",2,\"done\"," \
	"\"\"]]}"
#define MAX_REQUEST_BYTES 4096
#define CONFIG_APPLY_MS	  3000

/* Builds the answer to a listing of the store, in key order: a completed job's
 * record, this instance's lead key and the job's progress. */
static void
build_listing(struct buffer *body)
{
	CLEANUP(buffer_free) struct buffer items = {0};
	Ibis__TaskProgress task = IBIS__TASK_PROGRESS__INIT;
	Ibis__TaskProgress *tasks[] = {&task};
	Ibis__OccurrenceProgress occurrence = IBIS__OCCURRENCE_PROGRESS__INIT;
	Ibis__OccurrenceProgress *occurrences[] = {&occurrence};
	Ibis__JobProgress progress = IBIS__JOB_PROGRESS__INIT;

	task.run = 1;
	task.done = true;
	occurrence.tasks = tasks;
	occurrence.n_tasks = 1;
	progress.phase = IBIS__STEP_JOB_PHASE__PHASE_COMPLETED;
	progress.occurrences = occurrences;
	progress.n_occurrences = 1;
	append_store_job(&items, JOB_ID, 40);
	append_store_item(&items, AGENT_LEAD_KEY, "i1", 2, AGENT_FIXTURE_EPOCH,
	    AGENT_FIXTURE_LEASE);
	append_store_message(
	    &items, AGENT_PROGRESS_PREFIX JOB_ID, &progress.base, 45);
	buffer_printf(body, "{\"items\":[%s],\"HasMore\":false,\"At\":60}",
	    buffer_string(&items));
}

/* Makes the instance lead a store with a completed job. */
static void
lead_completed_job(struct agent_fixture *fixture)
{
	CLEANUP(buffer_free) struct buffer listing = {0};

	build_listing(&listing);
	become_lead(fixture, buffer_string(&listing));
}

/* Guards against a new lead that takes over without the progress of jobs. The
 * store had compacted its history during a handover, so the new lead saw the
 * lead key in a listing, where it precedes the progress records. */
static void
test_new_lead_takes_over_with_a_complete_listing(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;
	const struct fleet_job *job;

	open_agent_fixture(&fixture);
	lead_completed_job(&fixture);
	CU_ASSERT_EQUAL(fixture.agent.lead.epoch, AGENT_FIXTURE_EPOCH);
	job = fleet_find_job(fixture.agent.fleet, JOB_ID);
	CU_ASSERT_PTR_NOT_NULL_FATAL(job);
	CU_ASSERT_EQUAL(
	    fleet_job_phase(job), IBIS__STEP_JOB_PHASE__PHASE_COMPLETED);
}

/* Guards against leases that outlive the next lead's bound for them: after a
 * handover, a lead whose watch was stuck went on granting leases, since its own
 * lease still lived and its renewals succeeded. */
static void
test_renewals_without_a_watch_grant_no_leases(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;
	struct agent *agent = &fixture.agent;
	int64_t now_ms = clock_now_ms();

	open_agent_fixture(&fixture);
	lead_completed_job(&fixture);
	CU_ASSERT_EQUAL(agent_lead_grant_start_ms(agent, now_ms), now_ms);
	agent->lead.renewed_ms = now_ms + STUCK_WATCH_MS;
	CU_ASSERT_TRUE(agent_lead_grant_start_ms(agent,
			   now_ms + STUCK_WATCH_MS) < now_ms + STUCK_WATCH_MS);
	agent->lead.renewals_in_flight = UINT32_MAX;
	agent_lead_step(agent, now_ms + STUCK_WATCH_MS);
	CU_ASSERT_NOT_EQUAL(agent->lead.state, AGENT_LEADING);
}

static void
test_lead_steps_down_when_its_key_changes(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;

	open_agent_fixture(&fixture);
	lead_completed_job(&fixture);
	agent_view_step(&fixture.agent, clock_now_ms());
	answer_store(&fixture, "Prefix=ibis",
	    "{\"events\":[{\"Key\":\"ibis/lead\",\"Revision\":61,"
	    "\"Deleted\":true}],\"At\":61}");
	agent_lead_step(&fixture.agent, clock_now_ms());
	CU_ASSERT_NOT_EQUAL(fixture.agent.lead.state, AGENT_LEADING);
	CU_ASSERT_PTR_NULL(fixture.agent.fleet);
}

/* Guards against a start after a run has ended: pages of a listing are read at
 * different times, so a new lead lacked a job that was accepted after the first
 * page, and acknowledged the end of its run without recording it. */
static void
test_new_lead_waits_for_changes_during_the_listing(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;
	CLEANUP(buffer_free) struct buffer lead = {0};
	CLEANUP(buffer_free) struct buffer second_page = {0};
	CLEANUP(buffer_free) struct buffer job = {0};
	CLEANUP(buffer_free) struct buffer events = {0};
	struct agent *agent = &fixture.agent;

	open_agent_fixture(&fixture);
	await_lead_key(agent);
	agent_view_step(agent, clock_now_ms());
	answer_store(&fixture, "Prefix=ibis",
	    "{\"items\":[{\"Key\":\"ibis/instance/i1\",\"Value\":\"\","
	    "\"Revision\":9}],\"HasMore\":true,\"At\":50}");
	append_store_item(&lead, AGENT_LEAD_KEY, "i1", 2, AGENT_FIXTURE_EPOCH,
	    AGENT_FIXTURE_LEASE);
	buffer_printf(&second_page,
	    "{\"items\":[%s],\"HasMore\":false,\"At\":52}",
	    buffer_string(&lead));
	agent_view_step(agent, clock_now_ms());
	answer_store(
	    &fixture, "kv-range?Prefix=ibis", buffer_string(&second_page));
	agent_lead_step(agent, clock_now_ms());
	CU_ASSERT_NOT_EQUAL(agent->lead.state, AGENT_LEADING);
	append_store_job(&job, NEW_JOB_ID, 51);
	buffer_printf(
	    &events, "{\"events\":[%s],\"At\":52}", buffer_string(&job));
	agent_view_step(agent, clock_now_ms());
	answer_store(&fixture, "kv-watch?Prefix=ibis", buffer_string(&events));
	agent_lead_step(agent, clock_now_ms());
	CU_ASSERT_EQUAL_FATAL(agent->lead.state, AGENT_LEADING);
	CU_ASSERT_PTR_NOT_NULL(fleet_find_job(agent->fleet, NEW_JOB_ID));
}

/* Answers the watch of records with a job without progress that has been
 * cancelled, so that the lead writes its progress. */
static void
cancel_new_job(struct agent_fixture *fixture)
{
	CLEANUP(buffer_free) struct buffer items = {0};
	CLEANUP(buffer_free) struct buffer events = {0};

	append_store_job(&items, NEW_JOB_ID, 61);
	append_store_item(&items, AGENT_CANCEL_PREFIX NEW_JOB_ID, "", 0, 62, 0);
	buffer_printf(
	    &events, "{\"events\":[%s],\"At\":62}", buffer_string(&items));
	agent_view_step(&fixture->agent, clock_now_ms());
	answer_store(fixture, "kv-watch?Prefix=ibis", buffer_string(&events));
}

/* Guards against two runs of one task: a lead that had missed a record of an
 * earlier lead's placement overwrote it after the conflict and placed the task
 * again. */
static void
test_lead_reloads_after_a_conflict_with_an_unread_record(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;
	CLEANUP(buffer_free) struct buffer items = {0};
	CLEANUP(buffer_free) struct buffer conflict = {0};
	struct agent *agent = &fixture.agent;
	int64_t now_ms = clock_now_ms();

	open_agent_fixture(&fixture);
	lead_completed_job(&fixture);
	cancel_new_job(&fixture);
	agent_view_step(agent, now_ms);
	agent_records_step(agent, now_ms);
	append_store_item(&items, AGENT_LEAD_KEY, "i1", 2, AGENT_FIXTURE_EPOCH,
	    AGENT_FIXTURE_LEASE);
	append_store_item(
	    &items, AGENT_PROGRESS_PREFIX NEW_JOB_ID, "x", 1, 50, 0);
	buffer_printf(&conflict, "{\"items\":[%s]}", buffer_string(&items));
	answer_store_status(&fixture, "kv-txn", STATUS_PRECONDITION_FAILED,
	    buffer_string(&conflict));
	agent_records_step(agent, now_ms);
	CU_ASSERT_EQUAL(count_unanswered(&fixture, "kv-txn"), 0);
	CU_ASSERT_NOT_EQUAL(agent->lead.state, AGENT_LEADING);
	agent_view_step(agent, now_ms);
	CU_ASSERT_EQUAL(count_unanswered(&fixture, "kv-range?Prefix=ibis"), 1);
}

/* Guards against two runs of one task: a job whose progress can't be read was
 * treated as one that had never run. */
static void
test_job_with_unreadable_progress_is_not_run(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;
	CLEANUP(buffer_free) struct buffer items = {0};
	CLEANUP(buffer_free) struct buffer listing = {0};
	struct agent *agent = &fixture.agent;

	open_agent_fixture(&fixture);
	await_lead_key(agent);
	agent_view_step(agent, clock_now_ms());
	append_store_job(&items, JOB_ID, 40);
	append_store_item(&items, AGENT_LEAD_KEY, "i1", 2, AGENT_FIXTURE_EPOCH,
	    AGENT_FIXTURE_LEASE);
	append_store_item(
	    &items, AGENT_PROGRESS_PREFIX JOB_ID, "\xff", 1, 45, 0);
	buffer_printf(&listing, "{\"items\":[%s],\"HasMore\":false,\"At\":60}",
	    buffer_string(&items));
	answer_store(&fixture, "Prefix=ibis", buffer_string(&listing));
	agent_lead_step(agent, clock_now_ms());
	CU_ASSERT_EQUAL_FATAL(agent->lead.state, AGENT_LEADING);
	CU_ASSERT_PTR_NULL(fleet_find_job(agent->fleet, JOB_ID));
}

/* Guards against progress that doesn't fit its job and is read before it: it
 * was applied to tasks that the job doesn't have. */
static void
test_odd_progress_before_its_job_is_not_applied(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;
	CLEANUP(buffer_free) struct buffer packed = {0};
	CLEANUP(buffer_free) struct buffer record = {0};
	Ibis__JobProgress progress = IBIS__JOB_PROGRESS__INIT;
	struct platform_store_item item = {
	    .key = AGENT_PROGRESS_PREFIX NEW_JOB_ID, .revision = 60};
	struct agent *agent = &fixture.agent;

	open_agent_fixture(&fixture);
	lead_completed_job(&fixture);
	progress.finished = 5; /* occurrences of one */
	proto_pack(&progress.base, &packed);
	item.value = packed.data;
	item.value_length = packed.length;
	agent_watch_apply(agent->records_watch, &item);
	pack_store_job(&record);
	agent_view_add_job(agent, NEW_JOB_ID, 61, record.data, record.length);
	CU_ASSERT_PTR_NULL(fleet_find_job(agent->fleet, NEW_JOB_ID));
	CU_ASSERT_PTR_NOT_NULL(agent_view_job(agent, NEW_JOB_ID)->spec);
}

/* Reports the worker to the lead as listed at an address, or as deleted. */
static void
change_worker(
    struct agent_fixture *fixture, const char *address, uint64_t revision)
{
	CLEANUP(buffer_free) struct buffer entry = {0};
	CLEANUP(buffer_free) struct buffer item = {0};
	CLEANUP(buffer_free) struct buffer events = {0};

	if (address == NULL) {
		buffer_printf(&item,
		    "{\"Key\":\"servers/w\",\"Revision\":%llu,"
		    "\"Deleted\":true}",
		    (unsigned long long)revision);
	} else {
		buffer_printf(&entry,
		    "{\"Service\":\"s\",\"Address\":\"%s\",\"Zone\":\"z\","
		    "\"State\":\"ready\",\"Capacity\":{\"Cpu\":1000,"
		    "\"MemMb\":1000,\"Gpus\":0}}",
		    address);
		append_store_item(&item, "servers/w", buffer_string(&entry),
		    entry.length, revision, 0);
	}
	buffer_printf(&events, "{\"events\":[%s],\"At\":%llu}",
	    buffer_string(&item), (unsigned long long)revision);
	answer_store(fixture, "Prefix=servers", buffer_string(&events));
}

/* Makes the instance lead, and lets it see a worker and poll it. */
static void
lead_with_worker(struct agent_fixture *fixture, const char *address)
{
	struct agent *agent = &fixture->agent;
	struct ibis_status status = {0};

	open_agent_fixture(fixture);
	agent->pool = http_pool_new(&status);
	lead_completed_job(fixture);
	agent_workers_step(agent, clock_now_ms());
	answer_store(fixture, "Prefix=servers", "{\"items\":[],\"At\":60}");
	agent_workers_step(agent, clock_now_ms());
	change_worker(fixture, address, 70);
	agent_workers_step(agent, clock_now_ms());
}

/* Returns the state of polling the worker; an empty one if there is none. */
static const struct agent_worker *
get_worker(const struct agent *agent)
{
	static const struct agent_worker none;
	const struct agent_worker *worker =
	    name_index_get(&agent->workers, "w");

	CU_ASSERT_PTR_NOT_NULL(worker);
	return worker == NULL ? &none : worker;
}

/* Runs the pool until a poll that has no answer has timed out. */
static void
wait_for_poll_timeout(const struct agent *agent)
{
	int64_t end_ms = clock_now_ms() + POLL_END_MS;

	while (clock_now_ms() < end_ms)
		http_pool_wait(agent->pool, 1);
}

/* Answers the next poll on a new connection. */
static void
answer_poll(const struct agent *agent, int listener, const char *report)
{
	char request[MAX_REQUEST_BYTES];
	struct pollfd watched = {.fd = listener, .events = POLLIN};
	int fd;

	while (poll(&watched, 1, 0) == 0)
		http_pool_wait(agent->pool, 1);
	fd = accept(listener, NULL, NULL);
	CU_ASSERT_TRUE_FATAL(fd >= 0);
	watched.fd = fd;
	while (poll(&watched, 1, 0) == 0)
		http_pool_wait(agent->pool, 1);
	CU_ASSERT_TRUE(read(fd, request, sizeof(request)) > 0);
	(void)dprintf(fd, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
	    strlen(report), report);
	(void)close(fd);
	while (agent->fleet != NULL &&
	    !fleet_worker_answers(fleet_find_worker(agent->fleet, "w")))
		http_pool_wait(agent->pool, 1);
}

/* Guards against starts that are refused as late: the estimate of an idle
 * worker's clock falls behind with the time since its last answer. */
static void
test_idle_worker_is_polled_rarely(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;
	struct agent *agent = &fixture.agent;
	struct ibis_status status = {0};
	char address[ADDRESS_TEXT_BYTES];
	int listener = address_listen("127.0.0.1:0", 1, &status);
	const struct agent_worker *worker;
	int64_t sent_ms;

	CU_ASSERT_TRUE_FATAL(listener >= 0);
	address_of_socket(listener, address);
	lead_with_worker(&fixture, address);
	answer_poll(agent, listener, IDLE_REPORT);
	worker = get_worker(agent);
	CU_ASSERT_FALSE(worker->poll_in_flight);
	sent_ms = worker->poll_sent_ms;
	agent_workers_step(agent, sent_ms + OFTEN_MS);
	CU_ASSERT_FALSE(worker->poll_in_flight);
	agent_workers_step(agent, sent_ms + RARELY_MS);
	CU_ASSERT_TRUE(worker->poll_in_flight);
	wait_for_poll_timeout(agent);
	http_pool_free(agent->pool);
	(void)close(listener);
}

/* Guards against a start after a run has ended: a lead that had missed the
 * record of a run ignored its end and acknowledged it. */
static void
test_run_without_a_record_makes_the_lead_reload(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;
	struct agent *agent = &fixture.agent;
	struct ibis_status status = {0};
	char address[ADDRESS_TEXT_BYTES];
	int listener = address_listen("127.0.0.1:0", 1, &status);

	CU_ASSERT_TRUE_FATAL(listener >= 0);
	address_of_socket(listener, address);
	lead_with_worker(&fixture, address);
	answer_poll(agent, listener, UNRECORDED_END_REPORT);
	CU_ASSERT_NOT_EQUAL(agent->lead.state, AGENT_LEADING);
	agent_view_step(agent, clock_now_ms());
	CU_ASSERT_EQUAL(count_unanswered(&fixture, "kv-range?Prefix=ibis"), 1);
	http_pool_free(agent->pool);
	(void)close(listener);
}

/* Guards against workers that are never used again: one that was removed while
 * a poll of it was in flight was not polled when its entry returned. */
static void
test_returning_worker_is_polled(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;
	struct agent *agent = &fixture.agent;
	struct ibis_status status = {0};
	char address[ADDRESS_TEXT_BYTES];
	int listener = address_listen("127.0.0.1:0", 1, &status);
	const struct agent_worker *worker;
	int64_t now_ms;

	CU_ASSERT_TRUE_FATAL(listener >= 0);
	address_of_socket(listener, address);
	lead_with_worker(&fixture, address);
	agent_workers_step(agent, clock_now_ms() + WORKER_PAUSE_MS);
	change_worker(&fixture, NULL, 71);
	agent_workers_decide(agent, clock_now_ms() + LEASE_END_MS);
	CU_ASSERT_PTR_NULL(fleet_find_worker(agent->fleet, "w"));
	wait_for_poll_timeout(agent);
	agent_workers_step(agent, clock_now_ms() + WORKER_PAUSE_MS);
	change_worker(&fixture, address, 72);
	now_ms = clock_now_ms() + LEASE_END_MS;
	agent_workers_step(agent, now_ms);
	worker = get_worker(agent);
	CU_ASSERT_EQUAL(worker->poll_sent_ms, now_ms);
	wait_for_poll_timeout(agent);
	http_pool_free(agent->pool);
	(void)close(listener);
}

/* Guards against a lead key that never expires: an answer without a lease
 * counted as lease 0, which binds a key to none. */
static void
test_answer_without_a_lease_is_a_failed_try(void)
{
	static const char *const bodies[] = {"", "{}", "{\"Lease\":0}"};

	for (size_t i = 0; i < COUNT_OF(bodies); i++) {
		CLEANUP(close_agent_fixture) struct agent_fixture fixture;

		open_agent_fixture(&fixture);
		agent_lead_request(&fixture.agent, 0);
		answer_store(&fixture, "kv-lease", bodies[i]);
		CU_ASSERT_EQUAL(count_unanswered(&fixture, "kv-txn"), 0);
		CU_ASSERT_EQUAL(fixture.agent.lead.state, AGENT_FOLLOWING);
		CU_ASSERT_TRUE(fixture.agent.lead.next_try_ms > clock_now_ms());
	}
}

static void
test_lead_key_is_requested_with_its_lease(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;

	open_agent_fixture(&fixture);
	agent_lead_request(&fixture.agent, 0);
	answer_store(&fixture, "kv-lease", "{\"Lease\":77,\"TtlMs\":1000}");
	CU_ASSERT_EQUAL(count_unanswered(&fixture, "kv-txn"), 1);
	CU_ASSERT_EQUAL(fixture.agent.lead.lease, AGENT_FIXTURE_LEASE);
}

/* Lets the instance read a configuration, so that it may lead. */
static void
use_configuration(struct agent_fixture *fixture)
{
	static const char config[] = "{\"Version\":1,\"Routes\":[]}";
	CLEANUP(buffer_free) struct buffer items = {0};
	CLEANUP(buffer_free) struct buffer listing = {0};

	append_store_item(
	    &items, PLATFORM_CONFIG_KEY, config, strlen(config), 5, 0);
	buffer_printf(&listing, "{\"items\":[%s],\"HasMore\":false,\"At\":70}",
	    buffer_string(&items));
	agent_config_step(&fixture->agent, clock_now_ms());
	answer_store(fixture, "Prefix=op", buffer_string(&listing));
}

/* Guards against a lead's key that another writer left without a lease: it
 * never expires, and nobody led from then on. */
static void
test_key_without_a_lease_is_replaced(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;
	CLEANUP(buffer_free) struct buffer items = {0};
	CLEANUP(buffer_free) struct buffer events = {0};
	struct agent *agent = &fixture.agent;

	open_agent_fixture(&fixture);
	lead_completed_job(&fixture);
	append_store_item(&items, AGENT_LEAD_KEY, "", 0, 70, 0);
	buffer_printf(
	    &events, "{\"events\":[%s],\"At\":70}", buffer_string(&items));
	agent_view_step(agent, clock_now_ms());
	answer_store(&fixture, "kv-watch", buffer_string(&events));
	agent_lead_step(agent, clock_now_ms());
	CU_ASSERT_EQUAL(agent->lead.state, AGENT_FOLLOWING);
	use_configuration(&fixture);
	agent_lead_step(agent, clock_now_ms() + RETRY_MS);
	answer_store(&fixture, "kv-lease", "{\"Lease\":78,\"TtlMs\":1000}");
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(fixture.calls[fixture.count - 1].body, "\"Revision\":70"));
}

/* Makes records of this many jobs due. */
static void
add_dirty_jobs(struct agent_fixture *fixture, int count)
{
	CLEANUP(buffer_free) struct buffer packed = {0};
	struct agent *agent = &fixture->agent;

	pack_store_job(&packed);
	for (int i = 0; i < count; i++) {
		char id[FLEET_ID_BYTES];

		(void)snprintf(id, sizeof(id), "%016x", i);
		agent_view_add_job(agent, id, 50, packed.data, packed.length);
		fleet_cancel_job(agent->fleet, fleet_find_job(agent->fleet, id),
		    clock_now_ms());
	}
}

/* Guards against records that queue behind each other in a slow store: one
 * write of 15 jobs was in flight at a time, so that placements and ends of
 * further jobs waited for as many answers as there were writes before them. */
static void
test_records_are_written_beside_each_other(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;
	struct agent *agent = &fixture.agent;
	int64_t now_ms = clock_now_ms();

	open_agent_fixture(&fixture);
	lead_completed_job(&fixture);
	agent->next_removal_ms = INT64_MAX;
	add_dirty_jobs(&fixture, 40);
	agent_records_step(agent, now_ms);
	CU_ASSERT_EQUAL(count_unanswered(&fixture, "kv-txn"), 2);
	agent_records_step(agent, now_ms + 1000);
	CU_ASSERT_EQUAL(count_unanswered(&fixture, "kv-txn"), 3);
	agent_records_step(agent, now_ms + 2000);
	CU_ASSERT_EQUAL(count_unanswered(&fixture, "kv-txn"), 3);
	answer_store(&fixture, "kv-txn", "{\"Revision\":70}");
	answer_store(&fixture, "kv-txn", "{\"Revision\":71}");
	answer_store(&fixture, "kv-txn", "{\"Revision\":72}");
	CU_ASSERT_EQUAL(agent->lead.state, AGENT_LEADING);
	CU_ASSERT_FALSE(fleet_has_unrecorded(agent->fleet, 1));
}

/* Guards against writes of a lead that has stepped down: answers to several of
 * them come late. */
static void
test_late_answers_to_records_are_ignored(void)
{
	CLEANUP(close_agent_fixture) struct agent_fixture fixture;
	struct agent *agent = &fixture.agent;

	open_agent_fixture(&fixture);
	lead_completed_job(&fixture);
	agent->next_removal_ms = INT64_MAX;
	add_dirty_jobs(&fixture, 40);
	agent_records_step(agent, clock_now_ms());
	agent_lead_step_down(agent, "test");
	answer_store(&fixture, "kv-txn", "{\"Revision\":70}");
	answer_store(&fixture, "kv-txn", "{\"Revision\":71}");
	CU_ASSERT_EQUAL(agent->lead.state, AGENT_FOLLOWING);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"new lead takes over with a complete listing",
		test_new_lead_takes_over_with_a_complete_listing},
	    {"new lead waits for changes during the listing",
		test_new_lead_waits_for_changes_during_the_listing},
	    {"renewals without a watch grant no leases",
		test_renewals_without_a_watch_grant_no_leases},
	    {"lead steps down when its key changes",
		test_lead_steps_down_when_its_key_changes},
	    {"idle worker is polled rarely", test_idle_worker_is_polled_rarely},
	    {"returning worker is polled", test_returning_worker_is_polled},
	    {"run without a record makes the lead reload",
		test_run_without_a_record_makes_the_lead_reload},
	    {"job with unreadable progress is not run",
		test_job_with_unreadable_progress_is_not_run},
	    {"odd progress before its job is not applied",
		test_odd_progress_before_its_job_is_not_applied},
	    {"lead reloads after a conflict with an unread record",
		test_lead_reloads_after_a_conflict_with_an_unread_record},
	    {"answer without a lease is a failed try",
		test_answer_without_a_lease_is_a_failed_try},
	    {"lead key is requested with its lease",
		test_lead_key_is_requested_with_its_lease},
	    {"key without a lease is replaced",
		test_key_without_a_lease_is_replaced},
	    {"records are written beside each other",
		test_records_are_written_beside_each_other},
	    {"late answers to records are ignored",
		test_late_answers_to_records_are_ignored},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("agent_lead", tests);
}
