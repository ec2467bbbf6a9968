#include "common/fake_json.h"
#include "process/buffer.h"

const char *
fake_json_text(
    struct json_object *object, const char *key, const char *fallback)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value) ||
	    !json_object_is_type(value, json_type_string))
		return fallback;
	return json_object_get_string(value);
}

int64_t
fake_json_number(struct json_object *object, const char *key, int64_t fallback)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value) ||
	    !json_object_is_type(value, json_type_int))
		return fallback;
	return json_object_get_int64(value);
}

void
fake_json_append(struct buffer *body, struct json_object *object)
{
	buffer_puts(body,
	    json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
	json_object_put(object);
}
