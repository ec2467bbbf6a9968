#include <pthread.h>
#include <time.h>

#include "connection/call_pool.h"
#include "process/alloc.h"

#define STOP_TIMEOUT_MS 50
#define NS_PER_MS	1000000L
#define NS_PER_SECOND	1000000000L

struct queued_call {
	struct queued_call *next;
	void *call;
};

struct call_pool {
	struct call_pool_config config;
	pthread_mutex_t lock;
	pthread_cond_t queued; /* a call was queued, or the pool is stopping */
	pthread_cond_t ended;  /* a thread has ended */
	struct queued_call *first;
	struct queued_call **last;
	uint32_t queued_count; /* calls in the queue */
	uint32_t thread_count;
	uint32_t idle_count;
	bool stopping;
	bool abandoned; /* stopped; the last thread frees the pool */
};

struct call_pool *
call_pool_new(const struct call_pool_config *config)
{
	struct call_pool *pool = mem_calloc(1, sizeof(*pool));
	pthread_condattr_t attributes;

	pool->config = *config;
	pool->last = &pool->first;
	(void)pthread_mutex_init(&pool->lock, NULL);
	(void)pthread_condattr_init(&attributes);
	(void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	(void)pthread_cond_init(&pool->queued, NULL);
	(void)pthread_cond_init(&pool->ended, &attributes);
	(void)pthread_condattr_destroy(&attributes);
	return pool;
}

static void
free_pool(struct call_pool *pool)
{
	(void)pthread_cond_destroy(&pool->ended);
	(void)pthread_cond_destroy(&pool->queued);
	(void)pthread_mutex_destroy(&pool->lock);
	mem_free(pool);
}

/* Removes the first queued call. The lock is held. */
static void *
take_call(struct call_pool *pool)
{
	struct queued_call *taken = pool->first;
	void *call = taken->call;

	pool->first = taken->next;
	if (pool->first == NULL)
		pool->last = &pool->first;
	pool->queued_count--;
	mem_free(taken);
	return call;
}

/*
 * Posts or frees a result. The lock is held, so that no event is posted after
 * call_pool_stop.
 */
static void
post_or_free(struct call_pool *pool, struct event *event)
{
	if (pool->abandoned)
		pool->config.drop(event);
	else
		event_queue_post(pool->config.events, event);
}

/* Runs the first queued call; releases the held lock during the call. */
static void
run_next(struct call_pool *pool)
{
	void *call = take_call(pool);
	bool cancelled = pool->stopping;
	struct event event = {0};
	bool has_event;

	(void)pthread_mutex_unlock(&pool->lock);
	has_event = pool->config.run(call, cancelled, &event);
	(void)pthread_mutex_lock(&pool->lock);
	if (has_event)
		post_or_free(pool, &event);
}

static void *
S_run_thread(void *context)
{
	struct call_pool *pool = context;
	bool frees_pool;

	(void)pthread_mutex_lock(&pool->lock);
	for (;;) {
		while (pool->first == NULL && !pool->stopping) {
			pool->idle_count++;
			(void)pthread_cond_wait(&pool->queued, &pool->lock);
			pool->idle_count--;
		}
		if (pool->first == NULL)
			break;
		run_next(pool);
	}
	pool->thread_count--;
	frees_pool = pool->abandoned && pool->thread_count == 0;
	(void)pthread_cond_broadcast(&pool->ended);
	(void)pthread_mutex_unlock(&pool->lock);
	if (frees_pool)
		free_pool(pool);
	return NULL;
}

/*
 * Starts a thread. If that fails, the call stays queued until a running thread,
 * or one started for a later call, takes it. The lock is held.
 */
static void
start_thread(struct call_pool *pool)
{
	pthread_attr_t attributes;
	pthread_t thread;

	(void)pthread_attr_init(&attributes);
	(void)pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attributes, S_run_thread, pool) == 0)
		pool->thread_count++;
	(void)pthread_attr_destroy(&attributes);
}

void
call_pool_add(struct call_pool *pool, void *call)
{
	struct queued_call *added = mem_calloc(1, sizeof(*added));

	added->call = call;
	(void)pthread_mutex_lock(&pool->lock);
	*pool->last = added;
	pool->last = &added->next;
	pool->queued_count++;
	if (pool->queued_count > pool->idle_count &&
	    pool->thread_count < pool->config.max_threads)
		start_thread(pool);
	(void)pthread_cond_signal(&pool->queued);
	(void)pthread_mutex_unlock(&pool->lock);
}

/* Waits up to STOP_TIMEOUT_MS for all threads to end. The lock is held. */
static void
wait_for_threads(struct call_pool *pool)
{
	struct timespec deadline;

	(void)clock_gettime(CLOCK_MONOTONIC, &deadline);
	deadline.tv_nsec += STOP_TIMEOUT_MS * NS_PER_MS;
	deadline.tv_sec += deadline.tv_nsec / NS_PER_SECOND;
	deadline.tv_nsec %= NS_PER_SECOND;
	while (pool->thread_count > 0) {
		if (pthread_cond_timedwait(
			&pool->ended, &pool->lock, &deadline) != 0)
			return;
	}
}

/* Ends the calls that no thread has started. The lock is held. */
static void
cancel_queued(struct call_pool *pool)
{
	while (pool->first != NULL)
		run_next(pool);
}

void
call_pool_stop(struct call_pool *pool)
{
	bool no_threads;

	(void)pthread_mutex_lock(&pool->lock);
	pool->stopping = true;
	cancel_queued(pool);
	(void)pthread_cond_broadcast(&pool->queued);
	wait_for_threads(pool);
	pool->abandoned = true;
	no_threads = pool->thread_count == 0;
	(void)pthread_mutex_unlock(&pool->lock);
	if (no_threads)
		free_pool(pool);
}
