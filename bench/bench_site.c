/*
 * Measures a deployment of real instance processes with a fake store and fake
 * workers: resource use of idle instances as the number of instances, workers
 * and running tasks grows, store calls per job, job completion times, and the
 * time of a takeover. Prints one line per metric. An argument selects one part.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common_deployment.h"
#include "common_jobs.h"
#include "common_traffic.h"
#include "process/alloc.h"
#include "process/clock.h"

#define SEED		    20261203
#define SETTLE_MS	    3000
#define LONG_SETTLE_MS	    18000
#define MEASURE_MS	    6000
#define RACK_WORKERS	    6
#define ZONES		    4
#define ACCELERATORS	    8
#define JOB_RUN_MS	    50
#define LONG_RUN_MS	    600000
#define TAKEOVER_TIMEOUT_MS 20000
#define MS_PER_SECOND	    1000
#define PERCENT		    100.0
#define BYTES_PER_KB	    1024
#define PATH_BYTES	    128
#define LINE_BYTES	    256
#define POINT_BYTES	    32
#define MAX_JOBS	    2048

/* Resource use of an instance; all but resident_kb are totals since start. */
struct usage {
	double cpu_ms;
	double resident_kb;
	double peer_bytes;
	double store_calls;
	double worker_calls;
};

static struct deployment deployment;

static void
print_metric(const char *metric, double value, const char *unit)
{
	(void)printf("metric=%s value=%.4g baseline=none better=lower unit=%s "
		     "seed=%d runs=1\n",
	    metric, value, unit, SEED);
	(void)fflush(stdout);
}

/* ---- Deployment ------------------------------------------------------ */

/* Writes a document with the given number of workers, in racks of RACK_WORKERS
 * distributed over ZONES zones. */
static void
write_document(const char *path, uint32_t workers)
{
	FILE *file = fopen(path, "w");

	if (file == NULL)
		exit(EXIT_FAILURE);
	(void)fputs(
	    "{\"sections\": {\"platform\": {\"availability_zones\": {", file);
	for (uint32_t i = 0; i < ZONES; i++)
		(void)fprintf(file, "%s\"z%u\": {\"in_service\": true}",
		    i > 0 ? ", " : "", i);
	(void)fputs("}, \"endpoints\": {", file);
	for (uint32_t i = 0; i < workers; i++) {
		uint32_t rack = i / RACK_WORKERS;

		if (i % RACK_WORKERS == 0)
			(void)fprintf(file,
			    "%s\"r%u\": {\"availability_zone\": \"z%u\", "
			    "\"accelerators\": %d, \"workers\": [",
			    i > 0 ? "]}, " : "", rack, rack % ZONES,
			    ACCELERATORS);
		(void)fprintf(
		    file, "%s\"w%u\"", i % RACK_WORKERS > 0 ? ", " : "", i);
	}
	(void)fputs("]}}, \"request_classes\": {\"plan\": {\"precedence\": 10, "
		    "\"objective_ms\": 60000, \"objective_target\": 0.99}}, "
		    "\"workspaces\": {\"one\": {\"guarantees\": [], "
		    "\"max_queued_jobs\": 20000, \"max_jobs_per_s\": 5000, "
		    "\"burst_jobs\": 20000}}}}}\n",
	    file);
	(void)fclose(file);
}

static void
start_deployment(uint32_t instances, uint32_t workers)
{
	static char path[PATH_BYTES];
	struct deployment_config config = {
	    .document_path = path,
	    .instances = instances,
	    .time_scale = 1,
	    .seed = SEED,
	};

	(void)snprintf(
	    path, sizeof(path), "/tmp/ibis-bench-%ld.jsonc", (long)getpid());
	write_document(path, workers);
	if (!deployment_start(&deployment, &config)) {
		deployment_stop(&deployment, true);
		exit(EXIT_FAILURE);
	}
}

static void
stop_deployment(void)
{
	(void)unlink(deployment.config.document_path);
	deployment_stop(&deployment, false);
}

