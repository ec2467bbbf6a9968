#include <string.h>

#include "process/alloc.h"
#include "process/worker_table.h"

#define MAX_ABANDONED_CALLS 1 /* per worker */

struct worker_session *
worker_table_find(struct worker_table *table, const char *name)
{
	size_t low = 0;
	size_t high = table->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		int order = strcmp(table->sessions[middle].name, name);

		if (order == 0)
			return &table->sessions[middle];
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

struct worker_session *
worker_table_add(struct worker_table *table, const char *name, int64_t now_ms)
{
	struct worker_session *session = worker_table_find(table, name);
	size_t at = 0;

	if (session != NULL)
		return session;
	table->sessions = mem_grow(table->sessions, &table->capacity,
	    table->count + 1, sizeof(*table->sessions));
	while (at < table->count && strcmp(table->sessions[at].name, name) < 0)
		at++;
	memmove(&table->sessions[at + 1], &table->sessions[at],
	    (table->count - at) * sizeof(*table->sessions));
	table->count++;
	table->sessions[at] = (struct worker_session){
	    .next_token = 1,
	    .condition = WORKER_LOST,
	    .last_report_ms = now_ms,
	    .next_poll_ms = now_ms,
	};
	STRING_COPY(table->sessions[at].name, name);
	return &table->sessions[at];
}

static void
drop_commands(struct worker_session *session)
{
	for (size_t i = 0; i < session->commands_count; i++)
		worker_command_clear(&session->commands[i]);
	session->commands_count = 0;
}

void
worker_table_reset(struct worker_table *table, int64_t now_ms)
{
	for (size_t i = 0; i < table->count; i++) {
		struct worker_session *session = &table->sessions[i];

		drop_commands(session);
		session->members_count = 0;
		session->reported = false;
		session->no_orphans = false;
		session->lost = false;
		session->failures = 0;
		session->condition = WORKER_LOST;
		session->last_report_ms = now_ms;
		session->next_poll_ms = now_ms;
		/* Calls in flight were sent for an earlier lease: ignore their
		 * results. */
		session->last_answered_token = session->next_token - 1;
	}
}

uint64_t
worker_session_add_command(
    struct worker_session *session, struct worker_command *command)
{
	session->commands =
	    mem_grow(session->commands, &session->commands_capacity,
		session->commands_count + 1, sizeof(*session->commands));
	session->commands[session->commands_count++] = *command;
	*command = (struct worker_command){0};
	return session->next_token;
}

void
worker_session_add_member(
    struct worker_session *session, struct job_id job, uint32_t index)
{
	session->members =
	    mem_grow(session->members, &session->members_capacity,
		session->members_count + 1, sizeof(*session->members));
	session->members[session->members_count++] =
	    (struct worker_member){.job = job, .index = index};
}

void
worker_session_remove_member(
    struct worker_session *session, struct job_id job, uint32_t index)
{
	for (size_t i = 0; i < session->members_count; i++) {
		struct worker_member *member = &session->members[i];

		if (member->index != index || !job_id_equal(member->job, job))
			continue;
		*member = session->members[--session->members_count];
		return;
	}
}

/* Stops waiting for a call that has timed out, so that another can be sent. */
static void
abandon_timed_out_call(struct worker_session *session,
    const struct worker_table *table, int64_t now_ms)
{
	if (session->in_flight_token == 0 ||
	    session->abandoned_calls >= MAX_ABANDONED_CALLS ||
	    now_ms - session->sent_ms < table->timeout_ms)
		return;
	session->in_flight_token = 0;
	session->abandoned_calls++;
	session->failures++;
	session->next_poll_ms = now_ms;
}

/* Tells whether some command must not wait for the next poll. Forget commands
 * can: a call of their own would delay a command that follows it. */
static bool
has_urgent_command(const struct worker_session *session)
{
	for (size_t i = 0; i < session->commands_count; i++) {
		if (session->commands[i].verb != VERB_FORGET)
			return true;
	}
	return false;
}

void
worker_session_send_due(struct worker_session *session,
    const struct worker_table *table, struct worker_client *client,
    int64_t now_ms)
{
	abandon_timed_out_call(session, table, now_ms);
	if (session->in_flight_token != 0 || *session->address == '\0')
		return;
	if (!has_urgent_command(session) && now_ms < session->next_poll_ms)
		return;
	/* After a failed call, commands too wait for the next poll. */
	if (session->failures > 0 && now_ms < session->next_poll_ms)
		return;
	session->in_flight_token = session->next_token++;
	session->sent_ms = now_ms;
	worker_client_call(client, session->name, session->address,
	    session->in_flight_token, session->commands,
	    session->commands_count);
	session->commands = NULL;
	session->commands_count = 0;
	session->commands_capacity = 0;
}

static int32_t
poll_interval_ms(
    const struct worker_session *session, const struct worker_table *table)
{
	if (session->members_count > 0)
		return table->poll_ms;
	return table->poll_ms * IDLE_POLL_FACTOR;
}

bool
worker_session_handle_result(struct worker_session *session,
    const struct worker_table *table, const struct worker_result *result,
    int64_t now_ms)
{
	if (result->token == session->in_flight_token)
		session->in_flight_token = 0;
	else if (session->abandoned_calls > 0)
		session->abandoned_calls--;
	session->next_poll_ms = now_ms + poll_interval_ms(session, table);
	if (result->code != IBIS_OK) {
		session->failures++;
		return false;
	}
	if (result->token <= session->last_answered_token)
		return false;
	session->last_answered_token = result->token;
	session->failures = 0;
	session->last_report_ms = now_ms;
	session->reported = true;
	session->reported_leaving = result->report.leaving;
	session->incarnation = result->report.incarnation;
	session->free_accelerators = result->report.free_accelerators;
	return true;
}

enum worker_condition
worker_session_condition(const struct worker_session *session)
{
	if (!session->reported || session->failures > 0 ||
	    *session->address == '\0')
		return WORKER_LOST;
	if (session->listed_leaving || session->reported_leaving)
		return WORKER_LEAVING;
	return WORKER_SERVING;
}

const char *
worker_condition_name(enum worker_condition condition)
{
	switch (condition) {
	case WORKER_SERVING:
		return "serving";
	case WORKER_LEAVING:
		return "leaving";
	case WORKER_LOST:
		break;
	}
	return "lost";
}

bool
worker_session_is_lost(const struct worker_session *session,
    const struct worker_table *table, int64_t now_ms)
{
	return now_ms - session->last_report_ms >= table->lost_ms;
}

void
worker_table_free(struct worker_table *table)
{
	for (size_t i = 0; i < table->count; i++) {
		drop_commands(&table->sessions[i]);
		mem_free(table->sessions[i].commands);
		mem_free(table->sessions[i].members);
	}
	mem_free(table->sessions);
	*table = (struct worker_table){0};
}
