/* The control thread's state. Private to the agent's parts. */
#ifndef IBIS_AGENT_STATE_H
#define IBIS_AGENT_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include <urcu/list.h>

#include "agent/agent_watch.h"
#include "connection/gateway.h"
#include "connection/http_pool.h"
#include "fleet/fleet.h"
#include "fleet/name_index.h"
#include "platform.h"
#include "process/event.h"
#include "version/routes.h"

/* Keys in the store. */
#define AGENT_PREFIX	   "ibis/"
#define AGENT_LEAD_KEY	   "ibis/lead"
#define AGENT_JOB_PREFIX   "ibis/job/"
#define AGENT_STATE_PREFIX "ibis/progress/"
#define AGENT_STOP_PREFIX  "ibis/cancel/"
#define AGENT_PEER_PREFIX  "ibis/instance/"

/* One store call is given this long. */
#define STORE_TIMEOUT_MS 600
/* An instance that has not heard from the store for so long is not ready. */
#define STORE_LOST_MS 2500

/* A job as the store has it. */
struct view_job {
	char id[FLEET_ID_BYTES];
	Ibis__StepJob *spec; /* NULL until its record has come */
	uint64_t revision;
	struct buffer progress; /* packed; empty: none */
	uint64_t progress_revision;
	Ibis__StepJobPhase phase;
	int64_t ended_wall_ms; /* 0: not ended */
	bool cancelled;
	bool removing;
};

enum lead_state {
	LEAD_FOLLOWS,
	LEAD_ASKS_LEASE,
	LEAD_ASKS_KEY,
	LEAD_WAITS_KEY, /* until the watch shows the key as ours */
	LEAD_LEADS
};

struct lead_key {
	bool present;
	bool changed; /* and not taken note of yet */
	uint64_t revision;
	uint64_t lease;
	char holder[FLEET_NAME_BYTES];
};

struct agent_lead {
	enum lead_state state;
	uint64_t lease;
	uint64_t epoch;	   /* the key's revision */
	uint64_t replaces; /* revision of the key to take over; 0: none there */
	/* Offered: until when a peer may take it; 0: not offered. */
	int64_t release_ms;
	uint32_t offers_left;
	uint32_t next_offer;
	uint64_t term;	    /* counts our own times of leading */
	int64_t renewed_ms; /* when the last good renewal was sent */
	int64_t next_renew_ms;
	int64_t next_try_ms;
	int64_t asked_ms;
	uint32_t renewing; /* renewals on their way */
	bool lapsed;	   /* told once */
};

/* What is under way with one worker. */
struct agent_worker {
	char id[FLEET_NAME_BYTES];
	bool looking;
	bool looking_extra;
	bool wants_extra;
	int64_t next_look_ms;
	int64_t look_sent_ms;
};

struct records_batch;

/* Another instance that may reach the store when this one can't. */
struct agent_peer {
	char name[FLEET_NAME_BYTES];
	char address[PLATFORM_TEXT_BYTES * 2];
	int64_t avoid_until_ms;
};

struct agent_peers {
	struct name_index index; /* owns struct agent_peer */
	/* Our own entry in the store. */
	uint64_t lease;
	bool registering;
	int64_t next_register_ms;
};

struct agent_relay {
	size_t next_peer;
	bool by_peer; /* calls go by a peer, as the store does not answer */
	int64_t since_ms;
	bool probing;
	int64_t next_probe_ms;
	struct cds_list_head serving; /* calls carried out for peers */
	struct cds_list_head asked;   /* our short calls on their way */
	bool failing;	     /* the last call was turned away or unanswered */
	int64_t answered_ms; /* the store's last answer */
};

struct agent {
	struct platform_settings settings;
	const char *settings_path;
	struct event_queue *events;
	struct http_pool *pool;
	struct gateway *gateway;
	struct platform_store store;
	struct agent_peers peers;
	struct agent_relay relay;
	char internal_address[PLATFORM_TEXT_BYTES * 2];
	uint64_t random_state;

	/* What the store says. */
	struct agent_watch *own;
	struct agent_watch *operators;
	struct name_index jobs;
	struct lead_key lead_key;
	struct routes *routes; /* NULL before the first */
	struct name_index zones_out;

	/* Callers' requests that wait for the store. */
	struct cds_list_head pending;
	uint32_t pending_count;

