/*
 * A pool of threads that run blocking calls in the order they were queued. A
 * thread is started when calls outnumber idle threads, up to a limit.
 * Stopping waits only briefly: a thread that is still blocked in a call ends
 * later, and its result is freed.
 */
#ifndef IBIS_CALL_POOL_H
#define IBIS_CALL_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/event.h"

struct call_pool;

/*
 * Runs one call, or, if cancelled, ends it without sending anything. Takes
 * ownership of the call. Fills *event with its result; returns false if there
 * is no event to post.
 */
typedef bool call_pool_run(void *call, bool cancelled, struct event *event);

/* Frees the result of a call that ended after call_pool_stop returned. */
typedef void call_pool_drop(struct event *event);

struct call_pool_config {
	uint32_t max_threads;
	struct event_queue *events;
	call_pool_run *run;
	call_pool_drop *drop;
};

/* Copies the configuration. The event queue must outlive call_pool_stop. */
struct call_pool *call_pool_new(const struct call_pool_config *config);

/* Queues a call and takes ownership of it; may be called from any thread. */
void call_pool_add(struct call_pool *pool, void *call);

/*
 * Cancels the queued calls and waits briefly for the running ones. The pool is
 * freed once its last thread has ended. Nothing is posted to the event queue
 * after this returns.
 */
void call_pool_stop(struct call_pool *pool);

#endif
