/*
 * State of the control thread and the interface between its modules. The
 * control thread alone reads and writes this state; I/O threads reach it only
 * through the event queue. Each control_*.c implements one concern of the
 * thread. All functions below must be called on the control thread, except
 * where the thread has not started or has ended (control_new, control_free,
 * control_refuse for the last requests).
 *
 * Times in fields that end in _ms are monotonic milliseconds unless their
 * comment says otherwise.
 */
#ifndef IBIS_CONTROL_H
#define IBIS_CONTROL_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include <urcu/list.h>

#include "connection/caller_http.h"
#include "connection/peer_link.h"
#include "connection/store_client.h"
#include "connection/worker_client.h"
#include "process/event.h"
#include "process/freshness.h"
#include "process/job_map.h"
#include "process/lead_lease.h"
#include "process/membership.h"
#include "process/scheduler.h"
#include "process/segment.h"
#include "process/settings.h"
#include "process/slo_burn.h"
#include "process/worker_table.h"
#include "version/document.h"
#include "version/head.h"
#include "version/holds.h"

/* Retry-After of replies that refuse a request because of the store. */
#define STORE_RETRY_AFTER_MS 2000

/* The module that handles the result of a store call. */
enum store_owner {
	OWNER_LEAD,	     /* reads, swaps and deletes of the lead lease */
	OWNER_SEGMENT,	     /* commits of job records */
	OWNER_RECOVERY,	     /* reads of job records by a new lead */
	OWNER_ANSWER_PUT,    /* a job's answer is being stored */
	OWNER_ANSWER_GET,    /* a job's answer is being read */
	OWNER_ANSWER_DELETE, /* an expired job's answer is being deleted */
	OWNER_DOCUMENT,	     /* the document, its sections and its head */
	OWNER_LIST	     /* the platform's list of instances and workers */
};

/* A request that a caller sent to this instance and that the lead serves. */
struct forward {
	struct cds_list_head node;
	uint64_t call; /* matches the reply; unique within this process */
	struct caller_request *caller;
	char peer[JOB_NAME_BYTES]; /* the lead it was sent to; empty: unsent */
	bool may_have_run;	   /* a lead may have executed the request */
	bool unknown_outcome;	   /* an earlier send may have taken effect */
	int64_t received_ms;
	int64_t next_send_ms; /* earliest time of the next send if unsent */
	int64_t deadline_ms;  /* the caller gets an error after this time */
};

struct control {
	const struct ibis_settings *settings; /* not owned */
	struct event_queue *events;	      /* not owned */
	struct store_client *store;
	struct worker_client *worker_client;
	struct peer_links *links;
	struct caller_server *callers;
	uint64_t incarnation;	    /* identifies this run of the process */
	uint64_t random_state;	    /* of control_random */
	atomic_bool stop_requested; /* set by any thread */

	/* This instance. */
	Ibis__InstanceState state;
	int64_t leaving_since_ms;
	bool hand_over_sent; /* peers know that the lead lease is released */
	bool records_frozen; /* a leaving lead changes no more job records */
	int64_t next_heartbeat_ms;
	int64_t next_list_ms;
	int64_t list_read_ms; /* last successful read of the list; 0: never */
	bool list_in_flight;

	/* Health of the store. */
	bool store_down;
	int64_t store_ok_ms;	 /* last call that succeeded */
	int64_t store_failed_ms; /* last call that failed */

	/* Other instances. */
	struct membership *members;
	struct slo_burn *burn;
	struct cds_list_head forwards; /* of struct forward */
	uint64_t next_call;

	/* The document. */
	struct document_state *document_state; /* of control_document.c */
	const struct document *document; /* version in force; NULL: none */

