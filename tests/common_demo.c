#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "common_demo.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "request/cli.h"
#include "request/load_run.h"
#include "version/document.h"

#define JOBS	      64
#define CALLERS	      64
#define RETRY_MS      10000
#define MAX_RUN_MS    60000
#define GANG_TASKS    4
#define GANG_RUN_MS   3000
#define SMALL_RUN_MS  800
#define URGENT_RUN_MS 500
#define JOBS_PER_S    16.0
#define ZONE_OUT_MS   1200
#define ZONE_IN_MS    1500
#define ZONE_GRACE_MS 3000

/* Jobs and the outcome of each. */
struct demo {
	struct deployment *deployment;
	struct load_mix mix;
	struct load_job *jobs;
	struct load_result *results;
	const char *servers[DEPLOYMENT_MAX_INSTANCES];
	pthread_t thread;
	int64_t out_ms; /* when the zone's leaving was answered */
	int64_t in_ms;	/* when its return was asked for */
};

static struct load_kind *
add_kind(struct demo *demo, const char *workspace, const char *request_class,
    double share)
{
	struct load_kind *kind = &demo->mix.kinds[demo->mix.kinds_count++];

	*kind = (struct load_kind){
	    .share = share,
	    .tasks = 1,
	    .accelerators_per_task = 1,
	    .run_time_ms = SMALL_RUN_MS,
	};
	STRING_COPY(kind->workspace, workspace);
	STRING_COPY(kind->request_class, request_class);
	return kind;
}

/* Each workspace sends gangs of an ordinary class, small jobs that must run
 * once at most, and urgent ones. */
static void
add_kinds(struct demo *demo, const struct document *document)
{
	for (size_t i = 0; i < document->workspaces_count; i++) {
		const char *workspace = document->workspaces[i].name;

		for (size_t j = 0; j < document->classes_count &&
		     demo->mix.kinds_count < LOAD_MAX_KINDS;
		     j++) {
			const struct document_class *class =
			    &document->classes[j];
			struct load_kind *kind =
			    add_kind(demo, workspace, class->name, 1);

			if (class->urgent) {
				kind->run_time_ms = URGENT_RUN_MS;
				kind->accelerators_per_task = 2;
			} else if (j % 2 == 1) {
				kind->tasks = 2;
				kind->tasks_highest = GANG_TASKS;
				kind->accelerators_per_task = 4;
				kind->adjacency =
				    IBIS__ADJACENCY__ADJACENCY_RACK;
				kind->run_time_ms = SMALL_RUN_MS;
				kind->run_time_highest_ms = GANG_RUN_MS;
				kind->idempotent = true;
				kind->checkpointable = true;
			}
		}
	}
}

static void *
S_send_jobs(void *argument)
{
	struct demo *demo = argument;
	struct load_config config = {
	    .servers = demo->servers,
	    .servers_count = demo->deployment->count,
	    .callers = CALLERS,
	    .retry_ms = RETRY_MS,
	    .max_run_ms = MAX_RUN_MS,
	};

	load_run(&config, demo->jobs, demo->mix.jobs, demo->results);
	return NULL;
}

static bool
order_zone(
    struct demo *demo, uint32_t instance, const char *zone, const char *order)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	enum ibis_code code =
	    deployment_zone(demo->deployment, instance, zone, order, &answer);

	(void)printf("zone=%s order=%s through=%s result=%s %s\n", zone, order,
	    demo->deployment->instances[instance].name, ibis_code_name(code),
	    answer.json == NULL ? ""
				: json_object_to_json_string_ext(
				      answer.json, JSON_C_TO_STRING_PLAIN));
	return code == IBIS_OK;
}

/* Counts by outcome, as the callers saw it. */
static uint64_t
count_outcome(const struct demo *demo, enum load_outcome outcome)
{
	uint64_t count = 0;

	for (uint32_t i = 0; i < demo->mix.jobs; i++) {
		if (demo->results[i].outcome == outcome)
			count++;
	}
	return count;
}

static uint64_t
count_wrong(const struct demo *demo)
{
	uint64_t wrong = 0;

	for (uint32_t i = 0; i < demo->mix.jobs; i++) {
		if (demo->results[i].wrong_answer)
			wrong++;
	}
	return wrong;
}

