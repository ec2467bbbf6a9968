/*
 * Tests that an accepted version of the document comes into force on every
 * instance within IN_FORCE_TIMEOUT_MS and that no instance reverts to an older
 * one: with concurrent edits of the same and of different sections, lost
 * replies to the swap of the head, an instance that is frozen, resumed and
 * restarted, and an outage of the store.
 */
#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "common_cunit.h"
#include "common_failure.h"
#include "process/alloc.h"
#include "process/clock.h"

#define INSTANCES	    3
#define SEED		    20261203
#define TIME_SCALE	    1
#define ROUNDS		    8
#define CONCURRENT_EDITS    2
#define IN_FORCE_TIMEOUT_MS 5000
#define OUTAGE_MS	    1500
#define EDIT_TIMEOUT_MS	    8000
#define TEXT_BYTES	    512
#define PATH_BYTES	    96
#define WATCH_INTERVAL_MS   20

/* A thread that reads the version of every instance and counts decreases. */
struct version_watch {
	struct deployment *deployment;
	atomic_bool stopping;
	atomic_int decreases;
	atomic_int reads;
	int64_t highest[INSTANCES];
	pthread_t thread;
};

/* One operator's edit of a section. */
struct edit {
	struct deployment *deployment;
	uint32_t instance;
	const char *section;
	uint64_t if_match;
	uint32_t number; /* makes the section's text unique */
	enum ibis_code code;
	struct ibis_status status;
	pthread_t thread;
};

static int64_t
version_of(struct deployment *deployment, uint32_t instance)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};

	if (deployment_get(deployment, instance, "/v1/document", &answer) !=
	    IBIS_OK)
		return -1;
	return client_integer(answer.json, "version", -1);
}

static void *
S_watch_versions(void *argument)
{
	struct version_watch *watch = argument;

	while (!atomic_load(&watch->stopping)) {
		for (uint32_t i = 0; i < INSTANCES; i++) {
			const struct process *process =
			    &watch->deployment->instances[i].process;
			int64_t version;

			if (process->pid == 0 || process->frozen)
				continue;
			version = version_of(watch->deployment, i);
			if (version < 0)
				continue;
			atomic_fetch_add(&watch->reads, 1);
			if (version < watch->highest[i])
				atomic_fetch_add(&watch->decreases, 1);
			else
				watch->highest[i] = version;
		}
		process_sleep(WATCH_INTERVAL_MS);
	}
	return NULL;
}

static void
version_watch_start(struct version_watch *watch, struct deployment *deployment)
{
	*watch = (struct version_watch){.deployment = deployment};
	CU_ASSERT_EQUAL_FATAL(
	    pthread_create(&watch->thread, NULL, S_watch_versions, watch), 0);
}

static void
version_watch_stop(struct version_watch *watch)
{
	atomic_store(&watch->stopping, true);
	(void)pthread_join(watch->thread, NULL);
	CU_ASSERT_EQUAL(atomic_load(&watch->decreases), 0);
	CU_ASSERT_TRUE(atomic_load(&watch->reads) > 0);
}

/* Writes the text of a workspace section with a number in it. */
static void
write_section_text(const char *section, uint32_t number, char text[TEXT_BYTES])
{
	(void)snprintf(text, TEXT_BYTES,
	    "{\"workspaces\": {\"%s\": {\"guarantees\": [], "
	    "\"max_queued_jobs\": %" PRIu32
	    ", \"max_jobs_per_s\": 100, \"burst_jobs\": 100}}}",
	    strcmp(section, "team-one") == 0 ? "one" : "two", 1000 + number);
}

static void
write_section_path(const char *section, char path[PATH_BYTES])
{
	(void)snprintf(path, PATH_BYTES, "/v1/document/sections/%s", section);
}

static void
put_edit(struct edit *edit)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	char path[PATH_BYTES];
	char text[TEXT_BYTES];
	struct client_call call = {
	    .method = "PUT",
	    .path = path,
	    .body = text,
	    .if_match = edit->if_match,
	    .has_if_match = true,
	};

	write_section_path(edit->section, path);
	write_section_text(edit->section, edit->number, text);
	edit->code = deployment_send(
	    edit->deployment, edit->instance, &call, &answer, &edit->status);
}

static void *
S_put_edit(void *argument)
{
	put_edit(argument);
	return NULL;
}

