/*
 * The steady clock, shared by all processes of one machine. It counts the time
 * in which the machine is suspended: what is known is older then, and leases
 * have run on.
 */
#ifndef IBIS_CLOCK_H
#define IBIS_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Returns milliseconds of the steady clock. */
int64_t clock_now_ms(void);

/* Returns microseconds of the steady clock. */
int64_t clock_now_us(void);

/* Returns milliseconds of the time of day, which may jump. */
int64_t clock_wall_ms(void);

#ifdef __cplusplus
}
#endif

#endif
