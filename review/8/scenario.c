/*
 * Long-running tasks of one tenant fail again and again, as they may. A sound
 * job of another tenant must begin, since the service is idle.
 */
#include <stdio.h>
#include <string.h>

#include "../common-2/http.h"
#include "../common-2/record.h"
#include "../common-2/site.h"

enum {
	WORKERS = 4,
	ACCELERATORS = 8, /* of a worker */
	REPLICAS = 8,	  /* tasks of each long-running job */
	FAILING_MS = 15000,
	FINISH_MS = 14000, /* finish_s */
	IDLE_MS = 3000,
	WATCHED_MS = 20000,
	POLL_MS = 50
};

#define CONFIG                                                                \
	"{\"Version\":3,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\","          \
	"\"Prefix\":\"/q/\",\"Service\":\"s\",\"Priority\":1,\"Attempts\":3," \
	"\"Stretch\":3.0,\"TargetLatencyMs\":1000}],"                         \
	"\"Services\":[{\"Name\":\"s\",\"AdmissionCheck\":false}],"           \
	"\"Limits\":{},\"Tenants\":[{\"Name\":\"a\",\"ApiKeys\":[\"ka\"]},"   \
	"{\"Name\":\"b\",\"ApiKeys\":[\"kb\"]}]}"
#define SERVICE_1 "5c0e7a21d94b3601"
#define SERVICE_2 "5c0e7a21d94b3602"
#define SOUND	  "5c0e7a21d94b36f8"
#define SOUND_BODY                                                      \
	"{\"Spec\":\"work 1000\",\"Steps\":[{\"Count\":1,\"Cpu\":1000," \
	"\"MemMb\":1000,\"Gpus\":1,\"EstimateMs\":1000}]}"

/* Hands a long-running job in. */
static bool
submit_service(struct site *site, const char *job)
{
	char path[64];
	char body[512];
	char answer[SITE_ANSWER_BYTES];

	(void)snprintf(path, sizeof(path), "/q/%s", job);
	(void)snprintf(body, sizeof(body),
	    "{\"Spec\":\"%s\",\"Steps\":[{\"Count\":%d,\"Cpu\":1000,"
	    "\"MemMb\":1000,\"Gpus\":1,\"EstimateMs\":1000,"
	    "\"LongRunning\":true}]}",
	    site_has_trouble() ? "fail 2000" : "serve", REPLICAS);
	return site_call(site, 0, "POST", path, "ka", body, answer) == 200;
}

/* Waits until the sound job has begun, or must have: FINISH_MS after the last
 * request it has nothing running for IDLE_MS, while less than half of the
 * accelerators are in use. Returns whether that was so. */
static bool
was_left_waiting(struct site *site, int64_t submitted_ms)
{
	int64_t idle_since_ms = now_ms();
	int64_t judged_ms = submitted_ms + FINISH_MS + IDLE_MS;

	while (site_job(site, SOUND).started == 0) {
		if (site_running(site) * 2 >= WORKERS * ACCELERATORS)
			idle_since_ms = now_ms();
		if (now_ms() >= judged_ms &&
		    now_ms() - idle_since_ms >= IDLE_MS)
			return true;
		sleep_ms(POLL_MS);
	}
	return false;
}

/* Waits until the sound job begins, for the record. */
static void
wait_for_start(struct site *site, int64_t submitted_ms)
{
	int64_t until_ms = now_ms() + WATCHED_MS;

	while (now_ms() < until_ms && site_job(site, SOUND).started == 0)
		sleep_ms(POLL_MS);
	record("sound job: %d started %d ms after it was accepted",
	    site_job(site, SOUND).started, (int)(now_ms() - submitted_ms));
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
		if (site_add_worker(site, id[i], "a", i < 2 ? "r1" : "r2",
			ACCELERATORS) == NULL)
			return CASE_NOT_RUN;
	}
	site_configure(site, CONFIG);
	if (!site_start_instances(site))
		return CASE_NOT_RUN;
	sleep_ms(1000);
	if (!submit_service(site, SERVICE_1) ||
	    !submit_service(site, SERVICE_2))
		return CASE_NOT_RUN;
	sleep_ms(FAILING_MS);
	/* Handed in while the workers are idle. */
	for (int i = 0; i < 200 && site_has_trouble() && site_running(site) > 0;
	     i++)
		sleep_ms(POLL_MS);
	submitted_ms = now_ms();
	if (site_call(site, 1, "POST", "/q/" SOUND, "kb", SOUND_BODY, answer) !=
	    200)
		return CASE_NOT_RUN;
	left = was_left_waiting(site, submitted_ms);
	record("%d tasks run on %d accelerators", site_running(site),
	    WORKERS * ACCELERATORS);
	(void)site_call(site, 2, "GET", "/q/" SOUND, "kb", NULL, answer);
	record(left ? "broken: LOST: nothing of the job runs, a task's turn "
		      "has come, and the service is idle"
		    : "held");
	wait_for_start(site, submitted_ms);
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
