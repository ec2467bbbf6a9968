/* The workers' sync protocol: JSON commands in, the inventory out. */
#ifndef IBIS_FAKE_SYNC_H
#define IBIS_FAKE_SYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/buffer.h"
#include "workers/worker.h"

/* How a report is spoiled. */
enum report_fault {
	REPORT_SOUND,
	REPORT_TRUNCATE, /* the JSON is cut in the middle */
	REPORT_CORRUPT,	 /* one byte of each answer is changed */
	REPORT_CROSSED,	 /* answers bear other tasks' text */
	REPORT_DOUBLED	 /* each answer's text is there twice */
};

/* Reads a verb by its name; false if there is none of it. */
bool sync_parse_verb(const char *name, enum worker_verb *verb);

/* Parses a sync body. Returns NULL, or what is wrong. Free the commands with
 * sync_free_commands. */
const char *sync_parse(
    const char *body, struct worker_command **commands, size_t *count);

void sync_free_commands(struct worker_command *commands, size_t count);

/* Appends the inventory; returns the number of answers in it. */
size_t sync_report(const struct fake_worker *worker, enum report_fault fault,
    int64_t now_ms, struct buffer *body);

#endif
