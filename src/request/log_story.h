/*
 * The story of one job from the logs of all instances: the lines that name it,
 * and what happened meanwhile to the workers and instances concerned, in one
 * order of time.
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

struct story_line {
	struct log_line line;
	size_t number;	 /* in the order of the texts */
	uint32_t source; /* the run of a process that wrote it */
	/* Steady clock plus the median difference of the source's two clocks:
	 * one time for all sources, which jumps of a time of day don't move. */
	int64_t at_ms;
	bool of_job; /* it names the job; else it tells of what was around */
};

struct log_story {
	struct buffer *texts; /* own what the lines point at */
	size_t texts_count;
	size_t texts_capacity;
	struct story_line *lines;
	size_t count;
	size_t capacity;
	size_t skipped; /* lines that are none of ours */
};

/* Adds the text of one log, which the story takes over. */
void log_story_add(struct log_story *story, struct buffer *text);

/*
 * Keeps the lines that belong to the job and orders them by time. Returns how
 * many of them name it.
 */
size_t log_story_select(struct log_story *story, const char *job);

/* Writes the selected lines, a line each, and a summary. */
void log_story_write(
    const struct log_story *story, const char *job, struct buffer *text);

void log_story_free(struct log_story *story);

#ifdef __cplusplus
}
#endif

#endif