/* Jobs that must run once at most but whose runs in the log are more. */
static uint64_t
count_run_twice(const struct demo *demo, const struct log *log)
{
	uint64_t twice = 0;

	for (uint32_t i = 0; i < demo->mix.jobs; i++) {
		if (!demo->jobs[i].kind->idempotent &&
		    *demo->results[i].id != '\0' &&
		    log_runs(log, demo->results[i].id) > 1)
			twice++;
	}
	return twice;
}

static void
print_unfinished(const struct demo *demo)
{
	for (uint32_t i = 0; i < demo->mix.jobs; i++) {
		const struct load_result *result = &demo->results[i];

		if (result->outcome != LOAD_FINISHED || result->wrong_answer)
			(void)printf("job=%s class=%s outcome=%s wrong=%d "
				     "message=\"%s\"\n",
			    result->id, demo->jobs[i].kind->request_class,
			    load_outcome_name(result->outcome),
			    result->wrong_answer, result->message);
	}
}

/* Prints the counts; true when all is well. */
static bool
judge(const struct demo *demo, const char *zone)
{
	CLEANUP(log_free) struct log log = {0};
	uint64_t answered = count_outcome(demo, LOAD_FINISHED);
	uint64_t wrong = count_wrong(demo);
	uint64_t lost = demo->mix.jobs - answered + wrong;
	uint64_t twice;
	size_t late;

	if (!log_read(&log, demo->deployment->workers_log))
		return false;
	twice = count_run_twice(demo, &log);
	late = log_starts_in_zone(
	    &log, zone, demo->out_ms + ZONE_GRACE_MS, demo->in_ms);
	print_unfinished(demo);
	(void)printf("zone=%s starts_while_out=%zu\n", zone, late);
	(void)printf("site: submitted=%" PRIu32 " answered=%" PRIu64
		     " lost=%" PRIu64 " run_twice=%" PRIu64 "\n",
	    demo->mix.jobs, answered - wrong, lost, twice);
	return lost == 0 && twice == 0 && late == 0;
}

static bool
S_has_starts(void *context)
{
	CLEANUP(log_free) struct log log = {0};
	const struct demo *demo = context;

	return log_read(&log, demo->deployment->workers_log) &&
	    log_starts_in_zone(
		&log, demo->deployment->instances[0].zone, 0, INT64_MAX) > 0;
}

static bool
play(struct demo *demo, const char *zone)
{
	bool well;

	if (pthread_create(&demo->thread, NULL, S_send_jobs, demo) != 0)
		return false;
	well = deployment_wait(S_has_starts, demo, MAX_RUN_MS);
	process_pause(ZONE_OUT_MS);
	well = order_zone(demo, 0, zone, "out") && well;
	demo->out_ms = clock_now_ms();
	process_pause(ZONE_GRACE_MS + ZONE_IN_MS);
	demo->in_ms = clock_now_ms();
	well =
	    order_zone(demo, demo->deployment->count - 1, zone, "in") && well;
	(void)pthread_join(demo->thread, NULL);
	return judge(demo, zone) && well;
}

bool
demo_run(struct deployment *deployment)
{
	struct demo demo = {
	    .deployment = deployment,
	    .mix = {.jobs = JOBS,
		.jobs_per_s = JOBS_PER_S,
		.burst_jobs = 4,
		.seed = deployment->config.seed},
	};
	struct ibis_status status = {0};
	struct document *document =
	    deployment_read_document(deployment->config.document_path, &status);
	bool well;

	if (document == NULL)
		return false;
	add_kinds(&demo, document);
	document_free(document);
	for (uint32_t i = 0; i < deployment->count; i++)
		demo.servers[i] = deployment->instances[i].caller;
	STRING_COPY(demo.mix.key_prefix, "demo");
	demo.jobs = load_mix_draw(&demo.mix);
	demo.results = mem_calloc(demo.mix.jobs, sizeof(*demo.results));
	well = play(&demo, deployment->instances[0].zone);
	mem_free(demo.results);
	mem_free(demo.jobs);
	return well;
}
