#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

#include "common/fake_log.h"
#include "process/clock.h"

#define MAX_LINE_BYTES 1024
#define LOG_MODE       0644

static int log_fd = STDOUT_FILENO;

bool
fake_log_open(const char *path)
{
	int fd;

	if (path == NULL)
		return true;
	fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LOG_MODE);
	if (fd < 0) {
		perror(path);
		return false;
	}
	log_fd = fd;
	return true;
}

void
fake_log(const char *format, ...)
{
	char line[MAX_LINE_BYTES];
	va_list arguments;
	int used;
	int length;

	used =
	    snprintf(line, sizeof(line), "t_ms=%" PRId64 " ", clock_now_ms());
	va_start(arguments, format);
	length = vsnprintf(
	    line + used, sizeof(line) - (size_t)used, format, arguments);
	va_end(arguments);
	length += used;
	if (length > MAX_LINE_BYTES - 1)
		length = MAX_LINE_BYTES - 1;
	line[length] = '\n';
	/* A single write keeps lines of concurrent threads from interleaving.
	 */
	if (write(log_fd, line, (size_t)length + 1) < 0)
		return;
}
