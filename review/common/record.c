#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "process/clock.h"
#include "site.h"

#define MS_PER_SECOND 1000
#define NS_PER_MS     1000000

static FILE *record;
static int64_t opened_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

bool
record_open(const char *path)
{
	record = fopen(path, "we");
	opened_ms = clock_now_ms();
	return record != NULL;
}

int64_t
record_ms(void)
{
	return clock_now_ms() - opened_ms;
}

void
record_line(const char *format, ...)
{
	va_list arguments;
	int64_t now_ms = record_ms();

	va_start(arguments, format);
	(void)pthread_mutex_lock(&record_lock);
	(void)fprintf(record, "%3lld.%03lld ",
	    (long long)(now_ms / MS_PER_SECOND),
	    (long long)(now_ms % MS_PER_SECOND));
	(void)vfprintf(record, format, arguments);
	(void)fputc('\n', record);
	(void)fflush(record);
	(void)pthread_mutex_unlock(&record_lock);
	va_end(arguments);
}

void
sleep_ms(int64_t pause_ms)
{
	struct timespec duration = {
	    .tv_sec = pause_ms / MS_PER_SECOND,
	    .tv_nsec = (pause_ms % MS_PER_SECOND) * NS_PER_MS,
	};

	if (pause_ms > 0)
		(void)nanosleep(&duration, NULL);
}

void
sleep_until(int64_t at_ms)
{
	sleep_ms(at_ms - record_ms());
}

bool
trouble_wanted(void)
{
	const char *value = getenv("TROUBLE");

	return value == NULL || strcmp(value, "0") != 0;
}
