/* Client-side check that a job's answer is complete and unaltered. */
#ifndef IBIS_ANSWER_CHECK_H
#define IBIS_ANSWER_CHECK_H

#include <json-c/json.h>

#include "ibistrestle.h"
#include "process/buffer.h"

/* Compares an answer with the length and XXH64 hash in the job's JSON. Returns
 * IBIS_INTERNAL when they differ; the message holds both values. */
enum ibis_code answer_check(struct json_object *job,
    const struct buffer *answer, struct ibis_status *status);

/* Checks the answer parts that are included in a job's JSON, joined in order.
 * Also returns IBIS_INTERNAL when the JSON has no answers. */
enum ibis_code answer_check_parts(
    struct json_object *job, struct ibis_status *status);

#endif
