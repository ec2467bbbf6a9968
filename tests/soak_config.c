/*
 * Soak of the configuration: real instances on the fake platform, while
 * operators store versions, large ones among them and in series, and while
 * links are narrow, the store is slow, refuses, hangs or forgets its history,
 * and instances are frozen, killed, stopped and restarted. Faults and changes
 * overlap.
 *
 * Checked all the while, from what callers see:
 * - an instance never serves an older version after a newer one;
 * - an instance that has been calm for a while serves by the version in force,
 *   neither by an older one nor too late;
 * and at the end:
 * - all instances serve the last version, every accepted job is completed, and
 * no task has run twice at a time.
 *
 * The seed decides which faults come when. A failure prints the seed and keeps
 * the logs.
 */
#include <getopt.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common_users_platform.h"
#include "process/alloc.h"
#include "process/clock.h"

/* ConfigApplyMs of the settings, by default. */
#define CONFIG_APPLY_MS 3000
/* Longest time for which requests may still be served by the previous version,
 * once a request was served by a newer one. */
#define ROLLBACK_SLACK_MS 250
/* An instance is calm when it was not disturbed for this long. */
#define CALM_MS	 4000
#define START_MS 8000
#define END_MS	 20000
#define STEP_MS	 20
/* Longest time between two events, with and without faults. */
#define MAX_EVENT_GAP_MS      700
#define MAX_CALM_EVENT_GAP_MS 2500
#define MIN_FAULT_MS	      300
#define MAX_FAULT_MS	      3000
#define SERIES_VERSIONS	      4
#define SERIES_GAP_MS	      150
#define LARGE_ROUTES	      1400
#define MEDIUM_ROUTES	      200
#define NARROW_BYTES_PER_S    350000
/* Faults begin in one phase, none does in the next. */
#define TROUBLE_MS	 5000
#define PAUSE_MS	 10000
#define SLOW_ANSWER_MS	 250
#define MAX_VERSIONS	 2048
#define RECENT_VERSIONS	 3
#define MAX_JOBS	 512
#define TASKS_PER_JOB	 2
#define STATUS_OK	 200
#define STATUS_NOT_FOUND 404
#define NONE		 0

/* What can be wrong with the store or an instance; each ends after a while. */
enum fault {
	FAULT_SLOW_STORE,
	FAULT_SILENT_STORE,
	FAULT_SILENT_OPERATORS,
	FAULT_REFUSING_STORE, /* of an instance, like the following */
	FAULT_FROZEN,
	FAULT_KILLED,
	FAULT_STOPPED,
	FAULT_COUNT
};

struct instance {
	int64_t disturbed_ms;	 /* last time at which it was not calm */
	uint32_t served_version; /* highest, since its last start */
	int64_t served_ms;
};

struct soak {
	struct users_platform *platform;
	uint64_t random_state;
	int64_t fault_ends_ms[FAULT_COUNT]; /* 0: not present */
	uint32_t fault_instance[FAULT_COUNT];
	struct instance instances[USERS_INSTANCES];
	int64_t disturbed_ms; /* last time at which the store was not calm */
	int64_t stored_ms[MAX_VERSIONS]; /* of each version */
	uint32_t version;		 /* the last one */
	uint32_t series_left;
	int64_t next_series_ms;
	int64_t next_event_ms;
	bool troubled; /* faults may begin */
	int64_t phase_ends_ms;
	uint32_t accepted_jobs[MAX_JOBS];
	uint32_t jobs_count;
	uint32_t next_job;
	uint32_t probes;
	uint32_t calm_probes;
	uint32_t violations;
};

/* xorshift64*. */
static uint32_t
draw(struct soak *soak, uint32_t below)
{
	uint64_t x = soak->random_state;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	soak->random_state = x;
	return (uint32_t)((x * 2685821657736338717ULL) >> 32) % below;
}

static bool
is_present(const struct soak *soak, enum fault fault)
{
	return soak->fault_ends_ms[fault] != 0;
}

