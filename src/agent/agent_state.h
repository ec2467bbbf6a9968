/*
 * State of the control thread, and the functions that the agent's source files
 * share. Private to src/agent. Only the control thread uses any of it, so
 * there are no locks.
 */
#ifndef IBIS_AGENT_STATE_H
#define IBIS_AGENT_STATE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include <urcu/list.h>

#include "agent/agent_watch.h"
#include "connection/gateway.h"
#include "connection/http_pool.h"
#include "fleet/fleet.h"
#include "fleet/name_index.h"
#include "platform.h"
#include "process/event.h"
#include "process/log.h"
#include "version/routes.h"

/* Keys in the store. */
#define AGENT_PREFIX	      "ibis/"
#define AGENT_LEAD_KEY	      "ibis/lead"
#define AGENT_JOB_PREFIX      "ibis/job/"
#define AGENT_PROGRESS_PREFIX "ibis/progress/"
#define AGENT_CANCEL_PREFIX   "ibis/cancel/"
#define AGENT_PEER_PREFIX     "ibis/instance/"
#define AGENT_CAPACITY_PREFIX "ibis/capacity/"

/* Timeout of one store call; the wait of a watch is added. */
#define STORE_TIMEOUT_MS 600
/* How long the store may hold a watch of records or of operators' keys. */
#define STORE_WATCH_WAIT_MS 800
/* An instance whose copy of the store's records is older is not ready. */
#define VIEW_MAX_AGE_MS 2500

enum {
	AGENT_RECORD_BATCHES = 4 /* writes of records in flight, at most */
};

/* A job as recorded in the store. */
struct view_job {
	char id[FLEET_ID_BYTES];
	Ibis__StepJob *spec; /* NULL until the job's record has arrived */
	uint64_t revision;
	struct buffer progress; /* packed JobProgress; empty: none */
	uint64_t progress_revision;
	bool progress_unreadable; /* there is a record, but not in progress */
	Ibis__StepJobPhase phase;
	int64_t ended_wall_ms; /* 0: not ended */
	bool cancelled;
	int64_t cancel_seen_ms; /* by this instance */
	bool removal_requested;
};

/* The states of becoming the lead, in order. */
enum agent_lead_state {
	AGENT_FOLLOWING,
	AGENT_REQUESTING_LEASE,
	AGENT_REQUESTING_KEY,
	AGENT_AWAITING_KEY, /* until the watch shows it with our lease */
	AGENT_LEADING
};

/* The lead key as last seen in the store. */
struct agent_lead_key {
	bool present;
	bool changed; /* since agent_lead_step last handled a change */
	uint64_t revision;
	uint64_t lease;
	char holder[FLEET_NAME_BYTES];
};

struct agent_lead {
	enum agent_lead_state state;
	uint64_t lease;
	uint64_t epoch; /* the lead key's revision when this lead took over */
	/* Revision of the lead key to overwrite; 0: no key is expected. */
	uint64_t replaced_revision;
	/* When a lead that is offered to peers is released if none has taken
	 * it. 0: not offered. */
	int64_t offer_expires_ms;
	uint32_t offers_left;
	uint32_t offer_round;	    /* number of the current offer */
	int64_t offer_capacity;	    /* least lead capacity of a peer */
	bool offer_ends_in_release; /* if no peer takes the lead */
	int64_t next_offer_ms;	    /* of a lead that goes on leading */
	int64_t taken_ms;	    /* when this instance took the lead */
	/* Changes whenever this instance starts or stops leading, so that late
	 * answers to an earlier lead's calls can be recognised. */
	uint64_t generation;
	int64_t renewed_ms; /* when the last successful renewal was sent */
	int64_t next_renew_ms;
	int64_t next_try_ms;
	int64_t next_reload_ms; /* no reload because of a report before */
	int64_t key_requested_ms;
	uint32_t renewals_in_flight;
	bool lease_unconfirmed; /* may have expired; set when this is logged */
};

/* The lead's poll calls to one worker. A regular poll may wait at the worker;
 * an extra poll returns the worker's report at once. */
struct agent_worker {
	char id[FLEET_NAME_BYTES];
	bool poll_in_flight;
	bool extra_poll_in_flight;
	bool extra_poll_wanted;
	int64_t next_poll_ms;
	int64_t poll_sent_ms;
	/* Why the last poll had no report; empty: it had one. */
	char poll_failure[64];
};

struct record_batch;

/* Another instance. */
struct agent_peer {
	char name[FLEET_NAME_BYTES];
	char address[PLATFORM_TEXT_BYTES * 2]; /* its internal address */
	int64_t avoid_until_ms; /* no relaying through it before this time */
	bool knows_us;		/* it has answered a hello, or sent one */
	bool hello_in_flight;
	uint32_t hellos; /* sent */
	int64_t next_hello_ms;
	uint32_t
	    offer_round; /* the last one in which it was offered the lead */
};

