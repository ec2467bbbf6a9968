/* The log when its reader falls behind. */
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common_cunit.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"

#define LINES 5000

/* Fills a pipe that nobody reads. */
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

static void
test_full_pipe_costs_lines_not_time(void)
{
	uint64_t before = counter_value(COUNTER_LOG_LINES_DROPPED);
	uint64_t left_out = counter_value(COUNTER_LOG_LINES_LEFT_OUT);
	int kept = dup(STDOUT_FILENO);
	int64_t start_ms;
	int64_t took_ms;
	int ends[2];

	(void)fflush(stdout);
	CU_ASSERT_EQUAL_FATAL(full_pipe(ends), 0);
	(void)dup2(ends[1], STDOUT_FILENO);
	log_configure(&(struct log_config){.to_stdout = true});
	start_ms = clock_now_ms();
	for (int i = 0; i < LINES; i++)
		log_event(LOG_INFO, "test", "number", log_number(i), NULL);
	took_ms = clock_now_ms() - start_ms;
	(void)dup2(kept, STDOUT_FILENO);
	CU_ASSERT_TRUE(took_ms < 2000);
	CU_ASSERT_EQUAL(counter_value(COUNTER_LOG_LINES_DROPPED) - before +
		counter_value(COUNTER_LOG_LINES_LEFT_OUT) - left_out,
	    LINES);
	CU_ASSERT_TRUE(counter_value(COUNTER_LOG_LINES_DROPPED) > before);
	(void)close(ends[0]);
	(void)close(ends[1]);
	(void)close(kept);
}

/* Writes lines of one event to nobody; returns how many were left out. */
static uint64_t
left_out_of(enum log_level level, const char *event)
{
	uint64_t before = counter_value(COUNTER_LOG_LINES_LEFT_OUT);
	int kept = dup(STDOUT_FILENO);
	int nowhere = open("/dev/null", O_WRONLY);

	(void)fflush(stdout);
	(void)dup2(nowhere, STDOUT_FILENO);
	for (int i = 0; i < LINES; i++)
		log_event(level, event, NULL);
	(void)dup2(kept, STDOUT_FILENO);
	(void)close(kept);
	(void)close(nowhere);
	return counter_value(COUNTER_LOG_LINES_LEFT_OUT) - before;
}

static void
test_warnings_survive_a_flood(void)
{
	CU_ASSERT_TRUE(left_out_of(LOG_INFO, "flood") >= LINES - 2 * 50);
	CU_ASSERT_TRUE(left_out_of(LOG_WARN, "refused") <= LINES - 1000);
	log_configure(&(struct log_config){
	    .lowest = LOG_WARN, .event_lines_per_s = 2000, .to_stdout = true});
	CU_ASSERT_EQUAL(left_out_of(LOG_INFO, "below"), 0);
	CU_ASSERT_EQUAL(left_out_of(LOG_ERROR, "failed"), 0);
	log_configure(
	    &(struct log_config){.event_lines_per_s = 50, .to_stdout = true});
}

static void
test_levels_have_names(void)
{
	enum log_level level = LOG_INFO;

	CU_ASSERT_TRUE(log_level_parse("error", &level));
	CU_ASSERT_EQUAL(level, LOG_ERROR);
	CU_ASSERT_FALSE(log_level_parse("loud", &level));
	CU_ASSERT_FALSE(log_level_parse("", &level));
}

static void
test_lines_are_whole(void)
{
	int kept = dup(STDOUT_FILENO);
	char text[512] = "";
	int ends[2];

	(void)fflush(stdout);
	CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
	(void)dup2(ends[1], STDOUT_FILENO);
	log_event(LOG_WARN, "told", "key", "a \"value\"", "n", "7", NULL);
	(void)dup2(kept, STDOUT_FILENO);
	CU_ASSERT_TRUE(read(ends[0], text, sizeof(text) - 1) > 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(
	    text, "level=warn event=told key=\"a \\\"value\\\"\" n=7\n"));
	(void)close(ends[0]);
	(void)close(ends[1]);
	(void)close(kept);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"full pipe costs lines, not time",
		test_full_pipe_costs_lines_not_time},
	    {"warnings survive a flood", test_warnings_survive_a_flood},
	    {"levels have names", test_levels_have_names},
	    {"lines are whole", test_lines_are_whole},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("log", tests);
}
