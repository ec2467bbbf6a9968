/* Internal state of the replication, and the functions that its source files
 * share. */
#ifndef IBIS_REPLICATION_INTERNAL_H
#define IBIS_REPLICATION_INTERNAL_H

#include "version/replication.h"

#define REPLICATION_STEP     "document" /* step in error statuses */
#define REPLICATION_HEAD_KEY "document/head"

enum {
	/* Wait after a failed store call; doubled up to the maximum. */
	REPLICATION_RETRY_MIN_MS = 200,
	REPLICATION_RETRY_MAX_MS = 1000,
	/* Between reads of the head on an instance that doesn't watch it. */
	REPLICATION_READ_INTERVAL_MS = 30000,
	/* From the receipt of a zone order to its answer. */
	REPLICATION_ZONE_TIMEOUT_MS = 2400,
	/* From the receipt of an edit until the store has accepted it. */
	REPLICATION_EDIT_TIMEOUT_MS = 5000,
	/* From acceptance by the store until all peers have the change; then
	 * the answer names the peers that are missing. */
	REPLICATION_PEERS_TIMEOUT_MS = 1000,
	REPLICATION_HOLD_RESEND_MS = 300, /* to peers that have not acked it */
	REPLICATION_FETCH_INTERVAL_MS = 500, /* between fetches from peers */
	/* Age from which a hold that its creator has not settled is settled
	 * by any instance. */
	REPLICATION_TAKEOVER_MS = 3000
};

/* A head with the sections that it names and the document parsed from them. */
struct loaded_version {
	struct head *head;
	uint64_t store_revision; /* of the head's key; 0: unknown */
	struct document_source *sections;
	size_t sections_count;
	struct document *document;
};

/* Reads or watches the head's key repeatedly. */
struct replication_reader {
	uint64_t token; /* of the call in flight; 0: none */
	int64_t next_ms;
	int32_t retry_ms;
	uint64_t seen_revision; /* of the last value read; 0: none yet */
	bool watching;
};

/* Reads the sections of a head that is newer than the one in force. */
struct replication_loader {
	struct head *head; /* NULL: nothing to load */
	uint64_t store_revision;
	int64_t sent_ms; /* of the store call that returned or set the head */
	/* One for each section of the head; text is NULL until it is known. */
	struct document_source *sections;
	uint64_t token; /* of the call in flight; 0: none */
	int64_t next_ms;
};

enum replication_op_kind {
	OP_EDIT,
	OP_ZONE_OUT,
	OP_ZONE_IN
};

/* A section that an edit replaces. Its text is stored under the key of
 * own_revision, which is increased if another edit has written that key. */
struct replication_edit_section {
	char name[JOB_NAME_BYTES];
	char *text;
	uint64_t own_revision; /* 0: not chosen yet */
	bool stored;
};

/* An operator's request that has not been answered yet. */
struct replication_op {
	uint64_t call;
	enum replication_op_kind kind;
	int64_t received_ms;
	uint64_t accepted_version; /* first with the change; 0: not accepted */
	int64_t accepted_ms;
	bool unknown_outcome; /* a swap of the head may have taken effect */
	uint64_t unknown_outcome_revision; /* that this swap expected */
	/* zone orders */
	char zone[JOB_NAME_BYTES];
	char order[HEAD_ORDER_BYTES];
	/* When the hold was last sent. Never set, so an unacked hold is resent
	 * on each tick and event. */
	int64_t sent_ms;
	char (*acked_peers)[JOB_NAME_BYTES];
	size_t acked_peers_count;
	size_t acked_peers_capacity;
	/* OP_ZONE_IN: the orders that it clears, which are those known when
	 * it was received */
	char (*cleared_orders)[HEAD_ORDER_BYTES];
	size_t cleared_orders_count;
	/* edits */
	bool replaces_all; /* sections not in the edit are removed */
	bool dry_run;
	uint64_t if_match; /* version of the document or revision of the section
			      that the edit is based on */
	struct replication_edit_section *sections;
	size_t sections_count;
	struct buffer warnings;
	struct buffer difference; /* from the document in force */
};

enum replication_writer_step {
	WRITER_IDLE,
	WRITER_READ,	/* reading the head */
	WRITER_LOAD,	/* waiting until the loader has put the base in force */
	WRITER_SECTION, /* writing a section */
	WRITER_SWAP	/* swapping the head */
};

/* Writes changes of the head to the store, one at a time. */
struct replication_writer {
	enum replication_writer_step step;
	uint64_t token;	 /* of the call in flight; 0: none */
	int64_t next_ms; /* no change is started earlier */
	int32_t retry_ms;
	/* NULL: the change settles holds, or op was answered meanwhile */
	struct replication_op *op;
	bool settling_holds;
	struct head *base; /* head to change; NULL when the store has none */
	uint64_t base_revision;
	struct head *next; /* head being swapped in */
	size_t section;	   /* index of the section being written */
};

struct replication_peer {
	char name[JOB_NAME_BYTES];
	uint64_t version; /* in force there, by its last message */
};

