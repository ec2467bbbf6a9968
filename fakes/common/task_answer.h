/*
 * The answer of a fake task. It depends only on the payload and the index, so
 * tests can compute the expected answer. A payload is a list of words separated
 * by spaces.
 */
#ifndef IBIS_TASK_ANSWER_H
#define IBIS_TASK_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

#include "process/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Returns whether the payload contains the word. */
bool payload_has_word(const char *payload, const char *word);

/* Returns N of the first word NAME=N in the payload, or fallback when there is
 * none. */
int64_t payload_get_number(
    const char *payload, const char *name, int64_t fallback);

/*
 * Appends "INDEX:PAYLOAD" to the answer. If the payload has a word
 * answer_bytes=N with N up to 8 MiB, that text is repeated or truncated to N
 * bytes.
 */
void task_answer(const char *payload, uint32_t index, struct buffer *answer);

#ifdef __cplusplus
}
#endif

#endif
