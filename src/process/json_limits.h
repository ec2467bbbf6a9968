/*
 * Bounds the JSON texts that callers send before they are parsed: parsed, a
 * short value takes a hundred times its length and an empty object more.
 */
#ifndef IBIS_JSON_LIMITS_H
#define IBIS_JSON_LIMITS_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

enum {
	/* Enough for a job with the most steps, each of which waits for all
	 * before it. */
	JSON_MAX_CONTAINERS = 1024, /* objects and lists */
	JSON_MAX_VALUES = 65536
};

/* Returns whether a request's text is within the limits. False for comments and
 * single quotes too, which JSON does not have and the parser accepts: they
 * would mislead the count. */
bool json_limits_allow(const char *text, size_t length);

#ifdef __cplusplus
}
#endif

#endif
