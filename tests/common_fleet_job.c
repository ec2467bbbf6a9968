#include <stdio.h>

#include "common_cunit.h"
#include "common_fleet_job.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define ACCELERATORS 8
#define LEASE_MS     6000
#define START_MS     1000000

void
fleet_job_report_tasks(struct fleet_job_fixture *fixture, size_t worker_index,
    uint32_t first, uint32_t count, int32_t percent)
{
	struct fleet_worker *worker = fleet_find_worker(
	    fixture->fleet, fixture->entries[worker_index].id);
	struct fleet_poll poll = {.fence = fleet_worker_fence(worker)};
	struct fleet_reported_run listed[ACCELERATORS];
	struct fleet_report report = {
	    .sent_ms = fixture->now_ms,
	    .received_ms = fixture->now_ms,
	    .clock_ms = fixture->now_ms,
	    .incarnation_wall_ms = FLEET_JOB_INCARNATION,
	    .runs = listed,
	    .runs_count = count,
	};

	for (uint32_t i = 0; i < count; i++)
		listed[i] = (struct fleet_reported_run){
		    .task = {.job = FLEET_JOB_ID, .index = first + i},
		    .run = 1,
		    .checkpoint = "",
		    .percent = percent,
		};
	fleet_apply_report(
	    fixture->fleet, worker, &poll, &report, fixture->now_ms);
}

void
fleet_job_report_ends(struct fleet_job_fixture *fixture, size_t worker_index,
    const uint64_t *numbers, uint32_t count)
{
	struct fleet_worker *worker = fleet_find_worker(
	    fixture->fleet, fixture->entries[worker_index].id);
	struct fleet_poll poll = {.fence = fleet_worker_fence(worker)};
	struct fleet_reported_end listed[ACCELERATORS];
	struct fleet_report report = {
	    .sent_ms = fixture->now_ms,
	    .received_ms = fixture->now_ms,
	    .clock_ms = fixture->now_ms,
	    .incarnation_wall_ms = FLEET_JOB_INCARNATION,
	    .ends = listed,
	    .ends_count = count,
	};

	for (uint32_t i = 0; i < count; i++)
		listed[i] = (struct fleet_reported_end){
		    .number = numbers[i],
		    .task = {.job = FLEET_JOB_ID, .index = i},
		    .run = 1,
		    .outcome = FLEET_END_DONE,
		    .checkpoint = "",
		};
	fleet_apply_report(
	    fixture->fleet, worker, &poll, &report, fixture->now_ms);
}

void
fleet_job_report(
    struct fleet_job_fixture *fixture, size_t worker_index, int32_t percent)
{
	fleet_job_report_tasks(fixture, worker_index, (uint32_t)worker_index,
	    percent >= 0, percent);
}

void
fleet_job_open(struct fleet_job_fixture *fixture)
{
	static const char *const ids[FLEET_JOB_WORKERS] = {"w0", "w1", "w2"};
	struct fleet_config config = {
	    .lease_ms = LEASE_MS,
	    .max_lease_ms = LEASE_MS,
	    .remote_factor = 3,
	};

	*fixture = (struct fleet_job_fixture){
	    .now_ms = START_MS,
	    .attempts = 1,
	    .accelerators = ACCELERATORS,
	};
	fixture->fleet = fleet_new(&config, START_MS);
	for (size_t i = 0; i < FLEET_JOB_WORKERS; i++) {
		struct fleet_worker_entry *entry = &fixture->entries[i];

		*entry = (struct fleet_worker_entry){
		    .id = ids[i],
		    .service = "s",
		    .address = "10.0.0.1:80",
		    .resources = {.accelerators = ACCELERATORS},
		};
		(void)fleet_set_worker(fixture->fleet, entry, START_MS);
		fleet_job_report(fixture, i, -1);
	}
}

void
fleet_job_close(struct fleet_job_fixture *fixture)
{
	fleet_free(fixture->fleet);
}

size_t
fleet_job_decide(struct fleet_job_fixture *fixture, enum fleet_order_kind kind)
{
	const struct fleet_order *orders;
	struct fleet_job *job;
	size_t found = 0;
	size_t count;

	while ((job = fleet_take_unrecorded(fixture->fleet)) != NULL)
		fleet_record_stored(fixture->fleet, job, ++fixture->revision);
	count = fleet_decide(
	    fixture->fleet, fixture->now_ms, fixture->now_ms, &orders);
	for (size_t i = 0; i < count; i++) {
		found += orders[i].kind == kind;
		if (orders[i].kind == FLEET_START)
			fleet_handle_start_answer(fixture->fleet,
			    orders[i].worker, &orders[i].task, orders[i].run,
			    FLEET_STARTED, fixture->now_ms);
	}
	return found;
}

void
fleet_job_start(struct fleet_job_fixture *fixture, uint32_t tasks, bool gang)
{
	Ibis__StepJob *spec = mem_calloc(1, sizeof(*spec));
	Ibis__JobStep *step = mem_calloc(1, sizeof(*step));

	ibis__step_job__init(spec);
	ibis__job_step__init(step);
	spec->steps = mem_calloc(1, sizeof(struct Ibis__JobStep *));
	spec->steps[0] = step;
	spec->n_steps = 1;
	spec->attempts = fixture->attempts;
	proto_set_string(&spec->service, "s");
	step->tasks = tasks;
	step->accelerators = fixture->accelerators;
	step->gang = gang;
	step->estimate_ms = FLEET_JOB_ESTIMATE_MS;
	CU_ASSERT_PTR_NOT_NULL_FATAL(fleet_add_job(
	    fixture->fleet, FLEET_JOB_ID, spec, NULL, 0, fixture->now_ms));
	(void)fleet_job_decide(fixture, FLEET_START);
	CU_ASSERT_EQUAL_FATAL(fleet_job_decide(fixture, FLEET_START), tasks);
}

void
fleet_job_run(struct fleet_job_fixture *fixture, int64_t ms, uint32_t tasks,
    int32_t percent)
{
	fixture->now_ms += ms;
	for (size_t i = 0; i < tasks; i++)
		fleet_job_report(fixture, i, percent);
}