/* Returns whether an instance runs and is not frozen. */
static bool
is_running(const struct soak *soak, uint32_t index)
{
	for (int fault = FAULT_FROZEN; fault < FAULT_COUNT; fault++) {
		if (is_present(soak, (enum fault)fault) &&
		    soak->fault_instance[fault] == index)
			return false;
	}
	return true;
}

static void
store_version(struct soak *soak)
{
	static const uint32_t sizes[] = {0, MEDIUM_ROUTES, LARGE_ROUTES};
	struct users_config config = {
	    .version = soak->version + 1,
	    .service = "s",
	    .extra_routes = sizes[draw(soak, COUNT_OF(sizes))],
	};

	if (config.version == MAX_VERSIONS)
		return;
	users_set_config(soak->platform, &config);
	soak->version = config.version;
	soak->stored_ms[config.version] = clock_now_ms();
}

static void
submit_job(struct soak *soak, uint32_t instance)
{
	uint32_t number = ++soak->next_job;

	if (soak->jobs_count == MAX_JOBS || !is_running(soak, instance))
		return;
	if (users_submit(soak->platform, instance, number, TASKS_PER_JOB) ==
	    STATUS_OK)
		soak->accepted_jobs[soak->jobs_count++] = number;
}

static void
begin_fault(struct soak *soak, enum fault fault, uint32_t index)
{
	struct users_platform *platform = soak->platform;
	struct process *process = users_instance(platform, index);

	soak->fault_instance[fault] = index;
	switch (fault) {
	case FAULT_SLOW_STORE:
		users_store_delay(platform, SLOW_ANSWER_MS);
		break;
	case FAULT_SILENT_STORE:
		users_store_hang(platform, true);
		break;
	case FAULT_SILENT_OPERATORS:
		users_store_hang_reads(platform, "op/");
		break;
	case FAULT_REFUSING_STORE:
		users_store_reject(platform, index, true);
		break;
	case FAULT_FROZEN:
		process_freeze(process);
		break;
	case FAULT_KILLED:
		process_kill(process);
		break;
	case FAULT_STOPPED:
		process_terminate(process);
		break;
	case FAULT_COUNT:
		break;
	}
}

static void
restart_instance(struct soak *soak, uint32_t index)
{
	soak->instances[index].served_version = NONE;
	if (!users_start_no_wait(soak->platform, index))
		soak->violations++;
}

static void
end_fault(struct soak *soak, enum fault fault)
{
	struct users_platform *platform = soak->platform;
	uint32_t index = soak->fault_instance[fault];
	struct process *process = users_instance(platform, index);

	soak->fault_ends_ms[fault] = 0;
	switch (fault) {
	case FAULT_SLOW_STORE:
		users_store_delay(platform, 0);
		break;
	case FAULT_SILENT_STORE:
		users_store_hang(platform, false);
		break;
	case FAULT_SILENT_OPERATORS:
		users_store_hang_reads(platform, NULL);
		break;
	case FAULT_REFUSING_STORE:
		users_store_reject(platform, index, false);
		break;
	case FAULT_FROZEN:
		process_resume(process);
		break;
	case FAULT_KILLED:
		restart_instance(soak, index);
		break;
	case FAULT_STOPPED:
		(void)process_wait(process, START_MS);
		process_kill(process);
		restart_instance(soak, index);
		break;
	case FAULT_COUNT:
		break;
	}
}

static void
draw_fault(struct soak *soak, int64_t now_ms)
{
	enum fault fault = (enum fault)draw(soak, FAULT_COUNT);
	uint32_t index = draw(soak, USERS_INSTANCES);
	int64_t length_ms =
	    MIN_FAULT_MS + draw(soak, MAX_FAULT_MS - MIN_FAULT_MS);

	if (is_present(soak, fault) ||
	    (fault >= FAULT_FROZEN && !is_running(soak, index)))
		return;
	soak->fault_ends_ms[fault] = now_ms + length_ms;
	begin_fault(soak, fault, index);
}