/* ---- Usage ----------------------------------------------------------- */

static void
read_process(const struct process *process, struct usage *usage)
{
	char path[PATH_BYTES];
	char line[LINE_BYTES * 4];
	FILE *file;
	const char *field;

	(void)snprintf(
	    path, sizeof(path), "/proc/%ld/stat", (long)process->pid);
	file = fopen(path, "r");
	if (file == NULL || fgets(line, sizeof(line), file) == NULL)
		exit(EXIT_FAILURE);
	(void)fclose(file);
	/* The name in parentheses is field 2; times are fields 14 and 15. */
	field = strrchr(line, ')');
	for (int i = 2; i < 14 && field != NULL; i++)
		field = strchr(field + 1, ' ');
	if (field == NULL)
		exit(EXIT_FAILURE);
	usage->cpu_ms =
	    (strtod(field, NULL) + strtod(strchr(field + 1, ' '), NULL)) *
	    MS_PER_SECOND / (double)sysconf(_SC_CLK_TCK);
	(void)snprintf(
	    path, sizeof(path), "/proc/%ld/statm", (long)process->pid);
	file = fopen(path, "r");
	if (file == NULL || fgets(line, sizeof(line), file) == NULL)
		exit(EXIT_FAILURE);
	(void)fclose(file);
	usage->resident_kb = strtod(strchr(line, ' '), NULL) *
	    (double)sysconf(_SC_PAGESIZE) / BYTES_PER_KB;
}

/* Sums the samples of one metric family in metrics text. */
static double
sum_metric(const char *text, const char *name)
{
	double sum = 0;
	size_t length = strlen(name);

	for (const char *line = text; line != NULL && *line != '\0';) {
		const char *end = strchr(line, '\n');

		if (strncmp(line, name, length) == 0 &&
		    (line[length] == ' ' || line[length] == '{')) {
			const char *value = end == NULL
			    ? strrchr(line, ' ')
			    : memrchr(line, ' ', (size_t)(end - line));

			sum += value == NULL ? 0 : strtod(value, NULL);
		}
		line = end == NULL ? NULL : end + 1;
	}
	return sum;
}

static struct usage
read_usage(uint32_t instance)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	struct usage usage = {0};
	const char *text;

	read_process(&deployment.instances[instance].process, &usage);
	if (deployment_get(&deployment, instance, "/metrics", &answer) !=
	    IBIS_OK)
		exit(EXIT_FAILURE);
	text = buffer_string(&answer.body);
	usage.peer_bytes = sum_metric(text, "ibis_peer_bytes_total");
	usage.store_calls = sum_metric(text, "ibis_store_calls_total");
	usage.worker_calls = sum_metric(text, "ibis_worker_calls_total");
	return usage;
}

static void
pause_ms(int32_t ms)
{
	int64_t until_ms = clock_now_ms() + ms;

	while (clock_now_ms() < until_ms)
		process_sleep(20);
}

/* ---- Idle cost ------------------------------------------------------- */

static void
print_rates(const char *point, const char *role, const struct usage *before,
    const struct usage *after)
{
	const double seconds = (double)MEASURE_MS / MS_PER_SECOND;
	char metric[LINE_BYTES];

	(void)snprintf(metric, sizeof(metric), "rest_cpu_%s_%s", role, point);
	print_metric(metric,
	    (after->cpu_ms - before->cpu_ms) / MEASURE_MS * PERCENT,
	    "percent_of_core");
	(void)snprintf(metric, sizeof(metric), "rest_rss_%s_%s", role, point);
	print_metric(metric, after->resident_kb / BYTES_PER_KB, "MB");
	(void)snprintf(metric, sizeof(metric), "rest_peer_%s_%s", role, point);
	print_metric(metric,
	    (after->peer_bytes - before->peer_bytes) / BYTES_PER_KB / seconds,
	    "KB/s");
	(void)snprintf(metric, sizeof(metric), "rest_store_%s_%s", role, point);
	print_metric(metric,
	    (after->store_calls - before->store_calls) / seconds, "calls/s");
	(void)snprintf(
	    metric, sizeof(metric), "rest_worker_%s_%s", role, point);
	print_metric(metric,
	    (after->worker_calls - before->worker_calls) / seconds, "calls/s");
}

