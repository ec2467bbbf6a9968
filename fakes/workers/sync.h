/* The workers' sync protocol: parses JSON commands and writes the report of the
 * worker's tasks. */
#ifndef IBIS_FAKE_SYNC_H
#define IBIS_FAKE_SYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/buffer.h"
#include "workers/worker.h"

/* How a report is corrupted. */
enum report_fault {
	REPORT_OK,
	REPORT_TRUNCATE,	/* the second half of the JSON is missing */
	REPORT_CORRUPT_ANSWER,	/* one byte of each answer is changed */
	REPORT_WRONG_ANSWER,	/* each answer is replaced by another text */
	REPORT_DUPLICATE_ANSWER /* the text of each answer appears twice */
};

/* Reads a verb from its name. Returns false when the name is unknown. */
bool sync_parse_verb(const char *name, enum worker_verb *verb);

/*
 * Parses the body of a sync request. Returns NULL, or a static error message.
 * In both cases the caller frees the commands with sync_free_commands.
 */
const char *sync_parse_commands(
    const char *body, struct worker_command **commands, size_t *count);

void sync_free_commands(struct worker_command *commands, size_t count);

/* Appends the worker's report as JSON. Returns the number of answers in it. */
size_t sync_append_report(const struct fake_worker *worker,
    enum report_fault fault, int64_t now_ms, struct buffer *body);

#endif
