/*
 * Fuzzes frame_decode: any input gives a frame, an incomplete frame or an
 * error, and a decoded frame can be encoded again.
 */
#include <stdint.h>
#include <stdlib.h>

#include "connection/frame.h"

#define MAX_FRAME_BYTES 65536

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct buffer bytes = {0};
	struct ibis_status status;
	Ibis__Frame *frame;
	size_t consumed;

	if (frame_decode((const char *)data, size, MAX_FRAME_BYTES, &frame,
		&consumed, &status) != IBIS_OK ||
	    consumed == 0)
		return 0;
	if (consumed > size || frame == NULL)
		abort();
	if (frame_encode(frame, UINT32_MAX, &bytes, NULL) != IBIS_OK)
		abort();
	frame_free(frame);
	buffer_free(&bytes);
	return 0;
}
