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
	IBIS_INVALID,	  /* invalid input; the message names the item */
	IBIS_CONFLICT,	  /* another client changed the item first */
	IBIS_NOT_FOUND,	  /* no such job, section, zone or key */
	IBIS_LIMIT,	  /* a limit was reached; retry later */
	IBIS_UNAVAILABLE, /* the peer is unreachable; nothing was done */
	IBIS_UNKNOWN,	  /* no answer; the call may have taken effect */
	IBIS_NO_MEMORY,	  /* an allocation failed */
	IBIS_INTERNAL	  /* an internal error or an unexpected answer */
};

enum {
	IBIS_STEP_BYTES = 32,
	IBIS_PEER_BYTES = 64,
	IBIS_MESSAGE_BYTES = 256
};

/* The outcome of a call. Owned by the caller; holds no allocation. */
struct ibis_status {
	enum ibis_code code;
	char step[IBIS_STEP_BYTES];	  /* operation that failed */
	char peer[IBIS_PEER_BYTES];	  /* address or name; empty if none */
	char message[IBIS_MESSAGE_BYTES]; /* fault, item, expected value */
};

/* Returns the lower-case name of a code, as used in logs and JSON. The string
 * is static. */
const char *ibis_code_name(enum ibis_code code);

/*
 * Fills a status and returns code. status and peer may be NULL. The message is
 * formatted as by printf and truncated to IBIS_MESSAGE_BYTES.
 */
enum ibis_code ibis_status_set(struct ibis_status *status, enum ibis_code code,
    const char *step, const char *peer, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/*
 * Memory group.
 */

/*
 * The functions used for every allocation. They behave like the C library
 * functions of the same names, but never return NULL: the default ones end
 * the process when memory runs out.
 */
struct ibis_allocator {
	void *(*calloc)(size_t count, size_t bytes);
	void *(*realloc)(void *memory, size_t bytes);
	void (*free)(void *memory);
};

/* Replaces the allocator. Must be called before any other function of the
 * library, while the process has one thread. */
void ibis_set_allocator(const struct ibis_allocator *allocator);

/* Returns the allocator in use; owned by the library. */
const struct ibis_allocator *ibis_allocator(void);

/*
 * Settings group: one instance's settings, in JSON with comments.
 */

struct ibis_settings;

/*
 * Reads settings from a file. overrides holds count strings KEY=VALUE that take
 * precedence over the file. Returns NULL and fills status when the file can't
 * be read, or a key is unknown, has the wrong type or is out of range. Free the
 * result with ibis_settings_free.
 */
struct ibis_settings *ibis_settings_read(const char *path,
    const char *const *overrides, size_t count, struct ibis_status *status);

/* Frees settings returned by ibis_settings_read. */
void ibis_settings_free(struct ibis_settings *settings);

/* Prints a JSON settings file to standard output, with a comment on each key's
 * meaning and range and its default as the value. */
void ibis_settings_print_defaults(void);

/*
 * Daemon group: one entry instance.
 */

struct ibis_daemon;

/*
 * Starts an instance: opens its ports and starts its threads. The caller owns
 * the settings, which must outlive the daemon. Returns NULL and fills
 * status on failure.
 */
struct ibis_daemon *ibis_daemon_start(
    const struct ibis_settings *settings, struct ibis_status *status);

/* Return the addresses listened on, as IP:PORT with the ports actually bound;
 * owned by the daemon. */
const char *ibis_daemon_caller_address(const struct ibis_daemon *daemon);
const char *ibis_daemon_peer_address(const struct ibis_daemon *daemon);

/* Requests a planned stop and returns at once. Async-signal-safe. */
void ibis_daemon_stop(struct ibis_daemon *daemon);

/* Blocks until the planned stop is complete, then frees the daemon. */
void ibis_daemon_join(struct ibis_daemon *daemon);

#ifdef __cplusplus
}
#endif

#endif
