/* Job ids and the rules of a job's states. */
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

struct job_id job_id_from_key(const char *workspace, const char *key);
bool job_id_parse(const char *text, struct job_id *id);
void job_id_format(struct job_id id, char text[JOB_ID_BYTES]);
bool job_id_equal(struct job_id left, struct job_id right);

/* Hash of everything in a specification but its key: the same key with
 * another fingerprint is a conflict. */
uint64_t job_spec_fingerprint(const Ibis__JobSpec *spec);

/* Checks the ranges of a specification. step is "submit". */
enum ibis_code job_spec_check(
    const Ibis__JobSpec *spec, struct ibis_status *status);

/* Tells whether a state is final. */
bool job_state_final(Ibis__JobState state);

/* Tells whether a job may go from one state to another. */
bool job_state_may_follow(Ibis__JobState from, Ibis__JobState to);

/* Lower-case name, as in the API. */
const char *job_state_name(Ibis__JobState state);
const char *job_adjacency_name(Ibis__Adjacency adjacency);

#ifdef __cplusplus
}
#endif

#endif
