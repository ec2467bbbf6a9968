/*
 * Annotations for ThreadSanitizer, which does not recognise the memory barriers
 * of liburcu's wait-free queue. The thread that enqueues a node marks it with
 * TSAN_RELEASE before, and the thread that dequeues it with TSAN_ACQUIRE
 * after. They have no effect in other builds.
 */
#ifndef IBIS_RACE_CHECK_H
#define IBIS_RACE_CHECK_H

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>

#define TSAN_RELEASE(pointer) __tsan_release(pointer)
#define TSAN_ACQUIRE(pointer) __tsan_acquire(pointer)
#else
#define TSAN_RELEASE(pointer) ((void)(pointer))
#define TSAN_ACQUIRE(pointer) ((void)(pointer))
#endif

#endif
