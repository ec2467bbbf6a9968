/*
 * What the stand-ins have logged, read as records, and what follows from it
 * about jobs. Tests judge by this and not by what instances say.
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
	char *text; /* owns all strings */
	struct log_record *records;
	size_t count;
	size_t capacity;
};

/* Reads a log; false when the file can't be read. */
bool log_read(struct log *log, const char *path);
void log_free(struct log *log);

/* Value of a field, "" when absent. */
const char *log_value(const struct log_record *record, const char *key);

/* Tells whether a record is a task's start, fresh or from a checkpoint. */
bool log_is_start(const struct log_record *record);

/* Number of starts of any task of a job. */
size_t log_starts(const struct log *log, const char *job);

/* Number of attempts of a job of which any task started afresh. */
size_t log_runs(const struct log *log, const char *job);

/* Number of jobs of which more than one attempt, or a task twice, started
 * afresh. job_twice gets one of them; NULL to leave it out. */
size_t log_jobs_run_twice(const struct log *log, const char **job_twice);

/* Time of the last start in a zone; 0 when there is none. */
int64_t log_last_start_ms(const struct log *log, const char *zone);

/* Number of starts in a zone within [from_ms, to_ms). */
size_t log_starts_in_zone(
    const struct log *log, const char *zone, int64_t from_ms, int64_t to_ms);

/*
 * How long a part of a job's gang of the given size ran while not all of it
 * did: the longest over its attempts, in milliseconds; 0 when none did.
 */
int64_t log_partial_run_ms(
    const struct log *log, const char *job, uint32_t tasks);

#endif
