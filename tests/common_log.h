/*
 * Parses the logs of the fake platform and workers, and derives from them when
 * and how often jobs ran. Tests check against these logs, since an instance may
 * report a wrong outcome. Functions that take a job take its id.
 */
#ifndef IBIS_COMMON_LOG_H
#define IBIS_COMMON_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	LOG_MAX_FIELDS = 16
};

struct log_field {
	const char *key;
	const char *value;
};

struct log_record {
	int64_t t_ms; /* monotonic clock */
	const char *event;
	struct log_field fields[LOG_MAX_FIELDS];
	size_t fields_count;
};

struct log {
	char *text; /* all strings of the records point into it */
	struct log_record *records;
	size_t count;
	size_t capacity;
};

/* Reads a log file; an incomplete last line is left out. False when the file
 * can't be opened. The caller frees the result with log_free. */
bool log_read(struct log *log, const char *path);

void log_free(struct log *log);

/* Value of a field, owned by the log; "" when absent. */
const char *log_value(const struct log_record *record, const char *key);

/* True when a record is a task's start, from scratch or from a checkpoint. */
bool log_is_start(const struct log_record *record);

/* Number of task starts of a job, from scratch or from a checkpoint. */
size_t log_starts(const struct log *log, const char *job);

/* Number of attempts of a job of which any task started from scratch. */
size_t log_runs(const struct log *log, const char *job);

/*
 * Number of jobs of which more than one attempt, or one task twice, started
 * from scratch. Unless job_twice is NULL, it is set to the id of one of them,
 * owned by the log; unchanged when there is none.
 */
size_t log_jobs_run_twice(const struct log *log, const char **job_twice);

/* Monotonic time of the last start in a zone; 0 when there is none. */
int64_t log_last_start_ms(const struct log *log, const char *zone);

/* Number of starts in a zone within [from_ms, to_ms), on the monotonic clock.
 */
size_t log_starts_in_zone(
    const struct log *log, const char *zone, int64_t from_ms, int64_t to_ms);

/*
 * Longest time, over a job's attempts, from the first start of a task until all
 * tasks had started or, if they never did, until those started had ended; 0
 * without any start.
 */
int64_t log_partial_run_ms(
    const struct log *log, const char *job, uint32_t tasks);

#endif
