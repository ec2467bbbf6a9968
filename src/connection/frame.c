#include <inttypes.h>

#include "connection/frame.h"
#include "process/alloc.h"
#include "process/proto_memory.h"

#define STEP "frame"

static void
put_length(uint32_t length, unsigned char header[FRAME_HEADER_BYTES])
{
	header[0] = (unsigned char)(length >> 24);
	header[1] = (unsigned char)(length >> 16);
	header[2] = (unsigned char)(length >> 8);
	header[3] = (unsigned char)length;
}

static uint32_t
get_length(const unsigned char *header)
{
	return (uint32_t)header[0] << 24 | (uint32_t)header[1] << 16 |
	    (uint32_t)header[2] << 8 | (uint32_t)header[3];
}

enum ibis_code
frame_encode(const Ibis__Frame *frame, uint32_t max_frame_bytes,
    struct buffer *bytes, struct ibis_status *status)
{
	unsigned char header[FRAME_HEADER_BYTES];
	size_t length = ibis__frame__get_packed_size(frame);

	if (length == 0 || length > max_frame_bytes)
		return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
		    "frame of %zu bytes; expected 1 to %" PRIu32, length,
		    max_frame_bytes);
	put_length((uint32_t)length, header);
	buffer_append(bytes, header, sizeof(header));
	proto_pack(&frame->base, bytes);
	return IBIS_OK;
}

enum ibis_code
frame_decode(const char *bytes, size_t length, uint32_t max_frame_bytes,
    Ibis__Frame **frame, size_t *consumed, struct ibis_status *status)
{
	const uint8_t *body = (const uint8_t *)bytes + FRAME_HEADER_BYTES;
	uint32_t body_length;

	*frame = NULL;
	*consumed = 0;
	if (length < FRAME_HEADER_BYTES)
		return IBIS_OK;
	body_length = get_length((const unsigned char *)bytes);
	if (body_length == 0 || body_length > max_frame_bytes)
		return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
		    "frame length %" PRIu32 "; expected 1 to %" PRIu32,
		    body_length, max_frame_bytes);
	if (length - FRAME_HEADER_BYTES < body_length)
		return IBIS_OK;
	*frame = ibis__frame__unpack(proto_allocator(), body_length, body);
	if (*frame == NULL)
		return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
		    "frame of %" PRIu32
		    " bytes is not a valid protobuf message",
		    body_length);
	if ((*frame)->body_case == IBIS__FRAME__BODY__NOT_SET) {
		frame_free(*frame);
		*frame = NULL;
		return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
		    "frame body of an unknown type");
	}
	*consumed = FRAME_HEADER_BYTES + body_length;
	return IBIS_OK;
}

void
frame_free(Ibis__Frame *frame)
{
	if (frame != NULL)
		ibis__frame__free_unpacked(frame, proto_allocator());
}
