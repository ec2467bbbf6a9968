/* Job ids, checks of job specifications and transitions of job states. */
#ifndef IBIS_JOB_H
#define IBIS_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "ibistrestle.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	JOB_ID_BYTES = 33,  /* 32 hexadecimal digits and the NUL */
	JOB_NAME_BYTES = 64 /* workspace, class, zone, rack or worker name */
};

/* 128-bit id of a job: the hash of its workspace and idempotency key. */
struct job_id {
	uint64_t high;
	uint64_t low;
};

/* Returns the id for a workspace and an idempotency key. */
struct job_id job_id_from_key(const char *workspace, const char *key);

/* Parses 32 lower-case hexadecimal digits. Returns false for any other text. */
bool job_id_parse(const char *text, struct job_id *id);

/* Writes an id as 32 lower-case hexadecimal digits and a NUL. */
void job_id_format(struct job_id id, char text[JOB_ID_BYTES]);

bool job_id_equal(struct job_id left, struct job_id right);

/* Returns a hash of a specification without its idempotency key. A submission
 * with the same key but another fingerprint is a conflict. */
uint64_t job_spec_fingerprint(const Ibis__JobSpec *spec);

/* Checks that the names and numbers of a specification are within their limits.
 * Returns IBIS_INVALID with step "submit" and the field in the message if not.
 */
enum ibis_code job_spec_check(
    const Ibis__JobSpec *spec, struct ibis_status *status);

/* Returns whether a state is final. */
bool job_state_final(Ibis__JobState state);

/* Returns whether a job may change from one state to another. Final states
 * don't change, and a running job can't become not_run. */
bool job_state_can_change(Ibis__JobState from, Ibis__JobState to);

/* Return the lower-case name used in the API; static strings. */
const char *job_state_name(Ibis__JobState state);
const char *job_adjacency_name(Ibis__Adjacency adjacency);

#ifdef __cplusplus
}
#endif

#endif
