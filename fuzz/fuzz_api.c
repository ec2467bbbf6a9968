/*
 * api_parse returns a request or an error with a message for any body, path,
 * query parameter and header.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "connection/api.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define PREFIX_BYTES 48

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
parse(struct api_input *input)
{
	struct ibis_status status = {0};
	Ibis__Request *request = api_parse(input, &status);

	if (request == NULL && status.message[0] == '\0')
		abort();
	if (request != NULL)
		ibis__request__free_unpacked(request, proto_allocator());
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const char *const methods[] = {"GET", "PUT", "POST", "DELETE"};
	size_t prefix_length = size < PREFIX_BYTES ? size : PREFIX_BYTES;
	char *prefix = mem_strndup((const char *)data, prefix_length);
	struct api_input input = {
	    .method = "POST",
	    .path = "/v1/jobs",
	    .body = (const char *)data,
	    .body_length = size,
	};

	parse(&input);
	input.path = prefix;
	input.wait_ms = prefix;
	for (size_t i = 0; i < COUNT_OF(methods); i++) {
		input.method = methods[i];
		parse(&input);
	}
	input.method = "PUT";
	input.path = "/v1/document/sections/a";
	input.if_match = prefix;
	input.dry_run = size > 0 && data[0] == '1' ? "1" : NULL;
	input.wait_ms = NULL;
	parse(&input);
	mem_free(prefix);
	return 0;
}
