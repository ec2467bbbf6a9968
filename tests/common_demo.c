#include <inttypes.h>
#include <stdio.h>

#include "common_demo.h"
#include "common_traffic.h"
#include "process/alloc.h"
#include "process/clock.h"

#define JOBS	      64
#define CALLERS	      64
#define RETRY_MS      10000
#define MAX_RUN_MS    60000
#define GANG_TASKS    4
#define GANG_RUN_MS   3000
#define SMALL_RUN_MS  800
#define URGENT_RUN_MS 500
#define JOBS_PER_S    16.0
#define BURST_JOBS    4
#define ZONE_STARTS   4
#define ZONE_DRAIN_MS 3000
#define ZONE_OUT_MS   4500

/* Times of a zone's outage on the monotonic clock. */
struct zone_outage {
	int64_t out_ms; /* the "out" command was answered */
	int64_t in_ms;	/* the "in" command was sent */
};

static void
make_gang(struct load_kind *kind)
{
	kind->tasks = 2;
	kind->tasks_highest = GANG_TASKS;
	kind->accelerators_per_task = 4;
	kind->adjacency = IBIS__ADJACENCY__ADJACENCY_RACK;
	kind->run_time_highest_ms = GANG_RUN_MS;
	kind->idempotent = true;
	kind->checkpointable = true;
}

/* Adds one kind per workspace and class: gangs, small jobs that must run at
 * most once, and urgent jobs. */
static void
add_kinds(struct traffic *traffic, const struct document *document)
{
	size_t count = document->workspaces_count * document->classes_count;

	for (size_t i = 0; i < count && i < LOAD_MAX_KINDS; i++) {
		size_t at = i % document->classes_count;
		const struct document_class *class = &document->classes[at];
		struct load_kind *kind = traffic_add_kind(traffic,
		    document->workspaces[i / document->classes_count].name,
		    class->name, class->urgent ? URGENT_RUN_MS : SMALL_RUN_MS);

		if (!class->urgent && at % 2 == 1)
			make_gang(kind);
	}
}

static bool
send_zone_command(struct deployment *deployment, uint32_t instance,
    const char *zone, const char *command)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	enum ibis_code code = deployment_send_zone_command(
	    deployment, instance, zone, command, &answer);

	(void)printf("zone=%s order=%s through=%s result=%s\n", zone, command,
	    deployment->instances[instance].name, ibis_code_name(code));
	return code == IBIS_OK;
}

/* Takes a zone out through the first instance and returns it through the
 * last. */
static bool
cycle_zone(
    struct deployment *deployment, const char *zone, struct zone_outage *outage)
{
	if (!deployment_wait_events(
		deployment->workers_log, "start", ZONE_STARTS, MAX_RUN_MS) ||
	    !send_zone_command(deployment, 0, zone, "out"))
		return false;
	outage->out_ms = clock_now_ms();
	process_sleep(ZONE_OUT_MS);
	outage->in_ms = clock_now_ms();
	return send_zone_command(deployment, deployment->count - 1, zone, "in");
}

/* Prints the counts; false when an answer was lost or wrong, a job that must
 * run at most once ran twice, or a task started in the zone while it was out.
 */
static bool
print_and_check(const struct traffic *traffic, const char *zone,
    const struct zone_outage *outage)
{
	CLEANUP(log_free) struct log log = {0};
	size_t answered = traffic_count(traffic, LOAD_FINISHED) -
	    traffic_count_wrong(traffic);
	size_t run_twice;
	size_t starts_while_out;

	if (!log_read(&log, traffic->deployment->workers_log))
		return false;
	run_twice = traffic_count_run_twice(traffic, &log);
	starts_while_out = log_starts_in_zone(
	    &log, zone, outage->out_ms + ZONE_DRAIN_MS, outage->in_ms);
	traffic_print_unfinished(traffic);
	(void)printf("zone=%s starts_while_out=%zu\n", zone, starts_while_out);
	(void)printf("site: submitted=%" PRIu32
		     " answered=%zu lost=%zu run_twice=%zu\n",
	    traffic->mix.jobs, answered, traffic->mix.jobs - answered,
	    run_twice);
	return answered == traffic->mix.jobs && run_twice == 0 &&
	    starts_while_out == 0;
}

static bool
run_traffic(struct deployment *deployment, struct traffic *traffic)
{
	const char *zone = deployment->instances[0].zone;
	struct zone_outage outage = {0};
	bool ok;

	if (!traffic_start(traffic))
		return false;
	ok = cycle_zone(deployment, zone, &outage);
	traffic_join(traffic);
	ok = print_and_check(traffic, zone, &outage) && ok;
	traffic_free(traffic);
	return ok;
}

bool
demo_run(struct deployment *deployment)
{
	struct traffic traffic = {
	    .deployment = deployment,
	    .mix = {.jobs = JOBS,
		.jobs_per_s = JOBS_PER_S,
		.burst_jobs = BURST_JOBS,
		.seed = deployment->config.seed,
		.key_prefix = "demo"},
	    .callers = CALLERS,
	    .retry_ms = RETRY_MS,
	    .max_run_ms = MAX_RUN_MS,
	};
	struct ibis_status status = {0};
	struct document *document =
	    deployment_read_document(deployment->config.document_path, &status);

	if (document == NULL)
		return false;
	add_kinds(&traffic, document);
	document_free(document);
	return run_traffic(deployment, &traffic);
}
