/* The record of a case: one line for each thing that was sent, answered or run,
 * with the milliseconds since the start. */
#ifndef REVIEW_RECORD_H
#define REVIEW_RECORD_H

#include <stdbool.h>

/* Returns false when the file can't be written. */
bool record_open(const char *path);
void record_close(void);

/* Appends a line; from any thread. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

#endif
