/*
 * The control thread's state and the parts that share it. One thread owns all
 * of this; traffic threads reach it through the event queue only. Each
 * control_*.c is one concern of the same thread.
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

/* When to come back after a refusal because of the store. */
#define STORE_RETRY_AFTER_MS 2000

/* Whose a store call is. */
enum store_owner {
	OWNER_LEAD,
	OWNER_SEGMENT,
	OWNER_RECOVERY,
	OWNER_ANSWER_PUT,
	OWNER_ANSWER_GET,
	OWNER_ANSWER_DROP,
	OWNER_DOCUMENT,
	OWNER_LIST
};

/* A request of a caller here that the lead serves. */
struct forward {
	struct cds_list_head node;
	uint64_t call;
	struct caller_request *caller;
	char peer[JOB_NAME_BYTES]; /* sent to; empty: waits to be sent */
	bool sent_once;		   /* some lead may have carried it out */
	bool uncertain;		   /* a send's effect is not known */
	int64_t received_ms;
	int64_t retry_ms;
	int64_t give_up_ms;
};

struct control {
	const struct ibis_settings *settings;
	struct event_queue *events;
	struct store_client *store;
	struct worker_client *worker_client;
	struct peer_links *links;
	struct caller_server *callers;
	uint64_t incarnation;
	uint64_t random_state;
	atomic_bool stop_requested;

	/* This instance. */
	Ibis__InstanceState state;
	int64_t leaving_since_ms;
	bool handed_over;
	bool settling; /* a leaving lead changes no records any more */
	int64_t next_heartbeat_ms;
	int64_t next_list_ms;
	int64_t listed_ms; /* when the list was last read; 0: never */
	bool listing;

	/* The store. */
	bool store_down;
	int64_t store_ok_ms;
	int64_t store_failed_ms;

	/* Other instances. */
	struct membership *members;
	struct slo_burn *burn;
	struct cds_list_head forwards;
	uint64_t next_call;

	/* The document. */
	struct document_part *documents; /* private to control_document.c */
	const struct document *document; /* NULL before the first */

	/* The pool, while this instance leads or recovers. */
	struct lead_lease lease;
	struct segment *segments;
	uint32_t segments_count;
	uint32_t reign; /* tells results of an earlier lead's calls */
	uint32_t segments_to_read;
	struct job_map *jobs;
	struct cds_list_head waiters;
	struct cds_list_head active; /* jobs that have a gang */
	struct scheduler *scheduler;
	struct worker_table workers;
	struct freshness freshness;
	bool decide_due;
	uint32_t sweep_segment;
	int64_t next_sweep_ms;
	int64_t next_round_ms;
	int64_t now_ms; /* of the event being handled */
};

/* control.c */
struct control *control_new(const struct ibis_settings *settings,
    struct event_queue *events, uint64_t incarnation);
void control_free(struct control *control);
void *control_run(void *argument);
uint32_t control_random(struct control *control, uint32_t bound);

/* Tells whether this instance leads and has finished its recovery. */
bool control_leading(const struct control *control);

/* Tells whether it leads and takes new work. */
bool control_taking(const struct control *control);

/* control_reply.c */
void control_reply(struct control *control, const struct origin *origin,
    const Ibis__Reply *reply);
/* not_run says that the request surely had no effect; retry_after_ms 0: none */
void control_refuse(struct control *control, const struct origin *origin,
    enum ibis_code code, const char *step, const char *message, bool not_run,
    int64_t retry_after_ms);
void control_reply_json(
    struct control *control, const struct origin *origin, const char *json);
void control_reply_job(struct control *control, const struct origin *origin,
    const struct job *job, bool with_answer);

/* control_requests.c: requests of callers here, and those forwarded by peers */
void control_caller_request(
    struct control *control, struct caller_request *caller);
void control_forwarded_request(struct control *control, const char *peer,
    const Ibis__ForwardRequest *forward);
void control_forward_reply(
    struct control *control, const char *peer, const Ibis__ForwardReply *reply);
void control_forward_peer_down(struct control *control, const char *peer);
void control_forward_tick(struct control *control);
bool control_forwards_open(struct control *control);

