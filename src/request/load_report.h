/* Summarizes the results of a load by request class and prints the summaries.
 */
#ifndef IBIS_LOAD_REPORT_H
#define IBIS_LOAD_REPORT_H

#include <stddef.h>
#include <stdint.h>

#include "request/load_run.h"

/* Summary of one request class, or of all. */
struct load_summary {
	const char *request_class; /* NULL: all; owned by the mix */
	uint64_t jobs;
	uint64_t by_outcome[LOAD_OUTCOMES];
	uint64_t wrong_answers;
	int64_t p50_ms; /* completion time of finished jobs; 0 if none */
	int64_t p99_ms;
	int64_t work_ms; /* accelerator milliseconds of finished jobs */
};

/* Summarizes the count jobs of one class, or of all if request_class is NULL.
 */
void load_summarize(struct load_summary *summary, const char *request_class,
    const struct load_job *jobs, const struct load_result *results,
    size_t count);

/* Prints a summary to standard output as one line of key=value pairs. */
void load_summary_print(const struct load_summary *summary);

#endif
