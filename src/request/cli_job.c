/* Commands on jobs: submit, get, wait, answer, cancel, why and list. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "process/alloc.h"
#include "process/clock.h"
#include "request/answer_check.h"
#include "request/cli.h"
#include "request/job.h"

#define MAX_WAIT_MS	     INT32_MAX
#define LONG_POLL_MS	     5000
#define DEFAULT_WAIT_MS	     3600000
#define KEY_BYTES	     33
#define MS_PER_SECOND	     1000
#define LEAD_CALL_TIMEOUT_MS 3000

static const struct cli_option submit_options[] = {
    {"workspace", "NAME", "workspace that the job belongs to"},
    {"class", "NAME", "request class"},
    {"tasks", "N", "tasks of the gang"},
    {"accelerators", "N", "accelerators of each task"},
    {"adjacency", "KIND", "any (default), zone, rack or worker"},
    {"run-time-ms", "N", "expected run time"},
    {"deadline-ms", "N", "time to its end from acceptance; 0: none"},
    {"idempotent", NULL, "may run more than once"},
    {"checkpointable", NULL, "can save its state and be moved"},
    {"payload", "TEXT", "input of the job"},
    {"payload-file", "FILE", "input of the job from a file"},
    {"key", "KEY", "idempotency key; made up when not given"},
    {"wait", NULL, "wait for the end of the job"},
    {"wait-ms", "N", "longest time to wait; default one hour"},
};

static const struct cli_option wait_options[] = {
    {"wait-ms", "N", "longest time to wait; default one hour"},
};

static const struct cli_option list_options[] = {
    {"state", "STATE", "only jobs in this state"},
};

/* Returns the exit code for a job's outcome. */
static int
job_exit_code(struct json_object *job)
{
	const char *outcome = client_string(job, "outcome", "");

	if (strcmp(outcome, "finished") == 0)
		return CLI_OK;
	if (strcmp(outcome, "not_run") == 0)
		return CLI_REFUSED;
	if (strcmp(outcome, "unknown") == 0)
		return CLI_UNKNOWN;
	return *outcome == '\0' ? CLI_PENDING : CLI_UNSUCCESSFUL;
}

static bool
has_ended(struct json_object *job)
{
	return *client_string(job, "outcome", "") != '\0';
}

/* Appends the HTTP path of the job named on the command line. Prints an error
 * and returns false when the id is invalid. */
static bool
append_job_path(struct cli *cli, struct buffer *path)
{
	struct job_id id;

	if (!job_id_parse(cli->arguments[0], &id)) {
		(void)cli_usage_error(cli,
		    "'%s' is not a job id; expected 32 hexadecimal digits",
		    cli->arguments[0]);
		return false;
	}
	buffer_printf(path, "/v1/jobs/%s", cli->arguments[0]);
	return true;
}

static void
show_progress(struct json_object *job, int64_t start_ms)
{
	if (isatty(STDERR_FILENO) == 0)
		return;
	(void)fprintf(stderr, "\r%s %s, %" PRId64 " s ",
	    client_string(job, "job", ""), client_string(job, "state", ""),
	    (clock_now_ms() - start_ms) / MS_PER_SECOND);
}

static void
end_progress(void)
{
	if (isatty(STDERR_FILENO) != 0)
		(void)fputs("\n", stderr);
}

/* Polls a job until it has ended or wait_ms has passed, then prints it. Returns
 * the exit code. */
static int
wait_for_job(struct cli *cli, const char *id, int64_t wait_ms)
{
	struct ibis_status status = {0};
	int64_t start_ms = clock_now_ms();

	for (;;) {
		CLEANUP(client_answer_free) struct client_answer answer = {0};
		CLEANUP(buffer_free) struct buffer path = {0};
		int64_t remaining_ms = start_ms + wait_ms - clock_now_ms();
		enum ibis_code code;

		if (remaining_ms < 0)
			remaining_ms = 0;
		buffer_printf(&path, "/v1/jobs/%s?wait_ms=%" PRId64, id,
		    remaining_ms < LONG_POLL_MS ? remaining_ms : LONG_POLL_MS);
		code = client_get(cli->client, path.data, &answer, &status);
		if (code != IBIS_OK)
			return cli_fail(code, &status);
		show_progress(answer.json, start_ms);
		if (!has_ended(answer.json) && remaining_ms > 0)
			continue;
		end_progress();
		cli_print(cli, answer.json);
		return job_exit_code(answer.json);
	}
}

