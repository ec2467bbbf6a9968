/*
 * Annotations for ThreadSanitizer, which does not recognise the memory barriers
 * of liburcu's wait-free queue. The thread that enqueues a node marks it with
 * RACE_HAND_OVER before, and the thread that dequeues it with RACE_TAKE_OVER
 * after. They have no effect in other builds.
 */
#ifndef IBIS_RACE_CHECK_H
#define IBIS_RACE_CHECK_H

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>

#define RACE_HAND_OVER(pointer) __tsan_release(pointer)
#define RACE_TAKE_OVER(pointer) __tsan_acquire(pointer)
#else
#define RACE_HAND_OVER(pointer) ((void)(pointer))
#define RACE_TAKE_OVER(pointer) ((void)(pointer))
#endif

#endif
