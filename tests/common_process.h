/* Child processes of a test: each ends with the test, at the latest. */
#ifndef IBIS_COMMON_PROCESS_H
#define IBIS_COMMON_PROCESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	PROCESS_ARGUMENTS = 64,
	PROCESS_READY_BYTES = 256
};

struct process {
	pid_t pid; /* 0: not running */
	bool frozen;
	char ready[PROCESS_READY_BYTES]; /* the line that its ports are open */
};

/*
 * Starts a program of the build folder, with arguments up to a NULL, its output
 * and errors added to log_path, and waits for the line that its ports are
 * open. False with a message on standard error when none comes. From the main
 * thread only: the child is killed when the thread that started it ends.
 */
bool process_start(struct process *process, const char *program,
    const char *const *arguments, const char *log_path, int32_t timeout_ms);

/* The same with its output to a descriptor, and without waiting. */
bool process_start_unread(struct process *process, const char *program,
    const char *const *arguments, const char *log_path, int output);

/* Copies the value of key=value in the ready line; false when absent. */
bool process_ready_value(
    const struct process *process, const char *key, char *value, size_t bytes);

/* Kills a process and reaps it. */
void process_kill(struct process *process);

/* Asks a process for a planned stop. */
void process_terminate(const struct process *process);

/* Reaps a process that ends within a time; returns its exit code, or -1 when
 * it did not end or ended by a signal. */
int process_wait(struct process *process, int32_t timeout_ms);

/* Stops all threads of a process, and lets them go on. */
void process_freeze(struct process *process);
void process_wake(struct process *process);

/* Sleeps for a step of a wait loop. */
void process_pause(int32_t pause_ms);

#endif
