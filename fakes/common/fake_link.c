#include <poll.h>

#include "common/fake_link.h"
#include "process/clock.h"

#define US_PER_S  1000000
#define US_PER_MS 1000

void
fake_link_init(struct fake_link *link)
{
	*link = (struct fake_link){0};
	(void)pthread_mutex_init(&link->lock, NULL);
}

void
fake_link_destroy(struct fake_link *link)
{
	(void)pthread_mutex_destroy(&link->lock);
}

void
fake_link_set_rate(struct fake_link *link, int64_t bytes_per_s)
{
	(void)pthread_mutex_lock(&link->lock);
	link->bytes_per_s = bytes_per_s;
	(void)pthread_mutex_unlock(&link->lock);
}

void
fake_link_carry(struct fake_link *link, size_t bytes)
{
	int64_t now_us = clock_now_us();
	int64_t wait_us = 0;

	(void)pthread_mutex_lock(&link->lock);
	if (link->bytes_per_s > 0) {
		if (link->free_us < now_us)
			link->free_us = now_us;
		link->free_us += (int64_t)bytes * US_PER_S / link->bytes_per_s;
		wait_us = link->free_us - now_us;
	}
	(void)pthread_mutex_unlock(&link->lock);
	if (wait_us > 0)
		(void)poll(NULL, 0, (int)(wait_us / US_PER_MS));
}
