#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common_log.h"
#include "process/alloc.h"
#include "process/buffer.h"

#define READ_BYTES 65536
#define DECIMAL	   10

static bool
read_text(const char *path, struct buffer *text)
{
	CLEANUP(mem_free_string) char *chunk = mem_calloc(READ_BYTES, 1);
	FILE *file = fopen(path, "re");
	size_t length;

	if (file == NULL)
		return false;
	while ((length = fread(chunk, 1, READ_BYTES, file)) > 0)
		buffer_append(text, chunk, length);
	(void)fclose(file);
	return true;
}

static void
add_field(struct log_record *record, char *word)
{
	char *equals = strchr(word, '=');

	if (equals == NULL || record->fields_count == LOG_MAX_FIELDS)
		return;
	*equals = '\0';
	if (strcmp(word, "t_ms") == 0)
		record->t_ms = strtoll(equals + 1, NULL, DECIMAL);
	else if (strcmp(word, "event") == 0)
		record->event = equals + 1;
	else
		record->fields[record->fields_count++] =
		    (struct log_field){.key = word, .value = equals + 1};
}

static void
add_line(struct log *log, char *line)
{
	struct log_record *record;
	char *rest = line;
	char *word;

	log->records = mem_grow(log->records, &log->capacity, log->count + 1,
	    sizeof(*log->records));
	record = &log->records[log->count++];
	*record = (struct log_record){.event = ""};
	while ((word = strsep(&rest, " ")) != NULL)
		add_field(record, word);
}

bool
log_read(struct log *log, const char *path)
{
	struct buffer text = {0};
	char *start;
	char *end;

	*log = (struct log){0};
	if (!read_text(path, &text))
		return false;
	log->text = buffer_detach(&text);
	/* A last line without a line feed is still being written. */
	for (start = log->text; (end = strchr(start, '\n')) != NULL;
	     start = end + 1) {
		*end = '\0';
		add_line(log, start);
	}
	return true;
}

void
log_free(struct log *log)
{
	mem_free(log->text);
	mem_free(log->records);
	*log = (struct log){0};
}

const char *
log_value(const struct log_record *record, const char *key)
{
	for (size_t i = 0; i < record->fields_count; i++) {
		if (strcmp(record->fields[i].key, key) == 0)
			return record->fields[i].value;
	}
	return "";
}

static bool
is_start_from_scratch(const struct log_record *record)
{
	return strcmp(record->event, "start") == 0;
}

bool
log_is_start(const struct log_record *record)
{
	return is_start_from_scratch(record) ||
	    strcmp(record->event, "resume") == 0;
}

static bool
is_of_job(const struct log_record *record, const char *job)
{
	return strcmp(log_value(record, "job"), job) == 0;
}

size_t
log_starts(const struct log *log, const char *job)
{
	size_t starts = 0;

	for (size_t i = 0; i < log->count; i++) {
		if (log_is_start(&log->records[i]) &&
		    is_of_job(&log->records[i], job))
			starts++;
	}
	return starts;
}

/* True when two records are of the same attempt of the same job. */
static bool
is_same_attempt(const struct log_record *left, const struct log_record *right)
{
	return is_of_job(left, log_value(right, "job")) &&
	    strcmp(log_value(left, "attempt"), log_value(right, "attempt")) ==
	    0;
}

size_t
log_runs(const struct log *log, const char *job)
{
	size_t runs = 0;

	for (size_t i = 0; i < log->count; i++) {
		const struct log_record *record = &log->records[i];
		bool seen = false;

		if (!is_start_from_scratch(record) || !is_of_job(record, job))
			continue;
		for (size_t j = 0; j < i && !seen; j++)
			seen = is_start_from_scratch(&log->records[j]) &&
			    is_same_attempt(&log->records[j], record);
		if (!seen)
			runs++;
	}
	return runs;
}

static int
compare_starts(const void *left, const void *right)
{
	const struct log_record *a = *(const struct log_record *const *)left;
	const struct log_record *b = *(const struct log_record *const *)right;
	int order = strcmp(log_value(a, "job"), log_value(b, "job"));

	if (order == 0)
		order = strcmp(log_value(a, "task"), log_value(b, "task"));
	return order;
}