/* Copies a text option into the body. Prints an error and returns false when a
 * required option is missing. */
static bool
add_text(const struct cli *cli, struct json_object *body, const char *option,
    bool required)
{
	const char *text = cli_value(cli, option);

	if (text != NULL)
		json_object_object_add(
		    body, option, json_object_new_string(text));
	else if (required)
		(void)cli_usage_error(cli, "--%s is missing", option);
	return text != NULL || !required;
}

/* Copies a number option into the body under key. Prints an error and returns
 * false when it is invalid, or required and missing. */
static bool
add_number(const struct cli *cli, struct json_object *body, const char *option,
    const char *key, bool required)
{
	int64_t number;

	if (cli_value(cli, option) == NULL) {
		if (required)
			(void)cli_usage_error(cli, "--%s is missing", option);
		return !required;
	}
	if (!cli_number(cli, option, 0, INT64_MAX, &number))
		return false;
	json_object_object_add(body, key, json_object_new_int64(number));
	return true;
}

static void
add_flag(const struct cli *cli, struct json_object *body, const char *option)
{
	json_object_object_add(body, option,
	    json_object_new_boolean(cli_value(cli, option) != NULL));
}

static bool
add_payload(const struct cli *cli, struct json_object *body)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	const char *path = cli_value(cli, "payload-file");
	struct ibis_status status = {0};

	if (path == NULL)
		return add_text(cli, body, "payload", false);
	if (cli_read_nonempty_file(path, CLI_INPUT_BYTES, &text, &status) !=
	    IBIS_OK) {
		(void)cli_fail(status.code, &status);
		return false;
	}
	json_object_object_add(body, "payload",
	    json_object_new_string_len(text.data, (int)text.length));
	return true;
}

static bool
fill_body(const struct cli *cli, struct json_object *body)
{
	add_flag(cli, body, "idempotent");
	add_flag(cli, body, "checkpointable");
	return add_text(cli, body, "workspace", true) &&
	    add_text(cli, body, "class", true) &&
	    add_text(cli, body, "adjacency", false) &&
	    add_number(cli, body, "tasks", "tasks", true) &&
	    add_number(
		cli, body, "accelerators", "accelerators_per_task", true) &&
	    add_number(cli, body, "run-time-ms", "run_time_ms", true) &&
	    add_number(cli, body, "deadline-ms", "deadline_ms", false) &&
	    add_payload(cli, body);
}

/* Generates a random idempotency key. */
static bool
generate_key(char key[KEY_BYTES])
{
	struct job_id random;

	if (getrandom(&random, sizeof(random), 0) != (ssize_t)sizeof(random))
		return false;
	job_id_format(random, key);
	return true;
}

/* Prints the error of a failed submission. Returns the exit code. */
static int
report_submit_failure(const struct cli *cli, const struct client_answer *answer,
    const char *key, const struct ibis_status *status)
{
	char id[JOB_ID_BYTES];
	struct json_object *not_run = NULL;
	int result = cli_fail(status->code, status);

	if (status->code == IBIS_UNKNOWN) {
		job_id_format(
		    job_id_from_key(cli_value(cli, "workspace"), key), id);
		(void)fprintf(stderr,
		    "ibisctl: it may have been accepted; check with "
		    "'ibisctl job get %s' or submit again with --key %s\n",
		    id, key);
	}
	/* A 422 response with not_run set is a refusal, not a usage error. */
	(void)json_object_object_get_ex(answer->json, "not_run", &not_run);
	if (result == CLI_USAGE && answer->http_status == 422 &&
	    json_object_get_boolean(not_run) != 0)
		result = CLI_REFUSED;
	return result;
}

