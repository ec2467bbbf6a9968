/* Command lookup, option parsing and help texts. */
#include <errno.h>
#include <getopt.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/alloc.h"
#include "request/cli.h"

#define SERVER_ENV_VARIABLE  "IBIS_SERVER"
#define DEFAULT_SERVER	     "127.0.0.1:7400"
#define DEFAULT_RETRY_MS     10000
#define CALL_TIMEOUT_MS	     10000
#define MAX_RETRY_MS	     3600000
#define FIRST_COMMAND_OPTION 256
#define DECIMAL		     10
#define USAGE_BYTES	     64

enum common_option {
	OPTION_HELP = 1,
	OPTION_JSON,
	OPTION_SERVER,
	OPTION_RETRY
};

static const struct option common_options[] = {
    {"help", no_argument, NULL, OPTION_HELP},
    {"json", no_argument, NULL, OPTION_JSON},
    {"server", required_argument, NULL, OPTION_SERVER},
    {"retry-ms", required_argument, NULL, OPTION_RETRY},
};

static const struct {
	const struct cli_command *const commands;
	const size_t *const count;
} groups[] = {
    {cli_job_commands, &cli_job_commands_count},
    {cli_document_commands, &cli_document_commands_count},
    {cli_site_commands, &cli_site_commands_count},
    {cli_log_commands, &cli_log_commands_count},
};

static void
print_common_help(FILE *stream)
{
	(void)fputs(
	    "\nCommon options:\n"
	    "  --server IP:PORT  an instance; may be repeated, or listed with\n"
	    "                    commas in " SERVER_ENV_VARIABLE
	    "; default " DEFAULT_SERVER "\n"
	    "  --retry-ms N      longest time spent on retries; default 10000\n"
	    "  --json            print JSON\n"
	    "  --help            print this help\n"
	    "\nExit codes:\n"
	    "  0  done; for a job: finished\n"
	    "  1  the job ended otherwise than finished\n"
	    "  2  wrong arguments or input; nothing was done\n"
	    "  3  refused; not run\n"
	    "  4  no instance can be reached, or none can serve now; not run\n"
	    "  5  not known whether it was carried out\n"
	    "  6  somebody else changed it first; nothing was done\n"
	    "  7  no such job, section or availability zone\n"
	    "  8  not over within the time to wait\n"
	    "  9  internal error\n",
	    stream);
}

static void
print_command_summary(FILE *stream, const struct cli_command *command)
{
	char usage[USAGE_BYTES];

	(void)snprintf(usage, sizeof(usage), "%s%s%s %s", command->group,
	    command->name == NULL ? "" : " ",
	    command->name == NULL ? "" : command->name, command->arguments);
	(void)fprintf(stream, "  %-32s %s\n", usage, command->summary);
}

static void
print_help(FILE *stream, const char *group)
{
	(void)fputs("usage: ibisctl COMMAND [OPTION...] [ARGUMENT...]\n\n"
		    "Commands:\n",
	    stream);
	for (size_t i = 0; i < COUNT_OF(groups); i++) {
		for (size_t j = 0; j < *groups[i].count; j++) {
			const struct cli_command *command =
			    &groups[i].commands[j];

			if (group == NULL || strcmp(group, command->group) == 0)
				print_command_summary(stream, command);
		}
	}
	print_common_help(stream);
}

static void
print_command_help(const struct cli_command *command)
{
	char command_name[USAGE_BYTES];

	cli_command_name(command, command_name, sizeof(command_name));
	(void)printf("usage: %s [OPTION...] %s\n\n%s\n", command_name,
	    command->arguments, command->summary);
	if (command->options_count > 0)
		(void)puts("\nOptions:");
	for (size_t i = 0; i < command->options_count; i++) {
		const struct cli_option *option = &command->options[i];
		char usage[USAGE_BYTES];

		(void)snprintf(usage, sizeof(usage), "--%s%s%s", option->name,
		    option->value == NULL ? "" : " ",
		    option->value == NULL ? "" : option->value);
		(void)printf("  %-28s %s\n", usage, option->help);
	}
	print_common_help(stdout);
}

const char *
cli_value(const struct cli *cli, const char *name)
{
	for (size_t i = 0; i < cli->command->options_count; i++) {
		if (strcmp(cli->command->options[i].name, name) == 0)
			return cli->values[i];
	}
	return NULL;
}

static bool
parse_number(const char *text, int64_t lowest, int64_t highest, int64_t *number)
{
	char *end;

	errno = 0;
	*number = strtoll(text, &end, DECIMAL);
	return errno == 0 && end != text && *end == '\0' && *number >= lowest &&
	    *number <= highest;
}

bool
cli_number(const struct cli *cli, const char *name, int64_t lowest,
    int64_t highest, int64_t *number)
{
	const char *text = cli_value(cli, name);

	if (text == NULL || parse_number(text, lowest, highest, number))
		return true;
	(void)cli_usage_error(cli,
	    "--%s: '%s'; expected a number from %" PRId64 " to %" PRId64, name,
	    text, lowest, highest);
	return false;
}

/* Adds the addresses of a comma-separated list; skips empty and overlong ones
 * and those beyond CLI_MAX_SERVERS. */
