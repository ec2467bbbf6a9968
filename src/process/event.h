/*
 * Queue of typed events from I/O threads to the thread that handles them, such
 * as the control thread. Any thread may post; only one thread may take.
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
	EVENT_CALLER,		  /* a caller's or operator's request arrived */
	EVENT_PEER_FRAME,	  /* a frame arrived from a peer */
	EVENT_PEER_LINK_CHANGED,  /* the link to a peer went up or down */
	EVENT_PEER_LINK_ACCEPTED, /* a peer has connected, so that frames of its
				   * earlier connection may be lost; link.up is
				   * true */
	EVENT_STORE,		  /* a store call has ended */
	EVENT_WORKER,		  /* a worker call has ended */
	EVENT_GATEWAY,		  /* a request arrived at the gateway */
	EVENT_STOP		  /* a planned stop was requested */
};

/* The thread that takes an event owns what it points to. */
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

/* Returns NULL when the queue's eventfd can't be created. */
struct event_queue *event_queue_new(void);

/* Frees the queue, which must be empty; NULL is allowed. */
void event_queue_free(struct event_queue *queue);

/* Appends a copy of an event, from any thread, and wakes the receiver. */
void event_queue_post(struct event_queue *queue, const struct event *event);

/* Ends a wait in event_queue_take early; safe in a signal handler. */
void event_queue_wake(struct event_queue *queue);

/* Returns a file descriptor that polls as readable when there may be events,
 * for loops that also wait for other descriptors. The queue owns it. */
int event_queue_fd(const struct event_queue *queue);

/*
 * Removes the oldest event and stores it in *event, waiting up to timeout_ms
 * for one. Returns false when there was none or the wait ended early.
 */
bool event_queue_take(
    struct event_queue *queue, int32_t timeout_ms, struct event *event);

#endif
