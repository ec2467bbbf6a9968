/*
 * A new version of the configuration adds a queue that another service serves.
 * Jobs of the queue that was there must go on to be run by its own service.
 */
#include <stdio.h>
#include <string.h>

#include "../common-2/http.h"
#include "../common-2/record.h"
#include "../common-2/site.h"

enum {
	WORKERS = 3, /* of each service */
	JOBS = 6,
	APPLY_MS = 2000, /* ConfigApplyMs */
	SLACK_MS = 1000,
	RUN_MS = 300,
	CONFIG_BYTES = 2048
};

#define OLD_SERVICE "route-planner"
#define NEW_SERVICE "record-archive"
#define OLD_QUEUE \
	"hsinchu-hoofline-farrier-rounds/taoyuan-stables/same-day-reshuffle"
#define NEW_QUEUE                                          \
	"hsinchu-hoofline-farrier-rounds/taoyuan-stables/" \
	"shoeing-record-archive"

/* Stores a version with the old queue, or with both. */
static void
configure(struct site *site, int version, bool both)
{
	char config[CONFIG_BYTES];
	static const char route[] =
	    "{\"Name\":\"%s\",\"Host\":\"h\",\"Prefix\":\"%s\","
	    "\"Service\":\"%s\",\"Priority\":1,\"Attempts\":3,"
	    "\"Stretch\":3.0,\"TargetLatencyMs\":1000}";
	char routes[2][CONFIG_BYTES / 3];

	(void)snprintf(
	    routes[0], sizeof(routes[0]), route, OLD_QUEUE, "/q/", OLD_SERVICE);
	(void)snprintf(
	    routes[1], sizeof(routes[1]), route, NEW_QUEUE, "/a/", NEW_SERVICE);
	(void)snprintf(config, sizeof(config),
	    "{\"Version\":%d,\"Routes\":[%s%s%s],\"Services\":[{\"Name\":"
	    "\"%s\",\"AdmissionCheck\":false},{\"Name\":\"%s\","
	    "\"AdmissionCheck\":false}],\"Limits\":{},\"Tenants\":[{"
	    "\"Name\":\"t\",\"ApiKeys\":[\"k\"]}]}",
	    version, routes[0], both ? "," : "", both ? routes[1] : "",
	    OLD_SERVICE, NEW_SERVICE);
	site_configure(site, config);
}

/* Hands jobs in to the old queue. */
static bool
submit(struct site *site, int first)
{
	int accepted = 0;

	for (int i = first; i < first + JOBS; i++) {
		char path[64];
		char answer[SITE_ANSWER_BYTES];

		(void)snprintf(path, sizeof(path), "/q/5c0e7a21d94b36%02x",
		    (unsigned int)i);
		accepted +=
		    site_call(site, i % SITE_INSTANCES, "POST", path, "k",
			"{\"Spec\":\"work 300\",\"Steps\":[{"
			"\"Count\":1,\"Cpu\":1000,\"MemMb\":1000,"
			"\"Gpus\":1,\"EstimateMs\":300}]}",
			answer) == 200;
	}
	return accepted == JOBS;
}

/* Returns how many starts workers have seen of the jobs from one on. */
static int
count_starts(struct worker **workers, int first)
{
	struct worker_job sum = {0};

	for (int i = first; i < first + JOBS; i++) {
		char job[32];

		(void)snprintf(
		    job, sizeof(job), "5c0e7a21d94b36%02x", (unsigned int)i);
		for (int j = 0; j < WORKERS; j++)
			worker_add_job(workers[j], job, &sum);
	}
	return sum.started;
}

static int
run_case(struct site *site)
{
	static const char *const services[2] = {OLD_SERVICE, NEW_SERVICE};
	char id[2][WORKERS][16];
	struct worker *workers[2][WORKERS];
	int right;
	int wrong;

	for (int i = 0; i < 2 * WORKERS; i++) {
		int service = i / WORKERS;
		char *name = id[service][i % WORKERS];

		(void)snprintf(name, 16, "i-%d", i);
		workers[service][i % WORKERS] = site_add_worker_of(
		    site, name, services[service], "a", "r1", 8);
		if (workers[service][i % WORKERS] == NULL)
			return CASE_NOT_RUN;
	}
	configure(site, 3, false);
	if (!site_start_instances(site))
		return CASE_NOT_RUN;
	sleep_ms(1000);
	if (!submit(site, 0))
		return CASE_NOT_RUN;
	sleep_ms(RUN_MS + SLACK_MS);
	if (count_starts(workers[0], 0) != JOBS)
		return CASE_NOT_RUN;
	if (site_has_trouble())
		configure(site, 7, true);
	sleep_ms(APPLY_MS + SLACK_MS);
	if (!submit(site, JOBS))
		return CASE_NOT_RUN;
	sleep_ms(RUN_MS + SLACK_MS);
	right = count_starts(workers[0], JOBS);
	wrong = count_starts(workers[1], JOBS);
	record("of %d jobs, starts on workers of %s: %d, of %s: %d", JOBS,
	    OLD_SERVICE, right, NEW_SERVICE, wrong);
	record(wrong > 0 ? "broken: ROUTE: a start on a worker of a service to "
			   "which no configuration sends the queue"
			 : "held");
	if (wrong > 0)
		return CASE_BROKEN;
	return right == JOBS ? CASE_HELD : CASE_NOT_RUN;
}

int
main(int count, char **arguments)
{
	struct site *site;
	int result = CASE_NOT_RUN;

	if (count != 2 || !record_open(arguments[1]))
		return CASE_NOT_RUN;
	site = site_start();
	if (site != NULL)
		result = run_case(site);
	site_stop(site);
	record_close();
	return result;
}