/* Returns a section's revision on an instance, 0 when the request fails. */
static uint64_t
revision_of(
    struct deployment *deployment, uint32_t instance, const char *section)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	char path[PATH_BYTES];

	write_section_path(section, path);
	if (deployment_get(deployment, instance, path, &answer) != IBIS_OK)
		return 0;
	return answer.etag;
}

/* Returns whether an instance serves the text of an edit. */
static bool
has_edit(
    struct deployment *deployment, uint32_t instance, const struct edit *edit)
{
	CLEANUP(client_answer_free) struct client_answer answer = {0};
	char path[PATH_BYTES];
	char number[PATH_BYTES];

	write_section_path(edit->section, path);
	(void)snprintf(number, sizeof(number), "\"max_queued_jobs\": %" PRIu32,
	    1000 + edit->number);
	return deployment_get(deployment, instance, path, &answer) == IBIS_OK &&
	    strstr(buffer_string(&answer.body), number) != NULL;
}

static bool
S_in_force(void *context)
{
	const struct edit *edit = context;

	for (uint32_t i = 0; i < edit->deployment->count; i++) {
		if (!has_edit(edit->deployment, i, edit))
			return false;
	}
	return true;
}

/* Condition for deployment_wait that sends an edit with the section's current
 * revision, unless an earlier attempt has taken effect. */
static bool
S_accepted(void *context)
{
	struct edit *edit = context;

	if (has_edit(edit->deployment, edit->instance, edit))
		return true;
	edit->if_match =
	    revision_of(edit->deployment, edit->instance, edit->section);
	if (edit->if_match == 0)
		return false;
	put_edit(edit);
	return edit->code == IBIS_OK;
}

/* Makes an edit and asserts that it comes into force on all instances. */
static void
edit_and_wait(struct deployment *deployment, uint32_t instance,
    const char *section, uint32_t number)
{
	struct edit edit = {
	    .deployment = deployment,
	    .instance = instance,
	    .section = section,
	    .number = number,
	};

	CU_ASSERT_TRUE(deployment_wait(S_accepted, &edit, EDIT_TIMEOUT_MS));
	CU_ASSERT_TRUE(deployment_wait(S_in_force, &edit, IN_FORCE_TIMEOUT_MS));
}

/* Sends the edits concurrently, one thread per operator. */
static void
send_concurrently(struct edit edits[CONCURRENT_EDITS])
{
	for (size_t i = 0; i < CONCURRENT_EDITS; i++)
		CU_ASSERT_EQUAL_FATAL(pthread_create(&edits[i].thread, NULL,
					  S_put_edit, &edits[i]),
		    0);
	for (size_t i = 0; i < CONCURRENT_EDITS; i++)
		(void)pthread_join(edits[i].thread, NULL);
}

static void
edit_same_section(struct deployment *deployment, uint32_t round)
{
	uint64_t revision = revision_of(deployment, 0, "team-one");
	struct edit edits[CONCURRENT_EDITS];
	size_t winner;

	for (uint32_t i = 0; i < CONCURRENT_EDITS; i++)
		edits[i] = (struct edit){
		    .deployment = deployment,
		    .instance = (round + i) % INSTANCES,
		    .section = "team-one",
		    .if_match = revision,
		    .number = round * CONCURRENT_EDITS + i,
		};
	send_concurrently(edits);
	winner = edits[0].code == IBIS_OK ? 0 : 1;
	CU_ASSERT_EQUAL(edits[winner].code, IBIS_OK);
	CU_ASSERT_EQUAL(edits[1 - winner].code, IBIS_CONFLICT);
	CU_ASSERT_TRUE(
	    deployment_wait(S_in_force, &edits[winner], IN_FORCE_TIMEOUT_MS));
}

static void
edit_different_sections(struct deployment *deployment, uint32_t round)
{
	static const char *const sections[CONCURRENT_EDITS] = {
	    "team-one", "team-two"};
	struct edit edits[CONCURRENT_EDITS];

	for (uint32_t i = 0; i < CONCURRENT_EDITS; i++)
		edits[i] = (struct edit){
		    .deployment = deployment,
		    .instance = (round + i) % INSTANCES,
		    .section = sections[i],
		    .if_match = revision_of(deployment, 0, sections[i]),
		    .number = 100 + round * CONCURRENT_EDITS + i,
		};
	send_concurrently(edits);
	for (uint32_t i = 0; i < CONCURRENT_EDITS; i++) {
		CU_ASSERT_EQUAL(edits[i].code, IBIS_OK);
		if (edits[i].code != IBIS_OK)
			(void)printf("%s: %s\n", edits[i].section,
			    edits[i].status.message);
		CU_ASSERT_TRUE(deployment_wait(
		    S_in_force, &edits[i], IN_FORCE_TIMEOUT_MS));
	}
}

