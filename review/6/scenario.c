/*
 * One large job comes: a schedule of every minute that began two weeks ago, so
 * that all its occurrences until now are due. Other jobs must go on.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../common-2/http.h"
#include "../common-2/record.h"
#include "../common-2/site.h"

enum {
	WORKERS = 6,
	ACCELERATORS = 8, /* of a worker */
	SOUND_JOBS = 3,
	DAYS_OVERDUE = 14,
	INTERVAL_MS = 60000,
	TIMES = 25000,
	FINISH_MS = 14000, /* finish_s */
	IDLE_MS = 3000,
	WATCHED_MS = 45000,
	POLL_MS = 50
};

#define DAY_MS INT64_C(86400000)
#define CONFIG                                                                \
	"{\"Version\":3,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\","          \
	"\"Prefix\":\"/q/\",\"Service\":\"s\",\"Priority\":1,\"Attempts\":3," \
	"\"Stretch\":3.0,\"TargetLatencyMs\":1000}],"                         \
	"\"Services\":[{\"Name\":\"s\",\"AdmissionCheck\":false}],"           \
	"\"Limits\":{},\"Tenants\":[{\"Name\":\"a\",\"ApiKeys\":[\"ka\"]},"   \
	"{\"Name\":\"b\",\"ApiKeys\":[\"kb\"]}]}"
#define LARGE "5c0e7a21d94b36f8"

/* Hands the scheduled job in. */
static bool
submit_schedule(struct site *site)
{
	char body[512];
	char answer[SITE_ANSWER_BYTES];
	int64_t first_ms = (int64_t)time(NULL) * 1000;

	if (site_has_trouble())
		first_ms -= DAYS_OVERDUE * DAY_MS;
	(void)snprintf(body, sizeof(body),
	    "{\"Spec\":\"work 200\",\"Steps\":[{\"Count\":1,\"Cpu\":1000,"
	    "\"MemMb\":1000,\"Gpus\":1,\"EstimateMs\":200}],\"Times\":%d,"
	    "\"FirstMs\":%" PRId64 ",\"IntervalMs\":%d}",
	    TIMES, first_ms, INTERVAL_MS);
	return site_call(site, 0, "POST", "/q/" LARGE, "ka", body, answer) ==
	    200;
}

static void
name_sound_job(int number, char job[32])
{
	(void)snprintf(job, 32, "5c0e7a21d94b36%02x", (unsigned int)number);
}

/* Hands in a job of another tenant, of two steps. */
static bool
submit_sound_job(struct site *site, int number)
{
	char job[32];
	char path[64];
	char answer[SITE_ANSWER_BYTES];

	name_sound_job(number, job);
	(void)snprintf(path, sizeof(path), "/q/%s", job);
	return site_call(site, number % SITE_INSTANCES, "POST", path, "kb",
		   "{\"Spec\":\"work 2000\",\"Steps\":[{\"Count\":1,"
		   "\"Cpu\":1000,\"MemMb\":1000,\"Gpus\":1,"
		   "\"EstimateMs\":2000},{\"Count\":1,\"Cpu\":1000,"
		   "\"MemMb\":1000,\"Gpus\":1,\"EstimateMs\":2000,"
		   "\"After\":[0]}]}",
		   answer) == 200;
}

/* Returns how many of the sound jobs have begun their second step. */
static int
count_begun(struct site *site)
{
	int begun = 0;

	for (int i = 0; i < SOUND_JOBS; i++) {
		char job[32];

		name_sound_job(i, job);
		begun += site_job(site, job).started > 1;
	}
	return begun;
}

/* Waits until all sound jobs have begun their second step, or must have:
 * FINISH_MS after the last request one has nothing running for IDLE_MS, while
 * less than half of the accelerators are in use. Returns whether that was so.
 */
static bool
was_left_waiting(struct site *site, int64_t submitted_ms)
{
	int64_t idle_since_ms = now_ms();
	int64_t until_ms = submitted_ms + WATCHED_MS;

	while (count_begun(site) < SOUND_JOBS && now_ms() < until_ms) {
		if (site_running(site) * 2 >= WORKERS * ACCELERATORS)
			idle_since_ms = now_ms();
		if (now_ms() >= submitted_ms + FINISH_MS + IDLE_MS &&
		    now_ms() - idle_since_ms >= IDLE_MS)
			return true;
		sleep_ms(POLL_MS);
	}
	return count_begun(site) < SOUND_JOBS;
}

static int
run_case(struct site *site)
{
	char id[WORKERS][16];
	char answer[SITE_ANSWER_BYTES];
	int64_t submitted_ms;
	bool left;

	for (int i = 0; i < WORKERS; i++) {
		(void)snprintf(id[i], sizeof(id[i]), "i-%d", i);
		if (site_add_worker(site, id[i], "a", i < 3 ? "r1" : "r2",
			ACCELERATORS) == NULL)
			return CASE_NOT_RUN;
	}
	site_configure(site, CONFIG);
	if (!site_start_instances(site))
		return CASE_NOT_RUN;
	sleep_ms(1000);
	for (int i = 0; i < SOUND_JOBS; i++) {
		if (!submit_sound_job(site, i))
			return CASE_NOT_RUN;
	}
	sleep_ms(500);
	if (!submit_schedule(site))
		return CASE_NOT_RUN;
	submitted_ms = now_ms();
	left = was_left_waiting(site, submitted_ms);
	record(
	    "%d of %d sound jobs have begun their second step %d ms "
	    "after the schedule was accepted; %d tasks run on %d accelerators",
	    count_begun(site), SOUND_JOBS, (int)(now_ms() - submitted_ms),
	    site_running(site), WORKERS * ACCELERATORS);
	for (int i = 0; i < SITE_INSTANCES; i++)
		(void)site_call(
		    site, i, "GET", "/q/5c0e7a21d94b3600", "kb", NULL, answer);
	record("of the schedule, %d runs were started",
	    site_job(site, LARGE).started);
	record(left ? "broken: LOST: nothing of an accepted job runs, a task's "
		      "turn has come, and the service is idle"
		    : "held");
	return left ? CASE_BROKEN : CASE_HELD;
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
