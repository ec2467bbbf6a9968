/* Reads the lines that log_event writes. */
#ifndef IBIS_LOG_LINE_H
#define IBIS_LOG_LINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum {
	LOG_LINE_PAIRS = 32 /* more of one line are left out */
};

struct log_pair {
	const char *key;
	const char *value; /* without quotes and escapes */
};

/* Strings point into the parsed text. */
struct log_line {
	int64_t t_ms;	 /* steady clock of the machine */
	int64_t wall_ms; /* its time of day, since 1970; 0: not told */
	const char *event;
	const char *instance; /* "" when not told */
	struct log_pair pairs[LOG_LINE_PAIRS];
	size_t count;
};

/*
 * Parses one line without its break, which it changes. What a collector has
 * put before the first t_ms= is passed over. False when it is no line of ours.
 */
bool log_line_parse(char *text, struct log_line *line);

/* Value of a key, NULL when absent. */
const char *log_line_value(const struct log_line *line, const char *key);

#ifdef __cplusplus
}
#endif

#endif
