#include "record.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>

#include "http.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *file;
static int64_t opened_ms;

bool
record_open(const char *path)
{
	file = fopen(path, "we");
	opened_ms = now_ms();
	return file != NULL;
}

void
record_close(void)
{
	(void)pthread_mutex_lock(&lock);
	if (file != NULL)
		(void)fclose(file);
	file = NULL;
	(void)pthread_mutex_unlock(&lock);
}

void
record(const char *format, ...)
{
	va_list values;

	va_start(values, format);
	(void)pthread_mutex_lock(&lock);
	if (file != NULL) {
		(void)fprintf(file, "%7" PRId64 " ", now_ms() - opened_ms);
		(void)vfprintf(file, format, values);
		(void)fputc('\n', file);
		(void)fflush(file);
	}
	(void)pthread_mutex_unlock(&lock);
	va_end(values);
}