	/* Leading. */
	struct agent_lead lead;
	struct fleet *fleet;		  /* NULL when another leads */
	struct agent_watch *worker_watch; /* the same */
	struct name_index workers;
	struct records_batch *batch;
	int64_t next_record_ms;
	int64_t next_removal_ms;
	bool removal_on_its_way;

	bool stopping;
	int64_t stopping_since_ms;
	int64_t next_ms; /* of the next step */
	bool ready;
};

/* Asks for a step at a time. */
void agent_wake_at(struct agent *agent, int64_t at_ms);
uint32_t agent_random(struct agent *agent, uint32_t below);

/* View group. */
void agent_view_start(struct agent *agent);
void agent_view_free(struct agent *agent);
void agent_view_step(struct agent *agent, int64_t now_ms);
bool agent_view_fresh(const struct agent *agent, int64_t now_ms);
struct view_job *agent_view_job(const struct agent *agent, const char *id);

/* Takes a job's record before the watch brings it. */
void agent_view_take_job(struct agent *agent, const char *id, uint64_t revision,
    const char *record, size_t length);

/* Hint group: a record of a job that this instance has accepted. */
void agent_hint_send(struct agent *agent, const char *id, uint64_t revision,
    const struct buffer *record);
/* A peer's hint; false when the request is something else. */
bool agent_hint_request(struct agent *agent, struct gateway_request *request);

/* Status group: an operator's question; false when it is something else. */
bool agent_status_request(struct agent *agent, struct gateway_request *request);

/* Peers group. */
/* Sends a message to a peer's internal address. */
void agent_peers_call(struct agent *agent, const char *address,
    const char *path, const ProtobufCMessage *message, int32_t timeout_ms,
    http_done *done, void *context);
/* A peer's entry in the store has changed. */
void agent_peers_item(
    struct agent *agent, const char *name, const struct platform_item *item);
/* A peer's greeting; false when the request is something else. */
bool agent_peers_request(struct agent *agent, struct gateway_request *request);
/* Keeps our own entry. */
void agent_peers_step(struct agent *agent, int64_t now_ms);
void agent_peers_free(struct agent *agent);

/* Relay group: calls to the store go through a peer while this instance can't
 * reach it. */
void agent_relay_carry(void *context, const struct http_call *call,
    http_done *done, void *done_context);
void agent_relay_step(struct agent *agent, int64_t now_ms);
/* A peer's request at the internal address. */
void agent_relay_request(struct agent *agent, struct gateway_request *request);
enum store_health {
	STORE_ANSWERS,
	STORE_DOUBTFUL, /* an answer is overdue, or the last one failed */
	STORE_LOST	/* that has lasted */
};

/* What is known of the store by now, by whatever way. */
enum store_health agent_relay_health(const struct agent *agent, int64_t now_ms);

/* Answers what peers wait for and forgets all. */
void agent_relay_end(struct agent *agent);

/* Lead group. */
void agent_lead_step(struct agent *agent, int64_t now_ms);
void agent_lead_step_down(struct agent *agent, const char *reason);
void agent_lead_release(struct agent *agent);
/* Asks for a lease and then for the key: an absent one, or in place of the one
 * of this revision. */
void agent_lead_ask(struct agent *agent, uint64_t replaces);
/* The time from which leases of what runs may be granted: now, or earlier when
 * the lead's own lease has not been renewed for a while. */
int64_t agent_lead_grant_from(const struct agent *agent, int64_t now_ms);
/* A job's records have come while leading. */
void agent_lead_job(struct agent *agent, struct view_job *job, int64_t now_ms);

/* Handover group. */
/* Offers the lead to a peer before a planned stop; without one, or when it does
 * not take it in time, the lead is released. */
void agent_handover_begin(struct agent *agent, int64_t now_ms);
/* A peer's offer; false when the request is something else. */
bool agent_handover_request(
    struct agent *agent, struct gateway_request *request);

/* Records group. */
void agent_records_step(struct agent *agent, int64_t now_ms);
void agent_records_drop(struct agent *agent);

/* Workers group. */
void agent_workers_start(struct agent *agent);
void agent_workers_stop(struct agent *agent);
void agent_workers_step(struct agent *agent, int64_t now_ms);
void agent_workers_decide(struct agent *agent, int64_t now_ms);

/* Callers group. */
void agent_callers_request(
    struct agent *agent, struct gateway_request *request, int64_t now_ms);
void agent_callers_step(struct agent *agent, int64_t now_ms);
/* Answers all that wait: their outcome is not known. */
void agent_callers_end(struct agent *agent);

#endif
