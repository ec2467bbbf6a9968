/*
 * The only worker that some jobs may run on answers 503 to starts for a while.
 * None of the jobs has begun, so the queue's PendingJobs must count them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common-2/http.h"
#include "../common-2/record.h"
#include "../common-2/site.h"

enum {
	SOUND_WORKERS = 9, /* and one that is unhealthy: a tenth */
	JOBS = 6,
	/* visible_ms and 2 s, and some time for the calls. */
	VISIBLE_MS = 5000,
	SLACK_MS = 500,
	UNHEALTHY_MS = 6500,
	FINISH_MS = 30000
};

#define CONFIG                                                                \
	"{\"Version\":3,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\","          \
	"\"Prefix\":\"/q/\",\"Service\":\"s\",\"Priority\":1,\"Attempts\":3," \
	"\"Stretch\":3.0,\"TargetLatencyMs\":1000}],"                         \
	"\"Services\":[{\"Name\":\"s\",\"AdmissionCheck\":false}],"           \
	"\"Limits\":{},\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"k\"]}]}"

/* Hands a job in for the worker with the label. */
static int
submit(struct site *site, int number, int accelerators, int work_ms)
{
	char path[64];
	char body[512];
	char answer[SITE_ANSWER_BYTES];

	(void)snprintf(path, sizeof(path), "/q/5c0e7a21d94b36%02x", number);
	(void)snprintf(body, sizeof(body),
	    "{\"Spec\":\"work %d\",\"Steps\":[{\"Count\":1,\"Cpu\":15000,"
	    "\"MemMb\":22000,\"Gpus\":%d,\"EstimateMs\":%d,"
	    "\"Requires\":\"b\"}]}",
	    work_ms, accelerators, work_ms);
	return site_call(
	    site, number % SITE_INSTANCES, "POST", path, "k", body, answer);
}

/* Returns how many of the jobs have begun, or are done. */
static int
count_jobs(struct site *site, bool done)
{
	int count = 0;

	for (int i = 1; i <= JOBS; i++) {
		char job[32];
		struct worker_job seen;

		(void)snprintf(
		    job, sizeof(job), "5c0e7a21d94b36%02x", (unsigned int)i);
		seen = site_job(site, job);
		count += done ? seen.done > 0 : seen.started > 0;
	}
	return count;
}

/* Returns the lowest number that an instance gives as PendingJobs; -1: none. */
static int
read_pending(struct site *site)
{
	static const char start[] = "{\"PendingJobs\":";
	int lowest = JOBS;

	for (int i = 0; i < SITE_INSTANCES; i++) {
		char answer[SITE_ANSWER_BYTES];
		int pending;

		if (site_call(site, i, "GET", "/q/", "k", NULL, answer) !=
			200 ||
		    strncmp(answer, start, strlen(start)) != 0)
			return -1;
		pending = (int)strtol(answer + strlen(start), NULL, 10);
		if (pending < lowest)
			lowest = pending;
	}
	return lowest;
}

static int
run_case(struct site *site)
{
	char id[SOUND_WORKERS][16];
	struct worker *special = site_add_worker(site, "i-b", "b", "r9", 8);
	int64_t begun_ms;
	int pending;
	int begun;

	for (int i = 0; i < SOUND_WORKERS; i++) {
		(void)snprintf(id[i], sizeof(id[i]), "i-%d", i);
		if (site_add_worker(site, id[i], "a", "r1", 8) == NULL)
			return CASE_NOT_RUN;
	}
	site_configure(site, CONFIG);
	if (special == NULL || !site_start_instances(site))
		return CASE_NOT_RUN;
	sleep_ms(1000);
	begun_ms = now_ms();
	/* Without the disruption, the worker is busy for as long. */
	if (site_has_trouble())
		worker_set_unhealthy(special, true);
	else if (submit(site, 0, 8, UNHEALTHY_MS) != 200)
		return CASE_NOT_RUN;
	for (int i = 1; i <= JOBS; i++) {
		if (submit(site, i, 1, 300) != 200)
			return CASE_NOT_RUN;
	}
	sleep_ms(VISIBLE_MS + SLACK_MS);
	pending = read_pending(site);
	begun = count_jobs(site, false);
	sleep_ms(begun_ms + UNHEALTHY_MS - now_ms());
	if (site_has_trouble())
		worker_set_unhealthy(special, false);
	record("%d jobs accepted over %d ms before, %d begun, lowest "
	       "PendingJobs %d",
	    JOBS, VISIBLE_MS, begun, pending);
	for (int64_t until_ms = now_ms() + FINISH_MS;
	     now_ms() < until_ms && count_jobs(site, true) < JOBS;)
		sleep_ms(100);
	record("%d jobs are done at the end", count_jobs(site, true));
	if (pending < 0 || begun > 0)
		return CASE_NOT_RUN;
	if (pending * 2 < JOBS) {
		record("broken: MIXED: PendingJobs under half of the jobs that "
		       "have not begun");
		return CASE_BROKEN;
	}
	record("held");
	return CASE_HELD;
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
