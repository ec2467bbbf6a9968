/* Parser of the lines that log_event writes. */
#ifndef IBIS_LOG_LINE_H
#define IBIS_LOG_LINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum {
	LOG_LINE_MAX_PAIRS = 32 /* further pairs of a line are ignored */
};

struct log_pair {
	const char *key;
	const char *value; /* unquoted and unescaped */
};

/* A parsed line. Its strings point into the text that was parsed. */
struct log_line {
	int64_t t_ms;	 /* monotonic clock of the machine */
	int64_t wall_ms; /* its wall clock, since 1970; 0 if absent */
	const char *event;
	const char *instance; /* "" if absent */
	struct log_pair pairs[LOG_LINE_MAX_PAIRS];
	size_t count;
};

/*
 * Parses one line, without its line end. Modifies text, which must outlive
 * line. Skips anything before the first t_ms=, such as a log collector's
 * prefix. Returns false if the line has no t_ms= followed by an event.
 */
bool log_line_parse(char *text, struct log_line *line);

/* Returns the value of a key, or NULL if absent; points into the parsed text.
 * t_ms, wall_ms, event and instance are not among the pairs. */
const char *log_line_value(const struct log_line *line, const char *key);

#ifdef __cplusplus
}
#endif

#endif
