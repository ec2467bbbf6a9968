/*
 * Threads that carry out blocking calls. A thread is started when a call
 * waits and none is idle, up to a limit. Stopping waits only briefly: a call
 * still blocked keeps its thread, whose result is dropped.
 */
#ifndef IBIS_CALL_POOL_H
#define IBIS_CALL_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/event.h"

struct call_pool;

/*
 * Carries out one call, or, if cancelled, ends it without sending. Takes the
 * call over. Sets *event to what is posted. Returns false to post nothing.
 */
typedef bool call_pool_run(void *call, bool cancelled, struct event *event);

/* Frees a result that came after the stop. */
typedef void call_pool_drop(struct event *event);

struct call_pool_config {
	uint32_t max_threads;
	struct event_queue *events;
	call_pool_run *run;
	call_pool_drop *drop;
};

struct call_pool *call_pool_new(const struct call_pool_config *config);

/* Queues a call, from any thread. */
void call_pool_add(struct call_pool *pool, void *call);

/* Cancels what is queued and frees the pool once its threads have ended; the
 * event queue is not used afterwards. */
void call_pool_stop(struct call_pool *pool);

#endif
