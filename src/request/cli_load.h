/* The command of ibis_load, the load generator. */
#ifndef IBIS_CLI_LOAD_H
#define IBIS_CLI_LOAD_H

#include "request/cli.h"

/* Submits a mix of jobs, waits for their ends and prints a summary for each
 * request class. */
extern const struct cli_command cli_load_command;

#endif
