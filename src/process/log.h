/*
 * Logger: writes one line of key=value pairs for each event. Thread-safe except
 * for log_configure. log_line.h parses the lines.
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
	enum log_level lowest; /* lines of lower levels are not written */
	const char *name;      /* instance=NAME of each line; may be NULL */
	/* Limit for each event; 0 for LOG_EVENT_LINES_PER_S. */
	int32_t event_lines_per_s;
	/* Write to standard output instead of standard error, and drop and
	 * count a line rather than block while the pipe is full. */
	bool to_stdout;
};

enum {
	LOG_EVENT_LINES_PER_S = 50,
	/* Warnings and errors have a limit this many times higher, so that
	 * lines of failed requests are still written under high load. */
	LOG_WARNING_LIMIT_FACTOR = 20
};

/* Copies the configuration. Call it before other threads start. */
void log_configure(const struct log_config *config);

/* Finds the level with a name. Returns false if there is none. */
bool log_level_parse(const char *name, enum log_level *level);

/*
 * Writes one event. The arguments after event are pairs of a key and a string
 * value, ended by NULL. Values are quoted where needed; NULL is written as "":
 *     log_event(LOG_INFO, "job_accepted", "job", id, "class", name, NULL);
 * Lines of an event beyond its limit for one second are suppressed. The next
 * line of that event that is written gets repeated=N, the number suppressed.
 */
void log_event(enum log_level level, const char *event, ...)
    __attribute__((sentinel));

/* Formats a number for log_event. The result is in one of 16 buffers of the
 * thread, which are reused in turn. */
const char *log_number(int64_t number);

#ifdef __cplusplus
}
#endif

#endif
