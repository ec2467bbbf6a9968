/*
 * JSON with comments: readers that check type and range, and whose errors give
 * the line, the column and the path of the key. Unknown and repeated keys are
 * errors. Unless said otherwise, a function that returns an ibis_code returns
 * IBIS_INVALID and fills status on an error; status may be NULL.
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
	JSONC_MAX_BYTES = 1048576, /* of the text */
	JSONC_MAX_DEPTH = 16
};

/* A parsed text. Filled by jsonc_parse and freed by jsonc_free. */
struct jsonc {
	char *text; /* a copy with blanked comments; offsets are unchanged */
	struct json_object *root;
	const char *step;   /* for errors; owned by the caller */
	const char *source; /* for errors, like "section records"; likewise */
};

/* A value and its path. Owns nothing; its json and parent must outlive it, so
 * nodes usually live on the stack. */
struct jsonc_node {
	const struct jsonc *json;
	const struct jsonc_node *parent; /* NULL for the root */
	const char *key;	   /* if the parent is an object, else NULL */
	size_t index;		   /* if the parent is an array */
	struct json_object *value; /* NULL for a JSON null */
};

enum jsonc_type {
	JSONC_BOOL,   /* bool */
	JSONC_INT32,  /* int32_t */
	JSONC_UINT32, /* uint32_t */
	JSONC_DOUBLE, /* double */
	JSONC_NAME,   /* char[]: letters, digits and ._- */
	JSONC_TEXT,   /* char[]: any text */
	JSONC_CHOICE, /* an enum: the index in choices */
	JSONC_CUSTOM  /* any value; the caller reads it itself */
};

/* One key of an object, its valid values and the struct field to fill. */
struct jsonc_field {
	const char *key;
	enum jsonc_type type;
	bool required;
	size_t offset; /* of the field in the struct */
	size_t bytes;  /* size of the char array of a NAME or a TEXT */
	double lowest; /* of a number, inclusive */
	double highest;
	const char *unit;	    /* of a number, for errors; may be NULL */
	const char *const *choices; /* texts of a CHOICE, NULL-terminated */
};

/*
 * Parses a copy of text; step and source must outlive json. Returns false and
 * fills status on a syntax error, a repeated key, a key with an escape, or a
 * text that is too long or nested too deeply. Free with jsonc_free in either
 * case.
 */
bool jsonc_parse(struct jsonc *json, const char *text, const char *step,
    const char *source, struct ibis_status *status);

/* Frees a parsed text; a zero-initialised json is allowed. */
void jsonc_free(struct jsonc *json);

struct jsonc_node jsonc_root(const struct jsonc *json);

/* Finds the member with a key. Returns false if the object has none; member can
 * then still be passed to jsonc_error. */
bool jsonc_member(const struct jsonc_node *object, const char *key,
    struct jsonc_node *member);

/* Returns an element of an array. Its value is NULL if index is too large. */
struct jsonc_node jsonc_element(const struct jsonc_node *array, size_t index);

/* Fills status with a message that is preceded by the source, position and path
 * of a node. Returns IBIS_INVALID. */
enum ibis_code jsonc_error(const struct jsonc_node *node,
    struct ibis_status *status, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Check that a node is an object, or an array of lowest to highest elements. */
enum ibis_code jsonc_require_object(
    const struct jsonc_node *node, struct ibis_status *status);
enum ibis_code jsonc_require_array(const struct jsonc_node *node, size_t lowest,
    size_t highest, struct ibis_status *status);

/* Returns whether a name consists of 1 to bytes - 1 letters, digits and ._- */
bool jsonc_is_name(const char *name, size_t bytes);

/* As jsonc_is_name, with an error at node. */
enum ibis_code jsonc_check_name(const struct jsonc_node *node, const char *name,
    size_t bytes, struct ibis_status *status);

/* Reads one value into target, which points at the field, not at its struct.
 * Does nothing for JSONC_CUSTOM. */
enum ibis_code jsonc_read_value(const struct jsonc_node *node,
    const struct jsonc_field *field, void *target, struct ibis_status *status);

/*
 * Reads an object into the struct at target. The fields of absent optional keys
 * are left unchanged. The error of an unknown key names the most similar known
 * one. On an error, some fields may already have been set.
 */
enum ibis_code jsonc_read_fields(const struct jsonc_node *object,
    const struct jsonc_field *fields, size_t count, void *target,
    struct ibis_status *status);

/* Returns the key of count fields that is most similar to a misspelt key, or
 * NULL if none is similar. Owned by fields. */
const char *jsonc_nearest_key(
    const char *key, const struct jsonc_field *fields, size_t count);

/* Finds the offset and the length of a value in the text. Returns false if the
 * node is not in the text. */
bool jsonc_extent(const struct jsonc_node *node, size_t *first, size_t *length);

#ifdef __cplusplus
}
#endif

#endif
