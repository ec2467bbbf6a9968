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
	size_t max_bytes; /* of all bodies together */
	/* A connection without progress for this long gives way to a new one.
	 */
	int64_t idle_ms;
};

/* Why a connection is closed. */
enum intake_reason {
	INTAKE_TOO_MANY, /* connections */
	INTAKE_STALLED	 /* its body holds room that another one needs */
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

/* Closes a connection that the intake has chosen, and frees its request's body,
 * if it has one. */
typedef void intake_closer(void *context, struct intake_connection *connection,
    enum intake_reason reason);

struct intake {
	struct intake_limits limits;
	intake_closer *closer;
	void *context;
	struct cds_list_head by_progress;
	uint32_t connections; /* that aren't closing */
	size_t bytes;
};

/* The limits are copied; the context is passed to the closer. */
void intake_init(struct intake *intake, const struct intake_limits *limits,
    intake_closer *closer, void *context);

/* A connection has been accepted; it is not copied. If there are too many,
 * others are closed, unless all are busy or have just made progress. */
void intake_open(struct intake *intake, struct intake_connection *connection,
    void *owner, int64_t now_ms);

/* The connection is gone. */
void intake_close(struct intake *intake, struct intake_connection *connection);

/* The connection has made progress: a request has begun, or an answer has been
 * sent whole. */
void intake_progress(struct intake *intake,
    struct intake_connection *connection, int64_t now_ms);

/*
 * Takes some more bytes of a request's body. Where the budget has no room for
 * them, closes connections that hold bytes and have stalled or, for a short
 * body, any that holds bytes. Returns false, and takes none, when that is not
 * enough.
 */
bool intake_take(struct intake *intake, struct intake_connection *connection,
    size_t bytes, int64_t now_ms);

/* The request's body has been freed. */
void intake_release(
    struct intake *intake, struct intake_connection *connection);

/* The request is being served, or its answer is ready to be sent. */
void intake_set_busy(struct intake *intake,
    struct intake_connection *connection, bool busy, int64_t now_ms);

/* Returns whether there are more connections than the limit. */
bool intake_is_over_limit(const struct intake *intake);

#ifdef __cplusplus
}
#endif

#endif
