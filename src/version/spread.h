/*
 * Spread of document versions and zone holds, as seen by one instance. It
 * keeps the newest accepted version, takes in newer ones from the store and
 * from peers, and carries operators' edits and zone orders through. Pure:
 * events and the present time go in, actions come out.
 *
 * What the owner must do:
 * - call spread_tick at least every SPREAD_TICK_MS;
 * - hand in every store result whose call an action gave (spread_store), every
 *   frame (spread_frame), and the requests of operators (spread_request);
 * - call spread_set_peers whenever the set of live instances changes;
 * - call spread_set_watching(true) on the few instances that watch the head,
 *   the pool's lead among them; the others read it rarely;
 * - after each of these, take all actions (spread_next) and carry them out;
 * - put spread_fill_heartbeat's fields into each heartbeat, and its holds into
 *   each Confirmation;
 * - before any start in a zone, ask spread_zone_open;
 * - take spread_confirmed_ms as the time as of which the store has confirmed
 *   what is in force here.
 *
 * An edit writes the changed sections under keys of their own, then swaps the
 * head. A zone is taken out by a hold, which is in force before the head
 * carries it; any instance writes a hold that its originator has left
 * unsettled.
 */
#ifndef IBIS_SPREAD_H
#define IBIS_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/store_client.h"
#include "ibistrestle.h"
#include "ibistrestle.pb-c.h"
#include "process/buffer.h"
#include "version/document.h"
#include "version/head.h"
#include "version/holds.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	SPREAD_TICK_MS = 50
};

struct spread;

struct spread_config {
	const char *name;     /* of this instance; copied */
	uint64_t incarnation; /* of this process; makes orders unique */
	int32_t watch_ms;     /* longest wait of a watch on the head */
};

enum spread_action_kind {
	SPREAD_STORE,	/* call the store; give the result to spread_store */
	SPREAD_SEND,	/* send a frame to a peer; a loss does no harm */
	SPREAD_VERSION, /* another version is in force: spread_document */
	SPREAD_ZONES,	/* what spread_zone_open says may have changed */
	SPREAD_ANSWER	/* answer an operator */
};

struct spread_action {
	enum spread_action_kind kind;
	union {
		/* The owner field is the owner's to set. store_client_call
		 * takes the value over. */
		struct store_call store;
		struct {
			char peer[JOB_NAME_BYTES];
			Ibis__Frame *frame;
		} send;
		struct {
			uint64_t call;
			/* INVALID, CONFLICT, NOT_FOUND and UNAVAILABLE:
			 * nothing was done; UNKNOWN: perhaps it was */
			struct ibis_status status;
			struct buffer json; /* with IBIS_OK */
			uint64_t revision;  /* for ETag */
		} answer;
	};
};

struct spread *spread_new(const struct spread_config *config, int64_t now_ms);
void spread_free(struct spread *spread);

void spread_tick(struct spread *spread, int64_t now_ms);

/* Takes in the result of a store call; it stays the caller's. */
void spread_store(
    struct spread *spread, const struct store_result *result, int64_t now_ms);

/*
 * Takes in a frame of a peer: hold, ack of a hold, document fetch and copy,
 * and of a heartbeat and a confirmation the version and holds. Other frames
 * are passed over. The frame stays the caller's.
 */
void spread_frame(struct spread *spread, const char *peer,
    const Ibis__Frame *frame, int64_t now_ms);

/*
 * Takes in an operator's request: PUT_DOCUMENT, PUT_SECTION, ZONE_OUT,
 * ZONE_IN, DOCUMENT, SECTION or DOCUMENT_STATUS. It is answered by an action
 * with the same call, within 6 s; a zone order within 2.5 s. Returns false for
 * other kinds.
 */
bool spread_request(struct spread *spread, uint64_t call,
    const Ibis__Request *request, int64_t now_ms);

/* Makes the other live instances the given ones. */
void spread_set_peers(
    struct spread *spread, const char *const *names, size_t count);

void spread_set_watching(struct spread *spread, bool watching);

/* Takes the next action; false when there is none. Free it in any case. */
bool spread_next(struct spread *spread, struct spread_action *action);
void spread_action_free(struct spread_action *action);

/* What is in force; NULL before the first version. Owned by the spread, valid
 * until the next call that hands in an event: a pointer kept over one has to be
 * renewed before any action is carried out. */
const struct document *spread_document(const struct spread *spread);
const struct head *spread_head(const struct spread *spread);
uint64_t spread_version(const struct spread *spread); /* 0: none */

/* Tells whether starts in a zone are allowed by the document, the head and
 * the holds known here. */
bool spread_zone_open(const struct spread *spread, const char *zone);

/* When the newest read that confirmed the version in force was sent;
 * INT64_MIN: never. */
int64_t spread_confirmed_ms(const struct spread *spread);

/* Zone holds in force here. */
const struct holds *spread_holds(const struct spread *spread);

/* Sets a heartbeat's version and holds; the holds are freed by
 * spread_clear_heartbeat. */
void spread_fill_heartbeat(
    const struct spread *spread, Ibis__Heartbeat *heartbeat);
void spread_clear_heartbeat(Ibis__Heartbeat *heartbeat);

#ifdef __cplusplus
}
#endif

#endif
