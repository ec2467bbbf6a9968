/*
 * ibistrestle: a scheduler for multi-accelerator jobs under workspace
 * guarantees. This is the one public header, documented group by group.
 *
 * Conventions. Durations are in milliseconds and end in _ms. Strings are
 * NUL-terminated UTF-8. A function that can fail returns an enum ibis_code
 * and fills the struct ibis_status it was given; the status tells the step
 * that failed and the peer it failed with.
 */
#ifndef IBISTRESTLE_H
#define IBISTRESTLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Status group.
 */

enum ibis_code {
	IBIS_OK,
	IBIS_INVALID,	  /* the input is wrong; the message says where */
	IBIS_CONFLICT,	  /* somebody else changed it first */
	IBIS_NOT_FOUND,	  /* no such job, section, zone or key */
	IBIS_LIMIT,	  /* a limit was reached; ask again later */
	IBIS_UNAVAILABLE, /* the peer can't be reached; nothing was done */
	IBIS_UNKNOWN,	  /* no answer; it may or may not have been done */
	IBIS_NO_MEMORY,
	IBIS_INTERNAL
};

enum {
	IBIS_STEP_BYTES = 32,
	IBIS_PEER_BYTES = 64,
	IBIS_MESSAGE_BYTES = 256
};

/* The outcome of a call. Owned by the caller; holds no allocation. */
struct ibis_status {
	enum ibis_code code;
	char step[IBIS_STEP_BYTES];	  /* what was being done */
	char peer[IBIS_PEER_BYTES];	  /* with whom; empty if nobody */
	char message[IBIS_MESSAGE_BYTES]; /* what, where, expected */
};

/* Returns the lower-case name of a code, as used in logs and JSON. */
const char *ibis_code_name(enum ibis_code code);

/*
 * Fills a status and returns its code. status may be NULL. peer may be NULL.
 */
enum ibis_code ibis_status_set(struct ibis_status *status, enum ibis_code code,
    const char *step, const char *peer, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/*
 * Memory group.
 */

/*
 * The functions all allocation goes through. They behave as their namesakes
 * of the C library, but never return NULL: the default ones end the process
 * when memory runs out.
 */
struct ibis_allocator {
	void *(*calloc)(size_t count, size_t bytes);
	void *(*realloc)(void *memory, size_t bytes);
	void (*free)(void *memory);
};

/* Replaces the allocator. Call it before anything else, from one thread. */
void ibis_set_allocator(const struct ibis_allocator *allocator);

/* Returns the allocator in use. */
const struct ibis_allocator *ibis_allocator(void);

/*
 * Settings group: one instance's settings, in JSON with comments.
 */

struct ibis_settings;

/*
 * Reads settings from a file. overrides holds count strings KEY=VALUE that go
 * before the file. Returns NULL and fills status when a key is unknown, has
 * the wrong type or is out of range. The caller frees the result.
 */
struct ibis_settings *ibis_settings_read(const char *path,
    const char *const *overrides, size_t count, struct ibis_status *status);

void ibis_settings_free(struct ibis_settings *settings);

/* Writes every key with its default, range and meaning, as a JSON file with
 * comments, to standard output. */
void ibis_settings_print_defaults(void);

/*
 * Daemon group: one entry instance.
 */

struct ibis_daemon;

/*
 * Starts an instance: opens its ports and starts its threads. The settings
 * stay the caller's and must outlive the daemon. Returns NULL and fills
 * status on failure.
 */
struct ibis_daemon *ibis_daemon_start(
    const struct ibis_settings *settings, struct ibis_status *status);

/* The addresses listened on, IP:PORT with the real ports; owned by the
 * daemon. */
const char *ibis_daemon_caller_address(const struct ibis_daemon *daemon);
const char *ibis_daemon_peer_address(const struct ibis_daemon *daemon);

/* Asks for a planned stop. Safe in a signal handler. */
void ibis_daemon_stop(struct ibis_daemon *daemon);

/* Waits for a planned stop to finish, then frees the daemon. */
void ibis_daemon_join(struct ibis_daemon *daemon);

#ifdef __cplusplus
}
#endif

#endif
