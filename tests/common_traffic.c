#include <stdio.h>

#include "common_traffic.h"
#include "process/alloc.h"

#define SEED	   20261203
#define CALLERS	   50
#define RETRY_MS   20000
#define MAX_RUN_MS 60000

void
traffic_init(struct traffic *traffic, struct deployment *deployment,
    const char *key_prefix, uint32_t jobs, double jobs_per_s)
{
	*traffic = (struct traffic){
	    .deployment = deployment,
	    .mix = {.jobs = jobs, .jobs_per_s = jobs_per_s, .seed = SEED},
	    .callers = CALLERS,
	    .retry_ms = RETRY_MS,
	    .max_run_ms = MAX_RUN_MS,
	};
	STRING_COPY(traffic->mix.key_prefix, key_prefix);
}

struct load_kind *
traffic_add_kind(struct traffic *traffic, const char *workspace,
    const char *request_class, int32_t run_time_ms)
{
	struct load_kind *kind =
	    &traffic->mix.kinds[traffic->mix.kinds_count++];

	*kind = (struct load_kind){
	    .share = 1,
	    .tasks = 1,
	    .accelerators_per_task = 1,
	    .run_time_ms = run_time_ms,
	};
	STRING_COPY(kind->workspace, workspace);
	STRING_COPY(kind->request_class, request_class);
	return kind;
}

static void *
S_send_jobs(void *argument)
{
	struct traffic *traffic = argument;
	struct load_config config = {
	    .servers = traffic->servers,
	    .servers_count = traffic->deployment->count,
	    .callers = traffic->callers,
	    .retry_ms = traffic->retry_ms,
	    .max_run_ms = traffic->max_run_ms,
	};

	load_run(&config, traffic->jobs, traffic->mix.jobs, traffic->results);
	return NULL;
}

bool
traffic_start(struct traffic *traffic)
{
	const struct deployment *deployment = traffic->deployment;

	if (traffic->mix.burst_jobs == 0)
		traffic->mix.burst_jobs = 1;
	/* Copies: a restart of an instance changes its address. */
	for (uint32_t i = 0; i < deployment->count; i++)
		traffic->servers[i] =
		    mem_strdup(deployment->instances[i].caller);
	traffic->jobs = load_mix_draw(&traffic->mix);
	traffic->results =
	    mem_calloc(traffic->mix.jobs, sizeof(*traffic->results));
	return pthread_create(&traffic->thread, NULL, S_send_jobs, traffic) ==
	    0;
}

void
traffic_join(struct traffic *traffic)
{
	(void)pthread_join(traffic->thread, NULL);
}

void
traffic_free(struct traffic *traffic)
{
	for (uint32_t i = 0; i < traffic->deployment->count; i++)
		mem_free((char *)traffic->servers[i]);
	mem_free(traffic->results);
	mem_free(traffic->jobs);
}

size_t
traffic_count(const struct traffic *traffic, enum load_outcome outcome)
{
	size_t count = 0;

	for (uint32_t i = 0; i < traffic->mix.jobs; i++) {
		if (traffic->results[i].outcome == outcome)
			count++;
	}
	return count;
}

size_t
traffic_count_wrong(const struct traffic *traffic)
{
	size_t wrong = 0;

	for (uint32_t i = 0; i < traffic->mix.jobs; i++) {
		if (traffic->results[i].wrong_answer)
			wrong++;
	}
	return wrong;
}

void
traffic_job_id(
    const struct traffic *traffic, uint32_t index, char id[JOB_ID_BYTES])
{
	const struct load_job *job = &traffic->jobs[index];

	job_id_format(job_id_from_key(job->kind->workspace, job->key), id);
}

size_t
traffic_count_run_twice(const struct traffic *traffic, const struct log *log)
{
	size_t twice = 0;

	for (uint32_t i = 0; i < traffic->mix.jobs; i++) {
		char id[JOB_ID_BYTES];

		traffic_job_id(traffic, i, id);
		if (traffic->jobs[i].kind->idempotent || log_runs(log, id) < 2)
			continue;
		(void)printf("job=%s run more than once\n", id);
		twice++;
	}
	return twice;
}

size_t
traffic_count_false_not_run(
    const struct traffic *traffic, const struct log *log)
{
	size_t count = 0;

	for (uint32_t i = 0; i < traffic->mix.jobs; i++) {
		char id[JOB_ID_BYTES];

		traffic_job_id(traffic, i, id);
		if (traffic->results[i].outcome != LOAD_NOT_RUN ||
		    log_starts(log, id) == 0)
			continue;
		(void)printf("job=%s reported as not run, but started\n", id);
		count++;
	}
	return count;
}

int64_t
traffic_partial_run_ms(const struct traffic *traffic, const struct log *log)
{
	int64_t longest_ms = 0;

	for (uint32_t i = 0; i < traffic->mix.jobs; i++) {
		char id[JOB_ID_BYTES];
		int64_t partial_ms;

		traffic_job_id(traffic, i, id);
		partial_ms =
		    log_partial_run_ms(log, id, traffic->jobs[i].tasks);
		if (partial_ms > longest_ms)
			longest_ms = partial_ms;
	}
	return longest_ms;
}

void
traffic_print_unfinished(const struct traffic *traffic)
{
	for (uint32_t i = 0; i < traffic->mix.jobs; i++) {
		const struct load_result *result = &traffic->results[i];
		char id[JOB_ID_BYTES];

		if (result->outcome == LOAD_FINISHED && !result->wrong_answer)
			continue;
		traffic_job_id(traffic, i, id);
		(void)printf("job=%s class=%s outcome=%s wrong=%d "
			     "message=\"%s\"\n",
		    id, traffic->jobs[i].kind->request_class,
		    load_outcome_name(result->outcome), result->wrong_answer,
		    result->message);
	}
}
