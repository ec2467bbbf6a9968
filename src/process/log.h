/*
 * Logger: one line of key=value pairs for each event, on standard error.
 * Safe from every thread.
 */
#ifndef IBIS_LOG_H
#define IBIS_LOG_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum log_level {
	LOG_DEBUG,
	LOG_INFO,
	LOG_WARN,
	LOG_ERROR
};

/* Sets the lowest level written and the instance=NAME that each line carries.
 * name may be NULL. Call it before other threads start. */
void log_configure(enum log_level lowest, const char *name);

/*
 * Lines go to standard output from now on, in place of standard error. A line
 * that would have to wait for the reader is dropped and counted. Call it before
 * other threads start.
 */
void log_to_stdout(void);

/*
 * Writes one event. The arguments after event are pairs of a key and a
 * string value, ended by NULL; values are quoted where needed:
 *     log_event(LOG_INFO, "job_accepted", "job", id, "class", name, NULL);
 * Lines of one event over a limit in one second are counted, not written,
 * and the next line written of that event carries repeated=N.
 */
void log_event(enum log_level level, const char *event, ...)
    __attribute__((sentinel));

/* Formats a number for log_event into one of a few per-thread buffers. */
const char *log_number(int64_t number);

#ifdef __cplusplus
}
#endif

#endif
