/*
 * Frame of the command line: commands with long options, output as table or
 * JSON, one-line errors, and exit codes.
 */
#ifndef IBIS_CLI_H
#define IBIS_CLI_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "ibistrestle.h"
#include "request/client.h"

enum cli_exit {
	CLI_OK,
	CLI_NOT_WELL,	 /* the job ended otherwise than finished */
	CLI_USAGE,	 /* wrong arguments or input */
	CLI_REFUSED,	 /* refused; not run */
	CLI_UNREACHABLE, /* no instance can be reached, or none serves now */
	CLI_UNKNOWN,	 /* not known whether it was carried out */
	CLI_CONFLICT,	 /* somebody else changed it first */
	CLI_NOT_FOUND,	 /* no such job, section or zone */
	CLI_PENDING,	 /* not over within the time to wait */
	CLI_INTERNAL
};

enum {
	CLI_MAX_OPTIONS = 24,
	CLI_MAX_SERVERS = 32,
	CLI_INPUT_BYTES = 1 << 20 /* largest input of a command */
};

/* One long option of a command. */
struct cli_option {
	const char *name;
	const char *value; /* placeholder; NULL for a flag */
	const char *help;
};

struct cli;

struct cli_command {
	const char *group; /* "job"; NULL when the program is the command */
	const char *name;  /* "submit"; NULL when the group is the command */
	const char *arguments; /* for the help; "" */
	const char *summary;
	int min_arguments;
	int max_arguments;
	const struct cli_option *options;
	size_t options_count;
	int (*run)(struct cli *cli);
	const char *path; /* what cli_show reads */
};

/* A command as it was called. */
struct cli {
	const struct cli_command *command;
	char *const *arguments; /* what follows the options */
	int arguments_count;
	const char *values[CLI_MAX_OPTIONS]; /* by option; NULL not given */
	bool json;
	struct client *client; /* NULL for commands without a server */
	char server_texts[CLI_MAX_SERVERS][IBIS_PEER_BYTES];
	const char *servers[CLI_MAX_SERVERS];
	size_t servers_count;
	int32_t retry_ms;
};

/* Finds the command named by the first arguments and runs it; returns the exit
 * code. */
int cli_main(int argc, char **argv);

/* Runs a command; argv[0] is its last name. Returns the exit code. */
int cli_run(const struct cli_command *command, int argc, char **argv);

/* Writes the words that a command is called by, the program's name first. */
void cli_command_name(
    const struct cli_command *command, char *text, size_t bytes);

/* Value of an option, NULL when it was not given; "" for a flag. */
const char *cli_value(const struct cli *cli, const char *name);

/*
 * Reads a number option within a range. Returns false after printing what is
 * wrong. Without the option *number stays.
 */
bool cli_number(const struct cli *cli, const char *name, int64_t lowest,
    int64_t highest, int64_t *number);

/* Prints a one-line error with step and peer; returns the exit code. */
int cli_fail(enum ibis_code code, const struct ibis_status *status);
int cli_usage_error(const struct cli *cli, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Prints an answer: as it came with --json; else scalars a line each and each
 * array of objects as a table. */
void cli_print(const struct cli *cli, struct json_object *json);

/* Sends a call and prints the answer; returns the exit code. */
int cli_call(struct cli *cli, const struct client_call *call);

/* Reads the command's path and prints the answer; returns the exit code. */
int cli_show(struct cli *cli);

/* Reads a whole file, "-" being standard input; the first may be empty. */
enum ibis_code cli_read_any(const char *path, size_t max_bytes,
    struct buffer *text, struct ibis_status *status);
enum ibis_code cli_read_file(const char *path, size_t max_bytes,
    struct buffer *text, struct ibis_status *status);

/* Commands by concern. */
extern const struct cli_command cli_job_commands[];
extern const size_t cli_job_commands_count;
extern const struct cli_command cli_document_commands[];
extern const size_t cli_document_commands_count;
extern const struct cli_command cli_site_commands[];
extern const size_t cli_site_commands_count;
extern const struct cli_command cli_log_commands[];
extern const size_t cli_log_commands_count;

#endif
