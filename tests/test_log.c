/* The logger: a full pipe, the limits per event and the line format. */
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common_cunit.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"

#define LINE_COUNT 5000

/* Creates a pipe and fills it. Returns 0, or -1 if no pipe can be created. */
static int
full_pipe(int ends[2])
{
	static const char filler[4096] = "";
	int flags;

	if (pipe(ends) != 0)
		return -1;
	flags = fcntl(ends[1], F_GETFL);
	(void)fcntl(ends[1], F_SETFL, flags | O_NONBLOCK);
	while (write(ends[1], filler, sizeof(filler)) > 0)
		continue;
	(void)fcntl(ends[1], F_SETFL, flags);
	return 0;
}

/* Logging to a pipe that nobody reads drops lines; it does not block. */
static void
test_full_pipe_drops_lines(void)
{
	uint64_t dropped_before = counter_value(COUNTER_LOG_LINES_DROPPED);
	uint64_t suppressed_before = counter_value(COUNTER_LOG_LINES_LEFT_OUT);
	int saved_stdout = dup(STDOUT_FILENO);
	int64_t start_ms;
	int64_t duration_ms;
	int ends[2];

	(void)fflush(stdout);
	CU_ASSERT_EQUAL_FATAL(full_pipe(ends), 0);
	(void)dup2(ends[1], STDOUT_FILENO);
	log_configure(&(struct log_config){.to_stdout = true});
	start_ms = clock_now_ms();
	for (int i = 0; i < LINE_COUNT; i++)
		log_event(LOG_INFO, "test", "number", log_number(i), NULL);
	duration_ms = clock_now_ms() - start_ms;
	(void)dup2(saved_stdout, STDOUT_FILENO);
	CU_ASSERT_TRUE(duration_ms < 2000);
	CU_ASSERT_EQUAL(counter_value(COUNTER_LOG_LINES_DROPPED) -
		dropped_before + counter_value(COUNTER_LOG_LINES_LEFT_OUT) -
		suppressed_before,
	    LINE_COUNT);
	CU_ASSERT_TRUE(
	    counter_value(COUNTER_LOG_LINES_DROPPED) > dropped_before);
	(void)close(ends[0]);
	(void)close(ends[1]);
	(void)close(saved_stdout);
}

/* Logs LINE_COUNT lines of an event to /dev/null. Returns how many of them were
 * suppressed. */
static uint64_t
count_suppressed(enum log_level level, const char *event)
{
	uint64_t suppressed_before = counter_value(COUNTER_LOG_LINES_LEFT_OUT);
	int saved_stdout = dup(STDOUT_FILENO);
	int null_fd = open("/dev/null", O_WRONLY);

	(void)fflush(stdout);
	(void)dup2(null_fd, STDOUT_FILENO);
	for (int i = 0; i < LINE_COUNT; i++)
		log_event(level, event, NULL);
	(void)dup2(saved_stdout, STDOUT_FILENO);
	(void)close(saved_stdout);
	(void)close(null_fd);
	return counter_value(COUNTER_LOG_LINES_LEFT_OUT) - suppressed_before;
}

/* Warnings and errors have a higher limit than other lines, so that they are
 * still written while an event repeats at a high rate. */
static void
test_limit_by_level(void)
{
	CU_ASSERT_TRUE(
	    count_suppressed(LOG_INFO, "flood") >= LINE_COUNT - 2 * 50);
	CU_ASSERT_TRUE(
	    count_suppressed(LOG_WARN, "refused") <= LINE_COUNT - 1000);
	log_configure(&(struct log_config){
	    .lowest = LOG_WARN, .event_lines_per_s = 2000, .to_stdout = true});
	CU_ASSERT_EQUAL(count_suppressed(LOG_INFO, "below"), 0);
	CU_ASSERT_EQUAL(count_suppressed(LOG_ERROR, "failed"), 0);
	log_configure(
	    &(struct log_config){.event_lines_per_s = 50, .to_stdout = true});
}

static void
test_level_names(void)
{
	enum log_level level = LOG_INFO;

	CU_ASSERT_TRUE(log_level_parse("error", &level));
	CU_ASSERT_EQUAL(level, LOG_ERROR);
	CU_ASSERT_FALSE(log_level_parse("loud", &level));
	CU_ASSERT_FALSE(log_level_parse("", &level));
}

static void
test_line_format(void)
{
	int saved_stdout = dup(STDOUT_FILENO);
	char text[512] = "";
	int ends[2];

	(void)fflush(stdout);
	CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
	(void)dup2(ends[1], STDOUT_FILENO);
	log_event(LOG_WARN, "told", "key", "a \"value\"", "n", "7", NULL);
	(void)dup2(saved_stdout, STDOUT_FILENO);
	CU_ASSERT_TRUE(read(ends[0], text, sizeof(text) - 1) > 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(
	    text, "level=warn event=told key=\"a \\\"value\\\"\" n=7\n"));
	(void)close(ends[0]);
	(void)close(ends[1]);
	(void)close(saved_stdout);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"full pipe drops lines", test_full_pipe_drops_lines},
	    {"limit by level", test_limit_by_level},
	    {"level names", test_level_names},
	    {"line format", test_line_format},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("log", tests);
}
