/*
 * Replication of document versions and zone holds, as seen by one instance. It
 * keeps the newest accepted version, receives newer ones from the store and
 * from peers, and executes operators' edits and zone orders. It does no I/O and
 * reads no clock: events and the current time are passed in, actions are
 * returned.
 *
 * The owner must:
 * - call replication_tick at least every REPLICATION_TICK_MS;
 * - pass in the result of every store call that an action asked for
 *   (replication_handle_store_result), every frame from a peer
 *   (replication_handle_frame) and every operator's request
 *   (replication_handle_request);
 * - call replication_set_peers whenever the set of live instances changes;
 * - call replication_set_watching(true) on the few instances that watch the
 *   head, the lead among them; the others poll it at long intervals;
 * - after each of these calls, take all actions (replication_next_action) and
 *   perform them;
 * - add the fields of replication_fill_heartbeat to each heartbeat, and its
 *   holds to each Confirmation;
 * - check replication_zone_open before each start in a zone;
 * - measure the age of the configuration from replication_confirmed_ms.
 *
 * An edit first writes each changed section under a new key, then replaces the
 * head with a compare-and-swap. An order to take a zone out creates a hold,
 * which closes the zone at once. The hold is settled when the head in the store
 * contains its order. If the instance that created a hold doesn't settle it in
 * time, any other instance does.
 */
#ifndef IBIS_REPLICATION_H
#define IBIS_REPLICATION_H

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
	REPLICATION_TICK_MS = 50
};

struct replication;

struct replication_config {
	const char *name;	  /* of this instance; copied */
	uint64_t incarnation;	  /* of this process; makes order ids unique */
	int32_t watch_timeout_ms; /* longest wait of a watch on the head */
};

enum replication_action_kind {
	REPLICATION_STORE_CALL, /* call the store; pass the result to
				   replication_handle_store_result */
	REPLICATION_SEND_FRAME, /* send a frame to a peer; it may be lost */
	REPLICATION_VERSION_CHANGED, /* another version is in force:
					replication_document */
	REPLICATION_ZONES_CHANGED, /* results of replication_zone_open may have
				      changed */
	REPLICATION_ANSWER	   /* answer an operator's request */
};

struct replication_action {
	enum replication_action_kind kind;
	union {
		/* The caller sets the owner field. store_client_call takes
		 * ownership of the value. */
		struct store_call store;
		struct {
			char peer[JOB_NAME_BYTES];
			Ibis__Frame *frame; /* freed with the action */
		} send;
		struct {
			uint64_t
			    call; /* as passed to replication_handle_request */
			/* After INVALID, CONFLICT, NOT_FOUND and UNAVAILABLE
			 * nothing has changed; after UNKNOWN the change may
			 * have been made. */
			struct ibis_status status;
			struct buffer json; /* set with IBIS_OK; for a read of
					       a section, the section's text */
			uint64_t revision;  /* for the ETag header */
		} answer;
	};
};

/* Never returns NULL. The caller frees the result with replication_free. */
struct replication *replication_new(
    const struct replication_config *config, int64_t now_ms);
void replication_free(struct replication *replication); /* NULL is allowed */

/* Runs timers: retries, timeouts, resends. */
void replication_tick(struct replication *replication, int64_t now_ms);

/* Handles the result of a store call, which remains the caller's. A result
 * whose token isn't that of a call in flight is ignored. */
void replication_handle_store_result(struct replication *replication,
    const struct store_result *result, int64_t now_ms);

/*
 * Handles a frame from a peer: a hold, the ack of a hold, a document fetch or
 * copy, and of a heartbeat or confirmation the version and the holds. Other
 * frames are ignored. The frame remains the caller's.
 */
void replication_handle_frame(struct replication *replication, const char *peer,
    const Ibis__Frame *frame, int64_t now_ms);

/*
 * Starts an operator's request, which remains the caller's: PUT_DOCUMENT,
 * PUT_SECTION, ZONE_OUT, ZONE_IN, DOCUMENT, SECTION or DOCUMENT_STATUS. A
 * REPLICATION_ANSWER action with the same call answers it, within 6 s, or 2.5 s
 * for a zone order. A ZONE_OUT that is not stored by then is answered with
 * IBIS_OK and "durable": false, as its hold is in force here. Returns false for
 * other kinds, which get no answer.
 */
bool replication_handle_request(struct replication *replication, uint64_t call,
    const Ibis__Request *request, int64_t now_ms);

/* Sets the names of the other live instances, which are copied. */
void replication_set_peers(
    struct replication *replication, const char *const *names, size_t count);

/* Sets whether this instance watches the head's key or polls it. */
void replication_set_watching(struct replication *replication, bool watching);

/* Moves the next action to *action; returns false when there is none. The
 * caller frees each action with replication_action_free after performing it. A
 * value or frame that it has moved out must be cleared in the action first. */
bool replication_next_action(
    struct replication *replication, struct replication_action *action);
void replication_action_free(struct replication_action *action);

/* Return the document and the head in force; NULL before the first version.
 * They are owned by the replication and may be freed by the next call that
 * passes in an event. A caller that keeps the pointer must fetch it again after
 * such a call, before it performs any action. */
const struct document *replication_document(
    const struct replication *replication);
const struct head *replication_head(const struct replication *replication);

/* Returns the version in force; 0 before the first one. */
uint64_t replication_version(const struct replication *replication);

/* Returns true when the document, the head and the holds known to this instance
 * all allow starts in a zone; false for an unknown zone too. */
bool replication_zone_open(
    const struct replication *replication, const char *zone);

/* Returns when the newest store call was sent whose result confirmed the
 * version then in force, on the clock of now_ms; INT64_MIN before the first
 * one. A version received from a peer doesn't change it. */
int64_t replication_confirmed_ms(const struct replication *replication);

/* Returns the zone holds in force on this instance, owned by the replication.
 */
const struct holds *replication_holds(const struct replication *replication);

/* Sets a heartbeat's version and holds. The caller frees the holds with
 * replication_clear_heartbeat. */
void replication_fill_heartbeat(
    const struct replication *replication, Ibis__Heartbeat *heartbeat);
void replication_clear_heartbeat(Ibis__Heartbeat *heartbeat);

#ifdef __cplusplus
}
#endif

#endif
