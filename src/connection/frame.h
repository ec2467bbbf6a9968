/*
 * Codec of the peer link: a frame is a length in four bytes, highest first,
 * then that many bytes of a packed Ibis__Frame. Pure.
 */
#ifndef IBIS_FRAME_H
#define IBIS_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "ibistrestle.pb-c.h"
#include "process/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	FRAME_HEADER_BYTES = 4
};

/*
 * Appends an encoded frame. IBIS_INVALID: it is empty, or longer than
 * max_frame_bytes without its header; nothing was appended.
 */
enum ibis_code frame_encode(const Ibis__Frame *frame, uint32_t max_frame_bytes,
    struct buffer *bytes, struct ibis_status *status);

/*
 * Decodes the first frame of length bytes. IBIS_OK: *consumed bytes made up
 * *frame, which the caller frees with frame_free; with too few bytes for a
 * whole frame *consumed is 0 and *frame NULL. IBIS_INVALID: the stream can't
 * be read any further; the status says why.
 */
enum ibis_code frame_decode(const char *bytes, size_t length,
    uint32_t max_frame_bytes, Ibis__Frame **frame, size_t *consumed,
    struct ibis_status *status);

void frame_free(Ibis__Frame *frame);

#ifdef __cplusplus
}
#endif

#endif
