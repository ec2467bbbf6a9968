/* Options, output and exit code of the load generator. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "process/alloc.h"
#include "process/clock.h"
#include "request/cli_load.h"
#include "request/load_report.h"

#define DEFAULT_JOBS	   100
#define DEFAULT_CALLERS	   32
#define MAX_CALLERS	   1024
#define MAX_JOBS	   1000000
#define DEFAULT_MAX_RUN_MS 60000
#define MAX_RUN_MS	   86400000

static const struct cli_option load_options[] = {
    {"mix", "FILE", "mix of jobs, JSON with comments"},
    {"jobs", "N", "number of jobs; overrides the mix"},
    {"seed", "N", "random seed; overrides the mix"},
    {"callers", "N", "concurrent callers; default 32"},
    {"max-run-ms", "N", "longest time of the whole run; default 60000"},
    {"key-prefix", "TEXT",
	"prefix of the idempotency keys; default from the clock"},
    {"results", "FILE", "write a line for each job to a file"},
};

static enum ibis_code
read_mix(struct cli *cli, struct load_mix *mix, struct ibis_status *status)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	const char *path = cli_value(cli, "mix");
	enum ibis_code code;

	if (path == NULL)
		return ibis_status_set(
		    status, IBIS_INVALID, "read mix", NULL, "--mix is missing");
	code = cli_read_nonempty_file(path, CLI_INPUT_BYTES, &text, status);
	if (code == IBIS_OK)
		code = load_mix_parse(mix, text.data, status);
	return code;
}

/* Overrides the mix with the command-line options. Prints an error and returns
 * false when one is invalid. */
static bool
apply_options(const struct cli *cli, struct load_mix *mix)
{
	const char *prefix = cli_value(cli, "key-prefix");
	int64_t jobs = mix->jobs;
	int64_t seed = mix->seed;

	if (!cli_number(cli, "jobs", 1, MAX_JOBS, &jobs) ||
	    !cli_number(cli, "seed", 0, UINT32_MAX, &seed))
		return false;
	mix->jobs = (uint32_t)jobs;
	mix->seed = (uint32_t)seed;
	if (prefix != NULL && !STRING_COPY(mix->key_prefix, prefix)) {
		(void)cli_usage_error(cli,
		    "--key-prefix: expected at most %d bytes",
		    LOAD_PREFIX_BYTES - 1);
		return false;
	}
	if (prefix == NULL)
		(void)snprintf(mix->key_prefix, sizeof(mix->key_prefix),
		    "load-%" PRId64, clock_now_us());
	return true;
}

/* Returns whether an earlier kind has the same request class. */
static bool
class_reported_before(const struct load_mix *mix, size_t index)
{
	for (size_t i = 0; i < index; i++) {
		if (strcmp(mix->kinds[i].request_class,
			mix->kinds[index].request_class) == 0)
			return true;
	}
	return false;
}

/* Prints a summary of each class and of all jobs. Returns the exit code. */
static int
print_summaries(const struct load_mix *mix, const struct load_job *jobs,
    const struct load_result *results)
{
	struct load_summary summary;

	for (size_t i = 0; i < mix->kinds_count; i++) {
		if (class_reported_before(mix, i))
			continue;
		load_summarize(&summary, mix->kinds[i].request_class, jobs,
		    results, mix->jobs);
		load_summary_print(&summary);
	}
	load_summarize(&summary, NULL, jobs, results, mix->jobs);
	load_summary_print(&summary);
	if (summary.wrong_answers > 0 || summary.by_outcome[LOAD_UNKNOWN] > 0 ||
	    summary.by_outcome[LOAD_PENDING] > 0)
		return CLI_UNSUCCESSFUL;
	return CLI_OK;
}

/* Writes one line for each job to the --results file, if given. Returns the
 * exit code. */
static int
write_results(const struct cli *cli, const struct load_mix *mix,
    const struct load_job *jobs, const struct load_result *results)
{
	const char *path = cli_value(cli, "results");
	FILE *file;

	if (path == NULL)
		return CLI_OK;
	file = fopen(path, "we");
	if (file == NULL)
		return cli_usage_error(cli, "--results: can't write %s", path);
	for (uint32_t i = 0; i < mix->jobs; i++)
		(void)fprintf(file,
		    "key=%s job=%s class=%s outcome=%s wrong_answer=%d "
		    "completion_ms=%" PRId64 " message=\"%s\"\n",
		    jobs[i].key, results[i].id, jobs[i].kind->request_class,
		    load_outcome_name(results[i].outcome),
		    results[i].wrong_answer, results[i].completion_ms,
		    results[i].message);
	if (fclose(file) != 0)
		return cli_usage_error(cli, "--results: can't write %s", path);
	return CLI_OK;
}

static int
run_load(struct cli *cli)
{
	struct load_mix mix = {.jobs = DEFAULT_JOBS, .burst_jobs = 1};
	struct load_config config = {
	    .servers = cli->servers,
	    .servers_count = cli->servers_count,
	    .retry_ms = cli->retry_ms,
	};
	int64_t callers = DEFAULT_CALLERS;
	int64_t max_run_ms = DEFAULT_MAX_RUN_MS;
	struct ibis_status status = {0};
	struct load_result *results;
	struct load_job *jobs;
	int result;

	if (read_mix(cli, &mix, &status) != IBIS_OK)
		return cli_fail(status.code, &status);
	if (!apply_options(cli, &mix) ||
	    !cli_number(cli, "callers", 1, MAX_CALLERS, &callers) ||
	    !cli_number(cli, "max-run-ms", 1, MAX_RUN_MS, &max_run_ms))
		return CLI_USAGE;
	config.callers = (uint32_t)callers;
	config.max_run_ms = max_run_ms;
	jobs = load_mix_draw(&mix);
	results = mem_calloc(mix.jobs, sizeof(*results));
	load_run(&config, jobs, mix.jobs, results);
	result = write_results(cli, &mix, jobs, results);
	if (result == CLI_OK)
		result = print_summaries(&mix, jobs, results);
	mem_free(results);
	mem_free(jobs);
	return result;
}

const struct cli_command cli_load_command = {
    .arguments = "",
    .summary = "Sends a mix of jobs and prints the results of each class.",
    .options = load_options,
    .options_count = COUNT_OF(load_options),
    .run = run_load,
};
