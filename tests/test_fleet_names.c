/* Tests of services, labels, racks, zones and workspaces with long names: they
 * are compared whole. */
#include <string.h>

#include "common_cunit.h"
#include "fleet/fleet_model.h"
#include "platform.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define START_MS 1000000
#define JOB	 "00000000000000aa"
#define FIFTY	 "123456789-123456789-123456789-123456789-123456789-"
/* The first 63 bytes of a longer name, and two longer ones. */
#define CUT_NAME   FIFTY "123456789-123"
#define LONG_NAME  FIFTY "123456789-123456789-a"
#define OTHER_NAME FIFTY "123456789-123456789-b"

/* A fleet with one worker, whose names are long. */
static struct fleet *
open_fleet(void)
{
	static const char first[] = LONG_NAME;
	static const char *const labels[] = {
	    first, "r", "c", "d", "e", "f", "g", "h", "i", "ninth"};
	struct fleet_config config = {
	    .lease_ms = 6000, .max_lease_ms = 6000, .remote_factor = 3};
	struct fleet_worker_entry entry = {
	    .id = LONG_NAME,
	    .service = LONG_NAME,
	    .address = "10.0.0.1:80",
	    .zone = LONG_NAME,
	    .rack = LONG_NAME,
	    .labels = labels,
	    .labels_count = COUNT_OF(labels),
	    .resources = {1000, 1000, 8},
	};
	struct fleet_report report = {.incarnation_wall_ms = 1,
	    .sent_ms = START_MS,
	    .received_ms = START_MS,
	    .clock_ms = START_MS};
	struct fleet *fleet = fleet_new(&config, START_MS);
	struct fleet_worker *worker = fleet_set_worker(fleet, &entry, START_MS);
	struct fleet_poll poll = {.fence = fleet_worker_fence(worker)};

	fleet_apply_report(fleet, worker, &poll, &report, START_MS);
	return fleet;
}

static void
close_fleet(struct fleet **fleet)
{
	fleet_free(*fleet);
}

/* Adds a job of one task and decides. Returns whether it was placed. */
static bool
places(struct fleet *fleet, const char *service, const char *label)
{
	Ibis__StepJob *spec = mem_calloc(1, sizeof(*spec));
	Ibis__JobStep *step = mem_calloc(1, sizeof(*step));
	const struct fleet_order *orders;
	struct fleet_usage usage;

	ibis__step_job__init(spec);
	ibis__job_step__init(step);
	spec->steps = mem_calloc(1, sizeof(struct Ibis__JobStep *));
	spec->steps[0] = step;
	spec->n_steps = 1;
	spec->attempts = 1;
	step->tasks = 1;
	proto_set_string(&spec->service, service);
	proto_set_string(&spec->workspace, LONG_NAME);
	proto_set_string(&step->label, label);
	(void)fleet_add_job(fleet, JOB, spec, NULL, 0, START_MS);
	(void)fleet_decide(fleet, START_MS, START_MS, &orders);
	fleet_usage(fleet, &usage);
	fleet_remove_job(fleet, fleet_find_job(fleet, JOB));
	return usage.placed_tasks == 1;
}

/* Guards against a start on a worker without the label or of another service:
 * both were cut to 63 bytes, and labels after the eighth were dropped. */
static void
test_labels_and_services(void)
{
	CLEANUP(close_fleet) struct fleet *fleet = open_fleet();

	CU_ASSERT_TRUE(places(fleet, LONG_NAME, ""));
	CU_ASSERT_TRUE(places(fleet, LONG_NAME, LONG_NAME));
	CU_ASSERT_TRUE(places(fleet, LONG_NAME, "ninth"));
	CU_ASSERT_FALSE(places(fleet, LONG_NAME, CUT_NAME));
	CU_ASSERT_FALSE(places(fleet, LONG_NAME, OTHER_NAME));
	CU_ASSERT_FALSE(places(fleet, CUT_NAME, ""));
	CU_ASSERT_FALSE(places(fleet, OTHER_NAME, ""));
}

/* Guards against starts in a zone that is out of service, and against a zone
 * that is taken for another one. */
static void
test_zones(void)
{
	CLEANUP(close_fleet) struct fleet *fleet = open_fleet();

	fleet_set_zone(fleet, OTHER_NAME, false);
	fleet_set_zone(fleet, CUT_NAME, false);
	CU_ASSERT_TRUE(places(fleet, LONG_NAME, ""));
	fleet_set_zone(fleet, LONG_NAME, false);
	CU_ASSERT_FALSE(places(fleet, LONG_NAME, ""));
	fleet_set_zone(fleet, LONG_NAME, true);
	CU_ASSERT_TRUE(places(fleet, LONG_NAME, ""));
}

