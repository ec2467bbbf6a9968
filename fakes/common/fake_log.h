/* Log of a fake: one line of key=value pairs for each event, none left out. */
#ifndef IBIS_FAKE_LOG_H
#define IBIS_FAKE_LOG_H

#include <stdbool.h>

/* Writes to a file from now on; NULL means standard output. */
bool fake_log_open(const char *path);

/* Writes "t_ms=NOW " and the formatted pairs as one line. */
void fake_log(const char *format, ...) __attribute__((format(printf, 1, 2)));

#endif