/* Changes, faults and jobs, one at a time and in series. */
static void
draw_event(struct soak *soak, int64_t now_ms)
{
	soak->next_event_ms = now_ms +
	    draw(soak,
		soak->troubled ? MAX_EVENT_GAP_MS : MAX_CALM_EVENT_GAP_MS);
	switch (draw(soak, 8)) {
	case 0:
	case 1:
		store_version(soak);
		break;
	case 2:
		soak->series_left = SERIES_VERSIONS;
		break;
	case 3:
		users_store_compact(soak->platform);
		break;
	case 4:
	case 5:
		submit_job(soak, draw(soak, USERS_INSTANCES));
		break;
	default:
		if (soak->troubled)
			draw_fault(soak, now_ms);
		break;
	}
}

/* Begins a phase with or without faults, over wide or narrow links. A narrow
 * link disturbs nobody: it carries every configuration in time. */
static void
begin_phase(struct soak *soak, int64_t now_ms)
{
	soak->troubled = !soak->troubled;
	soak->phase_ends_ms = now_ms + (soak->troubled ? TROUBLE_MS : PAUSE_MS);
	users_store_limit_rate(
	    soak->platform, draw(soak, 2) == 0 ? NARROW_BYTES_PER_S : 0);
}

/* Notes who is disturbed now. */
static void
note_disturbances(struct soak *soak, int64_t now_ms)
{
	for (int fault = 0; fault < FAULT_COUNT; fault++) {
		if (!is_present(soak, (enum fault)fault))
			continue;
		if (fault < FAULT_REFUSING_STORE)
			soak->disturbed_ms = now_ms;
		else
			soak->instances[soak->fault_instance[fault]]
			    .disturbed_ms = now_ms;
	}
}

static void
end_due_faults(struct soak *soak, int64_t now_ms)
{
	for (int fault = 0; fault < FAULT_COUNT; fault++) {
		if (is_present(soak, (enum fault)fault) &&
		    now_ms >= soak->fault_ends_ms[fault])
			end_fault(soak, (enum fault)fault);
	}
}

static bool
is_calm(const struct soak *soak, uint32_t index, int64_t now_ms)
{
	return now_ms - soak->disturbed_ms > CALM_MS &&
	    now_ms - soak->instances[index].disturbed_ms > CALM_MS;
}

static void
report(struct soak *soak, uint32_t index, uint32_t version, int status,
    const char *violation)
{
	soak->violations++;
	(void)printf("instance %" PRIu32 ", version %" PRIu32 " of %" PRIu32
		     ", status %d: %s; log %s\n",
	    index, version, soak->version, status, violation,
	    users_log_path(soak->platform, index));
}

/* Returns the age of the oldest version that replaced this one; 0: none did. */
static int64_t
replaced_for_ms(const struct soak *soak, uint32_t version, int64_t now_ms)
{
	return version == soak->version ? 0
					: now_ms - soak->stored_ms[version + 1];
}

static void
check_served(
    struct soak *soak, uint32_t index, uint32_t version, int64_t sent_ms)
{
	struct instance *instance = &soak->instances[index];

	if (version < instance->served_version &&
	    sent_ms > instance->served_ms + ROLLBACK_SLACK_MS)
		report(soak, index, version, STATUS_OK,
		    "served after a newer version");
	if (is_calm(soak, index, sent_ms) &&
	    replaced_for_ms(soak, version, sent_ms) > CONFIG_APPLY_MS)
		report(soak, index, version, STATUS_OK,
		    "served by a version that was replaced");
	if (version > instance->served_version) {
		instance->served_version = version;
		instance->served_ms = clock_now_ms();
	}
}

/* Draws the last version, the highest that the instance has served, or one of
 * the last few. */
static uint32_t
draw_version(struct soak *soak, uint32_t index)
{
	uint32_t oldest = soak->version > RECENT_VERSIONS
	    ? soak->version - RECENT_VERSIONS
	    : 1;

	switch (draw(soak, 3)) {
	case 0:
		return soak->version;
	case 1:
		if (soak->instances[index].served_version != NONE)
			return soak->instances[index].served_version;
		break;
	default:
		break;
	}
	return oldest + draw(soak, soak->version - oldest + 1);
}

