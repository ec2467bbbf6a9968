/*
 * Case 1: some jobs are cancelled. When the records of ended jobs are removed
 * after their retention time, each lead crashes, and so does its successor.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common/site.h"

#define WORKERS		 8
#define EARLY_JOBS	 24
#define CANCEL_EVERY	 4 /* a quarter of the callers cancel */
#define EARLY_WORK_MS	 500
#define LATE_JOBS	 25
#define LATE_WORK_MS	 1000
#define LATE_INTERVAL_MS 1000
#define MAX_TRIES	 5 /* the first try and four retries */
#define RETRY_MS	 200
#define STATUS_S	 20
#define EARLY_AT_MS	 2500
#define LATE_AFTER_MS	 31000 /* after the retention time */
#define STATE_BYTES	 64
#define MS_PER_S	 1000
#define OWN_ENDS	 3
#define MACHINES	 2
#define STATUS_OK	 200
#define DECIMAL		 10
#define EXIT_BROKEN	 1
#define EXIT_CANNOT_RUN	 2

static struct site site;
static char late_ids[LATE_JOBS][SITE_ID_BYTES];
static size_t late_count; /* accepted */

/* Callers choose ids at random; these are the same in each run. */
static void
next_id(char id[SITE_ID_BYTES])
{
	static uint64_t state = 20261205;

	state = state * 6364136223846793005U + 1442695040888963407U;
	(void)snprintf(id, SITE_ID_BYTES, "%016" PRIx64,
	    state ^ (state >> 29) * 0x9e3779b97f4a7c15U);
}

static void
submit_early_jobs(bool trouble)
{
	for (uint32_t i = 0; i < EARLY_JOBS; i++) {
		char id[SITE_ID_BYTES];
		struct job job = {
		    .id = id,
		    .tasks = 1,
		    .accelerators = 1,
		    .work_ms = EARLY_WORK_MS,
		};
		struct call cancel = {
		    .instance = (i + 1) % SITE_INSTANCES,
		    .method = "DELETE",
		    .path = id,
		};

		next_id(id);
		if (site_submit(&site, i % SITE_INSTANCES, &job) == STATUS_OK &&
		    trouble && i % CANCEL_EVERY == 0)
			(void)site_call(&site, &cancel);
	}
}

/* Submits a job as a caller with retries does. */
static void
submit_late_job(uint32_t number)
{
	char *id = late_ids[late_count];
	struct job job = {
	    .id = id,
	    .tasks = 1,
	    .accelerators = 1,
	    .work_ms = LATE_WORK_MS,
	};

	next_id(id);
	for (uint32_t try = 0; try < MAX_TRIES; try++) {
		if (site_submit(&site, (number + try) % SITE_INSTANCES, &job) ==
		    STATUS_OK) {
			late_count++;
			return;
		}
		sleep_ms(RETRY_MS);
	}
}

static void
wait_and_watch(int64_t until_ms)
{
	while (record_ms() < until_ms) {
		site_watch_instances(&site);
		sleep_ms(50);
	}
}

/* Returns whether a job that was accepted is unknown, or has not begun. */
static bool
is_lost(const char *id)
{
	char state[STATE_BYTES] = "none";

	for (uint32_t try = 0; try < MAX_TRIES; try++) {
		site_state(
		    &site, try % SITE_INSTANCES, id, state, sizeof(state));
		if (strcmp(state, "none") != 0)
			break;
		sleep_ms(RETRY_MS);
		site_watch_instances(&site);
	}
	return strcmp(state, "none") == 0 || site_count_runs(&site, id) == 0;
}

static bool
judge(void)
{
	uint32_t machines = 0;
	uint32_t lost = 0;

	for (size_t i = 0; i < late_count; i++)
		lost += is_lost(late_ids[i]);
	for (uint32_t i = 0; i < SITE_INSTANCES; i++) {
		record_line("%s: has ended by itself %" PRIu32 " times",
		    site.instances[i].name, site.instances[i].own_ends);
		machines += site.instances[i].own_ends >= OWN_ENDS;
	}
	record_line("RESULT: of %zu late jobs that were accepted, %" PRIu32
		    " are not known or have not begun %d s after the traffic; "
		    "%" PRIu32 " of %d instances ended by themselves %d times",
	    late_count, lost, SITE_FINISH_S, machines, SITE_INSTANCES,
	    OWN_ENDS);
	return lost > 0 || machines >= MACHINES;
}

int
main(int count, char **arguments)
{
	const char *status_s = getenv("STATUS_S");
	int32_t retention_s = status_s == NULL
	    ? STATUS_S
	    : (int32_t)strtol(status_s, NULL, DECIMAL);
	bool broken = false;

	if (count != 2 || !record_open(arguments[1]) ||
	    !site_start(&site, WORKERS, "a", retention_s)) {
		site_stop(&site);
		return EXIT_CANNOT_RUN;
	}
	sleep_until(EARLY_AT_MS);
	submit_early_jobs(trouble_wanted());
	wait_and_watch((int64_t)retention_s * MS_PER_S + LATE_AFTER_MS);
	for (uint32_t i = 0; i < LATE_JOBS; i++) {
		submit_late_job(i);
		wait_and_watch(record_ms() + LATE_INTERVAL_MS);
	}
	wait_and_watch(record_ms() + (int64_t)SITE_FINISH_S * MS_PER_S);
	broken = judge();
	site_stop(&site);
	return broken ? EXIT_BROKEN : 0;
}
