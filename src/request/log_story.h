/*
 * The timeline of one job, as printed by "ibisctl log story": the log lines of
 * all instances that name the job, and related events of its workers and
 * instances, in order of time.
 */
#ifndef IBIS_LOG_STORY_H
#define IBIS_LOG_STORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/buffer.h"
#include "process/log_line.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One log line and its position in the timeline. */
struct story_line {
	struct log_line line;
	size_t number;	 /* position in the input */
	uint32_t source; /* index of the process run that wrote the line */
	/* Time comparable between sources: the monotonic clock plus the median
	 * difference of the source's wall clock and monotonic clock. The median
	 * makes it robust against jumps of the wall clock. */
	int64_t at_ms;
	bool names_job; /* it names the job; else a related event */
};

struct log_story {
	struct buffer *texts; /* the input, which the lines point into */
	size_t texts_count;
	size_t texts_capacity;
	struct story_line *lines;
	size_t count;
	size_t capacity;
	size_t skipped_lines; /* input lines that are not log lines */
};

/* Adds the text of one log. Takes ownership of its content and clears *text. */
void log_story_add(struct log_story *story, struct buffer *text);

/*
 * Discards all lines but those of the job and related events, and sorts the
 * rest by time. Returns the number of lines that name the job; if it is 0, no
 * lines are left.
 */
size_t log_story_select(struct log_story *story, const char *job);

/* Appends the selected lines, one line each, and a summary to text. */
void log_story_write(
    const struct log_story *story, const char *job, struct buffer *text);

/* Frees what a story holds and clears it. */
void log_story_free(struct log_story *story);

#ifdef __cplusplus
}
#endif

#endif
