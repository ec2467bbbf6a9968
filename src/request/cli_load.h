/* The command of the load program. */
#ifndef IBIS_CLI_LOAD_H
#define IBIS_CLI_LOAD_H

#include "request/cli.h"

extern const struct cli_command cli_load_command;

#endif
