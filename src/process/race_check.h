/*
 * Tells ThreadSanitizer of the hand-over through liburcu's wait-free queue,
 * whose barriers it does not see. Nothing in other builds.
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
