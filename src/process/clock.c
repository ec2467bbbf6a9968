#include <time.h>

#include "process/clock.h"

#define US_PER_SECOND 1000000
#define NS_PER_US     1000
#define US_PER_MS     1000
#define MS_PER_SECOND 1000
#define NS_PER_MS     1000000

int64_t
clock_now_us(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * US_PER_SECOND + now.tv_nsec / NS_PER_US;
}

int64_t
clock_now_ms(void)
{
	return clock_now_us() / US_PER_MS;
}

int64_t
clock_wall_ms(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * MS_PER_SECOND + now.tv_nsec / NS_PER_MS;
}
