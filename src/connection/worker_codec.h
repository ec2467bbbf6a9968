/*
 * JSON form of the workers' sync call: commands out, reports in. Pure; a task
 * whose answer does not match its stated length and hash is set apart.
 */
#ifndef IBIS_WORKER_CODEC_H
#define IBIS_WORKER_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/worker_client.h"
#include "ibistrestle.h"
#include "process/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What a whole answer looks like. */
struct answer_check {
	size_t length; /* bytes */
	uint64_t hash; /* xxhash64 */
};

/* A finished task whose answer in the report was wrong. */
struct unverified_answer {
	size_t task; /* index in the report */
	struct answer_check check;
};

struct decoded_report {
	struct worker_report report;
	struct unverified_answer *unverified;
	size_t unverified_count;
};

/* Appends the body of a sync call. */
void worker_codec_encode(
    const struct worker_command *commands, size_t count, struct buffer *body);

/*
 * Reads a report. worker is the name it must bear. A finished task whose
 * answer is wrong is shown as running, without its answer, and is listed in
 * unverified. Returns IBIS_INVALID and fills status when the report can't be
 * used. Free with decoded_report_free in either case.
 */
enum ibis_code worker_codec_decode(const char *bytes, size_t length,
    const char *worker, struct decoded_report *decoded,
    struct ibis_status *status);

void decoded_report_free(struct decoded_report *decoded);

/* Frees what a report owns. */
void worker_report_clear(struct worker_report *report);

bool answer_check_passes(
    const struct answer_check *check, const char *bytes, size_t length);

/* Makes a task shown as running a finished one; bytes are copied. */
void worker_codec_accept_answer(
    struct worker_task *task, const char *bytes, size_t length);

const char *worker_verb_name(enum worker_verb verb);
const char *task_state_name(enum task_state state);

#ifdef __cplusplus
}
#endif

#endif
