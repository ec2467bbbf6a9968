#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "process/alloc.h"
#include "request/log_story.h"

/* Related events are included up to this long before the job's first line and
 * after its last. */
#define CONTEXT_MS  2000
#define MS_PER_S    1000
#define DECIMAL	    10
#define START_EVENT "started"

/* Related events. process_events are included for instances that wrote a line
 * of the job, worker_events for workers that a line of the job names, and
 * lead_events always. */
static const char *const process_events[] = {"started", "stopping", "stopped",
    "reloaded", "ready", "not_ready", "config_in_force", "store_watch_lost",
    "store_watch_back", "store_history_gone", "store_by_peer",
    "store_straight"};
static const char *const lead_events[] = {"lead_taken", "lead_lost",
    "lead_lease_unsure", "lead_lease_back", "lead_offered", "lead_released"};
static const char *const worker_events[] = {"worker_silent", "worker_answers",
    "worker_unlisted", "worker_paused", "worker_entry_unusable",
    "worker_restarted", "worker_over_capacity"};

/* Keys of the workers that a line of a job names. */
static const char *const worker_keys[] = {
    "worker", "latest_worker", "other_worker"};

static bool
is_one_of(const char *event, const char *const *events, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(event, events[i]) == 0)
			return true;
	}
	return false;
}

/* Returns the last source of an instance, or none if it has no lines. */
static uint32_t
last_source(const struct log_story *story, const char *instance, uint32_t none)
{
	for (size_t i = story->count; i > 0; i--) {
		if (strcmp(story->lines[i - 1].line.instance, instance) == 0)
			return story->lines[i - 1].source;
	}
	return none;
}

/* Returns the lowest unused source index. */
static uint32_t
next_source(const struct log_story *story)
{
	uint32_t next = 0;

	for (size_t i = 0; i < story->count; i++) {
		if (story->lines[i].source >= next)
			next = story->lines[i].source + 1;
	}
	return next;
}

/* Parses and adds a line. A line of a new instance, or the event of a process
 * start, begins a new source; *sources is the number of sources. */
static void
add_line(struct log_story *story, char *text, uint32_t *sources)
{
	struct story_line added = {.number = story->count};

	if (!log_line_parse(text, &added.line)) {
		story->skipped_lines += *text != '\0';
		return;
	}
	added.source = strcmp(added.line.event, START_EVENT) == 0
	    ? *sources
	    : last_source(story, added.line.instance, *sources);
	if (added.source == *sources)
		(*sources)++;
	story->lines = mem_grow(story->lines, &story->capacity,
	    story->count + 1, sizeof(*story->lines));
	story->lines[story->count++] = added;
}

void
log_story_add(struct log_story *story, struct buffer *text)
{
	uint32_t sources = next_source(story);
	char *rest;
	char *line;

	story->texts = mem_grow(story->texts, &story->texts_capacity,
	    story->texts_count + 1, sizeof(*story->texts));
	story->texts[story->texts_count++] = *text;
	*text = (struct buffer){0};
	rest = story->texts[story->texts_count - 1].data;
	while (rest != NULL && (line = strsep(&rest, "\n")) != NULL)
		add_line(story, line, &sources);
}

static int
compare_numbers(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left;
	int64_t b = *(const int64_t *)right;

	return a < b ? -1 : a > b;
}

/* Sets the times of one source's lines. offsets is scratch space for
 * story->count elements. */
static void
set_source_times(struct log_story *story, uint32_t source, int64_t *offsets)
{
	size_t count = 0;
	int64_t offset_ms;

	for (size_t i = 0; i < story->count; i++) {
		const struct log_line *line = &story->lines[i].line;

		if (story->lines[i].source == source)
			offsets[count++] =
			    line->wall_ms == 0 ? 0 : line->wall_ms - line->t_ms;
	}
	if (count == 0)
		return;
	qsort(offsets, count, sizeof(*offsets), compare_numbers);
	offset_ms = offsets[count / 2];
	for (size_t i = 0; i < story->count; i++) {
		if (story->lines[i].source == source)
			story->lines[i].at_ms =
			    story->lines[i].line.t_ms + offset_ms;
	}
}

