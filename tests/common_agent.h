/* An instance's control thread with a store that the test answers for. */
#ifndef IBIS_COMMON_AGENT_H
#define IBIS_COMMON_AGENT_H

#include <stddef.h>
#include <stdint.h>

#include "agent/agent_state.h"

enum {
	AGENT_FIXTURE_CALLS = 32,
	/* The lead key's lease and revision while the instance leads. */
	AGENT_FIXTURE_LEASE = 77,
	AGENT_FIXTURE_EPOCH = 52
};

#define AGENT_FIXTURE_NAME "i1" /* of the instance */

/* A store call of the instance. */
struct agent_fixture_call {
	char path[256];
	char *body;
	http_callback *done; /* NULL: answered */
	void *context;
};

struct agent_fixture {
	struct agent agent;
	struct agent_fixture_call calls[AGENT_FIXTURE_CALLS];
	size_t count;
};

/* Opens a fixture. End it with close_agent_fixture. */
void open_agent_fixture(struct agent_fixture *fixture);
void close_agent_fixture(struct agent_fixture *fixture);

/* Append an item to the text of a list of items. lease 0: none. */
void append_store_item(struct buffer *items, const char *key, const void *value,
    size_t length, uint64_t revision, uint64_t lease);
void append_store_message(struct buffer *items, const char *key,
    const ProtobufCMessage *message, uint64_t revision);

/* Append the record of a job of one task. */
void pack_store_job(struct buffer *record);
void append_store_job(struct buffer *items, const char *id, uint64_t revision);

/* Answer the newest unanswered call whose path contains a text. */
void answer_store_status(struct agent_fixture *fixture, const char *path_part,
    int32_t status, const char *body);
void answer_store(
    struct agent_fixture *fixture, const char *path_part, const char *body);

/* Returns how many calls with a text in their path are unanswered. */
size_t count_unanswered(
    const struct agent_fixture *fixture, const char *path_part);

/* Brings the instance to the state after its request for the lead key. */
void await_lead_key(struct agent *agent);

/* Makes the instance lead: it has written the lead key, and a listing, the
 * store's answer, shows the key. */
void become_lead(struct agent_fixture *fixture, const char *listing);

#endif