/* Measures the lead and one other instance over MEASURE_MS. */
static void
measure_idle(const char *point, int32_t settle_ms)
{
	int lead = deployment_wait_lead(&deployment, -1, TAKEOVER_TIMEOUT_MS);
	uint32_t other = lead == 0 ? 1 : 0;
	struct usage lead_before;
	struct usage other_before;
	struct usage lead_after;
	struct usage other_after;

	if (lead < 0)
		exit(EXIT_FAILURE);
	pause_ms(settle_ms);
	lead_before = read_usage((uint32_t)lead);
	other_before = read_usage(other);
	pause_ms(MEASURE_MS);
	lead_after = read_usage((uint32_t)lead);
	other_after = read_usage(other);
	print_rates(point, "lead", &lead_before, &lead_after);
	print_rates(point, "other", &other_before, &other_after);
}

static void
measure_instances(void)
{
	static const uint32_t points[] = {3, 5, 8};
	char point[POINT_BYTES];

	for (size_t i = 0; i < COUNT_OF(points); i++) {
		start_deployment(points[i], 48);
		(void)snprintf(point, sizeof(point), "instances%u", points[i]);
		measure_idle(point, SETTLE_MS);
		stop_deployment();
	}
}

static void
measure_workers(void)
{
	static const uint32_t points[] = {48, 192, 576};
	char point[POINT_BYTES];

	for (size_t i = 0; i < COUNT_OF(points); i++) {
		start_deployment(3, points[i]);
		(void)snprintf(point, sizeof(point), "workers%u", points[i]);
		measure_idle(point, SETTLE_MS);
		stop_deployment();
	}
}

/* Submits jobs of one gang of 16 long tasks each and waits until all tasks
 * run. */
static void
start_tasks(uint32_t tasks)
{
	char id[JOB_ID_BYTES];
	char key[JOB_NAME_BYTES];

	for (uint32_t i = 0; i < tasks / 16; i++) {
		struct job_spec spec = {
		    .workspace = "one",
		    .request_class = "plan",
		    .key = key,
		    .adjacency = "any",
		    .payload = "",
		    .tasks = 16,
		    .accelerators = 1,
		    .run_time_ms = LONG_RUN_MS,
		    .idempotent = true,
		};

		(void)snprintf(key, sizeof(key), "long-%u", i);
		if (job_submit(&deployment, 0, &spec, id) != IBIS_OK)
			exit(EXIT_FAILURE);
	}
	if (!deployment_wait_events(
		deployment.workers_log, "start", tasks, TAKEOVER_TIMEOUT_MS))
		exit(EXIT_FAILURE);
}

static void
measure_tasks(void)
{
	static const uint32_t points[] = {0, 384, 1536};
	char point[POINT_BYTES];

	for (size_t i = 0; i < COUNT_OF(points); i++) {
		start_deployment(3, 192);
		start_tasks(points[i]);
		(void)snprintf(point, sizeof(point), "tasks%u", points[i]);
		measure_idle(point, LONG_SETTLE_MS);
		stop_deployment();
	}
}

/* ---- Jobs ------------------------------------------------------------ */

/* Returns the store calls of all instances since they started. */
static double
store_calls(void)
{
	double sum = 0;

	for (uint32_t i = 0; i < deployment.count; i++)
		sum += read_usage(i).store_calls;
	return sum;
}

static int
compare_times(const void *left, const void *right)
{
	int64_t difference = *(const int64_t *)left - *(const int64_t *)right;

	return difference < 0 ? -1 : difference > 0;
}

