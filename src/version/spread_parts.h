/* State of a spread and what its parts offer each other. */
#ifndef IBIS_SPREAD_PARTS_H
#define IBIS_SPREAD_PARTS_H

#include "version/spread.h"

#define SPREAD_STEP	"document"
#define SPREAD_HEAD_KEY "document/head"

enum {
	SPREAD_RETRY_MS = 200,	    /* after a failed store call */
	SPREAD_RETRY_MAX_MS = 1000, /* after many */
	SPREAD_READ_MS = 30000,	    /* between reads of one that watches not */
	SPREAD_ZONE_ANSWER_MS = 2400, /* longest, for a zone order */
	SPREAD_EDIT_ANSWER_MS = 5000, /* longest, until an edit is accepted */
	SPREAD_REACH_MS = 1000,	      /* longest wait for peers once durable */
	SPREAD_RESEND_MS = 300,	      /* of a hold that is not acked */
	SPREAD_FETCH_MS = 500,	      /* between fetches from peers */
	SPREAD_ADOPT_MS = 3000 /* a hold left unsettled so long is written
				  by any instance */
};

/* A version in force: a head with all it names. */
struct spread_version {
	struct head *head;
	uint64_t store_revision; /* of the head's key; 0 while not known */
	struct document_source *sections;
	size_t sections_count;
	struct document *document;
};

/* Reads the head's key, again and again. */
struct spread_reader {
	uint64_t token; /* of the call in flight; 0: none */
	int64_t next_ms;
	int32_t retry_ms;
	uint64_t seen_revision; /* of the newest answer; 0: no key */
	bool watching;
};

/* Fetches the sections of a newer head. */
struct spread_loader {
	struct head *head; /* NULL: nothing to load */
	uint64_t store_revision;
	int64_t sent_ms;
	struct document_source *sections; /* as the head's; text NULL: lacks */
	uint64_t token;
	int64_t next_ms;
};

enum spread_op_kind {
	OP_EDIT,
	OP_ZONE_OUT,
	OP_ZONE_IN
};

/* An edited section; revision is the one of its own key once stored. */
struct spread_edit_section {
	char name[JOB_NAME_BYTES];
	char *text;
	uint64_t own_revision;
	bool stored;
};

/* An operator's request that is not answered yet. */
struct spread_op {
	uint64_t call;
	enum spread_op_kind kind;
	int64_t since_ms;
	uint64_t accepted_version; /* 0: not yet */
	int64_t accepted_ms;
	bool doubt;		 /* a swap may have taken effect */
	uint64_t doubt_revision; /* store revision that the swap expected */
	/* zone orders */
	char zone[JOB_NAME_BYTES];
	char order[HEAD_ORDER_BYTES];
	int64_t sent_ms; /* when the hold was last sent */
	char (*acks)[JOB_NAME_BYTES];
	size_t acks_count;
	size_t acks_capacity;
	/* of a return: the orders that it ends, known when it was given */
	char (*ended)[HEAD_ORDER_BYTES];
	size_t ended_count;
	/* edits */
	bool whole; /* replaces all sections */
	bool dry_run;
	uint64_t if_match;
	struct spread_edit_section *sections;
	size_t sections_count;
	struct buffer warnings;
	struct buffer difference;
};

enum spread_writer_step {
	WRITER_IDLE,
	WRITER_READ,	/* reads the head */
	WRITER_LOAD,	/* waits for the loader */
	WRITER_SECTION, /* writes a section */
	WRITER_SWAP	/* swaps the head */
};

/* Carries one change of the head at a time into the store. */
struct spread_writer {
	enum spread_writer_step step;
	uint64_t token;
	int64_t next_ms;
	int32_t retry_ms;
	struct spread_op *op; /* NULL: settles holds, or the op was answered */
	bool settling;
	struct head *base; /* NULL when the store has no head */
	uint64_t base_revision;
	struct head *next;
	size_t section; /* that is being written */
};

struct spread_peer {
	char name[JOB_NAME_BYTES];
	uint64_t version;
};