static void
set_all_times(struct log_story *story)
{
	int64_t *offsets = mem_calloc(story->count + 1, sizeof(*offsets));
	uint32_t sources = next_source(story);

	for (uint32_t source = 0; source < sources; source++)
		set_source_times(story, source, offsets);
	mem_free(offsets);
}

static bool
line_names_worker(const struct log_line *line, const char *worker)
{
	for (size_t i = 0; i < COUNT_OF(worker_keys); i++) {
		const char *named = log_line_value(line, worker_keys[i]);

		if (named != NULL && strcmp(named, worker) == 0)
			return true;
	}
	return false;
}

/* Returns whether one of the first count lines, which are the job's, names a
 * worker. */
static bool
job_names_worker(
    const struct log_story *story, size_t count, const char *worker)
{
	for (size_t i = 0; i < count; i++) {
		if (line_names_worker(&story->lines[i].line, worker))
			return true;
	}
	return false;
}

/* Returns whether an instance wrote one of the first count lines, which are the
 * job's. */
static bool
job_used_instance(
    const struct log_story *story, size_t count, const char *instance)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(story->lines[i].line.instance, instance) == 0)
			return true;
	}
	return false;
}

/* Returns whether a line that does not name the job is a related event. The
 * first count lines are the job's. */
static bool
is_related(
    const struct log_story *story, size_t count, const struct log_line *line)
{
	const char *worker = log_line_value(line, "worker");

	if (is_one_of(line->event, lead_events, COUNT_OF(lead_events)))
		return true;
	if (is_one_of(line->event, worker_events, COUNT_OF(worker_events)))
		return worker != NULL && job_names_worker(story, count, worker);
	return is_one_of(
		   line->event, process_events, COUNT_OF(process_events)) &&
	    job_used_instance(story, count, line->instance);
}

static int
compare_lines(const void *left, const void *right)
{
	const struct story_line *a = left;
	const struct story_line *b = right;

	if (a->at_ms != b->at_ms)
		return a->at_ms < b->at_ms ? -1 : 1;
	if (a->source != b->source)
		return a->source < b->source ? -1 : 1;
	return a->number < b->number ? -1 : a->number > b->number;
}

/* Moves the job's lines to the front and marks them; *from_ms and *to_ms get
 * their first and last time. Returns their number. */
static size_t
move_job_lines_first(
    struct log_story *story, const char *job, int64_t *from_ms, int64_t *to_ms)
{
	size_t count = 0;

	for (size_t i = 0; i < story->count; i++) {
		struct story_line entry = story->lines[i];
		const char *named = log_line_value(&entry.line, "job");

		if (named == NULL || strcmp(named, job) != 0)
			continue;
		entry.names_job = true;
		if (count == 0 || entry.at_ms < *from_ms)
			*from_ms = entry.at_ms;
		if (count == 0 || entry.at_ms > *to_ms)
			*to_ms = entry.at_ms;
		story->lines[i] = story->lines[count];
		story->lines[count++] = entry;
	}
	return count;
}

size_t
log_story_select(struct log_story *story, const char *job)
{
	int64_t from_ms = 0;
	int64_t to_ms = 0;
	size_t named;
	size_t selected;

	set_all_times(story);
	named = move_job_lines_first(story, job, &from_ms, &to_ms);
	selected = named;
	for (size_t i = named; named > 0 && i < story->count; i++) {
		const struct story_line *entry = &story->lines[i];

		if (entry->at_ms >= from_ms - CONTEXT_MS &&
		    entry->at_ms <= to_ms + CONTEXT_MS &&
		    is_related(story, named, &entry->line))
			story->lines[selected++] = *entry;
	}
	story->count = selected;
	if (selected > 0)
		qsort(story->lines, selected, sizeof(*story->lines),
		    compare_lines);
	return named;
}

/* Appends a signed time in seconds with milliseconds. */
static void
write_time(struct buffer *text, int64_t since_ms)
{
	int64_t amount_ms = since_ms < 0 ? -since_ms : since_ms;

	buffer_printf(text, "%c%" PRId64 ".%03" PRId64,
	    since_ms < 0 ? '-' : '+', amount_ms / MS_PER_S,
	    amount_ms % MS_PER_S);
}