/* control_metrics.c: metrics and the report on service-level burn */
void control_metrics_request(struct control *control,
    const struct origin *origin, const Ibis__Request *request);
void control_metrics_store_call(const struct store_result *result);
void control_metrics_worker_call(const struct worker_result *result);
void control_metrics_refused(enum ibis_code code);
void control_metrics_job_ended(struct control *control, const struct job *job);

/* control_jobs.c: a job from its submission to its end */
void control_job_request(struct control *control, const struct origin *origin,
    const Ibis__Request *request);
void control_job_step(
    struct control *control, const struct segment_entry *entry);
void control_job_end(struct control *control, struct job *job,
    Ibis__JobState state, const char *reason);
void control_job_remove(struct control *control, struct job *job);
void control_job_note(struct control *control, struct job *job);
void control_job_store_down(struct control *control);
void control_job_sweep(struct control *control);
void control_scheduler_job(const struct control *control, const struct job *job,
    struct scheduler_job *out);

/* control_waiters.c: callers and peers who wait for a job */
void control_waiter_add(struct control *control, struct job *job,
    const struct origin *origin, const Ibis__Request *request);
/* Answers those who wait for the job's acceptance only, or everybody. */
void control_waiters_answer(
    struct control *control, struct job *job, bool everybody);
void control_waiters_refuse(struct control *control, struct job *job,
    enum ibis_code code, const char *message, bool not_run);
void control_waiters_tick(struct control *control);
/* Forgets everybody: whoever forwarded asks the next lead. */
void control_waiters_drop(struct control *control);

/* control_answers.c: answers on their way into the store and out of it */
void control_answer_finish(struct control *control, struct job *job);
void control_answer_load(struct control *control, struct job *job);
void control_answer_drop(struct control *control, const struct job *job);
void control_answer_sweep(struct control *control, struct job *job);
void control_answer_store_result(
    struct control *control, struct store_result *result);

/* control_workers.c: reports of the workers and their silence */
void control_worker_result(
    struct control *control, struct worker_result *result);
void control_workers_tick(struct control *control);
void control_workers_flush(struct control *control);

/* control_gangs.c: attempts on the workers */
struct gang_sink control_gang_sink(struct control *control);
void control_decide(struct control *control);
void control_gang_progress(struct control *control, struct job *job);
void control_gang_adopt(struct control *control, struct job *job);
void control_gang_cancel(struct control *control, struct job *job);
/* Tells whether a gang is between its first reservation and running. */
bool control_gangs_starting(const struct control *control);
void control_gangs_tick(struct control *control);

/* control_pool.c: the lead's lease, recovery and group commit */
void control_pool_tick(struct control *control);
void control_pool_store_result(
    struct control *control, struct store_result *result);
void control_pool_release(struct control *control);
void control_pool_lost(struct control *control, const char *why);

/* control_document.c */
void control_document_start(struct control *control);
void control_document_free(struct control *control);
void control_document_tick(struct control *control);
void control_document_store_result(
    struct control *control, struct store_result *result);
void control_document_request(struct control *control,
    const struct origin *origin, const Ibis__Request *request);
void control_document_frame(
    struct control *control, const char *peer, const Ibis__Frame *frame);
void control_document_fill_heartbeat(
    struct control *control, Ibis__Heartbeat *heartbeat);
void control_document_clear_heartbeat(Ibis__Heartbeat *heartbeat);
bool control_zone_open(const struct control *control, const char *zone);
/* Tells whether some operator still waits for an answer. */
bool control_documents_open(const struct control *control);
uint64_t control_document_version(const struct control *control);

/* control_peers.c: the platform's list, heartbeats, confirmations */
void control_peers_tick(struct control *control);
void control_peers_list(struct control *control, struct store_result *result);
void control_peers_frame(
    struct control *control, const char *peer, Ibis__Frame *frame);
void control_peers_link(struct control *control, const char *name, bool up);
/* Name of the instance that leads, as far as known; NULL when unknown. */
const char *control_lead_name(const struct control *control);
void control_peers_broadcast(struct control *control, const Ibis__Frame *frame);
void control_peers_json(const struct control *control, struct buffer *json);
void control_status_json(struct control *control, struct buffer *json);

#endif
