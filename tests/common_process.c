#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "common_process.h"
#include "process/alloc.h"
#include "process/buffer.h"
#include "process/clock.h"

#define POLL_INTERVAL_MS 5
#define LOG_MODE	 0644
#define EXIT_NO_EXEC	 127
#define MS_PER_SECOND	 1000
#define NS_PER_MS	 1000000
#define READ_BYTES	 65536
#define READY_PREFIX	 "ready "
/* Marks the ready line of an instance that was started with --platform. */
#define INSTANCE_READY_KEY " callers="
#define BUILD_VARIABLE	   "IBIS_BIN"
#define BUILD_DEFAULT	   "build"

void
process_sleep(int32_t pause_ms)
{
	struct timespec duration = {
	    .tv_sec = pause_ms / MS_PER_SECOND,
	    .tv_nsec = (int64_t)(pause_ms % MS_PER_SECOND) * NS_PER_MS,
	};

	(void)nanosleep(&duration, NULL);
}

/* Runs in the child: makes only async-signal-safe calls, since the parent may
 * have had other threads at the fork. */
static void
run_child(const char *path, char **arguments, int output, int log)
{
	sigset_t empty_set;

	(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
	(void)sigemptyset(&empty_set);
	(void)sigprocmask(SIG_SETMASK, &empty_set, NULL);
	if (dup2(output, STDOUT_FILENO) >= 0 && dup2(log, STDERR_FILENO) >= 0)
		(void)execv(path, arguments);
	_exit(EXIT_NO_EXEC);
}

/* Sends the child's standard output to the descriptor output; -1: to the log.
 */
static bool
fork_child(struct process *process, const char *program,
    const char *const *arguments, int log, int output)
{
	CLEANUP(buffer_free) struct buffer path = {0};
	const char *directory = getenv(BUILD_VARIABLE);
	char *argv[PROCESS_MAX_ARGUMENTS] = {0};
	size_t count = 1;

	buffer_printf(&path, "%s/%s",
	    directory == NULL ? BUILD_DEFAULT : directory, program);
	argv[0] = path.data;
	for (size_t i = 0;
	     arguments[i] != NULL && count + 1 < PROCESS_MAX_ARGUMENTS; i++)
		argv[count++] = mem_strdup(arguments[i]);
	process->pid = fork();
	if (process->pid == 0)
		run_child(path.data, argv, output < 0 ? log : output, log);
	for (size_t i = 1; i < count; i++)
		mem_free(argv[i]);
	if (process->pid > 0)
		return true;
	process->pid = 0;
	return false;
}

/* Opens a log for appending by the child and for reading by the test. */
static int
open_log(const char *path)
{
	return open(path, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, LOG_MODE);
}

bool
process_has_ended(const struct process *process)
{
	siginfo_t info = {0};

	return waitid(P_PID, (id_t)process->pid, &info,
		   WEXITED | WNOHANG | WNOWAIT) != 0 ||
	    info.si_pid != 0;
}

/* Copies the ready line to the process; false when the text has none yet.
 */
static bool
copy_ready_line(struct process *process, char *text)
{
	char *line;

	/* A last line without a line feed is still being written. */
	for (char *end; (end = strchr(text, '\n')) != NULL; text = end + 1) {
		*end = '\0';
		line = strncmp(text, READY_PREFIX, strlen(READY_PREFIX)) == 0
		    ? text
		    : strstr(text, INSTANCE_READY_KEY);
		if (line == NULL)
			continue;
		STRING_COPY(process->ready, line);
		return true;
	}
	return false;
}

/* Polls the log from an offset until it contains the ready line; false on
 * timeout or when the child has exited without it. */
static bool
wait_ready_line(
    struct process *process, int log, off_t from, int32_t timeout_ms)
{
	int64_t end_ms = clock_now_ms() + timeout_ms;
	char *text = mem_calloc(READ_BYTES, 1);
	bool found = false;
	bool ended = false;

	while (!found && !ended && clock_now_ms() < end_ms) {
		ssize_t length;

		ended = process_has_ended(process);
		length = pread(log, text, READ_BYTES - 1, from);
		text[length < 0 ? 0 : length] = '\0';
		found = copy_ready_line(process, text);
		if (!found)
			process_sleep(POLL_INTERVAL_MS);
	}
	mem_free(text);
	return found;
}

bool
process_start(struct process *process, const char *program,
    const char *const *arguments, const char *log_path, int32_t timeout_ms)
{
	int log = open_log(log_path);
	off_t from;
	bool ready;

	*process = (struct process){0};
	if (log < 0)
		return false;
	from = lseek(log, 0, SEEK_END);
	ready = fork_child(process, program, arguments, log, -1) &&
	    wait_ready_line(process, log, from, timeout_ms);
	(void)close(log);
	if (ready)
		return true;
	(void)fprintf(stderr, "%s: no ready line within %d ms; see %s\n",
	    program, (int)timeout_ms, log_path);
	process_kill(process);
	return false;
}

bool
process_start_no_wait(struct process *process, const char *program,
    const char *const *arguments, const char *log_path, int output)
{
	int log = open_log(log_path);
	bool started;

	*process = (struct process){0};
	if (log < 0)
		return false;
	started = fork_child(process, program, arguments, log, output);
	(void)close(log);
	return started;
}

bool
process_ready_value(
    const struct process *process, const char *key, char *value, size_t bytes)
{
	size_t key_length = strlen(key);
	const char *word = process->ready;

	while (*word != '\0') {
		size_t length = strcspn(word, " ");

		if (length > key_length && word[key_length] == '=' &&
		    strncmp(word, key, key_length) == 0) {
			size_t value_length = length - key_length - 1;

			if (value_length >= bytes)
				return false;
			memcpy(value, word + key_length + 1, value_length);
			value[value_length] = '\0';
			return true;
		}
		word += length;
		word += strspn(word, " ");
	}
	return false;
}

void
process_kill(struct process *process)
{
	if (process->pid <= 0)
		return;
	(void)kill(process->pid, SIGKILL);
	while (waitpid(process->pid, NULL, 0) < 0 && errno == EINTR)
		continue;
	process->pid = 0;
	process->frozen = false;
}

void
process_terminate(const struct process *process)
{
	if (process->pid > 0)
		(void)kill(process->pid, SIGTERM);
}

int
process_wait(struct process *process, int32_t timeout_ms)
{
	int64_t end_ms = clock_now_ms() + timeout_ms;
	int result;

	while (process->pid > 0) {
		if (waitpid(process->pid, &result, WNOHANG) == process->pid) {
			process->pid = 0;
			return WIFEXITED(result) ? WEXITSTATUS(result) : -1;
		}
		if (clock_now_ms() >= end_ms)
			return -1;
		process_sleep(POLL_INTERVAL_MS);
	}
	return -1;
}

void
process_freeze(struct process *process)
{
	if (process->pid <= 0)
		return;
	(void)kill(process->pid, SIGSTOP);
	process->frozen = true;
}

void
process_resume(struct process *process)
{
	if (process->pid <= 0)
		return;
	(void)kill(process->pid, SIGCONT);
	process->frozen = false;
}