static int
run_submit(struct cli *cli)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	CLEANUP(client_json_free)
	struct json_object *body = json_object_new_object();
	char generated_key[KEY_BYTES];
	const char *key = cli_value(cli, "key");
	int64_t wait_ms = DEFAULT_WAIT_MS;
	struct ibis_status status = {0};
	struct client_call call = {
	    .method = "POST",
	    .path = "/v1/jobs",
	    .repeatable = true,
	};
	enum ibis_code code;

	if (!fill_body(cli, body) ||
	    !cli_number(cli, "wait-ms", 0, MAX_WAIT_MS, &wait_ms))
		return CLI_USAGE;
	if (key == NULL) {
		if (!generate_key(generated_key))
			return CLI_INTERNAL;
		key = generated_key;
	}
	call.idempotency_key = key;
	call.body = json_object_to_json_string(body);
	code = client_send(cli->client, &call, &answer, &status);
	if (code != IBIS_OK)
		return report_submit_failure(cli, &answer, key, &status);
	if (cli_value(cli, "wait") != NULL || cli_value(cli, "wait-ms") != NULL)
		return wait_for_job(
		    cli, client_string(answer.json, "job", ""), wait_ms);
	cli_print(cli, answer.json);
	return has_ended(answer.json) ? job_exit_code(answer.json) : CLI_OK;
}

/* Sends a request about the job named on the command line. */
static int
call_job(struct cli *cli, const char *method)
{
	CLEANUP(buffer_free) struct buffer path = {0};
	struct client_call call = {.method = method, .repeatable = true};

	if (!append_job_path(cli, &path))
		return CLI_USAGE;
	call.path = path.data;
	return cli_call(cli, &call);
}

static int
run_get(struct cli *cli)
{
	return call_job(cli, "GET");
}

static int
run_cancel(struct cli *cli)
{
	return call_job(cli, "DELETE");
}

static int
run_wait(struct cli *cli)
{
	CLEANUP(buffer_free) struct buffer path = {0};
	int64_t wait_ms = DEFAULT_WAIT_MS;

	if (!append_job_path(cli, &path) ||
	    !cli_number(cli, "wait-ms", 0, MAX_WAIT_MS, &wait_ms))
		return CLI_USAGE;
	return wait_for_job(cli, cli->arguments[0], wait_ms);
}

/* Fetches a job. Prints an error and returns its exit code unless the job has
 * finished. */
static int
get_finished(struct cli *cli, const char *path, struct client_answer *job)
{
	struct ibis_status status = {0};
	enum ibis_code code = client_get(cli->client, path, job, &status);

	if (code != IBIS_OK)
		return cli_fail(code, &status);
	if (job_exit_code(job->json) == CLI_OK)
		return CLI_OK;
	(void)fprintf(stderr,
	    "ibisctl: the job has no answer; its state is %s\n",
	    client_string(job->json, "state", "not reported"));
	return job_exit_code(job->json);
}

static int
run_answer(struct cli *cli)
{
	CLEANUP(client_answer_free) struct client_answer job = {0};
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	CLEANUP(buffer_free) struct buffer path = {0};
	struct ibis_status status = {0};
	enum ibis_code code;
	int result;

	if (!append_job_path(cli, &path))
		return CLI_USAGE;
	result = get_finished(cli, path.data, &job);
	if (result != CLI_OK)
		return result;
	buffer_puts(&path, "/answer");
	code = client_get(cli->client, path.data, &answer, &status);
	if (code == IBIS_OK)
		code = answer_check(job.json, &answer.body, &status);
	if (code != IBIS_OK)
		return cli_fail(code, &status);
	if (fwrite(buffer_string(&answer.body), 1, answer.body.length,
		stdout) != answer.body.length)
		return CLI_INTERNAL;
	return CLI_OK;
}

/* Returns a new array of the jobs in a state. */
static struct json_object *
filter_jobs(struct json_object *jobs, const char *state)
{
	struct json_object *matching = json_object_new_array();

	for (size_t i = 0; i < json_object_array_length(jobs); i++) {
		struct json_object *job = json_object_array_get_idx(jobs, i);

		if (strcmp(client_string(job, "state", ""), state) == 0)
			json_object_array_add(matching, json_object_get(job));
	}
	return matching;
}

