/*
 * ibis-site: starts a site (instances, fake platform, fake workers) on
 * loopback. Prints the address and process id of each process and runs until
 * SIGINT or SIGTERM; with --demo it runs the demonstration and prints its
 * result counts instead. Exits with 0 when everything succeeded.
 */
#include <getopt.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common_demo.h"
#include "common_deployment.h"
#include "process/alloc.h"

#define DEFAULT_INSTANCES 3
#define EXIT_USAGE	  2
#define DECIMAL		  10
#define STOP_TIMEOUT_MS	  10000

struct flags {
	struct deployment_config site;
	bool demo;
};

static int
usage(void)
{
	(void)fputs("usage: ibis-site --document FILE [--instances N] "
		    "[--time-scale X] [--seed N] [--demo]\n",
	    stderr);
	return EXIT_USAGE;
}

static bool
parse_flags(int argc, char **argv, struct flags *flags)
{
	static const struct option options[] = {
	    {"document", required_argument, NULL, 'd'},
	    {"instances", required_argument, NULL, 'i'},
	    {"time-scale", required_argument, NULL, 't'},
	    {"seed", required_argument, NULL, 's'},
	    {"demo", no_argument, NULL, 'm'},
	    {NULL, 0, NULL, 0},
	};
	int option;

	while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (option == 'd')
			flags->site.document_path = optarg;
		else if (option == 'i')
			flags->site.instances =
			    (uint32_t)strtoul(optarg, NULL, DECIMAL);
		else if (option == 't')
			flags->site.time_scale = strtod(optarg, NULL);
		else if (option == 's')
			flags->site.seed =
			    (uint32_t)strtoul(optarg, NULL, DECIMAL);
		else if (option == 'm')
			flags->demo = true;
		else
			return false;
	}
	return optind == argc && flags->site.document_path != NULL &&
	    flags->site.instances > 0 &&
	    flags->site.instances <= DEPLOYMENT_MAX_INSTANCES;
}

static void
print_processes(const struct deployment *deployment)
{
	for (uint32_t i = 0; i < deployment->count; i++)
		(void)printf("instance=%s address=%s pid=%d\n",
		    deployment->instances[i].name,
		    deployment->instances[i].caller,
		    (int)deployment->instances[i].process.pid);
	(void)printf("fake=platform address=%s pid=%d log=%s\n",
	    deployment->platform_address, (int)deployment->platform.pid,
	    deployment->platform_log);
	(void)printf("fake=workers address=%s pid=%d log=%s\n",
	    deployment->workers_address, (int)deployment->workers.pid,
	    deployment->workers_log);
}

/* Stops all instances with SIGTERM; false when one of them did not exit with
 * 0 in time. */
static bool
stop_instances(struct deployment *deployment)
{
	bool ok = true;

	for (uint32_t i = 0; i < deployment->count; i++)
		process_terminate(&deployment->instances[i].process);
	for (uint32_t i = 0; i < deployment->count; i++) {
		if (deployment->instances[i].process.pid > 0 &&
		    process_wait(&deployment->instances[i].process,
			STOP_TIMEOUT_MS) != EXIT_SUCCESS) {
			(void)fprintf(stderr,
			    "%s: planned stop failed or timed out\n",
			    deployment->instances[i].name);
			ok = false;
		}
	}
	return ok;
}

static void
wait_for_signal(void)
{
	sigset_t signals;
	int number;

	(void)sigemptyset(&signals);
	(void)sigaddset(&signals, SIGINT);
	(void)sigaddset(&signals, SIGTERM);
	(void)sigwait(&signals, &number);
}

static void
block_signals(void)
{
	sigset_t signals;

	(void)sigemptyset(&signals);
	(void)sigaddset(&signals, SIGINT);
	(void)sigaddset(&signals, SIGTERM);
	(void)pthread_sigmask(SIG_BLOCK, &signals, NULL);
}

static bool
run(struct deployment *deployment, const struct flags *flags)
{
	if (!deployment_start(deployment, &flags->site))
		return false;
	if (flags->demo)
		return demo_run(deployment);
	print_processes(deployment);
	(void)puts("ready");
	(void)fflush(stdout);
	wait_for_signal();
	return true;
}

int
main(int argc, char **argv)
{
	struct flags flags = {
	    .site = {.instances = DEFAULT_INSTANCES, .seed = 1},
	};
	struct deployment *deployment = mem_calloc(1, sizeof(*deployment));
	bool ok;

	if (!parse_flags(argc, argv, &flags)) {
		mem_free(deployment);
		return usage();
	}
	block_signals();
	ok = run(deployment, &flags);
	ok = stop_instances(deployment) && ok;
	deployment_stop(deployment, !ok);
	mem_free(deployment);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