/* What an instance has registered as its lead capacity. */
struct agent_capacity {
	char name[FLEET_NAME_BYTES]; /* of the instance */
	int64_t value;
};

struct agent_peers {
	struct name_index index;      /* owns struct agent_peer */
	struct name_index capacities; /* owns struct agent_capacity */
	/* This instance's own entry in the store. */
	uint64_t lease;
	bool register_in_flight;
	int64_t next_register_ms;
};

struct agent_relay {
	size_t next_peer; /* index at which the search for a peer starts */
	bool via_peer;	  /* store calls are relayed through a peer */
	int64_t switched_ms;
	bool probe_in_flight;
	int64_t next_probe_ms;
	struct cds_list_head peer_calls; /* for peers, not answered yet */
	/* Calls in flight except watches and probes, oldest first. */
	struct cds_list_head short_calls;
	bool last_call_failed;
	int64_t answered_ms; /* when the store last answered */
};

/* The operators' configuration and zones. */
struct agent_config {
	struct agent_watch *watch; /* of PLATFORM_OPERATOR_PREFIX */
	struct routes *routes;	   /* NULL until a configuration is read */
	uint64_t revision;	   /* of the configuration in force */
	struct name_index zones_out_of_service; /* owns the names */
	bool confirmed; /* as last logged: known to be current */
	int64_t unconfirmed_since_ms;
};

/* How busy the control thread is. */
struct agent_load {
	int64_t window_began_us;  /* 0: not measured yet */
	int64_t window_waited_us; /* all waiting until the window began */
	int32_t busy_permille;	  /* moving average over windows */
};

struct agent {
	struct platform_settings settings;
	const char *settings_path;
	struct timespec settings_changed; /* the file's time when it was read */
	int64_t next_settings_check_ms;
	struct event_queue *events;
	struct http_pool *pool;
	struct gateway *gateway;
	struct platform_store store;
	struct agent_peers peers;
	struct agent_relay relay;
	char internal_address[PLATFORM_TEXT_BYTES * 2]; /* empty: none */
	uint64_t random_state;

	/* Local copy of the store's contents. */
	struct agent_watch *records_watch; /* of AGENT_PREFIX */
	struct name_index jobs;		   /* owns struct view_job */
	struct agent_lead_key lead_key;
	struct agent_config config;

	/* Callers' requests that wait for the store. */
	struct cds_list_head pending_requests;
	uint32_t pending_request_count;
	uint32_t pending_calls; /* to the store, for callers */

	struct agent_load load;
	struct agent_lead lead;
	struct fleet *fleet;		  /* NULL unless leading */
	struct agent_watch *worker_watch; /* NULL unless leading */
	bool placements_held;		  /* as last logged */
	int64_t next_gauges_ms;
	struct name_index workers; /* owns struct agent_worker */
	/* Being written; NULL: none. */
	struct record_batch *batches[AGENT_RECORD_BATCHES];
	int64_t next_record_ms;
	int64_t next_removal_ms;
	bool removal_in_flight;

	bool stopping;
	int64_t stopping_since_ms;
	int64_t next_step_ms;
	bool ready;
};

/* Makes the control thread run its next step at at_ms at the latest. */
void agent_wake_at(struct agent *agent, int64_t at_ms);

/* Returns a pseudo-random number less than below, which must not be 0. */
uint32_t agent_random(struct agent *agent, uint32_t below);

/*
 * Configuration group: what operators have written, as it is in force here.
 */

/* Creates the watch of operators' keys. */
void agent_config_start(struct agent *agent);
void agent_config_free(struct agent *agent);

/* Sends the watch calls that are due, and logs when it is no longer known that
 * the configuration is current. */
void agent_config_step(struct agent *agent, int64_t now_ms);

/* Returns the configuration in force, valid until the next step or call of the
 * pool; NULL: none has been read. */
const struct routes *agent_config_routes(const struct agent *agent);

/* Returns the service that a route leads to, valid as long as the
 * configuration; NULL: there is no route with this name. */
const char *agent_config_service(
    const struct agent *agent, const char *route_name);

/* Returns the version in force; -1: none. */
int64_t agent_config_version(const struct agent *agent);

/* Returns the time since the configuration was last known to be current; -1:
 * never. */
int64_t agent_config_age_ms(const struct agent *agent, int64_t now_ms);

/* Returns whether the configuration was current within the time in which a
 * change has to be in force. */
