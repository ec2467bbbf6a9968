/*
 * Clocks. The monotonic clock is CLOCK_BOOTTIME, which all processes of one
 * machine share. It includes the time in which the machine is suspended, since
 * information ages and leases expire during that time as well.
 */
#ifndef IBIS_CLOCK_H
#define IBIS_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Returns the monotonic clock in milliseconds. */
int64_t clock_now_ms(void);

/* Returns the monotonic clock in microseconds. */
int64_t clock_now_us(void);

/* Returns the milliseconds since 1970 by the system's wall clock, which may
 * jump forwards and backwards. */
int64_t clock_wall_ms(void);

#ifdef __cplusplus
}
#endif

#endif
