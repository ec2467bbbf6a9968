/*
 * Framework for the command-line programs: commands with long options, output
 * as tables or JSON, one-line errors, and exit codes.
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
	CLI_OK,		  /* done; for a job: finished */
	CLI_UNSUCCESSFUL, /* job not finished, or load errors */
	CLI_USAGE,	  /* wrong arguments or input */
	CLI_REFUSED,	  /* refused by a limit or as not run */
	CLI_UNREACHABLE,  /* no instance is reachable or serving */
	CLI_UNKNOWN,	  /* outcome unknown: it may have taken effect */
	CLI_CONFLICT,	  /* another client changed the item first */
	CLI_NOT_FOUND,	  /* no such job, section or zone */
	CLI_PENDING,	  /* not ended within the time to wait */
	CLI_INTERNAL	  /* internal error or unexpected answer */
};

enum {
	CLI_MAX_OPTIONS = 24,
	CLI_MAX_SERVERS = 32,
	CLI_INPUT_BYTES = 1 << 20 /* largest input file of a command */
};

/* One long option of a command. */
struct cli_option {
	const char *name;
	const char *value; /* placeholder; NULL for a flag */
	const char *help;
};

struct cli;

/* A command, called as "PROGRAM GROUP NAME [OPTION...] ARGUMENTS". */
struct cli_command {
	/* Group and name, such as "job" and "submit". name is NULL if the group
	 * is the command, and both are if the program is the command. */
	const char *group;
	const char *name;
	const char *arguments; /* for the usage line; "" if none */
	const char *summary;
	int min_arguments;
	int max_arguments;
	const struct cli_option *options;
	size_t options_count;
	int (*run)(struct cli *cli); /* returns the exit code */
	const char *path; /* HTTP path that cli_show reads; else NULL */
};

/* One invocation of a command. */
struct cli {
	const struct cli_command *command;
	char *const *arguments; /* those after the options */
	int arguments_count;
	const char *values[CLI_MAX_OPTIONS]; /* by option; NULL if not given */
	bool json;
	struct client *client;
	/* Storage for the addresses in servers. */
	char server_texts[CLI_MAX_SERVERS][IBIS_PEER_BYTES];
	const char *servers[CLI_MAX_SERVERS]; /* IP:PORT each */
	size_t servers_count;
	int32_t retry_ms; /* longest time spent on one call's retries */
};

/* Finds the command named by the first one or two arguments and runs it.
 * Returns the exit code. */
int cli_main(int argc, char **argv);

/* Parses the options, creates the client and runs a command. argv[0] is the
 * last word of the command's name. Returns the exit code. */
int cli_run(const struct cli_command *command, int argc, char **argv);

/* Writes "PROGRAM GROUP NAME" to text, truncated to bytes. */
void cli_command_name(
    const struct cli_command *command, char *text, size_t bytes);

/* Returns the value of an option: NULL when it was not given, "" for a flag.
 * Owned by the command line. */
const char *cli_value(const struct cli *cli, const char *name);

/*
 * Reads an integer option from lowest to highest. Prints an error and returns
 * false when it is invalid. *number is unchanged when the option is not given.
 */
bool cli_number(const struct cli *cli, const char *name, int64_t lowest,
    int64_t highest, int64_t *number);

/* Prints a one-line error with step and peer. Returns the exit code for code.
 */
int cli_fail(enum ibis_code code, const struct ibis_status *status);

/* Prints a one-line error about the arguments. Returns CLI_USAGE. */
int cli_usage_error(const struct cli *cli, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Prints an answer to standard output: formatted JSON with --json, otherwise
 * one line for each scalar and a table for each array of objects. */
void cli_print(const struct cli *cli, struct json_object *json);

/* Sends a call and prints the answer or the error. Returns the exit code. */
int cli_call(struct cli *cli, const struct client_call *call);

/* Sends a GET of the command's path and prints the answer or the error. Returns
 * the exit code. */
int cli_show(struct cli *cli);

/*
 * Append a whole file to text; "-" is standard input. Return IBIS_INVALID when
 * the file can't be read or text exceeds max_bytes; cli_read_nonempty_file also
 * when it is empty.
 */
enum ibis_code cli_read_input(const char *path, size_t max_bytes,
    struct buffer *text, struct ibis_status *status);
enum ibis_code cli_read_nonempty_file(const char *path, size_t max_bytes,
    struct buffer *text, struct ibis_status *status);

/* The commands of ibisctl, by group of commands. */
extern const struct cli_command cli_job_commands[];
extern const size_t cli_job_commands_count;
extern const struct cli_command cli_document_commands[];
extern const size_t cli_document_commands_count;
extern const struct cli_command cli_site_commands[];
extern const size_t cli_site_commands_count;
extern const struct cli_command cli_log_commands[];
extern const size_t cli_log_commands_count;

#endif