bool agent_config_confirmed(const struct agent *agent, int64_t now_ms);

/*
 * Returns whether the configuration in force may be acted on. One that is not
 * confirmed may, while the store is unreachable: then nothing that this
 * instance could read is later.
 */
bool agent_config_usable(const struct agent *agent, int64_t now_ms);

/* Passes the configuration to the fleet of a lead that takes over. */
void agent_config_prepare_fleet(struct agent *agent);

/*
 * View group: this instance's copy of the records in the store.
 */

/* Creates the watch of records. */
void agent_view_start(struct agent *agent);
void agent_view_free(struct agent *agent);

/* Sends the watch calls that are due. */
void agent_view_step(struct agent *agent, int64_t now_ms);

/* Returns whether the copy has been loaded, contains a configuration and is
 * recent enough to serve callers and to lead. */
bool agent_view_fresh(const struct agent *agent, int64_t now_ms);

/* Returns the job, owned by the view, or NULL when no record of it has been
 * seen. */
struct view_job *agent_view_job(const struct agent *agent, const char *id);

/* Appends the body of an answer with a job's state. */
void agent_view_render_phase(const struct view_job *job, struct buffer *body);

/* Adds a job from its packed record without waiting for the watch to report
 * it. The record is copied. */
void agent_view_add_job(struct agent *agent, const char *id, uint64_t revision,
    const char *record, size_t length);

/*
 * Hint group: messages that tell the lead about accepted jobs.
 */

/* Adds a job that this instance has accepted to its view and sends its record
 * to the lead. */
void agent_hint_send(struct agent *agent, const char *id, uint64_t revision,
    const struct buffer *record);

/* Answers and frees a peer's hint. Returns false, with the request untouched,
 * when it is something else. */
bool agent_hint_request(struct agent *agent, struct gateway_request *request);

/*
 * Status group.
 */

/* Answers and frees an operator's query. Returns false, with the request
 * untouched, when it is something else. */
bool agent_status_request(struct agent *agent, struct gateway_request *request);

/*
 * Peers group.
 */

/* Sends a POST with a message, which is copied, to a peer's internal address.
 * done is called once, as for http_pool_call. */
void agent_peers_call(struct agent *agent, const char *address,
    const char *path, const ProtobufCMessage *message, int32_t timeout_ms,
    http_callback *done, void *context);

/* Updates the known peers from a new, changed or deleted entry in the store. */
void agent_peers_apply_item(struct agent *agent, const char *name,
    const struct platform_store_item *item);

/* Answers and frees a peer's hello. Returns false, with the request untouched,
 * when it is something else. */
bool agent_peers_request(struct agent *agent, struct gateway_request *request);

/* Registers this instance in the store and renews its entry. */
void agent_peers_step(struct agent *agent, int64_t now_ms);
void agent_peers_free(struct agent *agent);

/* Updates the lead capacity of a peer from its entry in the store. */
void agent_peers_apply_capacity(struct agent *agent, const char *name,
    const struct platform_store_item *item);

/*
 * Fitness group: which instance is fit to lead. A lead's work grows with the
 * workers and jobs, and instances differ in what they can bear.
 */

/* Returns the lead capacity of this instance: the processor time, in
 * thousandths of a core, that it can spend as a lead before any of its
 * resources is used up. 0: unknown. */
int64_t agent_fitness_capacity(const struct agent *agent);

/* Returns a peer's lead capacity as it has registered it; 0: unknown. */
int64_t agent_fitness_of_peer(const struct agent *agent, const char *name);

/* Returns the highest lead capacity of the peers; 0: none is known. */
int64_t agent_fitness_best_peer(const struct agent *agent);

/* Returns how long this instance leaves an absent lead key to fitter peers. */
int64_t agent_fitness_yield_ms(const struct agent *agent);

/* Updates the load at the end of a turn of the control thread. waited_us is how
 * long it has waited for events in all. */
void agent_load_update(
    struct agent_load *load, int64_t now_us, int64_t waited_us);

/* Returns whether the control thread is so busy that it falls behind. */
bool agent_load_is_high(const struct agent_load *load);

/*
 * Relay group: store calls, relayed through a peer while this instance can't
 * reach the store.
 */

/* Makes a store call. This is a platform_store_send whose context is the
 * agent. */
void agent_relay_call(void *context, const struct http_call *call,
    http_callback *done, void *done_context);

/* Probes the store while calls to it fail or are relayed. */
void agent_relay_step(struct agent *agent, int64_t now_ms);

/* Answers and frees a peer's relay request; answers 404 to any other. */
void agent_relay_request(struct agent *agent, struct gateway_request *request);