struct replication {
	char name[JOB_NAME_BYTES];
	uint64_t incarnation;
	int32_t watch_timeout_ms;
	int64_t now_ms; /* of the event being handled */
	uint64_t last_token;
	uint64_t last_order;
	struct loaded_version in_force;
	int64_t confirmed_ms;
	struct replication_reader reader;
	struct replication_loader loader;
	struct replication_writer writer;
	struct holds holds;
	struct replication_op **ops;
	size_t ops_count;
	size_t ops_capacity;
	struct replication_peer *peers;
	size_t peers_count;
	int64_t next_fetch_ms;
	struct replication_action *actions;
	size_t actions_count;
	size_t actions_capacity;
	size_t actions_taken;
};

/* ---- Actions, holds and the version in force --------------------------- */

/* Appends an action, owned by the replication; the pointer is valid until the
 * next action is added. */
struct replication_action *replication_add_action(
    struct replication *replication, enum replication_action_kind kind);
/* Queues a store call and returns its token. Takes ownership of the value,
 * which may be NULL. */
uint64_t replication_call_store(struct replication *replication,
    enum store_op op, const char *key, struct buffer *value,
    uint64_t expected_revision, int32_t wait_ms);
void replication_section_key(
    const char *name, uint64_t revision, char key[STORE_KEY_BYTES]);
/* Adds a hold, unless the head in force contains its order or a version not
 * older than settled_version (0: not settled) is in force. Logs and ignores
 * malformed names. */
void replication_add_hold(struct replication *replication, const char *zone,
    const char *order, uint64_t settled_version);
/* Puts a version in force, or frees it when it isn't newer than the one in
 * force. Takes ownership of its contents. */
void replication_put_in_force(
    struct replication *replication, struct loaded_version *version);
/* Records that a store call sent at sent_ms confirmed the version in force. */
void replication_update_confirmed(
    struct replication *replication, int64_t sent_ms);
/* Returns the current retry wait and doubles it, up to the maximum. */
int32_t replication_next_backoff_ms(int32_t *retry_ms);
/* Returns a section's text, owned by the version; NULL when the version doesn't
 * have the section at this revision. */
const char *replication_section_text(
    const struct loaded_version *version, const char *name, uint64_t revision);

/* ---- Reading the head and its sections --------------------------------- */

void replication_reader_tick(struct replication *replication);
void replication_reader_result(
    struct replication *replication, const struct store_result *result);
/* Starts to load a head that is known to be in the store if it is newer than
 * the one in force and the one being loaded, and closes the zones that it takes
 * out. If it is the one in force, confirms it; logs and drops an older one.
 * Takes ownership of the head. */
void replication_load_head(struct replication *replication, struct head *head,
    uint64_t store_revision, int64_t sent_ms);
void replication_loader_tick(struct replication *replication);
void replication_loader_result(
    struct replication *replication, const struct store_result *result);
void replication_loader_clear(struct replication_loader *loader);

/* ---- Planning an edit -------------------------------------------------- */

enum replication_edit_plan {
	EDIT_SWAP_HEAD,	    /* *next is the head to swap in */
	EDIT_STORE_SECTION, /* the section at *section must be stored first */
	EDIT_ACCEPTED,	    /* the version in force already has the edit */
	EDIT_DRY_RUN_DONE,
	EDIT_REJECTED /* *status has the reason */
};
/* Decides the next step of an edit on top of the version in force. Sets *next,
 * which the caller frees, *section or *status as the result says. */
enum replication_edit_plan replication_plan_edit(
    struct replication *replication, struct replication_op *op, size_t *section,
    struct head **next, struct ibis_status *status);

/* ---- Writing changes to the store -------------------------------------- */

void replication_writer_tick(struct replication *replication);
void replication_writer_result(
    struct replication *replication, const struct store_result *result);
/* Abandons the change in progress and frees its heads. */
void replication_writer_clear(struct replication *replication);

/* ---- Operators' requests ----------------------------------------------- */

/* Records the version in which the store has accepted an operation. */
void replication_record_accepted(struct replication *replication,
    struct replication_op *op, uint64_t version);
/* Answers an operation and frees it. Takes ownership of json, which may be
 * NULL. */
void replication_answer_op(struct replication *replication,
    struct replication_op *op, const struct ibis_status *status,
    struct buffer *json, uint64_t revision);
void replication_ops_tick(struct replication *replication);
/* Records as accepted the zone orders that the head in force contains. */
void replication_ops_check_head(struct replication *replication);
void replication_op_free(struct replication_op *op);

/* ---- Frames to peers --------------------------------------------------- */

/* Sends the hold of a zone order to the peers that have not acked it. */
void replication_send_hold(
    struct replication *replication, const struct replication_op *op);
/* Sends the version in force to all peers. */
void replication_send_copies(struct replication *replication);

/* ---- Reports: each appends a JSON object to json ----------------------- */

void replication_report_zone(const struct replication *replication,
    const struct replication_op *op, struct buffer *json);
void replication_report_edit(const struct replication *replication,
    const struct replication_op *op, struct buffer *json);
/* Returns true when all peers have the accepted version or acked the hold. */
bool replication_reached_all_peers(
    const struct replication *replication, const struct replication_op *op);
void replication_report_document(
    const struct replication *replication, struct buffer *json);
void replication_report_status(
    const struct replication *replication, struct buffer *json);

#endif