/* Calls an instance on the route that only one version has. */
static void
probe(struct soak *soak, uint32_t index)
{
	CLEANUP(buffer_free) struct buffer answer = {0};
	uint32_t version = draw_version(soak, index);
	int64_t sent_ms = clock_now_ms();
	bool due = version == soak->version &&
	    sent_ms - soak->stored_ms[version] > CONFIG_APPLY_MS;
	char path[32];
	int status;

	if (!is_running(soak, index))
		return;
	soak->probes++;
	soak->calm_probes += is_calm(soak, index, sent_ms);
	(void)snprintf(path, sizeof(path), "/v%" PRIu32 "/", version);
	status = users_call(soak->platform, index, "GET", path, "", &answer);
	if (status == STATUS_OK)
		check_served(soak, index, version, sent_ms);
	else if (due && is_calm(soak, index, sent_ms))
		report(soak, index, version, status, "not served in time");
}

static void
step(struct soak *soak, int64_t now_ms)
{
	if (now_ms >= soak->phase_ends_ms)
		begin_phase(soak, now_ms);
	end_due_faults(soak, now_ms);
	if (now_ms >= soak->next_event_ms)
		draw_event(soak, now_ms);
	if (soak->series_left > 0 && now_ms >= soak->next_series_ms) {
		soak->series_left--;
		soak->next_series_ms = now_ms + SERIES_GAP_MS;
		store_version(soak);
	}
	note_disturbances(soak, now_ms);
	for (uint32_t i = 0; i < USERS_INSTANCES; i++)
		probe(soak, i);
	process_sleep(STEP_MS);
}

static void
start(struct soak *soak)
{
	soak->platform = users_platform_start();
	soak->version = 1;
	soak->stored_ms[1] = clock_now_ms();
	for (uint32_t i = 0; i < USERS_INSTANCES; i++)
		(void)users_start_instance(soak->platform, i);
	if (!users_wait_ready(soak->platform, START_MS)) {
		(void)printf("the instances did not become ready\n");
		soak->violations++;
	}
}

/* Ends all faults and checks what has to hold when all is calm again. */
static void
check_end(struct soak *soak)
{
	end_due_faults(soak, INT64_MAX);
	users_store_limit_rate(soak->platform, 0);
	if (!users_wait_ready(soak->platform, END_MS)) {
		(void)printf("not all instances became ready again\n");
		soak->violations++;
	}
	for (uint32_t i = 0; i < soak->jobs_count; i++) {
		if (users_wait_completed(soak->platform, i % USERS_INSTANCES,
			soak->accepted_jobs[i], END_MS))
			continue;
		(void)printf("job %" PRIu32 " was accepted and not completed\n",
		    soak->accepted_jobs[i]);
		soak->violations++;
	}
	if (users_duplicate_starts(soak->platform) > 0) {
		(void)printf("a task ran twice\n");
		soak->violations++;
	}
}

static uint32_t
run(uint64_t seed, int64_t seconds)
{
	struct soak soak = {.random_state = seed * 2654435761U + 1};
	int64_t ends_ms;

	start(&soak);
	ends_ms = clock_now_ms() + seconds * 1000;
	while (clock_now_ms() < ends_ms && soak.violations == 0)
		step(&soak, clock_now_ms());
	if (soak.violations == 0)
		check_end(&soak);
	(void)printf("seed %" PRIu64 ": %" PRIu32 " versions, %" PRIu32
		     " jobs, %" PRIu32 " probes, %" PRIu32
		     " of them calm, %" PRIu32 " violations\n",
	    seed, soak.version, soak.jobs_count, soak.probes, soak.calm_probes,
	    soak.violations);
	/* With violations, the logs stay, and the instances end with this
	 * process. */
	if (soak.violations == 0)
		users_platform_stop(soak.platform);
	return soak.violations;
}

int
main(int argc, char **argv)
{
	static const struct option options[] = {
	    {"seed", required_argument, NULL, 's'},
	    {"seconds", required_argument, NULL, 't'},
	    {NULL, 0, NULL, 0},
	};
	uint64_t seed = 1;
	int64_t seconds = 40;
	int option;

	while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (option == 's')
			seed = strtoull(optarg, NULL, 10);
		else if (option == 't')
			seconds = strtoll(optarg, NULL, 10);
		else
			return 2;
	}
	return run(seed, seconds) == 0 ? 0 : 1;
}
