/*
 * Limits of JSON texts that callers send, checked before they are parsed.
 * Parsed, a short value takes a hundred times its length and an empty object
 * more than that.
 */
#ifndef IBIS_JSON_LIMITS_H
#define IBIS_JSON_LIMITS_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

struct json_limits {
	size_t max_containers; /* objects and arrays */
	size_t max_values;
};

/* Returns whether a text is within the limits. False for comments and single
 * quotes too, which JSON does not have and the parser accepts: they would
 * mislead the count. */
bool json_limits_allow(
    const struct json_limits *limits, const char *text, size_t length);

#ifdef __cplusplus
}
#endif

#endif
