#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "process/alloc.h"
#include "request/answer_check.h"
#include "request/client.h"

#define STEP	   "check answer"
#define HASH_BYTES 17

enum ibis_code
answer_check(struct json_object *job, const struct buffer *answer,
    struct ibis_status *status)
{
	int64_t length = client_integer(job, "answer_length", -1);
	const char *expected = client_string(job, "answer_hash", "");
	char hash[HASH_BYTES];

	if (length != (int64_t)answer->length)
		return ibis_status_set(status, IBIS_INTERNAL, STEP, NULL,
		    "answer has %zu bytes; expected %" PRId64, answer->length,
		    length);
	(void)snprintf(hash, sizeof(hash), "%016" PRIx64,
	    (uint64_t)XXH64(buffer_string(answer), answer->length, 0));
	if (strcmp(hash, expected) != 0)
		return ibis_status_set(status, IBIS_INTERNAL, STEP, NULL,
		    "answer has hash %s; expected %s", hash, expected);
	return IBIS_OK;
}

enum ibis_code
answer_check_parts(struct json_object *job, struct ibis_status *status)
{
	CLEANUP(buffer_free) struct buffer joined = {0};
	struct json_object *parts;

	if (!json_object_object_get_ex(job, "answers", &parts))
		return ibis_status_set(status, IBIS_INTERNAL, STEP, NULL,
		    "the job's JSON has no answers");
	for (size_t i = 0; i < json_object_array_length(parts); i++) {
		struct json_object *part = json_object_array_get_idx(parts, i);

		buffer_append(&joined, json_object_get_string(part),
		    (size_t)json_object_get_string_len(part));
	}
	return answer_check(job, &joined, status);
}
