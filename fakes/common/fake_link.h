/*
 * A network link of limited bandwidth, shared by the replies that are sent over
 * it.
 */
#ifndef IBIS_FAKE_LINK_H
#define IBIS_FAKE_LINK_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

struct fake_link {
	pthread_mutex_t lock;
	int64_t bytes_per_s; /* 0: unlimited */
	int64_t free_us;     /* monotonic time at which the link is idle */
};

/* Initialises an unlimited link; release it with fake_link_destroy. */
void fake_link_init(struct fake_link *link);
void fake_link_destroy(struct fake_link *link);

/* Sets the bandwidth; 0: unlimited. */
void fake_link_set_rate(struct fake_link *link, int64_t bytes_per_s);

/* Waits as long as the link needs to carry a number of bytes after those that
 * it carries already. */
void fake_link_carry(struct fake_link *link, size_t bytes);

#endif