static void
test_racing_operators(void)
{
	struct deployment deployment;
	struct version_watch watch;

	failure_start(&deployment, INSTANCES, TIME_SCALE, SEED);
	version_watch_start(&watch, &deployment);
	/* Stop at the first failure, since each one waits for a timeout. */
	for (uint32_t i = 0; i < ROUNDS && CU_get_number_of_failures() == 0;
	     i++) {
		edit_same_section(&deployment, i);
		edit_different_sections(&deployment, i);
	}
	version_watch_stop(&watch);
	failure_stop(&deployment);
}

/* Guards against a wrong reply to an edit when the reply to its swap of the
 * head is lost after the swap took effect. */
static void
edit_with_reply_lost(struct deployment *deployment, uint32_t number)
{
	struct edit edit = {
	    .deployment = deployment,
	    .instance = number % INSTANCES,
	    .section = "team-two",
	    .if_match = revision_of(deployment, 0, "team-two"),
	    .number = number,
	};

	CU_ASSERT_TRUE(deployment_set_platform_fault(deployment,
	    "{\"mode\": \"lose_next\", \"key_prefix\": \"document/head\"}"));
	put_edit(&edit);
	(void)printf(
	    "edit=%" PRIu32 " code=%s\n", number, ibis_code_name(edit.code));
	if (edit.code == IBIS_OK || edit.code == IBIS_UNKNOWN) {
		/* The swap took effect in the store. */
		CU_ASSERT_TRUE(
		    deployment_wait(S_in_force, &edit, IN_FORCE_TIMEOUT_MS));
	} else {
		CU_FAIL("an edit that took effect was refused");
	}
}

static void
test_swap_reply_lost(void)
{
	struct deployment deployment;
	struct version_watch watch;

	failure_start(&deployment, INSTANCES, TIME_SCALE, SEED);
	version_watch_start(&watch, &deployment);
	for (uint32_t i = 0; i < INSTANCES; i++)
		edit_with_reply_lost(&deployment, 200 + i);
	version_watch_stop(&watch);
	failure_stop(&deployment);
}

static void
test_instance_frozen_and_restarted(void)
{
	struct edit edit = {.section = "team-one", .number = 301};
	struct deployment deployment;
	struct version_watch watch;

	failure_start(&deployment, INSTANCES, TIME_SCALE, SEED);
	version_watch_start(&watch, &deployment);
	edit_and_wait(&deployment, 0, "team-one", 300);
	process_freeze(&deployment.instances[2].process);
	edit.deployment = &deployment;
	CU_ASSERT_TRUE(deployment_wait(S_accepted, &edit, EDIT_TIMEOUT_MS));
	process_resume(&deployment.instances[2].process);
	CU_ASSERT_TRUE(deployment_wait(S_in_force, &edit, IN_FORCE_TIMEOUT_MS));
	deployment_kill(&deployment, 1);
	CU_ASSERT_TRUE(deployment_restart(&deployment, 1));
	CU_ASSERT_TRUE(deployment_wait(S_in_force, &edit, IN_FORCE_TIMEOUT_MS));
	version_watch_stop(&watch);
	failure_stop(&deployment);
}

static void
test_store_outage(void)
{
	struct deployment deployment;
	struct version_watch watch;

	failure_start(&deployment, INSTANCES, TIME_SCALE, SEED);
	version_watch_start(&watch, &deployment);
	edit_and_wait(&deployment, 0, "team-one", 400);
	CU_ASSERT_TRUE(
	    deployment_set_platform_fault(&deployment, "{\"mode\": \"down\"}"));
	process_sleep(OUTAGE_MS);
	CU_ASSERT_TRUE(
	    deployment_set_platform_fault(&deployment, "{\"mode\": \"none\"}"));
	edit_and_wait(&deployment, 1, "team-one", 401);
	edit_and_wait(&deployment, 2, "team-two", 402);
	version_watch_stop(&watch);
	failure_stop(&deployment);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"racing operators", test_racing_operators},
	    {"swap answer lost", test_swap_reply_lost},
	    {"instance frozen and restarted",
		test_instance_frozen_and_restarted},
	    {"store outage", test_store_outage},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("document", tests);
}
