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
 * without a key gets a fresh one. Free with ibis__request__free_unpacked.
 */
Ibis__Request *api_parse(
    const struct api_input *input, struct ibis_status *status);

/* An HTTP answer. The caller frees body. */
struct api_output {
	int32_t http_status;
	const char *content_type;
	int64_t retry_after_ms; /* 0: no Retry-After header */
	uint64_t etag;		/* 0: no ETag header */
	uint64_t content_hash;	/* xxhash of the body; sent with an answer */
	struct buffer body;
};

void api_render(const Ibis__Request *request, const Ibis__Reply *reply,
    struct api_output *output);

#endif
