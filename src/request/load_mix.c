#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include "process/alloc.h"
#include "process/jsonc.h"
#include "request/load_mix.h"

#define STEP		 "read mix"
#define MS_PER_SECOND	 1000.0
#define MAX_JOBS	 1000000
#define MAX_TASKS	 4096
#define MAX_ACCELERATORS 64
#define MAX_TIME_MS	 86400000
#define MAX_RATE_PER_S	 100000

/* State of a SplitMix64 generator. */
struct generator {
	uint64_t state;
};

static uint64_t
next_random(struct generator *generator)
{
	uint64_t mixed = generator->state += UINT64_C(0x9e3779b97f4a7c15);

	mixed = (mixed ^ mixed >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	mixed = (mixed ^ mixed >> 27) * UINT64_C(0x94d049bb133111eb);
	return mixed ^ mixed >> 31;
}

/* Returns a random number uniform in (0, 1]. */
static double
next_uniform(struct generator *generator)
{
	return ((double)(next_random(generator) >> 11) + 1) * 0x1p-53;
}

/* Returns a random number from lowest to highest, or lowest if highest is
 * smaller. */
static uint32_t
next_in_range(struct generator *generator, uint32_t lowest, uint32_t highest)
{
	if (highest <= lowest)
		return lowest;
	return lowest +
	    (uint32_t)(next_random(generator) % (highest - lowest + 1U));
}

static enum ibis_code
parse_kind(const struct jsonc_node *node, struct load_kind *kind,
    struct ibis_status *status)
{
	static const char *const adjacencies[] = {
	    "any", "zone", "rack", "worker", NULL};
	static const struct jsonc_field fields[] = {
	    {.key = "workspace",
		.type = JSONC_NAME,
		.required = true,
		.offset = offsetof(struct load_kind, workspace),
		.bytes = JOB_NAME_BYTES},
	    {.key = "class",
		.type = JSONC_NAME,
		.required = true,
		.offset = offsetof(struct load_kind, request_class),
		.bytes = JOB_NAME_BYTES},
	    {.key = "share",
		.type = JSONC_DOUBLE,
		.offset = offsetof(struct load_kind, share),
		.lowest = 0,
		.highest = MAX_JOBS},
	    {.key = "tasks",
		.type = JSONC_UINT32,
		.offset = offsetof(struct load_kind, tasks),
		.lowest = 1,
		.highest = MAX_TASKS},
	    {.key = "tasks_highest",
		.type = JSONC_UINT32,
		.offset = offsetof(struct load_kind, tasks_highest),
		.lowest = 1,
		.highest = MAX_TASKS},
	    {.key = "accelerators_per_task",
		.type = JSONC_UINT32,
		.offset = offsetof(struct load_kind, accelerators_per_task),
		.lowest = 1,
		.highest = MAX_ACCELERATORS},
	    {.key = "adjacency",
		.type = JSONC_CHOICE,
		.offset = offsetof(struct load_kind, adjacency),
		.choices = adjacencies},
	    {.key = "run_time_ms",
		.type = JSONC_INT32,
		.offset = offsetof(struct load_kind, run_time_ms),
		.lowest = 1,
		.highest = MAX_TIME_MS,
		.unit = "ms"},
	    {.key = "run_time_highest_ms",
		.type = JSONC_INT32,
		.offset = offsetof(struct load_kind, run_time_highest_ms),
		.lowest = 1,
		.highest = MAX_TIME_MS,
		.unit = "ms"},
	    {.key = "deadline_ms",
		.type = JSONC_INT32,
		.offset = offsetof(struct load_kind, deadline_ms),
		.lowest = 0,
		.highest = MAX_TIME_MS,
		.unit = "ms"},
	    {.key = "idempotent",
		.type = JSONC_BOOL,
		.offset = offsetof(struct load_kind, idempotent)},
	    {.key = "checkpointable",
		.type = JSONC_BOOL,
		.offset = offsetof(struct load_kind, checkpointable)},
	};

	*kind = (struct load_kind){
	    .share = 1,
	    .tasks = 1,
	    .accelerators_per_task = 1,
	    .run_time_ms = 1000,
	};
	return jsonc_read_fields(node, fields, COUNT_OF(fields), kind, status);
}

static enum ibis_code
parse_kinds(const struct jsonc_node *root, struct load_mix *mix,
    struct ibis_status *status)
{
	struct jsonc_node list;
	enum ibis_code code;

	if (!jsonc_member(root, "kinds", &list))
		return jsonc_error(root, status, "kinds: missing");
	code = jsonc_require_array(&list, 1, LOAD_MAX_KINDS, status);
	if (code != IBIS_OK)
		return code;
	mix->kinds_count = json_object_array_length(list.value);
	for (size_t i = 0; i < mix->kinds_count && code == IBIS_OK; i++) {
		struct jsonc_node node = jsonc_element(&list, i);

		code = parse_kind(&node, &mix->kinds[i], status);
	}
	return code;
}

static enum ibis_code
parse_mix(const struct jsonc_node *root, struct load_mix *mix,
    struct ibis_status *status)
{
	static const struct jsonc_field fields[] = {
	    {.key = "jobs",
		.type = JSONC_UINT32,
		.offset = offsetof(struct load_mix, jobs),
		.lowest = 1,
		.highest = MAX_JOBS},
	    {.key = "jobs_per_s",
		.type = JSONC_DOUBLE,
		.offset = offsetof(struct load_mix, jobs_per_s),
		.lowest = 0,
		.highest = MAX_RATE_PER_S},
	    {.key = "burst_jobs",
		.type = JSONC_UINT32,
		.offset = offsetof(struct load_mix, burst_jobs),
		.lowest = 1,
		.highest = MAX_JOBS},
	    {.key = "seed",
		.type = JSONC_UINT32,
		.offset = offsetof(struct load_mix, seed),
		.lowest = 0,
		.highest = UINT32_MAX},
	    {.key = "kinds", .type = JSONC_CUSTOM, .required = true},
	};
	enum ibis_code code;

	code = jsonc_require_object(root, status);
	if (code == IBIS_OK)
		code = jsonc_read_fields(
		    root, fields, COUNT_OF(fields), mix, status);
	if (code == IBIS_OK)
		code = parse_kinds(root, mix, status);
	return code;
}

enum ibis_code
load_mix_parse(
    struct load_mix *mix, const char *text, struct ibis_status *status)
{
	CLEANUP(jsonc_free) struct jsonc json = {0};
	struct jsonc_node root;

	if (!jsonc_parse(&json, text, STEP, "mix", status))
		return status->code;
	root = jsonc_root(&json);
	return parse_mix(&root, mix, status);
}

/* Draws a kind with a probability in proportion to its share. */
static const struct load_kind *
draw_kind(const struct load_mix *mix, struct generator *generator)
{
	double sum = 0;
	double remaining;

	for (size_t i = 0; i < mix->kinds_count; i++)
		sum += mix->kinds[i].share;
	remaining = next_uniform(generator) * sum;
	for (size_t i = 0; i + 1 < mix->kinds_count; i++) {
		remaining -= mix->kinds[i].share;
		if (remaining <= 0)
			return &mix->kinds[i];
	}
	return &mix->kinds[mix->kinds_count - 1];
}

/* Draws the time between two bursts. It is exponentially distributed, so that
 * bursts arrive as a Poisson process. */
static double
draw_gap_ms(const struct load_mix *mix, struct generator *generator)
{
	double bursts_per_s;

	if (mix->jobs_per_s <= 0)
		return 0;
	bursts_per_s = mix->jobs_per_s / mix->burst_jobs;
	return -log(next_uniform(generator)) / bursts_per_s * MS_PER_SECOND;
}

struct load_job *
load_mix_draw(const struct load_mix *mix)
{
	struct load_job *jobs = mem_calloc(mix->jobs, sizeof(*jobs));
	struct generator generator = {.state = mix->seed};
	double arrival_ms = 0;

	for (uint32_t i = 0; i < mix->jobs; i++) {
		struct load_job *job = &jobs[i];
		const struct load_kind *kind = draw_kind(mix, &generator);

		if (i > 0 && i % mix->burst_jobs == 0)
			arrival_ms += draw_gap_ms(mix, &generator);
		job->kind = kind;
		job->arrival_ms = (int64_t)arrival_ms;
		job->tasks =
		    next_in_range(&generator, kind->tasks, kind->tasks_highest);
		job->run_time_ms = (int32_t)next_in_range(&generator,
		    (uint32_t)kind->run_time_ms,
		    (uint32_t)kind->run_time_highest_ms);
		(void)snprintf(job->key, sizeof(job->key), "%s-%" PRIu32,
		    mix->key_prefix, i);
		(void)snprintf(job->payload, sizeof(job->payload),
		    "%016" PRIx64, next_random(&generator));
	}
	return jobs;
}

static void
add_string(struct json_object *object, const char *key, const char *value)
{
	json_object_object_add(object, key, json_object_new_string(value));
}

static void
add_number(struct json_object *object, const char *key, int64_t value)
{
	json_object_object_add(object, key, json_object_new_int64(value));
}

static void
add_flag(struct json_object *object, const char *key, bool value)
{
	json_object_object_add(object, key, json_object_new_boolean(value));
}

void
load_job_body(const struct load_job *job, struct buffer *body)
{
	struct json_object *object = json_object_new_object();
	const struct load_kind *kind = job->kind;

	add_string(object, "workspace", kind->workspace);
	add_string(object, "class", kind->request_class);
	add_number(object, "tasks", job->tasks);
	add_number(
	    object, "accelerators_per_task", kind->accelerators_per_task);
	add_string(object, "adjacency", job_adjacency_name(kind->adjacency));
	add_number(object, "run_time_ms", job->run_time_ms);
	add_number(object, "deadline_ms", kind->deadline_ms);
	add_flag(object, "idempotent", kind->idempotent);
	add_flag(object, "checkpointable", kind->checkpointable);
	add_string(object, "payload", job->payload);
	buffer_puts(body, json_object_to_json_string(object));
	(void)json_object_put(object);
}
