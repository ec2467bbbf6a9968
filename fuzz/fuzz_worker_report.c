/*
 * Fuzzes the decoder of worker reports: it must not crash, and only a task that
 * is done may have an answer.
 */
#include <stdint.h>
#include <stdlib.h>

#include "connection/worker_codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct decoded_report decoded;
	struct ibis_status status = {0};
	const struct worker_task *task;

	(void)worker_codec_decode(
	    (const char *)data, size, "w1", &decoded, &status);
	for (size_t i = 0; i < decoded.report.tasks_count; i++) {
		task = &decoded.report.tasks[i];
		if (task->answer != NULL && task->state != TASK_DONE)
			abort();
	}
	decoded_report_free(&decoded);
	return 0;
}