static void
write_line(
    struct buffer *text, const struct story_line *entry, int64_t origin_ms)
{
	const struct log_line *line = &entry->line;

	write_time(text, entry->at_ms - origin_ms);
	buffer_printf(text, " %c %s %s", entry->names_job ? '*' : ' ',
	    line->instance, line->event);
	for (size_t i = 0; i < line->count; i++) {
		const struct log_pair *pair = &line->pairs[i];
		bool quoted =
		    *pair->value == '\0' || strchr(pair->value, ' ') != NULL;

		if (strcmp(pair->key, "level") == 0 ||
		    (entry->names_job && strcmp(pair->key, "job") == 0))
			continue;
		buffer_printf(text, quoted ? " %s=\"%s\"" : " %s=%s", pair->key,
		    pair->value);
	}
	buffer_puts(text, "\n");
}

static size_t
count_event(const struct log_story *story, const char *event)
{
	size_t count = 0;

	for (size_t i = 0; i < story->count; i++)
		count += story->lines[i].names_job &&
		    strcmp(story->lines[i].line.event, event) == 0;
	return count;
}

/* Returns how many lines the instances suppressed, as counted in the "repeated"
 * fields of the selected lines. */
static int64_t
count_suppressed(const struct log_story *story)
{
	int64_t count = 0;

	for (size_t i = 0; i < story->count; i++) {
		const char *repeated =
		    log_line_value(&story->lines[i].line, "repeated");

		if (repeated != NULL)
			count += strtoll(repeated, NULL, DECIMAL);
	}
	return count;
}

/* Returns the last line of the job with an event, or NULL. */
static const struct story_line *
last_event(const struct log_story *story, const char *event)
{
	for (size_t i = story->count; i > 0; i--) {
		if (story->lines[i - 1].names_job &&
		    strcmp(story->lines[i - 1].line.event, event) == 0)
			return &story->lines[i - 1];
	}
	return NULL;
}

static void
write_summary(const struct log_story *story, const char *job, int64_t origin_ms,
    struct buffer *text)
{
	const struct story_line *settled = last_event(story, "job_settled");
	const char *outcome =
	    settled == NULL ? NULL : log_line_value(&settled->line, "outcome");

	buffer_printf(text,
	    "job %s: submit %zu, refused %zu, unknown %zu, placed %zu, "
	    "ended runs %zu, stops %zu; ",
	    job, count_event(story, "submit"),
	    count_event(story, "submit_refused"),
	    count_event(story, "submit_unknown"), count_event(story, "placed"),
	    count_event(story, "run_ended"),
	    count_event(story, "stop_ordered"));
	if (settled == NULL) {
		buffer_puts(text, "not settled in these logs\n");
	} else {
		buffer_printf(text, "%s at ", outcome == NULL ? "?" : outcome);
		write_time(text, settled->at_ms - origin_ms);
		buffer_puts(text, " s\n");
	}
	if (count_suppressed(story) > 0)
		buffer_printf(text,
		    "the instances left out %" PRId64
		    " lines of these events: the story may have gaps\n",
		    count_suppressed(story));
	if (story->skipped_lines > 0)
		buffer_printf(text, "%zu lines of the input are no log lines\n",
		    story->skipped_lines);
}

void
log_story_write(
    const struct log_story *story, const char *job, struct buffer *text)
{
	int64_t origin_ms = 0;

	for (size_t i = story->count; i > 0; i--) {
		if (story->lines[i - 1].names_job)
			origin_ms = story->lines[i - 1].at_ms;
	}
	for (size_t i = 0; i < story->count; i++)
		write_line(text, &story->lines[i], origin_ms);
	write_summary(story, job, origin_ms, text);
}

void
log_story_free(struct log_story *story)
{
	for (size_t i = 0; i < story->texts_count; i++)
		buffer_free(&story->texts[i]);
	mem_free(story->texts);
	mem_free(story->lines);
	*story = (struct log_story){0};
}