/* Returns the starts from scratch sorted by job and task; the caller frees the
 * array. */
static const struct log_record **
sort_starts(const struct log *log, size_t *count)
{
	const struct log_record **starts =
	    mem_calloc(log->count, sizeof(struct log_record *));

	*count = 0;
	for (size_t i = 0; i < log->count; i++) {
		if (is_start_from_scratch(&log->records[i]))
			starts[(*count)++] = &log->records[i];
	}
	qsort(starts, *count, sizeof(struct log_record *), compare_starts);
	return starts;
}

size_t
log_jobs_run_twice(const struct log *log, const char **job_twice)
{
	size_t count;
	const struct log_record **starts = sort_starts(log, &count);
	const char *last = "";
	size_t twice = 0;

	for (size_t i = 1; i < count; i++) {
		const char *job = log_value(starts[i], "job");
		bool repeated = is_of_job(starts[i - 1], job) &&
		    (!is_same_attempt(starts[i - 1], starts[i]) ||
			strcmp(log_value(starts[i - 1], "task"),
			    log_value(starts[i], "task")) == 0);

		if (!repeated || strcmp(job, last) == 0)
			continue;
		last = job;
		twice++;
		if (job_twice != NULL)
			*job_twice = job;
	}
	mem_free(starts);
	return twice;
}

static bool
is_start_in_zone(const struct log_record *record, const char *zone)
{
	return log_is_start(record) &&
	    strcmp(log_value(record, "availability_zone"), zone) == 0;
}

int64_t
log_last_start_ms(const struct log *log, const char *zone)
{
	int64_t last_ms = 0;

	for (size_t i = 0; i < log->count; i++) {
		if (is_start_in_zone(&log->records[i], zone))
			last_ms = log->records[i].t_ms;
	}
	return last_ms;
}

size_t
log_starts_in_zone(
    const struct log *log, const char *zone, int64_t from_ms, int64_t to_ms)
{
	size_t starts = 0;

	for (size_t i = 0; i < log->count; i++) {
		const struct log_record *record = &log->records[i];

		if (is_start_in_zone(record, zone) && record->t_ms >= from_ms &&
		    record->t_ms < to_ms)
			starts++;
	}
	return starts;
}

/* True when a record is the end of a task that was running. */
static bool
is_end_of_run(const struct log_record *record)
{
	return strcmp(log_value(record, "was_running"), "true") == 0;
}

static bool
is_first_start(const struct log *log, size_t index)
{
	for (size_t i = 0; i < index; i++) {
		if (log_is_start(&log->records[i]) &&
		    is_same_attempt(&log->records[i], &log->records[index]))
			return false;
	}
	return true;
}

/* Time that the attempt whose first start is given ran with only a part of its
 * tasks. */
static int64_t
partial_run_of(const struct log *log, size_t first, uint32_t tasks)
{
	const struct log_record *start = &log->records[first];
	int64_t end_ms = log->records[log->count - 1].t_ms;
	uint32_t started = 0;
	uint32_t ended = 0;

	for (size_t i = first; i < log->count; i++) {
		const struct log_record *record = &log->records[i];

		if (!is_same_attempt(record, start))
			continue;
		if (log_is_start(record) && ++started == tasks)
			return record->t_ms - start->t_ms;
		if (is_end_of_run(record) && ++ended == started)
			end_ms = record->t_ms;
	}
	return end_ms - start->t_ms;
}

int64_t
log_partial_run_ms(const struct log *log, const char *job, uint32_t tasks)
{
	int64_t longest_ms = 0;

	for (size_t i = 0; i < log->count; i++) {
		int64_t partial_ms;

		if (!log_is_start(&log->records[i]) ||
		    !is_of_job(&log->records[i], job) ||
		    !is_first_start(log, i))
			continue;
		partial_ms = partial_run_of(log, i, tasks);
		if (partial_ms > longest_ms)
			longest_ms = partial_ms;
	}
	return longest_ms;
}