static void
add_servers(struct cli *cli, const char *list)
{
	while (*list != '\0' && cli->servers_count < CLI_MAX_SERVERS) {
		size_t length = strcspn(list, ",");
		char *text = cli->server_texts[cli->servers_count];

		if (length > 0 && length < IBIS_PEER_BYTES) {
			memcpy(text, list, length);
			cli->servers[cli->servers_count++] = text;
		}
		list += length;
		if (*list == ',')
			list++;
	}
}

static void
build_options(const struct cli_command *command, struct option *options)
{
	size_t count = COUNT_OF(common_options);

	memcpy(options, common_options, sizeof(common_options));
	for (size_t i = 0; i < command->options_count; i++)
		options[count++] = (struct option){
		    .name = command->options[i].name,
		    .has_arg = command->options[i].value == NULL
			? no_argument
			: required_argument,
		    .val = FIRST_COMMAND_OPTION + (int)i,
		};
	options[count] = (struct option){0};
}

/* Applies one parsed option. Returns -1 to continue or the exit code. */
static int
apply_option(struct cli *cli, int option_value)
{
	int64_t number;

	switch (option_value) {
	case OPTION_HELP:
		print_command_help(cli->command);
		return CLI_OK;
	case OPTION_JSON:
		cli->json = true;
		return -1;
	case OPTION_SERVER:
		add_servers(cli, optarg);
		return -1;
	case OPTION_RETRY:
		if (!parse_number(optarg, 0, MAX_RETRY_MS, &number))
			return cli_usage_error(cli,
			    "--retry-ms: '%s' is not a valid number", optarg);
		cli->retry_ms = (int32_t)number;
		return -1;
	default:
		break;
	}
	if (option_value < FIRST_COMMAND_OPTION)
		return CLI_USAGE;
	cli->values[option_value - FIRST_COMMAND_OPTION] =
	    optarg == NULL ? "" : optarg;
	return -1;
}

static int
run_with_client(struct cli *cli)
{
	const char *env_servers = getenv(SERVER_ENV_VARIABLE);
	struct client_config config = {
	    .servers = cli->servers,
	    .call_timeout_ms = CALL_TIMEOUT_MS,
	    .retry_ms = cli->retry_ms,
	};
	int result;

	if (cli->servers_count == 0 && env_servers != NULL)
		add_servers(cli, env_servers);
	if (cli->servers_count == 0)
		add_servers(cli, DEFAULT_SERVER);
	if (cli->servers_count == 0)
		return cli_usage_error(cli, "no valid server address");
	config.servers_count = cli->servers_count;
	cli->client = client_new(&config);
	result = cli->command->run(cli);
	client_free(cli->client);
	return result;
}

int
cli_run(const struct cli_command *command, int argc, char **argv)
{
	struct option options[COUNT_OF(common_options) + CLI_MAX_OPTIONS + 1];
	struct cli *cli = mem_calloc(1, sizeof(*cli));
	int option_value;
	int result = -1;

	cli->command = command;
	cli->retry_ms = DEFAULT_RETRY_MS;
	build_options(command, options);
	while (result == -1 &&
	    (option_value = getopt_long(argc, argv, "", options, NULL)) != -1)
		result = apply_option(cli, option_value);
	cli->arguments = argv + optind;
	cli->arguments_count = argc - optind;
	if (result == -1 &&
	    (cli->arguments_count < command->min_arguments ||
		cli->arguments_count > command->max_arguments))
		result = cli_usage_error(cli, "expected %s",
		    *command->arguments == '\0' ? "no arguments"
						: command->arguments);
	if (result == -1)
		result = run_with_client(cli);
	mem_free(cli);
	return result;
}

/* Finds a command; *words gets the number of words in its name. Returns NULL
 * when there is none. */
static const struct cli_command *
find_command(const char *group, const char *name, int *words)
{
	for (size_t i = 0; i < COUNT_OF(groups); i++) {
		for (size_t j = 0; j < *groups[i].count; j++) {
			const struct cli_command *command =
			    &groups[i].commands[j];

			if (strcmp(group, command->group) != 0)
				continue;
			*words = command->name == NULL ? 1 : 2;
			if (command->name == NULL ||
			    (name != NULL && strcmp(name, command->name) == 0))
				return command;
		}
	}
	return NULL;
}

int
cli_main(int argc, char **argv)
{
	const char *group = argc > 1 ? argv[1] : NULL;
	const char *name = argc > 2 ? argv[2] : NULL;
	const struct cli_command *command;
	int words;

	if (group == NULL) {
		print_help(stderr, NULL);
		return CLI_USAGE;
	}
	if (strcmp(group, "--help") == 0) {
		print_help(stdout, NULL);
		return CLI_OK;
	}
	command = find_command(group, name, &words);
	if (command != NULL)
		return cli_run(command, argc - words, argv + words);
	if (name != NULL && strcmp(name, "--help") == 0) {
		print_help(stdout, group);
		return CLI_OK;
	}
	(void)fprintf(stderr,
	    "ibisctl: unknown command '%s%s%s'; --help lists the commands\n",
	    group, name == NULL ? "" : " ", name == NULL ? "" : name);
	return CLI_USAGE;
}
