/*
 * Translation between HTTP and the messages of the control thread, without
 * I/O: parses a method, path, headers and body into an Ibis__Request, and
 * renders an Ibis__Reply as an HTTP status, headers and body.
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

/*
 * An HTTP request as received. All strings but method and path may be NULL,
 * which means that the parameter, header or body is absent.
 */
struct api_input {
	const char *method;
	const char *path;	     /* without query */
	const char *wait_ms;	     /* query parameter */
	const char *dry_run;	     /* query parameter */
	const char *if_match;	     /* header */
	const char *idempotency_key; /* header */
	const char *body;
	size_t body_length;
	int32_t max_wait_ms; /* a longer wait_ms is reduced to this */
};

/*
 * Parses a request. A submission without an idempotency key gets a random one.
 * Returns a request to be freed with ibis__request__free_unpacked and
 * proto_allocator, or NULL with status filled: IBIS_NOT_FOUND for an unknown
 * path, IBIS_INVALID with the field and the expected value otherwise.
 */
Ibis__Request *api_parse(
    const struct api_input *input, struct ibis_status *status);

/* An HTTP response. The caller frees body with buffer_free. */
struct api_output {
	int32_t http_status;
	const char *content_type;
	int64_t retry_after_ms; /* 0: no Retry-After header */
	uint64_t etag;		/* 0: no ETag header */
	uint64_t content_hash;	/* XXH64 of body; 0: no X-Answer-Hash header */
	struct buffer body;
};

/*
 * Renders the reply to a request, overwriting output. request may be NULL if
 * the reply is an error.
 *
 * A finished job's answer is rendered only if the length and hash of its joined
 * parts match the job's record; otherwise the response is 503. The reply to a
 * cancellation is rendered without this check. CODE_INVALID gives 400, but 422
 * when a step other than "submit" refused a submission. A 429 or 503 without a
 * retry time gets a default one.
 */
void api_render(const Ibis__Request *request, const Ibis__Reply *reply,
    struct api_output *output);

/*
 * Renders an error for a request that the control thread did not answer,
 * overwriting output. The body has "not_run": true unless the status's code is
 * IBIS_UNKNOWN. A retry_after_ms of 0 gives the default time for 429 and 503
 * and none for others.
 */
void api_render_error(const struct ibis_status *status, int32_t http_status,
    int64_t retry_after_ms, struct api_output *output);

#ifdef __cplusplus
}
#endif

#endif
