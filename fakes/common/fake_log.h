/* Event log of a fake: one line of key=value pairs for each event. */
#ifndef IBIS_FAKE_LOG_H
#define IBIS_FAKE_LOG_H

#include <stdbool.h>

/* Appends later events to the file; NULL keeps standard output. Returns false,
 * with a message on stderr, when the file cannot be opened. */
bool fake_log_open(const char *path);

/* Writes "t_ms=NOW " and the formatted pairs as one line, with NOW from
 * clock_now_ms(). Longer lines are truncated to 1023 characters. */
void fake_log(const char *format, ...) __attribute__((format(printf, 1, 2)));

#endif
