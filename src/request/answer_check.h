/* Checks on the caller's side that an answer is whole. */
#ifndef IBIS_ANSWER_CHECK_H
#define IBIS_ANSWER_CHECK_H

#include <json-c/json.h>

#include "ibistrestle.h"
#include "process/buffer.h"

/* Compares an answer's bytes with the length and hash in the job's JSON.
 * IBIS_INTERNAL: they differ; the message tells how. */
enum ibis_code answer_check(struct json_object *job,
    const struct buffer *answer, struct ibis_status *status);

/* The same for the parts that a job's JSON carries itself. */
enum ibis_code answer_check_parts(
    struct json_object *job, struct ibis_status *status);

#endif
