/*
 * The HTTP API's form, without any I/O: turns a method, path and body into a
 * request and a reply into a status and body.
 */
#ifndef IBIS_API_H
#define IBIS_API_H

#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "ibistrestle.pb-c.h"
#include "process/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One HTTP request as it came in. Strings may be NULL when absent. */
struct api_input {
	const char *method;
	const char *path; /* without query */
	const char *wait_ms;
	const char *dry_run;
	const char *if_match;
	const char *idempotency_key;
	const char *body;
	size_t body_length;
	int32_t max_wait_ms;
};

/*
 * Parses a request. Returns NULL and fills status (IBIS_INVALID or
 * IBIS_NOT_FOUND), naming the field and what was expected. A submission
 * without a key gets a fresh one. Free with ibis__request__free_unpacked and
 * proto_allocator.
 */
Ibis__Request *api_parse(
    const struct api_input *input, struct ibis_status *status);

/* An HTTP answer. The caller frees body. */
struct api_output {
	int32_t http_status;
	const char *content_type;
	int64_t retry_after_ms; /* 0: no Retry-After header */
	uint64_t etag;		/* 0: no ETag header */
	uint64_t
	    content_hash; /* XXH64 of the body; 0: no X-Answer-Hash header */
	struct buffer body;
};

/*
 * Renders the reply to a request. The parts of a finished job's answer are
 * shown only if their joined length and hash match the job's record. An
 * IBIS_INVALID of another step than "submit" on a submission gives 422.
 */
void api_render(const Ibis__Request *request, const Ibis__Reply *reply,
    struct api_output *output);

/* Renders an error met outside the control thread. not_run is said unless the
 * code is IBIS_UNKNOWN. */
void api_render_error(const struct ibis_status *status, int32_t http_status,
    int64_t retry_after_ms, struct api_output *output);

#ifdef __cplusplus
}
#endif

#endif
