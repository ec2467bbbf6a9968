/*
 * fake-workers: test stand-in for the platform's workers, many in one process.
 * Faults are injected over HTTP.
 */
#include <getopt.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/fake_log.h"
#include "common/fake_server.h"
#include "process/alloc.h"
#include "workers/worker_pool.h"

#define DEFAULT_WORKERS		 8
#define DEFAULT_ACCELERATORS	 8
#define DEFAULT_WORKERS_PER_RACK 4
#define DEFAULT_CHECKPOINT_MS	 200
#define DEFAULT_SEED		 20261203
#define DECIMAL			 10
#define MAX_ZONES		 16
#define NAME_BYTES		 64
#define ZONE_LIST_BYTES		 512

struct flags {
	const char *listen;
	const char *log_path;
	const char *platform;
	const char *layout;
	const char *zones; /* comma-separated */
	uint32_t workers;
	uint32_t workers_per_rack;
	uint32_t accelerators;
	struct worker_pool_config pool;
};

static int
usage(void)
{
	(void)fputs("usage: fake-workers [--listen IP:PORT] [--log FILE] "
		    "[--platform IP:PORT]\n"
		    "    [--layout FILE | --workers N --zones A,B "
		    "--workers-a-rack N --accelerators N]\n"
		    "    [--time-scale X] [--checkpoint-ms N] [--seed N]\n",
	    stderr);
	return 2;
}

static bool
set_flag(struct flags *flags, int option, const char *value)
{
	switch (option) {
	case 'l':
		flags->listen = value;
		return true;
	case 'o':
		flags->log_path = value;
		return true;
	case 'p':
		flags->platform = value;
		return true;
	case 'y':
		flags->layout = value;
		return true;
	case 'z':
		flags->zones = value;
		return true;
	case 'w':
		flags->workers = (uint32_t)strtoul(value, NULL, DECIMAL);
		return true;
	case 'r':
		flags->workers_per_rack =
		    (uint32_t)strtoul(value, NULL, DECIMAL);
		return flags->workers_per_rack > 0;
	case 'a':
		flags->accelerators = (uint32_t)strtoul(value, NULL, DECIMAL);
		return true;
	case 't':
		flags->pool.time_scale = strtod(value, NULL);
		return flags->pool.time_scale > 0;
	case 'c':
		flags->pool.checkpoint_ms = strtoll(value, NULL, DECIMAL);
		return true;
	case 's':
		flags->pool.seed = strtoull(value, NULL, DECIMAL);
		return true;
	default:
		return false;
	}
}

static bool
parse_flags(int argc, char **argv, struct flags *flags)
{
	static const struct option options[] = {
	    {"listen", required_argument, NULL, 'l'},
	    {"log", required_argument, NULL, 'o'},
	    {"platform", required_argument, NULL, 'p'},
	    {"layout", required_argument, NULL, 'y'},
	    {"zones", required_argument, NULL, 'z'},
	    {"workers", required_argument, NULL, 'w'},
	    {"workers-a-rack", required_argument, NULL, 'r'},
	    {"accelerators", required_argument, NULL, 'a'},
	    {"time-scale", required_argument, NULL, 't'},
	    {"checkpoint-ms", required_argument, NULL, 'c'},
	    {"seed", required_argument, NULL, 's'},
	    {NULL, 0, NULL, 0},
	};
	int option;

	while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (!set_flag(flags, option, optarg))
			return false;
	}
	return optind == argc;
}

/* Adds workers w1, w2, ..., distributed round-robin over the zones. Each rack
 * of a zone is filled before the next one. */
static void
add_workers(struct worker_pool *pool, const struct flags *flags)
{
	char list[ZONE_LIST_BYTES];
	const char *zones[MAX_ZONES] = {""};
	uint32_t count = 0;
	char *rest = list;

	STRING_COPY(list, flags->zones);
	while (count < MAX_ZONES && rest != NULL)
		zones[count++] = strsep(&rest, ",");
	for (uint32_t i = 0; i < flags->workers; i++) {
		const char *zone = zones[i % count];
		char name[NAME_BYTES];
		char rack[NAME_BYTES];

		(void)snprintf(name, sizeof(name), "w%" PRIu32, i + 1);
		(void)snprintf(rack, sizeof(rack), "%.32s-r%" PRIu32, zone,
		    i / count / flags->workers_per_rack + 1);
		worker_pool_add(pool, name, zone, rack, flags->accelerators);
	}
}

static int
run_server(struct worker_pool *pool, const struct flags *flags)
{
	struct fake_server *server =
	    fake_server_start(flags->listen, worker_pool_handle, pool);
	int result = EXIT_FAILURE;

	if (server == NULL)
		return EXIT_FAILURE;
	if (!worker_pool_start(pool))
		(void)fputs(
		    "cannot start the thread that advances the workers\n",
		    stderr);
	else if (flags->platform != NULL &&
	    !worker_pool_register(
		pool, flags->platform, fake_server_address(server)))
		(void)fprintf(stderr, "cannot register the workers with %s\n",
		    flags->platform);
	else
		result = EXIT_SUCCESS;
	if (result == EXIT_SUCCESS)
		fake_wait_for_signal(server);
	worker_pool_stop(pool);
	fake_server_stop(server);
	return result;
}

int
main(int argc, char **argv)
{
	struct flags flags = {
	    .listen = "127.0.0.1:0",
	    .zones = "a,b",
	    .workers = DEFAULT_WORKERS,
	    .workers_per_rack = DEFAULT_WORKERS_PER_RACK,
	    .accelerators = DEFAULT_ACCELERATORS,
	    .pool = {.time_scale = 1,
		.checkpoint_ms = DEFAULT_CHECKPOINT_MS,
		.seed = DEFAULT_SEED},
	};
	struct worker_pool *pool;
	int result = EXIT_FAILURE;

	if (!parse_flags(argc, argv, &flags))
		return usage();
	if (!fake_log_open(flags.log_path))
		return EXIT_FAILURE;
	fake_block_signals();
	pool = worker_pool_new(&flags.pool);
	if (flags.layout == NULL)
		add_workers(pool, &flags);
	if (flags.layout == NULL || worker_pool_read_layout(pool, flags.layout))
		result = run_server(pool, &flags);
	worker_pool_free(pool);
	return result;
}
