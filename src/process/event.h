/*
 * What traffic threads tell the control thread: a wait-free queue of typed
 * events, drained by that one thread.
 */
#ifndef IBIS_EVENT_H
#define IBIS_EVENT_H

#include <stdbool.h>
#include <stdint.h>

#include <urcu/wfcqueue.h>

#include "ibistrestle.pb-c.h"
#include "request/job.h"

struct caller_request;
struct gateway_request;
struct store_result;
struct worker_result;

enum event_kind {
	EVENT_CALLER,	    /* a request of a caller or operator */
	EVENT_PEER_FRAME,   /* a frame of a peer */
	EVENT_PEER_STATE,   /* the link to a peer went up or down */
	EVENT_PEER_DIALLED, /* a peer has dialled: what it sent before may be
			     * lost; link.up is true */
	EVENT_STORE,	    /* a store call has ended */
	EVENT_WORKER,	    /* a worker call has ended */
	EVENT_GATEWAY,	    /* a request at the gateway */
	EVENT_STOP	    /* a planned stop was asked for */
};

/* The receiver owns what the event points at. */
struct event {
	struct cds_wfcq_node node;
	enum event_kind kind;
	union {
		struct caller_request *caller;
		struct gateway_request *gateway;
		struct {
			char peer[JOB_NAME_BYTES];
			Ibis__Frame *frame;
		} frame;
		struct {
			char peer[JOB_NAME_BYTES];
			uint64_t incarnation;
			bool up;
		} link;
		struct store_result *store;
		struct worker_result *worker;
	};
};

struct event_queue;

struct event_queue *event_queue_new(void);
void event_queue_free(struct event_queue *queue);

/* Posts a copy of an event from any thread and wakes the receiver. */
void event_queue_post(struct event_queue *queue, const struct event *event);

/* Wakes the receiver; safe in a signal handler. */
void event_queue_wake(struct event_queue *queue);

/* Can be read when there are events; for a loop that waits on more. */
int event_queue_fd(const struct event_queue *queue);

/*
 * Takes the next event, waiting up to timeout_ms for one. Returns false when
 * there was none.
 */
bool event_queue_take(
    struct event_queue *queue, int32_t timeout_ms, struct event *event);

#endif
