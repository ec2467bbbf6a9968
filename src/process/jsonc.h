/*
 * JSON with comments: typed, ranged readers whose errors name the line, the
 * column and the path of the key. Unknown and repeated keys are errors.
 */
#ifndef IBIS_JSONC_H
#define IBIS_JSONC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "ibistrestle.h"
#include "process/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	JSONC_MAX_BYTES = 1048576, /* of one text */
	JSONC_MAX_DEPTH = 16
};

struct jsonc {
	char *text; /* comments blanked out; offsets are those of the source */
	struct json_object *root;
	const char *step;   /* for errors; the caller's */
	const char *source; /* for errors, as "section records" */
};

/* A value and the way to it; lives on the stack, below its parent. */
struct jsonc_node {
	const struct jsonc *json;
	const struct jsonc_node *parent; /* NULL for the root */
	const char *key;		 /* in an object; NULL in an array */
	size_t index;			 /* in an array */
	struct json_object *value;	 /* NULL is JSON's null */
};

enum jsonc_type {
	JSONC_BOOL,	/* bool */
	JSONC_INT32,	/* int32_t */
	JSONC_UINT32,	/* uint32_t */
	JSONC_DOUBLE,	/* double */
	JSONC_NAME,	/* char[]: letters, digits and ._- */
	JSONC_TEXT,	/* char[]: any text */
	JSONC_CHOICE,	/* an enum: index of one of choices */
	JSONC_STRUCTURE /* known, but read by the caller */
};

/* One key of an object, and where its value goes in a struct. */
struct jsonc_field {
	const char *key;
	enum jsonc_type type;
	bool required;
	size_t offset;
	size_t bytes; /* of the array that a NAME or a TEXT goes to */
	double lowest;
	double highest;
	const char *unit;
	const char *const *choices; /* NULL-terminated */
};

/*
 * Parses a text; step and source must outlive it. Returns false with status
 * filled on a syntax error, a repeated key, a key with an escape, or a text
 * that is too long or too deep. Free with jsonc_free even then.
 */
bool jsonc_parse(struct jsonc *json, const char *text, const char *step,
    const char *source, struct ibis_status *status);
void jsonc_free(struct jsonc *json);

struct jsonc_node jsonc_root(const struct jsonc *json);

/* Finds a key's value; false when the object has no such key. */
bool jsonc_member(const struct jsonc_node *object, const char *key,
    struct jsonc_node *member);
struct jsonc_node jsonc_element(const struct jsonc_node *array, size_t index);

/* Fills a status with the place of a node and a message. Returns INVALID. */
enum ibis_code jsonc_error(const struct jsonc_node *node,
    struct ibis_status *status, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Require a type; the array has lowest to highest elements. */
enum ibis_code jsonc_want_object(
    const struct jsonc_node *node, struct ibis_status *status);
enum ibis_code jsonc_want_array(const struct jsonc_node *node, size_t lowest,
    size_t highest, struct ibis_status *status);

/* Tells whether a name has letters, digits and ._- only, 1 to bytes - 1 of
 * them. */
bool jsonc_is_name(const char *name, size_t bytes);

/* Requires that a name has letters, digits and ._- only, below bytes long. */
enum ibis_code jsonc_check_name(const struct jsonc_node *node, const char *name,
    size_t bytes, struct ibis_status *status);

/* Reads one value into target, which is the field itself. */
enum ibis_code jsonc_read_value(const struct jsonc_node *node,
    const struct jsonc_field *field, void *target, struct ibis_status *status);

/*
 * Reads an object into the struct at target. Keys that are absent leave their
 * fields as they are; unknown keys are errors that name the nearest known one.
 */
enum ibis_code jsonc_read_fields(const struct jsonc_node *object,
    const struct jsonc_field *fields, size_t count, void *target,
    struct ibis_status *status);

/* Returns the nearest of count fields to a misspelt key, or NULL. */
const char *jsonc_nearest(
    const char *key, const struct jsonc_field *fields, size_t count);

/* Finds the bytes of a value in the source text. */
bool jsonc_extent(const struct jsonc_node *node, size_t *first, size_t *length);

#ifdef __cplusplus
}
#endif

#endif
