/*
 * Limits what the callers of an HTTP server may hold at once: connections, and
 * bytes of request bodies. Decides only: it does no I/O, and the time is passed
 * in. Used by the thread of one server.
 *
 * Load: crowds of callers that stop just short of the end of their requests, or
 * send and read slowly, and keep their connections open. The connections that
 * have made no progress for the longest are closed, so that a caller who goes
 * on is served. Bodies over the budget are refused; a part of the budget is
 * kept for short ones.
 */
#ifndef IBIS_INTAKE_H
#define IBIS_INTAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <urcu/list.h>

#ifdef __cplusplus
extern "C" {
#endif

struct intake_limits {
	uint32_t max_connections;
	size_t max_bytes;     /* of all bodies together */
	size_t short_bytes;   /* a body up to this long may use the reserve */
	size_t reserve_bytes; /* of max_bytes, for short bodies only */
	/* A connection without progress for this long gives way to bodies that
	 * the budget has no room for; */
	int64_t stalled_ms;
	int64_t idle_ms; /* and for this long, to a new connection */
};

/* A connection. Its members are the intake's. */
struct intake_connection {
	struct cds_list_head by_progress; /* longest without progress first */
	size_t bytes;			  /* of its request's body */
	int64_t progress_ms;
	bool busy;    /* its request is being served: it isn't closed */
	bool closing; /* it was chosen to be closed */
	void *owner;  /* for the user of the module */
};

struct intake {
	struct intake_limits limits;
	struct cds_list_head by_progress;
	uint32_t connections; /* that aren't closing */
	size_t bytes;
};

void intake_init(struct intake *intake, const struct intake_limits *limits);

/* A connection has been accepted; it is not copied. */
void intake_open(struct intake *intake, struct intake_connection *connection,
    void *owner, int64_t now_ms);

/* The connection is gone. */
void intake_close(struct intake *intake, struct intake_connection *connection);

/* The connection has made progress: a request has begun, or an answer has been
 * sent whole. */
void intake_progress(struct intake *intake,
    struct intake_connection *connection, int64_t now_ms);

/* Takes some more bytes of a request's body. Returns false, and takes none,
 * when the budget has no room for them. */
bool intake_take(struct intake *intake, struct intake_connection *connection,
    size_t bytes, int64_t now_ms);

/* The request's body has been freed. */
void intake_release(
    struct intake *intake, struct intake_connection *connection);

/* The request is being served, or its answer is ready to be sent. */
void intake_set_busy(struct intake *intake,
    struct intake_connection *connection, bool busy, int64_t now_ms);

/* Returns the next connection to close as there are too many, or NULL: then all
 * but the newest are busy or have just made progress. */
struct intake_connection *intake_over_limit(struct intake *intake,
    const struct intake_connection *newest, int64_t now_ms);

/* Returns the next connection to close for some more bytes that the budget has
 * no room for: one that holds bytes and has stalled, or, for a short body, any
 * that holds bytes. NULL: none. The caller frees its body and releases it. */
struct intake_connection *intake_next_stalled(struct intake *intake,
    const struct intake_connection *waiting, size_t bytes, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
