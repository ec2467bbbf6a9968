/* Child processes of a test. The kernel kills each when the thread that started
 * it ends. */
#ifndef IBIS_COMMON_PROCESS_H
#define IBIS_COMMON_PROCESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	PROCESS_MAX_ARGUMENTS = 64,
	PROCESS_READY_BYTES = 256
};

struct process {
	pid_t pid;   /* 0: not running */
	bool frozen; /* stopped by SIGSTOP */
	/* Line that the program prints once its ports are open. */
	char ready[PROCESS_READY_BYTES];
};

/*
 * Starts a program of the build folder (IBIS_BIN, default "build") with a
 * NULL-terminated argument list, appends its standard output and error to
 * log_path, and waits for its ready line. On timeout or early exit, kills it,
 * prints a message to standard error and returns false. Call it from the main
 * thread only: the child is killed when the thread that started it ends.
 */
bool process_start(struct process *process, const char *program,
    const char *const *arguments, const char *log_path, int32_t timeout_ms);

/* Starts a program like process_start, but with its standard output sent to the
 * descriptor output (-1: to log_path), and doesn't wait for the ready line. */
bool process_start_no_wait(struct process *process, const char *program,
    const char *const *arguments, const char *log_path, int output);

/* Copies the value of key=value in the ready line; false when it is absent or
 * longer than the buffer. */
bool process_ready_value(
    const struct process *process, const char *key, char *value, size_t bytes);

/* Kills a process with SIGKILL and reaps it; does nothing if it isn't running.
 */
void process_kill(struct process *process);

/* Returns whether a process that was started has ended by itself. */
bool process_has_ended(const struct process *process);

/* Sends SIGTERM, which requests a planned stop. */
void process_terminate(const struct process *process);

/* Waits for a process to exit and reaps it. Returns its exit code, or -1 on
 * timeout or when a signal ended it. */
int process_wait(struct process *process, int32_t timeout_ms);

/* Stops all threads of a process with SIGSTOP. */
void process_freeze(struct process *process);

/* Continues a frozen process with SIGCONT. */
void process_resume(struct process *process);

/* Sleeps; a signal may end it early. */
void process_sleep(int32_t pause_ms);

#endif