static int
run_list(struct cli *cli)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	const char *state = cli_value(cli, "state");
	struct ibis_status status = {0};
	struct json_object *jobs;
	enum ibis_code code;

	code = client_get(cli->client, "/v1/jobs", &answer, &status);
	if (code != IBIS_OK)
		return cli_fail(code, &status);
	if (state != NULL &&
	    json_object_object_get_ex(answer.json, "jobs", &jobs))
		json_object_object_add(
		    answer.json, "jobs", filter_jobs(jobs, state));
	cli_print(cli, answer.json);
	return CLI_OK;
}

/* Fetches what a job waits for, through a given client. */
static enum ibis_code
fetch_waits(const struct cli *cli, struct client *client,
    struct client_answer *answer, struct ibis_status *status)
{
	CLEANUP(buffer_free) struct buffer path = {0};

	buffer_puts(&path, "/v1/jobs/");
	client_escape(&path, cli->arguments[0]);
	buffer_puts(&path, "/waits");
	return client_get(client, path.data, answer, status);
}

static bool
is_leading(struct json_object *answer)
{
	struct json_object *leading = NULL;

	return json_object_object_get_ex(answer, "leading", &leading) != 0 &&
	    json_object_get_boolean(leading) != 0;
}

static enum ibis_code
fetch_waits_from_lead(const struct cli *cli, const char *lead,
    struct client_answer *answer, struct ibis_status *status)
{
	struct client_config config = {
	    .servers = &lead,
	    .servers_count = 1,
	    .call_timeout_ms = LEAD_CALL_TIMEOUT_MS,
	    .retry_ms = cli->retry_ms,
	};
	struct client *client = client_new(&config);
	enum ibis_code code = fetch_waits(cli, client, answer, status);

	client_free(client);
	return code;
}

/* Prints what a job waits for, which only the lead knows. Other instances
 * answer with the address of the lead, if known, which is then called directly.
 */
static int
run_why(struct cli *cli)
{
	CLEANUP(client_answer_free) struct client_answer first_answer = {0};
	CLEANUP(client_answer_free) struct client_answer lead_answer = {0};
	struct ibis_status status = {0};
	enum ibis_code code =
	    fetch_waits(cli, cli->client, &first_answer, &status);
	const char *lead;

	if (code != IBIS_OK)
		return cli_fail(code, &status);
	lead = client_string(first_answer.json, "lead_address", "");
	if (is_leading(first_answer.json) || *lead == '\0') {
		cli_print(cli, first_answer.json);
		return CLI_OK;
	}
	code = fetch_waits_from_lead(cli, lead, &lead_answer, &status);
	if (code != IBIS_OK)
		return cli_fail(code, &status);
	cli_print(cli, lead_answer.json);
	return CLI_OK;
}

const struct cli_command cli_job_commands[] = {
    {.group = "job",
	.name = "submit",
	.arguments = "",
	.summary = "Submits a job.",
	.options = submit_options,
	.options_count = COUNT_OF(submit_options),
	.run = run_submit},
    {.group = "job",
	.name = "get",
	.arguments = "ID",
	.summary = "Shows a job.",
	.min_arguments = 1,
	.max_arguments = 1,
	.run = run_get},
    {.group = "job",
	.name = "wait",
	.arguments = "ID",
	.summary = "Waits for the end of a job.",
	.min_arguments = 1,
	.max_arguments = 1,
	.options = wait_options,
	.options_count = COUNT_OF(wait_options),
	.run = run_wait},
    {.group = "job",
	.name = "answer",
	.arguments = "ID",
	.summary = "Writes a finished job's answer to standard output.",
	.min_arguments = 1,
	.max_arguments = 1,
	.run = run_answer},
    {.group = "job",
	.name = "cancel",
	.arguments = "ID",
	.summary = "Asks for the cancellation of a job.",
	.min_arguments = 1,
	.max_arguments = 1,
	.run = run_cancel},
    {.group = "job",
	.name = "why",
	.arguments = "ID",
	.summary = "Tells what a job waits for, on the users' platform.",
	.min_arguments = 1,
	.max_arguments = 1,
	.run = run_why},
    {.group = "job",
	.name = "list",
	.arguments = "",
	.summary = "Lists the jobs that are not over.",
	.options = list_options,
	.options_count = COUNT_OF(list_options),
	.run = run_list},
};
const size_t cli_job_commands_count = COUNT_OF(cli_job_commands);
