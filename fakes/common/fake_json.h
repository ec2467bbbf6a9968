/* Helpers to read and write the JSON bodies of the fakes. */
#ifndef IBIS_FAKE_JSON_H
#define IBIS_FAKE_JSON_H

#include <json-c/json.h>
#include <stdint.h>

/*
 * Returns the string field key, or fallback when it is missing or of another
 * type. The object owns the returned string.
 */
const char *fake_json_text(
    struct json_object *object, const char *key, const char *fallback);

/* Returns the integer field key, or fallback when it is missing or of another
 * type. */
int64_t fake_json_number(
    struct json_object *object, const char *key, int64_t fallback);

struct buffer;

/* Appends the object as compact JSON to body and releases the object. */
void fake_json_append(struct buffer *body, struct json_object *object);

#endif