struct spread {
	char name[JOB_NAME_BYTES];
	uint64_t incarnation;
	int32_t watch_ms;
	int64_t now_ms; /* of the event being handled */
	uint64_t last_token;
	uint64_t last_order;
	struct spread_version force;
	int64_t confirmed_ms;
	struct spread_reader reader;
	struct spread_loader loader;
	struct spread_writer writer;
	struct holds holds;
	struct spread_op **ops;
	size_t ops_count;
	size_t ops_capacity;
	struct spread_peer *peers;
	size_t peers_count;
	int64_t next_fetch_ms;
	struct spread_action *actions;
	size_t actions_count;
	size_t actions_capacity;
	size_t actions_taken;
};

/* spread.c */
struct spread_action *spread_act(
    struct spread *spread, enum spread_action_kind kind);
/* Queues a store call; returns its token. */
uint64_t spread_call_store(struct spread *spread, enum store_op op,
    const char *key, struct buffer *value, uint64_t expected_revision,
    int32_t wait_ms);
void spread_section_key(
    const char *name, uint64_t revision, char key[STORE_KEY_BYTES]);
/* Adds a hold, unless the head in force accounts for it. */
void spread_hold(struct spread *spread, const char *zone, const char *order,
    uint64_t settled_version);
/* Puts a version in force, taking all of it over. */
void spread_enforce(struct spread *spread, struct spread_version *version);
void spread_confirm(struct spread *spread, int64_t sent_ms);
/* Doubles a wait up to the longest. */
int32_t spread_back_off(int32_t *retry_ms);
const char *spread_section_text(
    const struct spread_version *version, const char *name, uint64_t revision);

/* spread_load.c */
void spread_reader_tick(struct spread *spread);
void spread_reader_result(
    struct spread *spread, const struct store_result *result);
/* Offers a head that was read from the store; takes it over. */
void spread_offer(struct spread *spread, struct head *head,
    uint64_t store_revision, int64_t sent_ms);
void spread_loader_tick(struct spread *spread);
void spread_loader_result(
    struct spread *spread, const struct store_result *result);
void spread_loader_clear(struct spread_loader *loader);

/* spread_edit.c */
enum edit_plan {
	EDIT_READY,    /* *next is the head to swap in */
	EDIT_SECTION,  /* the section at *section must be stored first */
	EDIT_ACCEPTED, /* the head has it already */
	EDIT_CHECKED,  /* a dry run is done */
	EDIT_REFUSED   /* the status says why */
};
/* Plans an edit over the version in force. */
enum edit_plan spread_plan_edit(struct spread *spread, struct spread_op *op,
    size_t *section, struct head **next, struct ibis_status *status);

/* spread_write.c */
void spread_writer_tick(struct spread *spread);
void spread_writer_result(
    struct spread *spread, const struct store_result *result);
void spread_writer_clear(struct spread *spread);

/* spread_ops.c */
/* Notes that a version carries an operation. */
void spread_accepted(
    struct spread *spread, struct spread_op *op, uint64_t version);
/* Answers and ends an operation; json is taken over, may be NULL. */
void spread_answer(struct spread *spread, struct spread_op *op,
    const struct ibis_status *status, struct buffer *json, uint64_t revision);
void spread_ops_tick(struct spread *spread);
/* Notes the orders that the head in force knows. */
void spread_ops_enforced(struct spread *spread);
void spread_op_free(struct spread_op *op);

/* spread_peer.c */
void spread_send_hold(struct spread *spread, const struct spread_op *op);
void spread_send_copies(struct spread *spread);

/* spread_report.c */
void spread_report_zone(const struct spread *spread, const struct spread_op *op,
    struct buffer *json);
void spread_report_edit(const struct spread *spread, const struct spread_op *op,
    struct buffer *json);
bool spread_reached_all(
    const struct spread *spread, const struct spread_op *op);
void spread_report_document(const struct spread *spread, struct buffer *json);
void spread_report_status(const struct spread *spread, struct buffer *json);

#endif