	/* The pool, while this instance leads or recovers. */
	struct lead_lease lease;
	struct segment *segments;
	uint32_t segments_count;
	uint32_t pool_generation;  /* part of each store call's token: results
				    * of an earlier generation are ignored */
	uint32_t segments_to_read; /* before recovery can finish */
	int64_t lead_ready_ms;	   /* end of the recovery */
	bool orphans_over;	   /* see control_orphans_over */
	struct job_map *jobs;
	struct cds_list_head waiters;	  /* of all jobs */
	struct cds_list_head active_jobs; /* jobs that have a gang */
	struct scheduler *scheduler;
	struct worker_table workers;
	struct freshness freshness;
	bool decide_due; /* run the scheduler after this round of events */
	uint32_t sweep_segment; /* swept last */
	int64_t next_sweep_ms;
	int64_t next_confirm_ms; /* next round of asking peers to confirm */
	int64_t now_ms;		 /* time of the event being handled */
};

/* ---- control.c: the thread's event loop -------------------------------- */

/*
 * Creates the state; the I/O clients stay NULL until the caller sets them.
 * settings and events must outlive it. Free the result with control_free.
 */
struct control *control_new(const struct ibis_settings *settings,
    struct event_queue *events, uint64_t incarnation);

/* Frees the state, but not settings, events or the I/O clients. Refuses the
 * requests that still wait for a job or a document. */
void control_free(struct control *control);

/* Thread function; argument is a struct control. Returns NULL once a requested
 * stop has completed. */
void *control_run(void *argument);

/* Returns a pseudo-random number from 0 to bound - 1; bound must not be 0. */
uint32_t control_random(struct control *control, uint32_t bound);

/* Tells whether this instance leads and has finished its recovery. */
bool control_leading(const struct control *control);

/* Tells whether this instance leads and is not leaving. */
bool control_accepts_work(const struct control *control);

/* ---- control_reply.c: replies to callers and peers --------------------- */

/*
 * Each of these sends one reply to the caller, or to the peer that forwarded
 * the request, and copies what it is given. A reply to a caller frees
 * origin->caller. A reply to a peer whose link is down is dropped; the peer
 * sends the request again.
 */
void control_reply(struct control *control, const struct origin *origin,
    const Ibis__Reply *reply);

/* Replies with an error. step names the failed step; not_run states that the
 * request certainly had no effect; retry_after_ms 0: no Retry-After. */
void control_refuse(struct control *control, const struct origin *origin,
    enum ibis_code code, const char *step, const char *message, bool not_run,
    int64_t retry_after_ms);

/* Replies with success and a JSON body. */
void control_reply_json(
    struct control *control, const struct origin *origin, const char *json);

/* Replies with the job's record, and its answer if that is in memory. */
void control_reply_job(struct control *control, const struct origin *origin,
    const struct job *job, bool with_answer);

/* ---- control_requests.c: requests of callers and peers ----------------- */

/* Serves a caller's request, here or through the lead. Every request gets
 * exactly one reply, which frees it. */
void control_handle_caller_request(
    struct control *control, struct caller_request *caller);

/* Serves a request that a peer forwarded; the message is not kept. */
void control_handle_forwarded_request(struct control *control, const char *peer,
    const Ibis__ForwardRequest *forward);

/* Passes the lead's reply on to the caller, or marks the request to be sent
 * again if the replier does not lead. Unexpected replies are ignored. */
void control_handle_forward_reply(
    struct control *control, const char *peer, const Ibis__ForwardReply *reply);

/* Marks requests sent to a peer to be sent again, as replies may be lost. */
void control_forward_handle_peer_down(
    struct control *control, const char *peer);

/* Sends requests that wait for a lead; fails those past their deadline. */
void control_forward_tick(struct control *control);

/* Tells whether a caller's request still waits for the lead's reply. */
bool control_has_open_forwards(struct control *control);

/* ---- control_metrics.c: metrics and the report on SLO burn rates ------- */

/* Replies with the metrics or, for REQUEST_SLO_BURN, with the report. */
void control_metrics_handle_request(struct control *control,
    const struct origin *origin, const Ibis__Request *request);

/* Count a call by its result code and record its duration in a histogram, but
 * not that of a watch, which is long by design. */
