/*
 * JSON codec of the workers' sync call: encodes commands, decodes reports and
 * verifies the answers in them. Does no I/O and keeps no state.
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

/* Length and hash of an answer, as stated in the report. */
struct answer_digest {
	size_t length; /* bytes */
	uint64_t hash; /* xxhash64 */
};

/* A finished task whose answer is missing or doesn't match its digest. */
struct unverified_answer {
	size_t task; /* index in the report */
	struct answer_digest digest;
};

/* A report with the answers still to be fetched. */
struct decoded_report {
	struct worker_report report;
	struct unverified_answer *unverified;
	size_t unverified_count;
};

/* Appends the JSON body of a sync call with these commands. */
void worker_codec_encode(
    const struct worker_command *commands, size_t count, struct buffer *body);

/*
 * Decodes the report of the named worker. A finished task whose answer doesn't
 * match its digest is shown as running, without an answer, and listed in
 * unverified. Returns IBIS_INVALID and fills status (which may be NULL) when
 * the report is malformed or names another worker. The caller frees decoded
 * with decoded_report_free in either case.
 */
enum ibis_code worker_codec_decode(const char *bytes, size_t length,
    const char *worker, struct decoded_report *decoded,
    struct ibis_status *status);

/* Frees what a decoded report owns and empties it. */
void decoded_report_free(struct decoded_report *decoded);

/* Frees what a report owns and empties it. */
void worker_report_clear(struct worker_report *report);

/* False for another length or hash, or if the bytes contain a NUL. */
bool answer_matches_digest(
    const struct answer_digest *digest, const char *bytes, size_t length);

/* Sets a task to TASK_DONE with a copy of bytes as its answer. */
void worker_codec_set_answer(
    struct worker_task *task, const char *bytes, size_t length);

/* Names as in the JSON; static strings. */
const char *worker_verb_name(enum worker_verb verb);
const char *task_state_name(enum task_state state);

#ifdef __cplusplus
}
#endif

#endif
