#include <errno.h>
#include <fcntl.h>
#include <poll.h>
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

#define STEP_MS	       5
#define LOG_MODE       0644
#define EXIT_NO_EXEC   127
#define MS_PER_SECOND  1000
#define NS_PER_MS      1000000
#define BUILD_VARIABLE "IBIS_BIN"
#define BUILD_DEFAULT  "build"

void
process_pause(int32_t pause_ms)
{
	struct timespec rest = {
	    .tv_sec = pause_ms / MS_PER_SECOND,
	    .tv_nsec = (int64_t)(pause_ms % MS_PER_SECOND) * NS_PER_MS,
	};

	(void)nanosleep(&rest, NULL);
}

/* In the child: only calls that are safe after fork in a threaded process. */
static void
run_child(const char *path, char **arguments, int output, int log)
{
	sigset_t none;

	(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
	(void)sigemptyset(&none);
	(void)sigprocmask(SIG_SETMASK, &none, NULL);
	if (dup2(output, STDOUT_FILENO) >= 0 && dup2(log, STDERR_FILENO) >= 0)
		(void)execv(path, arguments);
	_exit(EXIT_NO_EXEC);
}

static bool
fork_child(struct process *process, const char *program,
    const char *const *arguments, const char *log_path, int output)
{
	CLEANUP(buffer_free) struct buffer path = {0};
	const char *folder = getenv(BUILD_VARIABLE);
	char *copies[PROCESS_ARGUMENTS] = {0};
	int log =
	    open(log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LOG_MODE);
	size_t count = 1;

	if (log < 0)
		return false;
	buffer_printf(
	    &path, "%s/%s", folder == NULL ? BUILD_DEFAULT : folder, program);
	copies[0] = path.data;
	for (size_t i = 0;
	     arguments[i] != NULL && count + 1 < PROCESS_ARGUMENTS; i++)
		copies[count++] = mem_strdup(arguments[i]);
	process->pid = fork();
	if (process->pid == 0)
		run_child(path.data, copies, output, log);
	for (size_t i = 1; i < count; i++)
		mem_free(copies[i]);
	(void)close(log);
	if (process->pid > 0)
		return true;
	process->pid = 0;
	return false;
}

/* Reads up to the first line break within a time. */
static bool
read_line(int input, char *line, size_t bytes, int32_t timeout_ms)
{
	int64_t end_ms = clock_now_ms() + timeout_ms;
	size_t length = 0;

	while (length + 1 < bytes) {
		struct pollfd waiting = {.fd = input, .events = POLLIN};
		int64_t left_ms = end_ms - clock_now_ms();

		if (left_ms <= 0 || poll(&waiting, 1, (int)left_ms) <= 0)
			return false;
		if (read(input, line + length, 1) != 1)
			return false;
		if (line[length] == '\n') {
			line[length] = '\0';
			return true;
		}
		length++;
	}
	return false;
}

bool
process_start(struct process *process, const char *program,
    const char *const *arguments, const char *log_path, int32_t timeout_ms)
{
	int ends[2];
	bool ready;

	*process = (struct process){0};
	if (pipe2(ends, O_CLOEXEC) != 0)
		return false;
	ready = fork_child(process, program, arguments, log_path, ends[1]);
	(void)close(ends[1]);
	if (ready)
		ready = read_line(ends[0], process->ready,
		    sizeof(process->ready), timeout_ms);
	/* What the process prints later goes nowhere. */
	(void)close(ends[0]);
	if (ready)
		return true;
	(void)fprintf(stderr, "%s: no ready line within %d ms; see %s\n",
	    program, (int)timeout_ms, log_path);
	process_kill(process);
	return false;
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
		process_pause(STEP_MS);
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
process_wake(struct process *process)
{
	if (process->pid <= 0)
		return;
	(void)kill(process->pid, SIGCONT);
	process->frozen = false;
}
