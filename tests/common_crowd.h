/*
 * A crowd of callers that keep to no rule, for tests of real processes. Each
 * member has one connection, which stays open until the crowd is closed. All
 * writes are bounded in number and size, and none waits for the server.
 */
#ifndef IBIS_COMMON_CROWD_H
#define IBIS_COMMON_CROWD_H

#include <stddef.h>
#include <stdint.h>

#include "common_process.h"

enum crowd_kind {
	CROWD_BODIES_WHOLE,  /* all but the last byte of a body, in one piece */
	CROWD_BODIES_PIECES, /* the same in small pieces, by turns */
	CROWD_BODIES_CHUNKED,  /* the same in chunks, without the last one */
	CROWD_BODIES_TOO_LONG, /* some MiB of a body that is far too long */
	CROWD_SHORT_FIELDS,    /* whole bodies of very many short fields */
	CROWD_SENT_AHEAD,      /* many requests, without reading the answers */
	CROWD_HALF_HEADERS,    /* half of a header, then nothing */
	CROWD_SLOW_READERS,    /* whole requests whose answers aren't read */
	CROWD_KINDS
};

struct crowd {
	int *connections; /* owned */
	size_t count;
};

/* Opens count connections to IP:PORT and sends what the kind says to a path of
 * host "h". Close it with crowd_close. */
void crowd_open(struct crowd *crowd, enum crowd_kind kind, size_t count,
    const char *address, const char *path);
void crowd_close(struct crowd *crowd);

/* What a process may have. */
struct crowd_limits {
	int32_t memory_mb; /* at its peak so far, resident */
	uint32_t descriptors;
};

/* Asserts that a process lives and is within the limits, by what the kernel
 * says of it. Prints what it has beside the kind and the path if it isn't. */
void crowd_expect_within(const struct process *process,
    const struct crowd_limits *limits, enum crowd_kind kind, const char *path);

#endif
