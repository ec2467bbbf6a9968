/* Command that prints the story of a job from log files. */
#include <stdio.h>
#include <string.h>

#include "process/alloc.h"
#include "request/cli.h"
#include "request/log_story.h"

#define MAX_LOG_BYTES ((size_t)1 << 28)
#define MAX_LOGS      64

static enum ibis_code
read_logs(struct cli *cli, struct log_story *story, struct ibis_status *status)
{
	for (int i = 1; i < cli->arguments_count; i++) {
		CLEANUP(buffer_free) struct buffer text = {0};

		if (cli_read_input(cli->arguments[i], MAX_LOG_BYTES, &text,
			status) != IBIS_OK)
			return status->code;
		log_story_add(story, &text);
	}
	if (story->count > 0)
		return IBIS_OK;
	return ibis_status_set(status, IBIS_INVALID, "read", NULL,
	    "the input has no log lines; expected key=value pairs "
	    "starting with t_ms=");
}

static int
run_story(struct cli *cli)
{
	CLEANUP(log_story_free) struct log_story story = {0};
	CLEANUP(buffer_free) struct buffer text = {0};
	const char *job = cli->arguments[0];
	struct ibis_status status = {0};

	if (read_logs(cli, &story, &status) != IBIS_OK)
		return cli_fail(status.code, &status);
	if (log_story_select(&story, job) == 0) {
		ibis_status_set(&status, IBIS_NOT_FOUND, "story", NULL,
		    "no log line names job %s", job);
		return cli_fail(status.code, &status);
	}
	log_story_write(&story, job, &text);
	(void)fputs(buffer_string(&text), stdout);
	return CLI_OK;
}

const struct cli_command cli_log_commands[] = {
    {.group = "log",
	.name = "story",
	.arguments = "JOB FILE...",
	.summary = "Shows a job's story from log files; - is standard input.",
	.min_arguments = 2,
	.max_arguments = MAX_LOGS,
	.run = run_story},
};
const size_t cli_log_commands_count = COUNT_OF(cli_log_commands);