void control_metrics_record_store_call(const struct store_result *result);
void control_metrics_record_worker_call(const struct worker_result *result);

/* Counts a submission refused with code. */
void control_metrics_record_refusal(enum ibis_code code);

/* Counts a job's outcome and compares its completion time with the objective
 * of its request class. */
void control_metrics_record_job_end(
    struct control *control, const struct job *job);

/* ---- control_jobs.c: a job from its submission to its end -------------- */

/* Serves a request about jobs; only on the lead. */
void control_job_handle_request(struct control *control,
    const struct origin *origin, const Ibis__Request *request);

/* Continues a job after the change in entry has reached the store. */
void control_job_handle_stored(
    struct control *control, const struct segment_entry *entry);

/* Ends a job in a final state and records it. reason is copied. */
void control_job_end(struct control *control, struct job *job,
    Ibis__JobState state, const char *reason);

/* Removes a job from the scheduler and from memory, and frees it. */
void control_job_remove(struct control *control, struct job *job);

/* Schedules the job's record to be stored; nothing waits for it. */
void control_job_record_change(struct control *control, struct job *job);

/* Replies to callers whose job changes can't be stored now, and withdraws the
 * submissions that were never sent to the store. */
void control_job_handle_store_down(struct control *control);

/* Retries answers and removes expired jobs, one segment per call. */
void control_job_sweep(struct control *control);

/* Fills out from the job's record; all values are copied. */
void control_fill_scheduler_job(const struct control *control,
    const struct job *job, struct scheduler_job *out);

/* ---- control_waiters.c: requests that wait for a job ------------------- */

/* Delays the reply to a request until the job is accepted or, if the request
 * has a wait time or asks for the answer, until the job ends or the wait time
 * is over. */
void control_waiter_add(struct control *control, struct job *job,
    const struct origin *origin, const Ibis__Request *request);

/* Replies to those who wait for the job's acceptance, or to all waiters. */
void control_waiters_reply(
    struct control *control, struct job *job, bool all_waiters);

/* Replies to all waiters of a job with an error. */
void control_waiters_refuse(struct control *control, struct job *job,
    enum ibis_code code, const char *message, bool not_run);

/* Replies with the job's present state to those whose wait time is over. */
void control_waiters_tick(struct control *control);

/* Refuses the waiters of all jobs because this instance no longer leads;
 * the instances that forwarded the requests send them to the next lead. */
void control_waiters_refuse_all(struct control *control);

/* ---- control_answers.c: storing and reading the answers of jobs -------- */

/* Collects the answer of a finished gang and stores it; the job ends once the
 * store has confirmed. Fails the job if the answer is too large. */
void control_answer_save(struct control *control, struct job *job);

/* Reads the answer from the store, then replies to the job's waiters. */
void control_answer_load(struct control *control, struct job *job);

/* Deletes an expired job's answer from the store. */
void control_answer_delete(struct control *control, const struct job *job);

/* Retries a failed put; frees an answer that has not been used recently. */
void control_answer_sweep(struct control *control, struct job *job);

/* Handles the result of an answer call. The caller frees the result. */
void control_answer_handle_store_result(
    struct control *control, struct store_result *result);

/* ---- control_workers.c: reports of workers and their time-outs --------- */

/* Handles the end of a worker call. The caller frees the result. */
void control_workers_handle_result(
    struct control *control, struct worker_result *result);

/* Updates the condition of workers that have stopped reporting. */
void control_workers_tick(struct control *control);

/* Sends the commands and polls that are due. */
void control_workers_send_due(struct control *control);

/*
 * Tells whether no run of an earlier lead that its records don't show can be
 * under way: every worker has reported since this instance leads and has none,
 * or all leases of that lead have expired.
 */
bool control_orphans_over(struct control *control);

/* ---- control_gangs.c: attempts to run jobs on workers ------------------ */

/* Returns a sink that queues gang commands in the workers' sessions. */
struct gang_sink control_gang_sink(struct control *control);