enum store_health {
	STORE_HEALTHY,
	STORE_SUSPECT,	  /* an answer is overdue, or the last call failed */
	STORE_UNREACHABLE /* calls have failed for some time */
};

/* Returns the store's health as seen by direct and relayed calls. */
enum store_health agent_relay_health(const struct agent *agent, int64_t now_ms);

/* Tells every peer whose store call is in flight that its outcome is unknown.
 */
void agent_relay_end(struct agent *agent);

/*
 * Lead group.
 */

/* Follows the lead key: tries to take it while it is absent, and renews its
 * lease while leading. */
void agent_lead_step(struct agent *agent, int64_t now_ms);

/* Stops leading and frees the fleet. Does nothing unless leading. */
void agent_lead_step_down(struct agent *agent, const char *reason);

/* Stops leading because a record was missed, and reads all records again before
 * this instance may lead. */
void agent_lead_reload(struct agent *agent, const char *reason);

/* Steps down, if leading, and ends the lead lease in the store, so that a peer
 * can take over at once. */
void agent_lead_release(struct agent *agent);

/* Requests a lease and then the lead key, which must be absent when
 * replaced_revision is 0, or else still have that revision. */
void agent_lead_request(struct agent *agent, uint64_t replaced_revision);

/* Returns the time from which leases of runs are granted: now, or earlier when
 * it has not been confirmed for a while that this instance leads. */
int64_t agent_lead_grant_start_ms(const struct agent *agent, int64_t now_ms);

/* Adds a job to the fleet, or cancels it there, after its records have
 * changed. Does nothing unless leading. */
void agent_lead_update_job(
    struct agent *agent, struct view_job *job, int64_t now_ms);

/*
 * Handover group.
 */

/* Offers the lead to the peers before a planned stop. Releases it when there
 * is none, or when none has taken it in time. */
void agent_handover_start(struct agent *agent, int64_t now_ms);

/* Offers the lead to a peer that is fitter to lead or, if this instance falls
 * behind or the store turns it away, to one that is about as fit. Goes on
 * leading until a peer has taken it. */
void agent_handover_step(struct agent *agent, int64_t now_ms);

/* Answers and frees a peer's offer. Returns false, with the request untouched,
 * when it is something else. */
bool agent_handover_request(
    struct agent *agent, struct gateway_request *request);

/*
 * Records group: the lead's writes to the store.
 */

/* Writes changed progress and removes expired jobs. Does nothing unless
 * leading. */
void agent_records_step(struct agent *agent, int64_t now_ms);

/* Returns how many tasks of a job may be open at once, so that the record of
 * its progress fits one value of the store. */
uint32_t agent_max_tasks(const struct agent *agent);

/* Drops the batches that are being written. */
void agent_records_drop(struct agent *agent);

/*
 * Workers group: the lead's calls to workers.
 */

/* Starts and stops watching the list of workers, when a lead takes over and
 * steps down. */
void agent_workers_start(struct agent *agent);
void agent_workers_stop(struct agent *agent);

/* Sends the polls that are due. */
void agent_workers_step(struct agent *agent, int64_t now_ms);

/* Places tasks when a decision is due and sends the start and stop orders. */
void agent_workers_decide(struct agent *agent, int64_t now_ms);

/*
 * Fleet log group.
 */

/* Logs and counts the fleet's events since the last call. */
void agent_fleet_log(struct agent *agent);

/*
 * Callers group.
 */

/* Answers and frees a caller's request, now or when the store has answered. */
void agent_callers_request(
    struct agent *agent, struct gateway_request *request, int64_t now_ms);

/* Logs the answer to a caller, with the versions and ages that decided it. */
void agent_log_answer(const struct agent *agent, enum log_level level,
    const char *event, const char *id, const char *outcome,
    int64_t received_ms);

/*
 * Pending requests group: callers' requests that wait for the store. Each is
 * answered and freed once the store has answered, or shortly before the
 * caller's deadline.
 */

/* Stores a job, unless there is one with this id. */
void agent_pending_submit(struct agent *agent, struct gateway_request *request,
    const char *id, const Ibis__StepJob *job, int64_t now_ms);

/* Reads a job's record. */
void agent_pending_read(
    struct agent *agent, struct gateway_request *request, const char *id);

/* Cancels a job, whether or not it has a record. known: it has. Without one, a
 * record that is written later is rejected by the store. */
void agent_pending_cancel(struct agent *agent, struct gateway_request *request,
    const char *id, bool known);

/* Retries store calls and answers requests whose time is up. */
void agent_pending_step(struct agent *agent, int64_t now_ms);

/* Answers all pending requests with 504: their outcome is unknown. */
void agent_pending_end(struct agent *agent);

#endif
