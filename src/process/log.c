#include <ctype.h>
#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "process/alloc.h"
#include "process/buffer.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"

#define RATE_SLOT_COUNT	    64
#define RATE_WINDOW_MS	    1000
#define NUMBER_BUFFER_COUNT 16
#define NUMBER_BYTES	    24
#define NAME_BYTES	    64
#define MAX_LINE_BYTES	    4096

/* 32-bit FNV-1a */
#define FNV_OFFSET_BASIS 2166136261U
#define FNV_PRIME	 16777619U

/* Lines of one event in the current window. Each event has one slot by its
 * hash; events that share a slot reset each other's counts. */
struct event_rate {
	char event[NAME_BYTES];
	int64_t window_start_ms;
	uint32_t written;
	uint32_t suppressed;
};

static enum log_level lowest_level = LOG_INFO;
static char instance_name[NAME_BYTES];
static int log_fd = STDERR_FILENO;
static bool drop_when_full; /* the pipe; otherwise wait for its reader */
static uint32_t event_limit = LOG_EVENT_LINES_PER_S; /* per window */
static pthread_mutex_t write_lock = PTHREAD_MUTEX_INITIALIZER;
static struct event_rate event_rates[RATE_SLOT_COUNT];
static pthread_mutex_t rate_lock = PTHREAD_MUTEX_INITIALIZER;

static const char *const level_names[] = {
    [LOG_DEBUG] = "debug",
    [LOG_INFO] = "info",
    [LOG_WARN] = "warn",
    [LOG_ERROR] = "error",
};

void
log_configure(const struct log_config *config)
{
	lowest_level = config->lowest;
	STRING_SHORTEN(instance_name, config->name);
	if (config->event_lines_per_s > 0)
		event_limit = (uint32_t)config->event_lines_per_s;
	drop_when_full = config->to_stdout;
	log_fd = config->to_stdout ? STDOUT_FILENO : STDERR_FILENO;
}

bool
log_level_parse(const char *name, enum log_level *level)
{
	for (size_t i = 0; i < COUNT_OF(level_names); i++) {
		if (strcmp(level_names[i], name) == 0) {
			*level = (enum log_level)i;
			return true;
		}
	}
	return false;
}

static struct event_rate *
find_event_rate(const char *event)
{
	uint32_t hash = FNV_OFFSET_BASIS;

	for (const char *c = event; *c != '\0'; c++)
		hash = (hash ^ (unsigned char)*c) * FNV_PRIME;
	return &event_rates[hash % RATE_SLOT_COUNT];
}

/* Returns whether a line is within its event's limit. If so, *suppressed is set
 * to the number of lines of the event suppressed since the last one written. */
static bool
allow_line(enum log_level level, const char *event, uint32_t *suppressed)
{
	uint32_t limit = level >= LOG_WARN
	    ? event_limit * LOG_WARNING_LIMIT_FACTOR
	    : event_limit;
	struct event_rate *rate = find_event_rate(event);
	int64_t now_ms = clock_now_ms();
	bool allowed;

	(void)pthread_mutex_lock(&rate_lock);
	if (strcmp(rate->event, event) != 0) {
		*rate = (struct event_rate){.window_start_ms = now_ms};
		STRING_COPY(rate->event, event);
	}
	if (now_ms - rate->window_start_ms >= RATE_WINDOW_MS) {
		rate->window_start_ms = now_ms;
		rate->written = 0;
	}
	allowed = rate->written < limit;
	if (allowed) {
		rate->written++;
		*suppressed = rate->suppressed;
		rate->suppressed = 0;
	} else {
		rate->suppressed++;
	}
	(void)pthread_mutex_unlock(&rate_lock);
	return allowed;
}

static bool
needs_quotes(const char *value)
{
	if (*value == '\0')
		return true;
	for (const char *c = value; *c != '\0'; c++) {
		if (!isgraph((unsigned char)*c) || *c == '"' || *c == '=' ||
		    *c == '\\')
			return true;
	}
	return false;
}

static void
append_value(struct buffer *line, const char *value)
{
	if (value == NULL)
		value = "";
	if (!needs_quotes(value)) {
		buffer_puts(line, value);
		return;
	}
	buffer_puts(line, "\"");
	for (const char *c = value; *c != '\0'; c++) {
		unsigned char byte = (unsigned char)*c;

		if (byte == '"' || byte == '\\')
			buffer_printf(line, "\\%c", byte);
		else if (byte < ' ' || byte == 0x7f)
			buffer_printf(line, "\\x%02x", byte);
		else
			buffer_append(line, c, 1);
	}
	buffer_puts(line, "\"");
}

/* Returns whether a line can be written without blocking. A pipe that polls as
 * writable has room for PIPE_BUF bytes, so for MAX_LINE_BYTES. */
static bool
can_write(void)
{
	struct pollfd target = {.fd = log_fd, .events = POLLOUT};

	return poll(&target, 1, 0) == 1 && (target.revents & POLLOUT) != 0;
}

/* Writes a line with a single write, so that lines of different threads do not
 * interleave. */
static void
write_line(const struct buffer *line)
{
	if (!drop_when_full) {
		if (write(log_fd, line->data, line->length) < 0)
			return;
		return;
	}
	(void)pthread_mutex_lock(&write_lock);
	if (line->length > MAX_LINE_BYTES || !can_write() ||
	    write(log_fd, line->data, line->length) < 0)
		counter_add(COUNTER_LOG_LINES_DROPPED, 1);
	(void)pthread_mutex_unlock(&write_lock);
}

void
log_event(enum log_level level, const char *event, ...)
{
	CLEANUP(buffer_free) struct buffer line = {0};
	uint32_t suppressed = 0;
	const char *key;
	va_list pairs;

	if (level < lowest_level)
		return;
	if (!allow_line(level, event, &suppressed)) {
		counter_add(COUNTER_LOG_LINES_LEFT_OUT, 1);
		return;
	}
	buffer_printf(&line,
	    "t_ms=%" PRId64 " wall_ms=%" PRId64 " level=%s event=%s",
	    clock_now_ms(), clock_wall_ms(), level_names[level], event);
	if (instance_name[0] != '\0') {
		buffer_puts(&line, " instance=");
		append_value(&line, instance_name);
	}
	va_start(pairs, event);
	while ((key = va_arg(pairs, const char *)) != NULL) {
		buffer_printf(&line, " %s=", key);
		append_value(&line, va_arg(pairs, const char *));
	}
	va_end(pairs);
	if (suppressed > 0)
		buffer_printf(&line, " repeated=%" PRIu32, suppressed);
	buffer_puts(&line, "\n");
	write_line(&line);
}

const char *
log_number(int64_t number)
{
	static _Thread_local char texts[NUMBER_BUFFER_COUNT][NUMBER_BYTES];
	static _Thread_local unsigned int next;
	char *text = texts[next++ % NUMBER_BUFFER_COUNT];

	(void)snprintf(text, NUMBER_BYTES, "%" PRId64, number);
	return text;
}
