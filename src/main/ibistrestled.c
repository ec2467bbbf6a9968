/* Entry point of ibistrestled, the daemon that runs one entry instance. */
#include <getopt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "agent/agent.h"
#include "ibistrestle.h"

#define MAX_OVERRIDES 64
#define MAX_LOG_LINES 100000

static const struct option long_options[] = {
    {"settings", required_argument, NULL, 's'},
    {"set", required_argument, NULL, 'o'},
    {"check-settings", required_argument, NULL, 'c'},
    {"print-defaults", no_argument, NULL, 'p'},
    {"platform", no_argument, NULL, 'f'},
    {"log-level", required_argument, NULL, 'l'},
    {"log-lines", required_argument, NULL, 'n'},
    {"help", no_argument, NULL, 'h'},
    {NULL, 0, NULL, 0},
};

static void
usage(FILE *stream)
{
	(void)fputs(
	    "usage: ibistrestled --settings FILE [--set KEY=VALUE ...]\n"
	    "       ibistrestled --platform [--log-level LEVEL] [--log-lines "
	    "N]\n"
	    "       ibistrestled --check-settings FILE\n"
	    "       ibistrestled --print-defaults\n"
	    "\n"
	    "Runs one entry instance until SIGTERM or SIGINT, on which it\n"
	    "finishes open requests, hands over the lead and exits.\n"
	    "--platform runs it on the users' platform, with the settings "
	    "file\n"
	    "that IBISTRESTLE_CONFIG names;\n"
	    "there --log-level is debug, info, warn or error, and --log-lines\n"
	    "limits the log lines per second of each event. --check-settings\n"
	    "accepts the settings file of either mode.\n"
	    "\n"
	    "Exit codes: 0 stopped as asked, 1 could not start,\n"
	    "2 wrong usage or settings.\n",
	    stream);
}

static int
report_failure(const struct ibis_status *status, int code)
{
	(void)fprintf(stderr, "ibistrestled: %s: %s%s%s\n", status->step,
	    status->peer, *status->peer == '\0' ? "" : ": ", status->message);
	return code;
}

/* Waits for SIGTERM or SIGINT, which every thread of the process blocks. */
static void
wait_for_stop(const sigset_t *signals)
{
	int signal_number;

	while (sigwait(signals, &signal_number) != 0)
		continue;
}

static int
run(const struct ibis_settings *settings)
{
	struct ibis_status status = {0};
	struct ibis_daemon *daemon;
	sigset_t signals;

	(void)signal(SIGPIPE, SIG_IGN);
	(void)sigemptyset(&signals);
	(void)sigaddset(&signals, SIGTERM);
	(void)sigaddset(&signals, SIGINT);
	(void)pthread_sigmask(SIG_BLOCK, &signals, NULL);
	daemon = ibis_daemon_start(settings, &status);
	if (daemon == NULL)
		return report_failure(&status, 1);
	(void)printf("ready caller=%s peer=%s\n",
	    ibis_daemon_caller_address(daemon),
	    ibis_daemon_peer_address(daemon));
	(void)fflush(stdout);
	wait_for_stop(&signals);
	ibis_daemon_stop(daemon);
	ibis_daemon_join(daemon);
	return 0;
}

static int
run_on_platform(const struct agent_options *options)
{
	struct ibis_status status = {0};

	return agent_run(options, &status) == 0 ? 0
						: report_failure(&status, 1);
}

static int
check_platform_settings(const char *path)
{
	struct ibis_status status = {0};

	return agent_check_settings(path, &status) == IBIS_OK
	    ? 0
	    : report_failure(&status, 2);
}

/* Parses the value of --log-lines. Prints an error and returns false when it
 * is invalid. */
static bool
parse_log_lines(const char *text, int32_t *lines)
{
	char *end;
	long number = strtol(text, &end, 10);

	if (*text != '\0' && *end == '\0' && number >= 1 &&
	    number <= MAX_LOG_LINES) {
		*lines = (int32_t)number;
		return true;
	}
	(void)fprintf(stderr,
	    "ibistrestled: --log-lines: '%s'; expected lines a second from 1 "
	    "to %d\n",
	    text, MAX_LOG_LINES);
	return false;
}

/* Parses the value of --log-level. Prints an error and returns false when it
 * is invalid. */
static bool
parse_log_level(const char *text, enum log_level *level)
{
	if (log_level_parse(text, level))
		return true;
	(void)fprintf(stderr,
	    "ibistrestled: --log-level: '%s'; expected debug, info, warn or "
	    "error\n",
	    text);
	return false;
}

int
main(int argc, char **argv)
{
	const char *overrides[MAX_OVERRIDES];
	struct ibis_status status = {0};
	struct ibis_settings *settings;
	const char *path = NULL;
	struct agent_options agent = {.log_level = LOG_INFO};
	bool check_only = false;
	bool platform = false;
	size_t count = 0;
	int option;
	int code = 0;

	while (
	    (option = getopt_long(argc, argv, "h", long_options, NULL)) != -1) {
		switch (option) {
		case 's':
			path = optarg;
			break;
		case 'o':
			if (count < MAX_OVERRIDES)
				overrides[count++] = optarg;
			break;
		case 'c':
			path = optarg;
			check_only = true;
			break;
		case 'f':
			platform = true;
			break;
		case 'l':
			if (!parse_log_level(optarg, &agent.log_level))
				return 2;
			break;
		case 'n':
			if (!parse_log_lines(
				optarg, &agent.log_event_lines_per_s))
				return 2;
			break;
		case 'p':
			ibis_settings_print_defaults();
			return 0;
		case 'h':
			usage(stdout);
			return 0;
		default:
			usage(stderr);
			return 2;
		}
	}
	if (platform && path == NULL && optind == argc)
		return run_on_platform(&agent);
	if (path == NULL || platform || optind != argc) {
		usage(stderr);
		return 2;
	}
	if (check_only && agent_settings_recognise(path))
		return check_platform_settings(path);
	settings = ibis_settings_read(path, overrides, count, &status);
	if (settings == NULL)
		return report_failure(&status, 2);
	if (!check_only)
		code = run(settings);
	ibis_settings_free(settings);
	return code;
}
