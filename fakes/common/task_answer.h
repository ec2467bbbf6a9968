/* The answer of a fake task, a pure function of its payload and index. */
#ifndef IBIS_TASK_ANSWER_H
#define IBIS_TASK_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

#include "process/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Tells whether a payload has a word, words being parted by spaces. */
bool payload_has(const char *payload, const char *word);

/* Returns N of a word NAME=N in a payload; otherwise if there is none. */
int64_t payload_number(
    const char *payload, const char *name, int64_t otherwise);

/*
 * Appends "INDEX:PAYLOAD". With a word answer_bytes=N in the payload, it is
 * repeated or cut to exactly N bytes.
 */
void task_answer(const char *payload, uint32_t index, struct buffer *answer);

#ifdef __cplusplus
}
#endif

#endif