/* Guards against a guarantee that doesn't reach its workspace: each look for a
 * long name added a workspace with a part of it. */
static void
test_workspaces(void)
{
	CLEANUP(close_fleet) struct fleet *fleet = open_fleet();

	fleet_set_guarantee(fleet, LONG_NAME, 4);
	fleet_set_guarantee(fleet, OTHER_NAME, 5);
	fleet_set_guarantee(fleet, LONG_NAME, 6);
	(void)places(fleet, LONG_NAME, "");
	CU_ASSERT_EQUAL(fleet_workspaces_count(fleet), 2);
	CU_ASSERT_EQUAL(fleet_workspace(fleet, LONG_NAME)->guaranteed, 6);
	CU_ASSERT_EQUAL(fleet_workspace(fleet, OTHER_NAME)->guaranteed, 5);
}

#define WORKER                                                         \
	"{\"Service\":\"" LONG_NAME "\",\"Address\":\"10.0.0.9:80\","  \
	"\"Zone\":\"" LONG_NAME "\",\"State\":\"ready\",\"Capacity\":" \
	"{\"Cpu\":1,\"MemMb\":1,\"Gpus\":1},\"Labels\":[\"" OTHER_NAME \
	"\",\"" LONG_NAME "\",3,\"4\",\"5\",\"6\",\"7\",\"8\",\"9\",\"10\"]}"

/* Guards against a worker whose entry is read in part. */
static void
test_worker_entry(void)
{
	struct ibis_status status = {0};
	struct fleet_worker_entry entry;

	CU_ASSERT_TRUE_FATAL(platform_worker_parse(
	    LONG_NAME, WORKER, strlen(WORKER), &entry, &status));
	CU_ASSERT_STRING_EQUAL(entry.id, LONG_NAME);
	CU_ASSERT_STRING_EQUAL(entry.service, LONG_NAME);
	CU_ASSERT_STRING_EQUAL(entry.zone, LONG_NAME);
	CU_ASSERT_STRING_EQUAL(entry.rack, LONG_NAME);
	CU_ASSERT_EQUAL(entry.labels_count, 9);
	CU_ASSERT_STRING_EQUAL(entry.labels[0], OTHER_NAME);
	CU_ASSERT_STRING_EQUAL(entry.labels[8], "10");
	fleet_free_worker_entry(&entry);
}

/* Guards against a task that is started on a worker without its label: one of
 * 64 bytes or more, or that is no text, was dropped. */
static void
test_job_texts(void)
{
	static const char *const odd[] = {"Requires", "DataRack", "Image"};
	static const char text[] =
	    "{\"Steps\":[{\"Count\":1,\"Requires\":\"" LONG_NAME
	    "\",\"DataRack\":\"" OTHER_NAME "\",\"Image\":\"" LONG_NAME "\"}]}";
	struct ibis_status status = {0};
	Ibis__StepJob *job = platform_job_parse(text, strlen(text), &status);

	CU_ASSERT_PTR_NOT_NULL_FATAL(job);
	if (job == NULL)
		return;
	CU_ASSERT_STRING_EQUAL(job->steps[0]->label, LONG_NAME);
	CU_ASSERT_STRING_EQUAL(job->steps[0]->data_rack, OTHER_NAME);
	CU_ASSERT_STRING_EQUAL(job->steps[0]->image, LONG_NAME);
	ibis__step_job__free_unpacked(job, proto_allocator());
	for (size_t i = 0; i < COUNT_OF(odd); i++) {
		CLEANUP(buffer_free) struct buffer body = {0};

		buffer_printf(&body,
		    "{\"Steps\":[{\"Count\":1,\"%s\":\"a\\u0000\"}]}", odd[i]);
		CU_ASSERT_PTR_NULL(
		    platform_job_parse(body.data, body.length, &status));
		CU_ASSERT_PTR_NOT_NULL(strstr(status.message, odd[i]));
		buffer_clear(&body);
		buffer_printf(
		    &body, "{\"Steps\":[{\"Count\":1,\"%s\":7}]}", odd[i]);
		CU_ASSERT_PTR_NULL(
		    platform_job_parse(body.data, body.length, &status));
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"labels and services", test_labels_and_services},
	    {"zones", test_zones},
	    {"workspaces", test_workspaces},
	    {"worker entry", test_worker_entry},
	    {"job texts", test_job_texts},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("fleet_names", tests);
}
