/*
 * One instance on the users' platform: takes callers' jobs into the platform's
 * store, follows the store, and leads the fleet of workers while it holds the
 * lead's lease there. One control thread owns all of it.
 */
#ifndef IBIS_AGENT_H
#define IBIS_AGENT_H

#include <stdbool.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "process/log.h"

/* What the platform's settings file has no field for. */
struct agent_options {
	enum log_level log_level;
	int32_t log_event_lines_per_s; /* 0: the default */
};

/* Runs with the platform's settings file, which its environment variable
 * names, until SIGTERM has been served. Returns 0, or 1 with status filled. */
int agent_run(const struct agent_options *options, struct ibis_status *status);

/* Checks a settings file of the platform; an error names the field, its unit
 * and its range. */
enum ibis_code agent_check_settings(
    const char *path, struct ibis_status *status);

/* Tells whether a file has the form of the platform's settings, right or
 * wrong. */
bool agent_settings_recognise(const char *path);

#endif
