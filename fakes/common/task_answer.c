#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/task_answer.h"
#include "process/alloc.h"

#define MAX_ANSWER_BYTES (8L * 1024 * 1024)
#define DECIMAL		 10

/* Returns the next word and its length, or NULL at the end. */
static const char *
next_word(const char *text, size_t *length)
{
	text += strspn(text, " ");
	*length = strcspn(text, " ");
	return *length == 0 ? NULL : text;
}

bool
payload_has_word(const char *payload, const char *word)
{
	size_t length = 0;

	while ((payload = next_word(payload + length, &length)) != NULL) {
		if (length == strlen(word) &&
		    strncmp(payload, word, length) == 0)
			return true;
	}
	return false;
}

int64_t
payload_get_number(const char *payload, const char *name, int64_t fallback)
{
	size_t name_length = strlen(name);
	size_t length = 0;

	while ((payload = next_word(payload + length, &length)) != NULL) {
		if (length > name_length && payload[name_length] == '=' &&
		    strncmp(payload, name, name_length) == 0)
			return strtoll(
			    payload + name_length + 1, NULL, DECIMAL);
	}
	return fallback;
}

void
task_answer(const char *payload, uint32_t index, struct buffer *answer)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	int64_t bytes = payload_get_number(payload, "answer_bytes", -1);

	buffer_printf(&text, "%" PRIu32 ":%s", index, payload);
	if (bytes < 0 || bytes > MAX_ANSWER_BYTES)
		bytes = (int64_t)text.length;
	while (bytes > 0) {
		size_t chunk_length = text.length;

		if ((int64_t)chunk_length > bytes)
			chunk_length = (size_t)bytes;
		buffer_append(answer, text.data, chunk_length);
		bytes -= (int64_t)chunk_length;
	}
}
