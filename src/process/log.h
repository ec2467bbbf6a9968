/*
 * Logger: one line of key=value pairs for each event. Safe from every thread.
 * log_line.h reads the lines.
 */
#ifndef IBIS_LOG_H
#define IBIS_LOG_H

#include <stdbool.h>
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

struct log_config {
	enum log_level lowest;
	const char *name;	   /* instance=NAME of each line; may be NULL */
	int32_t event_lines_per_s; /* of one event; 0: LOG_EVENT_LINES_PER_S */
	/* Lines go to standard output in place of standard error. One that
	 * would have to wait for the reader is dropped and counted. */
	bool to_stdout;
};

enum {
	LOG_EVENT_LINES_PER_S = 50,
	/* Warnings and errors may be so many times more, so that lines of
	 * failed requests survive a flood. */
	LOG_WARNINGS_TIMES = 20
};

/* Call it before other threads start. */
void log_configure(const struct log_config *config);

/* Returns the level of a name; false when there is none. */
bool log_level_parse(const char *name, enum log_level *level);

/*
 * Writes one event. The arguments after event are pairs of a key and a
 * string value, ended by NULL; values are quoted where needed:
 *     log_event(LOG_INFO, "job_accepted", "job", id, "class", name, NULL);
 * Lines of one event over its bound in one second are counted, not written,
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
