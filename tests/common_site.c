#include <stdio.h>

#include "common_cunit.h"
#include "common_site.h"
#include "process/alloc.h"

static struct document_zone zones[SITE_ZONES];
static struct document_rack racks[SITE_RACKS];
static struct document_worker workers[SITE_WORKERS];
static struct document_guarantee guarantees[1];
static struct document_workspace workspaces[2];
static struct document_class classes[3];
static struct document site;

static void
fill_workers(void)
{
	for (uint32_t i = 0; i < SITE_ZONES; i++) {
		zones[i] = (struct document_zone){
		    .in_service = true,
		    .leave_deadline_ms = SITE_LEAVE_DEADLINE_MS,
		};
		(void)snprintf(zones[i].name, JOB_NAME_BYTES, "z%u", i);
	}
	for (uint32_t i = 0; i < SITE_RACKS; i++) {
		racks[i] = (struct document_rack){
		    .zone = i / 2,
		    .accelerators_per_worker = SITE_ACCELERATORS,
		    .first_worker = i * SITE_RACK_WORKERS,
		    .workers_count = SITE_RACK_WORKERS,
		};
		(void)snprintf(racks[i].name, JOB_NAME_BYTES, "r%u", i);
	}
	for (uint32_t i = 0; i < SITE_WORKERS; i++) {
		workers[i].rack = i / SITE_RACK_WORKERS;
		(void)snprintf(workers[i].name, JOB_NAME_BYTES, "w%u", i);
	}
}

static void
fill_classes(void)
{
	static const char *const names[] = {"urgent", "plan", "idle"};

	for (uint32_t i = 0; i < COUNT_OF(classes); i++) {
		classes[i] = (struct document_class){
		    .precedence = i,
		    .urgent = i == 0,
		    .objective_ms = 600000,
		    .objective_target = 0.99,
		};
		STRING_COPY(classes[i].name, names[i]);
	}
}

struct document *
site_document(void)
{
	fill_workers();
	fill_classes();
	guarantees[0] = (struct document_guarantee){
	    .count = 1,
	    .racks = 1,
	    .workers_per_rack = 2,
	    .accelerators_per_worker = SITE_ACCELERATORS,
	};
	workspaces[0] = (struct document_workspace){
	    .name = "large",
	    .guarantees_count = 1,
	};
	workspaces[1] = (struct document_workspace){
	    .name = "small",
	    .first_guarantee = 1,
	};
	site = (struct document){
	    .version = 1,
	    .zones = zones,
	    .zones_count = COUNT_OF(zones),
	    .racks = racks,
	    .racks_count = COUNT_OF(racks),
	    .workers = workers,
	    .workers_count = COUNT_OF(workers),
	    .guarantees = guarantees,
	    .guarantees_count = COUNT_OF(guarantees),
	    .workspaces = workspaces,
	    .workspaces_count = COUNT_OF(workspaces),
	    .classes = classes,
	    .classes_count = COUNT_OF(classes),
	};
	return &site;
}

struct scheduler *
site_scheduler(enum settings_policy policy)
{
	struct scheduler_config config = {
	    .policy = policy,
	    .reclaim_bound_ms = SITE_RECLAIM_BOUND_MS,
	    .zone_return_ramp_ms = 10000,
	    .max_queued_jobs = 1000,
	    .max_attempts = 3,
	    .seed = 1,
	};
	struct scheduler *scheduler = scheduler_new(&config);

	scheduler_set_document(scheduler, site_document(), 0);
	for (uint32_t i = 0; i < SITE_WORKERS; i++)
		scheduler_set_worker(
		    scheduler, workers[i].name, WORKER_SERVING, 0);
	return scheduler;
}

struct scheduler_job
site_job(uint64_t id, const char *workspace, const char *request_class,
    uint32_t tasks, uint32_t accelerators)
{
	struct scheduler_job job = {
	    .id = {.low = id},
	    .tasks = tasks,
	    .accelerators_per_task = accelerators,
	    .idempotent = true,
	    .checkpointable = true,
	    .run_time_ms = 60000,
	};

	STRING_COPY(job.workspace, workspace);
	STRING_COPY(job.request_class, request_class);
	return job;
}

void
site_submit(struct scheduler *scheduler, const struct scheduler_job *job,
    int64_t now_ms)
{
	struct ibis_status status = {0};
	int64_t retry_after_ms = 0;

	CU_ASSERT_EQUAL(
	    scheduler_submit(scheduler, job, now_ms, &retry_after_ms, &status),
	    IBIS_OK);
}

bool
site_decide(struct scheduler *scheduler, uint64_t id, int64_t now_ms,
    struct scheduler_action *action)
{
	const struct scheduler_action *actions;
	size_t count = scheduler_decide(scheduler, now_ms, &actions);

	for (size_t i = 0; i < count; i++) {
		if (actions[i].job.low != id)
			continue;
		*action = actions[i];
		return true;
	}
	return false;
}
