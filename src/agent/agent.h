/*
 * One instance on the users' platform: stores callers' jobs in the platform's
 * key-value store, follows the store's changes, and schedules tasks on the
 * workers while it holds the lead lease. One control thread owns all state.
 */
#ifndef IBIS_AGENT_H
#define IBIS_AGENT_H

#include <stdbool.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "process/log.h"

/* Options that the platform's settings file has no field for. */
struct agent_options {
	enum log_level log_level;
	int32_t log_event_lines_per_s; /* 0: the default */
};

/*
 * Runs an instance until a planned stop, requested by SIGTERM or SIGINT, is
 * complete. SIGHUP reloads the settings. The settings file is the one that the
 * environment variable PLATFORM_SETTINGS_ENV names. Returns 0, or 1 with status
 * filled when the instance can't start.
 */
int agent_run(const struct agent_options *options, struct ibis_status *status);

/* Checks a settings file of the platform. On an error, status names the field,
 * its unit and its range. */
enum ibis_code agent_check_settings(
    const char *path, struct ibis_status *status);

/* Returns whether a file has the form of the platform's settings, whether or
 * not they are valid. */
bool agent_settings_recognise(const char *path);

#endif
