/* Reading of small JSON bodies in the fakes. */
#ifndef IBIS_FAKE_JSON_H
#define IBIS_FAKE_JSON_H

#include <json-c/json.h>
#include <stdint.h>

/* Returns a field's text, or otherwise; owned by the object. */
const char *fake_json_text(
    struct json_object *object, const char *key, const char *otherwise);

int64_t fake_json_number(
    struct json_object *object, const char *key, int64_t otherwise);

/* Appends an object's JSON and frees it. */
struct buffer;
void fake_json_append(struct buffer *body, struct json_object *object);

#endif