/* Runs the scheduler if it is due and carries out its actions. */
void control_decide(struct control *control);

/* Advances the job's attempt: permits its start, records that it runs, or
 * handles its end. Frees the gang at its end, and the job if withdrawn. */
void control_gang_advance(struct control *control, struct job *job);

/* Takes over the attempt of a recovered job that an earlier lead started. */
void control_gang_adopt(struct control *control, struct job *job);

/* Cancels the job: at once if it is queued, else by stopping its gang. */
void control_gang_cancel(struct control *control, struct job *job);

/* Tells whether some gang has not reached its running phase. */
bool control_has_starting_gangs(const struct control *control);

/* Handles time-outs and lease renewals of all gangs. */
void control_gangs_tick(struct control *control);

/* ---- control_pool.c: the lead lease, recovery and group commit --------- */

/* Makes the lease calls that are due, finishes a recovery, commits segments. */
void control_pool_tick(struct control *control);

/* Handles a lease, recovery or segment call. The caller frees the result. */
void control_pool_handle_store_result(
    struct control *control, struct store_result *result);

/* Before a planned stop: releases the lead lease once every change is stored.
 * Call it on each tick while the instance is leaving. */
void control_pool_release_lead(struct control *control);

/* Stops leading because another instance took over or a record is damaged.
 * Drops all pool state; reason goes to the log. */
void control_pool_step_down(struct control *control, const char *reason);

/* ---- control_document.c: the document and operators' requests ---------- */

/* Creates the document state; control_new calls it. */
void control_document_start(struct control *control);

/* Frees the document; refuses requests that are still pending. */
void control_document_free(struct control *control);

/* Advances reads, edits and zone orders; updates the set of peers. */
void control_document_tick(struct control *control);

/* Handles a document call. The caller frees the result. */
void control_document_handle_store_result(
    struct control *control, struct store_result *result);

/* Serves an operator's request; edits and zone orders are replied to later. */
void control_document_handle_request(struct control *control,
    const struct origin *origin, const Ibis__Request *request);

/* Handles the parts of a peer's frame that concern the document. */
void control_document_handle_frame(
    struct control *control, const char *peer, const Ibis__Frame *frame);

/* Sets the heartbeat's document version and zone holds; free the holds with
 * control_document_clear_heartbeat. */
void control_document_fill_heartbeat(
    struct control *control, Ibis__Heartbeat *heartbeat);
void control_document_clear_heartbeat(Ibis__Heartbeat *heartbeat);

/* Tells whether the document, its head and the zone holds all allow tasks to
 * start in a zone. */
bool control_zone_allows_starts(
    const struct control *control, const char *zone);

/* Tells whether an operator's request still waits for its reply. */
bool control_has_pending_document_requests(const struct control *control);

/* Version in force; 0 when there is none. */
uint64_t control_document_version(const struct control *control);

/* ---- control_peers.c: the platform's list, heartbeats, confirmations --- */

/* Reads the list, sends heartbeats and asks for confirmations when due. */
void control_peers_tick(struct control *control);

/* Handles the platform's list of instances and workers. The caller frees the
 * result. */
void control_peers_handle_list(
    struct control *control, struct store_result *result);

/* Handles a frame from a peer. The caller frees the frame. */
void control_peers_handle_frame(
    struct control *control, const char *peer, Ibis__Frame *frame);

/* Handles the change of a peer's link, up or down. */
void control_peers_handle_link(
    struct control *control, const char *name, bool up);

/* Name of the lead as far as this instance knows, NULL when unknown; valid
 * until the membership changes. */
const char *control_lead_name(const struct control *control);

/* Sends a frame to every linked peer; the frame stays the caller's. */
void control_peers_broadcast(struct control *control, const Ibis__Frame *frame);

/* Appends the body of GET /v1/instances. */
void control_write_instances_json(
    const struct control *control, struct buffer *json);

/* Appends the body of GET /v1/status. */
void control_write_status_json(struct control *control, struct buffer *json);

#endif