static void
print_times(const struct traffic *traffic, const char *point)
{
	int64_t times_ms[MAX_JOBS];
	char metric[LINE_BYTES];
	size_t count = 0;
	size_t rank99;
	size_t rank50;

	for (uint32_t i = 0; i < traffic->mix.jobs; i++) {
		if (traffic->results[i].outcome == LOAD_FINISHED)
			times_ms[count++] = traffic->results[i].completion_ms;
	}
	if (count == 0)
		exit(EXIT_FAILURE);
	rank50 = count / 2;
	rank99 = count * 99 / 100;
	qsort(times_ms, count, sizeof(*times_ms), compare_times);
	(void)snprintf(metric, sizeof(metric), "job_p50_%s", point);
	print_metric(metric, (double)times_ms[rank50], "ms");
	(void)snprintf(metric, sizeof(metric), "job_p99_%s", point);
	print_metric(metric, (double)times_ms[rank99], "ms");
	(void)snprintf(metric, sizeof(metric), "jobs_unfinished_%s", point);
	print_metric(metric, (double)(traffic->mix.jobs - count), "jobs");
}

/* Measures jobs at one rate. Store calls per job exclude those that the idle
 * instances make anyway, measured before. */
static void
measure_rate(uint32_t jobs, double jobs_per_s)
{
	struct traffic traffic;
	char point[POINT_BYTES];
	char metric[LINE_BYTES];
	double calls;
	double idle_calls_per_ms;
	int64_t begin_ms;

	(void)snprintf(point, sizeof(point), "rate%.0f", jobs_per_s);
	calls = store_calls();
	pause_ms(MEASURE_MS);
	idle_calls_per_ms = (store_calls() - calls) / MEASURE_MS;
	traffic_init(&traffic, &deployment, point, jobs, jobs_per_s);
	traffic.callers = 64;
	traffic_add_kind(&traffic, "one", "plan", JOB_RUN_MS)->idempotent =
	    true;
	calls = store_calls();
	begin_ms = clock_now_ms();
	if (!traffic_start(&traffic))
		exit(EXIT_FAILURE);
	traffic_join(&traffic);
	calls = store_calls() - calls -
	    idle_calls_per_ms * (double)(clock_now_ms() - begin_ms);
	(void)snprintf(metric, sizeof(metric), "store_calls_a_job_%s", point);
	print_metric(metric, calls / jobs, "calls");
	print_times(&traffic, point);
	traffic_free(&traffic);
}

static void
measure_jobs(void)
{
	start_deployment(3, 48);
	pause_ms(SETTLE_MS);
	measure_rate(100, 10);
	measure_rate(400, 50);
	measure_rate(800, 200);
	stop_deployment();
}

/* Measures the time from killing the lead until the others report
 * a new lead. */
static void
measure_takeover(void)
{
	static const uint32_t points[] = {0, 384, 1536};
	char metric[LINE_BYTES];

	for (size_t i = 0; i < COUNT_OF(points); i++) {
		int lead;
		int64_t begin_ms;

		start_deployment(3, 192);
		start_tasks(points[i]);
		lead =
		    deployment_wait_lead(&deployment, -1, TAKEOVER_TIMEOUT_MS);
		begin_ms = clock_now_ms();
		deployment_kill(&deployment, (uint32_t)lead);
		if (deployment_wait_lead(
			&deployment, lead, TAKEOVER_TIMEOUT_MS) < 0)
			exit(EXIT_FAILURE);
		(void)snprintf(
		    metric, sizeof(metric), "takeover_tasks%u", points[i]);
		print_metric(metric, (double)(clock_now_ms() - begin_ms), "ms");
		stop_deployment();
	}
}

int
main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} parts[] = {
	    {"jobs", measure_jobs},
	    {"takeover", measure_takeover},
	    {"instances", measure_instances},
	    {"workers", measure_workers},
	    {"tasks", measure_tasks},
	};

	for (size_t i = 0; i < COUNT_OF(parts); i++) {
		if (argc < 2 || strcmp(argv[1], parts[i].name) == 0)
			parts[i].run();
	}
	return EXIT_SUCCESS;
}
